"""Events that the engine of one node takes.

Times are seconds of the node's monotonic clock; identifiers are integers
that the daemon numbers upwards and never uses twice.
"""

from sardinehold.core import positions
from sardinehold.core import statements
from sardinehold.core import view as views


class Event:
    """Base of all events."""

    __slots__ = ()


class SessionOpened(Event):
    """A caller finished its start-up message and password.

    Answered by ``SessionAccepted`` or ``SessionRefused`` in the same call.

    :param key: the password as sent, ``""`` when there was none.
    :param token: session token from ``options``, ``""`` when there was none.
    :param max_age: ``sardinehold.max_age`` from ``options`` in seconds.
    :param source: the caller's IP address.
    """

    __slots__ = ("session_id", "route", "key", "token", "max_age", "source")

    def __init__(
        self,
        session_id: int,
        route: str,
        key: str,
        token: str = "",
        max_age: float | None = None,
        source: str = "",
    ) -> None:
        """Keep the parts of the event."""
        self.session_id = session_id
        self.route = route
        self.key = key
        self.token = token
        self.max_age = max_age
        self.source = source


class SessionClosed(Event):
    """The caller is gone; queued work is dropped, a sent write finishes."""

    __slots__ = ("session_id",)

    def __init__(self, session_id: int) -> None:
        """Keep the parts of the event."""
        self.session_id = session_id


class RequestArrived(Event):
    """A request: one simple query, or an extended sequence up to Sync.

    A session has at most one request that is not finished.

    :param size: bytes of its frames.
    :param in_pipeline: whether it holds more than one statement.
    """

    __slots__ = ("request_id", "session_id", "traits", "size", "in_pipeline")

    def __init__(
        self,
        request_id: int,
        session_id: int,
        traits: statements.Traits,
        size: int = 0,
        in_pipeline: bool = False,
    ) -> None:
        """Keep the parts of the event."""
        self.request_id = request_id
        self.session_id = session_id
        self.traits = traits
        self.size = size
        self.in_pipeline = in_pipeline


class RequestCancelled(Event):
    """A CancelRequest with the right secret named the session's request."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: int) -> None:
        """Keep the parts of the event."""
        self.request_id = request_id


class DispatchFailed(Event):
    """A dispatched request did not leave: no byte of it was written."""

    __slots__ = ("request_id", "connection_id")

    def __init__(self, request_id: int, connection_id: int) -> None:
        """Keep the parts of the event."""
        self.request_id = request_id
        self.connection_id = connection_id


class AnswerStarted(Event):
    """The first byte of an answer went to the caller: no retry any more."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: int) -> None:
        """Keep the parts of the event."""
        self.request_id = request_id


class RequestAnswered(Event):
    """The endpoint answered a request completely.

    Answered by ``Acknowledge`` or ``Refuse``, now or in a later call; the
    adapter holds the tail of a write's answer until then.

    :param status: transaction status of ReadyForQuery: ``I``, ``T`` or ``E``.
    :param sqlstate: of the last error, ``""`` when there was none.
    :param position: the primary's log position after the request, when the
        dispatch asked for it.
    :param confirmed: positions that replicas are known to have received,
        from the same answer, by endpoint.
    """

    __slots__ = (
        "request_id",
        "connection_id",
        "status",
        "sqlstate",
        "position",
        "confirmed",
    )

    def __init__(
        self,
        request_id: int,
        connection_id: int,
        status: str,
        sqlstate: str = "",
        position: positions.Position | None = None,
        confirmed: tuple[tuple[str, positions.Position], ...] = (),
    ) -> None:
        """Keep the parts of the event."""
        self.request_id = request_id
        self.connection_id = connection_id
        self.status = status
        self.sqlstate = sqlstate
        self.position = position
        self.confirmed = confirmed


class ConnectionOpened(Event):
    """A connection that ``OpenConnection`` asked for is ready."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Keep the parts of the event."""
        self.connection_id = connection_id


class ConnectionFailed(Event):
    """A connection could not be opened.

    :param full: whether the endpoint answered that it has no room.
    """

    __slots__ = ("connection_id", "full")

    def __init__(self, connection_id: int, full: bool = False) -> None:
        """Keep the parts of the event."""
        self.connection_id = connection_id
        self.full = full


class ConnectionLost(Event):
    """An open connection broke; what was sent on it is unknown."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Keep the parts of the event."""
        self.connection_id = connection_id


class StatusObserved(Event):
    """A probe read the log status of an endpoint.

    :param role: ``primary`` or ``replica`` as the endpoint itself says.
    :param applied: what its readers see.
    :param received: what would survive its promotion.
    :param confirmed: on a primary, what each replica has received.
    :param probed_at: when the probe was sent; ages count from it.
    """

    __slots__ = ("endpoint", "role", "applied", "received", "confirmed", "probed_at")

    def __init__(
        self,
        endpoint: str,
        role: str,
        applied: positions.Position,
        received: positions.Position,
        confirmed: tuple[tuple[str, positions.Position], ...],
        probed_at: float,
    ) -> None:
        """Keep the parts of the event."""
        self.endpoint = endpoint
        self.role = role
        self.applied = applied
        self.received = received
        self.confirmed = confirmed
        self.probed_at = probed_at


class ProbeFailed(Event):
    """A probe got no answer within its deadline, or an error.

    :param fresh: whether it went over a connection opened for it, which
        tells a dead endpoint from a lost connection.
    """

    __slots__ = ("endpoint", "fresh")

    def __init__(self, endpoint: str, fresh: bool) -> None:
        """Keep the parts of the event."""
        self.endpoint = endpoint
        self.fresh = fresh


class ViewChanged(Event):
    """The node learned a newer view."""

    __slots__ = ("view",)

    def __init__(self, view: views.View) -> None:
        """Keep the parts of the event."""
        self.view = view


class LeaseRenewed(Event):
    """The node's lease over the view was renewed.

    :param write_deadline: until when writes may be acknowledged.
    :param serve_deadline: until when keys may be trusted at all.
    """

    __slots__ = ("write_deadline", "serve_deadline")

    def __init__(self, write_deadline: float, serve_deadline: float) -> None:
        """Keep the parts of the event."""
        self.write_deadline = write_deadline
        self.serve_deadline = serve_deadline


class TokensGranted(Event):
    """The allocator moved tokens of a team's rate to this node.

    :param team: a team's name, or ``route:NAME`` for an open route.
    :param tokens: statements that may run; added to what is left.
    :param deadline: after which none of them may be spent.
    """

    __slots__ = ("team", "tokens", "deadline")

    def __init__(self, team: str, tokens: int, deadline: float) -> None:
        """Keep the parts of the event."""
        self.team = team
        self.tokens = tokens
        self.deadline = deadline


class ConnectionsGranted(Event):
    """The node's share of an endpoint's connections.

    :param connections: how many this node may hold open until ``deadline``;
        replaces the share before.
    """

    __slots__ = ("endpoint", "connections", "deadline")

    def __init__(self, endpoint: str, connections: int, deadline: float) -> None:
        """Keep the parts of the event."""
        self.endpoint = endpoint
        self.connections = connections
        self.deadline = deadline


class DrainStarted(Event):
    """The proxy is asked to stop: no new sessions, finish what runs.

    :param deadline: when what still runs is cut.
    """

    __slots__ = ("deadline",)

    def __init__(self, deadline: float) -> None:
        """Keep the parts of the event."""
        self.deadline = deadline


class Tick(Event):
    """Time passed; sent at the time that ``WakeAt`` asked for or before."""

    __slots__ = ()
