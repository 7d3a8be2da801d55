"""The members' reports to the leader, and the conclusions from all of them."""

import typing

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import exchange
from sardinehold.node import reports

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

REPORT_LIFETIME = 1.0
"""Seconds for which a report is valid; two of them may be lost."""

LIST_LIFETIME = 0.05
"""Seconds for which the list of reports is cached, unless a report changes it: a
twentieth of the lifetime of a report."""


class ReceivedReport:
    """The last report of a node."""

    __slots__ = ("report", "at")

    def __init__(self, report: reports.Report, at: float) -> None:
        """Store the report and the time of its arrival."""
        self.report = report
        self.at = at


class MemberReports:
    """The last report of each member.

    :param node: the leader's node; it counts as reporting.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without reports."""
        self.node = node
        self._received: dict[str, ReceivedReport] = {}
        self._listed: list[reports.Report] = []
        self._listed_until = float("-inf")

    def add(self, report: reports.Report, now: float) -> None:
        """Store a report."""
        before = self._received.get(report.node)
        self._received[report.node] = ReceivedReport(report, now)
        if before is None or _find_urgent_fields(before.report) != _find_urgent_fields(
            report
        ):
            self._listed_until = float("-inf")

    def list_silent(self, now: float) -> list[str]:
        """Return the members that have not reported recently."""
        received = {report.node for report in self.list_current(now)}
        return sorted(self.node.members.keys() - received - {self.node.settings.name})

    def list_full(self, now: float) -> list[str]:
        """Return the endpoints that recently refused some node a connection."""
        return sorted({name for item in self.list_current(now) for name in item.full})

    def find_failing(self, now: float) -> set[str]:
        """Return the endpoints that some node cannot reach."""
        return {name for item in self.list_current(now) for name in item.failing}

    def list_current(self, now: float) -> list[reports.Report]:
        """Return the reports that are still valid.

        The list is cached briefly: with hundreds of nodes it is requested thousands of
        times a second.
        """
        if now >= self._listed_until:
            self._listed_until = now + LIST_LIFETIME
            self._listed = [
                received.report
                for received in self._received.values()
                if now - received.at < REPORT_LIFETIME
            ]
        return self._listed

    def is_connected(self, name: str, now: float) -> bool:
        """Return whether a member reports and does not use its static share alone."""
        if name == self.node.settings.name:
            return True
        received = self._received.get(name)
        if received is None or now - received.at > REPORT_LIFETIME:
            return False
        unadvised = received.report.unadvised + (now - received.at)
        return unadvised < exchange.LEADER_LOST_AFTER * (1 - clock.RATE_MARGIN)

    def list_contacts(self, now: float) -> list[tuple[float, float]]:
        """Return the contacts with the store from the members' recent reports."""
        contacts = [(self.node.store_mirror.find_store_contact(), now)]
        for name in self.node.members:
            received = self._received.get(name)
            if name == self.node.settings.name or received is None:
                continue
            reported_at = received.report.date(0.0, self.node.incarnation)
            if reported_at is None or now - received.at > REPORT_LIFETIME:
                continue
            # The contact was not later than the report's arrival minus its age.
            margin = 1 - clock.RATE_MARGIN
            contacts.append(
                (received.at - received.report.contact_age * margin, reported_at)
            )
        return contacts

    def is_seal_known(self, group: str, stage: catalog.Stage) -> bool:
        """Return whether every node has stopped using the old primary."""
        now = clock.read()
        if not self.node.removals.are_leases_expired(now):
            return False
        for name in self.node.members:
            received = self._received.get(name)
            if received is None or now - received.at > REPORT_LIFETIME:
                return False
            known = received.report.states.get(group)
            if known is None or known < stage:
                return False
        return bool(self.node.members)

    def find_acknowledged(self, group: str, since: float) -> positions.Position | None:
        """Return the newest commit that was acknowledged to any caller.

        :returns: None unless every member has reported one in a report sent after
            ``since``; a restarted member cannot until it has an answer of the primary.
        """
        newest = self.node.groups[group].acknowledged
        if newest is None:
            return None
        for name in self.node.members:
            if name == self.node.settings.name:
                continue
            received = self._received.get(name)
            if received is None:
                return None
            sent_at = received.report.date(0.0, self.node.incarnation)
            if sent_at is None or sent_at < since:
                return None
            acknowledged = received.report.acknowledged.get(group)
            if acknowledged is None:
                return None
            newest = max(newest, acknowledged)
        return newest


def _find_urgent_fields(report: reports.Report) -> tuple:
    """Return the fields whose changes must take effect immediately."""
    return report.incarnation, report.failing.keys(), report.full
