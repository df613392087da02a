"""Targets that state a rate limit, that they want no requests for a time, or
that they leave, at several fleet sizes: what reaches them against each rule, how
much of a limit is used, how much of the load is served, and what the nodes tell
each other."""

import statistics
import time

from fleet import Fleet, finish_load, start_load
from report_lines import Report

SEED = 91
SIZES = (10, 40, 80)
SERVICE, PATH = "price-board", "/boards/1"
RATE = 240  # of the load, per second
CONTACT_S = 3.0
WINDOW_S = 4.0
WATCH_S = 12.0
DRAIN_S = 2.0
RETRY_AFTER_S = 4.0
TOLD_S = 0.5
LIMITS = (1, 5)  # of the first two targets, per second
#: Share of what the limits and the other targets allow: all of the load.
SERVED_BOUND = 0.97
USE_BOUND = 0.9


def worst_window(times, length=WINDOW_S):
    return max((sum(first <= other < first + length for other in times)
                for first in times), default=0)


def gossip_bytes(fleet):
    return statistics.mean(
        fleet.state(i)["gossip"]["bytes_sent"]
        for i in range(fleet.node_count))


def measure_limits(fleet, report, count):
    """Lets two targets state a limit, and reports what reaches them."""
    limited = list(zip(fleet.targets_of(SERVICE), LIMITS))
    before = gossip_bytes(fleet)
    quiet_from = time.monotonic()
    time.sleep(4)
    quiet = (gossip_bytes(fleet) - before) / (time.monotonic() - quiet_from)
    for target, limit in limited:
        fleet.set_behaviour(target, f"rate_limit={limit}")
    time.sleep(CONTACT_S)
    for target, _ in limited:
        fleet.take_arrival_times(target)
    before = gossip_bytes(fleet)
    start = time.monotonic()
    time.sleep(WATCH_S)
    seconds = time.monotonic() - start
    busy = (gossip_bytes(fleet) - before) / seconds
    for target, limit in limited:
        times = fleet.take_arrival_times(target)
        report.add("worst_window", worst_window(times), "requests",
                   at_most=1.5 * limit * WINDOW_S + 5, nodes=count,
                   limit=limit)
        report.add("use_of_limit", len(times) / (seconds * limit), "share",
                   at_least=USE_BOUND, nodes=count, limit=limit)
        fleet.set_behaviour(target, "rate_limit=0")
    report.add("gossip_for_two_limits", busy - quiet, "B/s a node sent",
               nodes=count)


def measure_back_off(fleet, report, count):
    """Lets a target shed everything with Retry-After."""
    target = fleet.targets_of(SERVICE)[2]
    serving = sum(
        any(service["name"] == SERVICE and
            any(t["requests"] for t in service["targets"])
            for service in fleet.state(i)["services"])
        for i in range(count))
    fleet.take_arrival_times(target)
    fleet.set_behaviour(target, f"shed=1&retry_after={RETRY_AFTER_S}")
    time.sleep(2 * RETRY_AFTER_S)
    times = fleet.take_arrival_times(target)
    fleet.set_behaviour(target, "shed=0&retry_after=0")
    # The target does not know its senders: two requests each are allowed.
    report.add("arrivals_before_retry_after",
               worst_window(times[1:], RETRY_AFTER_S - TOLD_S), "requests",
               at_most=2 * serving, nodes=count, serving_nodes=serving)


def measure_leaving(fleet, report, count):
    target = fleet.targets_of(SERVICE)[3]
    fleet.take_arrival_times(target)
    fleet.set_leaving(target)
    start = time.clock_gettime(time.CLOCK_BOOTTIME)
    time.sleep(DRAIN_S + 4)
    late = [arrived - start for arrived in fleet.take_arrival_times(target)
            if arrived - start > DRAIN_S]
    report.add("arrivals_after_leaving", len(late), "requests", at_most=0,
               nodes=count)
    fleet.set_leaving(target, 0)


def main():
    report = Report("target-notices", SEED)
    for count in SIZES:
        with Fleet(nodes=count, log_level="warn") as fleet:
            fleet.await_quiet_gossip()
            load = start_load(nodes=fleet.node_list(), service=SERVICE,
                              path=PATH, rate=RATE, seconds=42, cost_us=20000,
                              accounts=40, connections=200, seed=SEED,
                              log="out/bench/target-notices.log")
            time.sleep(3)
            measure_limits(fleet, report, count)
            measure_back_off(fleet, report, count)
            measure_leaving(fleet, report, count)
            results = finish_load(load)
            report.add("served", results["answered"] / results["sent"],
                       "share", at_least=SERVED_BOUND, nodes=count)
    report.finish()


if __name__ == "__main__":
    main()
