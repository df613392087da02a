"""Churn drill: servers join and leave and configurations change without pause,
while the store, the nodes or their connections fail; what callers see is judged
by the rules CONFIG and DRAIN. A seed reproduces the changes and their order."""

import argparse
import collections
import datetime
import heapq
import http.client
import itertools
import math
import random
import re
import signal
import sys
import threading
import time

from churn_rules import Ack, Judge, Request
from platform_fleet import DOMAINS, PlatformFleet, route

SERVICES = ("books", "carts", "users")
SERVERS_PER_SERVICE = 8
YOUNG_SERVERS = 6       # of those, one leaves every other time
REQUESTS_PER_S = 350
PAGE_ITEMS = 20
SERVER_PERIOD_S = 0.7
CONFIG_PERIOD_S = 0.75
OTHER_PERIOD_S = 0.05    # between writes of keys that the nodes don't use
PREFIXES = [f"/m{number}/" for number in range(24)]
SERVES_S = 12           # a server goes on serving after its leaving
AWAY_S = 0.5
REWRITE_S = 1.9         # what a return lost is written again within this time
LAPSE_S = 3             # entries of gone servers, three heartbeat intervals
COPY_PERIOD_S = 0.25
MAX_COPY_AGE_S = 6      # when the store goes away
MIN_COPY_AGE_S = 1
TROUBLE_PERIOD_S = 3.5
FROZEN_S = 1
CUT_S = 5.5
CUT_PERIOD_S = 7
BURST_GAP_S = 0.8       # from one return to the next leaving of a burst
STORE_TROUBLE_S = 4
STORE_TROUBLE_PERIOD_S = 12
LOG_LINES = re.compile(
    r"platform|store|watcher|record|epoch|instance list|configuration|outage"
    r"|deleted|is now")


class Drill:
    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.fleet = PlatformFleet(nodes=options.nodes, services=SERVICES,
                                   servers=SERVERS_PER_SERVICE)
        self.fleet.store.PAGE_ITEMS = PAGE_ITEMS
        self.store = self.fleet.store
        self.queue = []        # (time, number, action, arguments)
        self.numbers = itertools.count()
        self.deferred = []     # writes that wait for the store
        self.away = False
        self.lag_s = 0         # of the drill itself
        self.copies = []       # (time, copy)
        self.states = {}       # of servers, by id: ready, draining or gone
        self.table = {}        # service by prefix, of the newest version
        self.recent = list(PREFIXES)  # prefixes, the last changed at the end
        self.cuts = 0
        self.stopping = threading.Event()
        # What the judge reads.
        self.requests = []
        self.acks = []
        # (time before its writing, table); the fleet starts without routes.
        self.versions = [(0, {})]
        self.returns = []
        self.copy_ages = []    # at each return
        self.back_at = {}      # times at which servers came back, by id
        self.store_faults = []  # (begin, end)
        self.node_faults = {node: [] for node in self.fleet.nodes}
        self.starts = {node: [] for node in self.fleet.nodes}

    def at(self, delay, action, *arguments):
        heapq.heappush(self.queue, (time.monotonic() + delay,
                                    next(self.numbers), action, arguments))

    def every(self, period, action):
        self.at(period, self.every, period, action)
        action()

    def write(self, action, *arguments):
        if self.away:
            self.deferred.append((action, arguments))
        else:
            action(*arguments)

    # Changes -----------------------------------------------------------------

    def server_of(self, server_id):
        return next(server for server in self.fleet.servers
                    if server.id == server_id)

    def put_state(self, server_id):
        """The store gets the state that the server is in."""
        state, key = self.states[server_id], f"servers/{server_id}"
        if state != "gone":
            self.fleet.register(self.server_of(server_id), state=state)
        elif key in self.store.items:
            self.store.remove(key)
        if state != "ready":
            self.acks.append(Ack(time.monotonic(), "removed" if state == "gone"
                                 else state, server_id))

    def set_state(self, server_id, state):
        self.states[server_id] = state
        self.write(self.put_state, server_id)

    def join(self, service):
        server = self.fleet.add_server(service, self.rng.choice(DOMAINS))
        self.set_state(server.id, "ready")

    def come_back(self, server):
        """The server starts again under its id."""
        server.born += 1000
        server.seq = 0
        self.back_at.setdefault(server.id, []).append(time.monotonic())
        self.set_state(server.id, "ready")

    def change_servers(self):
        ready = [name for name, state in self.states.items()
                 if state == "ready"]
        # Those that joined last are the ones that a return may lose.
        server = self.server_of(self.rng.choice(
            self.rng.choice((ready, ready[-YOUNG_SERVERS:]))))
        if self.rng.random() < 2 / 3:
            self.set_state(server.id, "draining")
            self.at(self.rng.uniform(2, 5), self.set_state, server.id, "gone")
        else:
            self.set_state(server.id, "gone")
        if self.options.comebacks and self.rng.random() < 0.5:
            self.at(self.rng.uniform(5.5, 7), self.come_back, server)
        else:
            self.at(SERVES_S, server.stop)
            self.join(server.service)

    def put_config(self):
        routes = {f"f{number}": route(f"/f{number}/", SERVICES[number % 3])
                  for number in range(self.options.routes)}
        routes.update({prefix.strip("/"): route(prefix, service)
                       for prefix, service in self.table.items()})
        if self.versions[-1][1] != self.table:
            self.versions.append((time.monotonic(), dict(self.table)))
        index = len(self.versions) - 1
        self.fleet.configure(routes)
        self.acks.append(Ack(time.monotonic(), "config", index))

    def change_config(self):
        for prefix in self.rng.sample(PREFIXES, 2):
            others = [name for name in SERVICES
                      if name != self.table.get(prefix)]
            if prefix in self.table and self.rng.random() < 0.35:
                del self.table[prefix]
            else:
                self.table[prefix] = self.rng.choice(others)
            self.recent.remove(prefix)
            self.recent.append(prefix)
        self.write(self.put_config)

    def write_other(self):
        """Another writer shares the store, and so the revisions; it resumes
        some time after a return."""
        resumed = self.returns[-1] + REWRITE_S if self.returns else 0
        if not self.away and time.monotonic() > resumed:
            self.store.put("other/1", time.time())

    # Faults ------------------------------------------------------------------

    def take_copy(self):
        if not self.away:
            self.copies.append((time.monotonic(), self.store.copy()))

    def go_away(self):
        if self.away:
            return
        self.away = True
        self.store.go_away()
        self.at(AWAY_S, self.come_from_copy, time.monotonic(),
                self.begin_fault(self.store_faults))
        if self.options.kill_all:
            for node in self.fleet.nodes:
                self.kill(node, AWAY_S)

    def come_from_copy(self, left, end_fault):
        # The ages go down from one return to the next.
        others = self.options.returns * self.options.burst - 1
        age = MAX_COPY_AGE_S - ((MAX_COPY_AGE_S - MIN_COPY_AGE_S)
                                * len(self.returns) / max(1, others))
        copied, copy = min(self.copies,
                           key=lambda entry: abs(entry[0] - (left - age)))
        newest = self.store.return_from(copy)
        now = time.monotonic()
        self.away = False
        self.returns.append(now)
        self.copy_ages.append(round(now - copied, 1))
        end_fault()
        for ack in self.acks:
            if copied < ack.time:
                ack.void_at = min(ack.void_at, left)
        if newest["op/config"] != self.store.items["op/config"]:
            self.at(self.rng.uniform(0.1, REWRITE_S), self.write,
                    self.put_config)
        for name, state in self.states.items():
            key = f"servers/{name}"
            if newest.get(key) != self.store.items.get(key):
                delay = (self.rng.uniform(0.1, REWRITE_S) if state != "gone"
                         else LAPSE_S)
                self.at(delay, self.write, self.put_state, name)
            elif state == "gone" and key not in self.store.items:
                self.acks.append(Ack(now, "missing", name))
        for action, arguments in self.deferred:
            action(*arguments)
        self.deferred.clear()

    @staticmethod
    def begin_fault(faults):
        """Returns what notes its end."""
        span = [time.monotonic(), math.inf]
        faults.append(span)

        def end():
            span[1] = time.monotonic()
        return end

    def kill(self, node, delay=0.3):
        if self.fleet.processes[node].poll() is not None:
            return
        end = self.begin_fault(self.node_faults[node])
        self.fleet.signal(node, signal.SIGKILL)
        self.fleet.processes[node].wait()

        def start():
            self.fleet.start(node)
            self.starts[node].append(time.monotonic())
            end()
        self.at(delay, start)

    def freeze(self, node):
        if self.fleet.processes[node].poll() is not None:
            return
        end = self.begin_fault(self.node_faults[node])
        self.fleet.signal(node, signal.SIGSTOP)

        def resume():
            self.fleet.signal(node, signal.SIGCONT)
            end()
        self.at(FROZEN_S, resume)

    def trouble(self):
        node = self.rng.choice(self.fleet.nodes)
        self.rng.choice((self.kill, self.freeze))(node)

    def reject(self, nodes, seconds, status=429):
        """The nodes can't read the store for a time."""
        ends = [self.begin_fault(self.node_faults[node]) for node in nodes]
        self.store.reject_status = status
        self.store.rejected_addresses = set(nodes)

        def accept():
            self.store.rejected_addresses = set()
            for end in ends:
                end()
        self.at(seconds, accept)

    def cut(self):
        self.reject(self.fleet.nodes[self.cuts % 4::4], CUT_S)
        self.cuts += 1

    def refuse(self):
        self.reject(self.rng.sample(self.fleet.nodes, self.options.nodes // 3),
                    STORE_TROUBLE_S, self.rng.choice((429, 503)))

    def disturb_store(self):
        end = self.begin_fault(self.store_faults)
        self.store.delay_s = 0.2 if self.options.slow else 0
        self.store.lost_share = 0.3 if self.options.lost else 0

        def recover():
            self.store.delay_s = self.store.lost_share = 0
            end()
        self.at(STORE_TROUBLE_S, recover)

    # Callers -----------------------------------------------------------------

    def send_requests(self, number, node):
        rng = random.Random(f"{self.options.seed} {number}")
        kept = self.fleet.connection(node)
        period = len(self.fleet.nodes) / REQUESTS_PER_S
        for count in itertools.count():
            if self.stopping.wait(period * rng.uniform(0.5, 1.5)):
                return
            prefix = rng.choice(self.recent[-8:] if rng.random() < 0.6
                                else PREFIXES)
            attempt, status = f"churn-{number}-{count}", None
            sent = time.monotonic()
            try:
                status = self.fleet.request(
                    f"{prefix}{count}", node, deadline_ms=3000,
                    attempt=attempt, connection=kept)[0]
            except (OSError, http.client.HTTPException):
                kept.close()
            self.requests.append(Request(attempt, node, prefix, sent,
                                         time.monotonic(), status))

    # Run ---------------------------------------------------------------------

    def schedule(self):
        options = self.options
        self.every(COPY_PERIOD_S, self.take_copy)
        self.every(OTHER_PERIOD_S, self.write_other)
        self.every(SERVER_PERIOD_S, self.change_servers)
        self.every(CONFIG_PERIOD_S, self.change_config)
        for number in range(options.returns):
            # Late enough for copies, and early enough to be judged.
            share = (number + self.rng.uniform(0.2, 0.8)) / options.returns
            first = 5 + share * (options.seconds - 13)
            for again in range(options.burst):
                self.at(first + again * BURST_GAP_S, self.go_away)
        for wanted, period, action in (
                (options.trouble, TROUBLE_PERIOD_S, self.trouble),
                (options.cut, CUT_PERIOD_S, self.cut),
                (options.refuse, STORE_TROUBLE_PERIOD_S, self.refuse),
                (options.slow or options.lost, STORE_TROUBLE_PERIOD_S,
                 self.disturb_store)):
            if wanted:
                self.at(period, self.every, period, action)

    def run(self):
        for server in self.fleet.servers:
            self.states[server.id] = "ready"
        self.table = {prefix: SERVICES[number % 3]
                      for number, prefix in enumerate(PREFIXES[:16])}
        with self.fleet:
            self.put_config()
            for node in self.fleet.nodes:
                self.starts[node].append(time.monotonic())
                self.begin_fault(self.node_faults[node])()
            callers = [threading.Thread(target=self.send_requests, args=caller,
                                        daemon=True)
                       for caller in enumerate(self.fleet.nodes)]
            for caller in callers:
                caller.start()
            end = time.monotonic() + self.options.seconds
            self.schedule()
            while time.monotonic() < end:
                due, _, action, arguments = heapq.heappop(self.queue)
                time.sleep(max(0, min(due, end) - time.monotonic()))
                self.lag_s = max(self.lag_s, time.monotonic() - due)
                action(*arguments)
            self.stopping.set()
            for caller in callers:
                caller.join()
        return Judge(self)

    def timeline(self, begin, end, zero):
        """The nodes' log lines between two times about the store, watchers and
        records; equal lines of several nodes are merged."""
        offset = time.time() - time.monotonic()
        merged = {}
        for index, node in enumerate(self.fleet.nodes):
            for line in self.fleet.log_of(node).splitlines():
                found = re.match(r"time=(\S+) level=(\w+) node=\S+ (.*)", line)
                if not found or not LOG_LINES.search(found[3]):
                    continue
                at = datetime.datetime.fromisoformat(
                    found[1].replace("Z", "+00:00")).timestamp() - offset
                if begin <= at <= end:
                    merged.setdefault((found[3], 0), []).append((at, index))
        for first, last, node, path in self.store.call_times:
            if first <= end and last >= begin and node:
                text = f"store call {path} took {last - first:.3f} s"
                merged[text, first] = [(first, self.fleet.nodes.index(node))]
        for (text, _), seen in sorted(merged.items(),
                                      key=lambda item: min(item[1])):
            seen.sort()
            nodes = ",".join(str(index) for _, index in seen[:4])
            more = f" and {len(seen) - 4} more" if len(seen) > 4 else ""
            print(f"  {seen[0][0] - zero:+.3f} to {seen[-1][0] - zero:+.3f} "
                  f"[nodes {nodes}{more}] {text[:230]}")


def report(drill, judge, options):
    kinds = ("CONFIG", "DRAIN", "not binding")
    statuses = collections.Counter(
        request.status for request in judge.requests)
    print(f"seed {options.seed}: {len(judge.judged)} of {len(judge.requests)} "
          "requests judged, " + ", ".join(f"{kind} {judge.count(kind)}"
                                          for kind in kinds)
          + f"; {len(drill.versions)} versions, {len(drill.fleet.servers)} "
          f"servers, returns from copies {drill.copy_ages} s old, latest use "
          f"{judge.latest_use:.2f} s after an ack; statuses {dict(statuses)}",
          flush=True)
    slowest = max(last - first for first, last, _, path
                  in drill.store.call_times if "kv-range" in path)
    print(f"  the drill was late by {drill.lag_s:.2f} s at most, the slowest "
          f"read of a page took {slowest:.2f} s")
    for kind in kinds:
        for line in judge.cases(kind):
            print(f"  {line}")
    if options.timeline and judge.violations:
        kind, subject, request, ack, _ = min(
            judge.violations, key=lambda found: (found[0] == "not binding",
                                                 found[2].sent))
        begin = ack.time if ack else request.sent
        print(f"timeline of the first {kind}, {subject}, from its ack on")
        drill.timeline(begin - 1, max(request.sent, begin + 3), begin)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--nodes", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--returns", type=int, default=0,
                        help="how often the store returns from an older copy")
    parser.add_argument("--burst", type=int, default=1,
                        help="returns in a row, each time")
    parser.add_argument("--routes", type=int, default=0,
                        help="further routes of each configuration")
    for name, text in (
            ("trouble", "a node is killed or frozen every few seconds"),
            ("kill-all", "all nodes are killed at each return"),
            ("cut", "a quarter of the nodes in turn can't read the store"),
            ("comebacks", "some servers come back under their id"),
            ("refuse", "the store at times answers some nodes 429 or 503"),
            ("slow", "the store is slow at times"),
            ("lost", "the store at times loses responses"),
            ("timeline", "print log lines near the first violation")):
        parser.add_argument(f"--{name}", action="store_true", help=text)
    options = parser.parse_args()
    drill = Drill(options)
    judge = drill.run()
    report(drill, judge, options)
    return 1 if judge.count("CONFIG") + judge.count("DRAIN") else 0


if __name__ == "__main__":
    sys.exit(main())
