"""Bounds of what one process holds for its callers: bytes and connections.

Load: callers that send many long messages at once, stop in the middle of one, do not
read their answers, or open more connections than the process has descriptors. Each
was unbounded in the sum over connections; one connection alone has its own bounds in
the adapter. All functions are pure: time is passed in. The cost of a statement does
not depend on the number of callers.
"""

import enum
import math
import typing

MIB = 1024 * 1024

MEMORY_SHARE = 0.25
"""Share of the machine's memory that callers may use. The process itself needs 60 to
90 MB of the smallest machine's 200 MB, and a counted byte takes up to two of memory."""

REQUEST_SHARE = 0.1
"""Share of the machine's memory for requests of other nodes that run or wait here."""

FILE_DESCRIPTORS = 200
"""Descriptors that the machine needs for files."""

CALLER_SHARE = 5 / 8
"""Share of the other descriptors for callers. The rest is for endpoints, links, the
store and connections that are accepted but not yet counted."""

UNPROVEN_SHARE = 1 / 8
"""Share of these descriptors for links that have not proven the fleet's key: hundreds
of nodes may dial at the same moment."""

PAGE_SHARE = 1 / 32
"""Share of these descriptors for each port of pages."""

MIN_DESCRIPTORS = 4
"""Minimum of any such share, on the smallest machine."""

DEFAULT_UNPROVEN = 1024
"""Links without a proof where the settings name no limit: all nodes of a large fleet
may reconnect at once."""

DEFAULT_PAGES = 64
"""Connections to each port of pages where the settings name no limit."""

PAUSE_LEVEL = 0.5
"""Fraction of the bytes above which callers that hold more than the mean are not
read."""

REFUSE_LEVEL = 0.75
"""Fraction of the bytes above which new sessions are refused."""

REFUSE_SECONDS = 1.0
"""Seconds after which the largest callers are closed, so that new ones fit again."""

PAUSE_SECONDS = 3.0
"""Seconds for which callers may stay paused without room for any of them. Then the
largest callers are closed, since nothing else may ever free what they hold."""

EVICTED_SHARE = 1 / 16
"""Share of the connections that are closed at once when no more may be opened, so that
the search for them is rare."""

IDLE_GRACE = 10.0
"""Seconds without a statement after which a session may be closed for a new caller when
no more connections may be opened."""

START_GRACE = 1.0
"""Seconds after which a connection without START may be closed for a new one. Without
it each new connection would close the previous one before its START arrives."""

SEARCH_INTERVAL = 1.0
"""Seconds between two searches for such connections that found none."""

LINE_TIMEOUT = 60.0
"""Seconds from the first byte of a line to its end: a megabyte at 18 kB/s."""

ANSWER_TIMEOUT = 60.0
"""Seconds in which a caller must read the answers that fill its buffers."""

ANSWER_BYTES_PER_SECOND = 64 * 1024
"""Rate that is granted in addition to a caller that reads a long answer."""

CLOSE_TIMEOUT = 10.0
"""Seconds for which a closed connection keeps answers that its caller has not read."""

READ_BYTES = 256 * 1024
"""Bytes that a resumed connection may add before it is paused again: one chunk of the
transport."""

MAX_STATE = 2 * MIB + 64 * 1024
"""Bytes of variables and prepared statements of a session, as sent between nodes: two
lines of the protocol's length fit, and one whose bytes are all sent as two."""

STATE_OVERHEAD = 256
"""Bytes that each variable or prepared statement counts in addition."""


class Reason(enum.Enum):
    """Why a caller was refused or closed, as in the log and the metrics."""

    MEMORY = "memory"
    """The callers together hold too much."""

    CONNECTIONS = "connections"
    """No more connections may be opened."""

    UNFINISHED_LINE = "unfinished line"
    """The end of a line did not arrive in time."""

    UNREAD_ANSWER = "unread answer"
    """The caller did not read an answer in time."""


class Limits:
    """Limits of one process.

    :param memory: bytes held for callers; infinite where the settings name none.
    :param callers: connections of callers; infinite where the settings name none.
    :param requests: bytes of other nodes' requests; infinite where the settings name
        none.
    :param unproven: links that have not proven the fleet's key.
    :param pages: connections to each port of pages.
    """

    __slots__ = ("memory", "callers", "requests", "unproven", "pages")

    def __init__(
        self,
        memory: float = math.inf,
        callers: float = math.inf,
        unproven: int = DEFAULT_UNPROVEN,
        pages: int = DEFAULT_PAGES,
    ) -> None:
        """Store the limits."""
        self.memory = memory
        self.callers = callers
        self.requests = math.inf
        self.unproven = unproven
        self.pages = pages


def make_limits(memory_mb: float | None, max_fds: float | None) -> Limits:
    """Return the limits of a process.

    :param memory_mb: memory of its machine in MB, None or 0 if it is not limited.
    :param max_fds: descriptors of its machine, None or 0 if it is not limited.
    """
    limits = Limits()
    if memory_mb:
        limits.memory = memory_mb * MIB * MEMORY_SHARE
        limits.requests = memory_mb * MIB * REQUEST_SHARE
    if max_fds:
        usable = max_fds - FILE_DESCRIPTORS
        limits.callers = max(MIN_DESCRIPTORS, int(usable * CALLER_SHARE))
        limits.unproven = max(MIN_DESCRIPTORS, int(usable * UNPROVEN_SHARE))
        limits.pages = max(MIN_DESCRIPTORS, int(usable * PAGE_SHARE))
        limits.unproven = min(limits.unproven, DEFAULT_UNPROVEN)
        limits.pages = min(limits.pages, DEFAULT_PAGES)
    return limits


class Account:
    """What one caller holds.

    :param held: bytes: unfinished and waiting lines, the running statement, unread
        answers, variables and prepared statements.
    :param has_session: whether a session was started.
    :param is_occupied: whether a statement runs.
    :param has_transaction: whether a transaction was open after the last statement.
    :param idle_since: end of the last statement, or time of the connection.
    :param line_deadline: time at which an unfinished line must be complete.
    :param answer_deadline: time at which unread answers must be read.
    :param is_paused: whether it is not read because of the sum over all callers.
    """

    __slots__ = (
        "held",
        "has_session",
        "is_occupied",
        "has_transaction",
        "idle_since",
        "line_deadline",
        "answer_deadline",
        "is_paused",
        "caller",
    )

    def __init__(self, caller: typing.Any, now: float) -> None:
        """Create the account of a new connection."""
        self.caller = caller
        self.held = 0
        self.has_session = False
        self.is_occupied = False
        self.has_transaction = False
        self.idle_since = now
        self.line_deadline = math.inf
        self.answer_deadline = math.inf
        self.is_paused = False

    def find_overdue(self, now: float) -> Reason | None:
        """Return which deadline has passed, None if none has."""
        if now >= self.answer_deadline:
            return Reason.UNREAD_ANSWER
        if now >= self.line_deadline:
            return Reason.UNFINISHED_LINE
        return None


def measure_state(name: str, value: str) -> int:
    """Return the bytes that a variable or prepared statement counts, as UTF-8."""
    return len(name.encode()) + len(value.encode()) + STATE_OVERHEAD


def compute_answer_deadline(now: float, unread: int) -> float:
    """Return the time at which a caller must have read its unread bytes."""
    return now + ANSWER_TIMEOUT + unread / ANSWER_BYTES_PER_SECOND


class Budget:
    """What all callers of a process hold together.

    :param total: bytes held for all callers.
    """

    def __init__(self, limits: Limits) -> None:
        """Create the budget of a process without callers."""
        self.limits = limits
        self.total = 0
        self.accounts: dict[Account, None] = {}
        self._paused: dict[Account, None] = {}
        self._search_at = -math.inf
        self._close_at = math.inf
        self._unpause_at = math.inf

    def add(self, account: Account) -> None:
        """Count a connection."""
        self.accounts[account] = None

    def remove(self, account: Account) -> None:
        """Release what a connection holds; further calls have no effect."""
        if account in self.accounts:
            del self.accounts[account]
            self._paused.pop(account, None)
            self.total -= account.held
            account.held = 0

    def update(self, account: Account, held: int) -> None:
        """Set the bytes that a caller holds."""
        if account in self.accounts:
            self.total += held - account.held
            account.held = held

    # Memory

    def is_strained(self) -> bool:
        """Return whether callers that hold much must not be read."""
        return self.total > PAUSE_LEVEL * self.limits.memory

    def is_exhausted(self) -> bool:
        """Return whether callers must be closed."""
        return self.total > self.limits.memory

    def may_start(self) -> bool:
        """Return whether a new session is accepted."""
        return self.total <= REFUSE_LEVEL * self.limits.memory

    def refuses_for_long(self, now: float) -> bool:
        """Return whether new sessions have been refused for ``REFUSE_SECONDS``."""
        if self.may_start():
            self._close_at = math.inf
        elif self._close_at == math.inf:
            self._close_at = now + REFUSE_SECONDS
        return now >= self._close_at

    def pauses_for_long(self, now: float) -> bool:
        """Return whether no paused caller has had room for ``PAUSE_SECONDS``."""
        if not self._paused or not self.is_strained():
            self._unpause_at = math.inf
        elif self._unpause_at == math.inf:
            self._unpause_at = now + PAUSE_SECONDS
        return now >= self._unpause_at

    def count_paused(self) -> int:
        """Return the number of callers that are not read because of the sum."""
        return len(self._paused)

    def pause_if_large(self, account: Account) -> bool:
        """Pause a caller that holds more than the mean; return whether it is paused."""
        mean = PAUSE_LEVEL * self.limits.memory / max(1, len(self.accounts))
        if self.is_strained() and account.held > mean:
            account.is_paused = True
            self._paused[account] = None
        return account.is_paused

    def take_resumable(self) -> list[Account]:
        """Return the paused callers that fit again, and count them as resumed.

        Those that hold least come first. Each may add a chunk before it is paused
        again, so that not all of them are resumed at once.
        """
        room = PAUSE_LEVEL * self.limits.memory - self.total
        found = []
        if room <= 0 or not self._paused:
            return found
        for account in sorted(self._paused, key=lambda item: item.held):
            if found and room < READ_BYTES:
                break
            room -= READ_BYTES
            account.is_paused = False
            del self._paused[account]
            found.append(account)
        return found

    def choose_largest(self) -> list[Account]:
        """Return the callers to close, largest first, until the sum is low again.

        The worst are those that hold most: one of them frees as much as thousands of
        ordinary callers.
        """
        found = []
        left = self.total
        for account in sorted(self.accounts, key=lambda item: -item.held):
            if left <= PAUSE_LEVEL * self.limits.memory:
                break
            left -= account.held
            found.append(account)
        return found

    # Deadlines

    def find_overdue(self, now: float) -> list[tuple[Account, Reason]]:
        """Return the callers whose deadline has passed, with the reason."""
        return [
            (account, reason)
            for account in self.accounts
            if (reason := account.find_overdue(now)) is not None
        ]

    # Connections

    def is_full(self) -> bool:
        """Return whether a new connection needs another one to be closed."""
        return len(self.accounts) >= self.limits.callers

    def choose_evicted(self, now: float) -> list[Account]:
        """Return connections to close so that new ones fit.

        Connections without a session for ``START_GRACE`` go first, oldest first: a
        caller sends START at once. Then the sessions that have been idle for longest,
        those with an open transaction last. Callers whose START or statement runs are
        kept.
        """
        if now < self._search_at:
            return []
        count = max(1, int(self.limits.callers * EVICTED_SHARE))
        free = [item for item in self.accounts if not item.is_occupied]
        found = [
            item
            for item in free
            if not item.has_session and now - item.idle_since >= START_GRACE
        ][:count]
        if len(found) < count:
            idle = [
                item
                for item in free
                if item.has_session and now - item.idle_since >= IDLE_GRACE
            ]
            idle.sort(key=lambda item: (item.has_transaction, item.idle_since))
            found += idle[: count - len(found)]
        if not found:
            self._search_at = now + SEARCH_INTERVAL
        return found


class Oldest:
    """Connections of which the one unused for longest is closed above a number.

    Used where a new connection is worth more than an old one that does nothing: links
    without a proof, and pages.

    :param limit: maximum number of connections.
    """

    __slots__ = ("limit", "_items")

    def __init__(self, limit: int) -> None:
        """Create an empty collection."""
        self.limit = limit
        self._items: dict[typing.Any, None] = {}

    def __len__(self) -> int:
        """Return the number of connections."""
        return len(self._items)

    def add(self, item: typing.Any) -> typing.Any | None:
        """Add a connection, or mark it as used; return one to close, if any."""
        self._items.pop(item, None)
        self._items[item] = None
        if len(self._items) <= self.limit:
            return None
        oldest = next(iter(self._items))
        del self._items[oldest]
        return oldest

    def discard(self, item: typing.Any) -> None:
        """Remove a connection that has ended."""
        self._items.pop(item, None)
