"""Tests targets that send wrong bytes on their connections: a node must neither
take them for the response to another request nor for a complete response."""

import socket
import struct
import time
import unittest

from fleet import wait_for
from platform_fleet import FRONT, HOST, PlatformFleet, route
from raw_server import RawServer

ROUTE_TIMEOUT_S = 1.5  # of the route to the reads
ORDERS_TIMEOUT_S = 2
SLACK_S = 0.5
UPLOAD_BYTES = 300_000
STREAMED_BYTES = 300_000
TIMEOUT_S = 10
INVALID_STATUSES = (b"000 OK", b"099 OK", b"101 Switching Protocols",
                    b"600 OK", b"999 OK")


class FaultyTargets(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=2, servers=2).__enter__()
        self.addCleanup(self.fleet.stop)
        self.raw = {}

    def replace(self, service):
        """Replaces all servers of the service by raw ones."""
        self.raw = [RawServer(server)
                    for server in self.fleet.of_service(service)]
        for raw in self.raw:
            self.addCleanup(raw.stop)
        return self.raw

    def runs(self, attempt):
        return sum(raw.runs.count(attempt) for raw in self.raw)

    def send(self, path, count, method):
        """Sends requests in close succession, so that connections to targets
        are used again; returns the status of each by its attempt id."""
        body = b"lot" if method == "POST" else None
        return {attempt: self.fleet.request(path, method=method, body=body,
                                            attempt=attempt, deadline_ms=3000)
                for attempt in (f"{method.lower()}{number:04d}"
                                for number in range(count))}

    def expect_truthful(self, results):
        for attempt, (status, _, _) in results.items():
            self.assertLessEqual(self.runs(attempt), 1,
                                 f"{attempt} ran more than once")
            if status in (408, 421, 429, 503):
                self.assertEqual(self.runs(attempt), 0,
                                 f"{attempt} ran, but its status is {status}")

    def serve_after(self, copy):
        """Servers that refuse each other request, and send copy(refusal of the
        one before) ahead of the response to the next one, which they run."""
        def script_of(raw):
            refused = []

            def script(peer, attempt, previous):
                if previous is None or previous not in refused:
                    refused.append(attempt)
                    peer.sendall(raw.refusal(attempt))
                    return True
                peer.sendall(copy(raw, previous))
                raw.runs.append(attempt)
                time.sleep(0.03)
                peer.sendall(raw.response(attempt))
                return True
            return script
        for raw in self.replace("orders"):
            raw.script = script_of(raw)

    def test_a_refusal_sent_once_more_is_not_that_of_the_next_request(self):
        self.serve_after(lambda raw, previous: raw.refusal(previous))
        results = self.send("/orders/1", 30, "POST")
        self.expect_truthful(results)
        self.assertGreater(sum(self.runs(attempt) for attempt in results), 3)

    def test_a_refusal_without_an_id_on_a_kept_connection_proves_nothing(self):
        self.serve_after(lambda raw, previous: raw.refusal(None))
        results = self.send("/orders/1", 30, "POST")
        self.expect_truthful(results)
        self.assertGreater(sum(self.runs(attempt) for attempt in results), 3)

    def test_a_refusal_of_another_request_on_a_new_connection_proves_nothing(
            self):
        def script_of(raw):
            def script(peer, attempt, _):
                peer.sendall(raw.refusal("feed0000"))
                raw.runs.append(attempt)
                return False
            return script
        for raw in self.replace("orders"):
            raw.script = script_of(raw)
        results = self.send("/orders/1", 6, "POST")
        self.expect_truthful(results)
        self.assertGreater(sum(self.runs(attempt) for attempt in results), 3)

    def test_a_response_cut_in_its_head_is_no_success(self):
        whole = ("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\n"
                 "Server-Seal: seal.x\r\nContent-Type: text/plain\r\n"
                 "Content-Length: 10\r\n\r\n0123456789")
        head = whole.index("0123456789")
        cut_at = {"length": 0}

        def script_of(raw):
            def script(peer, attempt, _):
                raw.runs.append(attempt)
                text = whole.format(attempt=attempt).encode()
                added = len(attempt) - len("{attempt}")
                peer.sendall(text[:cut_at["length"] + added]
                             if cut_at["length"] > 40
                             else text[:cut_at["length"]])
                return False
            return script
        for raw in self.replace("orders"):
            raw.script = script_of(raw)
        for length in range(0, head + 10, 3):
            cut_at["length"] = length
            with self.subTest(length=length):
                attempt = f"cut{length:05d}"
                try:
                    status, headers, body = self.fleet.request(
                        "/orders/1", method="POST", body=b"lot",
                        attempt=attempt, deadline_ms=3000)
                except OSError:
                    continue  # The connection broke, which promises nothing.
                self.assertGreaterEqual(status, 500)
                self.assertNotIn("Server-Seal", headers)
                if status == 503:
                    self.assertEqual(self.runs(attempt), 0)

    def fail_at_one_target(self, respond):
        """One of the two targets of the reads responds by respond(peer, raw,
        attempt), which returns whether the connection stays open."""
        def script_of(raw, faulty):
            def script(peer, attempt, _):
                raw.runs.append(attempt)
                if faulty:
                    return respond(peer, raw, attempt)
                peer.sendall(raw.response(attempt))
                return True
            return script
        for number, raw in enumerate(self.replace("reads")):
            raw.script = script_of(raw, number == 0)

    def expect_served_by_the_other(self, count):
        for attempt, (status, _, body) in self.send("/reads/1", count,
                                                    "GET").items():
            self.assertEqual(status, 200, attempt)
            self.assertEqual(body, f"from {self.raw[1].id}")

    def test_a_repeatable_request_survives_a_response_cut_in_its_head(self):
        def respond(peer, *_):
            peer.sendall(b"HTTP/1.1 200 OK\r\nAttempt-Id: ")
            return False
        self.fail_at_one_target(respond)
        self.expect_served_by_the_other(10)

    def expect_no_response(self, status):
        """One target responds with the status; the other one serves at once."""
        def respond(peer, raw, attempt):
            peer.sendall(raw.response(attempt).replace(b"200 OK", status, 1))
            return True
        self.fail_at_one_target(respond)
        started = time.monotonic()
        self.expect_served_by_the_other(4)
        self.assertLess(time.monotonic() - started, ROUTE_TIMEOUT_S)
        self.assertTrue(self.raw[0].runs)

    def test_a_status_below_100_is_no_interim_response(self):
        self.expect_no_response(b"000 OK")

    def test_a_status_above_599_is_no_response(self):
        self.expect_no_response(b"600 OK")

    def test_a_switch_of_protocols_is_no_response(self):
        self.expect_no_response(b"101 Switching Protocols")

    def test_an_invalid_status_is_no_response_to_what_runs_once(self):
        for raw in self.replace("orders"):
            def script(peer, attempt, _, raw=raw):
                raw.runs.append(attempt)
                peer.sendall(raw.response(attempt).replace(
                    b"200 OK", INVALID_STATUSES[len(raw.runs) %
                                                len(INVALID_STATUSES)], 1))
                return True
            raw.script = script
        results = self.send("/orders/1", 2 * len(INVALID_STATUSES), "POST")
        self.expect_truthful(results)
        for status, headers, _ in results.values():
            self.assertEqual(status, 502)
            self.assertNotIn("Server-Seal", headers)

    def stream_with_pause(self, pause_s):
        """Lets the targets of a route with a long timeout send a response that
        is too long to be buffered, with a pause before its end."""
        self.fleet.configure({"r1": route("/slow/", "orders", "unsafe", 8)})
        for node in self.fleet.nodes:
            wait_for(lambda n=node: self.fleet.request("/slow/1", n)[0] == 200,
                     TIMEOUT_S, f"the route at {node}")
        self.paused = []
        self.closed = []

        def script_of(raw):
            def script(peer, attempt, _):
                head = raw.response(attempt).split(b"Content-Length")[0]
                peer.sendall(head + b"Content-Length: %d\r\n\r\n" %
                             (2 * STREAMED_BYTES) + b"x" * STREAMED_BYTES)
                self.paused.append(attempt)
                peer.settimeout(pause_s)
                try:
                    if not peer.recv(1):
                        self.closed.append(time.monotonic())
                    return False
                except TimeoutError:
                    peer.sendall(b"x" * STREAMED_BYTES)
                return True
            return script
        for raw in self.replace("orders"):
            raw.script = script_of(raw)

    def test_a_pause_in_a_long_response_does_not_cut_it(self):
        """A response was cut after 5 s without a byte, whatever its deadline."""
        self.stream_with_pause(5.4)
        status, _, body = self.fleet.request("/slow/1", method="POST",
                                             body=b"lot", deadline_ms=8000)
        self.assertEqual((status, len(body)), (200, 2 * STREAMED_BYTES))
        self.assertEqual(len(self.paused), 1)

    def test_a_caller_that_leaves_in_a_pause_ends_the_work(self):
        self.stream_with_pause(5)
        with socket.create_connection((self.fleet.nodes[0], FRONT)) as caller:
            caller.sendall(f"POST /slow/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                           "Deadline-Remaining: 8000\r\nAttempt-Id: left0001\r\n"
                           "Content-Length: 0\r\n\r\n".encode())
            wait_for(lambda: self.paused, TIMEOUT_S, "the pause")
            time.sleep(0.2)
        left = time.monotonic()
        wait_for(lambda: self.closed, TIMEOUT_S, "the end of the work")
        self.assertLess(self.closed[0] - left, SLACK_S)

    def test_a_late_response_without_an_end_delays_no_request(self):
        """On a connection in use again, a server sends a second response to the
        request before, in chunks without an end, until the node closes."""
        chunk = b"1\r\nx\r\n" * 10_000
        open_responses = set()
        total = []

        def script_of(raw):
            def script(peer, attempt, previous):
                raw.runs.append(attempt)
                if previous is None:
                    peer.sendall(raw.response(attempt))
                    return True
                total.append(attempt)
                open_responses.add(attempt)
                head = raw.response(previous).split(b"Content-Length")[0]
                try:
                    peer.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
                    while not self.stopped:
                        peer.sendall(chunk)
                except OSError:
                    pass  # The node has closed the connection.
                open_responses.discard(attempt)
                return False
            return script
        self.stopped = False
        self.addCleanup(lambda: setattr(self, "stopped", True))
        for raw in self.replace("orders"):
            raw.script = script_of(raw)
        for number in range(20):
            attempt = f"late{number:04d}"
            started = time.monotonic()
            try:
                status, _, _ = self.fleet.request(
                    "/orders/1", method="POST", body=b"lot", attempt=attempt,
                    deadline_ms=3000)
            except OSError:
                status = None  # No response within the time of the client.
            self.assertIn(status, (200, 502, 503, 504))
            self.assertLess(time.monotonic() - started,
                            ORDERS_TIMEOUT_S + SLACK_S)
            self.assertLessEqual(self.runs(attempt), 1)
        self.assertGreater(len(total), 3)
        wait_for(lambda: not open_responses, ORDERS_TIMEOUT_S + SLACK_S,
                 "all endless responses to be closed")

    def test_a_response_cut_while_an_upload_is_written_is_no_success(self):
        """The server responds at once, sends a part of the body and resets the
        connection while the upload is still being written."""
        framings = (b"", b"Transfer-Encoding: chunked\r\n",
                    b"Content-Length: 1000000\r\n")

        def script_of(raw):
            def script(peer, attempt, _):
                framing = framings[len(raw.runs) % len(framings)]
                raw.runs.append(attempt)
                part = b"x" * 1000
                peer.sendall(
                    raw.response(attempt).split(b"Content-Length")[0] +
                    framing + b"\r\n" +
                    (b"3e8\r\n" + part if b"chunked" in framing else part))
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack("ii", 1, 0))
                return False
            return script
        for raw in self.replace("orders"):
            raw.script = script_of(raw)
            raw.reads_bodies = False
        for number in range(9):
            attempt = f"upload{number:02d}"
            status, headers, _ = self.fleet.request(
                "/orders/1", method="POST", body=b"u" * UPLOAD_BYTES,
                attempt=attempt, deadline_ms=3000)
            self.assertEqual(status, 502)
            self.assertNotIn("Server-Seal", headers)
            self.assertLessEqual(self.runs(attempt), 1)


if __name__ == "__main__":
    unittest.main()
