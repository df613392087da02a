"""Tests the port for callers with malformed, hostile and unusual requests. The
target records every byte that it receives."""

import socket
import threading
import time
import unittest

from fleet import NODE_PORT, Fleet, send_request

RAW_TARGET_PORT = 10499
ROUTES = [
    {"schema": 2, "kind": "service", "name": "raw", "revision": 1,
     "targets": [{"id": "raw-1", "address": f"127.0.0.1:{RAW_TARGET_PORT}"}]},
    {"schema": 2, "kind": "route", "name": "raw", "revision": 1,
     "path_prefix": "/raw", "service": "raw"},
]


class RawTarget(threading.Thread):
    """Sends a fixed response to each request and records what it receives."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", RAW_TARGET_PORT))
        self.received = []
        self.response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        #: While this is cleared, the target does not respond.
        self.respond = threading.Event()
        self.respond.set()
        self.closed_by_peer = threading.Event()

    def run(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(peer,),
                             daemon=True).start()

    def serve(self, peer):
        request = b""
        while True:
            data = peer.recv(65536)
            if not data:
                return
            request += data
            if b"\r\n\r\n" not in request or b"/healthz" in request:
                if b"/healthz" in request:
                    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    return
                continue
            self.received.append(request)
            if not self.respond.is_set():
                peer.settimeout(20)
                if peer.recv(1) == b"":
                    self.closed_by_peer.set()
                return
            peer.sendall(self.response)
            if not self.response.startswith(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r"):
                peer.close()
                return
            request = b""


def exchange(*parts, wait=0.0):
    """Sends raw bytes and reads until the response is complete or the node
    closes; returns the response and whether the node closed."""
    with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
        peer.settimeout(5)
        for part in parts:
            peer.sendall(part)
            time.sleep(wait)
        response = b""
        try:
            while True:
                data = peer.recv(65536)
                if not data:
                    return response, True
                response += data
                if b"Connection: Close" not in response and \
                        is_complete(response):
                    return response, False
        except ConnectionResetError:
            return response, True


def is_complete(response):
    head, separator, body = response.partition(b"\r\n\r\n")
    if not separator:
        return False
    if head.startswith(b"HTTP/1.1 100"):
        return is_complete(body)
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return False


class CallersPort(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.target = RawTarget()
        cls.target.start()
        cls.fleet = Fleet(nodes=1).__enter__()
        cls.fleet.publish(ROUTES)
        for _ in range(100):
            if send_request(NODE_PORT, "GET", "/raw")[0] == 200:
                break
            time.sleep(0.05)

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        cls.target.listener.close()

    def setUp(self):
        self.target.received.clear()

    def assert_rejected(self, raw, status):
        response, closed = exchange(raw)
        self.assertIn(b"HTTP/1.1 %d " % status, response[:20], raw[:80])
        self.assertIn(b"Siskinstage-Outcome: not-run", response)
        self.assertTrue(closed, raw[:80])
        self.assertEqual(self.target.received, [], raw[:80])

    def test_smuggling_attempts_are_rejected_and_the_connection_closed(self):
        post = b"POST /raw HTTP/1.1\r\nHost: h\r\n"
        for raw, status in (
                (post + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400),
                (post + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
                (post + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 501),
                (post + b"Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400),
                (post + b"Content-Length: +3\r\n\r\nabc", 400),
                (post + b"Content-Length: 0x3\r\n\r\nabc", 400),
                (post + b"Content-Length: -3\r\n\r\n", 400),
                (post + b"Content-Length: 99999999999999999999\r\n\r\n", 413),
                (post + b"Content-Length: 67108865\r\n\r\n", 413),
                (post + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
                (post + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n", 400),
                (post + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n", 400),
                (b"POST /raw HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
                (b"GET /raw HTTP/1.1\r\n\r\n", 400),
                (b"GET /raw HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
                (b"GET /raw HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n", 400),
                (b"GET /raw HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n", 400),
                (b"GET /raw/../x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
                (b"GET /raw/%2e%2e/x HTTP/1.1\r\nHost: h\r\n\r\n", 400),
                (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 501),
                (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n\n", 400),
                (b"GET /raw HTTP/3.0\r\nHost: h\r\n\r\n", 505),
                (b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: h\r\n\r\n", 414),
                (b"GET /raw HTTP/1.1\r\nHost: h\r\n" + b"X: y\r\n" * 200 + b"\r\n", 431),
                (b"GET /raw HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 40000 + b"\r\n\r\n", 431),
                (b"GET /raw HTTP/1.1\r\nHost: h\r\nExpect: tea\r\n\r\n", 417)):
            with self.subTest(raw=raw[:70]):
                self.assert_rejected(raw, status)

    def test_the_rejection_names_an_invalid_siskinstage_header(self):
        for line in (b"Siskinstage-Deadline-Ms: soon", b"Siskinstage-Deadline-Ms: 0",
                     b"Siskinstage-Hops: 9", b"Siskinstage-Repeatable: maybe"):
            response, _ = exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n" + line
                                   + b"\r\n\r\n")
            self.assertIn(b"HTTP/1.1 400", response)
            self.assertIn(line.split(b":")[0], response)

    def test_tolerated_syntax_is_normalised(self):
        response, _ = exchange(b"GET /raw HTTP/1.1\nHost: h\nX-Long: a\n\t b\n\n")
        self.assertIn(b"200 OK", response)
        self.assertIn(b"X-Long: a b\r\n", self.target.received[0])
        self.assertNotIn(b"\n\t", self.target.received[0])

    def test_hop_by_hop_headers_are_not_forwarded(self):
        exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\nConnection: X-Hop, Host\r\n"
                 b"X-Hop: 1\r\nTE: trailers\r\nUpgrade: x\r\nX-End: 2\r\n\r\n")
        for removed in (b"X-Hop", b"TE:", b"Upgrade"):
            self.assertNotIn(removed, self.target.received[0])
        for forwarded in (b"Host: h", b"X-End: 2", b"Via: 1.1 siskinstage"):
            self.assertIn(forwarded, self.target.received[0])

    def test_pipelined_requests_get_their_responses_in_order(self):
        with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
            peer.sendall(b"GET /raw/1 HTTP/1.1\r\nHost: h\r\n\r\n"
                         b"GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            response = b""
            while data := peer.recv(65536):
                response += data
        self.assertEqual([response.count(b"200 OK"),
                          response.count(b"404 Not")], [1, 1])
        self.assertLess(response.index(b"200 OK"), response.index(b"404 Not"))

    def test_expect_continue_gets_a_response_before_the_body(self):
        with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
            peer.settimeout(5)
            peer.sendall(b"POST /raw HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                         b"Content-Length: 3\r\n\r\n")
            self.assertTrue(peer.recv(100).startswith(b"HTTP/1.1 100"))
            peer.sendall(b"abc")
            self.assertIn(b"200 OK", peer.recv(65536))

    def test_head_has_no_body(self):
        response, _ = exchange(b"HEAD /raw HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        self.assertTrue(response.endswith(b"\r\n\r\n"))
        self.assertIn(b"Content-Length: 2", response)

    def test_a_slow_and_split_request_is_served(self):
        raw = b"POST /raw HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        response, _ = exchange(*(raw[i:i + 7] for i in range(0, len(raw), 7)),
                               wait=0.01)
        self.assertIn(b"200 OK", response)

    def test_truncated_and_unframed_responses_are_never_mistaken_for_complete(self):
        valid = self.target.response
        for invalid in (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                        b"HTTP/1.1 200 OK\r\n\r\nok",
                        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
                        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                        b"HTTP/1.1 200 OK\r\nSiskinstage-Request-Id: other\r\n"
                        b"Content-Length: 2\r\n\r\nok",
                        b"nonsense\r\n\r\n"):
            self.target.response = invalid
            response, _ = exchange(b"POST /raw HTTP/1.1\r\nHost: h\r\n"
                                   b"Content-Length: 0\r\nConnection: close\r\n\r\n")
            with self.subTest(invalid=invalid):
                self.assertIn(b"HTTP/1.1 502", response)
                self.assertIn(b"Siskinstage-Outcome: unknown", response)
        self.target.response = valid

    def test_a_long_truncated_response_ends_the_connection(self):
        valid = self.target.response
        self.target.response = (b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
                                + b"x" * 600_000)
        response, closed = exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        self.target.response = valid
        self.assertTrue(closed)
        self.assertLess(len(response), 1_000_000)

    def test_a_caller_that_disconnects_cancels_its_request(self):
        self.target.respond.clear()
        with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
            peer.sendall(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.target.received:
                time.sleep(0.01)
        self.assertTrue(self.target.closed_by_peer.wait(10))
        self.target.respond.set()


if __name__ == "__main__":
    unittest.main()
