"""A caller's session: its variables, its prepared statements, its transaction."""

import typing

from sardinehold import metrics
from sardinehold.core import positions
from sardinehold.node import caller_limits
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import groups
from sardinehold.node import handlers
from sardinehold.node import handling
from sardinehold.node import outcomes
from sardinehold.node import ports
from sardinehold.node import residency
from sardinehold.node import statements
from sardinehold.node import transactions
from sardinehold.node import waiting

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

LOCAL_COMPLETION_TAG = "-"
"""Completion tag of a statement that was answered without an endpoint."""

IDLE_REASON = "the transaction exceeded its idle timeout"

REVOKED_REASON = "the transaction was rolled back: its key was withdrawn"

Kind = statements.Kind


class Session:
    """One caller's session.

    :param route_name: the database name that the caller gave.
    :param key: the key that the caller gave.
    :param status: transaction status last sent to the caller: ``I``, ``T`` or ``E``.
    :param last_commits: positions of the session's last commits, by group: each has a
        log of its own, and a route may move from one to another and back.
    :param state_bytes: bytes of its variables and prepared statements.
    """

    def __init__(self, node: "nodes.Node", route_name: str, key: str) -> None:
        """Create a session without a transaction."""
        self.node = node
        self.route_name = route_name
        self.key = key
        self.status = "I"
        self.values: dict[str, str] = {}
        self.prepared: dict[str, statements.Definition] = {}
        self.state_bytes = 0
        self.trace = outcomes.Trace()
        self.handling = handling.Handling(clock.read(), self.values, self.trace)
        self.last_commits: dict[str, positions.Position] = {}
        self.transaction: transactions.Transaction | None = None
        self.is_busy = False
        self.is_closed = False

    # Handling statements

    def authorize(self) -> tuple[catalog.Route, str]:
        """Return the session's route and team by the current configuration.

        :raises outcomes.StatementFailed: the route or the key is not in force.
        """
        found = self.node.catalog
        if found is None:
            raise outcomes.StatementFailed(
                statements.Failure.BUSY, "this node has no configuration yet"
            )
        route = found.routes.get(self.route_name)
        if route is None:
            raise outcomes.StatementFailed(
                statements.Failure.UNKNOWN_ROUTE, "no route has this database name"
            )
        team = found.teams_by_key.get(self.key, "")
        if not team and not route.is_open:
            raise outcomes.StatementFailed(
                statements.Failure.DENIED, "the key is not in force"
            )
        self.trace.team = team
        self.trace.group = route.group
        for name in (route.group, team):
            if name in found.unnameable:
                raise outcomes.StatementFailed(
                    statements.Failure.BUSY,
                    f"databases cannot be told the name {name!r:.80}: rename it in the"
                    " configuration",
                )
        return route, team

    def find_deadline(self, route: catalog.Route) -> float:
        """Return the deadline of the statement that is handled.

        :raises outcomes.StatementFailed: it has passed; nothing was sent.
        """
        deadline = self.handling.received_at + route.statement_timeout
        if clock.read() >= deadline:
            raise outcomes.StatementFailed(
                statements.Failure.BUSY,
                "this node was suspended, and the statement may have arrived before"
                " its timeout: not run; retry it",
            )
        return deadline

    def check_key(self, team: str) -> None:
        """Check that the key still identifies the team that a statement runs for.

        A change to the route, in contrast, applies from the next transaction on.

        :raises outcomes.StatementFailed: the key was withdrawn.
        """
        if not self.is_key_of(team):
            raise outcomes.StatementFailed(
                statements.Failure.DENIED, "the key is no longer in force"
            )

    def is_key_of(self, team: str) -> bool:
        """Return whether the key identifies a team, ``""`` for a caller without one."""
        return self.node.catalog.teams_by_key.get(self.key, "") == team

    async def handle(self, statement: statements.Statement) -> statements.Answer:
        """Run a statement and return the caller's answer."""
        received_at = statement.received_at
        self.is_busy = True
        self.trace = outcomes.Trace()
        self.handling = handling.Handling(
            clock.read() if received_at is None else received_at,
            self.values,
            self.trace,
        )
        origin = self.trace.origin
        try:
            if statement.kind is not Kind.ROLLBACK:
                self._check_transaction_key(statement)
            if self.transaction is not None and self.transaction.is_expired:
                self.transaction.is_expired = False
                if statement.kind is not Kind.ROLLBACK:
                    reason = self.transaction.expiry_reason
                    if statement.kind is Kind.COMMIT:
                        self.transaction.roll_back()
                    raise outcomes.StatementFailed(statements.Failure.ABORTED, reason)
            if self.status == "E" and statement.kind not in handlers.END_KINDS:
                raise outcomes.StatementFailed(
                    statements.Failure.MALFORMED,
                    "the transaction failed; end it with ROLLBACK",
                )
            if statement.exceeds_limit:
                raise outcomes.StatementFailed(
                    statements.Failure.TOO_LARGE, outcomes.EXCEEDS_LIMIT
                )
            return await handlers.HANDLERS[statement.kind](self, statement)
        except outcomes.StatementFailed as error:
            if self.transaction is not None:
                self.status = "E"
            return statements.Answer(
                [], error=error.failure, detail=error.detail, status=self.status
            )
        finally:
            origin.end(execution.Ending.ANSWERED)
            self.is_busy = False
            self.handling.end()
            if self.is_closed:
                self.close()
            else:
                self.revoke()

    def _check_transaction_key(self, statement: statements.Statement) -> None:
        """Roll back the open transaction if its key was withdrawn.

        :raises outcomes.StatementFailed: it was rolled back.
        """
        transaction = self.transaction
        if transaction is None or self.is_key_of(transaction.team):
            return
        transaction.release()
        if statement.kind is Kind.COMMIT:
            transaction.roll_back()
        self.check_key(transaction.team)

    def revoke(self) -> bool:
        """Roll back an idle transaction whose key was withdrawn.

        The caller is told with the answer to its next statement, also if the key is in
        force again by then.

        :returns: whether there was one.
        """
        transaction = self.transaction
        if transaction is None or self.is_busy or self.is_key_of(transaction.team):
            return False
        if transaction.state is not transactions.State.BEGUN:
            return False
        self.abandon(REVOKED_REASON)
        return True

    def close(self) -> None:
        """Release what the session holds; its caller has disconnected."""
        self.is_closed = True
        if self.is_busy:
            self.trace.origin.end(execution.Ending.LEFT)
            self.handling.end()
            return
        self._drop_transaction()

    def expire_idle(self, now: float) -> bool:
        """Abort a transaction past its idle timeout; return whether there was one."""
        transaction = self.transaction
        if transaction is None or self.is_busy or now < transaction.idle_deadline:
            return False
        self.abandon()
        return True

    def abandon(self, reason: str = IDLE_REASON) -> None:
        """Roll back the open transaction; the next answer gives the caller a reason."""
        self.transaction.abandon(reason)
        self.status = "E"

    def reserve_state(self, added: int) -> None:
        """Count bytes of variables or prepared statements; negative ones are released.

        :raises outcomes.StatementFailed: the session would hold too many.
        """
        if added > 0 and self.state_bytes + added > caller_limits.MAX_STATE:
            raise outcomes.StatementFailed(
                statements.Failure.TOO_LARGE,
                f"the session's variables and prepared statements exceed"
                f" {caller_limits.MAX_STATE} bytes; remove some with DEALLOC, or start"
                f" another session",
            )
        self.state_bytes += added

    def answer_locally(self) -> statements.Answer:
        """Return a success for a statement that needs no endpoint."""
        return statements.Answer([], LOCAL_COMPLETION_TAG, status=self.status)

    def leave_evacuated(self, now: float) -> str:
        """Roll back a transaction that is idle on an endpoint in an evacuated zone.

        :returns: the zone, ``""`` if there was none.
        """
        transaction = self.transaction
        if transaction is None or transaction.stream is None or self.is_busy:
            return ""
        endpoint = transaction.stream.endpoint
        if not self.find_group(transaction.route).is_vacated(endpoint, now):
            return ""
        zone = endpoint.record.zone
        self.abandon(f"the transaction was rolled back: zone {zone} is evacuated")
        return zone

    def _drop_transaction(self) -> None:
        transaction, self.transaction = self.transaction, None
        if transaction is not None:
            transaction.release()

    def find_regions(self, route: catalog.Route, team: str) -> residency.Regions:
        """Return the allowed regions of a statement, None if all are allowed.

        A transaction keeps those of its BEGIN.
        """
        if self.transaction is not None:
            return self.transaction.regions
        found = self.node.catalog.teams.get(team)
        return residency.combine(
            route.regions, found.regions if found is not None else frozenset()
        )

    def is_last_allowed(
        self, route: catalog.Route, team: str, avoided: frozenset[str]
    ) -> bool:
        """Return whether no other endpoint is in an allowed region.

        :param avoided: names of the endpoints that refused the statement.
        """
        regions = self.find_regions(route, team)
        return regions is not None and not self.find_group(route).has_other(
            regions, avoided
        )

    def find_group(self, route: catalog.Route) -> groups.Group:
        """Return the group that serves a route."""
        return self.node.find_group(route.group)

    def record_commit(
        self, route: catalog.Route, position: positions.Position | None
    ) -> None:
        """Record a commit to the group of a route, for the reads that follow it."""
        if position is not None:
            known = self.last_commits.get(route.group, position)
            self.last_commits[route.group] = max(known, position)

    # Running on an endpoint

    async def acquire(
        self,
        handled: handling.Handling,
        route: catalog.Route,
        team: str,
        arrived_at: float,
        deadline: float,
        needs_primary: bool,
        avoided: frozenset[str] = frozenset(),
        diverted: frozenset[str] | None = None,
    ) -> waiting.Assignment:
        """Return an assignment to an endpoint that can run a statement.

        :raises outcomes.StatementFailed: none is available in time, or the statement
            has ended.
        """
        handled.check()
        waiter = waiting.Waiter(
            team,
            route,
            arrived_at,
            deadline,
            self.last_commits.get(route.group),
            needs_primary,
            avoided,
            diverted,
            self.find_regions(route, team),
        )
        group = self.find_group(route)
        sent_at = clock.read()
        handled.add(waiter.withdraw)
        try:
            return await group.acquire(waiter)
        except waiting.Refused as error:
            if error.zone:
                self.node.evacuation_tasks.count("evacuation_refused", error.zone)
            if group.is_outside(waiter):
                self._count_outside(waiter.regions)
            raise self.make_refusal(
                handled, team, error.reason, error.retry_after
            ) from error
        finally:
            handled.remove(waiter.withdraw)
            handled.trace.waited += clock.read() - sent_at

    def _count_outside(self, regions: frozenset[str]) -> None:
        """Count a refusal because no endpoint is in an allowed region."""
        reason = "no_endpoint" if regions else "no_common_region"
        self.node.registry.count(metrics.label_name("region_refusals", reason=reason))

    def make_refusal(
        self,
        handled: handling.Handling,
        team: str,
        reason: str,
        retry_after: float,
    ) -> outcomes.StatementFailed:
        """Return the refusal of an operation; return its token if it was never sent."""
        if not handled.trace.tries:
            self.node.refund_token(team)
        return outcomes.StatementFailed(
            statements.Failure.BUSY, outcomes.add_retry_hint(reason, retry_after)
        )

    async def run_on(
        self,
        handled: handling.Handling,
        assignment: waiting.Assignment,
        statement: statements.Statement,
        route: catalog.Route,
        team: str,
        arrived_at: float,
        deadline: float,
        is_hedge: bool = False,
    ) -> statements.Answer:
        """Run a statement on an endpoint and update the group from the answer.

        :param arrived_at: when its operation arrived.
        :raises outcomes.StatementFailed: the key was withdrawn since then, or the
            statement has ended.
        :raises sardinehold.node.execution.Rejected: it was not sent to the endpoint.
        :raises sardinehold.node.ports.ConnectionLost: the connection to it broke.
        """
        handled.check()
        self.check_key(team)
        stream = assignment.stream
        endpoint = stream.endpoint
        group = self.node.find_group(route.group)
        proves_commit = self._proves_commit(statement)
        if proves_commit and not group.commits.may_start(clock.read()):
            raise execution.Rejected(
                execution.Rejection.AWAY,
                f"the primary of group {group.name} is being replaced",
            )
        trace = handled.trace
        trace.endpoint = endpoint.name
        trace.home = stream.owner_name or self.node.settings.name
        trace.after = assignment.after
        trace.skipped = assignment.skipped
        trace.tries += 1
        trace.lease_age = clock.read() - group.lease.as_of
        origin = trace.origin
        request = execution.Request(
            route.group,
            endpoint.name,
            team,
            statement,
            handled.values,
            deadline,
            arrived_at + route.target_latency,
            route.priority,
            assignment.after,
            self.transaction is not None and self.transaction.stream is stream,
            assignment.divert_at,
            origin,
            execution.Attempt.HEDGE if is_hedge else origin.find_attempt(statement),
        )
        sent_before, origin.sent = origin.sent, statement
        was_open = self.transaction is not None
        endpoint.in_flight += 1
        group.commits.in_flight += proves_commit
        known = group.lease.latest
        term = group.lease.term
        sent_at = clock.read()
        endpoint.view.record_sent(sent_at)
        handled.add(stream.close)
        try:
            answer = await stream.run(request)
        except execution.Rejected as error:
            trace.tries -= 1
            origin.sent = sent_before
            if not (error.is_final or handled.is_ended):
                group.handle_rejection(endpoint, stream.owner_name, error.rejection)
            self.node.cold_endpoints.record_rejection(group, endpoint, error)
            raise
        finally:
            handled.remove(stream.close)
            endpoint.in_flight -= 1
            group.commits.in_flight -= proves_commit
            endpoint.view.record_ended(sent_at)
        if stream.owner_name:
            self.node.late_sends.check_forwarded(request, sent_at)
        trace.position = answer.position
        shows_log = not was_open or statement.kind in (Kind.BEGIN, Kind.BEGIN_READ)
        is_current = not shows_log or group.has_primary_log(endpoint, known, answer)
        if answer.error is None and not is_current:
            stream.close()
            raise ports.ConnectionLost(True)
        is_done = answer.error is None and answer.status == "I"
        group.record_answer(
            endpoint, sent_at, answer, not was_open, is_done and proves_commit
        )
        if is_done and proves_commit:
            before = known.position if known is not None else None
            answer = self._check_acknowledgement(group, request, answer, term, before)
        if answer.error is statements.Failure.LAGGING and assignment.after is not None:
            endpoint.lag.record_refusal(assignment.after, clock.read())
        return answer

    def _check_acknowledgement(
        self,
        group: groups.Group,
        request: execution.Request,
        answer: statements.Answer,
        term: int,
        before: positions.Position | None,
    ) -> statements.Answer:
        """Return the answer to a commit, in doubt if a promoted log may lack it.

        :param term: of the primary when it was sent.
        :param before: position of the primary that was known then.
        """
        now = clock.read()
        is_told = group.may_acknowledge(term, now)
        lateness = group.measure_lateness(now)
        if lateness is not None:
            sealed_for, isolated_for = lateness
            self.node.journal.note(
                "late_commit",
                request=request.statement.request_id,
                group=group.name,
                endpoint=request.endpoint,
                position=None if answer.position is None else list(answer.position),
                told=is_told,
                age=round(now - request.origin.arrived_at, 3),
                sealed=round(sealed_for, 3) if sealed_for >= 0 else None,
                isolated=round(isolated_for, 3),
            )
        if is_told:
            group.commits.record_told(before, answer.position)
            return answer
        return statements.Answer(
            [],
            error=statements.Failure.IN_DOUBT,
            detail=f"the primary of group {group.name} may have been replaced",
            position=answer.position,
        )

    def _proves_commit(self, statement: statements.Statement) -> bool:
        """Return whether a success proves that a replica has received a commit.

        The COMMIT of a transaction without writes proves nothing: even a primary
        that was replaced answers it.
        """
        if self.transaction is None:
            return statements.is_write(statement)
        return statement.kind is Kind.COMMIT and self.transaction.has_written
