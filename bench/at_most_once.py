"""Requests that must not run twice, while targets crash, answers are lost,
connections go silent and nodes are killed, paused and replaced. The targets'
ledger, which outlives their crashes, is the judge."""

import pathlib
import signal
import threading
import time

from chaos import Chaos
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


class NodeChaos(Chaos):
    """Kills, pauses and replaces nodes and silences connections."""

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self.events = 0

    def run(self):
        actions = [self.kill, self.pause, self.replace, self.silence]
        while not self.ended.wait(0.8):
            self.events += 1
            self.dice.choice(actions)()

    def node(self):
        return self.dice.randrange(self.fleet.node_count)

    def kill(self):
        self.restart(signal.SIGKILL)

    def replace(self):
        self.restart(signal.SIGTERM)

    def restart(self, how):
        index = self.node()
        process = self.fleet.processes[f"node-{index}"]
        process.send_signal(signal.SIGCONT)
        process.send_signal(how)
        process.wait()
        self.fleet.start_node(index)

    def pause(self):
        process = self.fleet.processes[f"node-{self.node()}"]
        process.send_signal(signal.SIGSTOP)
        threading.Timer(PAUSE_SECONDS, process.send_signal,
                        [signal.SIGCONT]).start()

    def silence(self):
        self.fleet.set_fault("all", "silence=1")


def judge(report, log, ledger):
    twice = sum(1 for runs in ledger.values() if runs > 1)
    not_run_but_ran = answered_but_not_run = unknown = total = 0
    for line in log.read_text().splitlines():
        work, ending = line.split()[:2]
        total += 1
        runs = ledger.get(work, 0)
        not_run_but_ran += ending == "not_run" and runs > 0
        answered_but_not_run += ending == "answered" and runs == 0
        unknown += ending in ("unknown", "broken")
    report.add("requests", total, "requests", at_least=REQUESTS)
    report.add("run_twice", twice, "keys", at_most=0)
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
            rate=RATE, seconds=1.05 * REQUESTS / RATE, cost_us=3000, cost_spread=10,
            accounts=50, resends=4, resend_after_ms=300, deadline_ms=1500,
            connections=400, seed=SEED, log=log)
        chaos = NodeChaos(fleet, SEED)
        chaos.start()
        figures = finish_load(load)
        chaos.finish()
        time.sleep(PAUSE_SECONDS + 1)  # paused nodes wake up late
        judge(report, log, fleet.ledger())
        crashes = sum(t["crashes"] for t in fleet.target_stats())
    report.add("wrong_answers", figures["wrong"], "requests", at_most=0)
    report.add("answered", figures["answered"] / figures["sent"], "share")
    report.add("not_run", figures["not_run"] / figures["sent"], "share")
    report.add("events", chaos.events + crashes, "faults", at_least=1)
    report.finish()


if __name__ == "__main__":
    main()
