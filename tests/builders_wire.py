"""Test doubles of the data path's surroundings: engine, endpoint, caller."""

import asyncio
import contextlib
import random
import struct

import anyio

from sardinehold import answers
from sardinehold import callers
from sardinehold import datapath
from sardinehold import document
from sardinehold import errors
from sardinehold import metrics
from sardinehold import wire
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import statements
from sardinehold.core import view as views

KEY = "shk_aa_good"
HOST = "127.0.0.1"


class FakeEngine:
    """Engine with minimal decisions that records its events."""

    def __init__(self):
        self.events = []
        self.idle = []
        self.waiting = []
        self.traits = {}
        self.pinned = {}
        self.running = {}
        self.setup = ()
        self.retries = 0
        self.connections = 0
        self.held = []
        self.hold = False
        self.delay = 0.0

    def handle(self, now, event):
        self.events.append(event)
        handler = getattr(self, f"on_{type(event).__name__}", None)
        return handler(now, event) if handler else []

    def find_events(self, kind):
        return [event for event in self.events if type(event) is kind]

    def on_SessionOpened(self, now, event):  # noqa: N802
        if event.key not in ("", KEY):
            error = errors.AuthenticationError("Wrong key.", "Ask for a key.")
            return [actions.SessionRefused(event.session_id, error, now + self.delay)]
        return [actions.SessionAccepted(event.session_id, "desk", event.token)]

    def on_RequestArrived(self, now, event):  # noqa: N802
        traits = event.traits
        ids = event.request_id, event.session_id
        if traits.refusal:
            return [actions.Refuse(*ids, errors.Unsupported(traits.refusal, "Stop."))]
        if traits.setting.startswith("sardinehold."):
            if traits.kind is statements.Kind.SHOW:
                return [actions.AnswerLocally(*ids, "SHOW", traits.setting, "v")]
            return [actions.AnswerLocally(*ids, "SET")]
        self.traits[event.request_id] = traits
        if event.session_id in self.pinned:
            return [self._dispatch(event, self.pinned[event.session_id])]
        if self.idle:
            return [self._dispatch(event, self.idle.pop())]
        self.waiting.append(event)
        self.connections += 1
        return [actions.OpenConnection(self.connections, "e1", now + 5)]

    def _dispatch(self, event, connection_id):
        kinds = (statements.Kind.READ, statements.Kind.BEGIN)
        self.running[event.request_id] = connection_id
        setup, self.setup = self.setup, ()
        return actions.Dispatch(
            event.request_id,
            event.session_id,
            connection_id,
            "e1",
            setup,
            event.traits.kind not in kinds,
        )

    def on_ConnectionOpened(self, now, event):  # noqa: N802
        return [self._dispatch(self.waiting.pop(0), event.connection_id)]

    def on_ConnectionFailed(self, now, event):  # noqa: N802
        return [self._refuse_waiting()]

    def _refuse_waiting(self):
        event = self.waiting.pop(0)
        error = errors.EndpointUnavailable("No endpoint.", "Wait.")
        return actions.Refuse(event.request_id, event.session_id, error)

    def on_DispatchFailed(self, now, event):  # noqa: N802
        arrived = self._find(event.request_id)
        del self.running[event.request_id]
        self.waiting.append(arrived)
        self.connections += 1
        return [actions.OpenConnection(self.connections, "e1", now + 5)]

    def _find(self, request_id):
        found = self.find_events(events.RequestArrived)
        return next(item for item in found if item.request_id == request_id)

    def on_ConnectionLost(self, now, event):  # noqa: N802
        refusals = []
        for session_id, connection_id in list(self.pinned.items()):
            if connection_id == event.connection_id:
                del self.pinned[session_id]
        for request_id, connection_id in list(self.running.items()):
            if connection_id != event.connection_id:
                continue
            arrived = self._find(request_id)
            error = errors.OutcomeUnknown("Connection lost.", "Read it back.")
            refusals.append(actions.Refuse(request_id, arrived.session_id, error))
            del self.running[request_id]
        return refusals

    def on_RequestAnswered(self, now, event):  # noqa: N802
        arrived = self._find(event.request_id)
        if self.retries and event.sqlstate:
            self.retries -= 1
            return [self._dispatch(arrived, event.connection_id)]
        traits = self.traits.pop(event.request_id)
        self.running.pop(event.request_id, None)
        if event.status == "I":
            self.pinned.pop(arrived.session_id, None)
            self.idle.append(event.connection_id)
        else:
            self.pinned[arrived.session_id] = event.connection_id
        token = "t1" if traits.kind is statements.Kind.WRITE else ""
        action = actions.Acknowledge(event.request_id, arrived.session_id, token)
        if self.hold:
            self.held.append(action)
            return []
        return [action]

    def on_RequestCancelled(self, now, event):  # noqa: N802
        found = next(iter(self.connections_in_use()), 0)
        return [actions.CancelStatement(found)]

    def connections_in_use(self):
        return [n for n in range(1, self.connections + 1) if n not in self.idle]


class FakeControl:
    """Control plane that records its actions."""

    def __init__(self):
        self.actions = []

    def handle(self, action):
        self.actions.append(action)


class FakeEndpoint(asyncio.Protocol):
    """Endpoint whose answers depend on words in the statement.

    ``SELECT 'ROWS', N, SIZE`` returns N rows of SIZE bytes, ``FAIL`` an error, and
    ``HANG`` nothing until a cancel request; ``DIE`` closes the connection.
    """

    def __init__(self, server):
        self.server = server
        self.buffer = b""
        self.started = False
        self.is_tls_starting = False
        self.out = []
        self.status = b"I"
        self.prepared = {}
        self.portal = ""
        self.failed = False

    def connection_made(self, transport):
        self.transport = transport
        self.server.transports.append(transport)

    def data_received(self, data):
        self.buffer += data
        if self.is_tls_starting or not self.buffer:
            return
        if not self.started:
            self._start()
        while len(self.buffer) >= 5 and self.started and self.status != b"?":
            stop = wire.find_end(self.buffer, 0, len(self.buffer))
            if not stop:
                return
            message, self.buffer = self.buffer[:stop], self.buffer[stop:]
            self.server.messages.append(message)
            self.answer(message[:1], message[5:])

    def _start(self):
        length, code = struct.unpack_from("!ii", self.buffer)
        packet, self.buffer = self.buffer[:length], self.buffer[length:]
        if code == wire.CANCEL_CODE:
            self.server.cancel(struct.unpack_from("!ii", packet, 8))
            self.transport.close()
            return
        if code == wire.TLS_CODE:
            self.transport.write(b"S" if self.server.tls else b"N")
            if self.server.tls:
                self.is_tls_starting = True
                self.server.task = asyncio.create_task(self._secure())
            return
        self.server.startups.append(packet)
        if self.server.full:
            fields = b"SFATAL\0C53300\0Mno room\0\0"
            self.transport.write(wire.build_frame(b"E", fields))
            self.transport.close()
            return
        self.started = True
        self.number = len(self.server.startups)
        self.server.connections[self.number] = self
        self.transport.write(
            wire.build_authentication(0)
            + wire.build_parameter("server_version", "15.9")
            + wire.build_key_data(self.number, 7)
            + wire.build_ready("I")
        )

    async def _secure(self):
        loop = asyncio.get_running_loop()
        self.transport = await loop.start_tls(
            self.transport, self, self.server.tls, server_side=True
        )
        self.is_tls_starting = False
        self.data_received(b"")

    def answer(self, kind, payload):
        """Answer a message; answers to extended ones are sent at a Flush or Sync."""
        self.build(kind, payload)
        if kind in (b"S", b"H", b"Q"):
            self.flush()

    def flush(self):
        self.transport.write(b"".join(self.out))
        self.out.clear()

    def build(self, kind, payload):
        if kind == b"S":
            self.failed = False
            self.out.append(wire.build_ready(self.status.decode()))
        elif self.failed:
            return
        elif kind == b"Q":
            self.run(payload[:-1].decode(), True)
            self.failed = False
            if self.status != b"?":
                self.out.append(wire.build_ready(self.status.decode()))
        elif kind == b"P":
            name, text, _ = payload.split(b"\0", 2)
            if name and name in self.prepared:
                self.fail("42P05")
                return
            self.prepared[name] = text.decode()
            self.out.append(wire.PARSE_COMPLETE)
        elif kind == b"B":
            name = payload.split(b"\0", 2)[1]
            self.portal = self.prepared.get(name)
            if self.portal is None:
                self.fail("26000")
                return
            self.out.append(wire.BIND_COMPLETE)
        elif kind == b"D":
            if payload[:1] == b"S":
                self.out.append(wire.build_frame(b"t", b"\0\0"))
            self.out.append(wire.build_row_description(["text"]))
        elif kind == b"C":
            self.prepared.pop(payload[1:-1], None)
            self.out.append(wire.CLOSE_COMPLETE)
        elif kind == b"E":
            self.run(self.portal, False)

    def fail(self, sqlstate):
        self.failed = True
        fields = b"SERROR\0C" + sqlstate.encode() + b"\0Mfailed\0\0"
        self.out.append(wire.build_frame(b"E", fields))

    def run(self, sql, describe):
        self.server.statements_run.append(sql)
        words = sql.replace("'", " ").replace(",", " ").split()
        if sql == answers.STATUS_QUERY:
            self.server.statements_run.pop()
            columns = ["endpoint", "role", "term", "received", "applied"]
            rows = [("e1", "primary", "2", "9", "9"), ("e2", "replica", "2", "8", "7")]
        elif "FAIL" in words:
            self.fail("22012")
            return
        elif "HANG" in words:
            self.status = b"?"
            return
        elif "DIE" in words:
            self.transport.abort()
            return
        elif "ROWS" in words:
            count, size = int(words[2]), int(words[3])
            columns, rows = ["text"], [("x" * size,)] * count
        else:
            columns, rows = ["text"], [(sql,)]
        if words[:2] == ["DISCARD", "ALL"]:
            self.prepared.clear()
        if words[0] == "BEGIN":
            self.status = b"T"
        elif words[0] in ("COMMIT", "ROLLBACK"):
            self.status = b"I"
        if describe:
            self.out.append(wire.build_row_description(columns))
        for row in rows:
            self.out.append(wire.build_row(row))
        self.out.append(wire.build_complete(f"SELECT {len(rows)}"))


class FakeServer:
    """Listening side of the fake endpoint; records what it received."""

    def __init__(self):
        self.messages = []
        self.startups = []
        self.statements_run = []
        self.transports = []
        self.connections = {}
        self.cancels = []
        self.full = False
        self.status_after_cancel = "I"
        self.tls = None

    def make(self):
        return FakeEndpoint(self)

    def cancel(self, keys):
        self.cancels.append(keys)
        connection = self.connections[keys[0]]
        if connection.status == b"?":
            connection.status = self.status_after_cancel.encode()
            connection.fail("57014")
            connection.failed = False
            connection.out.append(wire.build_ready(self.status_after_cancel))
            connection.flush()
            connection.data_received(b"")


def build_view(port, tls=None):
    endpoint = document.Endpoint("e1", HOST, port, "dallas")
    group = document.Group("letters", (endpoint,), slots=3, connections=20)
    routes = {
        "letters": document.Route("letters", "letters", ("desk",)),
        "public": document.Route("public", "letters", open=True, rate=10, burst=10),
    }
    content = document.Document(1, "me", "test", {}, {"letters": group}, routes)
    return views.View(1, content, {})


class Fleet:
    """Data path with a fake engine, in front of a fake endpoint."""

    def __init__(self, engine, server, path, port):
        self.engine = engine
        self.server = server
        self.path = path
        self.port = port

    async def connect(self, route="letters", key=KEY, options="", **parameters):
        caller = await Caller.open(self.port)
        caller.write(
            wire.build_startup(
                {"user": "me", "database": route, "options": options, **parameters}
            )
        )
        if route != "public":
            await caller.read_until(b"R")
            caller.write(wire.build_frame(b"p", key.encode() + b"\0"))
        caller.greeting = await caller.read_until(b"Z", b"E")
        return caller


class Caller:
    """Caller that sends and reads single protocol messages."""

    @classmethod
    async def open(cls, port):
        caller = cls()
        caller.reader, caller.writer = await asyncio.open_connection(HOST, port)
        return caller

    def write(self, data):
        self.writer.write(data)

    async def read_frame(self):
        header = await self.reader.readexactly(5)
        (length,) = struct.unpack_from("!i", header, 1)
        return header[:1], await self.reader.readexactly(length - 4)

    async def read_until(self, *kinds):
        frames = []
        while not frames or frames[-1][0] not in kinds:
            frames.append(await self.read_frame())
        return frames

    async def ask(self, sql):
        self.write(wire.build_query(sql))
        return await self.read_until(b"Z")

    async def send(self, *messages):
        self.write(b"".join(messages) + wire.SYNC)
        return await self.read_until(b"Z")

    def close(self):
        self.writer.close()


def kinds(frames):
    return b"".join(kind for kind, _ in frames).decode()


def read_error(frames):
    payload = next(payload for kind, payload in frames if kind == b"E")
    return {field[:1].decode(): field[1:].decode() for field in payload.split(b"\0")}


def parse(name, sql):
    payload = name.encode() + b"\0" + sql.encode() + b"\0\0\0"
    return wire.build_frame(b"P", payload)


def bind(name):
    return wire.build_frame(b"B", b"\0" + name.encode() + b"\0\0\0\0\0\0\0")


def describe(name):
    return wire.build_frame(b"D", b"S" + name.encode() + b"\0")


def close(name):
    return wire.build_frame(b"C", b"S" + name.encode() + b"\0")


EXECUTE = wire.build_frame(b"E", b"\0\0\0\0\0")
FLUSH = wire.FLUSH


@contextlib.asynccontextmanager
async def run_path(tls=None, view_tls=None):
    """Run a data path and a fake endpoint on free ports."""
    loop = asyncio.get_running_loop()
    engine, server = FakeEngine(), FakeServer()
    listening = await loop.create_server(server.make, HOST, 0)
    port = listening.sockets[0].getsockname()[1]
    async with anyio.create_task_group() as group:
        path = datapath.DataPath(
            engine, FakeControl(), group.start_soon, metrics.Registry()
        )
        path.deliver(events.ViewChanged(build_view(port)))
        serving = await loop.create_server(lambda: callers.Caller(path, tls), HOST, 0)
        with anyio.fail_after(20):
            yield Fleet(engine, server, path, serving.sockets[0].getsockname()[1])
        serving.close()
        path.close()
        listening.close()
        group.cancel_scope.cancel()


def build_random(seed):
    """Return a random generator with a fixed seed."""
    return random.Random(seed)
