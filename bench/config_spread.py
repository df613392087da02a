"""Time from a change at the platform to its being in force on the last node;
bursts, a platform that is away, one that is stale, and restarted nodes."""

import json
import random
import signal
import time

from fleet import NODE_PORT, Fleet, send_request
from report_lines import Report

SEED = 71
NODES = 40
SECONDS_BOUND = 3.0
CHANGES = 12
BURST = 100
POLL = 0.02
FLEETS = (10, 20, 40, 80)


def account(name, revision, rate=5):
    return {"schema": 2, "kind": "account", "name": name,
            "revision": revision, "rate_per_s": rate}


def digests(fleet, nodes):
    return {fleet.state(i)["gossip"]["records_digest"] for i in nodes}


def accounts_known(fleet, index):
    return fleet.state(index)["config"]


def spread(fleet, records, nodes, highest):
    """Seconds until all nodes hold the highest revision and the same records."""
    start = time.monotonic()
    fleet.publish(records)
    while time.monotonic() - start < 20:
        behind = [i for i in nodes
                  if accounts_known(fleet, i)["highest_revision"] < highest]
        if not behind and len(digests(fleet, nodes)) == 1:
            break
        time.sleep(POLL)
    return time.monotonic() - start


def reverted(fleet, nodes, highest):
    return sum(accounts_known(fleet, i)["highest_revision"] < highest
               for i in nodes)


def served_from_nothing(index):
    """Whether a node that has just started denies a route that exists."""
    try:
        return send_request(NODE_PORT + index, "GET", "/boards/1")[0] == 404
    except OSError:
        return False  # It does not listen yet.


def main():
    report = Report("config-spread", SEED)
    dice = random.Random(SEED)
    nodes = list(range(NODES))
    with Fleet(nodes=NODES) as fleet:
        revision = 1000
        single = []
        for i in range(CHANGES):
            revision += 1
            single.append(spread(fleet, [account(f"a{i}", revision)], nodes,
                                 revision))
            time.sleep(dice.uniform(0, 0.3))
        report.add("one_change_worst", max(single), "s",
                   at_most=SECONDS_BOUND,
                   median=round(sorted(single)[len(single) // 2], 3))
        burst = []
        for _ in range(3):
            records = []
            for i in range(BURST):
                revision += 1
                records.append(account(f"b{i}", revision))
            burst.append(spread(fleet, records, nodes, revision))
        report.add("burst_of_100_worst", max(burst), "s",
                   at_most=SECONDS_BOUND)

        fleet.set_platform_mode("stale=9")  # answers old revisions from now on
        gone = nodes[::2]
        for index in gone:
            fleet.signal(f"node-{index}", signal.SIGKILL)
            fleet.processes[f"node-{index}"].wait()
            fleet.start_node(index)
        served_early = sum(served_from_nothing(i) for i in gone)
        fleet.await_ready(nodes)
        time.sleep(3)
        report.add("reverted_under_a_stale_platform",
                   reverted(fleet, nodes, revision), "nodes", at_most=0)
        fleet.set_platform_mode("stale=no&outage=1")
        for index in gone:
            fleet.signal(f"node-{index}", signal.SIGKILL)
            fleet.processes[f"node-{index}"].wait()
            fleet.start_node(index)
        served_early += sum(served_from_nothing(i) for i in gone)
        start = time.monotonic()
        fleet.await_ready(nodes)
        report.add("boot_from_peers_platform_away", time.monotonic() - start,
                   "s")
        report.add("reverted_with_the_platform_away",
                   reverted(fleet, nodes, revision), "nodes", at_most=0)
        report.add("served_from_nothing", served_early, "requests", at_most=0)
        fleet.set_platform_mode("outage=0")
        revision += 1
        report.add("change_after_the_outage",
                   spread(fleet, [account("late", revision)], nodes, revision),
                   "s")
    for count in FLEETS:
        with Fleet(nodes=count) as fleet:
            time.sleep(3)
            before = fleet.platform_calls()["calls"]
            time.sleep(8)
            calls = (fleet.platform_calls()["calls"] - before) / 8
        report.add("platform_calls", calls, "1/s", nodes=count, at_most=12)
    report.finish()


if __name__ == "__main__":
    main()
