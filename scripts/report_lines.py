"""Prints a bench's results, one JSON object a line, and remembers whether every
bound was met."""

import json
import sys


class Report:
    def __init__(self, bench, seed):
        self.bench = bench
        self.seed = seed
        self.missed = 0

    def add(self, metric, value, unit, at_most=None, at_least=None, **more):
        """One figure; a bound is the stated target, never a measured one."""
        bound = at_most if at_most is not None else at_least
        ok = True
        if at_most is not None:
            ok = value <= at_most
        if at_least is not None:
            ok = value >= at_least
        self.missed += 0 if ok else 1
        line = {"bench": self.bench, "metric": metric,
                "value": round(value, 4), "unit": unit, "bound": bound,
                "ok": ok, "seed": self.seed}
        line.update(more)
        print(json.dumps(line), flush=True)

    def finish(self):
        sys.exit(1 if self.missed else 0)
