"""Fault soak: runs nodes of the platform program as real processes, injects
series of overlapping faults, and checks the responses of callers against the
requests that the servers ran. A seed reproduces the faults and their order."""

import argparse
import http.client
import random
import signal
import sys
import threading
import time

from fleet import wait_for
from notice_checks import NoticeLog
from platform_fleet import PlatformFleet, route

STEP_S = 0.7          # between two faults, which last longer
CALLERS = 6
#: A request sent later than this after a SIGTERM is answered before the exit.
PLANNED_STOP_S = 3
AWAY_S = 0.5          # of the store, before it returns from a copy
MAX_COPY_STEPS = 7    # age of the copy, 4.9 s
RECOVERY_S = 30       # limit for the fleet to serve all routes at the end
NOT_RUN_STATUSES = (408, 421, 429, 503)  # the request was not executed
BEHAVIOURS = ("normal", "hang", "shed", "reset", "unsealed", "error", "busy",
              "encoded", "cut")


class Soak:
    def __init__(self, seed, steps, nodes, returns):
        self.rng = random.Random(seed)
        self.steps = steps
        # Of its own, so that a seed has the same other faults without returns.
        self.return_rng = random.Random(f"returns {seed}")
        self.return_steps = sorted(
            self.return_rng.sample(range(2, steps), returns))
        self.copies = []  # of the store, one a step
        self.returning = []  # threads
        self.return_lock = threading.Lock()  # held until all is written again
        self.fleet = PlatformFleet(nodes=nodes)
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        self.responses = []  # (attempt, path, status, headers, body)
        self.unanswered = []  # (attempt, node, time of sending, time of the end)
        self.signals = []     # (time, node, signal)
        self.violations = []
        self.routes = {"r1": route("/reads/", "reads"),
                       "r2": route("/orders/", "orders", "unsafe", 2)}
        self.frozen = set()
        self.notices = NoticeLog()

    # Callers -----------------------------------------------------------------

    def send_requests(self, number):
        rng = random.Random(number)
        count = 0
        # The connections are used until their nodes close them.
        kept = {node: self.fleet.connection(node) for node in self.fleet.nodes}
        while not self.stopping.is_set():
            count += 1
            attempt = f"soak-{number}-{count}"
            unsafe = rng.random() < 0.6
            path = f"/orders/{count}" if unsafe else f"/reads/{count}"
            node = rng.choice(self.fleet.nodes)
            sent = time.monotonic()
            self.notices.sent[attempt] = (node, sent)
            try:
                status, headers, body = self.fleet.request(
                    path, node, "POST" if unsafe else "GET",
                    b"lot" if unsafe else None, 3000, attempt, kept[node])
            except (OSError, http.client.HTTPException):
                # Without a response, the outcome is unknown.
                kept[node].close()
                with self.lock:
                    self.unanswered.append(
                        (attempt, node, sent, time.monotonic()))
                continue
            with self.lock:
                self.responses.append((attempt, path, status, headers, body))
                if body.startswith("from "):
                    self.notices.passed.append(
                        (time.monotonic(), node, body[len("from "):]))

    # Faults ------------------------------------------------------------------

    def restart(self, node, signal_number):
        self.signals.append((time.monotonic(), node, signal_number))
        self.notices.disturb(node, time.monotonic())
        self.fleet.signal(node, signal_number)

        def start_after_exit():
            self.fleet.processes[node].wait()
            if not self.stopping.is_set():
                self.fleet.start(node)
                self.notices.undisturb(node, time.monotonic())
        threading.Thread(target=start_after_exit, daemon=True).start()

    def freeze(self, node):
        self.notices.disturb(node, time.monotonic())
        self.signals.append((time.monotonic(), node, signal.SIGSTOP))
        self.fleet.signal(node, signal.SIGSTOP)
        self.frozen.add(node)

    def resume_all(self):
        for node in self.frozen:
            self.signals.append((time.monotonic(), node, signal.SIGCONT))
            self.fleet.signal(node, signal.SIGCONT)
            self.notices.undisturb(node, time.monotonic())
        self.frozen.clear()

    def alive(self):
        return [node for node in self.fleet.nodes if node not in self.frozen
                and self.fleet.processes[node].poll() is None]

    def add_route(self):
        number = len(self.routes)
        self.routes[f"r{number + 1}"] = route(f"/more{number}/", "reads")
        self.fleet.configure(self.routes)

    def state_notice(self, server, kind):
        """Lets the server state a limit, a Retry-After or that it leaves."""
        now = time.monotonic()
        if kind == "limit":
            self.notices.begin(server, "Server-Limit",
                               self.rng.choice((0.5, 1, 4)), now)
        elif kind == "alone":
            self.notices.begin(server, "Retry-After", 3, now)
            server.behaviour = "shed"
        else:
            self.notices.begin(server, "Server-Leaving", 1, now)

    def restart_server(self, server):
        """Lets the server start again under its id, and state nothing."""
        self.notices.restart(server, time.monotonic())
        server.born += 1
        self.fleet.register(server)

    def inject_fault(self):
        server = self.rng.choice(self.fleet.servers)
        node = self.rng.choice(self.alive() or self.fleet.nodes)
        kind = self.rng.choice((
            "kill", "term", "hup", "freeze", "wake", "behave", "behave",
            "extra", "drain", "back", "store", "refuse", "compact", "route",
            "limit", "limit", "alone", "leave", "restart"))
        if kind == "kill":
            self.restart(node, signal.SIGKILL)
        elif kind == "term":
            self.restart(node, signal.SIGTERM)
        elif kind == "hup":
            self.fleet.signal(node, signal.SIGHUP)
        elif kind == "freeze":
            self.freeze(node)
        elif kind == "wake":
            self.resume_all()
        elif kind == "behave":
            server.behaviour = self.rng.choice(BEHAVIOURS)
        elif kind == "extra":
            server.sends_second_response = not server.sends_second_response
        elif kind in ("limit", "alone", "leave"):
            self.state_notice(server, kind)
        elif kind == "restart":
            self.restart_server(server)
        elif kind in ("drain", "back"):
            state = "draining" if kind == "drain" else "ready"
            self.fleet.register(server, state=state)
        elif kind == "store":
            self.fleet.store.set_mode(
                self.rng.choice(("up", "silent", "refuse", "drop")))
        elif kind == "refuse":
            self.fleet.store.rejected_addresses = set(self.rng.sample(
                self.fleet.nodes, self.rng.randrange(len(self.fleet.nodes))))
        elif kind == "compact":
            self.fleet.store.compact()
        else:
            self.add_route()
        return kind

    def begin_return(self):
        """Lets the store return from a copy while further faults begin."""
        age = self.return_rng.randint(1, min(MAX_COPY_STEPS, len(self.copies)))
        copy = self.copies[-age]

        def return_and_rewrite():
            with self.return_lock:
                self.fleet.store.play_return(copy, AWAY_S)
        thread = threading.Thread(target=return_and_rewrite, daemon=True)
        thread.start()
        self.returning.append(thread)

    def clear_faults(self):
        for thread in self.returning:
            thread.join()
        self.resume_all()
        self.fleet.store.rejected_addresses = set()
        self.fleet.store.set_mode("up")
        for server in self.fleet.servers:
            server.behaviour = "normal"
            server.sends_second_response = False
            self.restart_server(server)

    # Checks ------------------------------------------------------------------

    def check(self):
        """Records a violation for each response or run that breaks a rule."""
        runs_by_attempt = {}
        for server in self.fleet.servers:
            for attempt, method, path, body in server.runs:
                runs_by_attempt.setdefault(attempt, []).append(
                    (server, path, body))
        for attempt, runs in runs_by_attempt.items():
            if len(runs) > 1 and runs[0][1].startswith("/orders/"):
                self.violations.append(f"{attempt} ran {len(runs)} times")
            for server, path, _ in runs:
                service = "orders" if path.startswith("/orders/") else "reads"
                if server.service != service:
                    self.violations.append(
                        f"{path} ran at {server.id}, which does not serve it")
        self.violations += self.notices.violations()
        for unanswered in self.unanswered:
            self.check_unanswered(unanswered[0] in runs_by_attempt, *unanswered)
        for response in self.responses:
            self.check_response(runs_by_attempt.get(response[0], []), *response)

    def check_unanswered(self, ran, attempt, node, sent, ended):
        """A request that ran and got no response, though it was sent late in a
        planned stop of its node that nothing else disturbed."""
        before = [(at, number) for at, signalled, number in self.signals
                  if signalled == node and at <= ended]
        if not ran or not before or before[-1][1] != signal.SIGTERM:
            return
        if sent > before[-1][0] + PLANNED_STOP_S:
            self.violations.append(
                f"{attempt} was cut in a planned stop of {node}")

    def check_response(self, runs, attempt, path, status, headers, body):
        if status in NOT_RUN_STATUSES and runs and path.startswith("/orders/"):
            self.violations.append(
                f"{attempt} ran, but its response has status {status}")
        if status == 404:
            self.violations.append(f"no route was found for {path}")
        if status != 200:
            return
        server = next((candidate for candidate, _, _ in runs
                       if body == f"from {candidate.id}"), None)
        if headers["Attempt-Id"] != attempt or server is None:
            self.violations.append(
                f"{attempt} got the response of another request: {body[:40]}")
        elif headers["Server-Seal"] != f"seal.{server.id}":
            self.violations.append(
                f"the response to {attempt} has no seal of {server.id}")

    def await_all_routes(self):
        """Waits until every node serves all routes, also those added last."""
        prefixes = [definition["prefix"] for definition in self.routes.values()]
        for node in self.fleet.nodes:
            for prefix in prefixes:
                wait_for(lambda: self.fleet.request(
                    prefix + "1", node,
                    "POST" if "orders" in prefix else "GET")[0] == 200,
                    RECOVERY_S, f"{prefix} served by {node}")

    def run(self):
        with self.fleet:
            callers = [threading.Thread(target=self.send_requests, args=(i,),
                                        daemon=True) for i in range(CALLERS)]
            for caller in callers:
                caller.start()
            kinds = []
            for step in range(self.steps):
                self.copies.append(self.fleet.store.copy())
                if step in self.return_steps:
                    self.begin_return()
                    kinds.append("return")
                kinds.append(self.inject_fault())
                time.sleep(STEP_S)
            self.clear_faults()
            try:
                self.await_all_routes()
            except RuntimeError as error:
                self.violations.append(str(error))
            self.stopping.set()
            for caller in callers:
                caller.join()
            self.check()
        return kinds


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of consecutive seeds, from --seed on")
    parser.add_argument("--steps", type=int, default=14)
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--returns", type=int, default=0,
                        help="how often the store returns from an older copy")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        soak = Soak(seed, options.steps, options.nodes, options.returns)
        kinds = soak.run()
        served = sum(1 for response in soak.responses if response[2] == 200)
        print(f"seed {seed}: {len(soak.responses)} responses, {served} served, "
              f"{len(soak.violations)} violations; {' '.join(kinds)}",
              flush=True)
        for violation in soak.violations:
            print(f"  {violation}")
        failed += 1 if soak.violations else 0
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
