"""Minimal PostgreSQL client with little overhead, for load generation."""

import contextlib

import anyio
import anyio.abc

from sardinehold import errors
from sardinehold import wire

RECEIVE_BYTES = 65536
TOKEN_PARAMETER = "sardinehold.session"


_CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class Answer:
    """Response to one statement.

    :param row: values of the last row as text; empty without rows.
    :param sqlstate: SQLSTATE of the error, ``""`` on success.
    :param outcome: effect of the statement as stated in the error's details.
    """

    __slots__ = ("row", "sqlstate", "outcome", "message")

    def __init__(self) -> None:
        """Create an empty response."""
        self.row: tuple[str | None, ...] = ()
        self.sqlstate = ""
        self.outcome = ""
        self.message = ""

    def is_refused(self) -> bool:
        """Return whether the statement is known not to have run."""
        return self.outcome == errors.Outcome.NOT_RUN.value


class ConnectionClosed(Exception):
    """The connection was closed; the effect of a running statement is unknown."""


class Caller:
    """One connection to a proxy.

    :param token: latest session token sent by the proxy, ``""`` before the first.
    """

    __slots__ = ("stream", "buffer", "token", "address")

    def __init__(self, stream: anyio.abc.SocketStream, address: str) -> None:
        """Wrap a connected stream; see :func:`connect`."""
        self.stream = stream
        self.buffer = bytearray()
        self.token = ""
        self.address = address

    async def execute(self, sql: str) -> Answer:
        """Run one statement with the simple query protocol.

        :raises ConnectionClosed: the connection ended before ReadyForQuery.
        """
        try:
            await self.stream.send(wire.build_query(sql))
        except _CONNECTION_ERRORS as error:
            raise ConnectionClosed from error
        return await self.read_answer()

    async def read_answer(self) -> Answer:
        """Read messages up to ReadyForQuery."""
        answer = Answer()
        while True:
            kind, payload = await self._read_message()
            if kind == b"D":
                answer.row = wire.parse_row(payload)
            elif kind == b"E":
                _read_error(payload, answer)
            elif kind == b"S":
                self._read_parameter(payload)
            elif kind == b"R":
                await self._answer_authentication(payload)
            elif kind == b"Z":
                return answer

    async def close(self) -> None:
        """Send Terminate and close the connection."""
        with anyio.move_on_after(1):
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.ClosedResourceError
            ):
                await self.stream.send(wire.build_frame(b"X"))
        await self.stream.aclose()

    async def _read_message(self) -> tuple[bytes, bytes]:
        while True:
            end = wire.find_end(self.buffer, 0, len(self.buffer))
            if end:
                kind = bytes(self.buffer[:1])
                payload = bytes(self.buffer[wire.HEADER : end])
                del self.buffer[:end]
                return kind, payload
            await self._receive()

    async def _receive(self) -> None:
        try:
            self.buffer += await self.stream.receive(RECEIVE_BYTES)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            raise ConnectionClosed from error

    async def _answer_authentication(self, payload: bytes) -> None:
        if wire.unpack_length(payload, 0)[0] == wire.CLEARTEXT_PASSWORD:
            raise errors.AuthenticationError(
                "The proxy requires a key.", "Provide the team's key."
            )

    def _read_parameter(self, payload: bytes) -> None:
        name, value, _ = payload.split(b"\0", 2)
        if name.decode() == TOKEN_PARAMETER:
            self.token = value.decode()


class _UnauthenticatedCaller(Caller):
    """A connection that answers the password request with its key."""

    __slots__ = ("key",)

    async def _answer_authentication(self, payload: bytes) -> None:
        if wire.unpack_length(payload, 0)[0] == wire.CLEARTEXT_PASSWORD:
            await self.stream.send(wire.build_frame(b"p", self.key.encode() + b"\0"))


async def connect(
    address: str, route: str, team: str, key: str, token: str = "", max_age: str = ""
) -> Caller:
    """Connect to a proxy and authenticate.

    :param address: ``host:port``.
    :param token: token of the session to resume, ``""`` for a new session.
    :param max_age: accepted staleness with its unit, ``""`` for none.
    :raises ConnectionClosed: the proxy is unreachable or refused the connection.
    """
    host, _, port = address.rpartition(":")
    try:
        stream = await anyio.connect_tcp(host, int(port))
    except OSError as error:
        raise ConnectionClosed from error
    caller = _UnauthenticatedCaller(stream, address)
    caller.key = key
    caller.token = token
    try:
        await stream.send(_build_startup(route, team, token, max_age))
        answer = await caller.read_answer()
    except (ConnectionClosed, anyio.BrokenResourceError) as error:
        await stream.aclose()
        raise ConnectionClosed from error
    if answer.sqlstate:
        await stream.aclose()
        raise ConnectionClosed(answer.message)
    return caller


def _build_startup(route: str, team: str, token: str, max_age: str) -> bytes:
    options = []
    if token:
        options.append(f"-c sardinehold.session={token}")
    if max_age:
        options.append(f"-c sardinehold.max_age={max_age}")
    parameters = {"user": team, "database": route}
    if options:
        parameters["options"] = " ".join(options)
    return wire.build_startup(parameters)


def _read_error(payload: bytes, answer: Answer) -> None:
    fields = wire.parse_error(payload)
    answer.sqlstate = fields.sqlstate
    answer.message = fields.message
    for field in payload.split(b"\0"):
        if field.startswith(b"Doutcome: "):
            answer.outcome = field.removeprefix(b"Doutcome: ").decode()
