"""In-memory object store of the platform, with watches, conditions and faults."""

import asyncio
import contextlib
import typing

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock

WATCH_GRACE_SECONDS = 1.2
"""Seconds beyond its wait after which a client aborts an unresponsive watch."""

KEEPALIVE_SECONDS = 1.0
"""Idle timeout in seconds of a client's connections."""


class Copy:
    """Content of the store at one revision, to which it can be restored.

    :param items: the objects by kind and name.
    """

    __slots__ = ("revision", "items", "history")

    def __init__(
        self,
        revision: int,
        items: dict[tuple[str, str], objects.StoredObject],
        history: list[objects.StoredObject],
    ) -> None:
        """Store the content."""
        self.revision = revision
        self.items = items
        self.history = history


class Store:
    """In-memory objects with watches and fault injection.

    :param delay: latency of a call in seconds.
    :param era: rises by one each time that the store is restored from a copy.
    :param cut: names of nodes whose calls get no answer.
    :param losing: names of nodes whose writes take effect without an answer.
    :param silent: names of nodes whose watches get no answer.
    :param silenced: number of times that a node's open connections became
        unresponsive, by node.
    :param unanswered: nodes with an unresponsive idle connection that their next call
        uses, and the idle deadline of that connection.
    :param transfer_seconds: duration of transferring objects, by node and kind.
    """

    def __init__(self, delay: float = 0.004) -> None:
        """Create an empty store."""
        self.delay = delay
        self.cut: set[str] = set()
        self.losing: set[str] = set()
        self.silent: set[str] = set()
        self.silenced: dict[str, int] = {}
        self.unanswered: dict[str, float] = {}
        self.transfer_seconds: dict[tuple[str, str], float] = {}
        self.era = 1
        self.revision = 1
        self.objects: dict[tuple[str, str], objects.StoredObject] = {}
        self.history: list[objects.StoredObject] = []
        self.oldest = 0
        self.generation = 0
        self.hides_changes = False
        self.changed = asyncio.Event()
        self.calls: dict[str, int] = {}

    def put(self, kind: str, name: str, value: typing.Any) -> objects.StoredObject:
        """Write an object unconditionally; None deletes it."""
        self.revision += 1
        stored = objects.StoredObject(kind, name, self.revision, value)
        if value is None:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = stored
        self.history.append(stored)
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    def expire_history(self) -> None:
        """Expire the history, so that watches from older revisions fail."""
        self.oldest = self.revision

    def abort_watches(self) -> None:
        """Abort all watches and discard the changes not yet delivered."""
        self.history.clear()
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self) -> Copy:
        """Return a copy of the content."""
        return Copy(self.revision, dict(self.objects), list(self.history))

    def restore(self, copy: Copy) -> None:
        """Return to a copy: later changes are lost, their revisions are used again."""
        self.era += 1
        self.revision = copy.revision
        self.objects = dict(copy.items)
        self.history = list(copy.history)
        self.generation += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self, node: str) -> None:
        """Make a node's open connections unresponsive for good; new ones work.

        One of them is idle; the next call uses it unless the idle timeout passes first.
        """
        self.silenced[node] = self.silenced.get(node, 0) + 1
        self.unanswered[node] = clock.read() + KEEPALIVE_SECONDS
        self.changed.set()
        self.changed = asyncio.Event()

    def connect(self, node: str) -> "StoreClient":
        """Return a client for a node."""
        return StoreClient(self, node)


class StoreClient:
    """Client of the store for one node."""

    def __init__(self, store: Store, node: str) -> None:
        """Create a client that acts for a node."""
        self.store = store
        self.node = node

    async def _call(self, name: str) -> None:
        self.store.calls[name] = self.store.calls.get(name, 0) + 1
        await asyncio.sleep(self.store.delay)
        if self.node in self.store.cut:
            await asyncio.sleep(1.0)
            raise errors.PlatformUnavailable(
                "The store is unreachable.", "Retry later."
            )
        if clock.read() < self.store.unanswered.pop(self.node, 0.0):
            await asyncio.sleep(WATCH_GRACE_SECONDS)
            raise errors.PlatformUnavailable(
                "The connection is unresponsive.", "Retry later."
            )

    async def _answer(self) -> None:
        if self.node in self.store.losing:
            await asyncio.sleep(1.0)
            raise errors.PlatformUnavailable(
                "The answer was lost.", "Read the object again."
            )

    async def list(self, kind: str) -> objects.Changes:
        """Return all objects of a kind."""
        await self._call("list")
        found = [
            item for (other, _), item in self.store.objects.items() if other == kind
        ]
        answer = self._date(found)
        await asyncio.sleep(self.store.transfer_seconds.get((self.node, kind), 0.0))
        return answer

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return the changes after a revision, waiting up to ``wait`` seconds.

        :raises sardinehold.errors.WatchExpired: the history no longer reaches back
            to the revision.
        :raises sardinehold.errors.PlatformUnavailable: a fault ended the watch.
        """
        await self._call("watch")
        revision = objects.find_revision(revision)
        if not self.store.oldest <= revision <= self.store.revision:
            raise errors.WatchExpired("The revision has expired.", "List again.")
        deadline = clock.read() + wait
        generation = self.store.generation
        silenced = self.store.silenced.get(self.node, 0)
        while True:
            is_silent = silenced != self.store.silenced.get(self.node, 0)
            if is_silent or self.node in self.store.silent:
                await asyncio.sleep(
                    max(0.0, deadline - clock.read()) + WATCH_GRACE_SECONDS
                )
                raise errors.PlatformUnavailable(
                    "The watch is unresponsive.", "Watch again."
                )
            if generation != self.store.generation:
                raise errors.PlatformUnavailable(
                    "The watch was aborted.", "Watch again."
                )
            found = [
                objects.StoredObject(kind, item.name, item.version, item.value)
                for item in self.store.history
                if item.kind == kind and item.version > revision
            ]
            if self.store.hides_changes:
                found = []
            remaining = deadline - clock.read()
            if found or remaining <= 0:
                if self.node in self.store.cut:
                    raise errors.PlatformUnavailable(
                        "The watch was aborted.", "Watch again."
                    )
                answer = self._date(found)
                if found:
                    await asyncio.sleep(
                        self.store.transfer_seconds.get((self.node, kind), 0.0)
                    )
                return answer
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.store.changed.wait()

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object; raise VersionConflict if it exists."""
        await self._call("create")
        if (kind, name) in self.store.objects:
            raise errors.VersionConflict("The object exists already.", "Read it.")
        stored = self._date_object(self.store.put(kind, name, value))
        await self._answer()
        return stored

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object if it has that version; raise VersionConflict otherwise."""
        await self._call("update")
        held = self._find(kind, name, version)
        if held.value == value:
            return self._date_object(held)
        stored = self._date_object(self.store.put(kind, name, value))
        await self._answer()
        return stored

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object if it has that version; raise VersionConflict otherwise."""
        await self._call("delete")
        self._find(kind, name, version)
        self.store.put(kind, name, None)
        await self._answer()

    def _find(self, kind: str, name: str, version: int) -> objects.StoredObject:
        held = self.store.objects.get((kind, name))
        if held is None or held.version != objects.find_revision(version):
            raise errors.VersionConflict(
                "The object has another version.", "Read it again."
            )
        return held

    def _date(self, found: typing.Sequence[objects.StoredObject]) -> objects.Changes:
        """Return objects at the present revision, with versions of the present era."""
        revision = objects.make_version(self.store.era, self.store.revision)
        return objects.Changes(list(map(self._date_object, found)), revision)

    def _date_object(self, stored: objects.StoredObject) -> objects.StoredObject:
        version = objects.make_version(self.store.era, stored.version)
        return objects.StoredObject(stored.kind, stored.name, version, stored.value)
