"""Tests that the nodes together keep to the retry budget of the platform."""

import bisect
import threading
import time
import unittest

from platform_fleet import BOUNDS, PlatformFleet

NODES = 16
CALLERS = 12
RATE_PER_S = 60
LENGTH_S = 13
WINDOW_S = 10
BURST = 20
RATIO = BOUNDS["retry-budget-ratio"]


class RetryBudget(unittest.TestCase):
    def send_requests(self, fleet, number, end):
        """Sends requests at a steady rate, to all nodes in turns."""
        node = number
        due = time.monotonic() + number / RATE_PER_S
        while due < end:
            time.sleep(max(0, due - time.monotonic()))
            sent = time.monotonic()
            try:
                fleet.request(f"/reads/{number}", fleet.nodes[node % NODES],
                              attempt=f"b{number:02d}-{node:06d}")
            except OSError:
                pass
            self.sent.append(sent)
            node += 5
            due += CALLERS / RATE_PER_S

    def worst_excess(self, fleet):
        """The most repeats over the budget in any window."""
        arrivals = sorted(arrival for server in fleet.servers
                          for arrival in server.arrival_times)
        seen, repeats = set(), []
        for arrived, attempt in arrivals:
            if attempt in seen:
                repeats.append(arrived)
            seen.add(attempt)
        self.assertGreater(len(repeats), 0)
        sent = sorted(self.sent)

        def requests(first):
            return (bisect.bisect(sent, first + WINDOW_S)
                    - bisect.bisect(sent, first))

        # The requests of the window, of the one before it or of the one half a
        # window before it are counted, whichever has most.
        return max(
            bisect.bisect_right(repeats, first + WINDOW_S)
            - bisect.bisect_left(repeats, first) - BURST
            - RATIO * max(requests(first - back * WINDOW_S)
                          for back in (0, 0.5, 1))
            for first in repeats)

    def test_rejecting_targets_get_no_more_repeats_than_the_budget(self):
        self.sent = []
        bounds = dict(BOUNDS, **{"retry-burst": BURST})
        with PlatformFleet(nodes=NODES, servers=12, services=("reads",),
                           bounds=bounds) as fleet:
            for server in fleet.servers[2:]:
                server.behaviour = "shed"
            end = time.monotonic() + LENGTH_S
            callers = [threading.Thread(target=self.send_requests,
                                        args=(fleet, number, end))
                       for number in range(CALLERS)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
            self.assertLessEqual(self.worst_excess(fleet), 0)


if __name__ == "__main__":
    unittest.main()
