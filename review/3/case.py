"""Two tenants are taken out of the configuration while their requests wait for tokens of a frozen instance."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import deployment as d  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "pa-a": "sicilia-ovest", "rc-a": "calabria"}
TENANTS = ["grocer", "stall", "market", "pharmacy", "bakery", "hardware"]
REMOVED = TENANTS[-2:]
KEYS = {name: ["key-of-" + name] for name in TENANTS}
RATE = 400  # requests per second of each tenant
LOOKS_PER_S = 140  # of both tenants together
FREEZE_S = 4.0
LOST_ALLOWED = 3  # RULES.md, LOST: "more than three times"


def config(version, tenants):
    paths = [d.route("stock", "/stock/", "safe", "giacenza", 4, 0.6),
             d.route("reorder", "/reorder/", "unsafe", "ordini", 6, 0.8)]
    return d.config(version, ["giacenza", "ordini"], {"lesta.example": paths}, {name: KEYS[name] for name in tenants},
                    {name: RATE for name in tenants})


async def holds_shares(site, instance):
    _, metrics = await d.ask((instance.ip, site.ports["internal"]), "/metrics")
    return b"vanillaloft_share_holder 1" in metrics.split(b"\n")


async def play(make):
    site = make(ZONES)
    for zone in ZONES:
        for name in ("front-%s-1", "front-%s-2"):
            site.add_instance(name % zone, zone)
        for _ in range(4):
            await site.add_server("ordini", zone, 4, 1.16)
            await site.add_server("giacenza", zone, 8, 0.1)
    site.apply(config("r1", TENANTS))
    await site.start_instances()
    supervisor = asyncio.ensure_future(site.supervise())
    clients = [d.Client(site, instance) for instance in site.instances]
    in_ct_a = clients[:2]  # both tenants have their shops near ct-a

    async def order():
        number = site.random.randrange(10**6)
        await site.random.choice(clients).send("POST", "lesta.example", "/reorder/%d" % number, "key-of-grocer",
                                               6000, b"one carton")

    async def look():
        await site.random.choice(in_ct_a).send("GET", "lesta.example", "/stock/x",
                                                "key-of-" + site.random.choice(REMOVED), 4000)

    offers = [asyncio.ensure_future(site.offer(36.0, 14, order)), asyncio.ensure_future(site.offer(LOOKS_PER_S, 14, look))]
    await asyncio.sleep(5)
    if site.trouble:
        holder = [instance for instance in site.instances[:2] if await holds_shares(site, instance)]
        if len(holder) != 1:
            raise d.CannotRun("%d instances of ct-a hold its shares" % len(holder))
        holder[0].signal(signal.SIGSTOP)
        await asyncio.sleep(0.7)
        site.apply(config("r3", TENANTS[:-2]))  # the tenants and their keys are gone
        await asyncio.sleep(FREEZE_S - 0.7)
        holder[0].signal(signal.SIGCONT)
    await asyncio.gather(*offers)
    await site.settle()
    supervisor.cancel()
    await asyncio.gather(*site.restarts)
    if len(site.runs) < 200:
        raise d.CannotRun("only %d requests ran" % len(site.runs))

    frozen = holder[0].name if site.trouble else None
    lost = [run for run in site.runs if run[3] in site.kept and site.answers.get(run[3]) == ""
            and site.sent[run[3]][1] != frozen]
    for time_s, server, _, attempt, method, target, tenant, _ in lost:
        site.record.line("LOST", attempt, "%s %s of %s ran at %s at %.3f s; its kept connection ended without an "
                         "answer" % (method, target, tenant, server, time_s))
    print("LOST: %d requests ran whose kept connection, to an instance that was not frozen, was closed without an "
          "answer; frozen: %s; ended by themselves: %s" % (len(lost), frozen, [end[1:] for end in site.own_ends]))
    return len(lost) > LOST_ALLOWED


d.main(play, HERE)
