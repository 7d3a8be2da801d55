"""The messages of extended sequences, and what is sent in their place."""

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
    """One expected answer of an endpoint, and what becomes of it.

    :param injected: an answer to give in its place, for a message that was
        not sent; the endpoint answers nothing then.
    :param suppressed: whether the caller must not see it.
    :param added: statement that the connection has once this is confirmed.
    :param dropped: statement that the connection then no longer has.
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
        """Keep the parts of the step."""
        self.injected = injected
        self.suppressed = suppressed
        self.added = added
        self.dropped = dropped
        self.confirms = confirms


FORWARD = ExpectedAnswer()


class Outgoing(typing.NamedTuple):
    """What is sent to an endpoint.

    :param steps: None when all answers pass through as they are.
    """

    payload: bytes
    steps: list[ExpectedAnswer] | None = None


class SequenceMessage:
    """One message of an extended sequence.

    :param name: the statement that it names, as the caller knows it.
    :param prefix: of a Bind, the portal with its terminator.
    :param rest: of a Bind, what follows the statement's name.
    """

    __slots__ = ("kind", "raw", "name", "statement", "prefix", "rest", "on_portal")

    def __init__(self, kind: int, raw: bytes) -> None:
        """Read the names in a message.

        :raises sardinehold.errors.ProtocolViolation: it is malformed.
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
        """Return the message with another statement name."""
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
