"""Tests how a configuration of many routes, and the changes beside it, reach
nodes whose links and threads are busy with it."""

import json
import random
import re
import signal
import time
import unittest
from datetime import datetime

from fleet import wait_for
from played_member import PlayedMember
from platform_fleet import CONTROL, DOMAINS, PlatformFleet, route
from platform_standins import NETWORK

ROUTES = 4000
TIMEOUT_S = 15
#: A configuration with names that repeat only in part shrinks to this fraction
#: at least.
MAX_SENT_FRACTION = 0.25
BUNDLE_KIND = 5  # in gossip messages
#: Garbage that fills the receive buffer of a frozen node.
GARBAGE = [b"x" * 1400] * 4000
ANNOUNCED_S = 0.2  # before the freeze
JOINED_S = 0.4  # all nodes know of a new member
FROZEN_S = 0.5
#: From the thaw; the change is then in force within 2 s.
REPAIRED_S = 1.2
NODES = 6


def many_routes(seed):
    rng = random.Random(seed)
    names = [f"{rng.getrandbits(40):010x}" for _ in range(ROUTES)]
    return {name: route(f"/{name}/", "reads") for name in names}


def logged_at(line):
    return datetime.fromisoformat(
        re.search(r"time=(\S+)Z", line).group(1) + "+00:00").timestamp()


class LongRecords(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=NODES, servers=3).__enter__()
        self.addCleanup(self.fleet.stop)
        self.routes = many_routes(1)
        self.configure()

    def configure(self):
        self.fleet.configure(self.routes)
        path = f"/{list(self.routes)[-1]}/1"
        wait_for(lambda: all(self.fleet.request(path, node)[0] == 200
                             for node in self.fleet.nodes),
                 TIMEOUT_S, f"{path} at all nodes")

    def not_watching(self):
        """A node that doesn't read the store."""
        def is_watcher(node):
            lines = [line for line in self.fleet.log_of(node).splitlines()
                     if "watcher of the platform store" in line]
            return bool(lines) and "is a watcher" in lines[-1]
        nodes = []
        wait_for(lambda: nodes.extend(
            node for node in self.fleet.nodes if not is_watcher(node))
            or nodes, TIMEOUT_S, "a node that doesn't watch the store")
        return nodes[0]

    # The links of a domain's nodes were full of one configuration for seconds.
    def test_a_long_configuration_fills_a_small_part_of_the_links(self):
        def read_bytes():
            return sum(self.fleet.state(node)["gossip"]["sync_bytes"]
                       for node in self.fleet.nodes)
        time.sleep(2)  # the digests are equal again
        before = read_bytes()
        self.routes.update({"new": route("/new/", "reads")})
        self.configure()
        time.sleep(2)
        each = (read_bytes() - before) / NODES
        self.assertLess(each, MAX_SENT_FRACTION * len(json.dumps(self.routes)))

    # Large nodes had no processor time left while many targets started.
    def test_an_update_is_encoded_once_for_all_recipients(self):
        server = self.fleet.of_service("reads")[0]
        members = [PlayedMember(f"{NETWORK}.1.{99 - number}", DOMAINS[0])
                   for number in range(2)]
        for member in members:
            self.addCleanup(member.__exit__)
            for node in self.fleet.nodes:
                member.join(node)
        time.sleep(JOINED_S)
        self.fleet.register(server, state="draining")
        updates = [{datagram for datagram in member.received(FROZEN_S)
                    if b'"record"' in datagram and server.id.encode()
                    in datagram} for member in members]
        self.assertTrue(all(updates), [len(found) for found in updates])
        self.assertEqual(updates[0], updates[1])

    # A comparison of all records, which waited for the read, made up for it.
    def test_a_lost_update_waits_for_no_read_that_hangs(self):
        node = self.not_watching()
        server = self.fleet.of_service("reads")[0]
        domain = DOMAINS[self.fleet.nodes.index(node) % 2]
        with PlayedMember(f"{NETWORK}.1.99", domain) as member:
            for number in range(1, 4):
                member.announce(node, BUNDLE_KIND, "operator",
                                (self.fleet.store.revision + number, 1,
                                 [0, self.fleet.version + number]))
            time.sleep(ANNOUNCED_S)
            self.fleet.signal(node, signal.SIGSTOP)
            for datagram in GARBAGE:
                member.datagrams.sendto(datagram, (node, CONTROL))
            self.fleet.register(server, state="draining")
            time.sleep(FROZEN_S)
            begin = time.time()
            self.fleet.signal(node, signal.SIGCONT)
            applied = f"record target/{server.id} applied"

            def lines():
                return [line for line in self.fleet.log_of(node).splitlines()
                        if applied in line and logged_at(line) >= begin]
            wait_for(lines, TIMEOUT_S, applied)
        self.assertLess(logged_at(lines()[0]) - begin, REPAIRED_S, lines()[0])


if __name__ == "__main__":
    unittest.main()
