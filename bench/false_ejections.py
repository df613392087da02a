"""Ejections of healthy targets by the service group under disturbances that may
be mistaken for gray failures: bursts at 90% of the slots, many shed requests,
targets that report no load, failing health endpoints and a paused node."""

import signal
import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 101
NODES = 40
SECONDS = 6
COST_US = 8000
SCALE_TARGET_HOURS = 1000
SERVICES = {"nl-west": ("price-board", "/boards/1"),
            "norte": ("catalogue", "/catalogue/1")}


def group_ejections(fleet):
    return sum(fleet.state(i)["gossip"]["group_ejections"]
               for i in range(NODES))


def run(example):
    """Group ejections by disturbance, and the target-hours of the run."""
    service, path = SERVICES[example]
    counts = {}
    with Fleet(example=example, nodes=NODES) as fleet:
        targets = fleet.targets_of(service)
        capacity = len(targets) * fleet.slots * 1e6 / COST_US
        start = time.monotonic()

        def count_ejections(name, start_fault, end_fault, load_share):
            before = group_ejections(fleet)
            load = start_load(nodes=fleet.node_list(), service=service,
                              path=path, rate=capacity * load_share,
                              seconds=SECONDS, cost_us=COST_US, cost_spread=10,
                              accounts=40, connections=400,
                              seed=SEED + len(counts))
            time.sleep(1.5)
            start_fault()
            finish_load(load)
            end_fault()
            counts[name] = group_ejections(fleet) - before

        def on_targets(query):
            return lambda: [fleet.set_behaviour(t, query) for t in targets[:3]]

        no_fault = on_targets("slow=1")
        count_ejections("burst_at_90_percent", no_fault, no_fault, 0.9)
        count_ejections("shed_storm", on_targets("shed=0.7"),
                        on_targets("shed=0"), 0.4)
        count_ejections("lying_load", on_targets("load_lies=1"),
                        on_targets("load_lies=0"), 0.6)
        count_ejections("failing_health_endpoint", on_targets("health_fails=1"),
                        on_targets("health_fails=0"), 0.4)
        count_ejections("paused_node_wakes",
                        lambda: fleet.signal("node-3", signal.SIGSTOP),
                        lambda: fleet.signal("node-3", signal.SIGCONT), 0.4)
        count_ejections("after_the_pause", no_fault, no_fault, 0.4)
        hours = len(targets) * (time.monotonic() - start) / 3600
    return counts, hours


def main():
    report = Report("false-ejections", SEED)
    for example in SERVICES:
        counts, hours = run(example)
        for name, count in counts.items():
            report.add(f"{example}_{name}", count, "group ejections")
        total = sum(counts.values())
        if example == "norte":
            report.add("norte_group_ejections", total, "targets", at_most=0)
        else:
            report.add("nl-west_per_1000_target_hours",
                       total * SCALE_TARGET_HOURS / hours, "targets",
                       at_most=1, counted=total,
                       target_hours=round(hours, 3))
    report.finish()


if __name__ == "__main__":
    main()
