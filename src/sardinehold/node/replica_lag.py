"""What a node knows of a replica that lags behind.

While a replica applies commits late, statements of many sessions need different
positions of its log. Each refusal for lag costs a round trip and time at the replica.
Every answer shows how far the log is and, with earlier ones, how fast it advances: a
statement is tried where the log should have reached its position by now, and beyond
that less and less often while the replica stays behind.
"""

from sardinehold.core import positions

INITIAL_COOLDOWN = 0.15
"""Seconds after a refusal for lag in which the replica is only used for positions that
it should have reached: about the time in which it applies a commit."""

MAX_DOUBLINGS = 3
"""Maximum doublings of the cooldown while each next try finds the replica behind, to
1.2 s: below the usual bounds on the age of a read."""

STREAK_TIMEOUT = 1.0
"""Seconds after a cooldown within which another refusal continues the streak."""

MIN_RATE_SPAN = 0.2
"""Minimum seconds over which the rate of a log is measured: several commits of a busy
group, which are applied in small batches."""

RATE_SMOOTHING = 0.5
"""Weight of the newest measurement of a log's rate."""

MAX_PREDICTION = 1.0
"""Seconds for which a log is expected to go on at its rate: about a long cooldown."""


class LogProgress:
    """The position of a log in its last answer, and the rate at which it advances.

    :param position: the position, None if unknown.
    :param at: when the answer arrived.
    :param rate: positions a second, 0 until it has been measured.
    """

    __slots__ = ("position", "at", "rate", "_since", "_since_position")

    def __init__(self) -> None:
        """Initialize without a position."""
        self.position: positions.Position | None = None
        self.at = float("-inf")
        self.rate = 0.0
        self._since = float("-inf")
        self._since_position: positions.Position | None = None

    def record(self, position: positions.Position, now: float) -> None:
        """Record a position; an earlier one than before was sent earlier."""
        first = self._since_position
        if first is None or first.term != position.term:
            self._since, self._since_position = now, position
            self.rate = 0.0
        elif now - self._since >= MIN_RATE_SPAN:
            advanced = max(0, position.offset - first.offset)
            measured = advanced / (now - self._since)
            self.rate += RATE_SMOOTHING * (measured - self.rate)
            self._since, self._since_position = now, position
        self.position, self.at = position, now

    def correct(self, refused: positions.Position, now: float) -> None:
        """Stop predicting beyond the last answer if the log lacks what was predicted.

        A refusal inside a transaction shows no position.
        """
        reached = self.predict(now)
        if reached is not None and reached >= refused:
            self.rate = 0.0

    def predict(self, now: float) -> positions.Position | None:
        """Return the position that the log should have reached, None if unknown."""
        if self.position is None:
            return None
        advanced = self.rate * min(MAX_PREDICTION, max(0.0, now - self.at))
        return positions.Position(
            self.position.term, self.position.offset + int(advanced)
        )


class ReplicaLag:
    """The newest position that a replica lacked, and when it may be tried again.

    :param wanted: that position, None once the replica has reached it.
    :param until: when the replica may be tried for a position that it may lack.
    :param progress: position and rate of its log.
    """

    __slots__ = ("wanted", "until", "progress", "_streak")

    def __init__(self) -> None:
        """Initialize without a known position."""
        self.wanted: positions.Position | None = None
        self.until = float("-inf")
        self.progress = LogProgress()
        self._streak = 0

    def record_refusal(self, position: positions.Position, now: float) -> None:
        """Record that the replica refused a statement that needs a position."""
        self.progress.correct(position, now)
        before, self.wanted = self.wanted, position
        if before is not None:
            self.wanted = max(before, position)
        if now < self.until:
            # The statement was sent before the cooldown began, or its position was
            # predicted too early.
            return
        is_streak = before is not None and now < self.until + STREAK_TIMEOUT
        self._streak = min(MAX_DOUBLINGS, self._streak + 1) if is_streak else 0
        self.until = now + INITIAL_COOLDOWN * 2**self._streak

    def record_position(self, position: positions.Position, now: float) -> None:
        """Record the position of the replica's log in an answer."""
        self.progress.record(position, now)
        if self.wanted is not None and position >= self.wanted:
            self.wanted = None
            self.until = float("-inf")
            self._streak = 0

    def find_missing(self, now: float) -> positions.Position | None:
        """Return the lowest position that the replica is not tried for, or None."""
        if self.wanted is None or now >= self.until:
            return None
        reached = self.progress.predict(now)
        if reached is None:
            return self.wanted
        return positions.Position(reached.term, reached.offset + 1)
