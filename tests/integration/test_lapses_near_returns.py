"""Tests entries that lapsed while the platform's store was away, and that live
servers write again within the time that the platform states."""

import signal
import time
import unittest

from fleet import wait_for
from platform_fleet import PlatformFleet
from test_store_return import ENTRY_RETURN_S, SETTLE_S, Callers

#: Longer than the first attempts; the fractions vary the time that is left to the
#: next attempt, which is up to a second.
OUTAGES_S = (4.1, 4.4, 4.7)
FROZEN_OUTAGE_S = 3  # longer than it takes to count as cut off from all others
#: Shorter than the watches that wait: nobody has reported the outage at its end.
MUTE_OUTAGE_S = 2.4
KILL_S = 2.2  # from the outage's begin, so that a node takes over after its end
THAW_S = 0.3  # after the return, while entries are missing
PAUSE_S = 0.4  # without requests at the targets, which get many a second
WRITTEN_AGAIN_S = ENTRY_RETURN_S - 0.1


class LapsesNearReturns(unittest.TestCase):
    NODES = 10

    def setUp(self):
        self.fleet = PlatformFleet(nodes=self.NODES, servers=3).__enter__()
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

    def pauses_at(self, servers, begin):
        """Times of the last request before a pause, and its length."""
        times = sorted(at - begin for server in servers
                       for at, _ in server.arrival_times
                       if begin < at < begin + WRITTEN_AGAIN_S + PAUSE_S)
        self.assertGreater(len(times), 0)
        return [(round(last, 2), round(at - last, 2))
                for last, at in zip(times, times[1:]) if at - last > PAUSE_S]

    # Guards against a grace time that counts from the last read that failed,
    # which may be a whole pause between reads before the return.
    def test_entries_written_again_as_late_as_the_platform_states(self):
        lapsed = self.fleet.of_service("orders")[:2]
        for outage_s in OUTAGES_S:
            with self.subTest(outage_s=outage_s), \
                    Callers(self.fleet, ["/orders/1"], 4) as callers:
                time.sleep(SETTLE_S)
                self.store.go_away()
                for server in lapsed:
                    self.store.remove(f"servers/{server.id}")
                time.sleep(outage_s)
                self.store.set_mode("up")
                returned = time.monotonic()
                time.sleep(WRITTEN_AGAIN_S)
                for server in lapsed:
                    self.fleet.register(server)
                time.sleep(ENTRY_RETURN_S)
                self.assertEqual(callers.failed(returned), [])
                self.assertEqual(self.pauses_at(lapsed, returned), [])

    # Guards against nodes that were frozen during an outage, count as cut off
    # from all others when they go on, and read all items before they hear of it.
    def test_nodes_that_were_frozen_during_the_outage(self):
        lapsed = self.fleet.of_service("orders")[:2]
        watchers = self.watchers()
        frozen = [node for node in self.fleet.nodes if node not in watchers]
        with Callers(self.fleet, ["/orders/1"], 4) as callers:
            callers.fleet.nodes = watchers
            time.sleep(SETTLE_S)
            for node in frozen:
                self.fleet.signal(node, signal.SIGSTOP)
            self.store.go_away()
            for server in lapsed:
                self.store.remove(f"servers/{server.id}")
            time.sleep(FROZEN_OUTAGE_S)
            self.store.set_mode("up")
            returned = time.monotonic()
            time.sleep(THAW_S)
            for node in frozen:
                self.fleet.signal(node, signal.SIGCONT)
            time.sleep(WRITTEN_AGAIN_S - THAW_S)
            for server in lapsed:
                self.fleet.register(server)
            time.sleep(ENTRY_RETURN_S)
        self.assertEqual(self.pauses_at(lapsed, returned), [])

    # Guards against a node that takes over as a watcher just after an outage
    # which the others have not noticed yet, as their watches still wait.
    def test_a_watcher_that_dies_in_an_outage_without_answers(self):
        lapsed = self.fleet.of_service("orders")[:2]
        watchers = self.watchers()
        others = [node for node in self.fleet.nodes if node not in watchers]
        with Callers(self.fleet, ["/orders/1"], 4) as callers:
            callers.fleet.nodes = others
            time.sleep(SETTLE_S)
            # The watches of all watchers begin anew after this change.
            self.fleet.register(self.fleet.of_service("reads")[0])
            time.sleep(PAUSE_S)
            self.store.set_mode("mute")
            for server in lapsed:
                self.store.remove(f"servers/{server.id}")
            time.sleep(KILL_S)
            self.fleet.signal(watchers[0], signal.SIGKILL)
            time.sleep(MUTE_OUTAGE_S - KILL_S)
            self.store.set_mode("up")
            returned = time.monotonic()
            time.sleep(WRITTEN_AGAIN_S)
            for server in lapsed:
                self.fleet.register(server)
            time.sleep(ENTRY_RETURN_S)
        self.assertEqual(self.pauses_at(lapsed, returned), [])


if __name__ == "__main__":
    unittest.main()
