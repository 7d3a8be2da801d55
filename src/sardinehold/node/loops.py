"""The event loop of a node.

Answers the load of many short steps: a statement passes through a dozen tasks and
futures, and the loop of asyncio asks the kernel for input between any two of them,
although each step leads to the next.
"""

import asyncio
import selectors

MAX_ROUNDS = 8
"""Rounds of ready steps after which the kernel is asked for input all the same: about
as many as a statement takes from its arrival to the endpoint."""


class Selector(selectors.DefaultSelector):
    """Asks the kernel when there is nothing else to do, and now and then."""

    def __init__(self) -> None:
        """Start without a round."""
        super().__init__()
        self._rounds = 0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; nothing while there are steps to run.

        :param timeout: seconds to wait at most; 0 or less if steps are ready to run.
        """
        is_busy = timeout is not None and timeout <= 0
        if is_busy and self._rounds < MAX_ROUNDS:
            self._rounds += 1
            return []
        self._rounds = 0
        return super().select(timeout)


def make_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(Selector())
