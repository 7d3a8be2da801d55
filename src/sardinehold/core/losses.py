"""Handling of requests whose connection or endpoint was lost."""

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import durability
from sardinehold.core import events
from sardinehold.core import handlers
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import probing
from sardinehold.core import request as requests
from sardinehold.core import routing
from sardinehold.core import transaction

MAX_FAILED = 4
"""Number of failed sends after which a request is refused."""

_CHECK_REMEDY = "Check whether the statement took effect before repeating it."


def may_retry(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether a request that was sent may be sent again."""
    return (
        request.is_retryable
        and not request.has_started
        and not request.in_transaction
        and not request.session.is_closed
        and not request.session.is_pinned
        and node.now < request.deadline
        and request.session.balance.spend_retry()
    )


def retry_or_end(node: nodes.Node, request: requests.Request) -> None:
    """Retry or end a sent request whose connection was lost."""
    request.connection = None
    session = request.session
    if request.in_transaction or session.is_pinned:
        _end_pinned(node, request)
        return
    if may_retry(node, request):
        node.count("retries")
        request.advance("queue")
        routing.route(node, request)
        return
    error: errors.RequestError
    if request.is_read:
        error = errors.EndpointUnavailable(
            "The connection to the endpoint was lost.",
            "Repeat the statement.",
            errors.Outcome.UNKNOWN,
        )
    else:
        error = errors.OutcomeUnknown(
            "The connection to the endpoint was lost before the answer.", _CHECK_REMEDY
        )
    durability.end_unknown(node, request, error)


def _end_pinned(node: nodes.Node, request: requests.Request) -> None:
    """End a session that had a transaction or state on a lost connection."""
    session = request.session
    session.connection = None
    if session.is_closed:
        node.count("writes_unknown_without_caller")
        requests.drop(node, request)
        return
    transaction.abort(node, session, "The connection to the endpoint was lost.")


def drop_connection(node: nodes.Node, connection: pool.Connection) -> None:
    """Remove a lost connection; retry or end the request on it."""
    request = connection.request
    session = connection.session
    pool.remove_connection(node, connection)
    if request is not None:
        retry_or_end(node, request)
    elif session is not None and not session.is_closed:
        session.connection = None
        transaction.abort(node, session, "The connection to the endpoint was lost.")


def close_connection(node: nodes.Node, connection: pool.Connection) -> None:
    """Close a connection; retry or end the request on it."""
    node.actions.append(actions.CloseConnection(connection.connection_id))
    drop_connection(node, connection)


@handlers.handles(events.ConnectionLost)
def handle_connection_lost(node: nodes.Node, event: events.ConnectionLost) -> None:
    """Remove a lost connection and probe its endpoint."""
    connection = node.connections.get(event.connection_id)
    if connection is None:
        return
    endpoint = connection.endpoint
    node.count("connections_lost")
    drop_connection(node, connection)
    if endpoint.is_healthy:
        probing.send(node, endpoint, fresh=True)
    pool.ensure_open(node, endpoint)


@handlers.handles(events.DispatchFailed)
def handle_dispatch_failed(node: nodes.Node, event: events.DispatchFailed) -> None:
    """Route a request again, since no byte of it was written."""
    connection = node.connections.get(event.connection_id)
    request = node.requests.get(event.request_id)
    if connection is None or connection.request is not request or request is None:
        return
    request.sends -= 1
    request.connection = None
    pool.close(node, connection)
    node.count("dispatches_failed")
    session = request.session
    if request.in_transaction or session.is_pinned:
        session.connection = None
        transaction.abort(node, session, "The connection to the endpoint was lost.")
        return
    if session.is_closed:
        requests.drop(node, request)
        return
    request.failed += 1
    request.advance("queue")
    if request.failed < MAX_FAILED:
        routing.route(node, request)
        return
    error = errors.EndpointUnavailable(
        "The statement could not be sent; the session's settings may be refused.",
        "RESET ALL, then repeat the statement.",
    )
    requests.refuse(node, request, error)


def retry_unresponsive_read(node: nodes.Node, connection: pool.Connection) -> None:
    """Retry a read whose connection is unresponsive while its endpoint is healthy.

    A write waits for its answer until its deadline.
    """
    request = connection.request
    if not request.is_read or request.sends > 1:
        return
    if not may_retry(node, request):
        return
    endpoint = connection.endpoint
    node.count("connections_silent")
    sent_at = request.sent_at
    node.actions.append(actions.CancelStatement(connection.connection_id))
    pool.close(node, connection)
    pool.close_unresponsive(node, endpoint, sent_at)
    request.connection = None
    node.count("retries")
    request.advance("queue")
    routing.route(node, request)


def move_reads(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Move reads away from an unresponsive endpoint, and close idle connections.

    A read whose answer has started cannot be sent again; it continues.
    """
    for connection in list(endpoint.idle):
        pool.close(node, connection)
    for connection in list(endpoint.connections.values()):
        request = connection.request
        if request is None or not request.is_read or request.in_transaction:
            continue
        if not request.has_started:
            close_connection(node, connection)
    if endpoint is not endpoint.group.primary:
        routing.reroute(node, endpoint.group)
