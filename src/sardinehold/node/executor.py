"""The home of an endpoint: one queue in front of its slots, and its connections.

Answers the load of all nodes in front of a few slots: statements wait here, where it
is known what runs, and leave in the order of what can still be in time, so that the
endpoint is neither idle nor asked for more than it takes.
"""

import asyncio
import random
import typing

from sardinehold.node import admission
from sardinehold.node import clock
from sardinehold.node import connections
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

Kind = statements.Kind

ENDPOINT_FAILURES = frozenset(
    {statements.Failure.FAILED, statements.Failure.TIMEOUT, statements.Failure.BUSY}
)
"""What shows that an endpoint is not well; other failures are the statement's own."""


class Stream:
    """A caller's statements on one endpoint, as its home holds them.

    :param pooled: the connection that an open transaction holds, or None.
    :param has_written: whether a write of that transaction succeeded.
    :param is_running: whether an order runs or waits.
    :param is_abandoned: whether nobody waits for the stream any more.
    """

    __slots__ = ("pooled", "has_written", "is_running", "is_abandoned", "waiter")

    def __init__(self) -> None:
        """Start without a connection."""
        self.pooled: pool.PooledConnection | None = None
        self.has_written = False
        self.is_running = False
        self.is_abandoned = False
        self.waiter: Waiter | None = None


class Waiter:
    """An order that waits for a slot and a connection.

    :param pooled: the connection that it has already, or None.
    :param opening: whether a connection is being opened for it.
    """

    __slots__ = ("request", "pooled", "future", "opening")

    def __init__(
        self, request: execution.Request, pooled: pool.PooledConnection | None
    ) -> None:
        """Start waiting."""
        self.request = request
        self.pooled = pooled
        self.future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.opening = False

    def note_opened(self) -> None:
        """Note that no connection is being opened for it any more."""
        self.opening = False

    def rank(self, now: float) -> tuple[int, int, float]:
        """Return the waiter's order; the lowest goes first."""
        return admission.rank(self.request.target, self.request.priority, now)


class Executor:
    """Runs orders on this node's own connections.

    :param node: the node; its groups hold the connections.
    :param running: orders that run or wait.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Start with nothing running."""
        self.node = node
        self.connections = connections.Connections(node, self.dispatch_waiting)
        self.running = 0
        self.streams: set[Stream] = set()

    def is_idle(self) -> bool:
        """Return whether no order runs and no transaction is open here."""
        return not self.running and not self.streams

    async def run(self, stream: Stream, request: execution.Request) -> execution.Reply:
        """Run an order.

        :raises sardinehold.node.execution.Rejected: it was not sent.
        :raises sardinehold.node.ports.ConnectionLost: the connection broke.
        """
        group = self.node.groups.get(request.group)
        endpoint = group.endpoints.get(request.endpoint) if group is not None else None
        if endpoint is None:
            raise execution.Rejected(
                execution.Rejection.AWAY,
                f"endpoint {request.endpoint} is not known here",
            )
        self._check_stream(stream, request)
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
        """Reject an order that nobody waits for, or whose transaction is gone.

        Behind a partition an order may come together with the end of its stream, or
        when its connection has long been lost.
        """
        if stream.is_abandoned or clock.read() >= request.deadline:
            raise execution.Rejected(
                execution.Rejection.AWAY, "the order came too late"
            )
        if request.is_inside and (stream.pooled is None or stream.pooled.is_lost):
            raise execution.Rejected(
                execution.Rejection.AWAY, "its transaction is gone"
            )

    def abandon(self, stream: Stream) -> None:
        """Roll back what a stream holds open; nobody waits for it any more."""
        stream.is_abandoned = True
        if stream.is_running:
            waiter = stream.waiter
            if waiter is not None and not waiter.future.done():
                waiter.future.set_exception(
                    execution.Rejected(
                        execution.Rejection.AWAY, "the order was given up"
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
        """Return a connection, with a slot to run on.

        :raises sardinehold.node.execution.Rejected: none can be had in time.
        """
        waiter = Waiter(request, stream.pooled)
        self._check(group, endpoint, waiter)
        endpoint.waiters.append(waiter)
        stream.waiter = waiter
        self.dispatch_waiting(group, endpoint)
        try:
            async with asyncio.timeout(max(0.0, request.deadline - clock.read())):
                return await waiter.future
        except TimeoutError:
            self._release_late(endpoint, waiter)
            raise self._reject_full(endpoint, "its time was over") from None
        finally:
            stream.waiter = None
            if waiter in endpoint.waiters:
                endpoint.waiters.remove(waiter)

    def _release_late(self, endpoint: pool.Endpoint, waiter: Waiter) -> None:
        """Free what a waiter got at the very end of its time."""
        future = waiter.future
        if not future.done() or future.cancelled() or future.exception() is not None:
            return
        endpoint.running -= 1
        if waiter.pooled is None:
            self.connections.release(future.result())

    def _check(
        self, group: groups.Group, endpoint: pool.Endpoint, waiter: Waiter
    ) -> None:
        """Reject at once what cannot be served in time."""
        now = clock.read()
        if waiter.pooled is None:
            if not group.takes_work(endpoint):
                raise execution.Rejected(
                    execution.Rejection.AWAY,
                    f"endpoint {endpoint.name} takes no new work",
                )
            if endpoint.failing_since is not None:
                raise self._reject_unreachable(endpoint)
        rank = waiter.rank(now)
        ahead = sum(other.rank(now) <= rank for other in endpoint.waiters)
        if endpoint.has_slot() and not ahead:
            # Also where statements take too long of late: only one that runs shows
            # that they do not any more.
            return
        wait = admission.estimate_wait(
            ahead + 1, endpoint.service_time, endpoint.record.slots
        )
        if now + wait + endpoint.service_time > waiter.request.deadline:
            raise self._reject_full(endpoint, f"{ahead} statements are ahead of it")

    def _reject_full(self, endpoint: pool.Endpoint, reason: str) -> execution.Rejected:
        wait = admission.estimate_wait(
            len(endpoint.waiters), endpoint.service_time, endpoint.record.slots
        )
        return execution.Rejected(
            execution.Rejection.FULL,
            f"endpoint {endpoint.name} has no room in time: {reason}",
            admission.compute_retry_after(wait, random.random()),
        )

    def _reject_unreachable(self, endpoint: pool.Endpoint) -> execution.Rejected:
        return execution.Rejected(
            execution.Rejection.UNREACHABLE,
            f"endpoint {endpoint.name} is out of reach: {endpoint.failure}",
        )

    def dispatch_waiting(self, group: groups.Group, endpoint: pool.Endpoint) -> None:
        """Let those that wait go on, as far as there are slots and connections."""
        now = clock.read()
        if endpoint.failing_since is not None:
            self._reject_waiting(endpoint)
        for waiter in sorted(endpoint.waiters, key=lambda item: item.rank(now)):
            if not endpoint.has_slot():
                return
            if waiter.future.done():
                continue
            pooled = waiter.pooled
            if pooled is None:
                pooled = endpoint.take_idle(waiter.request.team, waiter.request.values)
            if pooled is not None:
                endpoint.running += 1
                endpoint.waiters.remove(waiter)
                waiter.future.set_result(pooled)
            elif not waiter.opening and endpoint.may_open(now):
                waiter.opening = True
                self.connections.open(
                    group, endpoint, waiter.request.team, waiter.note_opened
                )

    def _reject_waiting(self, endpoint: pool.Endpoint) -> None:
        """Send back what waits for an endpoint that is out of reach."""
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
        """Run an order on a connection, and keep or give the connection back."""
        endpoint = pooled.endpoint
        was_open = stream.pooled is not None
        needs_replica = _needs_replica(stream, request.statement)
        sent_at = clock.read()
        try:
            await connections.apply_session_state(pooled, request)
            if stream.is_abandoned:
                raise self._reject_abandoned(stream, pooled)
            sent_at = clock.read()
            endpoint.sent[pooled] = sent_at
            if needs_replica:
                endpoint.writes[pooled] = sent_at
            answer = await pooled.connection.run(
                request.statement, request.deadline, request.after
            )
        except ports.ConnectionLost:
            endpoint.error_rate.record(clock.read(), True)
            stream.pooled = None
            if not pooled.is_lost:
                self.connections.handle_lost(group, pooled)
            raise
        finally:
            endpoint.running -= 1
            endpoint.sent.pop(pooled, None)
            endpoint.writes.pop(pooled, None)
            self.dispatch_waiting(group, endpoint)
        self._record_answer(
            group, pooled, request, answer, sent_at, was_open, needs_replica
        )
        self._keep_or_release(stream, pooled, request, answer)
        self.dispatch_waiting(group, endpoint)
        ahead = endpoint.running + len(endpoint.waiters)
        failed = endpoint.error_rate.compute(clock.read())
        return execution.Reply(
            answer, execution.Load(ahead, endpoint.service_time, failed)
        )

    def _reject_abandoned(
        self, stream: Stream, pooled: pool.PooledConnection
    ) -> execution.Rejected:
        """Give back a connection that a stream without a waiter does not need."""
        if stream.pooled is None:
            self.connections.release(pooled)
        return execution.Rejected(execution.Rejection.AWAY, "the order was given up")

    def _record_answer(
        self,
        group: groups.Group,
        pooled: pool.PooledConnection,
        request: execution.Request,
        answer: statements.Answer,
        sent_at: float,
        was_open: bool,
        needs_replica: bool,
    ) -> None:
        """Take from an answer what it tells of the endpoint."""
        endpoint = pooled.endpoint
        now = clock.read()
        endpoint.note_service_time(now - sent_at)
        endpoint.error_rate.record(now, answer.error in ENDPOINT_FAILURES)
        is_done = answer.error is None and answer.status == "I"
        was_alone = not was_open and answer.status == "I"
        group.note_answer(
            endpoint, sent_at, answer, was_alone, is_done and needs_replica
        )

    def _keep_or_release(
        self,
        stream: Stream,
        pooled: pool.PooledConnection,
        request: execution.Request,
        answer: statements.Answer,
    ) -> None:
        """Keep a connection for its transaction, or give it back."""
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


def _needs_replica(stream: Stream, statement: statements.Statement) -> bool:
    """Return whether a success proves that a replica has received a commit.

    The COMMIT of a transaction that wrote nothing proves nothing: a primary that was
    replaced still answers it.
    """
    if stream.pooled is None:
        return statements.is_write(statement)
    return statement.kind is Kind.COMMIT and stream.has_written
