"""Duties of the fleet's leader: changes of primary, and allocation of tokens."""

import typing

import anyio

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import endpoint_lists
from sardinehold.node import failover
from sardinehold.node import groups
from sardinehold.node import jitter
from sardinehold.node import member_reports
from sardinehold.node import membership
from sardinehold.node import ownership
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import primary_lease
from sardinehold.node import primary_moves
from sardinehold.node import promotion
from sardinehold.node import rate_limiter
from sardinehold.node import reports
from sardinehold.node import residency
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

SUSPECT_AFTER = 0.3
"""Seconds for which a primary must be unreachable before it counts as failing: a new
connection that failed and another attempt."""

CHECK_INTERVAL = 0.1
"""Seconds between checks of the groups."""

MISSING_GRACE = 2.5
"""Seconds to wait for a primary whose entry is missing: entries that were lost with the
store are back within two."""

ANNOUNCE_INTERVAL = 0.5
"""Seconds between announcements to members that do not report."""

CREATE_DELAY = 0.3
"""Seconds between attempts to find the primary of a group that has no state."""

REQUEST_TIMEOUT = 0.8
"""Seconds for which a promotion request may be on its way. The lead must last as long:
the next leader may request other promotions."""

LEAD_CHECK_INTERVAL = 0.02
"""Seconds between checks whether the lead lasts for another request, or whether the
last request has ended."""

VERIFY_INTERVAL = 1.0
"""Seconds between checks whether a primary of a later term than the published one
exists, while something indicates it."""

FAILURE_DELAY = 0.5
"""Seconds before a failed change of primary is retried."""


def make_identity(name: str, incarnation: str) -> str:
    """Return an identity that differs between the processes of a member."""
    return f"{name}/{incarnation}"


class Leader:
    """Acts for the fleet while its node is the leader.

    :param node: the local node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without leadership and without reports."""
        self.node = node
        self.member_reports = member_reports.MemberReports(node)
        self.allocator: quota.Allocator | None = None
        self.primary_moves = primary_moves.PrimaryMoves(self)
        self.endpoint_lists = endpoint_lists.EndpointLists(self)
        self._busy: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._aligned: dict[str, catalog.Stage] = {}
        self._align_tried: dict[str, catalog.Stage] = {}
        self._announce_at = 0.0
        self._connected_share = 1.0
        self._missing_since: dict[str, float] = {}
        self._absences = membership.Absences()
        self._suspects: set[str] = set()
        self._started_at: float | None = None
        self._requests_running = 0
        self._request_token = 0
        self._verified_at: dict[str, float] = {}

    # Reports and responses

    def start_leading(self) -> None:
        """Start leading; the tokens of the previous leader must expire first."""
        now = clock.read()
        self._connected_share = 1.0
        for group in self.node.groups.values():
            group.inherit_request(now)
        self._started_at = now
        self._absences = membership.Absences()
        margin = 1 + 2 * clock.RATE_MARGIN
        lead = self.node.leadership
        self.member_reports.clear()
        predecessor_until = lead.predecessor_until
        if not lead.has_resigned:
            # The previous leader may have continued on the basis of this node's
            # reports.
            outage_reported_at = self.node.exchange.outage_reported_at
            predecessor_until = max(
                predecessor_until, outage_reported_at + member_reports.REPORT_LIFETIME
            )
        starts_at = predecessor_until + quota.GRANT_LIFETIME * margin
        expected = frozenset(
            make_identity(name, member.incarnation)
            for name, member in self.node.members.items()
        )
        self.allocator = quota.Allocator(
            lead.version, now, starts_at, expected, lead.reserves
        )
        self.configure()
        self.node.exchange.announce(list(self.node.members))

    def note_restart(self, name: str, old: str, new: str) -> None:
        """Record that a new process of a member has registered.

        :param old: incarnation that was registered before.
        """
        if self.allocator is not None:
            self.allocator.replace_expected(
                clock.read(), make_identity(name, old), make_identity(name, new)
            )

    def configure(self) -> None:
        """Apply the rates of the configuration.

        The share of members that are not connected is left to them.
        """
        if self.allocator is not None and self.node.catalog is not None:
            members = len(self.node.members)
            rates = rate_limiter.compute_allocated_rates(
                self.node.catalog, members, self._connected_share
            )
            self.allocator.configure(clock.read(), rates)

    def _update_connected_share(self, now: float) -> None:
        """Divide the rates again when members connect or disconnect."""
        if self.allocator is None or not self.allocator.has_started(now):
            return
        count = len(self.node.members)
        connected = sum(
            self.member_reports.is_connected(name, now) for name in self.node.members
        )
        share = connected / count if count else 1.0
        if share != self._connected_share:
            self._connected_share = share
            self.configure()
        if self._started_at is not None:
            # Connected members used only their static shares of the rates meanwhile.
            self.allocator.credit(now, self.allocator.starts_at - self._started_at)
            self._started_at = None

    def describe_tokens(self) -> dict:
        """Return the sums of available and outstanding tokens while this node leads."""
        if self.allocator is None:
            return {}
        available, outstanding = self.allocator.sum_tokens(clock.read())
        return {
            "available": available,
            "outstanding": outstanding,
            "connected_share": self._connected_share,
        }

    def stop_leading(self) -> None:
        """Stop leading."""
        self.allocator = None

    def plan_reserves(self, now: float) -> dict[str, int]:
        """Return the reserves of rates for the next renewal, and apply them.

        The write may take effect without an acknowledgement: until one arrives, the
        reserves of both the previous write and this one are held.
        """
        if self.allocator is None or not self.allocator.has_started(now):
            return self._find_known_reserves()
        planned = self.allocator.plan_reserves(now)
        self.allocator.raise_reserves(planned)
        return planned

    def set_reserves(self, reserves: dict[str, int]) -> None:
        """Reduce the reserves to those that a renewal has stored."""
        if self.allocator is not None:
            self.allocator.set_reserves(reserves)

    def plan_last_reserves(self, now: float) -> dict[str, int]:
        """Return what remains of the rates when this node stops granting tokens."""
        if self.allocator is None or not self.allocator.has_started(now):
            return self._find_known_reserves()
        return self.allocator.plan_reserves(now, 1.0)

    def _find_known_reserves(self) -> dict[str, int]:
        """Return the stored reserves, none if a newer object may exist."""
        lead = self.node.leadership
        return lead.reserves if lead.has_current_reserves() else {}

    def handle_report(self, report: reports.Report) -> reports.LeaderResponse | None:
        """Process a report and return the response for its node.

        :returns: None while another node may lead.
        """
        now = clock.read()
        self.node.store.note_era(objects.make_version(report.era, 0))
        self.member_reports.add(report, now)
        self.node.exchange_load.count_report(
            now, report.date(0.0, self.node.incarnation)
        )
        exclusive_until = self.find_exclusive_until(now)
        if exclusive_until is None:
            return None
        # The other nodes depend on this node's watch, whose connection may be silent
        # while theirs is not.
        member_reports.apply(self.node, report)
        self._alert_witnesses(now)
        grants: list[quota.Grant] | None = None
        if self.allocator is not None:
            self._note_unregistered(report)
            identity = make_identity(report.node, report.incarnation)
            grants = self.allocator.exchange(
                now,
                identity,
                report.sequence,
                report.usages,
                self.node.aggregator.list_borrowers(report),
            )
            if grants is not None:
                self.node.exchange_load.count_grants(report.usages, grants)
            if self.allocator.needs_smaller_reserves(now):
                self.node.leadership.renew_soon(now)
        return reports.LeaderResponse(
            self.node.settings.name,
            self.node.incarnation,
            report.sent_at,
            [
                group.state
                for group in self.node.groups.values()
                if group.state is not None and group.state.is_stored
            ],
            self.node.exchange.collect_samples(now),
            grants or [],
            self.node.catalog.version if self.node.catalog else 0,
            report.sequence,
            clock.read(),
            self._list_suspects(now),
            now - exclusive_until,
            self.node.leadership.is_renewal_overdue(now),
            self.node.leadership.version,
            tuple(self.member_reports.list_full(now)),
            tuple(self.allocator.list_short_teams(now)) if self.allocator else (),
            tuple(self.node.store_mirror.list_revisions()),
            evacuations=self.node.evacuation_tasks.dump(),
        )

    def _note_unregistered(self, report: reports.Report) -> None:
        """Register a member's new process from its report: its entry may be late.

        Only a process that has received this leader's response counts; a delayed report
        of the previous process cannot have received one.
        """
        member = self.node.members.get(report.node)
        registered = member.incarnation if member is not None else ""
        if report.incarnation != registered and (
            report.echo_of == self.node.incarnation
        ):
            self.note_restart(report.node, registered, report.incarnation)

    def find_exclusive_until(self, now: float) -> float | None:
        """Return the time up to which no other node can have taken over."""
        lead = self.node.leadership
        if lead.leads(now):
            return now
        contacts = self.member_reports.list_contacts(now)
        if len(contacts) < len(self.node.members):
            return None
        exclusive_until = lead.find_exclusive_until(now, contacts)
        if (
            exclusive_until is None
            or now - exclusive_until > member_reports.REPORT_LIFETIME
        ):
            return None
        return exclusive_until

    def _list_suspects(self, now: float) -> dict[str, list[str]]:
        """Return the primaries that some node cannot reach, with their witnesses."""
        return {
            name: sorted(self._find_witnesses(name, now))
            for name in sorted(self._find_suspects(now))
        }

    def _find_suspects(self, now: float) -> set[str]:
        """Return the primaries that some node cannot reach."""
        primaries = {
            group.state.primary for group in self.node.groups.values() if group.state
        }
        return self.member_reports.find_failing(now) & primaries

    def _find_witnesses(self, endpoint: str, now: float) -> frozenset[str]:
        """Return the nodes that decide whether a primary is unreachable."""
        names = self.member_reports.list_names(now)
        return ownership.choose_witnesses(endpoint, names)

    def _alert_witnesses(self, now: float) -> None:
        """Have nodes probe a newly suspected primary immediately."""
        suspects = self._find_suspects(now)
        for name in suspects - self._suspects:
            self.node.exchange.announce(
                sorted(self._find_witnesses(name, now)), suspects=[name]
            )
        self._suspects = suspects

    # Group maintenance

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Maintain all groups until cancelled."""
        while True:
            self._update_connected_share(clock.read())
            self._resign_without_store()
            if self.leads() and self.node.catalog is not None:
                self._announce_to_silent()
                await self._remove_absent_member(clock.read())
                for name, group in list(self.node.groups.items()):
                    if name not in self._busy:
                        self._schedule_work(tasks, name, group.state)
                self.endpoint_lists.write_changed(tasks)
            await anyio.sleep(CHECK_INTERVAL)

    def _resign_without_store(self) -> None:
        """Resign when the store does not answer this node but answers others."""
        if self.allocator is None:
            return
        now = clock.read()
        lead = self.node.leadership
        if self._requests_running or not lead.is_renewal_overdue(now):
            return
        if lead.should_resign(now, self.member_reports.list_contacts(now)):
            self.note("resigned", version=self.node.leadership.version)
            self.node.exchange.announce(list(self.node.members), resigns=True)
            self.node.leadership.resign()

    def _announce_to_silent(self) -> None:
        """Announce leadership to members that do not report, in case they missed it."""
        now = clock.read()
        if now < self._announce_at:
            return
        self._announce_at = now + ANNOUNCE_INTERVAL
        self.node.exchange.announce(self.member_reports.list_silent(now))

    async def _remove_absent_member(self, now: float) -> None:
        """Remove the entry of a member that has not reported for long."""
        self._absences.note(self.member_reports.list_silent(now), now)
        for name in self._absences.list_overdue(now)[:1]:
            self._absences = membership.Absences()
            try:
                await self.node.store_writer.remove_member(name)
                self.note("member_removed", member=name)
            except errors.PlatformError as error:
                self.note("member_not_removed", member=name, reason=str(error))

    def _schedule_work(
        self,
        tasks: anyio.abc.TaskGroup,
        name: str,
        state: catalog.GroupState | None,
    ) -> None:
        now = clock.read()
        if now < self._retry_at.get(name, 0.0):
            return
        expires_at = self.find_request_expiry(name)
        work: typing.Callable[..., typing.Awaitable[None]]
        if state is None:
            if name not in self.node.catalog.groups:
                # Any writer's entry can name a group; none of its callers come here.
                return
            work = self._create
        elif not state.is_stored:
            work = self._rewrite
        elif state.phase is catalog.Phase.SEALED or self._is_lost(state, now):
            work = self._replace
        elif self._may_be_overtaken(state, now):
            work = self._verify
        elif self._is_primary_draining(state) and now >= expires_at:
            work = self._hand_over
        elif self._may_move(state, now) and now >= expires_at:
            work = self.primary_moves.run
        elif state.requested and now >= expires_at:
            work = self._forget_request
        elif self._aligned.get(name) != state.stage:
            work = self._align
        else:
            return
        self._busy.add(name)
        tasks.start_soon(self._run_work, work, name)

    async def _run_work(
        self, work: typing.Callable[[str], typing.Awaitable[None]], name: str
    ) -> None:
        try:
            await work(name)
        except Exception as error:
            # The work for one group must neither end the process nor the other groups'.
            is_expected = isinstance(
                error, errors.SardineholdError | ports.ConnectionLost
            )
            reason = str(error) if is_expected else repr(error)
            if not is_expected:
                self.node.registry.count("tasks_failed")
            self.note("work_failed", group=name, work=work.__name__, reason=reason)
            self._retry_at[name] = clock.read() + FAILURE_DELAY
        finally:
            self._busy.discard(name)

    def _is_lost(self, state: catalog.GroupState, now: float) -> bool:
        """Return whether enough nodes cannot reach a primary."""
        group = self.node.groups[state.group]
        if group.primary is None:
            # Entries that were lost during an outage of the store are soon restored.
            since = self._missing_since.setdefault(state.group, now)
            return now - since > MISSING_GRACE
        self._missing_since.pop(state.group, None)
        witnesses = self._find_witnesses(state.primary, now)
        votes = self.member_reports.list_votes(state.primary, witnesses, now)
        failing = sum(age >= SUSPECT_AFTER for age in votes)
        return promotion.is_suspect(failing, len(votes))

    def _may_be_overtaken(self, state: catalog.GroupState, now: float) -> bool:
        """Return whether another primary than the published one may exist.

        The platform executes some promotion requests late, and others promote as well.
        """
        if now < self._verified_at.get(state.group, float("-inf")) + VERIFY_INTERVAL:
            return False
        group = self.node.groups[state.group]
        return (
            group.is_overtaken()
            or any(
                endpoint.record.claims_primary and endpoint is not group.primary
                for endpoint in group.endpoints.values()
            )
            or any(
                state.group in report.overtaken
                and report.states.get(state.group) == state.stage
                for report in self.member_reports.list_current(now)
            )
        )

    def _is_primary_draining(self, state: catalog.GroupState) -> bool:
        primary = self.node.groups[state.group].primary
        if primary is None or primary.draining_since is None:
            return False
        others = self.node.groups[state.group].endpoints.values()
        return any(other.accepts_new_work() for other in others if other is not primary)

    def _may_move(self, state: catalog.GroupState, now: float) -> bool:
        """Return whether to move a primary out of an evacuated zone.

        Replicas are aligned first: one that is paused cannot catch up. One attempt must
        do, since an endpoint that cannot be reached must not hold the move up.
        """
        was_tried = state.stage in (
            self._aligned.get(state.group),
            self._align_tried.get(state.group),
        )
        return was_tried and self.primary_moves.is_due(state, now)

    async def _create(self, name: str) -> None:
        """Find the primary of a group that has no state in the store."""
        unread: dict[str, str] = {}
        found: dict[str, ports.LogStatus] = {}
        for record in self.list_records(name):
            reason, status = await failover.query(
                self, record, failover.read_log_status
            )
            if reason:
                unread[record.name] = reason
            if status is not None:
                found[record.name] = status
        primary = promotion.find_primary(found)
        if primary:
            term = found[primary].term
            state = catalog.GroupState(
                name,
                term,
                primary,
                catalog.Phase.SERVING,
                objects.make_version(self.node.store.era, 0),
            )
            await self.write_state(state)
            self.note("created", group=name, term=term, primary=primary)
            return
        self.note("not_created", group=name, unread=unread)
        self._retry_at[name] = clock.read() + CREATE_DELAY

    async def _rewrite(self, name: str) -> None:
        """Write a state that the store lost, or holds from before a restore.

        A process that started after the restore may know no later state than the store:
        the endpoints have to confirm it.
        """
        state = self.find_state(name)
        if state.phase is catalog.Phase.SERVING:
            try:
                if await failover.find_later_term(self, name, state):
                    await self._replace(name)
                    return
            except errors.PlatformUnavailable:
                if not self.node.store.remembers_earlier_era():
                    await self._replace(name)
                    return
        state = self.find_state(name)
        await self.write_state(state)
        self.note("rewritten", group=name, term=state.term, primary=state.primary)

    async def _replace(self, name: str) -> None:
        await self._run_procedure(name, planned=False)

    async def _hand_over(self, name: str) -> None:
        await self._run_procedure(name, planned=True)

    async def move_primary(self, name: str, is_planned: bool) -> None:
        """Replace a primary in an evacuated zone.

        :param is_planned: whether it still works.
        """
        await self._run_procedure(name, is_planned)

    async def _run_procedure(self, name: str, planned: bool) -> None:
        await self._make_procedure(name, planned).run()

    def _make_procedure(self, name: str, planned: bool) -> failover.Failover:
        config = self.node.catalog.groups.get(name)
        sync = config.sync_replicas if config is not None else 1
        return failover.Failover(self, name, sync, planned)

    async def _verify(self, name: str) -> None:
        """Find a primary of a later term than the published one, and act on it.

        If there is none and the published one is a replica, it is replaced.
        """
        self._verified_at[name] = clock.read()
        state = self.find_state(name)
        statuses = await failover.read_statuses(self, name)
        later = promotion.find_later_primary(statuses, state)
        if not later:
            published = statuses.get(state.primary)
            if published is not None and not published.is_primary:
                self.note("primary_lost", group=name, primary=state.primary)
                await self._replace(name)
            return
        self.note(
            "unexpected_primary",
            group=name,
            term=statuses[later].term,
            primary=later,
            published=state.primary,
        )
        procedure = self._make_procedure(name, planned=False)
        if promotion.has_more_commits(statuses, state, later):
            await procedure.reinstate()
        else:
            await procedure.run()

    async def _forget_request(self, name: str) -> None:
        """Store that no promotion request can be executed any more."""
        state = self.find_state(name)
        await self.write_state(state.forget_request())

    async def _align(self, name: str) -> None:
        """Configure replication from a primary that another leader promoted."""
        state = self.find_state(name)
        if state is not None:
            self._align_tried[name] = state.stage
        if state is not None and await failover.reconcile(self, name, state):
            self._aligned[name] = state.stage
        else:
            self._retry_at[name] = clock.read() + FAILURE_DELAY

    # Interface of the failover procedure

    def leads(self) -> bool:
        """Return whether this node may act as the leader."""
        return not self.node.is_stopping and self.node.leadership.leads(clock.read())

    def list_records(self, group: str) -> list[catalog.EndpointRecord]:
        """Return the records of a group's endpoints, which may hold a log."""
        found = self.node.groups.get(group)
        return [item.record for item in found.endpoints.values()] if found else []

    async def refresh_records(self) -> None:
        """Read the endpoints' records from the store; see :class:`failover.Fleet`."""
        sent_at = clock.read()
        await self.node.store_mirror.endpoints.step(relist=True)
        if self.node.store_mirror.endpoints.listed_at < sent_at:
            raise errors.PlatformUnavailable(
                "The store did not list the endpoints.", "The failover restarts."
            )

    def is_evacuated(self, record: catalog.EndpointRecord) -> bool:
        """Return whether an endpoint's availability zone is evacuated."""
        return self.primary_moves.is_evacuated(record)

    def find_preferred(self, group: str) -> frozenset[str]:
        """Return the endpoints in a region that all restricting routes allow."""
        found = self.node.catalog
        if found is None:
            return frozenset()
        regions = residency.find_common(found.routes.values(), group)
        find_region = self.node.settings.find_region
        return frozenset(
            record.name
            for record in self.list_records(group)
            if find_region(record.zone) in regions
        )

    def find_state(self, group: str) -> catalog.GroupState | None:
        """Return the group's state as stored."""
        return self.node.groups[group].state

    async def write_state(self, state: catalog.GroupState) -> catalog.GroupState:
        """Write a state if the stored version is the one it was derived from."""
        return await self.node.store_writer.write_state(state)

    def is_seal_known(self, group: str, stage: catalog.Stage) -> bool:
        """Return whether every node has stopped using the old primary."""
        return self.member_reports.is_seal_known(group, stage)

    def collect_statements(self, group: str, since: float) -> member_reports.Statements:
        """Return what the members state that they told; see MemberReports."""
        return self.member_reports.collect_statements(group, since)

    def find_replicated(self, group: str) -> positions.Position:
        """Return what replicas have received in the group's term, as far as known."""
        return self.member_reports.find_replicated(group)

    def record_frozen(self, group: str, position: positions.Position | None) -> None:
        """Allow reads on replicas, or end that; see :class:`failover.Fleet`."""
        self.node.groups[group].frozen = position

    def find_sealed_at(self, group: str) -> float:
        """Return when this node learned that a group was sealed."""
        return self.node.groups[group].commits.sealed_at

    def find_lease_expiry(self, group: str) -> float:
        """Return when all leases on the primary of a sealed group have expired."""
        sealed_at = self.find_sealed_at(group)
        return sealed_at + primary_lease.LEASE * (1 + 2 * clock.RATE_MARGIN)

    def find_request_expiry(self, group: str) -> float:
        """Return when no promotion request can be executed any more."""
        return self.node.groups[group].find_request_expiry()

    def find_restarted(self, group: str, end: positions.Position) -> frozenset[str]:
        """Return the endpoints that may have lost commits when they restarted."""
        return self.node.groups[group].find_restarted(end)

    def count_departed(self, group: str, primary: str) -> int:
        """Return how many replicas left recently and may have had the only copy."""
        found = self.node.groups[group]
        return endpoint_lists.count_departed(found, primary, clock.read())

    def notify_nodes(self) -> None:
        """Send the state to all nodes without delay, through their aggregators."""
        now = clock.read()
        reporting = [report.node for report in self.member_reports.list_current(now)]
        self.node.exchange.announce(
            [self.node.settings.name, *reporting, *self.member_reports.list_silent(now)]
        )

    async def open_control(self, record: catalog.EndpointRecord) -> ports.Connection:
        """Open a connection to query and control an endpoint's log."""
        deadline = clock.read() + failover.QUERY_TIMEOUT
        try:
            return await self.node.connector.open(record, groups.PROBE_TEAM, deadline)
        except ports.OpeningFailed as error:
            if error.failure is statements.Failure.CONNECTION_LIMIT:
                self._relieve(record)
            raise

    def _relieve(self, record: catalog.EndpointRecord) -> None:
        """Have all nodes close idle connections to an endpoint at its limit."""
        endpoint = self.node.groups[record.group].endpoints.get(record.name)
        if endpoint is not None:
            endpoint.record_limit_reached(
                clock.read(), jitter.spread(pool.LIMIT_RETRY_DELAY)
            )

    def count_failed_query(self, endpoint: str, reason: str) -> None:
        """Count a query about an endpoint's log without an answer."""
        self.node.registry.count(
            metrics.label_name(
                "control_queries_failed", endpoint=endpoint, reason=reason
            )
        )

    async def request_promotion(self, group: str, endpoint: str) -> None:
        """Request the promotion of an endpoint; see :class:`ports.Duty`.

        The fencing token is the version with which this node took the lead, the same
        for all groups: requests that overtake each other do not lower it.

        :raises sardinehold.errors.PlatformError: this node leads for too short a time.
        """
        holder = self.node.settings.name
        lead = self.node.leadership
        deadline = clock.read() + REQUEST_TIMEOUT
        while lead.leads_until < deadline or self._has_older_request():
            if not self.leads():
                raise errors.PlatformError(
                    "This node is no longer the leader.", "The next leader continues."
                )
            await anyio.sleep(LEAD_CHECK_INTERVAL)
            deadline = clock.read() + REQUEST_TIMEOUT
        lead_left = lead.leads_until - clock.read()
        token = self._request_token = lead.acquired_version
        self.note(
            "request", group=group, target=endpoint, token=token, lead_left=lead_left
        )
        self._requests_running += 1
        try:
            await self.node.duty.promote(group, endpoint, holder, token, deadline)
        finally:
            self._requests_running -= 1
            self.node.groups[group].record_request(clock.read())

    def _has_older_request(self) -> bool:
        """Return whether a request with the token of an earlier lead is on its way."""
        is_older = self._request_token != self.node.leadership.acquired_version
        return bool(self._requests_running) and is_older

    async def finish_requests(self) -> None:
        """Wait until no promotion request is on its way."""
        while self._requests_running:
            await anyio.sleep(LEAD_CHECK_INTERVAL)

    def note(self, event: str, **fields: object) -> None:
        """Log a step of a change of primary."""
        self.node.journal.note(f"failover_{event}", **fields)
