"""Tests changes of the platform's store that are longer than one response of a
watch may be."""

import time
import unittest

from platform_fleet import BOUNDS, PlatformFleet, route

ROUTES = 3900  # 690 KB
CHANGES = 10   # 9 MB as one response


class LongChanges(unittest.TestCase):
    # Guards against a watch that fails for as long as the store has the changes,
    # as its response is too long, so that no node takes the last configuration.
    def test_the_last_of_many_long_configurations_is_in_force(self):
        with PlatformFleet(nodes=4, servers=2) as fleet:
            routes = {f"r{number:05d}": route(f"/shops/{number:05d}/", "reads")
                      for number in range(ROUTES)}
            routes["moved"] = route("/moved/", "orders", "unsafe")
            # No watch returns before all are written.
            with fleet.store.changed:
                for number in range(CHANGES):
                    routes["r00000"]["timeout-s"] = 2 + number / 10
                    fleet.configure(routes)
                routes["moved"] = route("/moved/", "reads", "unsafe")
                fleet.configure(routes)
            time.sleep(BOUNDS["config-apply-s"] + 0.5)
            for node in fleet.nodes:
                status, _, body = fleet.request("/moved/1", node, "POST", b"lot")
                self.assertEqual(status, 200, node)
                self.assertIn("from i-reads", body)


if __name__ == "__main__":
    unittest.main()
