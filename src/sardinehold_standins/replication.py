"""Asynchronous replication of the log between the endpoints of a group.

A replica opens a connection to its primary's address, with its name, term and
log position in the start-up message. After that both sides send JSON in CopyData
frames: the primary sends log entries, preceded by a snapshot if the replica's log is
not a prefix of its own; the replica confirms the offsets that it received and applied.
"""

import asyncio
import base64
import json
import random
import struct

from sardinehold_standins import engine
from sardinehold_standins import wire

HEARTBEAT_SECONDS = 0.1
"""Heartbeat interval of an idle connection."""

PEER_TIMEOUT_SECONDS = 1.0
"""Time without a message after which the peer is considered lost."""

RETRY_SECONDS = 0.05
"""Delay between connection attempts of a replica."""

LAG_SAMPLE_SECONDS = 0.25
"""Interval at which a replica draws a new lag from the range."""

BATCH_ENTRIES = 500
"""Maximum number of entries in a frame."""


class ReplicaProgress:
    """Progress of one attached replica as seen by the primary.

    :param sent: last offset sent.
    :param received: last offset that the replica confirmed as received.
    :param applied: last offset that the replica confirmed as applied.
    :param confirmed_at: loop time of the last confirmation in seconds.
    """

    __slots__ = ("name", "sent", "received", "applied", "confirmed_at", "wake")

    def __init__(self, name: str, sent: int, now: float) -> None:
        """Start without confirmations."""
        self.name = name
        self.sent = sent
        self.received = 0
        self.applied = 0
        self.confirmed_at = now
        self.wake = asyncio.Event()


class Replication:
    """Both sides of the replication of one endpoint.

    :param server: server of the endpoint.
    :param seed: seed of the random lag.

    .. versionadded:: 0.1
    """

    def __init__(self, server, seed: int = 0) -> None:
        """Start without a primary and without replicas."""
        self.server = server
        self.database = server.database
        self.primary_address: tuple[str, int] | None = None
        self._min_term = 0
        self._replicas: dict[str, ReplicaProgress] = {}
        self._follower: asyncio.Task | None = None
        self._applier: asyncio.Task | None = None
        self._entries_received = asyncio.Event()
        self._lag_random = random.Random(f"{server.database.name}/{seed}/lag")
        self._lag = 0.0
        self._lag_expires_at = 0.0

    @property
    def is_isolated(self) -> bool:
        """Whether a fault blocks replication with the peers."""
        return self.server.faults.cut_off or self.server.faults.dead

    def follow(self, primary_address: tuple[str, int] | None, term: int = 0) -> None:
        """Replicate from the primary at an address; None stops replication."""
        self.primary_address = primary_address
        self._min_term = max(term, self._min_term)
        self._replicas.clear()
        self.restart()

    def restart(self) -> None:
        """Restart the tasks of a replica."""
        for task in (self._follower, self._applier):
            if task is not None:
                task.cancel()
        self._follower = self._applier = None
        if self.primary_address is not None:
            loop = asyncio.get_running_loop()
            self._follower = loop.create_task(self._follow())
            self._applier = loop.create_task(self._apply())

    def stop(self) -> None:
        """End all tasks."""
        self.primary_address = None
        self.restart()
        self._replicas.clear()

    def notify_replicas(self) -> None:
        """Wake the senders of all replicas to send new log entries."""
        for replica in self._replicas.values():
            replica.wake.set()

    def list_replica_status(self) -> list[tuple]:
        """Return a row of ``cluster_log_status`` for each attached replica."""
        now = asyncio.get_running_loop().time()
        term = self.database.term
        return [
            (replica.name, "replica", term, replica.received, replica.applied)
            for replica in self._replicas.values()
            if now - replica.confirmed_at < PEER_TIMEOUT_SECONDS
        ]

    async def serve_replica(self, session, parameters: dict[str, str]) -> None:
        """Send the log to a replica until it disconnects."""
        if self.is_isolated or not self.database.is_primary:
            session.link.abort()
            return
        term = int(parameters["cluster_term"])
        offset = int(parameters["cluster_offset"])
        if int(parameters["cluster_least_term"]) > self.database.term:
            raise wire.Failure(
                "55000", "a primary of a newer term replaced this one", fatal=True
            )
        name = parameters["cluster_replica"]
        entries = None
        if self.database.contains_position(term, offset):
            entries = self.database.read_log(offset)
        handshake = {"term": self.database.term, "history": self.database.history}
        if entries is None:
            offset = self.database.applied
            handshake["offset"] = offset
            snapshot = self.database.take_snapshot()
            handshake["snapshot"] = base64.b64encode(snapshot).decode()
            self.server.count("snapshots")
        replica = ReplicaProgress(name, offset, asyncio.get_running_loop().time())
        self._replicas[name] = replica
        _send_message(session.link, handshake)
        sender = asyncio.get_running_loop().create_task(
            self._send_log(session.link, replica)
        )
        try:
            await self._receive_confirmations(session, replica)
        except TimeoutError:
            session.link.abort()
        finally:
            sender.cancel()
            if self._replicas.get(name) is replica and not self.is_isolated:
                del self._replicas[name]

    async def _send_log(self, link, replica: ReplicaProgress) -> None:
        """Send new log entries, and heartbeats while there are none."""
        term = self.database.term
        while self.database.is_primary and self.database.term == term:
            if self.is_isolated:
                await asyncio.sleep(HEARTBEAT_SECONDS)
                continue
            entries = self.database.read_log(replica.sent)
            if entries is None:
                break
            batch = entries[:BATCH_ENTRIES]
            _send_message(link, {"entries": [_dump_entry(entry) for entry in batch]})
            if batch:
                replica.sent = batch[-1].offset
            await link.drain()
            if len(batch) == len(entries):
                await self._wait_for_entries(replica)
        link.abort()

    async def _wait_for_entries(self, replica: ReplicaProgress) -> None:
        """Wait for new entries or the next heartbeat."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(HEARTBEAT_SECONDS, replica.wake.set)
        await replica.wake.wait()
        replica.wake.clear()
        timer.cancel()

    async def _receive_confirmations(self, session, replica: ReplicaProgress) -> None:
        """Record the confirmations of a replica.

        :raises TimeoutError: the replica sent nothing for ``PEER_TIMEOUT_SECONDS``.
        """
        while True:
            frame = await asyncio.wait_for(session.next_frame(), PEER_TIMEOUT_SECONDS)
            if self.is_isolated:
                continue
            message = json.loads(frame[1])
            replica.received = message["received"]
            replica.applied = message["applied"]
            replica.confirmed_at = asyncio.get_running_loop().time()

    async def _follow(self) -> None:
        """Keep a connection to the primary, reconnecting after failures."""
        while True:
            if not self.is_isolated:
                try:
                    await self._follow_once(*self.primary_address)
                except (OSError, EOFError, TimeoutError, ValueError):
                    self.server.count("replication_broken")
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow_once(self, host: str, port: int) -> None:
        """Receive the log over one connection until it ends."""
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), PEER_TIMEOUT_SECONDS
        )
        try:
            writer.write(self._build_startup())
            handshake = await _read_message(reader)
            self._apply_handshake(handshake)
            self._confirm(writer)
            while not self.is_isolated:
                message = await _read_message(reader)
                delay = self.server.faults.receive_lag
                if delay and message["entries"]:
                    await asyncio.sleep(delay)
                if self.is_isolated:
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
            "cluster_least_term": str(max(self._min_term, self.database.term)),
            "cluster_offset": str(self.database.received),
        }
        text = "".join(f"{name}\0{value}\0" for name, value in fields.items()) + "\0"
        body = struct.pack("!i", wire.PROTOCOL) + text.encode()
        return struct.pack("!i", len(body) + 4) + body

    def _apply_handshake(self, handshake: dict) -> None:
        """Adopt the term of the primary, and load its snapshot if it sent one.

        :raises ValueError: the primary has an older term.
        """
        if handshake["term"] < max(self._min_term, self.database.term):
            raise ValueError("the primary has an older term")
        if "snapshot" in handshake:
            snapshot = base64.b64decode(handshake["snapshot"])
            self.database.load_snapshot(snapshot, handshake["offset"])
            self.server.count("snapshots_loaded")
        history = [(term, offset) for term, offset in handshake["history"]]
        self.database.set_history(handshake["term"], history)

    def _receive(self, entries: list) -> None:
        """Append entries to the local log."""
        for item in entries:
            self.database.receive(_load_entry(item))
        if entries:
            self._entries_received.set()

    def _confirm(self, writer: asyncio.StreamWriter) -> None:
        """Send the received and applied offsets to the primary."""
        confirmed = {
            "received": self.database.received,
            "applied": self.database.applied,
        }
        writer.write(wire.build(b"d", json.dumps(confirmed).encode()))

    async def _apply(self) -> None:
        """Apply each received entry after the replication lag."""
        while True:
            entry = self.database.next_pending()
            if entry is None:
                self._entries_received.clear()
                await self._entries_received.wait()
                continue
            delay = entry.committed_at + self._choose_lag() - self.server.now()
            await asyncio.sleep(max(delay, 0.0))
            if self.database.next_pending() is entry:
                self.database.apply_next()

    def _choose_lag(self) -> float:
        """Return the lag, redrawn from its range every ``LAG_SAMPLE_SECONDS``."""
        now = asyncio.get_running_loop().time()
        least, most = self.server.faults.lag
        if now >= self._lag_expires_at or not least <= self._lag <= most:
            self._lag = self._lag_random.uniform(least, most)
            self._lag_expires_at = now + LAG_SAMPLE_SECONDS
        return self._lag


def _send_message(link, message: dict) -> None:
    """Send a message to a replica."""
    link.transport.write(wire.build(b"d", json.dumps(message).encode()))


async def _read_message(reader: asyncio.StreamReader) -> dict:
    """Read a message from the primary.

    :raises EOFError: the connection ended or the primary refused.
    :raises TimeoutError: no message arrived within ``PEER_TIMEOUT_SECONDS``.
    """
    async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
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
    return [
        entry.term,
        entry.offset,
        entry.started_at,
        entry.committed_at,
        entry.seed,
        statements,
    ]


def _load_entry(item: list) -> engine.Entry:
    """Return the entry that is encoded as JSON."""
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
    """Return the parameter that is encoded as JSON."""
    return bytes.fromhex(value["hex"]) if isinstance(value, dict) else value
