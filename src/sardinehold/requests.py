"""Processing of one caller's request by the proxy."""

import typing

from sardinehold import answers
from sardinehold import composition
from sardinehold import endpoints
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import wire


class Content(typing.Protocol):
    """Content of a request: a simple query or an extended sequence."""

    size: int

    def compose(
        self, known: prepared.ConnectionStatements
    ) -> sequence_messages.Outgoing:
        """Return the bytes to send to a connection."""

    def undo(self, confirmed: int) -> None:
        """Revert the changes that failed messages made to the session."""

    def answer_locally(self, tag: str, column: str, value: str) -> bytes:
        """Return the answer to a statement that needs no endpoint."""


class Owner(typing.Protocol):
    """Interface of the session that a request belongs to."""

    session_id: int
    status: str
    paused: bool
    skipping: bool

    def send(self, data: bytes) -> None:
        """Send bytes of an answer to the caller."""

    def finish(self, request: "Request", answer: bytes, status: str) -> None:
        """Send the end of the answer."""

    def fail(self, request: "Request", error: Exception, fatal: bool) -> None:
        """Send an error in place of the buffered part of the answer."""


class RequestObserver(typing.Protocol):
    """Interface of the data path for progress of its requests."""

    def note_started(self, request: "Request") -> None:
        """Note that the first bytes of an answer are sent to the caller."""

    def note_answered(self, request: "Request") -> None:
        """Note that the answer, and the log status if requested, are complete."""


class Request:
    """One request of a session, from its arrival to its answer.

    :param observer: data path that runs it.
    :param arrived: time of its arrival, a reading of the loop's clock.
    :param hides_ready: whether the proxy added the Sync, so that the caller
        must not see the ReadyForQuery.
    :param hidden: whether the caller must not see any of the answer.
    :param is_open: whether its Sync is yet to come.
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
        """Create a request that is not dispatched."""
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
            self.rewriter: composition.SequenceRewriter | None = None
            self.sent = 0
        else:
            self.was_open = False

    @property
    def is_inside_message(self) -> bool:
        """Whether the caller has received only a part of a message."""
        return self.answer is not None and self.answer.ends_inside_message

    def send(self, want_position: bool, hides_status: bool = False) -> None:
        """Send the request on its connection.

        :param want_position: whether its answer waits for the position in the log.
        :param hides_status: whether the position is not read on this connection.
        """
        reads_status = want_position and not hides_status
        if self.was_open:
            self._send_open(reads_status)
            return
        connection = self.connection
        payload, expected_answers = self.content.compose(connection.statements)
        answer_rewriter = (
            answers.AnswerRewriter(expected_answers, connection.statements)
            if expected_answers
            else None
        )
        self.answer = answers.Answer(
            self, want_position or self.hidden, answer_rewriter
        )
        self.status = None
        if not reads_status:
            connection.readers.append(self.answer)
            connection.transport.write(payload)
            return
        self.status = answers.Collector(self._note_status)
        connection.send(payload + _STATUS_MESSAGE, self.answer, self.status)

    def _send_open(self, want_position: bool) -> None:
        """Send the messages received so far of a sequence without a Sync."""
        connection = self.connection
        self.wants_position = want_position
        self.rewriter = composition.SequenceRewriter(connection.statements)
        self.sent = 0
        self.status = None
        self.answer = answers.Answer(
            self, False, answers.AnswerRewriter([], self.rewriter.known)
        )
        connection.readers.append(self.answer)
        self.send_more()

    def send_more(self) -> None:
        """Send the messages received since the last call; no-op before dispatch."""
        answer = self.answer
        if answer is None or self.connection.closed:
            return
        new_messages = self.content.messages[self.sent :]
        self.sent = len(self.content.messages)
        payload, expected_answers = self.rewriter.rewrite(new_messages)
        answer.rewriter.expected_answers.extend(expected_answers)
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
        """Close the connection, to roll back a sequence whose Sync will not come."""
        self.is_open = False
        if self.connection is not None:
            self.connection.disconnect()

    def forward(self, data: bytes) -> None:
        """Send a part of the answer to the caller."""
        if self.hidden or self.finished:
            return
        if not self.started:
            self.started = True
            self.observer.note_started(self)
            if self.finished:
                return
        self.owner.send(data)

    def note_complete(self, answer: answers.Answer) -> None:
        """Report the complete answer, unless the log status is yet to arrive."""
        if self.status is None and not self.finished:
            self.observer.note_answered(self)

    def _note_status(self, status: answers.Collector) -> None:
        if not self.finished:
            self.observer.note_answered(self)


_STATUS_MESSAGE = wire.build_query(answers.STATUS_QUERY)
