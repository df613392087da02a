"""Tests of siskinstage-platform nodes, run as processes in front of the
stand-ins."""

import pathlib
import signal
import time
import unittest

from fleet import wait_for
from platform_fleet import FRONT, PlatformFleet, fetch, route

# Timeout of a test for a condition that must become true. The time limits of
# the platform are checked by scripts/bench platform-path; these tests don't
# depend on the speed of the machine.
TIMEOUT_S = 30


class Requests(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=2).__enter__()
        self.addCleanup(self.fleet.stop)

    def runs(self, service, attempt):
        return [run for server in self.fleet.of_service(service)
                for run in server.runs if run[0] == attempt]

    def set_behaviour(self, service, behaviour):
        for server in self.fleet.of_service(service):
            server.behaviour = behaviour

    def test_a_request_passes_through_unchanged(self):
        status, headers, body = self.fleet.request(
            "/orders/7?x=1", method="POST", body=b"lot", attempt="feed01")
        self.assertEqual(status, 200)
        self.assertEqual(headers["Attempt-Id"], "feed01")
        self.assertIn("seal.i-orders", headers["Server-Seal"])
        self.assertIn("from i-orders", body)
        self.assertEqual(self.runs("orders", "feed01"),
                         [("feed01", "POST", "/orders/7?x=1", b"lot")])
        sent = [headers for server in self.fleet.of_service("orders")
                for headers in server.headers]
        self.assertLessEqual(int(sent[0]["Deadline-Remaining"]), 2000)
        self.assertIn("i-orders", sent[0]["Expect-Instance"])

    def test_a_long_deadline_is_no_malformed_header(self):
        for deadline_ms in (300_001, 10 ** 15):
            status, _, _ = self.fleet.request("/reads/1",
                                              deadline_ms=deadline_ms)
            self.assertEqual(status, 200, deadline_ms)

    def test_a_path_outside_every_route_is_not_found(self):
        for path in ("/other/1", "/reads", "/readsx/1"):
            self.assertEqual(self.fleet.request(path)[0], 404, path)

    def test_hanging_work_that_must_not_repeat_ends_at_the_routes_timeout(self):
        self.set_behaviour("orders", "hang")
        started = time.monotonic()
        status, _, _ = self.fleet.request("/orders/1", method="POST", body=b"x",
                                          attempt="hang01")
        self.assertEqual(status, 504)
        # The timeout of the route is 2 s, the deadline of the caller 5 s.
        self.assertLess(time.monotonic() - started, 5)
        self.assertEqual(len(self.runs("orders", "hang01")), 1)

    def test_hanging_work_that_may_repeat_is_served_by_another(self):
        self.fleet.of_service("reads")[0].behaviour = "hang"
        for number in range(6):
            status, _, _ = self.fleet.request(f"/reads/{number}")
            self.assertEqual(status, 200)

    def test_rejected_work_is_served_by_another(self):
        for server in self.fleet.of_service("orders")[1:]:
            server.behaviour = "shed"
        # First attempts add to the retry budget, so that most of the following
        # requests may be retried.
        for number in range(10):
            self.fleet.request(f"/reads/{number}")
        served = [self.fleet.request("/orders/1", method="POST", body=b"x")[0]
                  for _ in range(20)]
        self.assertGreater(served.count(200), 8)
        self.assertEqual(set(served) - {200, 503}, set())

    def test_a_refusal_says_when_to_come_back(self):
        self.set_behaviour("orders", "shed")
        status, headers, _ = self.fleet.request("/orders/1", method="POST",
                                                body=b"x", attempt="shed01")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.runs("orders", "shed01"), [])

    def test_what_may_have_run_is_never_called_not_run(self):
        for behaviour in ("reset", "busy", "unsealed", "encoded", "cut"):
            self.set_behaviour("orders", behaviour)
            attempt = f"lost-{behaviour}"
            status, headers, _ = self.fleet.request(
                "/orders/1", method="POST", body=b"x", attempt=attempt)
            self.assertEqual(status, 502, behaviour)
            self.assertNotIn("Server-Seal", headers, behaviour)
            self.assertEqual(len(self.runs("orders", attempt)), 1, behaviour)

    def test_a_servers_own_failure_passes_with_its_seal(self):
        self.set_behaviour("orders", "error")
        status, headers, _ = self.fleet.request("/orders/1", method="POST",
                                                body=b"x")
        self.assertEqual(status, 500)
        self.assertIn("Server-Seal", headers)

    def test_a_late_second_answer_belongs_to_no_request(self):
        for server in self.fleet.of_service("reads"):
            server.sends_second_response = True
        for number in range(20):
            attempt = f"extra{number:02d}"
            status, headers, _ = self.fleet.request(f"/reads/{number}",
                                                    attempt=attempt)
            self.assertEqual(status, 200)
            self.assertEqual(headers["Attempt-Id"], attempt)

    def test_an_address_that_passed_to_another_server_runs_nothing(self):
        for server in self.fleet.of_service("orders"):
            server.id = "i-other-server"
        status, _, _ = self.fleet.request("/orders/1", method="POST", body=b"x",
                                          attempt="moved01")
        self.assertEqual(status, 503)
        self.assertEqual(self.runs("orders", "moved01"), [])


class Configuration(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=6).__enter__()
        self.addCleanup(self.fleet.stop)

    def expect_unused(self, server):
        """Waits until the nodes serve reads without sending any to server."""
        def is_unused():
            before = server.arrivals
            for number in range(4):
                self.assertEqual(set(self.statuses(f"/reads/{number}")), {200})
            return server.arrivals == before
        wait_for(is_unused, TIMEOUT_S, f"no requests at {server.id}")
        self.assertTrue(is_unused())

    def statuses(self, path):
        return [self.fleet.request(path, node)[0] for node in self.fleet.nodes]

    def expect_everywhere(self, path, status):
        wait_for(lambda: set(self.statuses(path)) == {status}, TIMEOUT_S,
                 f"status {status} of {path} at all nodes")

    def test_a_change_is_in_force_everywhere(self):
        self.fleet.configure({"r3": route("/new/", "reads")})
        self.expect_everywhere("/new/1", 200)
        self.assertEqual(set(self.statuses("/reads/1")), {404})

    def test_a_change_reaches_nodes_that_the_store_turns_away(self):
        self.fleet.store.rejected_addresses = set(self.fleet.nodes[:4])
        self.fleet.configure({"r3": route("/new/", "reads")})
        self.expect_everywhere("/new/1", 200)

    def test_a_forgotten_history_is_read_anew(self):
        self.fleet.store.compact()
        self.fleet.configure({"r3": route("/new/", "reads")})
        self.fleet.store.compact()
        self.expect_everywhere("/new/1", 200)

    def test_a_bad_configuration_leaves_the_last_one_in_force(self):
        self.fleet.configure({"r3": route("/new/", "reads", **{
            "timeout-s": "soon"})})
        wait_for(lambda: any("routes.r3.timeout-s" in self.fleet.log_of(node)
                             for node in self.fleet.nodes), TIMEOUT_S,
                 "a log line that names the field")
        self.assertEqual(set(self.statuses("/reads/1")), {200})

    def test_a_malformed_entry_harms_no_other(self):
        self.fleet.store.put("servers/i-bad", b"\xff\xfe")
        self.fleet.store.put("servers/i-list", [])
        self.fleet.configure({"r3": route("/new/", "reads")})
        self.expect_everywhere("/new/1", 200)

    def test_a_leaving_server_gets_no_more_work(self):
        leaving = self.fleet.of_service("reads")[0]
        self.fleet.register(leaving, state="draining")
        self.expect_unused(leaving)

    def test_entries_that_lapse_with_the_store_stay_in_use(self):
        self.fleet.store.set_mode("refuse")
        time.sleep(1)
        reads = self.fleet.of_service("reads")
        for server in reads:
            self.fleet.store.remove(f"servers/{server.id}")
        self.fleet.store.set_mode("up")
        self.assertEqual(set(self.statuses("/reads/1")), {200})
        for server in reads:
            self.fleet.register(server)
        time.sleep(3)
        self.assertEqual(set(self.statuses("/reads/1")), {200})

    def test_an_entry_that_stays_away_is_gone(self):
        gone = self.fleet.of_service("reads")[0]
        self.fleet.store.set_mode("drop")
        time.sleep(1)
        self.fleet.store.remove(f"servers/{gone.id}")
        self.fleet.store.set_mode("up")
        self.expect_unused(gone)

    def test_a_calm_fleet_asks_the_store_little(self):
        before = self.fleet.store.calls
        time.sleep(3)
        # At most 8 calls/s by all nodes together.
        self.assertLessEqual(self.fleet.store.calls - before, 24)

    def test_a_node_starts_from_its_peers_while_the_store_is_away(self):
        self.fleet.store.set_mode("refuse")
        node = self.fleet.nodes[-1]
        self.fleet.processes[node].kill()
        self.fleet.processes[node].wait()
        self.fleet.start(node)
        self.fleet.await_ready(node)
        self.assertEqual(self.fleet.request("/reads/1", node)[0], 200)


class Nodes(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=6).__enter__()
        self.addCleanup(self.fleet.stop)

    def entry_and_witness(self):
        """Returns the entry of the first domain and another node in it."""
        [address] = self.fleet.resolve(self.fleet.nodes[0], "za")
        entry = address.rsplit(":", 1)[0]
        self.assertEqual(address, f"{entry}:{FRONT}")
        return entry, next(node for node in self.fleet.nodes[0::2]
                           if node != entry)

    def expect_gone(self, entry, witness):
        wait_for(lambda: all(entry not in address for address in
                             self.fleet.resolve(witness, "za")),
                 TIMEOUT_S, f"no {entry} in the directory")

    def test_a_killed_entry_leaves_the_answers(self):
        entry, witness = self.entry_and_witness()
        self.fleet.signal(entry, signal.SIGKILL)
        self.expect_gone(entry, witness)

    def test_a_stopped_entry_leaves_the_answers_and_finishes_its_work(self):
        entry, witness = self.entry_and_witness()
        for server in self.fleet.of_service("reads"):
            server.work_s = 0.2
        self.fleet.signal(entry, signal.SIGTERM)
        self.assertEqual(self.fleet.request("/reads/1", entry)[0], 200)
        self.assertFalse(self.fleet.is_ready(entry))
        self.expect_gone(entry, witness)
        self.assertEqual(self.fleet.processes[entry].wait(TIMEOUT_S), 0)

    def test_a_node_that_wakes_from_a_freeze_serves_again(self):
        entry, witness = self.entry_and_witness()
        self.fleet.signal(entry, signal.SIGSTOP)
        self.expect_gone(entry, witness)
        self.fleet.signal(entry, signal.SIGCONT)
        wait_for(lambda: any(entry in address for address in
                             self.fleet.resolve(witness, "za")),
                 TIMEOUT_S, f"{entry} in the directory")
        self.assertEqual(self.fleet.request("/reads/1", entry)[0], 200)

    def test_a_hangup_signal_ends_nothing(self):
        node = self.fleet.nodes[0]
        self.fleet.signal(node, signal.SIGHUP)
        time.sleep(0.5)
        self.assertEqual(self.fleet.request("/reads/1", node)[0], 200)

    def test_a_silent_connection_costs_no_repeatable_request(self):
        node = self.fleet.nodes[0]
        for number in range(5):
            self.assertEqual(self.fleet.request(f"/reads/{number}", node)[0],
                             200)
        for server in self.fleet.of_service("reads"):
            server.behaviour = "reset"
        self.fleet.request("/reads/9", node)
        for server in self.fleet.of_service("reads"):
            server.behaviour = "normal"
        self.assertEqual(self.fleet.request("/reads/10", node)[0], 200)


class PlatformNames(unittest.TestCase):
    def test_only_the_adapter_knows_the_platforms_names(self):
        root = pathlib.Path(__file__).resolve().parent.parent.parent
        names = ("Attempt-Id", "Not-Executed", "Server-Seal", "Server-Load",
                 "Server-Limit", "Server-Leaving",
                 "Expect-Instance", "Deadline-Remaining", "kv-watch",
                 "kv-range", "op/config", "warmup-left", "SISKINSTAGE_NODE_FILE",
                 "/api/resolve", "/api/ready")
        for folder in ("src", "include", "tools"):
            for path in (root / folder).rglob("*.[ch]*"):
                text = path.read_text()
                for name in names:
                    self.assertNotIn(name, text, str(path))


if __name__ == "__main__":
    unittest.main()
