"""Progress of a graceful shutdown.

A node may receive the stop signal while it has many callers: idle callers reconnect to
other nodes, running statements finish, transactions get half of the grace period, and
no work is left to be interrupted when the process is killed.
"""

import enum

UNROUTED_DELAY = 2.4
"""Seconds after the stop signal until the load balancer sends no new connections: it
probes every second and removes a node after two failed probes."""

TRANSACTIONS_SHARE = 0.5
"""Fraction of the grace period during which open transactions may continue."""

FINISH_SHARE = 0.92
"""Fraction of the grace period after which the process exits by itself, so that it is
not killed while it writes to a caller."""


class Step(enum.Enum):
    """Phase of a shutdown, which decides how remaining callers are treated."""

    ACCEPTING = "accepting"
    """New callers may still be routed to this node and are served."""

    CLOSING_IDLE = "resting"
    """Sessions of idle callers are closed."""

    ROLLING_BACK = "abandoning"
    """Idle transactions are rolled back, and their sessions closed."""

    DONE = "over"
    """The process exits."""


class Shutdown:
    """Schedule of one graceful shutdown.

    :param now: time of the stop signal.
    :param grace: seconds from the stop signal until the process is killed.
    """

    __slots__ = ("unrouted_at", "abandons_at", "ends_at")

    def __init__(self, now: float, grace: float) -> None:
        """Compute the deadlines of the phases."""
        self.ends_at = now + grace * FINISH_SHARE
        self.abandons_at = now + grace * TRANSACTIONS_SHARE
        self.unrouted_at = min(now + UNROUTED_DELAY, self.abandons_at)

    def find_step(self, now: float, callers: int) -> Step:
        """Return the phase that applies at ``now``.

        :param callers: number of remaining callers.
        """
        if now < self.unrouted_at:
            return Step.ACCEPTING
        if not callers or now >= self.ends_at:
            return Step.DONE
        return Step.ROLLING_BACK if now >= self.abandons_at else Step.CLOSING_IDLE
