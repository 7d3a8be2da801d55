"""Messages of extended sequences, and the answers expected to them."""

import typing

from sardinehold import errors
from sardinehold import prepared
from sardinehold import wire

PARSE = ord("P")
BIND = ord("B")
DESCRIBE = ord("D")
EXECUTE = ord("E")
CLOSE = ord("C")


class ExpectedAnswer:
    """One answer in the order of a sequence's messages, and how to treat it.

    :param injected: answer that the proxy generates, for a message that was not
        sent; the endpoint sends none then.
    :param suppressed: whether the answer is not forwarded to the caller.
    :param added: statement that the connection has after this answer.
    :param dropped: statement that the connection no longer has after it.
    :param confirms: whether it confirms a change to the session's statements.
    """

    __slots__ = ("injected", "suppressed", "added", "dropped", "confirms")

    def __init__(
        self,
        injected: bytes = b"",
        suppressed: bool = False,
        added: bytes = b"",
        dropped: bytes = b"",
        confirms: bool = False,
    ) -> None:
        """Store the fields."""
        self.injected = injected
        self.suppressed = suppressed
        self.added = added
        self.dropped = dropped
        self.confirms = confirms


FORWARD = ExpectedAnswer()


class Outgoing(typing.NamedTuple):
    """Bytes to send to an endpoint.

    :param expected_answers: None if all answers are forwarded unchanged.
    """

    payload: bytes
    expected_answers: list[ExpectedAnswer] | None = None


class SequenceMessage:
    """One message of an extended sequence.

    :param name: name of its statement, as given by the caller.
    :param prefix: of a Bind, the portal name with its terminator.
    :param rest: of a Bind or Parse, the bytes after the statement's name.
    """

    __slots__ = ("kind", "raw", "name", "statement", "prefix", "rest", "on_portal")

    def __init__(self, kind: int, raw: bytes) -> None:
        """Parse the names in a message.

        :raises sardinehold.errors.ProtocolViolation: the message is malformed.
        """
        self.kind = kind
        self.raw = raw
        self.name = b""
        self.statement: prepared.Statement | None = None
        self.prefix = b""
        self.rest = b""
        self.on_portal = False
        payload = raw[wire.HEADER :]
        if kind == BIND:
            portal, self.name, self.rest = _split(payload, 2)
            self.prefix = portal + b"\0"
        elif kind == PARSE:
            self.name, self.rest = _split(payload, 1)
        elif kind in (DESCRIBE, CLOSE):
            self.on_portal = payload[:1] != b"S"
            self.name = _split(payload[1:], 1)[0]
        elif kind == EXECUTE:
            self.name = _split(payload, 1)[0]
            self.on_portal = True

    def rename(self, name: bytes) -> bytes:
        """Return the message with the statement name replaced."""
        if self.kind == BIND:
            return wire.build_frame(b"B", self.prefix + name + b"\0" + self.rest)
        return wire.build_frame(bytes((self.kind,)), b"S" + name + b"\0")


def _split(payload: bytes, strings: int) -> list[bytes]:
    parts = payload.split(b"\0", strings)
    if len(parts) <= strings:
        raise errors.ProtocolViolation(
            "A name in a message is not terminated.", "Use a PostgreSQL driver."
        )
    return parts
