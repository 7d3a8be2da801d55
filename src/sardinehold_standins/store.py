"""In-memory object store of the platform; does no I/O, callers pass the time in.

Tests of other modules use it directly with virtual time; :mod:`.platform`
serves it over HTTP.
"""

import collections
import json

from sardinehold import errors
from sardinehold import objects

MAX_VALUE_BYTES = 1024 * 1024
"""Maximum size of an object's JSON value in bytes."""

HISTORY_CHANGES = 10_000
"""Number of changes retained for watches."""


class ValueTooLarge(errors.PlatformError):
    """The value of an object exceeds ``MAX_VALUE_BYTES``."""

    code = "SH390"


class LaggingList:
    """List whose readers see changes with a delay.

    :param kind: kind of the listed objects, ``vm`` or ``group``.
    :param lag: delay in seconds.
    """

    __slots__ = ("kind", "lag", "revision", "_pending", "_visible", "_latest")

    def __init__(self, kind: str, lag: float = 0.0) -> None:
        """Create an empty list."""
        self.kind = kind
        self.lag = lag
        self.revision = 0
        self._pending: collections.deque = collections.deque()
        self._visible: dict[str, objects.StoredObject] = {}
        self._latest: dict[str, objects.StoredObject] = {}

    def put(self, now: float, name: str, value: dict | None) -> None:
        """Set an entry; None removes it."""
        self.revision += 1
        entry = objects.StoredObject(self.kind, name, self.revision, value)
        self._pending.append((now, entry))
        self._latest[name] = entry

    def read_latest(self) -> list[objects.StoredObject]:
        """Return the current list; removed entries have value None."""
        return list(self._latest.values())

    def read(self, now: float) -> objects.Changes:
        """Return the list as of ``now`` minus the lag; reads are monotonic."""
        while self._pending and self._pending[0][0] <= now - self.lag:
            entry = self._pending.popleft()[1]
            if entry.value is None:
                self._visible.pop(entry.name, None)
            else:
                self._visible[entry.name] = entry
        newest = max((entry.version for entry in self._visible.values()), default=0)
        return objects.Changes(list(self._visible.values()), newest)


class Copy:
    """Content of a store at one revision."""

    __slots__ = ("revision", "items", "changes")

    def __init__(
        self,
        revision: int,
        items: dict[tuple[str, str], objects.StoredObject],
        changes: collections.deque,
    ) -> None:
        """Store the content."""
        self.revision = revision
        self.items = items
        self.changes = changes


class Store:
    """Versioned objects with conditional updates and a bounded history.

    ``era`` rises by one each time that the store is restored from a copy.

    :param history: number of changes retained for watches.
    :param list_lag: seconds by which the lists of VMs and groups lag.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "era",
        "revision",
        "vms",
        "groups",
        "_objects",
        "_changes",
        "_history",
    )

    def __init__(self, history: int = HISTORY_CHANGES, list_lag: float = 0.0) -> None:
        """Create an empty store at revision 0."""
        self.era = 1
        self.revision = 0
        self.vms = LaggingList("vm", list_lag)
        self.groups = LaggingList("group", list_lag)
        self._objects: dict[tuple[str, str], objects.StoredObject] = {}
        self._changes: collections.deque = collections.deque()
        self._history = history

    def get(self, kind: str, name: str) -> objects.StoredObject:
        """Return an object; raise ObjectMissing if it does not exist."""
        found = self._objects.get((kind, name))
        if found is None:
            raise errors.ObjectMissing(
                f"The platform has no object {kind}/{name}.", "Create it first."
            )
        return found

    def list(self, kinds: tuple[str, ...]) -> objects.Changes:
        """Return all objects of some kinds."""
        found = [entry for entry in self._objects.values() if entry.kind in kinds]
        return objects.Changes(found, self.revision)

    def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object.

        :raises sardinehold.errors.VersionConflict: the object exists.
        :raises ValueTooLarge: the value exceeds ``MAX_VALUE_BYTES``.
        """
        if (kind, name) in self._objects:
            raise _conflict(kind, name)
        return self._put(kind, name, value)

    def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object if it has that version.

        :raises sardinehold.errors.VersionConflict: it has another version.
        :raises ValueTooLarge: the value exceeds ``MAX_VALUE_BYTES``.
        """
        self._check_version(kind, name, version)
        return self._put(kind, name, value)

    def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object if it has that version.

        :raises sardinehold.errors.VersionConflict: it has another version.
        """
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
                f"The platform no longer has revision {revision} in its history.",
                "List the objects again and watch from the revision of that list.",
            )
        changed = {}
        for at, kind, name in reversed(self._changes):
            if at <= revision:
                break
            if kind in kinds:
                changed[(kind, name)] = None
        found = [self._read_changed(kind, name) for kind, name in reversed(changed)]
        return objects.Changes(found, self.revision)

    def save(self) -> Copy:
        """Return a copy of the content."""
        return Copy(self.revision, dict(self._objects), self._changes.copy())

    def restore(self, copy: Copy) -> None:
        """Return to a copy: later changes are lost, their revisions are used again."""
        self.era += 1
        self.revision = copy.revision
        self._objects = dict(copy.items)
        self._changes = copy.changes.copy()

    def expire_history(self) -> None:
        """Discard the history, so that all watches have to list again."""
        self._changes.clear()
        self.revision += 1

    def _put(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Store a value with the next revision."""
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
        """Return the current object, with value None if deleted."""
        found = self._objects.get((kind, name))
        return found or objects.StoredObject(kind, name, 0, None)


def _conflict(kind: str, name: str) -> errors.VersionConflict:
    """Return the error of a write with an outdated version."""
    return errors.VersionConflict(
        f"The object {kind}/{name} has another version.",
        "Read it again and repeat the change on the current value.",
    )
