"""Keys of an INI section, and how their texts become values."""

import ipaddress
import pathlib
import re
import typing
import urllib.parse

MAX_SECONDS = 3600.0
"""Longest time that a key may give."""


class Option:
    """One key of a section.

    :param convert: returns the value of the text, raises ValueError with the
        problem and the remedy as its two arguments.
    :param parameter: of the settings class, ``""`` for the key itself.
    :param doc: what it means, for the configuration reference.
    :param default: text that stands for an absent key, None if it is required.
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
        """Keep the parts of the option."""
        self.key = key
        self.convert = convert
        self.doc = doc
        self.default = default
        self.parameter = parameter or key


def convert_name(text: str) -> str:
    """Return a name of a VM or zone."""
    if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", text):
        raise ValueError(
            "is not a usable name",
            "Use 1 to 63 letters, digits, dots, hyphens or underscores.",
        )
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of ``HOST:PORT``; an IPv6 number stands in brackets.

    :raises ValueError: with the problem and the remedy.
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if host != "localhost":
        _require_ip_address(host)
    if not re.fullmatch(r"[0-9]{1,5}", port) or int(port) > 65535:
        raise ValueError(
            "has no usable port", "Write HOST:PORT with a port from 0 to 65535."
        )
    return host, int(port)


def _require_ip_address(host: str) -> None:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(
            "is not an address with an IP number",
            "Write IP:PORT, such as 127.0.0.1:6431 or [::1]:6431.",
        ) from None


def convert_address(text: str) -> str:
    """Return an address that :func:`split_address` takes."""
    split_address(text)
    return text


def convert_optional_address(text: str) -> str:
    """Return an address, or an empty text."""
    return convert_address(text) if text else ""


def convert_addresses(text: str) -> tuple[str, ...]:
    """Return the addresses that stand in a list separated by spaces."""
    return tuple(convert_address(part) for part in text.split())


def convert_seconds(text: str) -> float:
    """Return a time in seconds."""
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds <= MAX_SECONDS:
        raise ValueError(
            "is not a usable time",
            f"Give seconds above 0 up to {MAX_SECONDS:.0f}.",
        )
    return seconds


def convert_url(text: str) -> str:
    """Return a base URL without a trailing slash."""
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
    """Return the path of a file to write, whose folder exists."""
    if text and not pathlib.Path(text).absolute().parent.is_dir():
        raise ValueError(
            "lies in a folder that does not exist",
            "Create the folder, or leave the key out.",
        )
    return text


def convert_input_path(text: str) -> str:
    """Return the path of a file that can be read, or an empty text."""
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
