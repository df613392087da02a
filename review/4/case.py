"""CONFIG: a configuration with a long timeout-s never comes into force.

Two zones with two nodes each, two services. The operator gives the route of
uploads a timeout-s of 600; then a further change moves the route of orders to
the other service.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import BOUNDS, Client, Fleet, main, route  # noqa: E402

LONG_S = 600       # timeout-s of the route of uploads, with the disruption
SHORT_S = 60       # and without it
CLIENTS = 4        # in each zone
CHANGE_AT_S = 4.0
MOVE_AT_S = 8.0
LENGTH_S = 20.0


async def order(fleet, record, zone, end, requests):
    client = Client(record)
    number = 0
    while record.now() < end:
        number += 1
        if not await client.open(fleet, zone):
            continue
        requests.append(await client.send(f"/orders/{number}", "POST", b"lot",
                                          4.0))
        await asyncio.sleep(0.1)
    client.close()


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        for _ in range(2):
            fleet.add_server("old", work_s=0.05)
            fleet.add_server("new", work_s=0.05)
        timeout = LONG_S if trouble else SHORT_S
        orders = route("/orders/", "old", "unsafe")
        await fleet.start({"r-orders": orders,
                           "r-photos": route("/photos/", "new", "upload", 6)})
        start = record.now()
        requests = []
        clients = [asyncio.create_task(order(
            fleet, record, zone, start + LENGTH_S, requests))
            for zone in ("za", "zb") for _ in range(CLIENTS)]
        await asyncio.sleep(CHANGE_AT_S)
        photos = route("/photos/", "new", "upload", timeout)
        await fleet.configure({"r-orders": orders, "r-photos": photos},
                              {"old", "new"})
        await asyncio.sleep(MOVE_AT_S - CHANGE_AT_S)
        await fleet.configure({"r-orders": {**orders, "service": "new"},
                               "r-photos": photos}, {"old", "new"})
        in_force = record.now() + BOUNDS["config-apply-s"]
        await asyncio.gather(*clients)
        stale = 0
        for request in requests:
            if request.sent <= in_force:
                continue
            for server in fleet.servers:
                if server.service == "old" and request.attempt in \
                        server.run_start:
                    stale += 1
                    record.write(
                        f"CONFIG: {request.attempt}, sent "
                        f"{request.sent - in_force:.2f} s after the new "
                        f"version is due, is run by {server.id} of the old "
                        "service")
        summary = (f"{sum(r.sent > in_force for r in requests)} requests sent "
                   f"after the new version is due, {stale} run by the old "
                   "service")
        record.write(summary)
        print(summary)
        return stale == 0
    finally:
        fleet.stop()


main(case, FOLDER)
