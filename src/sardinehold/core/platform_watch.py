"""Reading of the view from the platform, for relays and nodes without a relay."""

from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import fleet_node as nodes

WATCH_WAIT = 0.3
"""Seconds that a watch waits for a change; the lease counts from its start."""

RETRY_DELAY = 0.2
"""Seconds to wait after a failure; the platform client adds jitter."""

DIRECT_DELAY = 0.3
"""Maximum seconds to wait before a node without a relay reads the platform."""


class PlatformWatch:
    """Runs one list or watch call at a time.

    :param wanted: whether this node should read from the platform.
    """

    __slots__ = ("node", "wanted", "_busy", "_due", "_expired")

    def __init__(self, node: nodes.Node) -> None:
        """Initialize without a call."""
        self.node = node
        self.wanted = False
        self._busy = False
        self._due = 0.0
        self._expired = False

    def poll(self, now: float) -> float:
        """Start a call if one is due and return the time of the next poll."""
        if not self.wanted:
            self._due = now + self.node.derive_jitter("direct", DIRECT_DELAY)
            return now + nodes.STALE_AFTER
        if self._busy:
            return now + nodes.STALE_AFTER
        if now < self._due:
            return self._due
        self._read(now)
        return now + nodes.STALE_AFTER

    def _read(self, now: float) -> None:
        self._busy = True
        since = self.node.snapshot.version
        if not since or self._expired:
            call_id = self.node.start_call(
                lambda later, event: self._handle_list(later, now, event)
            )
            self.node.emit(agent_actions.ListObjects(call_id))
            return
        call_id = self.node.start_call(
            lambda later, event: self._handle_changes(later, now, since, event)
        )
        self.node.emit(agent_actions.WatchObjects(call_id, since, WATCH_WAIT))

    def _handle_list(
        self, now: float, sent_at: float, event: agent_events.AgentEvent
    ) -> None:
        self._busy = False
        if not isinstance(event, agent_events.ChangesRead):
            self._due = now + RETRY_DELAY
            return
        self._expired = False
        if event.changes.revision < self.node.snapshot.version:
            self._due = now + RETRY_DELAY
            return
        self.node.replace_snapshot(event.changes)
        self._confirm(now, sent_at)

    def _handle_changes(
        self, now: float, sent_at: float, since: int, event: agent_events.AgentEvent
    ) -> None:
        self._busy = False
        if isinstance(event, agent_events.ChangesRead):
            revision = event.changes.revision
            self.node.apply_changes(event.changes, since)
            if revision >= since and self.node.snapshot.version >= revision:
                self._confirm(now, sent_at)
            return
        self._due = now + RETRY_DELAY
        if not isinstance(event, agent_events.PlatformFailed):
            return
        self._expired = event.failure is agent_events.Failure.EXPIRED

    def _confirm(self, now: float, sent_at: float) -> None:
        self._due = now
        self.node.platform_answered_at = now
        self.node.renew_lease(now, sent_at)
