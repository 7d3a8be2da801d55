"""Closing of sessions, by the caller or because a key was withdrawn."""

from sardinehold import document
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import handlers
from sardinehold.core import node as nodes
from sardinehold.core import opening
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import session as sessions
from sardinehold.core import transaction


@handlers.handles(events.SessionClosed)
def close_session(node: nodes.Node, event: events.SessionClosed) -> None:
    """Drop the queued work of a closed session; let a sent write finish."""
    session = node.sessions.get(event.session_id)
    if session is None:
        return
    request = session.request
    transaction.remove_session(node, session)
    if request is None:
        connection, session.connection = session.connection, None
        if connection is not None:
            pool.close(node, connection)
    elif request.state == "sent" and request.is_read:
        _stop_read(node, request)
    elif request.state != "sent":
        _drop_waiting(node, session, request)


def _stop_read(node: nodes.Node, request: requests.Request) -> None:
    """Cancel a running read whose caller has disconnected."""
    connection = request.connection
    node.actions.append(actions.CancelStatement(connection.connection_id))
    pool.close(node, connection)
    requests.drop(node, request)


def _drop_waiting(
    node: nodes.Node, session: sessions.Session, request: requests.Request
) -> None:
    """Drop a waiting request, and close the connection of its transaction."""
    if request.state == "held":
        request.group.held.remove(request)
    requests.drop(node, request)
    connection, session.connection = session.connection, None
    if connection is not None:
        pool.close(node, connection)


def end(
    node: nodes.Node, session: sessions.Session, error: errors.RequestError
) -> None:
    """End an open session with an error; refuse its queued request."""
    request = session.request
    if request is not None:
        _end_request(node, session, request, error)
    transaction.end_session(node, session, error)


def _end_request(
    node: nodes.Node,
    session: sessions.Session,
    request: requests.Request,
    error: errors.RequestError,
) -> None:
    """Answer the pending request of a session that is ended.

    A write that was sent outside a transaction may finish; its caller gets
    an error saying that the outcome is unknown.
    """
    if request.is_waiting():
        requests.refuse(node, request, error)
        return
    unknown = errors.OutcomeUnknown(
        f"{error.message} The statement was sent and not answered.",
        "Check whether it took effect before repeating it.",
    )
    if request.state == "held":
        request.group.held.remove(request)
        requests.refuse(node, request, unknown)
        return
    node.actions.append(actions.Refuse(request.request_id, session.session_id, unknown))
    if request.is_read or request.in_transaction or session.is_pinned:
        connection = request.connection
        session.connection = None
        pool.close(node, connection)
        requests.drop(node, request)


def revalidate(node: nodes.Node, session: sessions.Session) -> None:
    """End an open session that the new document does not allow any more."""
    route = node.view.document.routes.get(session.route.name)
    if route is None or route.open != session.route.open:
        end(node, session, _make_withdrawn_error("The route was removed or changed."))
        return
    if not route.open:
        owner = node.keys.get(session.key_prefix)
        team = node.find_team(session.team)
        if owner is None or owner.record.withdrawn or owner.team != session.team:
            end(
                node,
                session,
                _make_withdrawn_error("The key of this session was withdrawn."),
            )
            return
        if team is None or team.name not in route.teams:
            end(
                node,
                session,
                _make_withdrawn_error("The team may not use this route any more."),
            )
            return
        session.weight = team.weight
    _update_route(node, session, route)


def _update_route(
    node: nodes.Node, session: sessions.Session, route: document.Route
) -> None:
    """Apply changes of its route to an open session."""
    if session.max_age == session.route.max_age:
        session.max_age = route.max_age
    moved = route.group != session.route.group
    session.route = route
    if not moved:
        return
    if session.request is not None or session.connection is not None:
        end(
            node,
            session,
            _make_withdrawn_error("The route now leads to another group."),
        )
        return
    opening.bind_group(node, session)


def _make_withdrawn_error(message: str) -> errors.RequestError:
    return errors.KeyWithdrawn(
        message, "Reconnect with a valid key and an existing route."
    )
