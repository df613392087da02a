"""Tests removals of entries just after an outage of the platform's store, when a
missing entry may be one that its server is about to write again."""

import signal
import time
import unittest

from fleet import wait_for
from platform_fleet import BOUNDS, PlatformFleet
from test_store_return import (CONTACT_S, ENTRY_RETURN_S, SETTLE_S, Callers,
                               return_from)

#: An entry that is missing for longer after a return is that of a server that
#: is gone, and gone servers get requests for this long at most.
OBEYED_S = ENTRY_RETURN_S + BOUNDS["drain-s"]
OUTAGE_S = 2
CUT_S = 6  # from the return until the watcher that is cut off can read
TAKEOVER_S = 1


class RemovalsNearOutages(unittest.TestCase):
    NODES = 10

    def setUp(self):
        self.fleet = PlatformFleet(nodes=self.NODES, servers=6).__enter__()
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store
        # All nodes are watchers until they know each other.
        wait_for(lambda: len(self.watchers()) < self.NODES, 10,
                 "a node that doesn't watch the store")

    def watchers(self):
        def is_watcher(node):
            lines = [line for line in self.fleet.log_of(node).splitlines()
                     if "watcher of the platform store" in line]
            return "is a watcher" in lines[-1]
        return [node for node in self.fleet.nodes if is_watcher(node)]

    def remove_at(self, begin, removals):
        """Removes servers, each at its time after begin."""
        for after, server in removals:
            time.sleep(max(0, begin + after - time.monotonic()))
            self.store.remove(f"servers/{server.id}")

    def expect_unused(self, servers, since):
        late = {server.id: round(max(at for at, _ in server.arrival_times)
                                 - since, 2)
                for server in servers
                if any(at > since for at, _ in server.arrival_times)}
        self.assertEqual(late, {})

    # Guards against grace times that add up, as each node that notices the
    # return later than another begins its own.
    def test_servers_removed_just_after_a_return(self):
        gone = self.fleet.of_service("orders")[:4]
        copy = self.store.copy()
        with Callers(self.fleet, ["/orders/1"], 6) as callers:
            return_from(self.store, copy)
            returned = time.monotonic()
            self.remove_at(returned, zip((0.05, 0.3, 0.6, 0.9), gone))
            time.sleep(max(0, returned + OBEYED_S + 2 - time.monotonic()))
        self.expect_unused(gone, returned + OBEYED_S)
        self.assertEqual(callers.failed(returned), [])

    # Guards against a watcher that is cut off alone, and for whose sake the
    # whole fleet keeps what the store has removed.
    def test_a_watcher_that_notices_the_return_seconds_later(self):
        gone = self.fleet.of_service("orders")[:4]
        copy = self.store.copy()
        with Callers(self.fleet, ["/orders/1"], 6):
            self.store.rejected_addresses = {self.watchers()[0]}
            time.sleep(TAKEOVER_S)
            return_from(self.store, copy)
            returned = time.monotonic()
            self.remove_at(returned, zip((0.1, 0.6, 1.1, 1.6), gone))
            time.sleep(max(0, returned + CUT_S - time.monotonic()))
            self.store.rejected_addresses = set()
            time.sleep(CONTACT_S)
        self.expect_unused(gone, returned + OBEYED_S)

    # Guards against nodes that took over in an outage, and count as unable to
    # read the store for ever after it.
    def test_all_watchers_die_long_after_an_outage(self):
        gone = self.fleet.of_service("orders")[0]
        self.store.go_away()
        time.sleep(OUTAGE_S + TAKEOVER_S)
        self.store.set_mode("up")
        time.sleep(CONTACT_S * 2)
        watchers = self.watchers()
        others = [node for node in self.fleet.nodes if node not in watchers]
        with Callers(self.fleet, ["/orders/1"], 6) as callers:
            callers.fleet.nodes = others
            time.sleep(SETTLE_S)
            for node in watchers:
                self.fleet.signal(node, signal.SIGKILL)
            self.store.remove(f"servers/{gone.id}")
            removed = time.monotonic()
            time.sleep(BOUNDS["drain-s"] * 3)
        self.assertGreater(len(gone.runs), 0)
        self.expect_unused([gone], removed + BOUNDS["drain-s"])


if __name__ == "__main__":
    unittest.main()
