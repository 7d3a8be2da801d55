"""Datagrams between nodes: reports to the leader, and its advice.

A datagram is compressed JSON behind a keyed BLAKE2b of it; the key lies in the
platform's store, so that only nodes of this fleet are heard. Datagrams may be lost;
each report is complete in itself. grpclib does not fit here: a stream that went silent
would hold back what a fresh datagram delivers.
"""

import asyncio
import hashlib
import hmac
import json
import typing
import zlib

DIGEST_BYTES = 16
"""Bytes of the digest in front of a datagram."""

MAX_DATAGRAM = 60_000
"""Bytes of a datagram at most; UDP over IPv4 carries 65,507."""

MAX_MESSAGE = 4 * 1024 * 1024
"""Bytes of a message at most once it is decompressed: the store's largest object,
a megabyte, in the encoding of a datagram, with room to spare."""

COMPRESSION_DICTIONARY = (
    b'{"kind":"configuration","value":"{"kind":"request","version":'
    b'{"kind":"call","node":"frontend-","inc":"","version":,"resigns":false}'
    b'{"kind":"advice","node":"frontend-","inc":"","echo":,"states":[["","i-",'
    b'"sealed",0],["serving",0]],"samples":{},"grants":[[,1.0]],"catalog":,"seq":,'
    b'"at":,"suspects":[],"certain":0.0,"asks_store":false,"lead":,"full":[],'
    b'"short":[],"changed":[]}{"kind":"report","node":"frontend-","inc":"","at":,"states":{},'
    b'"samples":{},"acknowledged":{},"failing":{},"seq":,"usages":[[,0,0,0,0]],'
    b'"catalog":,"echo":,"echo_of":"","held":0.,"contact":0.,"full":[],'
    b'"unadvised":0.}'
)
"""What most messages hold, for the compression: a message is too short to learn it
from. Nodes with another vocabulary do not understand each other."""

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
            message = json.loads(unpack(body))
        except (ValueError, zlib.error):
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
        body = pack(json.dumps(message, separators=(",", ":")).encode())
        if len(body) > MAX_DATAGRAM:
            self._note("message_unsent", reason=f"{len(body)} bytes are too many")
            return
        self._transport.sendto(self._sign(body) + body, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _sign(self, body: bytes) -> bytes:
        return sign(self.key, body)


def sign(key: bytes, body: bytes) -> bytes:
    """Return a digest that only a node with the fleet's key can make."""
    return hashlib.blake2b(body, key=key, digest_size=DIGEST_BYTES).digest()


def pack(data: bytes) -> bytes:
    """Return data compressed with the vocabulary."""
    packer = zlib.compressobj(wbits=-zlib.MAX_WBITS, zdict=COMPRESSION_DICTIONARY)
    return packer.compress(data) + packer.flush()


def unpack(data: bytes) -> bytes:
    """Return what :func:`pack` was given.

    :raises zlib.error: it cannot be read, or is longer than any message.
    """
    unpacker = zlib.decompressobj(wbits=-zlib.MAX_WBITS, zdict=COMPRESSION_DICTIONARY)
    unpacked = unpacker.decompress(data, MAX_MESSAGE)
    if unpacker.unconsumed_tail or not unpacker.eof:
        raise zlib.error("the message is too long or cut off")
    return unpacked
