"""Tests a platform store whose responses have no end: nodes stay small, go on
serving, and follow the store again once it responds properly."""

import pathlib
import time
import unittest

from fleet import wait_for
from platform_fleet import PlatformFleet, route

ENDLESS_S = 5
#: Several responses of the greatest length that is read, 4 MB each.
MEMORY_GROWTH_MB = 32
TIMEOUT_S = 30


class EndlessStore(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=2, servers=2).__enter__()
        self.addCleanup(self.fleet.stop)

    def peak_mb(self, node):
        text = pathlib.Path(
            f"/proc/{self.fleet.processes[node].pid}/status").read_text()
        line = next(line for line in text.splitlines()
                    if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def test_nodes_stay_small_and_serve(self):
        before = {node: self.peak_mb(node) for node in self.fleet.nodes}
        self.fleet.store.set_mode("endless")
        end = time.monotonic() + ENDLESS_S
        while time.monotonic() < end:
            for node in self.fleet.nodes:
                self.assertEqual(self.fleet.request("/reads/1", node)[0], 200)
            time.sleep(0.02)
        self.assertGreater(self.fleet.store.endless_calls, 3)
        for node in self.fleet.nodes:
            self.assertLess(self.peak_mb(node) - before[node],
                            MEMORY_GROWTH_MB)
        self.fleet.store.set_mode("up")
        self.fleet.configure({"r1": route("/reads/", "reads"),
                              "r3": route("/added/", "reads")})
        for node in self.fleet.nodes:
            wait_for(lambda n=node: self.fleet.request("/added/1", n)[0] == 200,
                     TIMEOUT_S, f"the new configuration at {node}")


if __name__ == "__main__":
    unittest.main()
