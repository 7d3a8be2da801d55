"""One node: what it knows, whom it serves, and how it keeps in step.

The daemon of an adapter makes a :class:`Node`, hands it the ports, and runs it.
"""

import random
import secrets
import typing
import zlib

import anyio
import anyio.abc

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold.core import positions
from sardinehold.core import quota
from sardinehold.node import budget
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import groups
from sardinehold.node import hedging
from sardinehold.node import journal
from sardinehold.node import leader
from sardinehold.node import leadership
from sardinehold.node import peers
from sardinehold.node import ports
from sardinehold.node import reports
from sardinehold.node import session as sessions
from sardinehold.node import settings
from sardinehold.node import statements
from sardinehold.node import watching

FLEET_KIND = "sardinehold"
"""Kind of the fleet's own objects in the store: groups, members, the secret."""

LEADER_KIND = "sardinehold-leader"
"""Kind of the leader's object, apart because it changes all the time: nodes that
hear the leader need not follow it."""

GROUP_PREFIX = "group."
MEMBER_PREFIX = "member."
SECRET_NAME = "secret"

REPORT_INTERVAL = 0.4
"""Seconds between reports to the leader; three of them fit into a lease."""

REPORT_LEAST = 0.03
"""Seconds between two reports at least, so that urgent ones are sent together."""

EMPTY_PAUSE = 0.15
"""Seconds before the allocator is asked again that had no tokens left."""

EXCHANGE_LIMIT = 0.3
"""Seconds after which an exchange with the allocator counts as lost."""

ADVISED_WITHIN = 0.9
"""Seconds after which a node without advice dates its lease by the store: two
reports were lost, or there is no leader."""

ALONE_AFTER = 1.5
"""Seconds without advice after which a node takes an even part of the whole rates;
longer than the leader takes to leave that part to it."""

TEND_INTERVAL = 0.05
"""Seconds between looks at resting transactions and silent endpoints."""

PROBE_AFTER = 0.5
"""Seconds without an answer after which an endpoint is asked by a new connection;
longer than a queue in front of its slots."""

PROBE_AGAIN = 0.4
"""Seconds between such questions to an endpoint that is out of reach."""

GONE_GRACE = 2.5
"""Seconds after which an endpoint without an entry is forgotten: entries that were
lost with the store are back within two."""

SECRET_BYTES = 32

VOUCH_AGE = 0.8
"""Seconds since the last answer of the store from which a report may let a leader
without the store go on; longer than a short watch."""

LEAD_TIMEOUT = 0.6
"""Seconds that a renewal may take before it is tried over another connection: a store
that is slow answers within a quarter of a second."""

STORE_ASK_INTERVAL = 0.8
"""Seconds between two questions to the store for a leader that it does not answer."""

STORE_RETRY = 0.3
"""Seconds between attempts to write an object of this node."""


class Caller(typing.Protocol):
    """A caller's connection, as the adapter holds it."""

    session: sessions.Session | None

    def is_resting(self) -> bool:
        """Return whether nothing is open or outstanding."""

    def close(self) -> None:
        """Close a session at rest."""


class Sources(typing.Protocol):
    """How the adapter finds configuration and endpoints in the store."""

    configuration_kind: str
    configuration_name: str
    endpoint_kind: str

    def parse_catalog(self, value: object) -> catalog.Catalog:
        """Return a configuration; raises DocumentError."""

    def parse_endpoint(self, name: str, value: object) -> catalog.EndpointRecord | None:
        """Return an endpoint's record, None if the entry is not one."""


class Node:
    """One node of the fleet.

    :param loaded: its settings.
    :param tasks: where its tasks run.
    """

    def __init__(
        self,
        loaded: settings.Settings,
        store: ports.Store,
        connector: ports.Connector,
        duty: ports.Duty,
        sources: Sources,
        tasks: anyio.abc.TaskGroup,
        registry: metrics.Registry,
    ) -> None:
        """Start with nothing known."""
        self.settings = loaded
        self.store = store
        self.connector = connector
        self.duty = duty
        self.sources = sources
        self.registry = registry
        self.journal = journal.Journal(loaded.name, registry)
        self.incarnation = secrets.token_hex(4)
        self.catalog: catalog.Catalog | None = None
        self._stored_catalog: object = None
        self.groups: dict[str, groups.Group] = {}
        self.members: dict[str, dict] = {}
        self.callers: set[Caller] = set()
        self.budget = budget.Budget(loaded, self.report_soon)
        self.leadership = leadership.Leadership(
            loaded.name, self.incarnation, random.random()
        )
        self.leader = leader.Leader(self)
        self.hedges = hedging.Allowance()
        self.peers = peers.Peers(self._hear)
        self.is_stopping = False
        self.advised_at = float("-inf")
        self._tasks = tasks
        self._versions: dict[str, int] = {}
        self._exchange = 0
        self._wrote_at = float("-inf")
        self._started_at = clock.read()
        self.vouched_at = float("-inf")
        self._asked_store_at = float("-inf")
        self._exchange_until = float("-inf")
        self._empty_until = float("-inf")
        self._failing: set[str] = set()
        self._report_now = anyio.Event()
        self._last_advice: reports.Advice | None = None
        self._last_advice_at = 0.0
        self._is_leading = False
        self._store_state: dict[str, bool] = {}
        self._watchers = [
            self._watch(
                sources.configuration_kind, self._list_config, self._change_config
            ),
            self._watch(
                sources.endpoint_kind, self._list_endpoints, self._change_endpoints
            ),
            self._watch(FLEET_KIND, self._list_fleet, self._change_fleet),
        ]
        self._leader_watcher = self._watch(
            LEADER_KIND, self._list_leader, self._change_leader
        )

    def _watch(
        self, kind: str, take_all: typing.Callable, take_changes: typing.Callable
    ) -> watching.Watcher:
        return watching.Watcher(
            self.store, kind, take_all, take_changes, self._find_wait, self._note_store
        )

    def spawn(self, function: typing.Callable, *arguments: object) -> None:
        """Run a task of the node; its failure ends no other."""
        self._tasks.start_soon(self._guard, function, *arguments)

    async def _guard(self, function: typing.Callable, *arguments: object) -> None:
        try:
            await function(*arguments)
        except Exception as error:
            self.registry.count("tasks_failed")
            self.journal.note(
                "task_failed", task=function.__qualname__, reason=repr(error)
            )

    async def run(self) -> None:
        """Keep in step with the fleet until cancelled."""
        async with anyio.create_task_group() as tasks:
            for watcher in self._watchers:
                tasks.start_soon(watcher.run)
            tasks.start_soon(self._follow_leader)
            tasks.start_soon(self._keep_member)
            tasks.start_soon(self._keep_lead)
            tasks.start_soon(self._keep_reporting)
            tasks.start_soon(self._tend)
            tasks.start_soon(self.leader.run, tasks)

    # Serving

    def is_ready(self) -> bool:
        """Return whether new callers can be served."""
        return (
            not self.is_stopping
            and self.catalog is not None
            and any(group.state is not None for group in self.groups.values())
        )

    async def serve(
        self, session: sessions.Session, statement: statements.Statement
    ) -> statements.Answer:
        """Run a caller's statement."""
        began = clock.read()
        answer = await session.handle(statement)
        seconds = clock.read() - began
        outcome = answer.error.value if answer.error is not None else "success"
        self.registry.observe(metrics.label_name("statement", outcome=outcome), seconds)
        if answer.error is not None:
            self.journal.note(
                "failed",
                request=statement.request_id,
                kind=statement.kind.value,
                route=session.route_name,
                outcome=outcome,
                reason=answer.detail,
                seconds=seconds,
                catalog=self.catalog.version if self.catalog else 0,
                **session.trace.describe(),
            )
        elif answer.signature != sessions.LOCAL_SIGNATURE:
            self.journal.note_ordinary(
                "served",
                request=statement.request_id,
                kind=statement.kind.value,
                route=session.route_name,
                seconds=seconds,
                **session.trace.describe(),
            )
        return answer

    async def spend(self, team: str, deadline: float) -> None:
        """Spend one operation of a team's rate.

        :raises sardinehold.node.session.Failed: the team has used it.
        """
        try:
            await self.budget.spend(team, deadline)
        except budget.OverRate as error:
            raise sessions.Failed(
                statements.Failure.BUSY,
                f"{error}; come back after {int(error.retry_after * 1000)} ms",
            ) from error

    def note_refused_start(self, route: str, error: sessions.Failed) -> None:
        """Write a line about a caller that was not let in."""
        self.journal.note(
            "start_refused",
            route=route,
            outcome=error.failure.value,
            catalog=self.catalog.version if self.catalog else 0,
        )

    def note_rest(self, caller: Caller) -> None:
        """Close a session that has come to rest while the node stops."""
        if self.is_stopping and self._closes_sessions and caller.is_resting():
            caller.close()

    def find_group(self, name: str) -> groups.Group:
        """Return the group, made when it is first used."""
        group = self.groups.get(name)
        if group is None:
            group = groups.Group(
                name,
                self.connector,
                self.spawn,
                self.settings.measure_distance,
                self.settings.endpoint_drain,
            )
            self.groups[name] = group
        return group

    async def refresh(self, group: groups.Group) -> None:
        """Ask the store who leads: an endpoint said that it does not."""
        self._watchers[2].hurry()

    # Stopping

    _closes_sessions = False

    def begin_stop(self) -> None:
        """Be no longer ready; hand on the lead."""
        self.is_stopping = True
        if self.leadership.leads(clock.read()):
            self.leadership.resign()
            self.spawn(self._write_farewell)

    async def _write_farewell(self) -> None:
        lead = self.leadership
        await self.store.update(
            LEADER_KIND, leadership.NAME, lead.make_farewell(), lead.version
        )

    def close_resting(self) -> None:
        """Close all sessions at rest, now and as they come to rest."""
        self._closes_sessions = True
        for caller in list(self.callers):
            if caller.is_resting():
                caller.close()

    def abandon_transactions(self) -> None:
        """Roll back the transactions that rest; their callers are told."""
        for caller in list(self.callers):
            session = caller.session
            if session is not None and session.transaction and not session.is_busy:
                session.abandon()

    # What the store says

    def _find_wait(self) -> float:
        return watching.LONG_WAIT if self._is_advised() else watching.SHORT_WAIT

    def _note_store(self, kind: str, is_up: bool, reason: str) -> None:
        if self._store_state.get(kind) is is_up:
            return
        self._store_state[kind] = is_up
        event = "store_regained" if is_up else "store_lost"
        self.journal.note(event, kind=kind, reason=reason)

    def _list_config(self, changes: objects.Changes, asked: float) -> None:
        self._change_config(changes, asked)

    def _change_config(self, changes: objects.Changes, asked: float) -> None:
        for stored in changes.objects:
            if stored.name == self.sources.configuration_name and stored.value:
                self._read_catalog(stored.value, "store")

    def _read_catalog(self, value: object, source: str) -> None:
        try:
            found = self.sources.parse_catalog(value)
        except errors.DocumentError as error:
            self.journal.note("configuration_refused", reason=str(error), source=source)
            return
        if self.catalog is None or found.version > self.catalog.version:
            self._stored_catalog = value
            self.take_catalog(found, source)

    def take_catalog(self, found: catalog.Catalog, source: str) -> None:
        """Put a newer configuration in force.

        :param source: where it came from, ``store`` or ``leader``.
        """
        before, self.catalog = self.catalog, found
        self.journal.note(
            "configuration",
            version=found.version,
            source=source,
            routes=len(found.routes),
            keys=len(found.owners),
            rates=catalog.find_new_rates(before, found),
        )
        for name, config in found.groups.items():
            self.find_group(name).config = config
        self._update_shares()
        self.leader.configure()

    def _list_endpoints(self, changes: objects.Changes, asked: float) -> None:
        now = clock.read()
        names = {stored.name for stored in changes.objects}
        for group in self.groups.values():
            for name in group.endpoints.keys() - names:
                self._note_endpoint("endpoint_missing", name, group.name)
                group.drop_record(name, now)
        self._change_endpoints(changes, asked)

    def _change_endpoints(self, changes: objects.Changes, asked: float) -> None:
        now = clock.read()
        for stored in changes.objects:
            if stored.value is None:
                for group in self.groups.values():
                    if stored.name in group.endpoints:
                        self._note_endpoint("endpoint_missing", stored.name, group.name)
                    group.drop_record(stored.name, now)
                continue
            record = self.sources.parse_endpoint(stored.name, stored.value)
            if record is None:
                continue
            group = self.find_group(record.group)
            known = group.endpoints.get(record.name)
            if known is None or _has_changed(known.record, record):
                self._note_endpoint(
                    "endpoint",
                    record.name,
                    record.group,
                    draining=record.is_draining,
                    primary=record.says_primary,
                    born=record.born,
                )
            group.take_record(record, now)
        self._update_shares()

    def _note_endpoint(
        self, event: str, name: str, group: str, **fields: object
    ) -> None:
        self.journal.note(event, endpoint=name, group=group, **fields)

    def _list_fleet(self, changes: objects.Changes, asked: float) -> None:
        names = {stored.name for stored in changes.objects}
        listed = {f"{MEMBER_PREFIX}{name}" for name in self.members} - names
        for name in listed:
            self.members.pop(name.removeprefix(MEMBER_PREFIX), None)
        self._change_fleet(changes, asked)

    def _change_fleet(self, changes: objects.Changes, asked: float) -> None:
        for stored in changes.objects:
            if stored.name == SECRET_NAME and stored.value:
                self.peers.key = bytes.fromhex(stored.value["key"])
            elif stored.name.startswith(MEMBER_PREFIX):
                self._take_member(stored)
            elif stored.name.startswith(GROUP_PREFIX) and stored.value:
                self._take_state(stored)
        for group in self.groups.values():
            state = group.state
            if state is not None and state.phase is catalog.Phase.SERVING:
                group.evidence.confirm(asked)
                group.pump()

    async def _follow_leader(self) -> None:
        """Follow the leader's object while nothing is heard of the leader."""
        while True:
            if self._is_advised() and self.leadership.is_known:
                await anyio.sleep(TEND_INTERVAL)
            else:
                await self._leader_watcher.step()
                await anyio.sleep(0)

    def _list_leader(self, changes: objects.Changes, asked: float) -> None:
        found = [item for item in changes.objects if item.name == leadership.NAME]
        self.leadership.observe(found[0] if found else None, clock.read())

    def _change_leader(self, changes: objects.Changes, asked: float) -> None:
        for stored in changes.objects:
            if stored.name == leadership.NAME:
                gone = stored.value is None
                self.leadership.observe(None if gone else stored, clock.read())

    def find_store_contact(self) -> float:
        """Return when the store last answered this node."""
        watchers = [*self._watchers, self._leader_watcher]
        contact = max(watcher.answered_at for watcher in watchers)
        return max(contact, self._wrote_at)

    def _is_advised(self) -> bool:
        return clock.read() - self.advised_at < ADVISED_WITHIN

    def _take_member(self, stored: objects.StoredObject) -> None:
        name = stored.name.removeprefix(MEMBER_PREFIX)
        if stored.value is None:
            self.members.pop(name, None)
        else:
            self.members[name] = stored.value
        self._update_shares()

    def _take_state(self, stored: objects.StoredObject) -> None:
        name = stored.name.removeprefix(GROUP_PREFIX)
        self.take_state(catalog.parse_group_state(name, stored.value, stored.version))

    def take_state(self, state: catalog.GroupState) -> None:
        """Take a group's state if it is newer."""
        group = self.find_group(state.group)
        if group.state is not None and state.version <= group.state.version:
            return
        self.journal.note(
            "group_state",
            group=state.group,
            term=state.term,
            primary=state.primary,
            phase=state.phase.value,
            version=state.version,
        )
        group.take_state(state)
        self._update_shares()
        if state.phase is catalog.Phase.SEALED:
            self._report_now.set()

    def _update_shares(self) -> None:
        count = max(1, len(self.members))
        zone = self.settings.zone
        neighbours = [m for m in self.members.values() if m.get("zone") == zone]
        for group in self.groups.values():
            group.divide(count, max(1, len(neighbours)))
        if self.catalog is not None:
            self.budget.configure(self.catalog, count)

    # What this node writes

    async def write_state(self, state: catalog.GroupState) -> catalog.GroupState:
        """Store a group's state if the one it came from is still there.

        :raises sardinehold.errors.PlatformError: another state is stored, or
            no answer came.
        """
        name = f"{GROUP_PREFIX}{state.group}"
        if state.version:
            stored = await self.store.update(
                FLEET_KIND, name, state.dump(), state.version
            )
        else:
            stored = await self.store.create(FLEET_KIND, name, state.dump())
        written = catalog.GroupState(
            state.group,
            state.term,
            state.primary,
            state.phase,
            stored.version,
            state.attempt,
        )
        self.take_state(written)
        return written

    async def _keep_member(self) -> None:
        """Enter this node among the members, and see that there is a secret."""
        value = {
            "zone": self.settings.zone,
            "host": self.settings.peer_listen[0],
            "port": self.settings.peer_listen[1],
            "incarnation": self.incarnation,
        }
        name = f"{MEMBER_PREFIX}{self.settings.name}"
        while True:
            try:
                await self._write_always(name, value)
                await self._create_secret()
                return
            except errors.PlatformError as error:
                self.journal.note("member_not_written", reason=str(error))
                await anyio.sleep(STORE_RETRY * (0.5 + random.random()))

    async def _write_always(self, name: str, value: dict) -> None:
        """Write an object that only this node writes, whatever is there."""
        try:
            await self.store.create(FLEET_KIND, name, value)
        except errors.VersionConflict:
            found = await self.store.list(FLEET_KIND)
            for stored in found.objects:
                if stored.name == name:
                    await self.store.update(FLEET_KIND, name, value, stored.version)

    async def _create_secret(self) -> None:
        if self.peers.key:
            return
        try:
            value = {"key": secrets.token_hex(SECRET_BYTES)}
            await self.store.create(FLEET_KIND, SECRET_NAME, value)
        except errors.VersionConflict:
            # Another node made it; the watch brings it.
            return

    async def _keep_lead(self) -> None:
        """Take, renew or leave the lead as is due."""
        while True:
            now = clock.read()
            self._note_lead(self.leadership.leads(now))
            due = self.leadership.find_next_write(now)
            if self.is_stopping or due > now:
                await anyio.sleep(min(0.1, max(0.01, due - now)))
                continue
            await self._write_lead()

    async def _write_lead(self) -> None:
        lead = self.leadership
        asked = clock.read()
        was_leading = lead.leads(asked)
        value = lead.make_value()
        try:
            with anyio.fail_after(LEAD_TIMEOUT):
                stored = await self._put_lead(value)
            if not was_leading:
                # What the leader before wrote last must be known before acting.
                changes = await self.store.list(FLEET_KIND)
                self._change_fleet(changes, asked)
        except (errors.PlatformError, TimeoutError) as error:
            lead.note_failed(clock.read())
            self.journal.note("lead_not_written", reason=str(error) or "no answer")
            if isinstance(error, errors.VersionConflict):
                await self._leader_watcher.step(relist=True)
            return
        self._wrote_at = clock.read()
        lead.note_written(asked, stored.version)

    async def _put_lead(self, value: dict) -> objects.StoredObject:
        version = self.leadership.version
        if not version:
            return await self.store.create(LEADER_KIND, leadership.NAME, value)
        return await self.store.update(LEADER_KIND, leadership.NAME, value, version)

    def _note_lead(self, leads: bool) -> None:
        if not leads and self.leader.find_certainty(clock.read()) is not None:
            # The store is out of reach for all: nobody else can have taken over.
            return
        if leads is self._is_leading:
            return
        self._is_leading = leads
        if leads:
            self.leader.begin()
        else:
            self.leader.end()
        self.journal.note(
            "lead_taken" if leads else "lead_lost", version=self.leadership.version
        )

    # Reports and advice

    def report_soon(self) -> None:
        """Report to the leader without delay."""
        if clock.read() >= self._empty_until:
            self._report_now.set()

    async def _keep_reporting(self) -> None:
        while True:
            with anyio.move_on_after(REPORT_INTERVAL):
                await self._report_now.wait()
            self._report_now = anyio.Event()
            self._report()
            await anyio.sleep(REPORT_LEAST)

    def _report(self) -> None:
        holder = self.leadership.holder
        if not holder or self.catalog is None:
            return
        now = clock.read()
        sequence, usages = self._begin_exchange(now)
        advice = self._last_advice
        if now - self.find_store_contact() > VOUCH_AGE:
            self.vouched_at = now
        report = reports.Report(
            self.settings.name,
            self.incarnation,
            now,
            {name: g.state.version for name, g in self.groups.items() if g.state},
            self.collect_samples(now),
            {},
            self._collect_failing(now),
            sequence,
            usages,
            self.catalog.version,
            advice.sent_at if advice else None,
            advice.incarnation if advice else "",
            now - self._last_advice_at,
            now - self.find_store_contact(),
        )
        if holder == self.settings.name:
            advice = self.leader.answer(report)
            if advice is not None:
                self._take_advice(advice)
            return
        member = self.members.get(holder)
        if member is not None:
            self.peers.send(report.dump(), (member["host"], member["port"]))

    def _begin_exchange(self, now: float) -> tuple[int, list[quota.Usage]]:
        """Return number and contents of an exchange with the allocator.

        Exchanges never overlap: 0 and nothing while one is not answered.
        """
        if now < self._exchange_until:
            return 0, []
        self._exchange += 1
        self._exchange_until = now + EXCHANGE_LIMIT
        return self._exchange, self.budget.collect_usages(now)

    def _hear(self, message: dict, address: tuple[str, int]) -> None:
        try:
            parsed = reports.parse(message)
        except (KeyError, TypeError, ValueError, zlib.error) as error:
            self.journal.note("message_refused", reason=repr(error))
            return
        if isinstance(parsed, reports.Report):
            answer = self.leader.answer(parsed)
            if answer is not None:
                self.peers.send(answer.dump(), address)
        elif isinstance(parsed, reports.Advice):
            self._take_advice(parsed)
        elif isinstance(parsed, reports.Request):
            if self._stored_catalog is not None:
                stored = reports.Configuration(self._stored_catalog)
                self.peers.send(stored.dump(), address)
        elif isinstance(parsed, reports.Configuration):
            self._read_catalog(parsed.value, "leader")
        elif isinstance(parsed, reports.Call):
            self._take_call(parsed, clock.read())

    def _take_call(self, call: reports.Call, now: float) -> None:
        if call.resigns:
            self.leadership.hear_resignation(call.incarnation, call.version, now)
            self.advised_at = float("-inf")
            return
        self.leadership.hear(call.node, call.incarnation, call.version, now)
        self._report_now.set()

    def call(self, names: list[str], resigns: bool = False) -> None:
        """Have nodes report, and so hear of what changed, at once.

        :param resigns: whether this leader makes way.
        """
        lead = self.leadership
        version = lead.version if resigns else lead.taken_version
        message = reports.Call(
            self.settings.name, self.incarnation, version, resigns
        ).dump()
        for name in names:
            member = self.members.get(name)
            if name == self.settings.name:
                self._report_now.set()
            elif member is not None:
                self.peers.send(message, (member["host"], member["port"]))

    def _take_advice(self, advice: reports.Advice) -> None:
        now = clock.read()
        if advice.echo > now or now - advice.echo > ADVISED_WITHIN:
            return
        self.advised_at = advice.echo
        self.leadership.note_alive(advice.incarnation, advice.lead_version, now)
        self._last_advice = advice
        self._last_advice_at = now
        for state in advice.states:
            self.take_state(state)
            group = self.groups[state.group]
            if group.state.version != state.version:
                continue
            if state.phase is catalog.Phase.SERVING:
                group.evidence.confirm(advice.date(advice.certain_age))
            if state.group in advice.samples:
                age, position = advice.samples[state.group]
                group.evidence.note_position(advice.date(age), position)
            group.pump()
        if advice.asks_store and now > self._asked_store_at + STORE_ASK_INTERVAL:
            self._asked_store_at = now
            self.spawn(self._leader_watcher.step, True)
        for name in advice.suspects:
            self._look_at(name, now)
        if advice.sequence == self._exchange:
            self._take_grants(advice)
        known = self.catalog.version if self.catalog is not None else 0
        if advice.catalog_version > known:
            self._fetch_catalog(advice, known)

    def _fetch_catalog(self, advice: reports.Advice, known: int) -> None:
        """Get a configuration that the leader has and this node has not."""
        watcher = self._watchers[0]
        if watcher.is_failing():
            member = self.members.get(advice.node)
            if member is not None:
                address = (member["host"], member["port"])
                self.peers.send(reports.Request(known).dump(), address)
        else:
            watcher.hurry()

    def _look_at(self, name: str, now: float) -> None:
        """Find out about an endpoint that another node cannot reach."""
        for group in self.groups.values():
            endpoint = group.endpoints.get(name)
            if endpoint is not None and now - endpoint.answered_at > PROBE_AFTER:
                group.probe(endpoint)

    def _take_grants(self, advice: reports.Advice) -> None:
        self._exchange_until = float("-inf")
        for grant in advice.grants:
            deadline = advice.echo + grant.lifetime * (1 - clock.RATE_MARGIN)
            self.budget.take_grant(grant.team, grant.grant_id, grant.tokens, deadline)
        if self.budget.is_waiting():
            if not all(grant.tokens for grant in advice.grants):
                self._empty_until = clock.read() + EMPTY_PAUSE
            self.report_soon()

    def collect_samples(
        self, now: float
    ) -> dict[str, tuple[float, positions.Position]]:
        """Return the newest known position of each primary, with its age."""
        for group in self.groups.values():
            if group.frozen is not None and self.leadership.leads(now):
                group.evidence.note_position(now, group.frozen)
        return {
            name: (now - group.evidence.latest.asked, group.evidence.latest.position)
            for name, group in self.groups.items()
            if group.evidence.latest is not None
        }

    def _collect_failing(self, now: float) -> dict[str, float]:
        return {
            endpoint.name: now - since
            for group in self.groups.values()
            for endpoint in group.endpoints.values()
            if (since := endpoint.find_failing_since(now)) is not None
        }

    # Housekeeping

    async def _tend(self) -> None:
        while True:
            await anyio.sleep(TEND_INTERVAL)
            now = clock.read()
            for caller in list(self.callers):
                if caller.session is not None and caller.session.expire(now):
                    self.journal.note(
                        "transaction_expired", route=caller.session.route_name
                    )
            self.budget.set_alone(now - self._touched_at() > ALONE_AFTER)
            for group in self.groups.values():
                self._tend_group(group, now)
            failing = self._collect_failing(now).keys()
            if failing != self._failing:
                self._note_failing(failing - self._failing, self._failing - failing)
                self._failing = set(failing)
                self._report_now.set()

    def _touched_at(self) -> float:
        """Return when the leader's last advice was asked for, or the start."""
        return max(self.advised_at, self._started_at)

    def _note_failing(self, lost: set[str], regained: set[str]) -> None:
        for name in sorted(lost):
            self.journal.note("endpoint_lost", endpoint=name)
        for name in sorted(regained):
            self.journal.note("endpoint_regained", endpoint=name)

    def _tend_group(self, group: groups.Group, now: float) -> None:
        group.trim(now)
        for endpoint in list(group.endpoints.values()):
            if endpoint.is_silent(now, PROBE_AFTER, PROBE_AGAIN):
                group.probe(endpoint)
            gone = endpoint.gone_since
            if gone is not None and now - gone > GONE_GRACE:
                self._note_endpoint("endpoint_gone", endpoint.name, group.name)
                group.forget(endpoint.name)


def _has_changed(old: catalog.EndpointRecord, new: catalog.EndpointRecord) -> bool:
    return (old.is_draining, old.says_primary, old.born, old.host, old.port) != (
        new.is_draining,
        new.says_primary,
        new.born,
        new.host,
        new.port,
    )
