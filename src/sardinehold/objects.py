"""Client of the platform's object API."""

import typing


class StoredObject:
    """An object as the platform holds it.

    :param version: the platform's revision that last changed it; 0 for a
        deleted object in a watch.
    """

    __slots__ = ("kind", "name", "version", "value")

    def __init__(self, kind: str, name: str, version: int, value: dict | None) -> None:
        """Keep the parts of the object."""
        self.kind = kind
        self.name = name
        self.version = version
        self.value = value


class Changes:
    """What a list or a watch returned.

    :param revision: the platform's revision as of which this holds.
    :param unread: for each object that could not be read and is left out, why.
    """

    __slots__ = ("objects", "revision", "unread")

    def __init__(
        self,
        objects: list[StoredObject],
        revision: int,
        unread: typing.Sequence[str] = (),
    ) -> None:
        """Keep the objects and the revision."""
        self.objects = objects
        self.revision = revision
        self.unread = list(unread)


class ObjectClient(typing.Protocol):
    """What the system asks of the platform.

    Every call raises :class:`sardinehold.errors.PlatformUnavailable` when no
    answer came: a change may then have taken effect all the same.
    """

    async def get(self, kind: str, name: str) -> StoredObject:
        """Read one object; raises ObjectMissing."""

    async def list(self, kinds: tuple[str, ...]) -> Changes:
        """Read all objects of some kinds as of one revision."""

    async def create(self, kind: str, name: str, value: dict) -> StoredObject:
        """Create an object; raises VersionConflict if it exists."""

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> StoredObject:
        """Replace an object of that version; raises VersionConflict."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Delete an object of that version; raises VersionConflict."""

    async def watch(
        self, kinds: tuple[str, ...], revision: int, wait: float
    ) -> Changes:
        """Return what changed after ``revision``, after ``wait`` s at the latest.

        Raises WatchExpired when the platform no longer keeps the revision.
        """

    async def list_vms(self) -> Changes:
        """Read the lagging list of live and leaving VMs (kind ``vm``)."""

    async def list_groups(self) -> Changes:
        """Read the database groups that the platform runs (kind ``group``)."""
