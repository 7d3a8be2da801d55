"""A caller's transaction, on one connection from its first statement to its end.

A BEGIN is answered by the node and is sent to an endpoint with the first statement
that needs one, so that a transaction holds a connection no longer than necessary.
"""

import asyncio
import enum
import typing

from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import outcomes
from sardinehold.node import ports
from sardinehold.node import reading
from sardinehold.node import residency
from sardinehold.node import statements
from sardinehold.node import waiting

if typing.TYPE_CHECKING:
    from sardinehold.node import forwarding
    from sardinehold.node import session as sessions

Kind = statements.Kind


class State(enum.Enum):
    """How far a transaction has come."""

    PENDING = "pending"
    """Its BEGIN was not sent to an endpoint yet."""

    BEGUN = "begun"
    """It is open on an endpoint."""

    ROLLED_BACK = "rolled back"
    """It is never begun again; its caller's next statement fails."""


class Transaction:
    """An open transaction.

    :param session: the caller's session.
    :param begin: the caller's BEGIN.
    :param arrived_at: when it arrived.
    :param route: as it was then; changes apply from the next transaction on.
    :param regions: allowed regions, likewise; None if all are allowed.
    :param state: how far it has come.
    :param stream: the stream that it runs on, None unless it has begun.
    :param has_sent_write: whether a write was sent.
    :param has_written: whether a write was answered with success.
    :param idle_deadline: when it is aborted if it stays idle until then.
    :param is_expired: whether it was aborted and the caller not yet informed.
    :param expiry_reason: why it was aborted.
    """

    __slots__ = (
        "session",
        "begin",
        "arrived_at",
        "route",
        "team",
        "state",
        "stream",
        "has_sent_write",
        "has_written",
        "idle_deadline",
        "is_expired",
        "expiry_reason",
        "regions",
    )

    def __init__(
        self,
        session: "sessions.Session",
        begin: statements.Statement,
        arrived_at: float,
        route: catalog.Route,
        team: str,
        idle_deadline: float,
        regions: residency.Regions = None,
    ) -> None:
        """Create a transaction without a connection."""
        self.session = session
        self.begin = begin
        self.arrived_at = arrived_at
        self.route = route
        self.team = team
        self.state = State.PENDING
        self.stream: forwarding.Stream | None = None
        self.has_sent_write = False
        self.has_written = False
        self.idle_deadline = idle_deadline
        self.is_expired = False
        self.expiry_reason = ""
        self.regions = regions

    @property
    def is_read_only(self) -> bool:
        """Whether it may run on a replica."""
        return self.begin.kind is Kind.BEGIN_READ

    def _find_group(self) -> groups.Group:
        return self.session.find_group(self.route)

    def release(self) -> None:
        """Roll back what is open, without informing the caller."""
        self.state = State.ROLLED_BACK
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()

    def abandon(self, reason: str) -> None:
        """Roll back, and mark that the caller must be informed of the reason."""
        self.release()
        self.expiry_reason = reason
        self.is_expired = True
        self.idle_deadline = float("inf")

    async def run(self, statement: statements.Statement) -> statements.Answer:
        """Run a statement of the transaction."""
        self.session.trace.team = self.team
        self.session.trace.group = self.route.group
        try:
            deadline = self.session.find_deadline(self.route)
            await self._ensure_begun(deadline)
        except outcomes.StatementFailed:
            self._mark_aborted()
            raise
        assignment = waiting.Assignment(self.stream)
        if statements.is_write(statement):
            self.has_sent_write = True
        try:
            answer = await self._run_while_busy(assignment, statement, deadline)
        except outcomes.StatementFailed:
            self._mark_aborted()
            raise
        except execution.Rejected as error:
            self._mark_aborted()
            raise outcomes.StatementFailed(
                statements.Failure.ABORTED,
                outcomes.add_retry_hint(error.reason, error.retry_after),
            ) from error
        except ports.ConnectionLost as error:
            self._mark_aborted()
            raise outcomes.StatementFailed(
                statements.Failure.ABORTED, "the connection to the endpoint was lost"
            ) from error
        if answer.error is statements.Failure.BUSY:
            self._mark_aborted()
            raise outcomes.StatementFailed(
                statements.Failure.ABORTED, "the endpoint had no free slot in time"
            )
        if answer.error is None and statements.is_write(statement):
            self.has_written = True
        self.session.status = answer.status
        self.idle_deadline = clock.read() + self.session.node.catalog.transaction_idle
        return answer

    async def _run_while_busy(
        self,
        assignment: waiting.Assignment,
        statement: statements.Statement,
        deadline: float,
    ) -> statements.Answer:
        """Run a statement, retrying while the endpoint has no free slot."""
        while True:
            answer = await self.session.run_on(
                self.session.handling,
                assignment,
                statement,
                self.route,
                self.team,
                self.arrived_at,
                deadline,
            )
            if answer.error is not statements.Failure.BUSY:
                return answer
            if clock.read() + reading.BUSY_RETRY_DELAY > deadline:
                return answer
            await asyncio.sleep(reading.BUSY_RETRY_DELAY)

    def _mark_aborted(self) -> None:
        """Release the stream; the transaction is rolled back."""
        self.release()
        self.idle_deadline = float("inf")

    async def _ensure_begun(self, deadline: float) -> None:
        """Begin the transaction unless it has begun.

        :raises sardinehold.node.outcomes.StatementFailed: no endpoint accepted it, or
            it was rolled back: what its caller sent before must not be left out.
        """
        if self.state is State.ROLLED_BACK:
            raise outcomes.StatementFailed(
                statements.Failure.ABORTED,
                self.expiry_reason or "the transaction was rolled back",
            )
        if self.state is State.PENDING:
            await self._begin(deadline)

    async def _begin(self, deadline: float) -> None:
        """Begin the transaction on an endpoint.

        :raises sardinehold.node.outcomes.StatementFailed: no endpoint accepted it;
            nothing of it ran.
        """
        route = self.route
        group = self._find_group()
        needs_primary = not self.is_read_only or reading.routes_reads_to_primary(route)
        avoided: frozenset[str] = frozenset()
        while clock.read() < deadline:
            assignment = await self.session.acquire(
                self.session.handling,
                route,
                self.team,
                self.arrived_at,
                deadline,
                needs_primary,
                avoided,
            )
            endpoint = assignment.stream.endpoint
            try:
                answer = await self.session.run_on(
                    self.session.handling,
                    assignment,
                    self.begin,
                    route,
                    self.team,
                    self.arrived_at,
                    deadline,
                )
            except execution.Rejected as error:
                if error.is_final:
                    refused = reading.find_avoided(route, endpoint)
                    is_last = self.session.is_last_allowed(route, self.team, refused)
                    if needs_primary or avoided or not refused or is_last:
                        raise self._refuse(error) from error
                    avoided |= refused
                await asyncio.sleep(reading.REJECTED_RETRY_DELAY)
                continue
            except ports.ConnectionLost:
                avoided |= reading.find_avoided(route, endpoint)
                await asyncio.sleep(reading.BUSY_RETRY_DELAY)
                continue
            if answer.error is None and answer.status == "T":
                self.stream = assignment.stream
                self.state = State.BEGUN
                return
            assignment.stream.close()
            if answer.error is statements.Failure.READ_ONLY:
                await self.session.node.refresh(group)
                await asyncio.sleep(reading.BUSY_RETRY_DELAY)
            elif answer.error is statements.Failure.BUSY:
                await asyncio.sleep(reading.BUSY_RETRY_DELAY)
            elif answer.error is statements.Failure.LAGGING:
                await asyncio.sleep(reading.REJECTED_RETRY_DELAY)
            else:
                break
        raise outcomes.StatementFailed(
            statements.Failure.ABORTED, "no endpoint accepted the transaction"
        )

    def _refuse(self, error: execution.Rejected) -> outcomes.StatementFailed:
        """Return the refusal of a transaction for which no endpoint has a slot."""
        self.session.make_refusal(
            self.session.handling, self.team, error.reason, error.retry_after
        )
        return outcomes.StatementFailed(
            statements.Failure.ABORTED,
            outcomes.add_retry_hint(error.reason, error.retry_after),
        )

    async def commit(self, statement: statements.Statement) -> statements.Answer:
        """Commit; once it was sent, the outcome may be unknown."""
        self.session.trace.team = self.team
        self.session.trace.group = self.route.group
        try:
            deadline = self.session.find_deadline(self.route)
            await self._ensure_begun(deadline)
            assignment = waiting.Assignment(self.stream)
            answer = await self._run_while_busy(assignment, statement, deadline)
        except outcomes.StatementFailed:
            self._mark_aborted()
            self._end()
            raise
        except execution.Rejected as error:
            self._mark_aborted()
            self._end()
            raise outcomes.StatementFailed(
                statements.Failure.ABORTED,
                outcomes.add_retry_hint(error.reason, error.retry_after),
            ) from error
        except ports.ConnectionLost as error:
            self._mark_aborted()
            self._end()
            if error.was_sent and self.has_sent_write:
                raise outcomes.StatementFailed(
                    statements.Failure.IN_DOUBT, "the COMMIT was sent and not answered"
                ) from error
            raise outcomes.StatementFailed(
                statements.Failure.ABORTED, "the transaction was rolled back"
            ) from error
        self._end()
        if answer.status != "I":
            self.release()
            answer.status = "I"
        self.stream = None
        if answer.error is None and self.has_sent_write:
            self.session.record_commit(self.route, answer.position)
        return answer

    def roll_back(self) -> statements.Answer:
        """Roll back and end the transaction."""
        self._end()
        self.release()
        return self.session.answer_locally()

    def _end(self) -> None:
        self.session.transaction = None
        self.session.status = "I"
