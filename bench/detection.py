"""Time for which a target with a gray failure keeps receiving work: from the
start of the fault to the last start of work before a second without any. Also
runs two simpler detectors for comparison."""

import statistics
import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 41
NODES = 40
SEEDS = 5
RATE = 300
COST_US = 8000
WATCH_SECONDS = 4.5
QUIET_SECONDS = 1.0
FAULTS = {"fails_all": "fail=1", "never_answers": "silent=1",
          "ten_times_slower": "slow=10", "half_fails": "fail=0.5"}
HEALTHY = "fail=0&silent=0&slow=1"
BOUNDS = {  # seconds, by example deployment
    "nl-west": {"fails_all": 1, "never_answers": 1, "ten_times_slower": 3,
                "half_fails": 3},
    "norte": dict.fromkeys(FAULTS, 5)}
SERVICES = {"nl-west": ("price-board", "/boards/1"),
            "norte": ("catalogue", "/catalogue/1")}


def detection_time(fleet, target, fault):
    """Seconds from the fault to the last start of work before QUIET_SECONDS
    without any, or before the end of the observation."""
    fleet.take_work_times(target)
    fleet.set_behaviour(target, fault)
    start = time.clock_gettime(time.CLOCK_BOOTTIME)
    time.sleep(WATCH_SECONDS + QUIET_SECONDS)
    fleet.set_behaviour(target, HEALTHY)
    last = start
    for work_start in fleet.take_work_times(target):
        if work_start - last >= QUIET_SECONDS:
            break
        last = max(last, work_start)
    return last - start


def run(example, detector, seeds):
    """Detection times by fault, in seconds, and the results of siskinload."""
    service, path = SERVICES[example]
    times = {name: [] for name in FAULTS}
    with Fleet(example=example, nodes=NODES,
               node_flags=[f"--detector={detector}"]) as fleet:
        seconds = 4 + seeds * len(FAULTS) * (
            WATCH_SECONDS + QUIET_SECONDS + 0.2)
        load = start_load(nodes=fleet.node_list(), service=service, path=path,
                          rate=RATE, seconds=seconds, cost_us=COST_US,
                          accounts=40, connections=200, seed=SEED)
        time.sleep(4)
        targets = fleet.targets_of(service)
        episode = 0
        for _ in range(seeds):
            for name, fault in FAULTS.items():
                target = targets[episode % len(targets)]
                times[name].append(detection_time(fleet, target, fault))
                episode += 1
        results = finish_load(load)
    return times, results


def main():
    report = Report("detection", SEED)
    for example, bounds in BOUNDS.items():
        times, results = run(example, "group", SEEDS)
        for name, values in times.items():
            report.add(f"{example}_{name}_worst", max(values), "s",
                       at_most=bounds[name],
                       median=round(statistics.median(values), 3))
        report.add(f"{example}_answered", results["answered"] / results["sent"],
                   "share")
    for detector in ("own", "probes"):
        times, results = run("nl-west", detector, 1)
        for name, values in times.items():
            report.add(f"baseline_{detector}_{name}", max(values), "s")
        report.add(f"baseline_{detector}_answered",
                   results["answered"] / results["sent"], "share")
    report.finish()


if __name__ == "__main__":
    main()
