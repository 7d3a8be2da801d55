"""Sessions that hold a connection, for a transaction or because they are pinned.

A transaction has a connection of its own until it ends. A session that left
state on a connection is pinned to it, and the connection is closed with it.
"""

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import dispatch
from sardinehold.core import groups
from sardinehold.core import leases
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import session as sessions

_REPEAT_REMEDY = "Repeat the whole transaction."


def submit(node: nodes.Node, request: requests.Request) -> None:
    """Send a request on the connection that its session holds."""
    session = request.session
    connection = session.connection
    group = request.group
    if not leases.may_send(node, request):
        return
    if not request.in_transaction and not _may_begin(node, request):
        if group.primary is connection.endpoint and group.primary.is_healthy:
            request.advance("queue")
            group.waiting_writes.append(request)
            return
        error = errors.EndpointUnavailable(
            "The endpoint that holds this session's state accepts no new work.",
            "Reconnect and restore the session's state.",
        )
        requests.refuse(node, request, error, fatal=True)
        end_session(node, session, error=None)
        return
    dispatch.send(node, request, connection)


def _may_begin(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether new work may go to the connection that a session holds."""
    group = request.group
    if group.primary is not request.session.connection.endpoint:
        return False
    if request.is_read:
        return groups.serves_primary_reads(group)
    return groups.takes_writes(node, group)


def record_status(
    node: nodes.Node,
    session: sessions.Session,
    connection: pool.Connection,
    status: str,
) -> None:
    """Hold or release a connection according to the status after an answer."""
    session.status = status
    if session.is_closed:
        _release_closed(node, session, connection)
        return
    if status == "I" and not session.is_pinned:
        session.connection = None
        pool.release(node, connection)
        return
    session.connection = connection
    connection.session = session
    session.idle_since = node.now
    if status != "I" and not session.is_idle_check_scheduled:
        session.is_idle_check_scheduled = True
        limit = session.route.idle_in_transaction
        node.timers.set(node.now + limit, _check_idle, session)


def _release_closed(
    node: nodes.Node, session: sessions.Session, connection: pool.Connection
) -> None:
    """Release or close the connection of a session that was closed."""
    is_clean = session.status == "I" and not session.is_pinned
    session.connection = None
    if is_clean:
        pool.release(node, connection)
    else:
        pool.close(node, connection)


def _check_idle(node: nodes.Node, session: sessions.Session) -> None:
    """End a transaction that has been idle for longer than the route allows."""
    session.is_idle_check_scheduled = False
    if session.is_closed or session.status == "I":
        return
    limit = session.route.idle_in_transaction
    due = session.idle_since + limit
    if session.request is not None:
        due = node.now + limit
    if node.now < due:
        session.is_idle_check_scheduled = True
        node.timers.set(due, _check_idle, session)
        return
    node.count("transactions_timed_out")
    error = errors.TransactionTimeout(
        f"The transaction was idle for {limit:g} s and was rolled back.", _REPEAT_REMEDY
    )
    end_session(node, session, error)


def end_session(
    node: nodes.Node, session: sessions.Session, error: errors.RequestError | None
) -> None:
    """End a session and close the connection that it holds.

    :param error: sent to the caller, or None if it was sent already.
    """
    connection = session.connection
    if connection is not None:
        session.connection = None
        pool.close(node, connection)
    if error is not None and not session.is_closed:
        node.actions.append(actions.CloseSession(session.session_id, error))
    remove_session(node, session)


def remove_session(node: nodes.Node, session: sessions.Session) -> None:
    """Remove a session from the node."""
    session.is_closed = True
    node.sessions.pop(session.session_id, None)


def abort(node: nodes.Node, session: sessions.Session, reason: str) -> None:
    """End a session whose transaction or state was lost.

    The outcome is unknown if the pending request was sent; otherwise the
    transaction was rolled back.
    """
    request = session.request
    error: errors.RequestError
    if request is not None and request.sends:
        error = errors.OutcomeUnknown(
            f"{reason} The statement was sent and not answered.",
            "Check whether the transaction took effect before repeating it.",
        )
    else:
        error = errors.EndpointUnavailable(
            f"{reason} The transaction was rolled back.", _REPEAT_REMEDY
        )
    if request is not None:
        requests.refuse(node, request, error, fatal=True)
        end_session(node, session, error=None)
    else:
        end_session(node, session, error)


def abort_replaced(node: nodes.Node, group: groups.Group) -> None:
    """Abort the sessions that hold connections to endpoints other than the primary."""
    for endpoint in group.endpoints.values():
        if endpoint is group.primary:
            continue
        for connection in list(endpoint.connections.values()):
            session = connection.session
            if session is not None:
                abort(node, session, "The primary was replaced.")
