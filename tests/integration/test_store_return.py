"""Tests a store that is away for a moment and returns from an older copy: what
was written since is lost, its revisions are assigned again, and the operator and
the servers write again what they wrote."""

import collections
import signal
import subprocess
import threading
import time
import unittest

from fleet import BUILD, wait_for
from platform_fleet import BOUNDS, DOMAINS, OPERATOR, PlatformFleet, route
from platform_revocation import BOUNDS as KEYED_BOUNDS
from platform_revocation import KEPT_KEY, LIMIT_S, KeyedFleet, KeyLoad

AWAY_S = 0.6
#: Entries that live are written again within this time of the store's return.
ENTRY_RETURN_S = 2
#: The store is stable, and nodes count as connected, this long after its return.
CONTACT_S = 3
#: A configuration is in force at all connected nodes after this time.
APPLY_S = BOUNDS["config-apply-s"]
SETTLE_S = 0.6  # until all nodes know what was written


class Callers:
    """Sends requests on some paths to all nodes in turn until it is stopped."""

    PERIOD_S = 0.02

    def __init__(self, fleet, paths, callers=2, key=None):
        self.fleet = fleet
        self.paths = paths
        self.key = key
        self.results = []  # (time sent, node, path, status)
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number,))
                        for number in range(callers)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        while not self.stopped.wait(self.PERIOD_S):
            number += 1
            node = self.fleet.nodes[number % len(self.fleet.nodes)]
            path = self.paths[number // len(self.fleet.nodes)
                              % len(self.paths)]
            sent = time.monotonic()
            try:
                status = self.fleet.request(path, node, "POST", b"lot",
                                            deadline_ms=2000, key=self.key)[0]
            except OSError:
                continue  # The node is down or frozen.
            self.results.append((sent, node, path, status))

    def failed(self, begin, statuses=(401, 403, 404, 503)):
        """The requests sent later than begin with one of the statuses."""
        return [(round(sent - begin, 2), node, path, status)
                for sent, node, path, status in list(self.results)
                if sent > begin and status in statuses]


def routes(number, **more):
    """Routes whose timeout differs with each number."""
    return {"r1": route("/reads/", "reads", "unsafe", 2 + number / 10),
            "r2": route("/orders/", "orders", "unsafe", 2), **more}


def return_from(store, copy):
    """Returns the items that are lost, see Store.write_again."""
    store.go_away()
    time.sleep(AWAY_S)
    return store.return_from(copy)


def rewrite_config(store, newest, copy):
    store.write_again(newest, copy, "op/")


class StoreReturn(unittest.TestCase):
    NODES = 10

    def setUp(self):
        self.fleet = PlatformFleet(nodes=self.NODES, servers=3).__enter__()
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store

    def configure(self, count, **more):
        for number in range(count):
            self.fleet.configure(routes(number, **more))

    def runs_since(self, server, begin):
        return [round(at - begin, 2) for at, _ in server.arrival_times
                if at > begin]

    def expect_in_force(self, paths, statuses):
        for node in self.fleet.nodes:
            for path, status in zip(paths, statuses):
                self.assertEqual(
                    self.fleet.request(path, node, "POST", b"lot")[0], status,
                    f"{path} at {node}")

    # Guards against configurations that all nodes ignore, as their revisions
    # were assigned before.
    def test_configurations_with_revisions_that_were_assigned_before(self):
        # One takes the newest's revision; the next one's is equal or lower.
        for lost in (2, 5):
            copy = self.store.copy()
            self.configure(lost)
            time.sleep(SETTLE_S)
            newest = return_from(self.store, copy)
            rewrite_config(self.store, newest, copy)
            time.sleep(CONTACT_S)
            moved = {"r1": route("/reads/", "orders", "unsafe", 2),
                     f"new{lost}": route(f"/new{lost}/", "reads", "unsafe", 2)}
            self.fleet.configure(moved)
            time.sleep(APPLY_S)
            self.expect_in_force(["/reads/1", f"/new{lost}/1", "/orders/1"],
                                 [200, 200, 404])
            for node in self.fleet.nodes:
                body = self.fleet.request("/reads/1", node, "POST", b"lot")[2]
                self.assertIn("from i-orders", body)
            self.configure(1)
            time.sleep(APPLY_S)

    # Guards against a configuration that goes back to that of the copy, also at
    # a node that starts while the store has the older one.
    def test_the_newest_configuration_stays_in_force(self):
        copy = self.store.copy()
        self.configure(2, r3=route("/added/", "reads", "unsafe", 2))
        time.sleep(APPLY_S)
        restarted = self.fleet.nodes[-1]
        with Callers(self.fleet, ["/added/1", "/reads/1"]) as callers:
            begin = time.monotonic()
            newest = return_from(self.store, copy)
            self.fleet.signal(restarted, signal.SIGKILL)
            self.fleet.processes[restarted].wait()
            self.fleet.start(restarted)
            self.fleet.await_ready(restarted)
            time.sleep(CONTACT_S)
            rewrite_config(self.store, newest, copy)
            time.sleep(APPLY_S)
        # The node that restarts has no configuration at first.
        failed = [one for one in callers.failed(begin)
                  if one[1:] != (restarted, "/added/1", 503)
                  and one[1:] != (restarted, "/reads/1", 503)]
        self.assertEqual(failed, [])
        self.expect_in_force(["/added/1"], [200])

    # Guards against servers that are used although they left, or refused
    # although they live, as the copy has an older state of them.
    def test_servers_that_the_copy_has_in_another_state(self):
        # A server that is added later is neither in the copy.
        left, drained, stayed = self.fleet.of_service("orders")
        added = self.fleet.of_service("reads")[2]
        self.store.remove(f"servers/{added.id}")
        time.sleep(SETTLE_S)
        copy = self.store.copy()
        self.fleet.register(added)
        self.fleet.register(drained, state="draining")
        self.store.remove(f"servers/{left.id}")
        time.sleep(SETTLE_S)
        with Callers(self.fleet, ["/orders/1", "/reads/1"], 6) as callers:
            time.sleep(BOUNDS["drain-s"])
            begin = time.monotonic()
            return_from(self.store, copy)
            returned = time.monotonic()
            time.sleep(ENTRY_RETURN_S * 0.75)
            self.fleet.register(added)
            time.sleep(CONTACT_S)
            # A departed server whose entry is due to lapse is gone for good; one
            # that registers again is used.
            self.assertEqual(self.runs_since(left, begin), [])
            self.assertEqual(self.runs_since(drained, begin), [])
            self.fleet.register(left)
            wait_for(lambda: self.runs_since(left, begin), APPLY_S,
                     "requests at a server that registers again")
        self.assertEqual(callers.failed(begin, (401, 403, 404, 503)), [])
        # The server that the copy lacks is used all the time.
        times = self.runs_since(added, begin)
        self.assertGreater(len([at for at in times
                                if at < returned + ENTRY_RETURN_S - begin]), 0)
        gaps = [later - earlier for earlier, later in zip(times, times[1:])]
        self.assertLess(max(gaps), 1)

    # Guards against nodes that delete what the copy lacks, as no call failed and
    # another watcher's records already have the new epoch.
    def test_a_return_that_is_noticed_by_the_epoch_alone(self):
        added = self.fleet.of_service("reads")[2]
        self.store.remove(f"servers/{added.id}")
        time.sleep(SETTLE_S)
        copy = self.store.copy()
        self.fleet.register(added)
        time.sleep(SETTLE_S)
        with Callers(self.fleet, ["/reads/1"], 6):
            time.sleep(SETTLE_S)
            begin = time.monotonic()
            self.store.return_from(copy)
            time.sleep(ENTRY_RETURN_S * 0.75)
            self.fleet.register(added)
            time.sleep(SETTLE_S)
        times = self.runs_since(added, begin)
        self.assertGreater(len(times), 0)
        gaps = [later - earlier
                for earlier, later in zip([0, *times], times)]
        self.assertLess(max(gaps), 0.5)

    # Guards against a server that did not come back and is used for ever.
    def test_a_server_that_is_not_registered_again_is_gone(self):
        lost = self.fleet.of_service("orders")[0]
        self.store.remove(f"servers/{lost.id}")
        time.sleep(SETTLE_S)
        copy = self.store.copy()
        self.fleet.register(lost)
        time.sleep(SETTLE_S)
        with Callers(self.fleet, ["/orders/1"], 4):
            return_from(self.store, copy)
            time.sleep(CONTACT_S + BOUNDS["drain-s"])
            begin = time.monotonic()
            time.sleep(1)
        self.assertEqual(self.runs_since(lost, begin), [])

    # Guards against a frozen node that keeps or passes on the state before two
    # returns of the store.
    def test_a_node_that_is_frozen_through_two_returns(self):
        frozen = self.fleet.nodes[-1]
        left = self.fleet.of_service("orders")[0]
        self.fleet.signal(frozen, signal.SIGSTOP)
        for _ in range(2):
            copy = self.store.copy()
            self.configure(3)
            time.sleep(SETTLE_S)
            newest = return_from(self.store, copy)
            rewrite_config(self.store, newest, copy)
            time.sleep(CONTACT_S)
        self.store.remove(f"servers/{left.id}")
        self.fleet.configure({"r1": route("/reads/", "reads", "unsafe", 2),
                              "r2": route("/moved/", "orders", "unsafe", 2)})
        time.sleep(SETTLE_S)
        self.fleet.signal(frozen, signal.SIGCONT)
        time.sleep(CONTACT_S)
        begin = time.monotonic()
        for _ in range(3):
            self.expect_in_force(["/moved/1", "/orders/1"], [200, 404])
        self.assertEqual(self.runs_since(left, begin), [])
        epochs = {self.fleet.state(node)["config"]["epoch"]
                  for node in self.fleet.nodes}
        self.assertEqual(epochs, {3})

    # Guards against nodes that keep or pass on the state before two returns, as
    # they were refused by the store, or reached neither it nor other nodes.
    def test_nodes_that_are_out_of_touch_through_two_returns(self):
        *others, refused, cut = self.fleet.nodes
        left = self.fleet.of_service("orders")[0]
        for isolated, frozen in ((refused, []), (cut, [*others, refused])):
            moved = f"/moved{len(frozen)}/"
            self.store.rejected_addresses = {isolated}
            for node in frozen:
                self.fleet.signal(node, signal.SIGSTOP)
            for _ in range(2):
                copy = self.store.copy()
                self.configure(3)
                time.sleep(SETTLE_S)
                self.store.play_return(copy)
            if frozen:
                self.store.remove(f"servers/{left.id}")
            self.fleet.configure({"r1": route("/reads/", "reads", "unsafe", 2),
                                  "r2": route(moved, "orders", "unsafe", 2)})
            time.sleep(APPLY_S)
            if not frozen:  # Other nodes tell what the store refuses to tell.
                self.expect_in_force([moved + "1", "/orders/1"], [200, 404])
            for node in frozen:
                self.fleet.signal(node, signal.SIGCONT)
            self.store.rejected_addresses = set()
            time.sleep(CONTACT_S)
            self.expect_in_force([moved + "1", "/orders/1"], [200, 404])
        time.sleep(BOUNDS["drain-s"])
        begin = time.monotonic()
        for _ in range(3):
            self.expect_in_force([moved + "1"], [200])
        self.assertEqual(self.runs_since(left, begin), [])
        for field, name in (("config", "epoch"), ("gossip", "records_digest")):
            values = {self.fleet.state(node)[field][name]
                      for node in self.fleet.nodes}
            self.assertEqual(len(values), 1, name)
        self.assertEqual(self.fleet.state(cut)["config"]["epoch"], 5)

    # Guards against a wait that ends at once, as revisions of an earlier epoch
    # were higher.
    def test_siskinctl_waits_for_a_revision_of_an_epoch(self):
        def wait_at(node, position):
            return subprocess.run(
                [BUILD / "siskinctl", f"--node={node}:{OPERATOR}", "config",
                 f"--wait={position}", "--timeout_ms=500"], text=True,
                stdout=subprocess.PIPE, stderr=subprocess.PIPE, check=False)
        node = self.fleet.nodes[0]
        copy = self.store.copy()
        self.configure(2)
        time.sleep(SETTLE_S)
        newest = wait_at(node, f"1:{self.store.revision}")
        self.assertEqual(newest.returncode, 0, newest.stderr)
        self.assertEqual(wait_at(node, "2:1").returncode, 1)
        self.store.play_return(copy)
        time.sleep(SETTLE_S)
        done = wait_at(node, f"2:{self.store.revision}")
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("epoch: 2\n", done.stdout)
        late = wait_at(node, f"2:{self.store.revision + 1}")
        self.assertEqual(late.returncode, 1)
        self.assertIn("of epoch 2", late.stderr)
        for malformed in ("2:", ":1", "2:1:1", "-2:1"):
            self.assertEqual(wait_at(node, malformed).returncode, 2, malformed)


class ReadsOfSeveralPages(unittest.TestCase):
    # Guards against a read that takes some items from one history, and others
    # from the next one.
    def test_a_return_between_two_pages(self):
        with PlatformFleet(nodes=1, servers=3) as fleet:
            store, node = fleet.store, fleet.nodes[0]
            lost = min(fleet.servers, key=lambda server: server.id)
            fleet.signal(node, signal.SIGKILL)
            fleet.processes[node].wait()
            entry = store.items[f"servers/{lost.id}"]
            store.remove(f"servers/{lost.id}")
            copy = store.copy()
            store.put_raw(entry["key"], entry["value"])
            store.whole_reads.clear()
            read_page = store.range

            def return_before_second_page(query):
                if query.get("after"):
                    store.range = read_page
                    store.return_from(copy)
                return read_page(query)
            store.range = return_before_second_page
            fleet.start(node)
            fleet.await_ready(node)
            self.assertEqual(store.whole_reads, {node: 2})
            self.assertEqual(fleet.state(node)["config"]["epoch"], 2)
            self.assertNotIn(lost.id, [
                target["id"] for service in fleet.state(node)["services"]
                for target in service["targets"]])


class KeysAfterStoreReturn(unittest.TestCase):
    def setUp(self):
        self.fleet = PlatformFleet(nodes=6, servers=4,
                                   bounds=KEYED_BOUNDS).__enter__()
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store

    def expect_revoked(self, lost):
        """A key is revoked after the return from a copy that lacks some
        configurations; the new one has an equal or a lower revision."""
        keyed = KeyedFleet(self.fleet, ["revoked-key"])
        for node in self.fleet.nodes:
            wait_for(lambda n=node: keyed.served(n, "revoked-key"), 6,
                     f"requests served at {node}")
        copy = self.store.copy()
        for _ in range(lost):
            keyed.publish()
        time.sleep(SETTLE_S)
        with KeyLoad(keyed, "revoked-key", self.fleet.nodes), \
                KeyLoad(keyed, KEPT_KEY, self.fleet.nodes) as kept:
            begin = time.monotonic()
            newest = return_from(self.store, copy)
            time.sleep(ENTRY_RETURN_S)
            rewrite_config(self.store, newest, copy)
            time.sleep(CONTACT_S)
            keyed.revoke("revoked-key")
            time.sleep(LIMIT_S + 2)
        self.assertGreater(keyed.runs("revoked-key"), 0)
        self.assertEqual(keyed.late_runs("revoked-key"), [])
        self.assertEqual(kept.statuses(begin, time.monotonic()), {200})

    # Guards against a key that stays in use as the configuration that revokes
    # it has the revision of a lost one, which nodes take for confirmed.
    def test_a_key_revoked_under_a_revision_that_was_assigned_before(self):
        self.expect_revoked(2)

    # Guards against nodes that wait for a revision that the store has lost, and
    # reject all requests with a key.
    def test_keys_are_served_while_revisions_are_lower_than_before(self):
        self.expect_revoked(6)

    # Guards against a lost revocation that is undone by the copy.
    def test_a_key_revoked_in_the_lost_seconds_stays_revoked(self):
        keyed = KeyedFleet(self.fleet, ["revoked-key"])
        time.sleep(APPLY_S)
        copy = self.store.copy()
        keyed.revoke("revoked-key")
        time.sleep(KEYED_BOUNDS["config-apply-s"])
        with KeyLoad(keyed, "revoked-key", self.fleet.nodes) as load, \
                KeyLoad(keyed, KEPT_KEY, self.fleet.nodes) as kept:
            time.sleep(0.3)
            begin = time.monotonic()
            return_from(self.store, copy)
            time.sleep(LIMIT_S + 2)
        self.assertEqual(load.statuses(begin, time.monotonic()), {401})
        self.assertEqual(kept.statuses(begin, time.monotonic()), {200})

    # Guards against nodes that leave the directory as their configuration is
    # not confirmed in the new epoch.
    def test_all_nodes_stay_in_the_directory(self):
        keyed = KeyedFleet(self.fleet, [])
        time.sleep(APPLY_S)
        copy = self.store.copy()
        for _ in range(3):
            keyed.publish()
        time.sleep(SETTLE_S)

        def named():
            return {(node, zone): self.fleet.resolve(node, zone)
                    for node in self.fleet.nodes for zone in DOMAINS}
        before = named()
        self.assertNotIn([], before.values())
        newest = return_from(self.store, copy)
        end = time.monotonic() + LIMIT_S + 2
        while time.monotonic() < end:
            if time.monotonic() > end - LIMIT_S:
                rewrite_config(self.store, newest, copy)
            self.assertEqual(named(), before)
            for node in self.fleet.nodes:
                self.assertFalse(
                    self.fleet.state(node)["config_view"]["withdrawn"])
            time.sleep(0.1)

    # Guards against a faulty header that hides changes, changes the epoch or
    # fills the log.
    def test_unusable_epochs_change_nothing(self):
        keyed = KeyedFleet(self.fleet, [])
        logged = {node: len(self.fleet.log_of(node))
                  for node in self.fleet.nodes}
        self.store.era = 5
        for node in self.fleet.nodes:
            wait_for(lambda n=node: self.fleet.state(n)["config"]["epoch"] == 5,
                     CONTACT_S, f"epoch 5 at {node}")
        for number, value in enumerate(
                (-1, "x", 1.5, 2**53 + 1, "9" * 40, 4, "", None)):
            self.store.era = value
            keyed.publish(f"/added{number}/")
            time.sleep(APPLY_S)
            for node in self.fleet.nodes:
                self.assertEqual(keyed.send(
                    node, KEPT_KEY, path=f"/added{number}/1")[0], 200, value)
                self.assertEqual(self.fleet.state(node)["config"]["epoch"], 5)
        watching = 0
        for node in self.fleet.nodes:
            lines = [line for line in
                     self.fleet.log_of(node)[logged[node]:].splitlines()
                     if "unusable epoch" in line]
            self.assertLessEqual(len(lines), 1, lines)
            watching += sum("-1" in line for line in lines)
        self.assertGreater(watching, 0)

    # Guards against reads that confirm nothing, as their responses lack the
    # header of an epoch that other reads of the same node have seen.
    def test_an_epoch_that_some_responses_lack(self):
        KeyedFleet(self.fleet, [])
        time.sleep(APPLY_S)
        with Callers(self.fleet, ["/reads/1"], key=KEPT_KEY) as callers:
            begin = time.monotonic()
            self.store.bare_prefix = "op/config"
            self.store.era = 5
            time.sleep(ENTRY_RETURN_S + LIMIT_S + 2)
        self.assertEqual(callers.failed(begin), [])
        for node in self.fleet.nodes:
            view = self.fleet.state(node)["config_view"]
            self.assertEqual(view["store_epoch"], 5)


class LargeFleetReturn(unittest.TestCase):
    """A copy 5 s old, at a fleet of 24 nodes of which one is frozen meanwhile
    and all others are killed once afterwards."""

    COPY_AGE_S = 5
    REWRITE_S = 0.3       # from the return until all is written again
    IN_FORCE_S = 2        # from then on until it is in force at all nodes
    BACK_IN_FORCE_S = 3   # the same at a node that comes back
    KILL_GAP_S = 0.25
    READS_PER_S = 2000    # calls that all nodes together may make

    def setUp(self):
        self.fleet = PlatformFleet(nodes=24, servers=4,
                                   bounds=KEYED_BOUNDS).__enter__()
        self.addCleanup(self.fleet.stop)
        self.store = self.fleet.store

    def configure(self, keys, *prefixes):
        named = {f"r{prefix}": route(prefix, "reads", "unsafe", 2)
                 for prefix in ("/reads/", *prefixes)}
        self.fleet.configure(
            {**named, "orders": route("/orders/", "orders", "unsafe", 2)},
            {f"tenant-{key}": {"api-keys": [key]} for key in keys})

    def status(self, node, path, key):
        return self.fleet.request(path, node, "POST", b"lot", key=key)[0]

    def time_to_force(self, begin, nodes, prefix):
        """How long after begin all nodes serve the route, in seconds."""
        for node in nodes:
            wait_for(lambda n=node: self.status(n, prefix + "1", KEPT_KEY)
                     == 200, 10, f"{prefix} at {node}")
        return round(time.monotonic() - begin, 2)

    def change_for(self, seconds):
        """Changes what the copy lacks."""
        begin = time.monotonic()
        self.configure([KEPT_KEY, "old-key"], "/first/")
        self.fleet.register(self.added)
        time.sleep(seconds / 2)
        self.configure([KEPT_KEY], "/first/", "/added/")
        self.store.remove(f"servers/{self.left.id}")
        time.sleep(max(0, begin + seconds - AWAY_S - time.monotonic()))

    # Guards against any difference between nodes that the return leaves behind.
    def test_all_nodes_end_with_what_was_written_last(self):
        *_, self.left = self.fleet.of_service("orders")
        *_, self.added = self.fleet.of_service("reads")
        self.store.remove(f"servers/{self.added.id}")
        self.configure([KEPT_KEY, "old-key"])
        *others, frozen = self.fleet.nodes
        self.time_to_force(0, self.fleet.nodes, "/reads/")
        copy = self.store.copy()
        self.fleet.signal(frozen, signal.SIGSTOP)
        self.change_for(self.COPY_AGE_S)
        paths = ["/reads/1", "/orders/1", "/added/1"]
        with Callers(self.fleet, paths, 4, KEPT_KEY) as callers, \
                Callers(self.fleet, ["/reads/1"], 1, "old-key") as revoked:
            begin = time.monotonic()
            reads = collections.Counter(self.store.whole_reads)
            newest = return_from(self.store, copy)
            time.sleep(self.REWRITE_S)
            self.store.write_again(newest, copy)
            written = time.monotonic()
            self.configure([KEPT_KEY], "/first/", "/added/", "/newest/")
            in_force = self.time_to_force(written, others, "/newest/")
            time.sleep(CONTACT_S)
            reads = self.store.whole_reads - reads
            calls = [at for at, *_ in self.store.call_times if at > begin]
            busiest = max(sum(at <= other < at + 1 for other in calls)
                          for at in calls)
            self.fleet.signal(frozen, signal.SIGCONT)
            back = self.time_to_force(time.monotonic(), [frozen], "/newest/")
            calm = time.monotonic()
            for node in others:
                self.fleet.signal(node, signal.SIGKILL)
                self.fleet.processes[node].wait()
                self.fleet.start(node)
                time.sleep(self.KILL_GAP_S)
            for node in others:
                self.fleet.await_ready(node)
            time.sleep(CONTACT_S)
            settled = time.monotonic()
            time.sleep(1)
        print(f"in force after {in_force} s, at the frozen node {back} s after "
              f"its return; {len(calls)} calls, at most {busiest} in a second, "
              f"{sum(reads.values())} whole reads by {len(reads)} nodes, "
              f"at most {max(reads.values())} by one", flush=True)
        self.assertLess(in_force, self.IN_FORCE_S)
        self.assertLess(back, self.BACK_IN_FORCE_S)
        self.assertEqual(max(reads.values()), 1)
        self.assertLess(busiest, self.READS_PER_S)
        # The frozen node rejects keys until its configuration is confirmed, and
        # the killed ones until they have one.
        false = [one for one in callers.failed(begin)
                 if one[3] != 503 or begin + one[0] > settled or
                 begin + one[0] < calm and one[1] != frozen]
        self.assertEqual(false, [])
        accepted = [one for one in revoked.results
                    if one[0] > begin and one[3] not in (401, 503)]
        self.assertEqual(accepted, [])
        self.assertEqual([at for at, _ in self.left.arrival_times
                          if at > begin], [])
        self.time_to_force(0, self.fleet.nodes, "/newest/")
        digests = {self.fleet.state(node)["gossip"]["records_digest"]
                   for node in self.fleet.nodes}
        self.assertEqual(len(digests), 1)


if __name__ == "__main__":
    unittest.main()
