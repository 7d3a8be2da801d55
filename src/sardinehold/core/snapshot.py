"""The stored objects of the view, as of one revision of the platform.

A snapshot never goes back to an earlier revision: older answers are ignored.
"""

from sardinehold import objects

KINDS = (
    "document",
    "group-state",
    "handover",
    "leaving",
    "members",
    "role",
    "secret",
)
"""Kinds of the objects that the view is built from."""

TOMBSTONE_LIMIT = 64
"""Tombstones of deleted objects kept for nodes that request changes only."""


class Snapshot:
    """Objects by kind and name, as of one revision.

    :param version: the revision, 0 before the first read.
    :param changed_version: revision of the last change among the objects; the
        version itself also grows with changes to other kinds.
    :param tombstones: revisions of deletions, by kind and name.
    :param delta_floor: earliest revision from which changes are available.
    """

    __slots__ = ("version", "changed_version", "objects", "tombstones", "delta_floor")

    def __init__(self) -> None:
        """Initialize an empty snapshot."""
        self.version = 0
        self.changed_version = 0
        self.objects: dict[tuple[str, str], objects.StoredObject] = {}
        self.tombstones: dict[tuple[str, str], int] = {}
        self.delta_floor = 0

    def find(self, kind: str, name: str) -> objects.StoredObject | None:
        """Return an object, or None if there is none."""
        return self.objects.get((kind, name))

    def find_all(self, kind: str) -> dict[str, objects.StoredObject]:
        """Return the objects of one kind by name."""
        return {
            name: stored
            for (other, name), stored in self.objects.items()
            if other == kind
        }

    def replace(self, changes: objects.Changes) -> bool:
        """Replace all objects by those of a list, unless the list is older.

        :returns: whether anything but the version changed.
        """
        if changes.revision < self.version:
            return False
        before = {key: stored.version for key, stored in self.objects.items()}
        self.objects = {
            (stored.kind, stored.name): stored for stored in changes.objects
        }
        self.version = changes.revision
        self.tombstones = {}
        self.delta_floor = changes.revision
        after = {key: stored.version for key, stored in self.objects.items()}
        latest = max(after.values(), default=0)
        if before.keys() - after.keys():
            latest = changes.revision
        self.changed_version = max(self.changed_version, latest)
        return before != after

    def apply(self, changes: objects.Changes, since: int) -> bool:
        """Apply the changes made after revision ``since``, unless outdated or partial.

        :returns: whether anything but the version changed.
        """
        if since > self.version or changes.revision <= self.version:
            return False
        changed = False
        for stored in changes.objects:
            changed = self._apply_object(stored, changes.revision) or changed
        self.version = changes.revision
        return changed

    def collect_changes(self, since: int) -> objects.Changes | None:
        """Return the changes after ``since``, None if a tombstone may be missing."""
        if since < self.delta_floor:
            return None
        changed = [item for item in self.objects.values() if item.version > since]
        for (kind, name), version in self.tombstones.items():
            if version > since:
                changed.append(objects.StoredObject(kind, name, version, None))
        return objects.Changes(changed, self.version)

    def collect_all(self) -> objects.Changes:
        """Return all objects."""
        return objects.Changes(list(self.objects.values()), self.version)

    def _apply_object(self, stored: objects.StoredObject, revision: int) -> bool:
        key = (stored.kind, stored.name)
        held = self.objects.get(key)
        if stored.value is None:
            if held is None or held.version > max(stored.version, revision):
                return False
            del self.objects[key]
            self.changed_version = max(self.changed_version, revision)
            self._record_tombstone(key, revision)
            return True
        if held is not None and held.version >= stored.version:
            return False
        self.objects[key] = stored
        self.changed_version = max(self.changed_version, stored.version)
        self.tombstones.pop(key, None)
        return True

    def _record_tombstone(self, key: tuple[str, str], revision: int) -> None:
        self.tombstones[key] = revision
        if len(self.tombstones) > TOMBSTONE_LIMIT:
            oldest = min(self.tombstones, key=self.tombstones.__getitem__)
            self.delta_floor = max(self.delta_floor, self.tombstones.pop(oldest))
