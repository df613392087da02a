"""Tests callers that send their request slowly or stall: each gets a response
within its route's timeout and does not delay other callers."""

import socket
import time
import unittest

from platform_fleet import FRONT, HOST, PlatformFleet, route

TIMEOUT_S = 1.5
SLACK_S = 0.5
#: Longer than the time for which a body may stall.
LONG_TIMEOUT_S = 8
#: More than a node buffers of a body before it forwards it.
LONG_BODY = 300 * 1024


def send_head(node, path, length, deadline_ms=20000):
    peer = socket.create_connection((node, FRONT))
    peer.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"Attempt-Id: {int(time.time() * 1e6):016x}\r\n"
                 f"Deadline-Remaining: {deadline_ms}\r\n"
                 f"Content-Length: {length}\r\n\r\n".encode())
    return peer


def await_response(peer, limit, trickle=None):
    """Receives until the connection ends or for limit seconds, and sends a byte
    every trickle seconds meanwhile. Returns the response and the time in
    seconds until its first byte, or None."""
    start = time.monotonic()
    peer.settimeout(trickle or limit)
    response, first_byte_s = b"", None
    while time.monotonic() - start < limit:
        try:
            data = peer.recv(65536)
        except TimeoutError:
            if trickle:
                peer.sendall(b"x")
            continue
        except ConnectionResetError:
            break
        if not data:
            break
        first_byte_s = first_byte_s or time.monotonic() - start
        response += data
    return response, first_byte_s


class SlowBodies(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet(nodes=1, servers=2).__enter__()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.configure({
            "r1": route("/orders/", "orders", "unsafe", TIMEOUT_S),
            "r2": route("/slow/", "orders", "unsafe", LONG_TIMEOUT_S)})
        cls.node = cls.fleet.nodes[0]
        for _ in range(200):
            if cls.fleet.request("/slow/1", method="POST", body=b"x")[0] == 200:
                return
            time.sleep(0.05)
        raise RuntimeError("the node does not use the route")

    def test_a_long_body_that_stalls_gets_a_response(self):
        with send_head(self.node, "/slow/stall", LONG_BODY + 1000) as peer:
            peer.sendall(b"x" * LONG_BODY)
            response, _ = await_response(peer, LONG_TIMEOUT_S + SLACK_S)
        self.assertTrue(response.startswith(b"HTTP/1.1 504 "), response[:80])

    def assert_ends_at_timeout(self, peer, statuses):
        response, first_byte_s = await_response(peer, TIMEOUT_S + 4,
                                                trickle=0.2)
        self.assertIsNotNone(first_byte_s, "no response")
        self.assertLess(first_byte_s, TIMEOUT_S + SLACK_S)
        self.assertIn(int(response.split(b" ")[1]), statuses)

    def test_a_buffered_body_that_stalls_is_rejected_at_route_timeout(self):
        with send_head(self.node, "/orders/stall", 1000) as peer:
            peer.sendall(b"x" * 10)
            response, first_byte_s = await_response(peer, TIMEOUT_S + 4)
        self.assertLess(first_byte_s, TIMEOUT_S + SLACK_S)
        self.assertTrue(response.startswith(b"HTTP/1.1 408 "), response[:80])

    def test_a_buffered_body_that_trickles_is_rejected_at_route_timeout(self):
        with send_head(self.node, "/orders/trickle", 1000) as peer:
            self.assert_ends_at_timeout(peer, {408})

    def test_a_long_body_that_trickles_ends_at_the_routes_timeout(self):
        with send_head(self.node, "/orders/long", LONG_BODY + 1000) as peer:
            peer.sendall(b"x" * LONG_BODY)
            self.assert_ends_at_timeout(peer, {504})

    def test_a_body_ends_at_the_callers_deadline_if_that_is_sooner(self):
        with send_head(self.node, "/slow/deadline", 1000,
                       int(TIMEOUT_S * 1000)) as peer:
            self.assert_ends_at_timeout(peer, {408})
