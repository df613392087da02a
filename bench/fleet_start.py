"""Cost of starting many nodes at once: CPU time of each node, by thread, until
all nodes know all members, and the time that this takes."""

import collections
import os
import pathlib
import time

from fleet import wait_for
from platform_fleet import PlatformFleet
from report_lines import Report

SEED = 83
SIZES = (30, 60, 120)
JOIN_BOUND_SECONDS = 10


def cpu_by_thread(process):
    """CPU seconds of the process by thread name."""
    tick = os.sysconf("SC_CLK_TCK")
    used = collections.Counter()
    for task in pathlib.Path(f"/proc/{process.pid}/task").iterdir():
        fields = (task / "stat").read_text().rsplit(")", 1)[1].split()
        name = (task / "comm").read_text().strip()
        used[name] += (int(fields[11]) + int(fields[12])) / tick
    return used


def main():
    report = Report("fleet-start", SEED)
    for count in SIZES:
        start = time.monotonic()
        with PlatformFleet(nodes=count, servers=6) as fleet:
            join_seconds = time.monotonic() - start
            total = collections.Counter()
            for process in fleet.processes.values():
                total.update(cpu_by_thread(process))
            report.add("processor_a_node", sum(total.values()) / count * 1000,
                       "ms", nodes=count,
                       duties={name: round(seconds / count * 1000, 1)
                               for name, seconds in total.most_common(8)})
            report.add("all_members_known", join_seconds, "s",
                       at_most=JOIN_BOUND_SECONDS, nodes=count)
    report.finish()


if __name__ == "__main__":
    main()
