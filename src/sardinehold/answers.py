"""Reads what endpoints answer.

An answer streams to the caller as it arrives, but for its tail: what tells
the caller that the statement succeeded or failed is kept until the engine has
decided.
"""

import typing

from sardinehold import errors
from sardinehold import prepared
from sardinehold import sequences
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


class Answer:
    """Follows the answer to a caller's request.

    :param send: passes bytes on to the caller.
    :param finish: called when the answer is complete.
    :param keeps: whether all of it is kept while it is small, as for a write.
    :param steps: what becomes of each answer, None when all pass through.
    :param known: the statements of the connection, kept up to date.
    """

    __slots__ = (
        "held",
        "guard",
        "rest",
        "sqlstate",
        "status",
        "done",
        "cut_frame",
        "keeps",
        "steps",
        "step",
        "known",
        "confirmed",
        "send",
        "finish",
    )

    def __init__(
        self,
        send: typing.Callable[[bytes], None],
        finish: typing.Callable[[], None],
        keeps: bool = False,
        steps: list[sequences.Step] | None = None,
        known: prepared.ConnectionStatements | None = None,
    ) -> None:
        """Start before the answer."""
        self.held = bytearray()
        self.guard = -1
        self.rest = 0
        self.sqlstate = ""
        self.status = ""
        self.done = False
        self.cut_frame = False
        self.keeps = keeps
        self.steps = steps
        self.step = 0
        self.known = known
        self.confirmed = 0
        self.send = send
        self.finish = finish

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
        if self.steps is not None:
            return self._feed_steps(data, start, end)
        stop = self._walk(data, start, end)
        self.held += data[start:stop]
        return stop

    def _walk(self, data: wire.Buffer, start: int, end: int) -> int:
        """Find where the complete messages end, or the answer does."""
        base = len(self.held) - start
        position = start
        while end - position >= wire.HEADER:
            kind = data[position]
            (length,) = wire.unpack_length(data, position + 1)
            stop = position + 1 + length
            if kind == _ROW and length >= 4:
                self.guard = -1
                if stop > end:
                    self.rest = stop - end
                    return end
            elif not self._note(kind, data, position, stop, end, base + position):
                break
            position = stop
            if kind == _READY:
                break
        return position

    def _note(
        self, kind: int, data: wire.Buffer, start: int, stop: int, end: int, place: int
    ) -> bool:
        """Note a message that is not a row; return whether it is complete."""
        if stop < start + wire.HEADER or kind in _COPY:
            raise errors.ProtocolViolation(
                "An endpoint sent a message that was not asked for.",
                "Check what runs on its port.",
            )
        if stop > end:
            return False
        if kind == _READY:
            self.status = chr(data[start + wire.HEADER])
            self.done = True
        elif kind in _TERMINAL:
            if self.guard < 0:
                self.guard = place
            if kind == _ERROR:
                fields = wire.parse_error(data[start + wire.HEADER : stop])
                self.sqlstate = fields.sqlstate
        elif kind not in _ASYNCHRONOUS:
            self.guard = -1
        return True

    def _feed_steps(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read message by message, leaving out and putting in answers."""
        self._inject()
        while end - start >= wire.HEADER and not self.done:
            kind = data[start]
            (length,) = wire.unpack_length(data, start + 1)
            stop = start + 1 + length
            if kind == _ROW and length >= 4:
                self.guard = -1
                self.rest = max(stop - end, 0)
                stop = min(stop, end)
                self.held += data[start:stop]
            elif not self._note(kind, data, start, stop, end, len(self.held)):
                break
            elif kind not in _COMPLETING or not self._complete():
                self.held += data[start:stop]
            start = stop
            if not self.sqlstate:
                self._inject()
        return start

    def _inject(self) -> None:
        """Put in the answers to messages that were not sent."""
        steps = self.steps
        while self.step < len(steps) and steps[self.step].injected:
            step = steps[self.step]
            self.held += step.injected
            self.confirmed += step.confirms
            self.step += 1

    def _complete(self) -> bool:
        """Take the next step; return whether the caller must not see it."""
        if self.step >= len(self.steps):
            return False
        step = self.steps[self.step]
        self.step += 1
        self.confirmed += step.confirms
        if step.added:
            self.known.add(step.added)
        if step.dropped:
            self.known.discard(step.dropped)
        return step.swallowed

    def release(self) -> None:
        """Pass on what need not be kept while the answer is not complete."""
        held = self.held
        if self.keeps and len(held) <= MAX_HELD:
            return
        cut = self.guard if self.guard >= 0 else len(held)
        if not cut:
            return
        self.cut_frame = self.rest > 0 and cut == len(held)
        self.send(bytes(held[:cut]))
        del held[:cut]
        self.guard = 0 if self.guard >= 0 and held else -1


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
