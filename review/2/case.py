"""Orders wait for a free slot while the operator adds a route to a new service and takes it away again."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import deployment as d  # noqa: E402

ZONES = {"ct-a": "sicilia-est", "pa-a": "sicilia-ovest", "rc-a": "calabria"}
SERVICES = ["catalogo", "giacenza", "ordini", "verifica"]
NEW_SERVICE = "archivio"
KEYS = {"grocer": ["key-of-grocer"]}
# The only service to which any configuration of this day sends a prefix.
SERVICE_OF = {"/catalog/": "catalogo", "/stock/": "giacenza", "/reorder/": "ordini", "/check/": "verifica",
              "/archive/": NEW_SERVICE}
CHANGES, GAP_S = 12, 2.0
ORDERS_PER_S = 51.2  # as on the sheet


def config(number):
    added = number % 2 == 0
    paths = [d.route("catalog", "/catalog/", "safe", "catalogo", 12, 1.5),
             d.route("stock", "/stock/", "safe", "giacenza", 4, 0.6),
             d.route("reorder", "/reorder/", "unsafe", "ordini", 6, 0.8),
             d.route("check", "/check/", "safe", "verifica", 2, 0.25)]
    if added:
        paths.append(d.route("archive", "/archive/", "safe", NEW_SERVICE, 4, 0.6))
    services = sorted(SERVICES + ([NEW_SERVICE] if added else []))
    return d.config("r%d" % (2 * number + 1), services, {"lesta.example": paths}, KEYS)


async def play(make):
    site = make(ZONES)
    for zone in ZONES:
        site.add_instance("front-" + zone, zone)
        # 12 endpoints of each service, with the slots and the work of the lesta-prezzi sheet.
        for name, slots, work_s in 4 * [("catalogo", 9, 2.2), ("giacenza", 8, 0.88), ("ordini", 4, 1.16),
                                        ("verifica", 3, 0.352)]:
            await site.add_server(name, zone, slots, work_s)
    await site.add_server(NEW_SERVICE, "ct-a", 8, 0.88)
    site.apply(config(1))
    await site.start_instances()
    clients = [d.Client(site, instance) for instance in site.instances]

    async def order():
        number = site.random.randrange(10**6)
        await site.random.choice(clients).send("POST", "lesta.example", "/reorder/%d" % number, "key-of-grocer",
                                               6000, b"one carton")

    async def look():
        await site.random.choice(clients).send("GET", "lesta.example", "/stock/x", "key-of-grocer", 4000)

    total = 3 + CHANGES * GAP_S + 2
    offers = [asyncio.ensure_future(site.offer(ORDERS_PER_S, total, order)), asyncio.ensure_future(site.offer(6.0, total, look))]
    await asyncio.sleep(3)
    for number in range(2, CHANGES + 2):
        if site.trouble:
            site.apply(config(number))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*offers)
    await site.settle()
    if site.check_alive():
        raise d.CannotRun("an instance ended: %s" % site.check_alive())
    if len(site.runs) < 100:
        raise d.CannotRun("only %d requests ran" % len(site.runs))

    broken = 0
    for time_s, server, service, attempt, method, target, tenant, _ in site.runs:
        allowed = SERVICE_OF["/" + target.split("/")[1] + "/"]
        if service != allowed:
            broken += 1
            text = "%.3f s: %s %s, which every configuration sends to %s, ran at %s, a server of %s" % (
                time_s, method, target, allowed, server, service)
            site.record.line("ROUTE", attempt, text)
    print("ROUTE: %d of %d requests that ran were run by a service to which no configuration sends them"
          % (broken, len(site.runs)))
    return broken > 0


d.main(play, HERE)
