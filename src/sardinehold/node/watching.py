"""Follows one kind of objects in the platform's store."""

import random
import typing

import anyio

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import ports

LONG_WAIT = 6.0
"""Seconds that a watch waits while the leader tells of changes too."""

SHORT_WAIT = 0.5
"""Seconds that a watch waits without a leader: it must date the lease itself."""

CALL_MARGIN = 1.2
"""Seconds past the wait after which a watch counts as silent."""

BACKOFF_FIRST = 0.1
"""Seconds between attempts after the first failure; they double with each."""

BACKOFF_LIMIT = 0.8
"""Seconds between attempts after many failures; well below the bound for
configurations."""

MAX_DOUBLINGS = 8
"""Doublings of the wait that are counted; ``BACKOFF_LIMIT`` is reached before."""


class Watcher:
    """Lists a kind once and follows its changes.

    :param take_all: takes a whole list, and when it was asked for.
    :param take_changes: takes changes, and when they were asked for.
    :param find_wait: returns the seconds that the next watch waits.
    :param on_state: told when the store answers again or stops to.
    :param on_unread: told why objects were left out.
    """

    def __init__(
        self,
        store: ports.Store,
        kind: str,
        take_all: typing.Callable[[objects.Changes, float], None],
        take_changes: typing.Callable[[objects.Changes, float], None],
        find_wait: typing.Callable[[], float],
        on_state: typing.Callable[[str, bool, str], None],
        on_unread: typing.Callable[[str, list[str]], None],
    ) -> None:
        """Start with nothing read."""
        self.kind = kind
        self.revision = 0
        self.answered_at = float("-inf")
        self._store = store
        self._take_all = take_all
        self._take_changes = take_changes
        self._find_wait = find_wait
        self._on_state = on_state
        self._on_unread = on_unread
        self._failures = 0
        self._scope: anyio.CancelScope | None = None
        self._relist = False

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            with anyio.CancelScope() as self._scope:
                await self.step()

    def is_failing(self) -> bool:
        """Return whether the last call got no answer."""
        return self._failures > 0

    def hurry(self) -> None:
        """Read the kind again now: a newer change is known to exist."""
        self._relist = True
        if self._scope is not None:
            self._scope.cancel()

    async def step(self, relist: bool = False) -> None:
        """Read the kind once, or wait for a change of it.

        :param relist: whether to read it anew whatever is known.
        """
        self._relist = self._relist or relist
        asked = clock.read()
        try:
            if self._relist or not self.revision:
                with anyio.fail_after(CALL_MARGIN):
                    changes = await self._store.list(self.kind)
                self._relist = False
                self._take_all(changes, asked)
            else:
                wait = self._find_wait()
                with anyio.fail_after(wait + CALL_MARGIN):
                    changes = await self._store.watch(self.kind, self.revision, wait)
                self._take_changes(changes, asked)
        except errors.WatchExpired:
            self.revision = 0
            return
        except (errors.PlatformError, TimeoutError) as error:
            # What a watch missed before it was cut may never be told to another.
            self._relist = True
            self._on_state(self.kind, False, str(error) or "no answer in time")
            await self._pause()
            return
        if changes.unread:
            self._on_unread(self.kind, changes.unread)
        self.revision = changes.revision
        self.answered_at = clock.read()
        self._failures = 0
        self._on_state(self.kind, True, "")

    async def _pause(self) -> None:
        bound = min(
            BACKOFF_LIMIT, BACKOFF_FIRST * 2 ** min(self._failures, MAX_DOUBLINGS)
        )
        self._failures += 1
        await anyio.sleep(bound * (0.5 + 0.5 * random.random()))
