"""Objects of the platform's store and the interface of its clients.

A revision orders the changes of the store only until the store is restored from an
older copy: it then goes back, and is given out again for other contents. A *version*
is a revision with the era of the store, which rises with each restore, in its high
bits. Versions are therefore ordered over restores as well, and versions of different
eras are never equal.
"""

import typing

REVISION_BITS = 40
"""Bits of a version that hold the revision; at 400 writes a second they last for 87
years, and a version stays an exact number in JSON up to era 8,191."""


def make_version(era: int, revision: int) -> int:
    """Return the version of a revision in an era of the store."""
    return era << REVISION_BITS | revision


def find_era(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def find_revision(version: int) -> int:
    """Return the store's revision of a version."""
    return version & ((1 << REVISION_BITS) - 1)


class StoredObject:
    """A version of an object in the platform's store.

    :param version: version of the store that last changed it; 0 for a
        deleted object in the answer to a watch.
    :param value: content of the object, None if it was deleted.
    """

    __slots__ = ("kind", "name", "version", "value")

    def __init__(self, kind: str, name: str, version: int, value: dict | None) -> None:
        """Store the fields of the object."""
        self.kind = kind
        self.name = name
        self.version = version
        self.value = value


class Changes:
    """The objects that a list or a watch returned.

    :param revision: version of the store at which the objects were current.
    :param unread: the reason for each object that was omitted because it could not
        be parsed.
    """

    __slots__ = ("objects", "revision", "unread")

    def __init__(
        self,
        objects: list[StoredObject],
        revision: int,
        unread: typing.Sequence[str] = (),
    ) -> None:
        """Store the objects, the revision and the reasons."""
        self.objects = objects
        self.revision = revision
        self.unread = list(unread)


class ObjectClient(typing.Protocol):
    """Interface of a client of the platform's object API.

    Every call raises :class:`sardinehold.errors.PlatformUnavailable` if no answer
    arrives; a change may have taken effect nevertheless.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Read one object; raises ObjectMissing."""

    async def list(self, kinds: tuple[str, ...]) -> Changes:
        """Read all objects of some kinds at one revision."""

    async def create(self, kind: str, name: str, value: dict) -> StoredObject:
        """Create an object; raises VersionConflict if it exists."""

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> StoredObject:
        """Replace an object if it has ``version``; raises VersionConflict if not."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object if it has ``version``; raises VersionConflict if not."""

    async def watch(
        self, kinds: tuple[str, ...], revision: int, wait: float
    ) -> Changes:
        """Return the changes after ``revision``, within ``wait`` seconds.

        Raises WatchExpired if the platform no longer stores the revision.
        """

    async def list_vms(self) -> Changes:
        """Read the list of live and leaving VMs (kind ``vm``); it may be outdated."""

    async def list_groups(self) -> Changes:
        """Read the database groups that the platform runs (kind ``group``)."""
