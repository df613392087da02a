"""A request that crashes every target that runs it, repeated every 100 ms
through all nodes in turn, together with normal load: it must be quarantined
before it crashes many targets."""

import time

from fleet import NODE_PORT, Fleet, send_request, finish_load, start_load
from report_lines import Report

SEED = 51
NODES = 40
SECONDS = 10
MAX_CRASHES = 3
POISON_HEADERS = {"Load-Poison": "yes", "Host": "load"}


def main():
    report = Report("poison", SEED)
    with Fleet(nodes=NODES) as fleet:
        load = start_load(nodes=fleet.node_list(), service="price-board",
                          path="/boards/1", rate=200, seconds=SECONDS + 3,
                          accounts=40, connections=100, seed=SEED)
        time.sleep(1.5)
        rejected = 0
        end = time.monotonic() + SECONDS
        sent = 0
        while time.monotonic() < end:
            status, body = send_request(NODE_PORT + sent % NODES, "GET",
                                        "/boards/poison",
                                        headers=POISON_HEADERS)
            rejected += status == 503 and "crashed at this request" in body
            sent += 1
            time.sleep(0.1)
        healthy = finish_load(load)
        crashes = sum(t["crashes"] for t in fleet.target_stats())
    report.add("targets_lost", crashes, "crashes", at_most=MAX_CRASHES)
    report.add("poison_refused", rejected, "requests", at_least=sent - 5,
               sent=sent)
    report.add("healthy_answered", healthy["answered"] / healthy["sent"],
               "share", at_least=0.999)
    report.add("healthy_p99", healthy["p99_ms"], "ms")
    report.finish()


if __name__ == "__main__":
    main()
