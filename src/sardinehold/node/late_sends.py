"""Statements that are sent to an endpoint although nobody waits for them any more.

They are work that no open request explains. Nothing is decided here: they are logged
and counted.
"""

import typing

from sardinehold import metrics
from sardinehold.node import execution


class LateSends:
    """Log of the statements that are sent after their request has ended.

    :param registry: counts them.
    :param note: logs an event; see :class:`sardinehold.node.journal.Journal`.
    """

    __slots__ = ("_registry", "_note")

    def __init__(
        self, registry: metrics.Registry, note: typing.Callable[..., None]
    ) -> None:
        """Initialize the log."""
        self._registry = registry
        self._note = note

    def check(self, request: execution.Request, connection_team: str) -> None:
        """Check a request that is sent to its endpoint now.

        :param connection_team: the team of the connection.
        """
        ending = request.find_ending(request.sent_at)
        if ending is not None:
            self._write(request, ending)
        if connection_team != request.team:
            self._note(
                "sent_for_other_team",
                request=request.statement.request_id,
                endpoint=request.endpoint,
                team=request.team,
                connection_team=connection_team,
            )

    def check_forwarded(self, request: execution.Request, passed_at: float) -> None:
        """Check a request that an owner sent, once its answer has arrived.

        The owner does not learn of an end that comes after the request.

        :param passed_at: when it was passed to the owner.
        """
        ended_at = request.origin.ended_at
        if ended_at is not None and passed_at < ended_at < request.sent_at:
            self._write(request, request.origin.ending)

    def _write(self, request: execution.Request, ending: execution.Ending) -> None:
        self._registry.count(
            metrics.label_name(
                "sent_late", attempt=request.attempt.value, reason=ending.value
            )
        )
        self._note(
            "sent_late",
            request=request.statement.request_id,
            kind=request.statement.kind.value,
            attempt=request.attempt.value,
            endpoint=request.endpoint,
            team=request.team,
            age=request.measure_age(),
            reason=ending.value,
        )
