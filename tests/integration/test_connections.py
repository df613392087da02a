"""Tests how many threads a node uses for connections, and when it closes idle
connections."""

import concurrent.futures
import pathlib
import signal
import socket
import struct
import time
import unittest

from fleet import wait_for
from platform_fleet import FRONT, HOST, PlatformFleet, fetch

IDLE_CONNECTIONS = 1000
MAX_IDLE_THREADS = 12
MAX_THREADS_WITH_CONNECTIONS = 24
#: A draining node closes a connection that has been idle for this time.
DRAIN_IDLE_S = 3
#: A connection to a target is closed after this idle time, at the next sweep.
TARGET_IDLE_S = 15
TARGET_SWEEP_S = 5
OPEN_STATES = ("01", "08")  # established, and closed by the peer alone


def thread_count(process):
    return len(list(pathlib.Path(f"/proc/{process.pid}/task").iterdir()))


def request_on(peer, attempt):
    peer.sendall(f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                 f"Attempt-Id: {attempt:016x}\r\n"
                 "Deadline-Remaining: 3000\r\n\r\n".encode())
    peer.settimeout(5)
    return peer.recv(4096)


def connections_to(servers):
    """The number of open connections to the servers' ports."""
    remote = {f"{struct.unpack('<I', socket.inet_aton(host))[0]:08X}:{port:04X}"
              for host, port in (server.address for server in servers)}
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    return sum(fields[2] in remote and fields[3] in OPEN_STATES
               for fields in map(str.split, lines))


class TargetConnections(unittest.TestCase):
    """Guards against a node that uses up its descriptors for idle connections
    to targets, and then takes no connection any more."""

    def use_all_slots(self, fleet):
        servers = fleet.of_service("reads")
        for server in servers:
            server.work_s = 0.3
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for result in [pool.submit(fleet.request, "/reads/1")
                           for _ in range(24)]:
                self.assertEqual(result.result()[0], 200)
        self.assertGreater(connections_to(servers), len(servers))
        return servers

    def test_connections_to_targets_that_are_gone_are_closed(self):
        with PlatformFleet(nodes=1, servers=3, services=("reads",)) as fleet:
            *gone, kept = self.use_all_slots(fleet)
            for server in gone:
                fleet.store.remove(f"servers/{server.id}")
            wait_for(lambda: connections_to(gone) == 0, 5,
                     "connections to targets that are gone are closed")
            self.assertGreater(connections_to([kept]), 0)

    def test_connections_that_are_idle_for_long_are_closed(self):
        with PlatformFleet(nodes=1, servers=2, services=("reads",)) as fleet:
            servers = self.use_all_slots(fleet)
            wait_for(lambda: connections_to(servers) == 0,
                     TARGET_IDLE_S + TARGET_SWEEP_S + 2,
                     "idle connections to targets are closed")


class Connections(unittest.TestCase):
    def test_an_idle_node_has_few_threads(self):
        with PlatformFleet(nodes=2, servers=1) as fleet:
            for node in fleet.nodes:
                self.assertLessEqual(thread_count(fleet.processes[node]),
                                     MAX_IDLE_THREADS)

    def test_idle_connections_hold_no_threads_and_stay_usable(self):
        with PlatformFleet(nodes=1, servers=1) as fleet:
            node = fleet.nodes[0]
            peers = [socket.create_connection((node, FRONT))
                     for _ in range(IDLE_CONNECTIONS)]
            try:
                for number, peer in enumerate(peers[::50]):
                    self.assertIn(b" 200 ", request_on(peer, number + 1))
                time.sleep(1)
                self.assertLessEqual(thread_count(fleet.processes[node]),
                                     MAX_THREADS_WITH_CONNECTIONS)
                # Both a connection with an earlier request and one without are
                # still usable.
                self.assertIn(b" 200 ", request_on(peers[0], 1001))
                self.assertIn(b" 200 ", request_on(peers[1], 1002))
            finally:
                for peer in peers:
                    peer.close()

    def test_pipelined_requests_on_one_connection_are_served_in_order(self):
        with PlatformFleet(nodes=1, servers=1) as fleet:
            with socket.create_connection((fleet.nodes[0], FRONT)) as peer:
                requests = "".join(
                    f"GET /reads/a HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt:016x}\r\n"
                    "Deadline-Remaining: 3000\r\n\r\n" for attempt in (7, 8))
                peer.sendall(requests.encode())
                peer.settimeout(5)
                received = b""
                while received.count(b"HTTP/1.1 200") < 2:
                    data = peer.recv(4096)
                    self.assertTrue(data, "the node closed the connection")
                    received += data

    def test_a_draining_node_closes_idle_connections_after_a_limit(self):
        """A connection that stays open until the node exits could get one more
        request, which the exit would abort."""
        with PlatformFleet(nodes=2, servers=1) as fleet:
            node = fleet.nodes[0]
            used, idle = (socket.create_connection((node, FRONT))
                          for _ in range(2))
            self.assertIn(b" 200 ", request_on(used, 1))
            drain_start = time.monotonic()
            fleet.signal(node, signal.SIGTERM)
            time.sleep(1)
            self.assertIn(b" 200 ", request_on(used, 2))
            idle.settimeout(10)
            self.assertEqual(idle.recv(1), b"")
            self.assertAlmostEqual(time.monotonic() - drain_start, DRAIN_IDLE_S,
                                   delta=0.5)
            idle.close()
            used.close()

    def test_incomplete_heads_do_not_delay_other_requests(self):
        with PlatformFleet(nodes=1, servers=1) as fleet:
            node = fleet.nodes[0]
            peers = [socket.create_connection((node, FRONT))
                     for _ in range(30)]
            for peer in peers:
                peer.sendall(b"GET /reads/a HTTP/1.1\r\nHost:")
            status, _, _ = fetch(node, FRONT, "/reads/a", headers={
                "Host": HOST, "Attempt-Id": f"{9:016x}",
                "Deadline-Remaining": "3000"})
            self.assertEqual(status, 200)
            for peer in peers:
                peer.close()
