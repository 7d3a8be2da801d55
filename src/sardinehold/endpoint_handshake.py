"""Start-up phase of a connection to an endpoint."""

import asyncio
import typing

from sardinehold import errors
from sardinehold import wire

_NO_ROOM = "53300"


class EndpointFull(errors.EndpointUnavailable):
    """An endpoint refused a connection because it is at its limit."""


class HandshakeTarget(typing.Protocol):
    """Connection whose parameters a handshake fills in."""

    parameters: dict[str, str]
    key_data: bytes


class EndpointHandshake:
    """Reader of an endpoint's messages until it is ready.

    :param outcome: future that is resolved when the endpoint is ready or refuses.
    """

    __slots__ = ("connection", "outcome", "done", "finish")

    def __init__(self, connection: HandshakeTarget, outcome: asyncio.Future) -> None:
        """Create a reader before the first message."""
        self.connection = connection
        self.outcome = outcome
        self.done = False
        self.finish = self._finish

    def feed(self, data: wire.Buffer, start: int, end: int) -> int:
        """Read from ``start`` and return where reading stopped."""
        while not self.done:
            stop = wire.find_end(data, start, end, wire.MAX_CONTROL_BYTES)
            if not stop:
                break
            self._read(data[start], bytes(data[start + wire.HEADER : stop]))
            start = stop
        return start

    def _read(self, kind: int, payload: bytes) -> None:
        if kind == ord("R") and payload != b"\0\0\0\0":
            self._fail(
                errors.EndpointUnavailable(
                    "An endpoint requested a password from the proxy.",
                    "Authenticate the group's user by trust or by client certificate.",
                )
            )
        elif kind == ord("E"):
            fields = wire.parse_error(payload)
            kind_of_error = errors.EndpointUnavailable
            if fields.sqlstate == _NO_ROOM:
                kind_of_error = EndpointFull
            self._fail(
                kind_of_error(
                    f"An endpoint refused a connection: {fields.message}.",
                    "Check the group's user, database and limit of connections.",
                )
            )
        elif kind == ord("S"):
            if not wire.keeps_reading(payload):
                self._fail(
                    errors.EndpointUnavailable(
                        "An endpoint reads texts in another way than the proxy.",
                        "Leave standard_conforming_strings on, and client_encoding as"
                        " the proxy requests it.",
                    )
                )
            name, _, value = payload.partition(b"\0")
            text = value.rstrip(b"\0").decode(errors="replace")
            self.connection.parameters[name.decode(errors="replace")] = text
        elif kind == ord("K") and len(payload) >= 8:
            self.connection.key_data = payload[:8]
        elif kind == ord("Z"):
            self.done = True

    def _fail(self, error: errors.EndpointUnavailable) -> None:
        if not self.outcome.done():
            self.outcome.set_exception(error)

    def _finish(self, reader: "EndpointHandshake") -> None:
        if not self.outcome.done():
            self.outcome.set_result(None)

    def release(self) -> None:
        """Do nothing: the messages are not forwarded."""
