"""The data path: executes the engine's actions and delivers events to it.

Everything runs in callbacks of one event loop. Events that occur while the
engine's actions are executed are queued until all of these are done.
"""

import asyncio
import collections
import secrets
import ssl
import time
import typing

import logbook

from sardinehold import action_handlers
from sardinehold import answers
from sardinehold import callers
from sardinehold import connection_actions
from sardinehold import control_actions
from sardinehold import endpoints
from sardinehold import errors
from sardinehold import metrics
from sardinehold import pending_callers
from sardinehold import probes
from sardinehold import request_actions
from sardinehold import requests
from sardinehold import session_actions
from sardinehold import timeline
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import view as views

if typing.TYPE_CHECKING:
    from sardinehold import startup_packets

DEFAULT_PARAMETERS = {
    "server_version": "15.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
    "session_authorization": "sardinehold",
    "in_hot_standby": "off",
    "default_transaction_read_only": "off",
}
"""Parameters reported to callers at start-up until an endpoint has reported its own."""

ACTIONS = (connection_actions, control_actions, request_actions, session_actions)
"""Modules with action handlers; importing them fills the registry."""

log = logbook.Logger("datapath")

_read_clock = time.monotonic
"""The clock of asyncio's loops."""

_SHARED_PARAMETERS = frozenset(("server_version", "server_encoding"))


class Engine(typing.Protocol):
    """Decision logic that turns events into actions."""

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        """Handle an event and return the actions to execute."""


class Control(typing.Protocol):
    """Executor of the engine's actions that concern the fleet."""

    def handle(self, action: actions.Action) -> None:
        """Execute an action."""


class DataPath:
    """Sessions, requests and endpoint connections of one process.

    :param spawn: function that starts a task in the program's task group.
    :param endpoint_tls: TLS context for endpoints, None for plain connections.

    .. versionadded:: 0.1
    """

    def __init__(
        self,
        engine: Engine,
        control: Control,
        spawn: typing.Callable[..., None],
        registry: metrics.Registry,
        recorder: timeline.Recorder | None = None,
        endpoint_tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a data path without sessions and connections."""
        self.engine = engine
        self.control = control
        self.spawn = spawn
        self.registry = registry
        self.recorder = recorder
        self.endpoint_tls = endpoint_tls
        self.loop = asyncio.get_running_loop()
        self.buffer = memoryview(bytearray(endpoints.RECEIVE_BYTES))
        self.parameters = dict(DEFAULT_PARAMETERS)
        self.view: views.View | None = None
        self.addresses: dict[str, endpoints.Address] = {}
        self.callers: dict[int, callers.Caller] = {}
        self.requests: dict[int, requests.Request] = {}
        self.connections: dict[int, endpoints.EndpointConnection | None] = {}
        self._transaction_owners: dict[int, requests.Owner] = {}
        self.pending_callers = pending_callers.PendingCallers(self.loop)
        self.prober = probes.Prober(self)
        self._last_session = 0
        self._last_request = 0
        self._queued_events: collections.deque[events.Event] = collections.deque()
        self._is_delivering = False
        self._timer: asyncio.TimerHandle | None = None
        self._wake_at = 0.0

    # Events and actions

    def deliver(self, event: events.Event) -> None:
        """Pass an event to the engine and execute the resulting actions."""
        if self._is_delivering:
            self._queued_events.append(event)
            return
        self._is_delivering = True
        try:
            self._handle(event)
            while self._queued_events:
                self._handle(self._queued_events.popleft())
        finally:
            self._is_delivering = False

    def _handle(self, event: events.Event) -> None:
        if type(event) is events.ViewChanged:
            self._apply_view(event.view)
        try:
            decided = self.engine.handle(_read_clock(), event)
        except errors.InvariantViolation as error:
            self._note_violation(event, error)
            return
        handlers = action_handlers.REGISTRY
        for action in decided:
            handlers[type(action)](self, action)

    def _note_violation(
        self, event: events.Event, error: errors.InvariantViolation
    ) -> None:
        """Report a violated invariant and end the session of the request."""
        self.registry.count("invariant_violations")
        log.error("{}", error.format_message())
        if self.recorder is not None:
            self.recorder.record(
                "invariant_violated", event=type(event).__name__, reason=error.message
            )
        request = self.pop_request(getattr(event, "request_id", 0))
        if request is not None:
            refusal = errors.OutcomeUnknown(error.message, error.remedy)
            request.owner.fail(request, refusal, True)

    def _apply_view(self, view: views.View) -> None:
        self.view = view
        self.addresses = {
            endpoint.name: endpoints.Address(
                endpoint.host, endpoint.port, group.database, group.user
            )
            for group in view.document.groups.values()
            for endpoint in group.endpoints
        }
        self.prober.close_except(self.addresses)

    def wake_at(self, moment: float) -> None:
        """Schedule a tick at ``moment``, unless an earlier one is scheduled.

        :param moment: reading of the loop's clock.
        """
        if self._timer is not None:
            if self._wake_at <= moment:
                return
            self._timer.cancel()
        self._wake_at = moment
        self._timer = self.loop.call_at(moment, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.deliver(events.Tick())

    # Callers

    def allocate_session_id(self, caller: callers.Caller) -> int:
        """Return an identifier for a new session."""
        self._last_session += 1
        return self._last_session

    def admit(self, caller: callers.Caller) -> bool:
        """Register a caller's connection; return False at the limit of callers."""
        self.registry.count("callers_connected")
        if len(self.callers) >= pending_callers.MAX_CALLERS:
            self.registry.count("callers_without_room")
            return False
        self.callers[caller.session_id] = caller
        self.pending_callers.add(caller)
        return True

    def note_signed_in(self, caller: callers.Caller) -> None:
        """Note that a caller completed its start-up."""
        self.pending_callers.discard(caller)

    def is_open(self, route: str) -> bool:
        """Return whether a route accepts callers without a key."""
        if self.view is None:
            return False
        found = self.view.document.routes.get(route)
        return found is not None and found.open

    def remove_caller(self, caller: callers.Caller) -> None:
        """Remove a caller whose connection ended and notify the engine."""
        self.pending_callers.discard(caller)
        if self.callers.pop(caller.session_id, None) is not None:
            self.deliver(events.SessionClosed(caller.session_id))

    def start_request(
        self,
        caller: callers.Caller,
        content: typing.Any,
        hides_ready: bool = False,
        hidden: bool = False,
        is_open: bool = False,
    ) -> None:
        """Register a caller's request and pass it to the engine.

        :param content: the simple query or extended sequence.
        :param hides_ready: whether the caller must not see the ReadyForQuery.
        :param hidden: whether the caller must not see any of the answer.
        :param is_open: whether the sequence's Sync is yet to come.
        """
        self._last_request += 1
        request = requests.Request(
            self._last_request,
            self,
            caller,
            content,
            _read_clock(),
            hides_ready,
            hidden,
            is_open,
        )
        caller.request = request
        self.requests[request.request_id] = request
        self.deliver(
            events.RequestArrived(
                request.request_id,
                caller.session_id,
                content.traits,
                content.size,
                content.in_pipeline,
            )
        )

    def cancel(self, packet: "startup_packets.CancelRequest") -> None:
        """Cancel a session's running request; ignore sessions of other processes."""
        caller = self.callers.get(packet.process)
        if caller is None or caller.request is None or not caller.secret:
            return
        if secrets.compare_digest(
            str(caller.secret).encode(), str(packet.secret).encode()
        ):
            self.deliver(events.RequestCancelled(caller.request.request_id))

    def pause(self, caller: callers.Caller, paused: bool) -> None:
        """Pause or resume reading the answer to a caller's request."""
        request = caller.request
        connection = request.connection if request is not None else None
        if connection is None or connection.closed:
            return
        if paused:
            connection.transport.pause_reading()
        else:
            connection.transport.resume_reading()

    def note_started(self, request: requests.Request) -> None:
        """Report that the answer started: the request can no longer be retried."""
        self.deliver(events.AnswerStarted(request.request_id))

    def note_answered(self, request: requests.Request) -> None:
        """Report a complete answer, with the log position if it was requested."""
        answer = request.answer
        owner = request.owner
        owner.status = answer.status
        if answer.status != "I":
            self._transaction_owners[request.connection_id] = owner
        elif self._transaction_owners:
            self._transaction_owners.pop(request.connection_id, None)
        if owner.paused:
            request.connection.transport.resume_reading()
        event = events.RequestAnswered(
            request.request_id, request.connection_id, answer.status, answer.sqlstate
        )
        if request.status is not None:
            self._add_position(event, request.status)
        self.deliver(event)

    def _add_position(
        self, event: events.RequestAnswered, collector: answers.Collector
    ) -> None:
        status = answers.parse_status(collector.rows)
        if status is not None and collector.error is None:
            event.position = status.received
            event.confirmed = status.confirmed

    def pop_request(self, request_id: int) -> requests.Request | None:
        """Remove a request; return it, None if it is unknown."""
        request = self.requests.pop(request_id, None)
        if request is not None:
            request.finished = True
            elapsed = _read_clock() - request.arrived
            self.registry.observe("request", elapsed)
        return request

    def add_connection(
        self, identifier: int, connection: endpoints.EndpointConnection
    ) -> None:
        """Register an established connection; close it if it is no longer wanted."""
        if identifier not in self.connections:
            connection.close()
            return
        self.registry.count("connections_opened")
        self.connections[identifier] = connection
        connection.lost = lambda: self._remove_lost_connection(identifier)
        for name in _SHARED_PARAMETERS & connection.parameters.keys():
            self.parameters[name] = connection.parameters[name]
        self.deliver(events.ConnectionOpened(identifier))

    def _remove_lost_connection(self, connection_id: int) -> None:
        if self.connections.pop(connection_id, None) is None:
            return
        self.registry.count("connections_lost")
        self.end_transactions(connection_id)
        self.deliver(events.ConnectionLost(connection_id))

    def end_transactions(self, connection_id: int) -> None:
        """Note that an open transaction block ended with its connection."""
        owner = self._transaction_owners.pop(connection_id, None)
        if owner is not None:
            owner.status = "I"

    def is_pinned(self, connection_id: int, owner: requests.Owner) -> bool:
        """Return whether a session has a transaction open on a connection."""
        return self._transaction_owners.get(connection_id) is owner

    def count_transactions(self) -> int:
        """Return the number of open transaction blocks."""
        return len(self._transaction_owners)

    def close(self) -> None:
        """Close all connections, at the end of the program."""
        if self._timer is not None:
            self._timer.cancel()
        self.pending_callers.close()
        for caller in list(self.callers.values()):
            caller.fail_session(
                errors.ShuttingDown(
                    "The proxy is shutting down.", "Connect to another proxy."
                )
            )
        for connection in self.connections.values():
            if connection is not None:
                connection.close()
        self.prober.close()
