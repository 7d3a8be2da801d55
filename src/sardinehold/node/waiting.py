"""Statements that wait for an endpoint, and their assignments."""

import asyncio
import typing

from sardinehold.core import positions
from sardinehold.node import admission
from sardinehold.node import catalog
from sardinehold.node import residency

if typing.TYPE_CHECKING:
    from sardinehold.node import forwarding


class Refused(Exception):
    """Raised when a statement got no endpoint; nothing of it ran.

    :param retry_after: seconds after which the caller should retry.
    :param zone: the evacuated availability zone that is the cause, or ``""``.
    """

    def __init__(self, reason: str, retry_after: float, zone: str = "") -> None:
        """Initialize the exception."""
        super().__init__(reason)
        self.zone = zone
        self.reason = reason
        self.retry_after = retry_after


class Waiter(admission.Waiter):
    """A statement that waits for an endpoint of a group.

    :param last_commit: position of the session's last commit to the group, None if it
        made none.
    :param needs_primary: whether only the primary may run it.
    :param avoided: endpoints on which it already failed.
    :param diverted: endpoints whose owners sent it back, None if they may not.
    :param regions: regions in which it may run, None if all are allowed.
    """

    __slots__ = (
        "last_commit",
        "needs_primary",
        "avoided",
        "diverted",
        "regions",
        "future",
    )

    def __init__(
        self,
        team: str,
        route: catalog.Route,
        arrived_at: float,
        deadline: float,
        last_commit: positions.Position | None,
        needs_primary: bool,
        avoided: frozenset[str] = frozenset(),
        diverted: frozenset[str] | None = None,
        regions: residency.Regions = None,
    ) -> None:
        """Create a waiter with a pending future."""
        super().__init__(team, route, arrived_at, deadline)
        self.last_commit = last_commit
        self.needs_primary = needs_primary
        self.avoided = avoided
        self.diverted = diverted
        self.regions = regions
        self.future: asyncio.Future = asyncio.get_running_loop().create_future()

    def withdraw(self) -> None:
        """End the wait; the statement has ended."""
        if not self.future.done():
            self.future.set_exception(Refused("the statement has ended", 0.0))


class Assignment:
    """A stream to the endpoint on which a statement is to run.

    :param after: position that the endpoint's log must have reached, or None.
    :param divert_at: statements at the endpoint from which on its owner sends the
        statement back, None if it may not.
    :param skipped: why a read runs on the primary: reasons against the replicas, by
        name; None for other statements.
    """

    __slots__ = ("stream", "after", "divert_at", "skipped")

    def __init__(
        self,
        stream: "forwarding.Stream | forwarding.RefusedStream",
        after: positions.Position | None = None,
        divert_at: int | None = None,
        skipped: dict[str, str] | None = None,
    ) -> None:
        """Initialize the assignment."""
        self.stream = stream
        self.after = after
        self.divert_at = divert_at
        self.skipped = skipped
