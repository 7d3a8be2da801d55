"""Expiry and cancellation of requests."""

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


def end(node: nodes.Node, request: requests.Request) -> None:
    """End a request at its deadline, according to its state."""
    if request.is_waiting():
        requests.refuse(node, request, routing.explain_expiry(request))
    elif request.state == "held":
        durability.expire(node, request)
    else:
        _end_sent(node, request)


def _end_sent(node: nodes.Node, request: requests.Request) -> None:
    """Cancel a running statement and close its connection, which has no reader."""
    connection = request.connection
    endpoint = connection.endpoint
    node.count("deadlines_exceeded")
    node.actions.append(actions.CancelStatement(connection.connection_id))
    pool.close(node, connection)
    if endpoint.is_healthy:
        probing.send(node, endpoint, fresh=True)
    session = request.session
    error: errors.RequestError
    if request.is_read:
        error = errors.DeadlineExceeded(
            "The statement was not answered before its deadline.",
            "Optimize it or raise the route's statement_timeout.",
            errors.Outcome.UNKNOWN,
        )
    else:
        error = errors.OutcomeUnknown(
            "The statement was not answered before its deadline.",
            "Check whether it took effect before repeating it.",
        )
    was_held = request.in_transaction or session.is_pinned
    if session.is_closed:
        durability.end_unknown(node, request, error)
        return
    requests.refuse(node, request, error, fatal=was_held)
    if was_held:
        session.connection = None
        transaction.end_session(node, session, error=None)
    pool.ensure_open(node, endpoint)


@handlers.handles(events.RequestCancelled)
def cancel(node: nodes.Node, event: events.RequestCancelled) -> None:
    """Cancel a request at its caller's demand.

    The connection is closed when it becomes free, since the CancelRequest may
    reach the endpoint after the statement that it was meant for.
    """
    request = node.requests.get(event.request_id)
    if request is None:
        return
    if request.is_waiting():
        error = errors.DeadlineExceeded(
            "The statement was canceled by its caller.", "No action is needed."
        )
        requests.refuse(node, request, error)
    elif request.state == "sent":
        request.connection.is_tainted = True
        connection_id = request.connection.connection_id
        node.actions.append(actions.CancelStatement(connection_id))
