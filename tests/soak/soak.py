"""The fault soak: nodes of the platform program as real processes, faults that
come in series and overlap, and callers whose answers are checked against what
the servers ran. A seed gives the same faults in the same order again."""

import argparse
import http.client
import random
import signal
import sys
import threading
import time

from fleet import wait_for
from platform_fleet import PlatformFleet, route

STEP_S = 0.7          # from one fault to the next; faults last longer
CALLERS = 6
RECOVERY_S = 30       # patience for the fleet to serve again at the end
PROMISES = (408, 421, 429, 503)  # statuses that say: not run
BEHAVIOURS = ("normal", "hang", "shed", "reset", "unsealed", "error", "busy",
              "encoded", "cut")


class Soak:
    def __init__(self, seed, steps, nodes):
        self.dice = random.Random(seed)
        self.steps = steps
        self.fleet = PlatformFleet(nodes=nodes)
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.answers = []   # (attempt, path, status, headers, body)
        self.broken = []
        self.routes = {"r1": route("/reads/", "reads"),
                       "r2": route("/orders/", "orders", "unsafe", 2)}
        self.frozen = set()

    # Callers -----------------------------------------------------------------

    def call_for_ever(self, number):
        dice = random.Random(number)
        count = 0
        while not self.stopping.is_set():
            count += 1
            attempt = f"soak-{number}-{count}"
            unsafe = dice.random() < 0.6
            path = f"/orders/{count}" if unsafe else f"/reads/{count}"
            try:
                status, headers, body = self.fleet.request(
                    path, dice.choice(self.fleet.nodes),
                    "POST" if unsafe else "GET", b"lot" if unsafe else None,
                    3000, attempt)
            except (OSError, http.client.HTTPException):
                continue  # A closed connection promises nothing.
            with self.lock:
                self.answers.append((attempt, path, status, headers, body))

    # Faults ------------------------------------------------------------------

    def restart(self, node, how):
        self.fleet.signal(node, how)

        def start_again():
            self.fleet.processes[node].wait()
            if not self.stopping.is_set():
                self.fleet.start(node)
        threading.Thread(target=start_again, daemon=True).start()

    def freeze(self, node):
        self.fleet.signal(node, signal.SIGSTOP)
        self.frozen.add(node)

    def wake_all(self):
        for node in self.frozen:
            self.fleet.signal(node, signal.SIGCONT)
        self.frozen.clear()

    def alive(self):
        return [node for node in self.fleet.nodes if node not in self.frozen
                and self.fleet.processes[node].poll() is None]

    def add_route(self):
        number = len(self.routes)
        self.routes[f"r{number + 1}"] = route(f"/more{number}/", "reads")
        self.fleet.configure(self.routes)

    def fault(self):
        server = self.dice.choice(self.fleet.servers)
        node = self.dice.choice(self.alive() or self.fleet.nodes)
        kind = self.dice.choice((
            "kill", "term", "hup", "freeze", "wake", "behave", "behave",
            "extra", "drain", "back", "store", "refuse", "compact", "route"))
        if kind == "kill":
            self.restart(node, signal.SIGKILL)
        elif kind == "term":
            self.restart(node, signal.SIGTERM)
        elif kind == "hup":
            self.fleet.signal(node, signal.SIGHUP)
        elif kind == "freeze":
            self.freeze(node)
        elif kind == "wake":
            self.wake_all()
        elif kind == "behave":
            server.behaviour = self.dice.choice(BEHAVIOURS)
        elif kind == "extra":
            server.sends_second_response = not server.sends_second_response
        elif kind in ("drain", "back"):
            state = "draining" if kind == "drain" else "ready"
            self.fleet.register(server, state=state)
        elif kind == "store":
            self.fleet.store.set_mode(
                self.dice.choice(("up", "silent", "refuse", "drop")))
        elif kind == "refuse":
            self.fleet.store.rejected_addresses = set(self.dice.sample(
                self.fleet.nodes, self.dice.randrange(len(self.fleet.nodes))))
        elif kind == "compact":
            self.fleet.store.compact()
        else:
            self.add_route()
        return kind

    def heal(self):
        self.wake_all()
        self.fleet.store.rejected_addresses = set()
        self.fleet.store.set_mode("up")
        for server in self.fleet.servers:
            server.behaviour = "normal"
            server.sends_second_response = False
            self.fleet.register(server)

    # Checks ------------------------------------------------------------------

    def check(self):
        runs = {}
        for server in self.fleet.servers:
            for attempt, method, path, body in server.runs:
                runs.setdefault(attempt, []).append((server, path, body))
        for attempt, where in runs.items():
            if len(where) > 1 and where[0][1].startswith("/orders/"):
                self.broken.append(f"{attempt} ran {len(where)} times")
            for server, path, _ in where:
                wanted = "orders" if path.startswith("/orders/") else "reads"
                if server.service != wanted:
                    self.broken.append(f"{path} ran at {server.id}")
        for answer in self.answers:
            self.check_answer(runs.get(answer[0], []), *answer)

    def check_answer(self, where, attempt, path, status, headers, body):
        if status in PROMISES and where and path.startswith("/orders/"):
            self.broken.append(f"{attempt} was answered {status} and had run")
        if status == 404:
            self.broken.append(f"{path} was not found")
        if status != 200:
            return
        server = next((each for each, _, _ in where
                       if body == f"from {each.id}"), None)
        if headers["Attempt-Id"] != attempt or server is None:
            self.broken.append(f"{attempt} got another's answer: {body[:40]}")
        elif headers["Server-Seal"] != f"seal.{server.id}":
            self.broken.append(f"{attempt} got no seal of {server.id}")

    def expect_newest(self):
        prefixes = [each["prefix"] for each in self.routes.values()]
        for node in self.fleet.nodes:
            for prefix in prefixes:
                wait_for(lambda: self.fleet.request(
                    prefix + "1", node,
                    "POST" if "orders" in prefix else "GET")[0] == 200,
                    RECOVERY_S, f"{prefix} served by {node}")

    def run(self):
        with self.fleet:
            callers = [threading.Thread(target=self.call_for_ever, args=(i,),
                                        daemon=True) for i in range(CALLERS)]
            for caller in callers:
                caller.start()
            kinds = []
            for _ in range(self.steps):
                kinds.append(self.fault())
                time.sleep(STEP_S)
            self.heal()
            try:
                self.expect_newest()
            except RuntimeError as fault:
                self.broken.append(str(fault))
            self.stopping.set()
            for caller in callers:
                caller.join()
            self.check()
        return kinds


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="how many seeds, from --seed on")
    parser.add_argument("--steps", type=int, default=14)
    parser.add_argument("--nodes", type=int, default=6)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(seed, options.steps, options.nodes)
        kinds = soak.run()
        served = sum(1 for answer in soak.answers if answer[2] == 200)
        print(f"seed {seed}: {len(soak.answers)} answers, {served} served, "
              f"{len(soak.broken)} broken; {' '.join(kinds)}", flush=True)
        for each in soak.broken:
            print(f"  {each}")
        failed += 1 if soak.broken else 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
