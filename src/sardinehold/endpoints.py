"""Connections to endpoints.

A connection authenticates as the group's user, never with a caller's
credentials. Answers are read in the order of the requests; unsolicited bytes or
a malformed message close the connection.
"""

import asyncio
import collections
import ssl
import typing

import anyio

from sardinehold import answers
from sardinehold import endpoint_handshake
from sardinehold import errors
from sardinehold import prepared
from sardinehold import wire

RECEIVE_BYTES = 256 * 1024
"""Size of the receive buffer that all connections of a process share."""

APPLICATION_NAME = "sardinehold"

_IDLE = frozenset(b"NSA")


class Address(typing.NamedTuple):
    """Network address of an endpoint, and the proxy's database and user there."""

    host: str
    port: int
    database: str
    user: str


class Reader(typing.Protocol):
    """Reader of one answer of an endpoint."""

    done: bool

    def feed(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read from ``start`` and return where reading stopped."""

    def release(self) -> None:
        """Forward the part of the answer that need not be buffered."""

    finish: typing.Callable


class EndpointConnection(asyncio.BufferedProtocol):
    """One connection to an endpoint.

    :param buffer: receive buffer of the process.
    :param lost: called once when an established connection breaks.
    """

    __slots__ = (
        "transport",
        "buffer",
        "unparsed",
        "readers",
        "statements",
        "parameters",
        "key_data",
        "closed",
        "cancel_requested",
        "lost",
        "tls_answer",
        "sign_in_result",
        "address",
        "tls",
    )

    def __init__(self, buffer: memoryview, address: Address) -> None:
        """Create the protocol; asyncio supplies the transport later."""
        self.transport: asyncio.Transport | None = None
        self.buffer = buffer
        self.address = address
        self.tls: ssl.SSLContext | None = None
        self.unparsed = b""
        self.readers: collections.deque[Reader] = collections.deque()
        self.statements = prepared.ConnectionStatements()
        self.parameters: dict[str, str] = {}
        self.key_data = b""
        self.closed = False
        self.cancel_requested = False
        self.lost: typing.Callable[[], None] | None = None
        self.tls_answer: asyncio.Future | None = None
        self.sign_in_result: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections of the process share.

        It holds no data between two calls.
        """
        return self.buffer

    def buffer_updated(self, size: int) -> None:
        """Read the answers that arrived."""
        if self.closed:
            return
        if self.tls_answer is not None:
            self._read_tls_answer(bytes(self.buffer[:size]))
            return
        data: wire.Buffer = self.buffer[:size]
        if self.unparsed:
            data = self.unparsed + data
        try:
            self._read(data, len(data))
        except errors.ProtocolViolation:
            self._handle_loss()

    def _read_tls_answer(self, data: bytes) -> None:
        """Read the single byte that answers a TLS request.

        More bytes would be unencrypted data injected by a man in the middle.
        """
        answer, self.tls_answer = self.tls_answer, None
        if not answer.done():
            answer.set_result(data == b"S")

    def _read(self, data: wire.Buffer, end: int) -> None:
        position = 0
        readers = self.readers
        while position < end and not self.closed:
            if not readers:
                stop = self._skip_idle(data, position, end)
                if not stop:
                    break
                position = stop
                continue
            reader = readers[0]
            position = reader.feed(data, position, end)
            if not reader.done:
                reader.release()
                break
            readers.popleft()
            reader.finish(reader)
        if self.unparsed or position < end:
            self._store_partial(data, position, end)

    def _store_partial(self, data: wire.Buffer, position: int, end: int) -> None:
        """Keep the start of an incomplete message until the rest arrives."""
        if self.closed or position >= end:
            self.unparsed = b""
            return
        self.unparsed = bytes(data[position:end])
        if len(self.unparsed) > wire.MAX_CONTROL_BYTES:
            self._handle_loss()

    def _skip_idle(self, data: wire.Buffer, position: int, end: int) -> int:
        """Skip an asynchronous message; any other one is a protocol violation."""
        stop = wire.find_end(data, position, end, wire.MAX_CONTROL_BYTES)
        if stop and data[position] not in _IDLE:
            self._handle_loss()
            return 0
        return stop

    def send(self, payload: bytes, *readers: Reader) -> None:
        """Send a request and register the readers of its answers."""
        self.readers.extend(readers)
        self.transport.write(payload)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss of the connection."""
        self._handle_loss()

    def _handle_loss(self) -> None:
        """Close a broken connection and notify the owner once."""
        if self.closed:
            return
        lost = self.lost
        self.close()
        for future in (self.tls_answer, self.sign_in_result):
            if future is not None and not future.done():
                future.set_exception(_build_lost_error())
        if lost is not None:
            lost()

    def disconnect(self) -> None:
        """Close the connection and notify the owner as if it had broken."""
        self._handle_loss()

    def close(self) -> None:
        """Close the connection without notifying the owner; discard later input."""
        self.closed = True
        self.lost = None
        self.readers.clear()
        self.unparsed = b""
        if self.transport is not None:
            self.transport.abort()

    async def secure(self, context: ssl.SSLContext) -> None:
        """Request TLS and start it.

        :raises sardinehold.errors.EndpointUnavailable: the endpoint declines.
        """
        loop = asyncio.get_running_loop()
        self.tls_answer = answer = loop.create_future()
        self.transport.write(wire.build_packet(wire.TLS_CODE))
        if not await answer:
            raise errors.EndpointUnavailable(
                "An endpoint does not offer TLS.",
                "Set up TLS on the endpoint, or remove [tls] endpoint_authority.",
            )
        self.transport = await loop.start_tls(
            self.transport, self, context, server_hostname=self.address.host
        )

    async def sign_in(self) -> None:
        """Send the start-up message and wait until the endpoint is ready.

        :raises sardinehold.errors.EndpointUnavailable: the endpoint refuses.
        """
        self.sign_in_result = asyncio.get_running_loop().create_future()
        startup = wire.build_startup(
            {
                "user": self.address.user,
                "database": self.address.database,
                "application_name": APPLICATION_NAME,
                "client_encoding": "UTF8",
            }
        )
        self.send(
            startup, endpoint_handshake.EndpointHandshake(self, self.sign_in_result)
        )
        await self.sign_in_result

    async def fetch(self, sql: str) -> list[tuple[str | None, ...]]:
        """Run a statement that the proxy itself issues and return its rows.

        :raises sardinehold.errors.EndpointUnavailable: the connection broke,
            with outcome ``unknown`` if the statement had been sent; or the
            endpoint answered with an error.
        """
        future = asyncio.get_running_loop().create_future()
        before = self.lost

        def finish(collector: answers.Collector) -> None:
            if not future.done():
                future.set_result(collector)

        def lose() -> None:
            if not future.done():
                future.set_exception(_build_lost_error(errors.Outcome.UNKNOWN))
            if before is not None:
                before()

        if self.closed:
            raise _build_lost_error()
        self.lost = lose
        self.send(wire.build_query(sql), answers.Collector(finish))
        try:
            collector = await future
        finally:
            self.lost = before if not self.closed else None
        if collector.error is not None:
            raise errors.EndpointUnavailable(
                f"An endpoint answered with an error: {collector.error.message}.",
                "See the endpoint's log.",
            )
        return collector.rows


def _build_lost_error(
    outcome: errors.Outcome = errors.Outcome.NOT_RUN,
) -> errors.EndpointUnavailable:
    return errors.EndpointUnavailable(
        "A connection to an endpoint broke.",
        "Check that the endpoint is up and reachable.",
        outcome,
    )


async def connect(
    address: Address,
    deadline: float,
    tls: ssl.SSLContext | None = None,
    buffer: memoryview | None = None,
) -> EndpointConnection:
    """Open a connection and authenticate.

    :param deadline: reading of the loop's clock.
    :raises sardinehold.endpoint_handshake.EndpointFull: the endpoint is at its
        limit of connections.
    :raises sardinehold.errors.EndpointUnavailable: no connection in time.
    """
    loop = asyncio.get_running_loop()
    if buffer is None:
        buffer = memoryview(bytearray(RECEIVE_BYTES))
    connection = EndpointConnection(buffer, address)
    established = False
    try:
        with anyio.fail_after(max(deadline - loop.time(), 0)):
            await loop.create_connection(lambda: connection, address.host, address.port)
            if tls is not None:
                await connection.secure(tls)
            await connection.sign_in()
        established = True
    except (OSError, TimeoutError, UnicodeError) as error:
        raise errors.EndpointUnavailable(
            f"No connection to {address.host}:{address.port}: {error or 'timeout'}.",
            "Check that the endpoint is up and reachable.",
        ) from error
    finally:
        if not established:
            connection.close()
    connection.tls = tls
    return connection


async def cancel(connection: EndpointConnection, deadline: float) -> None:
    """Ask the endpoint to cancel the statement that runs on ``connection``.

    The request uses a separate connection, with TLS if ``connection`` uses it;
    the function returns when the endpoint has closed it. Failures are not
    reported, because the statement is bounded by its own deadline.
    """
    loop = asyncio.get_running_loop()
    process = int.from_bytes(connection.key_data[:4], "big", signed=True)
    secret = int.from_bytes(connection.key_data[4:], "big", signed=True)
    closed = loop.create_future()
    cancel_connection = EndpointConnection(connection.buffer, connection.address)
    cancel_connection.lost = lambda: closed.done() or closed.set_result(None)
    try:
        with anyio.fail_after(max(deadline - loop.time(), 0)):
            await loop.create_connection(
                lambda: cancel_connection,
                connection.address.host,
                connection.address.port,
            )
            if connection.tls is not None:
                await cancel_connection.secure(connection.tls)
            cancel_connection.transport.write(wire.build_cancel(process, secret))
            await closed
    except (OSError, TimeoutError, errors.EndpointUnavailable):
        pass
    finally:
        cancel_connection.close()


async def query(
    host: str,
    port: int,
    database: str,
    user: str,
    sql: str,
    deadline: float,
    tls: ssl.SSLContext | None = None,
) -> list[tuple[str | None, ...]]:
    """Run one statement over a new connection and return its rows.

    :param deadline: reading of the loop's clock.
    :raises sardinehold.errors.EndpointUnavailable: with outcome ``not run``
        if the statement was not sent or the endpoint answered an error, and
        ``unknown`` if no answer arrived.
    """
    loop = asyncio.get_running_loop()
    address = Address(host, port, database, user)
    connection = await connect(address, deadline, tls)
    try:
        with anyio.fail_after(max(deadline - loop.time(), 0)):
            return await connection.fetch(sql)
    except TimeoutError as error:
        raise errors.EndpointUnavailable(
            f"{host}:{port} did not answer in time.",
            "Read the endpoint's state before retrying.",
            errors.Outcome.UNKNOWN,
        ) from error
    finally:
        connection.close()
