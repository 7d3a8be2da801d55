"""The control plane of a proxy process: executes the actions of its agent."""

import asyncio
import secrets
import typing

import anyio
import anyio.abc

from sardinehold import endpoints
from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold import peers
from sardinehold import platform_client
from sardinehold import settings
from sardinehold import timeline
from sardinehold.core import actions
from sardinehold.core import agent
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import events
from sardinehold.core import messages
from sardinehold.core import snapshot
from sardinehold.core import view as core_view

INCARNATION_BYTES = 4
TOKEN_KEY_BYTES = 32

STATUS_INTERVAL = 2.0
"""Seconds between updates of the status that this node publishes."""

Deliver = typing.Callable[[events.Event], None]
Handler = typing.Callable[["Control", typing.Any], None]

_HANDLERS: dict[type[agent_actions.AgentAction], Handler] = {}

_FAILURES: dict[type[errors.PlatformError], agent_events.Failure] = {
    errors.PlatformUnavailable: agent_events.Failure.UNAVAILABLE,
    errors.VersionConflict: agent_events.Failure.CONFLICT,
    errors.WatchExpired: agent_events.Failure.EXPIRED,
    errors.ObjectMissing: agent_events.Failure.MISSING,
}


def handles(
    kind: type[agent_actions.AgentAction],
) -> typing.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of actions of ``kind``."""

    def register(handler: Handler) -> Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class Control:
    """Connects the engine of one node to the fleet: platform, peers and agent.

    :param platform: client of the platform's object API, by default over HTTP.
    :param seeds: addresses of other nodes from which the view is read while the
        platform is unreachable.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        settings: settings.ProxySettings,
        recorder: timeline.Recorder,
        metrics: metrics.Registry,
        platform: objects.ObjectClient | None = None,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Create the peer service; no I/O happens before :meth:`run`."""
        self.settings = settings
        self.recorder = recorder
        self.metrics = metrics
        self.platform = platform
        self.seeds = seeds
        self.peers = peers.Peers(
            settings.peer_tls, recorder, metrics, self._receive_message
        )
        self.agent: agent.Agent | None = None
        self._deliver: Deliver | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False
        self.left_fleet = anyio.Event()

    @property
    def view(self) -> core_view.View | None:
        """Newest view of the fleet that this node has, None before the first."""
        return self.agent.node.view if self.agent else None

    async def run(self, deliver: Deliver) -> None:
        """Run until cancelled, or until a planned stop is complete.

        :param deliver: function that passes an event to the engine.
        """
        self._deliver = deliver
        if self.platform is None:
            self.platform = platform_client.HttpObjectClient(
                self.settings.platform_url,
                self.settings.vm,
                self.settings.platform_tls,
            )
        address = await self.peers.start(self.settings.peer_listen)
        self.agent = agent.Agent(
            self.settings.vm,
            self.settings.zone,
            address,
            secrets.token_hex(INCARNATION_BYTES),
            self.seeds,
            secrets.token_hex(TOKEN_KEY_BYTES),
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._update_status)
                self._handle_event(agent_events.Tick())
        finally:
            self._tasks = None
            self._cancel_timer()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await self.peers.close()

    def handle(self, action: actions.Action) -> None:
        """Execute an action of the engine that concerns the fleet."""
        self._handle_event(agent_events.ActionRequested(action))

    def begin_stop(self) -> None:
        """Announce to the fleet that this node is stopping.

        The node leaves once the engine emits ``DrainFinished``; :meth:`run`
        then returns.
        """
        self._handle_event(agent_events.StopRequested())

    async def wait_stopped(self) -> None:
        """Wait until the node has left the fleet after a planned stop."""
        await self.left_fleet.wait()

    def _receive_message(self, message: messages.Message) -> None:
        self._handle_event(agent_events.MessageArrived(message))

    def _handle_event(self, event: agent_events.AgentEvent) -> None:
        if self.agent is None or self._tasks is None or self._stopped:
            return
        for action in self.agent.handle(anyio.current_time(), event):
            _HANDLERS[type(action)](self, action)

    def _tick(self) -> None:
        self._timer = None
        self._handle_event(agent_events.Tick())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_call(self, call: agent_actions.Call, answer: typing.Awaitable) -> None:
        self._tasks.start_soon(self._finish_call, call, answer)

    async def _finish_call(
        self,
        call: agent_actions.Call,
        answer: typing.Awaitable[agent_events.AgentEvent],
    ) -> None:
        try:
            event = await answer
        except errors.PlatformError as error:
            self.metrics.count(f"platform_errors_{error.code}")
            failure = _FAILURES.get(type(error), agent_events.Failure.REFUSED)
            event = agent_events.PlatformFailed(call.call_id, failure)
        except errors.RequestError:
            self.metrics.count("endpoint_calls_failed")
            event = agent_events.EndpointFailed(call.call_id)
        self._handle_event(event)

    async def _read(
        self, call_id: int, answer: typing.Awaitable[objects.Changes]
    ) -> agent_events.AgentEvent:
        return agent_events.ChangesRead(call_id, await answer)

    async def _read_version(
        self, call: agent_actions.ReadObject
    ) -> agent_events.AgentEvent:
        stored = await self.platform.get(call.kind, call.name)
        return agent_events.ObjectWritten(call.call_id, stored.version)

    async def _write(self, call: agent_actions.WriteObject) -> agent_events.AgentEvent:
        if call.value is None:
            await self.platform.delete(call.kind, call.name, call.version)
            return agent_events.ObjectWritten(call.call_id, 0)
        if call.version:
            stored = await self.platform.update(
                call.kind, call.name, call.value, call.version
            )
        else:
            stored = await self.platform.create(call.kind, call.name, call.value)
        return agent_events.ObjectWritten(call.call_id, stored.version)

    async def _query(
        self, call: agent_actions.QueryEndpoint
    ) -> agent_events.AgentEvent:
        group = self.view.document.groups[call.group]
        found = [item for item in group.endpoints if item.name == call.endpoint]
        if not found:
            return agent_events.EndpointFailed(call.call_id)
        rows = await endpoints.query(
            found[0].host,
            found[0].port,
            group.database,
            group.user,
            call.sql,
            call.deadline,
        )
        return agent_events.EndpointAnswered(call.call_id, rows)

    async def _update_status(self) -> None:
        while not self._stopped:
            self.agent.status.body = {
                "counters": dict(self.metrics.counters),
                "histograms": self.metrics.encode_histograms(),
            }
            await anyio.sleep(STATUS_INTERVAL)


@handles(agent_actions.Deliver)
def deliver_event(control: Control, action: agent_actions.Deliver) -> None:
    """Deliver an event to the engine."""
    control._deliver(action.event)


@handles(agent_actions.Send)
def send_message(control: Control, action: agent_actions.Send) -> None:
    """Send a message to another node."""
    control.peers.send(action.address, action.message)


@handles(agent_actions.ListObjects)
def list_objects(control: Control, action: agent_actions.ListObjects) -> None:
    """Read all objects that make up the view."""
    answer = control.platform.list(snapshot.KINDS)
    control._start_call(action, control._read(action.call_id, answer))


@handles(agent_actions.WatchObjects)
def watch_objects(control: Control, action: agent_actions.WatchObjects) -> None:
    """Watch the objects of the view for changes."""
    answer = control.platform.watch(snapshot.KINDS, action.since, action.wait)
    control._start_call(action, control._read(action.call_id, answer))


@handles(agent_actions.ListVms)
def list_vms(control: Control, action: agent_actions.ListVms) -> None:
    """Read the platform's list of VMs."""
    answer = control.platform.list_vms()
    control._start_call(action, control._read(action.call_id, answer))


@handles(agent_actions.ListGroups)
def list_groups(control: Control, action: agent_actions.ListGroups) -> None:
    """Read the platform's list of groups."""
    answer = control.platform.list_groups()
    control._start_call(action, control._read(action.call_id, answer))


@handles(agent_actions.ReadObject)
def read_object(control: Control, action: agent_actions.ReadObject) -> None:
    """Read the version of one object."""
    control._start_call(action, control._read_version(action))


@handles(agent_actions.WriteObject)
def write_object(control: Control, action: agent_actions.WriteObject) -> None:
    """Create, replace or delete an object by compare-and-swap."""
    control._start_call(action, control._write(action))


@handles(agent_actions.QueryEndpoint)
def query_endpoint(control: Control, action: agent_actions.QueryEndpoint) -> None:
    """Run a statement on an endpoint."""
    control._start_call(action, control._query(action))


@handles(agent_actions.Record)
def record_event(control: Control, action: agent_actions.Record) -> None:
    """Write an event to the timeline and count it."""
    control.metrics.count(f"fleet_{action.kind}")
    if "gap" in action.fields:
        control.metrics.observe("failover_gap", action.fields["gap"])
    control.recorder.record(action.kind, **action.fields)


@handles(agent_actions.Count)
def count_event(control: Control, action: agent_actions.Count) -> None:
    """Increment a counter."""
    control.metrics.count(f"fleet_{action.name}")


@handles(agent_actions.WakeAt)
def wake_at(control: Control, action: agent_actions.WakeAt) -> None:
    """Reset the timer."""
    control._cancel_timer()
    loop = asyncio.get_running_loop()
    control._timer = loop.call_at(action.time, control._tick)


@handles(agent_actions.Stopped)
def stop(control: Control, action: agent_actions.Stopped) -> None:
    """End :meth:`Control.run` after the node has left the fleet."""
    control._stopped = True
    control.left_fleet.set()
    control._tasks.cancel_scope.cancel()
