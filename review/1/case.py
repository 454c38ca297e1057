"""The operator takes the limit off one tenant while another tenant's orders are running."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import deployment as d  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "pa-a": "sicilia-ovest", "rc-a": "calabria"}
KEYS = {"grocer": ["key-of-grocer"], "hardware": ["key-of-hardware"]}
LOST_ALLOWED = 3  # RULES.md, LOST: "more than three times"
MACHINES_ALLOWED, ENDS_ALLOWED = 2, 3  # RULES.md, Fault: a tenth of the machines, two at least, three times


def config(version, hardware_rate):
    paths = [d.route("stock", "/stock/", "safe", "giacenza", 4, 0.6),
             d.route("reorder", "/reorder/", "unsafe", "ordini", 6, 0.8)]
    return d.config(version, ["giacenza", "ordini"], {"lesta.example": paths}, KEYS, {"hardware": hardware_rate})


async def play(make):
    site = make(ZONES)
    for zone in ZONES:
        site.add_instance("front-" + zone, zone)
        for _ in range(2):
            await site.add_server("ordini", zone, 4, 1.16)
        await site.add_server("giacenza", zone, 8, 0.88)
    site.apply(config("r1", 142))
    await site.start_instances()
    supervisor = asyncio.ensure_future(site.supervise())
    clients = [d.Client(site, instance) for instance in site.instances]

    async def order():
        number = site.random.randrange(10**6)
        await site.random.choice(clients).send("POST", "lesta.example", "/reorder/%d" % number, "key-of-grocer",
                                               6000, b"one carton")

    async def look():
        await site.random.choice(clients).send("GET", "lesta.example", "/stock/x", "key-of-hardware", 4000)

    offers = [asyncio.ensure_future(site.offer(10.0, 16, order)), asyncio.ensure_future(site.offer(4.0, 16, look))]
    await asyncio.sleep(5)
    if site.trouble:
        site.apply(config("r3", 0))  # "0 or omitted means no limit"
    await asyncio.gather(*offers)
    await site.settle()
    supervisor.cancel()
    await asyncio.gather(*site.restarts)
    if len(site.runs) < 50:
        raise d.CannotRun("only %d requests ran" % len(site.runs))

    lost = [run for run in site.runs if run[3] in site.kept and site.answers.get(run[3]) == ""]
    for time_s, server, _, attempt, method, target, tenant, _ in lost:
        site.record.line("LOST", attempt, "%s %s of %s ran at %s at %.3f s; its kept connection ended without an "
                         "answer" % (method, target, tenant, server, time_s))
    ends = {name: sum(1 for end in site.own_ends if end[1] == name) for _, name, _ in site.own_ends}
    machines = sum(1 for count in ends.values() if count >= ENDS_ALLOWED)
    print("LOST: %d requests ran whose kept connection was closed without an answer" % len(lost))
    print("Fault: processes that ended by themselves, by machine: %s; exit status %s"
          % (ends, sorted({end[2] for end in site.own_ends})))
    return len(lost) > LOST_ALLOWED or machines >= MACHINES_ALLOWED


d.main(play, HERE)
