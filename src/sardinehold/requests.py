"""A caller's request on its way through the proxy."""

import typing

from sardinehold import answers
from sardinehold import prepared
from sardinehold import sequences


class Content(typing.Protocol):
    """What a request asks: a simple query or an extended sequence."""

    size: int

    def compose(self, known: prepared.ConnectionStatements) -> sequences.Outgoing:
        """Return what to send to a connection."""

    def undo(self, confirmed: int) -> None:
        """Take back what failed messages did to the session."""

    def answer_locally(self, tag: str, column: str, value: str) -> bytes:
        """Return the answer to a statement that needs no endpoint."""


class Owner(typing.Protocol):
    """The session that a request belongs to, as the data path sees it."""

    session_id: int
    status: str
    paused: bool
    skipping: bool

    def send(self, data: bytes) -> None:
        """Pass bytes on to the caller."""

    def finish(self, request: "Request", answer: bytes, status: str) -> None:
        """Give the caller the end of its answer."""

    def fail(self, request: "Request", error: Exception, fatal: bool) -> None:
        """Give the caller an error in place of what was held."""


class Request:
    """One request of a session, from its arrival to its answer.

    :param arrived: when it arrived, on the loop's clock.
    :param hides_ready: whether the proxy added its Sync, so that the caller
        must not see the ReadyForQuery.
    :param hidden: whether the caller must see none of its answer.
    """

    __slots__ = (
        "request_id",
        "owner",
        "content",
        "arrived",
        "hides_ready",
        "hidden",
        "connection_id",
        "answer",
        "started",
    )

    def __init__(
        self,
        request_id: int,
        owner: Owner,
        content: Content,
        arrived: float,
        hides_ready: bool = False,
        hidden: bool = False,
    ) -> None:
        """Keep the parts of the request."""
        self.request_id = request_id
        self.owner = owner
        self.content = content
        self.arrived = arrived
        self.hides_ready = hides_ready
        self.hidden = hidden
        self.connection_id = 0
        self.answer: answers.Answer | None = None
        self.started = False

    @property
    def is_cut(self) -> bool:
        """Whether the caller has got a part of a message so far."""
        return self.answer is not None and self.answer.cut_frame
