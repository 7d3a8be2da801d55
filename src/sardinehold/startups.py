"""Bounds what callers that have not signed in may hold."""

import asyncio
import collections
import typing

MAX_STARTUPS = 2_000
"""Callers that may be in their start-up at once; the oldest makes room."""

MAX_CALLERS = 20_000
"""Callers that one process holds."""

STARTUP_SECONDS = 10.0
"""Seconds from a caller's connection to the end of its start-up."""

SWEEP_SECONDS = 1.0
"""Seconds between two looks for start-ups past their deadline."""


class Pending(typing.Protocol):
    """A caller in its start-up."""

    def close(self, abort: bool = False) -> None:
        """Close the connection."""


class Startups:
    """The callers that have not signed in yet, oldest first."""

    __slots__ = ("_deadlines", "_loop", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start with none."""
        self._deadlines: collections.OrderedDict[Pending, float]
        self._deadlines = collections.OrderedDict()
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, caller: Pending) -> None:
        """Give a caller its deadline; the oldest goes if there are too many."""
        self._deadlines[caller] = self._loop.time() + STARTUP_SECONDS
        if len(self._deadlines) > MAX_STARTUPS:
            oldest = next(iter(self._deadlines))
            del self._deadlines[oldest]
            oldest.close(abort=True)
        if self._timer is None:
            self._timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def discard(self, caller: Pending) -> None:
        """Note that a caller signed in or left."""
        self._deadlines.pop(caller, None)

    def _sweep(self) -> None:
        self._timer = None
        now = self._loop.time()
        expired = [
            caller for caller, deadline in self._deadlines.items() if deadline <= now
        ]
        for caller in expired:
            del self._deadlines[caller]
            caller.close(abort=True)
        if self._deadlines:
            self._timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def close(self) -> None:
        """Stop looking."""
        if self._timer is not None:
            self._timer.cancel()
