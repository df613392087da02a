"""Tests targets that send an endless response: each request ends at its route's
timeout at the latest, in bounded memory. Its caller gets a correct outcome or a
truncated response, and the connection to the target is not reused."""

import pathlib
import socket
import threading
import time
import unittest

from fleet import NODE_PORT, Fleet, send_request

PORT = 10498
TIMEOUT_S = 1.5
SLACK_S = 0.5
#: Far more than a node may buffer of one response, far less than a case sends.
MEMORY_GROWTH_MB = 16
ROUTES = [
    {"schema": 2, "kind": "service", "name": "endless", "revision": 1,
     "targets": [{"id": "endless-1", "address": f"127.0.0.1:{PORT}"}]},
    {"schema": 2, "kind": "route", "name": "endless", "revision": 1,
     "path_prefix": "/", "service": "endless",
     "timeout_ms": int(TIMEOUT_S * 1000)},
]
OK = b"HTTP/1.1 200 OK\r\n"
BLOCK = b"x" * 65536
#: By name: the first bytes of the response, the bytes that are repeated after
#: them, and the pause between repetitions in seconds.
CASES = {
    "head-without-line-ends": (b"", BLOCK, 0),
    "head-of-lines": (OK, b"A: b\r\n" * 4096, 0),
    "header-line": (OK + b"A: ", BLOCK, 0),
    "interim-responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 512, 0),
    "slow-interim-responses": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n", 0.05),
    "chunk-extension": (OK + b"Transfer-Encoding: chunked\r\n\r\n5;a=", BLOCK, 0),
    "trailer": (OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"A: b\r\n" * 4096, 0),
    "chunks": (OK + b"Transfer-Encoding: chunked\r\n\r\n",
               b"10000\r\n" + BLOCK + b"\r\n", 0.01),
    "body-without-length": (OK + b"\r\n", BLOCK, 0.01),
    "slow-body": (OK + b"\r\n", b"x", 0.3),
    "slow-head": (b"", b"H", 0.3),
}


class EndlessTarget(threading.Thread):
    """Sends the response of the case in the path until the node closes."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server(("127.0.0.1", PORT))
        self.ended = {}  # duration of the response in seconds, by case

    def run(self):
        while True:
            peer, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(peer,),
                             daemon=True).start()

    def serve(self, peer):
        request = b""
        while b"\r\n\r\n" not in request:
            data = peer.recv(65536)
            if not data:
                return
            request += data
        name = request.split(b" ")[1].decode().strip("/").split("/")[-1]
        if name not in CASES:
            excess = b"more" * 1000 if name == "extra" else b""
            peer.sendall(OK + b"Content-Length: 2\r\n\r\nok" + excess)
            peer.close()
            return
        first, repeated, pause = CASES[name]
        start = time.monotonic()
        try:
            peer.sendall(first)
            while time.monotonic() - start < 20:
                peer.sendall(repeated)
                time.sleep(pause)
        except OSError:
            pass
        self.ended[name] = time.monotonic() - start
        peer.close()


def fetch_raw(path):
    """Returns the bytes of the response, and whether the connection ended
    without a reset."""
    with socket.create_connection(("127.0.0.1", NODE_PORT)) as peer:
        peer.settimeout(10)
        peer.sendall(f"GET /{path} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
        response = b""
        try:
            while True:
                data = peer.recv(65536)
                if not data:
                    return response, True
                response += data
                if b"Siskinstage-Outcome" in response:
                    return response, True
        except ConnectionResetError:
            return response, False


class EndlessAnswers(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.target = EndlessTarget()
        cls.target.start()
        cls.fleet = Fleet(nodes=1).__enter__()
        cls.fleet.publish(ROUTES)
        for _ in range(100):
            if send_request(NODE_PORT, "GET", "/plain")[0] == 200:
                break
            time.sleep(0.05)

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        cls.target.listener.close()

    def peak_mb(self):
        text = pathlib.Path(
            f"/proc/{self.fleet.pid('node-0')}/status").read_text()
        line = next(line for line in text.splitlines()
                    if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def test_each_request_ends_at_its_timeout_in_bounded_memory(self):
        before = self.peak_mb()
        for name in CASES:
            with self.subTest(name):
                start = time.monotonic()
                response, closed_cleanly = fetch_raw(name)
                elapsed = time.monotonic() - start
                self.assertLess(elapsed, TIMEOUT_S + SLACK_S)
                if response.startswith(OK):
                    # The head was sent before the failure, so that only a
                    # reset of the connection can report it.
                    complete = closed_cleanly and \
                        response.endswith(b"0\r\n\r\n")
                    self.assertFalse(complete,
                                     "the truncated response looks complete")
                    self.assertFalse(
                        closed_cleanly,
                        "the truncated response ended without a reset")
                else:
                    self.assertIn(b"unknown", response)
                # A target that sends slowly notices the closed connection at
                # its second write.
                deadline = time.monotonic() + 3 * SLACK_S
                while name not in self.target.ended and \
                        time.monotonic() < deadline:
                    time.sleep(0.01)
                self.assertIn(name, self.target.ended,
                              "the connection to the target is still open")
        self.assertLess(self.peak_mb() - before, MEMORY_GROWTH_MB)

    def test_other_requests_are_served_meanwhile(self):
        threads = [threading.Thread(target=fetch_raw, args=(name,))
                   for name in CASES]
        for thread in threads:
            thread.start()
        served = sum(send_request(NODE_PORT, "GET", f"/plain/{i}")[0] == 200
                     for i in range(20))
        for thread in threads:
            thread.join()
        self.assertGreaterEqual(served, 18)

    def test_bytes_after_the_end_of_a_response_are_dropped(self):
        for _ in range(3):
            status, body = send_request(NODE_PORT, "GET", "/extra")
            self.assertEqual((status, body), (200, "ok"))
            self.assertEqual(send_request(NODE_PORT, "GET", "/plain")[0], 200)
