"""Tests of what it costs the nodes to learn a configuration with many routes."""

import json
import time
import unittest

from fleet import wait_for
from platform_fleet import OPERATOR, PlatformFleet, fetch, route

NODES = 12
ROUTES = 500
CHANGES = 3
TIMEOUT_S = 30


class ConfigSpread(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=NODES, servers=1).__enter__()
        self.addCleanup(self.fleet.stop)
        self.routes = {f"r{n}": route(f"/reads/{n}/", "reads")
                       for n in range(ROUTES)}

    def state(self, node):
        return json.loads(fetch(node, OPERATOR, "/state")[2])

    def read_from_peers(self):
        """Bytes that the nodes have read from each other."""
        return sum(self.state(node)["gossip"]["sync_bytes"]
                   for node in self.fleet.nodes)

    def change(self, number):
        prefix = f"/new{number}/"
        self.routes[f"n{number}"] = route(prefix, "reads")
        self.fleet.configure(self.routes)
        wait_for(lambda: all(self.fleet.request(prefix + "1", node)[0] == 200
                             for node in self.fleet.nodes),
                 TIMEOUT_S, f"{prefix} at all nodes")

    def test_each_node_reads_a_long_configuration_once(self):
        self.change(0)
        time.sleep(2)  # the digests are equal again
        before = self.read_from_peers()
        for number in range(1, CHANGES + 1):
            self.change(number)
            time.sleep(2)
        each = (self.read_from_peers() - before) / CHANGES / NODES
        # As the nodes keep it, a route has more fields than the operator gives.
        text_bytes = 1.5 * len(json.dumps(self.routes))
        self.assertLessEqual(each, text_bytes)


if __name__ == "__main__":
    unittest.main()
