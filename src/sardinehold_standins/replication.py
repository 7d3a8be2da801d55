"""Asynchronous replication of the log between the endpoints of a group.

A replica opens a connection to its primary's address, with its name, term and
log position in the start-up message. From there on both sides send JSON in
CopyData frames: the primary entries of its log, or first a snapshot where the
replica's log is no beginning of its own; the replica what it received and
applied.
"""

import asyncio
import base64
import json
import random
import struct

from sardinehold_standins import engine
from sardinehold_standins import wire

BEAT_SECONDS = 0.1
"""Time between two frames when there is nothing to send."""

SILENCE_SECONDS = 1.0
"""After which the other side counts as gone."""

RETRY_SECONDS = 0.05
"""Time between two attempts of a replica to connect."""

REDRAW_SECONDS = 0.25
"""For how long a replica keeps one lag out of the range."""

BATCH_ENTRIES = 500
"""Entries of one frame."""


class Feed:
    """What a primary knows of one attached replica.

    :param sent: last offset that was sent.
    :param received: what the replica confirmed to have.
    :param applied: what the replica confirmed to show.
    :param heard_at: when it last confirmed anything.
    """

    __slots__ = ("name", "sent", "received", "applied", "heard_at", "wake")

    def __init__(self, name: str, sent: int, now: float) -> None:
        """Start with nothing confirmed."""
        self.name = name
        self.sent = sent
        self.received = 0
        self.applied = 0
        self.heard_at = now
        self.wake = asyncio.Event()


class Replication:
    """Both sides of the replication of one endpoint.

    :param server: the endpoint.
    :param seed: of the random lag.

    .. versionadded:: 0.1
    """

    def __init__(self, server, seed: int = 0) -> None:
        """Start with neither a primary nor replicas."""
        self.server = server
        self.database = server.database
        self.target: tuple[str, int] | None = None
        self._least_term = 0
        self._feeds: dict[str, Feed] = {}
        self._follower: asyncio.Task | None = None
        self._applier: asyncio.Task | None = None
        self._arrived = asyncio.Event()
        self._chance = random.Random(f"{server.database.name}/{seed}/lag")
        self._lag = 0.0
        self._redraw_at = 0.0

    @property
    def is_stopped(self) -> bool:
        """Whether a fault keeps this endpoint from its peers."""
        return self.server.faults.cut_off or self.server.faults.dead

    def follow(self, target: tuple[str, int] | None, term: int = 0) -> None:
        """Follow the primary at an address; None to follow nobody."""
        self.target = target
        self._least_term = max(term, self._least_term)
        self._feeds.clear()
        self.restart()

    def restart(self) -> None:
        """Start the tasks of a replica anew."""
        for task in (self._follower, self._applier):
            if task is not None:
                task.cancel()
        self._follower = self._applier = None
        if self.target is not None:
            loop = asyncio.get_running_loop()
            self._follower = loop.create_task(self._follow())
            self._applier = loop.create_task(self._apply())

    def stop(self) -> None:
        """End all tasks."""
        self.target = None
        self.restart()
        self._feeds.clear()

    def announce(self) -> None:
        """Send new entries of the log to all replicas."""
        for feed in self._feeds.values():
            feed.wake.set()

    def list_confirmed(self) -> list[tuple]:
        """Return a row of ``cluster_log_status`` for each attached replica."""
        now = asyncio.get_running_loop().time()
        term = self.database.term
        return [
            (feed.name, "replica", term, feed.received, feed.applied)
            for feed in self._feeds.values()
            if now - feed.heard_at < SILENCE_SECONDS
        ]

    async def serve_replica(self, session, parameters: dict[str, str]) -> None:
        """Send the log to a replica until it leaves."""
        if self.is_stopped or not self.database.is_primary:
            session.link.abort()
            return
        term = int(parameters["cluster_term"])
        offset = int(parameters["cluster_offset"])
        if int(parameters["cluster_least_term"]) > self.database.term:
            raise wire.Failure("55000", "this primary was replaced", fatal=True)
        name = parameters["cluster_replica"]
        entries = None
        if self.database.holds(term, offset):
            entries = self.database.read_log(offset)
        hello = {"term": self.database.term, "history": self.database.history}
        if entries is None:
            offset = self.database.applied
            hello["offset"] = offset
            snapshot = self.database.take_snapshot()
            hello["snapshot"] = base64.b64encode(snapshot).decode()
            self.server.count("snapshots")
        feed = Feed(name, offset, asyncio.get_running_loop().time())
        self._feeds[name] = feed
        _send(session.link, hello)
        sender = asyncio.get_running_loop().create_task(
            self._send_log(session.link, feed)
        )
        try:
            await self._hear(session, feed)
        except TimeoutError:
            session.link.abort()
        finally:
            sender.cancel()
            if self._feeds.get(name) is feed and not self.is_stopped:
                del self._feeds[name]

    async def _send_log(self, link, feed: Feed) -> None:
        """Send entries as they come, and beats in between."""
        term = self.database.term
        while self.database.is_primary and self.database.term == term:
            if self.is_stopped:
                await asyncio.sleep(BEAT_SECONDS)
                continue
            entries = self.database.read_log(feed.sent)
            if entries is None:
                break
            batch = entries[:BATCH_ENTRIES]
            _send(link, {"entries": [_dump_entry(entry) for entry in batch]})
            if batch:
                feed.sent = batch[-1].offset
            await link.drain()
            if len(batch) == len(entries):
                await self._wait_for_entries(feed)
        link.abort()

    async def _wait_for_entries(self, feed: Feed) -> None:
        """Return when there are new entries, or at the next beat."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(BEAT_SECONDS, feed.wake.set)
        await feed.wake.wait()
        feed.wake.clear()
        timer.cancel()

    async def _hear(self, session, feed: Feed) -> None:
        """Note what a replica confirms until it falls silent."""
        while True:
            frame = await asyncio.wait_for(session.next_frame(), SILENCE_SECONDS)
            if self.is_stopped:
                continue
            message = json.loads(frame[1])
            feed.received = message["received"]
            feed.applied = message["applied"]
            feed.heard_at = asyncio.get_running_loop().time()

    async def _follow(self) -> None:
        """Stay connected to the primary."""
        while True:
            if not self.is_stopped:
                try:
                    await self._follow_once(*self.target)
                except (OSError, EOFError, TimeoutError, ValueError):
                    self.server.count("replication_broken")
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow_once(self, host: str, port: int) -> None:
        """Receive the log over one connection."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), SILENCE_SECONDS
        )
        try:
            writer.write(self._build_startup())
            hello = await _read(reader)
            self._welcome(hello)
            self._confirm(writer)
            while not self.is_stopped:
                message = await _read(reader)
                delay = self.server.faults.receive_lag
                if delay and message["entries"]:
                    await asyncio.sleep(delay)
                if self.is_stopped:
                    return
                self._receive(message["entries"])
                self._confirm(writer)
        finally:
            writer.transport.abort()

    def _build_startup(self) -> bytes:
        """Return the start-up message of a replica."""
        fields = {
            "user": "replica",
            "cluster_replica": self.database.name,
            "cluster_term": str(self.database.term),
            "cluster_least_term": str(max(self._least_term, self.database.term)),
            "cluster_offset": str(self.database.received),
        }
        text = "".join(f"{name}\0{value}\0" for name, value in fields.items()) + "\0"
        body = struct.pack("!i", wire.PROTOCOL) + text.encode()
        return struct.pack("!i", len(body) + 4) + body

    def _welcome(self, hello: dict) -> None:
        """Take over the primary's term, and its data where logs differ."""
        if hello["term"] < max(self._least_term, self.database.term):
            raise ValueError("the primary was replaced")
        if "snapshot" in hello:
            snapshot = base64.b64decode(hello["snapshot"])
            self.database.load_snapshot(snapshot, hello["offset"])
            self.server.count("snapshots_loaded")
        history = [(term, offset) for term, offset in hello["history"]]
        self.database.adopt(hello["term"], history)

    def _receive(self, entries: list) -> None:
        """Append entries to the own log."""
        for item in entries:
            self.database.receive(_load_entry(item))
        if entries:
            self._arrived.set()

    def _confirm(self, writer: asyncio.StreamWriter) -> None:
        """Tell the primary what was received and applied."""
        confirmed = {
            "received": self.database.received,
            "applied": self.database.applied,
        }
        writer.write(wire.build(b"d", json.dumps(confirmed).encode()))

    async def _apply(self) -> None:
        """Apply received entries after the lag."""
        while True:
            entry = self.database.next_pending()
            if entry is None:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            delay = entry.time + self._choose_lag() - self.server.now()
            await asyncio.sleep(max(delay, 0.0))
            if self.database.next_pending() is entry:
                self.database.apply_next()

    def _choose_lag(self) -> float:
        """Return the lag, drawn anew from its range now and then."""
        now = asyncio.get_running_loop().time()
        least, most = self.server.faults.lag
        if now >= self._redraw_at or not least <= self._lag <= most:
            self._lag = self._chance.uniform(least, most)
            self._redraw_at = now + REDRAW_SECONDS
        return self._lag


def _send(link, message: dict) -> None:
    """Send a message to a replica."""
    link.transport.write(wire.build(b"d", json.dumps(message).encode()))


async def _read(reader: asyncio.StreamReader) -> dict:
    """Read a message of the primary.

    :raises EOFError: the connection ended or the primary refused.
    """
    async with asyncio.timeout(SILENCE_SECONDS):
        header = await reader.readexactly(5)
        (size,) = struct.unpack_from("!i", header, 1)
        body = await reader.readexactly(size - 4)
    if header[:1] != b"d":
        raise EOFError
    return json.loads(body)


def _dump_entry(entry: engine.Entry) -> list:
    """Return an entry as JSON."""
    statements = [
        [sql, [_dump_value(value) for value in parameters]]
        for sql, parameters in entry.statements
    ]
    return [entry.term, entry.offset, entry.began, entry.time, entry.seed, statements]


def _load_entry(item: list) -> engine.Entry:
    """Return the entry that JSON holds."""
    *fields, statements = item
    loaded = [
        (sql, [_load_value(value) for value in parameters])
        for sql, parameters in statements
    ]
    return engine.Entry(*fields, loaded)


def _dump_value(value: object) -> object:
    """Return a parameter as JSON."""
    return {"hex": value.hex()} if isinstance(value, bytes) else value


def _load_value(value: object) -> object:
    """Return the parameter that JSON holds."""
    return bytes.fromhex(value["hex"]) if isinstance(value, dict) else value
