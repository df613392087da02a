"""Prints the results of a bench, one JSON object per line, and counts the
bounds that are not met."""

import json
import sys


class Report:
    """The results of one run of a bench."""

    def __init__(self, bench, seed):
        self.bench = bench
        self.seed = seed
        self.unmet_bounds = 0

    def add(self, metric, value, unit, at_most=None, at_least=None, **fields):
        """Prints a result. A bound is a requirement, not a result of an earlier
        run. Further arguments become fields of the line."""
        bound = at_most if at_most is not None else at_least
        met = True
        if at_most is not None:
            met = value <= at_most
        if at_least is not None:
            met = value >= at_least
        self.unmet_bounds += 0 if met else 1
        line = {"bench": self.bench, "metric": metric,
                "value": round(value, 4), "unit": unit, "bound": bound,
                "ok": met, "seed": self.seed}
        line.update(fields)
        print(json.dumps(line), flush=True)

    def finish(self):
        """Exits with status 1 if a bound is not met."""
        sys.exit(1 if self.unmet_bounds else 0)
