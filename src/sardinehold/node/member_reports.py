"""The members' reports to the leader or an aggregator, and conclusions from them."""

import typing

from sardinehold import objects
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


class Statements:
    """What the members state that they told of commits.

    :param newest: newest position that one of them states.
    :param missing: members of which no final statement is known.
    """

    __slots__ = ("newest", "missing")

    def __init__(self, newest: positions.Position) -> None:
        """Initialize with the statement of the node itself."""
        self.newest = newest
        self.missing: list[str] = []

    @property
    def acknowledged(self) -> positions.Position | None:
        """Position that has all acknowledged commits; None unless all have stated."""
        return None if self.missing else self.newest


class MemberReports:
    """The last report of each node that reports here, and the members that it covers.

    :param node: the leader's or aggregator's node; it counts as reporting.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without reports."""
        self.node = node
        self._received: dict[str, ReceivedReport] = {}
        self._by_member: dict[str, ReceivedReport] = {}
        self._listed: list[ReceivedReport] = []
        self._listed_until = float("-inf")

    def add(self, report: reports.Report, now: float) -> bool:
        """Store a report; return whether it must take effect immediately."""
        before = self._received.get(report.node)
        received = self._received[report.node] = ReceivedReport(report, now)
        for name in report.list_members():
            self._by_member[name] = received
        is_urgent = before is None or _find_urgent_fields(
            before.report
        ) != _find_urgent_fields(report)
        if is_urgent:
            self._listed_until = float("-inf")
        return is_urgent

    def clear(self) -> None:
        """Forget all reports."""
        self._received.clear()
        self._by_member.clear()
        self._listed_until = float("-inf")

    def list_silent(self, now: float) -> list[str]:
        """Return the members of which no recent report tells."""
        return sorted(
            name
            for name in self.node.members
            if name != self.node.settings.name and self._find_current(name, now) is None
        )

    def list_names(self, now: float) -> set[str]:
        """Return the members of which valid reports tell."""
        return {
            name
            for received in self.list_received(now)
            for name in received.report.list_members()
        }

    def list_full(self, now: float) -> list[str]:
        """Return the endpoints that recently refused some node a connection."""
        return sorted({name for item in self.list_current(now) for name in item.full})

    def find_failing(self, now: float) -> set[str]:
        """Return the endpoints that some node cannot reach."""
        found: set[str] = set()
        for report in self.list_current(now):
            found.update(report.failing)
            found.update(*report.covered_failing.values())
        return found

    def list_votes(
        self, endpoint: str, witnesses: typing.Container[str], now: float
    ) -> list[float]:
        """Return since when each voter cannot reach an endpoint, 0 where it can.

        Witnesses and the members that report the endpoint as failing are voters.
        """
        votes = []
        for report in self.list_current(now):
            for name in report.list_members():
                age = report.find_failing(name).get(endpoint)
                if age is not None or name in witnesses:
                    votes.append(age or 0.0)
        return votes

    def list_current(self, now: float) -> list[reports.Report]:
        """Return the reports that are still valid."""
        return [received.report for received in self.list_received(now)]

    def list_received(self, now: float) -> list[ReceivedReport]:
        """Return the reports that are still valid, with their arrival.

        The list is cached briefly: it is requested with every report.
        """
        if now >= self._listed_until:
            self._listed_until = now + LIST_LIFETIME
            self._listed = [
                received
                for received in self._received.values()
                if now - received.at < REPORT_LIFETIME
            ]
        return self._listed

    def _find_current(self, name: str, now: float) -> ReceivedReport | None:
        """Return the newest report that tells of a member, None if it is outdated."""
        received = self._by_member.get(name)
        if received is None or now - received.at > REPORT_LIFETIME:
            return None
        return received

    def is_connected(self, name: str, now: float) -> bool:
        """Return whether a member reports and does not use its static share alone."""
        if name == self.node.settings.name:
            return True
        received = self._find_current(name, now)
        if received is None:
            return False
        report = received.report
        unadvised = (
            report.unadvised if name == report.node else report.covered[name][1]
        ) + (now - received.at)
        return unadvised < exchange.LEADER_LOST_AFTER * (1 - clock.RATE_MARGIN)

    def list_contacts(self, now: float) -> list[tuple[float, float]]:
        """Return the contacts with the store from the members' recent reports."""
        contacts = [(self.node.store_mirror.find_store_contact(), now)]
        known: dict[int, tuple[float, float] | None] = {}
        for name in self.node.members:
            received = self._find_current(name, now)
            if name == self.node.settings.name or received is None:
                continue
            key = id(received)
            if key not in known:
                known[key] = self._date_contact(received)
            contact = known[key]
            if contact is not None:
                contacts.append(contact)
        return contacts

    def _date_contact(self, received: ReceivedReport) -> tuple[float, float] | None:
        report = received.report
        reported_at = report.date(report.covered_age, self.node.incarnation)
        if reported_at is None:
            return None
        # The contact was not later than the report's arrival minus its age.
        margin = 1 - clock.RATE_MARGIN
        return received.at - report.contact_age * margin, reported_at

    def is_seal_known(self, group: str, stage: catalog.Stage) -> bool:
        """Return whether every node has stopped using the old primary."""
        now = clock.read()
        if not self.node.removals.are_leases_expired(now):
            return False
        # A node whose entry was removed may hold a lease again before it is restored.
        for name in {*self.node.members, *self.list_names(now)}:
            received = self._find_current(name, now)
            if received is None:
                return False
            known = received.report.states.get(group)
            if known is None or known < stage:
                return False
        return bool(self.node.members)

    def collect_statements(self, group: str, since: float) -> "Statements":
        """Return what the members state that they told of commits under a seal.

        A member states it in a report that was sent after ``since``. It cannot while a
        later commit is possible, nor after a restart until it has an answer of the
        primary.
        """
        own = self.node.groups[group]
        newest = own.commits.find_final(clock.read())
        found = Statements(newest or positions.START)
        if newest is None:
            found.missing.append(self.node.settings.name)
        seal = own.state.stage[:2]
        for name in self.node.members:
            if name == self.node.settings.name:
                continue
            position = self._find_statement(name, group, seal, since)
            if position is None:
                found.missing.append(name)
            else:
                found.newest = max(found.newest, position)
        return found

    def _find_statement(
        self, name: str, group: str, seal: tuple, since: float
    ) -> positions.Position | None:
        received = self._by_member.get(name)
        if received is None:
            return None
        report = received.report
        sent_at = report.date(report.covered_age, self.node.incarnation)
        if sent_at is None or sent_at < since:
            return None
        known = report.states.get(group)
        if known is None or known[:2] != seal:
            return None
        return report.acknowledged.get(group)

    def find_replicated(self, group: str) -> positions.Position:
        """Return what replicas have received in a group's term, as far as known.

        Old reports count: what a replica has received in a term, it keeps.
        """
        own = self.node.groups[group]
        found = [own.commits.replicated]
        for received in self._by_member.values():
            found.append(received.report.replicated.get(group))
        return max(
            (item for item in found if item and item.term == own.state.term),
            default=positions.START,
        )


def apply(node: "nodes.Node", report: reports.Report) -> None:
    """Apply what another node knows: positions, states and configuration."""
    for name, (age, position) in report.samples.items():
        group = node.groups.get(name)
        sampled_at = report.date(age, node.incarnation)
        if group is None or group.state is None or sampled_at is None:
            continue
        if report.states.get(name) == group.state.stage:
            group.record_position(sampled_at, position)
    for state in report.later:
        if not node.store.is_current(state.version):
            # The store has lost the state.
            version = objects.make_version(node.store.era, 0)
            state = state.move(version, False)
        node.store_mirror.take_state(state)
    node.exchange.fetch_newer_catalog(report.node, report.catalog_version)


def _find_urgent_fields(report: reports.Report) -> tuple:
    """Return the fields whose changes must take effect immediately."""
    return (
        report.incarnation,
        report.failing.keys(),
        {name: ages.keys() for name, ages in report.covered_failing.items()},
        report.full,
    )
