"""What connections cost a node: threads, and what ends an idle one."""

import pathlib
import signal
import socket
import time
import unittest

from platform_fleet import FRONT, HOST, PlatformFleet, fetch

IDLE_CONNECTIONS = 1000
THREADS_AT_REST = 12
THREADS_UNDER_CONNECTIONS = 24
DRAIN_IDLE_S = 3


def threads_of(process):
    return len(list(pathlib.Path(f"/proc/{process.pid}/task").iterdir()))


def request(peer, attempt):
    peer.sendall(f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"Attempt-Id: {attempt:016x}\r\n"
                 "Deadline-Remaining: 3000\r\n\r\n".encode())
    peer.settimeout(5)
    return peer.recv(4096)


class Connections(unittest.TestCase):
    def test_a_node_at_rest_has_few_threads(self):
        with PlatformFleet(nodes=2, servers=1) as fleet:
            for node in fleet.nodes:
                self.assertLessEqual(threads_of(fleet.processes[node]),
                                     THREADS_AT_REST)

    def test_idle_connections_hold_no_threads_and_go_on(self):
        with PlatformFleet(nodes=1, servers=1) as fleet:
            node = fleet.nodes[0]
            peers = [socket.create_connection((node, FRONT))
                     for _ in range(IDLE_CONNECTIONS)]
            try:
                for number, peer in enumerate(peers[::50]):
                    self.assertIn(b" 200 ", request(peer, number + 1))
                time.sleep(1)
                self.assertLessEqual(threads_of(fleet.processes[node]),
                                     THREADS_UNDER_CONNECTIONS)
                # Served before and never: both go on.
                self.assertIn(b" 200 ", request(peers[0], 1001))
                self.assertIn(b" 200 ", request(peers[1], 1002))
            finally:
                for peer in peers:
                    peer.close()

    def test_requests_sent_at_once_on_one_connection_are_served_in_turn(self):
        with PlatformFleet(nodes=1, servers=1) as fleet:
            with socket.create_connection((fleet.nodes[0], FRONT)) as peer:
                text = "".join(
                    f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt:016x}\r\n"
                    "Deadline-Remaining: 3000\r\n\r\n" for attempt in (7, 8))
                peer.sendall(text.encode())
                peer.settimeout(5)
                got = b""
                while got.count(b"HTTP/1.1 200") < 2:
                    data = peer.recv(4096)
                    self.assertTrue(data, "the connection ended")
                    got += data

    def test_a_draining_node_serves_kept_connections_for_a_time_only(self):
        """A request taken just before the end would be cut with it."""
        with PlatformFleet(nodes=2, servers=1) as fleet:
            node = fleet.nodes[0]
            used, idle = (socket.create_connection((node, FRONT))
                          for _ in range(2))
            self.assertIn(b" 200 ", request(used, 1))
            begin = time.monotonic()
            fleet.signal(node, signal.SIGTERM)
            time.sleep(1)
            self.assertIn(b" 200 ", request(used, 2))
            idle.settimeout(10)
            self.assertEqual(idle.recv(1), b"")
            self.assertAlmostEqual(time.monotonic() - begin, DRAIN_IDLE_S,
                                   delta=0.5)
            idle.close()
            used.close()

    def test_a_half_sent_head_holds_up_nobody(self):
        with PlatformFleet(nodes=1, servers=1) as fleet:
            node = fleet.nodes[0]
            halves = [socket.create_connection((node, FRONT))
                      for _ in range(30)]
            for peer in halves:
                peer.sendall(b"GET /reads/a HTTP/1.1\r\nHost:")
            status, _, _ = fetch(node, FRONT, "/reads/a", headers={
                "Host": HOST, "Attempt-Id": f"{9:016x}",
                "Deadline-Remaining": "3000"})
            self.assertEqual(status, 200)
            for peer in halves:
                peer.close()
