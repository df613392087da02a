"""Tests of quotas of client accounts over all nodes."""

import concurrent.futures
import json
import time
import unittest

from fleet import wait_for
from platform_fleet import BOUNDS, OPERATOR, PlatformFleet, account, fetch, route

NODES = 4
WINDOW_S, OVERAGE, SLACK = 5, 0.25, 20
RATE, BURST = 20, 10
SECONDS = 8
FILL_S = 2
QUOTA_BOUNDS = {**BOUNDS, "quota-window-s": WINDOW_S, "quota-overage": OVERAGE,
                "quota-slack": SLACK}


class AccountQuota(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=NODES, bounds=QUOTA_BOUNDS).__enter__()
        self.addCleanup(self.fleet.stop)
        self.fleet.configure(
            {"r1": route("/reads/", "reads")},
            {"busy": account("key-busy", rate_per_s=RATE, burst=BURST),
             "calm": account("key-calm", rate_per_s=RATE, burst=BURST)})
        wait_for(lambda: sum(self.quotas(n)["claim"]
                             for n in self.fleet.nodes) > 0.9, 15,
                 "the claims of all entry nodes")
        # A claim begins with an empty bucket.
        time.sleep(FILL_S)
        self.entries = [n for n in self.fleet.nodes
                        if self.quotas(n)["claim"] > 0]

    def quotas(self, node):
        return json.loads(fetch(node, OPERATOR, "/state")[2])["quotas"]

    def send(self, key, rate):
        """Sends for a time, in turn to all entry nodes; returns when each
        response came, its status and its headers."""
        def one(number):
            node = self.entries[number % len(self.entries)]
            status, headers, _ = self.fleet.request(
                f"/reads/{number}", node, key=key, attempt=f"{key}-{number}")
            return time.monotonic(), status, headers
        started = time.monotonic()
        futures = []
        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            for number in range(rate * SECONDS):
                time.sleep(max(0, started + number / rate - time.monotonic()))
                futures.append(pool.submit(one, number))
        return [future.result() for future in futures]

    def test_a_flood_over_all_nodes_is_held_to_the_allowance(self):
        """Fails if the nodes together run more than the allowance, refuse
        without a time to return, or run what they have refused."""
        results = self.send("key-busy", 4 * RATE)
        ran = sorted(at for at, status, _ in results if status == 200)
        worst = max(sum(first <= at < first + WINDOW_S for at in ran)
                    for first in ran)
        self.assertLessEqual(
            worst, (RATE * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK)
        self.assertGreaterEqual(len(ran), 0.8 * RATE * SECONDS)
        refused = [headers for _, status, headers in results if status == 429]
        self.assertEqual(len(ran) + len(refused), len(results))
        self.assertTrue(all(float(headers["Retry-After"]) > 0
                            for headers in refused))
        runs = sum(run[0].startswith("key-busy")
                   for server in self.fleet.servers for run in server.runs)
        self.assertEqual(runs, len(ran))

    def test_an_account_within_its_quota_is_served(self):
        """Fails if a share of the quota is lost between the nodes."""
        results = self.send("key-calm", RATE // 2)
        self.assertEqual([status for _, status, _ in results if status != 200],
                         [], [self.quotas(node) for node in self.entries])


if __name__ == "__main__":
    unittest.main()
