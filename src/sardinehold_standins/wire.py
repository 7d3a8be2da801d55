"""Server-side framing of the PostgreSQL protocol, version 3.

Source: the chapter "Message Formats" of PostgreSQL's documentation.
"""

import struct

PROTOCOL = 196608
SSL_REQUEST = 80877103
GSS_REQUEST = 80877104
CANCEL_REQUEST = 80877102

MAX_FRAME_BYTES = 1024 * 1024 * 1024
"""Maximum size of a received frame."""

_INT32 = struct.Struct("!i")
_INT16 = struct.Struct("!h")
_HEADER = struct.Struct("!ci")
_FIELD = struct.Struct("!ihihih")

NULL = b"\xff\xff\xff\xff"
AUTHENTICATION_OK = b"R\x00\x00\x00\x08\x00\x00\x00\x00"
PASSWORD_REQUEST = b"R\x00\x00\x00\x08\x00\x00\x00\x03"
PARSE_COMPLETE = b"1\x00\x00\x00\x04"
BIND_COMPLETE = b"2\x00\x00\x00\x04"
CLOSE_COMPLETE = b"3\x00\x00\x00\x04"
NO_DATA = b"n\x00\x00\x00\x04"
EMPTY_QUERY = b"I\x00\x00\x00\x04"
PORTAL_SUSPENDED = b"s\x00\x00\x00\x04"
READY = {status: b"Z\x00\x00\x00\x05" + status.encode() for status in ("I", "T", "E")}


class Failure(Exception):
    """An error that is sent to the client.

    :param sqlstate: five-character SQLSTATE code.
    :param fatal: whether the error ends the session.
    """

    def __init__(self, sqlstate: str, message: str, fatal: bool = False) -> None:
        """Create an error."""
        super().__init__(message)
        self.sqlstate = sqlstate
        self.message = message
        self.fatal = fatal


class Reader:
    """Reads the fields of one message."""

    __slots__ = ("data", "at")

    def __init__(self, data: bytes) -> None:
        """Start at the first byte."""
        self.data = data
        self.at = 0

    def read_text(self) -> str:
        """Read a null-terminated string."""
        end = self.data.index(b"\0", self.at)
        text = self.data[self.at : end].decode()
        self.at = end + 1
        return text

    def read_int16(self) -> int:
        """Read a 16-bit integer."""
        (value,) = _INT16.unpack_from(self.data, self.at)
        self.at += 2
        return value

    def read_int32(self) -> int:
        """Read a 32-bit integer."""
        (value,) = _INT32.unpack_from(self.data, self.at)
        self.at += 4
        return value

    def read_value(self) -> bytes | None:
        """Read a length-prefixed value; None for NULL."""
        size = self.read_int32()
        if size < 0:
            return None
        value = self.data[self.at : self.at + size]
        self.at += size
        return value

    def read_byte(self) -> bytes:
        """Read one byte."""
        self.at += 1
        return self.data[self.at - 1 : self.at]


def split_frames(buffer: bytearray, frames: list[tuple[bytes, bytes]]) -> None:
    """Move all complete frames from ``buffer`` to ``frames`` as (type, payload).

    :raises Failure: a frame has an invalid length.
    """
    at = 0
    end = len(buffer)
    while end - at >= 5:
        kind, size = _HEADER.unpack_from(buffer, at)
        if size < 4 or size > MAX_FRAME_BYTES:
            raise Failure("08P01", f"invalid frame length {size}", fatal=True)
        if end - at < size + 1:
            break
        frames.append((kind, bytes(buffer[at + 5 : at + 1 + size])))
        at += size + 1
    if at:
        del buffer[:at]


def build(kind: bytes, payload: bytes) -> bytes:
    """Return a frame."""
    return kind + _INT32.pack(len(payload) + 4) + payload


def build_status(name: str, value: str) -> bytes:
    """Return a ParameterStatus."""
    return build(b"S", name.encode() + b"\0" + value.encode() + b"\0")


def build_key_data(process_id: int, secret: int) -> bytes:
    """Return a BackendKeyData."""
    return build(b"K", struct.pack("!iI", process_id, secret))


def build_error(failure: Failure) -> bytes:
    """Return an ErrorResponse."""
    severity = b"FATAL" if failure.fatal else b"ERROR"
    fields = (
        (b"S", severity),
        (b"V", severity),
        (b"C", failure.sqlstate.encode()),
        (b"M", failure.message.encode()),
    )
    return build(b"E", b"".join(k + v + b"\0" for k, v in fields) + b"\0")


def build_notice(sqlstate: str, message: str) -> bytes:
    """Return a NoticeResponse with a warning."""
    fields = ((b"S", "WARNING"), (b"V", "WARNING"), (b"C", sqlstate), (b"M", message))
    body = b"".join(k + v.encode() + b"\0" for k, v in fields)
    return build(b"N", body + b"\0")


def build_complete(tag: str) -> bytes:
    """Return a CommandComplete."""
    return build(b"C", tag.encode() + b"\0")


def build_parameters(oids: list[int]) -> bytes:
    """Return a ParameterDescription."""
    return build(b"t", struct.pack(f"!h{len(oids)}I", len(oids), *oids))


def build_description(
    columns: list[tuple[str, int]], formats: list[int], sizes: dict[int, int]
) -> bytes:
    """Return a RowDescription of columns given as (name, type OID)."""
    parts = [_INT16.pack(len(columns))]
    for (name, oid), code in zip(columns, formats, strict=True):
        parts.append(name.encode() + b"\0")
        parts.append(_FIELD.pack(0, 0, oid, sizes.get(oid, -1), -1, code))
    return build(b"T", b"".join(parts))


def build_row(values: list[bytes | None]) -> bytes:
    """Return a DataRow."""
    parts = [_INT16.pack(len(values))]
    for value in values:
        if value is None:
            parts.append(NULL)
        else:
            parts.append(_INT32.pack(len(value)))
            parts.append(value)
    return build(b"D", b"".join(parts))
