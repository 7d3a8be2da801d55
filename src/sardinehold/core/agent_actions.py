"""Actions that the agent of one node asks its daemon for."""

from sardinehold.core import events
from sardinehold.core import messages


class AgentAction:
    """Base of all actions."""

    __slots__ = ()


class Call(AgentAction):
    """Base of the actions that are answered by an event.

    :param call_id: named again by the answer; never used twice.
    """

    __slots__ = ("call_id",)

    def __init__(self, call_id: int) -> None:
        """Keep the identifier."""
        self.call_id = call_id


class ListObjects(Call):
    """Read all objects of the view."""

    __slots__ = ()


class WatchObjects(Call):
    """Read what changed after ``since``, waiting ``wait`` s for a change."""

    __slots__ = ("since", "wait")

    def __init__(self, call_id: int, since: int, wait: float) -> None:
        """Keep the parts of the action."""
        super().__init__(call_id)
        self.since = since
        self.wait = wait


class ListVms(Call):
    """Read the platform's lagging list of VMs."""

    __slots__ = ()


class ListGroups(Call):
    """Read the platform's lagging list of database groups."""

    __slots__ = ()


class ReadObject(Call):
    """Read one object, for its version."""

    __slots__ = ("kind", "name")

    def __init__(self, call_id: int, kind: str, name: str) -> None:
        """Keep the parts of the action."""
        super().__init__(call_id)
        self.kind = kind
        self.name = name


class WriteObject(Call):
    """Create or replace an object.

    :param version: that it must have, 0 when it must not exist.
    :param value: the new value, None to delete it.
    """

    __slots__ = ("kind", "name", "value", "version")

    def __init__(
        self, call_id: int, kind: str, name: str, value: dict | None, version: int
    ) -> None:
        """Keep the parts of the action."""
        super().__init__(call_id)
        self.kind = kind
        self.name = name
        self.value = value
        self.version = version


class QueryEndpoint(Call):
    """Run a statement on an endpoint over a connection of its own."""

    __slots__ = ("endpoint", "group", "sql", "deadline")

    def __init__(
        self, call_id: int, group: str, endpoint: str, sql: str, deadline: float
    ) -> None:
        """Keep the parts of the action."""
        super().__init__(call_id)
        self.group = group
        self.endpoint = endpoint
        self.sql = sql
        self.deadline = deadline


class Send(AgentAction):
    """Send a message to the peer service at ``address``; it may be lost."""

    __slots__ = ("vm", "address", "message")

    def __init__(self, vm: str, address: str, message: messages.Message) -> None:
        """Keep the parts of the action."""
        self.vm = vm
        self.address = address
        self.message = message


class Deliver(AgentAction):
    """Hand an event to the engine of this node."""

    __slots__ = ("event",)

    def __init__(self, event: events.Event) -> None:
        """Keep the event."""
        self.event = event


class Record(AgentAction):
    """Write an event to the time line and count it."""

    __slots__ = ("kind", "fields")

    def __init__(self, kind: str, **fields: str | int | float | bool) -> None:
        """Keep the parts of the event."""
        self.kind = kind
        self.fields = fields


class Count(AgentAction):
    """Add one to a counter."""

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        """Keep the name."""
        self.name = name


class Stopped(AgentAction):
    """The node has left the fleet; its process may end."""

    __slots__ = ()


class WakeAt(AgentAction):
    """Send a Tick at this time at the latest; the last one asked counts."""

    __slots__ = ("time",)

    def __init__(self, time: float) -> None:
        """Keep the time."""
        self.time = time
