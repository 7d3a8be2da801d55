"""Actions that a node's agent asks the daemon to perform."""

from sardinehold.core import events
from sardinehold.core import messages


class AgentAction:
    """Base class of all actions."""

    __slots__ = ()


class Call(AgentAction):
    """Base class of the actions that are answered by an event.

    :param call_id: unique identifier, repeated in the answer.
    """

    __slots__ = ("call_id",)

    def __init__(self, call_id: int) -> None:
        """Store the identifier."""
        self.call_id = call_id


class ListObjects(Call):
    """List all objects of the view."""

    __slots__ = ()


class WatchObjects(Call):
    """Watch for changes after revision ``since``, for up to ``wait`` seconds."""

    __slots__ = ("since", "wait")

    def __init__(self, call_id: int, since: int, wait: float) -> None:
        """Store the fields of the action."""
        super().__init__(call_id)
        self.since = since
        self.wait = wait


class ListVms(Call):
    """Read the platform's list of VMs, which lags behind the store."""

    __slots__ = ()


class ListGroups(Call):
    """Read the platform's list of database groups, which lags behind the store."""

    __slots__ = ()


class ReadObject(Call):
    """Read one object to get its version."""

    __slots__ = ("kind", "name")

    def __init__(self, call_id: int, kind: str, name: str) -> None:
        """Store the fields of the action."""
        super().__init__(call_id)
        self.kind = kind
        self.name = name


class WriteObject(Call):
    """Create, replace or delete an object by compare-and-swap.

    :param version: expected version, 0 when the object must not exist.
    :param value: new value, None to delete the object.
    """

    __slots__ = ("kind", "name", "value", "version")

    def __init__(
        self, call_id: int, kind: str, name: str, value: dict | None, version: int
    ) -> None:
        """Store the fields of the action."""
        super().__init__(call_id)
        self.kind = kind
        self.name = name
        self.value = value
        self.version = version


class QueryEndpoint(Call):
    """Run a statement on an endpoint over a separate connection."""

    __slots__ = ("endpoint", "group", "sql", "deadline")

    def __init__(
        self, call_id: int, group: str, endpoint: str, sql: str, deadline: float
    ) -> None:
        """Store the fields of the action."""
        super().__init__(call_id)
        self.group = group
        self.endpoint = endpoint
        self.sql = sql
        self.deadline = deadline


class Send(AgentAction):
    """Send a message to the peer service at ``address``, without delivery guarantee."""

    __slots__ = ("vm", "address", "message")

    def __init__(self, vm: str, address: str, message: messages.Message) -> None:
        """Store the fields of the action."""
        self.vm = vm
        self.address = address
        self.message = message


class Deliver(AgentAction):
    """Deliver an event to the engine of this node."""

    __slots__ = ("event",)

    def __init__(self, event: events.Event) -> None:
        """Store the event."""
        self.event = event


class Record(AgentAction):
    """Write an event to the timeline and increment its counter."""

    __slots__ = ("kind", "fields")

    def __init__(self, kind: str, **fields: str | int | float | bool) -> None:
        """Store the fields of the event."""
        self.kind = kind
        self.fields = fields


class Count(AgentAction):
    """Increment a counter."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        """Store the name."""
        self.name = name


class Stopped(AgentAction):
    """Report that the node has left the fleet and its process may exit."""

    __slots__ = ()


class WakeAt(AgentAction):
    """Schedule a Tick at this time at the latest; replaces any earlier request."""

    __slots__ = ("time",)

    def __init__(self, time: float) -> None:
        """Store the time."""
        self.time = time
