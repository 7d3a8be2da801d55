"""One caller's session: its values, its prepared statements, its transaction.

A BEGIN is answered here and reaches an endpoint with the first statement that
needs one, so that a transaction holds a connection no longer than it has to.
"""

import asyncio
import typing

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import groups
from sardinehold.node import hedging
from sardinehold.node import outcomes
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import reading
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

LOCAL_SIGNATURE = "-"
"""What a statement ends with that no endpoint saw."""

Kind = statements.Kind
Handler = typing.Callable[
    ["Session", statements.Statement],
    typing.Awaitable[statements.Answer],
]

HANDLERS: dict[statements.Kind, Handler] = {}
"""What to do with each kind of statement."""


def handles(*kinds: statements.Kind) -> typing.Callable[[Handler], Handler]:
    """File the decorated function as the handler of some kinds."""

    def register(handler: Handler) -> Handler:
        for kind in kinds:
            HANDLERS[kind] = handler
        return handler

    return register


class Transaction:
    """An open transaction.

    :param begin: the caller's BEGIN.
    :param began: when it arrived.
    :param route: as it was then; changes bind from the next transaction on.
    :param pooled: the connection that it runs on, None before its first statement.
    :param wrote: whether a write was sent.
    :param has_written: whether a write was answered with success.
    :param idle_deadline: when it is ended if it rests until then.
    :param is_expired: whether it was ended and the caller has not been told.
    """

    __slots__ = (
        "begin",
        "began",
        "route",
        "team",
        "pooled",
        "wrote",
        "has_written",
        "idle_deadline",
        "is_expired",
    )

    def __init__(
        self,
        begin: statements.Statement,
        began: float,
        route: catalog.Route,
        team: str,
        idle_deadline: float,
    ) -> None:
        """Start without a connection."""
        self.begin = begin
        self.began = began
        self.route = route
        self.team = team
        self.pooled: pool.Pooled | None = None
        self.wrote = False
        self.has_written = False
        self.idle_deadline = idle_deadline
        self.is_expired = False

    @property
    def is_read_only(self) -> bool:
        """Whether it may run on a replica."""
        return self.begin.kind is Kind.BEGIN_READ


class Session:
    """One caller's session.

    :param route_name: what the caller gave as database name.
    :param key: what the caller gave as its key.
    :param status: ``I``, ``T`` or ``E``, as the caller knows it.
    :param own: position of the session's last commit, None if it made none.
    """

    def __init__(self, node: "nodes.Node", route_name: str, key: str) -> None:
        """Start without a transaction."""
        self.node = node
        self.route_name = route_name
        self.key = key
        self.status = "I"
        self.values: dict[str, str] = {}
        self.prepared: dict[str, statements.Definition] = {}
        self.trace = outcomes.Trace()
        self.own: positions.Position | None = None
        self.transaction: Transaction | None = None
        self.is_busy = False
        self.is_closed = False

    # Coming in

    def admit(self) -> tuple[catalog.Route, str]:
        """Return the session's route and team as the configuration has them now.

        :raises outcomes.Failed: the route or the key is not in force.
        """
        found = self.node.catalog
        if found is None:
            raise outcomes.Failed(
                statements.Failure.BUSY, "this node has no configuration yet"
            )
        route = found.routes.get(self.route_name)
        if route is None:
            raise outcomes.Failed(
                statements.Failure.UNKNOWN_ROUTE, "no route has this database name"
            )
        team = found.owners.get(self.key, "")
        if not team and not route.is_open:
            raise outcomes.Failed(statements.Failure.DENIED, "the key is not in force")
        self.trace.team = team
        self.trace.group = route.group
        return route, team

    async def handle(self, statement: statements.Statement) -> statements.Answer:
        """Run a statement and return what the caller is told."""
        self.is_busy = True
        self.trace = outcomes.Trace()
        try:
            if self.transaction is not None and self.transaction.is_expired:
                self.transaction.is_expired = False
                if statement.kind is not Kind.ROLLBACK:
                    raise outcomes.Failed(
                        statements.Failure.ABORTED, "the transaction rested too long"
                    )
            if self.status == "E" and statement.kind not in _ENDINGS:
                raise outcomes.Failed(
                    statements.Failure.MALFORMED,
                    "the transaction failed; end it with ROLLBACK",
                )
            return await HANDLERS[statement.kind](self, statement)
        except outcomes.Failed as error:
            if self.transaction is not None:
                self.status = "E"
            return statements.Answer(
                [], error=error.failure, detail=error.detail, status=self.status
            )
        finally:
            self.is_busy = False
            if self.is_closed:
                self.leave()

    def leave(self) -> None:
        """Give up what the session holds; its caller is gone."""
        self.is_closed = True
        if self.is_busy:
            return
        self._drop_transaction()

    def expire(self, now: float) -> bool:
        """End a transaction that has rested too long; return whether it was one."""
        transaction = self.transaction
        if transaction is None or self.is_busy or now < transaction.idle_deadline:
            return False
        self.abandon()
        return True

    def abandon(self) -> None:
        """Roll the open transaction back; its caller is told with the next answer."""
        transaction = self.transaction
        pooled, transaction.pooled = transaction.pooled, None
        if pooled is not None:
            self.find_group(transaction.route).clean(pooled)
        transaction.is_expired = True
        transaction.idle_deadline = float("inf")
        self.status = "E"

    def answer_locally(self) -> statements.Answer:
        """Return the success of a statement that no endpoint saw."""
        return statements.Answer([], LOCAL_SIGNATURE, status=self.status)

    def _drop_transaction(self) -> None:
        transaction, self.transaction = self.transaction, None
        if transaction is not None and transaction.pooled is not None:
            self.find_group(transaction.route).clean(transaction.pooled)

    def find_group(self, route: catalog.Route) -> groups.Group:
        """Return the group that a route leads to."""
        return self.node.find_group(route.group)

    # Running on a connection

    async def acquire(
        self,
        route: catalog.Route,
        team: str,
        began: float,
        deadline: float,
        needs_primary: bool,
        avoided: frozenset[str] = frozenset(),
    ) -> groups.Placed:
        """Return a connection that carries the session's variables.

        :raises outcomes.Failed: none can be had in time.
        """
        waiter = groups.Waiter(
            team, route, began, deadline, self.own, self.values, needs_primary, avoided
        )
        group = self.find_group(route)
        asked = clock.read()
        try:
            return await group.acquire(waiter)
        except groups.Refused as error:
            raise outcomes.Failed(
                statements.Failure.BUSY,
                outcomes.advise_return(error.reason, error.retry_after),
            ) from error
        finally:
            self.trace.waited += clock.read() - asked

    async def tune(
        self, pooled: pool.Pooled, deadline: float, statement: statements.Statement
    ) -> None:
        """Give a connection the session's variables and the prepared statement.

        :raises sardinehold.node.ports.ConnectionLost: it broke, or refused.
        """
        definitions = [statement.definition] if statement.kind is Kind.EXECUTE else []
        needs_reset, values, to_prepare = pool.find_missing(
            pooled, self.values, definitions
        )
        connection = pooled.connection
        answers: list[statements.Answer] = []
        if needs_reset:
            answers.append(await connection.reset(deadline))
            pooled.values = {}
            pooled.prepared = set()
        if values:
            answers.extend(await connection.set_values(values, deadline))
            pooled.values = dict(self.values)
        if to_prepare:
            answers.extend(await connection.prepare(to_prepare, deadline))
            pooled.prepared.update(item.shared_name for item in to_prepare)
        if any(answer.error is not None for answer in answers):
            self.node.find_group(pooled.endpoint.record.group).discard(pooled)
            raise ports.ConnectionLost(False)

    async def _prepare(
        self, pooled: pool.Pooled, deadline: float, statement: statements.Statement
    ) -> None:
        """Tune a connection; the statement has not left if that fails."""
        try:
            await self.tune(pooled, deadline, statement)
        except ports.ConnectionLost as error:
            raise ports.ConnectionLost(False, error.is_timeout) from error

    async def run_on(
        self,
        placed: groups.Placed,
        statement: statements.Statement,
        deadline: float,
    ) -> statements.Answer:
        """Run a statement on a connection and learn from the answer.

        :raises sardinehold.node.ports.ConnectionLost: it broke.
        """
        pooled = placed.pooled
        endpoint = pooled.endpoint
        group = self.node.find_group(endpoint.record.group)
        trace = self.trace
        trace.endpoint = endpoint.name
        trace.after = placed.after
        trace.tries += 1
        trace.lease_age = clock.read() - group.evidence.as_of
        endpoint.in_flight += 1
        try:
            await self._prepare(pooled, deadline, statement)
            asked = clock.read()
            endpoint.sent[pooled] = asked
            needs_replica = self._needs_replica(statement)
            if needs_replica:
                endpoint.writes[pooled] = asked
            answer = await pooled.connection.run(statement, deadline, placed.after)
        finally:
            endpoint.in_flight -= 1
            endpoint.sent.pop(pooled, None)
            endpoint.writes.pop(pooled, None)
        trace.position = answer.position
        endpoint.note_service(clock.read() - asked)
        if answer.error is statements.Failure.LAGGING and placed.after is not None:
            endpoint.note_lack(placed.after, clock.read())
        committed = answer.error is None and needs_replica
        is_open = answer.status != "I"
        group.note_answer(
            endpoint,
            asked,
            answer,
            self.transaction is None,
            committed and not is_open,
        )
        return answer

    def _needs_replica(self, statement: statements.Statement) -> bool:
        """Return whether a success proves that a replica has received a commit.

        The COMMIT of a transaction that wrote nothing proves nothing: a primary
        that was replaced still answers it.
        """
        if self.transaction is None:
            return statements.is_write(statement)
        return statement.kind is Kind.COMMIT and self.transaction.has_written

    # Single statements

    async def run_read(self, statement: statements.Statement) -> statements.Answer:
        """Run a read outside a transaction, a second time if the first is late."""
        route, team = self.admit()
        began = clock.read()
        deadline = began + route.statement_timeout
        await self.node.spend(team, deadline)
        self.node.hedges.note_read()
        attempt = reading.ReadAttempt(self, statement, route, team, began, deadline)
        race = hedging.Race(self.node.spawn)
        race.add(attempt.run)
        await asyncio.wait([attempt.placed], timeout=deadline - began)
        answer = await race.wait(attempt.find_patience())
        if answer is None and self.node.hedges.take():
            self.node.registry.count("reads_hedged")
            second = reading.ReadAttempt(self, statement, route, team, began, deadline)
            second.avoided = attempt.avoided | reading.find_avoided(
                route, attempt.endpoint
            )
            race.add(second.run)
        return answer or await race.wait()

    async def run_write(self, statement: statements.Statement) -> statements.Answer:
        """Run a write outside a transaction, at most once."""
        route, team = self.admit()
        began = clock.read()
        deadline = began + route.statement_timeout
        await self.node.spend(team, deadline)
        group = self.find_group(route)
        while clock.read() < deadline:
            placed = await self.acquire(route, team, began, deadline, True)
            try:
                answer = await self.run_on(placed, statement, deadline)
            except ports.ConnectionLost as error:
                group.pump()
                if not error.was_sent:
                    await asyncio.sleep(reading.BUSY_PAUSE)
                    continue
                raise outcomes.Failed(
                    statements.Failure.IN_DOUBT, "the write was sent and not answered"
                ) from error
            group.release(placed.pooled)
            if answer.error is None:
                self.own = answer.position or self.own
                return answer
            if answer.error is statements.Failure.READ_ONLY:
                await self.node.refresh(group)
            elif answer.error is not statements.Failure.BUSY:
                return answer
            await asyncio.sleep(reading.BUSY_PAUSE)
        raise outcomes.Failed(
            statements.Failure.BUSY, "the primary had no room in time"
        )

    # Transactions

    async def run_inside(self, statement: statements.Statement) -> statements.Answer:
        """Run a statement of the open transaction."""
        transaction = self.transaction
        self.trace.team = transaction.team
        self.trace.group = transaction.route.group
        now = clock.read()
        deadline = now + transaction.route.statement_timeout
        if transaction.pooled is None:
            await self._begin(transaction, now, deadline)
        placed = groups.Placed(transaction.pooled)
        if statements.is_write(statement):
            transaction.wrote = True
        try:
            answer = await self._run_while_busy(placed, statement, deadline)
        except ports.ConnectionLost as error:
            self._lose(transaction)
            raise outcomes.Failed(
                statements.Failure.ABORTED, "the connection to the endpoint was lost"
            ) from error
        if answer.error is statements.Failure.BUSY:
            self._lose(transaction)
            raise outcomes.Failed(
                statements.Failure.ABORTED, "the endpoint had no room in time"
            )
        if answer.error is None and statements.is_write(statement):
            transaction.has_written = True
        self.status = answer.status
        transaction.idle_deadline = clock.read() + self.node.catalog.transaction_idle
        return answer

    async def _run_while_busy(
        self,
        placed: groups.Placed,
        statement: statements.Statement,
        deadline: float,
    ) -> statements.Answer:
        """Run a statement of a transaction, again while its endpoint has no room."""
        while True:
            answer = await self.run_on(placed, statement, deadline)
            if answer.error is not statements.Failure.BUSY:
                return answer
            if clock.read() + reading.BUSY_PAUSE > deadline:
                return answer
            await asyncio.sleep(reading.BUSY_PAUSE)

    def _lose(self, transaction: Transaction) -> None:
        """Note that a transaction was rolled back with its connection."""
        pooled, transaction.pooled = transaction.pooled, None
        transaction.idle_deadline = float("inf")
        if pooled is not None and not pooled.is_lost:
            self.find_group(transaction.route).discard(pooled)

    async def _begin(
        self, transaction: Transaction, now: float, deadline: float
    ) -> None:
        """Open the transaction on an endpoint.

        :raises outcomes.Failed: none takes it; nothing of it ran.
        """
        route = transaction.route
        group = self.find_group(route)
        needs_primary = not transaction.is_read_only or reading.routes_reads_to_primary(
            route
        )
        avoided: frozenset[str] = frozenset()
        while clock.read() < deadline:
            placed = await self.acquire(
                route,
                transaction.team,
                transaction.began,
                deadline,
                needs_primary,
                avoided,
            )
            try:
                answer = await self.run_on(placed, transaction.begin, deadline)
            except ports.ConnectionLost:
                group.pump()
                avoided |= reading.find_avoided(route, placed.pooled.endpoint)
                await asyncio.sleep(reading.BUSY_PAUSE)
                continue
            if answer.error is None and answer.status == "T":
                transaction.pooled = placed.pooled
                return
            group.clean(placed.pooled)
            if answer.error is statements.Failure.READ_ONLY:
                await self.node.refresh(group)
                await asyncio.sleep(reading.BUSY_PAUSE)
            elif answer.error is statements.Failure.BUSY:
                await asyncio.sleep(reading.BUSY_PAUSE)
            elif answer.error is not statements.Failure.LAGGING:
                break
        raise outcomes.Failed(
            statements.Failure.ABORTED, "no endpoint took the transaction"
        )

    async def commit(self, statement: statements.Statement) -> statements.Answer:
        """Commit the open transaction; past its sending the outcome may be unknown."""
        transaction = self.transaction
        self.trace.team = transaction.team
        self.trace.group = transaction.route.group
        deadline = clock.read() + transaction.route.statement_timeout
        try:
            if transaction.pooled is None:
                await self._begin(transaction, clock.read(), deadline)
            pooled = transaction.pooled
            placed = groups.Placed(pooled)
            answer = await self._run_while_busy(placed, statement, deadline)
        except outcomes.Failed:
            self._end()
            raise
        except ports.ConnectionLost as error:
            self._lose(transaction)
            self._end()
            if error.was_sent and transaction.wrote:
                raise outcomes.Failed(
                    statements.Failure.IN_DOUBT, "the COMMIT was sent and not answered"
                ) from error
            raise outcomes.Failed(
                statements.Failure.ABORTED, "the transaction was rolled back"
            ) from error
        group = self.find_group(transaction.route)
        self._end()
        if answer.status == "I":
            group.release(pooled)
        else:
            group.clean(pooled)
            answer.status = "I"
        if answer.error is None and transaction.wrote:
            self.own = answer.position or self.own
        return answer

    def roll_back(self) -> statements.Answer:
        """End the open transaction without a trace."""
        transaction = self.transaction
        self._end()
        if transaction.pooled is not None:
            self.find_group(transaction.route).clean(transaction.pooled)
        return self.answer_locally()

    def _end(self) -> None:
        self.transaction = None
        self.status = "I"


_ENDINGS = frozenset({Kind.COMMIT, Kind.ROLLBACK})


@handles(Kind.BEGIN, Kind.BEGIN_READ)
async def begin(session: Session, statement: statements.Statement) -> statements.Answer:
    """Open a transaction; it reaches an endpoint with its first statement."""
    if session.transaction is not None:
        raise outcomes.Failed(
            statements.Failure.MALFORMED, "a transaction is open already"
        )
    route, team = session.admit()
    now = clock.read()
    await session.node.spend(team, now + route.statement_timeout)
    idle_deadline = clock.read() + session.node.catalog.transaction_idle
    session.transaction = Transaction(statement, now, route, team, idle_deadline)
    session.status = "T"
    return session.answer_locally()


@handles(Kind.COMMIT, Kind.ROLLBACK)
async def end(session: Session, statement: statements.Statement) -> statements.Answer:
    """End a transaction; one that failed is rolled back."""
    if session.transaction is None:
        session.status = "I"
        if statement.kind is Kind.ROLLBACK:
            return session.answer_locally()
        raise outcomes.Failed(statements.Failure.ABORTED, "no transaction is open")
    if statement.kind is Kind.ROLLBACK:
        return session.roll_back()
    if session.status == "E":
        session.roll_back()
        raise outcomes.Failed(statements.Failure.ABORTED, "the transaction had failed")
    return await session.commit(statement)


@handles(Kind.READ, Kind.WRITE, Kind.EXECUTE)
async def run(session: Session, statement: statements.Statement) -> statements.Answer:
    """Run a read or a write, prepared or not."""
    if statement.kind is Kind.EXECUTE:
        definition = session.prepared.get(statement.name)
        if definition is None:
            raise outcomes.Failed(
                statements.Failure.UNKNOWN_STATEMENT, "no statement has this name"
            )
        statement.definition = definition
    if session.transaction is not None:
        return await session.run_inside(statement)
    if statements.is_write(statement):
        return await session.run_write(statement)
    return await session.run_read(statement)


@handles(Kind.SET)
async def set_value(
    session: Session, statement: statements.Statement
) -> statements.Answer:
    """Remember a variable; connections get it before they are used."""
    session.values = {**session.values, statement.name: statement.value}
    return session.answer_locally()


@handles(Kind.PREPARE)
async def prepare(
    session: Session, statement: statements.Statement
) -> statements.Answer:
    """Remember a prepared statement."""
    session.prepared[statement.name] = statement.definition
    return session.answer_locally()


@handles(Kind.DEALLOCATE)
async def deallocate(
    session: Session, statement: statements.Statement
) -> statements.Answer:
    """Forget a prepared statement."""
    if session.prepared.pop(statement.name, None) is None:
        raise outcomes.Failed(
            statements.Failure.UNKNOWN_STATEMENT, "no statement has this name"
        )
    return session.answer_locally()
