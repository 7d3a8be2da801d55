"""Fleet logic of one node: view, lease, relaying, shared roles and grants.

``Agent.handle(now, event)`` handles the events of :mod:`agent_events` and
returns actions of :mod:`agent_actions`, which must be performed in order.
"""

import typing

from sardinehold.core import actions
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import allocation
from sardinehold.core import cross_check
from sardinehold.core import fleet_node
from sardinehold.core import messages
from sardinehold.core import platform_watch
from sardinehold.core import registration
from sardinehold.core import relay_client
from sardinehold.core import relay_server
from sardinehold.core import roles
from sardinehold.core import status
from sardinehold.core import supervisor

MIN_WAKE_INTERVAL = 0.002
"""Minimum seconds between two wake-ups."""

LEAVE_TIMEOUT = 1.0
"""Seconds that a stopping node waits for its membership entry to be removed."""

ROLES = (allocation.ROLE, supervisor.ROLE)
"""All shared roles; each may get more shards as the fleet grows."""

Handler = typing.Callable[["Agent", float, typing.Any], None]

HANDLERS: dict[type, Handler] = {}
"""Handlers by type of event, message or engine action."""


def handles(kind: type) -> typing.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of ``kind``."""

    def register(handler: Handler) -> Handler:
        HANDLERS[kind] = handler
        return handler

    return register


class Agent:
    """Coordinates one node with the rest of the fleet.

    :param vm: name of this VM.
    :param address: ``host:port`` of its peer service.
    :param incarnation: unique identifier of this run of the process.
    :param seeds: peer addresses to contact when the platform is unreachable.
    :param fresh_secret: random hexadecimal key, used if the fleet has none.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "node",
        "platform_watch",
        "relay_client",
        "relay_server",
        "registration",
        "electors",
        "allocator_client",
        "status",
        "cross_checker",
        "_has_answer",
        "_had_lease",
        "_leave_deadline",
        "_stopped",
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
        """Initialize the agent without a view."""
        self.node = fleet_node.Node(vm, zone, address, incarnation, seeds, fresh_secret)
        self.platform_watch = platform_watch.PlatformWatch(self.node)
        self.relay_client = relay_client.RelayClient(self.node)
        self.relay_server = relay_server.RelayServer(self.node, self.relay_client)
        self.registration = registration.Registration(self.node)
        self.electors = {
            name: roles.Elector(self.node, self.relay_server, name) for name in ROLES
        }
        self.allocator_client = allocation.AllocatorClient(self.node)
        self.status = status.StatusReporter(self.node, self.relay_server)
        self.cross_checker = cross_check.CrossChecker(
            self.node, self.relay_server, self.relay_client
        )
        self._has_answer = False
        self._had_lease = False
        self._leave_deadline: float | None = None
        self._stopped = False

    def handle(
        self, now: float, event: agent_events.AgentEvent
    ) -> list[agent_actions.AgentAction]:
        """Handle an event and return the actions to perform, in order."""
        HANDLERS[type(event)](self, now, event)
        due = self._poll(now)
        while self.node.inbox:
            message = self.node.inbox.pop(0)
            HANDLERS[type(message)](self, now, message)
            due = self._poll(now)
        self.node.emit(agent_actions.WakeAt(max(due, now + MIN_WAKE_INTERVAL)))
        done = self.node.actions
        self.node.actions = []
        return done

    def _record_lease(self, now: float) -> None:
        """Record when the node gains or loses its lease for acknowledging writes."""
        lease = self.node.lease
        has_lease = lease.as_of is not None and now <= lease.write_deadline
        if has_lease == self._had_lease:
            return
        self._had_lease = has_lease
        kind = "lease_renewed" if has_lease else "lease_lapsed"
        self.node.emit(agent_actions.Record(kind, version=self.node.snapshot.version))

    def _poll(self, now: float) -> float:
        node = self.node
        self._record_lease(now)
        self.platform_watch.wanted = (
            self.relay_client.is_relay()
            or node.view is None
            or node.is_stale(now)
            or not (node.is_member or self.relay_client.parent)
        )
        due = [
            self.platform_watch.poll(now),
            self.relay_client.poll(now),
            self.relay_server.poll(now),
            self.registration.poll(now),
            self.allocator_client.poll(now),
            self.status.poll(now),
            self.cross_checker.poll(now),
            self._check_stop(now),
        ]
        urgent = self._has_answer or self.relay_server.consume_urgent()
        self._has_answer = False
        due.extend(elector.poll(now, urgent) for elector in self.electors.values())
        return min(due)

    def finish_call(self, now: float, event: typing.Any) -> None:
        """Pass an answer to the callback of its call."""
        self._has_answer = True
        self.node.finish_call(now, event.call_id, event)

    def _check_stop(self, now: float) -> float:
        if self._leave_deadline is None or self._stopped:
            return now + LEAVE_TIMEOUT
        if self.registration.is_absent() or now >= self._leave_deadline:
            self._stopped = True
            self.node.emit(agent_actions.Stopped())
        return self._leave_deadline

    def stop(self) -> None:
        """Announce that the node is leaving and release its roles."""
        self.node.leaving = True
        self.node.emit(agent_actions.Record("node_leaving"))
        for elector in self.electors.values():
            elector.release()

    def leave(self, now: float) -> None:
        """Release the lease and leave the fleet."""
        self.node.left = True
        self._leave_deadline = now + LEAVE_TIMEOUT


@handles(agent_events.ChangesRead)
@handles(agent_events.ObjectWritten)
@handles(agent_events.PlatformFailed)
@handles(agent_events.EndpointAnswered)
@handles(agent_events.EndpointFailed)
def finish_call(agent: Agent, now: float, event: typing.Any) -> None:
    """Pass an answer to the callback of its call."""
    agent.finish_call(now, event)


@handles(agent_events.MessageArrived)
def handle_message(
    agent: Agent, now: float, event: agent_events.MessageArrived
) -> None:
    """Dispatch a message of another agent."""
    HANDLERS[type(event.message)](agent, now, event.message)


@handles(agent_events.ActionRequested)
def handle_action(
    agent: Agent, now: float, event: agent_events.ActionRequested
) -> None:
    """Dispatch an action requested by this node's engine."""
    HANDLERS[type(event.action)](agent, now, event.action)


@handles(agent_events.StopRequested)
def stop(agent: Agent, now: float, event: agent_events.StopRequested) -> None:
    """Start a graceful shutdown."""
    agent.stop()


@handles(agent_events.Tick)
def tick(agent: Agent, now: float, event: agent_events.Tick) -> None:
    """Do nothing here: all components are polled after every event."""


@handles(messages.Renew)
def handle_renew(agent: Agent, now: float, message: messages.Renew) -> None:
    """Answer a follower's renewal."""
    agent.relay_server.handle_renew(now, message)


@handles(messages.Current)
def handle_current(agent: Agent, now: float, message: messages.Current) -> None:
    """Apply a relay's answer or push."""
    agent.relay_client.handle_current(now, message)


@handles(messages.Summary)
def handle_summary(agent: Agent, now: float, message: messages.Summary) -> None:
    """Handle another relay's summary of its zone."""
    agent.relay_server.handle_summary(now, message)


@handles(messages.Demand)
def handle_demand(agent: Agent, now: float, message: messages.Demand) -> None:
    """Answer a demand if this node is the allocator."""
    elector = agent.electors[allocation.ROLE]
    if elector.is_effective(now):
        elector.worker.handle_demand(now, message)


@handles(messages.Grants)
def handle_grants(agent: Agent, now: float, message: messages.Grants) -> None:
    """Handle the allocator's grants."""
    agent.allocator_client.handle_grants(now, message)


@handles(messages.NodeStatus)
def handle_status(agent: Agent, now: float, message: messages.NodeStatus) -> None:
    """Store a follower's status."""
    agent.status.store_status(now, message)


@handles(actions.RequestTokens)
def request_tokens(agent: Agent, now: float, action: actions.RequestTokens) -> None:
    """Request tokens from the allocator."""
    agent.allocator_client.request_tokens(now, action)


@handles(actions.ReturnTokens)
def return_tokens(agent: Agent, now: float, action: actions.ReturnTokens) -> None:
    """Return unspent tokens to the allocator."""
    agent.allocator_client.return_tokens(now, action)


@handles(actions.RequestConnections)
def request_connections(
    agent: Agent, now: float, action: actions.RequestConnections
) -> None:
    """Request connections from the allocator."""
    agent.allocator_client.request_connections(now, action)


@handles(actions.ReportEndpoint)
def report_endpoint(agent: Agent, now: float, action: actions.ReportEndpoint) -> None:
    """Store this node's report of an endpoint and publish it if it changed."""
    held = agent.node.reports.pop(action.endpoint, None)
    if action.healthy and not action.isolated:
        if held is not None:
            agent.relay_client.schedule_renew()
            agent.relay_server.schedule_summary(now)
        return
    report = messages.EndpointReport(
        action.endpoint, not action.healthy, action.isolated
    )
    agent.node.reports[action.endpoint] = report
    if held is None or _is_changed(held, report):
        agent.relay_client.schedule_renew()
        agent.relay_server.schedule_summary(now)


@handles(actions.GroupQuiesced)
def quiesce_group(agent: Agent, now: float, action: actions.GroupQuiesced) -> None:
    """Publish that no work of a draining group runs on this node."""
    agent.node.quiesced.add(action.group)
    agent.relay_client.schedule_renew()
    agent.relay_server.schedule_summary(now)


@handles(actions.DrainFinished)
def finish_drain(agent: Agent, now: float, action: actions.DrainFinished) -> None:
    """Leave the fleet once no work runs on this node."""
    agent.leave(now)


def _is_changed(held: messages.EndpointReport, report: messages.EndpointReport) -> bool:
    return (held.unhealthy, held.isolated) != (report.unhealthy, report.isolated)
