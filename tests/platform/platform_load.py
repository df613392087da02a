"""Load at nodes of the platform program, and what of it reaches a server that
states something about the requests that it accepts."""

import random
import threading
import time

REQUESTS_PER_S = 60
#: A limit binds this long after the target first stated it.
CONTACT_S = 3.0
#: A node counts this long after its first response that states the limit.
TOLD_S = 0.5
WINDOW_S = 4.0


def allowed(limit):
    """Requests that may reach a target in a window."""
    return 1.5 * limit * WINDOW_S + 5


class Load:
    """Sends requests at a constant rate to random nodes, and keeps when each
    node first returned a response of each server."""

    def __init__(self, fleet, path="/orders/", method="POST"):
        self.fleet = fleet
        self.path = path
        self.method = method
        self.results = []  # (node, status, headers, seconds taken)
        self.first_response = {}  # by node and server id
        self.nodes_by_attempt = {}
        self.sent = {}  # time.monotonic() by attempt
        self.threads = []
        self.random = random.Random(1)

    def send(self, number):
        node = self.random.choice(self.fleet.nodes)
        attempt = f"load-{number}"
        self.nodes_by_attempt[attempt] = node
        self.sent[attempt] = time.monotonic()
        body = b"x" if self.method == "POST" else None
        status, headers, text = self.fleet.request(
            f"{self.path}{number}", node, self.method, body, attempt=attempt)
        now = time.monotonic()
        self.results.append((node, status, headers, now - self.sent[attempt]))
        if text.startswith("from "):
            self.first_response.setdefault((node, text[len("from "):]), now)

    def run(self, seconds):
        """Sends for the given time, and waits for all responses."""
        started = time.monotonic()
        first = len(self.nodes_by_attempt)
        for number in range(int(seconds * REQUESTS_PER_S)):
            due = started + number / REQUESTS_PER_S
            time.sleep(max(0, due - time.monotonic()))
            thread = threading.Thread(target=self.send, args=(first + number,))
            thread.start()
            self.threads.append(thread)
        for thread in self.threads:
            thread.join()

    def arrivals_by_node(self, server):
        """Times at which requests of each node reached the server."""
        times = {}
        for arrived, attempt in server.arrival_times:
            times.setdefault(self.nodes_by_attempt.get(attempt), []).append(
                arrived)
        return times

    def served_share(self):
        statuses = [status for _, status, _, _ in self.results]
        return statuses.count(200) / max(1, len(statuses))

    def worst_window(self, server, stated_at):
        """The most requests in a window at a server, from nodes that it had
        told its limit."""
        def counts(arrived, attempt):
            node = self.nodes_by_attempt.get(attempt)
            told = self.first_response.get((node, server.id))
            return told is not None and arrived >= told + TOLD_S
        times = [arrived for arrived, attempt in server.arrival_times
                 if arrived >= stated_at + CONTACT_S
                 and counts(arrived, attempt)]
        return max((sum(first <= other < first + WINDOW_S for other in times)
                    for first in times), default=0)
