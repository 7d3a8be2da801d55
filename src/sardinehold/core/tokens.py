"""Session tokens: what a session has seen, in a form that callers carry.

A token holds a floor for each group that the session touched. It is bound to
its owner (a team, or an open route) and to the fleet by a MAC.
"""

import base64
import binascii
import hashlib
import hmac

from sardinehold import errors
from sardinehold.core import positions

MAC_BYTES = 16
"""Bytes of the MAC: BLAKE2b with a key (RFC 7693)."""

MAX_KEY_BYTES = 64
"""Bytes of a key that BLAKE2b takes."""

MAX_GROUPS = 32
"""Groups that one token can hold; the oldest goes first."""

MAX_LENGTH = 4096
"""Characters of a token."""

_FORMAT = 1
_REMEDY = "Connect without sardinehold.session to start a new session."


class Floor:
    """What a session's reads of one group must not fall behind.

    :param position: its own writes and what its reads are known to have seen.
    :param endpoint: where it read last, while the position that the read saw
        is not known; ``""`` when the position covers all.
    :param seen_at: when that read was answered, on this node's clock.
    :param token_endpoint: the endpoint in the token that the caller has.
    """

    __slots__ = ("position", "endpoint", "seen_at", "token_endpoint")

    def __init__(
        self,
        position: positions.Position = positions.START,
        endpoint: str = "",
        seen_at: float = 0.0,
    ) -> None:
        """Keep the parts of the floor."""
        self.position = position
        self.endpoint = endpoint
        self.seen_at = seen_at
        self.token_endpoint = endpoint


def sign_token(floors: dict[str, Floor], owner: str, key: bytes) -> str:
    """Return the token of a session.

    :param floors: by group.
    :param owner: the team's name, or ``route:NAME``.
    """
    body = bytearray([_FORMAT])
    for group, floor in floors.items():
        _write_text(body, group)
        _write_number(body, floor.position.term)
        _write_number(body, floor.position.offset)
        _write_text(body, floor.endpoint)
    mac = _compute_mac(key, owner, bytes(body))
    return base64.urlsafe_b64encode(body + mac).rstrip(b"=").decode()


def read_token(
    text: str, owner: str, keys: tuple[bytes, ...], now: float
) -> dict[str, Floor]:
    """Return the floors of a token.

    :param keys: any of them may have signed it.
    :param now: a read that the token speaks of was answered before.
    :raises sardinehold.errors.InvalidToken: it is malformed, forged, or bound
        to another owner.
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
    """Return the MAC over owner and body; the length keeps them apart."""
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
    """Return the floors that a verified body holds."""
    floors = {}
    place = 1
    while place < len(body):
        group, place = _read_text(body, place)
        term, place = _read_number(body, place)
        offset, place = _read_number(body, place)
        endpoint, place = _read_text(body, place)
        position = positions.Position(term, offset)
        floors[group] = Floor(position, endpoint, now)
    return floors


def _write_text(body: bytearray, text: str) -> None:
    raw = text.encode()
    _write_number(body, len(raw))
    body += raw


def _read_text(body: bytes, place: int) -> tuple[str, int]:
    length, place = _read_number(body, place)
    if place + length > len(body):
        raise IndexError(place)
    return body[place : place + length].decode(), place + length


def _write_number(body: bytearray, number: int) -> None:
    """Append a number with seven bits in each byte, lowest first."""
    while number > 0x7F:
        body.append(number & 0x7F | 0x80)
        number >>= 7
    body.append(number)


def _read_number(body: bytes, place: int) -> tuple[int, int]:
    number = shift = 0
    while True:
        byte = body[place]
        place += 1
        number |= (byte & 0x7F) << shift
        if byte < 0x80:
            return number, place
        shift += 7
