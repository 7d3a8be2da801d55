"""Reconciliation of the stored objects, done by the supervisor beside failover.

It creates missing objects, records which endpoints are leaving, removes
unreachable members, and clears earlier member sets once no node acts on them any more.
"""

from sardinehold import views
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import fence
from sardinehold.core import fleet_node as nodes
from sardinehold.core import membership
from sardinehold.core import relay_server as relay_servers
from sardinehold.core import view as core_view

LIST_INTERVAL = 1.0
"""Seconds between reads of the platform's list of VMs."""

REMOVE_AFTER = 10.0
"""Seconds without contact after which a member not on the list is removed."""

REMOVE_LISTED_AFTER = 60.0
"""Seconds without contact after which a member on the list is removed as well."""

POLL_INTERVAL = 0.25
"""Seconds between polls when nothing happens."""

RETRY_DELAY = 0.5
"""Seconds between attempts at the same change."""


class Reconciler:
    """Compares the stored objects with the desired state and corrects them."""

    __slots__ = (
        "node",
        "relay_server",
        "_busy",
        "_due",
        "_is_listing_vms",
        "_list_due",
        "_listed",
        "_leaving",
        "_is_listing_groups",
        "_last_seen",
        "_fence",
    )

    def __init__(
        self, node: nodes.Node, relay_server: relay_servers.RelayServer, now: float
    ) -> None:
        """Initialize as if all members had just been in contact."""
        self.node = node
        self.relay_server = relay_server
        self._busy = False
        self._due = now
        self._is_listing_vms = False
        self._list_due = now
        self._listed: set[str] | None = None
        self._leaving: set[str] | None = None
        self._is_listing_groups = False
        self._last_seen = dict.fromkeys(node.record.members, now)
        self._fence: fence.Fence | None = None

    def poll(self, now: float) -> float:
        """Do what is due and return the time of the next poll."""
        for vm in self.relay_server.collect_acknowledged(now):
            self._last_seen[vm] = now
        if now >= self._list_due and not self._is_listing_vms:
            self._read_vms(now)
        if not self._busy and now >= self._due:
            self._change(now)
        return min(self._list_due, max(self._due, now + POLL_INTERVAL))

    def _change(self, now: float) -> None:
        """Write the first change that is due."""
        steps = (
            self._clear_pending_changes,
            self._create_token_keys,
            self._create_group,
            self._write_leaving,
            self._remove_member,
        )
        any(step(now) for step in steps)

    def _write(self, now: float, kind: str, name: str, value: dict) -> bool:
        stored = self.node.snapshot.find(kind, name)
        version = 0 if stored is None else stored.version
        self._busy = True
        self.node.write(kind, name, value, version, self._finish)
        return True

    def _finish(self, now: float, event: agent_events.AgentEvent) -> None:
        self._busy = False
        self._due = now + RETRY_DELAY

    def _clear_pending_changes(self, now: float) -> bool:
        record = self.node.record
        if not record.removed and not record.earlier:
            self._fence = None
            return False
        if self._fence is None or self._fence.version != record.version:
            self._fence = fence.Fence(record.version)
        acknowledged = self.relay_server.collect_acknowledged(now)
        if not self._fence.is_passed(now, record, acknowledged):
            return False
        stored = self.node.snapshot.find("members", "current")
        value = membership.clear_pending_changes(
            stored.value, self.node.make_change_id()
        )
        return self._write(now, "members", "current", value)

    def _create_token_keys(self, now: float) -> bool:
        if self.node.snapshot.find("secret", "token-keys") is not None:
            return False
        if not self.node.fresh_secret:
            return False
        value = {"keys": [self.node.fresh_secret]}
        return self._write(now, "secret", "token-keys", value)

    def _create_group(self, now: float) -> bool:
        view = self.node.view
        missing = sorted(view.document.groups.keys() - view.groups.keys())
        if not missing or self._is_listing_groups:
            return False
        self._is_listing_groups = True
        call_id = self.node.start_call(
            lambda later, event: self._handle_groups(later, event, missing)
        )
        self.node.emit(agent_actions.ListGroups(call_id))
        return True

    def _handle_groups(
        self, now: float, event: agent_events.AgentEvent, missing: list[str]
    ) -> None:
        self._is_listing_groups = False
        self._due = now + RETRY_DELAY
        if not isinstance(event, agent_events.ChangesRead):
            return
        listed = {item.name: item.value for item in event.changes.objects}
        for name in missing:
            group = self.node.view.document.groups.get(name)
            if group is None or name in self.node.view.groups:
                continue
            endpoints = [endpoint.name for endpoint in group.endpoints]
            value = make_first_state(
                name, endpoints, listed.get(name) or {}, self.node.make_change_id()
            )
            self.node.write("group-state", name, value, 0, lambda later, event: None)

    def _read_vms(self, now: float) -> None:
        self._is_listing_vms = True
        self._list_due = now + LIST_INTERVAL
        call_id = self.node.start_call(self._handle_vms)
        self.node.emit(agent_actions.ListVms(call_id))

    def _handle_vms(self, now: float, event: agent_events.AgentEvent) -> None:
        self._is_listing_vms = False
        if not isinstance(event, agent_events.ChangesRead):
            return
        values = {item.name: item.value or {} for item in event.changes.objects}
        self._listed = set(values)
        self._leaving = {
            name
            for name, value in values.items()
            if value.get("purpose") == "endpoint" and value.get("state") == "leaving"
        }

    def _write_leaving(self, now: float) -> bool:
        if self._leaving is None or self._leaving == self.node.view.leaving:
            return False
        value = {
            "endpoints": sorted(self._leaving),
            "change_id": self.node.make_change_id(),
        }
        return self._write(now, "leaving", "endpoints", value)

    def _remove_member(self, now: float) -> bool:
        record = self.node.record
        if record.earlier or self._listed is None:
            return False
        for vm in sorted(record.members):
            unseen_for = now - self._last_seen.setdefault(vm, now)
            limit = REMOVE_LISTED_AFTER if vm in self._listed else REMOVE_AFTER
            if vm != self.node.vm and unseen_for > limit:
                return self._remove(now, vm)
        return False

    def _remove(self, now: float, vm: str) -> bool:
        self.node.emit(agent_actions.Record("member_removed", member=vm))
        self._last_seen.pop(vm)
        stored = self.node.snapshot.find("members", "current")
        change_id = self.node.make_change_id()
        value = membership.remove_member(stored.value, vm, False, change_id)
        return self._write(now, "members", "current", value)


def make_first_state(
    name: str, endpoints: list[str], listed: dict, change_id: str
) -> dict:
    """Return the initial value of a group's object.

    :param listed: the platform's entry for the group, which may be outdated.
    """
    term, primary = 1, endpoints[0]
    for endpoint, entry in listed.get("endpoints", {}).items():
        if entry.get("role") == "primary" and endpoint in endpoints:
            term, primary = int(entry.get("term") or 1), endpoint
    state = core_view.GroupState(name, term, primary, change_id=change_id)
    return views.dump_group_state(state)
