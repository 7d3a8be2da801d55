"""Events handled by a node's agent.

Times are seconds of the node's monotonic clock. Call identifiers are those of
the actions that the events answer.
"""

import enum

from sardinehold import objects
from sardinehold.core import actions
from sardinehold.core import messages


class Failure(enum.Enum):
    """Reasons why a call to the platform failed."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    MISSING = "missing"
    REFUSED = "refused"


class AgentEvent:
    """Base class of all events."""

    __slots__ = ()


class ChangesRead(AgentEvent):
    """The platform answered a list or a watch."""

    __slots__ = ("call_id", "changes")

    def __init__(self, call_id: int, changes: objects.Changes) -> None:
        """Store the fields of the event."""
        self.call_id = call_id
        self.changes = changes


class ObjectWritten(AgentEvent):
    """The platform applied a conditional update.

    :param version: new version of the object, 0 if it was deleted.
    """

    __slots__ = ("call_id", "version")

    def __init__(self, call_id: int, version: int) -> None:
        """Store the fields of the event."""
        self.call_id = call_id
        self.version = version


class PlatformFailed(AgentEvent):
    """A call to the platform failed; it may have taken effect nevertheless."""

    __slots__ = ("call_id", "failure")

    def __init__(self, call_id: int, failure: Failure) -> None:
        """Store the fields of the event."""
        self.call_id = call_id
        self.failure = failure


class EndpointAnswered(AgentEvent):
    """An endpoint answered a statement with rows of text."""

    __slots__ = ("call_id", "rows")

    def __init__(self, call_id: int, rows: list[tuple[str, ...]]) -> None:
        """Store the fields of the event."""
        self.call_id = call_id
        self.rows = rows


class EndpointFailed(AgentEvent):
    """A statement on an endpoint failed; it may have taken effect nevertheless."""

    __slots__ = ("call_id",)

    def __init__(self, call_id: int) -> None:
        """Store the fields of the event."""
        self.call_id = call_id


class MessageArrived(AgentEvent):
    """A message of another agent arrived."""

    __slots__ = ("message",)

    def __init__(self, message: messages.Message) -> None:
        """Store the fields of the event."""
        self.message = message


class ActionRequested(AgentEvent):
    """The engine of this node requested an action that involves the fleet."""

    __slots__ = ("action",)

    def __init__(self, action: actions.Action) -> None:
        """Store the fields of the event."""
        self.action = action


class StopRequested(AgentEvent):
    """A graceful shutdown was requested; the node takes no shared role any more."""

    __slots__ = ()


class Tick(AgentEvent):
    """A timer event, sent no later than the time requested by ``WakeAt``."""

    __slots__ = ()
