"""Session tokens, with which callers continue a session's consistency elsewhere.

A token contains a read floor for each group that the session has used. A MAC
binds it to its owner (a team, or an open route) and to the fleet.
"""

import base64
import binascii
import hashlib
import hmac

from sardinehold import errors
from sardinehold.core import positions

MAC_BYTES = 16
"""Length in bytes of the MAC: keyed BLAKE2b (RFC 7693)."""

MAX_KEY_BYTES = 64
"""Maximum length in bytes of a BLAKE2b key."""

MAX_GROUPS = 32
"""Maximum number of groups in one token; the oldest is removed first."""

MAX_LENGTH = 4096
"""Maximum length of a token in characters."""

_MAX_BODY_BYTES = MAX_LENGTH // 4 * 3 - MAC_BYTES
_FORMAT = 1
_REMEDY = "Connect without sardinehold.session to start a new session."


class Floor:
    """Position below which a session's reads of one group must not fall.

    :param position: covers its own writes and the known part of its reads.
    :param endpoint: endpoint of the last read while the position that the read
        saw is unknown; ``""`` when ``position`` covers all reads.
    :param seen_at: when that read was answered, on this node's clock.
    :param token_endpoint: the endpoint in the caller's current token.
    """

    __slots__ = ("position", "endpoint", "seen_at", "token_endpoint")

    def __init__(
        self,
        position: positions.Position = positions.START,
        endpoint: str = "",
        seen_at: float = 0.0,
    ) -> None:
        """Store the fields of the floor."""
        self.position = position
        self.endpoint = endpoint
        self.seen_at = seen_at
        self.token_endpoint = endpoint


def sign_token(floors: dict[str, Floor], owner: str, key: bytes) -> str:
    """Return the signed token of a session, which is within ``MAX_LENGTH``.

    The floors of the oldest groups are left out if they do not fit.

    :param floors: read floors by group.
    :param owner: the team's name, or ``route:NAME``.
    """
    parts = [_encode_floor(group, floor) for group, floor in floors.items()]
    size = 1 + sum(map(len, parts))
    first = 0
    while size > _MAX_BODY_BYTES:
        size -= len(parts[first])
        first += 1
    body = bytes([_FORMAT]) + b"".join(parts[first:])
    mac = _compute_mac(key, owner, body)
    return base64.urlsafe_b64encode(body + mac).rstrip(b"=").decode()


def _encode_floor(group: str, floor: Floor) -> bytes:
    part = bytearray()
    _write_text(part, group)
    _write_number(part, floor.position.term)
    _write_number(part, floor.position.offset)
    _write_text(part, floor.endpoint)
    return bytes(part)


def read_token(
    text: str, owner: str, keys: tuple[bytes, ...], now: float
) -> dict[str, Floor]:
    """Return the floors of a token.

    :param keys: accepted signing keys.
    :param now: used as the time at which the session's last reads were answered.
    :raises sardinehold.errors.InvalidToken: the token is malformed, forged, or
        bound to another owner.
    """
    raw = _decode(text)
    body, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
    if not any(
        hmac.compare_digest(_compute_mac(key, owner, body), mac) for key in keys
    ):
        raise errors.InvalidToken(
            "The session token does not belong to this team.", _REMEDY
        )
    try:
        return _read_body(body, now)
    except (IndexError, UnicodeDecodeError) as error:
        raise errors.InvalidToken("The session token is malformed.", _REMEDY) from error


def _compute_mac(key: bytes, owner: str, body: bytes) -> bytes:
    """Return the MAC over owner and body, separated by the owner's length."""
    name = owner.encode()
    message = len(name).to_bytes(2, "big") + name + body
    return hashlib.blake2b(
        message, digest_size=MAC_BYTES, key=key[:MAX_KEY_BYTES]
    ).digest()


def _decode(text: str) -> bytes:
    """Return the bytes of a token's text."""
    try:
        if len(text) > MAX_LENGTH:
            raise ValueError(text)
        padding = "=" * (-len(text) % 4)
        raw = base64.b64decode(text + padding, altchars=b"-_", validate=True)
        if len(raw) <= MAC_BYTES or raw[0] != _FORMAT:
            raise ValueError(text)
    except (ValueError, binascii.Error) as error:
        raise errors.InvalidToken("The session token is malformed.", _REMEDY) from error
    return raw


def _read_body(body: bytes, now: float) -> dict[str, Floor]:
    """Return the floors in a verified body."""
    floors = {}
    index = 1
    while index < len(body):
        group, index = _read_text(body, index)
        term, index = _read_number(body, index)
        offset, index = _read_number(body, index)
        endpoint, index = _read_text(body, index)
        position = positions.Position(term, offset)
        floors[group] = Floor(position, endpoint, now)
    return floors


def _write_text(body: bytearray, text: str) -> None:
    raw = text.encode()
    _write_number(body, len(raw))
    body += raw


def _read_text(body: bytes, index: int) -> tuple[str, int]:
    length, index = _read_number(body, index)
    if index + length > len(body):
        raise IndexError(index)
    return body[index : index + length].decode(), index + length


def _write_number(body: bytearray, number: int) -> None:
    """Append a number as a varint: seven bits per byte, lowest first."""
    while number > 0x7F:
        body.append(number & 0x7F | 0x80)
        number >>= 7
    body.append(number)


def _read_number(body: bytes, index: int) -> tuple[int, int]:
    number = shift = 0
    while True:
        byte = body[index]
        index += 1
        number |= (byte & 0x7F) << shift
        if byte < 0x80:
            return number, index
        shift += 7
