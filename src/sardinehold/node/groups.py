"""A group of databases as a node uses it: endpoints, evidence and who waits."""

import asyncio
import random
import typing

from sardinehold.core import positions
from sardinehold.node import admission
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import connection_limits
from sardinehold.node import execution
from sardinehold.node import placement
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import primary_lease
from sardinehold.node import statements
from sardinehold.node import waiting

if typing.TYPE_CHECKING:
    from sardinehold.node import forwarding

PRIMARY_DRAIN_SHARE = 0.85
"""Part of the time that a leaving endpoint may get new work in which a leaving primary
gets it; the rest covers the way from the store to this node."""

NO_PRIMARY_TIMEOUT = 4.0
"""Seconds without a primary after which statements that need one are refused at once:
a change of primary that goes well is over by then."""

OWNER_COOLDOWN = 0.5
"""Seconds for which a home is not asked that did not run an order for want of the
endpoint or of itself: about the time in which it finds out whether that is over."""

RETRY_AFTER = 0.3
"""Seconds after which a caller should come back that was refused for want of a primary
or of evidence: a report to the leader and its answer."""

PROBE_TIMEOUT = 0.4
"""Seconds in which an endpoint that is well answers a new connection and a question,
across regions and behind a queue."""

PROBE_TEAM = "sardinehold"
"""The name in which connections for questions about logs are opened."""


class Group:
    """One group of databases.

    :param endpoint_drain: seconds in which a leaving endpoint may get new work.
    :param count_unheard: returns the seconds since a leader or the store was heard.
    :param open_stream: returns a new stream to an endpoint, by way of its home.
    :param may_use: returns whether a home can be asked, by its name and the time.
    :param on_probed: called with the endpoint when a probe has ended.
    :param state: who leads it, as the store said last; None while unknown.
    :param acknowledged: position of the newest commit that callers were told of.
    :param removed_at: endpoints that were forgotten, and when.
    :param frozen: on the leader, while the primary is being replaced: the end of
        the frozen logs, beyond which nothing is acknowledged.
    """

    def __init__(
        self,
        name: str,
        connector: ports.Connector,
        spawn: typing.Callable[..., None],
        measure_distance: typing.Callable[[str], int],
        endpoint_drain: float,
        count_unheard: typing.Callable[[float], float],
        open_stream: "typing.Callable[[pool.Endpoint], forwarding.Stream]",
        may_use: typing.Callable[[str, float], bool],
        on_probed: "typing.Callable[[Group, pool.Endpoint], None]",
    ) -> None:
        """Start without endpoints."""
        self._count_unheard = count_unheard
        self.endpoint_drain = endpoint_drain
        self.name = name
        self.config: catalog.Group | None = None
        self.state: catalog.GroupState | None = None
        self.lease = primary_lease.PrimaryLease()
        self.endpoints: dict[str, pool.Endpoint] = {}
        self.waiters: list[waiting.Waiter] = []
        self.frozen: positions.Position | None = None
        self.acknowledged: positions.Position | None = None
        self._known_since = clock.read()
        self.removed_at: dict[str, float] = {}
        self._unserved_since: float | None = None
        self._connector = connector
        self._spawn = spawn
        self._measure_distance = measure_distance
        self._open_stream = open_stream
        self._may_use = may_use
        self._on_probed = on_probed

    # What the store says

    def apply_state(self, state: catalog.GroupState) -> None:
        """Take a newer state of the group."""
        if self.state is not None and state.version <= self.state.version:
            return
        before, self.state = self.state, state
        if state.phase is catalog.Phase.SERVING:
            self.frozen = None
            self._unserved_since = None
        if state.phase is catalog.Phase.SEALED:
            self.lease.revoke()
        if before is None or before.term != state.term:
            self.lease.begin_term(state.term)
        self.dispatch_waiting()

    def apply_record(self, record: catalog.EndpointRecord, now: float) -> None:
        """Take what an endpoint says of itself."""
        endpoint = self.endpoints.get(record.name)
        if endpoint is None or endpoint.record.born != record.born:
            if endpoint is not None:
                self._close_idle(endpoint)
            endpoint = pool.Endpoint(record, self._measure_distance(record.zone))
            self.endpoints[record.name] = endpoint
        endpoint.record = record
        endpoint.gone_since = None
        self.removed_at.pop(record.name, None)
        if not record.is_draining:
            endpoint.leaving_since = None
        elif endpoint.leaving_since is None:
            endpoint.leaving_since = now
            self._close_if_draining(endpoint)
        self.dispatch_waiting()

    def note_record_missing(self, name: str, now: float) -> None:
        """Note that the store has no entry of an endpoint any more."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None and endpoint.gone_since is None:
            endpoint.gone_since = now

    def remove_endpoint(self, name: str) -> None:
        """Drop an endpoint for good."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self.removed_at[name] = clock.read()
            self._close_idle(endpoint)

    def assign_owners(self, owners: dict[str, list[str]], node_name: str) -> None:
        """Set the homes of the endpoints, and what this node may hold of each.

        :param owners: names of the owners by endpoint, in the order of preference.
        :param node_name: of this node.
        """
        for endpoint in self.endpoints.values():
            endpoint.owners = owners.get(endpoint.name, [])
            if self.config is None:
                continue
            is_owner = endpoint.owners[:1] == [node_name]
            endpoint.max_connections = connection_limits.compute_limit(
                self.config.connections, is_owner
            )
            endpoint.min_idle = endpoint.max_connections if is_owner else 0

    def _close_if_draining(self, endpoint: pool.Endpoint) -> None:
        if endpoint is not self.primary:
            self._close_idle(endpoint)

    def _close_idle(self, endpoint: pool.Endpoint) -> None:
        for pooled in endpoint.idle:
            endpoint.connections.discard(pooled)
            pooled.connection.close()
        endpoint.idle = []

    # Who leads

    @property
    def primary(self) -> pool.Endpoint | None:
        """The endpoint that leads, None while none is known or it is replaced."""
        if self.state is None:
            return None
        return self.endpoints.get(self.state.primary)

    def is_serving(self) -> bool:
        """Return whether a primary takes work."""
        if self.state is None or self.state.phase is not catalog.Phase.SERVING:
            return False
        primary = self.primary
        if primary is None:
            return False
        since = primary.leaving_since or primary.gone_since
        return (
            since is None
            or clock.read() < since + PRIMARY_DRAIN_SHARE * self.endpoint_drain
        )

    def takes_work(self, endpoint: pool.Endpoint) -> bool:
        """Return whether an endpoint may be sent new work."""
        if endpoint.takes_new_work():
            return True
        return endpoint is self.primary and self.is_serving()

    # Waiting for an endpoint

    async def acquire(self, waiter: waiting.Waiter) -> waiting.Assignment:
        """Return an endpoint for a statement, and the way to it.

        :raises waiting.Refused: none can be had before the deadline.
        """
        if self._is_unservable(waiter):
            raise self._refuse(waiter)
        assignment = self._assign(waiter, clock.read())
        if assignment is not None:
            return assignment
        self.waiters.append(waiter)
        try:
            remaining = max(0.0, waiter.deadline - clock.read())
            async with asyncio.timeout(remaining):
                return await waiter.future
        except TimeoutError:
            raise self._refuse(waiter) from None
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def _is_unservable(self, waiter: waiting.Waiter) -> bool:
        """Return whether a statement needs what this node will not have in time.

        That is a primary that has long been missing or, while the node is cut off,
        any evidence that it has not got by now.
        """
        now = clock.read()
        if self._is_cut_off(now) and not self._has_evidence(waiter, now):
            return True
        if not waiter.needs_primary:
            return False
        if self.is_serving():
            self._unserved_since = None
            return False
        if self._unserved_since is None:
            self._unserved_since = now
        return now - self._unserved_since > NO_PRIMARY_TIMEOUT

    def refuse_unservable(self) -> None:
        """Refuse what waits for something that will not come in time."""
        for waiter in list(self.waiters):
            if not waiter.future.done() and self._is_unservable(waiter):
                waiter.future.set_exception(self._refuse(waiter))

    def _is_cut_off(self, now: float) -> bool:
        """Return whether this node hears neither a leader nor the store."""
        return self._count_unheard(now) > primary_lease.DISCONNECTED_AFTER

    def _has_evidence(self, waiter: waiting.Waiter, now: float) -> bool:
        """Return whether what is known allows some endpoint to run a statement."""
        if self.lease.holds_lease(now):
            return True
        if waiter.needs_primary:
            return False
        floor = primary_lease.find_floor(
            self.lease, waiter.route, waiter.arrived_at, waiter.last_commit
        )
        return floor is not None

    def _refuse(self, waiter: waiting.Waiter) -> waiting.Refused:
        retry_after = admission.compute_retry_after(RETRY_AFTER, random.random())
        return waiting.Refused(self.explain_refusal(waiter), retry_after)

    def explain_refusal(self, waiter: waiting.Waiter) -> str:
        """Return why a statement got no connection."""
        now = clock.read()
        if not self._has_evidence(waiter, now) and self._is_cut_off(now):
            return "this node hears neither the store nor a leader"
        if waiter.needs_primary and not self.is_serving():
            return f"group {self.name} has no primary that takes work"
        if not self._has_evidence(waiter, now):
            return f"it is not known whether the primary of group {self.name} leads"
        return f"no endpoint of group {self.name} can be reached or has its position"

    def dispatch_waiting(self) -> None:
        """Let those that wait go on, as far as there are endpoints for them."""
        if not self.waiters:
            return
        now = clock.read()
        for waiter in admission.sort_by_rank(self.waiters, now):
            if waiter.future.done():
                continue
            assignment = self._assign(waiter, now)
            if assignment is not None:
                self.waiters.remove(waiter)
                waiter.future.set_result(assignment)

    def _assign(self, waiter: waiting.Waiter, now: float) -> waiting.Assignment | None:
        """Return the way to an endpoint that can run a statement now."""
        floor = None
        if waiter.needs_primary:
            endpoint = self._find_primary_for(waiter, now)
        else:
            floor = primary_lease.find_floor(
                self.lease, waiter.route, waiter.arrived_at, waiter.last_commit
            )
            endpoint = self._choose_for_read(waiter, floor, now)
        if endpoint is None:
            return None
        after = None if endpoint is self.primary else floor
        return waiting.Assignment(self._open_stream(endpoint), after)

    def _find_primary_for(
        self, waiter: waiting.Waiter, now: float
    ) -> pool.Endpoint | None:
        if not self.is_serving() or not self.lease.holds_lease(now):
            return None
        primary = self.primary
        return None if now < primary.cooldown_until else primary

    def _choose_for_read(
        self, waiter: waiting.Waiter, floor: positions.Position | None, now: float
    ) -> pool.Endpoint | None:
        holds_lease = self.is_serving() and self.lease.holds_lease(now)
        candidates = [
            endpoint.make_candidate(now, endpoint is self.primary)
            for endpoint in self.endpoints.values()
            if endpoint.name not in waiter.avoided
            and endpoint.failing_since is None
            and now >= endpoint.cooldown_until
            and (endpoint.takes_new_work() or endpoint is self.primary)
        ]
        chosen = placement.choose_for_read(candidates, floor, holds_lease)
        return self.endpoints[chosen.name] if chosen else None

    def note_rejected(
        self, endpoint: pool.Endpoint, owner_name: str, rejection: execution.Rejection
    ) -> None:
        """Take note that a home did not run an order."""
        now = clock.read()
        if rejection is execution.Rejection.FULL:
            return
        endpoint.owner_cooldowns[owner_name] = now + OWNER_COOLDOWN
        if rejection is not execution.Rejection.UNREACHABLE:
            return
        # Homes that cannot be asked leave it to this node's own connections.
        names = [name for name in endpoint.owners if self._may_use(name, now)] or [""]
        if all(now < endpoint.owner_cooldowns.get(name, 0.0) for name in names):
            endpoint.cooldown_until = now + pool.ENDPOINT_COOLDOWN
            asyncio.get_running_loop().call_later(
                pool.ENDPOINT_COOLDOWN, self.dispatch_waiting
            )

    # Connections of this node

    def close_surplus(self, now: float) -> None:
        """Close free connections that others may need more."""
        for endpoint in self.endpoints.values():
            for pooled in endpoint.pop_surplus(now):
                pooled.connection.close()

    def probe(self, endpoint: pool.Endpoint) -> None:
        """Ask an endpoint for its log over a new connection."""
        now = clock.read()
        if now - endpoint.probed_at < PROBE_TIMEOUT:
            return
        endpoint.probed_at = now
        self._spawn(self._finish_probe, endpoint, now)

    async def _finish_probe(self, endpoint: pool.Endpoint, now: float) -> None:
        deadline = now + PROBE_TIMEOUT
        failed = ""
        try:
            connection = await self._connector.open(
                endpoint.record, PROBE_TEAM, deadline
            )
            try:
                await connection.read_status(deadline)
            finally:
                connection.close()
        except ports.OpeningFailed as error:
            if error.failure is not statements.Failure.CONNECTION_LIMIT:
                failed = str(error)
        except ports.ConnectionLost as error:
            failed = str(error)
        if failed:
            endpoint.note_failure(now, failed)
            self._close_idle(endpoint)
        else:
            endpoint.probe_answered_at = clock.read()
            endpoint.note_answer(clock.read())
        self._on_probed(self, endpoint)
        self.dispatch_waiting()

    # What answers tell

    def note_acknowledged(self, position: positions.Position | None) -> None:
        """Remember the newest commit that was acknowledged to a caller."""
        if position is not None:
            self.acknowledged = max(self.acknowledged or position, position)

    def forget_acknowledged(self, now: float) -> None:
        """Count as unsure what callers were told, until the primary is heard again.

        A node was removed; what it told its callers, it tells nobody any more.

        :param now: from when on the primary's answers cover that.
        """
        self.acknowledged = None
        self._known_since = now

    def note_position(self, asked: float, position: positions.Position) -> None:
        """Take the primary's answer to a question sent under the lease.

        The first one covers what this node acknowledged before it was restarted.
        """
        self.lease.note_position(asked, position)
        if self.acknowledged is None and asked >= self._known_since:
            self.acknowledged = position

    def note_answer(
        self,
        endpoint: pool.Endpoint,
        asked: float,
        answer: statements.Answer,
        was_alone: bool,
        committed: bool = False,
    ) -> None:
        """Learn from an answer to a statement sent at ``asked``.

        :param was_alone: whether the statement ran outside a transaction; inside
            one the position is that of the transaction's beginning.
        :param committed: whether it committed something.
        """
        now = clock.read()
        endpoint.note_answer(now)
        if committed:
            endpoint.committed_at = now
            self.note_acknowledged(answer.position)
        position = answer.position
        if position is None or not (was_alone or committed):
            return
        endpoint.applied = position
        state = self.state
        if (
            endpoint is not self.primary
            or state is None
            or position.term != state.term
            or state.phase is not catalog.Phase.SERVING
        ):
            return
        is_heard = self._count_unheard(now) < primary_lease.COMMIT_RENEWAL_LIMIT
        is_copied = self.config is not None and self.config.sync_replicas
        if committed and is_copied and is_heard:
            # Before a primary is replaced its replicas are paused, or it has
            # stepped down: a commit proves that neither had happened.
            self.lease.confirm(asked)
        if self.lease.holds_lease(asked):
            self.note_position(asked, position)
