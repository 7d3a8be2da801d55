"""Reads outside a transaction: selection of endpoints, retries and hedging."""

import asyncio
import typing

from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import hedging
from sardinehold.node import outcomes
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import statements
from sardinehold.node import waiting

if typing.TYPE_CHECKING:
    from sardinehold.node import session as sessions

BUSY_RETRY_DELAY = 0.03
"""Seconds before a statement is retried for which an endpoint had no free slot; about
the time in which a slot becomes free."""


REJECTED_RETRY_DELAY = 0.005
"""Seconds before a statement that an owner rejected is sent to the next owner."""


def routes_reads_to_primary(route: catalog.Route) -> bool:
    """Return whether only the primary serves a route's reads."""
    return route.consistency is catalog.Consistency.LATEST


def find_avoided(
    route: catalog.Route, endpoint: pool.Endpoint | None
) -> frozenset[str]:
    """Return the endpoints to avoid after a failed read: none if only the primary fits.

    :param endpoint: where the read failed, None if it was not sent.
    """
    if endpoint is None or routes_reads_to_primary(route):
        return frozenset()
    return frozenset({endpoint.name})


class ReadAttempt:
    """One attempt at a read, on one endpoint after the other until one serves it.

    :param handled: the statement's handling; the attempt ends with it.
    :param assigned: done once the read has an endpoint, or none is available.
    :param endpoint: where it was sent last.
    :param avoided: endpoints that are not used.
    :param diverted: endpoints whose owners sent the read back.
    """

    __slots__ = (
        "session",
        "handled",
        "statement",
        "route",
        "team",
        "arrived_at",
        "deadline",
        "assigned",
        "endpoint",
        "avoided",
        "diverted",
        "is_hedge",
    )

    def __init__(
        self,
        session: "sessions.Session",
        statement: statements.Statement,
        route: catalog.Route,
        team: str,
        arrived_at: float,
        deadline: float,
        is_hedge: bool = False,
    ) -> None:
        """Create an attempt without an endpoint."""
        self.session = session
        self.handled = session.handling
        self.statement = statement
        self.route = route
        self.team = team
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.assigned: asyncio.Future = asyncio.get_running_loop().create_future()
        self.endpoint: pool.Endpoint | None = None
        self.avoided: frozenset[str] = frozenset()
        self.diverted: frozenset[str] = frozenset()
        self.is_hedge = is_hedge

    def compute_hedge_delay(self) -> float:
        """Return the seconds after which the read is hedged."""
        if self.endpoint is None:
            return hedging.MIN_DELAY
        return hedging.compute_delay(self.endpoint.estimate_latency(clock.read()))

    async def run(self) -> statements.Answer:
        """Return the answer of the first endpoint that gives one.

        :raises sardinehold.node.outcomes.StatementFailed: none did in time.
        """
        try:
            return await self._try_all()
        finally:
            self._set_assigned()

    async def _try_all(self) -> statements.Answer:
        last = statements.Failure.TIMEOUT
        while clock.read() < self.deadline:
            assignment = await self.session.acquire(
                self.handled,
                self.route,
                self.team,
                self.arrived_at,
                self.deadline,
                routes_reads_to_primary(self.route),
                self.avoided,
                self.diverted,
            )
            self.endpoint = assignment.stream.endpoint
            self._set_assigned()
            answer = await self._try_one(assignment)
            if answer is None:
                continue
            last = answer.error
            if answer.error is None or not await self._may_go_on(answer.error):
                return answer
        if not self.handled.trace.tries:
            raise self.session.make_refusal(
                self.handled,
                self.team,
                "no owner of an endpoint accepted the read",
                groups.RETRY_AFTER,
            )
        raise outcomes.StatementFailed(last, "the read was not answered in time")

    async def _try_one(
        self, assignment: waiting.Assignment
    ) -> statements.Answer | None:
        """Return an endpoint's answer, None if another endpoint may give one."""
        try:
            return await self.session.run_on(
                self.handled,
                assignment,
                self.statement,
                self.route,
                self.team,
                self.arrived_at,
                self.deadline,
                self.is_hedge,
            )
        except execution.Rejected as error:
            if error.rejection is execution.Rejection.DIVERTED:
                self.diverted |= {self.endpoint.name}
                self.session.node.registry.count("reads_diverted")
                return None
            if error.is_final:
                self._avoid_full(error)
            await asyncio.sleep(REJECTED_RETRY_DELAY)
        except ports.ConnectionLost:
            self.avoided |= find_avoided(self.route, self.endpoint)
        return None

    def _avoid_full(self, error: execution.Rejected) -> None:
        """Avoid a full endpoint once if others may serve the read, or refuse it."""
        avoided = find_avoided(self.route, self.endpoint)
        is_last = self.session.is_last_allowed(self.route, self.team, avoided)
        if self.avoided or not avoided or is_last:
            raise self.session.make_refusal(
                self.handled, self.team, error.reason, error.retry_after
            ) from error
        self.avoided |= avoided

    async def _may_go_on(self, failure: statements.Failure) -> bool:
        """Return whether to retry, after a delay where needed."""
        if failure is statements.Failure.LAGGING:
            return True
        if failure is statements.Failure.BUSY:
            await asyncio.sleep(BUSY_RETRY_DELAY)
            return True
        if failure is statements.Failure.FAILED:
            known = bool(self.avoided)
            self.avoided |= find_avoided(self.route, self.endpoint)
            return not known and bool(self.avoided)
        return False

    def _set_assigned(self) -> None:
        if not self.assigned.done():
            self.assigned.set_result(None)


async def read(
    session: "sessions.Session", statement: statements.Statement
) -> statements.Answer:
    """Run a read outside a transaction; hedge it if it is late."""
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
    session.node.hedge_budget.record_read()
    attempt = ReadAttempt(session, statement, route, team, arrived_at, deadline)
    race = hedging.Race(session.node.spawn)
    race.add(attempt.run)
    await asyncio.wait([attempt.assigned], timeout=deadline - arrived_at)
    answer = await race.wait(attempt.compute_hedge_delay())
    is_late = answer is None and not session.handling.is_ended
    if is_late and session.node.hedge_budget.take():
        session.node.registry.count("reads_hedged")
        session.trace.hedges += 1
        second = ReadAttempt(
            session, statement, route, team, arrived_at, deadline, is_hedge=True
        )
        second.avoided = attempt.avoided | find_avoided(route, attempt.endpoint)
        race.add(second.run)
    answer = answer or await race.wait()
    session.trace.unfinished = race.count_running()
    return answer
