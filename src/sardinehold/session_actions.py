"""Handlers of the engine's actions on sessions."""

import typing

from sardinehold import action_handlers
from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath


@action_handlers.handles(actions.SessionAccepted)
def accept_session(path: "datapath.DataPath", action: actions.SessionAccepted) -> None:
    """Accept a caller's session."""
    caller = path.callers.get(action.session_id)
    if caller is not None:
        path.registry.count("sessions_accepted")
        caller.accept(action)


@action_handlers.handles(actions.SessionRefused)
def refuse_session(path: "datapath.DataPath", action: actions.SessionRefused) -> None:
    """Refuse a caller's session, not before the time that the action gives."""
    caller = path.callers.get(action.session_id)
    if caller is None:
        return
    path.registry.count(f"refused_{action.error.code}")
    if action.retry_at > path.loop.time():
        path.loop.call_at(action.retry_at, caller.fail_session, action.error)
    else:
        caller.fail_session(action.error)


@action_handlers.handles(actions.CloseSession)
def close_session(path: "datapath.DataPath", action: actions.CloseSession) -> None:
    """Close an open session with an error."""
    caller = path.callers.get(action.session_id)
    if caller is not None:
        path.registry.count(f"closed_{action.error.code}")
        caller.fail_session(action.error)
