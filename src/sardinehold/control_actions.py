"""Handlers of the engine's actions on timers and the fleet."""

import typing

from sardinehold import action_handlers
from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath


@action_handlers.handles(actions.WakeAt)
def wake(path: "datapath.DataPath", action: actions.WakeAt) -> None:
    """Schedule a tick at the requested time or earlier."""
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
    """Pass an action to the control plane of the process."""
    path.control.handle(action)
