"""State shared by the components of an agent: identity, view, lease and calls."""

import typing
import zlib

from sardinehold import objects
from sardinehold import views
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import events
from sardinehold.core import fleet_invariants
from sardinehold.core import lease
from sardinehold.core import membership
from sardinehold.core import messages
from sardinehold.core import snapshot as snapshots
from sardinehold.core import view as core_view

STALE_AFTER = 1.2
"""Age of the view in seconds above which it is also requested from other sources."""

Callback = typing.Callable[[float, agent_events.AgentEvent], None]


class Node:
    """The state of one node, shared by the components of its agent.

    :param vm: name of this VM.
    :param address: ``host:port`` of its peer service.
    :param incarnation: unique identifier of this run of the process.
    :param seeds: peer addresses to ask for the view when there is none.
    :param fresh_secret: random key, for a fleet that has no token keys yet.
    """

    __slots__ = (
        "vm",
        "zone",
        "address",
        "incarnation",
        "seeds",
        "snapshot",
        "builder",
        "view",
        "record",
        "lease",
        "leaving",
        "left",
        "platform_answered_at",
        "reports",
        "quiesced",
        "fresh_secret",
        "inbox",
        "actions",
        "_calls",
        "_last_call",
        "_last_change",
        "_last_sequence",
    )

    def __init__(
        self,
        vm: str,
        zone: str,
        address: str,
        incarnation: str,
        seeds: tuple[str, ...] = (),
        fresh_secret: str = "",
    ) -> None:
        """Initialize without a view."""
        self.vm = vm
        self.zone = zone
        self.address = address
        self.incarnation = incarnation
        self.seeds = seeds
        self.snapshot = snapshots.Snapshot()
        self.builder = views.ViewBuilder()
        self.view: core_view.View | None = None
        self.record = membership.Record(None)
        self.lease = lease.Lease()
        self.leaving = False
        self.left = False
        self.platform_answered_at: float | None = None
        self.reports: dict[str, messages.EndpointReport] = {}
        self.quiesced: set[str] = set()
        self.fresh_secret = fresh_secret
        self.inbox: list[messages.Message] = []
        self.actions: list[agent_actions.AgentAction] = []
        self._calls: dict[int, Callback] = {}
        self._last_call = 0
        self._last_change = 0
        self._last_sequence = 0

    @property
    def is_member(self) -> bool:
        """Whether this incarnation is a member in the latest known view."""
        return self.record.is_member(self.vm, self.incarnation) and not self.left

    def can_act(self, now: float) -> bool:
        """Return whether the node may act on its view."""
        return self.is_member and now < self.lease.write_deadline

    def is_stale(self, now: float) -> bool:
        """Return whether the view's age exceeds ``STALE_AFTER`` or is unknown."""
        age = self.lease.measure_age(now)
        return age is None or age > STALE_AFTER

    def emit(self, action: agent_actions.AgentAction) -> None:
        """Append an action for the daemon."""
        self.actions.append(action)

    def send(self, vm: str, message: messages.Message) -> None:
        """Send a message to a member, or put it into the inbox if to this node."""
        if vm == self.vm:
            self.inbox.append(message)
            return
        member = self.record.members.get(vm)
        if member is not None:
            self.emit(agent_actions.Send(vm, member.address, message))

    def start_call(self, callback: Callback) -> int:
        """Return the identifier of a new call whose answer goes to ``callback``."""
        self._last_call += 1
        self._calls[self._last_call] = callback
        return self._last_call

    def finish_call(
        self, now: float, call_id: int, event: agent_events.AgentEvent
    ) -> None:
        """Pass an answer to the callback of its call; ignore further answers."""
        callback = self._calls.pop(call_id, None)
        if callback is not None:
            callback(now, event)

    def write(
        self,
        kind: str,
        name: str,
        value: dict | None,
        version: int,
        callback: Callback,
    ) -> None:
        """Write an object if it still has ``version`` (0: does not exist)."""
        call_id = self.start_call(callback)
        self.emit(agent_actions.WriteObject(call_id, kind, name, value, version))

    def make_change_id(self) -> str:
        """Return a unique identifier for a change."""
        self._last_change += 1
        return f"{self.vm}/{self.incarnation}/{self._last_change}"

    def make_sequence(self) -> int:
        """Return the next message sequence number."""
        self._last_sequence += 1
        return self._last_sequence

    def derive_jitter(self, key: str, limit: float) -> float:
        """Return a deterministic delay in seconds below ``limit``."""
        text = f"{self.vm} {self.incarnation} {key} {self._last_call}"
        return zlib.crc32(text.encode()) / 2**32 * limit

    def replace_snapshot(self, changes: objects.Changes) -> bool:
        """Replace all objects; see :meth:`Snapshot.replace`."""
        before = self.snapshot.version
        changed = self.snapshot.replace(changes)
        self._finish_update(before, changed)
        return changed

    def apply_changes(self, changes: objects.Changes, since: int) -> bool:
        """Apply changes made since a version; see :meth:`Snapshot.apply`."""
        before = self.snapshot.version
        changed = self.snapshot.apply(changes, since)
        self._finish_update(before, changed)
        return changed

    def renew_lease(self, now: float, as_of: float) -> None:
        """Renew the lease if ``as_of`` is later than the instant it counts from.

        :param as_of: instant of the own clock at which the view was current.
        """
        fleet_invariants.lease_counts_from_the_past(now, as_of)
        if self.lease.renew(as_of):
            self._deliver_lease()

    def _finish_update(self, before: int, changed: bool) -> None:
        fleet_invariants.snapshot_never_reverts(before, self.snapshot.version)
        if changed:
            self._publish()

    def _publish(self) -> None:
        self._read_members()
        refused = self.builder.refused
        view = self.builder.build(self.snapshot)
        if self.builder.refused > refused:
            self.emit(agent_actions.Count("documents_refused"))
        if view is None:
            return
        self.view = view
        self.quiesced = {name for name in self.quiesced if _is_draining(view, name)}
        self.emit(agent_actions.Deliver(events.ViewChanged(view)))
        self._deliver_lease()

    def _read_members(self) -> None:
        stored = self.snapshot.find("members", "current")
        if stored is not None and stored.version != self.record.version:
            self.record = membership.Record(stored)

    def _deliver_lease(self) -> None:
        if self.view is None or self.lease.as_of is None:
            return
        write_deadline = self.lease.write_deadline if self.is_member else 0.0
        event = events.LeaseRenewed(write_deadline, self.lease.serve_deadline)
        self.emit(agent_actions.Deliver(event))


def _is_draining(view: core_view.View, group: str) -> bool:
    state = view.groups.get(group)
    return state is not None and state.phase is core_view.Phase.DRAINING
