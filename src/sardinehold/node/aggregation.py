"""Aggregator of a section: answers the reports of its nodes, and sums them up.

Any node to which others report instead of the leader is one. It tells them what the
leader told it, with its age, so that nothing appears newer than it is. The leader gets
one report of the section, whose values hold for each of its nodes. Tokens are lent out
of the aggregator's own grants; see :mod:`sardinehold.core.lending`.
"""

import typing

from sardinehold import objects
from sardinehold.core import lending
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import leader
from sardinehold.node import member_reports
from sardinehold.node import reports

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

REQUEST_TIMEOUT = 0.1
"""Seconds for which the rest of a request waits for an exchange with the leader, as
callers do."""


class WaitingRequest:
    """A request for tokens, with the report that contained it."""

    __slots__ = ("report", "request")

    def __init__(self, report: reports.Report, request: lending.Request) -> None:
        """Store the report and the request."""
        self.report = report
        self.request = request


class Aggregator:
    """Answers the reports of other nodes while this node does not lead.

    :param node: the local node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without reports."""
        self.node = node
        self.member_reports = member_reports.MemberReports(node)
        self._leader = ""
        self._settled: set[str] = set()
        self._grants = 0
        self._sequences: dict[str, int] = {}
        self._waiting: dict[str, WaitingRequest] = {}
        self._announced: tuple = ()

    def has_members(self, now: float) -> bool:
        """Return whether other nodes report to this one."""
        return bool(self.member_reports.list_received(now))

    # Reports of the section

    def handle_report(self, report: reports.Report) -> None:
        """Process a report, and answer it with what this node knows of the leader.

        The answer says how old that is; without a leader it only shows that this node
        is there. Summaries are for the leader only.
        """
        now = clock.read()
        self.node.store.note_era(objects.make_version(report.era, 0))
        if report.covered:
            return
        self._follow_leader()
        sent_at = report.date(0.0, self.node.incarnation)
        self.node.exchange_load.count_report(now, sent_at)
        earliest = self._find_stages(now)
        is_urgent = self.member_reports.add(report, now)
        member_reports.apply(self.node, report)
        if (
            is_urgent
            or report.later
            or report.overtaken
            or self._find_stages(now) != earliest
        ):
            self.node.exchange.report_now()
        if report.sequence:
            self._handle_exchange(report, now)
        else:
            self._respond(report, [], now)

    def _follow_leader(self) -> None:
        """Forget reports that were sent under another leader.

        What a leader concludes from the members' reports, such as the tokens that they
        hold, must have been reported since it took the lead.
        """
        incarnation = self.node.leadership.holder_incarnation
        if incarnation != self._leader:
            self._leader = incarnation
            self.member_reports.clear()
            self._settled.clear()

    def _find_stages(self, now: float) -> dict[str, catalog.Stage]:
        """Return the earliest stage of each group that the section's nodes use.

        Groups that some node does not know are left out.
        """
        stages = {
            name: group.state.stage
            for name, group in self.node.groups.items()
            if group.state is not None
        }
        for report in self._list_covered(now):
            for name in list(stages):
                known = report.states.get(name)
                if known is None:
                    del stages[name]
                elif known < stages[name]:
                    stages[name] = known
        return stages

    def _list_covered(self, now: float) -> list[reports.Report]:
        return [received.report for received in self._list_dated(now)]

    def _list_dated(self, now: float) -> list[member_reports.ReceivedReport]:
        """Return the valid reports that a summary may cover.

        They can be dated on this node's clock, and their nodes have told what tokens
        they hold since the leader took the lead.
        """
        self._follow_leader()
        return [
            received
            for received in self.member_reports.list_received(now)
            if received.report.echo_of == self.node.incarnation
            and _identify(received.report) in self._settled
        ]

    def summarize(self, report: reports.Report, now: float) -> None:
        """Extend this node's report to the leader to one of its whole section."""
        received = self._list_dated(now)
        if not received:
            return
        covered = [item.report for item in received]
        report.covered = {
            item.report.node: (
                item.report.incarnation,
                item.report.unadvised + self._measure_age(item.report, now),
            )
            for item in received
        }
        report.covered_age = max(self._measure_age(item, now) for item in covered)
        report.covered_failing = {
            item.node: item.failing for item in covered if item.failing
        }
        report.states = self._find_stages(now)
        report.acknowledged = {
            name: max([position, *(item.acknowledged[name] for item in covered)])
            for name, position in report.acknowledged.items()
            if all(name in item.acknowledged for item in covered)
        }
        for item in covered:
            for name, position in item.replicated.items():
                known = report.replicated.get(name, position)
                report.replicated[name] = max(known, position)
        margin = 1 - clock.RATE_MARGIN
        report.contact_age = min(
            report.contact_age,
            *(now - item.at + item.report.contact_age * margin for item in received),
        )
        report.full = tuple({*report.full, *self.member_reports.list_full(now)})
        report.later = [*report.later, *(state for r in covered for state in r.later)]
        report.overtaken = tuple(
            {
                *report.overtaken,
                *(
                    name
                    for item in covered
                    for name in item.overtaken
                    if item.states.get(name) == self._find_own_stage(name)
                ),
            }
        )

    def _measure_age(self, report: reports.Report, now: float) -> float:
        """Return the seconds since a report was sent, at most."""
        return now - report.date(0.0, self.node.incarnation)

    def _find_own_stage(self, group: str) -> catalog.Stage | None:
        found = self.node.groups.get(group)
        return found.state.stage if found is not None and found.state else None

    def list_borrowers(self, report: reports.Report) -> set[str]:
        """Return the identities of the nodes that a summary covers."""
        return {
            leader.make_identity(name, incarnation)
            for name, (incarnation, _) in report.covered.items()
        }

    # Tokens

    def _handle_exchange(self, report: reports.Report, now: float) -> None:
        """Settle a node's tokens, and lend it what is available.

        What is missing is requested, and sent in a second answer.
        """
        borrower = _identify(report)
        if report.sequence <= self._sequences.get(borrower, 0):
            return
        self._sequences[borrower] = report.sequence
        self._settled.add(borrower)
        self._drop_request(report.node)
        lenders = self.node.rate_limiter.lenders
        for usage in report.usages:
            lender = lenders.get(usage.team)
            if lender is not None:
                is_freed = lender.settle(now, borrower, usage)
                if is_freed and self.node.rate_limiter.is_short(usage.team, now):
                    self.node.exchange.request_tokens(usage.team)
                self.node.rate_limiter.add_spare(usage.team, usage.spare)
        self._grants += 1
        request = lending.Request(
            borrower, self._grants, report.usages, now + REQUEST_TIMEOUT
        )
        waiting = self._waiting[report.node] = WaitingRequest(report, request)
        for team, missing in request.missing.items():
            if team in lenders:
                lenders[team].requested += missing
        self._serve(waiting, now)
        grants = request.make_grants(now, lenders)
        grants.extend(
            quota.Grant(request.grant_id, team, 0, 0.0)
            for team in request.list_missing(lenders)
            if self.node.exchange.is_empty(team, now)
        )
        self.node.exchange_load.count_grants(report.usages, grants)
        self._respond(report, grants, now)
        for team in request.list_missing(lenders):
            self.node.exchange.request_tokens(team)

    def serve_waiting(self, now: float) -> None:
        """Send what is missing of earlier answers, as far as it is available now."""
        lenders = self.node.rate_limiter.lenders
        for waiting in sorted(self._waiting.values(), key=_count_urgent, reverse=True):
            if self._serve(waiting, now):
                grants = waiting.request.make_grants(now, lenders)
                self.node.exchange_load.count_grants((), grants)
                self._respond(waiting.report, grants, now)
            for team in waiting.request.list_missing(lenders):
                self.node.exchange.request_tokens(team)

    def _serve(self, waiting: WaitingRequest, now: float) -> bool:
        """Lend what a request lacks; return whether anything was lent."""
        request, lenders = waiting.request, self.node.rate_limiter.lenders
        before = dict(request.missing)
        request.serve(now, lenders)
        for team, missing in before.items():
            if team in lenders:
                lenders[team].withdraw_request(missing - request.missing[team])
        if not request.list_missing(lenders) or now >= request.deadline:
            self._drop_request(waiting.report.node)
        return request.missing != before

    def _drop_request(self, name: str) -> None:
        waiting = self._waiting.pop(name, None)
        if waiting is None:
            return
        lenders = self.node.rate_limiter.lenders
        for team, missing in waiting.request.missing.items():
            if team in lenders:
                lenders[team].withdraw_request(missing)

    def add_urgent(self, usages: list[quota.Usage]) -> None:
        """Add the urgent operations of the section to this node's own requests."""
        for waiting in self._waiting.values():
            missing = waiting.request.missing
            urgent = {usage.team: usage.urgent for usage in waiting.report.usages}
            for usage in usages:
                wanted = min(urgent.get(usage.team, 0), missing.get(usage.team, 0))
                usage.urgent = min(usage.wanted, usage.urgent + wanted)

    # Responses

    def _respond(
        self, report: reports.Report, grants: list[quota.Grant], now: float
    ) -> None:
        known = self.node.exchange.last_response
        member = self.node.members.get(report.node)
        if known is None or member is None:
            return
        response = reports.LeaderResponse(
            known.node,
            known.incarnation,
            report.sent_at,
            known.states,
            self.node.exchange.collect_samples(now),
            grants,
            self.node.find_version(),
            report.sequence,
            now,
            known.suspects,
            now - self.node.exchange.certain_at,
            known.asks_store,
            known.lead_version,
            known.full,
            known.short if now < self.node.exchange.shortage_until else (),
            known.changed,
            self.node.settings.name,
            self.node.incarnation,
            now - self.node.exchange.leader_contact_at,
            self.node.evacuation_tasks.dump(),
        )
        self.node.peers.send(response.dump(), member.address)

    def relay_news(self, response: reports.LeaderResponse, now: float) -> None:
        """Have the section's nodes report when the leader told something new.

        Otherwise they would learn of it with their next reports.
        """
        news = (
            response.incarnation,
            [state.stage for state in response.states],
            response.changed,
            response.evacuations and response.evacuations[1],
            response.catalog_version,
            response.asks_store,
        )
        if news == self._announced:
            return
        self._announced = news
        message = reports.Announcement(
            response.node, response.incarnation, response.lead_version
        ).dump()
        names = [report.node for report in self.member_reports.list_current(now)]
        members = self.node.members
        self.node.peers.send_to_all(
            message, [members[name].address for name in names if name in members]
        )


def _identify(report: reports.Report) -> str:
    return leader.make_identity(report.node, report.incarnation)


def _count_urgent(waiting: WaitingRequest) -> int:
    return sum(
        usage.urgent
        for usage in waiting.report.usages
        if waiting.request.missing.get(usage.team)
    )
