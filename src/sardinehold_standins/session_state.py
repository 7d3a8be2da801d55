"""Temporary tables and advisory locks of sessions.

A temporary table is an ordinary table whose stored name contains the process ID of its
session, so that other sessions cannot name it. It is replicated like any other table
and is not dropped when the session ends.
"""

import re

from sardinehold_standins import lexer

TEMPORARY_TABLE_PREFIX = "pg_temp_"
"""Prefix of the stored names of temporary tables."""

_CREATE = re.compile(
    r"(\s*create\s+)(?:temp|temporary)\s+(table\s+(?:if\s+not\s+exists\s+)?)\"?(\w+)",
    re.IGNORECASE,
)


class TemporaryTables:
    """The temporary tables of one session."""

    __slots__ = ("_names", "_pattern")

    def __init__(self) -> None:
        """Start without temporary tables."""
        self._names: dict[str, str] = {}
        self._pattern: re.Pattern | None = None

    def rewrite(self, text: str, process_id: int) -> str:
        """Return a statement with the stored names of the temporary tables.

        :param process_id: process ID of the session.
        """
        created = _CREATE.match(text)
        if created:
            name = created.group(3).lower()
            self._names[name] = f"{TEMPORARY_TABLE_PREFIX}{process_id}_{name}"
            words = "|".join(re.escape(known) for known in self._names)
            self._pattern = re.compile(rf"\b(?:{words})\b", re.IGNORECASE)
            text = _CREATE.sub(r"\1\2\3", text, count=1)
        if self._pattern is None:
            return text
        return lexer.replace_outside_strings(text, self._pattern, self._rename)

    def clear(self) -> None:
        """Remove all names, as DISCARD ALL does."""
        self._names.clear()
        self._pattern = None

    def _rename(self, match: re.Match) -> str:
        """Return the stored name of a temporary table."""
        return self._names[match.group().lower()]


class AdvisoryLocks:
    """Advisory locks of an endpoint, by key."""

    __slots__ = ("_holders",)

    def __init__(self) -> None:
        """Start without locks."""
        self._holders: dict[int, int] = {}

    def try_lock(self, key: int, process_id: int) -> bool:
        """Try to acquire a lock; return whether the session holds it."""
        return self._holders.setdefault(key, process_id) == process_id

    def unlock(self, key: int, process_id: int) -> bool:
        """Release a lock; return whether the session held it."""
        if self._holders.get(key) != process_id:
            return False
        del self._holders[key]
        return True

    def unlock_all(self, process_id: int) -> None:
        """Release all locks of a session."""
        for key in [k for k, holder in self._holders.items() if holder == process_id]:
            del self._holders[key]
