"""How well an endpoint answers, judged by what statements show.

Answers the load of endpoints that fail a part of their statements, or leave them
unanswered, while they say that they are well: reads go elsewhere in proportion, and
come back as what was seen grows old, so that none is given up for good and none is
flooded by what all others turn away from.
"""

import math

MEMORY = 2.0
"""Seconds after which what was seen counts for a third; a few times the time in which
a busy home sees enough answers to judge by."""

LEAST_SEEN = 4.0
"""Answers that are needed to judge by; one failure among fewer says nothing."""

PENALTY = 0.5
"""Seconds that an endpoint that fails every statement is taken to be slower by: more
than the distance to any other, and about what a second attempt costs its caller."""


class Grade:
    """The share of an endpoint's statements that failed of late.

    :param seen: statements that ended, those of earlier counting less.
    :param failed: those of them that failed.
    """

    __slots__ = ("seen", "failed", "at")

    def __init__(self, now: float) -> None:
        """Start with nothing seen."""
        self.seen = 0.0
        self.failed = 0.0
        self.at = now

    def note(self, now: float, has_failed: bool) -> None:
        """Take the end of a statement into account."""
        faded = self._fade(now)
        self.seen = self.seen * faded + 1.0
        self.failed = self.failed * faded + has_failed
        self.at = max(self.at, now)

    def find_share(self, now: float) -> float:
        """Return the share that failed, 0 while too few were seen."""
        if self.seen * self._fade(now) < LEAST_SEEN:
            return 0.0
        return self.failed / self.seen

    def _fade(self, now: float) -> float:
        return math.exp(-max(0.0, now - self.at) / MEMORY)


def find_penalty(share: float) -> float:
    """Return the seconds by which an endpoint counts as slower."""
    return PENALTY * share
