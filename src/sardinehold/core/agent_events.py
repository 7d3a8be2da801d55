"""Events that the agent of one node takes.

Times are seconds of the node's monotonic clock; call identifiers are those of
the actions that are answered.
"""

import enum

from sardinehold import objects
from sardinehold.core import actions
from sardinehold.core import messages


class Failure(enum.Enum):
    """Why a call to the platform did not do what was asked."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    MISSING = "missing"
    REFUSED = "refused"


class AgentEvent:
    """Base of all events."""

    __slots__ = ()


class ChangesRead(AgentEvent):
    """The platform answered a list or a watch."""

    __slots__ = ("call_id", "changes")

    def __init__(self, call_id: int, changes: objects.Changes) -> None:
        """Keep the parts of the event."""
        self.call_id = call_id
        self.changes = changes


class ObjectWritten(AgentEvent):
    """The platform did a conditional update.

    :param version: the new version of the object, 0 when it was deleted.
    """

    __slots__ = ("call_id", "version")

    def __init__(self, call_id: int, version: int) -> None:
        """Keep the parts of the event."""
        self.call_id = call_id
        self.version = version


class PlatformFailed(AgentEvent):
    """A call to the platform failed; whether it took effect may be unknown."""

    __slots__ = ("call_id", "failure")

    def __init__(self, call_id: int, failure: Failure) -> None:
        """Keep the parts of the event."""
        self.call_id = call_id
        self.failure = failure


class EndpointAnswered(AgentEvent):
    """An endpoint answered a statement with rows of text."""

    __slots__ = ("call_id", "rows")

    def __init__(self, call_id: int, rows: list[tuple[str, ...]]) -> None:
        """Keep the parts of the event."""
        self.call_id = call_id
        self.rows = rows


class EndpointFailed(AgentEvent):
    """A statement for an endpoint failed; its effect is unknown."""

    __slots__ = ("call_id",)

    def __init__(self, call_id: int) -> None:
        """Keep the parts of the event."""
        self.call_id = call_id


class MessageArrived(AgentEvent):
    """Another agent sent a message."""

    __slots__ = ("message",)

    def __init__(self, message: messages.Message) -> None:
        """Keep the parts of the event."""
        self.message = message


class ActionRequested(AgentEvent):
    """The engine of this node wants something of the fleet."""

    __slots__ = ("action",)

    def __init__(self, action: actions.Action) -> None:
        """Keep the parts of the event."""
        self.action = action


class StopRequested(AgentEvent):
    """The proxy is asked to stop: leave, and take no shared role any more."""

    __slots__ = ()


class Tick(AgentEvent):
    """Time passed; sent at the time that ``WakeAt`` asked for or before."""

    __slots__ = ()
