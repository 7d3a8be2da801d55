"""Handlers of callers' statements, by kind."""

import typing

from sardinehold.node import caller_limits
from sardinehold.node import clock
from sardinehold.node import outcomes
from sardinehold.node import reading
from sardinehold.node import statements
from sardinehold.node import transactions
from sardinehold.node import writing

if typing.TYPE_CHECKING:
    from sardinehold.node import session as sessions

Kind = statements.Kind
Handler = typing.Callable[
    ["sessions.Session", statements.Statement],
    typing.Awaitable[statements.Answer],
]

HANDLERS: dict[statements.Kind, Handler] = {}
"""Handlers by kind of statement."""


def handles(*kinds: statements.Kind) -> typing.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of some kinds."""

    def register(handler: Handler) -> Handler:
        for kind in kinds:
            HANDLERS[kind] = handler
        return handler

    return register


END_KINDS = frozenset({Kind.COMMIT, Kind.ROLLBACK})
"""Statements that are accepted in a failed transaction."""


@handles(Kind.BEGIN, Kind.BEGIN_READ)
async def begin(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Open a transaction; BEGIN is sent to an endpoint with the first statement."""
    if session.transaction is not None:
        raise outcomes.StatementFailed(
            statements.Failure.MALFORMED, "a transaction is open already"
        )
    route, team = session.authorize()
    now = clock.read()
    await session.node.acquire_token(
        team,
        session.find_deadline(route),
        route.priority,
        now + route.target_latency,
        session.handling,
    )
    idle_deadline = clock.read() + session.node.catalog.transaction_idle
    regions = session.find_regions(route, team)
    session.transaction = transactions.Transaction(
        session, statement, now, route, team, idle_deadline, regions
    )
    session.status = "T"
    return session.answer_locally()


@handles(Kind.COMMIT, Kind.ROLLBACK)
async def end(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """End a transaction; one that failed is rolled back."""
    if session.transaction is None:
        session.status = "I"
        if statement.kind is Kind.ROLLBACK:
            return session.answer_locally()
        raise outcomes.StatementFailed(
            statements.Failure.ABORTED, "no transaction is open"
        )
    if statement.kind is Kind.ROLLBACK:
        return session.transaction.roll_back()
    if session.status == "E":
        session.transaction.roll_back()
        raise outcomes.StatementFailed(
            statements.Failure.ABORTED, "the transaction had failed"
        )
    return await session.transaction.commit(statement)


@handles(Kind.READ, Kind.WRITE, Kind.EXECUTE)
async def run(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Run a read or a write, prepared or not."""
    if statement.kind is Kind.EXECUTE:
        definition = session.prepared.get(statement.name)
        if definition is None:
            raise outcomes.StatementFailed(
                statements.Failure.UNKNOWN_STATEMENT, "no statement has this name"
            )
        statement.definition = definition
    if session.transaction is not None:
        return await session.transaction.run(statement)
    if statements.is_write(statement):
        return await writing.write(session, statement)
    return await reading.read(session, statement)


@handles(Kind.SET)
async def set_value(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Store a session variable; it is applied to connections before use."""
    earlier = session.values.get(statement.name)
    added = caller_limits.measure_state(statement.name, statement.value)
    if earlier is not None:
        added -= caller_limits.measure_state(statement.name, earlier)
    session.reserve_state(added)
    session.values = {**session.values, statement.name: statement.value}
    return session.answer_locally()


@handles(Kind.PREPARE)
async def prepare(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Store a prepared statement; connections prepare it before use."""
    earlier = session.prepared.get(statement.name)
    added = _measure_prepared(statement.name, statement.definition)
    if earlier is not None:
        added -= _measure_prepared(statement.name, earlier)
    session.reserve_state(added)
    session.prepared[statement.name] = statement.definition
    return session.answer_locally()


@handles(Kind.DEALLOCATE)
async def deallocate(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Remove a prepared statement."""
    removed = session.prepared.pop(statement.name, None)
    if removed is None:
        raise outcomes.StatementFailed(
            statements.Failure.UNKNOWN_STATEMENT, "no statement has this name"
        )
    session.reserve_state(-_measure_prepared(statement.name, removed))
    return session.answer_locally()


def _measure_prepared(name: str, definition: statements.Definition) -> int:
    return caller_limits.measure_state(name, definition.shape)
