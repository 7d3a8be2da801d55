"""Warm-up of an endpoint after its start: how long it is cold, and its budget.

The load: after a failover, a restart or the return of a zone, all nodes send to an
endpoint whose caches are empty. Until it is warm, it can handle only a few requests per
second. Its first owner alone sends to it, from a token bucket that starts empty. A node
that becomes first owner waits until the right of the one before has ended, so that the
requests of successive owners stay within one budget.

All times are readings of the node's clock, passed in.
"""

OWNER_DELAY = 1.0
"""Seconds that a new first owner waits before its first request to a cold endpoint.
Its predecessor stops as many seconds after it last knew that it lacked no change of the
members, and the budget is counted over any second."""

BURST_SECONDS = 0.05
"""Seconds of the rate that the bucket holds: timers of a busy node are that late."""


ROUNDING = 1e-6
"""Part of a token that rounding may cost: a request must not wait for it."""


class Limits:
    """What the cold endpoints of a group can handle.

    :param rate: requests per second that one can handle; 0 for no limit.
    :param start: seconds that a start stays cold, if the record does not say it.
    :param overage: factor by which the requests of a second may exceed the rate.
    :param slack: requests by which they may exceed it in addition.
    """

    __slots__ = ("rate", "start", "overage", "slack")

    def __init__(self, rate: float, start: float, overage: float, slack: float) -> None:
        """Initialize the limits."""
        self.rate = rate
        self.start = start
        self.overage = overage
        self.slack = slack

    @property
    def bound(self) -> float:
        """Maximum number of requests in any second."""
        return self.rate * self.overage + self.slack

    @property
    def capacity(self) -> float:
        """Tokens that the bucket holds: at least one, at most half of the margin."""
        margin = (self.bound - self.rate) / 2
        return max(1.0, min(self.rate * BURST_SECONDS, margin))

    @property
    def fill(self) -> float:
        """Tokens per second: the rate, or less if the bound has no room for a burst."""
        return max(0.0, min(self.rate, self.bound - self.capacity))


class Warmup:
    """Warm-up of one start of an endpoint, as seen by one node.

    :param born: identifies the start.
    :param cold_until: deadline from the records of this start.
    :param remaining: seconds in the newest record, None if it has no such field.
    :param started_at: when this node saw the start happen, None if it did not.
    :param owned_since: when this node became first owner, None if it is not.
    """

    __slots__ = (
        "born",
        "cold_until",
        "remaining",
        "started_at",
        "owned_since",
        "_tokens",
        "_filled_at",
    )

    def __init__(
        self,
        born: int,
        now: float,
        started_at: float | None = None,
        owned_since: float | None = None,
    ) -> None:
        """Initialize with an empty budget."""
        self.born = born
        self.cold_until = float("-inf")
        self.remaining: float | None = None
        self.started_at = started_at
        self.owned_since = owned_since
        self._tokens = 0.0
        self._filled_at = now
        self._restart_budget(now)

    def apply_record(self, remaining: float | None, now: float) -> bool:
        """Apply a record of this start; return whether a cold period begins.

        The seconds count down in the records, and a record may be read late: the
        latest deadline counts. A record that is read again does not extend it.

        :param remaining: seconds for which the record says that it remains cold.
        """
        if remaining is None or remaining == self.remaining:
            return False
        self.remaining = remaining
        begins = now >= self.cold_until and remaining > 0.0
        self.cold_until = max(self.cold_until, now + remaining)
        if begins:
            self._restart_budget(now)
        return begins

    def find_end(self, limits: Limits) -> float:
        """Return when the cold period ends; the past if there is none.

        A start that this node saw, and whose records do not say how long it is cold,
        is cold for as long as the group's configuration says.
        """
        if limits.rate <= 0.0:
            return float("-inf")
        if self.remaining is None and self.started_at is not None:
            return max(self.cold_until, self.started_at + limits.start)
        return self.cold_until

    def is_cold(self, limits: Limits, now: float) -> bool:
        """Return whether the endpoint can handle only the limited rate."""
        return now < self.find_end(limits)

    def set_owner(self, is_first: bool, now: float) -> None:
        """Record whether this node is the first owner."""
        if not is_first:
            self.owned_since = None
        elif self.owned_since is None:
            self.owned_since = now
            self._restart_budget(now)

    def _restart_budget(self, now: float) -> None:
        self._tokens = 0.0
        owned_since = now if self.owned_since is None else self.owned_since
        self._filled_at = max(now, owned_since + OWNER_DELAY)

    # The budget

    def _refill(self, limits: Limits, now: float) -> None:
        if now > self._filled_at:
            added = (now - self._filled_at) * limits.fill
            self._tokens = min(limits.capacity, self._tokens + added)
            self._filled_at = now

    def has_token(self, limits: Limits, now: float) -> bool:
        """Return whether a request may be sent now."""
        self._refill(limits, now)
        return self._tokens >= 1.0 - ROUNDING

    def take(self, limits: Limits, now: float) -> bool:
        """Take a token for one request; return whether there was one."""
        if not self.has_token(limits, now):
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True

    def reserve(self, limits: Limits, now: float, deadline: float) -> float | None:
        """Take a token in advance; return when its request may be sent.

        Set-up statements of a request that was admitted precede those that wait.

        :returns: None if it cannot be sent before the deadline; nothing is taken.
        """
        due = now + self.estimate_wait(1, limits, now)
        if due >= deadline:
            return None
        self._tokens -= 1.0
        return due

    def estimate_wait(self, count: int, limits: Limits, now: float) -> float:
        """Return the seconds until ``count`` further requests may have been sent.

        After the cold period there is no limit.
        """
        self._refill(limits, now)
        until_end = max(0.0, self.find_end(limits) - now)
        missing = count - self._tokens
        if missing <= ROUNDING:
            return 0.0
        if limits.fill <= 0.0:
            return until_end
        starts_in = max(0.0, self._filled_at - now)
        return min(until_end, starts_in + missing / limits.fill)


def explain_refusal(warmup: Warmup, isolation: float) -> str:
    """Return why this node may not send to a cold endpoint, ``""`` if it may.

    :param isolation: seconds for which this node may have missed a change of owner.
    """
    if warmup.owned_since is None:
        return "it is cold, and this node is not its first owner"
    if isolation >= OWNER_DELAY:
        return "it is cold, and another node may have become its first owner"
    return ""
