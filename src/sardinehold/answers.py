"""Readers of endpoints' answers.

An answer is streamed to the caller as it arrives, except for its tail: the
messages that report success or failure are buffered until the engine has
decided.
"""

import typing

from sardinehold import errors
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import wire
from sardinehold.core import positions

MAX_HELD = 256 * 1024
"""Bytes of a write's answer that are buffered before its rows are forwarded."""

MAX_CONTROL_ROWS = 1_000
"""Maximum rows of an answer to a query of the proxy itself."""

STATUS_QUERY = "SELECT endpoint, role, term, received, applied FROM cluster_log_status"

_READY = ord("Z")
_ROW = ord("D")
_ERROR = ord("E")
_PARAMETER = ord("S")
_TERMINAL = frozenset(b"CEIs")
_ASYNCHRONOUS = frozenset(b"NSA")
_COPY = frozenset(b"GHW")
_COMPLETING = frozenset(b"123TnCIs")


class Collector:
    """Reader that collects the whole answer to a simple query of the proxy itself.

    :param finish: called with the collector when the answer is complete.
    """

    __slots__ = ("rows", "error", "done", "finish")

    def __init__(self, finish: "typing.Callable[[Collector], None]") -> None:
        """Create an empty collector."""
        self.rows: list[tuple[str | None, ...]] = []
        self.error: wire.Fields | None = None
        self.done = False
        self.finish = finish

    def feed(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read from ``start`` and return where reading stopped."""
        while not self.done:
            stop = wire.find_end(data, start, end)
            if not stop:
                break
            self._read(data[start], data[start + wire.HEADER : stop])
            start = stop
        return start

    def _read(self, kind: int, payload: wire.Buffer) -> None:
        if kind == _ROW and len(self.rows) < MAX_CONTROL_ROWS:
            self.rows.append(wire.parse_row(payload))
        elif kind == _ERROR:
            self.error = wire.parse_error(payload)
        elif kind == _READY:
            self.done = True

    def release(self) -> None:
        """Do nothing: the answer is not forwarded."""


class Sink(typing.Protocol):
    """Receiver of an answer."""

    def forward(self, data: bytes) -> None:
        """Send bytes to the caller."""

    def note_complete(self, answer: "Answer") -> None:
        """Note that the answer is complete."""


class AnswerRewriter:
    """Rewriter of the answer to a sequence whose messages were rewritten.

    Adds answers to messages that were not sent, and suppresses answers to
    messages that the proxy added.

    :param known: statements of the connection, updated by confirmed messages.
    :param confirmed: number of changes to the session's statements that succeeded.
    """

    __slots__ = ("expected_answers", "index", "known", "confirmed")

    def __init__(
        self,
        expected_answers: list[sequence_messages.ExpectedAnswer],
        known: prepared.ConnectionStatements,
    ) -> None:
        """Start at the first expected answer."""
        self.expected_answers = expected_answers
        self.index = 0
        self.known = known
        self.confirmed = 0

    def inject(self) -> bytes:
        """Return the answers to the unsent messages before the next sent one."""
        injected = b""
        while (
            self.index < len(self.expected_answers)
            and self.expected_answers[self.index].injected
        ):
            expected = self.expected_answers[self.index]
            injected += expected.injected
            self.confirmed += expected.confirms
            self.index += 1
        return injected

    def complete(self) -> bool:
        """Advance past a received answer; return whether to suppress it."""
        if self.index >= len(self.expected_answers):
            return False
        expected = self.expected_answers[self.index]
        self.index += 1
        self.confirmed += expected.confirms
        if expected.added:
            self.known.add(expected.added)
        if expected.dropped:
            self.known.discard(expected.dropped)
        return expected.suppressed


class Answer:
    """Reader that forwards the answer to a caller's request.

    :param sink: receiver of the answer.
    :param is_buffered: whether the answer is buffered up to ``MAX_HELD``, as for
        a write.
    :param rewriter: rewriter of the answer, None if it is forwarded unchanged.

    While ``is_open`` is set, the sequence has no Sync yet, and the caller waits
    for each part of the answer.
    """

    __slots__ = (
        "sink",
        "is_buffered",
        "rewriter",
        "held",
        "tail_start",
        "row_bytes_left",
        "sqlstate",
        "status",
        "done",
        "ends_inside_message",
        "is_open",
    )

    def __init__(
        self,
        sink: Sink,
        is_buffered: bool = False,
        rewriter: AnswerRewriter | None = None,
    ):
        """Create a reader before the first byte."""
        self.sink = sink
        self.is_buffered = is_buffered
        self.rewriter = rewriter
        self.held = bytearray()
        self.tail_start = -1
        self.row_bytes_left = 0
        self.sqlstate = ""
        self.status = ""
        self.done = False
        self.ends_inside_message = False
        self.is_open = False

    @property
    def confirmed(self) -> int:
        """Number of changes to the session's statements known to have succeeded."""
        return self.rewriter.confirmed if self.rewriter else 0

    def finish(self, answer: "Answer") -> None:
        """Notify the sink that the answer is complete."""
        self.sink.note_complete(self)

    def feed(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read from ``start`` and return where reading stopped.

        :raises sardinehold.errors.ProtocolViolation: the endpoint violated the
            protocol.
        """
        if self.row_bytes_left:
            stop = min(start + self.row_bytes_left, end)
            self.row_bytes_left -= stop - start
            self.held += data[start:stop]
            start = stop
        if self.rewriter is not None:
            return self._feed_rewritten(data, start, end)
        stop = self._find_boundary(data, start, end)
        self.held += data[start:stop]
        return stop

    def _find_boundary(self, data: wire.Buffer, start: int, end: int) -> int:
        """Return the end of the complete messages, or of the answer."""
        base = len(self.held) - start
        unpack_length = wire.unpack_length
        last = end - wire.HEADER
        while start <= last:
            kind = data[start]
            stop = start + 1 + unpack_length(data, start + 1)[0]
            if stop - start < wire.HEADER or kind in _COPY:
                raise _build_violation()
            if kind == _ROW:
                self.tail_start = -1
                if stop > end:
                    self.row_bytes_left = stop - end
                    return end
            elif stop > end:
                break
            elif kind == _READY:
                self._end(data, start, stop)
                return stop
            elif kind in _TERMINAL:
                self._note_terminal(kind, data, start, stop, base + start)
            elif kind == _PARAMETER:
                _check_parameter(data, start, stop)
            elif kind not in _ASYNCHRONOUS:
                self.tail_start = -1
            start = stop
        return start

    def _end(self, data: wire.Buffer, start: int, stop: int) -> None:
        if stop - start != wire.READY_SIZE:
            raise _build_violation()
        self.status = chr(data[start + wire.HEADER])
        self.done = True

    def _note_terminal(
        self, kind: int, data: wire.Buffer, start: int, stop: int, offset: int
    ) -> None:
        """Buffer from here on: this message reports success or failure."""
        if self.tail_start < 0:
            self.tail_start = offset
        if kind == _ERROR:
            fields = wire.parse_error(data[start + wire.HEADER : stop])
            self.sqlstate = fields.sqlstate

    def _feed_rewritten(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read message by message, suppressing and inserting answers."""
        rewriter = self.rewriter
        self.held += rewriter.inject()
        while end - start >= wire.HEADER and not self.done:
            kind = data[start]
            stop = start + 1 + wire.unpack_length(data, start + 1)[0]
            if stop - start < wire.HEADER or kind in _COPY:
                raise _build_violation()
            if kind == _ROW:
                self.tail_start = -1
                self.row_bytes_left = max(stop - end, 0)
                stop = min(stop, end)
            elif stop > end:
                break
            elif kind == _READY:
                self._end(data, start, stop)
            elif kind in _TERMINAL:
                self._note_terminal(kind, data, start, stop, len(self.held))
            elif kind == _PARAMETER:
                _check_parameter(data, start, stop)
            elif kind not in _ASYNCHRONOUS:
                self.tail_start = -1
            if kind not in _COMPLETING or not rewriter.complete():
                self.held += data[start:stop]
            start = stop
            if not self.sqlstate:
                self.held += rewriter.inject()
        return start

    def advance(self) -> None:
        """Insert answers to messages that were not sent, and forward them."""
        if not self.row_bytes_left and not self.sqlstate:
            self.held += self.rewriter.inject()
            self.release()

    def release(self) -> None:
        """Forward the part of an incomplete answer that need not be buffered."""
        held = self.held
        if self.is_buffered and len(held) <= MAX_HELD:
            return
        cut = self.tail_start if self.tail_start >= 0 else len(held)
        if self.is_open:
            cut = len(held)
        if not cut:
            return
        self.ends_inside_message = self.row_bytes_left > 0 and cut == len(held)
        self.sink.forward(bytes(held[:cut]))
        del held[:cut]
        self.tail_start = 0 if self.tail_start >= 0 and held else -1


def _check_parameter(data: wire.Buffer, start: int, stop: int) -> None:
    if not wire.keeps_reading(data[start + wire.HEADER : stop]):
        raise _build_violation()


def _build_violation() -> errors.ProtocolViolation:
    return errors.ProtocolViolation(
        "An endpoint sent an unexpected message.",
        "Check which program listens on its port.",
    )


class LogStatus(typing.NamedTuple):
    """Log status that an endpoint reports.

    :param confirmed: on a primary, the position that each replica has confirmed.
    """

    role: str
    applied: positions.Position
    received: positions.Position
    confirmed: tuple[tuple[str, positions.Position], ...]


def parse_status(rows: list[tuple[str | None, ...]]) -> LogStatus | None:
    """Parse the answer to the status query; return None if it is malformed."""
    try:
        _, role, term, received, applied = rows[0]
        own = positions.Position(int(term), int(received))
        seen = positions.Position(int(term), int(applied))
        confirmed = tuple(
            (name or "", positions.Position(int(replica_term), int(replica_offset)))
            for name, _, replica_term, replica_offset, _ in rows[1:]
        )
    except (IndexError, TypeError, ValueError):
        return None
    return LogStatus(role or "", seen, own, confirmed)
