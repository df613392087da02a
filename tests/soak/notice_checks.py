"""Checks of the fault soak on servers that state what they accept: what reached a
server from the nodes that it had told, by the users' rules."""

CONTACT_S = 3.0  # a limit binds, and a disturbed node counts again, after this
TOLD_S = 0.5     # a node counts as told this long after its first response
WINDOW_S = 4.0
DRAIN_S = 2.0
REQUESTS_BEFORE_RETRY = 2


class NoticeLog:
    """What the soak did and saw; times are those of time.monotonic()."""

    def __init__(self):
        self.sent = {}       # node and time by attempt
        self.passed = []     # (time, node, server id) of responses passed on
        self.disturbed = {}  # [start, end] lists by node
        self.periods = []    # [server, header, value, start, end]
        self.restarts = []   # (time, server id); it owes nothing from before

    def begin(self, server, header, value, now):
        self.end(server, now)
        server.notices = {header: str(value)}
        self.periods.append([server, header, value, now, float("inf")])

    def end(self, server, now):
        server.notices = {}
        for period in self.periods:
            if period[0] is server and period[4] > now:
                period[4] = now

    def restart(self, server, now):
        self.end(server, now)
        self.restarts.append((now, server.id))

    def disturb(self, node, now):
        self.disturbed.setdefault(node, []).append([now, float("inf")])

    def undisturb(self, node, now):
        for interval in self.disturbed.get(node, []):
            interval[1] = min(interval[1], now)

    def is_excused(self, node, since, now):
        """Whether the node was disturbed from a time until now."""
        return any(start <= now and end + CONTACT_S >= since
                   for start, end in self.disturbed.get(node, []))

    def told_at(self, node, server, period, now):
        """When the server first told the node in the period, if it did."""
        return min((time for time, other, server_id in self.passed
                    if other == node and server_id == server.id
                    and period[3] < time < min(period[4], now)), default=None)

    def counted_arrivals(self, period):
        """Arrivals in the period from nodes that were told and not disturbed
        since: times, nodes, times of sending and of being told."""
        server = period[0]
        for arrived, attempt in server.arrival_times:
            if not period[3] < arrived < period[4] or attempt not in self.sent:
                continue
            node, sent = self.sent[attempt]
            told = self.told_at(node, server, period, arrived)
            if told is not None and not self.is_excused(node, told, arrived):
                yield arrived, node, sent, told

    def check_limit(self, period):
        server, _, rate, _, _ = period
        first = min((time for time, *_ in server.stated
                     if period[3] < time < period[4]), default=None)
        times = [arrived for arrived, _, _, told in self.counted_arrivals(period)
                 if first is not None and arrived >= first + CONTACT_S
                 and arrived >= told + TOLD_S]
        worst = max((sum(start <= time < start + WINDOW_S for time in times)
                     for start in times), default=0)
        if worst > 1.5 * rate * WINDOW_S + 5:
            yield f"{server.id} got {worst} requests in 4 s at a limit of {rate}"

    def check_leaving(self, period):
        for arrived, node, sent, told in self.counted_arrivals(period):
            if sent > told + DRAIN_S:
                yield (f"{period[0].id} got a request of {node} "
                       f"{sent - told:.1f} s after it had said that it leaves")

    def check_retry_after(self, period):
        server, _, seconds, _, _ = period
        arrivals = [(arrived, self.sent[attempt][0])
                    for arrived, attempt in server.arrival_times
                    if attempt in self.sent]
        for answered, attempt, status, _ in server.stated:
            if status != 503 or not period[3] < answered < period[4] or \
                    attempt not in self.sent:
                continue
            node = self.sent[attempt][0]
            if self.is_excused(node, answered, answered + seconds):
                continue
            end = min([answered + seconds] +
                      [time for time, server_id in self.restarts
                       if server_id == server.id and time > answered])
            count = sum(other == node and answered + TOLD_S < time < end
                        for time, other in arrivals)
            if count > REQUESTS_BEFORE_RETRY:
                yield (f"{server.id} got {count} requests of {node} before its "
                       f"Retry-After of {seconds} s was over")

    def violations(self):
        checks = {"Server-Limit": self.check_limit,
                  "Server-Leaving": self.check_leaving,
                  "Retry-After": self.check_retry_after}
        for period in self.periods:
            yield from checks[period[1]](period)
