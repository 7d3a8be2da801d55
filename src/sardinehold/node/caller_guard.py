"""Applies the limits of :mod:`.caller_limits` to the callers of a node."""

import collections
import typing

from sardinehold import metrics
from sardinehold.node import caller_limits
from sardinehold.node import clock

Reason = caller_limits.Reason

SWEEP_INTERVAL = 0.25
"""Seconds between checks of deadlines and of paused callers."""

LOG_INTERVAL = 1.0
"""Seconds between log lines of one reason; a crowd is one line."""


class CallerGuard:
    """Pauses, refuses and closes callers, and counts them by reason.

    :param budget: what the callers hold.
    """

    def __init__(
        self,
        limits: caller_limits.Limits,
        registry: metrics.Registry,
        note: typing.Callable[..., None],
    ) -> None:
        """Initialize without callers."""
        self.budget = caller_limits.Budget(limits)
        self._registry = registry
        self._note = note
        self._counts: collections.Counter[tuple[bool, str]] = collections.Counter()
        self._sweep_at = 0.0
        self._log_at = 0.0

    def admit(self, account: caller_limits.Account) -> bool:
        """Count a new connection; return whether it is accepted."""
        budget = self.budget
        if budget.is_full():
            for evicted in budget.choose_evicted(clock.read()):
                self._close(evicted, Reason.CONNECTIONS)
        if budget.is_full():
            self._count(False, Reason.CONNECTIONS)
            return False
        budget.add(account)
        return True

    def may_start(self) -> bool:
        """Return whether a new session is accepted."""
        if self.budget.may_start():
            return True
        self._count(False, Reason.MEMORY)
        return False

    def update(self, account: caller_limits.Account, held: int) -> None:
        """Set the bytes that a caller holds; close the largest if they are too many."""
        self.budget.update(account, held)
        if self.budget.is_exhausted():
            self._close_largest()

    def sweep(self, now: float) -> None:
        """Close callers past a deadline, and resume paused ones."""
        if now < self._sweep_at:
            return
        self._sweep_at = now + SWEEP_INTERVAL
        budget = self.budget
        for account, reason in budget.find_overdue(now):
            self._close(account, reason)
        refuses, pauses = budget.refuses_for_long(now), budget.pauses_for_long(now)
        if refuses or pauses:
            self._close_largest()
        for account in budget.take_resumable():
            account.caller.resume_reading()
        if now >= self._log_at and self._counts:
            self._log_at = now + LOG_INTERVAL
            self._write_counts()

    def update_gauges(self) -> None:
        """Update the gauges of the metrics page."""
        self._registry.set_gauge("callers_bytes", self.budget.total)
        self._registry.set_gauge("callers_paused", self.budget.count_paused())

    def _close_largest(self) -> None:
        for account in self.budget.choose_largest():
            self._close(account, Reason.MEMORY)

    def _close(self, account: caller_limits.Account, reason: Reason) -> None:
        self._count(True, reason)
        account.caller.abort()

    def _count(self, is_closed: bool, reason: Reason) -> None:
        self._counts[is_closed, reason.value] += 1
        event = "caller_closed" if is_closed else "caller_refused"
        self._registry.count(metrics.label_name(event, reason=reason.value))

    def _write_counts(self) -> None:
        """Write one line for each event and reason since the previous lines."""
        counts, self._counts = self._counts, collections.Counter()
        for (is_closed, reason), count in counts.items():
            self._note(
                "caller_closed" if is_closed else "caller_refused",
                reason=reason,
                count=count,
                held=self.budget.total,
                callers=len(self.budget.accounts),
            )
