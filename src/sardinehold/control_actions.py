"""Carries out what the engine decides about time and the fleet."""

import typing

from sardinehold import action_handlers
from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath


@action_handlers.handles(actions.WakeAt)
def wake(path: "datapath.DataPath", action: actions.WakeAt) -> None:
    """Send a tick at the time that the engine states, or before."""
    path.wake_at(action.time)


@action_handlers.handles(
    actions.RequestTokens,
    actions.ReturnTokens,
    actions.RequestConnections,
    actions.ReportEndpoint,
    actions.DrainFinished,
    actions.GroupQuiesced,
)
def forward_to_control(path: "datapath.DataPath", action: actions.Action) -> None:
    """Leave an action to the fleet's part of the process."""
    path.control.handle(action)
