"""Connections to endpoints: opening, session state, release and rollback."""

import asyncio
import typing

from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import jitter
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

OPEN_TIMEOUT = 1.0
"""Seconds that opening a connection may take; then the endpoint is unreachable."""

ROLLBACK_TIMEOUT = 0.5
"""Seconds that the rollback of an abandoned transaction may take before its connection
is closed instead."""

Dispatch = typing.Callable[[groups.Group, pool.Endpoint], None]


class Connections:
    """Opens and closes connections for the requests that wait for them.

    :param dispatch_waiting: called when a connection is free or may be opened.
    """

    def __init__(self, node: "nodes.Node", dispatch_waiting: Dispatch) -> None:
        """Initialize without connections."""
        self.node = node
        self._dispatch_waiting = dispatch_waiting

    def open(
        self,
        group: groups.Group,
        endpoint: pool.Endpoint,
        team: str,
        on_done: typing.Callable[[], None],
    ) -> None:
        """Start opening a connection in a team's name.

        :param on_done: called when it is open, or opening it has failed.
        """
        evicted = endpoint.evict_idle(clock.read())
        if evicted is not None:
            evicted.connection.close()
        endpoint.opening += 1
        self.node.spawn(self._finish_opening, group, endpoint, team, on_done)

    async def _finish_opening(
        self,
        group: groups.Group,
        endpoint: pool.Endpoint,
        team: str,
        on_done: typing.Callable[[], None],
    ) -> None:
        now = clock.read()
        try:
            connection = await self.node.connector.open(
                endpoint.record, team, now + OPEN_TIMEOUT
            )
        except ports.OpeningFailed as error:
            self._handle_failed_opening(group, endpoint, error)
        else:
            pooled = pool.PooledConnection(connection, endpoint, team)
            connection.on_lost = lambda: self.handle_lost(group, pooled)
            endpoint.connections.add(pooled)
            endpoint.handshakes += 1
            endpoint.record_answer(clock.read())
            pooled.idle_since = clock.read()
            endpoint.idle.append(pooled)
        finally:
            endpoint.opening -= 1
            on_done()
        self._dispatch_waiting(group, endpoint)

    def _handle_failed_opening(
        self,
        group: groups.Group,
        endpoint: pool.Endpoint,
        error: ports.OpeningFailed,
    ) -> None:
        now = clock.read()
        if error.failure is statements.Failure.CONNECTION_LIMIT:
            endpoint.record_answer(now)
            endpoint.record_limit_reached(now, jitter.spread(pool.LIMIT_RETRY_DELAY))
        elif error.failure is statements.Failure.BUSY:
            endpoint.record_answer(now)
            endpoint.retry_at = now + jitter.spread(pool.LIMIT_RETRY_DELAY)
        else:
            endpoint.record_failure(now, str(error))
        asyncio.get_running_loop().call_later(
            max(0.0, endpoint.retry_at - now), self._dispatch_waiting, group, endpoint
        )

    def handle_lost(self, group: groups.Group, pooled: pool.PooledConnection) -> None:
        """Remove a connection that broke, and probe its endpoint."""
        pooled.is_lost = True
        endpoint = pooled.endpoint
        endpoint.connections.discard(pooled)
        if pooled in endpoint.idle:
            endpoint.idle.remove(pooled)
        group.probe(endpoint)

    def release(self, pooled: pool.PooledConnection) -> None:
        """Return a connection without an open transaction to the pool."""
        endpoint = pooled.endpoint
        if pooled.is_lost:
            return
        group = self.node.groups[endpoint.record.group]
        if group.endpoints.get(endpoint.name) is not endpoint or not group.accepts_work(
            endpoint
        ):
            self.discard(pooled)
        else:
            pooled.idle_since = clock.read()
            endpoint.idle.append(pooled)

    def _must_discard(self, pooled: pool.PooledConnection) -> bool:
        """Return whether closing has to replace a ROLLBACK.

        Nothing is sent to an evacuated zone, and a cold endpoint is spared it.
        """
        group = self.node.groups[pooled.endpoint.record.group]
        return group.is_vacated(
            pooled.endpoint, clock.read()
        ) or self.node.cold_endpoints.is_cold(group, pooled.endpoint)

    def discard(self, pooled: pool.PooledConnection) -> None:
        """Close a connection instead of reusing it."""
        pooled.is_lost = True
        pooled.endpoint.connections.discard(pooled)
        pooled.connection.close()

    async def roll_back(self, pooled: pool.PooledConnection) -> None:
        """Roll back an abandoned transaction, and reuse its connection if possible."""
        if self._must_discard(pooled):
            self.discard(pooled)
            return
        try:
            deadline = clock.read() + ROLLBACK_TIMEOUT
            answer = await pooled.connection.roll_back(deadline)
        except ports.ConnectionLost:
            if not pooled.is_lost:
                self.discard(pooled)
            return
        if answer.error is None and answer.status == "I":
            self.release(pooled)
        else:
            self.discard(pooled)
        group = self.node.groups[pooled.endpoint.record.group]
        self._dispatch_waiting(group, pooled.endpoint)


Pace = typing.Callable[[], typing.Awaitable[None]]
"""Waits until the next statement may be sent to a cold endpoint."""


async def apply_session_state(
    pooled: pool.PooledConnection, request: execution.Request, pace: Pace | None = None
) -> list[statements.Definition]:
    """Apply the session's variables and prepared statement to a connection.

    :param pace: awaited before each statement, None if the endpoint is not cold.
    :returns: what was prepared on it.
    :raises sardinehold.node.execution.Rejected: the pace allows no further statement
        in time; the request has not been sent.
    :raises sardinehold.node.ports.ConnectionLost: it broke, or refused; the request
        has not been sent.
    """
    statement = request.statement
    definitions = (
        [statement.definition] if statement.kind is statements.Kind.EXECUTE else []
    )
    needs_reset, values, to_prepare = pool.find_missing_state(
        pooled, request.values, definitions, request.is_in_transaction
    )
    connection = pooled.connection
    deadline = request.deadline
    try:
        if needs_reset:
            if pace is not None:
                await pace()
            _check_answers(pooled, [await connection.reset(deadline)])
            pooled.values = {}
            pooled.prepared = set()
            pooled.prepared_bytes = 0
        if values and pace is not None:
            await _set_one_by_one(pooled, values, deadline, pace)
        elif values:
            _check_answers(pooled, await connection.set_values(values, deadline))
            pooled.values = dict(request.values)
        if to_prepare:
            if pace is not None:
                await pace()
            _check_answers(pooled, await connection.prepare(to_prepare, deadline))
            pooled.prepared.update(item.shared_name for item in to_prepare)
            pooled.prepared_bytes += sum(
                len(item.shared_name) + len(item.shape) for item in to_prepare
            )
    except ports.ConnectionLost as error:
        raise ports.ConnectionLost(False, error.is_timeout) from error
    return to_prepare


def _check_answers(
    pooled: pool.PooledConnection, answers: list[statements.Answer]
) -> None:
    """Discard a connection whose session state could not be set.

    Each answer is checked before the state is recorded: a later statement may be
    rejected by the pace, and the connection would return to the pool with state that
    it does not have.

    :raises sardinehold.node.ports.ConnectionLost: an answer is an error.
    """
    if any(answer.error is not None for answer in answers):
        pooled.is_lost = True
        pooled.endpoint.connections.discard(pooled)
        pooled.connection.close()
        raise ports.ConnectionLost(False)


async def _set_one_by_one(
    pooled: pool.PooledConnection, values: dict[str, str], deadline: float, pace: Pace
) -> None:
    """Set variables at a pace; those that are set stay known if it ends early."""
    for name, value in values.items():
        await pace()
        answers = await pooled.connection.set_values({name: value}, deadline)
        _check_answers(pooled, answers)
        pooled.values = {**pooled.values, name: value}
