"""Texts of statements in any form that the protocol allows, and their expected runs.

A text is any characters of Latin-1 but CR and LF; a field that is not the last has no
blank. Nothing here uses code of the node.
"""

import hashlib
import random

from sardinehold_standins import loopback

Form = tuple[bool, str]
"""Whether a prepared statement writes, and its shape."""

NO_STATEMENT = "(no statement has this name)"
"""Text of an EXECUTE whose name is not prepared: no database may run it."""

PROTOCOL_WORDS = (
    "AFTER",
    "QUERY",
    "COMMIT",
    "READY",
    "READ",
    "WRITE",
    "EXECUTE",
    "ERROR",
    "COMPLETE",
    "CLOSE",
    "-",
    "3.1",
    "I",
)

ODD_CHARACTERS = "\t\v\f\0\x01\x1b\x1c\x1f\x7f\x85\x9b\xa0\xad\xe9\xff%{}\\\"'#/;=:,"

BLANKS = (" ", " ", "  ", "   ")

PREFIX = "q" * 300

SIMILAR_SHAPES = (
    "q",
    "q ",
    " q",
    "q x",
    "q  x",
    "q\tx",
    "q\0a",
    "q\0b",
    "q\x85",
    "q\xa0",
    PREFIX + "a",
    PREFIX + "b",
)
"""Shapes that would be the same if they were cut or stripped."""

SHAPES = (
    "Q",
    "\xe9",
    "\xc3\xa9",
    "q READ rinswolzm",
    "READ q",
    "WRITE q",
    "r_q",
    "w_q",
    "r q",
    "w q",
    "AFTER 3.1 READ q",
    "COMMIT",
    "-",
    "a" + PREFIX,
    "b" + PREFIX,
    "q{}",
    "q{} x",
    "q{}  ",
    "q\t{}",
    "q\v\0\x85\xa0",
)
"""Other shapes of all callers, some of one (``{}``): those of two sessions are the
same, or would be if they were joined with a prefix or read in another encoding."""

STATEMENT_NAMES = ("s1", "s2", "s\t3", "COMMIT", "\xe9\xa0")
"""Names that all callers give their prepared statements."""

VALUE_NAMES = ("v1", "v\t1", "AFTER", "\xe9\0", "-")
"""Names that all callers give their variables."""

VALUES = ("1", "1 ", " 1", "", "READ i1", "AFTER 3.1", "\xe9", "a\tb", "a\0b", "a\0c")
"""Values of variables of all callers."""

LONG_SHARE = 0.01
"""Share of long texts among those that may be long."""

LONG_BYTES = (16 * 1024, 600 * 1024)
"""Bytes of long texts. Two of the longest ones would exceed the limit of a line."""

SHOWN_LENGTH = 2048
"""Characters above which a text is recorded as a digest."""


def make_field(source: random.Random) -> str:
    """Return a text without a blank."""
    chosen = source.random()
    if chosen < 0.3:
        return source.choice(PROTOCOL_WORDS)
    if chosen < 0.6:
        return "".join(source.choices(ODD_CHARACTERS, k=source.randrange(1, 6)))
    return "x" * source.randrange(1, 12)


def make_text(source: random.Random) -> str:
    """Return a text of several fields, with blanks between and around them."""
    if source.random() < LONG_SHARE:
        return make_long(source)
    text = source.choice(("", "", " ", "\t"))
    for _ in range(source.randrange(1, 5)):
        text += make_field(source) + source.choice(BLANKS)
    return text if source.random() < 0.2 else text.rstrip(" ") or "x"


def make_long(source: random.Random) -> str:
    """Return a long text."""
    low, high = LONG_BYTES
    length = int(low * (high / low) ** source.random())
    return (make_field(source) + " y" * length)[:length]


def make_form(source: random.Random, caller: str) -> Form:
    """Return the form of a prepared statement."""
    writes = source.random() < 0.6
    chosen = source.random()
    if chosen < LONG_SHARE:
        return writes, make_long(source)
    if chosen < 0.2:
        return writes, make_text(source)
    if chosen < 0.6:
        return writes, source.choice(SIMILAR_SHAPES)
    return writes, source.choice(SHAPES).format(caller)


def make_value(source: random.Random) -> str:
    """Return the value of a variable."""
    return source.choice(VALUES) if source.random() < 0.7 else make_text(source)


def expect_execution(form: Form | None, arguments: str) -> str:
    """Return what a database must run for an EXECUTE.

    :param form: that of the last acknowledged PREPARE of the name, None without one.
    """
    if form is None:
        return NO_STATEMENT
    return loopback.format_execution(*form, arguments)


def shorten(text: str) -> str:
    """Return a text as it is recorded: a long one as its start and a digest."""
    if len(text) <= SHOWN_LENGTH:
        return text
    digest = hashlib.sha256(text.encode(loopback.ENCODING)).hexdigest()
    return f"{text[:80]}... {len(text)} characters, {digest}"


def describe_values(values: dict[str, str]) -> str:
    """Return variables as they are reported."""
    shown = (f"{name!r}: {value!r:.60}" for name, value in values.items())
    return f"{{{', '.join(shown)}}}"
