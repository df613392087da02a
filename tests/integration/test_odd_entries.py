"""Tests entries that another writer has left among those of the servers: no node
ends or stops following the list, and such an entry names no server to use."""

import json
import time
import unittest

from fleet import wait_for
from platform_fleet import PlatformFleet, route

TIMEOUT_S = 30


def deeply_nested(levels):
    return b"[" * levels + b"]" * levels


def odd_entries(entry):
    """Values by name: the entry of a server, with one odd field."""
    def changed(field, text, part=None):
        odd = json.loads(json.dumps(entry))
        (odd[part] if part else odd)[field] = "?"
        return json.dumps(odd).replace('"?"', text).encode()
    ip = entry["address"].split(":")[0]
    return {
        "nested in depth": deeply_nested(200_000),
        "nested within limits": deeply_nested(900),
        "a nested field": changed("zone", "[" * 5000 + "]" * 5000, "details"),
        "slots too large": changed("slots", "1" * 400, "details"),
        "slots beyond a double": changed("slots", "1e999", "details"),
        "warmup too large": changed("warmup-left-s", "1e300", "status"),
        "warmup beyond a double": changed("warmup-left-s", "1e999", "status"),
        "warmup negative": changed("warmup-left-s", "-1e999", "status"),
        "port out of range": changed("address", f'"{ip}:99999"'),
        "port beyond an integer": changed("address", f'"{ip}:{"9" * 40}"'),
        "port of zero": changed("address", f'"{ip}:0"'),
        "no port": changed("address", f'"{ip}"'),
        "bytes": b"\xff\xfe\x00\x01",
        "broken text": changed("zone", '"\\ud800"', "details"),
        "nothing": b"",
        "a list": b"[1,2]",
        "a number": b"1e999",
    }


class OddEntries(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=6).__enter__()
        self.addCleanup(self.fleet.stop)

    def statuses(self, path):
        return {self.fleet.request(path, node)[0] for node in self.fleet.nodes}

    def expect_following(self, name):
        """Waits until a new route is in force at every node."""
        prefix = f"/{name.replace(' ', '-')}/"
        self.fleet.configure({"r1": route("/reads/", "reads"),
                              "r2": route(prefix, "reads")})
        wait_for(lambda: self.statuses(prefix) == {200}, TIMEOUT_S,
                 f"the route added after: {name}")

    def expect_running(self, name):
        for node, process in self.fleet.processes.items():
            self.assertIsNone(process.poll(), f"{node} ended after: {name}")

    def test_nodes_follow_the_list_beside_an_odd_entry(self):
        odd = odd_entries(self.fleet.of_service("reads")[0].entry())
        for number, (name, value) in enumerate(odd.items()):
            self.fleet.store.put(f"servers/i-odd-{number}", value)
            self.expect_following(name)
            self.expect_running(name)
        # A node that starts reads all entries at once.
        node = self.fleet.nodes[-1]
        self.fleet.processes[node].kill()
        self.fleet.processes[node].wait()
        self.fleet.start(node)
        self.fleet.await_ready(node)
        self.assertEqual(self.statuses("/reads/1"), {200})
        self.expect_running("a start with all of them")

    def test_a_server_whose_entry_became_odd_gets_no_more_work(self):
        server = self.fleet.of_service("reads")[0]
        for name, value in odd_entries(server.entry()).items():
            with self.subTest(name):
                self.fleet.register(server)
                self.wait_for_work(server, True)
                self.fleet.store.put(f"servers/{server.id}", value)
                self.wait_for_work(server, False)
                self.expect_running(name)

    def wait_for_work(self, server, expected):
        def has_work():
            before = server.arrivals
            for number in range(6):
                self.statuses(f"/reads/{number}")
            return server.arrivals > before
        wait_for(lambda: has_work() == expected, 6,
                 "work" if expected else "no work")
        time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
