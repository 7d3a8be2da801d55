"""Registration of this node as a member of the fleet."""

from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import fleet_node as nodes
from sardinehold.core import membership
from sardinehold.core import view as core_view

RETRY_LIMIT = 0.4
"""Maximum seconds to wait before another attempt."""


class Registration:
    """Maintains this node's entry in ``members/current``."""

    __slots__ = ("node", "_busy", "_due", "_marked")

    def __init__(self, node: nodes.Node) -> None:
        """Initialize without an entry."""
        self.node = node
        self._busy = False
        self._due = 0.0
        self._marked = False

    def poll(self, now: float) -> float:
        """Add, mark or remove the entry if due and return the time of the next poll."""
        node = self.node
        if self._busy or not node.snapshot.version or now < self._due:
            return max(self._due, now + RETRY_LIMIT)
        value = self._make_value()
        if value is not None:
            self._busy = True
            stored = node.snapshot.find("members", "current")
            version = 0 if stored is None else stored.version
            node.write("members", "current", value, version, self._finish)
        return now + RETRY_LIMIT

    def is_absent(self) -> bool:
        """Return whether this incarnation is not a member."""
        node = self.node
        return not node.record.is_member(node.vm, node.incarnation)

    def _make_value(self) -> dict | None:
        node = self.node
        stored = node.snapshot.find("members", "current")
        value = None if stored is None else stored.value
        if node.left:
            if self.is_absent():
                return None
            change_id = node.make_change_id()
            return membership.remove_member(value, node.vm, True, change_id)
        if node.leaving:
            return self._mark_leaving(value)
        if not self.is_absent():
            return None
        member = core_view.Member(node.vm, node.zone, node.address, node.incarnation)
        return membership.add_member(value, member, node.make_change_id())

    def _mark_leaving(self, value: dict | None) -> dict | None:
        node = self.node
        if self.is_absent() or node.record.members[node.vm].leaving:
            return None
        return membership.mark_leaving(value, node.vm, node.make_change_id())

    def _finish(self, now: float, event: agent_events.AgentEvent) -> None:
        """Schedule a check for when the view may show the change."""
        self._busy = False
        self._due = now + 0.02 + self.node.derive_jitter("join", RETRY_LIMIT)
        if isinstance(event, agent_events.ObjectWritten):
            self._due = now + RETRY_LIMIT
            self.node.emit(agent_actions.Count("membership_changes"))
