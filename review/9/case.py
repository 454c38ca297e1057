"""An instance gets SIGTERM while all slots of a service are taken and one request waits for the next free one."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from smallsite import Client, run  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "ct-b": "sicilia-est"}
KEY = "s989anu6wsjnbanfqasn"
SLOTS = 9
BUDGET_S = 12.0  # time budget of the clients and timeout of the route
LONG_S = 6.5  # work of a long request
SHORT_S = 0.3  # work of the others
LOSS_SLACK_S = 0.2
WAITING = 1


async def case(site, trouble):
    await site.open_store()
    for zone in ZONES:
        await site.add_endpoint("catalogo", zone, SLOTS, lambda target: LONG_S if "long" in target else SHORT_S)
    await site.configure(1, ["catalogo"],
                         [("hulo84.example", "/leny950/", "safe", "catalogo", BUDGET_S, 1.5, 2, 2)],
                         [{"name": "cuka620", "api_keys": [KEY], "priority": 1}])
    await site.start(list(ZONES))
    instance = site.instances[0]

    async def request(target):
        client = Client(site.record, instance.frontend, KEY)
        sent = site.record.now()
        attempt, status, _, _ = await client.request(target, int(BUDGET_S * 1000))
        client.close()
        return attempt, status, sent, site.record.now()

    for _ in range(20):  # ordinary traffic: each takes SHORT_S
        await asyncio.gather(*(request("/leny950/2f") for _ in range(4)))
    long = [asyncio.create_task(request("/leny950/long")) for _ in range(2 * SLOTS)]
    await asyncio.sleep(0.5)
    waiting = [asyncio.create_task(request("/leny950/2f")) for _ in range(WAITING)]
    await asyncio.sleep(0.1)
    stopped_at = site.record.now()
    if trouble:
        instance.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(instance.process.wait(), site.bounds["grace_s"])
            site.record.add(f"instance ct-a has ended, {site.record.now() - stopped_at:.2f} s after SIGTERM")
        except asyncio.TimeoutError:
            instance.send(signal.SIGKILL)
    ended = await asyncio.gather(*long, *waiting)
    ran = {attempt for endpoint in site.endpoints for attempt, *_ in endpoint.ran}
    # LOST: the process has read a whole request and the connection ends without a complete answer, here later than
    # loss_slack_s after its last byte was sent. Those passed on to an endpoint that was still at work in the last
    # sixth of grace_s aren't counted; the long ones are such.
    lost = [attempt for attempt, status, sent, until in ended
            if status is None and attempt not in ran and until - sent > LOSS_SLACK_S and until - sent < BUDGET_S]
    site.record.add(f"{sum(status == 200 for _, status, _, _ in ended)} of {len(ended)} answered with 200; lost without "
                    f"having been passed on: {lost}")
    return not lost


run(pathlib.Path(__file__).resolve().parent, case, ZONES)
