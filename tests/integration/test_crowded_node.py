"""A node whose threads are all taken: who comes then is not kept waiting past its
route's timeout."""

import re
import socket
import time
import unittest

from fleet import wait_for
from platform_fleet import FRONT, HOST, OPERATOR, PlatformFleet, ask

TIMEOUT_S = 1.5
SLACK_S = 0.5
#: How long a head may take.
HEAD_S = 10
#: Requests that a node serves at once, a thread each.
THREADS = 400
CROWD = THREADS + 30


def metric(node, name):
    text = ask(node, OPERATOR, "/metrics")[2]
    return sum(float(value) for value in re.findall(
        rf"^{name}(?:{{[^}}]*}})? (\S+)$", text, re.M))


class CrowdedNode(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=1, servers=2).__enter__()
        self.addCleanup(self.fleet.stop)
        self.node = self.fleet.nodes[0]

    def crowd(self, text):
        """Connections that have sent only text."""
        for _ in range(CROWD):
            peer = socket.create_connection((self.node, FRONT))
            self.addCleanup(peer.close)
            peer.sendall(text)

    def connections(self):
        return metric(self.node, "siskinstage_caller_connections")

    def ask_kept(self, peer):
        """Status of a request on a kept connection, and the time it took."""
        begin = time.monotonic()
        peer.settimeout(HEAD_S + 3)
        peer.sendall(f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Attempt-Id: {int(begin * 1e6):016x}\r\n"
                     "Deadline-Remaining: 20000\r\n\r\n".encode())
        answer = peer.recv(65536)
        return (int(answer.split(b" ")[1]) if answer else None,
                time.monotonic() - begin)

    def test_half_sent_heads_hold_up_nobody(self):
        with socket.create_connection((self.node, FRONT)) as kept:
            self.assertEqual(self.ask_kept(kept)[0], 200)
            self.crowd(b"GET /reads/a HTTP/1.1\r\nHost:")
            wait_for(lambda: self.connections() > CROWD, 10, "the crowd")
            time.sleep(0.3)
            status, took = self.ask_kept(kept)
        self.assertEqual(status, 200)
        self.assertLess(took, TIMEOUT_S + SLACK_S)

    def test_a_head_that_stays_half_is_refused_in_time(self):
        with socket.create_connection((self.node, FRONT)) as peer:
            peer.sendall(b"GET /reads/a HTTP/1.1\r\nHost:")
            peer.settimeout(HEAD_S + 3)
            begin = time.monotonic()
            answer = peer.recv(65536)
            self.assertTrue(answer.startswith(b"HTTP/1.1 408 "), answer[:80])
            self.assertGreater(time.monotonic() - begin, HEAD_S - 0.1)
            self.assertEqual(peer.recv(1), b"")
