"""Targets that leave, by each source in turn, and nodes that leave: no new work
after two seconds, and no request cut."""

import signal
import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 61
NODES = 40
GRACE_SECONDS = 2.0
WATCH_SECONDS = 6
SERVICE, PATH = "price-board", "/boards/1"


def last_work(fleet, target, leave):
    """Seconds from the leave to the last new work within the watch."""
    fleet.take_work_times(target)
    start = time.clock_gettime(time.CLOCK_BOOTTIME)
    leave()
    time.sleep(WATCH_SECONDS)
    times = [at - start for at in fleet.take_work_times(target) if at >= start]
    return max(times, default=0.0)


def main():
    report = Report("drain", SEED)
    with Fleet(nodes=NODES) as fleet:
        load = start_load(nodes=fleet.node_list(), service=SERVICE, path=PATH,
                          rate=300, seconds=32, cost_us=20000, accounts=40,
                          connections=200, seed=SEED, log="out/bench/drain.log")
        time.sleep(3)
        targets = fleet.targets_of(SERVICE)
        own = last_work(fleet, targets[0], lambda: fleet.set_leaving(targets[0]))
        fleet.set_leaving(targets[0], 0)
        listed = last_work(fleet, targets[1], lambda: fleet.publish_instances(
            leaving_targets=[targets[1]]))
        fleet.publish_instances()
        report.add("last_work_after_own_mark", own, "s", at_most=GRACE_SECONDS)
        report.add("last_work_after_list", listed, "s", at_most=GRACE_SECONDS)
        serving = [i for i in range(NODES) if "price-board" in str(
            [s["name"] for s in fleet.state(i)["services"]
             if sum(t["requests"] for t in s["targets"]) > 0])]
        for index in serving[:2]:
            fleet.signal(f"node-{index}", signal.SIGTERM)
            fleet.processes[f"node-{index}"].wait()
        figures = finish_load(load)
    report.add("nodes_ended", len(serving[:2]), "nodes", at_least=2)
    report.add("cut_in_flight", figures["broken"] + figures["unknown"]
               + figures["failed"], "requests", at_most=0)
    report.add("answered", figures["answered"] / figures["sent"], "share")
    report.finish()


if __name__ == "__main__":
    main()
