"""What a node does about evacuated zones, as :mod:`.evacuations` decides.

Connections, waiting requests and open transactions in an evacuated zone would otherwise
keep statements there past the limit.
"""

import typing

from sardinehold import metrics
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import evacuations

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes
    from sardinehold.node import pool


class EvacuationTasks:
    """Applies evacuations to a node's own work.

    :param node: the local node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize without evacuations."""
        self.node = node
        self._faults: dict[str, int] = {}
        self._occupied: set[str] = set()
        self._was_known = node.evacuations.is_known()

    def count(self, name: str, zone: str) -> None:
        """Count an effect of a zone's evacuation."""
        self.node.registry.count(metrics.label_name(name, zone=zone))

    def update_gauges(self) -> None:
        """Update the gauges of the metrics page."""
        known = self.node.evacuations
        if known.limit is not None:
            self.node.registry.set_gauge("zones_evacuated", len(known.list_current()))

    # Changes

    def apply_list(
        self, changes: objects.Changes, now: float, keeps_missing: bool
    ) -> None:
        """Apply a complete list of the evacuations' objects.

        :param keeps_missing: see :meth:`.evacuations.Evacuations.apply_list`.
        """
        versions = {self._read(stored): stored.version for stored in changes.objects}
        self._report(
            self.node.evacuations.apply_list(
                versions, changes.revision, now, keeps_missing
            ),
            "store",
        )

    def apply_changes(self, changes: objects.Changes, now: float) -> None:
        """Apply changes of the evacuations' objects."""
        versions = {
            self._read(stored): None if stored.value is None else stored.version
            for stored in changes.objects
        }
        self._report(
            self.node.evacuations.apply_changes(versions, changes.revision, now),
            "store",
        )

    def apply_message(
        self, known: tuple[int, dict[str, int]] | None, now: float, as_of: float
    ) -> None:
        """Apply the evacuations that the leader knows of, if they are newer.

        A node that the store does not answer learns of them in this way.

        :param as_of: time from which on the leader knew them.
        """
        own = self.node.evacuations
        if known is None or own.limit is None:
            return
        if known[0] > own.revision:
            self._report(own.apply_list(known[1], known[0], now), "leader")
        else:
            own.confirm(as_of)

    def dump(self) -> tuple[int, dict[str, int]] | None:
        """Return version of the store and evacuated zones, None if not known."""
        known = self.node.evacuations
        if known.limit is None or not known.is_known():
            return None
        return known.revision, {
            item.zone: item.version for item in known.list_current()
        }

    def _read(self, stored: objects.StoredObject) -> str:
        """Return the zone that an object names; log its fault once per version."""
        if stored.value is None:
            self._faults.pop(stored.name, None)
            return stored.name
        entry = self.node.sources.parse_evacuation(stored.name, stored.value)
        if entry.fault and self._faults.get(stored.name) != stored.version:
            self._faults[stored.name] = stored.version
            self.node.journal.note(
                "evacuation_malformed",
                zone=entry.zone,
                version=stored.version,
                reason=entry.fault,
            )
        return entry.zone

    def _report(self, update: evacuations.Update, source: str) -> None:
        """Log what changed, and act on it."""
        for item in update.begun:
            self._occupied.add(item.zone)
            self.node.journal.note(
                "zone_evacuated",
                zone=item.zone,
                version=item.version,
                source=source,
                endpoints=[found.name for _, found in self._list_endpoints(item.zone)],
                primary_for=round(item.primary_until - item.since, 3),
                open_for=round(item.open_until - item.since, 3),
            )
        for item in update.ended:
            self._occupied.discard(item.zone)
            self.node.journal.note(
                "zone_returns",
                zone=item.zone,
                version=item.version,
                source=source,
                lasted=round(item.ended_at - item.since, 3),
                full_after=round(item.returned_at - item.ended_at, 3),
            )
        if update and self.node.leader.leads():
            self.node.leader.notify_nodes()
        if update or not self._was_known:
            # Until the first list nothing was sent to any zone.
            self._was_known = True
            self.step(clock.read())
            for group in self.node.groups.values():
                group.dispatch_waiting()

    # Regular work

    def step(self, now: float) -> None:
        """End the work in evacuated zones that may not go on."""
        self.node.evacuations.limit = self.node.settings.evacuation_limit
        current = self.node.evacuations.list_current()
        if current:
            self._roll_back(now)
        for item in current:
            self._leave(item, now)
        for item in self.node.evacuations.pop_returned(now):
            self.node.journal.note(
                "zone_returned", zone=item.zone, version=item.version
            )

    def _roll_back(self, now: float) -> None:
        """Roll back the callers' transactions that may not go on."""
        for caller in list(self.node.callers):
            session = caller.session
            zone = session.leave_evacuated(now) if session is not None else ""
            if zone:
                self.count("evacuation_rolled_back", zone)
                self.node.journal.note(
                    "transaction_evacuated",
                    route=session.route_name,
                    zone=zone,
                    version=self.node.evacuations.find(zone).version,
                )

    def _leave(self, item: evacuations.Evacuation, now: float) -> None:
        is_empty = True
        for group, endpoint in self._list_endpoints(item.zone):
            group.leave_evacuated(now)
            self.node.executor.leave_evacuated(group, endpoint, now)
            is_used = endpoint.connections or endpoint.opening or endpoint.in_flight
            is_empty = is_empty and not is_used and group.is_closed(endpoint, now)
        if is_empty and item.zone in self._occupied:
            self._occupied.discard(item.zone)
            self.node.journal.note(
                "zone_vacated",
                zone=item.zone,
                version=item.version,
                seconds=round(now - item.since, 3),
            )

    def _list_endpoints(self, zone: str) -> list[tuple[typing.Any, "pool.Endpoint"]]:
        """Return the endpoints of a zone, each with its group."""
        return [
            (group, endpoint)
            for group in self.node.groups.values()
            for endpoint in group.endpoints.values()
            if endpoint.record.zone == zone
        ]
