"""Operations of one team that wait for tokens, in the order in which they get them.

Load: a team whose demand exceeds its rate, with routes of several priorities on one
node. In the order of arrival, bulk operations take the tokens that urgent ones need,
and a full queue refuses the urgent one that comes last.
"""

import asyncio

URGENT_PRIORITY = 0
"""Priority of the routes whose operations count as urgent for other nodes."""

FAIR_INTERVAL = 10
"""One of so many tokens goes to the operation that waits longest, so that none starves
behind a steady flow of higher rank."""

RESERVED_PLACES = 6
"""Places of a full queue that operations of lower priorities keep: a tenth of them."""


class Waiter:
    """An operation that waits for a token.

    :param future: gets a result with the token, or the error of a refusal.
    :param priority: priority of its route; 0 is served first.
    :param arrived_at: time of its arrival.
    :param target_at: when it should be complete.
    :param deadline: when it fails.
    """

    __slots__ = ("future", "priority", "arrived_at", "target_at", "deadline")

    def __init__(
        self,
        future: asyncio.Future,
        priority: int,
        arrived_at: float,
        target_at: float,
        deadline: float,
    ) -> None:
        """Store the operation."""
        self.future = future
        self.priority = priority
        self.arrived_at = arrived_at
        self.target_at = target_at
        self.deadline = deadline

    def rank(self, now: float) -> tuple[int, bool, float]:
        """Return the rank; the lowest one is served first."""
        return (self.priority, now >= self.target_at, self.deadline)


class TokenQueue:
    """Waiting operations of one team."""

    __slots__ = ("_waiters", "_served")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._waiters: list[Waiter] = []
        self._served = 0

    def __len__(self) -> int:
        """Return the number of operations that wait."""
        return len(self._waiters)

    def __contains__(self, waiter: object) -> bool:
        """Return whether an operation waits."""
        return waiter in self._waiters

    def append(self, waiter: Waiter) -> None:
        """Add an operation that arrives now."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove an operation."""
        self._waiters.remove(waiter)

    def pop(self, now: float) -> Waiter:
        """Remove and return the operation that gets the next token."""
        self._served += 1
        if self._served % FAIR_INTERVAL == 0:
            return self._waiters.pop(0)
        first = min(self._waiters, key=lambda waiter: waiter.rank(now))
        self._waiters.remove(first)
        return first

    def pop_last(self, now: float, newest: Waiter) -> Waiter:
        """Remove and return the operation of the lowest rank, in favour of a new one.

        A few operations of lower priorities keep their places, so that the fair share
        has somebody to serve.

        :param newest: an operation that does not wait yet. It is returned if none
            ranks lower.
        """
        everybody = [*self._waiters, newest]
        best = min(waiter.priority for waiter in everybody)
        lower = [waiter for waiter in everybody if waiter.priority > best]
        kept = {id(waiter) for waiter in lower[:RESERVED_PLACES]}
        candidates = [waiter for waiter in everybody if id(waiter) not in kept]
        last = max(candidates, key=lambda waiter: waiter.rank(now))
        if last is newest:
            return newest
        self._waiters.remove(last)
        self._waiters.append(newest)
        return last

    def count_urgent(self, now: float) -> int:
        """Return the operations of urgent routes that can still meet their targets."""
        return sum(is_urgent(waiter, now) for waiter in self._waiters)


def is_urgent(waiter: Waiter, now: float) -> bool:
    """Return whether an operation is of an urgent route and can meet its target."""
    return waiter.priority <= URGENT_PRIORITY and now < waiter.target_at
