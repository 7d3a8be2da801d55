"""What a node knows for sure of a group's log and of its primary.

Two things rest on evidence. A read on the primary needs that no other primary
can have acknowledged a commit before the read began: the node holds a lease,
dated from an instant at which the group's state was known to be in force, and
whoever replaces the primary waits until all such leases have lapsed. A read on a
replica needs a position that covers every commit up to some instant: what the
primary answered to a question that was asked after that instant.
"""

import collections

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock

LEASE = 1.1
"""Seconds for which an instant of evidence lets a node use the primary. Bounds the
wait of a change of primary when a node cannot be asked."""

DISCONNECTED_AFTER = LEASE
"""Seconds without a leader's advice and without the store after which a node counts as
cut off: no lease from them is left by then."""

COMMIT_RENEWAL_LIMIT = 3.0
"""Seconds without either for which a commit still proves the lease. It bounds how long
a node that nobody hears goes on, by a configuration that may have changed."""

SAMPLE_RETENTION = 4.0
"""Seconds of positions that are kept; longer than any route's staleness needs."""

MIN_SAMPLE_INTERVAL = 0.02
"""Seconds between two kept positions at least."""


class Sample:
    """The primary's position, as answered to a question.

    :param sent_at: when the question was sent.
    """

    __slots__ = ("sent_at", "position")

    def __init__(self, sent_at: float, position: positions.Position) -> None:
        """Keep the parts of the sample."""
        self.sent_at = sent_at
        self.position = position


class PrimaryLease:
    """What is known of one group.

    :param as_of: the latest instant at which the state was known to be in force.
    """

    __slots__ = ("term", "as_of", "samples")

    def __init__(self) -> None:
        """Start with nothing known."""
        self.term = 0
        self.as_of = float("-inf")
        self.samples: collections.deque[Sample] = collections.deque()

    def begin_term(self, term: int) -> None:
        """Forget what was known of an earlier term."""
        if term != self.term:
            self.term = term
            self.samples.clear()

    def confirm(self, sent_at: float) -> None:
        """Note that the group's state was in force at an instant."""
        self.as_of = max(self.as_of, sent_at)

    def revoke(self) -> None:
        """Forget the lease: the group is being sealed."""
        self.as_of = float("-inf")

    def holds_lease(self, now: float) -> bool:
        """Return whether the primary cannot have been replaced yet."""
        return now < self.as_of + LEASE * (1 - clock.RATE_MARGIN)

    def note_position(self, sent_at: float, position: positions.Position) -> None:
        """Take the primary's answer to a question sent under the lease."""
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
    """Return the position that a replica must have for a read.

    :param arrived_at: when the read, or its transaction, reached this node.
    :param last_commit: position of the session's last commit, None if it made none.
    :returns: None if no known position is sure to be enough.
    """
    since = arrived_at - route.max_staleness
    if route.consistency is catalog.Consistency.LATEST:
        since = arrived_at
    floor = lease.find_position(since)
    if floor is None or last_commit is None or last_commit <= floor:
        return floor
    if last_commit.term == floor.term:
        return last_commit
    # A commit of an earlier term is part of the new primary's log, and so of
    # any position of the new term.
    return floor
