"""How far a planned stop has come.

Answers the load of a full node that is told to stop: callers that are at rest go
elsewhere, statements run to their end, transactions get half of the time, and
nothing is left to be cut when the process is killed.
"""

import enum

UNROUTED_DELAY = 2.4
"""Seconds after the stop signal when the balancer sends no new connections any more:
it asks every second and leaves a node out after two misses."""

TRANSACTIONS_SHARE = 0.5
"""Part of the time to the kill in which open transactions may go on."""

FINISH_SHARE = 0.92
"""Part of the time to the kill after which the process ends by itself, so that it is
not killed within a write to a caller."""


class Step(enum.Enum):
    """What to do with the callers that are left."""

    ACCEPTING = "accepting"
    """New callers may still be sent here: they are served."""

    CLOSING_IDLE = "resting"
    """Callers at rest are let go."""

    ROLLING_BACK = "abandoning"
    """Transactions at rest are rolled back, and their callers let go."""

    DONE = "over"
    """The process ends."""


class Shutdown:
    """One planned stop.

    :param now: when the signal came.
    :param grace: seconds from the signal to the kill.
    """

    __slots__ = ("unrouted_at", "abandons_at", "ends_at")

    def __init__(self, now: float, grace: float) -> None:
        """Start with the signal."""
        self.ends_at = now + grace * FINISH_SHARE
        self.abandons_at = now + grace * TRANSACTIONS_SHARE
        self.unrouted_at = min(now + UNROUTED_DELAY, self.abandons_at)

    def find_step(self, now: float, callers: int) -> Step:
        """Return the step that is due.

        :param callers: how many are left.
        """
        if now < self.unrouted_at:
            return Step.ACCEPTING
        if not callers or now >= self.ends_at:
            return Step.DONE
        return Step.ROLLING_BACK if now >= self.abandons_at else Step.CLOSING_IDLE
