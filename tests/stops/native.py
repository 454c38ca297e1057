"""A planned stop of one instance of the product's own small site, which holds requests in every way.

Usage: native.py NAME=ENTRY/ADMIN/PID...    an instance's name, its ports for callers and operators, its process

All backend servers answer late, so that requests wait for slots, for peers and for answers until the end of the stop.
The instance that owns a server gets SIGTERM. Checks that its process ends in time and that each request which was
wholly sent, to it or to a peer that forwards to it, has a complete answer. Prints "ok NAME" or "FAILED NAME".
"""

import asyncio
import json
import os
import signal
import sys
import time
import urllib.request

from calls import HOST, Calls

TILL_KEY, SLOW_KEY = "demo-key-of-grocer", "demo-key-of-stall"
STOP_S = float(os.environ["STOP_TIMEOUT_MS"]) / 1000
END_S = STOP_S + 0.5  # the process has ended
ANSWER_BYTES = 3_000_000
SERVER_SLOTS = 8


class Instance:
    def __init__(self, text):
        self.name, _, rest = text.partition("=")
        self.entry, self.admin, self.pid = (int(part) for part in rest.split("/"))

    def state(self):
        with urllib.request.urlopen(f"http://{HOST}:{self.admin}/state") as answer:
            return json.load(answer)

    def ticket(self):
        request = urllib.request.Request(f"http://{HOST}:{self.entry}/v1/lookup?service=reorders&tickets=1",
                                         headers={"Authorization": f"Bearer {TILL_KEY}"})
        with urllib.request.urlopen(request) as answer:
            return json.load(answer)["tickets"][0]


def text(target, key=TILL_KEY, method="GET", fields="", body=b""):
    length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
    return f"{method} {target} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n{fields}{length}\r\n".encode() + body


async def read_late(calls, port, begin, read_from):
    """A caller that reads most of a long answer only in the stop."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=4096)
    call = calls.new("reads its answer slowly")
    call.sent = calls.clock()
    writer.write(text(f"/stock/x?bytes={ANSWER_BYTES}"))
    await reader.readuntil(b"\r\n\r\n")
    begin.set()
    await read_from.wait()
    try:
        await reader.readexactly(ANSWER_BYTES)
        call.status = 200
    except (asyncio.IncompleteReadError, OSError):
        pass
    call.until = calls.clock()
    writer.close()


def set_faults(fault):
    for port in os.environ["BACKENDS"].split():
        urllib.request.urlopen(urllib.request.Request(f"http://{HOST}:{port}/fault/{fault}", method="PUT"))


def alive(pid):
    try:
        with open(f"/proc/{pid}/stat") as stat:
            return stat.read().rpartition(") ")[2][0] != "Z"
    except OSError:
        return False


async def main():
    instances = [Instance(word) for word in sys.argv[1:]]
    owners = [i for i in instances if any(s["owned"] and s["name"] == "stock-1" for s in i.state()["backend_servers"])]
    stopped = owners[0]
    peers = [i for i in instances if i is not stopped]
    calls = Calls(time.monotonic)
    stopping, reading = asyncio.Event(), asyncio.Event()
    ticket = stopped.ticket()
    calls.start(read_late(calls, stopped.entry, reading, stopping))
    await asyncio.wait_for(reading.wait(), 5)
    set_faults("late")

    def hold(what, count, instance, message):
        for _ in range(count):
            calls.start(calls.once(what, message, instance.entry))

    hold("relayed for a peer", 2, peers[0], text("/stock/a"))
    await asyncio.sleep(0.2)
    hold("at an owned server or a peer", 2 * SERVER_SLOTS, stopped, text("/stock/b"))
    await asyncio.sleep(0.2)
    hold("waits for a slot", 6, stopped, text("/stock/c"))
    hold("waits for a token", 3, stopped, text("/stock/d", SLOW_KEY))
    hold("order of a peer", 1, peers[0],
         text("/reorders", method="POST", fields=f"Idempotency-Key: {ticket}\r\n", body=b"x"))
    hold("arrives in part", 1, stopped, text("/stock/e", method="POST", body=b"1234")[:-2])
    calls.start(calls.kept("look-up", lambda: text("/v1/lookup?service=stock"), stopped.entry))
    calls.start(calls.kept("operator", lambda: text("/state"), stopped.admin))
    await asyncio.sleep(0.5)
    begun = calls.clock()
    os.kill(stopped.pid, signal.SIGTERM)
    stopping.set()
    while alive(stopped.pid) and calls.clock() - begun < END_S:
        await asyncio.sleep(0.01)
    ended = calls.clock() - begun
    missed = [f"the process was there {ended:.2f} s after SIGTERM"] if alive(stopped.pid) else []
    await asyncio.wait(calls.tasks, timeout=3)
    missed += calls.lost() + [f"no answer: {call}" for call in calls.all if call.until is None]
    # Only the stop ended their waits, so they are not told that they exceeded a rate.
    missed += [f"429: {call}" for call in calls.all if call.status == 429]
    print(f"{'FAILED' if missed else 'ok'} process-stop-of-an-owner")
    print(f"  {stopped.name} ended {ended:.2f} s after SIGTERM")
    calls.print_ends(begun)
    for line in missed[:12]:
        print(f"  {line}")
    set_faults("none")
    await calls.close()
    sys.exit(1 if missed else 0)


asyncio.run(main())
