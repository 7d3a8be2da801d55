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

Listed = dict[str, str]
"""Endpoints by their names; of one that drains, the address at which another one gets
its log, otherwise ``""``."""


def find_departed(group: "groups.Group", now: float) -> frozenset[str]:
    """Return the endpoints that left recently, as far as this node knows.

    While the group is sealed, no replica catches up: none is dropped.
    """
    end = min(now, group.commits.sealed_at)
    return frozenset(
        name for name, at in group.removed_at.items() if end - at < DEPARTED_RETENTION
    )


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
    """Return the list that the store should hold."""
    found = {name: group.listed.get(name, "") for name in find_departed(group, now)}
    for name, endpoint in group.endpoints.items():
        drains = endpoint.draining_since is not None
        found[name] = make_address(endpoint.record) if drains else ""
    return found


def dump(listed: Listed) -> dict:
    """Return the value that is stored."""
    return {"endpoints": dict(sorted(listed.items()))}


def parse(value: dict) -> Listed:
    """Return the endpoints that a stored value lists.

    :raises KeyError, TypeError, AttributeError: the value is malformed.
    """
    found = value["endpoints"]
    if not all(isinstance(item, str) for pair in found.items() for item in pair):
        raise TypeError(f"The endpoints are {found!r:.100}.")
    return found


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
