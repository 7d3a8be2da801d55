"""Simulated nodes that spend tokens, for tests of the quota."""

from sardinehold.core import quota


class Balance:
    """A node's side of the exchange: its grants, and the times of spent tokens."""

    __slots__ = ("name", "clock_rate", "sequence", "received", "grants", "spent")

    def __init__(self, name: str, clock_rate: float = 1.0) -> None:
        self.name = name
        self.clock_rate = clock_rate
        self.sequence = 0
        self.received = 0
        self.grants: list[list] = []
        self.spent: list[float] = []

    def count_left(self, now: float) -> int:
        self.grants = [g for g in self.grants if g[1] > now and g[0]]
        return sum(tokens for tokens, _ in self.grants)

    def spend(self, now: float, wanted: int) -> int:
        count = min(wanted, self.count_left(now))
        left = count
        for grant in self.grants:
            used = min(left, grant[0])
            grant[0] -= used
            left -= used
        self.spent.extend([now] * count)
        return count

    def withdraw(self, now: float, wanted: int) -> int:
        count = min(wanted, self.count_left(now))
        left = count
        for grant in self.grants:
            used = min(left, grant[0])
            grant[0] -= used
            left -= used
        return count

    def build_usage(self, now: float, wanted: int, returned: int = 0) -> quota.Usage:
        returned = self.withdraw(now, returned)
        self.sequence += 1
        return quota.Usage(
            "desk", self.count_left(now), returned, wanted, self.received
        )

    def accept(self, asked: float, grant: quota.Grant) -> None:
        self.received = grant.grant_id
        deadline = asked + grant.lifetime / self.clock_rate
        self.grants.append([grant.tokens, deadline])


def find_worst_window(times: list[float], rate: float, burst: int) -> float:
    """Return the largest excess over rate and burst in any time window."""
    times = sorted(times)
    worst = float("-inf")
    lowest = float("inf")
    for index, time in enumerate(times):
        lowest = min(lowest, index - rate * time)
        worst = max(worst, index + 1 - rate * time - lowest - burst)
    return worst
