"""Actions that the engine of one node requests from its daemon."""

from sardinehold import errors


class Action:
    """Base of all actions."""

    __slots__ = ()


class SessionAccepted(Action):
    """Accept the caller's session.

    :param team: the team's name, ``""`` on an open route.
    :param token: the session token to send, ``""`` when there is none.
    """

    __slots__ = ("session_id", "team", "token")

    def __init__(self, session_id: int, team: str, token: str = "") -> None:
        """Store the fields of the action."""
        self.session_id = session_id
        self.team = team
        self.token = token


class SessionRefused(Action):
    """Send the error and close the connection.

    :param retry_at: earliest time to send it, to slow down attempts with wrong
        keys.
    """

    __slots__ = ("session_id", "error", "retry_at")

    def __init__(
        self, session_id: int, error: errors.RequestError, retry_at: float = 0.0
    ) -> None:
        """Store the fields of the action."""
        self.session_id = session_id
        self.error = error
        self.retry_at = retry_at


class CloseSession(Action):
    """End an open session with a fatal error (key withdrawn, shutdown)."""

    __slots__ = ("session_id", "error")

    def __init__(self, session_id: int, error: errors.RequestError) -> None:
        """Store the fields of the action."""
        self.session_id = session_id
        self.error = error


class Dispatch(Action):
    """Send a request on a connection; it counts as sent from now on.

    :param setup: statements to run on the connection first; their answers are
        discarded.
    :param want_position: read the log status after the request, and hold
        the tail of its answer until ``Acknowledge`` or ``Refuse``.
    :param hides_status: do not read it there, since a name of the caller's own may
        hide it; a probe on another connection will.
    """

    __slots__ = (
        "request_id",
        "session_id",
        "connection_id",
        "endpoint",
        "setup",
        "want_position",
        "hides_status",
    )

    def __init__(
        self,
        request_id: int,
        session_id: int,
        connection_id: int,
        endpoint: str,
        setup: tuple[str, ...] = (),
        want_position: bool = False,
        hides_status: bool = False,
    ) -> None:
        """Store the fields of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.connection_id = connection_id
        self.endpoint = endpoint
        self.setup = setup
        self.want_position = want_position
        self.hides_status = hides_status


class AnswerLocally(Action):
    """Answer SET and SHOW of ``sardinehold.*`` without an endpoint.

    :param tag: command tag, such as ``SET``.
    :param column: name of the one column of a SHOW, ``""`` for none.
    :param value: the value of that column.
    """

    __slots__ = ("request_id", "session_id", "tag", "column", "value")

    def __init__(
        self,
        request_id: int,
        session_id: int,
        tag: str,
        column: str = "",
        value: str = "",
    ) -> None:
        """Store the fields of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.tag = tag
        self.column = column
        self.value = value


class Acknowledge(Action):
    """Send the held answer to the caller.

    :param token: the new session token, ``""`` when it did not change.
    """

    __slots__ = ("request_id", "session_id", "token")

    def __init__(self, request_id: int, session_id: int, token: str = "") -> None:
        """Store the fields of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.token = token


class Refuse(Action):
    """Answer with an error and discard any held answer.

    :param fatal: whether the session ends, for example because the state of
        the caller's transaction is unknown.
    """

    __slots__ = ("request_id", "session_id", "error", "fatal")

    def __init__(
        self,
        request_id: int,
        session_id: int,
        error: errors.RequestError,
        fatal: bool = False,
    ) -> None:
        """Store the fields of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.error = error
        self.fatal = fatal


class OpenConnection(Action):
    """Open a connection to an endpoint before the deadline."""

    __slots__ = ("connection_id", "endpoint", "deadline")

    def __init__(self, connection_id: int, endpoint: str, deadline: float) -> None:
        """Store the fields of the action."""
        self.connection_id = connection_id
        self.endpoint = endpoint
        self.deadline = deadline


class CloseConnection(Action):
    """Close a connection and discard what arrives on it."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Store the fields of the action."""
        self.connection_id = connection_id


class CancelStatement(Action):
    """Send a CancelRequest for the statement that runs on a connection."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Store the fields of the action."""
        self.connection_id = connection_id


class ProbeEndpoint(Action):
    """Read an endpoint's log status.

    :param fresh: whether to open a new connection for it.
    """

    __slots__ = ("endpoint", "fresh", "deadline")

    def __init__(self, endpoint: str, fresh: bool, deadline: float) -> None:
        """Store the fields of the action."""
        self.endpoint = endpoint
        self.fresh = fresh
        self.deadline = deadline


class RequestTokens(Action):
    """Request tokens from the allocator.

    :param tokens: number wanted now; 0 only reports ``left``.
    :param left: unspent tokens on this node's balance, so that spent tokens
        stop counting against the burst.
    """

    __slots__ = ("team", "tokens", "left")

    def __init__(self, team: str, tokens: int, left: int = 0) -> None:
        """Store the fields of the action."""
        self.team = team
        self.tokens = tokens
        self.left = left


class ReturnTokens(Action):
    """Return tokens that this node will not spend to the allocator.

    :param left: unspent tokens on this node's balance without them.
    """

    __slots__ = ("team", "tokens", "left")

    def __init__(self, team: str, tokens: int, left: int = 0) -> None:
        """Store the fields of the action."""
        self.team = team
        self.tokens = tokens
        self.left = left


class RequestConnections(Action):
    """Report to the allocator how many connections this node could use."""

    __slots__ = ("endpoint", "connections")

    def __init__(self, endpoint: str, connections: int) -> None:
        """Store the fields of the action."""
        self.endpoint = endpoint
        self.connections = connections


class ReportEndpoint(Action):
    """Report to the supervisor the state of an endpoint as seen by this node.

    :param healthy: whether new connections succeed.
    :param isolated: on a primary, whether no replica confirms its log.
    """

    __slots__ = ("endpoint", "healthy", "isolated")

    def __init__(self, endpoint: str, healthy: bool, isolated: bool = False) -> None:
        """Store the fields of the action."""
        self.endpoint = endpoint
        self.healthy = healthy
        self.isolated = isolated


class WakeAt(Action):
    """Send a Tick no later than this time; the earliest request counts."""

    __slots__ = ("time",)

    def __init__(self, time: float) -> None:
        """Store the fields of the action."""
        self.time = time


class DrainFinished(Action):
    """The drain is complete; the proxy may stop.

    :param cut: requests and transactions that were aborted at the deadline.
    """

    __slots__ = ("cut",)

    def __init__(self, cut: int) -> None:
        """Store the fields of the action."""
        self.cut = cut


class GroupQuiesced(Action):
    """No write or transaction of a draining group is open on this node.

    Sent once each time the view marks the group as draining. Writes that
    arrive during the drain wait until the group serves again.
    """

    __slots__ = ("group",)

    def __init__(self, group: str) -> None:
        """Store the fields of the action."""
        self.group = group
