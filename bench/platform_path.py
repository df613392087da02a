"""Time bounds of the platform adapter, with node processes and stand-ins: until
a change of configuration or of API keys is applied everywhere, until a killed or stopped entry
node is no longer resolved, and the rate of calls to the store."""

import signal
import time

from platform_fleet import PlatformFleet, account, route
from report_lines import Report

SEED = 0  # unused: the bench draws no random numbers
NODES = 8
ROUNDS = 5
CONFIG_BOUND_S = 2.0  # until all nodes apply a change of configuration
KEYS_BOUND_S = 2.5  # until all nodes know a new API key and reject an old one
KILLED_BOUND_S = 1.5  # until a killed entry node is no longer resolved
STOPPED_BOUND_S = 0.5  # the same for an entry node that gets SIGTERM
CALLS_PER_S_BOUND = 8.0  # of all nodes to the store, while nothing changes
TIMEOUT_S = 30


def seconds_until(condition):
    """Seconds until condition() is true; infinity after TIMEOUT_S."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > TIMEOUT_S:
            return float("inf")
        time.sleep(0.01)
    return time.monotonic() - started


def resolved_entry(fleet, resolver):
    """Address of the entry node of domain za that a node resolves."""
    [address] = fleet.resolve(resolver, "za")
    return address.rsplit(":", 1)[0]


def config_seconds(fleet, number):
    """Adds a route; returns the seconds until all nodes serve it."""
    prefix = f"/new{number}/"
    fleet.configure({"r": route("/reads/", "reads"),
                     "n": route(prefix, "reads")})
    return max(seconds_until(
        lambda n=node: fleet.request(prefix + "1", n)[0] == 200)
        for node in fleet.nodes)


def key_seconds(fleet, number):
    """Replaces the only API key; returns the seconds until all nodes serve the
    new one and reject the one before."""
    fleet.configure({"r": route("/reads/", "reads")},
                    {"one": account(f"bench-key-{number}")})
    started = time.monotonic()
    for node in fleet.nodes:
        for key, status in ((number, 200), (number - 1, 401)):
            seconds_until(lambda n=node, k=key, s=status: fleet.request(
                "/reads/1", n, key=f"bench-key-{k}")[0] == s)
    return time.monotonic() - started


def removal_seconds(fleet, signal_number):
    """Stops an entry node with the signal; returns the seconds until another
    node no longer resolves to it. Then starts the entry node again."""
    entry = resolved_entry(fleet, fleet.nodes[0])
    resolver = next(node for node in fleet.nodes[0::2] if node != entry)
    fleet.signal(entry, signal_number)
    seconds = seconds_until(lambda: all(
        entry not in address for address in fleet.resolve(resolver, "za")))
    fleet.processes[entry].wait(TIMEOUT_S)
    fleet.start(entry)
    fleet.await_ready(entry)
    seconds_until(lambda: len(fleet.members(resolver)) == NODES)
    return seconds


def main():
    report = Report("platform-path", SEED)
    with PlatformFleet(nodes=NODES) as fleet:
        before = fleet.store.calls
        time.sleep(5)
        calls = (fleet.store.calls - before) / 5
        config = max(config_seconds(fleet, i) for i in range(ROUNDS))
        keys = max(key_seconds(fleet, i) for i in range(ROUNDS))
        fleet.configure({"r": route("/reads/", "reads")})
        killed = [removal_seconds(fleet, signal.SIGKILL)
                  for _ in range(ROUNDS)]
        stopped = [removal_seconds(fleet, signal.SIGTERM)
                   for _ in range(ROUNDS)]
    report.add("store_calls_calm", calls, "1/s", at_most=CALLS_PER_S_BOUND)
    report.add("config_in_force_worst", config, "s", at_most=CONFIG_BOUND_S)
    report.add("api_keys_in_force_worst", keys, "s", at_most=KEYS_BOUND_S)
    report.add("killed_entry_gone_worst", max(killed), "s",
               at_most=KILLED_BOUND_S)
    report.add("stopped_entry_gone_worst", max(stopped), "s",
               at_most=STOPPED_BOUND_S)
    report.finish()


if __name__ == "__main__":
    main()
