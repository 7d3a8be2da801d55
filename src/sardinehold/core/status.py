"""Status reports of the nodes of a zone, stored as one object."""

import json

from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import fleet_node as nodes
from sardinehold.core import messages
from sardinehold.core import relay_server as relay_servers

INTERVAL = 2.0
"""Seconds between two status reports of a node, and between a zone's writes."""

FULL_INTERVAL = 60.0
"""Seconds between two status reports of a node that include its histograms."""

KIND = "status"


class StatusReporter:
    """Sender of this node's status.

    On the zone's relay, it also writes the status of the zone.
    """

    __slots__ = (
        "node",
        "relay_server",
        "body",
        "_bodies",
        "_received_at",
        "_due",
        "_full_due",
        "_written",
        "_version",
        "_busy",
    )

    def __init__(
        self, node: nodes.Node, relay_server: relay_servers.RelayServer
    ) -> None:
        """Start with an empty status.

        The daemon updates ``body`` with counters and histograms.
        """
        self.node = node
        self.relay_server = relay_server
        self.body: dict = {}
        self._bodies: dict[str, dict] = {}
        self._received_at: dict[str, float] = {}
        self._due = 0.0
        self._full_due = 0.0
        self._written: dict = {}
        self._version: int | None = None
        self._busy = False

    def poll(self, now: float) -> float:
        """Send or write the status if due; return the time of the next poll."""
        if now < self._due or self.node.view is None:
            return max(self._due, now + 0.1)
        self._due = now + INTERVAL
        parent = self.relay_server.relay_client.parent
        if parent:
            self._send_status(now, parent)
            return self._due
        self._bodies[self.node.vm] = self._describe(now)
        self._received_at[self.node.vm] = now
        self._write_zone(now)
        return self._due

    def _send_status(self, now: float, parent: str) -> None:
        """Send this node's status, with histograms once per ``FULL_INTERVAL``."""
        body = self._describe(now)
        if now >= self._full_due:
            self._full_due = now + FULL_INTERVAL
        else:
            body.pop("histograms", None)
        text = json.dumps(body)
        status = messages.NodeStatus(self.node.vm, self.node.incarnation, text)
        self.node.send(parent, status)

    def store_status(self, now: float, message: messages.NodeStatus) -> None:
        """Store the status received from a node of the zone."""
        try:
            body = json.loads(message.body)
        except ValueError:
            self.node.emit(agent_actions.Count("statuses_refused"))
            return
        if isinstance(body, dict):
            before = self._bodies.get(message.vm, {})
            body.setdefault("histograms", before.get("histograms", {}))
            self._bodies[message.vm] = body
            self._received_at[message.vm] = now

    def _describe(self, now: float) -> dict:
        node = self.node
        state = "serving" if node.can_act(now) else "reading"
        if now >= node.lease.serve_deadline:
            state = "cut off"
        if node.leaving:
            state = "leaving"
        return {
            "document_version": node.view.document.version,
            "view_version": node.snapshot.changed_version,
            "state": state,
            **self.body,
        }

    def _write_zone(self, now: float) -> None:
        self._remove_expired(now)
        value = {"vms": dict(self._bodies)}
        if self._busy or value == self._written:
            return
        self._busy = True
        if self._version is None:
            call_id = self.node.start_call(self._handle_version)
            self.node.emit(agent_actions.ReadObject(call_id, KIND, self.node.zone))
            return
        self.node.write(
            KIND,
            self.node.zone,
            value,
            self._version,
            lambda later, event: self._handle_write(event, value),
        )

    def _handle_version(self, now: float, event: agent_events.AgentEvent) -> None:
        self._busy = False
        self._due = now
        if isinstance(event, agent_events.ObjectWritten):
            self._version = event.version
        elif (
            isinstance(event, agent_events.PlatformFailed)
            and event.failure is agent_events.Failure.MISSING
        ):
            self._version = 0
        else:
            self._due = now + INTERVAL

    def _handle_write(self, event: agent_events.AgentEvent, value: dict) -> None:
        self._busy = False
        if isinstance(event, agent_events.ObjectWritten):
            self._version = event.version
            self._written = value
        else:
            self._version = None

    def _remove_expired(self, now: float) -> None:
        for vm, received_at in list(self._received_at.items()):
            if now - received_at > 3 * INTERVAL:
                del self._received_at[vm]
                self._bodies.pop(vm, None)
