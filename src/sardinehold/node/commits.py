"""Commits that a node's callers have on their way to a group's primary.

A commit that is in flight can still be acknowledged after the group was sealed. The
newest acknowledged commit is final only once none is in flight and none can start.
"""

import bisect
import math

from sardinehold.core import positions

SEAL_GRACE = 0.3
"""Seconds since a seal in which open transactions may still commit."""


COUNTED_COMMITS = 32
"""Commits that count towards what replicas have received; more than are in flight."""


class Commits:
    """Commits of this node's callers to the primary of one group, and those it told.

    :param newest: position that the primary had reached when the newest one was told to
        a caller; None if unknown. The commit itself may come earlier in the log.
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
        "_shown",
    )

    def __init__(self) -> None:
        """Initialize for a group that is not sealed, with the newest commit unknown."""
        self.newest: positions.Position | None = None
        self.replicated: positions.Position | None = None
        self.in_flight = 0
        self.closed_at = math.inf
        self.sealed_at = math.inf
        self.settled_at = math.inf
        self._shown: list[positions.Position] = []

    def record_told(
        self, before: positions.Position | None, after: positions.Position | None
    ) -> None:
        """Record a commit of which a caller is told.

        :param before: position of the primary that was known when it was sent.
        :param after: that of the answer.
        """
        if after is not None:
            self.newest = max(self.newest or after, after)
        self._record_replicated(before, after)

    def _record_replicated(
        self, before: positions.Position | None, after: positions.Position | None
    ) -> None:
        """Raise the position that replicas have received for certain.

        The answer may show later commits that no replica has. This one follows what the
        primary had shown before it was sent, and so do all that were sent later: of any
        n of them, the newest is at least n behind that position.
        """
        if before is None or after is None or before.term != after.term:
            return
        if self._shown and self._shown[0].term != before.term:
            self._shown.clear()
        bisect.insort(self._shown, before)
        del self._shown[:-COUNTED_COMMITS]
        offset = max(
            item.offset + count for count, item in enumerate(self._shown[::-1], 1)
        )
        position = positions.Position(before.term, offset)
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
        self.closed_at = min(self.closed_at, now)

    def unseal(self) -> None:
        """Let commits start again; there is a primary."""
        self.closed_at = math.inf
        self.sealed_at = math.inf
        self.settled_at = math.inf

    def may_start(self, now: float) -> bool:
        """Return whether a commit may be sent."""
        return now < self.closed_at

    def find_final(self, now: float) -> positions.Position | None:
        """Return the newest acknowledged commit, None if a later one is possible.

        It is not once the seal is settled: later answers are told as in doubt.
        """
        if now >= self.settled_at:
            return self.newest
        return None if self.in_flight or self.may_start(now) else self.newest
