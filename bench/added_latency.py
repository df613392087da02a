"""Latency that one node adds to requests, its CPU time per request, and its
resident memory with many open connections. Each run also sends the same load
directly to the targets; the added latency is the difference."""

import socket
import statistics
import time

from fleet import NODE_PORT, Fleet, finish_load, process_usage, start_load
from report_lines import Report

SEED = 11
PEAK_RATE = 280  # peak requests/s of one node at the design size
ADDED_P99_BOUND_MS = 2.4
HIGH_RATE = 2800  # requests/s, ten times the peak rate
RATES = (560, 1120, 2240, HIGH_RATE, 4480, 8960, 17920)
OPEN_CONNECTIONS = 2000
MEMORY_BOUND_BYTES = 256 * 1024 * 1024
RUNS = 3
MIN_ANSWERED = 0.999  # rejecting part of the load does not sustain a rate


def measure(fleet, rate, seconds, seed):
    """Runs the load directly and through the node at the same time. Latencies
    are in ms, the node's CPU time is in us per request."""
    load_flags = dict(path="/boards/1", rate=rate, seconds=seconds,
                      cost_us=1000, answer_bytes=2048, connections=128,
                      seed=seed)
    _, cpu_before = process_usage(fleet.pid("node-0"))
    direct = start_load(direct=fleet.target_list("price-board"), **load_flags)
    via_node = start_load(nodes=fleet.node_address(0), service="price-board",
                          **load_flags)
    direct, via_node = finish_load(direct), finish_load(via_node)
    _, cpu_after = process_usage(fleet.pid("node-0"))
    return {
        "added_p50": via_node["p50_ms"] - direct["p50_ms"],
        "added_p99": via_node["p99_ms"] - direct["p99_ms"],
        "direct_p99": direct["p99_ms"], "node_p99": via_node["p99_ms"],
        "cpu_us": (cpu_after - cpu_before) * 1e6 / via_node["sent"],
        "answered": via_node["answered"] / via_node["sent"],
        "wrong": via_node["wrong"] + via_node["broken"]}


def median_of(runs, name):
    return statistics.median(run[name] for run in runs)


def measure_open_connections(fleet):
    """Resident bytes of the node, and its number of caller connections, while
    OPEN_CONNECTIONS callers stay connected after one request each."""
    request = (b"GET /boards/1 HTTP/1.1\r\nHost: load\r\n"
               b"Load-Answer-Bytes: 2048\r\n\r\n")
    sockets = []
    for _ in range(OPEN_CONNECTIONS):
        caller = socket.create_connection(("127.0.0.1", NODE_PORT))
        caller.sendall(request)
        caller.recv(65536)
        sockets.append(caller)
    time.sleep(1)
    resident, _ = process_usage(fleet.pid("node-0"))
    connected = fleet.state(0)["node"]["caller_connections"]
    for caller in sockets:
        caller.close()
    return resident, connected


def main():
    report = Report("added-latency", SEED)
    with Fleet(nodes=1) as fleet:
        measure(fleet, PEAK_RATE, 2, SEED)  # warms up both paths
        runs = [measure(fleet, PEAK_RATE, 8, SEED + i) for i in range(RUNS)]
        report.add("added_p99_at_280", median_of(runs, "added_p99"), "ms",
                   at_most=ADDED_P99_BOUND_MS,
                   worst=max(f["added_p99"] for f in runs))
        report.add("added_p50_at_280", median_of(runs, "added_p50"), "ms")
        report.add("direct_p99_at_280", median_of(runs, "direct_p99"), "ms")
        report.add("cpu_per_request_at_280", median_of(runs, "cpu_us"), "us")
        report.add("wrong_or_broken", sum(f["wrong"] for f in runs),
                   "requests", at_most=0)
        sustained = 0
        for rate in RATES:
            runs = [measure(fleet, rate, 4, SEED + 10 + i)
                    for i in range(RUNS)]
            added = median_of(runs, "added_p99")
            report.add("added_p99", added, "ms", rate=rate,
                       cpu_us=round(median_of(runs, "cpu_us"), 1),
                       answered=round(median_of(runs, "answered"), 4))
            answered = median_of(runs, "answered")
            if added > ADDED_P99_BOUND_MS or answered < MIN_ANSWERED:
                break
            sustained = rate
        report.add("highest_rate_held", sustained, "requests/s",
                   at_least=HIGH_RATE)
        resident, connected = measure_open_connections(fleet)
        report.add("resident_with_2000_connections", resident / 2**20, "MB",
                   at_most=MEMORY_BOUND_BYTES / 2**20, connected=connected)
    report.finish()


if __name__ == "__main__":
    main()
