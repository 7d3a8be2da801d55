"""What a relay knows of its followers and of the other relays."""

from sardinehold.core import lease
from sardinehold.core import membership
from sardinehold.core import messages

RELAYS_PER_ZONE = 2
"""Live members of a zone that watch the platform for the others."""

MISSING_AFTER = 1.2
"""Seconds without a message after which a node counts as missing."""


class Follower:
    """The last that a relay heard from a node.

    :param confirmed_at: instant of the relay's clock since when the node has
        vouched for ``version``, None before its first vouch.
    """

    __slots__ = ("received_at", "confirmed_at", "renew")

    def __init__(
        self, received_at: float, confirmed_at: float | None, renew: messages.Renew
    ) -> None:
        """Keep the parts."""
        self.received_at = received_at
        self.confirmed_at = confirmed_at
        self.renew = renew


class FollowerTable:
    """All followers of this node.

    :param incarnation: of this node; echoes of others do not count.
    """

    __slots__ = ("incarnation", "followers")

    def __init__(self, incarnation: str) -> None:
        """Start without followers."""
        self.incarnation = incarnation
        self.followers: dict[str, Follower] = {}

    def receive(self, now: float, renew: messages.Renew) -> bool:
        """Take a follower's message and return whether it is a new one."""
        held = self.followers.get(renew.vm)
        if held is not None and _is_outdated(renew, held.renew):
            return False
        confirmed_at = None
        if renew.echo_of == self.incarnation and renew.echo <= now:
            confirmed_at = renew.echo
        self.followers[renew.vm] = Follower(now, confirmed_at, renew)
        return True

    def list_live(
        self, now: float, record: membership.Record, zone: str
    ) -> dict[str, Follower]:
        """Return the members of a zone that were heard of late."""
        return {
            vm: follower
            for vm, follower in self.followers.items()
            if now - follower.received_at <= MISSING_AFTER
            and record.is_member(vm, follower.renew.incarnation)
            and record.members[vm].zone == zone
        }

    def list_recent(self, now: float) -> list[messages.Renew]:
        """Return the last message of each node heard of late."""
        return [
            follower.renew
            for follower in self.followers.values()
            if now - follower.received_at <= MISSING_AFTER
        ]

    def remove_stale(self, now: float) -> None:
        """Drop followers that have long been silent."""
        self.followers = {
            vm: follower
            for vm, follower in self.followers.items()
            if now - follower.received_at <= 4 * MISSING_AFTER
        }


def _is_outdated(renew: messages.Renew, held: messages.Renew) -> bool:
    return renew.incarnation == held.incarnation and renew.sequence <= held.sequence


class PeerRelay:
    """The last summary of another relay.

    :param sent_at: instant of the own clock at or before it was made, None
        when the summary echoes nothing of this incarnation.
    """

    __slots__ = ("received_at", "sent_at", "summary")

    def __init__(
        self, received_at: float, sent_at: float | None, summary: messages.Summary
    ) -> None:
        """Keep the parts."""
        self.received_at = received_at
        self.sent_at = sent_at
        self.summary = summary


class RelayTable:
    """The summaries of all other relays."""

    __slots__ = ("incarnation", "relays")

    def __init__(self, incarnation: str) -> None:
        """Start without summaries."""
        self.incarnation = incarnation
        self.relays: dict[str, PeerRelay] = {}

    def receive(self, now: float, summary: messages.Summary) -> PeerRelay | None:
        """Take a summary and return its entry, None if it is an old one."""
        held = self.relays.get(summary.vm)
        if held is not None and _is_older(summary, held.summary):
            return None
        sent_at = None
        if summary.echo_of == self.incarnation and summary.echo <= now:
            sent_at = lease.compute_sent_at(summary.echo, summary.held)
            sent_at = min(sent_at, now)
        entry = PeerRelay(now, sent_at, summary)
        self.relays[summary.vm] = entry
        return entry

    def list_fresh(self, now: float) -> list[PeerRelay]:
        """Return the entries of relays heard of late."""
        return [
            entry
            for entry in self.relays.values()
            if now - entry.received_at <= MISSING_AFTER
        ]

    def find_echo(self, now: float, vm: str) -> tuple[float, str, float]:
        """Return a relay's clock reading, its incarnation and how long held."""
        entry = self.relays.get(vm)
        if entry is None:
            return 0.0, "", 0.0
        summary = entry.summary
        return summary.clock, summary.incarnation, now - entry.received_at


def _is_older(summary: messages.Summary, held: messages.Summary) -> bool:
    return summary.incarnation == held.incarnation and summary.clock <= held.clock


def read_acknowledged(
    summary: messages.Summary, record: membership.Record
) -> dict[str, int]:
    """Return the versions by VM that a summary says are acknowledged."""
    if summary.members_version != record.version:
        return {}
    acknowledged = dict.fromkeys(
        record.list_zone(summary.zone), summary.default_version
    )
    acknowledged.update(summary.exceptions)
    return {vm: version for vm, version in acknowledged.items() if version}


def compress_acknowledged(
    acknowledged: dict[str, int], zone_vms: list[str], newest: int
) -> tuple[int, dict[str, int]]:
    """Return a default for a zone and the VMs that differ from it.

    Versions are cut to ``newest``, since no later one brought a change; in a
    quiet fleet all are then the same, and nobody is named.

    :param newest: revision of the last change that the relay knows.
    """
    cut = {vm: min(version, newest) for vm, version in acknowledged.items()}
    reached = [vm for vm in zone_vms if cut.get(vm) == newest]
    if len(reached) * 2 <= len(zone_vms):
        return 0, cut
    exceptions = {vm: cut.get(vm, 0) for vm in zone_vms if cut.get(vm, 0) != newest}
    exceptions.update({vm: cut[vm] for vm in cut if vm not in zone_vms})
    return newest, exceptions


def count_reports(renews: list[messages.Renew]) -> tuple[messages.ReportCount, ...]:
    """Return how many nodes report each endpoint."""
    unhealthy: dict[str, int] = {}
    isolated: dict[str, int] = {}
    for renew in renews:
        for report in renew.reports:
            name = report.endpoint
            unhealthy[name] = unhealthy.get(name, 0) + report.unhealthy
            isolated[name] = isolated.get(name, 0) + report.isolated
    return tuple(
        messages.ReportCount(name, unhealthy[name], isolated[name])
        for name in sorted(unhealthy)
    )


def list_unquiesced(
    renews: list[messages.Renew], draining: dict[str, int]
) -> dict[str, tuple[str, ...]]:
    """Return for each draining group the VMs where its work still runs.

    :param draining: version at which each group began to drain.
    """
    return {
        group: tuple(sorted(r.vm for r in renews if not is_quiesced(r, group, since)))
        for group, since in draining.items()
    }


def is_quiesced(renew: messages.Renew, group: str, since: int) -> bool:
    """Return whether a node knows that ``group`` drains and has no work of it."""
    return renew.version >= since and group in renew.quiesced
