"""Events that the engine of one node handles.

Times are seconds of the node's monotonic clock; identifiers are increasing
integers that the daemon assigns and never reuses.
"""

from sardinehold.core import positions
from sardinehold.core import statements
from sardinehold.core import view as views


class Event:
    """Base of all events."""

    __slots__ = ()


class SessionOpened(Event):
    """A caller has sent its start-up message and password.

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
        """Store the fields of the event."""
        self.session_id = session_id
        self.route = route
        self.key = key
        self.token = token
        self.max_age = max_age
        self.source = source


class SessionClosed(Event):
    """The caller disconnected; queued work is dropped, a sent write finishes."""

    __slots__ = ("session_id",)

    def __init__(self, session_id: int) -> None:
        """Store the fields of the event."""
        self.session_id = session_id


class RequestArrived(Event):
    """A request: one simple query, or an extended sequence up to Sync.

    A session has at most one unfinished request.

    :param size: total length of its frames in bytes.
    :param in_pipeline: whether it contains more than one statement.
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
        """Store the fields of the event."""
        self.request_id = request_id
        self.session_id = session_id
        self.traits = traits
        self.size = size
        self.in_pipeline = in_pipeline


class RequestCancelled(Event):
    """A CancelRequest with the correct secret arrived for the session's request."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: int) -> None:
        """Store the fields of the event."""
        self.request_id = request_id


class DispatchFailed(Event):
    """A dispatched request was not sent: no byte of it was written."""

    __slots__ = ("request_id", "connection_id")

    def __init__(self, request_id: int, connection_id: int) -> None:
        """Store the fields of the event."""
        self.request_id = request_id
        self.connection_id = connection_id


class AnswerStarted(Event):
    """The first byte of an answer was sent to the caller, which rules out a retry."""

    __slots__ = ("request_id",)

    def __init__(self, request_id: int) -> None:
        """Store the fields of the event."""
        self.request_id = request_id


class RequestAnswered(Event):
    """The endpoint answered a request completely.

    Followed by ``Acknowledge`` or ``Refuse`` in this or a later call; the
    adapter holds the tail of a write's answer until then.

    :param status: transaction status of ReadyForQuery: ``I``, ``T`` or ``E``.
    :param sqlstate: SQLSTATE of the last error, ``""`` when there was none.
    :param position: the primary's log position after the request, if the
        dispatch requested it.
    :param confirmed: positions that replicas have received according to the
        same answer, by endpoint.
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
        """Store the fields of the event."""
        self.request_id = request_id
        self.connection_id = connection_id
        self.status = status
        self.sqlstate = sqlstate
        self.position = position
        self.confirmed = confirmed


class ConnectionOpened(Event):
    """A connection requested by ``OpenConnection`` is ready."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Store the fields of the event."""
        self.connection_id = connection_id


class ConnectionFailed(Event):
    """A connection could not be opened.

    :param full: whether the endpoint refused it for lack of free connections.
    """

    __slots__ = ("connection_id", "full")

    def __init__(self, connection_id: int, full: bool = False) -> None:
        """Store the fields of the event."""
        self.connection_id = connection_id
        self.full = full


class ConnectionLost(Event):
    """An open connection was lost; the outcome of what was sent on it is unknown."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Store the fields of the event."""
        self.connection_id = connection_id


class StatusObserved(Event):
    """A probe read the log status of an endpoint.

    :param role: ``primary`` or ``replica`` as reported by the endpoint.
    :param applied: position visible to its readers.
    :param received: position that would survive its promotion.
    :param confirmed: on a primary, the position that each replica has received.
    :param probed_at: when the probe was sent; ages are measured from it.
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
        """Store the fields of the event."""
        self.endpoint = endpoint
        self.role = role
        self.applied = applied
        self.received = received
        self.confirmed = confirmed
        self.probed_at = probed_at


class ProbeFailed(Event):
    """A probe failed or got no answer before its deadline.

    :param fresh: whether it used a new connection, which distinguishes an
        unavailable endpoint from a lost connection.
    """

    __slots__ = ("endpoint", "fresh")

    def __init__(self, endpoint: str, fresh: bool) -> None:
        """Store the fields of the event."""
        self.endpoint = endpoint
        self.fresh = fresh


class ViewChanged(Event):
    """The node received a newer view."""

    __slots__ = ("view",)

    def __init__(self, view: views.View) -> None:
        """Store the fields of the event."""
        self.view = view


class LeaseRenewed(Event):
    """The node's lease on the view was renewed.

    :param write_deadline: time until which writes may be acknowledged.
    :param serve_deadline: time until which keys may be trusted and requests served.
    """

    __slots__ = ("write_deadline", "serve_deadline")

    def __init__(self, write_deadline: float, serve_deadline: float) -> None:
        """Store the fields of the event."""
        self.write_deadline = write_deadline
        self.serve_deadline = serve_deadline


class TokensGranted(Event):
    """The allocator moved tokens of a team's rate to this node.

    :param team: a team's name, or ``route:NAME`` for an open route.
    :param tokens: statements that may run; added to the remaining tokens.
    :param deadline: time after which none of them may be spent.
    """

    __slots__ = ("team", "tokens", "deadline")

    def __init__(self, team: str, tokens: int, deadline: float) -> None:
        """Store the fields of the event."""
        self.team = team
        self.tokens = tokens
        self.deadline = deadline


class ConnectionsGranted(Event):
    """The allocator granted a share of an endpoint's connections to this node.

    :param connections: number that this node may hold open until ``deadline``;
        replaces the previous share.
    """

    __slots__ = ("endpoint", "connections", "deadline")

    def __init__(self, endpoint: str, connections: int, deadline: float) -> None:
        """Store the fields of the event."""
        self.endpoint = endpoint
        self.connections = connections
        self.deadline = deadline


class DrainStarted(Event):
    """The proxy is to stop: it accepts no sessions and finishes running requests.

    :param deadline: time at which the remaining requests are aborted.
    """

    __slots__ = ("deadline",)

    def __init__(self, deadline: float) -> None:
        """Store the fields of the event."""
        self.deadline = deadline


class Tick(Event):
    """Time has passed; sent no later than the time of the last ``WakeAt``."""

    __slots__ = ()
