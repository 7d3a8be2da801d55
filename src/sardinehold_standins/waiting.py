"""Waits that a CancelRequest can cancel: for a slot, the write lock, or sleep."""

import asyncio
import collections

from sardinehold_standins import wire


class Waiter:
    """Cancellable wait of a session; there is at most one at a time."""

    __slots__ = ("_future",)

    def __init__(self) -> None:
        """Create a waiter that does not wait."""
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
        """Wait for a number of seconds.

        :raises sardinehold_standins.wire.Failure: the statement was cancelled.
        """
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        timer = loop.call_later(seconds, _finish, future)
        try:
            await self.wait(future)
        finally:
            timer.cancel()

    def cancel(self) -> bool:
        """Cancel the current wait; return whether there was one."""
        future = self._future
        if future is None or future.done():
            return False
        future.set_exception(
            wire.Failure("57014", "canceling statement due to user request")
        )
        return True


class Semaphore:
    """FIFO semaphore with cancellable waits.

    :param limit: number of permits.
    """

    __slots__ = ("free", "_queue")

    def __init__(self, limit: int) -> None:
        """Create a semaphore with all permits free."""
        self.free = limit
        self._queue: collections.deque[asyncio.Future] = collections.deque()

    async def acquire(self, waiter: Waiter) -> None:
        """Acquire a permit, waiting for one if none is free.

        :raises sardinehold_standins.wire.Failure: the statement was cancelled.
        """
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
        """Release a permit, passing it to the longest waiter if there is one."""
        while self._queue:
            future = self._queue.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.free += 1

    def count_waiting(self) -> int:
        """Return the number of waiters."""
        return sum(not future.done() for future in self._queue)


def _finish(future: asyncio.Future) -> None:
    """Resolve a future unless it is done."""
    if not future.done():
        future.set_result(None)
