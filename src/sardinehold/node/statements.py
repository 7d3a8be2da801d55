"""Statements as a node sees them, whatever protocol brought them."""

import enum


class Kind(enum.Enum):
    """What a statement does."""

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
    :param value: what SET gives the variable.
    :param definition: what PREPARE defines, None for other kinds.
    :param arguments: what EXECUTE passes, as sent.
    """

    __slots__ = (
        "request_id",
        "text",
        "kind",
        "name",
        "value",
        "definition",
        "arguments",
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
        """Keep the parts of the statement."""
        self.request_id = request_id
        self.text = text
        self.kind = kind
        self.name = name
        self.value = value
        self.definition = definition
        self.arguments = arguments


class Definition:
    """What a prepared statement stands for.

    :param writes: whether running it changes data.
    :param shape: the endpoint's own name of the statement's form.
    """

    __slots__ = ("writes", "shape")

    def __init__(self, writes: bool, shape: str) -> None:
        """Keep the parts of the definition."""
        self.writes = writes
        self.shape = shape

    @property
    def shared_name(self) -> str:
        """The name under which connections hold it, equal for equal forms."""
        return f"{'w' if self.writes else 'r'}_{self.shape}"


class Answer:
    """What an endpoint answered to one statement.

    :param rows: its rows, as sent.
    :param signature: what a success ends with.
    :param error: the error's kind, None for a success.
    :param detail: the endpoint's text of the error.
    :param status: transaction status behind the answer: ``I``, ``T`` or ``E``.
    :param position: the endpoint's log position, None if it told none.
    """

    __slots__ = ("rows", "signature", "error", "detail", "status", "position")

    def __init__(
        self,
        rows: list[str],
        signature: str = "",
        error: "Failure | None" = None,
        detail: str = "",
        status: str = "I",
        position: object = None,
    ) -> None:
        """Keep the parts of the answer."""
        self.rows = rows
        self.signature = signature
        self.error = error
        self.detail = detail
        self.status = status
        self.position = position


class Failure(enum.Enum):
    """Why an endpoint, or this node, did not do what a statement asks."""

    BUSY = "busy"
    """Nothing ran: there is no room."""

    LAGGING = "lagging"
    """Nothing ran: the log lacks the position that was asked for."""

    READ_ONLY = "read only"
    """Nothing ran: the endpoint is not the primary."""

    WRONG_ENDPOINT = "wrong endpoint"
    """Nothing ran: another endpoint uses the address now."""

    CONNECTION_LIMIT = "connection limit"
    """Nothing ran: the endpoint takes no more connections."""

    ABORTED = "aborted"
    """The transaction was rolled back; nothing of it is kept."""

    UNKNOWN_STATEMENT = "unknown statement"
    """Nothing ran: there is no prepared statement of this name."""

    FAILED = "failed"
    """The statement ran and failed."""

    TIMEOUT = "timeout"
    """The statement may have run; no answer came in time."""

    IN_DOUBT = "in doubt"
    """The write or commit was sent; whether it took effect is not known."""

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
