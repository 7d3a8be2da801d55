"""Carries out what the engine decides about time and the fleet."""

import typing

from sardinehold import performers
from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath


@performers.performs(actions.WakeAt)
def wake(path: "datapath.DataPath", action: actions.WakeAt) -> None:
    """Send a tick at the time that the engine states, or before."""
    path.wake_at(action.time)


@performers.performs(
    actions.RequestTokens,
    actions.ReturnTokens,
    actions.RequestConnections,
    actions.ReportEndpoint,
    actions.DrainFinished,
    actions.GroupQuiesced,
)
def hand_over(path: "datapath.DataPath", action: actions.Action) -> None:
    """Leave an action to the fleet's part of the process."""
    path.control.handle(action)
