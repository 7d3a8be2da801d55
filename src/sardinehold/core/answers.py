"""Handling of answers and connection events from endpoints."""

from sardinehold.core import dispatch
from sardinehold.core import durability
from sardinehold.core import events
from sardinehold.core import floors
from sardinehold.core import groups
from sardinehold.core import handlers
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import probing
from sardinehold.core import request as requests
from sardinehold.core import statements
from sardinehold.core import transaction
from sardinehold.core import variables

LATENCY_SMOOTHING = 0.1
"""Weight of the newest sample in the moving average of an endpoint's latency."""


@handlers.handles(events.RequestAnswered)
def handle_answer(node: nodes.Node, event: events.RequestAnswered) -> None:
    """Release the connection, then answer the caller or hold the answer."""
    request = node.requests.get(event.request_id)
    connection = node.connections.get(event.connection_id)
    if (
        request is None
        or connection is None
        or connection.request is not request
        or request.connection is not connection
    ):
        node.count("answers_late")
        return
    endpoint = connection.endpoint
    _measure(node, request, endpoint)
    connection.request = None
    connection.answered_at = node.now
    endpoint.in_flight -= 1
    request.connection = None
    request.position = event.position
    if event.position is not None:
        groups.record_write(
            request.group, endpoint, event.position, event.confirmed, request.sent_at
        )
    session = request.session
    if request.traits.pins and not event.sqlstate:
        session.is_pinned = True
    was_open = request.in_transaction
    if event.status == "I" and session.connection is None and not session.is_pinned:
        kind = request.traits.kind
        if kind is not statements.Kind.READ and kind in variables.TRACKED:
            variables.track_settings(node, request, connection, event)
        pool.release(node, connection)
    else:
        variables.track_settings(node, request, connection, event)
        transaction.record_status(node, session, connection, event.status)
    if session.is_closed and request.is_read:
        requests.drop(node, request)
    else:
        _finish_or_hold(node, request, event, was_open)
    if endpoint.queue.size:
        dispatch.send_queued(node, endpoint)


def _measure(
    node: nodes.Node, request: requests.Request, endpoint: pool.Endpoint
) -> None:
    """Record a statement's duration in the cost, latency and concurrency limit."""
    seconds = node.now - request.sent_at
    flow = endpoint.queue.flows.get(request.owner)
    if flow is None:
        flow = endpoint.queue.find_flow(request.owner, request.session.weight)
    cost = flow.read_cost if request.is_read else flow.write_cost
    endpoint.limit.record(seconds, cost.record(seconds), endpoint.in_flight, node.now)
    endpoint.latency += LATENCY_SMOOTHING * (seconds - endpoint.latency)


def _finish_or_hold(
    node: nodes.Node,
    request: requests.Request,
    event: events.RequestAnswered,
    was_open: bool,
) -> None:
    """Acknowledge a request now, or hold it until its write is durable."""
    session = request.session
    if not request.is_read and _may_have_committed(request, event.status):
        if not event.sqlstate:
            durability.hold(node, request)
            return
        if event.position is not None:
            _raise_floor(request, event)
            requests.finish(node, request, _make_token(node, request))
            return
    if request.max_age is None or was_open:
        is_new = floors.record_read(session.floor, request.endpoint.name, node.now)
        if is_new:
            requests.finish(node, request, _make_token(node, request))
            return
    requests.finish(node, request)


def _may_have_committed(request: requests.Request, status: str) -> bool:
    """Return whether the request may have committed a change.

    :param status: status behind it; with a transaction open, only what precedes
        that transaction is committed.
    """
    if status != "I":
        return request.traits.commits
    kind = request.traits.kind
    return kind is statements.Kind.WRITE or kind is statements.Kind.COMMIT


def _raise_floor(request: requests.Request, event: events.RequestAnswered) -> None:
    """Raise the floor to the position of a failed request, if of this term."""
    state = request.group.state
    if state is not None and event.position.term == state.term:
        floors.record_write(request.session.floor, event.position)


def _make_token(node: nodes.Node, request: requests.Request) -> str:
    session = request.session
    return floors.make_token(node, session.floors, session.owner)


@handlers.handles(events.AnswerStarted)
def handle_answer_started(node: nodes.Node, event: events.AnswerStarted) -> None:
    """Mark a request as no longer retryable."""
    request = node.requests.get(event.request_id)
    if request is not None:
        request.has_started = True


@handlers.handles(events.ConnectionOpened)
def handle_connection_opened(node: nodes.Node, event: events.ConnectionOpened) -> None:
    """Add a new connection to the pool and send queued requests."""
    connection = node.connections.get(event.connection_id)
    if connection is None or connection.is_open:
        return
    endpoint = connection.endpoint
    connection.is_open = True
    connection.answered_at = node.now
    endpoint.opening -= 1
    endpoint.failures = 0
    pool.schedule_trim(node, endpoint)
    pool.release(node, connection)
    dispatch.send_queued(node, endpoint)


@handlers.handles(events.ConnectionFailed)
def handle_connection_failed(node: nodes.Node, event: events.ConnectionFailed) -> None:
    """Back off before opening again; probe the endpoint unless it was full."""
    connection = node.connections.get(event.connection_id)
    if connection is None or connection.is_open:
        return
    endpoint = connection.endpoint
    pool.remove_connection(node, connection)
    node.count("connections_refused" if event.full else "connections_failed")
    pool.delay_opening(node, endpoint)
    if not event.full and endpoint.is_healthy:
        probing.send(node, endpoint, fresh=True)
