"""PostgreSQL types: OIDs, and conversion from and to text and binary format."""

import datetime
import struct
import uuid

from sardinehold_standins import wire

BOOL = 16
BYTEA = 17
INT8 = 20
INT2 = 21
INT4 = 23
TEXT = 25
JSON = 114
FLOAT4 = 700
FLOAT8 = 701
UNKNOWN = 705
BPCHAR = 1042
VARCHAR = 1043
DATE = 1082
TIMESTAMP = 1114
TIMESTAMPTZ = 1184
NUMERIC = 1700
VOID = 2278
UUID = 2950
JSONB = 3802

SIZES = {BOOL: 1, INT8: 8, INT2: 2, INT4: 4, FLOAT4: 4, FLOAT8: 8, UUID: 16}
"""Sizes in bytes of the fixed-size types."""

INTEGERS = frozenset((INT2, INT4, INT8))
FLOATS = frozenset((FLOAT4, FLOAT8, NUMERIC))

NAMES = {
    "bool": BOOL,
    "boolean": BOOL,
    "bytea": BYTEA,
    "blob": BYTEA,
    "varbinary": BYTEA,
    "bigint": INT8,
    "int8": INT8,
    "bigserial": INT8,
    "smallint": INT2,
    "int2": INT2,
    "int": INT4,
    "int4": INT4,
    "integer": INT4,
    "serial": INT4,
    "text": TEXT,
    "varchar": VARCHAR,
    "character varying": VARCHAR,
    "char": BPCHAR,
    "json": JSON,
    "jsonb": JSONB,
    "real": FLOAT4,
    "float": FLOAT8,
    "double": FLOAT8,
    "float4": FLOAT4,
    "float8": FLOAT8,
    "double precision": FLOAT8,
    "numeric": FLOAT8,
    "decimal": FLOAT8,
    "date": DATE,
    "timestamp": TIMESTAMP,
    "timestamptz": TIMESTAMPTZ,
    "timestamp with time zone": TIMESTAMPTZ,
    "uuid": UUID,
}
"""OIDs by type name; numeric is represented as double precision."""

_EPOCH = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)
_EPOCH_DATE = datetime.date(2000, 1, 1)
_MICROSECOND = datetime.timedelta(microseconds=1)


def find_oid(name: str) -> int:
    """Return the OID of a declared type, that of text if unknown."""
    return NAMES.get(name.split("(")[0].strip().lower(), TEXT)


def infer_oid(value: object) -> int:
    """Return the type OID of a Python value."""
    kind = type(value)
    if kind is int:
        return INT4 if -(2**31) <= value < 2**31 else INT8
    return _OID_BY_PYTHON_TYPE.get(kind, TEXT)


_OID_BY_PYTHON_TYPE = {bool: BOOL, float: FLOAT8, bytes: BYTEA}


def encode_text(value: object) -> bytes | None:
    """Return a value in text format."""
    kind = type(value)
    if kind is str:
        return value.encode()
    if kind is int:
        return b"%d" % value
    if value is None:
        return None
    if kind is bool:
        return b"t" if value else b"f"
    if kind is bytes:
        return b"\\x" + value.hex().encode()
    return repr(value).encode()


def encode_bool(value: object) -> bytes | None:
    """Return a boolean in text format."""
    if value is None:
        return None
    return b"t" if value else b"f"


def choose_encoder(oid: int, code: int):
    """Return the encoder of a type for a format code."""
    if code == 0:
        return encode_bool if oid == BOOL else encode_text
    pack = _PACKERS.get(oid, _pack_text)

    def encode(value):
        return None if value is None else pack(value)

    return encode


def decode(value: bytes | None, oid: int, code: int) -> object:
    """Return the value of a parameter as accepted by sqlite3.

    :raises sardinehold_standins.wire.Failure: the value is not valid for the type.
    """
    if value is None:
        return None
    try:
        if code == 1:
            return _UNPACKERS.get(oid, _unpack_text)(value)
        return _parse(value.decode(), oid)
    except (ValueError, struct.error) as error:
        raise wire.Failure("22P02", f"invalid parameter: {error}") from error


def _parse(text: str, oid: int) -> object:
    """Parse the value of a parameter in text format."""
    if oid in INTEGERS:
        return int(text)
    if oid in FLOATS:
        return float(text)
    if oid == BOOL:
        return int(text.lower() in ("t", "true", "on", "yes", "1"))
    if oid == BYTEA:
        if text.startswith("\\x"):
            return bytes.fromhex(text[2:])
        return text.encode()
    return text


def _build_packer(form: str, convert):
    """Return a function that converts and packs a value."""
    pack = struct.Struct(form).pack

    def encode(value):
        try:
            return pack(convert(value))
        except (struct.error, ValueError) as error:
            raise wire.Failure("22003", f"value out of range: {error}") from error

    return encode


def _build_unpacker(form: str):
    """Return a function that unpacks one value."""
    unpack = struct.Struct(form).unpack

    def read(value):
        return unpack(value)[0]

    return read


def _pack_text(value) -> bytes:
    """Pack a value as text."""
    return encode_text(value)


def _unpack_text(value: bytes) -> str:
    """Unpack text."""
    return value.decode()


def _pack_bytes(value) -> bytes:
    """Pack binary data."""
    return value if type(value) is bytes else str(value).encode()


def _pack_jsonb(value) -> bytes:
    """Pack a jsonb value with its version byte."""
    return b"\x01" + encode_text(value)


def _pack_timestamp(value) -> bytes:
    """Pack a timestamp as microseconds since 2000."""
    moment = datetime.datetime.fromisoformat(str(value))
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return struct.pack("!q", (moment - _EPOCH) // _MICROSECOND)


def _unpack_timestamptz(value: bytes) -> str:
    """Unpack a timestamp with time zone."""
    moment = _EPOCH + _MICROSECOND * _build_unpacker("!q")(value)
    return moment.isoformat(sep=" ").replace("+00:00", "+00")


def _unpack_timestamp(value: bytes) -> str:
    """Unpack a timestamp without time zone."""
    return _unpack_timestamptz(value).removesuffix("+00")


def _pack_date(value) -> bytes:
    """Pack a date as days since 2000."""
    day = datetime.date.fromisoformat(str(value)[:10])
    return struct.pack("!i", (day - _EPOCH_DATE).days)


def _unpack_date(value: bytes) -> str:
    """Unpack a date."""
    days = datetime.timedelta(days=_build_unpacker("!i")(value))
    return (_EPOCH_DATE + days).isoformat()


_PACKERS = {
    BOOL: _build_packer("!?", bool),
    INT2: _build_packer("!h", int),
    INT4: _build_packer("!i", int),
    INT8: _build_packer("!q", int),
    FLOAT4: _build_packer("!f", float),
    FLOAT8: _build_packer("!d", float),
    BYTEA: _pack_bytes,
    JSONB: _pack_jsonb,
    UUID: lambda value: uuid.UUID(str(value)).bytes,
    DATE: _pack_date,
    TIMESTAMP: _pack_timestamp,
    TIMESTAMPTZ: _pack_timestamp,
    VOID: lambda value: b"",
}

_UNPACKERS = {
    BOOL: lambda value: int(value != b"\0"),
    INT2: _build_unpacker("!h"),
    INT4: _build_unpacker("!i"),
    INT8: _build_unpacker("!q"),
    FLOAT4: _build_unpacker("!f"),
    FLOAT8: _build_unpacker("!d"),
    BYTEA: bytes,
    JSONB: lambda value: value[1:].decode(),
    UUID: lambda value: str(uuid.UUID(bytes=value)),
    DATE: _unpack_date,
    TIMESTAMP: _unpack_timestamp,
    TIMESTAMPTZ: _unpack_timestamptz,
}
