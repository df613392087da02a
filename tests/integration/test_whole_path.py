"""Tests requests and responses end to end, with callers, nodes and targets as
real processes."""

import http.client
import json
import signal
import threading
import time
import unittest

import fleet
from fleet import (NODE_PORT, OPERATOR_PORT, Fleet, run_load, send_request,
                   wait_for)


class WholePath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(nodes=2).__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def test_every_response_is_complete_and_belongs_to_its_request(self):
        figures = run_load(nodes=self.fleet.node_list(), service="price-board",
                           path="/boards/1", rate=200, seconds=2, seed=3)
        self.assertEqual(figures["wrong"] + figures["broken"], 0)
        self.assertEqual(figures["answered"], figures["sent"])

    def test_a_long_response_and_a_long_body_arrive_complete(self):
        figures = run_load(nodes=self.fleet.node_list(), service="lab-intake",
                           path="/reports/1", method="PUT", rate=5, seconds=2,
                           body_bytes=3_000_000, answer_bytes=2_000_000,
                           deadline_ms=20000, connections=4)
        self.assertEqual(figures["answered"], figures["sent"])

    def test_a_request_without_a_route_is_rejected_as_not_run(self):
        status, body = send_request(NODE_PORT, "GET", "/nothing")
        self.assertEqual(status, 404)
        self.assertEqual(json.loads(body)["outcome"], "not-run")

    def test_a_request_with_an_idempotency_key_runs_once_through_any_node(self):
        _, body = send_request(NODE_PORT, "GET", "/.siskinstage/v1/entries"
                               "?service=allocation&account=a")
        entries = json.loads(body)
        key = entries["key_prefix"] + ".sale-1"
        headers = {"Idempotency-Key": key, "Load-Answer-Bytes": "10"}
        first = send_request(NODE_PORT, "POST", "/allocations/7", "lot", 10,
                             headers)
        repeated = send_request(NODE_PORT + 1, "POST", "/allocations/7", "lot",
                                10, headers)
        self.assertEqual(first[0], 200)
        self.assertEqual(first, repeated)
        self.assertEqual(self.fleet.ledger()[key], 1)
        other = send_request(NODE_PORT, "POST", "/allocations/7", "other", 10,
                             headers)
        self.assertEqual(other[0], 422)

    def test_a_forged_key_is_rejected(self):
        status, body = send_request(NODE_PORT, "POST", "/allocations/7", "lot",
                                    10, {"Idempotency-Key": "ab" * 26 + ".x"})
        self.assertEqual(status, 400)
        self.assertEqual(json.loads(body)["outcome"], "not-run")

    def test_operators_pages(self):
        for page in ("/healthz", "/readyz", "/metrics", "/state"):
            self.assertEqual(send_request(OPERATOR_PORT, "GET", page)[0],
                             200, page)
        self.assertNotIn("001122",
                         send_request(OPERATOR_PORT, "GET", "/state")[1])

    def test_operators_see_which_targets_get_no_requests(self):
        metrics = send_request(OPERATOR_PORT, "GET", "/metrics")[1]
        for which in ("admitted", "doubted", "idle"):
            self.assertRegex(metrics, 'siskinstage_targets{service="[^"]+",'
                             f'which="{which}"}} [0-9]')
        state = json.loads(send_request(OPERATOR_PORT, "GET", "/state")[1])
        for target in state["services"][0]["targets"]:
            self.assertGreaterEqual(target["idle_ms"], 0)


class CrashedOwner(unittest.TestCase):
    def test_a_key_whose_owner_crashed_is_unknown_and_not_run_again(self):
        with Fleet(nodes=3) as running:
            _, body = send_request(NODE_PORT, "GET", "/.siskinstage/v1/entries"
                                   "?service=allocation&account=a")
            entries = json.loads(body)
            owner = int(entries["entries"][0]["address"].split(":")[1])
            key = entries["key_prefix"] + ".sale-2"
            headers = {"Idempotency-Key": key}
            send_request(owner, "POST", "/allocations/1", "lot", 10, headers)
            name = f"node-{owner - NODE_PORT}"
            running.signal(name, signal.SIGKILL)
            running.processes[name].wait()
            other = NODE_PORT + (owner - NODE_PORT + 1) % 3
            status, body = send_request(other, "POST", "/allocations/1", "lot",
                                        10, headers)
            self.assertEqual(status, 502)
            self.assertEqual(json.loads(body)["outcome"], "unknown")
            running.start_node(owner - NODE_PORT)
            running.await_ready([owner - NODE_PORT])
            status, body = send_request(owner, "POST", "/allocations/1", "lot",
                                        10, headers)
            self.assertEqual(json.loads(body)["outcome"], "unknown")
            self.assertEqual(running.ledger()[key], 1)


class KeyedStop(unittest.TestCase):
    """Requests with an idempotency key ended without an answer at the exit of
    the node that held them."""

    def send(self, port, headers, outcomes):
        try:
            status, body = send_request(port, "POST", "/allocations/1", "lot",
                                        10, headers)
            outcomes.append((status, json.loads(body)["outcome"]))
        except (OSError, http.client.HTTPException):
            outcomes.append(None)

    def start(self, port, key, count=1):
        """Sends requests with the key; returns the list of their outcomes."""
        outcomes = []
        headers = {"Idempotency-Key": key,
                   "Siskinstage-Deadline-Ms": "8000"}
        for _ in range(count):
            threading.Thread(target=self.send, daemon=True,
                             args=(port, headers, outcomes)).start()
        time.sleep(0.3)
        return outcomes

    def test_keyed_requests_are_answered_before_the_exit(self):
        with Fleet(nodes=2, node_flags=("--shutdown_limit_ms=1500",)) as running:
            _, body = send_request(NODE_PORT, "GET", "/.siskinstage/v1/entries"
                                   "?service=allocation&account=a")
            entries = json.loads(body)
            owner = int(entries["entries"][0]["address"].split(":")[1])
            other = 2 * NODE_PORT + 1 - owner
            for target in running.targets_of("allocation"):
                running.set_behaviour(target, "silent=1")
            prefix = entries["key_prefix"]
            at_owner = self.start(owner, prefix + ".first", 2)
            forwarded = self.start(other, prefix + ".second")
            for port in (other, owner):
                node = f"node-{port - NODE_PORT}"
                running.signal(node, signal.SIGTERM)
                running.processes[node].wait(5)
            wait_for(lambda: len(at_owner + forwarded) == 3, 2, "all outcomes")
            self.assertEqual((at_owner, forwarded), (
                [(504, "unknown")] * 2, [(502, "unknown")]))


if __name__ == "__main__":
    unittest.main()
