"""Tests a node at which thousands of requests wait for few slots, with a small
pool of threads: waiting must hold no thread, and must delay no other request."""

import json
import select
import socket
import time
import unittest

from fleet import process_usage, wait_for
from platform_fleet import FRONT, HOST, OPERATOR, PlatformFleet, fetch, route
from test_crowded_node import thread_count

WAITING = 3000
THREADS = 12
#: Threads of the node that don't serve callers.
OTHER_THREADS = 12
#: Callers that disconnect while their request waits.
GONE = 1000
#: Limit for a page, or for a request that is rejected at once.
PROMPT_S = 0.5
#: The route's timeout; a request waits for two seconds at most.
TIMEOUT_S = 6
REQUEST = (f"GET /orders/a HTTP/1.1\r\nHost: {HOST}\r\n"
           "Deadline-Remaining: 6000\r\n\r\n").encode()


class WaitingRequests(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(
            nodes=1, servers=1, node_flags=(f"--caller_threads={THREADS}",
                                            "--max_connections=10000")
        ).__enter__()
        self.addCleanup(self.fleet.stop)
        self.fleet.configure({
            "r1": route("/reads/", "reads", timeout=2),
            "r2": route("/orders/", "orders", "unsafe", TIMEOUT_S)})
        self.node = self.fleet.nodes[0]
        wait_for(lambda: self.fleet.request("/reads/a")[0] == 200, 10,
                 "the routes")
        for server in self.fleet.servers:
            if server.service == "orders":
                server.behaviour = "hang"

    def in_flight(self):
        state = json.loads(fetch(self.node, OPERATOR, "/state")[2])
        return state["node"]["requests_in_flight"]

    def timed(self, call):
        start = time.monotonic()
        result = call()
        self.assertLess(time.monotonic() - start, PROMPT_S)
        return result

    def test_thousands_of_waiting_requests_hold_no_thread(self):
        peers = [socket.create_connection((self.node, FRONT))
                 for _ in range(WAITING)]
        for peer in peers:
            self.addCleanup(peer.close)
        process = self.fleet.processes[self.node]
        for peer in peers:
            peer.sendall(REQUEST)
        wait_for(lambda: self.in_flight() == WAITING, 2, "all requests waiting")
        self.assertLessEqual(thread_count(process), THREADS + OTHER_THREADS)
        for _ in range(5):
            self.assertEqual(self.timed(
                lambda: fetch(self.node, OPERATOR, "/readyz"))[0], 200)
            self.assertEqual(self.timed(
                lambda: self.fleet.request("/reads/a"))[0], 200)
            self.assertEqual(self.timed(
                lambda: self.fleet.request("/nowhere"))[0], 404)
        for peer in peers[:GONE]:
            peer.close()
        self.timed(lambda: wait_for(
            lambda: self.in_flight() <= WAITING - GONE, PROMPT_S,
            "the end of the requests whose callers have gone"))
        # No slot comes free, so that the others are rejected in time.
        left = set(peers[GONE:])
        end = time.monotonic() + TIMEOUT_S
        statuses = []
        while left and time.monotonic() < end:
            for peer in select_readable(left):
                statuses.append(peer.recv(65536).split(b" ")[1])
                left.remove(peer)
        self.assertEqual(len(left), 0)
        self.assertGreaterEqual(statuses.count(b"503"), WAITING - GONE - 6)
        self.assertLess(process_usage(process.pid)[1], 10)


def select_readable(peers):
    """The peers with input, waiting for a tenth of a second at most."""
    poller = select.poll()
    by_descriptor = {peer.fileno(): peer for peer in peers}
    for descriptor in by_descriptor:
        poller.register(descriptor, select.POLLIN)
    return [by_descriptor[descriptor] for descriptor, _ in poller.poll(100)]


if __name__ == "__main__":
    unittest.main()
