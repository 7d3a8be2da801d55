"""Who reads the platform's store, and who is told by a reader.

Answers the load of hundreds of nodes that start together, and of changes that all of
them must know: each call to the store costs, and its rates are shared by all. One
node of each availability zone follows the store; the others ask it over a link, and
the store itself when it does not answer.
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
"""Seconds that a reader keeps a question while nothing changes: within the bound for
configurations a silent reader is noticed and the store asked."""

WATCH_MARGIN = 0.5
"""Seconds past the wait after which a reader counts as silent."""

AVOID_DELAY = 3.0
"""Seconds for which a reader that did not answer is not asked again."""

FRESH = -1
"""In place of a revision: the reader reads the store anew."""

FRESH_WAIT = 0.6
"""Seconds that a fresh list may take: one that is running, and the next one."""

STARTUP_WAIT = 1.5
"""Seconds for which a process that starts waits for a leader and so for a reader,
before it watches the store itself."""

STORE = "store"
"""What readers stand in line for, as homes do for an endpoint."""


def choose_reader(
    zone: str, members: typing.Iterable[membership.Member]
) -> membership.Member | None:
    """Return the member of a zone that reads the store for it, None if it has none."""
    near = [member for member in members if member.zone == zone]
    return min(near, key=lambda member: ownership.score(STORE, member), default=None)


class Relay:
    """A reader as a source of a kind; see :class:`.store_watch.Source`.

    Its lists are begun after the question, since an older one might bring back what
    this node knows to be gone.
    """

    __slots__ = ("_readers", "name")

    def __init__(self, readers: "StoreReaders", name: str) -> None:
        """Ask the reader of that name."""
        self._readers = readers
        self.name = name

    async def list(self, kind: str) -> objects.Changes:
        """Read all objects of a kind, as of no earlier than now."""
        return await self._readers.fetch_changes(self.name, kind, FRESH, FRESH_WAIT)

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return what changed after a revision."""
        return await self._readers.fetch_changes(
            self.name, kind, revision, min(wait, WATCH_WAIT)
        )


class StoreReaders:
    """What a node knows of the reader of its zone.

    :param node: the node.
    """

    def __init__(self, node: "nodes.Node") -> None:
        """Start with every reader to be asked."""
        self.node = node
        self._avoided_until = float("-inf")

    async def await_leader(self) -> None:
        """Wait until a leader is heard, or none seems to come."""
        deadline = clock.read() + STARTUP_WAIT
        while clock.read() < deadline and not self.node.exchange.is_leader_reachable():
            await anyio.sleep(STARTUP_WAIT / 10)

    def find_relay(self) -> Relay | None:
        """Return the reader to ask, None if this node is to ask the store.

        A node that leads reads for itself: it tells the others what they missed.
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
        """Return what a reader tells.

        :raises sardinehold.errors.PlatformUnavailable: it tells nothing.
        :raises sardinehold.errors.WatchExpired: it does not know what came before.
        """
        link = await self.node.links.obtain(name)
        try:
            if link is None:
                raise ports.ConnectionLost(False, reason="there is no link to it")
            with anyio.fail_after(wait + WATCH_MARGIN):
                return await link.request_changes(kind, revision, wait)
        except (ports.ConnectionLost, TimeoutError) as error:
            self._avoided_until = clock.read() + AVOID_DELAY
            self.node.journal.note(
                "reader_lost", peer=name, kind=kind, reason=str(error) or "no answer"
            )
            raise errors.PlatformUnavailable(
                f"Reader {name} did not answer.", "Ask the store."
            ) from error

    async def read_changes(
        self, kind: str, revision: int, wait: float
    ) -> objects.Changes:
        """Return what this node knows of a kind to another one.

        :raises sardinehold.errors.PlatformError: it cannot tell.
        """
        for watcher in self.node.store_mirror.watchers:
            if watcher.kind == kind and revision == FRESH:
                return await watcher.list_fresh()
            if watcher.kind == kind:
                return await watcher.read_changes(revision, min(wait, WATCH_WAIT))
        raise errors.PlatformUnavailable(
            f"This node does not follow {kind!r}.", "Ask the store."
        )
