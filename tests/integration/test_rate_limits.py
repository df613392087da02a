"""Tests of targets that state a rate limit for all nodes together."""

import time
import unittest

from platform_fleet import PlatformFleet
from platform_load import CONTACT_S, WINDOW_S, Load, allowed

NODES = 8


class RateLimits(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=NODES).__enter__()
        self.addCleanup(self.fleet.stop)

    def limit(self, server, rate):
        """Makes the server state a limit from now on, as if it had never
        responded before."""
        server.notices = {"Server-Limit": str(rate)}
        server.arrival_times.clear()
        return time.monotonic()

    def test_a_target_gets_no_more_than_its_rate_limit_from_all_nodes(self):
        limited = self.fleet.of_service("orders")[0]
        stated_at = self.limit(limited, 1)
        load = Load(self.fleet)
        load.run(CONTACT_S + 2 * WINDOW_S)
        self.assertLessEqual(load.worst_window(limited, stated_at), allowed(1))
        # The other targets have room for all requests.
        self.assertGreaterEqual(load.served_share(), 0.97)


if __name__ == "__main__":
    unittest.main()
