"""Ways to divide the rate limit of a target among nodes, compared by replays on a
virtual clock: the worst window as a share of what is allowed, and the use of
the limit."""

import json
import subprocess

from fleet import BUILD
from report_lines import Report

SEED = 1
#: Of the way that the nodes use; the others are reported without a bound.
CHOSEN = "in charge"


def main():
    report = Report("rate-division", SEED)
    output = subprocess.run([BUILD / "rate_division"], check=True,
                            capture_output=True, text=True).stdout
    for line in output.splitlines():
        row = json.loads(line)
        fields = {name: row[name] for name in ("way", "nodes", "limit",
                                               "domains", "messages")}
        chosen = row["way"] == CHOSEN
        report.add("worst_window", row["window"], "of what is allowed",
                   at_most=1 if chosen else None, **fields)
        report.add("use", row["use"], "share",
                   at_least=0.9 if chosen and row["domains"] == 4 else None,
                   **fields)
    report.finish()


if __name__ == "__main__":
    main()
