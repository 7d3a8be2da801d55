"""One client connection: start-up, then frames in order."""

import asyncio
import collections
import secrets
import struct

from sardinehold_standins import cluster  # noqa: F401  registers its statements
from sardinehold_standins import execution
from sardinehold_standins import extended
from sardinehold_standins import link as links
from sardinehold_standins import waiting
from sardinehold_standins import wire

FLUSH_BYTES = 64 * 1024
"""Output size from which on an incomplete answer is sent."""

QUEUED_FRAMES = 2000
"""Maximum number of queued frames before reading is paused."""

KEY_PREFIX = b"shk_"
"""Prefix of callers' keys, which must never reach an endpoint."""

PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "application_name": "",
    "is_superuser": "off",
    "session_authorization": "sardinehold",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
}
"""Parameters reported by ParameterStatus at the start of a session."""


class Session(asyncio.Protocol):
    """Session of one client.

    :param server: server of the endpoint.
    """

    def __init__(self, server) -> None:
        """Create a session without a connection."""
        self.server = server
        self.process_id = 0
        self.secret = secrets.randbits(32)
        self.waiter = waiting.Waiter()
        self.link: links.Link | None = None
        self.output: list[bytes] = []
        self.output_size = 0
        self.frames: collections.deque[tuple[bytes, bytes]] = collections.deque()
        self.runner = execution.Runner(self)
        self.extended = extended.Extended(self)
        self.is_ended = False
        self._buffer = bytearray()
        self._is_started = False
        self._data_available: asyncio.Future | None = None
        self._task: asyncio.Task | None = None
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start serving the client."""
        faults = self.server.faults
        self.link = links.Link(transport, self._feed, lambda: faults.latency)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Handle data from the client; count data that contain a caller's key."""
        if KEY_PREFIX in data:
            self.server.count("keys_seen")
        self.link.feed(data)

    def connection_lost(self, error: Exception | None) -> None:
        """End the session."""
        self.end()

    def pause_writing(self) -> None:
        """Pause sending."""
        self.link.pause()

    def resume_writing(self) -> None:
        """Resume sending."""
        self.link.resume()

    def end(self) -> None:
        """Roll back and release all resources of the session."""
        if self.is_ended:
            return
        self.is_ended = True
        self.server.unregister(self)
        if self._task is not asyncio.current_task():
            self._task.cancel()
        self.link.resume()
        self.runner.close()

    def demote(self) -> None:
        """End the session if it has an open write, as the endpoint became a replica."""
        if not self.runner.holds_writer_lock:
            return
        failure = wire.Failure("57P01", "endpoint became a replica", fatal=True)
        self.link.write(wire.build_error(failure))
        self.link.close()
        self.end()

    def send(self, data: bytes) -> None:
        """Append data to the output buffer."""
        self.output.append(data)
        self.output_size += len(data)

    def flush(self) -> None:
        """Send the output buffer."""
        if self.output:
            self.link.write(b"".join(self.output))
            self.output.clear()
            self.output_size = 0

    async def drain(self) -> None:
        """Flush a large output buffer and wait for a slow client."""
        if self.output_size >= FLUSH_BYTES:
            self.flush()
            await self.link.drain()

    async def finish(self) -> None:
        """End an answer with ReadyForQuery."""
        self.send(wire.READY[self.runner.status])
        faults = self.server.faults
        if faults.late and self.server.random_generator.random() < faults.late_share:
            await asyncio.sleep(faults.late)
        self.flush()

    def lose_answer(self) -> None:
        """Drop the answer: close the connection or make it unresponsive.

        :raises asyncio.CancelledError: always, to end the session.
        """
        self.server.count("answers_lost")
        self.output.clear()
        if self.server.faults.lose_how == "silent":
            self.server.silence_session(self)
        else:
            self.link.abort()
        raise asyncio.CancelledError

    async def next_frame(self) -> tuple[bytes, bytes]:
        """Wait for the next frame and return it."""
        while not self.frames:
            await self._wait()
        if self._is_paused and len(self.frames) < QUEUED_FRAMES // 2:
            self._is_paused = False
            self.link.transport.resume_reading()
        return self.frames.popleft()

    def _feed(self, data: bytes) -> None:
        """Split data into frames and wake the session."""
        self._buffer += data
        if self._is_started:
            try:
                wire.split_frames(self._buffer, self.frames)
            except wire.Failure as failure:
                self.link.write(wire.build_error(failure))
                self.link.close()
                return
            if len(self.frames) > QUEUED_FRAMES and not self._is_paused:
                self._is_paused = True
                self.link.transport.pause_reading()
        self._wake()

    async def _wait(self) -> None:
        """Wait for data."""
        self._data_available = asyncio.get_running_loop().create_future()
        await self._data_available
        self._data_available = None

    def _wake(self) -> None:
        """Wake the session if it waits for data."""
        if self._data_available is not None and not self._data_available.done():
            self._data_available.set_result(None)

    async def _serve(self) -> None:
        """Serve the client until it disconnects."""
        try:
            parameters = await self._start()
            if parameters is None:
                return
            if "cluster_replica" in parameters:
                await self.server.replication.serve_replica(self, parameters)
                return
            await self._authenticate(parameters)
            await self._serve_frames()
        except wire.Failure as failure:
            self.send(wire.build_error(failure))
            self.flush()
        finally:
            self.end()
            if not self.link.is_silent:
                self.link.close()

    async def _start(self) -> dict[str, str] | None:
        """Return the start-up parameters; None for a CancelRequest."""
        while True:
            body = await self._read_startup()
            (code,) = struct.unpack_from("!i", body)
            if code == wire.SSL_REQUEST and self.server.options.tls:
                await self._start_tls()
            elif code in (wire.SSL_REQUEST, wire.GSS_REQUEST):
                self.link.write(b"N")
            elif code == wire.CANCEL_REQUEST:
                self.server.cancel(*struct.unpack_from("!iI", body, 4))
                return None
            elif code >> 16 == 3:
                self._is_started = True
                self._feed(b"")
                fields = body[4:].decode().split("\0")
                return dict(zip(fields[::2], fields[1::2], strict=False))
            else:
                raise wire.Failure("08P01", f"unsupported protocol {code}", fatal=True)

    async def _read_startup(self) -> bytes:
        """Read one message without a type byte."""
        while True:
            if len(self._buffer) >= 4:
                (size,) = struct.unpack_from("!i", self._buffer)
                if not 8 <= size <= 10_000:
                    raise wire.Failure(
                        "08P01", "invalid length of the start-up message", fatal=True
                    )
                if len(self._buffer) >= size:
                    body = bytes(self._buffer[4:size])
                    del self._buffer[:size]
                    return body
            await self._wait()

    async def _start_tls(self) -> None:
        """Accept an SSLRequest and upgrade the connection to TLS."""
        transport = self.link.transport
        transport.write(b"S")
        loop = asyncio.get_running_loop()
        self.link.transport = await loop.start_tls(
            transport, self, self.server.options.tls, server_side=True
        )

    async def _authenticate(self, parameters: dict[str, str]) -> None:
        """Register the session, check the password and report its parameters."""
        self.server.register(self)
        if self.server.options.connect_delay:
            await asyncio.sleep(self.server.options.connect_delay)
        password = self.server.options.password
        if password:
            self.link.write(wire.PASSWORD_REQUEST)
            kind, payload = await self.next_frame()
            if kind != b"p" or payload.rstrip(b"\0").decode() != password:
                raise wire.Failure("28P01", "password authentication failed", True)
        user = parameters.get("user", "")
        announced = {**PARAMETERS, "session_authorization": user}
        for name in ("application_name", "client_encoding"):
            announced[name] = parameters.get(name, announced[name])
        self.runner.variables.start(announced)
        self.send(wire.AUTHENTICATION_OK)
        for name, value in announced.items():
            self.send(wire.build_status(name, value))
        self.send(wire.build_key_data(self.process_id, self.secret))
        await self.finish()

    async def _serve_frames(self) -> None:
        """Handle frames in order until Terminate."""
        while True:
            kind, payload = await self.next_frame()
            if kind == b"Q":
                await self.runner.run_query(payload[:-1].decode())
            elif kind == b"X":
                return
            else:
                await self.extended.handle(kind, payload)
