"""Framing of the PostgreSQL protocol, version 3.

Implemented from the published protocol documentation. Only the messages that the
proxy itself parses or builds have functions here; all other frames are forwarded
byte for byte.
"""

import struct
import typing

from sardinehold import errors

Buffer = bytes | bytearray | memoryview

HEADER = 5
"""Bytes before a message's payload: its type and its length."""

MAX_FRAME = 64 * 1024 * 1024
"""Maximum bytes of a message that a caller may send."""

MAX_STARTUP = 10_000
"""Maximum bytes of a start-up packet, as in PostgreSQL."""

MAX_CONTROL_BYTES = 1024 * 1024
"""Maximum bytes of an endpoint's message that the proxy itself parses."""

PROTOCOL_VERSION = 196608
CANCEL_CODE = 80877102
TLS_CODE = 80877103
GSS_CODE = 80877104

READY_SIZE = 6
"""Bytes of a ReadyForQuery message."""

AUTHENTICATION_OK = 0
CLEARTEXT_PASSWORD = 3

TEXT_TYPE = 25
"""Object identifier (OID) of the type ``text``."""

SYNC = b"S\0\0\0\4"
FLUSH = b"H\0\0\0\4"
PARSE_COMPLETE = b"1\0\0\0\4"
BIND_COMPLETE = b"2\0\0\0\4"
CLOSE_COMPLETE = b"3\0\0\0\4"
NO_DATA = b"n\0\0\0\4"

_LENGTH = struct.Struct("!i")
_SHORT = struct.Struct("!h")
_COLUMN = struct.Struct("!ihihih")

unpack_length = _LENGTH.unpack_from


class Fields(typing.NamedTuple):
    """Fields of an ErrorResponse that the proxy uses."""

    severity: str
    sqlstate: str
    message: str


def find_end(data: Buffer, start: int, end: int, limit: int = MAX_FRAME) -> int:
    """Return the end of the message at ``start``, 0 while it is incomplete.

    :raises sardinehold.errors.ProtocolViolation: its length is less than 4 or
        greater than ``limit``.
    """
    if end - start < HEADER:
        return 0
    length = unpack_length(data, start + 1)[0]
    if length < 4 or length > limit:
        raise errors.ProtocolViolation(
            f"Invalid length of a message: {length} bytes.",
            f"Send messages of 4 to {limit} bytes.",
        )
    stop = start + 1 + length
    return stop if stop <= end else 0


def read_string(data: Buffer, start: int, end: int) -> tuple[str, int]:
    """Return the zero-terminated string at ``start`` and the offset after it.

    :raises sardinehold.errors.ProtocolViolation: the string is not terminated,
        or is not UTF-8.
    """
    raw = bytes(data[start:end])
    stop = raw.find(b"\0")
    if stop < 0:
        raise errors.ProtocolViolation(
            "A string in a message is not terminated.", "Use a PostgreSQL driver."
        )
    return decode(raw[:stop]), start + stop + 1


def decode(raw: bytes) -> str:
    """Decode UTF-8 bytes.

    :raises sardinehold.errors.ProtocolViolation: the bytes are not UTF-8.
    """
    try:
        return raw.decode()
    except UnicodeDecodeError as error:
        raise errors.ProtocolViolation(
            "A statement or name is not valid UTF-8.", "Set client_encoding to UTF8."
        ) from error


def build_frame(kind: bytes, payload: bytes = b"") -> bytes:
    """Build a message."""
    return kind + _LENGTH.pack(len(payload) + 4) + payload


def build_packet(code: int, payload: bytes = b"") -> bytes:
    """Build a packet without a type byte, such as a start-up message."""
    return _LENGTH.pack(len(payload) + 8) + _LENGTH.pack(code) + payload


def build_startup(parameters: dict[str, str]) -> bytes:
    """Build a start-up message."""
    payload = b"".join(
        part.encode() + b"\0" for pair in parameters.items() for part in pair
    )
    return build_packet(PROTOCOL_VERSION, payload + b"\0")


def build_cancel(process: int, secret: int) -> bytes:
    """Build a CancelRequest."""
    return build_packet(CANCEL_CODE, _LENGTH.pack(process) + _LENGTH.pack(secret))


def build_query(sql: str) -> bytes:
    """Build a Query."""
    return build_frame(b"Q", sql.encode() + b"\0")


def build_authentication(code: int) -> bytes:
    """Build an authentication request, or AuthenticationOk."""
    return build_frame(b"R", _LENGTH.pack(code))


def build_parameter(name: str, value: str) -> bytes:
    """Build a ParameterStatus."""
    return build_frame(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def build_key_data(process: int, secret: int) -> bytes:
    """Build a BackendKeyData."""
    return build_frame(b"K", _LENGTH.pack(process) + _LENGTH.pack(secret))


def build_ready(status: str) -> bytes:
    """Build a ReadyForQuery with a transaction status (``I``, ``T``, ``E``)."""
    return build_frame(b"Z", status.encode())


def build_complete(tag: str) -> bytes:
    """Build a CommandComplete."""
    return build_frame(b"C", tag.encode() + b"\0")


def build_row_description(columns: typing.Iterable[str]) -> bytes:
    """Build a RowDescription of text columns."""
    names = list(columns)
    parts = [
        name.encode() + b"\0" + _COLUMN.pack(0, 0, TEXT_TYPE, -1, -1, 0)
        for name in names
    ]
    return build_frame(b"T", _SHORT.pack(len(names)) + b"".join(parts))


def build_row(values: typing.Iterable[str | None]) -> bytes:
    """Build a DataRow of text values."""
    fields = list(values)
    parts = [_SHORT.pack(len(fields))]
    for value in fields:
        if value is None:
            parts.append(_LENGTH.pack(-1))
            continue
        raw = value.encode()
        parts.append(_LENGTH.pack(len(raw)) + raw)
    return build_frame(b"D", b"".join(parts))


def build_error(error: errors.RequestError, severity: str = "ERROR") -> bytes:
    """Build an ErrorResponse with the outcome as detail and the remedy as hint."""
    fields = (
        ("S", severity),
        ("V", severity),
        ("C", error.sqlstate),
        ("M", f"{error.code}: {error.message}"),
        ("D", f"outcome: {error.outcome.value}"),
        ("H", error.remedy),
    )
    payload = b"".join(name.encode() + _encode_field(text) for name, text in fields)
    return build_frame(b"E", payload + b"\0")


def _encode_field(text: str) -> bytes:
    return text.replace("\0", "").encode() + b"\0"


def parse_error(payload: Buffer) -> Fields:
    """Parse an ErrorResponse; missing fields are returned empty."""
    found = {}
    for field in bytes(payload).split(b"\0"):
        if field:
            found[field[:1]] = field[1:].decode(errors="replace")
    severity = found.get(b"V") or found.get(b"S", "")
    return Fields(severity, found.get(b"C", ""), found.get(b"M", ""))


_READING_PARAMETERS = {
    b"client_encoding": b"UTF8",
    b"standard_conforming_strings": b"on",
}
"""Parameters that determine how an endpoint reads texts, with the required values."""


def keeps_reading(payload: Buffer) -> bool:
    """Return whether an endpoint reads texts as the proxy does after a ParameterStatus.

    Functions may change such a parameter without the proxy's knowledge.
    """
    name, _, value = bytes(payload).partition(b"\0")
    return value.rstrip(b"\0") == _READING_PARAMETERS.get(name, value.rstrip(b"\0"))


def parse_row(payload: Buffer) -> tuple[str | None, ...]:
    """Parse the text values of a DataRow.

    :raises sardinehold.errors.ProtocolViolation: the row is malformed.
    """
    raw = bytes(payload)
    try:
        (count,) = _SHORT.unpack_from(raw, 0)
        position = 2
        values: list[str | None] = []
        for _ in range(count):
            (length,) = unpack_length(raw, position)
            position += 4
            if length < 0:
                values.append(None)
                continue
            if position + length > len(raw):
                raise struct.error("field exceeds the end of the row")
            values.append(raw[position : position + length].decode(errors="replace"))
            position += length
    except struct.error as error:
        raise errors.ProtocolViolation(
            "An endpoint sent a malformed row.",
            "Check which program listens on its port.",
        ) from error
    return tuple(values)
