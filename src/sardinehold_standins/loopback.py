"""Stand-ins on loopback for the users' platform: databases, store and faulty links.

Implements the published protocol; ``bench/fault_soak.py`` runs real nodes against it.
"""

import asyncio
import contextlib
import json
import socket
import typing

import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold import errors
from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import clock
from sardinehold.node import ports
from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold.platform import endpoints
from sardinehold.platform import lines
from sardinehold.platform import store
from sardinehold_standins import group_in_memory
from sardinehold_standins import objects_in_memory

HANDSHAKE_SECONDS = 0.012
"""Seconds that opening a connection takes, as in the platform's data sheets."""

STATEMENT_SECONDS = 5.0
"""Timeout of a statement in seconds, and the delay of a silent store."""

READ_BYTES = 65536

READ_LIMIT = 4 * 1024 * 1024
"""Bytes of a line that a database reads, so that it sees lines above the protocol's
limit."""

ENCODING = "latin-1"

HOLD_CHECK_INTERVAL = 0.005
"""Seconds between checks whether a held connection was reset."""


class Received:
    """A statement that a database received, as it reads the line itself.

    :param text: as :func:`describe_text` returns it.
    :param size: bytes of the line.
    :param values: the connection's variables as the statement started.
    :param at: time at which it started.
    :param answer: its answer, None without one.
    :param connection: where it ran.
    """

    __slots__ = (
        "team",
        "request",
        "text",
        "size",
        "values",
        "at",
        "answer",
        "connection",
    )

    def __init__(
        self,
        connection: group_in_memory.DatabaseConnection,
        request: str,
        text: str,
        size: int,
    ) -> None:
        """Record that the statement starts now."""
        self.connection = connection
        self.team = connection.team
        self.request = request
        self.text = describe_text(connection, text)
        self.size = size
        self.values = dict(connection.values)
        self.at = clock.read()
        self.answer: statements.Answer | None = None


OnRun = typing.Callable[[Received], None]

SLOT_WORDS = frozenset(
    ("READ", "WRITE", "EXECUTE", "COMMIT", "STATUS", "PAUSE", "RESUME", "STEPDOWN")
)
"""First words of the statements that occupy a slot."""


def describe_text(connection: group_in_memory.DatabaseConnection, text: str) -> str:
    """Return what a text asks of a database: without AFTER, EXECUTE with its form.

    The fields are found as the protocol states, not by the node's own parser.
    """
    word, _, rest = text.partition(" ")
    if word == "AFTER":
        text = rest.partition(" ")[2]
        word, _, rest = text.partition(" ")
    if word != "EXECUTE":
        return text
    name, _, arguments = rest.partition(" ")
    if name not in connection.prepared:
        return text
    return format_execution(*connection.prepared[name], arguments)


def format_execution(writes: bool, shape: str, arguments: str) -> str:
    """Return the text of a prepared statement that runs."""
    return f"EXECUTE [{'WRITE' if writes else 'READ'} {shape}] {arguments}"


class DatabaseServer:
    """Serves one database over the line protocol.

    :param limit: maximum number of connections.
    :param on_run: called with each statement after it ended.
    """

    def __init__(
        self,
        database: group_in_memory.Database,
        limit: int = 21,
        on_run: OnRun = lambda received: None,
    ) -> None:
        """Create the server; :meth:`start` assigns the port."""
        self.database = database
        self.on_run = on_run
        self.limit = limit
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=READ_LIMIT
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection: group_in_memory.DatabaseConnection | None = None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            connection = await self._handshake(reader, writer)
            while connection is not None and not connection.is_closed:
                data = await reader.readuntil(b"\r\n")
                line = data[:-2].decode(ENCODING)
                if line == "CLOSE":
                    break
                _, request_id, text = line.split(" ", 2)
                received = Received(connection, request_id, text, len(data))
                try:
                    received.answer = await self._take_slot(
                        connection, request_id, text
                    )
                except ports.ConnectionLost:
                    break
                finally:
                    self.on_run(received)
                writer.write(callers.format_answer(received.answer))
        if connection is not None:
            connection.close()
        writer.transport.abort()

    async def _handshake(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> group_in_memory.DatabaseConnection | None:
        database = self.database
        line = (await reader.readuntil(b"\r\n"))[:-2].decode(ENCODING)
        _, group, team, name = line.split(" ")
        if not database.is_up:
            return None
        if (group, name) != (database.cluster.group, database.name):
            writer.write(lines.format_line("ERROR", "WRONGNODE", database.name))
            return None
        if len(database.connections) >= self.limit:
            writer.write(lines.format_line("ERROR", "CONNLIMIT", "full"))
            return None
        connection = group_in_memory.DatabaseConnection(database, "", team)
        connection.on_lost = writer.transport.abort
        await asyncio.sleep(HANDSHAKE_SECONDS)
        writer.write(lines.format_line("READY", "I", "-"))
        return connection

    async def _take_slot(
        self,
        connection: group_in_memory.DatabaseConnection,
        request_id: str,
        text: str,
    ) -> statements.Answer:
        """Run a statement, or reject it if it needs a slot and none is free."""
        database = self.database
        words = text.split(" ", 3)
        if words[2 if words[0] == "AFTER" else 0] not in SLOT_WORDS:
            return await self._run(connection, request_id, text)
        if database.occupied >= database.slots:
            return connection._fail(statements.Failure.BUSY)
        database.occupied += 1
        try:
            return await self._run(connection, request_id, text)
        finally:
            database.occupied -= 1

    async def _run(
        self,
        connection: group_in_memory.DatabaseConnection,
        request_id: str,
        text: str,
    ) -> statements.Answer:
        deadline = clock.read() + STATEMENT_SECONDS
        after = None
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            after = endpoints.parse_position(position)
        word, _, rest = text.partition(" ")
        if word in _CONTROL:
            status = await _CONTROL[word](connection, rest, deadline)
            answer = connection._succeed(request_id)
            answer.rows = [_format_status(status, len(self.database.connections))]
            return answer
        if word == "RESET":
            return await connection.reset(deadline)
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            connection.prepared[name] = (kind == "WRITE", shape)
            return connection._succeed("-")
        if word == "SET":
            name, _, value = rest.partition(" ")
            return (await connection.set_values({name: value}, deadline))[0]
        if word == "ROLLBACK":
            return await connection.roll_back(deadline)
        kind = _KINDS.get(text if word == "BEGIN" else word)
        if kind is None:
            return connection._fail(statements.Failure.MALFORMED)
        statement = statements.Statement(request_id, text, kind)
        if statement.kind is statements.Kind.EXECUTE:
            form = connection.prepared.get(rest.partition(" ")[0])
            if form is None:
                return connection._fail(statements.Failure.UNKNOWN_STATEMENT)
            statement.definition = statements.Definition(*form)
        return await connection.run(statement, deadline, after)


_KINDS = {
    "BEGIN": statements.Kind.BEGIN,
    "BEGIN READ": statements.Kind.BEGIN_READ,
    "COMMIT": statements.Kind.COMMIT,
    "READ": statements.Kind.READ,
    "WRITE": statements.Kind.WRITE,
    "EXECUTE": statements.Kind.EXECUTE,
}
"""Kinds of the statements that callers' requests become, by their words: the stand-in
reads them itself, since the soaks check what the node's own parser has read."""

_CONTROL: dict[str, typing.Callable] = {
    "STATUS": lambda connection, rest, deadline: connection.read_status(deadline),
    "PAUSE": lambda connection, rest, deadline: connection.pause(int(rest), deadline),
    "RESUME": lambda connection, rest, deadline: connection.resume(deadline),
    "STEPDOWN": lambda connection, rest, deadline: connection.step_down(
        int(rest), deadline
    ),
}


def _format_status(status: ports.LogStatus, connections: int) -> str:
    role = "primary" if status.is_primary else "replica"
    position = endpoints.format_position(positions.Position(*status.received))
    paused_term = status.paused_term
    lag = round(status.lag * 1000)
    return f"{role} {status.term} {position} {paused_term} {lag} 0 {connections}"


class StoreServer:
    """Serves the object store and the failover API.

    :param clusters: groups by name.
    :param fault: ``""``, ``busy`` (503), ``silent`` (no answer) or ``losing``
        (writes take effect without an answer).
    :param find_delay: returns the seconds after which a promotion request is executed
        and answered; its sender may be gone by then.
    """

    def __init__(self, clusters: dict[str, group_in_memory.Cluster]) -> None:
        """Create the server of an empty store."""
        self.store = objects_in_memory.Store()
        self.clusters = clusters
        self.fault = ""
        self.port = 0
        self.promotions: list[group_in_memory.PromotionRequest] = []
        self.find_delay: typing.Callable[[], float] = float
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        path = "/api/objects/{kind}"
        app = applications.Starlette(
            routes=[
                routing.Route(path, self._read, methods=["GET"]),
                routing.Route(path, self._write, methods=["POST"]),
                routing.Route(path + "/{name}", self._write, methods=["PUT"]),
                routing.Route(path + "/{name}", self._delete, methods=["DELETE"]),
                routing.Route("/failover", self._promote, methods=["POST"]),
            ]
        )
        config = uvicorn.Config(
            app, log_level="critical", access_log=False, lifespan="off", ws="none"
        )
        server = uvicorn.Server(config)
        server.capture_signals = contextlib.nullcontext
        self._start_task(server.serve(sockets=[listener]))

    def _start_task(self, work: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _answer(self, body: dict) -> responses.Response:
        """Return an answer of the store in its present era."""
        headers = {store.ERA_HEADER: str(self.store.era)}
        return responses.JSONResponse(body, headers=headers)

    def _refuse(self, status: int) -> responses.Response:
        headers = {store.ERA_HEADER: str(self.store.era)}
        return responses.Response(status_code=status, headers=headers)

    async def _apply_fault(self, is_write: bool) -> responses.Response | None:
        if self.fault == "busy":
            return self._refuse(503)
        if self.fault == "silent" or (self.fault == "losing" and is_write):
            await asyncio.sleep(STATEMENT_SECONDS)
            return self._refuse(503)
        return None

    async def _read(self, request: requests.Request) -> responses.Response:
        if (fault := await self._apply_fault(False)) is not None:
            return fault
        client = self.store.connect("")
        kind = request.path_params["kind"]
        query = request.query_params
        if "Watch" not in query:
            changes = await client.list(kind)
            items = [_dump(item) for item in changes.objects]
            revision = objects.find_revision(changes.revision)
            return self._answer(
                {"items": items, "HasMore": False, "StoreRevision": revision}
            )
        try:
            changes = await client.watch(
                kind, int(query["Watch"]), int(query["WaitMs"]) / 1000
            )
        except errors.WatchExpired:
            return self._refuse(410)
        found = [
            {"IsGone": item.value is None, "Object": _dump(item)}
            for item in changes.objects
        ]
        revision = objects.find_revision(changes.revision)
        return self._answer({"events": found, "StoreRevision": revision})

    async def _write(self, request: requests.Request) -> responses.Response:
        if self.fault == "busy":
            return self._refuse(503)
        body = json.loads(await request.body())
        meta = body["meta"]
        client = self.store.connect("")
        kind = request.path_params["kind"]
        try:
            if request.method == "POST":
                stored = await client.create(kind, meta["Name"], body["spec"])
            else:
                stored = await client.update(
                    kind, meta["Name"], body["spec"], meta["Revision"]
                )
        except errors.VersionConflict:
            return self._refuse(409)
        if (fault := await self._apply_fault(True)) is not None:
            return fault
        return self._answer(_dump(stored))

    async def _delete(self, request: requests.Request) -> responses.Response:
        if self.fault == "busy":
            return self._refuse(503)
        client = self.store.connect("")
        path = request.path_params
        version = int(request.query_params["Revision"])
        try:
            await client.delete(path["kind"], path["name"], version)
        except errors.VersionConflict:
            return self._refuse(409)
        if (fault := await self._apply_fault(True)) is not None:
            return fault
        return self._answer({})

    async def _promote(self, request: requests.Request) -> responses.Response:
        body = json.loads(await request.body())
        cluster = self.clusters[body["Service"]]
        holder = request.headers["X-Duty-Holder"]
        token = int(request.headers["X-Fencing-Token"])
        self.promotions.append(
            group_in_memory.PromotionRequest(body["Service"], holder, token)
        )
        answer = asyncio.get_running_loop().create_future()
        self._start_task(self._execute(cluster, body["Id"], answer))
        return responses.Response(status_code=await answer)

    async def _execute(
        self, cluster: group_in_memory.Cluster, name: str, answer: asyncio.Future
    ) -> None:
        """Execute a promotion request, and set the status of its answer."""
        await asyncio.sleep(self.find_delay())
        database = cluster.databases.get(name)
        is_up = database is not None and database.is_up
        if not answer.done():
            answer.set_result(200 if is_up else 409)
        if is_up:
            await cluster.promote(name)


def _dump(stored: typing.Any) -> dict:
    revision = objects.find_revision(stored.version)
    meta = {"Name": stored.name, "Revision": revision}
    return {"meta": meta, "spec": stored.value, "status": None}


class Link:
    """TCP proxy on loopback with injectable faults.

    :param target: port to which connections are forwarded.
    :param delay: added delay in seconds.
    :param is_silent: whether data are discarded in both directions.
    :param on_data: called with data from the near end before they are forwarded.
    :param max_held: seconds after which held data are lost, as at the sender's
        ``TCP_USER_TIMEOUT``; a proxy acknowledges what a partition would not.
    """

    def __init__(
        self,
        target: int,
        on_data: typing.Callable[[bytes], None] = lambda data: None,
    ) -> None:
        """Create the proxy; :meth:`start` assigns the port."""
        self.on_data = on_data
        self.max_held = float("inf")
        self._held: dict[bool, asyncio.Event] = {}
        self.target = target
        self.port = 0
        self.delay = 0.0
        self.is_silent = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Discard all data on the open connections for good; new ones work."""
        self._silenced |= self._writers

    def hold(self, is_outward: bool) -> None:
        """Hold data on their way, as a partition does until it heals.

        A connection that is reset meanwhile loses what is held of it.

        :param is_outward: whether to hold those from the near end, or those to it.
        """
        self._held.setdefault(is_outward, asyncio.Event())

    def release(self) -> None:
        """Deliver what was held."""
        for event in self._held.values():
            event.set()
        self._held = {}

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, True),
            self._forward(target_reader, writer, False),
        )
        self._writers -= {writer, target_writer}
        self._silenced -= {writer, target_writer}

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_outward: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if is_outward:
                    self.on_data(data)
                if self.delay:
                    await asyncio.sleep(self.delay)
                await self._wait_while_held(reader, is_outward)
                if not self.is_silent and writer not in self._silenced:
                    writer.write(data)
            await self._wait_while_held(reader, is_outward)
            writer.close()
            return
        writer.transport.abort()

    async def _wait_while_held(
        self, reader: asyncio.StreamReader, is_outward: bool
    ) -> None:
        """Wait while data are held.

        :raises OSError: their sender has reset the connection.
        """
        event = self._held.get(is_outward)
        ends_at = clock.read() + self.max_held
        while event is not None and not event.is_set():
            if reader.exception() is not None:
                raise reader.exception()
            if is_outward and clock.read() > ends_at:
                raise TimeoutError("held for too long")
            await asyncio.sleep(HOLD_CHECK_INTERVAL)
