"""Data, log and role of one endpoint; does no I/O, callers pass the time in.

The primary keeps two copies of the data: a transaction writes to the working
copy, and its commit appends the statements to the log and applies them to the
committed copy, which all other sessions read. Readers therefore never wait and
never see uncommitted data. A replica has only the committed copy and applies the
log of its primary to it.
"""

import collections
import datetime
import itertools
import random
import sqlite3

from sardinehold_standins import session_state
from sardinehold_standins import sqltypes
from sardinehold_standins import wire

LOG_ENTRIES = 20_000
"""Log entries retained for replicas; a replica further behind gets a snapshot."""

STATEMENT_CACHE_ENTRIES = 512
"""Size of sqlite's prepared statement cache for each copy."""

SEED_BITS = 62
"""Bits of the seed of a transaction's random functions."""


class Entry:
    """One committed transaction.

    :param term: term in which it was committed.
    :param offset: position in the log, counted from 1.
    :param started_at: wall time of the transaction's start in seconds.
    :param committed_at: wall time of the commit in seconds.
    :param seed: seed of the random functions in its statements.
    :param statements: (SQL, parameters) in execution order.
    """

    __slots__ = ("term", "offset", "started_at", "committed_at", "seed", "statements")

    def __init__(
        self,
        term: int,
        offset: int,
        started_at: float,
        committed_at: float,
        seed: int,
        statements: list[tuple[str, list]],
    ) -> None:
        """Create an entry."""
        self.term = term
        self.offset = offset
        self.started_at = started_at
        self.committed_at = committed_at
        self.seed = seed
        self.statements = statements


class Copy:
    """One sqlite database in memory.

    :param process: process ID of the session that reads.
    :param is_replica: value that ``pg_is_in_recovery`` returns.
    """

    __slots__ = (
        "connection",
        "process",
        "is_replica",
        "locks",
        "_now",
        "_random_state",
    )

    def __init__(self, locks: session_state.AdvisoryLocks) -> None:
        """Create an empty copy that uses the advisory locks of the endpoint."""
        self.locks = locks
        self.process = 0
        self.is_replica = True
        self.connection = sqlite3.connect(
            ":memory:",
            isolation_level=None,
            cached_statements=STATEMENT_CACHE_ENTRIES,
            detect_types=sqlite3.PARSE_DECLTYPES,
            check_same_thread=False,
        )
        self.connection.execute("PRAGMA foreign_keys = ON")
        self.set_context(0.0, 0)
        for name, count, function in self._list_functions():
            self.connection.create_function(name, count, function)

    def set_context(self, time: float, seed: int) -> None:
        """Set the time and the random seed that SQL functions use."""
        self._now = time
        self._random_state = seed

    def _list_functions(self):
        """Return (name, argument count, function) of functions that sqlite lacks."""
        return (
            ("now", 0, self._read_time),
            ("clock_timestamp", 0, self._read_time),
            ("current_timestamp", 0, self._read_time),
            ("random", 0, self._next_random),
            ("pg_sleep", 1, lambda seconds: ""),
            ("repeat", 2, lambda text, times: text * times),
            ("pg_backend_pid", 0, lambda: self.process),
            ("pg_is_in_recovery", 0, lambda: self.is_replica),
            ("version", 0, lambda: "PostgreSQL 16.0 (sardinehold stand-in)"),
            ("current_database", 0, lambda: "main"),
            ("current_schema", 0, lambda: "public"),
            ("pg_try_advisory_lock", 1, self._try_lock),
            ("pg_advisory_unlock", 1, self._unlock),
            ("pg_advisory_unlock_all", 0, self._unlock_all),
            ("octet_length", 1, _count_octets),
        )

    def _read_time(self) -> str:
        """Return the time of the transaction."""
        moment = datetime.datetime.fromtimestamp(self._now, datetime.UTC)
        return moment.isoformat(sep=" ").replace("+00:00", "+00")

    def _try_lock(self, key: int) -> bool:
        """Try to acquire an advisory lock for the session that reads."""
        return self.locks.try_lock(key, self.process)

    def _unlock(self, key: int) -> bool:
        """Release an advisory lock."""
        return self.locks.unlock(key, self.process)

    def _unlock_all(self) -> str:
        """Release all advisory locks of the session."""
        self.locks.unlock_all(self.process)
        return ""

    def _next_random(self) -> float:
        """Return the next random number of the transaction."""
        generator = random.Random(self._random_state)
        self._random_state = generator.getrandbits(SEED_BITS)
        return generator.random()


class Database:
    """Database of one endpoint of a group.

    :param name: name of the endpoint.
    :param seed: seed of all its random numbers.

    .. versionadded:: 0.1
    """

    def __init__(self, name: str, seed: int = 0) -> None:
        """Create an empty replica of term 0."""
        self.name = name
        self.is_primary = False
        self.term = 0
        self.history: list[tuple[int, int]] = []
        self.log: collections.deque[Entry] = collections.deque()
        self.received = 0
        self.applied = 0
        self.locks = session_state.AdvisoryLocks()
        self.committed = Copy(self.locks)
        self.working: Copy | None = None
        self.schema: dict[str, dict[str, int]] = {}
        self.schema_version = 0
        self._pending: collections.deque[Entry] = collections.deque()
        self._seeds = random.Random(f"{name}/{seed}")
        self._statements: list[tuple[str, list]] = []
        self._transaction_start: tuple[float, int] = (0.0, 0)

    def become_primary(self, term: int) -> int:
        """Become primary of a term; return the log offset of the promotion.

        :raises sardinehold_standins.wire.Failure: the term is not newer.
        """
        if self.is_primary and term == self.term:
            return self.history[-1][1]
        if term <= self.term:
            raise wire.Failure("55000", f"term {term} is not above {self.term}")
        self.apply_all()
        self.working = self.working or self._copy_committed()
        self.working.is_replica = self.committed.is_replica = False
        self.is_primary = True
        self.term = term
        self.history.append((term, self.received))
        return self.received

    def become_replica(self) -> None:
        """Stop accepting writes and discard an open transaction."""
        self.is_primary = False
        self.committed.is_replica = True
        self.working = None
        self._statements = []

    def begin(self, now: float) -> None:
        """Start the write transaction; there is at most one."""
        self._transaction_start = (now, self._seeds.getrandbits(SEED_BITS))
        self._statements = []
        self.working.set_context(*self._transaction_start)
        self.working.connection.execute("BEGIN")

    def read(self, sql: str, parameters: list, now: float) -> sqlite3.Cursor:
        """Run a query on the committed data."""
        copy = self.committed
        copy.set_context(now, self._seeds.getrandbits(SEED_BITS))
        return copy.connection.execute(sql, parameters)

    def read_working(self, sql: str, parameters: list) -> sqlite3.Cursor:
        """Run a query inside the write transaction."""
        return self.working.connection.execute(sql, parameters)

    def write(self, sql: str, parameters: list) -> sqlite3.Cursor:
        """Run a statement in the write transaction."""
        cursor = self.working.connection.execute(sql, parameters)
        self._statements.append((sql, parameters))
        return cursor

    def commit(self, now: float) -> Entry | None:
        """Commit the write transaction; return its log entry, None without changes."""
        self.working.connection.execute("COMMIT")
        if not self._statements:
            return None
        started_at, seed = self._transaction_start
        entry = Entry(
            self.term, self.received + 1, started_at, now, seed, self._statements
        )
        self._statements = []
        self._append(entry)
        self._apply(entry)
        return entry

    def rollback(self) -> None:
        """Roll back the write transaction."""
        self._statements = []
        if self.working.connection.in_transaction:
            self.working.connection.execute("ROLLBACK")

    def receive(self, entry: Entry) -> None:
        """Append an entry of the primary's log, to be applied later.

        :raises ValueError: the entry does not directly follow the log.
        """
        if entry.offset != self.received + 1:
            raise ValueError(
                f"log entry {entry.offset} does not follow offset {self.received}"
            )
        self._append(entry)
        self._pending.append(entry)

    def next_pending(self) -> Entry | None:
        """Return the next entry to apply, or None."""
        return self._pending[0] if self._pending else None

    def apply_next(self) -> None:
        """Apply the next received entry."""
        self._apply(self._pending.popleft())

    def apply_all(self) -> None:
        """Apply all received entries."""
        while self._pending:
            self.apply_next()

    def set_history(self, term: int, history: list[tuple[int, int]]) -> None:
        """Set the term and history to those of the primary."""
        self.term = term
        self.history = list(history)

    def contains_position(self, term: int, offset: int) -> bool:
        """Return whether a log that ends at this position is a prefix of this log."""
        if offset > self.received:
            return False
        if offset and term not in [known for known, _ in self.history]:
            return False
        return all(offset <= start for known, start in self.history if known > term)

    def read_log(self, offset: int) -> list[Entry] | None:
        """Return the entries after ``offset``; None if they are no longer retained."""
        oldest = self.log[0].offset if self.log else self.received + 1
        if offset + 1 < oldest:
            return None
        newest = itertools.islice(reversed(self.log), self.received - offset)
        return list(newest)[::-1]

    def take_snapshot(self) -> bytes:
        """Return the committed data as of ``applied``."""
        return self.committed.connection.serialize()

    def load_snapshot(self, data: bytes, offset: int) -> None:
        """Replace all data and the log with a snapshot."""
        source = sqlite3.connect(":memory:")
        source.deserialize(data)
        source.backup(self.committed.connection)
        source.close()
        self.log.clear()
        self._pending.clear()
        self.received = self.applied = offset
        self.read_schema()

    def dump(self) -> dict:
        """Return the committed rows of all tables except temporary ones."""
        connection = self.committed.connection
        tables = {}
        for table in sorted(self.schema):
            if table.startswith(session_state.TEMPORARY_TABLE_PREFIX):
                continue
            cursor = connection.execute(f'SELECT * FROM "{table}" ORDER BY 1')
            columns = [column[0] for column in cursor.description]
            tables[table] = {"columns": columns, "rows": cursor.fetchall()}
        return tables

    def read_schema(self) -> None:
        """Load the column types of all tables and views."""
        connection = self.committed.connection
        names = connection.execute(
            "SELECT name FROM sqlite_master WHERE type IN ('table', 'view') "
            "AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        self.schema = {}
        for (name,) in names:
            columns = connection.execute(f'PRAGMA table_info("{name}")').fetchall()
            self.schema[name.lower()] = {
                column[1].lower(): sqltypes.find_oid(column[2]) for column in columns
            }
        self.schema_version += 1

    def _append(self, entry: Entry) -> None:
        """Append an entry to the log, evicting the oldest beyond the limit."""
        self.log.append(entry)
        self.received = entry.offset
        if len(self.log) > LOG_ENTRIES:
            self.log.popleft()

    def _apply(self, entry: Entry) -> None:
        """Run the statements of an entry on the committed copy."""
        copy = self.committed
        execute = copy.connection.execute
        copy.set_context(entry.started_at, entry.seed)
        execute("BEGIN")
        for sql, parameters in entry.statements:
            execute(sql, parameters).fetchall()
        execute("COMMIT")
        self.applied = entry.offset
        if any(_changes_schema(sql) for sql, _ in entry.statements):
            self.read_schema()

    def _copy_committed(self) -> Copy:
        """Return a second copy of the committed data."""
        copy = Copy(self.locks)
        self.committed.connection.backup(copy.connection)
        return copy


def _changes_schema(sql: str) -> bool:
    """Return whether a statement may create, drop or alter a table."""
    return sql[:6].lstrip().lower().startswith(("create", "drop", "alter"))


def _count_octets(value: str | bytes | None) -> int | None:
    """Return the size of a value in bytes."""
    if value is None:
        return None
    return len(value) if isinstance(value, bytes) else len(str(value).encode())


def convert_error(error: sqlite3.Error) -> wire.Failure:
    """Return the PostgreSQL error that corresponds to an sqlite error."""
    message = str(error)
    for words, sqlstate in _SQLSTATES:
        if words in message:
            return wire.Failure(sqlstate, message)
    return wire.Failure("42000", message)


_SQLSTATES = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("FOREIGN KEY constraint", "23503"),
    ("CHECK constraint", "23514"),
    ("datatype mismatch", "42804"),
    ("no such table", "42P01"),
    ("already exists", "42P07"),
    ("no such column", "42703"),
    ("no such function", "42883"),
    ("no such savepoint", "3B001"),
    ("syntax error", "42601"),
    ("incomplete input", "42601"),
)

sqlite3.register_converter("boolean", lambda value: value != b"0")
sqlite3.register_converter("bool", lambda value: value != b"0")
