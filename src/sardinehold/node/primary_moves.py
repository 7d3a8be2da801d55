"""Moves of primaries out of evacuated zones, by the leader.

A planned change of primary interrupts writes for a second or two and can only choose
among the logs that it finds. It therefore starts once an endpoint outside of the zone
has all that the primary had, and never for an endpoint that lacks commits.
"""

import typing

import anyio

from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import failover
from sardinehold.node import ports

if typing.TYPE_CHECKING:
    from sardinehold.core import positions
    from sardinehold.node import evacuations
    from sardinehold.node import leader

CATCH_UP_WAIT = 0.5
"""Seconds within which a replica that receives the log has what the primary had."""

POLL_INTERVAL = 0.02
"""Seconds between two queries of the replicas."""

RETRY_DELAY = 0.25
"""Seconds until a move that was not possible is tried again."""

REPEAT_DELAY = 1.0
"""Seconds until a move is tried again that did not take the primary out of the zone:
writes are held back while it runs."""


class PrimaryMoves:
    """Decides when to move a primary out of an evacuated zone.

    :param leader: the leader whose groups these are.
    """

    def __init__(self, leader: "leader.Leader") -> None:
        """Initialize without moves."""
        self._leader = leader
        self._retry_at: dict[str, float] = {}
        self._ends: dict[tuple[str, str, int], positions.Position] = {}
        self._decisions: dict[str, tuple] = {}

    def is_due(self, state: catalog.GroupState, now: float) -> bool:
        """Return whether a primary is to be moved, and to where it could be."""
        if self._find_evacuation(state) is None:
            return False
        if now < self._retry_at.get(state.group, float("-inf")):
            return False
        if not self._list_candidates(state):
            self._retry_at[state.group] = now + RETRY_DELAY
            self._note(state, "wait", "no endpoint outside of evacuated zones")
            return False
        return True

    def is_evacuated(self, record: catalog.EndpointRecord) -> bool:
        """Return whether an endpoint's zone is evacuated."""
        return self._leader.node.evacuations.find(record.zone) is not None

    async def run(self, name: str) -> None:
        """Move a group's primary if an endpoint outside of the zone has its commits."""
        state = self._leader.find_state(name)
        evacuation = self._find_evacuation(state)
        if evacuation is None:
            return
        try:
            await self._attempt(state, evacuation)
        finally:
            # Counted from the end of the attempt, so that the group's other work gets
            # its turn before the next one.
            retry_at = clock.read() + RETRY_DELAY
            self._retry_at[name] = max(self._retry_at.get(name, retry_at), retry_at)

    async def _attempt(
        self, state: catalog.GroupState, evacuation: "evacuations.Evacuation"
    ) -> None:
        name = state.group
        is_reachable, end = await self._find_end(state, evacuation)
        if end is None and is_reachable:
            target, is_planned = "", True
            reason = "the primary has no free slot"
        elif end is not None:
            target = await self._await_candidate(state, end)
            reason = (
                f"{target} has all commits" if target else "no replica has them all"
            )
            is_planned = True
        else:
            # Its commits cannot be read: the logs of the replicas decide, as after a
            # crash, once no node sends new work to it any more.
            target = "" if clock.read() < evacuation.open_until else "any"
            reason = "the primary does not answer"
            is_planned = False
        self._note(state, "move" if target else "wait", reason)
        if target:
            await self._leader.move_primary(name, is_planned)
            self._retry_at[name] = clock.read() + REPEAT_DELAY

    async def _find_end(
        self, state: catalog.GroupState, evacuation: "evacuations.Evacuation"
    ) -> "tuple[bool, positions.Position | None]":
        """Return whether the primary answers, and the end of its log if it is known.

        It is queried only until the zone has to be empty, and once by a leader that
        begins later. Nobody writes to it after that.
        """
        key = (state.group, state.primary, state.term)
        if clock.read() < evacuation.open_until or key not in self._ends:
            record = self._leader.node.groups[state.group].primary.record
            is_refused, status = await self._read_status(record)
            if status is not None:
                self._ends = {
                    other: end
                    for other, end in self._ends.items()
                    if other[0] != state.group
                }
                self._ends[key] = status.received
            elif is_refused or clock.read() < evacuation.open_until:
                return is_refused, None
        end = self._ends.get(key)
        return end is not None, end

    async def _read_status(
        self, record: catalog.EndpointRecord
    ) -> tuple[bool, ports.LogStatus | None]:
        """Return whether an endpoint only lacked a slot, and the status of its log."""
        is_refused = False

        async def read(
            connection: ports.Connection, until: float
        ) -> ports.LogStatus | None:
            nonlocal is_refused
            status = await connection.read_status(until)
            if status is None:
                is_refused = True
                status = await failover.await_log_status(connection, until)
            return status

        reason, status = await failover.query(self._leader, record, read)
        is_lost = bool(reason) and reason != failover.NO_ANSWER
        return is_refused and not is_lost, status

    async def _await_candidate(
        self, state: catalog.GroupState, end: "positions.Position"
    ) -> str:
        """Return an endpoint outside of the zone whose log reaches a position."""
        found: list[str] = []
        deadline = clock.read() + CATCH_UP_WAIT

        async def check(connection: ports.Connection, until: float) -> bool:
            while clock.read() < deadline and not found:
                status = await connection.read_status(until)
                if status is not None and status.received >= end:
                    return True
                await anyio.sleep(POLL_INTERVAL)
            return False

        async def query(record: catalog.EndpointRecord) -> None:
            _, has_reached = await failover.query(self._leader, record, check)
            if has_reached:
                found.append(record.name)

        async with anyio.create_task_group() as tasks:
            for record in self._list_candidates(state):
                tasks.start_soon(query, record)
        return min(found, default="")

    def _note(self, state: catalog.GroupState, decision: str, reason: str) -> None:
        """Log a decision on a group's primary, unless it is the last one again."""
        evacuation = self._find_evacuation(state)
        if evacuation is None:
            return
        made = (state.stage, evacuation.version, decision, reason)
        if self._decisions.get(state.group) != made:
            self._decisions[state.group] = made
            self._leader.note(
                "evacuation",
                group=state.group,
                primary=state.primary,
                zone=evacuation.zone,
                version=evacuation.version,
                decision=decision,
                reason=reason,
            )

    def _find_evacuation(
        self, state: catalog.GroupState
    ) -> "evacuations.Evacuation | None":
        node = self._leader.node
        primary = node.groups[state.group].primary
        if primary is None:
            return None
        return node.evacuations.find(primary.record.zone)

    def _list_candidates(
        self, state: catalog.GroupState
    ) -> list[catalog.EndpointRecord]:
        endpoints = self._leader.node.groups[state.group].endpoints.values()
        return [
            endpoint.record
            for endpoint in endpoints
            if endpoint.name != state.primary
            and endpoint.accepts_new_work()
            and not self.is_evacuated(endpoint.record)
        ]
