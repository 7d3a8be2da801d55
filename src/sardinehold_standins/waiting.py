"""Waits of a session that a CancelRequest ends: slots, the writer, sleep."""

import asyncio
import collections

from sardinehold_standins import wire


class Waiter:
    """The one wait that a session may be in."""

    __slots__ = ("_future",)

    def __init__(self) -> None:
        """Start without a wait."""
        self._future: asyncio.Future | None = None

    async def wait(self, future: asyncio.Future) -> None:
        """Wait for a future.

        :raises sardinehold_standins.wire.Failure: the statement was cancelled.
        """
        self._future = future
        try:
            await future
        finally:
            self._future = None

    async def sleep(self, seconds: float) -> None:
        """Wait for some time."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        timer = loop.call_later(seconds, _finish, future)
        try:
            await self.wait(future)
        finally:
            timer.cancel()

    def cancel(self) -> bool:
        """End the wait; return whether there was one."""
        future = self._future
        if future is None or future.done():
            return False
        future.set_exception(
            wire.Failure("57014", "canceling statement due to user request")
        )
        return True


class Semaphore:
    """Limits how many sessions do something at once, first come first served."""

    __slots__ = ("free", "_queue")

    def __init__(self, limit: int) -> None:
        """Start with ``limit`` places."""
        self.free = limit
        self._queue: collections.deque[asyncio.Future] = collections.deque()

    async def acquire(self, waiter: Waiter) -> None:
        """Take a place, waiting for one if need be."""
        if self.free > 0:
            self.free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        self._queue.append(future)
        try:
            await waiter.wait(future)
        except BaseException:
            if future.done() and not future.cancelled() and not future.exception():
                self.release()
            raise

    def release(self) -> None:
        """Give a place back, to the one that waits longest."""
        while self._queue:
            future = self._queue.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.free += 1

    def count_waiting(self) -> int:
        """Return how many wait."""
        return sum(not future.done() for future in self._queue)


def _finish(future: asyncio.Future) -> None:
    """Set a future's result unless it is done."""
    if not future.done():
        future.set_result(None)
