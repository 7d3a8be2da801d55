"""Values of settings as text of SQL statements."""

import re

_QUOTED_LISTS = frozenset(
    [
        "local_preload_libraries",
        "search_path",
        "session_preload_libraries",
        "temp_tablespaces",
    ]
)
"""Settings whose value is a list of identifiers; SET quotes each value it is given."""

_ITEM = re.compile(r'\s*(?:"((?:[^"]|"")+)"|([^\s,"]+))\s*(,|$)')


def quote_setting(name: str, value: str) -> str:
    """Return what to write behind ``SET name =`` for a value of a start-up message.

    There, a list is one text, as in the configuration file.
    """
    items = _split_list(value) if name in _QUOTED_LISTS else None
    return ", ".join(_quote(item) for item in items or [value])


def _split_list(text: str) -> list[str] | None:
    """Return the identifiers of a list, None if it is malformed."""
    items = []
    position = 0
    separator = ","
    while separator:
        found = _ITEM.match(text, position)
        if found is None:
            return None
        quoted, plain, separator = found.groups()
        item = _lower(plain) if quoted is None else quoted.replace('""', '"')
        items.append(item)
        position = found.end()
    return items


def _lower(text: str) -> str:
    """Return an identifier in lower case, of which PostgreSQL changes ASCII only."""
    return text.encode().lower().decode()


def _quote(text: str) -> str:
    return "'" + text.replace("'", "''") + "'"
