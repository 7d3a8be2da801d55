"""Callers' connections over the line protocol."""

import asyncio
import math
import typing

from sardinehold.node import caller_limits
from sardinehold.node import clock
from sardinehold.node import loops
from sardinehold.node import outcomes
from sardinehold.node import session as sessions
from sardinehold.node import statements
from sardinehold.platform import endpoints
from sardinehold.platform import lines

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

START_TIMEOUT = 10.0
"""Seconds that a caller may take to send START. Without the limit, callers that
never send it would hold file descriptors."""

MAX_PENDING_BYTES = 64 * 1024
"""Bytes behind a complete line of one caller above which its connection is not read."""

PIECE_BYTES = 64 * 1024
"""Bytes of rows above which an answer is written in pieces, as the caller reads."""

RUNNING_FACTOR = 2
"""Bytes held for each byte of a running statement: its text, and what is sent of it."""

FULL = "this node has no room for more sessions"
"""Detail of the refusal of a connection or session; callers may use another node."""

_CODES_BY_FAILURE = {
    failure: code for code, failure in endpoints.FAILURES_BY_CODE.items()
}


def parse_statement(request_id: str, text: str) -> statements.Statement:
    """Parse the text of a query into a statement.

    :raises sardinehold.platform.lines.MalformedLine: the text is not a
        statement that callers may send. Control statements that endpoints
        accept, such as PAUSE, must not be forwarded.
    """
    word, _, rest = text.partition(" ")
    parse = _PARSERS.get(word)
    if parse is None:
        raise lines.MalformedLine
    statement = parse(request_id, text, rest)
    if statement is None:
        raise lines.MalformedLine
    return statement


def _parse_bare(kind: statements.Kind) -> typing.Callable:
    def parse(request_id: str, text: str, rest: str) -> statements.Statement | None:
        if rest or text.endswith(" "):
            return None
        return statements.Statement(request_id, text, kind)

    return parse


def _parse_begin(request_id: str, text: str, rest: str) -> statements.Statement | None:
    if text == "BEGIN":
        return statements.Statement(request_id, text, statements.Kind.BEGIN)
    if text == "BEGIN READ":
        return statements.Statement(request_id, text, statements.Kind.BEGIN_READ)
    return None


def _parse_read(request_id: str, text: str, rest: str) -> statements.Statement | None:
    if not rest or " " in rest:
        return None
    return statements.Statement(request_id, text, statements.Kind.READ)


def _parse_write(request_id: str, text: str, rest: str) -> statements.Statement | None:
    item, blank, _ = rest.partition(" ")
    if not item or not blank:
        return None
    return statements.Statement(request_id, text, statements.Kind.WRITE)


def _parse_set(request_id: str, text: str, rest: str) -> statements.Statement | None:
    name, blank, value = rest.partition(" ")
    if not name or not blank:
        return None
    return statements.Statement(request_id, text, statements.Kind.SET, name, value)


def _parse_prepare(
    request_id: str, text: str, rest: str
) -> statements.Statement | None:
    parts = rest.split(" ", 2)
    if len(parts) < 3 or parts[1] not in ("READ", "WRITE") or not all(parts):
        return None
    definition = statements.Definition(parts[1] == "WRITE", parts[2])
    return statements.Statement(
        request_id, text, statements.Kind.PREPARE, parts[0], definition=definition
    )


def _parse_execute(
    request_id: str, text: str, rest: str
) -> statements.Statement | None:
    name, blank, arguments = rest.partition(" ")
    if not name or not blank or not arguments:
        return None
    return statements.Statement(
        request_id, text, statements.Kind.EXECUTE, name, arguments=arguments
    )


def _parse_deallocate(
    request_id: str, text: str, rest: str
) -> statements.Statement | None:
    if not rest or " " in rest:
        return None
    return statements.Statement(request_id, text, statements.Kind.DEALLOCATE, rest)


_PARSERS = {
    "BEGIN": _parse_begin,
    "COMMIT": _parse_bare(statements.Kind.COMMIT),
    "ROLLBACK": _parse_bare(statements.Kind.ROLLBACK),
    "READ": _parse_read,
    "WRITE": _parse_write,
    "SET": _parse_set,
    "PREPARE": _parse_prepare,
    "EXECUTE": _parse_execute,
    "DEALLOC": _parse_deallocate,
}


def format_answer(answer: statements.Answer) -> bytes:
    """Encode an answer as protocol lines."""
    return b"".join(format_pieces(answer))


def format_pieces(answer: statements.Answer) -> typing.Iterator[bytes]:
    """Encode an answer as pieces of ``PIECE_BYTES`` or of one line."""
    parts = []
    size = 0
    for row in answer.rows:
        parts.append(lines.format_line("ROW", row))
        size += len(row)
        if size >= PIECE_BYTES:
            yield b"".join(parts)
            parts.clear()
            size = 0
    if answer.error is None:
        parts.append(lines.format_line("COMPLETE", answer.completion_tag))
    else:
        parts.append(format_error(answer.error, answer.detail))
    position = endpoints.format_position(answer.position)
    parts.append(lines.format_line("READY", answer.status, position))
    yield b"".join(parts)


def format_error(failure: statements.Failure, detail: str = "") -> bytes:
    """Encode a failure, by its code and a text."""
    code = _CODES_BY_FAILURE[failure]
    return lines.format_message("ERROR", code, text=detail or failure.value)


class Caller(asyncio.Protocol):
    """One caller's connection and its session."""

    def __init__(self, node: "nodes.Node") -> None:
        """Create the protocol; asyncio supplies the transport later."""
        self.session: sessions.Session | None = None
        self.starts_idle = True
        self._node = node
        self._lines = lines.LineQueue()
        self._transport: asyncio.Transport | None = None
        self._account = caller_limits.Account(self, clock.read())
        self._running_bytes = 0
        self._unread_bytes = 0
        self._is_running = False
        self._is_sending = False
        self._received_at: float | None = None
        self._dated_lines = 0
        self._line_received_at: float | None = None
        self._is_unsettled = False
        self._is_ended = False
        self._is_paused = False
        self._has_long_line = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._start_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start the timeout for START."""
        self._transport = transport
        endpoints.configure_socket(transport.get_extra_info("socket"))
        loop = asyncio.get_running_loop()
        self._start_timer = loop.call_later(START_TIMEOUT, self._end)
        self._node.callers.add(self)
        if self._node.guard.admit(self._account):
            return
        self._refuse_session()

    def connection_lost(self, error: Exception | None) -> None:
        """Release the session's resources."""
        self._is_ended = True
        self._writable.set()
        self._start_timer.cancel()
        self._lines.clear()
        self._node.guard.budget.remove(self._account)
        self._node.callers.discard(self)
        if self.session is not None:
            self.session.close()

    def pause_writing(self) -> None:
        """Delay the next answer until the caller reads (back-pressure)."""
        self._writable.clear()
        self._unread_bytes = self._transport.get_write_buffer_size()
        if not self._is_ended and not self._is_sending:
            self._account.answer_deadline = caller_limits.compute_answer_deadline(
                clock.read(), self._unread_bytes
            )
        self._update_held()

    def resume_writing(self) -> None:
        """Continue sending answers."""
        self._writable.set()
        self._unread_bytes = 0
        if not self._is_ended and not self._is_sending:
            self._account.answer_deadline = math.inf
        self._update_held()

    def data_received(self, data: bytes) -> None:
        """Queue the lines that the bytes complete; pause reading when full."""
        if self._is_ended:
            return
        was_unfinished = self._lines.count_unfinished()
        try:
            completed = self._lines.feed(data)
        except lines.LineTooLong:
            self._refuse_long_line()
            return
        if not self._lines.count_unfinished():
            self._account.line_deadline = math.inf
        elif completed or not was_unfinished:
            self._start_line()
        if self._lines.has_lines():
            self._date_lines()
            self._start_running()
        self._update_held()
        self._pause_if_full()

    def _refuse_long_line(self) -> None:
        """Refuse the unfinished line after the answers to the lines before it.

        An error at once would stand between the rows of an answer that is being sent.
        """
        self._lines.drop_unfinished()
        self._account.line_deadline = math.inf
        self._has_long_line = True
        if not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
        self._update_held()
        self._start_running()

    def _date_lines(self) -> None:
        """Date lines that were received after a suspension of the VM."""
        now = clock.read()
        received_at = self._node.date_input(now)
        if received_at < now:
            if not self._dated_lines:
                self._received_at = received_at
            self._dated_lines = self._lines.count_lines()
            self._is_unsettled = True

    def _start_running(self) -> None:
        """Run the lines that wait."""
        if not self._is_running:
            self._is_running = self._account.is_occupied = True
            self._node.spawn(self._run)

    def _start_line(self) -> None:
        """Set the deadline of an unfinished line."""
        now = clock.read()
        self._account.line_deadline = now + caller_limits.LINE_TIMEOUT

    def _update_held(self) -> None:
        """Update the bytes that are held for the caller."""
        state = self.session.state_bytes if self.session is not None else 0
        self._node.guard.update(
            self._account,
            len(self._lines) + self._running_bytes + self._unread_bytes + state,
        )

    def _pause_if_full(self) -> None:
        """Stop reading if enough lines wait, or if all callers hold too much."""
        if self._is_ended:
            return
        is_full = self._lines.has_lines() and len(self._lines) > MAX_PENDING_BYTES
        if (
            is_full or self._node.guard.budget.pause_if_large(self._account)
        ) and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()
            # The caller cannot send the rest of its last line.
            self._account.line_deadline = math.inf

    def resume_reading(self) -> None:
        """Read again if neither this caller nor the sum of all holds too much."""
        if not self._is_paused or self._is_ended or self._account.is_paused:
            return
        if self._has_long_line:
            return
        if not self._lines.has_lines() or len(self._lines) <= MAX_PENDING_BYTES // 2:
            self._is_paused = False
            self._transport.resume_reading()
            if (
                self._lines.count_unfinished()
                and self._account.line_deadline == math.inf
            ):
                self._start_line()

    async def _run(self) -> None:
        try:
            while self._lines.has_lines() and not self._is_ended:
                if self._is_unsettled:
                    # The caller may have left meanwhile.
                    self._is_unsettled = False
                    await loops.settle()
                    continue
                await self._handle_next_line()
                await self._writable.wait()
                self._running_bytes = 0
                self._update_held()
                self.resume_reading()
                if self._lines.has_lines():
                    # Statements that need no endpoint would run without a pause.
                    await asyncio.sleep(0)
            if self._has_long_line and not self._is_ended:
                self._refuse(statements.Failure.TOO_LARGE)
        except Exception:
            # Without an answer, the caller would wait for one.
            self._end()
            raise
        finally:
            self._is_running = False
            self._account.is_occupied = False
            self._account.has_transaction = (
                self.session is not None and self.session.transaction is not None
            )
            self._account.idle_since = clock.read()
            self._node.close_if_stopping(self)

    async def _handle_next_line(self) -> None:
        self._line_received_at = self._received_at if self._dated_lines else None
        self._dated_lines = max(0, self._dated_lines - 1)
        try:
            line = self._lines.take()
        except lines.LineTooLong:
            self._refuse(statements.Failure.TOO_LARGE)
        except lines.MalformedLine:
            self._refuse(statements.Failure.MALFORMED)
        else:
            self._running_bytes = RUNNING_FACTOR * len(line)
            await self._handle_line(line)

    async def _handle_line(self, line: str) -> None:
        try:
            word, *fields = lines.split_fields(line, 2)
            del line
            if word == "CLOSE":
                self._end()
            elif word == "START" and self.session is None and len(fields) == 2:
                await self._start(*fields)
            elif word == "QUERY" and self.session is not None and len(fields) == 2:
                await self._query(*fields)
            else:
                raise lines.MalformedLine
        except lines.MalformedLine:
            self._refuse(statements.Failure.MALFORMED)

    async def _start(self, route: str, key: str) -> None:
        self._start_timer.cancel()
        if not self._node.guard.may_start():
            self._refuse_session()
            return
        await self._node.await_configuration()
        session = sessions.Session(self._node, route, key)
        try:
            session.authorize()
        except outcomes.StatementFailed as error:
            self._node.note_refused_start(route, error)
            self._refuse(error.failure, error.detail)
            return
        self.session = session
        self._account.has_session = True
        self._write(lines.format_line("READY", "I", "-"))

    async def _query(self, request_id: str, text: str) -> None:
        if request_id == endpoints.INTERNAL_REQUEST_ID:
            raise lines.MalformedLine
        try:
            statement = parse_statement(request_id, text)
        except lines.MalformedLine:
            self._node.note_refused_line(statements.Failure.MALFORMED, request_id)
            answer = statements.Answer(
                [], error=statements.Failure.MALFORMED, status=self.session.status
            )
        else:
            statement.received_at = self._line_received_at
            statement.exceeds_limit = endpoints.exceeds_limit(statement)
            answer = await self._node.serve(self.session, statement)
        await self._send_answer(answer)
        if outcomes.ends_session(answer):
            self._end()

    async def _send_answer(self, answer: statements.Answer) -> None:
        """Send an answer; a long one in pieces, as the caller reads."""
        size = sum(map(len, answer.rows))
        if size <= PIECE_BYTES:
            self._write(format_answer(answer))
            return
        self._running_bytes = size
        self._is_sending = True
        self._account.answer_deadline = caller_limits.compute_answer_deadline(
            clock.read(), size
        )
        self._update_held()
        for piece in format_pieces(answer):
            await self._writable.wait()
            if self._is_ended:
                return
            self._write(piece)
        self._is_sending = False
        if self._writable.is_set():
            self._account.answer_deadline = math.inf

    def is_session_idle(self) -> bool:
        """Return whether the session has no open transaction or pending line."""
        if self._is_running or self._lines.has_lines():
            return False
        return self.session is None or self.session.status == "I"

    def close(self) -> None:
        """Close an idle session."""
        self._end()

    def _write(self, data: bytes) -> None:
        if not self._is_ended:
            self._transport.write(data)

    def _refuse(self, failure: statements.Failure, detail: str = "") -> None:
        """Send an error and close; the framing of later bytes is unknown."""
        self._node.note_refused_line(failure)
        self._write(format_error(failure, detail))
        self._end()

    def _refuse_session(self) -> None:
        """Send an error and close: the process has no room for the session."""
        detail = outcomes.add_retry_hint(FULL, caller_limits.REFUSE_SECONDS)
        self._write(format_error(statements.Failure.BUSY, detail))
        self._end()

    def abort(self) -> None:
        """Close at once, and drop the answers that the caller has not read."""
        self._release()
        self._node.guard.budget.remove(self._account)
        self._transport.abort()

    def _end(self) -> None:
        if not self._is_ended:
            self._release()
            deadline = clock.read() + caller_limits.CLOSE_TIMEOUT
            if self._account.answer_deadline < math.inf:
                # A long answer that is already in the buffer keeps its time.
                deadline = max(deadline, self._account.answer_deadline)
            self._account.answer_deadline = deadline
            self._transport.close()
            self._update_held()

    def _release(self) -> None:
        """Mark the connection as ended, and drop the lines that wait."""
        self._is_ended = True
        self._lines.clear()
        self._account.line_deadline = math.inf
