"""Time from a change at the platform until the last node has applied it, for
single changes and bursts. Nodes that restart while the platform serves stale
records, or is unreachable, must not revert to older records."""

import json
import random
import signal
import time

from fleet import NODE_PORT, Fleet, send_request
from report_lines import Report

SEED = 71
NODES = 40
PROPAGATION_BOUND_SECONDS = 3.0
CHANGES = 12
BURST = 100
POLL_SECONDS = 0.02
FLEETS = (10, 20, 40, 80)


def account(name, revision, rate=5):
    return {"schema": 2, "kind": "account", "name": name,
            "revision": revision, "rate_per_s": rate}


def digests(fleet, nodes):
    return {fleet.state(i)["gossip"]["records_digest"] for i in nodes}


def config_state(fleet, index):
    return fleet.state(index)["config"]


def propagation_time(fleet, records, nodes, newest):
    """Publishes the records; returns the seconds until all nodes have the
    newest revision and the same records."""
    start = time.monotonic()
    fleet.publish(records)
    while time.monotonic() - start < 20:
        behind = [i for i in nodes
                  if config_state(fleet, i)["highest_revision"] < newest]
        if not behind and len(digests(fleet, nodes)) == 1:
            break
        time.sleep(POLL_SECONDS)
    return time.monotonic() - start


def count_reverted(fleet, nodes, newest):
    """Number of nodes whose records are older than the newest revision."""
    return sum(config_state(fleet, i)["highest_revision"] < newest
               for i in nodes)


def rejects_known_route(index):
    """Whether a node that has just started answers 404 for an existing route,
    that is, serves requests before it has any records."""
    try:
        return send_request(NODE_PORT + index, "GET", "/boards/1")[0] == 404
    except OSError:
        return False  # The node does not listen yet.


def main():
    report = Report("config-spread", SEED)
    rng = random.Random(SEED)
    nodes = list(range(NODES))
    with Fleet(nodes=NODES) as fleet:
        revision = 1000
        change_times = []
        for i in range(CHANGES):
            revision += 1
            change_times.append(propagation_time(
                fleet, [account(f"a{i}", revision)], nodes, revision))
            time.sleep(rng.uniform(0, 0.3))
        report.add("one_change_worst", max(change_times), "s",
                   at_most=PROPAGATION_BOUND_SECONDS,
                   median=round(
                       sorted(change_times)[len(change_times) // 2], 3))
        burst_times = []
        for _ in range(3):
            records = []
            for i in range(BURST):
                revision += 1
                records.append(account(f"b{i}", revision))
            burst_times.append(
                propagation_time(fleet, records, nodes, revision))
        report.add("burst_of_100_worst", max(burst_times), "s",
                   at_most=PROPAGATION_BOUND_SECONDS)

        # The platform serves only the changes up to version 9 from here on.
        fleet.set_platform_mode("stale=9")
        restarted = nodes[::2]
        for index in restarted:
            fleet.signal(f"node-{index}", signal.SIGKILL)
            fleet.processes[f"node-{index}"].wait()
            fleet.start_node(index)
        early_rejections = sum(rejects_known_route(i) for i in restarted)
        fleet.await_ready(nodes)
        time.sleep(3)
        report.add("reverted_under_a_stale_platform",
                   count_reverted(fleet, nodes, revision), "nodes", at_most=0)
        fleet.set_platform_mode("stale=no&outage=1")
        for index in restarted:
            fleet.signal(f"node-{index}", signal.SIGKILL)
            fleet.processes[f"node-{index}"].wait()
            fleet.start_node(index)
        early_rejections += sum(rejects_known_route(i) for i in restarted)
        start = time.monotonic()
        fleet.await_ready(nodes)
        report.add("boot_from_peers_platform_away", time.monotonic() - start,
                   "s")
        report.add("reverted_with_the_platform_away",
                   count_reverted(fleet, nodes, revision), "nodes", at_most=0)
        report.add("served_from_nothing", early_rejections, "requests",
                   at_most=0)
        fleet.set_platform_mode("outage=0")
        revision += 1
        report.add("change_after_the_outage",
                   propagation_time(fleet, [account("late", revision)], nodes,
                                    revision),
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
