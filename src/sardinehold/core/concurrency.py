"""How many statements an endpoint gets at once from this node.

``gradient`` lowers the limit of an endpoint whose statements take longer than
they used to, relative to what each kind of statement costs, and raises it
while they do not (after the concurrency limits that Netflix published).
``fixed`` is the baseline: the node's whole share.
"""

import typing

LIMITS: dict[str, type] = {}
"""Limits by name, filled by :func:`limit`."""

SLOW_RATIO = 3.0
"""Times its usual cost that a statement may take before the limit falls."""

DECREASE = 0.8
"""What the limit is multiplied with when an endpoint slows down."""

DECREASE_INTERVAL = 0.05
"""Seconds between two decreases."""

RATIO_SMOOTHING = 0.05
"""Weight of the newest statement in the moving average of the ratio."""

MAX_RATIO = 20.0
"""What one statement can count at most."""

MIN_LIMIT = 1.0
"""Statements that an endpoint always gets from each node."""


def limit(name: str) -> typing.Callable[[type], type]:
    """File the decorated class as the limit ``name``."""

    def register(kind: type) -> type:
        LIMITS[name] = kind
        return kind

    return register


@limit("fixed")
class FixedLimit:
    """All connections may be busy at once."""

    __slots__ = ("value", "floor")

    def __init__(self, slots: int) -> None:
        """Start with no limit but the connections."""
        self.value = float("inf")
        self.floor = MIN_LIMIT

    def note(self, seconds: float, expected: float, in_flight: int, now: float) -> None:
        """Ignore the measured time of a statement."""


@limit("gradient")
class GradientLimit:
    """Additive increase, multiplicative decrease by relative latency.

    :param slots: statements that the endpoint runs at once.
    :param floor: what the limit never falls below: the node's part of the
        endpoint's slots, so that none of them stays idle.
    """

    __slots__ = ("value", "floor", "_ratio", "_changed_at")

    def __init__(self, slots: int) -> None:
        """Start with the endpoint's own slots."""
        self.value = float(slots)
        self.floor = MIN_LIMIT
        self._ratio = 1.0
        self._changed_at = 0.0

    def note(self, seconds: float, expected: float, in_flight: int, now: float) -> None:
        """Take a measured time into account.

        :param expected: what such a statement usually takes.
        :param in_flight: statements that ran at the same time, this included.
        """
        ratio = seconds / expected if expected > 0 else 1.0
        self._ratio += RATIO_SMOOTHING * (min(ratio, MAX_RATIO) - self._ratio)
        if self._ratio > SLOW_RATIO:
            if now - self._changed_at >= DECREASE_INTERVAL:
                self.value = max(self.floor, self.value * DECREASE)
                self._changed_at = now
        elif in_flight + 1 > self.value:
            self.value += 1.0 / self.value
