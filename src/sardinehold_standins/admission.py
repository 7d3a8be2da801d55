"""What the platform stand-in lets pass: rate limits, faults, counts.

No I/O; the time is passed in.
"""

from sardinehold_standins import switches

READS_PER_SECOND = 2000.0
"""Reads that the platform serves a second; a waiting watch counts as one."""

WRITES_PER_SECOND = 400.0
"""Changes that the platform serves a second."""

RETRY_AFTER_SECONDS = 0.1
"""What a refused caller is told to wait."""


class Refused(Exception):
    """The platform answers with an HTTP error.

    :param status: 429 or 503.
    """

    def __init__(self, status: int) -> None:
        """Keep the status."""
        super().__init__(status)
        self.status = status


class Unreachable(Exception):
    """The caller gets no answer at all."""


class TokenBucket:
    """A rate limit with a burst of one second's worth."""

    __slots__ = ("rate", "_tokens", "_filled_at")

    def __init__(self, rate: float) -> None:
        """Start full."""
        self.rate = rate
        self._tokens = rate
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one token; return whether there was one."""
        passed = 0.0 if self._filled_at is None else now - self._filled_at
        self._filled_at = now
        self._tokens = min(self.rate, self._tokens + passed * self.rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Faults(switches.Switches):
    """Fault switches of the platform.

    :param down: answer 503 to every call.
    :param slow: seconds by which every answer is late.
    :param lose_answers: how many changes take effect without an answer.
    :param lose_callers: callers whose answers may be lost; empty for all.
    :param unreachable: callers whose calls get no answer; ``*`` for all.
    :param list_lag: seconds by which the lists lag, or None to leave it.
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
        """Start with no fault."""
        self.down = False
        self.slow = 0.0
        self.lose_answers = 0
        self.lose_callers: list[str] = []
        self.unreachable: list[str] = []
        self.list_lag: float | None = None


class AdmissionControl:
    """Admits or refuses calls and counts them by kind and caller.

    :param reads: reads a second.
    :param writes: changes a second.
    """

    __slots__ = ("faults", "counts", "refused", "_reads", "_writes")

    def __init__(
        self, reads: float = READS_PER_SECOND, writes: float = WRITES_PER_SECOND
    ) -> None:
        """Start with no fault and nothing counted."""
        self.faults = Faults()
        self.counts: dict[str, dict[str, int]] = {}
        self.refused = 0
        self._reads = TokenBucket(reads)
        self._writes = TokenBucket(writes)

    def admit(self, now: float, caller: str, call: str, is_write: bool) -> None:
        """Count a call.

        :raises Refused: the platform is down or the rate is used up.
        :raises Unreachable: the caller gets no answer.
        """
        self.check_reachable(caller)
        by_call = self.counts.setdefault(caller, {})
        by_call[call] = by_call.get(call, 0) + 1
        bucket = self._writes if is_write else self._reads
        if not bucket.take(now):
            self.refused += 1
            raise Refused(429)

    def check_reachable(self, caller: str) -> None:
        """Raise if a fault keeps an answer from the caller."""
        unreachable = self.faults.unreachable
        if caller in unreachable or "*" in unreachable:
            raise Unreachable
        if self.faults.down:
            raise Refused(503)

    def lose_answer(self, caller: str) -> bool:
        """Return whether the answer to a change that took effect is lost."""
        faults = self.faults
        if faults.lose_answers <= 0:
            return False
        if faults.lose_callers and caller not in faults.lose_callers:
            return False
        faults.lose_answers -= 1
        return True
