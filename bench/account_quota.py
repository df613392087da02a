"""Quotas of client accounts over all nodes, with 6, 24 and 96 nodes: how many
requests of an account run in the worst window, how many are refused within the
quota while its callers stay at few nodes and after they have moved, with half of
the nodes killed, and what the nodes send each other."""

import asyncio
import hashlib
import random
import signal
import statistics
import time

from fleet import NODE_PORT, Fleet
from report_lines import Report

SEED = 17
SIZES = (6, 24, 96)
WINDOW_S, OVERAGE, SLACK = 5.0, 0.25, 20.0  # as the fleet record has them
FALSE_STEADY, FALSE_MOVED = 0.01, 0.05
TRAFFIC_B_PER_S = 3000
#: Part of its quota that an account usually uses.
USUAL = 0.62
#: Rate and burst of the accounts, per second and in requests. The last one
#: sends several times its quota.
ACCOUNTS = {"skewed": (100, 100), "even": (60, 60), "flood": (40, 40)}
FLOOD = 5.0
DOMAINS = ("da", "db", "dc")
STEADY_S, MOVED_S, KILLED_S, TAIL_S = 12, 8, 3, 12


def key_of(account):
    return "key-of-" + account


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()[:32]


def records():
    targets = [{"id": f"t{i}", "address": f"10.0.0.{i + 1}:80",
                "domain": DOMAINS[i % 3]} for i in range(12)]
    return [
        {"schema": 2, "kind": "service", "name": "s", "revision": 1,
         "slots": 64, "targets": targets},
        {"schema": 2, "kind": "bundle", "name": "b", "revision": 1,
         "services": [],
         "routes": [{"name": "r", "path_prefix": "/", "service": "s"}],
         "accounts": [{"name": name, "key_digests": [digest(key_of(name))],
                       "rate_per_s": rate, "burst": burst}
                      for name, (rate, burst) in ACCOUNTS.items()]}]


class Load:
    """Callers with a connection to each node for each account."""

    def __init__(self):
        self.links = {}
        self.results = {name: [] for name in ACCOUNTS}  # (sent, end, status)
        self.random = random.Random(SEED)

    async def send(self, account, node):
        pool = self.links.setdefault(node, [])
        sent = time.monotonic()
        status = 0
        try:
            link = pool.pop() if pool else await asyncio.open_connection(
                "127.0.0.1", NODE_PORT + node)
            link[1].write((f"GET /x HTTP/1.1\r\nHost: h\r\n"
                           f"Siskinstage-Api-Key: {key_of(account)}\r\n\r\n"
                           ).encode())
            head = await asyncio.wait_for(
                link[0].readuntil(b"\r\n\r\n"), 5)
            status = int(head.split()[1])
            length = 0
            for line in head.split(b"\r\n"):
                if line.lower().startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            await asyncio.wait_for(link[0].readexactly(length), 5)
            pool.append(link)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        self.results[account].append((sent, time.monotonic(), status))

    async def run(self, seconds, nodes_of):
        """Sends at the usual rates to random ones of each account's nodes."""
        start = time.monotonic()
        tasks = []
        rates = {name: (FLOOD if name == "flood" else USUAL) * rate
                 for name, (rate, _) in ACCOUNTS.items()}
        due = {name: start + self.random.expovariate(rate)
               for name, rate in rates.items()}
        while True:
            account = min(due, key=due.get)
            if due[account] > start + seconds:
                break
            await asyncio.sleep(max(0, due[account] - time.monotonic()))
            due[account] += self.random.expovariate(rates[account])
            tasks.append(asyncio.create_task(self.send(
                account, self.random.choice(nodes_of[account]))))
        return start, tasks


def worst_window(results):
    ran = sorted(end for _, end, status in results if status == 200)
    worst, first = 0, 0
    for last, end in enumerate(ran):
        while end - ran[first] > WINDOW_S:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def false_share(results, rate, burst, begin, end):
    """The share of requests refused of those that one bucket for all nodes
    would have admitted."""
    tokens, before, within, refused = burst, None, 0, 0
    for sent, _, status in sorted(results):
        tokens = min(burst, tokens + (sent - (before or sent)) * rate)
        before = sent
        if tokens < 1:
            continue
        tokens -= 1
        if begin <= sent < end:
            within += 1
            refused += status == 429
    return refused / max(1, within)


def gossip_bytes(fleet, nodes):
    return [fleet.state(i)["gossip"]["bytes_sent"] for i in nodes]


async def measure(fleet, report, count):
    entries = [i for i in range(count)
               if fleet.state(i)["quotas"]["claim"] > 0]
    load = Load()
    first, second = entries[:2], entries[2:4]
    everywhere = {"skewed": first, "even": entries, "flood": entries[:1]}
    before = gossip_bytes(fleet, entries)
    began, tasks = await load.run(STEADY_S, everywhere)
    traffic = [(after - start) / STEADY_S for after, start in
               zip(gossip_bytes(fleet, entries), before)]
    moved_at, more = await load.run(MOVED_S, {**everywhere, "skewed": second})
    tasks += more
    killed = entries[1::2]
    for node in killed:
        fleet.signal(f"node-{node}", signal.SIGKILL)
    left = {name: [n for n in nodes if n not in killed]
            for name, nodes in {**everywhere, "skewed": second}.items()}
    killed_at, more = await load.run(KILLED_S, left)
    tasks += more
    for node in killed:
        fleet.start_node(node)
    _, more = await load.run(TAIL_S, left)
    await asyncio.gather(*tasks, *more)
    for name, (rate, burst) in ACCOUNTS.items():
        fields = {"nodes": count, "entries": len(entries), "account": name}
        results = load.results[name]
        allowed = (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
        report.add("worst_window_over", max(0, worst_window(results) - allowed),
                   "requests", at_most=0, window=worst_window(results),
                   allowed=allowed, **fields)
        if name == "flood":
            continue
        report.add("false_steady",
                   false_share(results, rate, burst, began + 3, moved_at),
                   "share", at_most=FALSE_STEADY, **fields)
        report.add("false_after_move",
                   false_share(results, rate, burst, moved_at, moved_at + 5),
                   "share", at_most=FALSE_MOVED, **fields)
        report.add("false_half_killed",
                   false_share(results, rate, burst, killed_at,
                               killed_at + KILLED_S + TAIL_S), "share",
                   **fields)
    report.add("gossip_sent_mean", statistics.mean(traffic), "B/s",
               at_most=TRAFFIC_B_PER_S, nodes=count, entries=len(entries))
    report.add("gossip_sent_max", max(traffic), "B/s", nodes=count,
               entries=len(entries))


def main():
    report = Report("account-quota", SEED)
    for count in SIZES:
        with Fleet(nodes=count, records=records(), slots=64, log_level="info",
                   node_flags=("--entries_per_domain=2",)) as fleet:
            fleet.await_quiet_gossip()
            time.sleep(5)
            asyncio.run(measure(fleet, report, count))
    report.finish()


if __name__ == "__main__":
    main()
