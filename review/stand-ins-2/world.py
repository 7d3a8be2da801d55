"""Small stand-ins for the platform: object store, failover call, databases.

They follow PROTOCOL.md and DEPLOY.md, use the standard library only, and start the
project's node with the command of ``deploy/system.toml``. All addresses are loopback
addresses.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"grand-baie": "nord", "curepipe": "plateau", "souillac": "sud"}
SERVICE = "releves1"
STORE_ANSWER_S = 0.004
HANDSHAKE_S = 0.012
WORK_S = 0.008
PROMOTE_S = 1.0
RECEIVE_S = 0.01
NEAR_RECEIVE_S = 0.002
APPLY_S = 0.06
HEARTBEAT_S = 1.2
SLOT_WORDS = {"READ", "WRITE", "EXECUTE", "COMMIT"}


def now() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.began = now()
        self.file = path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        self.file.write(f"{now() - self.began:9.3f} {text}\n")
        self.file.flush()


class Store:
    """The metadata store: objects with revisions, lists and watches."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.revision = 100
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, bool, dict]] = []
        self.changed = asyncio.Event()
        self.port = 0
        self.answer_s = STORE_ANSWER_S

    async def start(self) -> None:
        self.port = await self.listen(str)

    async def listen(self, change) -> int:
        """Listen on a port of its own; ``change`` is applied to the text of answers."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, change), "127.0.0.1", 0
        )
        return server.sockets[0].getsockname()[1]

    def _record(self, kind: str, name: str, is_gone: bool, item: dict) -> None:
        self.history.append((self.revision, kind, is_gone, json.loads(json.dumps(item))))
        del self.history[:-5000]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec) -> int:
        """Write an object as the operator or a database does; return its revision."""
        held = self.objects.get((kind, name))
        if held is not None and held["spec"] == spec:
            return held["meta"]["Revision"]
        self.revision += 1
        created = held["meta"]["Created"] if held else self.revision
        item = {
            "meta": {
                "Name": name,
                "Revision": self.revision,
                "Created": created,
                "Finalizers": [],
                "DeletionPending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = item
        self._record(kind, name, False, item)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, name, True, item)

    def get(self, kind: str, name: str):
        held = self.objects.get((kind, name))
        return None if held is None else held["spec"]

    async def _serve(self, reader, writer, change) -> None:
        # At the end of a run, connections are cancelled.
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *rest = head.split("\r\n")
                method, target, _ = first.split(" ")
                headers = dict(
                    (name.strip().lower(), value.strip())
                    for name, _, value in (line.partition(":") for line in rest if line)
                )
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                parts = [urllib.parse.unquote(p) for p in url.path.split("/")[1:]]
                if parts == ["failover"]:
                    status, answer = await self.world.fail_over(headers, json.loads(body))
                else:
                    await asyncio.sleep(self.answer_s)
                    status, answer = await self._call(method, parts[2:], query, body)
                data = b"" if answer is None else change(json.dumps(answer)).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.transport.abort()

    async def _call(self, method: str, path: list[str], query: dict, body: bytes):
        kind = path[0]
        if method == "GET" and len(path) == 1:
            if "Watch" in query:
                return await self._watch(kind, int(query["Watch"]), query)
            items = [
                item
                for (held, name), item in sorted(self.objects.items())
                if held == kind and name > query.get("after", "")
            ]
            return 200, {
                "items": items[:500],
                "HasMore": len(items) > 500,
                "StoreRevision": self.revision,
            }
        if method == "GET":
            item = self.objects.get((kind, path[1]))
            return (404, None) if item is None else (200, item)
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["meta"]["Name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.put(kind, name, sent.get("spec"))
            return 200, self.objects[kind, name]
        held = self.objects.get((kind, path[1]))
        if held is None:
            return 404, None
        wanted = sent.get("meta", {}).get("Revision", query.get("Revision"))
        if wanted is not None and int(wanted) != held["meta"]["Revision"]:
            return 409, held
        if method == "DELETE":
            self.remove(kind, path[1])
            return 200, held
        self.put(kind, path[1], sent.get("spec"))
        return 200, self.objects[kind, path[1]]

    async def _watch(self, kind: str, since: int, query: dict):
        ends = now() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if self.history and since < self.history[0][0] - 1 and len(self.history) >= 5000:
                return 410, None
            changed = self.changed
            events = [
                {"IsGone": gone, "Object": item}
                for revision, held, gone, item in self.history
                if held == kind and revision > since
            ]
            left = ends - now()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Path:
    """The way from one machine to one database, which can be cut."""

    def __init__(self, target: int) -> None:
        self.target, self.port, self.count = target, 0, 0
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.count += 1
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, far_writer), self._forward(far_reader, writer)
            )
        self.count -= 1

    async def _forward(self, reader, writer) -> None:
        """Forward bytes; those of a sender that gave up during a cut are lost."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self.whole.wait()
                if reader.exception() is not None:
                    break
                writer.write(data)
            else:
                await self.whole.wait()
                writer.close()
                return
        writer.transport.abort()


class Connection:
    """State of a connection at a database."""

    def __init__(self, who: str) -> None:
        self.who = who
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.state = "I"
        self.begun = ""
        self.begin_id = ""
        self.term = 0
        self.writes: list[tuple[str, str, str]] = []


class Database:
    """One database of the service; its log holds (term, commit id, writes)."""

    def __init__(
        self, world: "World", number: int, zone: str, service: str = SERVICE
    ) -> None:
        self.world = world
        self.service = service
        self.name = f"i-{number:02d}{random.randrange(16**6):06x}"
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[tuple[int, str, list]] = []
        self.applied = 0
        self.held_term = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.port = 0
        self.slots = 3
        self.busy = 0
        self.connections = 0
        self.work_s = WORK_S
        self.is_deaf = False
        self.apply_s = APPLY_S
        self.receive_s = RECEIVE_S
        self.is_up = True
        self.lose = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.reached = asyncio.Event()
        self.reached.set()

    async def start(self) -> None:
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 << 20
        )
        self.port = server.sockets[0].getsockname()[1]

    def publish(self) -> None:
        self.sequence += 1
        self.world.store.put(
            "servers",
            self.name,
            {
                "Service": self.service,
                "Address": f"127.0.0.1:{self.port}",
                "Zone": self.zone,
                "Version": "v1",
                "Capacity": self.slots,
                "State": self.state,
                "ColdMs": 0,
                "DatabaseRole": "primary" if self.is_primary else "replica",
                "Sequence": self.sequence,
                "born": self.born,
            },
        )

    def position(self, length: int | None = None) -> str:
        length = len(self.log) if length is None else length
        term = self.log[length - 1][0] if length else 1
        return f"{term}.{length}"

    async def crash_for(self, seconds: float) -> None:
        """End all connections; come back with the log."""
        self.is_up = False
        self.world.note(f"CRASH {self.name} primary={self.is_primary}")
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        leader = self.world.find_primary(self.service)
        if self.is_primary and leader is not self:
            self.is_primary = False
        self.held_term = 0
        self.is_up = True
        self.publish()
        self.world.note(f"BACK {self.name} primary={self.is_primary}")

    async def start_again(self, down_s: float) -> None:
        """Start again under the same Id: it holds and knows nothing of before."""
        self.is_up = False
        self.world.note(f"RESTART {self.name} primary={self.is_primary}")
        for writer in list(self.writers):
            writer.transport.abort()
        self.is_primary, self.term, self.held_term = False, 1, 0
        self.log, self.applied, self.sequence = [], 0, 0
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.publish()
        self.world.note(f"STARTED {self.name} born={self.born} holding nothing")

    async def cut_for(self, seconds: float) -> None:
        """Be cut off from all machines of the system, not from other databases."""
        self.reached.clear()
        self.world.note(f"CUT {self.name} from the machines")
        await asyncio.sleep(seconds)
        self.reached.set()
        self.world.note(f"HEALED {self.name}")

    async def _await_path(self, reader, writer) -> bool:
        """Wait while cut off; bytes of a sender that gave up meanwhile are lost."""
        while not self.reached.is_set():
            await self.reached.wait()
            await asyncio.sleep(0.01)
            if reader.exception() is not None or reader.at_eof():
                return False
        return not writer.is_closing()

    async def _serve(self, reader, writer) -> None:
        if not self.is_up:
            writer.transport.abort()
            return
        held: Connection | None = None
        self.connections += 1
        self.writers.add(writer)
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
            if not await self._await_path(reader, writer):
                return
            _, service, who, *wanted = line.split(" ")
            await asyncio.sleep(HANDSHAKE_S)
            if service != self.service or (wanted and wanted[0] != self.name):
                writer.write(f"ERROR WRONGNODE {self.name}\r\n".encode())
                return
            if self.connections > self.world.max_connections:
                writer.write(b"ERROR CONNLIMIT full\r\n")
                return
            held = Connection(who)
            writer.write(f"READY I {self.position(self.applied)}\r\n".encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode("latin-1")
                if line == "CLOSE" or not await self._await_path(reader, writer):
                    return
                word, request, text = line.split(" ", 2)
                answer = await self._run(held, request, text)
                if answer is None or random.random() < self.lose:
                    return
                writer.write("".join(f"{item}\r\n" for item in answer).encode("latin-1"))
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            if held is not None and held.state != "I":
                self.world.note(
                    f"RUN {self.name} closed inside the transaction of {held.begin_id}:"
                    f" {len(held.writes)} writes rolled back"
                )
            writer.close()

    def _answer(self, held: Connection, *lines: str) -> list[str]:
        length = len(self.log) if self.is_primary else self.applied
        return [*lines, f"READY {held.state} {self.position(length)}"]

    async def _run(self, held: Connection, request: str, text: str):
        after = None
        if text.startswith("AFTER "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self._control(held, word, rest)
        if word not in ("SET", "PREPARE", "RESET"):
            self.world.note(f"RUN {self.name} as {held.who}: {request} {text}")
        if word == "SET":
            name, _, value = rest.partition(" ")
            held.values[name] = value
            return self._answer(held, "COMPLETE -")
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            held.prepared[name] = (kind, shape)
            return self._answer(held, "COMPLETE -")
        if word == "RESET":
            held.values, held.prepared = {}, {}
            return self._answer(held, "COMPLETE -")
        if word == "ROLLBACK":
            held.state, held.writes = "I", []
            return self._answer(held, "COMPLETE -")
        if after is not None and self._is_behind(after):
            return self._answer(held, "ERROR LAGGING behind")
        if word == "BEGIN":
            if text == "BEGIN" and not self.is_primary:
                return self._answer(held, f"ERROR READONLY {self.name}")
            held.state, held.begun, held.begin_id = "T", text, request
            held.term, held.writes = self.term, []
            return self._answer(held, "COMPLETE -")
        if self.busy >= self.slots:
            return self._answer(held, "ERROR BUSY no slot")
        self.busy += 1
        try:
            await asyncio.sleep(self.work_s)
            return await self._work(held, request, word, rest)
        finally:
            self.busy -= 1

    def _is_behind(self, after: str) -> bool:
        term, number = map(int, after.split("."))
        length = len(self.log) if self.is_primary else self.applied
        own = (self.log[length - 1][0] if length else 1, length)
        return own < (term, number)

    async def _work(self, held: Connection, request: str, word: str, rest: str):
        signed = f"COMPLETE {self.name}.{request}"
        is_write = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in held.prepared:
                return self._answer(held, "ERROR NOSTMT unknown")
            is_write = held.prepared[name][0] == "WRITE"
        if word == "COMMIT":
            writes, held.writes, state = held.writes, [], held.state
            held.state = "I"
            if state != "T":
                return self._answer(held, "ERROR ABORTED no transaction")
            if writes and not await self._commit(held.begin_id, request, writes):
                return self._answer(held, f"ERROR READONLY {self.name}")
            return self._answer(held, signed)
        if held.state == "E":
            return self._answer(held, "ERROR MALFORMED failed transaction")
        lost_lead = held.state == "T" and held.begun == "BEGIN" and (
            not self.is_primary or self.term != held.term
        )
        if lost_lead or (is_write and not self.is_primary):
            if held.state == "T":
                held.state = "E"
            return self._answer(held, f"ERROR READONLY {self.name}")
        if not is_write:
            length = len(self.log) if self.is_primary else self.applied
            return self._answer(held, f"ROW {self._read(rest, length)}", signed)
        item, _, data = rest.partition(" ")
        if held.state == "T":
            held.writes.append((request, item, data))
        elif not await self._commit("", request, [(request, item, data)]):
            return self._answer(held, f"ERROR READONLY {self.name}")
        return self._answer(held, signed)

    def _read(self, item: str, length: int) -> str:
        for _, _, writes in reversed(self.log[:length]):
            for _, name, data in reversed(writes):
                if name == item:
                    return data
        return "-"

    async def _commit(self, begin: str, request: str, writes: list) -> bool:
        if not self.is_primary:
            return False
        term = self.term
        self.log.append((term, request, writes))
        self.applied = len(self.log)
        length = len(self.log)
        self.world.note(
            f"RUN {self.name} commits {request} at {term}.{length}:"
            f" {[item[0] for item in writes]}"
        )
        while self.world.sync_replicas:
            received = sum(
                len(other.log) >= length and other.log[length - 1] == self.log[length - 1]
                for other in self.world.list_databases(self.service)
                if other is not self and len(self.log) >= length
            )
            if received >= self.world.sync_replicas:
                return True
            await asyncio.sleep(0.002)
            is_held = len(self.log) >= length and self.log[length - 1][1] == request
            if not self.is_up or not is_held:
                raise ConnectionAbortedError
        return True

    def _control(self, held: Connection, word: str, rest: str) -> list[str]:
        if word == "STATUS" and self.busy >= self.slots:
            return self._answer(held, "ERROR BUSY no slot")
        if word != "STATUS":
            self.world.note(f"RUN {self.name} {word} {rest}")
        if word == "PAUSE" and not self.is_primary and int(rest) > self.term:
            self.held_term = int(rest)
        if word == "RESUME":
            self.held_term = 0
        if word == "STEPDOWN" and self.is_primary and int(rest) > self.term:
            self.is_primary = False
            self.publish()
        row = (
            f"ROW {'primary' if self.is_primary else 'replica'} {self.term}"
            f" {self.position()} {self.held_term} 0 {self.busy} {self.connections}"
        )
        return self._answer(held, row, "COMPLETE -")

    async def follow(self) -> None:
        """Receive the log of the newest primary, and apply it later."""
        while True:
            await asyncio.sleep(self.receive_s)
            leader = self.world.find_primary(self.service)
            if leader is self or leader is None or not self.is_up:
                continue
            if self.is_primary and leader.term > self.term:
                await asyncio.sleep(1.0)
                self.is_primary = False
                self.publish()
            if self.is_primary or self.held_term or self.is_deaf or not leader.is_up:
                continue
            self.term = leader.term
            common = 0
            if self.log != leader.log[: len(self.log)]:
                while common < min(len(self.log), len(leader.log)) and (
                    self.log[common][:2] == leader.log[common][:2]
                ):
                    common += 1
                del self.log[common:]
                self.applied = min(self.applied, common)
            if len(self.log) < len(leader.log):
                self.log.extend(leader.log[len(self.log) :])
                loop = asyncio.get_running_loop()
                loop.call_later(self.apply_s, self._apply, len(self.log))

    def _apply(self, length: int) -> None:
        self.applied = max(self.applied, min(length, len(self.log)))


class World:
    """Store, databases and node processes of one run."""

    def __init__(
        self,
        folder: pathlib.Path,
        nodes: int = 3,
        services: tuple[str, ...] = (SERVICE,),
        zones: dict[str, str] = ZONES,
    ) -> None:
        self.record = Record(folder / "record.txt")
        self.note = self.record.note
        self.node_count = nodes
        self.zones = zones
        self.sync_replicas = 1
        self.max_connections = 21
        self.store = Store(self)
        self.services = services
        self.route_service = services[0]
        self.databases = [
            Database(self, index, zone, service)
            for service in services
            for index, zone in enumerate(ZONES)
        ]
        for service in services:
            self.list_databases(service)[0].is_primary = True
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.temporary = pathlib.Path(tempfile.mkdtemp())
        self.lane = f"127.{random.randrange(10, 250)}.{random.randrange(10, 250)}"
        self.version = 0
        self.tasks: list[asyncio.Task] = []
        self.failover_delay = PROMOTE_S
        self.promoted: list[tuple[str, float, set[str]]] = []
        self.splits_paths = False
        self.paths: dict[int, dict[Database, Path]] = {}

    def list_databases(self, service: str) -> list[Database]:
        return [item for item in self.databases if item.service == service]

    def find_primary(self, service: str = SERVICE) -> Database | None:
        leaders = [item for item in self.list_databases(service) if item.is_primary]
        return max(leaders, key=lambda item: item.term, default=None)

    def make_configuration(self, tenants: list[dict]) -> dict:
        """Return a configuration with a route of each kind, as in ``wire SITE``."""
        self.version += random.randrange(1, 4)
        kinds = {
            "latest": ("primary", 1000, 400, 1, 0),
            "bounded": ("bounded", 2000, 800, 2, 1500),
            "session": ("read_your_writes", 1000, 800, 2, 2500),
        }
        return {
            "Version": self.version,
            "Routes": [
                {
                    "Name": f"r-{host}",
                    "Host": host,
                    "PathPrefix": "/",
                    "Kind": kind,
                    "TimeoutMs": timeout,
                    "TargetLatencyMs": target,
                    "Priority": priority,
                    "Service": self.route_service,
                    "MaxAttempts": 2,
                    "MaxStalenessMs": staleness,
                    "Public": False,
                }
                for host, (kind, timeout, target, priority, staleness) in kinds.items()
            ],
            "Services": [
                {
                    "Name": service,
                    "HealthCheckPath": "/health",
                    "MaxConnections": self.max_connections,
                    "Protocol": "h1",
                    "Tls": False,
                    "SyncReplicas": self.sync_replicas,
                }
                for service in self.services
            ],
            "Limits": {"IdleTimeoutMs": 15000, "TxIdleMs": 3000},
            "Tenants": tenants,
        }

    def configure(self, tenants: list[dict]) -> None:
        """Write the next version of the configuration; the store acknowledges it."""
        found = self.make_configuration(tenants)
        self.store.put("config", "main", found)
        held = [(item["Name"], item["ApiKeys"]) for item in tenants]
        self.note(
            f"CONFIG version {found['Version']} acknowledged: keys {held},"
            f" routes to {self.route_service}"
        )

    async def fail_over(self, headers: dict, body: dict):
        """Promote a database, as the platform does on POST /failover."""
        self.note(
            f"FAILOVER {body} from {headers.get('x-duty-holder')}"
            f" token {headers.get('x-fencing-token')}"
        )
        for item in self.databases:
            if item.name == body["Id"] and item.is_up:
                if item.is_primary and item is self.find_primary(item.service):
                    return 200, {}
                asyncio.get_running_loop().call_later(
                    self.failover_delay, self._promote, item
                )
                return 200, {}
        return 409, {}

    def _promote(self, item: Database) -> None:
        group = self.list_databases(item.service)
        item.term = max(other.term for other in group) + 1
        if not item.is_up:
            return
        item.is_primary, item.held_term = True, 0
        item.applied = len(item.log)
        item.publish()
        self.note(f"PROMOTED {item.name} term {item.term} at {item.position()}")
        self.promoted.append((item.name, now(), {entry[1] for entry in item.log}))

    async def add_database(self, zone: str, lag_s: float) -> Database:
        """Start a new replica; its entry is in the store ``lag_s`` later."""
        item = Database(self, len(self.databases), zone)
        await item.start()
        self.note(f"NEW {item.name} starts")
        item.term = self.find_primary().term
        if zone == self.find_primary().zone:
            item.receive_s = NEAR_RECEIVE_S
        self.databases.append(item)
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(item.follow()))

        async def register() -> None:
            await asyncio.sleep(lag_s)
            item.publish()
            self.note(f"NEW {item.name} is registered")
            await self._beat(item)

        self.tasks.append(loop.create_task(register()))
        return item

    # Node processes

    def address(self, index: int) -> str:
        return f"{self.lane}.{index + 2}"

    async def start(self, tenants: list[dict]) -> None:
        """Start everything, and wait until all nodes are ready."""
        await self.store.start()
        loop = asyncio.get_running_loop()
        for item in self.databases:
            await item.start()
            item.publish()
            self.tasks.append(loop.create_task(item.follow()))
            self.tasks.append(loop.create_task(self._beat(item)))
        if self.splits_paths:
            await self.split_paths()
        self.configure(tenants)
        for index in range(self.node_count):
            await self.start_node(index)
        for index in range(self.node_count):
            await self.await_ready(index)
        await asyncio.sleep(2.0)
        self.note("READY all nodes")

    async def _beat(self, item: Database) -> None:
        beaten_at = now()
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if item.is_up:
                beaten_at = now()
                item.publish()
            elif now() - beaten_at > 3 * HEARTBEAT_S:
                self.store.remove("servers", item.name)

    async def split_paths(self) -> None:
        """Give each machine ways of its own to all databases; before the start."""
        self.paths = {index: {} for index in range(self.node_count)}
        for paths in self.paths.values():
            for item in self.databases:
                path = paths[item] = Path(item.port)
                await path.start()

    def _change_addresses(self, index: int):
        def change(text: str) -> str:
            for item, path in self.paths.get(index, {}).items():
                text = text.replace(
                    f'"127.0.0.1:{item.port}"', f'"127.0.0.1:{path.port}"'
                )
            return text

        return change

    def find_leader(self) -> int:
        """Return the index of the node that the store names as the leader."""
        found = self.store.get("sardinehold-leader", "leader")
        return int(found["node"].rpartition("-")[2])

    async def start_node(self, index: int) -> None:
        """Start a node with the run line of the deploy file."""
        store = await self.store.listen(self._change_addresses(index))
        host, zone = self.address(index), list(self.zones)[index % len(self.zones)]
        zones = "".join(f'{name} = "{region}"\n' for name, region in self.zones.items())
        path = self.temporary / f"node-{index}.toml"
        path.write_text(
            f'NodeName = "frontend-{zone}-{index}"\nRole = "node"\n'
            f'MachineClass = "frontend"\nServes = ["frontend"]\nIp = "{host}"\n'
            f'Zone = "{zone}"\nRegion = "{self.zones[zone]}"\nInternalPorts = [7560,7575]\n'
            f"Bootstrap = true\nHeartbeatMs = {round(HEARTBEAT_S * 1000)}\n"
            f'[Zones]\n{zones}[BindAddresses]\nFrontend = "{host}:8465"\n'
            f'Readiness = "{host}:8460"\nControl = "{host}:8462"\n'
            "[Limits]\nCpuShare = 0.537\nCpuCores = 2\nMemoryMb = 300\nMaxFds = 4200\n"
            "LinkMbps = 1000.0\n[Bounds]\nDrainMs = 7000\nGracePeriodS = 6\n"
            "QuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaSlack = 20\n"
            f'[platform]\nAddress = "127.0.0.1:{store}"\nform = "objects"\n'
            f'[CloudApi]\nAddress = "127.0.0.1:{self.store.port}"\n'
        )
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self.temporary / f"node-{index}.log").open("ab") as log:
            self.processes[index] = await asyncio.create_subprocess_exec(
                "python3",
                "-S",
                "deploy/node.py",
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "SARDINEHOLD_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, index: int) -> bool:
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address(index), 8460), 0.5
            )
            writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def await_ready(self, index: int, limit: float = 30.0) -> None:
        ends = now() + limit
        while not await self.is_ready(index):
            if now() > ends:
                raise RuntimeError(f"node {index} is not ready")
            await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End the processes that this run started."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()
        if "KEEP" in os.environ:
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Client:
    """A client's session over the wire."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name, self.count = world, name, 0
        self.rows: list[str] = []
        self.reader = self.writer = None

    async def connect(self, index: int, database: str, key: str) -> str:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.world.address(index), 8465, limit=4 << 20), 2
        )
        self.writer.write(f"START {database} {key}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        answer = line.decode("latin-1").strip()
        self.world.note(f"CLIENT {self.name} START {database}: {answer}")
        return answer

    async def query(self, text: str, request: str = "") -> tuple[str, str, str]:
        """Send a query; return its id, its COMPLETE or ERROR line, and the state."""
        self.count += 1
        request = request or f"{self.name}{self.count:04d}{random.randrange(16**6):06x}"
        self.world.note(f"CLIENT {self.name} sends {request} {text}")
        self.writer.write(f"QUERY {request} {text}\r\n".encode("latin-1"))
        outcome, self.rows = "", []
        try:
            while True:
                data = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 10)
                line = data[:-2].decode("latin-1")
                if line.startswith("ROW "):
                    self.rows.append(line[4:])
                if line.startswith(("COMPLETE", "ERROR")):
                    outcome = line
                if line.startswith("READY"):
                    state = line.split(" ")[1]
                    break
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            outcome, state = outcome or f"NOTHING {type(error).__name__}", ""
        self.world.note(f"CLIENT {self.name} gets for {request}: {outcome} {state}")
        return request, outcome, state

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run(main) -> None:
    """Run a case: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    try:
        code = asyncio.run(asyncio.wait_for(main(), 110))
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
