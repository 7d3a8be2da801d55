"""Writes outside a transaction: run on the primary, sent at most once."""

import asyncio
import typing

from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import outcomes
from sardinehold.node import ports
from sardinehold.node import reading
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import session as sessions


async def write(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Run a write outside a transaction, at most once."""
    route, team = session.authorize()
    arrived_at = clock.read()
    deadline = session.find_deadline(route)
    await session.node.acquire_token(
        team,
        deadline,
        route.priority,
        arrived_at + route.target_latency,
        session.handling,
    )
    handled = session.handling
    group = session.find_group(route)
    while clock.read() < deadline:
        assignment = await session.acquire(
            handled, route, team, arrived_at, deadline, True
        )
        try:
            answer = await session.run_on(
                handled, assignment, statement, route, team, arrived_at, deadline
            )
        except execution.Rejected as error:
            if error.is_final:
                raise session.make_refusal(
                    handled, team, error.reason, error.retry_after
                ) from error
            await asyncio.sleep(reading.REJECTED_RETRY_DELAY)
            continue
        except ports.ConnectionLost as error:
            if not error.was_sent:
                await asyncio.sleep(reading.BUSY_RETRY_DELAY)
                continue
            raise outcomes.StatementFailed(
                statements.Failure.IN_DOUBT, "the write was sent and not answered"
            ) from error
        if answer.error is None:
            session.record_commit(route, answer.position)
            return answer
        if answer.error is statements.Failure.READ_ONLY:
            await session.node.refresh(group)
        elif answer.error is not statements.Failure.BUSY:
            return answer
        await asyncio.sleep(reading.BUSY_RETRY_DELAY)
    raise outcomes.StatementFailed(
        statements.Failure.BUSY, "the primary had no free slot in time"
    )
