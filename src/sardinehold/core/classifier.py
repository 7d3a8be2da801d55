"""Classification of statements by their text, for routing.

sqlglot parses the text; whatever it cannot classify is a write. Results are
cached by text without a trailing sqlcommenter comment, so that statements that
differ only in their idempotency key share an entry.
"""

import functools
import re
import sys
import typing
import urllib.parse

import sqlglot
from sqlglot import exp
from sqlglot import tokens
from sqlglot.dialects import postgres

from sardinehold.core import functions
from sardinehold.core import lexemes
from sardinehold.core import statements

CACHE_ENTRIES = 4096
"""Maximum number of statement texts whose traits are cached."""

MAX_PARSED_LENGTH = 16_384
"""Characters; a longer text is classified as a write without being parsed."""

_KEY = re.compile(r"sardinehold[._]idempotency_key\s*=\s*'([^']{1,200})'")
_SESSION_STATE = re.compile(
    r"\b(temp|temporary|listen|prepare|set|declare|set_config|pg_(try_)?advisory_\w+)\b",
    re.IGNORECASE,
)
_COMMIT = re.compile(r"\b(commit|end)\b", re.IGNORECASE)
"""Words that may commit, searched for in texts that are not parsed."""

_ANALYZE = re.compile(r"\banaly[sz]e\b|\bu&", re.IGNORECASE)
"""An option of EXPLAIN that runs the statement; its name may be escaped by ``U&``."""

_QUOTED = frozenset(
    [
        tokens.TokenType.STRING,
        tokens.TokenType.BIT_STRING,
        tokens.TokenType.BYTE_STRING,
        tokens.TokenType.HEX_STRING,
        tokens.TokenType.HEREDOC_STRING,
        tokens.TokenType.IDENTIFIER,
        tokens.TokenType.NATIONAL_STRING,
        tokens.TokenType.RAW_STRING,
        tokens.TokenType.UNICODE_STRING,
    ]
)
_COMMANDS = postgres.Postgres.Tokenizer.COMMANDS
_NO_SPAN = (sys.maxsize, sys.maxsize, False)
_SETTING_NAME = re.compile(r"[a-z_][a-z0-9_$]*(\.[a-z_][a-z0-9_$]*)*")
"""Names in lower case that mean the same with and without quotes."""

_ROLE_SETTINGS = frozenset(["role", "session_authorization"])
_NO_COPY = "COPY is not supported; use INSERT with several rows"
_NO_TWO_PHASE = "Two-phase commit is not supported; use COMMIT"
_NO_ROLE_CHANGE = "The proxy logs in for every team; the role cannot be changed"
_NO_SEQUENCE_STATE = "The last sequence value is not available; use RETURNING"
_NO_ENCODING = "Only client_encoding UTF8 is supported"
_NO_BACKSLASHES = (
    "standard_conforming_strings cannot be off; write E'...' for strings with escapes"
)
_ENCODINGS = frozenset(["utf8", "utf-8", "unicode", "default"])
_ON = frozenset(["on", "true", "yes", "1", "t", "y", "default"])
_NO_LOAD = "Loading a library is not supported"


def classify(text: str) -> statements.Traits:
    """Return the traits of a statement text.

    The result may be shared between callers and must not be changed.
    """
    start = _find_comment(text)
    if start < 0:
        return _classify_cached(text)
    is_separate = not _is_behind_line_comment(text, start)
    traits = _classify_cached(text[:start] if is_separate else text)
    key = _KEY.search(text, start)
    if key is None:
        return traits
    return _add_key(traits, urllib.parse.unquote(key.group(1)))


def _find_comment(text: str) -> int:
    """Return the start of the block comment that ends a text, -1 if there is none."""
    end = len(text.rstrip(" \t\r\n;")) - 2
    if not text.startswith("*/", max(end, 0)):
        return -1
    start = text.rfind("/*", 0, end)
    if start < 0 or text.find("*/", start + 2, end) >= 0:
        return -1
    return start


def _is_behind_line_comment(text: str, start: int) -> bool:
    """Return whether a line comment may begin before ``start`` on the same line."""
    line = max(text.rfind("\n", 0, start), text.rfind("\r", 0, start)) + 1
    return text.find("--", line, start) >= 0


def _classify_cached(text: str) -> statements.Traits:
    """Return cached traits; long texts are neither parsed nor cached."""
    if len(text) > MAX_PARSED_LENGTH:
        return _classify_unparsed(text)
    return _classify_short(text)


@functools.lru_cache(maxsize=CACHE_ENTRIES)
def _classify_short(text: str) -> statements.Traits:
    """Split the text into statements and merge their traits."""
    try:
        words = sqlglot.tokenize(text, read="postgres")
    except (sqlglot.errors.SqlglotError, RecursionError):
        words = None
    if words is None or not _covers_words(text, words):
        return _classify_unparsed(text)
    parts = _split(words)
    if not parts:
        return statements.Traits(statements.Kind.EMPTY)
    found = [_classify_part(text, part) for part in parts]
    if len(found) == 1:
        return found[0]
    return statements.merge_traits(found)


def _classify_unparsed(text: str) -> statements.Traits:
    pins = _SESSION_STATE.search(text) is not None
    commits = _COMMIT.search(text) is not None
    return statements.Traits(statements.Kind.WRITE, pins=pins, commits=commits)


def _covers_words(text: str, words: list[tokens.Token]) -> bool:
    """Return whether sqlglot reads each word and semicolon that PostgreSQL reads."""
    spans = _find_spans(text, words)
    start, end, is_semicolon = next(spans, _NO_SPAN)
    for offset in lexemes.find_words(text):
        while end <= offset:
            start, end, is_semicolon = next(spans, _NO_SPAN)
        if offset < start or is_semicolon != (text[offset] == ";"):
            return False
    return True


def _find_spans(
    text: str, words: list[tokens.Token]
) -> typing.Iterator[tuple[int, int, bool]]:
    """Yield start and end of the tokens that are no strings, and if it is a semicolon.

    After some first words, sqlglot returns the rest of the statement as one string.
    """
    previous = None
    for index, word in enumerate(words):
        if word.token_type not in _QUOTED:
            is_semicolon = word.token_type == tokens.TokenType.SEMICOLON
            yield word.start, word.end + 1, is_semicolon
        elif previous is not None and previous.token_type in _COMMANDS:
            is_last = index + 1 == len(words)
            end = len(text) if is_last else words[index + 1].start
            yield previous.end + 1, end, False
        previous = word


def _split(words: list[tokens.Token]) -> list[list[tokens.Token]]:
    """Return the tokens of each statement."""
    parts: list[list[tokens.Token]] = [[]]
    for word in words:
        if word.token_type == tokens.TokenType.SEMICOLON:
            parts.append([])
        else:
            parts[-1].append(word)
    return [part for part in parts if part]


def _classify_part(text: str, words: list[tokens.Token]) -> statements.Traits:
    """Return the traits of one statement, selected by its first word."""
    first = words[0].text.upper()
    if first == "SET":
        return _parse_set(text, words)
    parser = _PARSERS.get(first)
    if parser is not None:
        return parser(words)
    if first in ("SELECT", "WITH", "VALUES", "TABLE", "("):
        source = text[words[0].start : words[-1].end + 1]
        return _classify_query(source)
    return statements.Traits(statements.Kind.WRITE)


def _classify_query(source: str) -> statements.Traits:
    """Return the traits of a query: READ only if it changes nothing."""
    try:
        tree = sqlglot.parse_one(source, read="postgres")
    except (sqlglot.errors.SqlglotError, RecursionError):
        pins = _SESSION_STATE.search(source) is not None
        return statements.Traits(statements.Kind.WRITE, pins=pins)
    kind = statements.Kind.READ
    pins = False
    refusal = ""
    for node in tree.walk():
        if isinstance(node, exp.Func):
            name = _find_name(source, node)
            pins = pins or functions.leaves_state(name.lower())
            if functions.reads_sequence_state(name.lower()):
                refusal = _NO_SEQUENCE_STATE
            if name and not functions.is_safe(name, _find_schema(node)):
                kind = statements.Kind.WRITE
        elif isinstance(node, functions.WRITING_NODES):
            kind = statements.Kind.WRITE
            pins = pins or bool(node.args.get("temporary"))
    return statements.Traits(kind, pins=pins, refusal=refusal)


def _find_name(source: str, node: exp.Func) -> str:
    """Return the name of a function as it was written, ``""`` for other syntax.

    sqlglot replaces the names that it knows from any dialect.
    """
    start = node.meta.get("start")
    if start is None:
        return node.name.lower() if isinstance(node, exp.Anonymous) else ""
    name = source[start : node.meta["end"] + 1]
    return name.strip('"') if name.startswith('"') else name.lower()


def _find_schema(node: exp.Func) -> str:
    """Return the schema that a function's name is qualified with."""
    parent = node.parent
    owner = None
    if isinstance(parent, exp.Table):
        owner = parent.args.get("db")
    elif isinstance(parent, exp.Dot) and parent.expression is node:
        owner = parent.this
    if owner is None:
        return ""
    if not isinstance(owner, exp.Identifier):
        return "?"
    return owner.name if owner.args.get("quoted") else owner.name.lower()


def _upper(words: list[tokens.Token]) -> list[str]:
    """Return the words in upper case.

    After some first words, sqlglot returns the rest of the statement as one token.
    """
    return [part for word in words for part in word.text.upper().split()]


def _parse_begin(words: list[tokens.Token]) -> statements.Traits:
    return statements.Traits(statements.Kind.BEGIN, begins=True)


def _parse_end(words: list[tokens.Token]) -> statements.Traits:
    """Return the traits of COMMIT, END, ROLLBACK and ABORT."""
    upper = _upper(words)
    if "PREPARED" in upper:
        return _refuse(_NO_TWO_PHASE)
    if "TO" in upper:
        return statements.Traits(statements.Kind.WRITE, reverts=True)
    chains = "CHAIN" in upper and "NO" not in upper
    kind = statements.Kind.COMMIT
    if upper[0] in ("ROLLBACK", "ABORT"):
        kind = statements.Kind.ROLLBACK
    commits = kind is statements.Kind.COMMIT
    return statements.Traits(kind, begins=chains, ends=True, commits=commits)


def _parse_prepare(words: list[tokens.Token]) -> statements.Traits:
    if _upper(words)[1:2] == ["TRANSACTION"]:
        return _refuse(_NO_TWO_PHASE)
    return statements.Traits(statements.Kind.WRITE, pins=True)


def _parse_pinning(words: list[tokens.Token]) -> statements.Traits:
    return statements.Traits(statements.Kind.WRITE, pins=True)


def _parse_declare(words: list[tokens.Token]) -> statements.Traits:
    """Return the traits of a cursor; WITH HOLD, it outlives its transaction."""
    pins = "HOLD" in _upper(words)
    return statements.Traits(statements.Kind.WRITE, pins=pins)


def _parse_create(words: list[tokens.Token]) -> statements.Traits:
    temporary = {"TEMP", "TEMPORARY"} & set(_upper(words[:5]))
    return statements.Traits(statements.Kind.WRITE, pins=bool(temporary))


def _parse_copy(words: list[tokens.Token]) -> statements.Traits:
    return _refuse(_NO_COPY)


def _parse_load(words: list[tokens.Token]) -> statements.Traits:
    return _refuse(_NO_LOAD)


def _parse_explain(words: list[tokens.Token]) -> statements.Traits:
    runs = any(_ANALYZE.search(word.text) for word in words[1:])
    return statements.Traits(statements.Kind.WRITE if runs else statements.Kind.READ)


def _parse_set(text: str, words: list[tokens.Token]) -> statements.Traits:
    """Return the traits of SET in its several forms."""
    rest = words[1:]
    upper = [word.text.upper() for word in rest]
    local = upper[:1] == ["LOCAL"]
    if upper[:1] in (["LOCAL"], ["SESSION"]) and upper[1:2] != ["="]:
        rest, upper = rest[1:], upper[1:]
    if upper[:1] in (["ROLE"], ["AUTHORIZATION"]):
        return _refuse(_NO_ROLE_CHANGE)
    if upper[:1] == ["TRANSACTION"]:
        return statements.Traits(statements.Kind.WRITE)
    if upper[:1] in (["CHARACTERISTICS"], ["CONSTRAINTS"]):
        pins = upper[0] == "CHARACTERISTICS"
        return statements.Traits(statements.Kind.WRITE, pins=pins)
    if upper[:2] == ["TIME", "ZONE"]:
        name, values = "timezone", rest[2:]
    elif upper[:1] == ["NAMES"]:
        name, values = "client_encoding", rest[1:]
    else:
        name, values = _parse_name(rest)
    if name in _ROLE_SETTINGS:
        return _refuse(_NO_ROLE_CHANGE)
    if not _SETTING_NAME.fullmatch(name) or not values:
        return statements.Traits(statements.Kind.WRITE, pins=True)
    value = text[values[0].start : values[-1].end + 1]
    if name == "timezone" and values[0].token_type == tokens.TokenType.INTERVAL:
        return statements.Traits(statements.Kind.WRITE, pins=True)
    if name == "timezone" and value.upper() == "LOCAL":
        value = "DEFAULT"
    refusal = _find_unreadable(name, value)
    if refusal:
        return _refuse(refusal)
    if name.startswith("sardinehold."):
        value = value.strip("'")
    return statements.Traits(
        statements.Kind.SET, setting=name, value=value, local=local
    )


def _find_unreadable(name: str, value: str) -> str:
    """Return why a setting would let endpoints read later texts in another way."""
    plain = value.strip("'\"").lower()
    if name == "client_encoding" and plain not in _ENCODINGS:
        return _NO_ENCODING
    if name == "standard_conforming_strings" and plain not in _ON:
        return _NO_BACKSLASHES
    return ""


def _parse_name(words: list[tokens.Token]) -> tuple[str, list[tokens.Token]]:
    """Return name and value tokens of ``name = value`` or ``name TO value``."""
    for index, word in enumerate(words):
        if word.text.upper() in ("=", "TO"):
            name = "".join(part.text for part in words[:index])
            return name.lower(), words[index + 1 :]
    return "", []


def _parse_setting(words: list[tokens.Token]) -> statements.Traits:
    """Return the traits of RESET, SHOW and DISCARD."""
    kind = statements.Kind[words[0].text.upper()]
    rest = " ".join(word.text for word in words[1:])
    try:
        found = sqlglot.tokenize(rest, read="postgres")
    except sqlglot.errors.SqlglotError:
        found = []
    name = "".join(word.text for word in found).lower()
    if kind is statements.Kind.RESET and not _SETTING_NAME.fullmatch(name):
        return statements.Traits(statements.Kind.WRITE, pins=True)
    return statements.Traits(kind, setting=name)


def _parse_deallocate(words: list[tokens.Token]) -> statements.Traits:
    """Return the traits of DEALLOCATE: ``setting`` is ``all``, or ``value`` the name.

    At an endpoint it changes what the connection has prepared, so it pins.
    """
    rest = words[1:]
    if rest[:1] and rest[0].text.upper() == "PREPARE" and len(rest) > 1:
        rest = rest[1:]
    if len(rest) != 1:
        return statements.Traits(statements.Kind.WRITE, pins=True)
    name = rest[0].text
    if rest[0].token_type != tokens.TokenType.IDENTIFIER:
        name = name.lower()
        if name == "all":
            return statements.Traits(
                statements.Kind.DEALLOCATE, pins=True, setting="all"
            )
    return statements.Traits(statements.Kind.DEALLOCATE, pins=True, value=name)


def _refuse(reason: str) -> statements.Traits:
    return statements.Traits(statements.Kind.WRITE, refusal=reason)


def _add_key(traits: statements.Traits, key: str) -> statements.Traits:
    """Return a copy of ``traits`` with an idempotency key."""
    return statements.Traits(
        traits.kind,
        begins=traits.begins,
        ends=traits.ends,
        pins=traits.pins,
        setting=traits.setting,
        value=traits.value,
        local=traits.local,
        idempotency_key=key,
        refusal=traits.refusal,
        reverts=traits.reverts,
        commits=traits.commits,
    )


_PARSERS: dict[str, typing.Callable[[list[tokens.Token]], statements.Traits]] = {
    "BEGIN": _parse_begin,
    "START": _parse_begin,
    "COMMIT": _parse_end,
    "END": _parse_end,
    "ROLLBACK": _parse_end,
    "ABORT": _parse_end,
    "PREPARE": _parse_prepare,
    "LISTEN": _parse_pinning,
    "DECLARE": _parse_declare,
    "CREATE": _parse_create,
    "COPY": _parse_copy,
    "LOAD": _parse_load,
    "EXPLAIN": _parse_explain,
    "RESET": _parse_setting,
    "SHOW": _parse_setting,
    "DISCARD": _parse_setting,
    "DEALLOCATE": _parse_deallocate,
}
