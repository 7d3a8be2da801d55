"""Follows one kind of objects in the platform's store."""

import random
import typing

import anyio

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import ports

LONG_WAIT = 25.0
"""Seconds that a watch waits while the leader tells which changes there are; below the
store's limit of thirty."""

LEADER_WAIT = 4.0
"""Seconds that a watch of the leader waits, on which the others rely: a connection that
went silent is noticed within the bounds for configurations and leaving endpoints."""

BEHIND_GRACE = 0.3
"""Seconds for which a node waits to be told by its watch of a change that the leader
knows, before it reads the kind anew."""

SHORT_WAIT = 0.5
"""Seconds that a watch waits without a leader: nobody tells of changes that a silent
connection keeps back."""

GATHERING = 0.05
"""Seconds between an answer with changes and the next watch: changes that come in quick
succession are told together, and cost every node one call."""

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

    Its ``changed`` is the store's revision of the newest change that it was told of.

    :param take_all: takes a whole list, and when it was asked for.
    :param take_changes: takes changes, and when they were asked for.
    :param find_wait: returns the seconds that the next watch waits.
    :param on_state: told when the store answers again or stops to.
    :param on_unread: told why objects were left out.
    :param gathering: seconds between an answer with changes and the next watch.
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
        gathering: float = GATHERING,
    ) -> None:
        """Start with nothing read."""
        self.kind = kind
        self.revision = 0
        self.changed = 0
        self._behind_since: float | None = None
        self.answered_at = float("-inf")
        self._store = store
        self._take_all = take_all
        self._take_changes = take_changes
        self._find_wait = find_wait
        self._on_state = on_state
        self._on_unread = on_unread
        self._gathering = gathering
        self._failures = 0
        self._scope: anyio.CancelScope | None = None
        self._relist = False

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            with anyio.CancelScope() as self._scope:
                if await self.step():
                    await anyio.sleep(self._gathering)

    def is_failing(self) -> bool:
        """Return whether the last call got no answer."""
        return self._failures > 0

    def compare(self, changed: int, now: float) -> None:
        """Read the kind anew if it has long lacked a change that another node knows.

        :param changed: revision of the newest change that the other was told of.
        """
        if changed <= max(self.changed, self.revision):
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > BEHIND_GRACE:
            self._behind_since = None
            self.hurry()

    def hurry(self) -> None:
        """Read the kind again now: a newer change is known to exist."""
        self._relist = True
        if self._scope is not None:
            self._scope.cancel()

    async def step(self, relist: bool = False) -> bool:
        """Read the kind once, or wait for a change of it.

        :param relist: whether to read it anew whatever is known.
        :returns: whether anything was told.
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
            return False
        except (errors.PlatformError, TimeoutError) as error:
            # What a watch missed before it was cut may never be told to another.
            self._relist = True
            self._on_state(self.kind, False, str(error) or "no answer in time")
            await self._pause()
            return False
        if changes.unread:
            self._on_unread(self.kind, changes.unread)
        self.revision = changes.revision
        self.changed = max(self.changed, find_newest(changes))
        self.answered_at = clock.read()
        self._failures = 0
        self._on_state(self.kind, True, "")
        return bool(changes.objects)

    async def _pause(self) -> None:
        bound = min(
            BACKOFF_LIMIT, BACKOFF_FIRST * 2 ** min(self._failures, MAX_DOUBLINGS)
        )
        self._failures += 1
        await anyio.sleep(bound * (0.5 + 0.5 * random.random()))


def find_newest(changes: objects.Changes) -> int:
    """Return the revision of the newest of some changes, 0 for none.

    An object that is gone tells its last version only; the answer's revision covers
    its removal.
    """
    return max(
        (
            changes.revision if stored.value is None else stored.version
            for stored in changes.objects
        ),
        default=0,
    )
