"""The platform path against its bounds in time, with real processes and
stand-ins: a change in force, a leaving server, lost entries, store calls."""

import signal
import time

from platform_fleet import PlatformFleet, route
from report_lines import Report

SEED = 0          # nothing is drawn at random
NODES = 8
ROUNDS = 5
CONFIG_S = 2.0    # a configuration must be in force everywhere
KILLED_S = 1.5    # a killed entry must be gone from the answers
STOPPED_S = 0.5   # and one with SIGTERM
CALLS_PER_S = 8.0  # of the whole site to the store on a calm day
LIMIT_S = 30


def seconds_until(condition):
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > LIMIT_S:
            return float("inf")
        time.sleep(0.01)
    return time.monotonic() - started


def entry_of(fleet, witness):
    [address] = fleet.resolve(witness, "za")
    return address.rsplit(":", 1)[0]


def config_seconds(fleet, number):
    prefix = f"/new{number}/"
    fleet.configure({"r": route("/reads/", "reads"),
                     "n": route(prefix, "reads")})
    return max(seconds_until(
        lambda n=node: fleet.request(prefix + "1", n)[0] == 200)
        for node in fleet.nodes)


def gone_seconds(fleet, what):
    entry = entry_of(fleet, fleet.nodes[0])
    witness = next(node for node in fleet.nodes[0::2] if node != entry)
    fleet.signal(entry, what)
    took = seconds_until(lambda: all(
        entry not in address for address in fleet.resolve(witness, "za")))
    fleet.processes[entry].wait(LIMIT_S)
    fleet.start(entry)
    fleet.await_ready(entry)
    seconds_until(lambda: len(fleet.members(witness)) == NODES)
    return took


def main():
    report = Report("platform-path", SEED)
    with PlatformFleet(nodes=NODES) as fleet:
        before = fleet.store.calls
        time.sleep(5)
        calls = (fleet.store.calls - before) / 5
        config = max(config_seconds(fleet, i) for i in range(ROUNDS))
        killed = [gone_seconds(fleet, signal.SIGKILL) for _ in range(ROUNDS)]
        stopped = [gone_seconds(fleet, signal.SIGTERM) for _ in range(ROUNDS)]
    report.add("store_calls_calm", calls, "1/s", at_most=CALLS_PER_S)
    report.add("config_in_force_worst", config, "s", at_most=CONFIG_S)
    report.add("killed_entry_gone_worst", max(killed), "s", at_most=KILLED_S)
    report.add("stopped_entry_gone_worst", max(stopped), "s",
               at_most=STOPPED_S)
    report.finish()


if __name__ == "__main__":
    main()
