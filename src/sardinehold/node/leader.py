"""What the leader does for the fleet: changes of primary, and moving tokens."""

import typing

import anyio

from sardinehold import errors
from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import failover
from sardinehold.node import groups
from sardinehold.node import member_reports
from sardinehold.node import membership
from sardinehold.node import ownership
from sardinehold.node import ports
from sardinehold.node import promotion
from sardinehold.node import rate_limiter
from sardinehold.node import reports

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

SUSPECT_AFTER = 0.3
"""Seconds for which a primary must be out of reach before it counts as failing: a
new connection that failed and another attempt."""

CHECK_INTERVAL = 0.1
"""Seconds between looks at the groups."""

MISSING_GRACE = 2.5
"""Seconds for which a primary without an entry is waited for: entries that were lost
with the store are back within two."""

DEPARTED_RETENTION = 60.0
"""Seconds for which an endpoint that left counts as one that may have had the only
copy of a commit: longer than any replica was seen to be behind."""

ANNOUNCE_INTERVAL = 0.5
"""Seconds between calls to members that do not report."""

CREATE_DELAY = 0.3
"""Seconds between attempts to find out who leads a group that has no state."""

FAILURE_DELAY = 0.5
"""Seconds before a change of primary that failed starts anew."""


def make_identity(name: str, incarnation: str) -> str:
    """Return what tells a member's process from those before and after it."""
    return f"{name}/{incarnation}"


class Leader:
    """Acts for the fleet while its node leads.

    :param node: the node that leads.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Start with nothing heard."""
        self.node = node
        self.member_reports = member_reports.MemberReports(node)
        self.allocator: quota.Allocator | None = None
        self._busy: set[str] = set()
        self._retry_at: dict[str, float] = {}
        self._aligned: dict[str, int] = {}
        self._announce_at = 0.0
        self._connected_share = 1.0
        self._missing_since: dict[str, float] = {}
        self._absences = membership.Absences()
        self._suspects: set[str] = set()
        self._started_at: float | None = None

    # Reports and advice

    def start_leading(self) -> None:
        """Start to lead; tokens of the leader before must lapse first."""
        now = clock.read()
        self._connected_share = 1.0
        self._started_at = now
        self._absences = membership.Absences()
        margin = 1 + 2 * clock.RATE_MARGIN
        lead = self.node.leadership
        predecessor_until = lead.predecessor_until
        if not lead.has_resigned:
            # The leader before may have gone on by what this node reported.
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
        """Take note that another process of a member has entered.

        :param old: incarnation that was entered before.
        """
        if self.allocator is not None:
            self.allocator.replace_expected(
                clock.read(), make_identity(name, old), make_identity(name, new)
            )

    def configure(self) -> None:
        """Put the rates of the configuration in force.

        The part of members that are not in touch is left to them.
        """
        if self.allocator is not None and self.node.catalog is not None:
            members = len(self.node.members)
            rates = rate_limiter.compute_allocated_rates(
                self.node.catalog, members, self._connected_share
            )
            self.allocator.configure(clock.read(), rates)

    def _update_connected_share(self, now: float) -> None:
        """Divide the rates anew when members come in touch or lose it."""
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
            # Members in touch spent nothing of the rates but their own parts meanwhile.
            self.allocator.credit(now, self.allocator.starts_at - self._started_at)
            self._started_at = None

    def stop_leading(self) -> None:
        """Stop to lead."""
        self.allocator = None

    def plan_reserves(self, now: float) -> dict[str, int]:
        """Return what the next renewal says is kept of the rates, and keep it.

        The write may take effect without an answer: until one comes, what was
        written before and what is written now are both kept.
        """
        if self.allocator is None or not self.allocator.has_started(now):
            return self._find_known_reserves()
        planned = self.allocator.plan_reserves(now)
        self.allocator.raise_reserves(planned)
        return planned

    def set_reserves(self, reserves: dict[str, int]) -> None:
        """Keep no more than what a renewal has written down."""
        if self.allocator is not None:
            self.allocator.set_reserves(reserves)

    def plan_last_reserves(self, now: float) -> dict[str, int]:
        """Return what is left of the rates once this node grants no more."""
        if self.allocator is None or not self.allocator.has_started(now):
            return self._find_known_reserves()
        return self.allocator.plan_reserves(now, 1.0)

    def _find_known_reserves(self) -> dict[str, int]:
        """Return the reserves that the object names, none if a newer one may exist."""
        lead = self.node.leadership
        return lead.reserves if lead.has_current_reserves() else {}

    def handle_report(self, report: reports.Report) -> reports.Advice | None:
        """Take a report and return the advice for its node.

        :returns: None while another node may lead.
        """
        now = clock.read()
        self.member_reports.add(report, now)
        exclusive_until = self.find_exclusive_until(now)
        if exclusive_until is None:
            return None
        self._apply_positions(report)
        # The others rely on this node's watch, which may be silent while theirs is not.
        self.node.exchange.fetch_newer_catalog(report.node, report.catalog_version)
        self._alert_witnesses(now)
        grants: list[quota.Grant] | None = None
        if self.allocator is not None:
            self._note_unregistered(report)
            identity = make_identity(report.node, report.incarnation)
            grants = self.allocator.exchange(
                now, identity, report.sequence, report.usages
            )
            if self.allocator.needs_smaller_reserves(now):
                self.node.leadership.renew_soon(now)
        return reports.Advice(
            self.node.settings.name,
            self.node.incarnation,
            report.sent_at,
            [group.state for group in self.node.groups.values() if group.state],
            self.node.exchange.collect_samples(now),
            grants or [],
            self.node.catalog.version if self.node.catalog else 0,
            report.sequence,
            clock.read(),
            self._list_suspects(report, now),
            now - exclusive_until,
            self.node.leadership.is_renewal_overdue(now),
            self.node.leadership.version,
            tuple(self.member_reports.list_full(now)),
            tuple(self.allocator.list_short_teams(now)) if self.allocator else (),
            tuple(self.node.store_mirror.list_revisions()),
        )

    def _note_unregistered(self, report: reports.Report) -> None:
        """Take a member's new process from its report: its entry may be late.

        Only a process that had this leader's advice counts, which a late report of
        the process before it cannot have had.
        """
        member = self.node.members.get(report.node)
        registered = member.incarnation if member is not None else ""
        if report.incarnation != registered and (
            report.echo_of == self.node.incarnation
        ):
            self.note_restart(report.node, registered, report.incarnation)

    def find_exclusive_until(self, now: float) -> float | None:
        """Return the instant up to which no other node can have taken over."""
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

    def _apply_positions(self, report: reports.Report) -> None:
        """Take what another node knows of the primaries' logs."""
        for name, (age, position) in report.samples.items():
            group = self.node.groups.get(name)
            asked = report.date(age, self.node.incarnation)
            if group is None or group.state is None or asked is None:
                continue
            if report.states.get(name) == group.state.version:
                group.note_position(asked, position)

    def _list_suspects(self, report: reports.Report, now: float) -> list[str]:
        """Return the primaries that a node is asked to look at."""
        return sorted(
            name
            for name in self._find_suspects(now)
            if report.node in self._find_witnesses(name, now)
        )

    def _find_suspects(self, now: float) -> set[str]:
        """Return the primaries that some node cannot reach."""
        primaries = {
            group.state.primary for group in self.node.groups.values() if group.state
        }
        return self.member_reports.find_failing(now) & primaries

    def _find_witnesses(self, endpoint: str, now: float) -> frozenset[str]:
        """Return the nodes that decide whether a primary is out of reach."""
        names = {report.node for report in self.member_reports.list_current(now)}
        return ownership.choose_witnesses(endpoint, names)

    def _alert_witnesses(self, now: float) -> None:
        """Have nodes look at once at a primary that was not suspected before."""
        suspects = self._find_suspects(now)
        for name in suspects - self._suspects:
            self.node.exchange.announce(sorted(self._find_witnesses(name, now)))
        self._suspects = suspects

    # Looking after the groups

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Look after all groups until cancelled."""
        while True:
            self._update_connected_share(clock.read())
            self._resign_if_cut_off()
            if self.leads() and self.node.catalog is not None:
                self._announce_to_silent()
                await self._remove_absent_member(clock.read())
                for name, group in list(self.node.groups.items()):
                    if name not in self._busy:
                        self._schedule_work(tasks, name, group.state)
            await anyio.sleep(CHECK_INTERVAL)

    def _resign_if_cut_off(self) -> None:
        """Make way when the store refuses this node and answers others."""
        if self.allocator is None:
            return
        now = clock.read()
        if self.node.leadership.should_resign(
            now, self.member_reports.list_contacts(now)
        ):
            self.note("resigned", version=self.node.leadership.version)
            self.node.exchange.announce(list(self.node.members), resigns=True)
            self.node.leadership.resign()

    def _announce_to_silent(self) -> None:
        """Call members that do not report: they may not know who leads."""
        now = clock.read()
        if now < self._announce_at:
            return
        self._announce_at = now + ANNOUNCE_INTERVAL
        self.node.exchange.announce(self.member_reports.list_silent(now))

    async def _remove_absent_member(self, now: float) -> None:
        """Remove the entry of a member that has long not been heard."""
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
        work: typing.Callable[..., typing.Awaitable[None]]
        if state is None:
            work = self._create
        elif state.phase is catalog.Phase.SEALED or self._is_lost(state, now):
            work = self._replace
        elif self._is_primary_draining(state):
            work = self._hand_over
        elif self._aligned.get(name) != state.version:
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
        except (errors.SardineholdError, ports.ConnectionLost) as error:
            self.note("work_failed", group=name, work=work.__name__, reason=str(error))
            self._retry_at[name] = clock.read() + FAILURE_DELAY
        finally:
            self._busy.discard(name)

    def _is_lost(self, state: catalog.GroupState, now: float) -> bool:
        """Return whether enough nodes cannot reach a primary."""
        group = self.node.groups[state.group]
        if group.primary is None:
            # Entries that lapsed while the store was away come back soon.
            since = self._missing_since.setdefault(state.group, now)
            return now - since > MISSING_GRACE
        self._missing_since.pop(state.group, None)
        witnesses = self._find_witnesses(state.primary, now)
        voters = [
            report
            for report in self.member_reports.list_current(now)
            if report.node in witnesses or state.primary in report.failing
        ]
        failing = sum(
            report.failing.get(state.primary, 0.0) >= SUSPECT_AFTER for report in voters
        )
        return promotion.is_suspect(failing, len(voters))

    def _is_primary_draining(self, state: catalog.GroupState) -> bool:
        primary = self.node.groups[state.group].primary
        if primary is None or primary.leaving_since is None:
            return False
        others = self.node.groups[state.group].endpoints.values()
        return any(other.takes_new_work() for other in others if other is not primary)

    async def _create(self, name: str) -> None:
        """Find out who leads a group that the store knows nothing of."""
        unread: dict[str, str] = {}
        for record in self.list_records(name):
            reason, status = await failover.ask(self, record, failover.read_log_status)
            if reason:
                unread[record.name] = reason
            if status is not None and status.is_primary:
                state = catalog.GroupState(
                    name, status.term, record.name, catalog.Phase.SERVING
                )
                await self.write_state(state)
                self.note("created", group=name, term=status.term, primary=record.name)
                return
        self.note("not_created", group=name, unread=unread)
        self._retry_at[name] = clock.read() + CREATE_DELAY

    async def _replace(self, name: str) -> None:
        await self._run_procedure(name, planned=False)

    async def _hand_over(self, name: str) -> None:
        await self._run_procedure(name, planned=True)

    async def _run_procedure(self, name: str, planned: bool) -> None:
        config = self.node.catalog.groups.get(name)
        sync = config.sync_replicas if config is not None else 1
        await failover.Procedure(self, name, sync, planned).run()

    async def _align(self, name: str) -> None:
        """Bring the others behind a primary that this leader did not put in force."""
        state = self.find_state(name)
        if state is not None and await failover.align(self, name, state):
            self._aligned[name] = state.version
        else:
            self._retry_at[name] = clock.read() + FAILURE_DELAY

    # What the procedure needs

    def leads(self) -> bool:
        """Return whether this node may still act."""
        return self.node.leadership.leads(clock.read())

    def list_records(self, group: str) -> list[catalog.EndpointRecord]:
        """Return the endpoints of a group that may hold a log."""
        found = self.node.groups.get(group)
        return [item.record for item in found.endpoints.values()] if found else []

    def find_state(self, group: str) -> catalog.GroupState | None:
        """Return the group's state as the store has it."""
        return self.node.groups[group].state

    async def write_state(self, state: catalog.GroupState) -> catalog.GroupState:
        """Store a state if the one it came from is still there."""
        return await self.node.store_writer.write_state(state)

    def is_seal_known(self, group: str, version: int) -> bool:
        """Return whether every node has given up the old primary."""
        return self.member_reports.is_seal_known(group, version)

    def find_acknowledged(self, group: str, since: float) -> positions.Position | None:
        """Return the newest commit that callers were told of, None if unsure."""
        return self.member_reports.find_acknowledged(group, since)

    def note_frozen(self, group: str, position: positions.Position) -> None:
        """Let reads go on at replicas: nothing beyond a position is acknowledged."""
        self.node.groups[group].frozen = position

    def count_departed(self, group: str, primary: str) -> int:
        """Return how many replicas left of late, perhaps with the one copy."""
        now = clock.read()
        gone = self.node.groups[group].gone
        return sum(
            now - at < DEPARTED_RETENTION
            for name, at in gone.items()
            if name != primary
        )

    def notify_nodes(self) -> None:
        """Tell all nodes of the state without delay."""
        self.node.exchange.announce(list(self.node.members))

    async def open_control(self, record: catalog.EndpointRecord) -> ports.Connection:
        """Open a connection for questions about the log."""
        return await self.node.connector.open(
            record, groups.PROBE_TEAM, clock.read() + failover.ASK_TIMEOUT
        )

    async def order_promotion(self, group: str, endpoint: str, token: int) -> None:
        """Order an endpoint to lead."""
        holder = self.node.settings.name
        await self.node.duty.promote(group, endpoint, holder, token)

    def note(self, event: str, **fields: object) -> None:
        """Write a line about a step."""
        self.node.journal.note(f"failover_{event}", **fields)
