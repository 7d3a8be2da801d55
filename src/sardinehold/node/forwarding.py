"""The way from a node to the homes: which links there are, and streams over them."""

import asyncio
import typing

from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import executor
from sardinehold.node import frames
from sardinehold.node import jitter
from sardinehold.node import links
from sardinehold.node import membership
from sardinehold.node import pool
from sardinehold.node import statements

DIAL_TIMEOUT = 0.4
"""Seconds in which a node that is well takes a link, across regions and behind a queue
of connections."""

DIAL_PATIENCE = 0.15
"""Seconds that an order waits for its first link before it goes to the next home."""

REDIAL_FIRST = 0.2
"""Seconds before a node is dialled again after the first failure."""

REDIAL_LIMIT = 1.6
"""Seconds that the growing wait between attempts ends at; a process that is restarted
takes a second or two."""

Spawn = typing.Callable[..., None]
Tell = typing.Callable[[str, int, float], typing.Awaitable[objects.Changes]]
Dial = typing.Callable[
    [tuple[str, int], typing.Callable[[], asyncio.Protocol]], typing.Awaitable[object]
]


async def dial(
    address: tuple[str, int], make: typing.Callable[[], asyncio.Protocol]
) -> None:
    """Connect to a node over TCP; raises OSError."""
    await asyncio.get_running_loop().create_connection(make, *address)


class Line:
    """What a node knows of the way to one home.

    :param link: the newest link, None before the first.
    :param retry_at: before when it is not dialled.
    """

    __slots__ = ("link", "old", "dialling", "failures", "retry_at")

    def __init__(self) -> None:
        """Start without a link."""
        self.link: links.Outbound | None = None
        self.old: list[links.Outbound] = []
        self.dialling: asyncio.Future | None = None
        self.failures = 0
        self.retry_at = float("-inf")

    def may_dial(self, now: float) -> bool:
        """Return whether a new link makes sense: not to a node that is stopping."""
        link = self.link
        return now >= self.retry_at and not (link and link.is_up and link.is_leaving)


class Links:
    """A node's links to homes, and those of other nodes to it.

    :param name: of this node.
    :param find_key: returns the fleet's key, empty while it is unknown.
    :param local: runs the orders that come in.
    :param find_member: returns a member by its name, None if there is none.
    :param tell: returns what this node knows of a kind in the store after a revision.
    """

    def __init__(
        self,
        name: str,
        find_key: typing.Callable[[], bytes],
        local: executor.Executor,
        find_member: typing.Callable[[str], membership.Member | None],
        tell: Tell,
        spawn: Spawn,
        note: typing.Callable[..., None],
        dial_node: Dial = dial,
    ) -> None:
        """Start without links."""
        self.tell = tell
        self.name = name
        self.find_key = find_key
        self.executor = local
        self.spawn = spawn
        self.note = note
        self.inbound: set[links.Inbound] = set()
        self.is_leaving = False
        self._find_member = find_member
        self._dial = dial_node
        self._lines: dict[str, Line] = {}
        self._number = 0

    def accept(self) -> links.Inbound:
        """Return the protocol for a connection that came in."""
        return links.Inbound(self)

    def leave(self) -> None:
        """Tell the other nodes that this one takes no new streams."""
        self.is_leaving = True
        for link in self.inbound:
            if link.is_up:
                link.send(frames.pack(frames.LEAVING))

    def may_use(self, name: str, now: float) -> bool:
        """Return whether a stream to a home may begin, or a link is worth a try."""
        line = self._lines.get(name)
        if line is None or line.dialling is not None:
            return self._find_member(name) is not None
        if line.link is not None and line.link.may_take():
            return True
        return line.may_dial(now) and self._find_member(name) is not None

    async def obtain(self, name: str) -> links.Outbound | None:
        """Return a link that takes streams, None if there is none soon."""
        line = self._lines.setdefault(name, Line())
        if line.link is not None and line.link.may_take():
            return line.link
        if line.dialling is None:
            if not line.may_dial(clock.read()):
                return None
            line.dialling = asyncio.get_running_loop().create_future()
            self.spawn(self._dial_line, name, line)
        await asyncio.wait([line.dialling], timeout=DIAL_PATIENCE)
        link = line.link
        return link if link is not None and link.may_take() else None

    async def _dial_line(self, name: str, line: Line) -> None:
        """Put a new link in place of one that is of no use."""
        link = links.Outbound(self, name)
        try:
            member = self._find_member(name)
            if member is None or not self.find_key():
                raise OSError("the node or the fleet's key is not known")
            async with asyncio.timeout(DIAL_TIMEOUT):
                await self._dial(member.address, lambda: link)
                await link.greeted
        except (OSError, TimeoutError) as error:
            link.end(repr(error))
            wait = min(REDIAL_LIMIT, REDIAL_FIRST * 2**line.failures)
            line.failures = min(line.failures + 1, pool.MAX_DOUBLINGS)
            line.retry_at = clock.read() + jitter.spread(wait)
        else:
            line.failures = 0
            if line.link is not None:
                line.old.append(line.link)
            line.link = link
            self.note("link_up", peer=name)
        finally:
            dialling, line.dialling = line.dialling, None
            dialling.set_result(None)

    def look(self, now: float) -> None:
        """Find out about links on which answers are awaited."""
        for line in self._lines.values():
            if line.link is not None:
                line.link.look(now)
            for link in list(line.old):
                if link.is_unused():
                    line.old.remove(link)
                    link.end("another link took its place")

    def make_number(self) -> int:
        """Return a number for a new stream."""
        self._number += 1
        return self._number


class Stream:
    """A caller's statements to one endpoint, by way of a home or of this node.

    :param ways: this node's links, and its own connections.
    :param endpoint: as this node sees it.
    :param owner_name: the home, ``""`` for this node's own connections.
    """

    __slots__ = ("endpoint", "owner_name", "_ways", "_link", "_number", "_held")

    def __init__(self, ways: Links, endpoint: pool.Endpoint, owner_name: str) -> None:
        """Start without having sent anything."""
        self.endpoint = endpoint
        self.owner_name = owner_name
        self._ways = ways
        self._link: links.Outbound | None = None
        self._number = 0
        self._held = executor.Stream()

    async def run(self, request: execution.Request) -> statements.Answer:
        """Run an order.

        :raises sardinehold.node.execution.Rejected: it was not sent to the endpoint.
        :raises sardinehold.node.ports.ConnectionLost: the way to it broke.
        """
        if not self.owner_name:
            reply = await self._ways.executor.run(self._held, request)
        else:
            if self._link is None:
                self._link = await self._ways.obtain(self.owner_name)
                self._number = self._ways.make_number()
            if self._link is None:
                raise execution.Rejected(
                    execution.Rejection.AWAY,
                    f"node {self.owner_name} cannot be reached",
                )
            reply = await self._link.ask(self._number, request)
            self.endpoint.take_load(reply.load, clock.read())
        return reply.answer

    def close(self) -> None:
        """Give up what the stream holds open; it is rolled back."""
        if not self.owner_name:
            self._ways.executor.abandon(self._held)
        elif self._link is not None:
            self._link.close(self._number)
