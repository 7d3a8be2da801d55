"""Connections to endpoints over the line protocol."""

import asyncio
import math
import socket
import struct

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import ports
from sardinehold.node import statements
from sardinehold.platform import lines
from sardinehold.platform import records

INTERNAL_REQUEST_ID = "-"
"""Request identifier of statements that sardinehold itself sends."""

NOBODY = "-"
"""Who is connecting in the name of callers without a key."""

KEEPALIVE_IDLE = 2
"""Idle seconds before the first TCP keepalive probe; ``USER_TIMEOUT_MS`` ends a
connection that does not answer probes. An endpoint that is cut off drops its own side
after 3 s."""

KEEPALIVE_INTERVAL = 1
"""Seconds between keepalive probes."""

KEEPALIVE_COUNT = 2
"""Unanswered keepalive probes after which a connection counts as lost."""

MAX_DIGITS = 18
"""Digits of the largest number of a position; it fits into 64 bits."""

STATES = frozenset({"I", "T", "E"})
"""Transaction states after an answer."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``struct linger`` with a timeout of 0 s: a close resets the connection, and the
kernel discards the bytes that were not delivered."""

USER_TIMEOUT_MS = 3000
"""Milliseconds for which sent bytes may stay unacknowledged; an endpoint that is cut
off drops its side after the same time."""

FAILURES_BY_CODE = {
    "BUSY": statements.Failure.BUSY,
    "LAGGING": statements.Failure.LAGGING,
    "READONLY": statements.Failure.READ_ONLY,
    "WRONGNODE": statements.Failure.WRONG_ENDPOINT,
    "CONNLIMIT": statements.Failure.CONNECTION_LIMIT,
    "ABORTED": statements.Failure.ABORTED,
    "NOSTMT": statements.Failure.UNKNOWN_STATEMENT,
    "FAILED": statements.Failure.FAILED,
    "TIMEOUT": statements.Failure.TIMEOUT,
    "INDOUBT": statements.Failure.IN_DOUBT,
    "DENIED": statements.Failure.DENIED,
    "NODB": statements.Failure.UNKNOWN_ROUTE,
    "TOOLARGE": statements.Failure.TOO_LARGE,
    "MALFORMED": statements.Failure.MALFORMED,
}
"""Failures by protocol error code, for callers and endpoints alike."""


def parse_position(text: str) -> positions.Position | None:
    """Parse a log position ``TERM.NUMBER``; return None for ``-``.

    :raises ValueError: the text is neither.
    """
    if text == "-":
        return None
    term, _, number = text.partition(".")
    return positions.Position(parse_number(term), parse_number(number))


def parse_number(text: str) -> int:
    """Parse a number of a term or position.

    :raises ValueError: it has other characters than digits, or more digits than nodes
        can forward to each other.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_DIGITS:
        raise ValueError(f"number {text!r:.80}")
    return int(text)


def format_position(position: positions.Position | None) -> str:
    """Format a log position as ``TERM.NUMBER``, None as ``-``."""
    return "-" if position is None else f"{position.term}.{position.offset}"


def parse_status_row(row: str) -> ports.LogStatus:
    """Parse the row that STATUS, PAUSE, RESUME and STEPDOWN return.

    :raises ValueError: the row has another form.
    """
    role, term, received, held, lag_ms, *_ = row.split(" ")
    position = parse_position(received) or positions.START
    lag = float(lag_ms) * records.MS
    if not math.isfinite(lag):
        raise ValueError(f"lag {lag_ms!r}")
    # The field "term held" is the term of the pause in force, 0 without a pause.
    return ports.LogStatus(
        role == "primary", parse_number(term), position, parse_number(held), lag
    )


def format_query(request_id: str, *fields: str) -> bytes:
    """Encode a query from the fields of its text.

    :raises sardinehold.node.ports.StatementTooLong: it exceeds the protocol's limit.
    """
    try:
        return lines.format_line("QUERY", request_id, *fields)
    except lines.LineTooLong as error:
        raise ports.StatementTooLong from error


def format_prepare(definition: statements.Definition) -> bytes:
    """Encode the query that prepares a statement under its shared name.

    :raises sardinehold.node.ports.StatementTooLong: it exceeds the protocol's limit.
    """
    kind = "WRITE" if definition.writes else "READ"
    fields = ("PREPARE", definition.shared_name, kind, definition.shape)
    return format_query(INTERNAL_REQUEST_ID, *fields)


def exceeds_limit(statement: statements.Statement) -> bool:
    """Return whether a statement is too long for an endpoint, even without AFTER."""
    if statement.kind is statements.Kind.EXECUTE:
        request_id = statement.request_id
    elif statement.kind is statements.Kind.PREPARE:
        request_id = INTERNAL_REQUEST_ID
    else:
        return False
    added = statements.NAME_LENGTH - len(statement.name)
    sent = EMPTY_QUERY_BYTES + len(request_id) + len(statement.text) + added
    return sent > lines.MAX_LINE


def list_fields(statement: statements.Statement) -> tuple[str, ...]:
    """Return the fields of a statement's text, as an endpoint is sent it."""
    if statement.kind is statements.Kind.EXECUTE:
        return "EXECUTE", statement.definition.shared_name, statement.arguments
    return (statement.text,)


EMPTY_QUERY_BYTES = len(lines.format_line("QUERY", "-", "")) - 1
"""Bytes of a query without its identifier and text."""


class Connection(asyncio.Protocol):
    """One connection to an endpoint; implements the node's connection port."""

    def __init__(self) -> None:
        """Create the protocol; asyncio supplies the transport later."""
        self.on_lost = None
        self._transport: asyncio.Transport | None = None
        self._reader = lines.LineReader()
        self._loop = asyncio.get_running_loop()
        self._closed = False
        self._pending: list[asyncio.Future] = []
        self._rows: list[str] = []
        self._outcome: tuple[str, statements.Failure | None, str] = ("", None, "")

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        self._transport = transport
        configure_socket(transport.get_extra_info("socket"))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending statements."""
        self._fail(repr(error) if error else "the endpoint closed the connection")

    def data_received(self, data: bytes) -> None:
        """Parse answers; a malformed one ends the connection."""
        try:
            for line in self._reader.feed(data):
                self._handle_line(line)
        except (
            lines.LineTooLong,
            lines.MalformedLine,
            ValueError,
            IndexError,
        ) as error:
            self._fail(f"malformed answer: {error!r}")

    def _handle_line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "ROW":
            self._rows.append(rest)
        elif word == "COMPLETE":
            self._outcome = (rest, None, "")
        elif word == "ERROR":
            code, _, text = rest.partition(" ")
            failure = FAILURES_BY_CODE.get(code, statements.Failure.FAILED)
            self._outcome = ("", failure, text)
        elif word == "READY":
            status, position = rest.split(" ", 1)
            if status not in STATES:
                raise ValueError(f"state {status!r:.80}")
            self._finish(status, parse_position(position))
        else:
            raise ValueError(f"unknown word {word!r}")

    def _finish(self, status: str, position: positions.Position | None) -> None:
        completion_tag, failure, detail = self._outcome
        answer = statements.Answer(
            self._rows, completion_tag, failure, detail, status, position
        )
        self._rows = []
        self._outcome = ("", None, "")
        if not self._pending:
            raise ValueError("answer without a pending statement")
        future = self._pending.pop(0)
        if not future.done():
            future.set_result(answer)

    def _fail(self, reason: str) -> None:
        if self._closed:
            return
        self._closed = True
        if not self._transport.is_closing():
            # A partition that heals must not deliver what was given up.
            self._transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            self._transport.abort()
        waiting, self._pending = self._pending, []
        for future in waiting:
            if not future.done():
                future.set_exception(ports.ConnectionLost(True, reason=reason))
        if self.on_lost is not None:
            self.on_lost()

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        if self._closed:
            return
        self._closed = True
        self.on_lost = None
        self._transport.write(lines.format_line("CLOSE"))
        self._transport.close()
        for future in self._pending:
            if not future.done():
                future.set_exception(ports.ConnectionLost(True))
        self._pending = []

    # Statements

    async def start(self, line: bytes, deadline: float) -> None:
        """Send a START line and wait until the endpoint is ready.

        :raises sardinehold.node.ports.OpeningFailed: the endpoint refused, or
            did not answer before the deadline.
        """
        future = self._add_pending()
        self._transport.write(line)
        try:
            answer = await self._wait([future], deadline)
        except ports.ConnectionLost as error:
            # An endpoint refuses with an ERROR line and closes the connection.
            _, failure, detail = self._outcome
            raise ports.OpeningFailed(failure, detail or str(error)) from error
        if answer[0].error is not None:
            self.close()
            raise ports.OpeningFailed(answer[0].error, answer[0].detail)

    async def run(
        self,
        statement: statements.Statement,
        deadline: float,
        after: positions.Position | None = None,
    ) -> statements.Answer:
        """Run a caller's statement.

        :param after: log position that the endpoint must have reached.
        :raises sardinehold.node.ports.StatementTooLong: no line can hold it.
        """
        prefix = () if after is None else ("AFTER", format_position(after))
        query = format_query(statement.request_id, *prefix, *list_fields(statement))
        return (await self._run_queries([query], deadline))[0]

    async def roll_back(self, deadline: float) -> statements.Answer:
        """Roll back the open transaction, which the caller did not commit."""
        return await self._run_internal("ROLLBACK", deadline=deadline)

    async def reset(self, deadline: float) -> statements.Answer:
        """Discard all variables and prepared statements."""
        return await self._run_internal("RESET", deadline=deadline)

    async def set_values(
        self, values: dict[str, str], deadline: float
    ) -> list[statements.Answer]:
        """Set variables."""
        queries = [
            format_query(INTERNAL_REQUEST_ID, "SET", name, value)
            for name, value in values.items()
        ]
        return await self._run_queries(queries, deadline)

    async def prepare(
        self, definitions: list[statements.Definition], deadline: float
    ) -> list[statements.Answer]:
        """Prepare statements under their shared names.

        :raises sardinehold.node.ports.StatementTooLong: no line can hold one of them.
        """
        return await self._run_queries(list(map(format_prepare, definitions)), deadline)

    async def read_status(self, deadline: float) -> ports.LogStatus | None:
        """Read the log status; return None if the endpoint refused."""
        return await self._query_status("STATUS", deadline=deadline)

    async def pause(self, term: int, deadline: float) -> ports.LogStatus | None:
        """Pause replication on a replica; return None if it refused."""
        return await self._query_status("PAUSE", str(term), deadline=deadline)

    async def resume(self, deadline: float) -> ports.LogStatus | None:
        """Resume replication; return None if the endpoint refused."""
        return await self._query_status("RESUME", deadline=deadline)

    async def step_down(self, term: int, deadline: float) -> ports.LogStatus | None:
        """Demote a primary of a lower term; return None if it refused."""
        return await self._query_status("STEPDOWN", str(term), deadline=deadline)

    async def _query_status(
        self, *fields: str, deadline: float
    ) -> ports.LogStatus | None:
        answer = await self._run_internal(*fields, deadline=deadline)
        if answer.error is not None or not answer.rows:
            return None
        try:
            return parse_status_row(answer.rows[0])
        except ValueError:
            # Callers of this method treat a malformed status like a refusal.
            return None

    def _add_pending(self) -> asyncio.Future:
        future = self._loop.create_future()
        # The waiting task may have been cancelled: an error must not be reported as
        # "never retrieved".
        future.add_done_callback(_retrieve_error)
        self._pending.append(future)
        return future

    async def _run_internal(self, *fields: str, deadline: float) -> statements.Answer:
        """Run a statement that no caller sent."""
        query = format_query(INTERNAL_REQUEST_ID, *fields)
        return (await self._run_queries([query], deadline))[0]

    async def _run_queries(
        self, queries: list[bytes], deadline: float
    ) -> list[statements.Answer]:
        if self._closed:
            raise ports.ConnectionLost(False)
        futures = [self._add_pending() for _ in queries]
        self._transport.write(b"".join(queries))
        return await self._wait(futures, deadline)

    async def _wait(
        self, futures: list[asyncio.Future], deadline: float
    ) -> list[statements.Answer]:
        """Wait for all answers; a timeout or cancellation closes the connection."""
        timeout = max(0.0, deadline - clock.read())
        try:
            _, pending = await asyncio.wait(futures, timeout=timeout)
        except asyncio.CancelledError:
            self._fail("the statement was cancelled")
            raise
        if pending:
            self._fail("no answer in time")
            for future in futures:
                if future.done():
                    future.exception()
            raise ports.ConnectionLost(True, is_timeout=True)
        return [future.result() for future in futures]


class Connector:
    """Opens connections; implements the node's connector port."""

    async def open(
        self, record: catalog.EndpointRecord, team: str, deadline: float
    ) -> Connection:
        """Open a connection for a team.

        :raises sardinehold.node.ports.OpeningFailed: the endpoint refused, did not
            answer before the deadline, or cannot be told the names.
        """
        try:
            start = lines.format_line(
                "START", record.group, team or NOBODY, record.name
            )
        except (ValueError, lines.LineTooLong) as error:
            # A name that no line can hold tells nothing about the endpoint.
            raise ports.OpeningFailed(statements.Failure.BUSY, repr(error)) from error
        loop = asyncio.get_running_loop()
        timeout = max(0.0, deadline - clock.read())
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    Connection, record.host, record.port
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise ports.OpeningFailed(None, repr(error)) from error
        await connection.start(start, deadline)
        return connection


def _retrieve_error(future: asyncio.Future) -> None:
    """Mark a future's exception as retrieved."""
    if not future.cancelled():
        future.exception()


def configure_socket(endpoint: socket.socket) -> None:
    """Disable Nagle's algorithm and enable keepalive and the user timeout."""
    endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
