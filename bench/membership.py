"""Traffic, CPU time and memory that membership costs an idle node at several
fleet sizes, extrapolated to the design size; time until a killed node is
detected; false suspicions, and nodes that mistake a live node for dead after a
pause of one node."""

import signal
import statistics
import time

from fleet import Fleet, process_usage
from report_lines import Report

SEED = 81
SIZES = (10, 20, 40, 80, 160)
IDLE_SECONDS = 8
DESIGN_NODES = 4300
BYTES_PER_SECOND_BOUND = 3000
CPU_SHARE_BOUND = 0.018  # of a core
MEMORY_BOUND_MB = 256


def measure_idle(fleet, count):
    """Mean bytes/s sent and received, fraction of a core and resident MB of a
    node over IDLE_SECONDS."""
    nodes = range(count)
    before = [(fleet.state(i)["gossip"], process_usage(fleet.pid(f"node-{i}")))
              for i in nodes]
    start = time.monotonic()
    time.sleep(IDLE_SECONDS)
    after = [(fleet.state(i)["gossip"], process_usage(fleet.pid(f"node-{i}")))
             for i in nodes]
    seconds = time.monotonic() - start
    traffic = [(a["bytes_sent"] + a["bytes_received"] + a["sync_bytes"]
                - b["bytes_sent"] - b["bytes_received"] - b["sync_bytes"])
               / seconds for (b, _), (a, _) in zip(before, after)]
    cpu = [(a[1] - b[1]) / seconds
           for (_, b), (_, a) in zip(before, after)]
    memory = [a[0] / 2**20 for _, a in after]
    return (statistics.mean(traffic), statistics.mean(cpu),
            statistics.mean(memory))


def detect_killed_node(fleet, count):
    """Kills the last node; returns the seconds until the first and until the
    last of the other nodes no longer count it as live."""
    fleet.signal(f"node-{count - 1}", signal.SIGKILL)
    start = time.monotonic()
    first = None
    waiting = set(range(count - 1))
    while waiting and time.monotonic() - start < 60:
        for index in list(waiting):
            if fleet.state(index)["gossip"]["live"] < count:
                waiting.discard(index)
                first = first or time.monotonic() - start
        time.sleep(0.05)
    return first, time.monotonic() - start


def fit_line(points):
    """Slope and offset of the least-squares line through points of fleet size
    and value."""
    mean_x = statistics.mean(x for x, _ in points)
    mean_y = statistics.mean(y for _, y in points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    return sum_xy / sum_xx, mean_y - mean_x * sum_xy / sum_xx


def main():
    report = Report("membership", SEED)
    traffic, cpu, memory = [], [], []
    for count in SIZES:
        with Fleet(nodes=count, log_level="warn") as fleet:
            fleet.await_quiet_gossip()
            usage = measure_idle(fleet, count)
            traffic.append((count, usage[0]))
            cpu.append((count, usage[1]))
            memory.append((count, usage[2]))
            report.add("bytes_per_second", usage[0], "B/s", nodes=count)
            report.add("processor", usage[1] * 100, "% of a core",
                       nodes=count)
            report.add("resident", usage[2], "MB", nodes=count)
            if count == 40:
                suspicions = sum(
                    fleet.state(i)["gossip"]["suspicions"] for i in range(40))
                report.add("suspicions_at_rest", suspicions, "suspicions")
                fleet.signal("node-0", signal.SIGSTOP)
                time.sleep(5)
                fleet.signal("node-0", signal.SIGCONT)
                time.sleep(8)
                mistaken = sum(fleet.state(i)["gossip"]["live"] < 40
                               for i in range(40))
                report.add("nodes_counting_a_live_one_out_after_a_pause",
                           mistaken, "nodes", at_most=0)
                first, last = detect_killed_node(fleet, count)
                report.add("first_notices_a_death", first, "s")
                report.add("last_notices_a_death", last, "s")
    for name, points, unit, bound in (
            ("bytes_per_second", traffic, "B/s", BYTES_PER_SECOND_BOUND),
            ("processor", [(x, y * 100) for x, y in cpu], "% of a core",
             CPU_SHARE_BOUND * 100),
            ("resident", memory, "MB", MEMORY_BOUND_MB)):
        per_node, offset = fit_line(points)
        report.add(f"{name}_worked_out", offset + per_node * DESIGN_NODES,
                   unit, at_most=bound, nodes=DESIGN_NODES,
                   slope=round(per_node, 6), offset=round(offset, 4))
    report.finish()


if __name__ == "__main__":
    main()
