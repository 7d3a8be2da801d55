"""A caller's request on its way through the proxy."""

import typing

from sardinehold import answers
from sardinehold import endpoints
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import sequence_rewriting
from sardinehold import wire


class Content(typing.Protocol):
    """What a request asks: a simple query or an extended sequence."""

    size: int

    def compose(
        self, known: prepared.ConnectionStatements
    ) -> sequence_messages.Outgoing:
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


class RequestObserver(typing.Protocol):
    """The data path, as its requests see it."""

    def note_started(self, request: "Request") -> None:
        """Take note that the caller gets the first bytes of an answer."""

    def note_answered(self, request: "Request") -> None:
        """Take note that all has come that the request waits for."""


class Request:
    """One request of a session, from its arrival to its answer.

    :param observer: the data path that carries it.
    :param arrived: when it arrived, on the loop's clock.
    :param hides_ready: whether the proxy added its Sync, so that the caller
        must not see the ReadyForQuery.
    :param hidden: whether the caller must see none of its answer.
    :param is_open: whether its Sync has still to come.
    """

    __slots__ = (
        "request_id",
        "observer",
        "owner",
        "content",
        "arrived",
        "hides_ready",
        "hidden",
        "connection_id",
        "connection",
        "answer",
        "status",
        "started",
        "finished",
        "is_open",
        "was_open",
        "wants_position",
        "rewriter",
        "sent",
    )

    def __init__(
        self,
        request_id: int,
        observer: RequestObserver,
        owner: Owner,
        content: Content,
        arrived: float,
        hides_ready: bool = False,
        hidden: bool = False,
        is_open: bool = False,
    ) -> None:
        """Keep the parts of the request."""
        self.request_id = request_id
        self.observer = observer
        self.owner = owner
        self.content = content
        self.arrived = arrived
        self.hides_ready = hides_ready
        self.hidden = hidden
        self.connection_id = 0
        self.connection: endpoints.EndpointConnection | None = None
        self.answer: answers.Answer | None = None
        self.status: answers.Collector | None = None
        self.started = False
        self.finished = False
        self.is_open = is_open
        if is_open:
            self.was_open = True
            self.rewriter: sequence_rewriting.SequenceRewriter | None = None
            self.sent = 0
        else:
            self.was_open = False

    @property
    def is_inside_message(self) -> bool:
        """Whether the caller has got a part of a message so far."""
        return self.answer is not None and self.answer.ends_inside_message

    def send(self, want_position: bool) -> None:
        """Send the request on its connection.

        :param want_position: whether the log status is read behind it.
        """
        if self.was_open:
            self._send_open(want_position)
            return
        connection = self.connection
        payload, steps = self.content.compose(connection.statements)
        answer_rewriter = (
            answers.AnswerRewriter(steps, connection.statements) if steps else None
        )
        self.answer = answers.Answer(
            self, want_position or self.hidden, answer_rewriter
        )
        self.status = None
        if not want_position:
            connection.readers.append(self.answer)
            connection.transport.write(payload)
            return
        self.status = answers.Collector(self._note_status)
        connection.send(payload + _STATUS_MESSAGE, self.answer, self.status)

    def _send_open(self, want_position: bool) -> None:
        """Send a sequence as far as it has come."""
        connection = self.connection
        self.wants_position = want_position
        self.rewriter = sequence_rewriting.SequenceRewriter(connection.statements)
        self.sent = 0
        self.status = None
        self.answer = answers.Answer(
            self, False, answers.AnswerRewriter([], self.rewriter.known)
        )
        connection.readers.append(self.answer)
        self.send_more()

    def send_more(self) -> None:
        """Send what has come of the sequence since; all of it before dispatch."""
        answer = self.answer
        if answer is None or self.connection.closed:
            return
        piece = self.content.parts[self.sent :]
        self.sent = len(self.content.parts)
        payload, steps = self.rewriter.compose(piece)
        answer.rewriter.steps.extend(steps)
        answer.is_open = self.is_open
        if self.is_open:
            payload += wire.FLUSH
        else:
            payload += wire.SYNC
            if self.wants_position:
                self.status = answers.Collector(self._note_status)
                self.connection.readers.append(self.status)
                payload += _STATUS_MESSAGE
        self.connection.transport.write(payload)
        answer.advance()

    def abandon(self) -> None:
        """Roll back a sequence whose Sync will not come, by its connection."""
        self.is_open = False
        if self.connection is not None:
            self.connection.disconnect()

    def forward(self, data: bytes) -> None:
        """Pass a part of the answer on to the caller."""
        if self.hidden or self.finished:
            return
        if not self.started:
            self.started = True
            self.observer.note_started(self)
            if self.finished:
                return
        self.owner.send(data)

    def note_complete(self, answer: answers.Answer) -> None:
        """Take note that the answer has come; the log status may follow."""
        if self.status is None and not self.finished:
            self.observer.note_answered(self)

    def _note_status(self, status: answers.Collector) -> None:
        if not self.finished:
            self.observer.note_answered(self)


_STATUS_MESSAGE = wire.build_query(answers.STATUS_QUERY)
