"""Tests that a revoked key is of no use at any node after the limit, whatever is
cut off, frozen, restarted or unavailable; and that keys which are valid are
served while the configuration is young enough."""

import concurrent.futures
import signal
import time
import unittest

from fleet import wait_for
from platform_fleet import DOMAINS, PlatformFleet
from platform_revocation import (BOUNDS, KEPT_KEY, LIMIT_S, SERVED, STOPPED,
                                 KeyedFleet, KeyLoad)

#: Requests that wait at a frozen node are sent on within this time.
DRAIN_S = 1.5
#: A node reads or polls within a second once the disruption has ended.
RESUME_S = 6.0
PHASES = ("cut", "frozen", "restart", "old", "away", "peer", "queue")


class Revocation(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet(nodes=6, servers=4, bounds=BOUNDS).__enter__()
        cls.addClassCleanup(cls.fleet.stop)
        cls.keyed = KeyedFleet(cls.fleet, [f"{name}-key" for name in PHASES])
        cls.store = cls.fleet.store

    def setUp(self):
        self.victim = self.fleet.nodes[0]
        self.others = self.fleet.nodes[1:]
        self.expect_served(self.fleet.nodes)

    def tearDown(self):
        self.store.set_mode("up")
        self.store.old_revision = None
        self.thaw(self.fleet.nodes)

    # Steps -------------------------------------------------------------------

    def expect_served(self, nodes, key=KEPT_KEY):
        for node in nodes:
            wait_for(lambda n=node: self.keyed.served(n, key), RESUME_S,
                     f"requests with {key} served at {node}")

    def freeze(self, nodes):
        for node in nodes:
            self.fleet.signal(node, signal.SIGSTOP)

    def thaw(self, nodes):
        for node in nodes:
            self.fleet.signal(node, signal.SIGCONT)

    def view(self, node):
        return self.fleet.state(node)["config_view"]

    def named(self, node):
        """The nodes that the directory of a node names."""
        return {address.split(":")[0] for zone in DOMAINS
                for address in self.fleet.resolve(node, zone)}

    def wait_past_limit(self, key):
        time.sleep(max(0, self.keyed.revoked_at[key] + LIMIT_S + DRAIN_S
                       - time.monotonic()))

    def expect_no_late_runs(self, key):
        self.assertGreater(self.keyed.runs(key), 0)
        self.assertEqual(self.keyed.late_runs(key), [])

    def expect_stopped(self, node):
        """Requests with a valid key are rejected as not run, and the caller is
        sent elsewhere."""
        status, headers = self.keyed.send(node, KEPT_KEY)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(headers["Connection"].lower(), "close")
        self.assertEqual(self.keyed.send(node, None, path="/open/1")[0], 200)

    # Disruptions -------------------------------------------------------------

    def test_a_node_cut_off_from_store_and_peers(self):
        """All other nodes are frozen and the store rejects reads, so that
        nothing reaches the node."""
        key = "cut-key"
        with KeyLoad(self.keyed, key, [self.victim]) as load, \
                KeyLoad(self.keyed, KEPT_KEY, [self.victim]) as kept:
            time.sleep(0.5)
            cut = time.monotonic()
            self.store.set_mode("refuse")
            self.freeze(self.others)
            self.keyed.revoke(key)
            self.wait_past_limit(key)
            self.expect_stopped(self.victim)
            self.assertNotIn(self.victim, self.named(self.victim))
            self.thaw(self.others)
            self.store.set_mode("up")
            self.expect_served(self.fleet.nodes)
            wait_for(lambda: len(self.named(self.victim)) == len(DOMAINS),
                     RESUME_S, "an entry named for each domain")
        self.expect_no_late_runs(key)
        self.assertEqual(kept.statuses(cut, cut + 0.2 * LIMIT_S), {200})
        self.assertIn(200, load.statuses(cut, cut + 0.2 * LIMIT_S))
        self.assertEqual(self.keyed.send(self.victim, key)[0], 401)

    def test_a_node_frozen_and_resumed(self):
        key = "frozen-key"
        with KeyLoad(self.keyed, key, [self.victim]):
            time.sleep(0.5)
            self.freeze([self.victim])
            self.keyed.revoke(key)
            self.wait_past_limit(key)
            self.thaw([self.victim])
            time.sleep(DRAIN_S)
        self.expect_no_late_runs(key)
        self.expect_served([self.victim])

    def test_a_node_restarted_while_the_store_is_unavailable(self):
        key = "restart-key"
        with KeyLoad(self.keyed, key, self.fleet.nodes):
            time.sleep(0.5)
            self.fleet.signal(self.victim, signal.SIGKILL)
            self.fleet.processes[self.victim].wait()
            self.keyed.revoke(key)
            self.store.set_mode("refuse")
            self.fleet.start(self.victim)
            self.wait_past_limit(key)
            self.store.set_mode("up")
            time.sleep(DRAIN_S)
        self.expect_no_late_runs(key)
        self.fleet.await_ready(self.victim)

    def test_a_store_that_returns_an_old_state(self):
        key = "old-key"
        old = self.store.revision
        self.fleet.register(self.fleet.servers[0])
        time.sleep(1.2)  # Each watcher reads the newer revision.
        with KeyLoad(self.keyed, key, self.fleet.nodes):
            time.sleep(0.5)
            self.store.old_revision = old
            self.keyed.revoke(key)
            self.wait_past_limit(key)
            for node in self.fleet.nodes:
                self.expect_stopped(node)
            self.store.old_revision = None
            time.sleep(DRAIN_S)
        self.expect_no_late_runs(key)

    def test_a_store_unavailable_to_all(self):
        key = "away-key"
        with KeyLoad(self.keyed, key, self.fleet.nodes), \
                KeyLoad(self.keyed, KEPT_KEY, self.fleet.nodes) as kept:
            time.sleep(0.5)
            away = time.monotonic()
            self.store.set_mode("refuse")
            self.keyed.revoke(key)
            self.wait_past_limit(key)
            for node in self.fleet.nodes:
                self.expect_stopped(node)
            # No node knows of a younger view, so that the entries stay.
            self.assertEqual(len(self.named(self.victim)), len(DOMAINS))
            back = time.monotonic()
            self.store.set_mode("up")
            self.expect_served(self.fleet.nodes)
        self.expect_no_late_runs(key)
        self.assertLess(time.monotonic() - back, RESUME_S)
        # The views are up to 2.7 s old when the store goes.
        self.assertEqual(kept.statuses(away, away + 0.2 * LIMIT_S), {200})
        self.assertEqual(kept.statuses(away + STOPPED * LIMIT_S + 0.2, back),
                         {503})

    def test_a_peer_with_an_older_view(self):
        """A frozen node resumes while the store is unavailable: its view and
        its configuration are older than those of the others."""
        key = "peer-key"
        with KeyLoad(self.keyed, key, self.fleet.nodes):
            time.sleep(0.5)
            self.freeze([self.victim])
            self.keyed.revoke(key)
            time.sleep(1.5)
            self.store.set_mode("refuse")
            oldest = {node: self.view(node)["age_ms"] for node in self.others}
            begin = time.monotonic()
            time.sleep(0.5)
            self.thaw([self.victim])
            time.sleep(1)
            # Ages rise with time; a poll takes over at most the youngest one.
            elapsed_ms = (time.monotonic() - begin) * 1000
            for node in self.fleet.nodes:
                self.assertGreaterEqual(self.view(node)["age_ms"],
                                        min(oldest.values()) + elapsed_ms - 700)
            self.wait_past_limit(key)
            self.store.set_mode("up")
            time.sleep(DRAIN_S)
        self.expect_no_late_runs(key)

    def test_a_key_revoked_while_its_request_waits_for_a_slot(self):
        """The decision is made again when a request leaves the queue."""
        key = "queue-key"
        self.expect_served([self.victim], key)
        runs = self.keyed.runs(key)
        servers = self.fleet.of_service("reads")
        for server in servers:
            server.work_s = 1.2
        try:
            slots = 3 * len(servers)
            with concurrent.futures.ThreadPoolExecutor(slots + 1) as pool:
                for _ in range(slots):
                    pool.submit(self.keyed.send, self.victim, KEPT_KEY)
                time.sleep(0.2)
                waiting = pool.submit(self.keyed.send, self.victim, key)
                time.sleep(0.1)
                self.keyed.revoke(key)
                status = waiting.result()[0]
        finally:
            for server in servers:
                server.work_s = 0.02
        self.assertEqual(status, 401)
        self.assertEqual(self.keyed.runs(key), runs)

    def test_views_of_all_nodes_stay_young(self):
        """Without a disruption, each node's view is within the share of the
        limit in which keyed requests must be served; few calls reach the
        store."""
        calls = self.store.calls
        begin = time.monotonic()
        ages = []
        while time.monotonic() < begin + 4:
            ages += [self.view(node)["age_ms"] for node in self.fleet.nodes]
            time.sleep(0.1)
        self.assertLess(max(ages), SERVED * LIMIT_S * 1000)
        # 2 + 3 reads a second of the configuration item, and the watches.
        self.assertLess((self.store.calls - calls) / 4, 12)


if __name__ == "__main__":
    unittest.main()
