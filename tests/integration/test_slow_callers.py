"""Callers that send slowly or not on: each gets an answer in its route's time,
and holds up nobody else."""

import socket
import time
import unittest

from platform_fleet import FRONT, HOST, PlatformFleet, route

TIMEOUT_S = 1.5
SLACK_S = 0.5
#: Longer than a body may stall.
LONG_TIMEOUT_S = 8
#: More than a node holds of a body before it passes it on.
LONG_BODY = 300 * 1024


def send_head(node, path, length, deadline_ms=20000):
    peer = socket.create_connection((node, FRONT))
    peer.sendall(f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"Attempt-Id: {int(time.time() * 1e6):016x}\r\n"
                 f"Deadline-Remaining: {deadline_ms}\r\n"
                 f"Content-Length: {length}\r\n\r\n".encode())
    return peer


def await_answer(peer, limit, trickle=None):
    """What came until the connection ended, and after what time the answer
    began; sends a byte every trickle seconds meanwhile."""
    begin = time.monotonic()
    peer.settimeout(trickle or limit)
    answer, began = b"", None
    while time.monotonic() - begin < limit:
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
        began = began or time.monotonic() - begin
        answer += data
    return answer, began


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
        raise RuntimeError("the route did not come into force")

    def test_a_long_body_that_stalls_gets_an_answer(self):
        with send_head(self.node, "/slow/stall", LONG_BODY + 1000) as peer:
            peer.sendall(b"x" * LONG_BODY)
            answer, _ = await_answer(peer, LONG_TIMEOUT_S + SLACK_S)
        self.assertTrue(answer.startswith(b"HTTP/1.1 504 "), answer[:80])

    def expect_end_in_time(self, peer, statuses):
        answer, began = await_answer(peer, TIMEOUT_S + 4, trickle=0.2)
        self.assertIsNotNone(began, "no answer")
        self.assertLess(began, TIMEOUT_S + SLACK_S)
        self.assertIn(int(answer.split(b" ")[1]), statuses)

    def test_a_held_body_that_stalls_is_refused_at_the_routes_timeout(self):
        with send_head(self.node, "/orders/stall", 1000) as peer:
            peer.sendall(b"x" * 10)
            answer, began = await_answer(peer, TIMEOUT_S + 4)
        self.assertLess(began, TIMEOUT_S + SLACK_S)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408 "), answer[:80])

    def test_a_held_body_that_trickles_is_refused_at_the_routes_timeout(self):
        with send_head(self.node, "/orders/trickle", 1000) as peer:
            self.expect_end_in_time(peer, {408})

    def test_a_long_body_that_trickles_ends_at_the_routes_timeout(self):
        with send_head(self.node, "/orders/long", LONG_BODY + 1000) as peer:
            peer.sendall(b"x" * LONG_BODY)
            self.expect_end_in_time(peer, {504})

    def test_a_body_ends_at_the_callers_deadline_if_that_is_sooner(self):
        with send_head(self.node, "/slow/deadline", 1000,
                       int(TIMEOUT_S * 1000)) as peer:
            self.expect_end_in_time(peer, {408})
