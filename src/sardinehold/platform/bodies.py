"""Decoder of the store's answers in which single objects cannot be read.

Anyone may write to the store. An object with bytes that are not UTF-8, with a number of
thousands of digits or with values that are nested too deeply makes the whole body
unreadable for a JSON decoder. Its bytes are then split along the brackets, and every
object is decoded by itself.
"""

import json
import math
import re
import typing

_LISTS = frozenset({"items", "events"})
"""Members of a body that hold objects or events with an object."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{},]', re.DOTALL)
"""A string, a bracket or a comma. Outside of strings, their bytes have no other
meaning, in any encoding that extends ASCII."""

_KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:', re.DOTALL)


MAX_DEPTH = 64
"""Levels of nesting of a value that nodes can forward to each other."""

MAX_NUMBER = 2**63 - 1
"""Largest number that nodes can forward to each other."""


class Unreadable:
    """A value that could not be decoded.

    :param reason: the decoder's error.
    """

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        """Store the reason."""
        self.reason = reason


def decode(content: bytes) -> dict:
    """Decode a body.

    Objects that cannot be decoded are replaced: the ``spec`` by an
    :class:`Unreadable`, the whole object if its ``meta`` cannot be decoded either.

    :raises ValueError: it is no JSON object, or cannot be split into its members.
    """
    try:
        found = json.loads(content)
    except (ValueError, RecursionError):
        found = {
            name: _decode_list(part) if name in _LISTS else _decode_value(part)
            for name, part in _split_members(content).items()
        }
    if not isinstance(found, dict):
        raise ValueError(f"the body is {type(found).__name__}")
    return found


def check_value(value: typing.Any) -> None:
    """Check that nodes can compute with a decoded value and forward it.

    :raises ValueError: it has a number that is too large or not finite, text that is no
        Unicode, or too many levels.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        below: list[typing.Any] = []
        for item in level:
            if isinstance(item, dict):
                below += [*item.keys(), *item.values()]
            elif isinstance(item, list):
                below += item
            else:
                _check_scalar(item)
        if not below:
            return
        level = below
    raise ValueError(f"more than {MAX_DEPTH} levels")


def _check_scalar(value: typing.Any) -> None:
    if isinstance(value, str):
        value.encode()
    elif isinstance(value, float) and not math.isfinite(value):
        raise ValueError(f"number {value}")
    elif isinstance(value, int) and abs(value) > MAX_NUMBER:
        raise ValueError(f"number of {value.bit_length()} bits")


def _decode_list(content: bytes) -> list:
    return [_decode_object(part) for part in _split(content)]


def _decode_object(content: bytes) -> typing.Any:
    """Decode an object of the store, or an event with one."""
    try:
        return json.loads(content)
    except (ValueError, RecursionError) as error:
        reason = repr(error)
    try:
        parts = _split_members(content)
        if "Object" in parts:
            return {
                "Object": _decode_object(parts["Object"]),
                "IsGone": _decode_value(parts.get("IsGone", b"false")),
            }
        return {"meta": _decode_value(parts["meta"]), "spec": Unreadable(reason)}
    except (KeyError, ValueError):
        return Unreadable(reason)


def _decode_value(content: bytes) -> typing.Any:
    """Decode JSON.

    :raises ValueError: it cannot be decoded.
    """
    try:
        return json.loads(content)
    except RecursionError as error:
        raise ValueError("too deeply nested") from error


def _split_members(content: bytes) -> dict[str, bytes]:
    """Return the members of a JSON object by their names, undecoded.

    :raises ValueError: it has no such form.
    """
    members = {}
    for part in _split(content):
        key = _KEY.match(part)
        if key is None:
            raise ValueError(f"no member of an object: {part[:20]!r}")
        members[_decode_value(key[1])] = part[key.end() :]
    return members


def _split(content: bytes) -> list[bytes]:
    """Return the parts of a JSON array or object between its commas.

    :raises ValueError: its brackets are not balanced.
    """
    parts = []
    depth = 0
    begin = 0
    for token in _TOKEN.finditer(content):
        text = token[0]
        if text in (b"[", b"{"):
            depth += 1
            if depth == 1:
                begin = token.end()
        elif text in (b"]", b"}"):
            depth -= 1
        is_end = depth == 0 and text in (b"]", b"}")
        if is_end or (depth == 1 and text == b","):
            parts.append(content[begin : token.start()])
            begin = token.end()
        if is_end:
            return [part for part in parts if part.strip()]
    raise ValueError("the brackets are not balanced")
