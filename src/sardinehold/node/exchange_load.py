"""Load of a node that answers reports, and lateness of the answers that it gets.

Tokens that do not reach the nodes have several causes, which these figures tell apart:
a processor that is used up shows as delays of the event loop, a link that is used up as
long round trips without them, and an allocator without tokens as grants below requests.
"""

import typing

from sardinehold import metrics
from sardinehold.core import quota
from sardinehold.node import clock

LINE_INTERVAL = 1.0
"""Minimum seconds between two lines about the load."""


class ExchangeLoad:
    """Counters of the reports that this node answers and of the responses it receives.

    :param registry: receives the counters and latencies.
    :param note: logs an event; see :class:`sardinehold.node.journal.Journal`.
    """

    __slots__ = (
        "_registry",
        "_note",
        "_line_due",
        "_reports",
        "_exchanges",
        "_wanted",
        "_granted",
        "_round_trip",
        "_loop_delay",
        "_is_late",
    )

    def __init__(
        self, registry: metrics.Registry, note: typing.Callable[..., None]
    ) -> None:
        """Initialize without reports."""
        self._registry = registry
        self._note = note
        self._line_due = clock.read() + LINE_INTERVAL
        self._is_late = False
        self._reset()

    def _reset(self) -> None:
        self._reports = self._exchanges = self._wanted = self._granted = 0
        self._round_trip = self._loop_delay = 0.0

    def count_report(self, now: float, sent_at: float | None) -> None:
        """Count a report of another node.

        :param sent_at: lower bound of its sending on this node's clock; earlier by the
            time that the last response took.
        """
        self._reports += 1
        self._registry.count("reports_received")
        if sent_at is not None:
            self._round_trip = max(self._round_trip, now - sent_at)
            self._registry.observe("report_round_trip", now - sent_at)

    def count_grants(
        self, usages: typing.Sequence[quota.Usage], grants: typing.Sequence[quota.Grant]
    ) -> None:
        """Count the tokens that an exchange requested and got."""
        wanted = sum(usage.wanted for usage in usages)
        granted = sum(grant.tokens for grant in grants)
        self._exchanges += 1
        self._wanted += wanted
        self._granted += granted
        self._registry.count("tokens_requested", wanted)
        self._registry.count("tokens_granted", granted)

    def count_response(self, age: float) -> None:
        """Record the seconds from a report of this node to its response."""
        self._registry.observe("response_age", age)

    def count_lost_exchange(self) -> None:
        """Count an exchange that was not answered in time; its grants are not used."""
        self._registry.count("exchanges_lost")
        if not self._is_late:
            self._is_late = True
            self._note("grants_late")

    def count_exchange(self, seconds: float) -> None:
        """Record the seconds from a request for tokens to its grants."""
        self._registry.observe("exchange", seconds)
        if self._is_late:
            self._is_late = False
            self._note("grants_in_time", seconds=seconds)

    def observe_loop_delay(self, seconds: float) -> None:
        """Record how late the event loop resumed a timer."""
        self._loop_delay = max(self._loop_delay, seconds)
        self._registry.observe("loop_delay", max(0.0, seconds))

    def write_line(self, now: float, describe: typing.Callable[[], dict]) -> None:
        """Log the load of the last second, if this node answered any report.

        :param describe: returns further fields.
        """
        if now < self._line_due:
            return
        self._line_due = now + LINE_INTERVAL
        if self._reports:
            self._note(
                "exchange_load",
                reports=self._reports,
                exchanges=self._exchanges,
                wanted=self._wanted,
                granted=self._granted,
                round_trip=self._round_trip,
                loop_delay=self._loop_delay,
                **describe(),
            )
        self._reset()
