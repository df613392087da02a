"""Tests a node whose threads, connections or descriptors are exhausted: further
callers get a response within their route's timeout, and the node logs and
counts the overload."""

import json
import pathlib
import re
import resource
import select
import socket
import time
import unittest

from fleet import process_usage, wait_for
from platform_fleet import FRONT, HOST, OPERATOR, PlatformFleet, fetch, route

TIMEOUT_S = 1.5
SLACK_S = 0.5
#: Longer than the time for which a body may stall.
LONG_TIMEOUT_S = 8
#: Limit for receiving a request head.
HEAD_TIMEOUT_S = 10
#: Connections of callers in a test, more than the node may have threads.
CONNECTIONS = 430
#: Threads of a node with few: one more than the requests that may block.
FEW_THREADS = 4
#: Threads of a node whose connections need none.
MAX_THREADS_WITH_CONNECTIONS = 24
#: Requests that wait for the slots of one service.
QUEUED = 190
#: Processor cores of the smallest machine.
MIN_CORES = 0.2
#: Free descriptors that the node is left with.
SPARE_DESCRIPTORS = 20
#: Time over which a node without descriptors is measured.
MEASURED_S = 2


def thread_count(process):
    return len(list(pathlib.Path(f"/proc/{process.pid}/task").iterdir()))


def metric(node, name):
    text = fetch(node, OPERATOR, "/metrics")[2]
    return sum(float(value) for value in re.findall(
        rf"^{name}(?:{{[^}}]*}})? (\S+)$", text, re.M))


class OneNode(unittest.TestCase):
    node_flags = ()

    def setUp(self):
        self.fleet = PlatformFleet(nodes=1, servers=2,
                                   node_flags=self.node_flags).__enter__()
        self.addCleanup(self.fleet.stop)
        self.fleet.configure({
            "r1": route("/reads/", "reads", timeout=TIMEOUT_S),
            "r2": route("/slow/", "orders", "unsafe", LONG_TIMEOUT_S)})
        self.node = self.fleet.nodes[0]
        self.log_start = len(self.fleet.log_of(self.node))
        wait_for(lambda: self.fleet.request(
            "/slow/1", method="POST", body=b"x")[0] == 200, 10, "the route")

    def open_connections(self, text, size=CONNECTIONS):
        """Opens connections and sends only text on each."""
        peers = []
        for _ in range(size):
            peer = socket.create_connection((self.node, FRONT))
            self.addCleanup(peer.close)
            peer.sendall(text)
            peers.append(peer)
        return peers

    def log(self):
        """The part of the node's log that was written during this test."""
        return self.fleet.log_of(self.node)[self.log_start:]

    def in_flight(self):
        state = json.loads(fetch(self.node, OPERATOR, "/state")[2])
        return state["node"]["requests_in_flight"]

    def connections(self):
        return metric(self.node, "siskinstage_caller_connections")

    def request_on(self, peer):
        """Sends a request on a persistent connection; returns the status of the
        response, or None, and the time in seconds."""
        start = time.monotonic()
        peer.settimeout(LONG_TIMEOUT_S + 4)
        peer.sendall(f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Attempt-Id: {int(start * 1e6):016x}\r\n"
                     "Deadline-Remaining: 20000\r\n\r\n".encode())
        response = peer.recv(65536)
        return (int(response.split(b" ")[1]) if response else None,
                time.monotonic() - start)


class CrowdedNode(OneNode):
    def test_incomplete_heads_do_not_delay_other_requests(self):
        with socket.create_connection((self.node, FRONT)) as connection:
            self.assertEqual(self.request_on(connection)[0], 200)
            self.open_connections(b"GET /reads/a HTTP/1.1\r\nHost:")
            wait_for(lambda: self.connections() > CONNECTIONS, 10,
                     "the open connections")
            time.sleep(0.3)
            status, elapsed = self.request_on(connection)
        self.assertEqual(status, 200)
        self.assertLess(elapsed, TIMEOUT_S + SLACK_S)

    def test_an_incomplete_head_is_rejected_at_its_timeout(self):
        with socket.create_connection((self.node, FRONT)) as peer:
            peer.sendall(b"GET /reads/a HTTP/1.1\r\nHost:")
            peer.settimeout(HEAD_TIMEOUT_S + 3)
            start = time.monotonic()
            response = peer.recv(65536)
            self.assertTrue(response.startswith(b"HTTP/1.1 408 "),
                            response[:80])
            self.assertGreater(time.monotonic() - start, HEAD_TIMEOUT_S - 0.1)
            self.assertEqual(peer.recv(1), b"")

    def test_unfinished_bodies_hold_no_thread(self):
        """Guards against bodies that arrive slowly and take all threads, so
        that other requests are rejected."""
        with socket.create_connection((self.node, FRONT)) as connection:
            self.assertEqual(self.request_on(connection)[0], 200)
            peers = self.open_connections(
                f"POST /slow/a HTTP/1.1\r\nHost: {HOST}\r\n"
                "Deadline-Remaining: 20000\r\n"
                "Content-Length: 100\r\n\r\n".encode())
            wait_for(lambda: self.in_flight() == CONNECTIONS, 4,
                     "all requests in flight")
            status, elapsed = self.request_on(connection)
            self.assertLess(elapsed, TIMEOUT_S + SLACK_S)
            self.assertEqual(status, 200)
            self.assertEqual(
                metric(self.node, "siskinstage_callers_crowded"), 0)
            self.assertEqual(select.select(peers, [], [], 0)[0], [])
            self.assertLessEqual(
                thread_count(self.fleet.processes[self.node]),
                MAX_THREADS_WITH_CONNECTIONS)
            # Their bodies stall for 5 s, which is their own fault.
            wait_for(lambda: len(select.select(peers, [], [], 0)[0])
                     == CONNECTIONS, LONG_TIMEOUT_S, "the end of the bodies")
            self.assertEqual({peer.recv(65536).split(b" ")[1]
                              for peer in peers}, {b"408"})
            self.assertEqual(self.request_on(connection)[0], 200)

    def test_a_node_without_descriptors_pauses_and_recovers(self):
        process = self.fleet.processes[self.node]
        used = len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
        _, hard_limit = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE,
                         (used + SPARE_DESCRIPTORS, hard_limit))
        peers = self.open_connections(b"", 2 * SPARE_DESCRIPTORS)
        before = process_usage(process.pid)[1]
        time.sleep(MEASURED_S)
        self.assertLess(process_usage(process.pid)[1] - before,
                        0.1 * MEASURED_S)
        message = "no descriptors or memory left for new connections"
        self.assertIn(self.log().count(message), range(1, 2 * MEASURED_S))
        for peer in peers:
            peer.close()
        wait_for(lambda: self.fleet.request("/reads/a")[0] == 200, 3,
                 "the node serving again")


class FewThreads(OneNode):
    node_flags = (f"--caller_threads={FEW_THREADS}",)

    def test_requests_beyond_the_threads_are_answered_in_time(self):
        """Guards against requests that wait unnoticed for a thread beyond their
        timeout, and against pages and heads that wait for one."""
        with socket.create_connection((self.node, FRONT)) as connection:
            self.assertEqual(self.request_on(connection)[0], 200)
            for server in self.fleet.servers:
                if server.service == "orders":
                    server.behaviour = "hang"
            peers = self.open_connections(
                f"GET /slow/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(), 20)
            wait_for(lambda: self.in_flight() == 20, 3,
                     "requests on all threads")
            status, elapsed = self.request_on(connection)
            self.assertLess(elapsed, TIMEOUT_S + SLACK_S)
            self.assertEqual(status, 503)
            self.assertGreater(
                metric(self.node, "siskinstage_callers_crowded"), 0)
            start = time.monotonic()
            self.assertEqual(fetch(self.node, FRONT, "/nowhere", headers={
                "Host": HOST, "Attempt-Id": f"{7:016x}",
                "Deadline-Remaining": "3000"})[0], 404)
            self.assertLess(time.monotonic() - start, SLACK_S)
            message = "all threads are busy; requests wait for a thread"
            wait_for(lambda: message in self.log(), 3, "a log line")
            self.assertLess(self.log().count(message), 5)
            for peer in peers:
                peer.close()
            wait_for(lambda: self.request_on(connection)[0] == 200, 3,
                     "the node serving again")


class LimitedNode(OneNode):
    node_flags = ("--max_connections=20",)

    def test_connections_beyond_the_limit_are_closed_and_counted(self):
        wait_for(lambda: self.connections() == 0, 3,
                 "the end of earlier connections")
        peers = self.open_connections(b"", 30)
        wait_for(lambda: len(select.select(peers, [], [], 0)[0]) == 10, 3,
                 "the end of the connections beyond the limit")
        self.assertEqual(self.connections(), 20)
        self.assertEqual(
            metric(self.node, "siskinstage_callers_turned_away"), 10)
        message = "connection limit reached; closing new connections"
        wait_for(lambda: message in self.log(), 3, "a log line")
        self.assertEqual(self.log().count(message), 1)


class FullQueues(OneNode):
    def test_requests_that_wait_for_a_slot_use_little_processor_time(self):
        self.fleet.configure({
            "r1": route("/reads/", "reads", "unsafe", LONG_TIMEOUT_S),
            "r2": route("/slow/", "orders", "unsafe", LONG_TIMEOUT_S)})
        time.sleep(1)
        for server in self.fleet.servers:
            server.behaviour = "hang"
        self.open_connections(
            f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(), QUEUED)
        self.open_connections(
            f"GET /slow/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(), QUEUED)
        wait_for(lambda: self.in_flight() == 2 * QUEUED, 3, "full queues")
        pid = self.fleet.processes[self.node].pid
        before = process_usage(pid)[1]
        time.sleep(1)
        self.assertLess(process_usage(pid)[1] - before, MIN_CORES / 2)
