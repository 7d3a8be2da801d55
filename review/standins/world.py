"""Stand-ins of the platform, the databases and the clients for the review's scripts.

Everything listens on loopback addresses and uses only the standard library. The
platform and the databases follow the users' PROTOCOL.md; where it is silent, they are
sound. The nodes are the project's own programs, started with the ``run`` line of the
deploy file.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

HEARTBEAT = 1.2
HANDSHAKE = 0.012
WORK = 0.008
IN_ZONE = 0.0002
CROSS_REGION = 0.008
"""Seconds one way, as on the site's sheet."""
METRICS_PORT = 9464


class Record:
    """The record of a run: what was sent, answered and run, with the time."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.broken: list[str] = []

    def write(self, text: str) -> None:
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()

    def violate(self, text: str) -> None:
        self.broken.append(text)
        self.write(f"BROKEN {text}")


class CannotRun(Exception):
    """The case could not be run; exit code 2."""


# HTTP


class HttpServer:
    """A small HTTP/1.1 server; subclasses answer requests."""

    def __init__(self) -> None:
        self.port = 0
        self.server = None
        self.headers = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def answer(self, method, path, query, headers, body):
        """Return status and body (bytes), or None to close without an answer."""
        raise NotImplementedError

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *rest = head.split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in rest:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                fields = dict(urllib.parse.parse_qsl(query))
                found = await self.answer(
                    method, urllib.parse.unquote(path), fields, headers, body
                )
                if found is None:
                    break
                status, content = found
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n{self.headers}\r\n".encode()
                    + content
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Store(HttpServer):
    """The platform's metadata store."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.revision = 100
        self.objects: dict[tuple[str, str], tuple[int, str]] = {}
        self.events: list[tuple[int, str, str, str | None]] = []
        self.changed = asyncio.Event()
        self.latency = 0.004

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec) -> int:
        """Write an object; ``spec`` is a value, or the body's text if it is a Raw."""
        text = spec.text if isinstance(spec, Raw) else json.dumps(spec)
        held = self.objects.get((kind, name))
        if held is not None and held[1] == text:
            return held[0]
        self.revision += 1
        self.objects[kind, name] = (self.revision, text)
        self.events.append((self.revision, kind, name, text))
        self._notify()
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        held = self.objects.pop((kind, name), None)
        if held is not None:
            self.revision += 1
            self.events.append((self.revision, kind, name, None))
            self._notify()

    def read(self, kind: str, name: str):
        held = self.objects.get((kind, name))
        return None if held is None else json.loads(held[1])

    @staticmethod
    def _render(name: str, revision: int, text: str) -> str:
        meta = {
            "Name": name,
            "Revision": revision,
            "Created": 1,
            "Finalizers": [],
            "DeletionPending": False,
        }
        return f'{{"meta":{json.dumps(meta)},"spec":{text},"status":null}}'

    async def answer(self, method, path, query, headers, body):
        await asyncio.sleep(self.latency)
        parts = path.strip("/").split("/")
        if parts[:2] != ["api", "objects"] or len(parts) not in (3, 4):
            return 404, b"{}"
        kind = parts[2]
        name = parts[3] if len(parts) == 4 else None
        if method == "GET" and name is None:
            return await self._list_or_watch(kind, query)
        if method == "GET":
            held = self.objects.get((kind, name))
            if held is None:
                return 404, b"{}"
            return 200, self._render(name, *held).encode()
        if method == "DELETE":
            held = self.objects.get((kind, name))
            if held is None:
                return 404, b"{}"
            if "Revision" in query and int(query["Revision"]) != held[0]:
                return 409, self._render(name, *held).encode()
            self.remove(kind, name)
            return 200, b"{}"
        value = json.loads(body)
        if method == "POST":
            name = value["meta"]["Name"]
            held = self.objects.get((kind, name))
            if held is not None:
                return 409, self._render(name, *held).encode()
        else:
            held = self.objects.get((kind, name))
            if held is None:
                return 404, b"{}"
            wanted = value["meta"].get("Revision")
            if wanted is not None and wanted != held[0]:
                return 409, self._render(name, *held).encode()
        self.put(kind, name, value["spec"])
        return 200, self._render(name, *self.objects[kind, name]).encode()

    async def _list_or_watch(self, kind, query):
        if "Watch" not in query:
            items = [
                self._render(name, *held)
                for (other, name), held in self.objects.items()
                if other == kind
            ]
            text = (
                f'{{"items":[{",".join(items)}],"HasMore":false,'
                f'"StoreRevision":{self.revision}}}'
            )
            return 200, text.encode("utf-8", "surrogateescape")
        since = int(query["Watch"])
        deadline = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            found = [
                f'{{"IsGone":{"true" if text is None else "false"},"Object":'
                f"{self._render(name, revision, text or 'null')}}}"
                for revision, other, name, text in self.events
                if revision > since and other == kind
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                text = f'{{"events":[{",".join(found)}],"StoreRevision":{self.revision}}}'
                return 200, text.encode("utf-8", "surrogateescape")
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()


class Raw:
    """Text of a body that is stored as it is; surrogate escapes stand for bytes."""

    def __init__(self, text: str) -> None:
        self.text = text


class Cloud(HttpServer):
    """The platform's API for ``POST /failover``; it does not check fences.

    :param find_delay: returns the seconds until a call is carried out.
    """

    def __init__(self, record: Record, clusters: dict[str, "Cluster"]) -> None:
        super().__init__()
        self.record = record
        self.clusters = clusters
        self.find_delay = lambda: 0.004
        self.promote_seconds = 0.6
        self.calls: list[tuple[float, str, str, str, int]] = []
        self.arrived = 0
        self.tasks: set[asyncio.Task] = set()

    async def answer(self, method, path, query, headers, body):
        if (method, path) != ("POST", "/failover"):
            return 404, b"{}"
        value = json.loads(body)
        service, target = value["Service"], value["Id"]
        holder = headers["x-duty-holder"]
        token = int(headers["x-fencing-token"])
        self.arrived += 1
        delay = self.find_delay()
        self.record.write(
            f"cloud: POST /failover arrives: {service} -> {target},"
            f" holder {holder}, token {token}; carried out in {delay:.3f} s"
        )
        self.calls.append((time.monotonic(), service, target, holder, token))
        # The call is carried out also if its sender no longer waits.
        task = asyncio.create_task(self._carry_out(service, target, holder, token, delay))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await asyncio.shield(task)

    async def _carry_out(self, service, target, holder, token, delay):
        await asyncio.sleep(delay)
        cluster = self.clusters[service]
        database = cluster.databases.get(target)
        if database is None or not database.is_up:
            self.record.write(f"cloud: token {token} -> {target}: 409, not running")
            return 409, b"{}"
        if database is cluster.find_newest_primary():
            self.record.write(f"cloud: token {token} -> {target}: is primary already")
            return 200, b"{}"
        self.record.write(f"cloud: token {token}: {target} is designated")
        task = asyncio.create_task(self._promote(cluster, database))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return 200, b"{}"

    async def _promote(self, cluster, database):
        await asyncio.sleep(self.promote_seconds)
        if database.is_up:
            cluster.promote(database)


# Databases


class Database:
    """One database of a service."""

    def __init__(self, cluster, name: str, zone: str) -> None:
        self.cluster = cluster
        self.record = cluster.record
        self.name = name
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[tuple[int, list[str]]] = []
        self.applied = 0
        self.paused_term = 0
        self.is_up = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.port = 0
        self.lag = 0.03
        self.is_deaf = False
        self.connections: set[DatabaseConnection] = set()
        self.slots = asyncio.Semaphore(cluster.slots)
        self.sees_newer_since: float | None = None
        self.cut_off: set[str] = set()
        self.slow_items: dict[str, float] = {}
        self.lost_items: set[str] = set()

    def format_position(self, count=None) -> str:
        return f"{self.term}.{len(self.log) if count is None else count}"

    def make_entry(self) -> dict:
        self.sequence += 1
        return {
            "Service": self.cluster.service,
            "Address": f"127.0.0.1:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Capacity": self.cluster.slots,
            "State": self.state,
            "ColdMs": 0,
            "DatabaseRole": "primary" if self.is_primary else "replica",
            "Sequence": self.sequence,
            "born": self.born,
        }

    def register(self) -> None:
        self.cluster.store.put("servers", self.name, self.make_entry())

    def status_row(self) -> str:
        role = "primary" if self.is_primary else "replica"
        return (
            f"{role} {self.term} {self.format_position()} {self.paused_term} "
            f"{round(self.lag * 1000)} 0 {len(self.connections)}"
        )

    def demote(self, term: int) -> None:
        self.record.write(f"db {self.name}: steps down, term {term}")
        self.is_primary = False
        self.term = max(self.term, term)
        self.register()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 21)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        connection = DatabaseConnection(self, reader, writer)
        try:
            await connection.run()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(connection)
            with contextlib.suppress(RuntimeError):
                writer.close()

    def drain(self) -> None:
        """Report that it leaves; it serves on until it ends."""
        self.record.write(f"db {self.name}: is draining")
        self.state = "draining"
        self.register()

    def leave(self) -> None:
        """End; the entry is removed, and the log is gone."""
        self.crash()
        self.is_primary = False
        self.cluster.store.remove("servers", self.name)
        del self.cluster.databases[self.name]

    def crash(self) -> None:
        """Stop; open connections are reset."""
        self.record.write(f"db {self.name}: crashes")
        self.is_up = False
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def restart(self) -> None:
        """Come back with its log, as a replica if another was promoted."""
        self.record.write(f"db {self.name}: is back")
        self.is_up = True
        self.paused_term = 0
        newest = self.cluster.find_newest_primary()
        if newest is not self and newest.term > self.term:
            self.is_primary = False
        self.register()


class DatabaseConnection:
    """A connection to a database."""

    def __init__(self, database, reader, writer) -> None:
        self.database = database
        self.record = database.record
        self.reader = reader
        self.writer = writer
        self.tenant = ""
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.is_read_only = False
        self.term = 0
        self.writes: list[str] = []

    def send(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode("latin-1"))

    async def run(self) -> None:
        database = self.database
        if not database.is_up:
            self.writer.transport.abort()
            return
        line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        parts = line.split(" ")
        if len(parts) not in (3, 4) or parts[0] != "START" or "" in parts:
            self.send("ERROR MALFORMED start")
            return
        if parts[1] != database.cluster.service or (
            len(parts) == 4 and parts[3] != database.name
        ):
            self.send(f"ERROR WRONGNODE {database.name}")
            return
        if len(database.connections) >= database.cluster.connection_limit:
            self.send("ERROR CONNLIMIT full")
            return
        self.tenant = parts[2]
        database.connections.add(self)
        await asyncio.sleep(HANDSHAKE)
        self.send(f"READY I {database.format_position(database.applied)}")
        while database.is_up:
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            if line == "CLOSE":
                return
            word, request_id, text = line.split(" ", 2)
            if word != "QUERY":
                return
            answer = await self.query(request_id, text)
            if answer is None or not database.is_up:
                self.writer.transport.abort()
                return
            position = database.format_position(
                None if database.is_primary else database.applied
            )
            self.send(*answer, f"READY {self.state} {position}")
            await self.writer.drain()

    def fail(self, code: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.database.name}"]

    def _has_lost_lead(self) -> bool:
        database = self.database
        return not database.is_primary or database.term != self.term

    async def query(self, request_id: str, text: str) -> list[str] | None:
        database = self.database
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, _, number = position.partition(".")
            after = int(term), int(number)
        word, _, rest = text.partition(" ")
        if word == "STATUS":
            return [f"ROW {database.status_row()}", "COMPLETE -"]
        if word == "PAUSE":
            if not database.is_primary and int(rest) > database.term:
                database.paused_term = int(rest)
                self.record.write(f"db {database.name}: PAUSE {rest}")
            return [f"ROW {database.status_row()}", "COMPLETE -"]
        if word == "RESUME":
            database.paused_term = 0
            return [f"ROW {database.status_row()}", "COMPLETE -"]
        if word == "STEPDOWN":
            if database.is_primary and database.term < int(rest):
                database.demote(int(rest))
            return [f"ROW {database.status_row()}", "COMPLETE -"]
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return ["COMPLETE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return ["COMPLETE -"]
        if word == "DEALLOC":
            if self.prepared.pop(rest, None) is None:
                return self.fail("NOSTMT")
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["COMPLETE -"]
        if word == "BEGIN":
            if after is not None and not self._has_position(after):
                return self.fail("LAGGING")
            if rest != "READ" and not database.is_primary:
                return self.fail("READONLY")
            self.state, self.writes = "T", []
            self.is_read_only = rest == "READ"
            self.term = database.term
            return ["COMPLETE -"]
        if self.state == "E":
            if word == "COMMIT":
                self.state, self.writes = "I", []
                return [f"ERROR ABORTED {database.name}"]
            return [f"ERROR MALFORMED {database.name}"]
        async with database.slots:
            item = rest.split(" ")[0]
            await asyncio.sleep(database.slow_items.get(item, database.cluster.work))
            answer = await self._execute(request_id, text, word, rest, after)
        if item in database.lost_items:
            self.record.write(f"db {database.name}: {request_id}'s answer is lost, reset")
            return None
        return answer

    def _has_position(self, after) -> bool:
        database = self.database
        count = len(database.log) if database.is_primary else database.applied
        return database.term >= after[0] and count >= after[1]

    async def _execute(self, request_id, text, word, rest, after):
        database = self.database
        if not database.is_up:
            return None
        is_transaction = self.state == "T"
        if word == "EXECUTE":
            definition = self.prepared.get(rest.split(" ")[0])
            if definition is None:
                return self.fail("NOSTMT")
            is_write = definition[0] == "WRITE"
        else:
            is_write = word == "WRITE"
        if after is not None and not self._has_position(after):
            return self.fail("LAGGING")
        if is_transaction and not self.is_read_only and self._has_lost_lead():
            if word != "COMMIT" or self.writes:
                if word == "COMMIT":
                    self.state, self.writes = "I", []
                    return [f"ERROR READONLY {database.name}"]
                return self.fail("READONLY")
        count = len(database.log) if database.is_primary else database.applied
        database.cluster.runs.append(
            (time.monotonic(), database.name, self.tenant, request_id, text, count)
        )
        self.record.write(
            f"db {database.name}: runs {request_id} [{text}] for {self.tenant}"
            f" in {self.state}, log {database.format_position(count)},"
            f" values {self.values}"
        )
        database.cluster.run_values.append((request_id, database.name, dict(self.values)))
        signature = f"COMPLETE sig.{database.name}.{request_id}"
        if word == "COMMIT":
            writes, self.writes, self.state = self.writes, [], "I"
            if not writes:
                return [signature]
            if not await database.cluster.commit(database, [*writes, request_id]):
                return None
            return [signature]
        if not is_write:
            return [f"ROW data.{rest}", signature]
        if is_transaction:
            if self.is_read_only:
                return self.fail("READONLY")
            self.writes.append(request_id)
            return [signature]
        if not database.is_primary:
            return self.fail("READONLY")
        if not await database.cluster.commit(database, [request_id]):
            return None
        return [signature]


class Cluster:
    """The databases of one service, and replication between them."""

    def __init__(self, record, store, service: str, zones, slots=3, limit=21) -> None:
        self.record = record
        self.store = store
        self.service = service
        self.slots = slots
        self.connection_limit = limit
        self.work = WORK
        self.runs: list[tuple[float, str, str, str, str, int]] = []
        self.run_values: list[tuple[str, str, dict[str, str]]] = []
        self.commits: list[tuple[float, str, int, list[str]]] = []
        self.promotions: list[tuple[float, str, int, list[str]]] = []
        self.databases = {
            f"i-{service}-{index}": Database(self, f"i-{service}-{index}", zone)
            for index, zone in enumerate(zones)
        }
        next(iter(self.databases.values())).is_primary = True

    async def start(self) -> list[asyncio.Task]:
        for database in self.databases.values():
            await database.start()
            database.register()
        return [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._replicate()),
        ]

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT)
            for database in list(self.databases.values()):
                if database.is_up:
                    database.register()

    async def add_replacement(self, old: Database) -> Database:
        """Start a database with the log of one that is to leave."""
        index = len(self.databases) + 3
        database = Database(self, f"i-{self.service}-{index}", old.zone)
        database.log, database.term = list(old.log), old.term
        database.applied = len(database.log)
        self.databases[database.name] = database
        await database.start()
        database.register()
        self.record.write(f"db {database.name}: starts, to replace {old.name}")
        return database

    def find_newest_primary(self) -> Database:
        leaders = [item for item in self.databases.values() if item.is_primary]
        return max(leaders, key=lambda item: item.term, default=None) or next(
            iter(self.databases.values())
        )

    def _reaches(self, one: Database, other: Database) -> bool:
        return (
            one.is_up
            and other.is_up
            and one.name not in other.cut_off
            and other.name not in one.cut_off
        )

    async def _replicate(self) -> None:
        """Bring replicas up to date with the newest primary that they reach."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for database in list(self.databases.values()):
                if not database.is_up:
                    continue
                leaders = [
                    item
                    for item in self.databases.values()
                    if item is not database
                    and item.is_primary
                    and item.term >= database.term
                    and self._reaches(item, database)
                ]
                leader = max(leaders, key=lambda item: item.term, default=None)
                if leader is None:
                    database.sees_newer_since = None
                    continue
                if database.is_primary:
                    if leader.term <= database.term:
                        continue
                    # An old primary continues until a second after it can reach
                    # the new one.
                    if database.sees_newer_since is None:
                        database.sees_newer_since = now
                    if now - database.sees_newer_since < 1.0:
                        continue
                    database.demote(leader.term)
                self.follow(database, leader)

    def follow(self, database: Database, leader: Database) -> None:
        if database.is_deaf or (
            database.paused_term and database.paused_term > leader.term
        ):
            return
        if database.paused_term:
            return
        database.sees_newer_since = None
        if database.log == leader.log and database.term == leader.term:
            return
        if database.log != leader.log[: len(database.log)]:
            self.record.write(f"db {database.name}: log is rolled back to {leader.name}'s")
            database.applied = min(database.applied, len(leader.log))
        database.log = list(leader.log)
        database.term = leader.term
        self._apply_later(database, len(database.log))

    def _apply_later(self, database: Database, count: int) -> None:
        def apply() -> None:
            database.applied = max(database.applied, min(count, len(database.log)))

        asyncio.get_running_loop().call_later(database.lag, apply)

    def measure_delay(self, one: Database, other: Database) -> float:
        """Return the seconds one way between two databases."""
        return IN_ZONE if one.zone == other.zone else CROSS_REGION

    def _deliver(self, primary, replica, log, term, acknowledged) -> None:
        """Append a commit that reaches a replica, and send the acknowledgement."""
        if replica.is_primary or replica.is_deaf or replica.paused_term:
            return
        if replica.term > term or not self._reaches(primary, replica):
            return
        if len(replica.log) < len(log):
            replica.log = list(log)
            replica.term = term
            self._apply_later(replica, len(log))
        asyncio.get_running_loop().call_later(
            self.measure_delay(primary, replica), acknowledged.set
        )

    def _has_received(self, primary, count: int, term: int) -> bool:
        """Return whether a replica has caught up with a commit later."""
        return any(
            replica.term == term and not replica.is_primary and len(replica.log) >= count
            for replica in self.databases.values()
            if replica is not primary and self._reaches(primary, replica)
        )

    async def commit(self, primary: Database, ids: list[str]) -> bool:
        """Commit; return whether a replica has received it (SyncReplicas 1)."""
        term = primary.term
        primary.log.append((term, ids))
        primary.applied = len(primary.log)
        log = list(primary.log)
        acknowledged = asyncio.Event()
        loop = asyncio.get_running_loop()
        for replica in self.databases.values():
            if replica is not primary:
                delay = self.measure_delay(primary, replica)
                loop.call_later(
                    delay, self._deliver, primary, replica, log, term, acknowledged
                )
        while not acknowledged.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.02):
                    await acknowledged.wait()
            if not primary.is_up or not primary.is_primary or primary.term != term:
                return False
            if not acknowledged.is_set() and self._has_received(primary, len(log), term):
                await asyncio.sleep(CROSS_REGION)
                break
        self.commits.append((time.monotonic(), primary.name, term, ids))
        self.record.write(f"db {primary.name}: commits {ids} in term {term}")
        return True

    def promote(self, database: Database) -> None:
        """The database leads the next term with what it has received."""
        term = max(item.term for item in self.databases.values()) + 1
        paused = max(item.paused_term for item in self.databases.values())
        term = max(term, paused)
        database.term = term
        database.is_primary = True
        database.paused_term = 0
        database.applied = len(database.log)
        kept = [item for _, ids in database.log for item in ids]
        self.promotions.append((time.monotonic(), database.name, term, kept))
        self.record.write(
            f"db {database.name}: leads term {term} with {len(database.log)} commits"
        )
        database.register()


# Nodes


class Node:
    """A node process."""

    def __init__(self, world: "World", index: int, zone: str) -> None:
        self.world = world
        self.index = index
        self.name = f"frontend-{zone}-{index}"
        self.zone = zone
        self.host = world.addresses[index]
        self.caller_port = find_port(self.host)
        self.ready_port = find_port(self.host)
        self.peer_port = find_port(self.host, datagram=True)
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.log_path = world.folder / f"{self.name}.log"

    def write_settings(self) -> pathlib.Path:
        world = self.world
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in world.zones.items())
        path = world.folder / f"{self.name}.toml"
        path.write_text(
            f"""NodeName = "{self.name}"
Role = "node"
MachineClass = "frontend"
Serves = ["frontend"]
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "{world.zones[self.zone]}"
InternalPorts = [{self.peer_port},{self.peer_port}]
SeedNodes = []
Bootstrap = true
InTolerance = false
Discovery = "platform"
EntryPoint = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","tenants","quota","platform"]
[Zones]
{zones}
[BindAddresses]
Frontend = "{self.host}:{self.caller_port}"
Readiness = "{self.host}:{self.ready_port}"
[Limits]
CpuShare = 0.537
CpuCores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
SettleWindowMs = 4000
AckMs = 5000
CatchupS = 4
DrainMs = 7000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 12000
StrictRevocation = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaSlack = 20
RecoveryS = 12
RequireFencing = false
UnfreezeSlackMs = 300
[platform]
Address = "127.0.0.1:{world.store_ports[self.index]}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryRetentionS = 20
MaxValueBytes = 1048576
MinTtlMs = 1000
[CloudApi]
Address = "127.0.0.1:{world.cloud_ports[self.index]}"
RatePerS = 50.0
Duties = ["failover"]
DutyPerS = 50.0
""",
            encoding="utf-8",
        )
        return path

    async def start(self) -> None:
        """Start the process with the run line of the deploy file."""
        path = self.write_settings()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
        words = shlex.split(deploy["roles"]["node"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["SARDINEHOLD_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.starts += 1
        self.world.record.write(f"node {self.name}: started")

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready_port)
                try:
                    writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                    return b" 200 " in await reader.readuntil(b"\r\n")
                finally:
                    writer.close()
        return False

    def signal(self, number: int) -> None:
        if self.is_running:
            self.process.send_signal(number)

    def read_events(self, event: str) -> list[dict]:
        """Return the log lines of one event."""
        found = []
        with contextlib.suppress(OSError):
            for line in self.log_path.read_text("utf-8", "replace").splitlines():
                with contextlib.suppress(ValueError):
                    item = json.loads(line)
                    if item.get("event") == event:
                        found.append(item)
        return found


class World:
    """All processes and stand-ins of one run."""

    zones = {"grand-baie": "nord", "curepipe": "plateau", "souillac": "sud"}

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(self.record)
        self.clusters: dict[str, Cluster] = {}
        self.cloud = Cloud(self.record, self.clusters)
        self.nodes: list[Node] = []
        self.tasks: list[asyncio.Task] = []
        self.addresses: list[str] = []
        self.store_ports: list[int] = []
        self.cloud_ports: list[int] = []
        self.version = 6
        self.tenants: dict[str, list[str]] = {"nypu920": ["u6wsjnba", "j8pjbvk9"]}
        self.rate = 500
        self.extra_routes: list[dict] = []
        self.kills: set[str] = set()

    def add_cluster(self, service="huvo11a", **options) -> Cluster:
        cluster = Cluster(self.record, self.store, service, list(self.zones), **options)
        self.clusters[service] = cluster
        return cluster

    def make_configuration(self) -> dict:
        routes = []
        for index, service in enumerate(self.clusters):
            for host, kind, timeout, staleness in (
                ("lepu270", "primary", 1000, None),
                ("xapu221", "bounded", 2000, 1500),
                ("fiti832", "read_your_writes", 1000, 2500),
            ):
                route = {
                    "Name": f"r-{host}-{index}",
                    "Host": host if index == 0 else f"{host}x{index}",
                    "PathPrefix": "/",
                    "Kind": kind,
                    "TimeoutMs": timeout,
                    "TargetLatencyMs": 400,
                    "Priority": 1,
                    "Service": service,
                    "MaxAttempts": 2,
                    "Public": False,
                }
                if staleness is not None:
                    route["MaxStalenessMs"] = staleness
                routes.append(route)
        return {
            "Version": self.version,
            "Routes": routes + self.extra_routes,
            "Services": [
                {
                    "Name": name,
                    "HealthCheckPath": "/health",
                    "MaxConnections": cluster.connection_limit,
                    "Protocol": "h1",
                    "Tls": False,
                    "SyncReplicas": 1,
                }
                for name, cluster in self.clusters.items()
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
                "TxIdleMs": 3000,
            },
            "Tenants": [
                {
                    "Name": name,
                    "ApiKeys": keys,
                    "Priority": 1,
                    "RatePerS": self.rate,
                    "Burst": self.rate,
                }
                for name, keys in self.tenants.items()
            ],
        }

    def configure(self) -> None:
        """Write the next version; the store's answer is the acknowledgement."""
        self.version += random.randrange(1, 4)
        self.store.put("config", "main", self.make_configuration())
        self.record.write(f"operator: configuration {self.version} is acknowledged")

    async def start(self, count: int = 3) -> None:
        """Start the stand-ins and the nodes, and wait until all are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRun("target/deps is missing; run the build line of the deploy file")
        await self.store.start()
        await self.cloud.start()
        for cluster in self.clusters.values():
            self.tasks += await cluster.start()
        self.configure()
        self.addresses = [find_address() for _ in range(count)]
        self.store_ports = [self.store.port] * count
        self.cloud_ports = [self.cloud.port] * count
        await self.place_links(count)
        names = list(self.zones)
        self.nodes = [Node(self, index, names[index % len(names)]) for index in range(count)]
        for node in self.nodes:
            await node.start()
        await self.wait_ready()

    async def place_links(self, count: int) -> None:
        """Place links between the nodes and the platform; by default there are none."""

    async def wait_ready(self, seconds: float = 20.0) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if all([await node.is_ready() for node in self.nodes]):
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the nodes were not ready in time")

    def note_ends(self) -> list[str]:
        """Return and record the nodes whose processes ended by themselves."""
        ended = [
            f"{node.name} ended with {node.process.returncode}"
            for node in self.nodes
            if not node.is_running
        ]
        for text in ended:
            self.record.write(f"node {text}")
        return ended

    async def stop(self) -> None:
        for node in self.nodes:
            if node.is_running:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                await node.process.wait()
        for task in self.tasks:
            task.cancel()
        if os.environ.get("KEEP_LOGS"):
            for node in self.nodes:
                if node.log_path.exists():
                    text = node.log_path.read_text("utf-8", "replace")
                    pathlib.Path(os.environ["KEEP_LOGS"], node.log_path.name).write_text(text)
        self._temporary.cleanup()


class Session:
    """A client's session."""

    def __init__(self, world: World, node: Node, route: str, key: str) -> None:
        self.world = world
        self.record = world.record
        self.node = node
        self.route = route
        self.key = key
        self.reader = None
        self.writer = None
        self.state = "I"

    async def open(self) -> str:
        """Connect and return the first line."""
        self.reader, self.writer = await asyncio.open_connection(
            self.node.host, self.node.caller_port, limit=1 << 21
        )
        self.writer.write(f"START {self.route} {self.key}\r\n".encode())
        async with asyncio.timeout(2.0):
            line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
        return line

    async def ask(self, request_id: str, text: str, timeout: float = 4.0):
        """Return code, detail, rows; code is COMPLETE, an error code, or LOST."""
        self.record.write(f"client: sends {request_id} [{text}] to {self.node.name}")
        rows = []
        outcome = ("LOST", "")
        try:
            self.writer.write(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
            async with asyncio.timeout(timeout):
                while True:
                    line = (await self.reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                    word, _, rest = line.partition(" ")
                    if word == "ROW":
                        rows.append(rest)
                    elif word == "COMPLETE":
                        outcome = ("COMPLETE", rest)
                    elif word == "ERROR":
                        code, _, detail = rest.partition(" ")
                        outcome = (code, detail)
                    elif word == "READY":
                        self.state = rest.split(" ")[0]
                        break
        except TimeoutError:
            outcome = ("SILENT", "")
        except (OSError, asyncio.IncompleteReadError):
            if outcome[0] == "COMPLETE":
                outcome = ("LOST", "")
        self.record.write(f"client: {request_id} is answered {outcome[0]} {outcome[1]}")
        return outcome[0], outcome[1], rows

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


def make_id() -> str:
    """Return a request's id."""
    return f"{random.getrandbits(64):016x}"


def find_address() -> str:
    """Return a loopback address on which the metrics port is free."""
    for _ in range(100):
        host = f"127.{random.randrange(20, 220)}.{random.randrange(250)}.{random.randrange(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((host, METRICS_PORT))
            except OSError:
                continue
            return host
    raise CannotRun("no free loopback address")


def find_port(host: str, datagram: bool = False) -> int:
    """Return a port of an address that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        port = probe.getsockname()[1]
    return port


def run(folder: str, scenario, make_world=World) -> None:
    """Run a scenario and exit with 1 if it broke a rule, 0 if not, 2 if it can't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> int:
        world = make_world(pathlib.Path(folder))
        try:
            async with asyncio.timeout(110):
                await scenario(world, has_trouble)
        except (CannotRun, TimeoutError, OSError) as error:
            world.record.write(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            await world.stop()
        for text in world.record.broken:
            print(f"broken: {text}")
        return 1 if world.record.broken else 0

    # Streams that are still open at the end are closed with the process.
    sys.unraisablehook = lambda unraisable: None
    sys.exit(asyncio.run(play()))
