"""Many users come at once to a service whose endpoint has 1000 slots. An instance that reads its load must go on."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from smallsite import Client, need_descriptors, run  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "ct-b": "sicilia-est"}
KEY = "s989anu6wsjnbanfqasn"
SLOTS = 1000
USERS = 850  # that come at once, to instance ct-a
CALM = 4  # clients of instance ct-b
TIMEOUT_S = 4.0  # of the route
WORK_S = 0.3
BURST_WORK_S = 3.0
PERIOD_S = 0.2  # between two requests of a client


async def case(site, trouble):
    need_descriptors(2 * USERS + 300)
    await site.open_store()
    await site.add_endpoint("giacenza", "ct-a", SLOTS, lambda target: BURST_WORK_S if "burst" in target else WORK_S)
    await site.configure(1, ["giacenza"], [("hulo84.example", "/leny950/", "safe", "giacenza", TIMEOUT_S, 0.6, 2, 1)],
                         [{"name": "cuka620", "api_keys": [KEY], "priority": 1}])
    await site.start(list(ZONES))
    crowded, calm = site.instances
    answers = []

    async def client():
        kept = Client(site.record, calm.frontend, KEY)
        while site.record.now() < end:
            sent = site.record.now()
            _, status, _, _ = await kept.request("/leny950/2f", int(TIMEOUT_S * 1000), wait_s=TIMEOUT_S + 1)
            answers.append((site.record.now() - sent, status))
            await asyncio.sleep(PERIOD_S)
        kept.close()

    async def user():
        one = Client(site.record, crowded.frontend, KEY)
        await one.request("/leny950/burst", int(TIMEOUT_S * 1000), wait_s=TIMEOUT_S + 1)
        one.close()

    end = site.record.now() + 20
    clients = [asyncio.create_task(client()) for _ in range(CALM)]
    await asyncio.sleep(4)
    if trouble:
        site.record.add(f"{USERS} users send a request each to instance ct-a")
        await asyncio.gather(*(user() for _ in range(USERS)))
        site.record.add("all of them have ended")
    await asyncio.gather(*clients)
    # CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer
    # half a second later.
    open_at_timeout = [took for took, _ in answers if took > TIMEOUT_S]
    late = [took for took in open_at_timeout if took > TIMEOUT_S + 0.5]
    site.record.add(f"clients of ct-b: {len(answers)} requests, {sum(status == 200 for _, status in answers)} answered "
                    f"with 200, {len(open_at_timeout)} unanswered after {TIMEOUT_S} s, {len(late)} of these 0.5 s later")
    site.record.add(f"the endpoint's most running requests at a time: {max(e.most_running for e in site.endpoints)}")
    return not (open_at_timeout and len(late) > len(open_at_timeout) / 2)


run(pathlib.Path(__file__).resolve().parent, case, ZONES)
