"""Nodes that read the platform's store on behalf of the other nodes of their zone.

Hundreds of nodes may start together, and all of them need every change; each call to
the store costs money and counts against a shared rate limit. Therefore one node of each
availability zone watches the store. The others read from it over a link, and from the
store itself if it does not answer.
"""

import typing

import anyio

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import membership
from sardinehold.node import ownership
from sardinehold.node import ports

if typing.TYPE_CHECKING:
    from sardinehold.node import node as nodes

WATCH_WAIT = 2.5
"""Seconds that a reader holds a watch without changes: a silent reader is detected and
the store read within the propagation bound of configurations."""

WATCH_MARGIN = 0.5
"""Seconds after the wait until a reader counts as silent."""

AVOID_DELAY = 3.0
"""Seconds for which a reader that did not answer is not used."""

FRESH = -1
"""Sent instead of a revision: the reader lists the kind from the store."""

HELD = -2
"""Sent instead of a revision: the node sends the configuration that it has in force,
whatever its source."""

HELD_TIMEOUT = 4.0
"""Timeout in seconds of a configuration that another node sends: twice what a megabyte
needs over a link of 5 Mbit/s."""

FRESH_WAIT = 0.6
"""Timeout in seconds of a fresh list: one that is running, and the next one."""

STARTUP_WAIT = 3.0
"""Seconds that a starting process waits for a leader, and thereby for a reader, before
it watches the store itself."""

STORE = "store"
"""Key under which readers are ranked, as owners are ranked for an endpoint."""


def choose_reader(
    zone: str, members: typing.Iterable[membership.Member]
) -> membership.Member | None:
    """Return the zone's member that reads the store, None if there is none."""
    near = [member for member in members if member.zone == zone]
    return min(near, key=lambda member: ownership.score(STORE, member), default=None)


class Relay:
    """A reader as the source of a kind; see :class:`.store_watch.Source`.

    Lists are started after the request: an older one could bring back objects that this
    node has already seen removed.
    """

    __slots__ = ("_readers", "name")

    def __init__(self, readers: "StoreReaders", name: str) -> None:
        """Initialize a relay that reads from the node ``name``."""
        self._readers = readers
        self.name = name

    async def list(self, kind: str) -> objects.Changes:
        """Return all objects of a kind, as of the call or later."""
        changes = await self._readers.fetch_changes(self.name, kind, FRESH, FRESH_WAIT)
        self._readers.node.store.check_changes(changes)
        return changes

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Wait for changes after a revision and return them."""
        changes = await self._readers.fetch_changes(
            self.name, kind, revision, min(wait, WATCH_WAIT)
        )
        self._readers.node.store.check_changes(changes, revision)
        return changes


class StoreReaders:
    """Selection of the reader for a node's zone, and requests to it.

    :param node: the local node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Initialize with no reader avoided."""
        self.node = node
        self._avoided_until = float("-inf")

    async def await_leader(self) -> None:
        """Wait until the leader is reachable, at most ``STARTUP_WAIT`` seconds."""
        deadline = clock.read() + STARTUP_WAIT
        while clock.read() < deadline and not self.node.exchange.is_leader_reachable():
            await anyio.sleep(STARTUP_WAIT / 10)

    def find_relay(self) -> Relay | None:
        """Return the reader to use, None if this node reads from the store.

        The leader reads from the store itself, since it announces changes to the other
        nodes.
        """
        node = self.node
        if node.leader.leads() or clock.read() < self._avoided_until:
            return None
        reader = choose_reader(node.settings.zone, node.members.values())
        if reader is None or reader.name == node.settings.name or not node.peers.key:
            return None
        return Relay(self, reader.name)

    async def fetch_changes(
        self, name: str, kind: str, revision: int, wait: float
    ) -> objects.Changes:
        """Request changes from a reader and return them.

        :raises sardinehold.errors.PlatformUnavailable: the reader does not answer.
        :raises sardinehold.errors.WatchExpired: the reader lacks the earlier changes.
        """
        link = await self.node.links.obtain(name)
        try:
            if link is None:
                raise ports.ConnectionLost(False, reason="no link to the reader")
            with anyio.fail_after(wait + WATCH_MARGIN):
                return await link.request_changes(kind, revision, wait)
        except (ports.ConnectionLost, TimeoutError) as error:
            self._avoided_until = clock.read() + AVOID_DELAY
            self.node.journal.note(
                "reader_lost", peer=name, kind=kind, reason=str(error) or "no answer"
            )
            raise errors.PlatformUnavailable(
                f"Reader {name} did not answer.", "Read from the store."
            ) from error

    async def fetch_held_configuration(self, name: str) -> object:
        """Return the configuration that another node has in force, as it is stored.

        It is sent over a link, since a large one exceeds a datagram.

        :returns: None if the node sends none in time.
        """
        kind = self.node.sources.configuration_kind
        link = await self.node.links.obtain(name)
        if link is None:
            return None
        try:
            with anyio.fail_after(HELD_TIMEOUT):
                changes = await link.request_changes(kind, HELD, 0.0)
        except (ports.ConnectionLost, TimeoutError) as error:
            self.node.journal.note(
                "reader_lost", peer=name, kind=kind, reason=str(error) or "no answer"
            )
            return None
        return changes.objects[0].value if changes.objects else None

    def _list_held(self, kind: str) -> objects.Changes:
        """Return the configuration in force as the only object of its kind."""
        sources = self.node.sources
        value = self.node.store_mirror.stored_catalog
        if kind != sources.configuration_kind or value is None:
            return objects.Changes([], 0)
        name = sources.configuration_name
        return objects.Changes([objects.StoredObject(kind, name, 0, value)], 0)

    async def read_changes(
        self, kind: str, revision: int, wait: float
    ) -> objects.Changes:
        """Return the changes of a kind that another node requests.

        :raises sardinehold.errors.PlatformError: the changes cannot be read.
        """
        if revision == HELD:
            return self._list_held(kind)
        if revision != FRESH:
            self.node.store.note_era(revision)
        for watcher in self.node.store_mirror.watchers:
            if watcher.kind == kind and revision == FRESH:
                return await watcher.list_fresh()
            if watcher.kind == kind:
                return await watcher.read_changes(revision, min(wait, WATCH_WAIT))
        raise errors.PlatformUnavailable(
            f"This node does not watch {kind!r}.", "Read from the store."
        )
