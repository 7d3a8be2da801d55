"""Handlers of the engine's actions on requests."""

import typing

from sardinehold import action_handlers
from sardinehold import answers
from sardinehold import endpoints
from sardinehold import errors
from sardinehold import requests
from sardinehold import wire
from sardinehold.core import actions
from sardinehold.core import events

if typing.TYPE_CHECKING:
    from sardinehold import datapath


@action_handlers.handles(actions.Dispatch)
def dispatch(path: "datapath.DataPath", action: actions.Dispatch) -> None:
    """Send a request on its connection."""
    request = path.requests.get(action.request_id)
    connection = path.connections.get(action.connection_id)
    if request is None:
        return
    if not _may_send(path, request, connection, action.connection_id):
        _report_unsent(path, action)
        return
    request.connection_id = action.connection_id
    request.connection = connection
    if request.owner.paused:
        connection.transport.pause_reading()
    if action.setup:
        _prepare_connection(path, request, connection, action)
    else:
        request.send(action.want_position, action.hides_status)


def _may_send(
    path: "datapath.DataPath",
    request: requests.Request,
    connection: endpoints.EndpointConnection | None,
    connection_id: int,
) -> bool:
    """Return whether a request may be sent on a connection.

    A cancel request may take effect late and hit the next statement on its
    connection. After one was sent, only the session whose transaction is open
    there may use the connection.
    """
    if connection is None or connection.closed:
        return False
    return not connection.cancel_requested or path.is_pinned(
        connection_id, request.owner
    )


def _report_unsent(path: "datapath.DataPath", action: actions.Dispatch) -> None:
    """Close the connection and report that the request was not sent."""
    connection = path.connections.pop(action.connection_id, None)
    if connection is not None:
        connection.close()
    path.deliver(events.DispatchFailed(action.request_id, action.connection_id))


def _prepare_connection(
    path: "datapath.DataPath",
    request: requests.Request,
    connection: endpoints.EndpointConnection,
    action: actions.Dispatch,
) -> None:
    """Run the set-up statements; send the request once all have succeeded."""
    failed = False
    left = len(action.setup)

    def finish(collector: answers.Collector) -> None:
        nonlocal failed, left
        failed = failed or collector.error is not None
        left -= 1
        if left:
            return
        if failed:
            path.registry.count("setups_failed")
            _report_unsent(path, action)
        elif not request.finished:
            request.send(action.want_position, action.hides_status)

    payload = b"".join([wire.build_query(sql) for sql in action.setup])
    connection.send(payload, *[answers.Collector(finish) for _ in action.setup])


@action_handlers.handles(actions.Acknowledge)
def acknowledge(path: "datapath.DataPath", action: actions.Acknowledge) -> None:
    """Send the buffered part of an answer to the caller."""
    request = path.pop_request(action.request_id)
    if request is None:
        return
    answer = request.answer
    held = answer.held
    if answer.sqlstate:
        request.content.undo(answer.confirmed)
    if action.token:
        token = wire.build_parameter("sardinehold.session", action.token)
        held[-wire.READY_SIZE : -wire.READY_SIZE] = token
    if request.hides_ready:
        del held[-wire.READY_SIZE :]
        request.owner.skipping = bool(answer.sqlstate)
    if request.hidden and answer.sqlstate:
        request.owner.fail(request, _build_setting_error(answer.sqlstate), True)
        return
    request.owner.finish(request, held, answer.status)


@action_handlers.handles(actions.Refuse)
def refuse(path: "datapath.DataPath", action: actions.Refuse) -> None:
    """Answer with an error in place of the buffered part."""
    request = path.pop_request(action.request_id)
    if request is None:
        return
    path.registry.count(f"refused_{action.error.code}")
    request.content.undo(0)
    request.owner.fail(request, action.error, action.fatal)


@action_handlers.handles(actions.AnswerLocally)
def answer_locally(path: "datapath.DataPath", action: actions.AnswerLocally) -> None:
    """Answer a request without an endpoint."""
    request = path.pop_request(action.request_id)
    if request is None:
        return
    answer = request.content.answer_locally(action.tag, action.column, action.value)
    owner = request.owner
    if not request.hides_ready and not request.is_open:
        answer += wire.build_ready(owner.status)
    owner.finish(request, answer, owner.status)


def _build_setting_error(sqlstate: str) -> errors.RequestError:
    return errors.Unsupported(
        f"A setting of the start-up message was refused with SQLSTATE {sqlstate}.",
        "Remove it from the connection's options.",
    )
