"""Endpoint with canned responses, and closed-loop callers, for the benchmarks.

Both have as little overhead as asyncio allows, so that a benchmark measures the
component between them.
"""

import asyncio
import struct
import time

STATEMENT = b"SELECT 1"
_ROW = struct.pack("!hi", 1, 1) + b"1"
_COLUMN = struct.pack("!h", 1) + b"one\0" + struct.pack("!ihihih", 0, 0, 23, 4, -1, 0)


def frame(kind: bytes, payload: bytes) -> bytes:
    """Return one message of the PostgreSQL protocol."""
    return kind + struct.pack("!i", len(payload) + 4) + payload


ANSWER = (
    frame(b"T", _COLUMN)
    + frame(b"D", _ROW)
    + frame(b"C", b"SELECT 1\0")
    + frame(b"Z", b"I")
)
QUERY = frame(b"Q", STATEMENT + b"\0")


def _describe_status(name: str) -> bytes:
    columns = ("endpoint", "role", "term", "received", "applied")
    described = b"".join(
        column.encode() + b"\0" + struct.pack("!ihihih", 0, 0, 25, -1, -1, 0)
        for column in columns
    )
    rows = b""
    for values in ((name, "primary", "1", "10", "10"), ("other", "", "1", "10", "10")):
        row = struct.pack("!h", len(values))
        for value in values:
            row += struct.pack("!i", len(value)) + value.encode()
        rows += frame(b"D", row)
    return (
        frame(b"T", struct.pack("!h", len(columns)) + described)
        + rows
        + frame(b"C", b"SELECT 2\0")
        + frame(b"Z", b"I")
    )


class CannedEndpoint(asyncio.Protocol):
    """Answers the start-up, status queries, and any other message with one row."""

    def __init__(self) -> None:
        """Create a connection that awaits the start-up message."""
        self.started = False
        self.buffer = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport
        self.status = _describe_status("e1")

    def data_received(self, data: bytes) -> None:
        """Answer each complete message."""
        data = self.buffer + data if self.buffer else data
        if not self.started:
            self.started = True
            self.transport.write(
                frame(b"R", struct.pack("!i", 0))
                + frame(b"K", struct.pack("!ii", 1, 1))
                + frame(b"Z", b"I")
            )
            return
        answers = []
        position = 0
        while position + 5 <= len(data):
            (length,) = struct.unpack_from("!i", data, position + 1)
            stop = position + length + 1
            if stop > len(data):
                break
            status = data.find(b"cluster_log_status", position, stop) >= 0
            answers.append(self.status if status else ANSWER)
            position = stop
        self.buffer = data[position:]
        if answers:
            self.transport.write(b"".join(answers))


class Counters:
    """Counters of the callers of a run.

    :param latencies: seconds of each statement, recorded if ``keep`` is set.
    :param ready: callers that have signed in.
    """

    def __init__(self, keep: bool = False) -> None:
        """Create counters at zero."""
        self.statements = 0
        self.errors = 0
        self.latencies: list[float] = []
        self.keep = keep
        self.ready = 0


class Caller(asyncio.Protocol):
    """Signs in and sends statements sequentially.

    :param counters: counters of the run, shared by all callers.
    :param startup: the start-up message.
    :param query: the message of each statement.
    """

    def __init__(
        self, counters: Counters, startup: bytes, password: bytes, query: bytes
    ) -> None:
        """Create a caller that is not signed in."""
        self.counters = counters
        self.startup = startup
        self.password = password
        self.query = query
        self.signed_in = False
        self.running = False
        self.sent = 0.0
        self.buffer = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the start-up message."""
        self.transport = transport
        transport.write(self.startup)

    def send(self) -> None:
        """Send one statement."""
        self.sent = time.perf_counter()
        self.transport.write(self.query)

    def data_received(self, data: bytes) -> None:
        """Count a complete answer and trigger the next statement."""
        if self.running and data[-6:-1] == b"Z\0\0\0\5":
            counters = self.counters
            counters.statements += 1
            if data[0] == 69:
                counters.errors += 1
            if counters.keep:
                counters.latencies.append(time.perf_counter() - self.sent)
            self.handle_answer()
            return
        if not self.signed_in:
            self.buffer += data
            if data[:1] == b"R" and data[5:9] == b"\0\0\0\3":
                self.transport.write(self.password)
            if self.buffer[-6:-1] == b"Z\0\0\0\5":
                self.signed_in = True
                self.buffer = b""
                self.counters.ready += 1

    def handle_answer(self) -> None:
        """Send the next statement."""
        self.send()


class PacedCaller(Caller):
    """A caller that sends only when ``send`` is called."""

    def handle_answer(self) -> None:
        """Send nothing."""


def build_startup(route: str, user: str = "bench") -> bytes:
    """Return a start-up message for a route."""
    body = struct.pack("!i", 196608)
    body += b"user\0" + user.encode() + b"\0database\0" + route.encode() + b"\0\0"
    return struct.pack("!i", len(body) + 4) + body


def build_password(key: str) -> bytes:
    """Return a password message."""
    return frame(b"p", key.encode() + b"\0")


async def sign_in(
    address: tuple[str, int],
    count: int,
    counters: Counters,
    caller: type[Caller] = Caller,
    route: str = "letters",
    key: str = "",
    query: bytes = QUERY,
) -> list[Caller]:
    """Connect ``count`` callers and wait until all are signed in."""
    loop = asyncio.get_running_loop()
    startup, password = build_startup(route), build_password(key)
    callers = []
    for _ in range(count):
        _, made = await loop.create_connection(
            lambda: caller(counters, startup, password, query), *address
        )
        callers.append(made)
    while counters.ready < count:
        await asyncio.sleep(0.01)
    return callers


async def run_closed_loop(
    address: tuple[str, int], connections: int, seconds: float, key: str = ""
) -> tuple[float, Counters]:
    """Return statements per second over ``connections`` callers, and the counters."""
    counters = Counters()
    callers = await sign_in(address, connections, counters, key=key)
    for caller in callers:
        caller.running = True
        caller.send()
    await asyncio.sleep(min(1.0, seconds / 4))
    before, start = counters.statements, time.perf_counter()
    await asyncio.sleep(seconds)
    rate = (counters.statements - before) / (time.perf_counter() - start)
    for caller in callers:
        caller.transport.abort()
    return rate, counters
