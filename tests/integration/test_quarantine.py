"""Tests requests that crash the targets which run them: after two crashes, a
node sends such a request to no further target."""

import random
import socket
import time
import unittest

from platform_fleet import FRONT, HOST, PlatformFleet
from raw_server import RawServer

#: More than a node buffers of a body.
UPLOAD_BYTES = 300_000
SENDINGS = 6
CRASHES_TO_QUARANTINE = 2


class LongUploads(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=2, servers=4).__enter__()
        self.addCleanup(self.fleet.stop)
        self.crashes = 0
        for server in self.fleet.of_service("orders"):
            raw = RawServer(server)
            self.addCleanup(raw.stop)
            raw.script = self.crash

    def crash(self, *_):
        self.crashes += 1
        return False

    def send(self, node, number, pieces):
        """Sends the upload in pieces of random length; returns its status."""
        body = b"u" * UPLOAD_BYTES
        with socket.create_connection((node, FRONT)) as peer:
            peer.settimeout(8)
            peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            peer.sendall(f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                         "Deadline-Remaining: 6000\r\n"
                         f"Attempt-Id: crash{number:03d}\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode())
            try:
                while body:
                    length = pieces.randint(500, 8500)
                    peer.sendall(body[:length])
                    body = body[length:]
                    time.sleep(0.001)
                return int(peer.recv(65536).split(b" ")[1])
            except (OSError, IndexError):
                return None  # The connection ended without a response.

    def test_the_pieces_in_which_a_body_comes_do_not_matter(self):
        """The fingerprint of a long body depended on how much of it had been
        read when the buffer was full."""
        pieces = random.Random(8)
        statuses = [self.send(self.fleet.nodes[0], number, pieces)
                    for number in range(SENDINGS)]
        self.assertEqual(self.crashes, CRASHES_TO_QUARANTINE, statuses)
        self.assertEqual(set(statuses[CRASHES_TO_QUARANTINE:]), {503})


class GrayTargets(unittest.TestCase):
    # Guards against a request that crashes targets without end, as a target that
    # fails its requests without running them has answered it with a 500.
    def test_a_failure_of_a_target_shows_no_harmless_request(self):
        with PlatformFleet(nodes=2, servers=4) as fleet:
            servers = fleet.of_service("orders")
            self.assertEqual(self.send(fleet, "error", servers), 500)
            statuses = [self.send(fleet, "reset", servers)
                        for _ in range(SENDINGS)]
            runs = sum(len(server.runs) for server in servers) - 1
            self.assertEqual(runs, CRASHES_TO_QUARANTINE, statuses)
            self.assertEqual(set(statuses[CRASHES_TO_QUARANTINE:]), {503})

    # Guards against a harmless request that is refused, as it was in flight when
    # targets crashed.
    def test_a_request_that_was_served_is_not_refused(self):
        with PlatformFleet(nodes=2, servers=4) as fleet:
            servers = fleet.of_service("orders")
            self.assertEqual(self.send(fleet, "normal", servers), 200)
            for _ in range(SENDINGS):
                self.send(fleet, "reset", servers)
            runs = sum(len(server.runs) for server in servers) - 1
            self.assertEqual(runs, SENDINGS)

    @staticmethod
    def send(fleet, behaviour, servers):
        """Sends one and the same order to servers that behave so; returns its
        status."""
        for server in servers:
            server.behaviour = behaviour
        return fleet.request("/orders/1", method="POST", body=b"lot")[0]


if __name__ == "__main__":
    unittest.main()
