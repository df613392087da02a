"""Demo: load on three services through eight nodes, while one target of each
service has a gray failure."""

import subprocess

from fleet import BUILD, OPERATOR_PORT, Fleet, finish_load, start_load

SECONDS = 6
NODES = 8
LOADS = (
    ("price-board", dict(path="/boards/1", rate=400, cost_us=2000)),
    ("allocation", dict(path="/allocations/1", method="POST", keyed=True,
                        body_bytes=400, answer_bytes=200, rate=200,
                        cost_us=4000, resends=2)),
    ("lab-intake", dict(path="/reports/1", method="PUT", body_bytes=200_000,
                        answer_bytes=100, rate=30, cost_us=8000)),
)


def main():
    print(f"Starting the platform stand-in, 35 targets and {NODES} nodes.")
    with Fleet(nodes=NODES) as fleet:
        for service, _ in LOADS:
            gray_target = fleet.targets_of(service)[0]
            fleet.set_behaviour(gray_target, "fail=1")
        print("One target of each service passes its health checks and fails "
              f"all requests. Load runs for {SECONDS} s.\n")
        loads = [start_load(nodes=fleet.node_list(), service=service,
                            seconds=SECONDS, accounts=20, connections=200,
                            work_prefix=f"{service}-",
                            **flags) for service, flags in LOADS]
        row = "{:<12} {:>7} {:>9} {:>7} {:>8} {:>8} {:>6} {:>8} {:>8}"
        print(row.format("service", "sent", "answered", "failed", "not-run",
                         "unknown", "wrong", "p50 ms", "p99 ms"))
        for (service, _), load in zip(LOADS, loads):
            results = finish_load(load)
            print(row.format(
                service, *(int(results[name]) for name in (
                    "sent", "answered", "failed", "not_run", "unknown",
                    "wrong")), f"{results['p50_ms']:.2f}",
                f"{results['p99_ms']:.2f}"))
        repeated = [work_id for work_id, runs in fleet.ledger().items()
                    if runs > 1]
        repeated_keyed = [work_id for work_id in repeated
                          if "allocation-" in work_id]
        print("\nAllocations run more than once: "
              f"{len(repeated_keyed)}; idempotent requests run again after a "
              f"failure: {len(repeated) - len(repeated_keyed)}")
        print("\nTargets of price-board as seen by the first node "
              "(siskinctl targets price-board):\n")
        subprocess.run([BUILD / "siskinctl",
                        f"--node=127.0.0.1:{OPERATOR_PORT}", "targets",
                        "price-board"], check=True)


if __name__ == "__main__":
    main()
