"""Actions that the engine of one node asks its daemon for."""

from sardinehold import errors


class Action:
    """Base of all actions."""

    __slots__ = ()


class SessionAccepted(Action):
    """Let the caller in.

    :param team: the team's name, ``""`` on an open route.
    :param token: the session token to announce, ``""`` when there is none.
    """

    __slots__ = ("session_id", "team", "token")

    def __init__(self, session_id: int, team: str, token: str = "") -> None:
        """Keep the parts of the action."""
        self.session_id = session_id
        self.team = team
        self.token = token


class SessionRefused(Action):
    """Send the error and close.

    :param retry_at: not before this time, to slow down wrong keys.
    """

    __slots__ = ("session_id", "error", "retry_at")

    def __init__(
        self, session_id: int, error: errors.RequestError, retry_at: float = 0.0
    ) -> None:
        """Keep the parts of the action."""
        self.session_id = session_id
        self.error = error
        self.retry_at = retry_at


class CloseSession(Action):
    """End an open session with a fatal error (key withdrawn, shutdown)."""

    __slots__ = ("session_id", "error")

    def __init__(self, session_id: int, error: errors.RequestError) -> None:
        """Keep the parts of the action."""
        self.session_id = session_id
        self.error = error


class Dispatch(Action):
    """Send a request on a connection; it counts as sent from here on.

    :param setup: statements to run on the connection first, their answers
        swallowed.
    :param want_position: ask for the log status behind the request, and hold
        the tail of its answer until ``Acknowledge`` or ``Refuse``.
    """

    __slots__ = (
        "request_id",
        "session_id",
        "connection_id",
        "endpoint",
        "setup",
        "want_position",
    )

    def __init__(
        self,
        request_id: int,
        session_id: int,
        connection_id: int,
        endpoint: str,
        setup: tuple[str, ...] = (),
        want_position: bool = False,
    ) -> None:
        """Keep the parts of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.connection_id = connection_id
        self.endpoint = endpoint
        self.setup = setup
        self.want_position = want_position


class AnswerLocally(Action):
    """Answer without an endpoint: SET and SHOW of ``sardinehold.*``.

    :param tag: command tag, such as ``SET``.
    :param column: name of the one column of a SHOW, ``""`` for none.
    :param value: its value.
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
        """Keep the parts of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.tag = tag
        self.column = column
        self.value = value


class Acknowledge(Action):
    """Pass on the answer that was held.

    :param token: the new session token, ``""`` when it did not change.
    """

    __slots__ = ("request_id", "session_id", "token")

    def __init__(self, request_id: int, session_id: int, token: str = "") -> None:
        """Keep the parts of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.token = token


class Refuse(Action):
    """Answer with an error in place of anything held.

    :param fatal: whether the session ends with it, as when the transaction
        state of the caller can no longer be told.
    """

    __slots__ = ("request_id", "session_id", "error", "fatal")

    def __init__(
        self,
        request_id: int,
        session_id: int,
        error: errors.RequestError,
        fatal: bool = False,
    ) -> None:
        """Keep the parts of the action."""
        self.request_id = request_id
        self.session_id = session_id
        self.error = error
        self.fatal = fatal


class OpenConnection(Action):
    """Open a connection to an endpoint, before the deadline."""

    __slots__ = ("connection_id", "endpoint", "deadline")

    def __init__(self, connection_id: int, endpoint: str, deadline: float) -> None:
        """Keep the parts of the action."""
        self.connection_id = connection_id
        self.endpoint = endpoint
        self.deadline = deadline


class CloseConnection(Action):
    """Close a connection and forget what arrives on it."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Keep the parts of the action."""
        self.connection_id = connection_id


class CancelStatement(Action):
    """Send a CancelRequest for what runs on a connection."""

    __slots__ = ("connection_id",)

    def __init__(self, connection_id: int) -> None:
        """Keep the parts of the action."""
        self.connection_id = connection_id


class ProbeEndpoint(Action):
    """Read an endpoint's log status.

    :param fresh: over a connection opened for it.
    """

    __slots__ = ("endpoint", "fresh", "deadline")

    def __init__(self, endpoint: str, fresh: bool, deadline: float) -> None:
        """Keep the parts of the action."""
        self.endpoint = endpoint
        self.fresh = fresh
        self.deadline = deadline


class RequestTokens(Action):
    """Ask the allocator for tokens.

    :param tokens: how many are wanted now; 0 only reports ``left``.
    :param left: unspent tokens on this node's balance, so that what was
        spent stops counting against the burst.
    """

    __slots__ = ("team", "tokens", "left")

    def __init__(self, team: str, tokens: int, left: int = 0) -> None:
        """Keep the parts of the action."""
        self.team = team
        self.tokens = tokens
        self.left = left


class ReturnTokens(Action):
    """Give tokens back that this node will not spend.

    :param left: unspent tokens on this node's balance without them.
    """

    __slots__ = ("team", "tokens", "left")

    def __init__(self, team: str, tokens: int, left: int = 0) -> None:
        """Keep the parts of the action."""
        self.team = team
        self.tokens = tokens
        self.left = left


class RequestConnections(Action):
    """Tell the allocator how many connections this node could use."""

    __slots__ = ("endpoint", "connections")

    def __init__(self, endpoint: str, connections: int) -> None:
        """Keep the parts of the action."""
        self.endpoint = endpoint
        self.connections = connections


class ReportEndpoint(Action):
    """Tell the supervisor what this node sees of an endpoint.

    :param healthy: whether a new connection works.
    :param isolated: on a primary, whether no replica confirms its log.
    """

    __slots__ = ("endpoint", "healthy", "isolated")

    def __init__(self, endpoint: str, healthy: bool, isolated: bool = False) -> None:
        """Keep the parts of the action."""
        self.endpoint = endpoint
        self.healthy = healthy
        self.isolated = isolated


class WakeAt(Action):
    """Send a Tick at this time at the latest; the earliest one counts."""

    __slots__ = ("time",)

    def __init__(self, time: float) -> None:
        """Keep the parts of the action."""
        self.time = time


class DrainFinished(Action):
    """Nothing runs any more; the proxy may stop.

    :param cut: requests and transactions that were cut at the deadline.
    """

    __slots__ = ("cut",)

    def __init__(self, cut: int) -> None:
        """Keep the parts of the action."""
        self.cut = cut


class GroupQuiesced(Action):
    """Nothing of a draining group runs on this node, and nothing new starts.

    Sent once for each time that the view shows the group as draining; writes
    that arrive meanwhile wait until it serves again.
    """

    __slots__ = ("group",)

    def __init__(self, group: str) -> None:
        """Keep the parts of the action."""
        self.group = group
