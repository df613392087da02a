"""Accounts of the platform's configuration whose keys a test revokes, and load
with these keys."""

import threading
import time

from platform_fleet import FRONT, fetch, route

LIMIT_S = 5.0
BOUNDS = {"drain-s": 2, "grace-s": 6, "config-apply-s": 2.5,
          "revoke-everywhere": True, "revoke-s": LIMIT_S}
#: Share of the limit from which on requests with a key are rejected.
STOPPED = 0.9
#: Its share up to which they must be served.
SERVED = 0.6
#: A key that is never revoked.
KEPT_KEY = "kept-key"


class KeyedFleet:
    """A fleet whose callers have keys: each phase of a test has its own."""

    def __init__(self, fleet, keys):
        self.fleet = fleet
        self.keys = set(keys) | {KEPT_KEY}
        self.revoked_at = {}  # time.monotonic() of the acknowledgement, by key
        self.publish()

    def publish(self, *prefixes):
        """Puts a configuration with the present keys, and with further routes,
        into the store."""
        self.fleet.configure(
            {"r1": route("/reads/", "reads"),
             "r2": dict(route("/open/", "reads"), public=True),
             **{f"r{prefix}": route(prefix, "reads") for prefix in prefixes}},
            {f"tenant-{key}": {"api-keys": [key]} for key in self.keys})

    def revoke(self, key):
        self.keys.remove(key)
        self.publish()
        self.revoked_at[key] = time.monotonic()

    def send(self, node, key, attempt=None, path="/reads/1"):
        """Sends a request with a key; returns status and headers, or None if
        the node does not answer."""
        headers = {"Host": "shop.example", "Deadline-Remaining": "12000",
                   "Attempt-Id": attempt or f"{key}-{time.monotonic_ns()}"}
        if key:
            headers["X-Api-Key"] = key
        try:
            return fetch(node, FRONT, path, headers=headers, timeout=15)[:2]
        except OSError:
            return None

    def served(self, node, key):
        result = self.send(node, key)
        return result is not None and result[0] == 200

    def late_runs(self, key):
        """How long after the end of the limit requests with the key ran."""
        end = self.revoked_at[key] + LIMIT_S
        return [round(arrived - end, 3) for server in self.fleet.servers
                for arrived, attempt in server.arrival_times
                if attempt.startswith(f"{key}-") and arrived > end]

    def runs(self, key):
        return sum(attempt.startswith(f"{key}-") for server in self.fleet.servers
                   for _, attempt in server.arrival_times)


class KeyLoad:
    """Sends requests with one key to nodes until it is stopped. A request to a
    frozen node waits there."""

    PERIOD_S = 0.1

    def __init__(self, keyed, key, nodes):
        self.keyed = keyed
        self.key = key
        self.nodes = nodes
        self.results = []  # (time sent, node, result of KeyedFleet.send)
        self.stopped = threading.Event()
        self.requests = []
        self.thread = threading.Thread(target=self.run)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.thread.join()
        for request in self.requests:
            request.join()

    def send(self, node):
        sent = time.monotonic()
        self.results.append((sent, node, self.keyed.send(node, self.key)))

    def run(self):
        while not self.stopped.wait(self.PERIOD_S):
            for node in self.nodes:
                request = threading.Thread(target=self.send, args=(node,))
                request.start()
                self.requests.append(request)

    def statuses(self, begin, end, node=None):
        """The statuses of the requests sent in a period of time."""
        return {result[0] if result else None
                for sent, to, result in list(self.results)
                if begin <= sent < end and node in (None, to)}
