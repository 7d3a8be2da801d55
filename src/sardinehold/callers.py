"""Callers' connections: start-up, messages of the PostgreSQL protocol, answers."""

import asyncio
import ssl
import typing

from sardinehold import caller_handshake
from sardinehold import errors
from sardinehold import prepared
from sardinehold import requests
from sardinehold import sequences
from sardinehold import wire
from sardinehold.core import actions
from sardinehold.core import statements

if typing.TYPE_CHECKING:
    from sardinehold import datapath

MAX_REQUEST = 64 * 1024 * 1024
"""Maximum bytes of all messages of one request."""

MAX_BACKLOG = 256 * 1024
"""Maximum bytes that are buffered behind an unanswered request; above it the caller's
connection is not read (back-pressure)."""

_DEALLOCATE = statements.Kind.DEALLOCATE
_QUERY = ord("Q")
_SYNC = ord("S")
_FLUSH = ord("H")
_TERMINATE = ord("X")
_FUNCTION_CALL = ord("F")
_EXTENDED = frozenset(b"PBDEC")
_IGNORED = frozenset(b"dcf")


class Caller(asyncio.BufferedProtocol):
    """One caller's connection and its session.

    :param path: data path that runs its requests.
    :param tls: TLS context to offer, None to decline TLS.
    """

    __slots__ = (
        "path",
        "transport",
        "session_id",
        "secret",
        "read_input",
        "handshake",
        "backlog",
        "status",
        "request",
        "statements",
        "sequence",
        "skipping",
        "processing",
        "paused",
        "closed",
        "is_reading_paused",
        "ready",
    )

    def __init__(self, path: "datapath.DataPath", tls: ssl.SSLContext | None) -> None:
        """Create the protocol; it expects a start-up packet first."""
        self.path = path
        self.transport: asyncio.Transport | None = None
        self.session_id = path.allocate_session_id(self)
        self.secret = 0
        self.handshake: caller_handshake.CallerHandshake | None = (
            caller_handshake.CallerHandshake(self, tls)
        )
        self.read_input: typing.Callable[[wire.Buffer, int], int]
        self.read_input = self.handshake.read_packet
        self.backlog: bytearray | None = None
        self.status = "I"
        self.request: requests.Request | None = None
        self.statements = prepared.SessionStatements()
        self.sequence: sequences.Sequence | None = None
        self.skipping = False
        self.processing = False
        self.paused = False
        self.closed = False
        self.is_reading_paused = False
        self.ready = False

    # Input

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport; refuse the caller at the limit of callers."""
        self.transport = transport
        if not self.path.admit(self):
            self.fail_session(
                errors.QueueFull(
                    "The proxy has reached its limit of callers.",
                    "Reconnect later.",
                )
            )

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections of the process share.

        It holds no data between two calls.
        """
        return self.path.buffer

    def buffer_updated(self, size: int) -> None:
        """Process the bytes that the caller sent; buffer incomplete messages."""
        if self.closed:
            return
        data = self.path.buffer[:size]
        if self.backlog is None:
            if self._read_single_query(data, size):
                return
            read = self._process(data, size)
            if read < size and not self.closed:
                self.backlog = bytearray(data[read:])
                self._apply_back_pressure()
            return
        self.backlog += data
        self.resume()
        self._apply_back_pressure()

    def _read_single_query(self, data: memoryview, size: int) -> bool:
        """Process bytes that are exactly one Query, the most frequent case.

        Return False if they are anything else.
        """
        if data[0] != _QUERY or size < wire.HEADER or not self.ready:
            return False
        if wire.unpack_length(data, 1)[0] + 1 != size:
            return False
        if self.request is not None or self.skipping:
            return False
        try:
            self._read_query(bytes(data))
        except errors.RequestError as error:
            self.fail_session(error)
        return True

    def resume(self) -> None:
        """Process the bytes that arrived while a request was running."""
        if self.backlog is None or self.processing or self.closed:
            return
        data = bytes(self.backlog)
        read = self._process(data, len(data))
        if self.closed or read == len(data):
            self.backlog = None
        elif read:
            del self.backlog[:read]

    def _process(self, data: wire.Buffer, size: int) -> int:
        """Read messages as far as possible; return the number of bytes read."""
        self.processing = True
        read = 0
        try:
            while read < size and not self.closed:
                step = self.read_input(data[read:size] if read else data, size - read)
                if not step:
                    break
                read += step
        except errors.RequestError as error:
            self.fail_session(error)
        finally:
            self.processing = False
        return read

    def _apply_back_pressure(self) -> None:
        """Pause reading while the backlog behind a request exceeds its limit."""
        waiting = len(self.backlog) if self.backlog is not None else 0
        if self.closed:
            return
        if self.request is not None and waiting > MAX_BACKLOG:
            self.is_reading_paused = True
            self.transport.pause_reading()
        elif self.is_reading_paused:
            self.is_reading_paused = False
            self.transport.resume_reading()

    # Start-up

    def accept(self, action: actions.SessionAccepted) -> None:
        """Complete the start-up after applying the settings that it requested."""
        if not self.closed:
            self.handshake.accept(action)

    def start_session(self, secret: int) -> None:
        """Accept messages, after the start-up is complete.

        :param secret: secret that a cancel request must contain.
        """
        self.secret = secret
        self.handshake = None
        self.ready = True
        self.read_input = self._read_messages
        self.resume()

    def defer_input(self, data: wire.Buffer, size: int) -> int:
        """Leave the bytes in the backlog until the engine has decided."""
        return 0

    # Messages

    def _read_messages(self, data: wire.Buffer, size: int) -> int:
        start = 0
        while start < size and self._can_read_message():
            stop = wire.find_end(data, start, size)
            if not stop:
                break
            self._read_message(data[start], data, start, stop)
            start = stop
        return start

    def _can_read_message(self) -> bool:
        """Return whether the next message may be read: no request blocks it."""
        if self.closed:
            return False
        return self.request is None or self.request.is_open

    def _read_message(
        self, kind: int, data: wire.Buffer, start: int, stop: int
    ) -> None:
        if kind == _QUERY and not self.skipping:
            self._read_query(bytes(data[start:stop]))
        elif kind == _TERMINATE:
            self.close()
        elif self.skipping:
            self._skip(kind)
        elif kind in _EXTENDED:
            self._read_part(kind, bytes(data[start:stop]))
        elif kind == _SYNC:
            self._read_sync()
        elif kind == _FLUSH:
            self._read_flush()
        elif kind == _FUNCTION_CALL:
            self.refuse(
                errors.Unsupported(
                    "The function call message is not supported.",
                    "Call the function with SELECT.",
                )
            )
        elif kind not in _IGNORED:
            raise errors.ProtocolViolation(
                f"Unknown message type {chr(kind)!r}.",
                "Use a PostgreSQL driver.",
            )

    def _skip(self, kind: int) -> None:
        """Discard the rest of a failed sequence up to its Sync."""
        if kind == _SYNC:
            self.skipping = False
            self.transport.write(wire.build_ready(self.status))

    def _read_query(self, raw: bytes) -> None:
        if self.request is not None:
            raise errors.ProtocolViolation(
                "A Query arrived before the Sync of an extended sequence.",
                "Send Sync first.",
            )
        content = sequences.SimpleQuery(raw)
        kind = content.traits.kind
        if kind is _DEALLOCATE:
            if self._deallocate(content.traits):
                return
        elif content.traits.discards_all:
            self.statements.clear()
        self.path.start_request(self, content)

    def _deallocate(self, traits: statements.Traits) -> bool:
        """Answer DEALLOCATE of a statement that the proxy holds; False for others."""
        drops_all = traits.setting == "all"
        if drops_all:
            self.statements.clear()
        elif not self.statements.drop(traits.value.encode()):
            return False
        tag = "DEALLOCATE ALL" if drops_all else "DEALLOCATE"
        self.transport.write(wire.build_complete(tag) + wire.build_ready(self.status))
        return True

    def _read_part(self, kind: int, raw: bytes) -> None:
        if self.request is not None:
            self._read_open_part(self.request.content, kind, raw)
            return
        if self.sequence is None:
            self.sequence = sequences.Sequence(self.statements)
        try:
            self.sequence.add(kind, raw)
        except (errors.UnknownStatement, errors.Unsupported) as error:
            self._refuse_sequence(error)
            return
        if self.sequence.size > MAX_REQUEST:
            raise errors.ProtocolViolation(
                f"A request exceeds {MAX_REQUEST} bytes.", "Send Sync earlier."
            )

    def _read_open_part(
        self, sequence: sequences.Sequence, kind: int, raw: bytes
    ) -> None:
        """Read a message of a sequence whose first part is already running."""
        sequence.add(kind, raw)
        traits = sequence.last_traits
        if traits.begins or traits.ends or traits.refusal or traits.setting:
            raise errors.Unsupported(
                "Only reads and writes may follow a Flush after a write.",
                "Send Sync first.",
                errors.Outcome.UNKNOWN,
            )
        if sequence.size > MAX_REQUEST:
            raise errors.ProtocolViolation(
                f"A request exceeds {MAX_REQUEST} bytes.",
                "Send Sync earlier.",
                errors.Outcome.UNKNOWN,
            )

    def _refuse_sequence(self, error: errors.RequestError) -> None:
        """Refuse a sequence of which nothing was sent to an endpoint."""
        self.sequence.undo(0)
        self.sequence = None
        self.skipping = True
        self.transport.write(wire.build_error(error))

    def _take_sequence(self) -> sequences.Sequence:
        sequence, self.sequence = self.sequence, None
        return sequence or sequences.Sequence(self.statements)

    def _read_sync(self) -> None:
        if self.request is not None:
            self.request.is_open = False
            self.request.send_more()
            return
        sequence = self._take_sequence()
        if sequence.is_local:
            answer = sequence.describe_locally()
            self.transport.write(answer + wire.build_ready(self.status))
            return
        self.path.start_request(self, sequence)

    def _read_flush(self) -> None:
        """Run the messages received so far.

        Where a Sync would have the same effect, the request ends here: after
        messages that run nothing, after reads, and in a transaction block.
        Otherwise it stays open until its Sync.
        """
        if self.request is not None:
            self.request.send_more()
            return
        sequence = self.sequence
        if sequence is None:
            return
        traits = sequence.traits
        splits = traits.kind is statements.Kind.READ or traits.begins
        self.sequence = None
        if self.status == "I" and not splits:
            self.path.start_request(self, sequence, is_open=True)
            return
        if sequence.is_local:
            self.transport.write(sequence.describe_locally())
            return
        self.path.start_request(self, sequence, hides_ready=True)

    # Answers

    def send(self, data: bytes) -> None:
        """Send bytes of an answer to the caller."""
        if not self.closed:
            self.transport.write(data)

    def finish(self, request: requests.Request, answer: bytes, status: str) -> None:
        """Send the end of an answer and process the backlog."""
        self.request = None
        self.status = status
        if self.closed:
            return
        if request.hidden:
            self.handshake.apply_next_setting()
            return
        self.transport.write(answer)
        self._read_backlog()

    def _read_backlog(self) -> None:
        if self.backlog is not None:
            self.resume()
            self._apply_back_pressure()

    def fail(
        self, request: requests.Request, error: errors.RequestError, fatal: bool
    ) -> None:
        """Send an error in place of the buffered part of the answer.

        :param fatal: whether the session ends.
        """
        self.request = None
        if self.closed:
            return
        if request.is_inside_message:
            self.close(abort=True)
            return
        if fatal or request.hidden:
            self.fail_session(error)
            return
        if request.hides_ready or request.is_open:
            self.skipping = True
            self.transport.write(wire.build_error(error))
        else:
            self.refuse(error)
        self._read_backlog()

    def refuse(self, error: errors.RequestError) -> None:
        """Answer a request with an error; the session continues."""
        self.transport.write(wire.build_error(error) + wire.build_ready(self.status))

    def fail_session(self, error: errors.RequestError) -> None:
        """End the session with an error."""
        if self.closed:
            return
        if self.request is not None and self.request.is_inside_message:
            self.close(abort=True)
            return
        self.transport.write(wire.build_error(error, "FATAL"))
        self.close()

    # Flow control and closing

    def pause_writing(self) -> None:
        """Stop reading the answer from the endpoint: the caller reads too slowly."""
        self.paused = True
        self.path.pause(self, True)

    def resume_writing(self) -> None:
        """Continue reading the answer from the endpoint."""
        self.paused = False
        self.path.pause(self, False)

    def close(self, abort: bool = False) -> None:
        """Close the connection after sending what was written.

        Only the sending side is closed at first: closing a socket with unread
        input resets the connection, and the caller could lose the last error.

        :param abort: whether to drop unsent bytes and close immediately.
        """
        if self.closed:
            return
        self._end()
        transport = self.transport
        if abort:
            transport.abort()
        elif transport.can_write_eof() and self.path.pending_callers.linger(self):
            transport.write_eof()
            transport.resume_reading()
        else:
            transport.close()

    def abort(self) -> None:
        """Abort a lingering connection."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Deregister the caller."""
        self.path.pending_callers.remove_lingering(self)
        if not self.closed:
            self._end()

    def _end(self) -> None:
        self.closed = True
        self.backlog = None
        if self.request is not None and self.request.is_open:
            self.request.abandon()
        self.sequence = None
        if self.paused:
            self.resume_writing()
        self.path.remove_caller(self)
