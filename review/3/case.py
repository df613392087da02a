"""DENIED: nodes that know no configuration answer 404.

Two zones with two nodes each. The store is down; all processes of the system
are killed and started again.
"""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import Client, Fleet, main, route  # noqa: E402

CLIENTS = 4        # in each zone
DOWN_AT_S = 4.0    # the store is down from here on
KILL_AT_S = 4.5
UP_AT_S = 8.5      # and up again: 4.5 s, as in the site file's troubles
LENGTH_S = 14.0


async def order(fleet, record, zone, end, requests):
    """One client: a new connection for each request."""
    addresses = []
    number = 0
    while record.now() < end:
        number += 1
        client = Client(record)
        addresses = await fleet.resolve(zone) or addresses
        try:
            await client.connect(addresses[number % len(addresses)])
        except (ZeroDivisionError, OSError, TimeoutError):
            client.close()
            await asyncio.sleep(0.2)
            continue
        requests.append(await client.send(
            f"/orders/{number}", "POST", b"lot", 4.0,
            {"Connection": "close"}))
        await asyncio.sleep(0.1)


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        for _ in range(4):
            fleet.add_server("orders", work_s=0.1)
        await fleet.start({"r-orders": route("/orders/", "orders", "unsafe")})
        start = record.now()
        requests = []
        clients = [asyncio.create_task(order(
            fleet, record, zone, start + LENGTH_S, requests))
            for zone in ("za", "zb") for _ in range(CLIENTS)]
        await asyncio.sleep(DOWN_AT_S)
        if trouble:
            await fleet.store.set_busy(True)
        await asyncio.sleep(KILL_AT_S - DOWN_AT_S)
        if trouble:
            for node in fleet.nodes:
                node.signal(signal.SIGKILL)
            for node in fleet.nodes:
                await node.ended()
            await asyncio.sleep(0.3)
            for node in fleet.nodes:
                node.start()
        await asyncio.sleep(UP_AT_S - KILL_AT_S)
        if trouble:
            await fleet.store.set_busy(False)
        await asyncio.gather(*clients)
        denied = [r for r in requests if r.status in (401, 403, 404)]
        for request in denied:
            record.write(f"DENIED: {request.attempt} got {request.status} "
                         f"from {request.address}")
        counts = {}
        for request in requests:
            counts[request.status] = counts.get(request.status, 0) + 1
        summary = f"{len(requests)} requests by status: {counts}"
        record.write(summary)
        print(summary)
        # More than ten from machines out of touch, or any from one in touch:
        # all of these are out of touch.
        return len(denied) <= 10
    finally:
        fleet.stop()


main(case, FOLDER)
