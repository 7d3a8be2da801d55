"""Lists of the groups' endpoints in the store.

A replica that left may have had the only copy of a commit. What the nodes remember of
it is gone when all of them start again: they then learn from the list which endpoints
have no record any more. It is an object of its own, since only a leader needs it: a
group's state is sent to all nodes, and its version is the fence of a change of primary.
"""

import typing

import anyio.abc

from sardinehold import errors
from sardinehold.node import catalog
from sardinehold.node import clock

if typing.TYPE_CHECKING:
    from sardinehold.node import groups
    from sardinehold.node import leader

DEPARTED_RETENTION = 60.0
"""Seconds for which a removed endpoint counts as one that may have had the only copy of
a commit: longer than any replica was seen to be behind."""

RETRY_DELAY = 0.5
"""Seconds before a list that could not be written is written again."""

Listed = dict[str, tuple[int, str]]
"""Start of each endpoint that may hold a commit, by its name; of one that drains, the
address at which another one gets its log, otherwise ``""``."""

UNKNOWN = (0, "")
"""Entry of an endpoint that left before it was listed."""


def find_departed(group: "groups.Group", now: float) -> frozenset[str]:
    """Return the endpoints that left recently, as far as this node knows."""
    return frozenset(
        name for name, at in group.removed_at.items() if _is_recent(group, at, now)
    )


def _is_recent(group: "groups.Group", at: float, now: float) -> bool:
    """Return whether logs may lag since an instant.

    While the group is sealed, no replica catches up: that time does not count.
    """
    return min(now, group.commits.sealed_at) - at < DEPARTED_RETENTION


def count_departed(group: "groups.Group", primary: str, now: float) -> int:
    """Return how many replicas left recently and may have had the only copy.

    A log that was transferred is that of the endpoint at its address now.

    :param primary: the one that is replaced, which is no replica.
    """
    records = [endpoint.record for endpoint in group.endpoints.values()]
    addresses = {make_address(record) for record in records}
    return sum(
        name != primary and group.transfers.get(name) not in addresses
        for name in find_departed(group, now)
    )


def make_address(record: catalog.EndpointRecord) -> str:
    """Return the address of an endpoint."""
    return f"{record.host}:{record.port}"


def make_list(group: "groups.Group", now: float) -> Listed:
    """Return the list that the store should hold.

    An endpoint that started again is listed with its earlier start for as long as one
    that left.
    """
    listed = group.listed
    found = {name: listed.get(name, UNKNOWN) for name in find_departed(group, now)}
    for name, endpoint in group.endpoints.items():
        drains = endpoint.draining_since is not None
        born = endpoint.record.born
        at = group.restarts.find_newest(name)
        if name in listed and at is not None and _is_recent(group, at, now):
            born, _ = listed[name]
        found[name] = (born, make_address(endpoint.record) if drains else "")
    return found


def dump(listed: Listed) -> dict:
    """Return the value that is stored."""
    return {"endpoints": {name: list(item) for name, item in sorted(listed.items())}}


def parse(value: dict) -> Listed:
    """Return the endpoints that a stored value lists.

    :raises KeyError, TypeError, ValueError, AttributeError: the value is malformed.
    """
    return {
        name: (int(born), str(address))
        for name, (born, address) in value["endpoints"].items()
    }


class EndpointLists:
    """Keeps the lists in the store complete while a node leads.

    An endpoint is listed from when the leader learns of it, until it has been gone for
    ``DEPARTED_RETENTION``: one that is back within that time changes nothing.
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
            if group.listed != make_list(group, now):
                self._writing.add(name)
                tasks.start_soon(self._write, group)

    async def _write(self, group: "groups.Group") -> None:
        node = self._leader.node
        listed = make_list(group, clock.read())
        try:
            await node.store_writer.write_endpoints(group, listed)
            node.journal.note("endpoints_listed", group=group.name, endpoints=listed)
        except errors.PlatformError as error:
            reason = str(error)
            node.journal.note("endpoints_not_listed", group=group.name, reason=reason)
            self._retry_at[group.name] = clock.read() + RETRY_DELAY
        finally:
            self._writing.discard(group.name)
