"""Words of a statement text as PostgreSQL reads them.

Covers what decides where a statement ends: strings, quoted identifiers,
comments, and semicolons, with ``standard_conforming_strings`` on.
"""

import re

_LETTERS = r"A-Za-z_\x80-\U0010ffff"
_GAP = r"(?:[ \t\f\v]|--[^\r\n]*)*[\r\n](?:\s|--[^\r\n]*[\r\n])*"
_ESCAPED = r"'(?:[^'\\]|\\.|'')*'"

_LEXEME = re.compile(
    rf"""
    [eE]{_ESCAPED}(?:{_GAP}{_ESCAPED})*   # string with escapes, over several lines
  | (?:[uU]&|[bBnNxX])?'(?:[^']|'')*'     # string
  | (?:[uU]&)?"(?:[^"]|"")*"              # quoted identifier
  | --[^\r\n]*                            # line comment
  | (?P<comment>/\*)                      # block comment, may be nested
  | (?P<dollar>\$(?:[{_LETTERS}][{_LETTERS}0-9]*)?\$)  # dollar-quoted string
  | 0[xX][0-9a-fA-F_]+|[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?  # number
  | (?P<word>[{_LETTERS}][{_LETTERS}0-9$]*)
  | (?P<semicolon>;)
    """,
    re.VERBOSE | re.DOTALL,
)
_COMMENT_PART = re.compile(r"/\*|\*/")


def find_words(text: str) -> list[int]:
    """Return the offsets of all words and semicolons outside strings and comments."""
    found = []
    position = 0
    while match := _LEXEME.search(text, position):
        position = match.end()
        if match["word"] or match["semicolon"]:
            found.append(match.start())
        elif match["comment"]:
            position = _find_comment_end(text, position)
        elif match["dollar"]:
            end = text.find(match["dollar"], position)
            position = end + len(match["dollar"]) if end >= 0 else len(text)
    return found


def _find_comment_end(text: str, position: int) -> int:
    depth = 1
    while depth and (match := _COMMENT_PART.search(text, position)):
        depth += 1 if match.group() == "/*" else -1
        position = match.end()
    return position if not depth else len(text)
