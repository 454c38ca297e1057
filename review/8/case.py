"""The program that reads an instance's log pauses. The instance has to go on serving."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from smallsite import Client, run  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "ct-b": "sicilia-est"}
KEY = "s989anu6wsjnbanfqasn"
TIMEOUT_S = 4.0  # of the route
PAUSE_S = 20.0  # of the log's reader
CLIENTS = 10
PERIOD_S = 0.2  # between two requests of a client


async def case(site, trouble):
    await site.open_store()
    for zone in ZONES:
        await site.add_endpoint("giacenza", zone, 8, lambda target: 0.05)
    await site.configure(1, ["giacenza"], [("hulo84.example", "/leny950/", "safe", "giacenza", TIMEOUT_S, 0.6, 2, 1)],
                         [{"name": "cuka620", "api_keys": [KEY], "priority": 1}])
    reading, writing = os.pipe()
    # In a session of its own: the kernel ends a stopped process with SIGHUP when its group loses its last parent, as
    # when the shell that started this script ends meanwhile.
    reader = await asyncio.create_subprocess_exec("cat", stdin=reading, stdout=asyncio.subprocess.DEVNULL,
                                                  start_new_session=True)
    os.close(reading)
    await site.start(list(ZONES), stdout={"ct-a": writing})
    os.close(writing)
    instance = site.instances[0]
    answers = []  # (seconds until the answer, status)

    async def client():
        kept = Client(site.record, instance.frontend, KEY)
        while site.record.now() < end:
            sent = site.record.now()
            _, status, _, _ = await kept.request("/leny950/2f", int(TIMEOUT_S * 1000), wait_s=TIMEOUT_S + 1)
            answers.append((site.record.now() - sent, status))
            await asyncio.sleep(PERIOD_S)

    begin = site.record.now()
    end = begin + 5 + PAUSE_S
    clients = [asyncio.create_task(client()) for _ in range(CLIENTS)]
    await asyncio.sleep(3)
    if trouble:
        site.record.add(f"the reader of the log of instance ct-a, process {reader.pid}, pauses")
        reader.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    reader.send_signal(signal.SIGCONT)
    site.record.add("the reader of the log reads on")
    await asyncio.gather(*clients)
    reader.kill()
    await reader.wait()
    # CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer
    # half a second later.
    open_at_timeout = [took for took, _ in answers if took > TIMEOUT_S]
    late = [took for took in open_at_timeout if took > TIMEOUT_S + 0.5]
    site.record.add(f"{len(answers)} requests, {sum(status == 200 for _, status in answers)} answered with 200, "
                    f"{len(open_at_timeout)} unanswered after {TIMEOUT_S} s, {len(late)} of these 0.5 s later")
    return not (open_at_timeout and len(late) > len(open_at_timeout) / 2)


run(pathlib.Path(__file__).resolve().parent, case, ZONES)
