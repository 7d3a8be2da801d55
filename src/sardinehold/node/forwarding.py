"""Forwarding of requests to owners: the links between nodes, and streams over them."""

import asyncio
import typing

from sardinehold import objects
from sardinehold.node import caller_limits
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
"""Seconds in which a healthy node accepts a link, across regions and behind a queue of
connections."""

DIAL_WAIT = 0.15
"""Seconds that a request waits for its first link before the next owner is tried."""

REDIAL_DELAY = 0.2
"""Seconds before a node is dialled again after the first failure."""

MAX_REDIAL_DELAY = 1.6
"""Maximum seconds between attempts, after exponential backoff; a process that is
restarted takes a second or two."""

Spawn = typing.Callable[..., None]
ReadChanges = typing.Callable[[str, int, float], typing.Awaitable[objects.Changes]]
Dial = typing.Callable[
    [tuple[str, int], typing.Callable[[], asyncio.Protocol]], typing.Awaitable[object]
]


async def dial(
    address: tuple[str, int], make: typing.Callable[[], asyncio.Protocol]
) -> None:
    """Connect to a node over TCP; raises OSError."""
    await asyncio.get_running_loop().create_connection(make, *address)


class LinkState:
    """State of the links to one owner.

    :param link: the newest link, None before the first.
    :param old: replaced links on which requests are still pending.
    :param retry_at: time before which the owner is not dialled.
    """

    __slots__ = ("link", "old", "dialling", "failures", "retry_at")

    def __init__(self) -> None:
        """Initialize without a link."""
        self.link: links.Outbound | None = None
        self.old: list[links.Outbound] = []
        self.dialling: asyncio.Future | None = None
        self.failures = 0
        self.retry_at = float("-inf")

    def may_dial(self, now: float) -> bool:
        """Return whether a new link may be dialled: not to a node that is stopping."""
        link = self.link
        return now >= self.retry_at and not (link and link.is_up and link.is_draining)


class Links:
    """A node's links to owners, and those of other nodes to it.

    :param name: name of this node.
    :param find_key: returns the fleet's key, empty while it is unknown.
    :param local: executes incoming requests.
    :param find_member: returns a member by its name, None if there is none.
    :param read_changes: returns changes of a kind of store objects after a revision.
    :param limits: limits of the process; None for their defaults.
    :param request_bytes: size of the other nodes' requests that run or wait here.
    """

    def __init__(
        self,
        name: str,
        find_key: typing.Callable[[], bytes],
        local: executor.Executor,
        find_member: typing.Callable[[str], membership.Member | None],
        read_changes: ReadChanges,
        spawn: Spawn,
        note: typing.Callable[..., None],
        dial_node: Dial = dial,
        limits: caller_limits.Limits | None = None,
    ) -> None:
        """Initialize without links."""
        self.limits = limits if limits is not None else caller_limits.Limits()
        self.unproven = caller_limits.Oldest(self.limits.unproven)
        self.request_bytes = 0
        self.read_changes = read_changes
        self.name = name
        self.find_key = find_key
        self.executor = local
        self.spawn = spawn
        self.note = note
        self.inbound: set[links.Inbound] = set()
        self.is_draining = False
        self._find_member = find_member
        self._dial = dial_node
        self._states: dict[str, LinkState] = {}
        self._number = 0

    def accept(self) -> links.Inbound:
        """Return the protocol for an incoming connection."""
        return links.Inbound(self)

    def start_draining(self) -> None:
        """Notify the other nodes that this one accepts no new streams."""
        self.is_draining = True
        for link in self.inbound:
            if link.is_up:
                link.send(frames.pack(frames.DRAINING))

    def is_usable(self, name: str, now: float) -> bool:
        """Return whether a stream to an owner can be opened or a link dialled."""
        state = self._states.get(name)
        if state is None or state.dialling is not None:
            return self._find_member(name) is not None
        if state.link is not None and state.link.can_open_stream():
            return True
        return state.may_dial(now) and self._find_member(name) is not None

    async def obtain(self, name: str) -> links.Outbound | None:
        """Return a link that accepts streams, None if there is none in time."""
        state = self._states.setdefault(name, LinkState())
        if state.link is not None and state.link.can_open_stream():
            return state.link
        if state.dialling is None:
            if not state.may_dial(clock.read()):
                return None
            state.dialling = asyncio.get_running_loop().create_future()
            self.spawn(self._open_link, name, state)
        await asyncio.wait([state.dialling], timeout=DIAL_WAIT)
        link = state.link
        return link if link is not None and link.can_open_stream() else None

    async def _open_link(self, name: str, state: LinkState) -> None:
        """Dial a new link that replaces an unusable one."""
        link = links.Outbound(self, name)
        try:
            member = self._find_member(name)
            if member is None or not self.find_key():
                raise OSError("the node or the fleet's key is unknown")
            async with asyncio.timeout(DIAL_TIMEOUT):
                await self._dial(member.address, lambda: link)
                await link.handshake
        except (OSError, TimeoutError) as error:
            link.end(repr(error))
            wait = min(MAX_REDIAL_DELAY, REDIAL_DELAY * 2**state.failures)
            state.failures = min(state.failures + 1, pool.MAX_DOUBLINGS)
            state.retry_at = clock.read() + jitter.spread(wait)
        else:
            state.failures = 0
            if state.link is not None:
                state.old.append(state.link)
            state.link = link
            self.note("link_up", peer=name)
        finally:
            dialling, state.dialling = state.dialling, None
            dialling.set_result(None)

    def check_liveness(self, now: float) -> None:
        """Check the links with pending requests, and close replaced ones without."""
        for state in self._states.values():
            if state.link is not None:
                state.link.check_liveness(now)
            for link in list(state.old):
                if link.is_unused():
                    state.old.remove(link)
                    link.end("replaced by a newer link")

    def make_stream_number(self) -> int:
        """Return the number of a new stream."""
        self._number += 1
        return self._number


class RefusedStream:
    """A stream that no node may carry: every request on it is rejected.

    :param owner_name: the owner that would have to, ``""`` if there is none.
    """

    __slots__ = ("endpoint", "owner_name", "_rejected")

    def __init__(
        self, endpoint: pool.Endpoint, owner_name: str, rejected: execution.Rejected
    ) -> None:
        """Initialize the stream with its rejection."""
        self.endpoint = endpoint
        self.owner_name = owner_name
        self._rejected = rejected

    async def run(self, request: execution.Request) -> statements.Answer:
        """Raise the rejection."""
        raise self._rejected

    def close(self) -> None:
        """Close the stream; nothing is open."""


class Stream:
    """A caller's requests to one endpoint, through its owner or from this node.

    :param node_links: this node's links, and its own connections.
    :param endpoint: the endpoint as seen by this node.
    :param owner_name: name of the owner, ``""`` for this node's own connections.
    """

    __slots__ = (
        "endpoint",
        "owner_name",
        "_node_links",
        "_link",
        "_number",
        "_is_closed",
        "_local_stream",
    )

    def __init__(
        self, node_links: Links, endpoint: pool.Endpoint, owner_name: str
    ) -> None:
        """Initialize the stream; nothing is sent yet."""
        self.endpoint = endpoint
        self.owner_name = owner_name
        self._node_links = node_links
        self._link: links.Outbound | None = None
        self._number = 0
        self._is_closed = False
        self._local_stream = executor.Stream()

    async def run(self, request: execution.Request) -> statements.Answer:
        """Execute a request.

        :raises sardinehold.node.execution.Rejected: it was not sent to the endpoint.
        :raises sardinehold.node.ports.ConnectionLost: the connection to the owner or
            the endpoint was lost.
        """
        if not self.owner_name:
            reply = await self._node_links.executor.run(self._local_stream, request)
        else:
            if self._link is None:
                self._link = await self._node_links.obtain(self.owner_name)
                self._number = self._node_links.make_stream_number()
            if self._is_closed:
                raise execution.Rejected(
                    execution.Rejection.AWAY, "the request was abandoned"
                )
            if self._link is None:
                raise execution.Rejected(
                    execution.Rejection.AWAY,
                    f"node {self.owner_name} cannot be reached",
                )
            try:
                reply = await self._link.send_request(self._number, request)
            except execution.Rejected as error:
                if error.ahead is not None:
                    self.endpoint.record_ahead(error.ahead, clock.read())
                raise
            now = clock.read()
            request.sent_at = min(now, request.origin.arrived_at + reply.age)
            self.endpoint.update_load(reply.load, now)
        return reply.answer

    def close(self) -> None:
        """Close the stream; its open transaction is rolled back.

        A request on it is withdrawn, unless the endpoint has received it.
        """
        self._is_closed = True
        if not self.owner_name:
            self._node_links.executor.abandon(self._local_stream)
        elif self._link is not None:
            self._link.close(self._number)
