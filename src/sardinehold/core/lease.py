"""One lease for the whole view, stored as deadlines of the node's own clock.

A node's right to act on its view depends on one instant, ``as_of``: a reading
of its own clock at which its version was known to be current, because the
platform had answered so or a quorum of members had confirmed it. A lease
counts from before the request was sent, after C. Gray and D. Cheriton,
"Leases: An Efficient Fault-Tolerant Mechanism for Distributed File Cache
Consistency", SOSP 1989.
"""

LEASE = 2.0
"""Seconds from ``as_of`` after which a node acknowledges no writes."""

SERVE_BOUND = 8.0
"""Seconds from ``as_of`` after which a node serves no requests at all."""

CLOCK_DRIFT = 0.01
"""Fraction by which the rate of any clock may deviate from real time."""


class Lease:
    """The lease of one node.

    :param as_of: latest instant of the node's clock at which its view is known
        to have been current, None before the first confirmation.
    """

    __slots__ = ("as_of",)

    def __init__(self) -> None:
        """Initialize without a lease."""
        self.as_of: float | None = None

    @property
    def write_deadline(self) -> float:
        """Time until which writes may be acknowledged."""
        if self.as_of is None:
            return 0.0
        return self.as_of + LEASE * (1 - CLOCK_DRIFT)

    @property
    def serve_deadline(self) -> float:
        """Time until which requests may be served."""
        if self.as_of is None:
            return 0.0
        return self.as_of + SERVE_BOUND * (1 - CLOCK_DRIFT)

    def renew(self, as_of: float) -> bool:
        """Set ``as_of`` if the new instant is later and return whether it was."""
        if self.as_of is not None and as_of <= self.as_of:
            return False
        self.as_of = as_of
        return True

    def measure_age(self, now: float) -> float | None:
        """Return the seconds since ``as_of``, None without a lease."""
        return None if self.as_of is None else now - self.as_of


def compute_as_of(sent_at: float, age: float) -> float:
    """Return the instant of the own clock at which an answered view was current.

    :param sent_at: reading of the own clock before the request was sent.
    :param age: age of the view in seconds, by the clock of the answering node.
    """
    return sent_at - age * (1 + CLOCK_DRIFT)


def compute_sent_at(echo: float, held: float) -> float:
    """Return a lower bound of when a message was sent, by the own clock.

    :param echo: reading of the own clock that the message echoes.
    :param held: seconds for which the sender had held the reading.
    """
    return echo + held * (1 - CLOCK_DRIFT)


def find_expiry(since: float) -> float:
    """Return when every lease from before ``since`` has expired on any clock."""
    return since + LEASE * (1 + 2 * CLOCK_DRIFT)
