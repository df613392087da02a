"""A node whose threads, connections or descriptors are all taken: who comes then is
not kept waiting past its route's timeout, and the node shows it."""

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
#: Longer than a body may stall.
LONG_TIMEOUT_S = 8
#: How long a head may take.
HEAD_S = 10
#: Requests that a node serves at once, a thread each.
THREADS = 400
CROWD = THREADS + 30
#: Requests that wait for one service's slots.
QUEUED = 190
#: Cores of the smallest machine.
PROCESSOR = 0.2
SPARE_DESCRIPTORS = 20
REST_S = 2


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

    def crowd(self, text, size=CROWD):
        """Connections that have sent only text."""
        peers = []
        for _ in range(size):
            peer = socket.create_connection((self.node, FRONT))
            self.addCleanup(peer.close)
            peer.sendall(text)
            peers.append(peer)
        return peers

    def log(self):
        """What the node has logged in this test."""
        return self.fleet.log_of(self.node)[self.log_start:]

    def in_flight(self):
        state = json.loads(fetch(self.node, OPERATOR, "/state")[2])
        return state["node"]["requests_in_flight"]

    def connections(self):
        return metric(self.node, "siskinstage_caller_connections")

    def ask_kept(self, peer):
        """Status of a request on a kept connection, and the time it took."""
        begin = time.monotonic()
        peer.settimeout(LONG_TIMEOUT_S + 4)
        peer.sendall(f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                     f"Attempt-Id: {int(begin * 1e6):016x}\r\n"
                     "Deadline-Remaining: 20000\r\n\r\n".encode())
        answer = peer.recv(65536)
        return (int(answer.split(b" ")[1]) if answer else None,
                time.monotonic() - begin)


class CrowdedNode(OneNode):
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

    def test_requests_beyond_those_served_at_once_are_answered_in_time(self):
        with socket.create_connection((self.node, FRONT)) as kept:
            self.assertEqual(self.ask_kept(kept)[0], 200)
            crowd = self.crowd(f"POST /slow/a HTTP/1.1\r\nHost: {HOST}\r\n"
                               "Deadline-Remaining: 20000\r\n"
                               "Content-Length: 100\r\n\r\n".encode())
            wait_for(lambda: self.in_flight() >= THREADS - 1, 4, "the crowd")
            status, took = self.ask_kept(kept)
            self.assertLess(took, TIMEOUT_S + SLACK_S)
            self.assertEqual(status, 503)
            wait_for(lambda: metric(self.node, "siskinstage_callers_crowded")
                     > CROWD - THREADS, 3, "all of the crowd")
            refused = [peer for peer in crowd
                       if select.select([peer], [], [], 0)[0]]
            self.assertEqual({peer.recv(65536).split(b" ")[1]
                              for peer in refused}, {b"503"})
            self.assertGreaterEqual(len(refused), CROWD - THREADS)
            said = "all threads are busy; rejecting requests"
            wait_for(lambda: said in self.log(), 3, "a log line")
            self.assertLess(self.log().count(said), 5)
            for peer in crowd:
                peer.close()
            wait_for(lambda: self.ask_kept(kept)[0] == 200, 3,
                     "the node serving again")

    def test_without_descriptors_the_node_rests_and_then_goes_on(self):
        process = self.fleet.processes[self.node]
        used = len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
        _, most = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE,
                         (used + SPARE_DESCRIPTORS, most))
        crowd = self.crowd(b"", 2 * SPARE_DESCRIPTORS)
        before = process_usage(process.pid)[1]
        time.sleep(REST_S)
        self.assertLess(process_usage(process.pid)[1] - before, 0.1 * REST_S)
        said = "no descriptors or memory left for new connections"
        self.assertIn(self.log().count(said), range(1, 2 * REST_S))
        for peer in crowd:
            peer.close()
        wait_for(lambda: self.fleet.request("/reads/a")[0] == 200, 3,
                 "the node serving again")


class LimitedNode(OneNode):
    node_flags = ("--max_connections=20",)

    def test_connections_beyond_the_limit_are_counted(self):
        wait_for(lambda: self.connections() == 0, 3, "those before ended")
        crowd = self.crowd(b"", 30)
        wait_for(lambda: len(select.select(crowd, [], [], 0)[0]) == 10, 3,
                 "the others closed")
        self.assertEqual(self.connections(), 20)
        self.assertEqual(
            metric(self.node, "siskinstage_callers_turned_away"), 10)
        said = "connection limit reached; closing new connections"
        wait_for(lambda: said in self.log(), 3, "a log line")
        self.assertEqual(self.log().count(said), 1)


class FullQueues(OneNode):
    def test_requests_that_wait_for_a_slot_cost_little(self):
        self.fleet.configure({
            "r1": route("/reads/", "reads", "unsafe", LONG_TIMEOUT_S),
            "r2": route("/slow/", "orders", "unsafe", LONG_TIMEOUT_S)})
        time.sleep(1)
        for server in self.fleet.servers:
            server.behaviour = "hang"
        self.crowd(f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(),
                   QUEUED)
        self.crowd(f"GET /slow/a HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode(),
                   QUEUED)
        wait_for(lambda: self.in_flight() == 2 * QUEUED, 3, "full queues")
        pid = self.fleet.processes[self.node].pid
        before = process_usage(pid)[1]
        time.sleep(1)
        self.assertLess(process_usage(pid)[1] - before, PROCESSOR / 2)
