"""Evacuations of availability zones: what an evacuated zone may still be used for.

An operator has a zone evacuated because each second of work there is a risk. Every node
decides for its own work: reads leave the zone at once. A primary there takes new work,
and open transactions may end, until deadlines that are well before the limit, so that
the leader can move the primary meanwhile. After the evacuation the zone gets a growing
share of the reads, since all nodes would otherwise return to it at the same moment.
"""

import typing
import zlib

PRIMARY_SHARE = 0.6
"""Share of the limit for which a primary in the zone takes new work: a planned change
of primary is complete by then."""

OPEN_SHARE = 0.7
"""Share of the limit for which open transactions may go on."""

PROPAGATION_MARGIN = 1.5
"""Seconds that the last work in the zone ends before the limit at the least: the time
until a change in the store reaches a node, and a statement in transit."""

RETURN_TIME = 10.0
"""Seconds in which the share of reads that a zone gets after an evacuation grows to the
whole; a database's caches fill within seconds."""

FIRST_SHARE = 0.05
"""Share of the reads that it gets at first."""


class Entry:
    """An evacuation's object in the store, decoded.

    :param zone: the availability zone.
    :param fault: what is wrong with the object, ``""`` if nothing is.
    """

    __slots__ = ("zone", "fault")

    def __init__(self, zone: str, fault: str = "") -> None:
        """Store the fields."""
        self.zone = zone
        self.fault = fault


class Evacuation:
    """The evacuation of one zone, as this node knows it.

    Times are readings of the node's clock.

    :param version: version of the object in the store.
    :param since: from when its deadlines count: when this node last knew that the zone
        was not evacuated.
    :param primary_until: until when a primary in the zone takes new work.
    :param open_until: until when open transactions there may go on.
    :param ended_at: when this node learned of its end, None while it lasts.
    :param returned_at: when the zone gets its whole share of the reads again.
    """

    __slots__ = (
        "zone",
        "version",
        "since",
        "primary_until",
        "open_until",
        "ended_at",
        "returned_at",
    )

    def __init__(self, zone: str, version: int, since: float, limit: float) -> None:
        """Initialize an evacuation that lasts.

        :param limit: seconds from ``since`` after which no statement may reach the
            zone.
        """
        self.zone = zone
        self.version = version
        self.since = since
        open_for = max(0.0, min(OPEN_SHARE * limit, limit - PROPAGATION_MARGIN))
        self.open_until = since + open_for
        self.primary_until = since + min(PRIMARY_SHARE * limit, open_for)
        self.ended_at: float | None = None
        self.returned_at = float("inf")

    def close(self, now: float) -> None:
        """Allow nothing in the zone from now on."""
        self.primary_until = min(self.primary_until, now)
        self.open_until = min(self.open_until, now)

    def end(self, now: float) -> None:
        """Record the end: the longer the zone was left, the longer the return takes."""
        self.ended_at = now
        self.returned_at = now + min(RETURN_TIME, max(0.0, now - self.since))

    def find_read_share(self, now: float) -> float:
        """Return the share of the reads, from 0 to 1, that the zone may get."""
        if self.ended_at is None:
            return 0.0
        if now >= self.returned_at:
            return 1.0
        progress = (now - self.ended_at) / (self.returned_at - self.ended_at)
        return FIRST_SHARE + (1.0 - FIRST_SHARE) * progress


class Update:
    """The evacuations that began and ended with a change."""

    __slots__ = ("begun", "ended")

    def __init__(self) -> None:
        """Initialize an update without changes."""
        self.begun: list[Evacuation] = []
        self.ended: list[Evacuation] = []

    def __bool__(self) -> bool:
        """Return whether anything changed."""
        return bool(self.begun or self.ended)


class Evacuations:
    """The evacuations that a node knows of, also those that have just ended.

    :param limit: seconds from the store's acknowledgement until no statement may reach
        an evacuated zone; None if evacuations are not in use.
    :param revision: version of the store up to which they are known, 0 before the
        first list.
    :param confirmed_at: latest time as of which the store or the leader said that no
        other zone was evacuated.
    """

    __slots__ = ("limit", "revision", "confirmed_at", "_by_zone")

    def __init__(self, limit: float | None = None) -> None:
        """Initialize without evacuations."""
        self.limit = limit
        self.revision = 0
        self.confirmed_at = float("-inf")
        self._by_zone: dict[str, Evacuation] = {}

    def is_known(self) -> bool:
        """Return whether it is known which zones are evacuated."""
        return self.limit is None or self.revision > 0

    # Changes

    def apply_list(
        self,
        versions: typing.Mapping[str, int],
        revision: int,
        now: float,
        keeps_missing: bool = False,
    ) -> Update:
        """Apply a complete list, unless a later one is known.

        :param versions: version of each evacuated zone's object.
        :param revision: version of the store as of the list.
        :param keeps_missing: whether zones that it lacks stay evacuated: a store that
            was restored gets its lost objects again.
        """
        if revision < self.revision:
            return Update()
        changes: dict[str, int | None] = dict(versions)
        if not keeps_missing:
            missing = {item.zone for item in self.list_current()} - versions.keys()
            changes.update(dict.fromkeys(missing))
        return self._apply(changes, revision, now)

    def apply_changes(
        self, changes: typing.Mapping[str, int | None], revision: int, now: float
    ) -> Update:
        """Apply changes, unless a state that covers them is known.

        :param changes: version by zone, None for an object that was removed.
        :param revision: version of the store up to which they reach.
        """
        if revision <= self.revision:
            if revision == self.revision:
                self.confirm(now)
            return Update()
        return self._apply(changes, revision, now)

    def confirm(self, as_of: float) -> None:
        """Record that nothing else was evacuated as of a time."""
        self.confirmed_at = max(self.confirmed_at, as_of)

    def _apply(
        self, changes: typing.Mapping[str, int | None], revision: int, now: float
    ) -> Update:
        limit = self.limit or 0.0
        is_first = self.revision == 0
        # A node that learns late, after it was cut off for example, may not allow what
        # the others have ended.
        since = now if is_first else min(now, max(self.confirmed_at, now - limit))
        self.revision = revision
        self.confirm(now)
        update = Update()
        for zone, version in sorted(changes.items()):
            current = self.find(zone)
            if version is None and current is not None:
                current.end(now)
                update.ended.append(current)
            elif version is not None and current is not None:
                current.version = version
            elif version is not None:
                begun = Evacuation(zone, version, since, limit)
                if is_first:
                    # It may have begun long before this node started.
                    begun.close(now)
                self._by_zone[zone] = begun
                update.begun.append(begun)
        return update

    def pop_returned(self, now: float) -> list[Evacuation]:
        """Remove and return the ended ones whose zones have their whole share again."""
        found = [item for item in self._by_zone.values() if now >= item.returned_at]
        for item in found:
            del self._by_zone[item.zone]
        return found

    # Decisions

    def find(self, zone: str) -> Evacuation | None:
        """Return the evacuation of a zone that lasts, None if there is none."""
        found = self._by_zone.get(zone)
        return found if found is not None and found.ended_at is None else None

    def list_current(self) -> list[Evacuation]:
        """Return the evacuations that last."""
        return [item for item in self._by_zone.values() if item.ended_at is None]

    def is_closed(self, zone: str, now: float, is_primary: bool) -> bool:
        """Return whether an endpoint of a zone takes no new work.

        :param is_primary: whether the work is for the primary of its group.
        """
        if not self.is_known():
            return True
        found = self.find(zone)
        return found is not None and not (is_primary and now < found.primary_until)

    def is_vacated(self, zone: str, now: float) -> bool:
        """Return whether nothing may be sent to a zone, also in open transactions."""
        found = self.find(zone)
        return found is not None and now >= found.open_until

    def is_returning(self, zone: str, now: float) -> bool:
        """Return whether a zone gets only a part of the reads after an evacuation."""
        found = self._by_zone.get(zone)
        return found is not None and found.find_read_share(now) < 1.0

    def admits_read(self, zone: str, key: str, now: float) -> bool:
        """Return whether a read may go to a zone, by the share that it may get.

        :param key: identifies the read, so that a repeated question has one answer
            until the share has grown.
        """
        found = self._by_zone.get(zone)
        if found is None:
            return True
        return zlib.crc32(key.encode()) / 2**32 < found.find_read_share(now)
