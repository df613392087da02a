"""Half of the targets turn gray while others leave: at no node and at no time
may ejections take the admitted capacity below the record's floor."""

import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 91
NODES = 40
SERVICE, PATH = "price-board", "/boards/1"
WATCH_SECONDS = 10
LEAVING = 2


def shortfalls(fleet):
    """(below the floor, dumps seen) over all nodes just now."""
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
            # Leaving targets count as gone: if too few stay, all of them serve.
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
        below = seen = kept = 0
        for target in targets[:half]:
            fleet.set_behaviour(target, "fail=1")
        for target in targets[half:half + LEAVING]:
            fleet.set_leaving(target)
        end = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < end:
            now = shortfalls(fleet)
            below += now[0]
            seen += now[1]
        for service in fleet.state(0)["services"]:
            kept += sum(t["kept_by_floor"] for t in service["targets"])
        figures = finish_load(load)
    report.add("dumps_below_the_floor", below, "dumps", at_most=0, seen=seen)
    report.add("dumps_seen", seen, "dumps", at_least=100)
    report.add("sick_kept_in_at_node_0", kept, "targets")
    report.add("answered", figures["answered"] / figures["sent"], "share")
    report.finish()


if __name__ == "__main__":
    main()
