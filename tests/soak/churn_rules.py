"""Judges a churn drill by the rules CONFIG and DRAIN: changes bind only if the
store acknowledged them while it was stable, and only nodes in touch are
judged."""

import math

APPLY_S = DRAIN_S = 2
CONTACT_S = 3
ENTRY_RETURN_S = 2      # after a return, until live entries are written again
DOWNGRADE_SLACK_S = 0.25
SLOWED_FACTOR = 8


class Ack:
    """The store's acknowledgement of a version, or that a server is
    draining or gone."""

    def __init__(self, time, kind, subject):
        self.time = time
        self.kind = kind        # config, draining, removed or missing
        self.subject = subject  # index of the version, or id of the server
        self.void_at = math.inf

    def binds(self, at, bound):
        return self.time + bound < at < self.void_at


class Request:
    def __init__(self, attempt, node, prefix, sent, ended, status):
        self.attempt = attempt
        self.node = node
        self.prefix = prefix
        self.sent = sent
        self.ended = ended
        self.status = status  # None if no response came
        self.runs = []        # (time, server)

    def outcomes(self):
        """The services that ran it; None stands for 404."""
        services = {server.service for _, server in self.runs}
        return services or ({None} if self.status == 404 else set())


def overlaps(spans, begin, end):
    return any(first <= end and last >= begin for first, last in spans)


class Judge:
    """Collects violations as (kind, subject, request, ack, detail)."""

    def __init__(self, drill):
        self.drill = drill
        self.acks = sorted(drill.acks, key=lambda ack: ack.time)
        self.stable = {ack: not overlaps(drill.store_faults,
                                         ack.time - CONTACT_S, ack.time)
                       for ack in self.acks}
        self.violations = []
        self.latest_use = 0  # after any acknowledgement that is not void
        self.requests = self.with_runs(drill.requests)
        self.judged = [request for request in self.requests
                       if not overlaps(drill.node_faults[request.node],
                                       request.sent - CONTACT_S, request.ended)]
        for request in self.judged:
            self.judge_version(request)
            for at, server in request.runs:
                self.judge_server(request, at, server)
        for node in drill.fleet.nodes:
            self.judge_order(node)

    def with_runs(self, requests):
        by_attempt = {request.attempt: request for request in requests}
        for server in self.drill.fleet.servers:
            ran = {run[0] for run in server.runs}
            for at, attempt in server.arrival_times:
                if attempt in ran and attempt in by_attempt:
                    by_attempt[attempt].runs.append((at, server))
        return sorted(requests, key=lambda request: request.sent)

    def allows(self, request, first):
        """Whether a version from index first on allows all that was done with
        the request."""
        tables = [table for written, table in self.drill.versions[first:]
                  if written <= request.ended]
        return all(any(table.get(request.prefix) == outcome for table in tables)
                   for outcome in request.outcomes())

    def judge_version(self, request):
        binding = max((ack for ack in self.acks
                       if ack.kind == "config" and self.stable[ack]
                       and ack.binds(request.sent, APPLY_S)),
                      key=lambda ack: ack.subject, default=None)
        if binding and not self.allows(request, binding.subject):
            # The first version that forbids it says how late the node is.
            late = [ack for ack in self.acks if ack.kind == "config"
                    and ack.subject <= binding.subject
                    and not self.allows(request, ack.subject)]
            done = "/".join(str(outcome or 404)
                            for outcome in request.outcomes())
            self.violations.append(("CONFIG", request.prefix, request,
                                    late[0] if late else binding, done))

    def judge_server(self, request, at, server):
        for ack in self.acks:
            if ack.subject != server.id or ack.time > at:
                continue
            if any(ack.time < back <= at
                   for back in self.drill.back_at.get(server.id, ())):
                continue
            if ack.void_at > request.sent:
                self.latest_use = max(self.latest_use, at - ack.time)
            if self.stable[ack]:
                if ack.binds(request.sent, DRAIN_S):
                    self.violations.append(
                        ("DRAIN", server.id, request, ack, ack.kind))
                    return
                continue
            since = max((back for back in self.drill.returns
                         if back <= ack.time), default=-math.inf)
            obeyed = max(since + ENTRY_RETURN_S, ack.time) + DRAIN_S
            if (ack.time <= since + CONTACT_S
                    and obeyed < request.sent < ack.void_at):
                self.violations.append(
                    ("not binding", server.id, request, ack, ack.kind))
                return

    def judge_order(self, node):
        """A node that regresses, in one incarnation of its process."""
        starts = self.drill.starts[node]
        requests = [request for request in self.requests
                    if request.node == node]
        effects = sorted(((at, request) for request in requests
                          for at, _ in request.runs), key=lambda run: run[0])
        seen, incarnation, taken = 0, 0, 0
        for request in requests:
            current = sum(start <= request.sent for start in starts)
            if current != incarnation:
                seen, incarnation = 0, current
            slowed = overlaps(self.drill.node_faults[node],
                              request.sent - CONTACT_S, request.ended)
            slack = DOWNGRADE_SLACK_S * (SLOWED_FACTOR if slowed else 1)
            while (taken < len(effects)
                   and effects[taken][0] + slack < request.sent):
                at, effect = effects[taken]
                taken += 1
                if (sum(start <= effect.sent for start in starts) == current
                        and len(effect.outcomes()) == 1):
                    seen = next((index for index in
                                 range(seen, len(self.drill.versions))
                                 if self.drill.versions[index][1].get(
                                     effect.prefix) in effect.outcomes()), seen)
            if not self.allows(request, seen):
                self.violations.append(("CONFIG", request.prefix, request, None,
                                        f"older than version {seen}, seen"))

    def count(self, kind):
        return sum(found[0] == kind for found in self.violations)

    def cases(self, kind, limit=6):
        """One line for the first violation of each subject."""
        first = {}
        for found in self.violations:
            if found[0] == kind:
                first.setdefault(found[1], []).append(found)
        lines = []
        for subject, group in list(first.items())[:limit]:
            _, _, request, ack, detail = group[0]
            after = (f"{request.sent - ack.time:+.2f} s after the ack"
                     if ack else "regressed")
            last = group[-1][2].sent - (ack.time if ack else request.sent)
            lines.append(
                f"{kind} {subject} ({detail}): {len(group)} requests, first at "
                f"{request.node} {after}, last {last:+.2f} s; ack "
                f"{self.since_return(ack.time if ack else request.sent)}")
        return lines

    def since_return(self, at):
        back = max((back for back in self.drill.returns if back <= at + 1),
                   default=None)
        return ("with no return before" if back is None
                else f"{at - back:+.2f} s from a return")
