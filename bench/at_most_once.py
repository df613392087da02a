"""Requests with idempotency keys must not run twice while targets crash,
responses are lost, connections stop forwarding, and nodes are killed, paused
and restarted. Compares the outcomes that callers received with the ledger of
runs, which survives crashes of the targets."""

import pathlib
import signal
import threading
import time

from fault_injector import FaultInjector
from fleet import ROOT, Fleet, finish_load, start_load
from report_lines import Report

SEED = 21
REQUESTS = 20_000
RATE = 400
NODES = 8
PAUSE_SECONDS = 5
SERVICE = "allocation"
TARGET_FAULTS = ("crash_before=0.002&crash_during=0.002&crash_after=0.002"
                 "&silent=0.002&cut=0.004&wrong_id=0.001&down_ms=400")


class NodeFaultInjector(FaultInjector):
    """Kills, pauses and restarts nodes; stops the forwarding of connections."""

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self.fault_count = 0

    def run(self):
        actions = [self.kill, self.pause, self.replace,
                   self.silence_connections]
        while not self.stopping.wait(0.8):
            self.fault_count += 1
            self.rng.choice(actions)()

    def random_node(self):
        return self.rng.randrange(self.fleet.node_count)

    def kill(self):
        self.restart(signal.SIGKILL)

    def replace(self):
        self.restart(signal.SIGTERM)

    def restart(self, signal_number):
        index = self.random_node()
        process = self.fleet.processes[f"node-{index}"]
        # A paused process must resume to handle SIGTERM.
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal_number)
        process.wait()
        self.fleet.start_node(index)

    def pause(self):
        process = self.fleet.processes[f"node-{self.random_node()}"]
        process.send_signal(signal.SIGSTOP)
        threading.Timer(PAUSE_SECONDS, process.send_signal,
                        [signal.SIGCONT]).start()

    def silence_connections(self):
        self.fleet.set_fault("all", "silence=1")


def check_runs(report, log, ledger):
    """Compares the log of siskinload, a line per request that begins with the
    work id and the outcome, with the number of runs by work id."""
    repeated = sum(1 for runs in ledger.values() if runs > 1)
    not_run_but_ran = answered_but_not_run = unknown = total = 0
    for line in log.read_text().splitlines():
        work_id, outcome = line.split()[:2]
        total += 1
        runs = ledger.get(work_id, 0)
        not_run_but_ran += outcome == "not_run" and runs > 0
        answered_but_not_run += outcome == "answered" and runs == 0
        unknown += outcome in ("unknown", "broken")
    report.add("requests", total, "requests", at_least=REQUESTS)
    report.add("run_twice", repeated, "keys", at_most=0)
    report.add("told_not_run_but_ran", not_run_but_ran, "keys", at_most=0)
    report.add("answered_but_never_run", answered_but_not_run, "keys",
               at_most=0)
    report.add("share_unknown", unknown / total, "share")


def main():
    report = Report("at-most-once", SEED)
    log = pathlib.Path(ROOT / "out/bench/at-most-once.log")
    with Fleet(nodes=NODES, through_fault_proxy=True) as fleet:
        for target in fleet.targets_of(SERVICE):
            fleet.set_behaviour(target, TARGET_FAULTS)
        load = start_load(
            nodes=fleet.node_list(), service=SERVICE, path="/allocations/1",
            method="POST", keyed=True, body_bytes=300, answer_bytes=500,
            rate=RATE, seconds=1.05 * REQUESTS / RATE, cost_us=3000,
            cost_spread=10, accounts=50, resends=4, resend_after_ms=300,
            deadline_ms=1500, connections=400, seed=SEED, log=log)
        injector = NodeFaultInjector(fleet, SEED)
        injector.start()
        results = finish_load(load)
        injector.stop()
        # Paused nodes resume up to PAUSE_SECONDS later and may still run work.
        time.sleep(PAUSE_SECONDS + 1)
        check_runs(report, log, fleet.ledger())
        crashes = sum(t["crashes"] for t in fleet.target_stats())
    report.add("wrong_answers", results["wrong"], "requests", at_most=0)
    report.add("answered", results["answered"] / results["sent"], "share")
    report.add("not_run", results["not_run"] / results["sent"], "share")
    report.add("events", injector.fault_count + crashes, "faults", at_least=1)
    report.finish()


if __name__ == "__main__":
    main()
