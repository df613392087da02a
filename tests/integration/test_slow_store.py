"""Tests a store whose responses take longer than a call usually may."""

import unittest

from fleet import wait_for
from platform_fleet import PlatformFleet, route

DELAY_S = 1.2
#: Three calls that fail, the pauses after them, and the pages of a read.
RECOVERY_S = 15


class SlowStore(unittest.TestCase):
    # Guards against nodes that read nothing for as long as the store is slow, as
    # each call ends before its response.
    def test_changes_are_read_while_each_response_takes_long(self):
        with PlatformFleet(nodes=6, servers=3) as fleet:
            gone = fleet.of_service("orders")[0]
            fleet.store.delay_s = DELAY_S
            # The changes are in a history that is gone, so that all items have
            # to be read, in several pages.
            fleet.store.put("op/note", {})
            fleet.store.compact()
            fleet.configure({"r1": route("/reads/", "reads"),
                             "r2": route("/moved/", "orders", "unsafe", 2)})
            fleet.store.remove(f"servers/{gone.id}")
            for node in fleet.nodes:
                wait_for(lambda n=node: fleet.request(
                    "/moved/1", n, "POST", b"lot")[0] == 200, RECOVERY_S,
                    f"the new route at {node}")
            wait_for(lambda: all(
                gone.id not in [target["id"]
                                for service in fleet.state(node)["services"]
                                for target in service["targets"]]
                for node in fleet.nodes), RECOVERY_S, "the removal at all nodes")


if __name__ == "__main__":
    unittest.main()
