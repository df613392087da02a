"""Targets that drain, announced by the target itself or by the instance list,
and nodes that stop: a draining target gets no new work after two seconds, and
no request in flight is interrupted."""

import signal
import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 61
NODES = 40
GRACE_SECONDS = 2.0
WATCH_SECONDS = 6
SERVICE, PATH = "price-board", "/boards/1"


def last_work_after_drain(fleet, target, start_drain):
    """Calls start_drain; returns the seconds until the target last started new
    work within WATCH_SECONDS."""
    fleet.take_work_times(target)
    start = time.clock_gettime(time.CLOCK_BOOTTIME)
    start_drain()
    time.sleep(WATCH_SECONDS)
    times = [work_start - start for work_start in fleet.take_work_times(target)
             if work_start >= start]
    return max(times, default=0.0)


def main():
    report = Report("drain", SEED)
    with Fleet(nodes=NODES) as fleet:
        load = start_load(nodes=fleet.node_list(), service=SERVICE, path=PATH,
                          rate=300, seconds=32, cost_us=20000, accounts=40,
                          connections=200, seed=SEED, log="out/bench/drain.log")
        time.sleep(3)
        targets = fleet.targets_of(SERVICE)
        after_announcement = last_work_after_drain(
            fleet, targets[0], lambda: fleet.set_leaving(targets[0]))
        fleet.set_leaving(targets[0], 0)
        after_list = last_work_after_drain(
            fleet, targets[1], lambda: fleet.publish_instances(
                leaving_targets=[targets[1]]))
        fleet.publish_instances()
        report.add("last_work_after_own_mark", after_announcement, "s",
                   at_most=GRACE_SECONDS)
        report.add("last_work_after_list", after_list, "s",
                   at_most=GRACE_SECONDS)
        serving = [i for i in range(NODES) if "price-board" in str(
            [s["name"] for s in fleet.state(i)["services"]
             if sum(t["requests"] for t in s["targets"]) > 0])]
        for index in serving[:2]:
            fleet.signal(f"node-{index}", signal.SIGTERM)
            fleet.processes[f"node-{index}"].wait()
        results = finish_load(load)
    report.add("nodes_ended", len(serving[:2]), "nodes", at_least=2)
    report.add("cut_in_flight", results["broken"] + results["unknown"]
               + results["failed"], "requests", at_most=0)
    report.add("answered", results["answered"] / results["sent"], "share")
    report.finish()


if __name__ == "__main__":
    main()
