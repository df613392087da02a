"""Tests of a node that gets SIGTERM while callers keep using their open
connections. A request sent at most 3 s after the signal may be cut at the exit
if its server still works on it; any other whole request is answered."""

import signal
import socket
import threading
import time
import unittest

from fleet import wait_for
from platform_fleet import BOUNDS, FRONT, HOST, PlatformFleet, route

SHUTDOWN_LIMIT_MS = 5600
EXCUSED_S = 3  # after the signal
DEADLINE_MS = 6000
#: Overdue, but inside the route's timeout of 1.5 s.
OVERDUE_WORK_S = 1.2
#: A read that usually takes 20 ms is overdue after 0.3 s.
OVERDUE_AGE_S = 0.5
SLOTS = 3  # of a server, as it states
LARGE = b"p" * 300_000  # more than a node buffers


class Caller(threading.Thread):
    """Sends uploads on one connection, one after the other, and stops when the
    node asks it to or closes the connection. The last byte of upload i is sent
    at times[i], in seconds after the signal."""

    def __init__(self, node, number, body, first_byte_lead_s, times,
                 deadline_ms=DEADLINE_MS):
        super().__init__(daemon=True)
        self.peer = socket.create_connection((node, FRONT))
        self.peer.settimeout(10)
        self.number = number
        self.body = body
        self.lead_s = first_byte_lead_s
        self.times = times
        self.deadline_ms = deadline_ms
        self.signal_time = None
        self.results = []  # (time of the last byte, status or None)

    def begin(self, signal_time):
        self.signal_time = signal_time
        self.start()

    def wait_until(self, after_signal_s):
        time.sleep(max(0, self.signal_time + after_signal_s - time.monotonic()))

    def run(self):
        with self.peer:
            self.send_uploads()

    def send_uploads(self):
        for count, last_byte_s in enumerate(self.times):
            self.wait_until(last_byte_s - self.lead_s)
            try:
                self.peer.sendall(
                    f"POST /photos/{count} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: stop{self.number:04d}{count}\r\n"
                    f"Deadline-Remaining: {self.deadline_ms}\r\n"
                    f"Content-Length: {len(self.body)}\r\n\r\n".encode()
                    + self.body[:-1])
                self.wait_until(last_byte_s)
                self.peer.sendall(self.body[-1:])
            except OSError:
                return  # The node has not read a whole request.
            head = self.read_head()
            status = int(head.split(b" ")[1]) if head else None
            self.results.append((last_byte_s, status))
            if status is None or b"\r\nconnection: close" in head.lower():
                return

    def read_head(self):
        """The head of the response; None if the connection ends before it."""
        received = b""
        try:
            while b"\r\n\r\n" not in received:
                data = self.peer.recv(65536)
                if not data:
                    return None
                received += data
        except OSError:
            return None
        return received


class PlannedStop(unittest.TestCase):
    def stop_under_load(self, callers, work_s, servers=3, kind="upload",
                        behaviour="normal", node_flags=()):
        """Signals a node while callers(node) send; returns their results."""
        with PlatformFleet(nodes=2, servers=servers, services=("photos",),
                           node_flags=(f"--shutdown_limit_ms={SHUTDOWN_LIMIT_MS}",
                                       *node_flags)) as fleet:
            fleet.configure({"r1": route("/photos/", "photos", kind, 6)})
            node = fleet.nodes[0]
            for server in fleet.servers:
                server.work_s = 0.02
            while fleet.request("/photos/x", node, "POST", b"p")[0] != 200:
                time.sleep(0.05)
            for server in fleet.servers:
                server.work_s = work_s
                server.behaviour = behaviour
            running = callers(node)
            earlier = len(fleet.log_of(node))
            signal_time = time.monotonic() + 0.5
            for caller in running:
                caller.begin(signal_time)
            time.sleep(signal_time - time.monotonic())
            fleet.signal(node, signal.SIGTERM)
            for caller in running:
                caller.join()
            fleet.processes[node].wait()
            self.log = fleet.log_of(node)[earlier:]
            return [result for caller in running for result in caller.results]

    def read_before_targets_change(self, during, servers=3, reads=3,
                                   first="normal", further="shed",
                                   further_work_s=OVERDUE_WORK_S,
                                   usual_work_s=0.02):
        """Reads of which each is at one target that behaves as first, while all
        targets behave as further for further requests; during(fleet, node) is
        called meanwhile. Returns the statuses."""
        with PlatformFleet(nodes=2, servers=servers,
                           services=("reads",)) as fleet:
            node = fleet.nodes[0]
            for server in fleet.servers:
                server.work_s = usual_work_s
            for number in range(30):
                self.assertEqual(fleet.request(f"/reads/{number}", node)[0],
                                 200)
            statuses = []

            def read(number):
                statuses.append(fleet.request(f"/reads/{number}", node)[0])
            for server in fleet.servers:
                server.work_s = OVERDUE_WORK_S
                server.behaviour = first
            callers = [threading.Thread(target=read, args=(number,))
                       for number in range(reads)]
            for caller in callers:
                caller.start()
            wait_for(lambda: sum(len(server.runs) for server in fleet.servers)
                     >= 30 + len(callers), 5, "all requests at targets")
            time.sleep(0.05)  # The targets have looked at their behaviour.
            for server in fleet.servers:
                server.behaviour = further
                server.work_s = further_work_s
            during(fleet, node)
            for caller in callers:
                caller.join()
            return statuses

    def test_a_request_that_is_overdue_is_not_given_up(self):
        """A repeatable request was abandoned as overdue and sent to a target
        that rejected it: 502 in place of the response of the first target."""
        statuses = self.read_before_targets_change(
            lambda fleet, node: fleet.signal(node, signal.SIGTERM))
        self.assertEqual(statuses, [200] * 3)

    def test_a_rejected_retry_does_not_cost_the_response_in_calm(self):
        statuses = self.read_before_targets_change(lambda fleet, node: None,
                                                   servers=6)
        self.assertEqual(statuses, [200] * 3)

    def test_overdue_requests_do_not_exchange_their_slots(self):
        """Requests that were abandoned for a last attempt got the slots of each
        other, with too little time left."""
        statuses = self.read_before_targets_change(
            lambda fleet, node: None, servers=2, reads=2 * SLOTS,
            further="normal", usual_work_s=0.25)
        self.assertEqual(statuses, [200] * 2 * SLOTS)

    def test_a_retry_that_hangs_does_not_cost_the_first_response(self):
        statuses = self.read_before_targets_change(lambda fleet, node: None,
                                                   servers=6, further="hang")
        self.assertEqual(statuses, [200] * 3)

    def test_a_stop_after_a_request_is_overdue_does_not_cost_its_response(self):
        def stop(fleet, node):
            time.sleep(OVERDUE_AGE_S)
            fleet.signal(node, signal.SIGTERM)
        self.assertEqual(self.read_before_targets_change(stop, servers=6),
                         [200] * 3)

    def test_a_read_at_a_target_that_hangs_moves_during_a_stop(self):
        statuses = self.read_before_targets_change(
            lambda fleet, node: fleet.signal(node, signal.SIGTERM),
            servers=6, reads=1, first="hang", further="normal",
            further_work_s=0.02)
        self.assertEqual(statuses, [200])

    def expect_no_cut(self, results):
        cut = [result for result in results
               if result[1] is None and result[0] > EXCUSED_S]
        self.assertEqual(cut, [])

    def test_uploads_after_an_answer_late_in_a_stop_are_not_cut(self):
        # The first upload of each is in flight at the signal and answered after
        # 3 s; the second follows it on the same connection.
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p" * 1000, 0, (-0.1, 3.2)) for n in range(20)],
            work_s=3.15, servers=12)
        self.assertEqual([s for t, s in results if t < 0], [200] * 20)
        self.expect_no_cut(results)

    def test_uploads_whose_bodies_end_late_are_not_cut(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, body, 1.0 + 0.1 * n, (3.5 + 0.1 * n,))
            for n, body in enumerate((b"p" * 1000, LARGE) * 8)],
            work_s=1.7, servers=12)
        self.expect_no_cut(results)

    def test_requests_that_wait_for_a_slot_are_not_cut(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0, (2.7,) if n % 2 else (0.3,))
            for n in range(60)], work_s=3.5, servers=2)
        self.assertEqual({s for _, s in results}, {200, 503})

    def test_orders_late_in_a_planned_stop_in_calm_are_not_cut(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0.5, (3.15 + 0.01 * n,))
            for n in range(20)], work_s=2.5, servers=8, kind="unsafe")
        self.assertEqual(len(results), 20)
        self.assertEqual({status for _, status in results} - {408, 503}, set())

    def test_late_requests_that_end_before_the_exit_are_served(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0.5, (3.2 + 0.01 * n,), deadline_ms=1500)
            for n in range(10)], work_s=0.3, servers=4)
        self.assertEqual([status for _, status in results], [200] * 10)

    def test_uploads_at_servers_that_hang_are_answered_before_the_exit(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, body, 0, (time_s,)) for n, (time_s, body) in
            enumerate([(-0.1, b"p"), (1, b"p"), (2.43, b"p"), (2.43, LARGE)])],
            work_s=0, servers=6, behaviour="hang")
        self.assertEqual([status for _, status in results], [504] * 4)
        unfinished = [line for line in self.log.splitlines()
                      if "is unfinished" in line]
        self.assertEqual(len(unfinished), 4)
        for line in unfinished:
            self.assertIn("stage=at-target", line)

    def test_reads_at_servers_that_hang_are_answered_before_the_exit(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0, (2.4,)) for n in range(6)],
            work_s=0, servers=6, kind="safe", behaviour="hang")
        self.assertEqual([status for _, status in results], [504] * 6)

    def test_responses_that_stall_are_answered_before_the_exit(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0, (2.4,)) for n in range(3)],
            work_s=0, behaviour="stall")
        self.assertEqual([status for _, status in results], [504] * 3)

    def test_requests_that_wait_for_a_thread_are_answered_before_the_exit(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0, (2.4,)) for n in range(12)],
            work_s=0, servers=6, behaviour="hang",
            node_flags=("--caller_threads=4",))
        statuses = [status for _, status in results]
        self.assertEqual(len(statuses), 12)
        self.assertEqual(set(statuses), {503, 504})

    def test_responses_just_before_the_last_answers_are_passed_on(self):
        results = self.stop_under_load(lambda node: [
            Caller(node, n, b"p", 0, (0.4,)) for n in range(6)],
            work_s=4.7, servers=6)
        self.assertEqual([status for _, status in results], [200] * 6)

    def test_the_exit_follows_the_grace_time_of_the_platform(self):
        grace_s = 3
        with PlatformFleet(nodes=1, servers=1, services=("photos",),
                           bounds=dict(BOUNDS, **{"grace-s": grace_s}),
                           node_flags=("--shutdown_limit_ms=60000",)) as fleet:
            node = fleet.nodes[0]
            fleet.configure({"r1": route("/photos/", "photos", "upload", 6)})
            while fleet.request("/photos/x", node, "POST", b"p")[0] != 200:
                time.sleep(0.05)
            for server in fleet.servers:
                server.work_s = 2 * grace_s
            caller = Caller(node, 0, b"p", 0, (-0.2,))
            caller.begin(time.monotonic() + 0.5)
            time.sleep(0.5)
            fleet.signal(node, signal.SIGTERM)
            fleet.processes[node].wait(grace_s)
            caller.join()


if __name__ == "__main__":
    unittest.main()
