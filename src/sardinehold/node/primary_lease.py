"""A node's read lease on a group's primary, and samples of the primary's position.

A read on the primary requires that no other primary can have acknowledged a commit
before the read began. The node therefore holds a lease, counted from an instant at
which the group's state was known to be in force; a failover waits until all such
leases have expired. A read on a replica requires a position that covers every commit
up to some instant: one that the primary reported in answer to a request that was sent
after that instant.
"""

import collections

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock

LEASE = 1.1
"""Seconds for which a node may use the primary after the group's state was confirmed.
Bounds the time that a failover waits for a node that cannot be reached."""

DISCONNECTED_AFTER = LEASE
"""Seconds without a message of the leader and without the store after which a node
counts as disconnected: every lease that they confirmed has expired by then."""

SAMPLE_RETENTION = 4.0
"""Seconds for which samples are kept; longer than any route's staleness bound."""

MIN_SAMPLE_INTERVAL = 0.02
"""Minimum seconds between two kept samples."""


class Sample:
    """The primary's position, as given in an answer.

    :param sent_at: when the request was sent.
    """

    __slots__ = ("sent_at", "position")

    def __init__(self, sent_at: float, position: positions.Position) -> None:
        """Initialize the sample."""
        self.sent_at = sent_at
        self.position = position


class PrimaryLease:
    """Lease on one group's primary, with samples of the primary's position.

    :param as_of: latest instant at which the group's state was known to be in force.
    """

    __slots__ = ("term", "as_of", "samples")

    def __init__(self) -> None:
        """Create an expired lease without samples."""
        self.term = 0
        self.as_of = float("-inf")
        self.samples: collections.deque[Sample] = collections.deque()

    def begin_term(self, term: int) -> None:
        """Drop the samples of an earlier term."""
        if term != self.term:
            self.term = term
            self.samples.clear()

    def confirm(self, sent_at: float) -> None:
        """Renew the lease: the group's state was in force at an instant."""
        self.as_of = max(self.as_of, sent_at)

    def revoke(self) -> None:
        """Revoke the lease: the group is being sealed."""
        self.as_of = float("-inf")

    @property
    def until(self) -> float:
        """When the lease expires."""
        return self.as_of + LEASE * (1 - clock.RATE_MARGIN)

    def holds_lease(self, now: float) -> bool:
        """Return whether the primary cannot have been replaced yet."""
        return now < self.until

    def record_position(self, sent_at: float, position: positions.Position) -> None:
        """Record the position of an answer to a request sent under the lease."""
        if position.term != self.term:
            return
        samples = self.samples
        if samples and sent_at <= samples[-1].sent_at:
            return
        if len(samples) > 1 and sent_at - samples[-2].sent_at < MIN_SAMPLE_INTERVAL:
            samples.pop()
        samples.append(Sample(sent_at, position))
        while samples[0].sent_at < sent_at - SAMPLE_RETENTION:
            samples.popleft()

    def find_position(self, since: float) -> positions.Position | None:
        """Return the lowest known position that covers all commits up to ``since``."""
        for sample in self.samples:
            if sample.sent_at >= since:
                return sample.position
        return None

    @property
    def latest(self) -> Sample | None:
        """The newest sample, None if there is none."""
        return self.samples[-1] if self.samples else None


def find_floor(
    lease: PrimaryLease,
    route: catalog.Route,
    arrived_at: float,
    last_commit: positions.Position | None,
) -> positions.Position | None:
    """Return the position that a replica must have reached to serve a read.

    :param arrived_at: when the read, or its transaction, reached this node.
    :param last_commit: position of the session's last commit to the lease's group, None
        if it made none.
    :returns: None if no known position is certain to suffice.
    """
    since = arrived_at - route.max_staleness
    if route.consistency is catalog.Consistency.LATEST:
        since = arrived_at
    floor = lease.find_position(since)
    if floor is None or last_commit is None:
        return floor
    # A commit of an earlier term is part of the new primary's log, and is thus covered
    # by any position of the new term.
    return max(floor, last_commit)
