"""Reads what endpoints answer.

An answer streams to the caller as it arrives, but for its tail: what tells
the caller that the statement succeeded or failed is kept until the engine has
decided.
"""

import typing

from sardinehold import errors
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import wire
from sardinehold.core import positions

MAX_HELD = 256 * 1024
"""Bytes of a write's answer that are kept before its rows are passed on."""

MAX_CONTROL_ROWS = 1_000
"""Rows of an answer that the proxy reads itself."""

STATUS_QUERY = "SELECT endpoint, role, term, received, applied FROM cluster_log_status"

_READY = ord("Z")
_ROW = ord("D")
_ERROR = ord("E")
_TERMINAL = frozenset(b"CEIs")
_ASYNCHRONOUS = frozenset(b"NSA")
_COPY = frozenset(b"GHW")
_COMPLETING = frozenset(b"123TnCIs")


class Collector:
    """Reads the whole answer to a simple query of the proxy's own.

    :param finish: called with the collector when the answer is complete.
    """

    __slots__ = ("rows", "error", "done", "finish")

    def __init__(self, finish: "typing.Callable[[Collector], None]") -> None:
        """Start before the answer."""
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
        """Pass nothing on."""


class Sink(typing.Protocol):
    """Where an answer goes."""

    def forward(self, data: bytes) -> None:
        """Pass bytes on to the caller."""

    def note_complete(self, answer: "Answer") -> None:
        """Take note that all of the answer has come."""


class AnswerRewriter:
    """What becomes of each answer to a sequence that was changed.

    :param known: the statements of the connection, kept up to date.
    :param confirmed: changes to the session's statements that succeeded.
    """

    __slots__ = ("steps", "place", "known", "confirmed")

    def __init__(
        self,
        steps: list[sequence_messages.ExpectedAnswer],
        known: prepared.ConnectionStatements,
    ) -> None:
        """Start at the first step."""
        self.steps = steps
        self.place = 0
        self.known = known
        self.confirmed = 0

    def inject(self) -> bytes:
        """Return the answers to messages that were not sent, up to the next sent."""
        injected = b""
        while self.place < len(self.steps) and self.steps[self.place].injected:
            step = self.steps[self.place]
            injected += step.injected
            self.confirmed += step.confirms
            self.place += 1
        return injected

    def complete(self) -> bool:
        """Take the next step; return whether the caller must not see it."""
        if self.place >= len(self.steps):
            return False
        step = self.steps[self.place]
        self.place += 1
        self.confirmed += step.confirms
        if step.added:
            self.known.add(step.added)
        if step.dropped:
            self.known.discard(step.dropped)
        return step.suppressed


class Answer:
    """Follows the answer to a caller's request.

    :param sink: where it goes.
    :param is_buffered: whether all of it is kept while it is small, as for a write.
    :param rewriter: what becomes of its parts, None when all pass through.

    While it ``is_open`` its sequence has no Sync yet, and the caller waits for
    each part of the answer.
    """

    __slots__ = (
        "sink",
        "is_buffered",
        "rewriter",
        "held",
        "tail_start",
        "rest",
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
        """Start before the answer."""
        self.sink = sink
        self.is_buffered = is_buffered
        self.rewriter = rewriter
        self.held = bytearray()
        self.tail_start = -1
        self.rest = 0
        self.sqlstate = ""
        self.status = ""
        self.done = False
        self.ends_inside_message = False
        self.is_open = False

    @property
    def confirmed(self) -> int:
        """Changes to the session's statements that are known to have succeeded."""
        return self.rewriter.confirmed if self.rewriter else 0

    def finish(self, answer: "Answer") -> None:
        """Tell the sink that all of the answer has come."""
        self.sink.note_complete(self)

    def feed(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read from ``start`` and return where reading stopped.

        :raises sardinehold.errors.ProtocolViolation: the endpoint does not
            follow the protocol.
        """
        if self.rest:
            stop = min(start + self.rest, end)
            self.rest -= stop - start
            self.held += data[start:stop]
            start = stop
        if self.rewriter is not None:
            return self._feed_plan(data, start, end)
        stop = self._walk(data, start, end)
        self.held += data[start:stop]
        return stop

    def _walk(self, data: wire.Buffer, start: int, end: int) -> int:
        """Find where the complete messages end, or the answer does."""
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
                    self.rest = stop - end
                    return end
            elif stop > end:
                break
            elif kind == _READY:
                self._end(data, start)
                return stop
            elif kind in _TERMINAL:
                self._note_terminal(kind, data, start, stop, base + start)
            elif kind not in _ASYNCHRONOUS:
                self.tail_start = -1
            start = stop
        return start

    def _end(self, data: wire.Buffer, start: int) -> None:
        self.status = chr(data[start + wire.HEADER])
        self.done = True

    def _note_terminal(
        self, kind: int, data: wire.Buffer, start: int, stop: int, place: int
    ) -> None:
        """Keep back from here what tells of success or failure."""
        if self.tail_start < 0:
            self.tail_start = place
        if kind == _ERROR:
            fields = wire.parse_error(data[start + wire.HEADER : stop])
            self.sqlstate = fields.sqlstate

    def _feed_plan(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read message by message, leaving out and putting in answers."""
        rewriter = self.rewriter
        self.held += rewriter.inject()
        while end - start >= wire.HEADER and not self.done:
            kind = data[start]
            stop = start + 1 + wire.unpack_length(data, start + 1)[0]
            if stop - start < wire.HEADER or kind in _COPY:
                raise _build_violation()
            if kind == _ROW:
                self.tail_start = -1
                self.rest = max(stop - end, 0)
                stop = min(stop, end)
            elif stop > end:
                break
            elif kind == _READY:
                self._end(data, start)
            elif kind in _TERMINAL:
                self._note_terminal(kind, data, start, stop, len(self.held))
            elif kind not in _ASYNCHRONOUS:
                self.tail_start = -1
            if kind not in _COMPLETING or not rewriter.complete():
                self.held += data[start:stop]
            start = stop
            if not self.sqlstate:
                self.held += rewriter.inject()
        return start

    def advance(self) -> None:
        """Put in answers to messages that were not sent, and pass them on."""
        if not self.rest and not self.sqlstate:
            self.held += self.rewriter.inject()
            self.release()

    def release(self) -> None:
        """Pass on what need not be kept while the answer is not complete."""
        held = self.held
        if self.is_buffered and len(held) <= MAX_HELD:
            return
        cut = self.tail_start if self.tail_start >= 0 else len(held)
        if self.is_open:
            cut = len(held)
        if not cut:
            return
        self.ends_inside_message = self.rest > 0 and cut == len(held)
        self.sink.forward(bytes(held[:cut]))
        del held[:cut]
        self.tail_start = 0 if self.tail_start >= 0 and held else -1


def _build_violation() -> errors.ProtocolViolation:
    return errors.ProtocolViolation(
        "An endpoint sent a message that was not asked for.",
        "Check what runs on its port.",
    )


class LogStatus(typing.NamedTuple):
    """The log status that an endpoint states.

    :param confirmed: on a primary, what each replica is known to have.
    """

    role: str
    applied: positions.Position
    received: positions.Position
    confirmed: tuple[tuple[str, positions.Position], ...]


def parse_status(rows: list[tuple[str | None, ...]]) -> LogStatus | None:
    """Return what the answer to the status query says, None if it is faulty."""
    try:
        _, role, term, received, applied = rows[0]
        own = positions.Position(int(term), int(received))
        seen = positions.Position(int(term), int(applied))
        confirmed = tuple(
            (name or "", positions.Position(int(replica_term), int(has)))
            for name, _, replica_term, has, _ in rows[1:]
        )
    except (IndexError, TypeError, ValueError):
        return None
    return LogStatus(role or "", seen, own, confirmed)
