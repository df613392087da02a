"""Uploads of 8 MiB while targets drain and connections break: a truncated or
altered upload must not be reported as a success, and the growth of the node's
memory is bounded."""

import time

from fault_injector import FaultInjector
from fleet import Fleet, finish_load, process_usage, start_load
from report_lines import Report

SEED = 31
UPLOADS = 200
UPLOAD_BYTES = 8 * 1024 * 1024
RATE = 10
MIN_STORED = 0.5  # with fewer, the run hardly checks successful uploads
CONNECTIONS = 24
GROWTH_BOUND_BYTES = 32 * 1024 * 1024  # buffers and replay bodies of 24 uploads
SERVICE = "lab-intake"


class TargetFaultInjector(FaultInjector):
    """Drains a random target and truncates the connections to a random target,
    again and again. Records the resident bytes of the node."""

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self.resident = []

    def run(self):
        targets = self.fleet.targets_of(SERVICE)
        while not self.stopping.wait(0.3):
            leaving = self.rng.choice(targets)
            broken = self.rng.choice(targets)
            self.fleet.set_leaving(leaving, 1)
            cut_after = self.rng.randrange(100_000, UPLOAD_BYTES)
            self.fleet.set_fault(broken, f"direction=up&truncate={cut_after}")
            self.stopping.wait(0.5)
            self.fleet.set_leaving(leaving, 0)
            self.fleet.set_fault(broken, "direction=up&truncate=-1")
            self.resident.append(
                process_usage(self.fleet.pid("node-0"))[0])


def main():
    report = Report("upload", SEED)
    with Fleet(nodes=1, through_fault_proxy=True) as fleet:
        load_flags = dict(nodes=fleet.node_list(), service=SERVICE,
                          path="/reports/1", method="PUT",
                          body_bytes=UPLOAD_BYTES, answer_bytes=100,
                          cost_us=20000, deadline_ms=20000,
                          connections=CONNECTIONS)
        finish_load(start_load(rate=RATE, seconds=2, seed=1, **load_flags))
        injector = TargetFaultInjector(fleet, SEED)
        before, _ = process_usage(fleet.pid("node-0"))
        load = start_load(rate=RATE, seconds=1.15 * UPLOADS / RATE, seed=SEED,
                          **load_flags)
        injector.start()
        results = finish_load(load)
        injector.stop()
        time.sleep(1)
        peak = max(injector.resident)
    report.add("uploads", results["sent"], "uploads", at_least=UPLOADS)
    report.add("short_or_altered_reported_as_success", results["wrong"],
               "uploads", at_most=0)
    report.add("stored", results["answered"] / results["sent"], "share",
               at_least=MIN_STORED)
    report.add("told_not_run", results["not_run"], "uploads")
    report.add("told_unknown", results["unknown"], "uploads")
    report.add("broken_off", results["broken"], "uploads")
    report.add("memory_growth", (peak - before) / 2**20, "MB",
               at_most=GROWTH_BOUND_BYTES / 2**20,
               peak_mb=round(peak / 2**20, 1))
    report.finish()


if __name__ == "__main__":
    main()
