"""The platform's objects in memory; no I/O, the time is passed in.

Tests of other parts use it directly, with virtual time; :mod:`.platform`
puts HTTP in front of it.
"""

import collections
import json

from sardinehold import errors
from sardinehold import objects

MAX_VALUE_BYTES = 1024 * 1024
"""Largest JSON value of an object, in bytes."""

HISTORY_CHANGES = 10_000
"""Changes that a watch can catch up on."""


class ValueTooLarge(errors.PlatformError):
    """The value of an object exceeds the limit."""

    code = "SH390"


class LaggingList:
    """A list whose readers see it as it was some time ago.

    :param kind: kind of the listed objects, ``vm`` or ``group``.
    :param lag: seconds by which readers are behind.
    """

    __slots__ = ("kind", "lag", "revision", "_pending", "_seen", "_latest")

    def __init__(self, kind: str, lag: float = 0.0) -> None:
        """Start empty."""
        self.kind = kind
        self.lag = lag
        self.revision = 0
        self._pending: collections.deque = collections.deque()
        self._seen: dict[str, objects.StoredObject] = {}
        self._latest: dict[str, objects.StoredObject] = {}

    def put(self, now: float, name: str, value: dict | None) -> None:
        """Set an entry; None removes it."""
        self.revision += 1
        entry = objects.StoredObject(self.kind, name, self.revision, value)
        self._pending.append((now, entry))
        self._latest[name] = entry

    def read_latest(self) -> list[objects.StoredObject]:
        """Return the list without its lag; removed entries have value None."""
        return list(self._latest.values())

    def read(self, now: float) -> objects.Changes:
        """Return the list as of ``now`` less the lag; it never goes back."""
        while self._pending and self._pending[0][0] <= now - self.lag:
            entry = self._pending.popleft()[1]
            if entry.value is None:
                self._seen.pop(entry.name, None)
            else:
                self._seen[entry.name] = entry
        newest = max((entry.version for entry in self._seen.values()), default=0)
        return objects.Changes(list(self._seen.values()), newest)


class Store:
    """Versioned objects with conditional updates and a bounded history.

    :param history: changes that a watch can catch up on.
    :param list_lag: seconds by which the lists of VMs and groups lag.

    .. versionadded:: 0.1
    """

    __slots__ = ("revision", "vms", "groups", "_objects", "_changes", "_history")

    def __init__(self, history: int = HISTORY_CHANGES, list_lag: float = 0.0) -> None:
        """Start empty, at revision 0."""
        self.revision = 0
        self.vms = LaggingList("vm", list_lag)
        self.groups = LaggingList("group", list_lag)
        self._objects: dict[tuple[str, str], objects.StoredObject] = {}
        self._changes: collections.deque = collections.deque()
        self._history = history

    def get(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object; raises ObjectMissing."""
        found = self._objects.get((kind, name))
        if found is None:
            raise errors.ObjectMissing(
                f"The platform holds no object {kind}/{name}.", "Create it first."
            )
        return found

    def list(self, kinds: tuple[str, ...]) -> objects.Changes:
        """Return all objects of some kinds."""
        found = [entry for entry in self._objects.values() if entry.kind in kinds]
        return objects.Changes(found, self.revision)

    def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object; raises VersionConflict and ValueTooLarge."""
        if (kind, name) in self._objects:
            raise _conflict(kind, name)
        return self._put(kind, name, value)

    def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object of that version; raises as :meth:`create`."""
        self._check_version(kind, name, version)
        return self._put(kind, name, value)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object of that version; raises VersionConflict."""
        self._check_version(kind, name, version)
        self.revision += 1
        del self._objects[(kind, name)]
        self._record(kind, name)

    def read_changes(self, kinds: tuple[str, ...], revision: int) -> objects.Changes:
        """Return the objects of some kinds that changed after ``revision``.

        :raises sardinehold.errors.WatchExpired: the history does not reach back
            to ``revision``.
        """
        oldest = self._changes[0][0] - 1 if self._changes else self.revision
        if revision < oldest or revision > self.revision:
            raise errors.WatchExpired(
                f"The platform no longer keeps revision {revision}.",
                "List the objects again and watch from the revision of the list.",
            )
        changed = {}
        for at, kind, name in reversed(self._changes):
            if at <= revision:
                break
            if kind in kinds:
                changed[(kind, name)] = None
        found = [self._read_changed(kind, name) for kind, name in reversed(changed)]
        return objects.Changes(found, self.revision)

    def expire_history(self) -> None:
        """Forget all changes, so that each watch has to list again."""
        self._changes.clear()
        self.revision += 1

    def _put(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Store a value under the next revision."""
        size = len(json.dumps(value))
        if size > MAX_VALUE_BYTES:
            raise ValueTooLarge(
                f"The value of {kind}/{name} has {size} bytes.",
                f"Keep it within {MAX_VALUE_BYTES} bytes.",
            )
        self.revision += 1
        entry = objects.StoredObject(kind, name, self.revision, value)
        self._objects[(kind, name)] = entry
        self._record(kind, name)
        return entry

    def _check_version(self, kind: str, name: str, version: int) -> None:
        """Raise VersionConflict unless the object has that version."""
        found = self._objects.get((kind, name))
        if found is None or found.version != version:
            raise _conflict(kind, name)

    def _record(self, kind: str, name: str) -> None:
        """Append a change to the history."""
        self._changes.append((self.revision, kind, name))
        while len(self._changes) > self._history:
            self._changes.popleft()

    def _read_changed(self, kind: str, name: str) -> objects.StoredObject:
        """Return the object as it is now, with value None if deleted."""
        found = self._objects.get((kind, name))
        return found or objects.StoredObject(kind, name, 0, None)


def _conflict(kind: str, name: str) -> errors.VersionConflict:
    """Return the error of an update that met another version."""
    return errors.VersionConflict(
        f"The object {kind}/{name} has another version.",
        "Read it again and repeat the change on what it holds now.",
    )
