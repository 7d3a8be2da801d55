"""Keys of an INI section and the conversion of their texts to values."""

import ipaddress
import pathlib
import re
import typing
import urllib.parse

MAX_SECONDS = 3600.0
"""Largest duration that a key accepts."""


class Option:
    """One key of a section.

    :param convert: converts the text to the value; raises ValueError with the
        problem and the remedy as its two arguments.
    :param parameter: parameter of the settings class, ``""`` if it has the name
        of the key.
    :param doc: meaning of the key, for the configuration reference.
    :param default: text that is used if the key is absent, None if it is required.
    """

    __slots__ = ("key", "convert", "doc", "default", "parameter")

    def __init__(
        self,
        key: str,
        convert: typing.Callable[[str], typing.Any],
        doc: str,
        default: str | None = None,
        parameter: str = "",
    ) -> None:
        """Store the fields of the option."""
        self.key = key
        self.convert = convert
        self.doc = doc
        self.default = default
        self.parameter = parameter or key


def convert_name(text: str) -> str:
    """Return the name of a VM or zone.

    :raises ValueError: with the problem and the remedy.
    """
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        raise ValueError(
            "is not a valid name",
            "Use 1 to 63 letters, digits, dots, hyphens or underscores.",
        )
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``; an IPv6 address is in brackets.

    :raises ValueError: with the problem and the remedy.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if host != "localhost":
        _require_ip_address(host)
    if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
        raise ValueError(
            "has no valid port", "Write HOST:PORT with a port from 0 to 65535."
        )
    return host, int(port)


def _require_ip_address(host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            "is not an IP address with a port",
            "Write IP:PORT, such as 127.0.0.1:6431 or [::1]:6431.",
        ) from None


def convert_address(text: str) -> str:
    """Return ``text`` if it is an address that :func:`split_address` accepts.

    :raises ValueError: with the problem and the remedy.
    """
    split_address(text)
    return text


def convert_optional_address(text: str) -> str:
    """Return an address, or an empty string.

    :raises ValueError: with the problem and the remedy.
    """
    return convert_address(text) if text else ""


def convert_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses of a list separated by spaces.

    :raises ValueError: with the problem and the remedy.
    """
    return tuple(convert_address(part) for part in text.split())


def convert_seconds(text: str) -> float:
    """Return a duration in seconds, above 0 up to :data:`MAX_SECONDS`.

    :raises ValueError: with the problem and the remedy.
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_SECONDS:
        raise ValueError(
            "is not a valid duration",
            f"Give seconds above 0 up to {MAX_SECONDS:.0f}.",
        )
    return seconds


def convert_url(text: str) -> str:
    """Return a base URL without a trailing slash.

    :raises ValueError: with the problem and the remedy.
    """
    try:
        parts = urllib.parse.urlsplit(text)
        usable = parts.scheme in ("http", "https") and bool(parts.hostname)
        usable = usable and (parts.port or 0) >= 0 and not parts.query
    except ValueError:
        usable = False
    if not usable:
        raise ValueError(
            "is not a base URL", "Write it as http://HOST:PORT or https://HOST:PORT."
        )
    return text.rstrip("/")


def convert_output_path(text: str) -> str:
    """Return the path of an output file, whose directory exists.

    :raises ValueError: with the problem and the remedy.
    """
    if text and not pathlib.Path(text).absolute().parent.is_dir():
        raise ValueError(
            "is in a directory that does not exist",
            "Create the directory, or omit the key.",
        )
    return text


def convert_input_path(text: str) -> str:
    """Return the path of a readable file, or an empty string.

    :raises ValueError: with the problem and the remedy.
    """
    if not text:
        return ""
    try:
        pathlib.Path(text).read_bytes()
    except OSError as error:
        raise ValueError(
            f"cannot be read ({error.strerror})",
            "Correct the path or the permissions of the file.",
        ) from error
    return text
