"""One node: its state, the callers that it serves, and its background tasks.

The daemon of an adapter creates a :class:`Node`, passes it the ports, and runs it.
"""

import functools
import random
import secrets
import time
import typing

import anyio
import anyio.abc

from sardinehold import metrics
from sardinehold.core import positions
from sardinehold.node import aggregation
from sardinehold.node import caller_guard
from sardinehold.node import caller_limits
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import cold_endpoints
from sardinehold.node import evacuation_tasks
from sardinehold.node import evacuations
from sardinehold.node import exchange
from sardinehold.node import exchange_load
from sardinehold.node import execution
from sardinehold.node import executor
from sardinehold.node import forwarding
from sardinehold.node import groups
from sardinehold.node import handling
from sardinehold.node import hedging
from sardinehold.node import journal
from sardinehold.node import late_sends
from sardinehold.node import leader
from sardinehold.node import leadership
from sardinehold.node import loops
from sardinehold.node import membership
from sardinehold.node import outcomes
from sardinehold.node import peers
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import primary_lease
from sardinehold.node import rate_limiter
from sardinehold.node import residency
from sardinehold.node import selection
from sardinehold.node import session as sessions
from sardinehold.node import settings
from sardinehold.node import statements
from sardinehold.node import stopping
from sardinehold.node import store_era
from sardinehold.node import store_mirror
from sardinehold.node import store_readers
from sardinehold.node import store_writer
from sardinehold.node import token_sharing

RESTART_DELAY = 0.2
"""Seconds before a failed background task is restarted."""

REFRESH_INTERVAL = 0.3
"""Minimum seconds between two refreshes of group states from the store."""

MAINTENANCE_INTERVAL = 0.05
"""Seconds between checks of idle transactions and silent endpoints."""

CONFIGURATION_TIMEOUT = 1.5
"""Seconds that a new caller waits while the node has no configuration yet; callers time
out after two."""

SUSPENDED_AFTER = 0.5
"""Seconds by which a check is late from which on the process counts as suspended: a
busy event loop, or a VM that has used its CPU share, is late by less."""

PROBE_RETRY_INTERVAL = 0.4
"""Seconds between probes of an endpoint that is unreachable."""

GONE_GRACE = 2.5
"""Seconds after which an endpoint without an entry is removed: entries that were lost
with the store are back within two."""


class Caller(typing.Protocol):
    """A caller's connection, as implemented by the adapter."""

    session: sessions.Session | None

    def is_session_idle(self) -> bool:
        """Return whether the session has no open transaction or pending statement."""

    def close(self) -> None:
        """Close an idle session."""


class Sources(typing.Protocol):
    """Location and format of configuration and endpoints in the store."""

    configuration_kind: str
    configuration_name: str
    endpoint_kind: str
    evacuation_kind: str

    def parse_catalog(self, value: object) -> catalog.Catalog:
        """Parse a configuration; raises DocumentError if it is malformed."""

    def parse_endpoint(self, name: str, value: object) -> catalog.EndpointRecord:
        """Parse an endpoint's record; raises DocumentError if it is malformed."""

    def parse_evacuation(self, name: str, value: object) -> evacuations.Entry:
        """Parse an evacuation, which names its zone also if it is malformed."""


def _name_skip(reason: str) -> str:
    """Return the name of the metric that counts replicas skipped for a reason."""
    return metrics.label_name("replicas_skipped", reason=reason)


def _describe_definition(statement: statements.Statement) -> dict[str, str]:
    """Return the log fields of an EXECUTE's prepared statement."""
    if statement.kind is not statements.Kind.EXECUTE or statement.definition is None:
        return {}
    return {
        "name": statement.definition.shared_name,
        "shape": statement.definition.shape,
    }


class Node:
    """One node of the fleet.

    :param loaded: the node's settings.
    :param tasks: task group in which its tasks run.
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
        """Initialize the node without a configuration."""
        self.settings = loaded
        self.store = store_era.EraStore(
            store, lambda era: self.store_mirror.handle_restore(era)
        )
        self.connector = connector
        self.duty = duty
        self.sources = sources
        self.registry = registry
        self.journal = journal.Journal(loaded.name, registry)
        self.exchange_load = exchange_load.ExchangeLoad(registry, self.journal.note)
        self.late_sends = late_sends.LateSends(registry, self.journal.note)
        self.incarnation = secrets.token_hex(4)
        self.catalog: catalog.Catalog | None = None
        self.configured = anyio.Event()
        self.groups: dict[str, groups.Group] = {}
        self.members: dict[str, membership.Member] = {}
        self.evacuations = evacuations.Evacuations(loaded.evacuation_limit)
        self.evacuation_tasks = evacuation_tasks.EvacuationTasks(self)
        self.removals = membership.Removals(clock.read())
        self.callers: set[Caller] = set()
        self.limits = caller_limits.make_limits(loaded.memory_mb, loaded.max_fds)
        self.guard = caller_guard.CallerGuard(self.limits, registry, self.journal.note)
        self.rate_limiter = rate_limiter.RateLimiter(
            loaded, lambda team: self._request_tokens(team)
        )
        self.leadership = leadership.Leadership(
            loaded.name, self.incarnation, random.random()
        )
        self.leader = leader.Leader(self)
        self.hedge_budget = hedging.HedgeBudget()
        self.draws = random.Random(loaded.name)
        self.skips = selection.Counter(registry.count, _name_skip)
        self.is_stopping = False
        self._tasks = tasks
        self._closes_sessions = False
        self._failing: set[str] = set()
        self._final: set[str] = set()
        self._awake_at = clock.read()
        self._refreshed_at = float("-inf")
        self.store_readers = store_readers.StoreReaders(self)
        self.store_mirror = store_mirror.StoreMirror(self)
        self.store_writer = store_writer.StoreWriter(self)
        self.exchange = exchange.Exchange(self)
        self.aggregator = aggregation.Aggregator(self)
        self.token_sharing = token_sharing.TokenSharing(self)
        self.peers = peers.Peers(self.exchange.handle_message, self.journal.note)
        self.cold_endpoints = cold_endpoints.ColdEndpoints(self)
        self.executor = executor.Executor(self)
        self.links = forwarding.Links(
            loaded.name,
            lambda: self.peers.key,
            self.executor,
            self.members.get,
            self.store_readers.read_changes,
            self.spawn,
            self.journal.note,
            limits=self.limits,
        )

    def spawn(self, function: typing.Callable, *arguments: object) -> None:
        """Run a task of the node; a failure does not affect other tasks."""
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
        """Run the background tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            for task in (
                *self.store_mirror.list_tasks(),
                self.store_mirror.watch_leader,
                self.store_mirror.confirm_leases,
                self.store_writer.maintain_entry,
                self.store_writer.maintain_lead,
                self.exchange.run,
                self.token_sharing.run,
                self._run_maintenance,
                functools.partial(self.leader.run, tasks),
            ):
                tasks.start_soon(self._supervise, task)

    async def _supervise(self, task: typing.Callable) -> None:
        """Run a background task, and restart it if it fails."""
        while True:
            try:
                await task()
                return
            except Exception as error:
                self.registry.count("tasks_failed")
                self.journal.note("task_failed", task=str(task), reason=repr(error))
            await anyio.sleep(RESTART_DELAY)

    # Serving

    def date_input(self, now: float) -> float:
        """Return when what is received now may have reached this node.

        While a VM is suspended, its kernel or its peers hold what is sent to it.
        """
        return self._awake_at if now - self._awake_at > loops.MAX_PAUSE else now

    def is_ready(self) -> bool:
        """Return whether new callers can be served."""
        return (
            not self.is_stopping
            and self.catalog is not None
            and self.store_mirror.endpoints.revision > 0
            and self.evacuations.is_known()
            and not self.is_disconnected(clock.read())
            and any(group.state is not None for group in self.groups.values())
        )

    def is_disconnected(self, now: float) -> bool:
        """Return whether neither the leader nor the store is reachable.

        Callers should connect to other nodes then.
        """
        return self.exchange.measure_isolation(now) > primary_lease.DISCONNECTED_AFTER

    async def await_configuration(self) -> None:
        """Wait for a configuration, at most ``CONFIGURATION_TIMEOUT`` seconds."""
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
                **_describe_definition(statement),
            )
        elif answer.completion_tag != sessions.LOCAL_COMPLETION_TAG:
            self.journal.note_ordinary(
                "served",
                request=statement.request_id,
                kind=statement.kind.value,
                route=session.route_name,
                seconds=seconds,
                **session.trace.describe(),
                **_describe_definition(statement),
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
        """Update the gauges of the metrics page."""
        now = clock.read()
        registry = self.registry
        registry.set_gauge("configuration_version", self.find_version())
        registry.set_gauge("members", len(self.members))
        registry.set_gauge("leads", float(self.leadership.leads(now)))
        self.evacuation_tasks.update_gauges()
        registry.set_gauge("callers", len(self.callers))
        self.guard.update_gauges()
        registry.set_gauge("datagrams_rejected", self.peers.rejected)
        registry.set_gauge("orders_running", self.executor.running)
        registry.set_gauge("orders_bytes", self.links.request_bytes)
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
        """Return the version of the active configuration, 0 for none."""
        return self.catalog.version if self.catalog is not None else 0

    async def acquire_token(
        self,
        team: str,
        deadline: float,
        priority: int = 0,
        target_at: float | None = None,
        handled: handling.Handling | None = None,
    ) -> None:
        """Take a token for one operation from a team's rate.

        :param priority: priority of the operation's route; 0 is served first.
        :param target_at: when the operation should be complete, by default its
            deadline.
        :param handled: the statement's handling; the wait ends with it.
        :raises sardinehold.node.outcomes.StatementFailed: the team has used its rate,
            or the statement has ended.
        """
        try:
            await self.rate_limiter.acquire_token(
                team, deadline, priority, target_at, handled
            )
        except rate_limiter.RateLimitExceeded as error:
            name = metrics.label_name(
                "rate_refusals", team=team, priority=str(priority), reason=error.reason
            )
            self.registry.count(name)
            raise outcomes.StatementFailed(
                statements.Failure.BUSY,
                outcomes.add_retry_hint(error, error.retry_after),
            ) from error
        if handled is not None and handled.is_ended:
            self.refund_token(team)
            raise handling.make_failure()

    def _request_tokens(self, team: str) -> None:
        self.exchange.request_tokens(team)
        self.token_sharing.check_soon()

    def refund_token(self, team: str) -> None:
        """Return the token of an operation that was never sent to an endpoint."""
        self.rate_limiter.refund_token(team)

    def revoke_transactions(self) -> None:
        """Roll back the idle transactions whose keys the configuration withdrew."""
        for caller in list(self.callers):
            if caller.session is not None and caller.session.revoke():
                self.journal.note(
                    "transaction_revoked", route=caller.session.route_name
                )

    def note_refused_start(self, route: str, error: outcomes.StatementFailed) -> None:
        """Log that a caller's session was refused."""
        self.journal.note(
            "start_refused",
            route=route,
            outcome=error.failure.value,
            reason=error.detail,
            catalog=self.find_version(),
        )

    def note_refused_line(self, failure: statements.Failure, request: str = "") -> None:
        """Log that a caller sent something that cannot be run."""
        self.journal.note("line_refused", request=request, outcome=failure.value)

    def close_if_stopping(self, caller: Caller) -> None:
        """Close a session that has become idle while the node stops."""
        if self._closes_sessions and caller.is_session_idle():
            caller.close()

    def find_group(self, name: str) -> groups.Group:
        """Return the group; it is created on first use."""
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
                self.executor.dispatch_waiting,
                self.settings.placement,
                self.draws.random,
                self.skips.record,
                self.settings.find_region,
                self.cold_endpoints.may_probe,
            )
            group.evacuations = self.evacuations
            self.groups[name] = group
        return group

    def open_stream(
        self, endpoint: pool.Endpoint, regions: residency.Regions = None
    ) -> forwarding.Stream | forwarding.RefusedStream:
        """Return a new stream to an endpoint, through its first usable owner.

        :param regions: allowed regions of the statement; owners outside are skipped.
        """
        group = self.groups[endpoint.record.group]
        if self.cold_endpoints.is_cold(group, endpoint):
            return self._open_stream_to_cold(group, endpoint, regions)
        now = clock.read()
        own = self.settings.name
        for name in endpoint.owners:
            if not self._may_receive(name, regions):
                continue
            if now < endpoint.owner_cooldowns.get("" if name == own else name, 0.0):
                continue
            if name == own:
                break
            if self.links.is_usable(name, now):
                return forwarding.Stream(self.links, endpoint, name)
        return forwarding.Stream(self.links, endpoint, "")

    def _may_receive(self, name: str, regions: residency.Regions) -> bool:
        """Return whether a node may receive a statement's text."""
        if regions is None:
            return True
        member = self.members.get(name)
        region = self.settings.find_region(member.zone) if member is not None else None
        return residency.allows_node(regions, region, name == self.settings.name)

    def _open_stream_to_cold(
        self, group: groups.Group, endpoint: pool.Endpoint, regions: residency.Regions
    ) -> forwarding.Stream | forwarding.RefusedStream:
        """Return a stream through the first owner; no other node sends to it."""
        now = clock.read()
        first = endpoint.owners[0] if endpoint.owners else ""
        own = first == self.settings.name
        cooldown = endpoint.owner_cooldowns.get("" if own else first, 0.0) - now
        wait = cold_endpoints.RETRY_AFTER
        if not first:
            reason = "it is cold and has no owner"
        elif not self._may_receive(first, regions):
            reason = (
                f"it is cold, and its owner {first} is outside the allowed regions:"
                " allow the owner's region, or wait until the endpoint is warm"
            )
            return self._refuse_stream(endpoint, first, reason, wait)
        elif cooldown > 0.0 or not (own or self.links.is_usable(first, now)):
            reason = f"it is cold, and its first owner {first} cannot be used"
            wait = max(wait, cooldown)
        else:
            return forwarding.Stream(self.links, endpoint, "" if own else first)
        self.cold_endpoints.mark_exhausted(group, endpoint, wait)
        return self._refuse_stream(endpoint, first, reason, wait)

    def _refuse_stream(
        self, endpoint: pool.Endpoint, owner: str, reason: str, wait: float
    ) -> forwarding.RefusedStream:
        rejected = self.cold_endpoints.make_rejection(
            endpoint, execution.Rejection.AWAY, reason, wait
        )
        return forwarding.RefusedStream(endpoint, owner, rejected)

    async def refresh(self, group: groups.Group) -> None:
        """Refresh group states after an endpoint turned out not to be the primary."""
        now = clock.read()
        if now > self._refreshed_at + REFRESH_INTERVAL:
            self._refreshed_at = now
            self.store_mirror.fleet.refresh()

    # Stopping

    async def stop(self) -> None:
        """Stop without interrupting requests; return when the process may exit."""
        self.journal.note("stopping", sessions=len(self.callers))
        self._begin_stop()
        stop = stopping.Shutdown(clock.read(), self.settings.grace)
        while True:
            is_finished = not self.callers and self.executor.is_idle()
            step = stop.find_step(clock.read(), int(not is_finished))
            if step is stopping.Step.DONE:
                break
            if step is stopping.Step.ROLLING_BACK:
                self._roll_back_transactions()
            if step is not stopping.Step.ACCEPTING:
                self._close_idle()
            await anyio.sleep(MAINTENANCE_INTERVAL)
        self.journal.note("stopped", sessions=len(self.callers))

    def _begin_stop(self) -> None:
        """Become not ready, drain links, and hand over leadership."""
        self.is_stopping = True
        self.links.start_draining()
        self.spawn(self._hand_over_lead)

    async def _hand_over_lead(self) -> None:
        """Resign if this node leads, after its last promotion request has ended."""
        await self.leader.finish_requests()
        if self.leadership.leads(clock.read()):
            self.exchange.announce(list(self.members), resigns=True)
            self.leadership.resign()
            await self.store_writer.write_resignation()

    def _close_idle(self) -> None:
        """Close all idle sessions, and further ones as soon as they become idle."""
        self._closes_sessions = True
        for caller in list(self.callers):
            if caller.is_session_idle():
                caller.close()

    def _roll_back_transactions(self) -> None:
        """Roll back idle transactions; their callers get an error."""
        for caller in list(self.callers):
            session = caller.session
            if session is not None and session.transaction and not session.is_busy:
                session.abandon()

    # Maintenance

    async def _run_maintenance(self) -> None:
        while True:
            due = clock.read() + MAINTENANCE_INTERVAL
            computed = time.process_time()
            await anyio.sleep(MAINTENANCE_INTERVAL)
            now = self._awake_at = clock.read()
            if now - due > SUSPENDED_AFTER:
                self.journal.note(
                    "suspended",
                    seconds=now - due,
                    computed=time.process_time() - computed,
                )
            self.exchange_load.observe_loop_delay(now - due)
            self.exchange_load.write_line(now, self._describe_exchange)
            for caller in list(self.callers):
                if caller.session is not None and caller.session.expire_idle(now):
                    self.journal.note(
                        "transaction_expired", route=caller.session.route_name
                    )
            self.rate_limiter.set_isolated(self.exchange.is_isolated(now))
            self.rate_limiter.is_leader_new = self.exchange.is_leader_new(now)
            self.rate_limiter.is_pooling = self.exchange.is_allocator_late(now)
            self.rate_limiter.serve_waiting()
            self.aggregator.serve_waiting(now)
            self.links.check_liveness(now)
            self.evacuation_tasks.step(now)
            self.guard.sweep(now)
            for group in self.groups.values():
                self._maintain_group(group, now)
            failing = self.collect_failing(now).keys()
            if failing != self._failing:
                self._note_failing(failing)
                self._failing = set(failing)
                self.exchange.report_now()
            final = self.find_final_commits(now).keys()
            if final - self._final:
                self.exchange.report_now()
            self._final = set(final)

    def _describe_exchange(self) -> dict:
        """Return the tokens of the allocator, and the bytes sent since the start."""
        described = self.leader.describe_tokens()
        return {**described, "sent_bytes": self.peers.sent_bytes}

    def collect_failing(self, now: float) -> dict[str, float]:
        """Return the unreachable endpoints, with the seconds since when."""
        return {
            endpoint.name: now - since
            for group in self.groups.values()
            for endpoint in group.endpoints.values()
            if (since := endpoint.find_failing_since(now)) is not None
        }

    def find_final_commits(self, now: float) -> dict[str, positions.Position]:
        """Return the newest acknowledged commits of groups without a later one."""
        found = {
            name: group.commits.find_final(now) for name, group in self.groups.items()
        }
        return {name: newest for name, newest in found.items() if newest is not None}

    def find_replicated(self) -> dict[str, positions.Position]:
        """Return what the replicas of sealed groups have received for certain."""
        return {
            name: group.commits.replicated
            for name, group in self.groups.items()
            if group.commits.replicated is not None
            and group.state is not None
            and group.state.phase is catalog.Phase.SEALED
        }

    def _note_failing(self, failing: typing.Collection[str]) -> None:
        """Log each endpoint that became unreachable or reachable."""
        for group in self.groups.values():
            for name in sorted(group.endpoints.keys() & failing - self._failing):
                reason = group.endpoints[name].explain_failure()
                self.journal.note("endpoint_lost", endpoint=name, reason=reason)
        for name in sorted(self._failing - failing):
            self.journal.note("endpoint_regained", endpoint=name)

    def _maintain_group(self, group: groups.Group, now: float) -> None:
        group.close_surplus(now)
        group.refuse_unservable()
        if self.leadership.leads(now):
            group.query_position(now)
        for endpoint in list(group.endpoints.values()):
            if endpoint.needs_probe(now, pool.PROBE_AFTER, PROBE_RETRY_INTERVAL):
                group.probe(endpoint)
            gone = endpoint.missing_since
            if gone is not None and now - gone > GONE_GRACE:
                self.store_mirror.log_endpoint(
                    "endpoint_gone", endpoint.name, group.name
                )
                group.remove_endpoint(endpoint.name)
