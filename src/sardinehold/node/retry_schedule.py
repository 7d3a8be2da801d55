"""Times at which refused callers of a team are told to retry.

Load: a team whose demand exceeds its rate for seconds. Callers that are all told the
same short time come back together, are refused again and use up connections. Each is
promised a turn of its own instead, at the rate that the node can serve. Callers are not
known again when they return, so a promise ends when its time has come.
"""

import math

MIN_DELAY = 0.05
"""Minimum seconds until a retry: a shorter one would come before the next tokens."""

MAX_DELAY = 5.0
"""Maximum seconds until a retry. Rates and the number of nodes that share them change
within this time, so that a later turn could not be kept."""

SPREAD_STEP = (math.sqrt(5.0) - 1.0) / 2.0
"""Step between the retries of callers without a turn, as a fraction: multiples of the
golden ratio are spread evenly whatever their number."""


class Retry:
    """When a caller should retry.

    :param delay: seconds from now.
    :param is_expected: whether it can expect to be served then.
    """

    __slots__ = ("delay", "is_expected")

    def __init__(self, delay: float, is_expected: bool) -> None:
        """Store the fields."""
        self.delay = delay
        self.is_expected = is_expected


class RetrySchedule:
    """Turns that were promised to the refused callers of one team."""

    __slots__ = ("_promised_until", "_unserved")

    def __init__(self) -> None:
        """Create a schedule without promises."""
        self._promised_until = -math.inf
        self._unserved = 0

    def promise(self, now: float, deadline: float, rate: float, waiting: int) -> Retry:
        """Return the next turn that is expected, and take it.

        No turn is taken if it came too late for the caller: another one can use it.

        :param deadline: until when the caller can use a response.
        :param rate: tokens a second that this node can serve.
        :param waiting: operations that wait here and are served before.
        """
        limit = min(MAX_DELAY, deadline - now)
        if rate > 0:
            first = max(MIN_DELAY, (1 + waiting) / rate)
            turn = max(now + first, self._promised_until + 1.0 / rate)
            if turn <= now + limit:
                self._promised_until = turn
                return Retry(turn - now, True)
        self._unserved += 1
        spread = self._unserved * SPREAD_STEP % 1.0
        return Retry(max(MIN_DELAY, limit * (0.5 + 0.5 * spread)), False)
