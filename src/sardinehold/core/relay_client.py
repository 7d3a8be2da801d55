"""The follower side of a node: renews its lease and view through a relay."""

from sardinehold import objects
from sardinehold.core import agent_actions
from sardinehold.core import fleet_node as nodes
from sardinehold.core import lease
from sardinehold.core import messages
from sardinehold.core import relay

RENEW_INTERVAL = 0.5
"""Seconds between renewals while the view is fresh."""

OUTAGE_INTERVAL = 0.2
"""Seconds between renewals while the view is stale."""

ANSWER_TIMEOUT = 0.3
"""Seconds after which a relay counts as not having answered."""

SKIP_DURATION = 3.0
"""Seconds for which a relay that did not answer is skipped."""

SEED = ""
"""Placeholder for a node whose name is not known yet."""


class PendingRenew:
    """A renewal that has not been answered."""

    __slots__ = ("vm", "asked_at")

    def __init__(self, vm: str, asked_at: float) -> None:
        """Store the recipient and the time of sending."""
        self.vm = vm
        self.asked_at = asked_at


class RelayClient:
    """Renews the node's lease and view through the relay of its zone.

    :param parent: the member that gets the renewals, ``""`` if this node is the first
        live member of its zone.
    :param pending: unanswered renewals by sequence number.
    :param skipped: relays that did not answer, with the time to retry them.
    :param echoes: last answer of each relay, whose clock reading is echoed.
    """

    __slots__ = (
        "node",
        "parent",
        "pending",
        "skipped",
        "echoes",
        "announced_relays",
        "_due",
        "_rotation",
        "_acknowledged",
    )

    def __init__(self, node: nodes.Node) -> None:
        """Initialize without a relay."""
        self.node = node
        self.parent = ""
        self.pending: dict[int, PendingRenew] = {}
        self.skipped: dict[str, float] = {}
        self.echoes: dict[str, messages.Current] = {}
        self.announced_relays: tuple[str, ...] = ()
        self._due = 0.0
        self._rotation = 0
        self._acknowledged = 0

    def is_relay(self) -> bool:
        """Return whether this node is among the relays of its zone."""
        if not self.node.is_member:
            return False
        live = [
            vm
            for vm in self.node.record.list_zone(self.node.zone)
            if vm not in self.skipped
        ]
        first = live[: relay.RELAYS_PER_ZONE]
        return self.node.vm in first or self.node.vm in self.announced_relays

    def find_parent(self) -> str:
        """Return the first live member of the zone, ``""`` if this node is first.

        Members are ordered as for the choice of relays.
        """
        for vm in self.node.record.list_zone(self.node.zone):
            if vm == self.node.vm and self.node.is_member:
                return ""
            if vm != self.node.vm and vm not in self.skipped:
                return vm
        return ""

    def schedule_renew(self) -> None:
        """Send a renewal at the next poll because there is a change to report."""
        self._due = 0.0

    def poll(self, now: float) -> float:
        """Send a renewal if one is due and return the time of the next poll."""
        self._expire(now)
        self.parent = self.find_parent()
        if not self.parent:
            self.announced_relays = ()
        if self._acknowledged < self.node.snapshot.changed_version:
            self._due = 0.0
        if now >= self._due:
            self._renew(now)
        waiting = [item.asked_at + ANSWER_TIMEOUT for item in self.pending.values()]
        return min([self._due, *waiting])

    def handle_current(self, now: float, message: messages.Current) -> None:
        """Apply a relay's answer or push, and renew the lease from an answer."""
        renew = self.pending.pop(message.sequence, None)
        self.skipped.pop(message.vm, None)
        self._apply(message)
        if self.node.snapshot.version < message.version and not self.pending:
            self.schedule_renew()
        if message.vm == self.parent:
            self.announced_relays = message.relays
        if renew is None:
            return
        self.echoes[message.vm] = message
        if message.age < 0 or self.node.snapshot.version < message.version:
            return
        as_of = lease.compute_as_of(renew.asked_at, message.age)
        self.node.renew_lease(now, as_of)

    def request_changes(self, now: float, vm: str) -> None:
        """Request changes from a node that has a newer view."""
        if not any(item.vm == vm for item in self.pending.values()):
            self._send(now, vm)

    def make_renew(self, vm: str) -> messages.Renew:
        """Return a renewal for ``vm`` with this node's version and reports."""
        node = self.node
        echo = self.echoes.get(vm)
        return messages.Renew(
            node.vm,
            node.incarnation,
            node.zone,
            node.make_sequence(),
            node.snapshot.version,
            echo.clock if echo else 0.0,
            echo.incarnation if echo else "",
            tuple(node.reports.values()),
            tuple(sorted(node.quiesced)),
            "" if node.is_member else node.address,
        )

    def _renew(self, now: float) -> None:
        stale = self.node.is_stale(now)
        self._due = now + (OUTAGE_INTERVAL if stale else RENEW_INTERVAL)
        self._acknowledged = self.node.snapshot.changed_version
        if self.parent:
            self._send(now, self.parent)
        elif stale:
            self._send_to_other(now)

    def _send_to_other(self, now: float) -> None:
        others = [vm for vm in sorted(self.node.record.members) if vm != self.node.vm]
        self._rotation += 1
        if others:
            self._send(now, others[self._rotation % len(others)])
        elif self.node.seeds:
            address = self.node.seeds[self._rotation % len(self.node.seeds)]
            renew = self.make_renew(SEED)
            self.pending[renew.sequence] = PendingRenew(SEED, now)
            self.node.emit(agent_actions.Send(SEED, address, renew))

    def _send(self, now: float, vm: str) -> None:
        renew = self.make_renew(vm)
        self.pending[renew.sequence] = PendingRenew(vm, now)
        self.node.send(vm, renew)

    def _expire(self, now: float) -> None:
        for sequence, item in list(self.pending.items()):
            if now < item.asked_at + ANSWER_TIMEOUT:
                continue
            del self.pending[sequence]
            if item.vm == self.parent and item.vm:
                self.skipped[item.vm] = now + SKIP_DURATION
                self._due = 0.0
        self.skipped = {vm: until for vm, until in self.skipped.items() if until > now}

    def _apply(self, message: messages.Current) -> None:
        changes = objects.Changes(message.objects, message.version)
        if message.whole:
            if message.version > self.node.snapshot.version:
                self.node.replace_snapshot(changes)
        else:
            self.node.apply_changes(changes, message.since)
