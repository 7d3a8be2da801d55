"""Which waiting statement goes next, and which cannot be served in time.

Answers the load at which more statements arrive than connections and slots can
take: what is worth more and still in time goes first, and what would only wait
until its deadline is refused at once, while its caller can still go elsewhere.
"""

import typing

from sardinehold.node import catalog

_Waiter = typing.TypeVar("_Waiter", bound="Waiter")

MIN_RETRY_AFTER = 0.05
"""Seconds after which a refused caller is asked to come back at the earliest."""


class Waiter:
    """A statement that waits for an endpoint.

    :param arrived_at: when it arrived.
    :param deadline: when its wait ends.
    """

    __slots__ = ("team", "route", "arrived_at", "deadline")

    def __init__(
        self,
        team: str,
        route: catalog.Route,
        arrived_at: float,
        deadline: float,
    ) -> None:
        """Keep the parts of the waiter."""
        self.team = team
        self.route = route
        self.arrived_at = arrived_at
        self.deadline = deadline

    @property
    def target(self) -> float:
        """Until when it is in time."""
        return self.arrived_at + self.route.target_latency


def rank(target: float, priority: int, now: float) -> tuple[int, int, float]:
    """Return the order of a statement; the lowest goes first.

    Statements that can still meet their route's target go before those that
    are late already, then by the route's priority, then by the time left.

    :param target: until when it is in time.
    """
    return (int(target <= now), priority, target)


def sort_by_rank(waiters: list[_Waiter], now: float) -> list[_Waiter]:
    """Return the waiters in the order in which they are served."""
    return sorted(waiters, key=lambda item: rank(item.target, item.route.priority, now))


def estimate_wait(ahead: int, service_time: float, parallel: int) -> float:
    """Return the seconds until a new waiter is served.

    :param ahead: statements that are served before it.
    :param service_time: seconds that one takes.
    :param parallel: statements that run at once.
    """
    return ahead * service_time / max(1, parallel)


def compute_retry_after(expected: float, spread: float) -> float:
    """Return the seconds after which a refused caller should come back.

    :param expected: when there should be room.
    :param spread: a number from 0 to 1 that differs between callers, so that
        they do not come back together.
    """
    return max(MIN_RETRY_AFTER, expected) * (0.75 + 0.5 * spread)
