"""Sends a read to a second endpoint when the first takes too long.

Answers the load of answers that were lost and of endpoints that turned slow: the
first success counts, and what is left runs on to its end, so that no connection is
given up on which an answer may still come. Second sendings are a small part of
all, so that they cannot multiply the load that made them necessary.
"""

import asyncio
import typing

from sardinehold.node import statements

HEDGES_PER_READ = 0.1
"""Second sendings for each read: what is multiplied stays within a tenth."""

MAX_TOKENS = 10.0
"""Second sendings that a quiet time saves up."""

LATENCY_FACTOR = 5.0
"""Times its expected duration after which a read is late."""

MIN_DELAY = 0.12
"""Seconds after which a read is late at the earliest; above the tail of ordinary
statements in front of a few slots."""

Attempt = typing.Callable[[], typing.Awaitable[statements.Answer]]
Spawn = typing.Callable[..., None]


class HedgeBudget:
    """How many second sendings a node may make."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        """Start with some saved up."""
        self.tokens = MAX_TOKENS

    def note_read(self) -> None:
        """Count a read towards the allowance."""
        self.tokens = min(MAX_TOKENS, self.tokens + HEDGES_PER_READ)

    def take(self) -> bool:
        """Spend one second sending; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def compute_delay(expected: float) -> float:
    """Return the seconds after which a read is sent a second time.

    :param expected: seconds that it should take.
    """
    return max(MIN_DELAY, LATENCY_FACTOR * expected)


class Race:
    """Attempts at one read, of which the first success counts.

    :param spawn: starts a task that may outlive the race.
    """

    __slots__ = ("_spawn", "_result", "_running", "_error")

    def __init__(self, spawn: Spawn) -> None:
        """Start without an attempt."""
        self._spawn = spawn
        self._result: asyncio.Future = asyncio.get_running_loop().create_future()
        self._running = 0
        self._error: Exception | None = None

    def add(self, attempt: Attempt) -> None:
        """Start another attempt."""
        self._running += 1
        self._spawn(self._run, attempt)

    async def wait(self, seconds: float | None = None) -> statements.Answer | None:
        """Return the first success, None if there is none in time.

        :raises Exception: that of the last attempt, once all have failed.
        """
        done, _ = await asyncio.wait([self._result], timeout=seconds)
        return self._result.result() if done else None

    async def _run(self, attempt: Attempt) -> None:
        try:
            answer = await attempt()
        except Exception as error:
            # Raised again to whoever waits, once no attempt is left.
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
