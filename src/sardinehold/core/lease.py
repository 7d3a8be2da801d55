"""One lease over the whole view, stored as deadlines of the node's own clock.

A node's right to act on its view rests on one instant, ``as_of``: a reading
of its own clock at or before which its version was known to be current,
because the platform had said so or a quorum of members had vouched for it.
The idea of a lease counted from before the question is from C. Gray and
D. Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed
File Cache Consistency", SOSP 1989.
"""

LEASE = 2.0
"""Seconds after which no write is acknowledged on a view."""

SERVE_BOUND = 8.0
"""Seconds after which nothing is served on a view."""

CLOCK_DRIFT = 0.01
"""Fraction by which the rate of any clock may be off."""


class Lease:
    """The lease of one node.

    :param as_of: instant of the node's clock up to which its view is known to
        have been current, or None before the first.
    """

    __slots__ = ("as_of",)

    def __init__(self) -> None:
        """Start without a lease."""
        self.as_of: float | None = None

    @property
    def write_deadline(self) -> float:
        """Until when writes may be acknowledged."""
        if self.as_of is None:
            return 0.0
        return self.as_of + LEASE * (1 - CLOCK_DRIFT)

    @property
    def serve_deadline(self) -> float:
        """Until when anything may be served."""
        if self.as_of is None:
            return 0.0
        return self.as_of + SERVE_BOUND * (1 - CLOCK_DRIFT)

    def renew(self, as_of: float) -> bool:
        """Take a later instant and return whether it is one."""
        if self.as_of is not None and as_of <= self.as_of:
            return False
        self.as_of = as_of
        return True

    def measure_age(self, now: float) -> float | None:
        """Return the seconds since the view was known to be current."""
        return None if self.as_of is None else now - self.as_of


def compute_as_of(asked: float, age: float) -> float:
    """Return the instant that an answer of that age speaks for.

    :param asked: own clock before the question was sent.
    :param age: measured by the clock of the node that answered.
    """
    return asked - age * (1 + CLOCK_DRIFT)


def compute_sent_at(echo: float, held: float) -> float:
    """Return an instant of the own clock at or before a message was sent.

    :param echo: own clock reading that came back with the message.
    :param held: seconds that the sender had kept the reading.
    """
    return echo + held * (1 - CLOCK_DRIFT)


def find_expiry(since: float) -> float:
    """Return when each lease from before ``since`` has lapsed on any clock."""
    return since + LEASE * (1 + 2 * CLOCK_DRIFT)
