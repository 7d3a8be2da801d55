"""Links between nodes: orders to homes, and their answers, over one connection a pair.

A link is dialled by the node that sends orders, when it first has one for the other.
Both ends prove that they know the fleet's key. A frame that cannot be read, or bytes
of somebody else, end that link and nothing more. grpclib does not fit here: its cost a
call, on the measured slope of docs/design/data-path.md, is that of the statement.
"""

import asyncio
import hmac
import secrets
import typing

from sardinehold import errors
from sardinehold import objects
from sardinehold.node import clock
from sardinehold.node import frames
from sardinehold.node import home
from sardinehold.node import jitter
from sardinehold.node import membership
from sardinehold.node import orders
from sardinehold.node import peers
from sardinehold.node import pool
from sardinehold.node import ports
from sardinehold.node import statements

NONCE_BYTES = 16
"""Bytes that a proof of the key answers to; none is ever drawn twice."""

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

PING_AFTER = 0.1
"""Seconds without a frame, while an answer is awaited, after which a node is asked for
a sign of life; longer than most statements take."""

SUSPECT_AFTER = 0.25
"""Seconds without a sign of life after which orders go to the next home: longer than
the tenth of a second for which a VM that has used its processor share stands still."""

VERDICT_GRACE = 0.1
"""Seconds past the deadline in which a home may still say that an order was not run."""

MAX_STREAMS = 512
"""Orders on one link that are not answered; beyond them nothing is sent."""

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


class Link(asyncio.Protocol):
    """What both ends of a link share: frames, and the proof of the key."""

    def __init__(self, links: "Links") -> None:
        """Start unconnected."""
        self.links = links
        self.peer = ""
        self.is_up = False
        self.is_ended = False
        self.is_congested = False
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        self._reader = frames.Reader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take up the transport."""
        self._transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """Give up what the link carried."""
        self.end(repr(error) if error else "the other node closed it")

    def pause_writing(self) -> None:
        """Note that the other end does not keep up."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Note that the other end keeps up again."""
        self.is_congested = False

    def data_received(self, data: bytes) -> None:
        """Take bytes of frames."""
        try:
            for frame in self._reader.feed(data):
                if self.is_ended:
                    return
                self._take(frame[0], frame[1:])
        except frames.FrameError as error:
            self.end(str(error))
        except (ValueError, TypeError, IndexError) as error:
            self.end(f"a frame cannot be read: {error!r}")

    def send(self, data: bytes) -> None:
        """Send a frame."""
        if not self.is_ended:
            self._transport.write(data)

    def end(self, reason: str) -> None:
        """Close the link, once."""
        if self.is_ended:
            return
        self.is_ended = True
        was_up, self.is_up = self.is_up, False
        if self._transport is not None:
            self._transport.abort()
        self._note_end(reason, was_up)

    def _prove(self, nonce: bytes, name: str) -> bytes:
        return peers.sign(self.links.find_key(), nonce + name.encode())

    def _check(self, proof: object, name: str) -> None:
        """End the link unless the other node knows the key."""
        expected = self._prove(self._nonce, name)
        known = bool(self.links.find_key())
        if not (
            known and isinstance(proof, bytes) and hmac.compare_digest(proof, expected)
        ):
            raise frames.FrameError("the other end does not prove the fleet's key")

    def _take(self, kind: int, fields: list) -> None:
        raise NotImplementedError

    def _note_end(self, reason: str, was_up: bool) -> None:
        raise NotImplementedError


class Inbound(Link):
    """The end of a link at a home."""

    def __init__(self, links: "Links") -> None:
        """Start without streams."""
        super().__init__(links)
        self._streams: dict[int, home.Stream] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for a proof of the key."""
        super().connection_made(transport)
        self.links.inbound.add(self)
        self.send(frames.pack(frames.CHALLENGE, self._nonce))

    def pause_writing(self) -> None:
        """Take no more orders from a node that does not take its answers."""
        super().pause_writing()
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Take orders again."""
        super().resume_writing()
        self._transport.resume_reading()

    def _take(self, kind: int, fields: list) -> None:
        if not self.is_up:
            self._greet(kind, fields)
        elif kind == frames.ORDER:
            self._take_order(fields[0], fields[1:])
        elif kind == frames.CLOSE:
            stream = self._streams.pop(fields[0], None)
            if stream is not None:
                self.links.home.abandon(stream)
        elif kind == frames.PING:
            self.send(frames.pack(frames.PONG, fields[0]))
        elif kind == frames.FOLLOW:
            number, name, revision, wait = fields
            self.links.spawn(self._tell, number, name, int(revision), float(wait))
        else:
            raise frames.FrameError(f"kind {kind!r} at a home")

    async def _tell(self, number: int, name: str, revision: int, wait: float) -> None:
        """Tell what the store holds, to a node that does not ask the store itself."""
        try:
            changes = await self.links.tell(name, revision, wait)
            data = frames.pack_changes(number, changes)
            if len(data) > frames.MAX_FRAME:
                raise ValueError(f"{len(data)} bytes are too many")
        except errors.WatchExpired:
            data = frames.pack(frames.EXPIRED, number)
        except (errors.PlatformError, TypeError, ValueError) as error:
            rejection = orders.Rejection.AWAY
            data = frames.pack(frames.REJECTED, number, rejection.value, str(error), 0)
        self.send(data)

    def _greet(self, kind: int, fields: list) -> None:
        if kind != frames.PROOF:
            raise frames.FrameError(f"kind {kind!r} before a proof")
        name, nonce, proof = fields
        self._check(proof, name)
        self.peer = name
        self.is_up = True
        self.send(frames.pack(frames.WELCOME, self._prove(nonce, self.links.name)))
        if self.links.is_leaving:
            self.send(frames.pack(frames.LEAVING))

    def _take_order(self, number: int, fields: list) -> None:
        order = frames.parse_order(fields, clock.read())
        stream = self._streams.get(number)
        if stream is None:
            stream = self._streams[number] = home.Stream()
        elif stream.is_running:
            raise frames.FrameError(f"a second order on stream {number!r}")
        self.links.spawn(self._run, number, stream, order)

    async def _run(self, number: int, stream: home.Stream, order: orders.Order) -> None:
        try:
            reply = await self.links.home.run(stream, order)
            data = frames.pack_reply(number, reply)
        except orders.Rejected as error:
            data = frames.pack(
                frames.REJECTED,
                number,
                error.rejection.value,
                error.reason,
                error.retry_after,
            )
            self._note("order_rejected", order, error.reason)
        except ports.ConnectionLost as error:
            data = frames.pack(frames.LOST, number, error.was_sent, error.is_timeout)
            self._note("order_lost", order, str(error))
        finally:
            if stream.pooled is None:
                self._streams.pop(number, None)
        if len(data) > frames.MAX_FRAME:
            data = frames.pack(frames.LOST, number, True, False)
            self._note("order_lost", order, f"{len(data)} bytes are too many")
        self.send(data)

    def _note(self, event: str, order: orders.Order, reason: str) -> None:
        self.links.note(
            event,
            request=order.statement.request_id,
            endpoint=order.endpoint,
            team=order.team,
            peer=self.peer,
            reason=reason,
        )

    def _note_end(self, reason: str, was_up: bool) -> None:
        self.links.inbound.discard(self)
        streams, self._streams = self._streams, {}
        for stream in streams.values():
            self.links.home.abandon(stream)
        if was_up:
            self.links.note("link_ended", peer=self.peer, reason=reason)
        else:
            self.links.note("link_refused", peer=self.peer, reason=reason)


class Outbound(Link):
    """The end of a link at the node that sends orders.

    :param is_silent: whether the other node gave no sign of life in time.
    :param is_leaving: whether it takes no new streams.
    """

    def __init__(self, links: "Links", peer: str) -> None:
        """Start without streams."""
        super().__init__(links)
        self.peer = peer
        self.is_silent = False
        self.is_leaving = False
        self.greeted: asyncio.Future = asyncio.get_running_loop().create_future()
        self._waiting: dict[int, asyncio.Future] = {}
        self._following: dict[int, tuple[str, asyncio.Future]] = {}
        self._open: set[int] = set()
        self._heard_at = clock.read()
        self._asked_at: float | None = None

    def may_take(self) -> bool:
        """Return whether a new stream may begin."""
        return (
            self.is_up
            and not self.is_silent
            and not self.is_leaving
            and not self.is_congested
            and len(self._waiting) < MAX_STREAMS
        )

    async def ask(self, number: int, order: orders.Order) -> orders.Reply:
        """Send an order and return the answer.

        :raises sardinehold.node.orders.Rejected: the home did not run it.
        :raises sardinehold.node.ports.ConnectionLost: the link, or the home's
            connection, broke.
        """
        if not self.is_up:
            raise ports.ConnectionLost(False, reason="the link is down")
        now = clock.read()
        future = asyncio.get_running_loop().create_future()
        if not self._waiting:
            self._heard_at = now
        self._waiting[number] = future
        self.send(frames.pack_order(number, order, now))
        try:
            limit = order.deadline + VERDICT_GRACE - now
            await asyncio.wait([future], timeout=max(0.0, limit))
            if not future.done():
                self.close(number)
                raise ports.ConnectionLost(True, is_timeout=True)
            reply = future.result()
        finally:
            del self._waiting[number]
        if reply.answer.status == "I":
            self._open.discard(number)
        else:
            self._open.add(number)
        return reply

    async def follow(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Ask what changed in the store; all there is for revision 0.

        :raises sardinehold.errors.WatchExpired: the reader does not know that.
        :raises sardinehold.node.ports.ConnectionLost: it tells nothing.
        """
        number = self.links.make_number()
        future = asyncio.get_running_loop().create_future()
        self._following[number] = (kind, future)
        self.send(frames.pack(frames.FOLLOW, number, kind, revision, wait))
        try:
            return await future
        finally:
            del self._following[number]

    def close(self, number: int) -> None:
        """Give a stream up; what it holds open is rolled back."""
        self._open.discard(number)
        self.send(frames.pack(frames.CLOSE, number))

    def look(self, now: float) -> None:
        """Find out whether the other node still answers."""
        if not self._waiting or not self.is_up:
            return
        if self._asked_at is None:
            if now - self._heard_at > PING_AFTER:
                self._asked_at = now
                self.send(frames.pack(frames.PING, 0))
        elif not self.is_silent and now - self._asked_at > SUSPECT_AFTER:
            self.is_silent = True
            self.links.note("link_silent", peer=self.peer)

    def is_unused(self) -> bool:
        """Return whether nothing is awaited on it, and no transaction is open."""
        return not (self._waiting or self._following or self._open)

    def _take(self, kind: int, fields: list) -> None:
        self._heard_at = clock.read()
        self._asked_at = None
        self.is_silent = False
        if kind == frames.ANSWER:
            self._finish(fields[0], frames.parse_reply(fields[1:]))
        elif kind == frames.REJECTED:
            self._finish(fields[0], frames.parse_rejected(fields[1:]))
        elif kind == frames.CHANGES:
            followed, _ = self._following.get(fields[0], ("", None))
            self._finish(fields[0], frames.parse_changes(followed, fields[1:]))
        elif kind == frames.EXPIRED:
            expired = errors.WatchExpired("The reader lacks it.", "Read all again.")
            self._finish(fields[0], expired)
        elif kind == frames.LOST:
            number, was_sent, is_timeout = fields
            lost = ports.ConnectionLost(
                bool(was_sent), bool(is_timeout), "the home's connection broke"
            )
            self._finish(number, lost)
        elif kind == frames.LEAVING:
            self.is_leaving = True
        elif kind == frames.CHALLENGE:
            name = self.links.name
            proof = self._prove(fields[0], name)
            self.send(frames.pack(frames.PROOF, name, self._nonce, proof))
        elif kind == frames.WELCOME:
            self._check(fields[0], self.peer)
            self.is_up = True
            if not self.greeted.done():
                self.greeted.set_result(None)
        elif kind != frames.PONG:
            raise frames.FrameError(f"kind {kind!r} from a home")

    def _finish(
        self, number: int, outcome: orders.Reply | objects.Changes | Exception
    ) -> None:
        future = self._waiting.get(number)
        if number in self._following:
            _, future = self._following[number]
            if isinstance(outcome, orders.Rejected):
                outcome = ports.ConnectionLost(True, reason=outcome.reason)
        if future is None or future.done():
            return
        if isinstance(outcome, Exception):
            future.set_exception(outcome)
        else:
            future.set_result(outcome)

    def _note_end(self, reason: str, was_up: bool) -> None:
        if not self.greeted.done():
            self.greeted.set_exception(ConnectionError(reason))
            # Dialling may have failed before anybody waited for it.
            self.greeted.exception()
        followed = [future for _, future in self._following.values()]
        for future in [*self._waiting.values(), *followed]:
            if not future.done():
                future.set_exception(
                    ports.ConnectionLost(True, reason=f"the link broke: {reason}")
                )
        if was_up:
            self.links.note("link_lost", peer=self.peer, reason=reason)


class Line:
    """What a node knows of the way to one home.

    :param link: the newest link, None before the first.
    :param retry_at: before when it is not dialled.
    """

    __slots__ = ("link", "old", "dialling", "failures", "retry_at")

    def __init__(self) -> None:
        """Start without a link."""
        self.link: Outbound | None = None
        self.old: list[Outbound] = []
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
        local: home.Home,
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
        self.home = local
        self.spawn = spawn
        self.note = note
        self.inbound: set[Inbound] = set()
        self.is_leaving = False
        self._find_member = find_member
        self._dial = dial_node
        self._lines: dict[str, Line] = {}
        self._number = 0

    def accept(self) -> Inbound:
        """Return the protocol for a connection that came in."""
        return Inbound(self)

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

    async def obtain(self, name: str) -> Outbound | None:
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
        link = Outbound(self, name)
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

    :param endpoint: as this node sees it.
    :param home_name: the home, ``""`` for this node's own connections.
    """

    __slots__ = ("endpoint", "home_name", "_links", "_link", "_number", "_held")

    def __init__(self, links: Links, endpoint: pool.Endpoint, home_name: str) -> None:
        """Start without having sent anything."""
        self.endpoint = endpoint
        self.home_name = home_name
        self._links = links
        self._link: Outbound | None = None
        self._number = 0
        self._held = home.Stream()

    async def run(self, order: orders.Order) -> statements.Answer:
        """Run an order.

        :raises sardinehold.node.orders.Rejected: it was not sent to the endpoint.
        :raises sardinehold.node.ports.ConnectionLost: the way to it broke.
        """
        if not self.home_name:
            reply = await self._links.home.run(self._held, order)
        else:
            if self._link is None:
                self._link = await self._links.obtain(self.home_name)
                self._number = self._links.make_number()
            if self._link is None:
                raise orders.Rejected(
                    orders.Rejection.AWAY, f"node {self.home_name} cannot be reached"
                )
            reply = await self._link.ask(self._number, order)
            self.endpoint.take_load(reply.load, clock.read())
        return reply.answer

    def close(self) -> None:
        """Give up what the stream holds open; it is rolled back."""
        if not self.home_name:
            self._links.home.abandon(self._held)
        elif self._link is not None:
            self._link.close(self._number)
