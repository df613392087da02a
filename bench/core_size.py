"""Cost of the core's steps with the whole configuration of the size to design
for: 2,200 services with 55,000 targets, 16,000 routes, 280,000 accounts."""

import json
import subprocess

from fleet import BUILD
from report_lines import Report

SEED = 0
MEMORY_MB = 256
STEP_US = 5
CHANGE_US = 1000


def main():
    report = Report("core-size", SEED)
    output = subprocess.run([BUILD / "core_size", "--benchmark_format=json"],
                            check=True, capture_output=True).stdout
    scale = {"ns": 1e-3, "us": 1, "ms": 1e3}
    bounds = {"lookUpRoute": STEP_US, "chooseTarget": STEP_US,
              "adoptOneChange": CHANGE_US, "applyOneRoute": CHANGE_US,
              "applyOneAccount": CHANGE_US}
    for each in json.loads(output)["benchmarks"]:
        name = each["name"].split("/")[0]
        micros = each["cpu_time"] * scale[each["time_unit"]]
        report.add(name, micros, "us", at_most=bounds.get(name))
        if "resident_MB" in each:
            report.add(f"{name}_resident", each["resident_MB"], "MB",
                       at_most=MEMORY_MB)
    report.finish()


if __name__ == "__main__":
    main()
