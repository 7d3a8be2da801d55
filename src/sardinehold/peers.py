"""Message transport between the proxies of a fleet, over gRPC.

Each node keeps one stream to each node that it sends to. Delivery is best
effort: messages that cannot be sent are dropped, since every message is
followed by a newer one.
"""

import asyncio
import collections
import contextlib
import socket
import ssl
import typing

import grpclib
from grpclib import client
from grpclib import server

from sardinehold import certificates
from sardinehold import codec
from sardinehold import errors
from sardinehold import metrics
from sardinehold import platform_client
from sardinehold import settings
from sardinehold import timeline
from sardinehold.core import messages
from sardinehold.proto import peers_grpc
from sardinehold.proto import peers_pb2

QUEUE_LIMIT = 64
"""Maximum messages queued for one stream; the oldest are dropped first."""

CONNECT_TIMEOUT = 1.0
"""Seconds that opening a stream to another node may take."""

RECEIPT_INTERVAL = 0.5
"""Minimum seconds between two receipts on a stream."""

RECEIPT_TIMEOUT = 2.5
"""Seconds without a receipt after which a stream counts as lost."""

IDLE_TIMEOUT = 15.0
"""Seconds without a message after which a stream is closed as idle."""

MessageHandler = typing.Callable[[messages.Message], None]


class Receipts:
    """Reports to the sender, at a limited rate, how many messages have arrived."""

    __slots__ = ("_received_count", "_wake")

    def __init__(self) -> None:
        """Create a counter at 0."""
        self._received_count = 0
        self._wake = asyncio.Event()

    def count(self) -> None:
        """Count a received message."""
        self._received_count += 1
        self._wake.set()

    async def send(
        self, stream: server.Stream[peers_pb2.Envelope, peers_pb2.Receipt]
    ) -> None:
        """Send receipts until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await stream.send_message(peers_pb2.Receipt(taken=self._received_count))
            await asyncio.sleep(RECEIPT_INTERVAL)


class Service(peers_grpc.PeersBase):
    """gRPC service that receives the messages of other nodes.

    :param handler: called with each message.
    """

    def __init__(
        self,
        handler: MessageHandler,
        recorder: timeline.Recorder,
        metrics: metrics.Registry,
    ) -> None:
        """Store the handler, the recorder and the metrics."""
        self._handler = handler
        self._recorder = recorder
        self._metrics = metrics

    async def Deliver(  # noqa: N802 (the name is that of the protocol)
        self, stream: server.Stream[peers_pb2.Envelope, peers_pb2.Receipt]
    ) -> None:
        """Receive the messages of one stream until it ends."""
        receipts = Receipts()
        confirming = asyncio.ensure_future(receipts.send(stream))
        try:
            async for envelope in stream:
                receipts.count()
                self._receive(envelope)
        finally:
            confirming.cancel()

    def _receive(self, envelope: peers_pb2.Envelope) -> None:
        self._metrics.count("peer_messages_received")
        self._metrics.count("peer_bytes_received", envelope.ByteSize())
        self._recorder.merge_timestamp(
            timeline.Timestamp(envelope.wall, envelope.logical)
        )
        try:
            message = codec.decode_envelope(envelope)
        except errors.ProtocolViolation:
            self._metrics.count("peer_messages_refused")
            return
        if message is None:
            self._metrics.count("peer_messages_unknown")
            return
        self._handler(message)


class Link:
    """The stream to one other node.

    :param address: ``host:port`` of its peer service.
    """

    __slots__ = (
        "address",
        "_context",
        "_queue",
        "_wake",
        "_task",
        "_metrics",
        "_backoff",
        "_confirmed_at",
        "_unconfirmed_since",
    )

    def __init__(
        self,
        address: str,
        context: ssl.SSLContext | None,
        metrics: metrics.Registry,
    ) -> None:
        """Start the task that opens the stream."""
        self.address = address
        self._context = context
        self._queue: collections.deque[peers_pb2.Envelope] = collections.deque(
            maxlen=QUEUE_LIMIT
        )
        self._wake = asyncio.Event()
        self._metrics = metrics
        self._backoff = platform_client.Backoff(limit=1.0)
        self._unconfirmed_since: float | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    @property
    def is_closed(self) -> bool:
        """Whether the stream was closed after its idle timeout."""
        return self._task.done()

    def send(self, envelope: peers_pb2.Envelope) -> None:
        """Queue a message."""
        self._queue.append(envelope)
        self._wake.set()

    async def close(self) -> None:
        """Close the stream."""
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task

    async def _run(self) -> None:
        while True:
            try:
                if await self._use_channel():
                    return
            except (OSError, TimeoutError, grpclib.exceptions.GRPCError):
                self._metrics.count("peer_streams_lost")
            except grpclib.exceptions.StreamTerminatedError:
                self._metrics.count("peer_streams_lost")
            delay = self._backoff.record_failure()
            await asyncio.sleep(delay)
            self._queue.clear()

    async def _use_channel(self) -> bool:
        """Send messages until the stream fails; return True when it is idle."""
        host, _, port = self.address.rpartition(":")
        channel = client.Channel(host, int(port), ssl=self._context)
        try:
            stub = peers_grpc.PeersStub(channel)
            async with stub.Deliver.open() as stream:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    await stream.send_request()
                reader = asyncio.ensure_future(self._read_receipts(stream))
                try:
                    await self._write(stream, reader)
                finally:
                    reader.cancel()
                await stream.cancel()
            return True
        finally:
            channel.close()

    async def _write(self, stream: client.Stream, reader: asyncio.Future) -> None:
        """Send queued messages until the stream has been idle for ``IDLE_TIMEOUT``."""
        loop = asyncio.get_running_loop()
        self._unconfirmed_since = None
        used_at = loop.time()
        while loop.time() - used_at < IDLE_TIMEOUT:
            while self._queue:
                envelope = self._queue.popleft()
                used_at = loop.time()
                if self._unconfirmed_since is None:
                    self._unconfirmed_since = used_at
                async with asyncio.timeout(RECEIPT_TIMEOUT):
                    await stream.send_message(envelope)
                self._metrics.count("peer_messages_sent")
                self._metrics.count("peer_bytes_sent", envelope.ByteSize())
            self._check_receipts(loop.time(), reader)
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECEIPT_TIMEOUT):
                    await self._wake.wait()

    def _check_receipts(self, now: float, reader: asyncio.Future) -> None:
        if reader.done():
            raise TimeoutError
        since = self._unconfirmed_since
        if since is not None and now - since > RECEIPT_TIMEOUT:
            raise TimeoutError

    async def _read_receipts(self, stream: client.Stream) -> None:
        async for _ in stream:
            self._unconfirmed_since = None
            self._backoff.record_success()


class Peers:
    """Peer service of this node, and its streams to other nodes.

    :param handler: called with each message that arrives.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "_handler",
        "_recorder",
        "_metrics",
        "_links",
        "_server",
        "_server_tls",
        "_client_tls",
    )

    def __init__(
        self,
        tls: settings.Tls,
        recorder: timeline.Recorder,
        metrics: metrics.Registry,
        handler: MessageHandler,
    ) -> None:
        """Load the certificates; nothing listens before :meth:`start`."""
        self._handler = handler
        self._recorder = recorder
        self._metrics = metrics
        self._links: dict[str, Link] = {}
        self._server: server.Server | None = None
        self._server_tls = _build_context(tls, ssl.Purpose.CLIENT_AUTH)
        self._client_tls = _build_context(tls, ssl.Purpose.SERVER_AUTH)

    async def start(self, listen: str) -> str:
        """Listen and return the address with the actual port.

        :raises sardinehold.errors.SettingsError: the port is in use.
        """
        host, _, port = listen.rpartition(":")
        service = Service(self._handler, self._recorder, self._metrics)
        self._server = server.Server([service])
        try:
            listener = socket.create_server((host, int(port)))
        except OSError as error:
            raise errors.SettingsError(
                f"The peer service cannot listen on {listen} ({error.strerror}).",
                "Choose a free port for peer_listen in section [proxy].",
            ) from error
        await self._server.start(sock=listener, ssl=self._server_tls)
        return f"{host}:{listener.getsockname()[1]}"

    def send(self, address: str, message: messages.Message) -> None:
        """Queue a message for the node at ``address``; open a stream if needed."""
        link = self._links.get(address)
        if link is None or link.is_closed:
            link = Link(address, self._client_tls, self._metrics)
            self._links[address] = link
        timestamp = self._recorder.next_timestamp()
        link.send(codec.encode_envelope(message, timestamp))

    async def close(self) -> None:
        """Close the service and all streams."""
        for link in list(self._links.values()):
            await link.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


def _build_context(tls: settings.Tls, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    """Build the TLS context of one side.

    Peers are verified by the fleet's own certificate authority; host names are
    not checked, because nodes find each other by IP address.
    """
    context = certificates.Certificates(tls, purpose).context
    if context is not None:
        context.check_hostname = False
        context.set_alpn_protocols(["h2"])
    return context
