"""Commits that a node's callers have on their way to a group's primary.

A commit that is in flight can still be acknowledged after the group was sealed. The
newest acknowledged commit is final only once none is in flight and none can start.
"""

import math

from sardinehold.core import positions

SEAL_GRACE = 0.3
"""Seconds since a seal in which open transactions may still commit."""


class Commits:
    """Commits of this node's callers to the primary of one group.

    :param newest: position of the newest one that was acknowledged; None if unknown.
    :param replicated: position that the logs of the replicas have reached, as many of
        them as a commit needs; None if no commit has shown one.
    :param in_flight: number of those that were sent and not answered.
    :param closed_at: when no further one may start, infinite unless the group is
        sealed.
    :param sealed_at: when this node learned of the seal, infinite without one.
    :param settled_at: from when on no answer is told as a success; infinite unless the
        group is sealed.
    """

    __slots__ = (
        "newest",
        "replicated",
        "in_flight",
        "closed_at",
        "sealed_at",
        "settled_at",
    )

    def __init__(self) -> None:
        """Initialize for a group that is not sealed, with the newest commit unknown."""
        self.newest: positions.Position | None = None
        self.replicated: positions.Position | None = None
        self.in_flight = 0
        self.closed_at = math.inf
        self.sealed_at = math.inf
        self.settled_at = math.inf

    def record_replicated(
        self, before: positions.Position | None, after: positions.Position | None
    ) -> None:
        """Record a commit that was acknowledged.

        The answer may show later commits that no replica has. This one follows what the
        primary had shown before it was sent.

        :param before: position of the primary that was known when it was sent.
        :param after: that of the answer.
        """
        if before is None or after is None or before.term != after.term:
            return
        position = positions.Position(before.term, before.offset + 1)
        self.replicated = max(self.replicated or position, position)

    def seal(self, now: float, lease_until: float = -math.inf) -> None:
        """Let no commit start after ``SEAL_GRACE``; the primary is being replaced.

        :param lease_until: when this node's lease expires, for which the leader waits.
        """
        if self.sealed_at > now:
            self.settled_at = lease_until
        self.closed_at = min(self.closed_at, now + SEAL_GRACE)
        self.sealed_at = min(self.sealed_at, now)

    def settle(self, now: float) -> None:
        """Tell no caller of a success any more: the logs are about to be compared."""
        self.settled_at = min(self.settled_at, now)

    def unseal(self) -> None:
        """Let commits start again; there is a primary."""
        self.closed_at = math.inf
        self.sealed_at = math.inf
        self.settled_at = math.inf

    def may_start(self, now: float) -> bool:
        """Return whether a commit may be sent."""
        return now < self.closed_at

    def find_final(self, now: float) -> positions.Position | None:
        """Return the newest acknowledged commit, None if a later one is possible."""
        return None if self.in_flight or self.may_start(now) else self.newest
