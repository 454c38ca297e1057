"""An endpoint leaves while one instance is cut off from the store; another instance is restarted right after that."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import deployment as d  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "pa-a": "sicilia-ovest", "rc-a": "calabria"}
KEYS = {"grocer": ["key-of-grocer"]}
CUT_S = 5.0  # of the instance in ct-a from the store
SERVES_ON_S = 14.0  # the leaving endpoint serves this long after drain_s, then it exits
SERVERS_PER_ZONE = 3


async def play(make):
    site = make(ZONES)
    for zone in ZONES:
        site.add_instance("front-" + zone, zone)
        for _ in range(SERVERS_PER_ZONE):
            await site.add_server("ordini", zone, 4, 0.3)
    paths = [d.route("reorder", "/reorder/", "unsafe", "ordini", 6, 0.8)]
    site.apply(d.config("r1", ["ordini"], {"lesta.example": paths}, KEYS))
    await site.start_instances()
    cut, restarted = site.instances[0], site.instances[1]
    clients = [d.Client(site, instance) for instance in (cut, site.instances[2])]

    async def order():
        number = site.random.randrange(10**6)
        await site.random.choice(clients).send("POST", "lesta.example", "/reorder/%d" % number, "key-of-grocer",
                                               6000, b"one carton")

    total = 4 + 1 + d.BOUNDS["drain_s"] + SERVES_ON_S
    offer = asyncio.ensure_future(site.offer(12.0, total, order))
    await asyncio.sleep(4)
    if site.trouble:
        site.store.cut.add(cut.name)
        site.record.line("core_cut", cut.name)
    cut_at = site.record.now()
    await asyncio.sleep(1)
    leaving = next(server for server in site.servers if server.zone == "ct-a")
    site.store.delete("servers/" + leaving.id)  # it never reports draining; its entry is removed
    left_at = site.record.now()
    site.record.line("left", leaving.id, "its entry was removed")
    if site.trouble:
        await restarted.kill()
        await asyncio.sleep(0.2)
        restarted.start()
    await asyncio.sleep(max(0, CUT_S - (site.record.now() - cut_at)))
    site.store.cut.discard(cut.name)
    healed_at = site.record.now()
    site.record.line("core_cut ends")
    await offer
    await site.settle()
    if site.check_alive():
        raise d.CannotRun("an instance ended: %s" % site.check_alive())

    # Machines in touch: for the whole stable_s before, a path to the store and no disruption of their own.
    broken = 0
    for time_s, server, _, attempt, method, target, _, _ in site.runs:
        sent_at, instance, _, _ = site.sent[attempt]
        in_touch_from = healed_at + d.BOUNDS["stable_s"] if site.trouble and instance == cut.name else 0
        late = server == leaving.id and time_s > left_at + d.BOUNDS["drain_s"] and sent_at > in_touch_from
        if late:
            broken += 1
            site.record.line("DRAIN", attempt, instance, "%.1f s after the entry was removed" % (time_s - left_at))
    print("DRAIN: %d requests reached %s later than drain_s = %d s after its entry was removed, by machines in touch"
          % (broken, leaving.id, d.BOUNDS["drain_s"]))
    return broken > 0


d.main(play, HERE)
