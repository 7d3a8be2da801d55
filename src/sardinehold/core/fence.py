"""Tells when no node acts any more on what was before a version."""

from sardinehold.core import lease
from sardinehold.core import membership


class Fence:
    """Waits until a version is known everywhere, or the leases before lapsed.

    It is passed when all members have acknowledged the version and nobody
    else may still hold a lease (a member that left by itself holds none), or
    a lease time after enough of them have that no quorum can vouch for an older one.
    The instant from which a lease time counts is never earlier than the
    version's own commit, so that leases given by the platform lapse as well.

    :param version: revision of the change that must be known.
    """

    __slots__ = ("version", "quorum_since")

    def __init__(self, version: int) -> None:
        """Start with nothing acknowledged."""
        self.version = version
        self.quorum_since: float | None = None

    def is_passed(
        self, now: float, record: membership.Record, acknowledged: dict[str, int]
    ) -> bool:
        """Return whether nobody acts on an older version.

        :param record: the members as of the version or later.
        :param acknowledged: versions acknowledged by the members' present
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
        """Return when the leases lapse, None while that is open."""
        if self.quorum_since is None:
            return None
        return lease.find_expiry(self.quorum_since)


def _has_quorum(record: membership.Record, reached: set[str]) -> bool:
    return all(
        len(vms & reached) >= membership.count_fence_quorum(len(vms))
        for vms in record.list_sets()
        if vms
    )
