"""Datagrams between nodes: reports to the leader, and its advice.

A datagram is JSON behind a keyed BLAKE2b of it; the key lies in the platform's
store, so that only nodes of this fleet are heard. Datagrams may be lost; each
report is complete in itself. grpclib does not fit here: a stream that went silent
would hold back what a fresh datagram delivers.
"""

import asyncio
import hashlib
import hmac
import json
import typing

DIGEST_BYTES = 16
"""Bytes of the digest in front of a datagram."""

MAX_DATAGRAM = 60_000
"""Bytes of a datagram at most; UDP over IPv4 carries 65,507."""

Receive = typing.Callable[[dict, tuple[str, int]], None]


class Peers(asyncio.DatagramProtocol):
    """Sends and receives the fleet's datagrams.

    :param receive: takes each message and its sender's address.
    :param note: writes a line; see :class:`sardinehold.node.journal.Journal`.
    """

    def __init__(self, receive: Receive, note: typing.Callable[..., None]) -> None:
        """Start without a key; nothing is heard before there is one."""
        self.key = b""
        self.rejected = 0
        self._receive = receive
        self._note = note
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take a datagram if it was made with the fleet's key."""
        digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not self.key or not hmac.compare_digest(digest, self._sign(body)):
            self.rejected += 1
            return
        try:
            message = json.loads(body)
        except ValueError:
            self.rejected += 1
            return
        self._receive(message, address)

    def error_received(self, error: Exception) -> None:
        """Note that a datagram could not be delivered; the next one may be."""
        self._note("message_unsent", reason=repr(error))

    def send(self, message: dict, address: tuple[str, int]) -> None:
        """Send a message; it may be lost."""
        if not self.key or self._transport is None:
            return
        body = json.dumps(message, separators=(",", ":")).encode()
        if len(body) > MAX_DATAGRAM:
            self._note("message_unsent", reason=f"{len(body)} bytes are too many")
            return
        self._transport.sendto(self._sign(body) + body, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _sign(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self.key, digest_size=DIGEST_BYTES).digest()
