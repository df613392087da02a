"""What it costs to start many nodes at once: processor of each node until all
know each other, by duty, and the time that takes."""

import collections
import os
import pathlib
import time

from fleet import wait_for
from platform_fleet import PlatformFleet
from report_lines import Report

SEED = 83
SIZES = (30, 60, 120)
READY_SECONDS = 10


def duties(process):
    """Processor seconds by thread name."""
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
        begin = time.monotonic()
        with PlatformFleet(nodes=count, servers=6) as fleet:
            known = time.monotonic() - begin
            total = collections.Counter()
            for process in fleet.processes.values():
                total.update(duties(process))
            report.add("processor_a_node", sum(total.values()) / count * 1000,
                       "ms", nodes=count,
                       duties={name: round(seconds / count * 1000, 1)
                               for name, seconds in total.most_common(8)})
            report.add("all_members_known", known, "s",
                       at_most=READY_SECONDS, nodes=count)
    report.finish()


if __name__ == "__main__":
    main()
