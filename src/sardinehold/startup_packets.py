"""Parsers of start-up packets: TLS and cancel requests, start-up messages."""

import re

from sardinehold import errors
from sardinehold import wire

TOKEN_SETTING = "sardinehold.session"
AGE_SETTING = "sardinehold.max_age"

_WORD = re.compile(r"(?:\\.|[^\\\s])+", re.DOTALL | re.ASCII)
_ESCAPE = re.compile(r"\\(.)", re.DOTALL)
_AGE = re.compile(r"\s*(\d+(?:\.\d+)?)\s*(us|ms|s|min|h)?\s*", re.ASCII)
_UNITS = {"us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0, None: 1.0}


class TlsRequest:
    """Request for TLS."""

    __slots__ = ()


class GssRequest:
    """Request for GSSAPI encryption, which is not supported."""

    __slots__ = ()


class CancelRequest:
    """Request to cancel the running statement of a session.

    :param process: identifier of the session, from its BackendKeyData.
    :param secret: secret from the same message.
    """

    __slots__ = ("process", "secret")

    def __init__(self, process: int, secret: int) -> None:
        """Store the fields."""
        self.process = process
        self.secret = secret


class Startup:
    """Start-up message.

    :param route: ``database`` parameter, by default that of ``user``.
    :param token: session token from ``options``.
    :param max_age: maximum age of reads in seconds from ``options``, or None.
    :param settings: other requested settings, by name.
    """

    __slots__ = ("user", "route", "token", "max_age", "settings")

    def __init__(
        self,
        user: str,
        route: str,
        token: str = "",
        max_age: float | None = None,
        settings: dict[str, str] | None = None,
    ) -> None:
        """Store the fields."""
        self.user = user
        self.route = route
        self.token = token
        self.max_age = max_age
        self.settings = settings or {}


Packet = TlsRequest | GssRequest | CancelRequest | Startup


def find_packet_end(data: wire.Buffer, end: int) -> int:
    """Return the size of the first packet, 0 while it is incomplete.

    :raises sardinehold.errors.ProtocolViolation: its length is out of range.
    """
    if end < 4:
        return 0
    (length,) = wire.unpack_length(data, 0)
    if length < 8 or length > wire.MAX_STARTUP:
        raise errors.ProtocolViolation(
            f"Invalid length of a start-up packet: {length} bytes.",
            "Connect with a PostgreSQL driver.",
        )
    return length if length <= end else 0


def parse_packet(data: bytes) -> Packet:
    """Parse a caller's first packet.

    :raises sardinehold.errors.ProtocolViolation: the packet is malformed.
    :raises sardinehold.errors.Unsupported: it requests another protocol version.
    """
    (code,) = wire.unpack_length(data, 4)
    if code == wire.TLS_CODE:
        return TlsRequest()
    if code == wire.GSS_CODE:
        return GssRequest()
    if code == wire.CANCEL_CODE:
        return _parse_cancel(data)
    if code >> 16 != 3:
        raise errors.Unsupported(
            f"Protocol version {code >> 16}.{code & 0xFFFF} is not supported.",
            "Use a driver that speaks version 3 of the PostgreSQL protocol.",
        )
    return _build_startup(_parse_parameters(data))


def _parse_cancel(data: bytes) -> CancelRequest:
    if len(data) < 16:
        raise errors.ProtocolViolation(
            "A cancel request is too short.", "Use a PostgreSQL driver."
        )
    (process,) = wire.unpack_length(data, 8)
    (secret,) = wire.unpack_length(data, 12)
    return CancelRequest(process, secret)


def _parse_parameters(data: bytes) -> dict[str, str]:
    parts = data[8:].split(b"\0")
    if len(parts) < 2 or parts[-1] or parts[-2]:
        raise errors.ProtocolViolation(
            "A start-up message is not terminated.", "Use a PostgreSQL driver."
        )
    texts = [wire.decode(part) for part in parts[:-2]]
    if len(texts) % 2:
        raise errors.ProtocolViolation(
            "A start-up parameter has no value.", "Use a PostgreSQL driver."
        )
    return dict(zip(texts[::2], texts[1::2], strict=True))


def _build_startup(parameters: dict[str, str]) -> Startup:
    user = parameters.pop("user", "")
    if not user:
        raise errors.ProtocolViolation(
            "The start-up message has no user.", "Set a user; any name is accepted."
        )
    route = parameters.pop("database", user)
    if parameters.pop("replication", "false") not in ("false", "off", "0", "no"):
        raise errors.Unsupported(
            "Replication connections are not supported.",
            "Connect to the endpoint directly for replication.",
        )
    settings = {**parameters, **parse_options(parameters.pop("options", ""))}
    settings.pop("options", None)
    token = settings.pop(TOKEN_SETTING, "")
    age = settings.pop(AGE_SETTING, "")
    return Startup(user, route, token, parse_age(age) if age else None, settings)


def parse_options(text: str) -> dict[str, str]:
    """Parse settings from ``-c name=value`` and ``--name=value`` options.

    As in PostgreSQL, only a backslash quotes, and it quotes the next character.

    :raises sardinehold.errors.ProtocolViolation: an option has another form.
    """
    settings = {}
    words = iter(_ESCAPE.sub(r"\1", word) for word in _WORD.findall(text))
    for word in words:
        if word == "-c":
            word = next(words, "")
        elif word.startswith(("-c", "--")):
            word = word[2:]
        else:
            raise _build_option_error(word)
        name, equals, value = word.partition("=")
        if not name or not equals:
            raise _build_option_error(word)
        settings[name.replace("-", "_")] = value
    return settings


def _build_option_error(word: str) -> errors.ProtocolViolation:
    return errors.ProtocolViolation(
        f"The start-up option {word[:40]!r} is malformed.",
        "Write options as -c name=value.",
    )


def parse_age(text: str) -> float:
    """Parse an age such as ``2s`` or ``500ms`` and return seconds.

    :raises sardinehold.errors.ProtocolViolation: the text has another form.
    """
    match = _AGE.fullmatch(text)
    if match is None:
        raise errors.ProtocolViolation(
            f"{text[:40]!r} is not an age.", "Write an age such as 500ms, 2s or 1min."
        )
    return float(match.group(1)) * _UNITS[match.group(2)]
