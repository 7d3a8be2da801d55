"""Fencing: detects when no node acts on a view older than a version."""

from sardinehold.core import lease
from sardinehold.core import membership


class Fence:
    """A barrier that waits for acknowledgements or for lease expiry.

    It is passed when all members have acknowledged the version and no removed
    incarnation may still hold a lease (a member that left by itself holds
    none). Otherwise it is passed one lease period after enough members have
    acknowledged that no quorum can confirm an older version. That period
    never starts before the commit of the version, so that leases renewed by
    reading the platform expire as well.

    :param version: revision of the change that must be acknowledged.
    :param quorum_since: when enough members had acknowledged, None before.
    """

    __slots__ = ("version", "quorum_since")

    def __init__(self, version: int) -> None:
        """Initialize without acknowledgements."""
        self.version = version
        self.quorum_since: float | None = None

    def is_passed(
        self, now: float, record: membership.Record, acknowledged: dict[str, int]
    ) -> bool:
        """Return whether no node acts on an older version any more.

        :param record: the members as of the version or later.
        :param acknowledged: versions acknowledged by the members' current
            incarnations.
        """
        reached = {
            vm for vm, version in acknowledged.items() if version >= self.version
        }
        if not record.removed and record.members.keys() <= reached:
            return True
        if self.quorum_since is None and _has_quorum(record, reached):
            self.quorum_since = now
        if self.quorum_since is None:
            return False
        return now >= lease.find_expiry(self.quorum_since)

    def find_deadline(self) -> float | None:
        """Return when older leases have expired, None before a quorum acknowledged."""
        if self.quorum_since is None:
            return None
        return lease.find_expiry(self.quorum_since)


def _has_quorum(record: membership.Record, reached: set[str]) -> bool:
    return all(
        len(vms & reached) >= membership.count_fence_quorum(len(vms))
        for vms in record.list_sets()
        if vms
    )
