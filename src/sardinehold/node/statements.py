"""Statements and answers, independent of the wire protocol."""

import enum
import hashlib

NAME_BYTES = 16
"""Bytes of the digest in a prepared statement's name: two texts do not share one."""

NAME_PREFIX = "p_"

NAME_LENGTH = len(NAME_PREFIX) + 2 * NAME_BYTES
"""Characters of a prepared statement's name at endpoints."""


class Kind(enum.Enum):
    """Kind of a statement."""

    BEGIN = "begin"
    BEGIN_READ = "begin read"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class Statement:
    """One statement of a caller.

    :param request_id: the caller's identifier, passed on to the endpoint.
    :param text: the statement as sent, passed on unchanged.
    :param name: of the variable or prepared statement, ``""`` for none.
    :param value: value that SET assigns to the variable.
    :param definition: definition of a PREPARE or EXECUTE, None for other kinds.
    :param arguments: arguments of EXECUTE, as sent.
    :param received_at: when it may have reached this node, None if just now.
    :param exceeds_limit: whether it is longer than what an endpoint can be sent.
    """

    __slots__ = (
        "request_id",
        "text",
        "kind",
        "name",
        "value",
        "definition",
        "arguments",
        "received_at",
        "exceeds_limit",
    )

    def __init__(
        self,
        request_id: str,
        text: str,
        kind: Kind,
        name: str = "",
        value: str = "",
        definition: "Definition | None" = None,
        arguments: str = "",
    ) -> None:
        """Initialize the statement."""
        self.request_id = request_id
        self.text = text
        self.kind = kind
        self.name = name
        self.value = value
        self.definition = definition
        self.arguments = arguments
        self.received_at: float | None = None
        self.exceeds_limit = False


class Definition:
    """Definition of a prepared statement.

    :param writes: whether running it changes data.
    :param shape: what it does, in the endpoint's own words: any text.
    """

    __slots__ = ("writes", "shape", "_shared_name")

    def __init__(self, writes: bool, shape: str) -> None:
        """Initialize the definition."""
        self.writes = writes
        self.shape = shape
        self._shared_name = ""

    @property
    def shared_name(self) -> str:
        """Name under which it is prepared on connections, equal for equal forms.

        A digest, since the shape may have any characters and any length.
        """
        if not self._shared_name:
            form = f"{'w' if self.writes else 'r'} {self.shape}".encode()
            digest = hashlib.blake2b(form, digest_size=NAME_BYTES)
            self._shared_name = NAME_PREFIX + digest.hexdigest()
        return self._shared_name


class Answer:
    """Answer to one statement.

    :param rows: its rows, as sent.
    :param completion_tag: completion tag of a success.
    :param error: kind of the error, None for a success.
    :param detail: the endpoint's error text.
    :param status: transaction status after the answer: ``I``, ``T`` or ``E``.
    :param position: the endpoint's log position, None if the answer has none.
    """

    __slots__ = ("rows", "completion_tag", "error", "detail", "status", "position")

    def __init__(
        self,
        rows: list[str],
        completion_tag: str = "",
        error: "Failure | None" = None,
        detail: str = "",
        status: str = "I",
        position: object = None,
    ) -> None:
        """Initialize the answer."""
        self.rows = rows
        self.completion_tag = completion_tag
        self.error = error
        self.detail = detail
        self.status = status
        self.position = position


class Failure(enum.Enum):
    """Why an endpoint, or this node, did not execute a statement."""

    BUSY = "busy"
    """Nothing ran: there is no capacity."""

    LAGGING = "lagging"
    """Nothing ran: the log has not reached the required position."""

    READ_ONLY = "read only"
    """Nothing ran: the endpoint is not the primary."""

    WRONG_ENDPOINT = "wrong endpoint"
    """Nothing ran: the address now belongs to another endpoint."""

    CONNECTION_LIMIT = "connection limit"
    """Nothing ran: the endpoint is at its connection limit."""

    ABORTED = "aborted"
    """The transaction was rolled back."""

    UNKNOWN_STATEMENT = "unknown statement"
    """Nothing ran: there is no prepared statement of this name."""

    FAILED = "failed"
    """The statement ran and failed."""

    TIMEOUT = "timeout"
    """The statement may have run; there was no answer in time."""

    IN_DOUBT = "in doubt"
    """The write or commit was sent; whether it took effect is unknown."""

    DENIED = "denied"
    """The key is unknown or was withdrawn."""

    UNKNOWN_ROUTE = "unknown route"
    """No route has this name."""

    TOO_LARGE = "too large"
    """A message exceeds the protocol's limit."""

    MALFORMED = "malformed"
    """A message does not follow the protocol."""


def is_write(statement: Statement) -> bool:
    """Return whether a statement changes data."""
    if statement.kind is Kind.EXECUTE:
        return statement.definition is not None and statement.definition.writes
    return statement.kind is Kind.WRITE
