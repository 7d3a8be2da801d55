"""Leader election for shared roles, by compare-and-swap and fenced by an epoch.

A role is an object of the view. Its holder acts only while its own lease is
valid. If two simultaneous holders would cause damage, a new holder acts only
after a fence at the version that named it, so that a paused predecessor that
has not seen the change can no longer act. If every change is a conditional
update, as for the supervisor, the updates themselves prevent conflicts and the
new holder need not wait.
"""

import typing

from sardinehold import views
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import fence
from sardinehold.core import fleet_invariants
from sardinehold.core import fleet_node as nodes
from sardinehold.core import membership
from sardinehold.core import relay_server as relay_servers
from sardinehold.core import view as core_view

TAKEOVER_GRACE = 2.0
"""Seconds for which a node collects messages before it takes over a role."""

PLATFORM_AGE_LIMIT = 5.0
"""Maximum seconds since the platform answered the holder of a role."""

RETRY_DELAY = 0.3
"""Seconds to wait after an attempt to write a role."""

POLL_INTERVAL = 0.1
"""Seconds between checks of a role that another node holds."""


class Worker(typing.Protocol):
    """The component that performs a role while this node holds it.

    :param fenced: whether it may act only once its predecessor cannot.
    """

    fenced: bool

    def poll(self, now: float) -> float:
        """Do what is due and return the time of the next poll."""


Factory = typing.Callable[[nodes.Node, relay_servers.RelayServer, int, float], Worker]

REGISTRY: dict[str, Factory] = {}
"""Worker factories by role."""


def role(name: str) -> typing.Callable[[Factory], Factory]:
    """Register the decorated worker for a role."""

    def register(factory: Factory) -> Factory:
        REGISTRY[name] = factory
        return factory

    return register


class Elector:
    """Claims one role when its holder has failed, and runs its worker.

    :param worker: None while this node does not act in the role.
    """

    __slots__ = (
        "node",
        "relay_server",
        "name",
        "worker",
        "epoch",
        "_fence",
        "_busy",
        "_retry_at",
        "_observing_since",
        "_due",
        "_polled_view",
    )

    def __init__(
        self, node: nodes.Node, relay_server: relay_servers.RelayServer, name: str
    ) -> None:
        """Initialize without the role."""
        self.node = node
        self.relay_server = relay_server
        self.name = name
        self.worker: Worker | None = None
        self.epoch = 0
        self._fence: fence.Fence | None = None
        self._busy = False
        self._retry_at = 0.0
        self._observing_since: float | None = None
        self._due = 0.0
        self._polled_view: core_view.View | None = None

    def poll(self, now: float, urgent: bool) -> float:
        """Run the worker, or claim the role if this node should hold it.

        :param urgent: whether a change arrived that the worker must act on.
        """
        if now < self._due and not urgent and self.node.view is self._polled_view:
            return self._due
        self._polled_view = self.node.view
        self._due = self._check_holder(now)
        return self._due

    def _check_holder(self, now: float) -> float:
        if self.node.view is None:
            return now + POLL_INTERVAL
        holder = self.node.view.roles.get(self.name)
        if holder is not None and self._is_own(holder):
            return self._act(now, holder)
        self._stop_worker()
        if self._may_claim(now, holder):
            self._claim(holder)
        return now + POLL_INTERVAL

    def release(self) -> None:
        """Stop the worker and release the role, so that another node need not wait."""
        if self.node.view is None:
            return
        holder = self.node.view.roles.get(self.name)
        if holder is None or not self._is_own(holder):
            return
        self._stop_worker()
        self._write("", "", holder.epoch, self._find_version())

    def is_effective(self, now: float) -> bool:
        """Return whether this node may perform the role."""
        return self.worker is not None and self.node.can_act(now)

    def _is_own(self, holder: core_view.RoleHolder) -> bool:
        node = self.node
        return holder.vm == node.vm and holder.incarnation == node.incarnation

    def _stop_worker(self) -> None:
        self.worker = None
        self.epoch = 0
        self._fence = None

    def _act(self, now: float, holder: core_view.RoleHolder) -> float:
        if self.node.leaving:
            return now + POLL_INTERVAL
        if self.epoch != holder.epoch:
            self._stop_worker()
            self.epoch = holder.epoch
            self._fence = fence.Fence(self._find_version())
        if self.worker is None and not self._start_worker(now):
            return now + 0.02
        if not self.node.can_act(now):
            return now + POLL_INTERVAL
        deadline = self.node.lease.write_deadline
        fleet_invariants.role_acts_within_lease(now, deadline, holder.epoch, self.epoch)
        return self.worker.poll(now)

    def _start_worker(self, now: float) -> bool:
        acknowledged = self.relay_server.collect_acknowledged(now)
        passed = self._fence.is_passed(now, self.node.record, acknowledged)
        if REGISTRY[self.name].fenced and not passed:
            return False
        if not self.node.can_act(now):
            return False
        self.worker = REGISTRY[self.name](self.node, self.relay_server, self.epoch, now)
        self.node.emit(
            agent_actions.Record("role_effective", role=self.name, epoch=self.epoch)
        )
        return True

    def _may_claim(self, now: float, holder: core_view.RoleHolder | None) -> bool:
        node = self.node
        if self._busy or now < self._retry_at or not node.can_act(now) or node.leaving:
            return False
        if not self.relay_server.relay_client.is_relay():
            self._observing_since = None
            return False
        if self._observing_since is None:
            self._observing_since = now
        if holder is not None and holder.vm:
            if now - self._observing_since < TAKEOVER_GRACE:
                return False
            if self._is_healthy(now, holder):
                return False
        candidates = self.relay_server.list_live_relays(now, PLATFORM_AGE_LIMIT)
        order = membership.order_vms(self.name, candidates)
        return bool(order) and order[0] == node.vm

    def _is_healthy(self, now: float, holder: core_view.RoleHolder) -> bool:
        """Return whether a holder is live and is not known to lack the platform."""
        if not self.node.record.is_member(holder.vm, holder.incarnation):
            return False
        if self.node.record.members[holder.vm].leaving:
            return False
        if holder.vm not in self.relay_server.collect_acknowledged(now):
            return False
        age = self.relay_server.find_platform_age(now, holder.vm)
        return age is None or age <= PLATFORM_AGE_LIMIT

    def _claim(self, holder: core_view.RoleHolder | None) -> None:
        node = self.node
        epoch = holder.epoch + 1 if holder else 1
        node.emit(agent_actions.Record("role_wanted", role=self.name, epoch=epoch))
        self._write(node.vm, node.incarnation, epoch, self._find_version())

    def _write(self, vm: str, incarnation: str, epoch: int, version: int) -> None:
        change_id = self.node.make_change_id()
        holder = core_view.RoleHolder(self.name, vm, incarnation, epoch, change_id)
        self._busy = True
        value = views.dump_role(holder)
        self.node.write("role", self.name, value, version, self._finish)

    def _finish(self, now: float, event: agent_events.AgentEvent) -> None:
        """Wait for the view to show the holder, regardless of the answer."""
        self._busy = False
        self._retry_at = now + RETRY_DELAY

    def _find_version(self) -> int:
        stored = self.node.snapshot.find("role", self.name)
        return 0 if stored is None else stored.version
