"""Tests of nodes that start while the store of the platform is away: without a
configuration, a node rejects requests as not run and never answers 404."""

import signal
import time
import unittest

from fleet import wait_for
from platform_fleet import PlatformFleet, route

READY_WAIT_S = 1.5
OUTAGE_S = 4  # more than twice the wait
TIMEOUT_S = 30


class StartWithoutStore(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(
            nodes=4, node_flags=(f"--ready_wait_ms={READY_WAIT_S * 1000:.0f}",)
        ).__enter__()
        self.addCleanup(self.fleet.stop)

    def restart(self, nodes):
        for node in nodes:
            self.fleet.signal(node, signal.SIGKILL)
        for node in nodes:
            self.fleet.processes[node].wait()
        for node in nodes:
            self.fleet.start(node)

    def statuses(self, seconds):
        """The statuses of requests to all nodes during the given time."""
        seen = set()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for node in self.fleet.nodes:
                try:
                    seen.add(self.fleet.request("/reads/1", node)[0])
                except OSError:
                    pass  # The node does not listen yet.
            time.sleep(0.02)
        return seen

    def expect_served(self):
        wait_for(lambda: self.statuses(0.1) == {200}, TIMEOUT_S,
                 "all nodes serve")

    def test_nodes_that_start_together_do_not_deny_the_routes(self):
        self.fleet.store.set_mode("refuse")
        self.restart(self.fleet.nodes)
        self.assertEqual(self.statuses(OUTAGE_S), {503})
        self.assertFalse(any(map(self.fleet.is_ready, self.fleet.nodes)))
        self.fleet.store.set_mode("up")
        self.expect_served()

    def test_a_node_that_stays_gives_its_configuration_to_the_others(self):
        self.fleet.store.set_mode("refuse")
        self.restart(self.fleet.nodes[1:])
        self.assertNotIn(404, self.statuses(READY_WAIT_S + 1))
        self.expect_served()

    def test_an_invalid_first_configuration_is_none(self):
        routes = {"r1": route("/reads/", "reads")}
        self.fleet.configure({"r1": dict(routes["r1"], **{"timeout-s": "x"})})
        self.restart(self.fleet.nodes)
        self.assertEqual(self.statuses(OUTAGE_S), {503})
        self.fleet.configure(routes)
        self.expect_served()


if __name__ == "__main__":
    unittest.main()
