"""One node: what it knows, whom it serves, and how it keeps in step.

The daemon of an adapter makes a :class:`Node`, hands it the ports, and runs it.
"""

import functools
import random
import secrets
import typing

import anyio
import anyio.abc

from sardinehold import metrics
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import exchange
from sardinehold.node import executor
from sardinehold.node import forwarding
from sardinehold.node import groups
from sardinehold.node import hedging
from sardinehold.node import journal
from sardinehold.node import leader
from sardinehold.node import leadership
from sardinehold.node import membership
from sardinehold.node import outcomes
from sardinehold.node import peers
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import primary_lease
from sardinehold.node import rate_limiter
from sardinehold.node import session as sessions
from sardinehold.node import settings
from sardinehold.node import shutdown
from sardinehold.node import statements
from sardinehold.node import store_mirror
from sardinehold.node import store_readers
from sardinehold.node import store_writer

RESTART_DELAY = 0.2
"""Seconds before a part of the node that failed runs anew."""

REFRESH_INTERVAL = 0.3
"""Seconds between two questions to the store for who leads a group."""

MAINTENANCE_INTERVAL = 0.05
"""Seconds between looks at resting transactions and silent endpoints."""

CONFIGURATION_TIMEOUT = 1.5
"""Seconds that a caller waits to be let in while the node has no configuration yet;
callers give up after two."""

PROBE_RETRY_INTERVAL = 0.4
"""Seconds between such questions to an endpoint that is out of reach."""

GONE_GRACE = 2.5
"""Seconds after which an endpoint without an entry is forgotten: entries that were
lost with the store are back within two."""


class Caller(typing.Protocol):
    """A caller's connection, as the adapter holds it."""

    session: sessions.Session | None

    def is_idle(self) -> bool:
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

    def parse_endpoint(self, name: str, value: object) -> catalog.EndpointRecord:
        """Return an endpoint's record; raises DocumentError if the entry is none."""


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
        self.configured = anyio.Event()
        self.groups: dict[str, groups.Group] = {}
        self.members: dict[str, membership.Member] = {}
        self.removals = membership.Removals(clock.read())
        self.callers: set[Caller] = set()
        self.rate_limiter = rate_limiter.RateLimiter(loaded, self.report_soon)
        self.leadership = leadership.Leadership(
            loaded.name, self.incarnation, random.random()
        )
        self.leader = leader.Leader(self)
        self.hedges = hedging.Allowance()
        self.is_stopping = False
        self._tasks = tasks
        self._closes_sessions = False
        self._failing: set[str] = set()
        self._refreshed_at = float("-inf")
        self.store_readers = store_readers.StoreReaders(self)
        self.store_mirror = store_mirror.StoreMirror(self)
        self.store_writer = store_writer.StoreWriter(self)
        self.exchange = exchange.Exchange(self)
        self.peers = peers.Peers(self.exchange.handle_message, self.journal.note)
        self.executor = executor.Executor(self)
        self.links = forwarding.Links(
            loaded.name,
            lambda: self.peers.key,
            self.executor,
            self.members.get,
            self.store_readers.read_changes,
            self.spawn,
            self.journal.note,
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
            for component in (
                *self.store_mirror.list_tasks(),
                self.store_mirror.watch_leader,
                self.store_mirror.confirm_leases,
                self.store_writer.maintain_entry,
                self.store_writer.maintain_lead,
                self.exchange.run,
                self._run_maintenance,
                functools.partial(self.leader.run, tasks),
            ):
                tasks.start_soon(self._supervise, component)

    async def _supervise(self, component: typing.Callable) -> None:
        """Run a part of the node, anew if it fails."""
        while True:
            try:
                await component()
                return
            except Exception as error:
                self.registry.count("tasks_failed")
                self.journal.note(
                    "task_failed", task=str(component), reason=repr(error)
                )
            await anyio.sleep(RESTART_DELAY)

    def report_soon(self) -> None:
        """Report to the leader soon, unless it has nothing left to give."""
        self.exchange.report_soon()

    # Serving

    def is_ready(self) -> bool:
        """Return whether new callers can be served."""
        return (
            not self.is_stopping
            and self.catalog is not None
            and not self.is_disconnected(clock.read())
            and any(group.state is not None for group in self.groups.values())
        )

    def is_disconnected(self, now: float) -> bool:
        """Return whether this node hears nobody: callers are better off elsewhere."""
        return self.exchange.measure_isolation(now) > primary_lease.DISCONNECTED_AFTER

    async def await_configuration(self) -> None:
        """Wait until callers can be let in, for a while at most."""
        if self.catalog is None:
            with anyio.move_on_after(CONFIGURATION_TIMEOUT):
                await self.configured.wait()

    async def serve(
        self, session: sessions.Session, statement: statements.Statement
    ) -> statements.Answer:
        """Run a caller's statement."""
        began = clock.read()
        answer = await session.handle(statement)
        seconds = clock.read() - began
        outcome = answer.error.value if answer.error is not None else "success"
        self._measure(session, outcome, seconds)
        if answer.error is not None:
            self.journal.note(
                "failed",
                request=statement.request_id,
                kind=statement.kind.value,
                route=session.route_name,
                outcome=outcome,
                reason=answer.detail,
                seconds=seconds,
                catalog=self.find_version(),
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

    def _measure(self, session: sessions.Session, outcome: str, seconds: float) -> None:
        trace = session.trace
        registry = self.registry
        registry.observe(metrics.label_name("statement", outcome=outcome), seconds)
        if trace.tries:
            registry.observe("connection_wait", trace.waited)
        registry.count(
            metrics.label_name(
                "statements", outcome=outcome, team=trace.team, route=session.route_name
            )
        )

    def update_gauges(self) -> None:
        """Bring the values of the metrics page up to date that go up and down."""
        now = clock.read()
        registry = self.registry
        registry.set_gauge("configuration_version", self.find_version())
        registry.set_gauge("members", len(self.members))
        registry.set_gauge("leads", float(self.leadership.leads(now)))
        registry.set_gauge("callers", len(self.callers))
        registry.set_gauge("datagrams_rejected", self.peers.rejected)
        registry.set_gauge("orders_running", self.executor.running)
        for name, group in self.groups.items():
            age = metrics.label_name("lease_age_seconds", group=name)
            registry.set_gauge(age, now - group.lease.as_of)
            for endpoint in group.endpoints.values():
                held = metrics.label_name("connections", endpoint=endpoint.name)
                registry.set_gauge(held, len(endpoint.connections))
                opened = metrics.label_name("handshakes", endpoint=endpoint.name)
                registry.set_gauge(opened, endpoint.handshakes)
        for name, account in self.rate_limiter.accounts.items():
            left = metrics.label_name("tokens", team=name)
            registry.set_gauge(left, account.balance.tokens)

    def find_version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.catalog.version if self.catalog is not None else 0

    async def acquire_token(self, team: str, deadline: float) -> None:
        """Spend one operation of a team's rate.

        :raises sardinehold.node.outcomes.Failed: the team has used it.
        """
        try:
            await self.rate_limiter.acquire_token(team, deadline)
        except rate_limiter.RateLimitExceeded as error:
            raise outcomes.Failed(
                statements.Failure.BUSY,
                outcomes.advise_return(error, error.retry_after),
            ) from error

    def refund_token(self, team: str) -> None:
        """Give an operation back that was never sent to an endpoint."""
        self.rate_limiter.refund_token(team)

    def note_refused_start(self, route: str, error: outcomes.Failed) -> None:
        """Write a line about a caller that was not let in."""
        self.journal.note(
            "start_refused",
            route=route,
            outcome=error.failure.value,
            catalog=self.find_version(),
        )

    def note_refused_line(self, failure: statements.Failure, request: str = "") -> None:
        """Write a line about something that a caller sent and that cannot be run."""
        self.journal.note("line_refused", request=request, outcome=failure.value)

    def close_if_stopping(self, caller: Caller) -> None:
        """Close a session that has come to rest while the node stops."""
        if self._closes_sessions and caller.is_idle():
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
                self.exchange.measure_isolation,
                self.open_stream,
                self.links.is_usable,
                self.executor.pump,
            )
            self.groups[name] = group
        return group

    def open_stream(self, endpoint: pool.Endpoint) -> forwarding.Stream:
        """Return a new stream to an endpoint, by way of the first home to be asked."""
        now = clock.read()
        own = self.settings.name
        for name in endpoint.owners:
            if now < endpoint.avoided.get("" if name == own else name, 0.0):
                continue
            if name == own:
                break
            if self.links.is_usable(name, now):
                return forwarding.Stream(self.links, endpoint, name)
        return forwarding.Stream(self.links, endpoint, "")

    async def refresh(self, group: groups.Group) -> None:
        """Ask the store who leads: an endpoint said that it does not."""
        now = clock.read()
        if now > self._refreshed_at + REFRESH_INTERVAL:
            self._refreshed_at = now
            self.store_mirror.fleet.refresh()

    # Stopping

    async def stop(self) -> None:
        """Stop without cutting a request; return when the process may end."""
        self.journal.note("stopping", sessions=len(self.callers))
        self._begin_stop()
        stop = shutdown.Shutdown(clock.read(), self.settings.grace)
        while True:
            is_finished = not self.callers and self.executor.is_idle()
            step = stop.find_step(clock.read(), int(not is_finished))
            if step is shutdown.Step.DONE:
                break
            if step is shutdown.Step.ROLLING_BACK:
                self._abandon_transactions()
            if step is not shutdown.Step.ACCEPTING:
                self._close_idle()
            await anyio.sleep(MAINTENANCE_INTERVAL)
        self.journal.note("stopped", sessions=len(self.callers))

    def _begin_stop(self) -> None:
        """Be no longer ready; hand on the lead."""
        self.is_stopping = True
        self.links.start_draining()
        if self.leadership.leads(clock.read()):
            self.exchange.announce(list(self.members), resigns=True)
            self.leadership.resign()
            self.spawn(self.store_writer.write_resignation)

    def _close_idle(self) -> None:
        """Close all sessions at rest, now and as they come to rest."""
        self._closes_sessions = True
        for caller in list(self.callers):
            if caller.is_idle():
                caller.close()

    def _abandon_transactions(self) -> None:
        """Roll back the transactions that rest; their callers are told."""
        for caller in list(self.callers):
            session = caller.session
            if session is not None and session.transaction and not session.is_busy:
                session.abandon()

    # Housekeeping

    async def _run_maintenance(self) -> None:
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL)
            now = clock.read()
            for caller in list(self.callers):
                if caller.session is not None and caller.session.expire(now):
                    self.journal.note(
                        "transaction_expired", route=caller.session.route_name
                    )
            self.rate_limiter.set_isolated(self.exchange.is_isolated(now))
            self.rate_limiter.is_leader_new = self.exchange.is_leader_new(now)
            self.rate_limiter.serve_waiting()
            self.links.check_liveness(now)
            for group in self.groups.values():
                self._maintain_group(group, now)
            failing = self.collect_failing(now).keys()
            if failing != self._failing:
                self._note_failing(failing)
                self._failing = set(failing)
                self.exchange.report_now()

    def collect_failing(self, now: float) -> dict[str, float]:
        """Return the endpoints out of reach, with the seconds since when."""
        return {
            endpoint.name: now - since
            for group in self.groups.values()
            for endpoint in group.endpoints.values()
            if (since := endpoint.find_failing_since(now)) is not None
        }

    def _note_failing(self, failing: typing.Collection[str]) -> None:
        """Write a line about each endpoint that was lost or regained."""
        for group in self.groups.values():
            for name in sorted(group.endpoints.keys() & failing - self._failing):
                reason = group.endpoints[name].explain_failing()
                self.journal.note("endpoint_lost", endpoint=name, reason=reason)
        for name in sorted(self._failing - failing):
            self.journal.note("endpoint_regained", endpoint=name)

    def _maintain_group(self, group: groups.Group, now: float) -> None:
        group.trim(now)
        group.refuse_hopeless()
        for endpoint in list(group.endpoints.values()):
            if endpoint.is_silent(now, pool.PROBE_AFTER, PROBE_RETRY_INTERVAL):
                group.probe(endpoint)
            gone = endpoint.gone_since
            if gone is not None and now - gone > GONE_GRACE:
                self.store_mirror.log_endpoint(
                    "endpoint_gone", endpoint.name, group.name
                )
                group.forget(endpoint.name)
