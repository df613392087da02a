"""Half of the targets have a gray failure while others drain: ejections must
not take the admitted targets of any node below the floor of the service
record."""

import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 91
NODES = 40
SERVICE, PATH = "price-board", "/boards/1"
WATCH_SECONDS = 10
LEAVING = 2


def count_below_floor(fleet):
    """Reads the state dumps of all nodes; returns the number of dumps below the
    floor and the number of dumps of the service."""
    below = seen = 0
    for index in range(NODES):
        for service in fleet.state(index)["services"]:
            if service["name"] != SERVICE:
                continue
            targets = service["targets"]
            needed = service["floor"] * len(targets)
            staying = [t for t in targets if t["state"] != "leaving"]
            admitted = sum(t["admitted"] for t in targets)
            seen += 1
            # Draining targets count as removed: if fewer targets remain than
            # the floor needs, all that remain must be admitted.
            below += admitted < min(needed, len(staying))
    return below, seen


def main():
    report = Report("floor", SEED)
    with Fleet(nodes=NODES) as fleet:
        load = start_load(nodes=fleet.node_list(), service=SERVICE, path=PATH,
                          rate=300, seconds=WATCH_SECONDS + 5, cost_us=5000,
                          accounts=40, connections=200, seed=SEED)
        time.sleep(3)
        targets = fleet.targets_of(SERVICE)
        half = len(targets) // 2
        below = seen = kept_by_floor = 0
        for target in targets[:half]:
            fleet.set_behaviour(target, "fail=1")
        for target in targets[half:half + LEAVING]:
            fleet.set_leaving(target)
        end = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < end:
            counts = count_below_floor(fleet)
            below += counts[0]
            seen += counts[1]
        for service in fleet.state(0)["services"]:
            kept_by_floor += sum(t["kept_by_floor"] for t in service["targets"])
        results = finish_load(load)
    report.add("dumps_below_the_floor", below, "dumps", at_most=0, seen=seen)
    report.add("dumps_seen", seen, "dumps", at_least=100)
    report.add("sick_kept_in_at_node_0", kept_by_floor, "targets")
    report.add("answered", results["answered"] / results["sent"], "share")
    report.finish()


if __name__ == "__main__":
    main()
