"""Limits of the statements that an endpoint runs at once for this node.

``gradient`` lowers the limit while statements on an endpoint take longer than
usual for their kind, and raises it otherwise (an adaptive concurrency limit
after those that Netflix published). ``fixed`` is the baseline: no limit but
the node's share of connections.
"""

import typing

LIMITS: dict[str, type] = {}
"""Limits by name, filled by :func:`limit`."""

SLOW_RATIO = 3.0
"""Multiple of the usual cost above which statements lower the limit."""

DECREASE_FACTOR = 0.8
"""Factor by which the limit is multiplied when an endpoint slows down."""

DECREASE_INTERVAL = 0.05
"""Minimum seconds between two decreases."""

RATIO_SMOOTHING = 0.05
"""Weight of the newest sample in the moving average of the latency ratio."""

MAX_RATIO = 20.0
"""Upper bound of the latency ratio that is counted for one statement."""

MIN_LIMIT = 1.0
"""Lower bound of each node's limit, in statements."""


def limit(name: str) -> typing.Callable[[type], type]:
    """Register the decorated class as the limit ``name``."""

    def register(kind: type) -> type:
        LIMITS[name] = kind
        return kind

    return register


@limit("fixed")
class FixedLimit:
    """A limit that allows all connections to be busy at once."""

    __slots__ = ("value", "floor")

    def __init__(self, slots: int) -> None:
        """Start without a limit."""
        self.value = float("inf")
        self.floor = MIN_LIMIT

    def record(
        self, seconds: float, expected: float, in_flight: int, now: float
    ) -> None:
        """Ignore the measured time of a statement."""


@limit("gradient")
class GradientLimit:
    """Additive increase, multiplicative decrease by relative latency.

    :param slots: statements that the endpoint runs at once.
    :param floor: lower bound of the limit: the node's part of the endpoint's
        slots, so that none of them stays idle.
    """

    __slots__ = ("value", "floor", "_ratio", "_changed_at")

    def __init__(self, slots: int) -> None:
        """Start with the number of the endpoint's slots as the limit."""
        self.value = float(slots)
        self.floor = MIN_LIMIT
        self._ratio = 1.0
        self._changed_at = 0.0

    def record(
        self, seconds: float, expected: float, in_flight: int, now: float
    ) -> None:
        """Record the duration of a statement and adjust the limit.

        :param seconds: measured duration.
        :param expected: usual duration of such a statement in seconds.
        :param in_flight: statements that ran at the same time, this one included.
        """
        ratio = seconds / expected if expected > 0 else 1.0
        self._ratio += RATIO_SMOOTHING * (min(ratio, MAX_RATIO) - self._ratio)
        if self._ratio > SLOW_RATIO:
            if now - self._changed_at >= DECREASE_INTERVAL:
                self.value = max(self.floor, self.value * DECREASE_FACTOR)
                self._changed_at = now
        elif in_flight + 1 > self.value:
            self.value += 1.0 / self.value
