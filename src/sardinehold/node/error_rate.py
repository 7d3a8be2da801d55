"""How well an endpoint answers, judged by what statements show.

Answers the load of endpoints that fail a part of their statements, or leave them
unanswered, while they say that they are well: reads go elsewhere in proportion, and
come back as what was seen grows old, so that none is given up for good and none is
flooded by what all others turn away from.
"""

import math

DECAY_TIME = 2.0
"""Seconds after which what was seen counts for a third; a few times the time in which
a busy home sees enough answers to judge by."""

MIN_SAMPLES = 4.0
"""Answers that are needed to judge by; one failure among fewer says nothing."""

MAX_PENALTY = 0.5
"""Seconds that an endpoint that fails every statement is taken to be slower by: more
than the distance to any other, and about what a second attempt costs its caller."""


class ErrorRate:
    """The share of an endpoint's statements that failed of late.

    :param total: statements that ended, those of earlier counting less.
    :param failed: those of them that failed.
    """

    __slots__ = ("total", "failed", "at")

    def __init__(self, now: float) -> None:
        """Start with nothing seen."""
        self.total = 0.0
        self.failed = 0.0
        self.at = now

    def record(self, now: float, has_failed: bool) -> None:
        """Take the end of a statement into account."""
        decay = self._decay(now)
        self.total = self.total * decay + 1.0
        self.failed = self.failed * decay + has_failed
        self.at = max(self.at, now)

    def compute(self, now: float) -> float:
        """Return the share that failed, 0 while too few were seen."""
        if self.total * self._decay(now) < MIN_SAMPLES:
            return 0.0
        return self.failed / self.total

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.at) / DECAY_TIME)


def compute_penalty(share: float) -> float:
    """Return the seconds by which an endpoint counts as slower."""
    return MAX_PENALTY * share
