"""Admission control of the platform stand-in: rate limits, faults, call counts.

Does no I/O; callers pass the time in.
"""

from sardinehold_standins import switches

READS_PER_SECOND = 2000.0
"""Reads served per second; a watch counts as one read."""

WRITES_PER_SECOND = 400.0
"""Changes served per second."""

RETRY_AFTER_SECONDS = 0.1
"""Value of the Retry-After header of a refused call."""


class Refused(Exception):
    """The call is refused with an HTTP error.

    :param status: HTTP status, 429 or 503.
    """

    def __init__(self, status: int) -> None:
        """Create the error."""
        super().__init__(status)
        self.status = status


class Unreachable(Exception):
    """The caller gets no response."""


class TokenBucket:
    """Token bucket with a burst of one second.

    :param rate: tokens per second.
    """

    __slots__ = ("rate", "_tokens", "_refilled_at")

    def __init__(self, rate: float) -> None:
        """Create a full bucket."""
        self.rate = rate
        self._tokens = rate
        self._refilled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one token; return whether one was available."""
        elapsed = 0.0 if self._refilled_at is None else now - self._refilled_at
        self._refilled_at = now
        self._tokens = min(self.rate, self._tokens + elapsed * self.rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Faults(switches.Switches):
    """Fault switches of the platform.

    :param down: answer 503 to every call.
    :param slow: seconds by which every answer is delayed.
    :param lose_answers: number of changes that take effect without an answer.
    :param lose_callers: callers whose answers may be lost; all if empty.
    :param unreachable: callers that get no answer; ``*`` for all.
    :param list_lag: seconds by which the lists lag, None for no change.
    """

    __slots__ = (
        "down",
        "slow",
        "lose_answers",
        "lose_callers",
        "unreachable",
        "list_lag",
    )

    def __init__(self) -> None:
        """Create switches that are all off."""
        self.down = False
        self.slow = 0.0
        self.lose_answers = 0
        self.lose_callers: list[str] = []
        self.unreachable: list[str] = []
        self.list_lag: float | None = None


class AdmissionControl:
    """Admits or refuses calls and counts them by caller and kind.

    :param reads: reads per second.
    :param writes: changes per second.
    """

    __slots__ = ("faults", "counts", "refused", "_reads", "_writes")

    def __init__(
        self, reads: float = READS_PER_SECOND, writes: float = WRITES_PER_SECOND
    ) -> None:
        """Start without faults and with all counts at zero."""
        self.faults = Faults()
        self.counts: dict[str, dict[str, int]] = {}
        self.refused = 0
        self._reads = TokenBucket(reads)
        self._writes = TokenBucket(writes)

    def admit(self, now: float, caller: str, call: str, is_write: bool) -> None:
        """Count a call and admit it.

        :raises Refused: the platform is down or the rate limit is exceeded.
        :raises Unreachable: the caller gets no response.
        """
        self.check_reachable(caller)
        call_counts = self.counts.setdefault(caller, {})
        call_counts[call] = call_counts.get(call, 0) + 1
        bucket = self._writes if is_write else self._reads
        if not bucket.take(now):
            self.refused += 1
            raise Refused(429)

    def check_reachable(self, caller: str) -> None:
        """Raise if a fault prevents a response to the caller.

        :raises Refused: the platform is down.
        :raises Unreachable: the caller gets no response.
        """
        unreachable = self.faults.unreachable
        if caller in unreachable or "*" in unreachable:
            raise Unreachable
        if self.faults.down:
            raise Refused(503)

    def lose_answer(self, caller: str) -> bool:
        """Return whether to lose the answer to a change that took effect."""
        faults = self.faults
        if faults.lose_answers <= 0:
            return False
        if faults.lose_callers and caller not in faults.lose_callers:
            return False
        faults.lose_answers -= 1
        return True
