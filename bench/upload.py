"""Uploads of 8 MiB while targets drain and connections break: nothing short or
altered may be reported as a success, and the node's memory stays flat."""

import time

from chaos import Chaos
from fleet import Fleet, finish_load, process_usage, start_load
from report_lines import Report

SEED = 31
UPLOADS = 200
UPLOAD_BYTES = 8 * 1024 * 1024
RATE = 10
LEAST_STORED = 0.5  # else the run proves nothing of successes
CONNECTIONS = 24
GROWTH_BYTES = 32 * 1024 * 1024  # 24 uploads, their held parts and buffers
SERVICE = "lab-intake"


class TargetChaos(Chaos):
    """Drains targets one after another and breaks connections."""

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self.resident = []

    def run(self):
        targets = self.fleet.targets_of(SERVICE)
        while not self.ended.wait(0.3):
            leaving = self.dice.choice(targets)
            broken = self.dice.choice(targets)
            self.fleet.set_leaving(leaving, 1)
            cut = self.dice.randrange(100_000, UPLOAD_BYTES)
            self.fleet.set_fault(broken, f"direction=up&truncate={cut}")
            self.ended.wait(0.5)
            self.fleet.set_leaving(leaving, 0)
            self.fleet.set_fault(broken, "direction=up&truncate=-1")
            self.resident.append(
                process_usage(self.fleet.pid("node-0"))[0])


def main():
    report = Report("upload", SEED)
    with Fleet(nodes=1, through_fault_proxy=True) as fleet:
        common = dict(nodes=fleet.node_list(), service=SERVICE,
                      path="/reports/1", method="PUT", body_bytes=UPLOAD_BYTES,
                      answer_bytes=100, cost_us=20000, deadline_ms=20000,
                      connections=CONNECTIONS)
        finish_load(start_load(rate=RATE, seconds=2, seed=1, **common))
        chaos = TargetChaos(fleet, SEED)
        before, _ = process_usage(fleet.pid("node-0"))
        load = start_load(rate=RATE, seconds=1.15 * UPLOADS / RATE, seed=SEED,
                          **common)
        chaos.start()
        figures = finish_load(load)
        chaos.finish()
        time.sleep(1)
        peak = max(chaos.resident)
    report.add("uploads", figures["sent"], "uploads", at_least=UPLOADS)
    report.add("short_or_altered_reported_as_success", figures["wrong"],
               "uploads", at_most=0)
    report.add("stored", figures["answered"] / figures["sent"], "share",
               at_least=LEAST_STORED)
    report.add("told_not_run", figures["not_run"], "uploads")
    report.add("told_unknown", figures["unknown"], "uploads")
    report.add("broken_off", figures["broken"], "uploads")
    report.add("memory_growth", (peak - before) / 2**20, "MB",
               at_most=GROWTH_BYTES / 2**20, peak_mb=round(peak / 2**20, 1))
    report.finish()


if __name__ == "__main__":
    main()
