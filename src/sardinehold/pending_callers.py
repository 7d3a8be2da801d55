"""Bounds what callers hold that have not signed in, or were sent away."""

import asyncio
import collections
import typing

import anyio

MAX_STARTUPS = 2_000
"""Callers that may be in their start-up at once; the oldest makes room."""

MAX_CALLERS = 20_000
"""Callers that one process holds."""

STARTUP_SECONDS = 10.0
"""Seconds from a caller's connection to the end of its start-up."""

SWEEP_SECONDS = 1.0
"""Seconds between two looks for start-ups past their deadline."""


LINGER_SECONDS = 5.0
"""Seconds that a closed caller may take to read what it was sent."""

LINGER_CHECK = 0.01
"""Seconds between two looks at the callers that still read."""

MAX_LINGERING = 1_000
"""Closed callers that may take that time at once."""


class PendingCaller(typing.Protocol):
    """A caller in its start-up, or closed and still reading."""

    def close(self, abort: bool = False) -> None:
        """Close the connection."""

    def abort(self) -> None:
        """Drop a connection that lingers."""


class PendingCallers:
    """The callers that have not signed in yet, oldest first."""

    __slots__ = ("_deadlines", "_lingering", "_loop", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start with none."""
        self._deadlines: collections.OrderedDict[PendingCaller, float]
        self._deadlines = collections.OrderedDict()
        self._lingering: dict[PendingCaller, asyncio.TimerHandle] = {}
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, caller: PendingCaller) -> None:
        """Give a caller its deadline; the oldest goes if there are too many."""
        self._deadlines[caller] = self._loop.time() + STARTUP_SECONDS
        if len(self._deadlines) > MAX_STARTUPS:
            oldest = next(iter(self._deadlines))
            del self._deadlines[oldest]
            oldest.close(abort=True)
        if self._timer is None:
            self._timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def discard(self, caller: PendingCaller) -> None:
        """Note that a caller signed in or left."""
        self._deadlines.pop(caller, None)

    def linger(self, caller: PendingCaller) -> bool:
        """Let a closed caller read what it was sent; return whether it may."""
        if len(self._lingering) >= MAX_LINGERING:
            return False
        timer = self._loop.call_later(LINGER_SECONDS, caller.abort)
        self._lingering[caller] = timer
        return True

    def forget(self, caller: PendingCaller) -> None:
        """Note that a caller's connection is gone."""
        timer = self._lingering.pop(caller, None)
        if timer is not None:
            timer.cancel()

    async def wait_for_callers(self, seconds: float) -> None:
        """Wait until no closed caller reads any more, for some seconds at most."""
        with anyio.move_on_after(seconds):
            while self._lingering:
                await anyio.sleep(LINGER_CHECK)

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
