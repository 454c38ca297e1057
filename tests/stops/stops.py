"""Planned stops of real processes, on a small deployment of the users' platform.

Usage: stops.py PROGRAM [CASE...]

Each case starts a deployment of its own, holds requests in every way that an instance can hold them, sends SIGTERM and
checks that the process ends by itself before `grace_s`, and that each request which was wholly sent has a complete
answer. Prints "ok NAME" or "FAILED NAME" for each case, and what was missed. Cases run at the same time.
"""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import time

from calls import Calls
import smallsite
from smallsite import HOST, Record, Site

PROGRAM = "build/src/vanillaloftd"
KEY = "s989anu6wsjnbanfqasn"
SLOTS = 3
MANY_SLOTS = 20
ENDPOINTS = 2
ROUTE_TIMEOUT_S = 30
TARGET_S = 0.05  # a request is expected to need twice this in a stop
WORK_S = {"long": 9, "middle": 0.4, "short": 0.05}
STOP_S = 5.5  # from SIGTERM to the end of the service


class LocalInstance(smallsite.Instance):
    """An instance that runs the program under test."""

    async def start(self, stdout=None):
        path = pathlib.Path(self.site.folder) / f"{self.zone}-{self.frontend}.toml"
        path.write_text(self.settings())
        self.log = path.with_suffix(".log")
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, env={"VANILLALOFT_BOOT": str(path)}, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)


smallsite.Instance = LocalInstance


class Stop:
    """A deployment with one instance that is stopped, and the requests that it holds."""

    async def open(self, zones=("ct-a", "ct-b"), endpoints=ENDPOINTS, slots=SLOTS):
        self.slots = endpoints * slots
        self.site = Site(Record(), {"ct-a": "sicilia-est", "ct-b": "sicilia-est"})
        self.calls = Calls(self.site.record.now)
        self.stopped_at = self.ended_after = None
        self.must_end = True  # before grace_s
        await self.site.open_store()
        for number in range(endpoints):
            await self.site.add_endpoint("catalogo", ("ct-a", "ct-b")[number % 2], slots,
                                         lambda target: WORK_S[target.rpartition("/")[2]])
        await self.site.configure(1, ["catalogo"], [("hulo84.example", "/leny950/", "safe", "catalogo",
                                                     ROUTE_TIMEOUT_S, TARGET_S, 2, 2)],
                                  [{"name": "cuka620", "api_keys": [KEY], "priority": 1}])
        await self.site.start(list(zones))
        self.instance = self.site.instances[0]

    @staticmethod
    def text(target, body=b"", sent_body=None):
        lines = [f"GET {target} HTTP/1.1", "Host: hulo84.example", f"Vanillaloft-Attempt-Id: {os.urandom(8).hex()}",
                 f"Vanillaloft-Deadline-Ms: {ROUTE_TIMEOUT_S * 1000}", f"Authorization: Token {KEY}"]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body if sent_body is None else sent_body)

    def hold(self, what, count, target):
        for _ in range(count):
            self.calls.start(self.calls.once(what, self.text(target), self.instance.frontend))

    async def learn_waits(self):
        """Lets requests wait and start, so that the instance expects short waits."""
        await asyncio.gather(*(self.calls.once("ordinary", self.text("/leny950/short"), self.instance.frontend)
                               for _ in range(20 * self.slots)))

    async def stop(self, meanwhile=()):
        """Sends SIGTERM. `meanwhile`: pairs of a time after it and what to do then."""
        self.stopped_at = self.site.record.now()
        self.instance.send(signal.SIGTERM)
        for at, act in meanwhile:
            self.calls.start(after(at, act))
        try:
            await asyncio.wait_for(self.instance.process.wait(), self.site.bounds["grace_s"])
            self.ended_after = self.site.record.now() - self.stopped_at
        except asyncio.TimeoutError:
            self.instance.send(signal.SIGKILL)
        if self.calls.tasks:
            await asyncio.wait(self.calls.tasks, timeout=3)

    def missed(self):
        missed = []
        if self.ended_after is None and self.must_end:
            missed.append("the process was still there at the end of grace_s")
        elif self.ended_after is not None and self.instance.process.returncode != 0:
            missed.append(f"the process ended with {self.instance.process.returncode}")
        return missed + self.calls.lost()

    async def close(self):
        await self.calls.close()
        await self.site.close()


def state_text():
    return f"GET /state HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


def lookup_text():
    return f"GET /v1/resolve?zone=ct-a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()


def hold_each_way(stop, waiting=20):
    """Requests at servers, waiting for capacity, and arriving; look-ups and operators' calls. One slot becomes free
    again and again, so that waiting pays up to the end."""
    body = bytes(1000)
    stop.hold("at a server", stop.slots - 1, "/leny950/long")
    stop.calls.start(after(0.5, lambda: stop.hold("waits for capacity", waiting, "/leny950/middle")))
    stop.calls.start(stop.calls.kept("look-up", lookup_text, stop.instance.directory))
    stop.calls.start(stop.calls.kept("operator", state_text, stop.instance.internal))
    for number in range(4):
        stop.calls.start(after(0.02 * number, lambda: stop.calls.start(
            stop.calls.kept("arrives in the stop", lambda: stop.text("/leny950/short"), stop.instance.frontend))))
    stop.calls.start(stop.calls.once("arrives in part", stop.text("/leny950/short", body, body[:500]),
                                     stop.instance.frontend))


async def after(delay, act):
    await asyncio.sleep(delay)
    act()


async def every_wait(stop):
    await stop.open()
    await stop.learn_waits()
    hold_each_way(stop)
    await asyncio.sleep(0.7)
    await stop.stop()


async def silent_store(stop):
    await stop.open()
    await stop.learn_waits()
    hold_each_way(stop)
    await asyncio.sleep(0.7)
    stop.site.store.handle = lambda *_: asyncio.sleep(60)
    await stop.stop()


async def suspended_at_the_end(stop):
    """The process gets no processor time from shortly before the end of its service to some time after it."""
    await stop.open(zones=("ct-a",), slots=MANY_SLOTS)
    stop.must_end = False  # one that wakes late may be killed, but only after its last answers
    await stop.learn_waits()
    hold_each_way(stop)
    await asyncio.sleep(0.7)
    await stop.stop([(STOP_S - 0.3, lambda: stop.instance.send(signal.SIGSTOP)),
                     (STOP_S + 0.2, lambda: stop.instance.send(signal.SIGCONT))])


async def frozen_peer(stop, at):
    await stop.open(zones=("ct-a", "ct-a", "ct-b"))
    hold_each_way(stop)
    await asyncio.sleep(1)
    peers = stop.site.instances[1:]
    if at < 0:
        peers[0].send(signal.SIGSTOP)
        await asyncio.sleep(-at)
    await stop.stop([(at, lambda: peers[0].send(signal.SIGSTOP))] if at >= 0 else [])


async def server_that_does_not_accept(stop):
    """Connections to a server wait until the end of the service."""
    await stop.open(endpoints=1)
    stop.hold("at a server", SLOTS, "/leny950/long")
    await asyncio.sleep(0.3)
    listening = socket.socket()
    listening.bind((HOST, 0))
    listening.listen(0)
    fillers = [socket.socket() for _ in range(4)]
    for filler in fillers:
        filler.setblocking(False)
        filler.connect_ex(listening.getsockname())
    entry = {"address": f"{HOST}:{listening.getsockname()[1]}", "born": int(time.time() * 1000),
             "info": {"service": "catalogo", "version": "v1", "zone": "ct-a", "slots": 400},
             "status": {"state": "ready", "seq": 1, "cold_left_s": 0}}
    await stop.site.store.put("servers/i-silent", json.dumps(entry).encode())
    await asyncio.sleep(1)
    stops_at = stop.site.record.now() + 1
    for number in range(60):
        stop.calls.start(stop.calls.kept_idle(stops_at + 4.6 + 0.015 * number, "waits for a connection",
                                              lambda: stop.text("/leny950/short"), stop.instance.frontend))
    await asyncio.sleep(1)
    await stop.stop()
    for opened in [listening, *fillers]:
        opened.close()


CASES = {
    "stop-ends-every-wait": every_wait,
    "stop-while-the-store-is-silent": silent_store,
    "stop-of-a-suspended-process": suspended_at_the_end,
    "stop-after-a-peer-froze": lambda stop: frozen_peer(stop, -0.1),
    "stop-while-a-peer-freezes": lambda stop: frozen_peer(stop, 2.0),
    "stop-before-a-peer-freezes": lambda stop: frozen_peer(stop, 5.0),
    "stop-while-connecting": server_that_does_not_accept,
}


async def play(name):
    stop = Stop()
    try:
        await asyncio.wait_for(CASES[name](stop), 60)
        missed = stop.missed()
    except Exception as error:  # noqa: BLE001
        missed = [f"the case could not run: {type(error).__name__}: {error}"]
    print(f"{'FAILED' if missed else 'ok'} process-{name}", flush=True)
    if stop.ended_after is not None:
        print(f"  the process ended {stop.ended_after:.2f} s after SIGTERM")
    if stop.stopped_at is not None:
        stop.calls.print_ends(stop.stopped_at)
    for line in missed[:12]:
        print(f"  {line}")
    if missed:
        lines = stop.instance.log.read_text(errors="replace").splitlines()
        held = [line for line in lines if any(word in line for word in ("request-held", "request-cut"))]
        print("  " + "\n  ".join(held[-40:] + lines[-8:]))
    await stop.close()
    return not missed


async def main(names):
    held = await asyncio.gather(*(play(name) for name in names))
    sys.exit(0 if all(held) else 1)


PROGRAM = sys.argv[1]
asyncio.run(main(sys.argv[2:] or list(CASES)))
