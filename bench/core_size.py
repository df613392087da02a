"""CPU time and memory of the core's operations with a configuration of the
design size: 2,200 services with 55,000 targets, 16,000 routes and 280,000
accounts."""

import json
import subprocess

from fleet import BUILD
from report_lines import Report

SEED = 0
MEMORY_BOUND_MB = 256
REQUEST_BOUND_US = 5  # of an operation that each request needs
CHANGE_BOUND_US = 1000  # of a change of a record


def main():
    report = Report("core-size", SEED)
    output = subprocess.run([BUILD / "core_size", "--benchmark_format=json"],
                            check=True, capture_output=True).stdout
    us_per_unit = {"ns": 1e-3, "us": 1, "ms": 1e3}
    bounds = {"lookUpRoute": REQUEST_BOUND_US,
              "checkApiKey": REQUEST_BOUND_US,
              "chooseTarget": REQUEST_BOUND_US,
              "adoptOneChange": CHANGE_BOUND_US,
              "applyOneRoute": CHANGE_BOUND_US,
              "applyOneAccount": CHANGE_BOUND_US}
    for result in json.loads(output)["benchmarks"]:
        name = result["name"].split("/")[0]
        cpu_us = result["cpu_time"] * us_per_unit[result["time_unit"]]
        # A benchmark with an argument is run for several sizes.
        size = result["name"].partition("/")[2]
        if size.isdigit():
            name = f"{name}_{size}"
        report.add(name, cpu_us, "us", at_most=bounds.get(name.partition("_")[0]))
        for kind in ("resident", "heap", "peak"):
            if f"{kind}_MB" in result:
                report.add(f"{name}_{kind}", result[f"{kind}_MB"], "MB",
                           at_most=MEMORY_BOUND_MB)
    report.finish()


if __name__ == "__main__":
    main()
