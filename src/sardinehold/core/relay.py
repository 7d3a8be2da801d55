"""State of followers and of other relays as seen by a relay."""

from sardinehold.core import lease
from sardinehold.core import membership
from sardinehold.core import messages

RELAYS_PER_ZONE = 2
"""Live members per zone that watch the platform on behalf of the others."""

MISSING_AFTER = 1.2
"""Seconds without a message after which a node counts as unreachable."""


class Follower:
    """The last renewal received from a node.

    :param received_at: when it was received.
    :param confirmed_at: instant of the relay's clock since which the node has
        confirmed its version, None before its first confirmation.
    """

    __slots__ = ("received_at", "confirmed_at", "renew")

    def __init__(
        self, received_at: float, confirmed_at: float | None, renew: messages.Renew
    ) -> None:
        """Store the fields."""
        self.received_at = received_at
        self.confirmed_at = confirmed_at
        self.renew = renew


class FollowerTable:
    """The followers of this node.

    :param incarnation: of this node; echoes of other incarnations are ignored.
    """

    __slots__ = ("incarnation", "followers")

    def __init__(self, incarnation: str) -> None:
        """Initialize without followers."""
        self.incarnation = incarnation
        self.followers: dict[str, Follower] = {}

    def receive(self, now: float, renew: messages.Renew) -> bool:
        """Store a follower's renewal and return whether it is newer than the last."""
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
        """Return the members of a zone from which a renewal arrived recently."""
        return {
            vm: follower
            for vm, follower in self.followers.items()
            if now - follower.received_at <= MISSING_AFTER
            and record.is_member(vm, follower.renew.incarnation)
            and record.members[vm].zone == zone
        }

    def list_recent(self, now: float) -> list[messages.Renew]:
        """Return the last renewal of each node from which one arrived recently."""
        return [
            follower.renew
            for follower in self.followers.values()
            if now - follower.received_at <= MISSING_AFTER
        ]

    def remove_stale(self, now: float) -> None:
        """Remove followers from which no renewal has arrived for a long time."""
        self.followers = {
            vm: follower
            for vm, follower in self.followers.items()
            if now - follower.received_at <= 4 * MISSING_AFTER
        }


def _is_outdated(renew: messages.Renew, held: messages.Renew) -> bool:
    return renew.incarnation == held.incarnation and renew.sequence <= held.sequence


class PeerRelay:
    """The last summary of another relay.

    :param received_at: when it was received.
    :param sent_at: lower bound by the own clock of when it was sent, None if
        the summary does not echo this incarnation.
    """

    __slots__ = ("received_at", "sent_at", "summary")

    def __init__(
        self, received_at: float, sent_at: float | None, summary: messages.Summary
    ) -> None:
        """Store the fields."""
        self.received_at = received_at
        self.sent_at = sent_at
        self.summary = summary


class RelayTable:
    """The summaries of all other relays."""

    __slots__ = ("incarnation", "relays")

    def __init__(self, incarnation: str) -> None:
        """Initialize without summaries."""
        self.incarnation = incarnation
        self.relays: dict[str, PeerRelay] = {}

    def receive(self, now: float, summary: messages.Summary) -> PeerRelay | None:
        """Store a summary and return its entry, None if it is outdated."""
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
        """Return the entries of relays from which a summary arrived recently."""
        return [
            entry
            for entry in self.relays.values()
            if now - entry.received_at <= MISSING_AFTER
        ]

    def find_echo(self, now: float, vm: str) -> tuple[float, str, float]:
        """Return a relay's last clock reading, its incarnation and the seconds held."""
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
    """Return the acknowledged versions in a summary, by VM."""
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

    Versions are capped at ``newest``, since no later one contains a change.
    While nothing changes, all are then equal and no exceptions are needed.

    :param newest: revision of the last change known to the relay.
    """
    capped = {vm: min(version, newest) for vm, version in acknowledged.items()}
    reached = [vm for vm in zone_vms if capped.get(vm) == newest]
    if len(reached) * 2 <= len(zone_vms):
        return 0, capped
    exceptions = {
        vm: capped.get(vm, 0) for vm in zone_vms if capped.get(vm, 0) != newest
    }
    exceptions.update({vm: capped[vm] for vm in capped if vm not in zone_vms})
    return newest, exceptions


def count_reports(renews: list[messages.Renew]) -> tuple[messages.ReportCount, ...]:
    """Return the numbers of nodes that report each endpoint."""
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
    """Return the VMs on which work still runs, by draining group.

    :param draining: version at which each group started to drain.
    """
    return {
        group: tuple(sorted(r.vm for r in renews if not is_quiesced(r, group, since)))
        for group, since in draining.items()
    }


def is_quiesced(renew: messages.Renew, group: str, since: int) -> bool:
    """Return whether a node has seen ``group`` drain and runs no work of it."""
    return renew.version >= since and group in renew.quiesced
