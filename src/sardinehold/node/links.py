"""Links between nodes: requests to owners and their answers over one connection a pair.

A link is dialled by the node that sends requests, when it has the first one for the
other node. Both ends prove that they hold the fleet's key. A malformed frame, or data
of an unauthenticated peer, ends that link only. grpclib does not fit here: its cost a
call, on the measured slope of docs/design/data-path.md, is as high as that of the
statement.
"""

import asyncio
import hmac
import secrets
import typing

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import executor
from sardinehold.node import frames
from sardinehold.node import outcomes
from sardinehold.node import peers
from sardinehold.node import ports
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import forwarding

NONCE_BYTES = 16
"""Bytes of the nonce that a proof of the key covers; nonces are never reused."""

PING_AFTER = 0.1
"""Seconds without a frame, while a request is pending, after which a ping is sent;
longer than most statements take."""

PING_TIMEOUT = 0.25
"""Seconds without a response to a ping after which requests go to the next owner:
longer than the tenth of a second for which a VM that has used its CPU share is
paused."""

REJECTION_GRACE = 0.1
"""Seconds after the deadline during which an owner may still report that a request was
not run."""

PROOF_TIMEOUT = 5.0
"""Seconds in which the other end of an incoming link must prove the key; the node that
dials gives up earlier."""

REQUEST_RETRY_AFTER = 0.1
"""Seconds after which a request that found no room may be sent again: some statements
have ended by then."""

ANSWER_TOO_LONG = (
    "the answer is too long to be sent between nodes; read less, or use another node"
)
"""Detail of the refusal of a read whose answer fits no frame."""

MAX_STREAMS = 512
"""Maximum pending requests on one link; above it no more are sent."""


class Link(asyncio.Protocol):
    """Common part of both ends of a link: frames, and the proof of the key."""

    def __init__(self, links: "forwarding.Links") -> None:
        """Initialize without a connection."""
        self.links = links
        self.peer = ""
        self.is_up = False
        self.is_ended = False
        self.is_congested = False
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._reader = frames.Reader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """End the link."""
        self.end(repr(error) if error else "closed by the other node")

    def pause_writing(self) -> None:
        """Record that the write buffer is full."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Record that the write buffer has room again."""
        self.is_congested = False

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        try:
            for frame in self._reader.feed(data):
                if self.is_ended:
                    return
                self._handle_frame(frame[0], frame[1:])
        except frames.FrameError as error:
            self.end(str(error))
        except (ValueError, TypeError, IndexError) as error:
            self.end(f"malformed frame: {error!r}")

    def send(self, data: bytes) -> None:
        """Send an encoded frame."""
        if not self.is_ended:
            self._transport.write(data)

    def end(self, reason: str) -> None:
        """Close the link; further calls have no effect."""
        if self.is_ended:
            return
        self.is_ended = True
        was_up, self.is_up = self.is_up, False
        if self._transport is not None:
            self._transport.abort()
        self._handle_end(reason, was_up)

    def _prove(self, nonce: bytes, name: str) -> bytes:
        return peers.sign(self.links.find_key(), nonce + name.encode())

    def _verify(self, proof: object, name: str) -> None:
        """Verify that the other node holds the key."""
        expected = self._prove(self._nonce, name)
        known = bool(self.links.find_key())
        if not (
            known and isinstance(proof, bytes) and hmac.compare_digest(proof, expected)
        ):
            raise frames.FrameError("the other node did not prove the fleet's key")

    def _handle_frame(self, kind: int, fields: list) -> None:
        raise NotImplementedError

    def _handle_end(self, reason: str, was_up: bool) -> None:
        raise NotImplementedError


class Inbound(Link):
    """The owner's end of a link, which executes requests."""

    def __init__(self, links: "forwarding.Links") -> None:
        """Initialize without streams."""
        super().__init__(links)
        self._streams: dict[int, executor.Stream] = {}
        self._reader = frames.Reader(frames.MAX_PROOF, frames.MAX_PROOF_ITEMS)
        self._unproven_bytes = 0
        self._proof_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a challenge for the proof of the key."""
        super().connection_made(transport)
        self.links.inbound.add(self)
        oldest = self.links.unproven.add(self)
        if oldest is not None:
            oldest.end("too many links without a proof of the fleet's key")
        self._proof_timer = asyncio.get_running_loop().call_later(
            PROOF_TIMEOUT, self.end, "no proof of the fleet's key in time"
        )
        self.send(frames.pack(frames.CHALLENGE, self._nonce, clock.read()))

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; only ``MAX_PROOF`` of them before the proof.

        The reader alone bounds only bytes that are not decoded: a frame in small pieces
        would become objects without a bound.
        """
        if not self.is_up:
            self._unproven_bytes += len(data)
            if self._unproven_bytes > frames.MAX_PROOF:
                self.end("too many bytes without a proof of the fleet's key")
                return
        super().data_received(data)

    def pause_writing(self) -> None:
        """Stop reading requests from a node that does not read its answers."""
        super().pause_writing()
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Read requests again."""
        super().resume_writing()
        self._transport.resume_reading()

    def _handle_frame(self, kind: int, fields: list) -> None:
        if not self.is_up:
            self._authenticate(kind, fields)
        elif kind == frames.REQUEST:
            self._handle_request(fields[0], fields[1:])
        elif kind == frames.CLOSE:
            stream = self._streams.pop(fields[0], None)
            if stream is not None:
                self.links.executor.abandon(stream)
        elif kind == frames.PING:
            self.send(frames.pack(frames.PONG, fields[0], clock.read()))
        elif kind == frames.WATCH:
            number, name, revision, wait = fields
            self.links.spawn(
                self._send_changes, number, name, int(revision), float(wait)
            )
        else:
            raise frames.FrameError(f"unexpected frame kind {kind!r} at an owner")

    async def _send_changes(
        self, number: int, name: str, revision: int, wait: float
    ) -> None:
        """Send store changes to a node that does not read from the store itself."""
        try:
            changes = await self.links.read_changes(name, revision, wait)
            data = frames.pack_changes(number, changes)
            if len(data) > frames.MAX_FRAME:
                raise ValueError(f"frame of {len(data)} bytes is too large")
        except errors.WatchExpired:
            data = frames.pack(frames.EXPIRED, number)
        except (errors.PlatformError, TypeError, ValueError) as error:
            rejection = execution.Rejection.AWAY
            data = frames.pack(frames.REJECTED, number, rejection.value, str(error), 0)
        self.send(data)

    def _authenticate(self, kind: int, fields: list) -> None:
        if kind != frames.PROOF:
            raise frames.FrameError(f"frame kind {kind!r} before a proof")
        name, nonce, proof = fields
        self._verify(proof, name)
        self.peer = name
        self.is_up = True
        self._reader = frames.Reader()
        self._handle_proof_end()
        self.send(frames.pack(frames.WELCOME, self._prove(nonce, self.links.name)))
        if self.links.is_draining:
            self.send(frames.pack(frames.DRAINING))

    def _handle_proof_end(self) -> None:
        """Release what is kept for a link until its proof."""
        self.links.unproven.discard(self)
        if self._proof_timer is not None:
            self._proof_timer.cancel()

    def _handle_request(self, number: int, fields: list) -> None:
        request = frames.parse_request(fields)
        stream = self._streams.get(number)
        if stream is None:
            stream = self._streams[number] = executor.Stream()
        elif stream.is_running:
            raise frames.FrameError(f"a second request on stream {number!r}")
        self.links.spawn(self._run, number, stream, request)

    def _reserve(self, size: int) -> None:
        """Count a request's bytes.

        :raises sardinehold.node.execution.Rejected: the requests here are too long.
        """
        if self.links.request_bytes + size > self.links.limits.requests:
            raise execution.Rejected(
                execution.Rejection.FULL,
                "the requests that wait at this owner are too long",
                REQUEST_RETRY_AFTER,
            )
        self.links.request_bytes += size

    async def _run(
        self, number: int, stream: executor.Stream, request: execution.Request
    ) -> None:
        size = request.measure()
        reserved = 0
        try:
            self._reserve(size)
            reserved = size
            reply = await self.links.executor.run(stream, request)
            data = self._pack_reply(number, request, reply)
        except execution.Rejected as error:
            data = frames.pack(
                frames.REJECTED,
                number,
                error.rejection.value,
                error.reason,
                error.retry_after,
                error.ahead,
            )
            if error.rejection is not execution.Rejection.DIVERTED:
                self._note("order_rejected", request, error.reason)
        except ports.ConnectionLost as error:
            data = frames.pack(frames.LOST, number, error.was_sent, error.is_timeout)
            self._note("order_lost", request, str(error), age=request.measure_age())
        except Exception:
            # Without an answer, the sender would wait until the deadline.
            self.send(frames.pack(frames.LOST, number, True, False))
            raise
        finally:
            self.links.request_bytes -= reserved
            if stream.pooled is None:
                self._streams.pop(number, None)
        self.send(data)

    def _pack_reply(
        self, number: int, request: execution.Request, reply: execution.Reply
    ) -> bytes:
        """Return the frame of a reply; one that is too long is replaced.

        A read is refused, since it would run again where an answer is lost. That a
        write ran must not be denied.
        """
        data = frames.pack_reply(number, reply, clock.read())
        if len(data) <= frames.MAX_FRAME:
            return data
        self._note("order_lost", request, f"frame of {len(data)} bytes is too large")
        if statements.is_write(request.statement):
            return frames.pack(frames.LOST, number, True, False)
        reply.answer = statements.Answer(
            [],
            error=statements.Failure.TOO_LARGE,
            detail=ANSWER_TOO_LONG,
            status=reply.answer.status,
            position=reply.answer.position,
        )
        return frames.pack_reply(number, reply, clock.read())

    def _note(
        self, event: str, request: execution.Request, reason: str, **fields: object
    ) -> None:
        self.links.note(
            event,
            request=request.statement.request_id,
            endpoint=request.endpoint,
            team=request.team,
            peer=self.peer,
            reason=reason,
            **fields,
        )

    def _handle_end(self, reason: str, was_up: bool) -> None:
        self.links.inbound.discard(self)
        self._handle_proof_end()
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            self.links.executor.abandon(stream)
        if was_up:
            self.links.note("link_ended", peer=self.peer, reason=reason)
        else:
            self.links.note("link_refused", peer=self.peer, reason=reason)


class Outbound(Link):
    """The end of a link at the node that sends requests.

    :param is_silent: whether the other node did not respond to a ping in time.
    :param is_draining: whether it accepts no new streams.
    """

    def __init__(self, links: "forwarding.Links", peer: str) -> None:
        """Initialize without streams."""
        super().__init__(links)
        self.peer = peer
        self.is_silent = False
        self.is_draining = False
        self.handshake: asyncio.Future = asyncio.get_running_loop().create_future()
        self._pending: dict[int, asyncio.Future] = {}
        self._watching: dict[int, tuple[str, asyncio.Future]] = {}
        self._open: set[int] = set()
        self._received_at = clock.read()
        self._pinged_at: float | None = None
        self._echo = 0.0
        self._echo_at = 0.0

    def can_open_stream(self) -> bool:
        """Return whether a new stream may be opened."""
        return (
            self.is_up
            and not self.is_silent
            and not self.is_draining
            and not self.is_congested
            and len(self._pending) < MAX_STREAMS
        )

    async def send_request(
        self, number: int, request: execution.Request
    ) -> execution.Reply:
        """Send a request and return the answer.

        :raises sardinehold.node.execution.Rejected: the owner did not run it.
        :raises sardinehold.node.outcomes.StatementFailed: it is too long for a frame,
            with the session's variables.
        :raises sardinehold.node.ports.ConnectionLost: the link, or the owner's
            connection, was lost.
        """
        if not self.is_up:
            raise ports.ConnectionLost(False, reason="the link is down")
        now = clock.read()
        held = now - self._echo_at
        data = frames.pack_request(number, request, now, self._echo, held)
        if len(data) > frames.MAX_FRAME:
            # The owner would end the link, and with it the requests of others.
            raise outcomes.StatementFailed(
                statements.Failure.TOO_LARGE,
                "the statement is too long together with the session's variables;"
                " set shorter ones, or start another session",
            )
        future = asyncio.get_running_loop().create_future()
        if not self._pending:
            self._received_at = now
        self._pending[number] = future
        self.send(data)
        try:
            limit = request.deadline + REJECTION_GRACE - now
            await asyncio.wait([future], timeout=max(0.0, limit))
            if not future.done():
                self.close(number)
                raise ports.ConnectionLost(True, is_timeout=True)
            reply = future.result()
        finally:
            del self._pending[number]
        if reply.answer.status == "I":
            self._open.discard(number)
        else:
            self._open.add(number)
        return reply

    async def request_changes(
        self, kind: str, revision: int, wait: float
    ) -> objects.Changes:
        """Request changes of the store, or a full list as of the request.

        :param revision: newest revision that this node has, or
            :data:`.store_readers.FRESH` for a full list.
        :raises sardinehold.errors.WatchExpired: the reader lacks the earlier changes.
        :raises sardinehold.node.ports.ConnectionLost: the link was lost, or the reader
            rejected the request.
        """
        number = self.links.make_stream_number()
        future = asyncio.get_running_loop().create_future()
        self._watching[number] = (kind, future)
        self.send(frames.pack(frames.WATCH, number, kind, revision, wait))
        try:
            return await future
        finally:
            del self._watching[number]

    def close(self, number: int) -> None:
        """Close a stream; its open transaction is rolled back."""
        self._open.discard(number)
        self.send(frames.pack(frames.CLOSE, number))

    def check_liveness(self, now: float) -> None:
        """Ping the other node if it has been silent, and detect a missing response."""
        if not self._pending or not self.is_up:
            return
        if self._pinged_at is None:
            if now - self._received_at > PING_AFTER:
                self._pinged_at = now
                self.send(frames.pack(frames.PING, 0))
        elif not self.is_silent and now - self._pinged_at > PING_TIMEOUT:
            self.is_silent = True
            self.links.note("link_silent", peer=self.peer)

    def is_unused(self) -> bool:
        """Return whether the link has no pending requests and no open transactions."""
        return not (self._pending or self._watching or self._open)

    def _handle_frame(self, kind: int, fields: list) -> None:
        self._received_at = clock.read()
        self._pinged_at = None
        self.is_silent = False
        if kind in (frames.ANSWER, frames.PONG, frames.CHALLENGE):
            self._echo, self._echo_at = float(fields[-1]), self._received_at
        if kind == frames.ANSWER:
            self._complete(fields[0], frames.parse_reply(fields[1:]))
        elif kind == frames.REJECTED:
            self._complete(fields[0], frames.parse_rejected(fields[1:]))
        elif kind == frames.CHANGES:
            watched, _ = self._watching.get(fields[0], ("", None))
            self._complete(fields[0], frames.parse_changes(watched, fields[1:]))
        elif kind == frames.EXPIRED:
            expired = errors.WatchExpired(
                "The reader lacks the revision.", "List all objects."
            )
            self._complete(fields[0], expired)
        elif kind == frames.LOST:
            number, was_sent, is_timeout = fields
            lost = ports.ConnectionLost(
                bool(was_sent), bool(is_timeout), "the owner lost its connection"
            )
            self._complete(number, lost)
        elif kind == frames.DRAINING:
            self.is_draining = True
        elif kind == frames.CHALLENGE:
            if not isinstance(fields[0], bytes) or len(fields[0]) != NONCE_BYTES:
                # A longer one would choose the name that is signed with it, or be the
                # start of a datagram.
                raise frames.FrameError("the challenge is no nonce")
            name = self.links.name
            proof = self._prove(fields[0], name)
            self.send(frames.pack(frames.PROOF, name, self._nonce, proof))
        elif kind == frames.WELCOME:
            self._verify(fields[0], self.peer)
            self.is_up = True
            if not self.handshake.done():
                self.handshake.set_result(None)
        elif kind != frames.PONG:
            raise frames.FrameError(f"unexpected frame kind {kind!r} from an owner")

    def _complete(
        self, number: int, outcome: execution.Reply | objects.Changes | Exception
    ) -> None:
        future = self._pending.get(number)
        if number in self._watching:
            _, future = self._watching[number]
            if isinstance(outcome, execution.Rejected):
                outcome = ports.ConnectionLost(True, reason=outcome.reason)
        if future is None or future.done():
            return
        if isinstance(outcome, Exception):
            future.set_exception(outcome)
        else:
            future.set_result(outcome)

    def _handle_end(self, reason: str, was_up: bool) -> None:
        if not self.handshake.done():
            self.handshake.set_exception(ConnectionError(reason))
            # Marks the exception as retrieved: dialling may fail before the future is
            # awaited.
            self.handshake.exception()
        watched = [future for _, future in self._watching.values()]
        for future in [*self._pending.values(), *watched]:
            if not future.done():
                future.set_exception(
                    ports.ConnectionLost(True, reason=f"the link was lost: {reason}")
                )
        if was_up:
            self.links.note("link_lost", peer=self.peer, reason=reason)
