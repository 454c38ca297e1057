"""Requests that are held by a process that stops, and what became of them."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "review" / "lib-2"))
from smallsite import HOST, read_message  # noqa: E402, F401

LOSS_SLACK_S = 0.2
PAUSE_S = 0.03


class Call:
    """One request: when it was wholly sent, when its connection or answer ended, and its status."""

    def __init__(self, what):
        self.what, self.sent, self.until, self.status = what, None, None, None

    def lost(self):
        return self.sent is not None and self.status is None and self.until - self.sent > LOSS_SLACK_S

    def __str__(self):
        ended = "-" if self.until is None else f"{self.until - self.sent:.2f} s later"
        return f"{self.what}: sent at {self.sent:.2f}, ended {ended} with {self.status}"


class Calls:
    """All requests of a case. `clock()`: the time in seconds."""

    def __init__(self, clock):
        self.clock, self.all, self.tasks = clock, [], []

    def new(self, what):
        self.all.append(Call(what))
        return self.all[-1]

    def start(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def exchange(self, call, reader, writer, text):
        """Sends a request and awaits its answer. Returns whether the connection may be used again."""
        try:
            call.sent = self.clock()
            writer.write(text)
            await writer.drain()
            answer = await read_message(reader)
        except OSError:
            answer = None
        call.until = self.clock()
        if answer is None:
            return False
        call.status = int(answer[0].split()[1])
        return answer[1].get("connection", "").lower() != "close"

    async def once(self, what, text, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        await self.exchange(self.new(what), reader, writer, text)
        writer.close()

    async def kept(self, what, make_text, port):
        """Uses one connection after the other, each as long as it is open, until none can be made."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(HOST, port)
            except OSError:
                return
            while await self.exchange(self.new(what), reader, writer, make_text()):
                await asyncio.sleep(PAUSE_S)
            writer.close()

    async def kept_idle(self, until, what, make_text, port):
        """Opens a connection now, keeps it idle until a time, and uses it from then on."""
        reader, writer = await asyncio.open_connection(HOST, port)
        await self.exchange(Call("first"), reader, writer, make_text())
        await asyncio.sleep(max(0, until - self.clock()))
        while await self.exchange(self.new(what), reader, writer, make_text()):
            await asyncio.sleep(PAUSE_S)
        writer.close()

    def lost(self):
        return [f"lost: {call}" for call in self.all if call.lost()]

    def print_ends(self, since):
        """Prints for each kind of request its number, statuses and first and last end after a time."""
        for what in sorted({call.what for call in self.all}):
            calls = [call for call in self.all if call.what == what and call.until is not None]
            ends = [call.until - since for call in calls if call.until >= since] or [0]
            statuses = " ".join(sorted({str(call.status) for call in calls}))
            print(f"  {what}: {len(calls)}, statuses {statuses}, {min(ends):.2f} to {max(ends):.2f} s after SIGTERM")

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
