"""The platform's store as a node uses it, over restores from older copies.

After a restore, revisions are given out again for other contents. A condition or a
watch of an earlier era could therefore succeed by coincidence, and an answer of an
earlier era describes contents that no longer exist.
"""

import typing

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import ports

REMEDY = "List the objects again."

UNKNOWN = -1
"""Era before the first answer."""


class EraStore:
    """Client of the store that keeps the eras apart; a :class:`.ports.Store`.

    :param era: highest era that this node knows of, from the store or other nodes.
    :param first_era: the first one; what a process knows that has seen an earlier era
        than the present one may have been lost from the store.
    """

    __slots__ = ("era", "first_era", "_store", "_on_restored")

    def __init__(
        self, store: ports.Store, on_restored: typing.Callable[[int], None]
    ) -> None:
        """Wrap a store.

        :param on_restored: called with the new era after a restore was noticed.
        """
        self.era = UNKNOWN
        self.first_era = UNKNOWN
        self._store = store
        self._on_restored = on_restored

    def note_era(self, version: int) -> None:
        """Take note of the era of a version that the store or a node has sent."""
        era = objects.find_era(version)
        if era <= self.era:
            return
        is_first = self.era == UNKNOWN
        self.era = era
        if is_first:
            self.first_era = era
        else:
            self._on_restored(era)

    def remembers_earlier_era(self) -> bool:
        """Return whether this process has used the store before its last restore."""
        return self.first_era < self.era

    def is_current(self, version: int) -> bool:
        """Return whether a version is of the present era."""
        return objects.find_era(version) == self.era

    def check_changes(self, changes: objects.Changes, since: int | None = None) -> None:
        """Check that an answer is of the present era throughout.

        :param since: version that the changes follow, None for a complete list.
        :raises sardinehold.errors.WatchExpired: the changes follow an earlier era.
        :raises sardinehold.errors.StoreRestored: the answer is of an earlier era.
        """
        versions = [item.version for item in changes.objects if item.value is not None]
        versions.append(changes.revision)
        self.note_era(max(versions))
        if not all(self.is_current(version) for version in versions):
            raise errors.StoreRestored(
                "The store was restored while it answered.", REMEDY
            )
        if since is not None and not self.is_current(since):
            raise errors.WatchExpired("The watch began before a restore.", REMEDY)

    async def list(self, kind: str) -> objects.Changes:
        """Read all objects of a kind."""
        changes = await self._store.list(kind)
        self.check_changes(changes)
        return changes

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return the changes after a revision of the present era."""
        if not self.is_current(revision):
            raise errors.WatchExpired("The revision precedes a restore.", REMEDY)
        changes = await self._store.watch(kind, revision, wait)
        self.check_changes(changes, revision)
        return changes

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object; raises StoreRestored if the era rose meanwhile."""
        era = self.era
        return self._check_written(era, await self._store.create(kind, name, value))

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object of that version.

        :raises sardinehold.errors.VersionConflict: the version is an earlier one.
        :raises sardinehold.errors.StoreRestored: the era rose meanwhile; the condition
            may have met other contents.
        """
        self._require_current(version)
        stored = await self._store.update(kind, name, value, version)
        return self._check_written(objects.find_era(version), stored)

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object of that version; raises as :meth:`update` does."""
        self._require_current(version)
        await self._store.delete(kind, name, version)

    def _require_current(self, version: int) -> None:
        if not self.is_current(version):
            raise errors.VersionConflict("The version precedes a restore.", REMEDY)

    def _check_written(
        self, era: int, stored: objects.StoredObject
    ) -> objects.StoredObject:
        self.note_era(stored.version)
        if self.is_current(stored.version) and era in (UNKNOWN, self.era):
            return stored
        raise errors.StoreRestored("The store was restored during a write.", REMEDY)
