"""Limits on callers that are starting up or that were closed and still read."""

import asyncio
import collections
import typing

import anyio

MAX_STARTUPS = 2_000
"""Maximum callers that are starting up; above it the oldest one is closed."""

MAX_CALLERS = 20_000
"""Maximum callers of one process."""

STARTUP_SECONDS = 10.0
"""Timeout in seconds from a caller's connection to the end of its start-up."""

SWEEP_SECONDS = 1.0
"""Seconds between checks for start-ups past their deadline."""


LINGER_SECONDS = 5.0
"""Seconds that a closed caller may take to read the last data sent to it."""

LINGER_CHECK = 0.01
"""Seconds between checks for lingering callers."""

MAX_LINGERING = 1_000
"""Maximum lingering callers."""


class PendingCaller(typing.Protocol):
    """Caller that is starting up, or lingering after its close."""

    def close(self, abort: bool = False) -> None:
        """Close the connection."""

    def abort(self) -> None:
        """Abort a lingering connection."""


class PendingCallers:
    """Callers that are starting up, oldest first, and lingering callers."""

    __slots__ = ("_deadlines", "_lingering", "_loop", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create an empty registry; the sweep starts with the first caller."""
        self._deadlines: collections.OrderedDict[PendingCaller, float]
        self._deadlines = collections.OrderedDict()
        self._lingering: dict[PendingCaller, asyncio.TimerHandle] = {}
        self._loop = loop
        self._timer: asyncio.TimerHandle | None = None

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, caller: PendingCaller) -> None:
        """Start a caller's deadline; close the oldest caller above the maximum."""
        self._deadlines[caller] = self._loop.time() + STARTUP_SECONDS
        if len(self._deadlines) > MAX_STARTUPS:
            oldest = next(iter(self._deadlines))
            del self._deadlines[oldest]
            oldest.close(abort=True)
        if self._timer is None:
            self._timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

    def discard(self, caller: PendingCaller) -> None:
        """Remove a caller that completed its start-up or disconnected."""
        self._deadlines.pop(caller, None)

    def linger(self, caller: PendingCaller) -> bool:
        """Keep a closed caller open for reading; return False above the maximum."""
        if len(self._lingering) >= MAX_LINGERING:
            return False
        timer = self._loop.call_later(LINGER_SECONDS, caller.abort)
        self._lingering[caller] = timer
        return True

    def remove_lingering(self, caller: PendingCaller) -> None:
        """Remove a lingering caller whose connection has ended."""
        timer = self._lingering.pop(caller, None)
        if timer is not None:
            timer.cancel()

    async def wait_for_callers(self, seconds: float) -> None:
        """Wait until no caller lingers, at most ``seconds``."""
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
        """Stop the sweep."""
        if self._timer is not None:
            self._timer.cancel()
