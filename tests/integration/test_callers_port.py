"""The callers' port against malformed, hostile and unusual requests, with a
target that records every byte it gets."""

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
    """Answers each request with a fixed text and keeps what it was sent."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", RAW_TARGET_PORT))
        self.seen = []
        self.answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        self.hold = threading.Event()
        self.hold.set()
        self.closed_by_peer = threading.Event()

    def run(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(peer,),
                             daemon=True).start()

    def serve(self, peer):
        got = b""
        while True:
            data = peer.recv(65536)
            if not data:
                return
            got += data
            if b"\r\n\r\n" not in got or b"/healthz" in got:
                if b"/healthz" in got:
                    peer.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    return
                continue
            self.seen.append(got)
            if not self.hold.is_set():
                peer.settimeout(20)
                if peer.recv(1) == b"":
                    self.closed_by_peer.set()
                return
            peer.sendall(self.answer)
            if not self.answer.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r"):
                peer.close()
                return
            got = b""


def exchange(*parts, wait=0.0):
    """Sends raw bytes and reads until the node closes or falls silent."""
    with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
        peer.settimeout(5)
        for part in parts:
            peer.sendall(part)
            time.sleep(wait)
        answer = b""
        try:
            while True:
                data = peer.recv(65536)
                if not data:
                    return answer, True
                answer += data
                if b"Connection: Close" not in answer and complete(answer):
                    return answer, False
        except ConnectionResetError:
            return answer, True


def complete(answer):
    head, found, body = answer.partition(b"\r\n\r\n")
    if not found:
        return False
    if head.startswith(b"HTTP/1.1 100"):
        return complete(body)
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
        self.target.seen.clear()

    def refused(self, raw, status):
        answer, closed = exchange(raw)
        self.assertIn(b"HTTP/1.1 %d " % status, answer[:20], raw[:80])
        self.assertIn(b"Siskinstage-Outcome: not-run", answer)
        self.assertTrue(closed, raw[:80])
        self.assertEqual(self.target.seen, [], raw[:80])

    def test_smuggling_shapes_are_refused_and_the_connection_closed(self):
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
                self.refused(raw, status)

    def test_own_headers_with_faults_are_named(self):
        for line in (b"Siskinstage-Deadline-Ms: soon", b"Siskinstage-Deadline-Ms: 0",
                     b"Siskinstage-Hops: 9", b"Siskinstage-Repeatable: maybe"):
            answer, _ = exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n" + line + b"\r\n\r\n")
            self.assertIn(b"HTTP/1.1 400", answer)
            self.assertIn(line.split(b":")[0], answer)

    def test_tolerated_shapes_are_written_anew(self):
        answer, _ = exchange(b"GET /raw HTTP/1.1\nHost: h\nX-Long: a\n\t b\n\n")
        self.assertIn(b"200 OK", answer)
        self.assertIn(b"X-Long: a b\r\n", self.target.seen[0])
        self.assertNotIn(b"\n\t", self.target.seen[0])

    def test_hop_headers_stay_behind(self):
        exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\nConnection: X-Hop, Host\r\n"
                 b"X-Hop: 1\r\nTE: trailers\r\nUpgrade: x\r\nX-End: 2\r\n\r\n")
        for gone in (b"X-Hop", b"TE:", b"Upgrade"):
            self.assertNotIn(gone, self.target.seen[0])
        for kept in (b"Host: h", b"X-End: 2", b"Via: 1.1 siskinstage"):
            self.assertIn(kept, self.target.seen[0])

    def test_pipelined_requests_get_their_answers_in_order(self):
        with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
            peer.sendall(b"GET /raw/1 HTTP/1.1\r\nHost: h\r\n\r\n"
                         b"GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            answer = b""
            while data := peer.recv(65536):
                answer += data
        self.assertEqual([answer.count(b"200 OK"), answer.count(b"404 Not")], [1, 1])
        self.assertLess(answer.index(b"200 OK"), answer.index(b"404 Not"))

    def test_expect_continue_is_answered_before_the_body(self):
        with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
            peer.settimeout(5)
            peer.sendall(b"POST /raw HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                         b"Content-Length: 3\r\n\r\n")
            self.assertTrue(peer.recv(100).startswith(b"HTTP/1.1 100"))
            peer.sendall(b"abc")
            self.assertIn(b"200 OK", peer.recv(65536))

    def test_head_has_no_body(self):
        answer, _ = exchange(b"HEAD /raw HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        self.assertTrue(answer.endswith(b"\r\n\r\n"))
        self.assertIn(b"Content-Length: 2", answer)

    def test_a_slow_and_split_request_is_served(self):
        raw = b"POST /raw HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
        answer, _ = exchange(*(raw[i:i + 7] for i in range(0, len(raw), 7)),
                             wait=0.01)
        self.assertIn(b"200 OK", answer)

    def test_cut_and_unframed_answers_are_never_taken_for_whole(self):
        good = self.target.answer
        for bad in (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                    b"HTTP/1.1 200 OK\r\n\r\nok",
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n",
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
                    b"HTTP/1.1 200 OK\r\nSiskinstage-Request-Id: other\r\n"
                    b"Content-Length: 2\r\n\r\nok",
                    b"nonsense\r\n\r\n"):
            self.target.answer = bad
            answer, _ = exchange(b"POST /raw HTTP/1.1\r\nHost: h\r\n"
                                 b"Content-Length: 0\r\nConnection: close\r\n\r\n")
            with self.subTest(bad=bad):
                self.assertIn(b"HTTP/1.1 502", answer)
                self.assertIn(b"Siskinstage-Outcome: unknown", answer)
        self.target.answer = good

    def test_a_long_answer_that_breaks_off_ends_the_connection(self):
        good = self.target.answer
        self.target.answer = (b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
                              + b"x" * 600_000)
        answer, closed = exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        self.target.answer = good
        self.assertTrue(closed)
        self.assertLess(len(answer), 1_000_000)

    def test_a_caller_that_goes_cancels_the_work(self):
        self.target.hold.clear()
        with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
            peer.sendall(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
            while not self.target.seen:
                time.sleep(0.01)
        self.assertTrue(self.target.closed_by_peer.wait(10))
        self.target.hold.set()


if __name__ == "__main__":
    unittest.main()
