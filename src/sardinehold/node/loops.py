"""The event loop of a node.

A statement passes through about a dozen tasks and futures. The default asyncio loop
polls the kernel for I/O between any two of them; under many short steps these polls are
a large part of the load, although each step only makes the next one ready.
"""

import asyncio
import selectors

from sardinehold.node import clock

MAX_ROUNDS = 8
"""Rounds of ready callbacks after which the kernel is polled in any case: about as many
as a statement needs from its arrival to the endpoint."""

MAX_PAUSE = 0.2
"""Seconds without a poll after which the process counts as suspended; longer than a
busy event loop delays one."""

SETTLE_ROUNDS = MAX_ROUNDS + 3
"""Rounds that include a poll of the kernel, the reading of what it reports, and the
callback for the end of a connection."""


class Selector(selectors.DefaultSelector):
    """Selector that polls the kernel when idle, or every ``MAX_ROUNDS`` rounds.

    After a suspension it polls before timers run, which mark the process as awake.
    """

    def __init__(self) -> None:
        """Initialize the selector."""
        super().__init__()
        self._rounds = 0
        self._polled_at = clock.read()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready file objects, or none while callbacks are ready to run.

        :param timeout: maximum seconds to wait; 0 or less if callbacks are ready to
            run.
        """
        is_busy = timeout is not None and timeout <= 0
        if is_busy and self._rounds < MAX_ROUNDS and not self._has_paused():
            self._rounds += 1
            return []
        self._rounds = 0
        found = super().select(timeout)
        if not found and self._has_paused():
            # A poll that a suspension interrupts reports nothing.
            found = super().select(0)
        self._polled_at = clock.read()
        return found

    def _has_paused(self) -> bool:
        """Return whether the process counts as suspended since the last poll."""
        return clock.read() - self._polled_at > MAX_PAUSE


async def settle() -> None:
    """Wait until what the kernel held has been received, such as a connection's end.

    Data and the end of its connection are received in two polls.
    """
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)


def make_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop."""
    return asyncio.SelectorEventLoop(Selector())
