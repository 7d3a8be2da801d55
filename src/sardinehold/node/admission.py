"""Admission control: order of waiting statements, and refusal of late ones.

Under overload, when more statements arrive than connections and slots can serve,
statements with a higher priority that can still meet their target go first. One that
would only wait until its deadline is refused at once, so that its caller can still go
to another node.
"""

import typing

from sardinehold.node import catalog

_Waiter = typing.TypeVar("_Waiter", bound="Waiter")

HOPELESS_SHARE = 0.7
"""Share of the estimated wait that is certain enough to refuse a statement that already
waits: service times vary, and one that is refused loses its place in the queue."""

MIN_RETRY_AFTER = 0.05
"""Minimum seconds after which a refused caller may retry."""


class Waiter:
    """A statement that waits for an endpoint.

    :param arrived_at: when its operation arrived at this node.
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
        """Initialize the waiter."""
        self.team = team
        self.route = route
        self.arrived_at = arrived_at
        self.deadline = deadline

    @property
    def target(self) -> float:
        """Latest time of completion that meets the route's target latency."""
        return self.arrived_at + self.route.target_latency


def rank(target: float, priority: int, now: float) -> tuple[int, int, float]:
    """Return the sort key of a statement; the lowest is served first.

    Statements that can still meet their route's target precede those that are
    already late; then the route's priority decides, then the time left.

    :param target: latest time of completion that meets the target latency.
    """
    return (int(target <= now), priority, target)


def sort_by_rank(waiters: list[_Waiter], now: float) -> list[_Waiter]:
    """Return the waiters in the order in which they are to be served."""
    return sorted(waiters, key=lambda item: rank(item.target, item.route.priority, now))


def estimate_wait(ahead: int, service_time: float, parallel: int) -> float:
    """Return the estimated seconds until a new waiter is served.

    :param ahead: number of statements that are served before it.
    :param service_time: seconds that one statement takes.
    :param parallel: number of statements that run concurrently.
    """
    return ahead * service_time / max(1, parallel)


def find_hopeless(
    deadlines: typing.Sequence[float],
    now: float,
    service_time: float,
    parallel: int,
    free: int = 0,
) -> list[int]:
    """Return the indices of waiting statements that cannot be served in time.

    Statements of a better rank that arrived later may have moved them back. They are
    refused while their callers still have time to retry. The first one is never
    hopeless before its deadline: only a running statement shows that an endpoint has
    become faster.

    :param deadlines: of the waiting statements, in the order in which they are served.
    :param service_time: seconds that one statement takes.
    :param parallel: number of statements that run concurrently.
    :param free: slots that are free: so many statements do not wait for others.
    """
    found = []
    ahead = 0
    for index, deadline in enumerate(deadlines):
        wait = HOPELESS_SHARE * estimate_wait(ahead, service_time, parallel)
        is_next = ahead < max(1, free)
        is_in_time = (
            now < deadline if is_next else now + wait + service_time <= deadline
        )
        if is_in_time:
            ahead += 1
        else:
            found.append(index)
    return found


def compute_retry_after(expected: float, spread: float) -> float:
    """Return the seconds after which a refused caller should retry.

    :param expected: estimated seconds until there is capacity.
    :param spread: a number from 0 to 1 that differs between callers; the jitter
        keeps them from retrying simultaneously.
    """
    return max(MIN_RETRY_AFTER, expected) * (0.75 + 0.5 * spread)
