"""Execution of statements on an endpoint by its owner, with one queue for its slots.

All nodes share a few slots of an endpoint. Their statements wait at the owner, which
tracks what is running, and are sent in the order in which they can still meet their
targets, so that the endpoint is neither idle nor overloaded.
"""

import asyncio
import random
import typing

from sardinehold.node import admission
from sardinehold.node import clock
from sardinehold.node import connections
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import outcomes
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

Kind = statements.Kind

ENDPOINT_FAILURES = frozenset(
    {statements.Failure.FAILED, statements.Failure.TIMEOUT, statements.Failure.BUSY}
)
"""Failures that count towards an endpoint's error rate; others are the statement's."""


class Stream:
    """A caller's statements on one endpoint, on the owner's side.

    :param pooled: the connection that an open transaction holds, or None.
    :param has_written: whether a write of that transaction succeeded.
    :param is_running: whether a request runs or waits.
    :param is_abandoned: whether the sender no longer waits for the stream.
    """

    __slots__ = ("pooled", "has_written", "is_running", "is_abandoned", "waiter")

    def __init__(self) -> None:
        """Create a stream without a connection."""
        self.pooled: pool.PooledConnection | None = None
        self.has_written = False
        self.is_running = False
        self.is_abandoned = False
        self.waiter: Waiter | None = None


class Waiter:
    """A request that waits for a slot and a connection.

    :param pooled: the connection that its transaction already holds, or None.
    :param opening: whether a connection is being opened for it.
    """

    __slots__ = ("request", "pooled", "future", "opening")

    def __init__(
        self, request: execution.Request, pooled: pool.PooledConnection | None
    ) -> None:
        """Create a waiter with a pending future."""
        self.request = request
        self.pooled = pooled
        self.future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.opening = False

    def finish_opening(self) -> None:
        """Record that opening a connection for it has ended."""
        self.opening = False

    def rank(self, now: float) -> tuple[int, int, float]:
        """Return the waiter's sort key; the lowest is served first."""
        return admission.rank(self.request.target, self.request.priority, now)


class Executor:
    """Runs requests on this node's own connections.

    :param node: the node; its groups hold the connections.
    :param running: number of requests that run or wait.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Create an idle executor."""
        self.node = node
        self.connections = connections.Connections(node, self.dispatch_waiting)
        self.running = 0
        self.streams: set[Stream] = set()

    def is_idle(self) -> bool:
        """Return whether no request runs and no transaction is open here."""
        return not self.running and not self.streams

    async def run(self, stream: Stream, request: execution.Request) -> execution.Reply:
        """Run a request.

        :raises sardinehold.node.execution.Rejected: it was not sent.
        :raises sardinehold.node.ports.ConnectionLost: the connection broke.
        """
        group = self.node.groups.get(request.group)
        endpoint = group.endpoints.get(request.endpoint) if group is not None else None
        if endpoint is None:
            raise execution.Rejected(
                execution.Rejection.AWAY,
                f"endpoint {request.endpoint} is unknown to this node",
            )
        self._check_stream(stream, request)
        self.node.cold_endpoints.check(group, endpoint, stream)
        if stream.pooled is not None:
            # A connection stays with the start for which it was opened.
            endpoint = stream.pooled.endpoint
        self.running += 1
        stream.is_running = True
        try:
            pooled = await self._wait_for_slot(group, endpoint, stream, request)
            return await self._run_on(group, pooled, stream, request)
        finally:
            self.running -= 1
            stream.is_running = False
            if stream.is_abandoned or stream.pooled is None:
                self.abandon(stream)
            else:
                self.streams.add(stream)

    @staticmethod
    def _check_stream(stream: Stream, request: execution.Request) -> None:
        """Reject a request that is abandoned or late, or whose transaction is gone.

        After a partition a request may arrive together with the end of its stream, or
        long after its connection was lost.
        """
        if stream.is_abandoned or clock.read() >= request.deadline:
            raise execution.Rejected(
                execution.Rejection.AWAY, "the request arrived too late"
            )
        if request.is_in_transaction and (
            stream.pooled is None or stream.pooled.is_lost
        ):
            raise execution.Rejected(
                execution.Rejection.AWAY, "its transaction is gone"
            )

    def abandon(self, stream: Stream) -> None:
        """Roll back a stream's open transaction; its sender no longer waits."""
        stream.is_abandoned = True
        if stream.is_running:
            waiter = stream.waiter
            if waiter is not None and not waiter.future.done():
                waiter.future.set_exception(
                    execution.Rejected(
                        execution.Rejection.AWAY, "the request was abandoned"
                    )
                )
            return
        self.streams.discard(stream)
        pooled, stream.pooled = stream.pooled, None
        if pooled is not None and not pooled.is_lost:
            self.node.spawn(self.connections.roll_back, pooled)

    # The queue

    async def _wait_for_slot(
        self,
        group: groups.Group,
        endpoint: pool.Endpoint,
        stream: Stream,
        request: execution.Request,
    ) -> pool.PooledConnection:
        """Return a connection after reserving a slot.

        :raises sardinehold.node.execution.Rejected: none is available in time.
        """
        waiter = Waiter(request, stream.pooled)
        self._check(group, endpoint, waiter)
        endpoint.waiters.append(waiter)
        stream.waiter = waiter
        self.dispatch_waiting(group, endpoint)
        self._reject_hopeless(endpoint, clock.read())
        try:
            async with asyncio.timeout(max(0.0, request.deadline - clock.read())):
                return await waiter.future
        except TimeoutError:
            self._release_late(endpoint, waiter)
            raise self._reject_full(endpoint, "its deadline passed") from None
        finally:
            stream.waiter = None
            if waiter in endpoint.waiters:
                endpoint.waiters.remove(waiter)

    def _release_late(self, endpoint: pool.Endpoint, waiter: Waiter) -> None:
        """Release the slot and connection of a waiter served just at its deadline."""
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception() is not None:
            return
        endpoint.running -= 1
        if waiter.pooled is None:
            self.connections.release(future.result())

    def _check(
        self, group: groups.Group, endpoint: pool.Endpoint, waiter: Waiter
    ) -> None:
        """Reject immediately a request that cannot be served in time."""
        now = clock.read()
        is_evacuated = group.evacuations.find(endpoint.record.zone) is not None
        if is_evacuated and (
            group.is_vacated(endpoint, now)
            or (waiter.pooled is None and group.is_closed(endpoint, now))
        ):
            raise self._reject_evacuated(endpoint)
        if waiter.pooled is None:
            if not group.accepts_work(endpoint):
                raise execution.Rejected(
                    execution.Rejection.AWAY,
                    f"endpoint {endpoint.name} takes no new work",
                )
            if endpoint.failing_since is not None:
                raise self._reject_unreachable(endpoint)
            self._divert(endpoint, waiter.request)
        rank = waiter.rank(now)
        ahead = sum(other.rank(now) <= rank for other in endpoint.waiters)
        self.node.cold_endpoints.check_wait(
            group, endpoint, ahead, waiter.request.deadline
        )
        if endpoint.has_slot() and not ahead:
            # Admitted even if recent statements took too long: only a running statement
            # can show that they no longer do.
            return
        wait = admission.estimate_wait(
            ahead + 1, endpoint.service_time, endpoint.record.slots
        )
        if now + wait + endpoint.service_time > waiter.request.deadline:
            raise self._reject_full(endpoint, f"{ahead} statements are ahead of it")

    @staticmethod
    def _divert(endpoint: pool.Endpoint, request: execution.Request) -> None:
        """Reject a read that may run elsewhere if the endpoint has no room for it."""
        held = endpoint.running + len(endpoint.waiters)
        if request.divert_at is not None and held >= request.divert_at:
            raise execution.Rejected(
                execution.Rejection.DIVERTED,
                f"endpoint {endpoint.name} holds {held} statements",
                ahead=held,
            )

    def _reject_full(self, endpoint: pool.Endpoint, reason: str) -> execution.Rejected:
        wait = admission.estimate_wait(
            len(endpoint.waiters), endpoint.service_time, endpoint.record.slots
        )
        return execution.Rejected(
            execution.Rejection.FULL,
            f"endpoint {endpoint.name} has no slot in time: {reason}",
            admission.compute_retry_after(wait, random.random()),
        )

    def _reject_unreachable(self, endpoint: pool.Endpoint) -> execution.Rejected:
        return execution.Rejected(
            execution.Rejection.UNREACHABLE,
            f"endpoint {endpoint.name} is unreachable: {endpoint.failure}",
        )

    def _reject_evacuated(self, endpoint: pool.Endpoint) -> execution.Rejected:
        zone = endpoint.record.zone
        self.node.evacuation_tasks.count("evacuation_moved", zone)
        return execution.Rejected(
            execution.Rejection.AWAY,
            f"endpoint {endpoint.name} is in evacuated zone {zone}",
        )

    def leave_evacuated(
        self, group: groups.Group, endpoint: pool.Endpoint, now: float
    ) -> None:
        """Reject what waits for an endpoint whose zone is evacuated.

        Requests of open transactions are rejected once those may not go on either, and
        the transactions rolled back.
        """
        if not group.is_closed(endpoint, now):
            return
        is_vacated = group.is_vacated(endpoint, now)
        for waiter in list(endpoint.waiters):
            if not waiter.future.done() and (is_vacated or waiter.pooled is None):
                waiter.future.set_exception(self._reject_evacuated(endpoint))
        if not is_vacated:
            return
        for stream in list(self.streams):
            pooled = stream.pooled
            if pooled is None or stream.is_running:
                continue
            if pooled.endpoint is endpoint:
                self.abandon(stream)

    def dispatch_waiting(self, group: groups.Group, endpoint: pool.Endpoint) -> None:
        """Serve waiting requests, as far as there are slots and connections."""
        now = clock.read()
        self.leave_evacuated(group, endpoint, now)
        if endpoint.failing_since is not None:
            self._reject_waiting(endpoint)
        if not endpoint.waiters:
            return
        cold = self.node.cold_endpoints
        for waiter in sorted(endpoint.waiters, key=lambda item: item.rank(now)):
            if not endpoint.has_slot():
                return
            if waiter.future.done():
                continue
            if not cold.may_dispatch(group, endpoint):
                return
            pooled = waiter.pooled
            if pooled is None:
                pooled = endpoint.take_idle(waiter.request.team, waiter.request.values)
            if pooled is not None:
                cold.take(group, endpoint)
                endpoint.running += 1
                endpoint.waiters.remove(waiter)
                waiter.future.set_result(pooled)
            elif not waiter.opening and endpoint.may_open(now):
                waiter.opening = True
                self.connections.open(
                    group, endpoint, waiter.request.team, waiter.finish_opening
                )

    def _reject_hopeless(self, endpoint: pool.Endpoint, now: float) -> None:
        """Reject waiting requests that can no longer be served in time.

        Those of open transactions stay: a slot for their next statement ends them
        sooner than a rollback and another try.
        """
        slots = endpoint.record.slots
        if len(endpoint.waiters) <= slots:
            return
        ranked = [
            waiter
            for waiter in sorted(endpoint.waiters, key=lambda item: item.rank(now))
            if waiter.pooled is None and not waiter.future.done()
        ]
        deadlines = [waiter.request.deadline for waiter in ranked]
        free = slots - endpoint.running
        for index in admission.find_hopeless(
            deadlines, now, endpoint.service_time, slots, free
        ):
            error = self._reject_full(endpoint, "others precede it until its deadline")
            ranked[index].future.set_exception(error)

    def _reject_waiting(self, endpoint: pool.Endpoint) -> None:
        """Reject the requests that wait for an unreachable endpoint."""
        for waiter in list(endpoint.waiters):
            if waiter.pooled is None and not waiter.future.done():
                waiter.future.set_exception(self._reject_unreachable(endpoint))

    # Running

    async def _run_on(
        self,
        group: groups.Group,
        pooled: pool.PooledConnection,
        stream: Stream,
        request: execution.Request,
    ) -> execution.Reply:
        """Run a request on a connection, and keep or release the connection."""
        endpoint = pooled.endpoint
        was_open = stream.pooled is not None
        proves_commit = _proves_commit(stream, request.statement)
        sent_at = clock.read()
        is_sent = True
        pace = self._make_pace(group, pooled, stream, request)
        try:
            self._check_start(group, pooled, stream, request)
            prepared = await connections.apply_session_state(pooled, request, pace)
            for definition in prepared:
                self.node.journal.note_ordinary(
                    "prepared",
                    request=request.statement.request_id,
                    endpoint=endpoint.name,
                    team=pooled.team,
                    name=definition.shared_name,
                    shape=definition.shape,
                )
            if pace is not None:
                await pace()
            self._check_start(group, pooled, stream, request)
            sent_at = request.sent_at = clock.read()
            self.node.late_sends.check(request, pooled.team)
            endpoint.sent[pooled] = sent_at
            if proves_commit:
                endpoint.writes[pooled] = sent_at
            answer = await pooled.connection.run(
                request.statement, request.deadline, request.after
            )
        except ports.StatementTooLong:
            # The transaction on the connection is rolled back by its caller.
            answer = statements.Answer(
                [],
                error=statements.Failure.TOO_LARGE,
                detail=outcomes.EXCEEDS_LIMIT,
                status="E" if was_open else "I",
            )
            is_sent = False
        except ports.ConnectionLost:
            endpoint.error_rate.record(clock.read(), True)
            stream.pooled = None
            if not pooled.is_lost:
                self.connections.handle_lost(group, pooled)
            raise
        except execution.Rejected:
            raise
        except Exception:
            # What was sent, and the session state of the connection, are unknown.
            stream.pooled = None
            self.connections.discard(pooled)
            raise
        finally:
            endpoint.running -= 1
            endpoint.sent.pop(pooled, None)
            endpoint.writes.pop(pooled, None)
            self.dispatch_waiting(group, endpoint)
        if is_sent:
            self._record_answer(
                group, pooled, request, answer, sent_at, was_open, proves_commit
            )
        self._keep_or_release(stream, pooled, request, answer)
        self.dispatch_waiting(group, endpoint)
        ahead = endpoint.running + len(endpoint.waiters)
        failed = endpoint.error_rate.compute(clock.read())
        return execution.Reply(
            answer,
            execution.Load(ahead, endpoint.service_time, failed),
            sent_at - request.origin.arrived_at,
        )

    def _make_pace(
        self,
        group: groups.Group,
        pooled: pool.PooledConnection,
        stream: Stream,
        request: execution.Request,
    ) -> connections.Pace | None:
        """Return the function that paces a request's statements, None if unlimited."""
        cold = self.node.cold_endpoints
        found = cold.make_pace(group, pooled.endpoint, request.deadline)
        if found is None:
            return None

        async def pace() -> None:
            try:
                await found.wait()
            except execution.Rejected:
                if stream.pooled is None:
                    self.connections.release(pooled)
                raise

        return pace

    def _check_start(
        self,
        group: groups.Group,
        pooled: pool.PooledConnection,
        stream: Stream,
        request: execution.Request,
    ) -> None:
        """Release the connection of a request that may not be sent any more.

        :raises sardinehold.node.execution.Rejected: it may not.
        """
        now = clock.read()
        if stream.is_abandoned:
            error = execution.Rejected(
                execution.Rejection.AWAY, "the request was abandoned"
            )
        elif group.is_vacated(pooled.endpoint, now):
            error = self._reject_evacuated(pooled.endpoint)
        elif _proves_commit(stream, request.statement) and (
            group.is_replaced(pooled.endpoint, now)
        ):
            error = execution.Rejected(
                execution.Rejection.AWAY,
                f"primary {pooled.endpoint.name} is being replaced",
            )
        elif now >= request.deadline:
            # Timers stand still while the VM is suspended.
            error = self._reject_full(pooled.endpoint, "its deadline passed")
        else:
            return
        if stream.pooled is None:
            self.connections.release(pooled)
        raise error

    def _record_answer(
        self,
        group: groups.Group,
        pooled: pool.PooledConnection,
        request: execution.Request,
        answer: statements.Answer,
        sent_at: float,
        was_open: bool,
        proves_commit: bool,
    ) -> None:
        """Update the endpoint's and the group's state from an answer."""
        endpoint = pooled.endpoint
        now = clock.read()
        endpoint.record_service_time(now - sent_at)
        endpoint.error_rate.record(now, answer.error in ENDPOINT_FAILURES)
        is_done = answer.error is None and answer.status == "I"
        was_autocommit = not was_open and answer.status == "I"
        group.record_answer(
            endpoint, sent_at, answer, was_autocommit, is_done and proves_commit
        )

    def _keep_or_release(
        self,
        stream: Stream,
        pooled: pool.PooledConnection,
        request: execution.Request,
        answer: statements.Answer,
    ) -> None:
        """Keep a connection for its transaction, or release it."""
        if pooled.is_lost:
            stream.pooled = None
        elif answer.status == "I":
            stream.pooled = None
            stream.has_written = False
            self.connections.release(pooled)
        else:
            stream.pooled = pooled
            if answer.error is None and statements.is_write(request.statement):
                stream.has_written = True


def _proves_commit(stream: Stream, statement: statements.Statement) -> bool:
    """Return whether a success proves that a replica has received a commit.

    The COMMIT of a transaction without writes proves nothing: even a primary that was
    replaced answers it.
    """
    if stream.pooled is None:
        return statements.is_write(statement)
    return statement.kind is Kind.COMMIT and stream.has_written
