"""Datagrams between nodes: reports to the leader, and its responses.

A datagram is compressed JSON preceded by a keyed BLAKE2b digest. The key is kept in the
platform's store, so that only datagrams from nodes of this fleet are accepted.
Datagrams may be lost; each report is self-contained. grpclib does not fit here: a
stream whose connection went silent would delay data that a new datagram delivers.
"""

import asyncio
import hashlib
import hmac
import json
import typing
import zlib

DIGEST_BYTES = 16
"""Length of the digest at the start of a datagram."""

MAX_DATAGRAM = 60_000
"""Maximum bytes of a datagram; UDP over IPv4 carries 65,507."""

MAX_MESSAGE = 4 * 1024 * 1024
"""Maximum bytes of a decompressed message: the store's largest object, a megabyte, as
encoded in a datagram, with room to spare."""

COMPRESSION_DICTIONARY = (
    b'{"kind":"configuration","value":"{"kind":"request","version":'
    b'{"kind":"call","node":"frontend-","inc":"","version":,"resigns":false}'
    b'{"kind":"advice","node":"frontend-","inc":"","echo":,"states":[["","i-",'
    b'"sealed",0],["serving",0]],"samples":{},"grants":[[,1.0]],"catalog":,"seq":,'
    b'"at":,"suspects":{},"certain":0.0,"asks_store":false,"lead":,"full":[],'
    b'"short":[],"changed":[]}{"kind":"report","node":"frontend-","inc":"","at":,"states":{},'
    b'"samples":{},"acknowledged":{},"failing":{},"seq":,"usages":[[,0,0,0,0]],'
    b'"catalog":,"echo":,"echo_of":"","held":0.,"contact":0.,"full":[],'
    b'"unadvised":0.,"era":1,"later":[],"overtaken":[],"covered":{},"covered_age":0.,'
    b'"covered_failing":{}}"sender":"frontend-","sender_inc":"","leader_age":0.}'
)
"""Preset dictionary of the compression: content that most messages share, since a
message is too short to build one of its own. Nodes with different dictionaries cannot
decode each other's messages."""

Receive = typing.Callable[[dict, tuple[str, int]], None]


class Peers(asyncio.DatagramProtocol):
    """Protocol that sends and receives the fleet's datagrams.

    :param receive: called with each message and the address of its sender.
    :param note: logs an event; see :class:`sardinehold.node.journal.Journal`.
    """

    def __init__(self, receive: Receive, note: typing.Callable[..., None]) -> None:
        """Initialize without a key; all datagrams are rejected until one is set."""
        self.key = b""
        self.rejected = 0
        self.sent_bytes = 0
        self._receive = receive
        self._note = note
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Handle a datagram if its digest was made with the fleet's key."""
        digest, body = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not self.key or not hmac.compare_digest(digest, self._sign(body)):
            self.rejected += 1
            return
        try:
            message = json.loads(unpack(body))
        except (ValueError, zlib.error):
            self.rejected += 1
            return
        self._receive(message, address)

    def error_received(self, error: Exception) -> None:
        """Log that a datagram could not be delivered; later ones may succeed."""
        self._note("message_unsent", reason=repr(error))

    def send(self, message: dict, address: tuple[str, int]) -> None:
        """Send a message; delivery is not guaranteed."""
        self.send_to_all(message, [address])

    def send_to_all(
        self, message: dict, addresses: typing.Iterable[tuple[str, int]]
    ) -> None:
        """Send a message that is encoded once; delivery is not guaranteed."""
        if not self.key or self._transport is None:
            return
        body = pack(json.dumps(message, separators=(",", ":")).encode())
        if len(body) > MAX_DATAGRAM:
            self._note(
                "message_unsent", reason=f"datagram of {len(body)} bytes is too large"
            )
            return
        datagram = self._sign(body) + body
        for address in addresses:
            self.sent_bytes += len(datagram)
            self._transport.sendto(datagram, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _sign(self, body: bytes) -> bytes:
        return sign(self.key, body)


def sign(key: bytes, body: bytes) -> bytes:
    """Return the keyed digest of ``body``."""
    return hashlib.blake2b(body, key=key, digest_size=DIGEST_BYTES).digest()


def pack(data: bytes) -> bytes:
    """Compress data with the preset dictionary."""
    packer = zlib.compressobj(wbits=-zlib.MAX_WBITS, zdict=COMPRESSION_DICTIONARY)
    return packer.compress(data) + packer.flush()


def unpack(data: bytes) -> bytes:
    """Decompress the output of :func:`pack`.

    :raises zlib.error: the data is malformed, exceeds ``MAX_MESSAGE`` bytes, or is
        followed by other data.
    """
    unpacker = zlib.decompressobj(wbits=-zlib.MAX_WBITS, zdict=COMPRESSION_DICTIONARY)
    unpacked = unpacker.decompress(data, MAX_MESSAGE)
    if unpacker.unconsumed_tail or unpacker.unused_data or not unpacker.eof:
        raise zlib.error("the message is too long, truncated or followed by others")
    return unpacked
