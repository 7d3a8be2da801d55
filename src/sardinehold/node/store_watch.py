"""Follows one kind of objects in the platform's store."""

import asyncio
import collections
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

LEADER_WAIT = 1.5
"""Seconds that a watch of the leader waits, on which the others rely. With the client's
limit on top, and the second in which the others learn of it, a connection that went
silent is noticed before nodes are in touch again: 4 s where the bounds are tightest."""

STALE_GRACE = 0.3
"""Seconds for which a node waits to be told by its watch of a change that the leader
knows, before it reads the kind anew."""

SHORT_WAIT = 0.5
"""Seconds that a watch waits without a leader: nobody tells of changes that a silent
connection keeps back."""

BATCH_DELAY = 0.05
"""Seconds between an answer with changes and the next watch: changes that come in quick
succession are told together, and cost every node one call."""

LIST_TIMEOUT = 4.0
"""Seconds that an answer may take to come: twice what the store's largest object, a
megabyte, needs over a link of 5 Mbit/s. The store's client ends a connection that is
silent sooner."""

BACKOFF_FIRST = 0.1
"""Seconds between attempts after the first failure; they double with each."""

BACKOFF_LIMIT = 0.8
"""Seconds between attempts after many failures; well below the bound for
configurations."""

MAX_DOUBLINGS = 8
"""Doublings of the wait that are counted; ``BACKOFF_LIMIT`` is reached before."""


MAX_RECENT_ANSWERS = 64
"""Answers with changes that are kept for other nodes; one that lacks more reads all."""


Wait = typing.Callable[[], typing.Awaitable[None]]


class Source(typing.Protocol):
    """Where a kind is read: the store, or a node that follows it."""

    async def list(self, kind: str) -> objects.Changes:
        """Read all objects of a kind."""

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return what changed after a revision."""


class Watcher:
    """Lists a kind once and follows its changes.

    Its ``changed`` is the store's revision of the newest change that it was told of.
    What it was told it tells other nodes as well, see :meth:`read_changes`.

    :param find_relay: returns a node to ask in place of the store, None for the store.

    :param apply_list: takes a whole list, and when it was asked for.
    :param apply_changes: takes changes, and when they were asked for.
    :param find_wait: returns the seconds that the next watch waits.
    :param on_state: told when the store answers again or stops to.
    :param on_unreadable: told why objects were left out.
    :param batch_delay: seconds between an answer with changes and the next watch.
    """

    def __init__(
        self,
        store: ports.Store,
        kind: str,
        apply_list: typing.Callable[[objects.Changes, float], None],
        apply_changes: typing.Callable[[objects.Changes, float], None],
        find_wait: typing.Callable[[], float],
        on_state: typing.Callable[[str, bool, str], None],
        on_unreadable: typing.Callable[[str, list[str]], None],
        batch_delay: float = BATCH_DELAY,
        find_relay: typing.Callable[[], Source | None] = lambda: None,
    ) -> None:
        """Start with nothing read."""
        self._find_relay = find_relay
        self._is_relayed = False
        self._versions: dict[str, int] = {}
        self._recent: collections.deque[tuple[int, objects.Changes]] = (
            collections.deque(maxlen=MAX_RECENT_ANSWERS)
        )
        self._changed_event = anyio.Event()
        self._listing_until = float("-inf")
        self._next_list: asyncio.Future | None = None
        self._list_lock = anyio.Lock()
        self.kind = kind
        self.revision = 0
        self.changed = 0
        self._stale_since: float | None = None
        self.answered_at = float("-inf")
        self._store = store
        self._apply_list = apply_list
        self._apply_changes = apply_changes
        self._find_wait = find_wait
        self._on_state = on_state
        self._on_unreadable = on_unreadable
        self._batch_delay = batch_delay
        self._failures = 0
        self._scope: anyio.CancelScope | None = None
        self._relist = False

    @property
    def is_relayed(self) -> bool:
        """Whether it was told by another node last."""
        return self._is_relayed

    async def run(self, wait_before_watch: Wait | None = None) -> None:
        """Follow the kind until cancelled.

        :param wait_before_watch: waits between the first list and the first watch.
        """
        if wait_before_watch is not None:
            while not self.revision:
                await self.step()
            await wait_before_watch()
        while True:
            with anyio.CancelScope() as self._scope:
                if await self.step():
                    await anyio.sleep(self._batch_delay)

    def is_failing(self) -> bool:
        """Return whether the last call got no answer."""
        return self._failures > 0

    def refresh_if_stale(self, changed: int, now: float) -> None:
        """Read the kind anew if it has long lacked a change that another node knows.

        :param changed: revision of the newest change that the other was told of.
        """
        if changed <= max(self.changed, self.revision):
            self._stale_since = None
        elif self._stale_since is None:
            self._stale_since = now
        elif now - self._stale_since > STALE_GRACE:
            self._stale_since = None
            self.refresh()

    def refresh(self) -> None:
        """Read the kind again now: a newer change is known to exist."""
        self._relist = True
        self.restart_watch()

    def restart_watch(self) -> None:
        """End the watch that is on its way; the next one tells what it was to tell.

        A list goes on: a large one over a slow link would never come to its end
        otherwise, and one that gets no answer is noticed sooner than a watch.
        """
        is_listing = clock.read() < self._listing_until
        if self._scope is not None and not is_listing:
            self._scope.cancel()

    async def step(self, relist: bool = False, relay: Source | None = None) -> bool:
        """Read the kind once, or wait for a change of it.

        :param relist: whether to read it anew whatever is known.
        :param relay: a node to ask for that in place of the store.
        :returns: whether anything was told.
        """
        # A list of another node may be older than what this one knew before.
        self._relist = self._relist or relist or not self.revision
        if not self._relist:
            relay = self._find_relay()
        asked = clock.read()
        before = self.revision
        try:
            changes, is_full_list = await self._read_source(relay or self._store)
        except errors.WatchExpired:
            self._relist = True
            return False
        except (errors.PlatformError, TimeoutError) as error:
            if relay is not None:
                # Nothing is known of the store; the next step asks that.
                return False
            # What a watch missed before it was cut may never be told to another.
            self._relist = True
            self._on_state(self.kind, False, str(error) or "no answer in time")
            await self._back_off()
            return False
        if relay is None:
            self.answered_at = clock.read()
        self._is_relayed = relay is not None
        if is_full_list:
            self._apply_list(changes, asked)
        else:
            self._apply_changes(changes, asked)
        if changes.unread:
            self._on_unreadable(self.kind, changes.unread)
        self._record(before, changes, is_full_list)
        self._failures = 0
        self._on_state(self.kind, True, "")
        return bool(changes.objects)

    async def _read_source(self, source: Source) -> tuple[objects.Changes, bool]:
        """Return what a source tells, and whether that is all that there is."""
        if self._relist:
            self._relist = False
            self._listing_until = clock.read() + LIST_TIMEOUT
            try:
                with anyio.fail_after(LIST_TIMEOUT):
                    return await source.list(self.kind), True
            except BaseException:
                self._relist = True
                raise
            finally:
                self._listing_until = float("-inf")
        wait = self._find_wait()
        with anyio.fail_after(wait + LIST_TIMEOUT):
            return await source.watch(self.kind, self.revision, wait), False

    # Telling other nodes

    def _record(
        self, before: int, changes: objects.Changes, is_full_list: bool
    ) -> None:
        """Keep what was told, and wake those that wait for it.

        :param before: revision that the changes follow.
        """
        if before:
            told = self._find_differences(changes) if is_full_list else changes.objects
            self._recent.append((before, objects.Changes(told, changes.revision)))
        if is_full_list:
            self._versions = {}
        for stored in changes.objects:
            self._versions[stored.name] = stored.version
            if stored.value is None:
                del self._versions[stored.name]
        self.revision = changes.revision
        self.changed = max(self.changed, find_newest(changes))
        if changes.objects:
            self._changed_event.set()
            self._changed_event = anyio.Event()

    def _find_differences(self, listed: objects.Changes) -> list[objects.StoredObject]:
        """Return what a whole list changes, those that are gone included."""
        names = {stored.name for stored in listed.objects}
        gone = [
            objects.StoredObject(self.kind, name, version, None)
            for name, version in self._versions.items()
            if name not in names
        ]
        updated = [
            stored
            for stored in listed.objects
            if self._versions.get(stored.name, -1) < stored.version
        ]
        return gone + updated

    async def read_changes(self, revision: int, wait: float) -> objects.Changes:
        """Return what another node lacks.

        :param revision: up to which it knows the kind.
        :param wait: seconds after which it is told that nothing has changed.
        :raises sardinehold.errors.PlatformUnavailable: this node does not follow the
            store itself, or the store does not answer it.
        :raises sardinehold.errors.WatchExpired: it lacks more than is kept here.
        """
        if not self._follows_store():
            raise errors.PlatformUnavailable(
                f"This node does not follow {self.kind} in the store.",
                "Ask the store.",
            )
        deadline = clock.read() + wait
        while True:
            told = self._changed_event
            missed = self._list_missed(revision)
            if missed or not self._follows_store():
                return objects.Changes(missed, max(revision, self.revision))
            left = deadline - clock.read()
            if left <= 0:
                return objects.Changes([], max(revision, self.revision))
            with anyio.move_on_after(left):
                await told.wait()

    async def list_fresh(self) -> objects.Changes:
        """Return all objects, from a list that begins after the call.

        Those that ask while one is read get the next one together.

        :raises sardinehold.errors.PlatformError: the store does not answer.
        """
        if not self._follows_store():
            raise errors.PlatformUnavailable(
                f"This node does not follow {self.kind} in the store.",
                "Ask the store.",
            )
        if self._next_list is not None:
            return await asyncio.shield(self._next_list)
        listing = self._next_list = asyncio.get_running_loop().create_future()
        try:
            async with self._list_lock:
                self._next_list = None
                with anyio.fail_after(LIST_TIMEOUT):
                    listing.set_result(await self._store.list(self.kind))
        except TimeoutError as error:
            raise errors.PlatformUnavailable(
                f"The store did not list {self.kind} in time.", "Ask the store."
            ) from error
        finally:
            if not listing.done():
                listing.set_exception(
                    errors.PlatformUnavailable("The list failed.", "Ask the store.")
                )
                # Those that joined it are told; there may be none.
                listing.exception()
        return listing.result()

    def _follows_store(self) -> bool:
        return bool(self.revision) and not self._is_relayed and not self._failures

    def _list_missed(self, revision: int) -> list[objects.StoredObject]:
        """Return the changes after a revision."""
        if revision >= self.revision:
            return []
        if not self._recent or self._recent[0][0] > revision:
            raise errors.WatchExpired(
                f"What changed after {revision} is not kept here.",
                "Read all objects again.",
            )
        return [
            stored
            for _, changes in self._recent
            if changes.revision > revision
            for stored in changes.objects
        ]

    async def _back_off(self) -> None:
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
