"""Failover and switchover: replacement of the primary of one group.

The steps: seal the group in the store, so that nodes hold writes back; freeze the logs,
by pausing the replicas and having the primary step down, so that no further commit can
be acknowledged; settle the seal, so that nodes tell no caller of a commit's success any
more, and state the newest one that they told; promote the endpoint with the most
advanced frozen log, if it has what was told; publish it once it is primary. Any leader
can resume from the state in the store: for a sealed group it restarts the procedure.

A replica that joined may acknowledge commits before it has a record. If a log lacks
what was told, or a node cannot state it, the replicas are resumed and frozen again
after the seal was settled: the old primary's log is sent to all of them.
"""

import typing

import anyio

from sardinehold import errors
from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import commits
from sardinehold.node import member_reports
from sardinehold.node import ports
from sardinehold.node import promotion

QUERY_TIMEOUT = 0.6
"""Seconds that an endpoint may take to answer a query about its log; allows for several
handshakes and waits for a slot."""

RETRY_DELAY = 0.1
"""Seconds between attempts while too few logs can be read."""

CHECK_INTERVAL = 0.02
"""Seconds between checks whether an endpoint has a free slot or all nodes have received
the seal."""

POLL_INTERVAL = 0.05
"""Seconds between status queries to an endpoint that is being promoted."""

UNANSWERED_TIMEOUT = 1.2
"""Seconds to wait for the effect of a request without an answer before it is repeated:
the slowest promotion, and a query."""

REFUSED_DELAY = 0.5
"""Seconds after which another promotion is requested when one was refused."""

STATEMENT_WAIT = 0.5
"""Seconds that a leader which took over under a seal waits for the nodes' statements: a
round trip of its announcement, and another if it is lost."""

CATCH_UP_WAIT = 0.15
"""Seconds in which a replica that is resumed connects and receives what it lacks."""

RECORD_WAIT = 2.5
"""Seconds after a seal from when on every running endpoint has a record: those that
were lost with the store are back within two."""

LOGGED_NAMES = 8
"""Names that a log line lists of nodes that may be hundreds."""

LOSS_ACCEPTED_AFTER = 20.0
"""Seconds after which a group whose primary's record is gone, with logs that cannot be
read, continues with the best log that remains: crashed endpoints restart sooner."""

FREEZE_LIFETIME = 2.0
"""Seconds for which a frozen log is not queried again: a replica that restarts resumes
replication."""

REINSTATE_AFTER = 1.5
"""Seconds after which an old primary that stepped down may be promoted again, if too
few replicas can be read to replace it."""


class Fleet(typing.Protocol):
    """Interface of the leader's node that a failover needs."""

    def leads(self) -> bool:
        """Return whether this node is still the leader."""

    def list_records(self, group: str) -> list[catalog.EndpointRecord]:
        """Return the endpoints of a group that may hold a log."""

    async def refresh_records(self) -> None:
        """Read the endpoints' records from the store: a watch may be silent.

        :raises sardinehold.errors.PlatformUnavailable: the store does not answer.
        """

    def is_evacuated(self, record: catalog.EndpointRecord) -> bool:
        """Return whether an endpoint's zone is evacuated; others are preferred."""

    def find_state(self, group: str) -> catalog.GroupState | None:
        """Return the group's state in the store."""

    async def write_state(self, state: catalog.GroupState) -> catalog.GroupState:
        """Store a state unless it changed since it was read (compare-and-swap)."""

    def is_seal_known(self, group: str, stage: catalog.Stage) -> bool:
        """Return whether every node has stopped using the old primary."""

    def find_lease_expiry(self, group: str) -> float:
        """Return when all leases on the primary of a sealed group have expired."""

    def find_sealed_at(self, group: str) -> float:
        """Return when this node learned that a group was sealed."""

    def find_request_expiry(self, group: str) -> float:
        """Return when no promotion request can be executed any more."""

    def count_departed(self, group: str, primary: str) -> int:
        """Return how many replicas left recently, possibly with the only copy."""

    def find_restarted(self, group: str, end: positions.Position) -> frozenset[str]:
        """Return the endpoints that may have lost commits when they restarted.

        :param end: of the longest frozen replica; it has the earlier commits.
        """

    def collect_statements(self, group: str, since: float) -> member_reports.Statements:
        """Return what the members state that they told callers of commits.

        :param since: only reports that were sent later count.
        """

    def find_replicated(self, group: str) -> positions.Position:
        """Return what replicas have received in the group's term, as far as known."""

    def find_preferred(self, group: str) -> frozenset[str]:
        """Return the endpoints in a region that all restricting routes allow."""

    def record_frozen(self, group: str, position: positions.Position | None) -> None:
        """Allow reads on replicas: no commit beyond a position is acknowledged.

        :param position: None to end that: one may be.
        """

    def notify_nodes(self) -> None:
        """Send the state to all nodes without delay."""

    async def open_control(self, record: catalog.EndpointRecord) -> ports.Connection:
        """Open a connection for queries about the log."""

    def count_failed_query(self, endpoint: str, reason: str) -> None:
        """Count a query about an endpoint's log without an answer."""

    async def request_promotion(self, group: str, endpoint: str) -> None:
        """Request the promotion of an endpoint; see :class:`ports.Duty`."""

    def note(self, event: str, **fields: object) -> None:
        """Log a step."""


NO_ANSWER = "no answer in time"
"""Why a query failed that had no result by its deadline."""

Query = typing.Callable[[ports.Connection, float], typing.Awaitable[typing.Any]]
"""Queries an endpoint over a connection, until a deadline."""


class KeptConnections:
    """Connections that are kept for further queries, by start of an endpoint.

    An endpoint at its connection limit refuses new ones, and one that restarts ends
    those that it had.
    """

    __slots__ = ("_by_start",)

    def __init__(self) -> None:
        """Initialize without connections."""
        self._by_start: dict[tuple[str, int], ports.Connection] = {}

    def take(self, record: catalog.EndpointRecord) -> ports.Connection | None:
        """Remove and return the connection to an endpoint, None if there is none."""
        return self._by_start.pop((record.name, record.born), None)

    def keep(
        self, record: catalog.EndpointRecord, connection: ports.Connection
    ) -> None:
        """Keep a connection to an endpoint."""
        self._by_start[record.name, record.born] = connection

    def close(self) -> None:
        """Close all connections."""
        while self._by_start:
            _, connection = self._by_start.popitem()
            connection.close()


async def query(
    fleet: Fleet,
    record: catalog.EndpointRecord,
    operation: Query,
    kept: KeptConnections | None = None,
) -> tuple[str, typing.Any]:
    """Return why an endpoint could not be queried, or ``""`` and its answer.

    :param kept: where a connection may be taken from, and is kept if it answers.
    """
    deadline = clock.read() + QUERY_TIMEOUT
    connection = kept.take(record) if kept is not None else None
    is_kept = False
    try:
        with anyio.fail_after(QUERY_TIMEOUT):
            if connection is None:
                connection = await fleet.open_control(record)
            answer = await operation(connection, deadline)
            if kept is not None:
                kept.keep(record, connection)
                is_kept = True
    except TimeoutError:
        fleet.count_failed_query(record.name, NO_ANSWER)
        return NO_ANSWER, None
    except ports.OpeningFailed as error:
        failure = error.failure.value if error.failure is not None else "not opened"
        fleet.count_failed_query(record.name, failure)
        return str(error), None
    except ports.ConnectionLost as error:
        failure = NO_ANSWER if error.is_timeout else "connection lost"
        fleet.count_failed_query(record.name, failure)
        return str(error), None
    finally:
        if connection is not None and not is_kept:
            connection.close()
    if answer is None:
        fleet.count_failed_query(record.name, "refused")
    return "", answer


async def read_status(
    fleet: Fleet, record: catalog.EndpointRecord
) -> ports.LogStatus | None:
    """Return the status of an endpoint's log, None if it does not answer in time."""
    _, status = await query(fleet, record, read_log_status)
    return status


async def read_statuses(fleet: Fleet, group: str) -> dict[str, ports.LogStatus]:
    """Return the status of each log of a group that can be read in time."""
    statuses: dict[str, ports.LogStatus] = {}

    async def read(record: catalog.EndpointRecord) -> None:
        status = await read_status(fleet, record)
        if status is not None:
            statuses[record.name] = status

    async with anyio.create_task_group() as tasks:
        for record in fleet.list_records(group):
            tasks.start_soon(read, record)
    return statuses


async def await_log_status(
    connection: ports.Connection, deadline: float
) -> ports.LogStatus | None:
    """Return the status of the log, waiting for a free slot until the deadline."""
    status = await connection.read_status(deadline)
    while status is None and clock.read() < deadline:
        await anyio.sleep(CHECK_INTERVAL)
        status = await connection.read_status(deadline)
    return status


async def read_log_status(
    connection: ports.Connection, deadline: float
) -> ports.LogStatus | None:
    """Return the status of the log; an operation for :func:`query`."""
    return await connection.read_status(deadline)


class FrozenLog:
    """Log that was frozen.

    :param born: the start of the endpoint's process; a later one has no pause.
    """

    __slots__ = ("status", "born")

    def __init__(self, status: ports.LogStatus, born: int) -> None:
        """Initialize the log as it was read."""
        self.status = status
        self.born = born


class FrozenSet:
    """Frozen logs that together had every commit that was acknowledged by then.

    :param end: of the longest one.
    :param names: of their endpoints. A later commit can only be acknowledged through
        one that joined or started again, which may have left since.
    :param departed: number of replicas that had left by then.
    """

    __slots__ = ("end", "names", "departed")

    def __init__(
        self,
        end: positions.Position,
        names: frozenset[str],
        departed: int,
    ) -> None:
        """Initialize the set as it was frozen."""
        self.end = end
        self.names = names
        self.departed = departed


class Failover:
    """One replacement of a group's primary.

    :param planned: whether it is a switchover: the primary still works.
    """

    def __init__(
        self, fleet: Fleet, group: str, sync_replicas: int, planned: bool
    ) -> None:
        """Prepare a failover that starts from the state in the store."""
        self.fleet = fleet
        self.group = group
        self.sync_replicas = sync_replicas
        self.planned = planned
        self._frozen_at = 0.0
        self._frozen: dict[str, FrozenLog] = {}
        self._unread: dict[str, str] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._reuse_since = clock.read()
        self._started_at = clock.read()
        self._is_resumed = False
        self._end_position = positions.START
        self._replicated = positions.START
        self._reinstate_at = clock.read() + REINSTATE_AFTER
        self._accept_loss_at = clock.read() + LOSS_ACCEPTED_AFTER
        self._failed_targets: set[str] = set()
        self._inherited_until = fleet.find_request_expiry(group)
        self._outstanding: list[float] = []
        self._effective_by = 0.0
        self._kept = KeptConnections()
        self._known_names: frozenset[str] = frozenset()
        self._complete: FrozenSet | None = None
        self._requests: list[tuple[str, float]] = []

    async def run(self) -> None:
        """Replace the primary; stop when this node is no longer the leader."""
        try:
            await self._replace()
        finally:
            self._kept.close()

    async def _replace(self) -> None:
        fleet = self.fleet
        state = fleet.find_state(self.group)
        started_at = clock.read()
        if state.phase is not catalog.Phase.SEALED:
            state = await self._seal(state)
            if self.planned:
                await anyio.sleep(commits.SEAL_GRACE)
        sealed = state
        while fleet.leads():
            plan = await self._freeze(state)
            if plan.leader:
                await self._wait_for_leases(sealed.stage)
                await self._publish(state, plan.leader, started_at)
                return
            if not plan.target or not self._may_request(state, plan.target):
                await anyio.sleep(RETRY_DELAY)
                if state.attempt >= catalog.FIRST_SETTLED and self._lacks_told():
                    await self._resume_replicas(state)
                continue
            if state.attempt < catalog.FIRST_SETTLED:
                # From here on, nodes tell no caller of a commit's success.
                state = await self._advance_seal(state)
            await self._wait_for_leases((*sealed.stage[:2], catalog.FIRST_SETTLED))
            if self._may_lack_told(plan):
                fleet.record_frozen(self.group, None)
                await self._resume_replicas(state)
                continue
            if not await self._check_frozen(state, plan):
                fleet.record_frozen(self.group, None)
                continue
            fleet.record_frozen(self.group, self._end_position)
            state = await self._name_target(state, plan.target)
            if await self._promote(state, plan.target):
                await self._publish(state, plan.target, started_at)
                return

    def _may_lack_told(self, plan: promotion.Plan) -> bool:
        """Return whether a target may lack a commit that a caller was told of.

        It does if its log ends before what a node states, by reports that may have
        arrived since it was chosen. It may if a node states nothing, unless the
        replicas followed the primary until no node could tell of a commit any more.
        """
        if plan.grounds not in (
            promotion.Grounds.REPLICAS,
            promotion.Grounds.REPORTS,
        ):
            return False
        self._update_replicated()
        told = self._collect_told()
        end = self._frozen[plan.target].status.received
        if end < self._replicated:
            return True
        if end < told.newest and clock.read() < self._has_records_at():
            return True
        return bool(told.missing) and not self._is_resumed

    def _lacks_told(self) -> bool:
        """Return whether the longest frozen log lacks what the nodes state."""
        told = max(self._collect_told().newest, self._replicated)
        return bool(self._frozen) and self._end_position < told

    def _collect_told(self) -> member_reports.Statements:
        return self.fleet.collect_statements(self.group, self._started_at)

    def _has_records_at(self) -> float:
        """Return from when on every running endpoint has a record."""
        return self.fleet.find_sealed_at(self.group) + RECORD_WAIT

    async def _resume_replicas(self, state: catalog.GroupState) -> None:
        """Have the frozen replicas follow the old primary again, to be frozen anew.

        Not before the seal is settled for all nodes: what they tell until then has to
        be among what the replicas receive.
        """
        await self._wait_for_leases((*state.stage[:2], catalog.FIRST_SETTLED))
        frozen, self._frozen = self._frozen, {}
        told = self._collect_told()
        self.fleet.note(
            "resumed",
            group=self.group,
            end=list(self._end_position),
            told=list(told.newest),
            unstated=told.missing[:LOGGED_NAMES],
            replicated=list(self._replicated),
        )
        failed: list[str] = []

        async def resume(record: catalog.EndpointRecord) -> None:
            _, status = await query(
                self.fleet,
                record,
                lambda connection, deadline: connection.resume(deadline),
                self._kept,
            )
            if status is None:
                failed.append(record.name)

        async with anyio.create_task_group() as tasks:
            for record in self.fleet.list_records(self.group):
                if record.name in frozen and record.name != state.primary:
                    tasks.start_soon(resume, record)
        self._is_resumed = not failed
        await anyio.sleep(CATCH_UP_WAIT)

    def _update_replicated(self) -> None:
        """Learn what replicas have received; nodes that know it may leave."""
        known = self.fleet.find_replicated(self.group)
        self._replicated = max(self._replicated, known)

    async def reinstate(self) -> None:
        """Promote the published primary again, before it follows a later one.

        Its log has commits that the later one's lacks and that were acknowledged.
        """
        started_at = clock.read()
        state = self.fleet.find_state(self.group)
        if state.phase is not catalog.Phase.SEALED:
            state = await self._seal(state)
            primary = state.primary
            state = await self._name_target(state, primary)
            if await self._promote(state, primary):
                await self._publish(state, primary, started_at)
                return
        await self.run()

    async def _seal(self, state: catalog.GroupState) -> catalog.GroupState:
        """Store that the primary is being replaced, and tell the nodes."""
        self.fleet.note("seal", group=self.group, term=state.term, old=state.primary)
        return await self._advance_seal(state)

    async def _advance_seal(self, state: catalog.GroupState) -> catalog.GroupState:
        """Store the next attempt of a seal, and tell the nodes."""
        sealed = await self._write(
            state,
            state.term,
            state.primary,
            sealed=True,
            requested=self._find_requested(state),
        )
        self.fleet.notify_nodes()
        return sealed

    def _may_request(self, state: catalog.GroupState, target: str) -> bool:
        """Return whether no earlier request can promote another endpoint afterwards.

        The platform may execute a request late, whether it answered or not, which
        replaces the primary by a log without the commits since. For the present primary
        it changes nothing.
        """
        return target == state.requested or not self._is_outstanding()

    def _is_outstanding(self) -> bool:
        """Return whether a request may still be executed; all name one endpoint."""
        return clock.read() < max([self._inherited_until, *self._outstanding])

    def _note_outstanding(self) -> float:
        """Return until when the request that was just sent may be executed."""
        expires_at = self.fleet.find_request_expiry(self.group)
        self._outstanding.append(expires_at)
        return expires_at

    def _settle_request(self) -> None:
        """Note that a request was executed; others may still be.

        How many an earlier leader sent is not known.
        """
        now = clock.read()
        count = sum(now < expires_at for expires_at in self._outstanding)
        if now >= self._inherited_until and count == 1:
            self._outstanding.clear()

    async def _write(
        self,
        state: catalog.GroupState,
        term: int,
        primary: str,
        sealed: bool,
        requested: str = "",
    ) -> catalog.GroupState:
        phase = catalog.Phase.SEALED if sealed else catalog.Phase.SERVING
        attempt = state.attempt + 1 if sealed else 0
        new = catalog.GroupState(
            self.group,
            term,
            primary,
            phase,
            state.version,
            attempt,
            requested=requested,
        )
        return await self.fleet.write_state(new)

    def _find_requested(self, state: catalog.GroupState) -> str:
        """Return the endpoint that a request may still promote."""
        return state.requested if self._is_outstanding() else ""

    # Freezing

    async def _freeze(self, state: catalog.GroupState) -> promotion.Plan:
        """Freeze all reachable logs and return the plan that they permit."""
        records = self.fleet.list_records(self.group)
        logs = self._reuse_frozen(records)
        self._evacuated = frozenset(
            item.name for item in records if self.fleet.is_evacuated(item)
        )
        replica_count = sum(record.name != state.primary for record in records)
        replica_count += self.fleet.count_departed(self.group, state.primary)
        enough = promotion.count_required_replicas(replica_count, self.sync_replicas)
        self._unread = {}
        self._known_names = frozenset(record.name for record in records)
        async with anyio.create_task_group() as tasks:
            for record in records:
                if record.name not in logs:
                    tasks.start_soon(
                        self._freeze_one, record, state, logs, tasks, enough
                    )
        if logs.keys() != self._frozen.keys():
            self.fleet.notify_nodes()
        self._frozen = logs
        self._frozen_at = clock.read()
        statuses = {name: log.status for name, log in logs.items()}
        self._end_position = _find_end(statuses)
        replicas = {
            name: log for name, log in statuses.items() if name != state.primary
        }
        restarted = self.fleet.find_restarted(self.group, _find_end(replicas))
        others = [record for record in records if record.name != state.primary]
        if self._has_all_since(others, replicas, restarted):
            replica_count, restarted = len(replicas), frozenset()
        old = state.primary
        draining = frozenset(
            item.name
            for item in records
            if item.is_draining or item.name in self._evacuated
        )
        told = self._collect_told()
        self._update_replicated()
        plan = promotion.choose_target(
            statuses,
            state,
            replica_count,
            self.sync_replicas,
            draining,
            frozenset(self._failed_targets),
            self._find_requested(state),
            self._frozen_at > self._reinstate_at,
            told.acknowledged,
            self._frozen_at > self._accept_loss_at and self._find_record(old) is None,
            self.fleet.find_preferred(self.group),
            restarted,
            self._replicated,
            told.newest,
            self._frozen_at < self._has_records_at(),
        )
        if self._complete is None and plan.grounds is promotion.Grounds.REPLICAS:
            self._complete = FrozenSet(
                _find_end(replicas),
                frozenset(replicas),
                self.fleet.count_departed(self.group, ""),
            )
        self.fleet.note(
            "frozen",
            group=self.group,
            logs={name: list(item.received) for name, item in statuses.items()},
            born={item.name: item.born for item in records if item.name in statuses},
            unread=self._unread,
            restarted=sorted(restarted),
            replicas=replica_count,
            departed=self.fleet.count_departed(self.group, state.primary),
            required=enough,
            told=list(told.newest),
            unstated=told.missing[:LOGGED_NAMES],
            replicated=list(self._replicated),
            target=plan.target,
            grounds=None if plan.grounds is None else plan.grounds.value,
            leader=plan.leader,
        )
        return plan

    def _reuse_frozen(
        self, records: list[catalog.EndpointRecord]
    ) -> dict[str, FrozenLog]:
        """Return the logs that were frozen in an earlier round and not long ago."""
        now = clock.read()
        if now - self._reuse_since > FREEZE_LIFETIME:
            self._reuse_since = now
            return {}
        starts = {record.name: record.born for record in records}
        return {
            name: log
            for name, log in self._frozen.items()
            if starts.get(name) == log.born and not log.status.is_primary
        }

    async def _freeze_one(
        self,
        record: catalog.EndpointRecord,
        state: catalog.GroupState,
        logs: dict[str, FrozenLog],
        tasks: anyio.abc.TaskGroup,
        enough: int,
    ) -> None:
        reason, status = await query(
            self.fleet,
            record,
            lambda connection, deadline: self._freeze_log(
                record.name, connection, state, deadline
            ),
            self._kept,
        )
        if reason:
            self._unread[record.name] = reason
        if status is None:
            return
        logs[record.name] = FrozenLog(status, record.born)
        replicas = {
            name: log.status for name, log in logs.items() if name != state.primary
        }
        restarted = self.fleet.find_restarted(self.group, _find_end(replicas))
        proving = len(replicas.keys() - restarted)
        # Further logs may be as long as the longest, and outside of evacuated zones.
        has_choice = promotion.has_longest_outside(replicas, self._evacuated)
        if proving >= enough and not self.planned and has_choice:
            tasks.cancel_scope.cancel()

    async def _freeze_log(
        self,
        name: str,
        connection: ports.Connection,
        state: catalog.GroupState,
        deadline: float,
    ) -> ports.LogStatus | None:
        """Stop a log and return its status, None if it may still grow."""
        status = await await_log_status(connection, deadline)
        if status is None or not self.fleet.leads():
            return None
        if status.is_primary:
            if status.term > state.term:
                return status
            status = await connection.step_down(state.term + 1, deadline)
            if status is None or status.is_primary or name == state.primary:
                return status
            # An earlier primary follows the present one now, as a replica.
        if status.paused_term > state.term:
            return status
        return await connection.pause(max(state.term, status.term) + 1, deadline)

    # Promoting

    async def _wait_for_leases(self, settled: catalog.Stage) -> None:
        """Wait until no node may tell a caller of a commit of the old primary.

        Each has stated by then what it told, or its lease has expired. A leader that
        took over has not heard the others' statements yet.
        """
        waits_until = max(
            self.fleet.find_lease_expiry(self.group),
            self._started_at + STATEMENT_WAIT,
        )
        while clock.read() < waits_until and self.fleet.leads():
            if self.fleet.is_seal_known(self.group, settled):
                return
            await anyio.sleep(CHECK_INTERVAL)

    async def _check_frozen(
        self, state: catalog.GroupState, plan: promotion.Plan
    ) -> bool:
        """Return whether all logs are still frozen; discard those that are not.

        A replica that restarts loses its pause, and receives commits that
        disconnected nodes still wrote under their leases. So does one that joins, which
        matters if the number of frozen replicas is what proves the target's log.
        """
        running = []
        if plan.grounds is promotion.Grounds.REPLICAS:
            await self.fleet.refresh_records()
            running = self._list_joined()
        unread: dict[str, str] = {}

        async def check(record: catalog.EndpointRecord, frozen: FrozenLog):
            reason, status = await query(
                self.fleet, record, await_log_status, self._kept
            )
            if status is None:
                unread[record.name] = reason or "the endpoint has no free slot"
            elif (
                status.received != frozen.status.received
                or status.is_primary
                or (record.name != state.primary and status.paused_term <= state.term)
            ):
                running.append(record.name)

        async with anyio.create_task_group() as tasks:
            for record in self.fleet.list_records(self.group):
                frozen = self._frozen.get(record.name)
                if frozen is None:
                    continue
                if frozen.born != record.born:
                    running.append(record.name)
                else:
                    tasks.start_soon(check, record, frozen)
        # One that cannot be read may have restarted, and have received commits.
        for name in (*running, *unread):
            self._frozen.pop(name, None)
        if running or unread:
            self.fleet.note(
                "not_frozen",
                group=self.group,
                endpoints=sorted(running),
                unread=unread,
            )
        return not running and not unread

    def _list_joined(self) -> list[str]:
        """Return the endpoints that were not there when the logs were frozen."""
        return [
            record.name
            for record in self.fleet.list_records(self.group)
            if record.name not in self._known_names
        ]

    def _has_all_since(
        self,
        records: list[catalog.EndpointRecord],
        replicas: dict[str, ports.LogStatus],
        restarted: frozenset[str],
    ) -> bool:
        """Return whether the frozen logs have all commits, though some started since.

        A complete set was frozen before. What was acknowledged later is in the logs of
        endpoints that joined or started again. All that are there have to be frozen
        now, as a record may not show a restart yet, and none of them may have left.
        """
        complete = self._complete
        if complete is None or _find_end(replicas) < complete.end:
            return False
        names = {record.name for record in records}
        gone = complete.names - names
        departed = self.fleet.count_departed(self.group, "") - complete.departed
        has_lost_none = departed <= len(gone) and not gone & restarted
        return has_lost_none and names <= replicas.keys()

    async def _name_target(
        self, state: catalog.GroupState, target: str
    ) -> catalog.GroupState:
        """Store which endpoint the next request will name."""
        return await self._write(
            state, state.term, state.primary, sealed=True, requested=target
        )

    async def _promote(self, state: catalog.GroupState, target: str) -> bool:
        """Return whether an endpoint became primary of a later term on request."""
        record = self._find_record(target)
        born = record.born if record is not None else None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._stop_old_primary, state, target)
            await self._request(state, target)
            is_promoted = await self._wait_for_promotion(state, target, born)
            tasks.cancel_scope.cancel()
        return is_promoted

    async def _stop_old_primary(self, state: catalog.GroupState, target: str) -> None:
        """Have the old primary step down, if it could not be told so before.

        Until the promotion takes effect, a replica that restarts or joins receives its
        commits, which the promoted log lacks.
        """
        old = state.primary
        if old == target or old in self._frozen:
            return
        while self.fleet.leads():
            record = self._find_record(old)
            if record is None:
                return
            _, status = await query(
                self.fleet,
                record,
                lambda connection, deadline: self._step_down(
                    connection, state, deadline
                ),
            )
            if status is not None:
                self.fleet.note("stepped_down", group=self.group, endpoint=old)
                return
            await anyio.sleep(POLL_INTERVAL)

    async def _step_down(
        self,
        connection: ports.Connection,
        state: catalog.GroupState,
        deadline: float,
    ) -> ports.LogStatus | None:
        """Have a primary step down unless it leads a later term."""
        status = await await_log_status(connection, deadline)
        if status is None or not self.fleet.leads():
            return None
        if not status.is_primary or status.term > state.term:
            return status
        return await connection.step_down(state.term + 1, deadline)

    async def _request(self, state: catalog.GroupState, target: str) -> None:
        """Request a promotion, and note until when it must take effect."""
        self.fleet.note(
            "promote",
            group=self.group,
            target=target,
            earlier=self._list_requests(),
        )
        self._note_unfrozen()
        self._requests.append((target, clock.read()))
        try:
            await self.fleet.request_promotion(self.group, target)
            self._effective_by = self._note_outstanding()
            self._failed_targets.add(target)
        except errors.PlatformUnavailable as error:
            self._note_outstanding()
            self._effective_by = clock.read() + UNANSWERED_TIMEOUT
            self.fleet.note("promote_unanswered", group=self.group, reason=str(error))
        except errors.PlatformError as error:
            self._effective_by = clock.read() + REFUSED_DELAY
            self._failed_targets.add(target)
            self.fleet.note("promote_refused", group=self.group, reason=str(error))

    def _list_requests(self) -> list[list]:
        """Return the targets of the requests so far, with their ages in seconds."""
        now = clock.read()
        return [[target, round(now - at, 3)] for target, at in self._requests]

    def _note_unfrozen(self) -> None:
        """Log the endpoints of which no log was frozen, or that of an earlier start."""
        for record in self.fleet.list_records(self.group):
            frozen = self._frozen.get(record.name)
            if frozen is None or frozen.born != record.born:
                self.fleet.note(
                    "unfrozen",
                    group=self.group,
                    endpoint=record.name,
                    born=record.born,
                    frozen=None if frozen is None else frozen.born,
                    unread=self._unread.get(record.name),
                )

    async def _wait_for_promotion(
        self, state: catalog.GroupState, target: str, born: int | None
    ) -> bool:
        """Return whether an endpoint became primary of a later term in time.

        Without a record it may still be promoted: a missing one says that it does not
        reach the store.

        :param born: its start when the request was sent; the platform may have found
            it not running if there is a later one.
        """
        while clock.read() < self._effective_by and self.fleet.leads():
            record = self._find_record(target)
            status = await read_status(self.fleet, record) if record else None
            if status is not None and status.is_primary and status.term > state.term:
                return True
            if record is not None and record.born != born:
                return False
            await anyio.sleep(POLL_INTERVAL)
        return False

    def _find_record(self, name: str) -> catalog.EndpointRecord | None:
        for record in self.fleet.list_records(self.group):
            if record.name == name:
                return record
        return None

    async def _publish(
        self, state: catalog.GroupState, primary: str, started_at: float
    ) -> None:
        """Publish the new primary, and make the other endpoints follow it."""
        record = self._find_record(primary)
        status = await read_status(self.fleet, record) if record else None
        if status is None or not status.is_primary:
            raise errors.PlatformUnavailable(
                f"{primary} is no longer primary.", "The failover restarts."
            )
        if primary == state.requested:
            self._settle_request()
        published = await self._write(
            state,
            status.term,
            primary,
            sealed=False,
            requested=self._find_requested(state),
        )
        self.fleet.notify_nodes()
        self._note_unfrozen()
        self.fleet.note(
            "published",
            group=self.group,
            term=published.term,
            primary=primary,
            end=list(status.received),
            requests=self._list_requests(),
            gap_ms=round((clock.read() - started_at) * 1000),
        )
        await reconcile(self.fleet, self.group, published)


def _find_end(statuses: dict[str, ports.LogStatus]) -> positions.Position:
    """Return the end of the longest log."""
    return max(
        (status.received for status in statuses.values()), default=positions.START
    )


async def reconcile(fleet: Fleet, group: str, state: catalog.GroupState) -> bool:
    """Resume paused replicas, and make an old primary step down.

    :returns: whether every endpoint was reached and follows the primary.
    """
    done = True
    for record in fleet.list_records(group):
        if record.name == state.primary:
            continue
        reason, follows = await query(
            fleet,
            record,
            lambda connection, deadline: _reconcile_one(
                fleet, connection, state, deadline
            ),
        )
        if reason:
            fleet.note("not_aligned", group=group, endpoint=record.name, reason=reason)
        done = bool(follows) and done
    return done


async def find_later_term(fleet: Fleet, group: str, state: catalog.GroupState) -> bool:
    """Return whether an endpoint has seen a later term than a state's.

    :raises sardinehold.errors.PlatformUnavailable: no endpoint confirms the state: its
        primary cannot be queried, or is none.
    """
    is_confirmed = False
    for record in fleet.list_records(group):
        _, status = await query(fleet, record, await_log_status)
        if status is not None and status.term > state.term:
            return True
        if status is not None and status.is_primary and record.name == state.primary:
            is_confirmed = status.term == state.term
    if not is_confirmed:
        raise errors.PlatformUnavailable(
            f"{state.primary} does not confirm that it is the primary of {group}.",
            "It is replaced if no other node knows a later state.",
        )
    return False


async def _reconcile_one(
    fleet: Fleet,
    connection: ports.Connection,
    state: catalog.GroupState,
    deadline: float,
) -> bool:
    status = await connection.read_status(deadline)
    if status is None or not fleet.leads():
        return False
    if status.is_primary and status.term < state.term:
        status = await connection.step_down(state.term, deadline)
        return status is not None
    if status.paused_term:
        return await connection.resume(deadline) is not None
    return True
