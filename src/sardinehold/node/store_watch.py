"""A watch of one kind of objects in the platform's store."""

import asyncio
import collections
import random
import typing

import anyio

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import store_era

LONG_WAIT = 25.0
"""Seconds that a watch waits while the leader announces changes; below the store's
limit of thirty."""

LEADER_WAIT = 1.5
"""Seconds that a watch of the leader waits; the other nodes depend on it. Together with
the client's timeout and the second until a change reaches the other nodes, a
connection that went silent is detected before nodes count as connected again: 4 s with
the tightest bounds."""

STALE_GRACE = 0.3
"""Seconds that a node waits for its watch to deliver a change that the leader has,
before it lists the kind again."""

SHORT_WAIT = 0.5
"""Seconds that a watch waits without a leader: no other node announces changes that a
silent connection withholds."""

BATCH_DELAY = 0.05
"""Seconds between an answer with changes and the next watch: changes in quick
succession are delivered together and cost every node one call."""

LIST_TIMEOUT = 4.0
"""Timeout of an answer in seconds: twice what the store's largest object, a megabyte,
needs over a link of 5 Mbit/s. The store's client closes a silent connection earlier."""

BACKOFF_FIRST = 0.1
"""Seconds between attempts after the first failure; the delay doubles with each."""

BACKOFF_LIMIT = 0.8
"""Maximum seconds between attempts; well below the propagation bound of
configurations."""

MAX_DOUBLINGS = 8
"""Maximum doublings of the backoff; ``BACKOFF_LIMIT`` is reached earlier."""


MAX_RECENT_ANSWERS = 64
"""Answers with changes that are kept for other nodes; a node that lacks more has to
list the kind."""


Wait = typing.Callable[[], typing.Awaitable[None]]


class Source(typing.Protocol):
    """Source of a kind of objects: the store, or a node that watches the store."""

    async def list(self, kind: str) -> objects.Changes:
        """Return all objects of a kind."""

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Wait for changes after a revision and return them."""


class Watcher:
    """Lists a kind of objects once and watches its changes.

    ``changed`` is the version of the newest change received, and ``listed_at`` the time
    at which the last complete list was requested. Other nodes can read the received
    changes, see :meth:`read_changes`. After a restore of the store the kind is listed
    again: no watch continues in another era.

    :param find_relay: returns the node to read from instead of the store, None for the
        store.
    :param apply_list: called with a complete list and the time of its request.
    :param apply_changes: called with changes and the time of their request.
    :param find_wait: returns the seconds that the next watch waits.
    :param on_state: called when the store becomes reachable or unreachable.
    :param on_unreadable: called with the reasons why objects could not be parsed.
    :param batch_delay: seconds between an answer with changes and the next watch.
    """

    def __init__(
        self,
        store: store_era.EraStore,
        kind: str,
        apply_list: typing.Callable[[objects.Changes, float], None],
        apply_changes: typing.Callable[[objects.Changes, float], None],
        find_wait: typing.Callable[[], float],
        on_state: typing.Callable[[str, bool, str], None],
        on_unreadable: typing.Callable[[str, list[str]], None],
        batch_delay: float = BATCH_DELAY,
        find_relay: typing.Callable[[], Source | None] = lambda: None,
    ) -> None:
        """Initialize the watcher; the first step lists the kind."""
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
        self.listed_at = float("-inf")
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
        """Whether the last answer came from another node."""
        return self._is_relayed

    async def run(self, wait_before_watch: Wait | None = None) -> None:
        """Watch the kind until cancelled.

        :param wait_before_watch: awaited between the first list and the first watch.
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
        """Return whether the last call failed."""
        return self._failures > 0

    def refresh_if_stale(self, changed: int, now: float) -> None:
        """List the kind again if it has lacked another node's change for long.

        :param changed: revision of the newest change that the other node received.
        """
        if not self.is_behind(changed):
            self._stale_since = None
        elif self._stale_since is None:
            self._stale_since = now
        elif now - self._stale_since > STALE_GRACE:
            self._stale_since = None
            self.refresh()

    def is_behind(self, changed: int) -> bool:
        """Return whether another node received a newer change than this one."""
        return changed > max(self.changed, self.revision)

    def refresh(self) -> None:
        """List the kind again now: a newer change is known to exist."""
        self._relist = True
        self.restart_watch()

    def restart_watch(self) -> None:
        """Cancel the pending watch; the next one covers its changes.

        A pending list continues: over a slow link a large list would otherwise never
        complete, and a list without an answer times out earlier than a watch.
        """
        is_listing = clock.read() < self._listing_until
        if self._scope is not None and not is_listing:
            self._scope.cancel()

    async def step(self, relist: bool = False, relay: Source | None = None) -> bool:
        """List the kind once, or wait for its changes.

        :param relist: whether to list the kind even if a revision is known.
        :param relay: node to list from instead of the store.
        :returns: whether any objects were received.
        """
        # A list from another node may be older than this node's state.
        is_known = self.revision and self._store.is_current(self.revision)
        self._relist = self._relist or relist or not is_known
        if not self._relist:
            relay = self._find_relay()
        sent_at = clock.read()
        before = self.revision
        try:
            changes, is_full_list = await self._read_source(relay or self._store)
        except errors.WatchExpired:
            self._relist = True
            return False
        except errors.StoreRestored:
            self._relist = True
            await self._back_off()
            return False
        except (errors.PlatformError, TimeoutError) as error:
            if relay is not None:
                # The relay failed, not the store; the next step reads from the store.
                return False
            # A watch that resumes after an error may not deliver the changes that the
            # interrupted one missed.
            self._relist = True
            self._on_state(self.kind, False, str(error) or "no answer in time")
            await self._back_off()
            return False
        if relay is None:
            self.answered_at = clock.read()
        self._is_relayed = relay is not None
        if is_full_list:
            self.listed_at = sent_at
            self._apply_list(changes, sent_at)
        else:
            self._apply_changes(changes, sent_at)
        if changes.unread:
            self._on_unreadable(self.kind, changes.unread)
        self._record(before, changes, is_full_list)
        self._failures = 0
        self._on_state(self.kind, True, "")
        return bool(changes.objects)

    async def _read_source(self, source: Source) -> tuple[objects.Changes, bool]:
        """Return the objects of a source, and whether they are a complete list."""
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

    # Serving other nodes

    def _record(
        self, before: int, changes: objects.Changes, is_full_list: bool
    ) -> None:
        """Keep an answer for other nodes, and wake those that wait for changes.

        :param before: revision that the changes follow.
        """
        if before:
            recorded = (
                self._find_differences(changes) if is_full_list else changes.objects
            )
            self._recent.append((before, objects.Changes(recorded, changes.revision)))
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
        """Return the changes that a complete list implies, removals included."""
        names = {stored.name for stored in listed.objects}
        removed = [
            objects.StoredObject(self.kind, name, version, None)
            for name, version in self._versions.items()
            if name not in names
        ]
        updated = [
            stored
            for stored in listed.objects
            if self._versions.get(stored.name, -1) < stored.version
        ]
        return removed + updated

    async def read_changes(self, revision: int, wait: float) -> objects.Changes:
        """Return the changes that another node lacks.

        :param revision: newest revision of the kind that the other node has.
        :param wait: seconds after which an empty answer is returned.
        :raises sardinehold.errors.PlatformUnavailable: this node does not watch the
            store itself, or the store does not answer it.
        :raises sardinehold.errors.WatchExpired: the changes are no longer kept here.
        """
        if not self._reads_from_store():
            raise errors.PlatformUnavailable(
                f"This node does not watch {self.kind} in the store.",
                "Read from the store.",
            )
        deadline = clock.read() + wait
        while True:
            changed_event = self._changed_event
            missed = self._list_missed(revision)
            if missed or not self._reads_from_store():
                return objects.Changes(missed, max(revision, self.revision))
            left = deadline - clock.read()
            if left <= 0:
                return objects.Changes([], max(revision, self.revision))
            with anyio.move_on_after(left):
                await changed_event.wait()

    async def list_fresh(self) -> objects.Changes:
        """Return all objects, from a list that is requested after the call.

        Concurrent callers that arrive during a list share the next one.

        :raises sardinehold.errors.PlatformError: the store does not answer.
        """
        if not self._reads_from_store():
            raise errors.PlatformUnavailable(
                f"This node does not watch {self.kind} in the store.",
                "Read from the store.",
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
                f"The store did not list {self.kind} in time.", "Read from the store."
            ) from error
        finally:
            if not listing.done():
                listing.set_exception(
                    errors.PlatformUnavailable(
                        "The list failed.", "Read from the store."
                    )
                )
                # Callers that share the list receive the exception. It is marked as
                # retrieved here, since there may be none.
                listing.exception()
        return listing.result()

    def _reads_from_store(self) -> bool:
        is_known = self.revision and self._store.is_current(self.revision)
        return bool(is_known) and not self._is_relayed and not self._failures

    def _list_missed(self, revision: int) -> list[objects.StoredObject]:
        """Return the changes after a revision."""
        if revision >= self.revision:
            return []
        if not self._recent or self._recent[0][0] > revision:
            raise errors.WatchExpired(
                f"Changes after revision {revision} are no longer kept.",
                "List all objects again.",
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
    """Return the revision of the newest change in an answer, 0 if it is empty.

    A removed object only has its last version; the removal is covered by the revision
    of the answer.
    """
    return max(
        (
            changes.revision if stored.value is None else stored.version
            for stored in changes.objects
        ),
        default=0,
    )
