"""A statement that waits for an endpoint, and what it gets."""

import asyncio
import typing

from sardinehold.core import positions
from sardinehold.node import admission
from sardinehold.node import catalog

if typing.TYPE_CHECKING:
    from sardinehold.node import forwarding


class Refused(Exception):
    """A statement got no endpoint; nothing of it ran.

    :param retry_after: seconds after which trying again makes sense.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class Waiter(admission.Waiter):
    """A statement that waits for an endpoint of a group.

    :param last_commit: position of the session's last commit.
    :param needs_primary: whether only the primary may run it.
    :param avoided: endpoints that failed it already.
    """

    __slots__ = ("last_commit", "needs_primary", "avoided", "future")

    def __init__(
        self,
        team: str,
        route: catalog.Route,
        arrived_at: float,
        deadline: float,
        last_commit: positions.Position | None,
        needs_primary: bool,
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        """Start waiting."""
        super().__init__(team, route, arrived_at, deadline)
        self.last_commit = last_commit
        self.needs_primary = needs_primary
        self.avoided = avoided
        self.future: asyncio.Future = asyncio.get_running_loop().create_future()


class Assignment:
    """The way to an endpoint that a statement is to run on.

    :param after: position that the endpoint's log must have, or None.
    """

    __slots__ = ("stream", "after")

    def __init__(
        self, stream: "forwarding.Stream", after: positions.Position | None = None
    ) -> None:
        """Keep the parts of the placement."""
        self.stream = stream
        self.after = after
