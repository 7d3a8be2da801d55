"""Lists of the groups' endpoints in the store.

A replica that left may have had the only copy of a commit. What the nodes remember of
it is gone when all of them start again: they then learn from the list which endpoints
have no record any more. It is an object of its own, since only a leader needs it: a
group's state is sent to all nodes, and its version is the fence of a change of primary.
"""

import typing

import anyio.abc

from sardinehold import errors
from sardinehold.node import clock

if typing.TYPE_CHECKING:
    from sardinehold.node import groups
    from sardinehold.node import leader

DEPARTED_RETENTION = 60.0
"""Seconds for which a removed endpoint counts as one that may have had the only copy of
a commit: longer than any replica was seen to be behind."""

RETRY_DELAY = 0.5
"""Seconds before a list that could not be written is written again."""


def find_departed(group: "groups.Group", now: float) -> frozenset[str]:
    """Return the endpoints that left recently, as far as this node knows.

    While the group is sealed, no replica catches up: none is dropped.
    """
    end = min(now, group.commits.sealed_at)
    return frozenset(
        name for name, at in group.removed_at.items() if end - at < DEPARTED_RETENTION
    )


def dump(names: frozenset[str]) -> dict:
    """Return the value that is stored."""
    return {"endpoints": sorted(names)}


def parse(value: dict) -> frozenset[str]:
    """Return the endpoints that a stored value lists.

    :raises KeyError, TypeError, AttributeError: the value is malformed.
    """
    found = value["endpoints"]
    if not isinstance(found, list) or not all(isinstance(name, str) for name in found):
        raise TypeError(f"The endpoints are {found!r:.100}.")
    return frozenset(found)


class EndpointLists:
    """Keeps the lists in the store complete while a node leads.

    An endpoint is listed from when the leader learns of it, until it has been gone for
    ``DEPARTED_RETENTION``: a start within that time changes nothing.
    """

    def __init__(self, fleet_leader: "leader.Leader") -> None:
        """Initialize without lists that are being written."""
        self._leader = fleet_leader
        self._writing: set[str] = set()
        self._retry_at: dict[str, float] = {}

    def write_changed(self, tasks: anyio.abc.TaskGroup) -> None:
        """Write the lists that lack an endpoint, or have one that left long ago.

        A change of primary does not wait for them.
        """
        now = clock.read()
        for name, group in self._leader.node.groups.items():
            if name in self._writing or now < self._retry_at.get(name, 0.0):
                continue
            if name not in self._leader.node.catalog.groups or group.state is None:
                continue
            if group.listed != find_departed(group, now) | group.endpoints.keys():
                self._writing.add(name)
                tasks.start_soon(self._write, group)

    async def _write(self, group: "groups.Group") -> None:
        node = self._leader.node
        names = find_departed(group, clock.read()) | group.endpoints.keys()
        try:
            await node.store_writer.write_endpoints(group, names)
            listed = sorted(names)
            node.journal.note("endpoints_listed", group=group.name, endpoints=listed)
        except errors.PlatformError as error:
            reason = str(error)
            node.journal.note("endpoints_not_listed", group=group.name, reason=reason)
            self._retry_at[group.name] = clock.read() + RETRY_DELAY
        finally:
            self._writing.discard(group.name)
