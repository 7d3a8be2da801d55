"""Hedged requests: a read is sent to a second endpoint when the first is slow.

Hedging covers lost answers and endpoints that became slow. The first success counts;
the other attempt is sent nowhere else, but what an endpoint has received runs to its
end, so that no connection is closed on which an answer may still arrive. A budget
limits hedges to a small share of all reads, so that they cannot multiply an overload
that causes them.
"""

import asyncio
import typing

from sardinehold.node import statements

HEDGES_PER_READ = 0.1
"""Hedges that each read adds to the budget: the extra load stays within a tenth."""

MAX_TOKENS = 10.0
"""Maximum number of hedges in the budget, after a time without any."""

LATENCY_FACTOR = 5.0
"""Multiple of its estimated latency after which a read is hedged."""

MIN_DELAY = 0.12
"""Minimum seconds before a read is hedged; above the tail latency of ordinary
statements that queue for a few slots."""

Attempt = typing.Callable[[], typing.Awaitable[statements.Answer]]
Spawn = typing.Callable[..., None]


class HedgeBudget:
    """Token bucket that limits a node's hedged reads."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        """Create a full bucket."""
        self.tokens = MAX_TOKENS

    def record_read(self) -> None:
        """Add a read's share to the budget."""
        self.tokens = min(MAX_TOKENS, self.tokens + HEDGES_PER_READ)

    def take(self) -> bool:
        """Take a token for one hedge; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def compute_delay(expected: float) -> float:
    """Return the seconds after which a read is hedged.

    :param expected: its estimated latency in seconds.
    """
    return max(MIN_DELAY, LATENCY_FACTOR * expected)


class Race:
    """Concurrent attempts at one read, of which the first success counts.

    :param spawn: starts a task that may outlive the race.
    """

    __slots__ = ("_spawn", "_result", "_running", "_error")

    def __init__(self, spawn: Spawn) -> None:
        """Create a race without attempts."""
        self._spawn = spawn
        self._result: asyncio.Future = asyncio.get_running_loop().create_future()
        self._running = 0
        self._error: Exception | None = None

    def add(self, attempt: Attempt) -> None:
        """Start another attempt."""
        self._running += 1
        self._spawn(self._run, attempt)

    def count_running(self) -> int:
        """Return the number of attempts that have not ended."""
        return self._running

    async def wait(self, seconds: float | None = None) -> statements.Answer | None:
        """Return the first success, None if there is none in time.

        :raises Exception: the last attempt's, once all attempts have failed.
        """
        done, _ = await asyncio.wait([self._result], timeout=seconds)
        return self._result.result() if done else None

    async def _run(self, attempt: Attempt) -> None:
        try:
            answer = await attempt()
        except Exception as error:
            # Raised by wait() once no attempt is running.
            self._finish(None, error)
        except asyncio.CancelledError:
            self._result.cancel()
            raise
        else:
            self._finish(answer, None)

    def _finish(
        self, answer: statements.Answer | None, error: Exception | None
    ) -> None:
        self._running -= 1
        if self._result.done():
            return
        if answer is not None and (answer.error is None or not self._running):
            self._result.set_result(answer)
        elif not self._running:
            self._result.set_exception(error or self._error)
        else:
            self._error = error or self._error
