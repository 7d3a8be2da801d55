"""A group of databases as seen by one node: endpoints, lease and waiting statements."""

import asyncio
import random
import typing

from sardinehold.core import positions
from sardinehold.node import admission
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import commits
from sardinehold.node import eligibility
from sardinehold.node import evacuations
from sardinehold.node import execution
from sardinehold.node import placement_policies
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import primary_lease
from sardinehold.node import residency
from sardinehold.node import restarts
from sardinehold.node import selection
from sardinehold.node import sharing
from sardinehold.node import statements
from sardinehold.node import waiting
from sardinehold.node import warmup

if typing.TYPE_CHECKING:
    from sardinehold.node import forwarding

PRIMARY_DRAIN_SHARE = 0.85
"""Share of an endpoint's drain period in which a draining primary still gets new work;
the rest covers the propagation delay from the store to this node."""

NO_PRIMARY_TIMEOUT = 4.0
"""Seconds without a primary after which statements that need one are refused at once:
a successful failover is complete by then."""

OWNER_COOLDOWN = 0.5
"""Seconds for which an owner is not used that rejected a request because it, or the
endpoint, was unavailable: about the time in which it detects a recovery."""

RETRY_AFTER = 0.3
"""Seconds after which a caller should retry that was refused because there was no
primary or no lease: a report to the leader and its answer."""

PROBE_TIMEOUT = 0.4
"""Seconds in which a healthy endpoint accepts a new connection and answers a query,
across regions and behind a queue."""

PROBE_TEAM = "sardinehold"
"""Team name under which connections for queries about logs are opened."""


STARTUP_GRACE = 5.0
"""Seconds after which an endpoint that a group did not have counts as newly started:
the records of the running ones arrive within a few seconds of the node's start."""

REQUEST_LIFETIME = 8.0
"""Seconds after which the platform no longer executes a promotion request, whether it
answered or not."""


OTHER_LOG_PAUSE = 1.0
"""Seconds for which a primary is not used that does not have its log: the leader checks
it meanwhile."""


OpenStream = typing.Callable[
    [pool.Endpoint, residency.Regions], "forwarding.Stream | forwarding.RefusedStream"
]
"""Returns a stream to an endpoint for a statement with some allowed regions."""


def _find_no_region(zone: str) -> None:
    """Return None: without settings, the regions of zones are unknown."""


def _allow_probe(group: "Group", endpoint: pool.Endpoint) -> bool:
    return True


class Drain:
    """The drain of an endpoint's process.

    :param born: the start of the process that drains.
    :param since: when this node learned of it.
    """

    __slots__ = ("born", "since")

    def __init__(self, born: int, since: float) -> None:
        """Store the drain."""
        self.born = born
        self.since = since


class Group:
    """One group of databases.

    :param endpoint_drain: seconds for which a draining endpoint may get new work.
    :param measure_isolation: returns the seconds since the last contact with a leader
        or the store.
    :param open_stream: returns a new stream to an endpoint, through its owner.
    :param is_usable: returns whether an owner can be used, by its name and the time.
    :param on_probed: called with the group and the endpoint when a probe has ended.
    :param policy: name of the policy that places reads.
    :param draw: returns a random number of [0, 1) for the policy.
    :param record_skip: called with the reason for which a replica was skipped.
    :param find_region: returns the region of an availability zone, None if unknown.
    :param may_probe: returns whether an endpoint of the group may be probed now.
    :param state: primary and term, as last read from the store; None while unknown.
    :param commits: those of this node's callers.
    :param removed_at: when endpoints were removed, by their names, or when this node
        learned that they had been.
    :param listed: endpoints that the store lists; see :mod:`.endpoint_lists`.
    :param list_version: version of that list, with revision 0 if there is none.
    :param transfers: addresses at which others get the logs of endpoints that drained
        and left, by their names, as far as this node learned from that list.
    :param restarts: of the endpoints, as far as this node saw them.
    :param drains: drains of endpoints, by their names; a drain is never revoked, also
        if the store has lost it.
    :param evacuations: those of availability zones that the node knows of.
    :param frozen: on the leader, during a failover: the end of the frozen logs, beyond
        which no commit is acknowledged.
    """

    def __init__(
        self,
        name: str,
        connector: ports.Connector,
        spawn: typing.Callable[..., None],
        measure_distance: typing.Callable[[str], int],
        endpoint_drain: float,
        measure_isolation: typing.Callable[[float], float],
        open_stream: "OpenStream",
        is_usable: typing.Callable[[str, float], bool],
        on_probed: "typing.Callable[[Group, pool.Endpoint], None]",
        policy: str = placement_policies.DEFAULT,
        draw: typing.Callable[[], float] = random.random,
        record_skip: typing.Callable[[str], None] = str,
        find_region: typing.Callable[[str], str | None] = _find_no_region,
        may_probe: "typing.Callable[[Group, pool.Endpoint], bool]" = _allow_probe,
    ) -> None:
        """Create a group without endpoints."""
        self._find_region = find_region
        self._may_probe = may_probe
        self._created_at = clock.read()
        self._wants_position = False
        self._warmups: dict[str, warmup.Warmup] = {}
        self._measure_isolation = measure_isolation
        self.endpoint_drain = endpoint_drain
        self.name = name
        self.config: catalog.Group | None = None
        self.state: catalog.GroupState | None = None
        self.lease = primary_lease.PrimaryLease()
        self.endpoints: dict[str, pool.Endpoint] = {}
        self.waiters: list[waiting.Waiter] = []
        self.evacuations = evacuations.Evacuations()
        self.frozen: positions.Position | None = None
        self.commits = commits.Commits()
        self._commits_known_since = clock.read()
        self.removed_at: dict[str, float] = {}
        self.listed: dict[str, tuple[int, str]] = {}
        self.list_version = 0
        self.transfers: dict[str, str] = {}
        self.restarts = restarts.Restarts(clock.read())
        self.drains: dict[str, Drain] = {}
        self._no_primary_since: float | None = None
        self._request_expires_at = float("-inf")
        self._newest_term = 0
        self._connector = connector
        self._spawn = spawn
        self._measure_distance = measure_distance
        self._open_stream = open_stream
        self._is_usable = is_usable
        self._on_probed = on_probed
        self._policy = placement_policies.POLICIES[policy]
        self._draw = draw
        self._record_skip = record_skip

    # Updates from the store

    def apply_state(self, state: catalog.GroupState) -> None:
        """Apply a later state of the group."""
        before, self.state = self.state, state
        if _names_request(before, state):
            self._request_expires_at = clock.read() + REQUEST_LIFETIME
        if before is not None and before.term != state.term:
            self.commits.unseal()
        if state.phase is catalog.Phase.SERVING:
            self.frozen = None
            self._no_primary_since = None
            self.commits.unseal()
        if state.phase is catalog.Phase.SEALED:
            self.commits.seal(clock.read(), self.lease.until)
            self.lease.revoke()
            if state.attempt >= catalog.FIRST_SETTLED:
                self.commits.settle(clock.read())
        if before is None or before.term != state.term:
            self.lease.begin_term(state.term)
        self.dispatch_waiting()

    def record_request(self, now: float) -> None:
        """Record that this node has sent a promotion request."""
        self._request_expires_at = now + REQUEST_LIFETIME

    def inherit_request(self, now: float) -> None:
        """Count an earlier leader's request from the end of its lead.

        It may have been sent long after this node learned of its target, but not after
        the state that was published behind it.
        """
        state = self.state
        is_sealed = state is not None and state.phase is catalog.Phase.SEALED
        if is_sealed and state.requested:
            self.record_request(now)

    def find_request_expiry(self) -> float:
        """Return when the platform cannot execute a promotion request any more.

        One of this or of an earlier leader, for the endpoint that the state names.
        """
        if self.state is None or not self.state.requested:
            return float("-inf")
        return self._request_expires_at

    def is_replaced(self, endpoint: pool.Endpoint, now: float) -> bool:
        """Return whether an endpoint is a primary that may get no commit any more.

        :param endpoint: of any start; the earlier one may have a connection to this.
        """
        is_primary = self.state is not None and self.state.primary == endpoint.name
        return is_primary and not self.commits.may_start(now)

    def may_acknowledge(self, term: int, now: float) -> bool:
        """Return whether a commit that was answered just now may count as successful.

        Every log that may be promoted is frozen after the time for which the leader
        waits for this node. Thus the commits that were answered until then have been
        received by a replica that still follows the primary.

        :param term: of the primary when the commit was sent.
        """
        if self.state is None or self.state.term != term:
            return False
        if self.state.phase is catalog.Phase.SEALED:
            return now < self.commits.settled_at
        return self.lease.holds_lease(now)

    def is_overtaken(self) -> bool:
        """Return whether answers or entries contradict the state's primary.

        An endpoint answered in a later term, so that another one may have been promoted
        than the state names, or the primary lacks its log or says that it is none.
        """
        if self.state is None or self.state.phase is not catalog.Phase.SERVING:
            return False
        primary = self.primary
        return self._newest_term > self.state.term or (
            primary is not None
            and (clock.read() < primary.other_log_until or primary.has_disclaimed)
        )

    def has_primary_log(
        self,
        endpoint: pool.Endpoint,
        known: primary_lease.Sample | None,
        answer: statements.Answer,
    ) -> bool:
        """Return whether an answer may be from the primary's log.

        A primary that started again with nothing shows an earlier position than before,
        until its entry says that it is a replica and another one is promoted.

        :param endpoint: of any start; its newest one may have replaced it since.
        :param known: newest sample when the statement was sent.
        """
        if known is None or answer.position is None:
            return True
        primary = self.primary
        if primary is None or primary.name != endpoint.name:
            return True
        if answer.position >= known.position:
            return True
        primary.other_log_until = clock.read() + OTHER_LOG_PAUSE
        return False

    def apply_record(self, record: catalog.EndpointRecord, now: float) -> None:
        """Apply an endpoint's record."""
        endpoint = self.endpoints.get(record.name)
        before = endpoint.record if endpoint is not None else None
        if endpoint is None or endpoint.record.born != record.born:
            replaced = endpoint
            endpoint = pool.Endpoint(record, self._measure_distance(record.zone))
            if replaced is not None:
                endpoint.has_disclaimed = replaced.has_disclaimed
                endpoint.other_log_until = replaced.other_log_until
                self._close_idle(replaced)
                # Waiting statements may be sent before owners are assigned again.
                endpoint.inherit_ownership(replaced)
            self.endpoints[record.name] = endpoint
        endpoint.region = self._find_region(record.zone)
        endpoint.warmup = self._find_warmup(record, now)
        endpoint.warmup.apply_record(record.cold_for, now)
        self._note_role(endpoint, record, before)
        endpoint.record = record
        endpoint.missing_since = None
        self.removed_at.pop(record.name, None)
        self.transfers.pop(record.name, None)
        self._compare_start(record, now)
        was_draining = endpoint.draining_since is not None
        endpoint.draining_since = self._find_drain(record, now)
        if endpoint.draining_since is not None and not was_draining:
            self._close_if_draining(endpoint)
        self.dispatch_waiting()

    def _note_role(
        self,
        endpoint: pool.Endpoint,
        record: catalog.EndpointRecord,
        before: catalog.EndpointRecord | None,
    ) -> None:
        """Note that a primary says that it is none any more.

        The entry of one that was just promoted may be from before.
        """
        if record.claims_primary:
            endpoint.has_disclaimed = False
        elif endpoint is self.primary and before is not None and before.claims_primary:
            endpoint.has_disclaimed = True

    def _find_warmup(self, record: catalog.EndpointRecord, now: float) -> warmup.Warmup:
        """Return the warm-up of an endpoint's start, kept over a missing record.

        A first owner keeps its place when the endpoint is restarted; the budget of the
        new start is empty.
        """
        known = self._warmups.get(record.name)
        if known is not None and known.born != record.born:
            self.restarts.record(record.name, now)
        if known is None or known.born != record.born:
            is_new = known is not None or now - self._created_at > STARTUP_GRACE
            owned_since = known.owned_since if known is not None else None
            known = warmup.Warmup(
                record.born, now, now if is_new else None, owned_since
            )
            self._warmups[record.name] = known
        return known

    def _find_drain(self, record: catalog.EndpointRecord, now: float) -> float | None:
        """Return since when an endpoint has been draining, None if it is not."""
        drain = self.drains.get(record.name)
        if drain is not None and drain.born == record.born:
            return drain.since
        if not record.is_draining:
            return None
        self.drains[record.name] = Drain(record.born, now)
        return now

    def mark_missing(self, name: str, now: float) -> None:
        """Record that the store no longer has a record of an endpoint."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None and endpoint.missing_since is None:
            endpoint.missing_since = now

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint permanently."""
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self.removed_at[name] = clock.read()
            self._close_idle(endpoint)

    def apply_list(
        self, listed: dict[str, tuple[int, str]], version: int, now: float
    ) -> None:
        """Apply the list of the endpoints in the store.

        Those without a record have left, perhaps before this node started.
        """
        if version < self.list_version:
            return
        self.listed, self.list_version = listed, version
        for name in listed.keys() - self.endpoints.keys() - self.removed_at.keys():
            self.removed_at[name] = now
            _, self.transfers[name] = listed[name]
        for endpoint in self.endpoints.values():
            self._compare_start(endpoint.record, now)

    def _compare_start(self, record: catalog.EndpointRecord, now: float) -> None:
        """Record that an endpoint started again, perhaps before this node did."""
        born, _ = self.listed.get(record.name, (record.born, ""))
        if born != record.born and self.restarts.find_newest(record.name) is None:
            self.restarts.record(record.name, now)

    def query_position(self, now: float) -> None:
        """Probe the primary if it has answered nothing since a replica restarted."""
        if self.is_serving() and self.restarts.needs_position(now):
            self.probe(self.primary)

    def find_restarted(self, end: positions.Position) -> frozenset[str]:
        """Return the endpoints that may have lost commits beyond a log's end.

        All of them, if commits from before this node started are missing: another
        endpoint with the only copy may have left.
        """
        if self.restarts.is_behind(end):
            return frozenset(self.endpoints)
        return self.restarts.find_uncovered(end)

    def assign_owners(self, owners: dict[str, list[str]], node_name: str) -> None:
        """Set the owners of the endpoints, and this node's connection limits.

        :param owners: names of the owners by endpoint, in the order of preference.
        :param node_name: of this node.
        """
        for endpoint in self.endpoints.values():
            endpoint.owners = owners.get(endpoint.name, [])
            endpoint.warmup.set_owner(endpoint.owners[:1] == [node_name], clock.read())
            if self.config is None:
                continue
            is_owner = endpoint.owners[:1] == [node_name]
            endpoint.max_connections = sharing.compute_limit(
                self.config.connections, is_owner
            )
            endpoint.is_owned = is_owner
            endpoint.min_idle = endpoint.max_connections if is_owner else 0

    def _close_if_draining(self, endpoint: pool.Endpoint) -> None:
        if endpoint is not self.primary:
            self._close_idle(endpoint)

    def _close_idle(self, endpoint: pool.Endpoint) -> None:
        for pooled in endpoint.idle:
            endpoint.connections.discard(pooled)
            pooled.connection.close()
        endpoint.idle = []

    # The primary

    @property
    def primary(self) -> pool.Endpoint | None:
        """The endpoint that is primary by the store, None while none is known."""
        if self.state is None:
            return None
        return self.endpoints.get(self.state.primary)

    def measure_lateness(self, now: float) -> tuple[float, float] | None:
        """Return the seconds since the seal and since the last contact.

        :returns: None if the group is not sealed and the node is connected.
        """
        sealed_for = now - self.commits.sealed_at
        isolated_for = self._measure_isolation(now)
        if sealed_for < 0 and isolated_for < primary_lease.DISCONNECTED_AFTER:
            return None
        return sealed_for, isolated_for

    def is_serving(self) -> bool:
        """Return whether a primary accepts statements."""
        if self.state is None or self.state.phase is not catalog.Phase.SERVING:
            return False
        primary = self.primary
        if primary is None:
            return False
        since = primary.draining_since or primary.missing_since
        return (
            since is None
            or clock.read() < since + PRIMARY_DRAIN_SHARE * self.endpoint_drain
        )

    def accepts_work(self, endpoint: pool.Endpoint) -> bool:
        """Return whether new work may be sent to an endpoint."""
        if self.is_closed(endpoint, clock.read()):
            return False
        if endpoint.accepts_new_work():
            return True
        return endpoint is self.primary and self.is_serving()

    # Evacuation of availability zones

    def is_closed(self, endpoint: pool.Endpoint, now: float) -> bool:
        """Return whether an endpoint's zone is evacuated and takes no new work."""
        is_primary = endpoint is self.primary
        return self.evacuations.is_closed(endpoint.record.zone, now, is_primary)

    def is_vacated(self, endpoint: pool.Endpoint, now: float) -> bool:
        """Return whether nothing may be sent to an endpoint, for an evacuation."""
        return self.evacuations.is_vacated(endpoint.record.zone, now)

    def leave_evacuated(self, now: float) -> None:
        """Close the idle connections to endpoints in evacuated zones."""
        for endpoint in self.endpoints.values():
            if endpoint.idle and self.is_closed(endpoint, now):
                self._close_idle(endpoint)

    def _find_evacuated(self, waiter: waiting.Waiter, now: float) -> str:
        """Return the evacuated zone for which a statement has no endpoint, or ``""``.

        While the primary is being replaced, statements wait for the next one.
        """
        if not self.evacuations.list_current():
            return ""
        if waiter.needs_primary:
            primary = self.primary
            if primary is None or self.state.phase is catalog.Phase.SEALED:
                return ""
            return primary.record.zone if self.is_closed(primary, now) else ""
        zones = [item.record.zone for item in self.endpoints.values()]
        if all(self.evacuations.find(zone) is not None for zone in zones):
            return zones[0] if zones else ""
        return ""

    # Waiting for an endpoint

    async def acquire(self, waiter: waiting.Waiter) -> waiting.Assignment:
        """Return an assignment to an endpoint, waiting for one that qualifies.

        :raises waiting.Refused: none is available before the deadline.
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

        That is a primary that has long been missing, an endpoint outside of evacuated
        zones or, while the node is disconnected, a lease or position that it does not
        have already.
        """
        now = clock.read()
        if self._is_disconnected(now) and not self._can_serve(waiter, now):
            return True
        if self._find_evacuated(waiter, now) or self.is_outside(waiter):
            return True
        if not waiter.needs_primary:
            return False
        if self.is_serving():
            self._no_primary_since = None
            return False
        if self._no_primary_since is None:
            self._no_primary_since = now
        return now - self._no_primary_since > NO_PRIMARY_TIMEOUT

    def is_outside(self, waiter: waiting.Waiter) -> bool:
        """Return whether all endpoints that could serve are in regions not allowed."""
        regions = waiter.regions
        if regions is None:
            return False
        if not waiter.needs_primary:
            return not self.has_other(regions, waiter.avoided) and (
                not regions or self.has_other(None, waiter.avoided)
            )
        if not self.is_serving():
            return not regions
        return not residency.allows_endpoint(regions, self.primary.region)

    def has_other(self, regions: residency.Regions, avoided: frozenset[str]) -> bool:
        """Return whether an allowed endpoint is usable for a read that failed on some.

        :param avoided: names of the endpoints on which it failed.
        """
        return any(
            residency.allows_endpoint(regions, endpoint.region)
            and endpoint.failing_since is None
            and self.accepts_work(endpoint)
            for endpoint in self.endpoints.values()
            if endpoint.name not in avoided
        )

    def refuse_unservable(self) -> None:
        """Refuse waiting statements that cannot be served in time."""
        for waiter in list(self.waiters):
            if not waiter.future.done() and self._is_unservable(waiter):
                waiter.future.set_exception(self._refuse(waiter))

    def _is_disconnected(self, now: float) -> bool:
        """Return whether this node reaches neither a leader nor the store."""
        return self._measure_isolation(now) > primary_lease.DISCONNECTED_AFTER

    def _can_serve(self, waiter: waiting.Waiter, now: float) -> bool:
        """Return whether the lease or a known position permits a statement."""
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
        zone = self._find_evacuated(waiter, clock.read())
        return waiting.Refused(self.explain_refusal(waiter), retry_after, zone)

    def explain_refusal(self, waiter: waiting.Waiter) -> str:
        """Return why a statement got no endpoint."""
        now = clock.read()
        if self.is_outside(waiter):
            return residency.explain_refusal(waiter.regions, self.name)
        if not self._can_serve(waiter, now) and self._is_disconnected(now):
            return "this node reaches neither the store nor a leader"
        zone = self._find_evacuated(waiter, now)
        if zone:
            what = "the primary" if waiter.needs_primary else "every endpoint"
            return f"{what} of group {self.name} is in evacuated zone {zone}: not run"
        if waiter.needs_primary and not self.is_serving():
            return f"group {self.name} has no primary that accepts statements"
        if not self._can_serve(waiter, now):
            return f"this node holds no lease on the primary of group {self.name}"
        return f"no endpoint of group {self.name} is reachable and up to date"

    def dispatch_waiting(self) -> None:
        """Assign endpoints to waiting statements, as far as any qualify."""
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
        """Return an assignment to an endpoint that can run a statement now."""
        if waiter.needs_primary:
            endpoint = self._find_primary_for(waiter, now)
            if endpoint is None:
                return None
            return waiting.Assignment(self._open_stream(endpoint, waiter.regions))
        return self._assign_read(waiter, now)

    def _find_primary_for(
        self, waiter: waiting.Waiter, now: float
    ) -> pool.Endpoint | None:
        reason = self.explain_primary(waiter, now)
        return self.primary if reason is None else None

    def explain_primary(self, waiter: waiting.Waiter, now: float) -> str | None:
        """Return why the primary may not run a statement now, None if it may."""
        if not self.is_serving():
            return f"group {self.name} has no primary that accepts statements"
        if not self.lease.holds_lease(now):
            return selection.NO_LEASE
        use = eligibility.Use.PRIMARY
        return eligibility.find_exclusion(self.primary, waiter, self, now, use)

    def _assign_read(
        self, waiter: waiting.Waiter, now: float
    ) -> waiting.Assignment | None:
        """Return an assignment to the endpoint that the policy chooses for a read."""
        floor = primary_lease.find_floor(
            self.lease, waiter.route, waiter.arrived_at, waiter.last_commit
        )
        selected = self.select_for_read(waiter, floor, now, self._draw())
        if selected.chosen is None:
            if floor is None:
                self._request_position(waiter)
            return None
        skipped = {
            name: reason
            for name, reason in selected.skipped.items()
            if self.endpoints[name] is not self.primary
        }
        for reason in skipped.values():
            self._record_skip(reason)
        endpoint = self.endpoints[selected.chosen.name]
        stream = self._open_stream(endpoint, waiter.regions)
        if endpoint is self.primary:
            return waiting.Assignment(stream, None, selected.divert_at, skipped)
        return waiting.Assignment(stream, floor, selected.divert_at)

    def select_for_read(
        self,
        waiter: waiting.Waiter,
        floor: positions.Position | None,
        now: float,
        draw: float,
    ) -> selection.Selection:
        """Return the endpoint for a read, and why the others were not chosen.

        :param floor: position that a replica must have reached, None if none is known.
        :param draw: random number of [0, 1) for the policy.
        """
        candidates, excluded = [], {}
        for endpoint in self.endpoints.values():
            reason = eligibility.find_exclusion(
                endpoint, waiter, self, now, eligibility.Use.READ
            )
            if reason is None:
                is_primary = endpoint is self.primary
                candidates.append(endpoint.make_candidate(now, is_primary))
            else:
                excluded[endpoint.name] = reason
        holds_lease = self.is_serving() and self.lease.holds_lease(now)
        return selection.select(
            candidates,
            excluded,
            floor,
            holds_lease,
            self._policy,
            draw,
            waiter.diverted,
        )

    def _request_position(self, waiter: waiting.Waiter) -> None:
        """Ask the primary for its position, for a read that may not run on it.

        Other reads run on the primary, whose answers contain it. A query about the log
        carries no statement text.
        """
        primary = self.primary
        if primary is None or not self.is_serving():
            return
        if not residency.allows_endpoint(waiter.regions, primary.region):
            self._wants_position = True
            self.probe(primary)

    def _record_status(
        self,
        endpoint: pool.Endpoint,
        sent_at: float,
        status: ports.LogStatus | None,
    ) -> None:
        """Record the position in the primary's answer, which reports spread."""
        state = self.state
        if (
            status is not None
            and status.is_primary
            and endpoint is self.primary
            and state.phase is catalog.Phase.SERVING
            and status.term == state.term
            and self.lease.holds_lease(sent_at)
        ):
            self.restarts.record_position(sent_at, status.received)
            self._wants_position = False
            self.lease.record_position(sent_at, status.received)

    def handle_rejection(
        self, endpoint: pool.Endpoint, owner_name: str, rejection: execution.Rejection
    ) -> None:
        """Put an owner that rejected a request on cooldown, or the endpoint."""
        now = clock.read()
        if rejection in (execution.Rejection.FULL, execution.Rejection.DIVERTED):
            return
        endpoint.owner_cooldowns[owner_name] = now + OWNER_COOLDOWN
        if rejection is not execution.Rejection.UNREACHABLE:
            return
        # If no owner is usable, this node's own connections are used (named "").
        names = [name for name in endpoint.owners if self._is_usable(name, now)] or [""]
        if all(now < endpoint.owner_cooldowns.get(name, 0.0) for name in names):
            endpoint.cooldown_until = now + pool.ENDPOINT_COOLDOWN
            endpoint.view.forget()
            asyncio.get_running_loop().call_later(
                pool.ENDPOINT_COOLDOWN, self.dispatch_waiting
            )

    # Connections of this node

    def close_surplus(self, now: float) -> None:
        """Close idle connections that other nodes may need."""
        for endpoint in self.endpoints.values():
            for pooled in endpoint.pop_surplus(now):
                pooled.connection.close()

    def probe(self, endpoint: pool.Endpoint) -> None:
        """Query an endpoint's log status over a new connection."""
        now = clock.read()
        if now - endpoint.probed_at < PROBE_TIMEOUT or self.is_closed(endpoint, now):
            return
        if not self._may_probe(self, endpoint):
            return
        endpoint.probed_at = now
        self._spawn(self._finish_probe, endpoint, now)

    async def _finish_probe(self, endpoint: pool.Endpoint, now: float) -> None:
        deadline = now + PROBE_TIMEOUT
        failed = ""
        status = None
        try:
            connection = await self._connector.open(
                endpoint.record, PROBE_TEAM, deadline
            )
            try:
                status = await connection.read_status(deadline)
            finally:
                connection.close()
        except ports.OpeningFailed as error:
            if error.failure is not statements.Failure.CONNECTION_LIMIT:
                failed = str(error)
        except ports.ConnectionLost as error:
            failed = str(error)
        if failed:
            endpoint.record_failure(now, failed)
            self._close_idle(endpoint)
        else:
            endpoint.probe_answered_at = clock.read()
            endpoint.record_answer(clock.read())
            self._record_status(endpoint, now, status)
        self._on_probed(self, endpoint)
        self.dispatch_waiting()

    # Updates from answers

    def reset_acknowledged(self, now: float) -> None:
        """Discard the newest acknowledged commit until the primary reports a position.

        A node was removed, and the commits that it acknowledged can no longer be
        queried.

        :param now: answers of the primary to later requests cover these commits.
        """
        self.commits.newest = None
        self._commits_known_since = now

    def record_position(self, sent_at: float, position: positions.Position) -> None:
        """Record the primary's answer to a request sent under the lease.

        The first one covers what this node acknowledged before a restart, unless the
        group is sealed: then it may be the end of frozen logs.
        """
        self.lease.record_position(sent_at, position)
        is_sealed = self.state is not None and self.state.phase is catalog.Phase.SEALED
        if not is_sealed and position.term == self.lease.term:
            self.restarts.record_position(sent_at, position)
        since = self._commits_known_since
        if not is_sealed and self.commits.newest is None and sent_at >= since:
            self.commits.newest = position

    def record_answer(
        self,
        endpoint: pool.Endpoint,
        sent_at: float,
        answer: statements.Answer,
        was_autocommit: bool,
        committed: bool = False,
    ) -> None:
        """Update endpoint and lease from an answer to a statement sent at ``sent_at``.

        :param was_autocommit: whether the statement ran outside a transaction; inside
            one the position is that of the transaction's start.
        :param committed: whether it committed a write.
        """
        now = clock.read()
        endpoint.record_answer(now)
        if committed:
            endpoint.committed_at = now
        position = answer.position
        if position is not None:
            self._newest_term = max(self._newest_term, position.term)
        if position is None or not (was_autocommit or committed):
            return
        endpoint.record_applied(position, now)
        state = self.state
        if (
            endpoint is not self.primary
            or state is None
            or position.term != state.term
            or state.phase is not catalog.Phase.SERVING
        ):
            return
        if self.lease.holds_lease(sent_at):
            self.record_position(sent_at, position)


def _names_request(
    before: catalog.GroupState | None, state: catalog.GroupState
) -> bool:
    """Return whether a state records a promotion request that is new to this node."""
    if not state.requested:
        return False
    if before is not None and state.phase is catalog.Phase.SERVING:
        # A restored store brings back a request that was forgotten since.
        return before.stage != state.stage
    return (
        before is None
        or before.requested != state.requested
        or before.attempt < state.attempt > catalog.FIRST_SETTLED
    )
