"""Lexer that splits queries into statements and finds parameters."""

import re

_TOKENS = re.compile(
    r"""
    '(?:[^']|'')*'              # string
  | "(?:[^"]|"")*"              # quoted identifier
  | --[^\n]*                    # line comment
  | /\*.*?\*/                   # block comment
  | \$(?P<tag>[A-Za-z_]\w*)?\$.*?\$(?(tag)(?P=tag))\$  # dollar quoted string
  | \$(?P<parameter>\d+)        # parameter
  | (?P<semicolon>;)
    """,
    re.VERBOSE | re.DOTALL,
)

_COMMENT = re.compile(r"(?:\s+|--[^\n]*(?:\n|$)|/\*.*?\*/)*", re.DOTALL)


def split_statements(text: str) -> list[str]:
    """Return the non-empty statements of a query."""
    if ";" not in text:
        return [text] if _is_statement(text) else []
    statements = []
    start = 0
    for match in _TOKENS.finditer(text):
        if match.group("semicolon"):
            statements.append(text[start : match.start()])
            start = match.end()
    statements.append(text[start:])
    return [statement for statement in statements if _is_statement(statement)]


def strip_comments(text: str) -> str:
    """Return ``text`` without leading white space and comments."""
    return text[_COMMENT.match(text).end() :]


def replace_parameters(text: str, pattern: str) -> tuple[str, int]:
    """Replace each parameter ``$n`` with ``pattern``, in which ``{}`` stands for n.

    :returns: the text and the highest parameter number.
    """
    highest = 0

    def replace(match: re.Match) -> str:
        nonlocal highest
        number = match.group("parameter")
        if not number:
            return match.group()
        highest = max(highest, int(number))
        return pattern.format(number)

    return _TOKENS.sub(replace, text), highest


def replace_outside_strings(text: str, pattern: re.Pattern, replace) -> str:
    """Replace matches of a pattern outside of strings and comments.

    :param replace: function that returns the replacement of a match.
    """
    parts = []
    start = 0
    for token in _TOKENS.finditer(text):
        parts.append(pattern.sub(replace, text[start : token.start()]))
        parts.append(token.group())
        start = token.end()
    parts.append(pattern.sub(replace, text[start:]))
    return "".join(parts)


def _is_statement(text: str) -> bool:
    """Return whether a text contains more than white space and comments."""
    return _COMMENT.match(text).end() < len(text)
