"""LOST: uploads that a node accepts after a SIGTERM are cut when it exits.

Two zones with two nodes each, twelve servers with three slots, which are more
than are needed. Clients keep their connections, and send a large photo slowly
and a small one at once by turns. The entry of the first zone gets SIGTERM.
"""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import BOUNDS, Client, Fleet, main, route  # noqa: E402

WORK_S = 1.7      # within the sheet's longest work of an upload, 1.8 s
DEADLINE_S = 6.0  # of an upload, as on the sheet
LARGE = b"p" * 352_000  # within the sheet's largest upload, 360,000 bytes
PIECES = 32       # of a large upload, which takes 3.1 s to send
PAUSE_S = 0.1
SMALL = b"p" * 20_000
SERVERS = 12
CLIENTS = 30      # in each zone
TERM_AT_S = 12.0
LENGTH_S = 24.0
GRACE_S = BOUNDS["grace-s"]


async def upload(fleet, record, zone, end, requests):
    """One client: keeps its connection while the node does."""
    client = Client(record)
    large = False
    await asyncio.sleep(random.random() * 6)
    while record.now() < end:
        if not await client.open(fleet, zone):
            continue
        large = not large
        request = await client.send(
            "/photos/a", "POST", LARGE if large else SMALL, DEADLINE_S,
            pieces=PIECES if large else 1, pause_s=PAUSE_S)
        requests.append(request)
        if request.status != 200:
            wait = float(request.headers.get("retry-after", 0.2))
            await asyncio.sleep(min(wait, DEADLINE_S / 3))
    client.close()


def lost(requests, servers, node, term):
    """The requests that break the rule as it is written."""
    for request in requests:
        if (request.status is not None
                or request.address != node.listen["front"]):
            continue
        if not term <= request.ended <= term + GRACE_S + 1:
            continue  # Not around the planned work.
        if not request.whole:
            continue  # No process has read a whole request.
        if request.ended - request.began >= DEADLINE_S - 0.2:
            continue  # The deadline was reached.
        runs = [(s.run_start[request.attempt],
                 s.run_end.get(request.attempt, float("inf")))
                for s in servers if request.attempt in s.run_start]
        arrived = any(request.attempt == entry[1]
                      for s in servers for entry in s.arrived)
        late = request.ended > request.sent + BOUNDS["loss-slack-s"]
        if not (arrived or late):
            continue
        # The excuse: sent within 3 s after the SIGTERM, and a server was still
        # at work in the last sixth of the grace time.
        at_work = any(end >= term + GRACE_S * 5 / 6 for _, end in runs)
        if request.sent <= term + 3 and at_work:
            continue
        yield request, arrived


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        for _ in range(SERVERS):
            fleet.add_server("fotos", work_s=WORK_S)
        await fleet.start({"r-photos": route("/photos/", "fotos", "upload", 6)})
        start = record.now()
        requests = []
        addresses = await fleet.resolve("za")
        node = fleet.node_at(addresses[0])
        clients = [asyncio.create_task(upload(
            fleet, record, zone, start + LENGTH_S, requests))
            for zone in ("za", "zb") for _ in range(CLIENTS)]
        await asyncio.sleep(TERM_AT_S)
        term = record.now()
        if trouble:
            node.signal(signal.SIGTERM)
            if not await node.ended(GRACE_S):
                node.signal(signal.SIGKILL)
            record.write(f"{node.name} has ended")
        await asyncio.gather(*clients)
        broken = list(lost(requests, fleet.servers, node, term))
        for request, arrived in broken:
            record.write(
                f"LOST: {request.attempt} sent {request.sent - term:.2f} s "
                f"after the SIGTERM, cut after {request.ended - term:.2f} s, "
                f"{'passed on to a server' if arrived else 'not passed on'}")
        served = sum(request.status == 200 for request in requests)
        summary = (f"{len(requests)} uploads, {served} served, "
                   f"{len(broken)} lost")
        record.write(summary)
        print(summary)
        return not broken
    finally:
        fleet.stop()


main(case, FOLDER)
