"""Error rate of an endpoint, measured on the statements that it runs.

Some endpoints fail a part of their statements, or leave them unanswered, while their
health checks succeed. Reads move away from them in proportion to the error rate and
return as the observations decay, so that no endpoint is excluded for good and no other
one is flooded with all of its load.
"""

import math

DECAY_TIME = 2.0
"""Time constant of the decay in seconds: after it an observation counts for a third. A
few times the interval in which the owner of a busy endpoint gets enough samples."""

MIN_SAMPLES = 4.0
"""Minimum number of samples; one failure among fewer is not significant."""

MAX_PENALTY = 0.5
"""Seconds that are added to the estimated latency of an endpoint that fails every
statement: more than the distance to any other, and about the cost of a retry."""


class ErrorRate:
    """Exponentially decaying share of an endpoint's statements that failed.

    :param total: statements that ended, weighted by age.
    :param failed: those of them that failed.
    """

    __slots__ = ("total", "failed", "at")

    def __init__(self, now: float) -> None:
        """Create an error rate without samples."""
        self.total = 0.0
        self.failed = 0.0
        self.at = now

    def record(self, now: float, has_failed: bool) -> None:
        """Record the outcome of a statement."""
        decay = self._decay(now)
        self.total = self.total * decay + 1.0
        self.failed = self.failed * decay + has_failed
        self.at = max(self.at, now)

    def compute(self, now: float) -> float:
        """Return the share that failed, 0 while there are too few samples."""
        if self.total * self._decay(now) < MIN_SAMPLES:
            return 0.0
        return self.failed / self.total

    def _decay(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.at) / DECAY_TIME)


def compute_penalty(share: float) -> float:
    """Return the seconds to add to an endpoint's estimated latency."""
    return MAX_PENALTY * share
