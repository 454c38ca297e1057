"""A crowd of callers that one entry instance can't control.

Usage: crowd.py CASE ENTRY PID BOUND-MB BOUND-DESCRIPTORS

Plays one case of CASES against the instance at ENTRY (IP:PORT) and keeps the crowd's connections open. Then checks
that the process PID lives, that an ordinary request is answered, and that the process stayed under both bounds.
Exits with 1 and says what was missed otherwise. No check depends on time or on the share of requests served.
"""

import os
import select
import selectors
import socket
import sys
import time
import urllib.error
import urllib.request

KEY = "Authorization: Bearer demo-key-of-grocer"
BODY_BYTES = 1024 * 1024  # the largest body that the instance accepts
PIECE_BYTES = 16 * 1024
CHUNK_BYTES = 64 * 1024
HEAD_BYTES = 15 * 1024
CHUNK_LINE_BYTES = 60 * 1024
ANSWER_BYTES = 3 * 1024 * 1024
COMPLETE_EACH = 8  # one body in so many is sent to its end
LONGEST_SEND_S = 40
LONGEST_TURN_S = 1
SETTLE_S = 1
SETTLE_ROUNDS = 15
ORDINARY_TRIES = 60


def head(fields, method="POST", target="/stock/x"):
    return ("%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n%s\r\n\r\n" % (method, target, KEY, fields)).encode()


def by_length(number):
    message = head("Content-Length: %d" % BODY_BYTES) + bytes(BODY_BYTES)
    return message if number % COMPLETE_EACH == 0 else message[:-1]


def in_chunks(number):
    chunk = b"%x\r\n" % CHUNK_BYTES + bytes(CHUNK_BYTES) + b"\r\n"
    message = head("Transfer-Encoding: chunked") + chunk * (BODY_BYTES // CHUNK_BYTES) + b"0\r\n\r\n"
    return message if number % COMPLETE_EACH == 0 else message[:-1]


def long_lines(_):
    return (head("Transfer-Encoding: chunked\r\nX-Long: " + "x" * HEAD_BYTES) + b"10;" +
            b"x" * CHUNK_LINE_BYTES)


def half_a_head(_):
    return b"GET /stock/x HTTP/1.1\r\nHost:"


def large_answer(number):
    return head("X-Number: %d" % number, "GET", "/stock/x?bytes=%d" % ANSWER_BYTES)


class Case:
    def __init__(self, message, callers, piece=BODY_BYTES * 2, leaves=False, in_turn=False):
        self.message, self.callers, self.piece = message, callers, piece
        self.leaves, self.in_turn = leaves, in_turn  # in turn: once the answer to the one before has begun


CASES = {
    "bodies-by-length": Case(by_length, 240),
    "bodies-by-length-in-pieces": Case(by_length, 240, PIECE_BYTES),
    "bodies-in-chunks": Case(in_chunks, 240),
    "bodies-in-chunks-in-pieces": Case(in_chunks, 240, PIECE_BYTES),
    "heads-and-chunk-lines": Case(long_lines, 2000),
    "slow-readers": Case(large_answer, 120, in_turn=True),
    "callers-that-left": Case(large_answer, 240, leaves=True),
    "half-heads": Case(half_a_head, 1000),
}


class Caller:
    def __init__(self, address, message):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.settimeout(5)
        try:
            self.socket.connect(address)
        except OSError:
            message = b""
        self.socket.setblocking(False)
        self.rest = memoryview(message)

    def await_answer(self):
        select.select([self.socket], [], [], LONGEST_TURN_S)

    def send(self, piece):
        """Sends up to a piece. Returns False once there is nothing left to send, or the instance has closed."""
        try:
            sent = self.socket.send(self.rest[:piece])
            self.rest = self.rest[sent:]
        except BlockingIOError:
            pass
        except OSError:
            self.rest = memoryview(b"")
        return len(self.rest) > 0


class Process:
    def __init__(self, pid):
        self.folder = "/proc/%s" % pid
        self.most_descriptors = 0

    def lives(self):
        try:
            with open(self.folder + "/stat", encoding="utf-8") as file:
                return file.read().rsplit(")", 1)[1].split()[0] not in "ZX"
        except OSError:
            return False

    def look(self):
        try:
            self.most_descriptors = max(self.most_descriptors, len(os.listdir(self.folder + "/fd")))
        except OSError:
            pass

    def kilobytes(self, field):
        with open(self.folder + "/status", encoding="utf-8") as file:
            return next(int(line.split()[1]) for line in file if line.startswith(field))

    def settle(self):
        """Waits until the process has read what reached its machine: its memory has stopped to grow."""
        last = 0
        for _ in range(SETTLE_ROUNDS):
            self.look()
            time.sleep(SETTLE_S)
            now = self.kilobytes("VmHWM:")
            if now == last:
                return
            last = now


def send_all(callers, case, process):
    """Round robin, one piece for each caller that can take one, until all is sent or refused."""
    selector = selectors.DefaultSelector()
    for caller in callers:
        selector.register(caller.socket, selectors.EVENT_WRITE, caller)
    end = time.monotonic() + LONGEST_SEND_S
    while selector.get_map() and time.monotonic() < end:
        for key, _ in selector.select(timeout=0.2):
            if not key.data.send(case.piece):
                selector.unregister(key.data.socket)
                if case.leaves:
                    key.data.socket.close()
        process.look()
    selector.close()


def ordinary_is_answered(entry, process):
    for _ in range(ORDINARY_TRIES):
        process.look()
        try:
            request = urllib.request.Request("http://%s/stock/ordinary" % entry, headers=dict([KEY.split(": ")]))
            with urllib.request.urlopen(request, timeout=2) as answer:
                return answer.status == 200 and b"answer to" in answer.read()
        except (OSError, urllib.error.URLError):
            time.sleep(0.5)
    return False


def main():
    name, entry, pid, bound_mb, bound_descriptors = sys.argv[1:]
    case, process = CASES[name], Process(pid)
    ip, port = entry.split(":")
    callers = []
    for number in range(case.callers):
        callers.append(Caller((ip, int(port)), case.message(number)))
        if case.in_turn:
            send_all(callers[-1:], case, process)
            callers[-1].await_answer()
    send_all(callers, case, process)
    missed = []
    try:
        process.settle()
    except OSError:
        pass  # it has ended, as the checks find
    if not ordinary_is_answered(entry, process):
        missed.append("an ordinary request is not answered")
    if not process.lives():
        print("the process has ended")
        return 1
    peak = process.kilobytes("VmHWM:") / 1024
    print("peak memory %.0f MB of %s, descriptors %d of %s" % (
        peak, bound_mb, process.most_descriptors, bound_descriptors))
    if peak >= float(bound_mb):
        missed.append("the peak memory is over its bound")
    if process.most_descriptors >= int(bound_descriptors):
        missed.append("the open descriptors are over their bound")
    print("; ".join(missed))
    return 1 if missed else 0


sys.exit(main())
