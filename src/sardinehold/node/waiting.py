"""A statement that waits for a connection, and what it gets."""

import asyncio

from sardinehold.core import positions
from sardinehold.node import admission
from sardinehold.node import catalog
from sardinehold.node import pool


class Refused(Exception):
    """A statement got no connection; nothing of it ran.

    :param retry_after: seconds after which trying again makes sense.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class Waiter(admission.Waiter):
    """A statement that waits for a connection of a group.

    :param own: position of the session's last commit.
    :param needs_primary: whether only the primary may run it.
    :param avoided: endpoints that failed it already.
    """

    __slots__ = ("own", "values", "needs_primary", "avoided", "future", "opening")

    def __init__(
        self,
        team: str,
        route: catalog.Route,
        began: float,
        deadline: float,
        own: positions.Position | None,
        values: dict[str, str],
        needs_primary: bool,
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        """Start waiting."""
        super().__init__(team, route, began, deadline)
        self.own = own
        self.values = values
        self.needs_primary = needs_primary
        self.avoided = avoided
        self.future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.opening: pool.Endpoint | None = None


class Placed:
    """A connection to run a statement on.

    :param after: position that the endpoint's log must have, or None.
    """

    __slots__ = ("pooled", "after")

    def __init__(
        self, pooled: pool.Pooled, after: positions.Position | None = None
    ) -> None:
        """Keep the parts of the placement."""
        self.pooled = pooled
        self.after = after
