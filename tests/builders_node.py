"""A fleet of nodes in one loop with virtual time, and fakes of what they use.

The store, the databases and the datagrams between nodes live in memory; each can be
cut off, slowed down or made to lose answers by name.
"""

import asyncio
import contextlib
import selectors
import typing

import anyio

from sardinehold import errors
from sardinehold import metrics
from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import node as nodes
from sardinehold.node import peers
from sardinehold.node import ports
from sardinehold.node import session as sessions
from sardinehold.node import settings
from sardinehold.node import statements

CONFIG_KIND = "configuration"
ENDPOINT_KIND = "endpoints"

ZONES = {"north": "n", "middle": "m", "south": "s"}

Kind = statements.Kind


class VirtualSelector(selectors.SelectSelector):
    """Lets time pass at once when there is nothing to do."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop whose clock is virtual."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def run(monkeypatch, function, *arguments):
    """Run a coroutine function in virtual time."""
    monkeypatch.setattr(clock, "read", lambda: asyncio.get_running_loop().time())
    return anyio.run(
        function, *arguments, backend_options={"loop_factory": VirtualLoop}
    )


class Store:
    """Objects in memory, with watches and faults.

    :param delay: seconds of an answer.
    :param cut: names of nodes that it does not answer.
    :param losing: names of nodes whose writes are done and not answered.
    """

    def __init__(self, delay: float = 0.004) -> None:
        self.delay = delay
        self.cut: set[str] = set()
        self.losing: set[str] = set()
        self.revision = 1
        self.objects: dict[tuple[str, str], objects.StoredObject] = {}
        self.history: list[objects.StoredObject] = []
        self.oldest = 0
        self.changed = asyncio.Event()
        self.calls: dict[str, int] = {}

    def put(self, kind: str, name: str, value: typing.Any) -> objects.StoredObject:
        self.revision += 1
        stored = objects.StoredObject(kind, name, self.revision, value)
        if value is None:
            self.objects.pop((kind, name), None)
        else:
            self.objects[kind, name] = stored
        self.history.append(stored)
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    def forget_history(self) -> None:
        self.oldest = self.revision

    def connect(self, node: str) -> "StoreClient":
        return StoreClient(self, node)


class StoreClient:
    """The store as one node reaches it."""

    def __init__(self, store: Store, node: str) -> None:
        self.store = store
        self.node = node

    async def _call(self, name: str) -> None:
        self.store.calls[name] = self.store.calls.get(name, 0) + 1
        await asyncio.sleep(self.store.delay)
        if self.node in self.store.cut:
            await asyncio.sleep(1.0)
            raise errors.PlatformUnavailable("The store is cut off.", "Wait.")

    async def _answer(self) -> None:
        if self.node in self.store.losing:
            await asyncio.sleep(1.0)
            raise errors.PlatformUnavailable("The answer was lost.", "Look again.")

    async def list(self, kind: str) -> objects.Changes:
        await self._call("list")
        found = [
            item for (other, _), item in self.store.objects.items() if other == kind
        ]
        return objects.Changes(found, self.store.revision)

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        await self._call("watch")
        if revision < self.store.oldest:
            raise errors.WatchExpired("The revision is gone.", "List again.")
        deadline = clock.read() + wait
        while True:
            found = [
                objects.StoredObject(kind, item.name, item.version, item.value)
                for item in self.store.history
                if item.kind == kind and item.version > revision
            ]
            remaining = deadline - clock.read()
            if found or remaining <= 0:
                if self.node in self.store.cut:
                    raise errors.PlatformUnavailable("The watch was cut.", "Wait.")
                return objects.Changes(found, self.store.revision)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self.store.changed.wait()

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        await self._call("create")
        if (kind, name) in self.store.objects:
            raise errors.VersionConflict("It exists.", "Read it.")
        stored = self.store.put(kind, name, value)
        await self._answer()
        return stored

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        await self._call("update")
        held = self.store.objects.get((kind, name))
        if held is None or held.version != version:
            raise errors.VersionConflict("Another version.", "Read it.")
        if held.value == value:
            return held
        stored = self.store.put(kind, name, value)
        await self._answer()
        return stored

    async def delete(self, kind: str, name: str, version: int) -> None:
        await self._call("delete")
        self.store.put(kind, name, None)


class Run:
    """A statement as a database ran it."""

    def __init__(self, database: str, request_id: str, log: int, at: float) -> None:
        self.database = database
        self.request_id = request_id
        self.log = log
        self.at = at


class Database:
    """One database of a cluster."""

    def __init__(self, cluster: "Cluster", name: str, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.log: list[tuple[int, str]] = []
        self.applied = 0
        self.paused_term = 0
        self.is_up = True
        self.is_deaf = False
        self.lag = 0.0
        self.work = 0.005
        self.unreachable: set[str] = set()
        self.swallows: set[str] = set()
        self.connections: set[DatabaseConnection] = set()

    @property
    def position(self) -> positions.Position:
        term = self.log[-1][0] if self.log else 1
        return positions.Position(max(term, 1), len(self.log))

    def crash(self) -> None:
        self.is_up = False
        for connection in list(self.connections):
            connection.break_off()

    def status(self) -> ports.LogStatus:
        return ports.LogStatus(
            self.is_primary, self.term, self.position, self.paused_term, self.lag
        )


class Cluster:
    """The databases of one group, and who leads."""

    def __init__(self, group: str, zones: tuple[str, ...] = tuple(ZONES)) -> None:
        self.group = group
        self.databases = {
            f"{group}-{index}": Database(self, f"{group}-{index}", zone)
            for index, zone in enumerate(zones)
        }
        first = next(iter(self.databases.values()))
        first.is_primary = True
        self.acknowledged: list[str] = []
        self.ran: list[Run] = []
        self.promotions: list[tuple[str, int, str]] = []
        self.promote_delay = 0.6

    @property
    def primary(self) -> Database:
        leaders = [item for item in self.databases.values() if item.is_primary]
        return max(leaders, key=lambda item: item.term)

    async def replicate(self, primary: Database, request_id: str) -> bool:
        """Commit on the primary; return whether a replica has received it."""
        primary.log.append((primary.term, request_id))
        primary.applied = len(primary.log)
        while primary.is_up and primary.is_primary:
            reached = False
            for replica in self.databases.values():
                if replica is primary or not replica.is_up or replica.is_deaf:
                    continue
                if replica.paused_term or replica.term > primary.term:
                    continue
                replica.is_primary = False
                replica.log = list(primary.log)
                replica.term = primary.term
                asyncio.get_running_loop().call_later(
                    replica.lag, self._apply, replica, len(replica.log)
                )
                reached = True
            if reached:
                return True
            await asyncio.sleep(0.02)
        return False

    @staticmethod
    def _apply(replica: Database, length: int) -> None:
        replica.applied = max(replica.applied, length)

    async def promote(self, name: str) -> None:
        await asyncio.sleep(self.promote_delay)
        target = self.databases[name]
        target.term = max(item.term for item in self.databases.values()) + 1
        target.is_primary = True
        target.paused_term = 0
        target.applied = len(target.log)
        for other in self.databases.values():
            if other is not target and other.is_up and not other.paused_term:
                other.log = other.log[: len(target.log)]


class DatabaseConnection:
    """A node's connection to a database."""

    def __init__(self, database: Database, node: str, team: str) -> None:
        self.database = database
        self.node = node
        self.team = team
        self.on_lost = None
        self.is_closed = False
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.writes: list[str] | None = None
        self._broken = asyncio.Event()
        database.connections.add(self)

    def break_off(self) -> None:
        if self.is_closed:
            return
        self.is_closed = True
        self.database.connections.discard(self)
        self._broken.set()
        if self.on_lost is not None:
            self.on_lost()

    def close(self) -> None:
        self.is_closed = True
        self.on_lost = None
        self.database.connections.discard(self)

    async def _work(self, seconds: float, deadline: float) -> None:
        if self.is_closed:
            raise ports.ConnectionLost(False)
        if self.node in self.database.unreachable:
            seconds = 1e6
        try:
            async with asyncio.timeout(max(0.0, min(seconds, deadline - clock.read()))):
                await self._broken.wait()
        except TimeoutError:
            if seconds > deadline - clock.read() + seconds:
                self.break_off()
                raise ports.ConnectionLost(True, is_timeout=True) from None
            if clock.read() >= deadline:
                self.break_off()
                raise ports.ConnectionLost(True, is_timeout=True) from None
            return
        raise ports.ConnectionLost(True)

    def _fail(self, failure: statements.Failure) -> statements.Answer:
        status = "I" if self.writes is None else "E"
        return statements.Answer(
            [], error=failure, status=status, position=self.database.position
        )

    def _succeed(self, request_id: str) -> statements.Answer:
        database = self.database
        if request_id in database.swallows:
            raise ports.ConnectionLost(True)
        applied = positions.Position(database.position.term, database.applied)
        return statements.Answer(
            ["row"],
            f"signed {database.name} {request_id}",
            status="I" if self.writes is None else "T",
            position=applied,
        )

    async def run(self, statement, deadline, after=None):
        database = self.database
        await self._work(database.work, deadline)
        kind = statement.kind
        if after is not None and (
            database.applied < after.offset or database.position.term < after.term
        ):
            return self._fail(statements.Failure.LAGGING)
        if kind is Kind.BEGIN and not database.is_primary:
            return self._fail(statements.Failure.READ_ONLY)
        if kind in (Kind.BEGIN, Kind.BEGIN_READ):
            self.writes = []
            return self._succeed(statement.request_id)
        if kind is Kind.EXECUTE and (
            statement.definition.shared_name not in self.prepared
        ):
            return self._fail(statements.Failure.UNKNOWN_STATEMENT)
        database.cluster.ran.append(
            Run(database.name, statement.request_id, database.applied, clock.read())
        )
        if kind is Kind.COMMIT:
            return await self._commit(statement.request_id, deadline)
        if not statements.is_write(statement):
            return self._succeed(statement.request_id)
        if not database.is_primary:
            return self._fail(statements.Failure.READ_ONLY)
        if self.writes is not None:
            self.writes.append(statement.request_id)
            return self._succeed(statement.request_id)
        self.writes = [statement.request_id]
        return await self._commit(statement.request_id, deadline)

    async def _commit(self, request_id: str, deadline: float) -> statements.Answer:
        writes, self.writes = self.writes, None
        database = self.database
        if not writes:
            return self._succeed(request_id)
        if not database.is_primary:
            return self._fail(statements.Failure.READ_ONLY)
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.read())):
                done = await database.cluster.replicate(database, request_id)
        except TimeoutError:
            self.break_off()
            raise ports.ConnectionLost(True, is_timeout=True) from None
        if not done:
            raise ports.ConnectionLost(True)
        answer = self._succeed(request_id)
        database.cluster.acknowledged.append(request_id)
        return answer

    async def roll_back(self, deadline):
        await self._work(0.001, deadline)
        self.writes = None
        return self._succeed("-")

    async def reset(self, deadline):
        self.values, self.prepared = {}, set()
        return self._succeed("-")

    async def set_values(self, values, deadline):
        self.values.update(values)
        return [self._succeed("-")]

    async def prepare(self, definitions, deadline):
        self.prepared.update(item.shared_name for item in definitions)
        return [self._succeed("-")]

    async def read_status(self, deadline):
        await self._work(0.001, deadline)
        return self.database.status()

    async def pause(self, term, deadline):
        await self._work(0.001, deadline)
        self.database.paused_term = term
        return self.database.status()

    async def resume(self, deadline):
        await self._work(0.001, deadline)
        self.database.paused_term = 0
        self.database.log = list(self.database.cluster.primary.log)
        self.database.applied = len(self.database.log)
        self.database.term = self.database.cluster.primary.term
        return self.database.status()

    async def step_down(self, term, deadline):
        await self._work(0.001, deadline)
        self.database.is_primary = False
        return self.database.status()


class Connector:
    """Opens connections for one node."""

    def __init__(self, world: "World", node: str) -> None:
        self.world = world
        self.node = node

    async def open(self, record, team, deadline):
        database = self.world.find_database(record.name)
        if database is None or not database.is_up:
            await asyncio.sleep(0.005)
            raise ports.OpeningFailed(None, "connection refused")
        if self.node in database.unreachable:
            await asyncio.sleep(max(0.0, deadline - clock.read()))
            raise ports.OpeningFailed(None, "no answer")
        await asyncio.sleep(0.012)
        limit = self.world.connection_limit
        if len(database.connections) >= limit:
            raise ports.OpeningFailed(statements.Failure.CONNECTION_LIMIT)
        return DatabaseConnection(database, self.node, team)


class Duty:
    """Takes orders to promote, and keeps who gave them."""

    def __init__(self, world: "World") -> None:
        self.world = world

    async def promote(self, group, endpoint, holder, token):
        cluster = self.world.clusters[group]
        cluster.promotions.append((holder, token, endpoint))
        await asyncio.sleep(0.005)
        if not cluster.databases[endpoint].is_up:
            raise errors.PlatformError("It is not running.", "Choose another.")
        self.world.tasks.start_soon(cluster.promote, endpoint)


class Datagrams(peers.Peers):
    """Delivers datagrams in memory."""

    def __init__(self, world: "World", node: str, receive: peers.Receive) -> None:
        super().__init__(receive)
        self.world = world
        self.node = node

    def send(self, message, address):
        if not self.key or self.world.is_cut(self.node, address[0]):
            return
        target = self.world.nodes.get(address[0])
        if target is not None:
            asyncio.get_running_loop().call_later(
                0.008, target.peers._receive, message, (self.node, 1)
            )


class Sources:
    """Configuration and endpoints as the tests store them: objects, unencoded."""

    configuration_kind = CONFIG_KIND
    configuration_name = "main"
    endpoint_kind = ENDPOINT_KIND

    @staticmethod
    def parse_catalog(value):
        return make_catalog(**value)

    @staticmethod
    def parse_endpoint(name, value):
        return value


def make_catalog(
    version: int = 1,
    rate: float = 1000.0,
    burst: float = 1000.0,
    keys: dict[str, str] | None = None,
    timeout: float = 1.0,
    connections: int = 21,
) -> catalog.Catalog:
    """Return a configuration with one route of each kind to one group."""
    kinds = catalog.Consistency
    routes = {
        "latest": catalog.Route("latest", "g", kinds.LATEST, 0.0, timeout),
        "bounded": catalog.Route("bounded", "g", kinds.BOUNDED, 1.5, timeout),
        "session": catalog.Route("session", "g", kinds.SESSION, 2.5, timeout),
    }
    return catalog.Catalog(
        version,
        routes,
        {"red": catalog.Team("red", rate, burst), "blue": catalog.Team("blue", 50, 50)},
        {"red-key": "red", "blue-key": "blue"} if keys is None else keys,
        {"g": catalog.Group("g", connections, 1)},
        3.0,
    )


class World:
    """Nodes, store and databases together."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.store = Store()
        self.clusters = {"g": Cluster("g")}
        self.nodes: dict[str, nodes.Node] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.connection_limit = 21
        self.cuts: set[frozenset[str]] = set()
        self._requests = 0

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def find_database(self, name: str) -> Database | None:
        for cluster in self.clusters.values():
            if name in cluster.databases:
                return cluster.databases[name]
        return None

    def publish(self, **configuration: object) -> None:
        self.store.put(CONFIG_KIND, "main", {"version": 1, **configuration})

    def publish_endpoint(self, name: str, **changes: object) -> None:
        database = self.find_database(name)
        fields = {"slots": 3, "says_primary": database.is_primary, **changes}
        record = catalog.EndpointRecord(
            name, database.cluster.group, name, 1, database.zone, **fields
        )
        self.store.put(ENDPOINT_KIND, name, record)

    def start_node(self, name: str, zone: str = "north") -> nodes.Node:
        loaded = settings.Settings(
            name, zone, ZONES, ("", 1), ("", 1), (name, 1), 0, ("", 1), ("", 1)
        )
        node = nodes.Node(
            loaded,
            self.store.connect(name),
            Connector(self, name),
            Duty(self),
            Sources(),
            self.tasks,
            metrics.Registry(),
        )
        node.peers = Datagrams(self, name, node.exchange.hear)
        self.nodes[name] = node
        scope = self.scopes[name] = anyio.CancelScope()

        async def run_node() -> None:
            with scope:
                await node.run()

        self.tasks.start_soon(run_node)
        return node

    def kill_node(self, name: str) -> None:
        self.scopes[name].cancel()
        del self.nodes[name]
        for cluster in self.clusters.values():
            for database in cluster.databases.values():
                for connection in list(database.connections):
                    if connection.node == name:
                        connection.close()

    async def start(self, count: int = 3, **configuration: object) -> None:
        """Start a fleet and wait until it serves."""
        self.publish(**configuration)
        for cluster in self.clusters.values():
            for name in cluster.databases:
                self.publish_endpoint(name)
        zones = list(ZONES)
        for index in range(count):
            self.start_node(f"n{index}", zones[index % len(zones)])
        await asyncio.sleep(4.0)

    def open(self, node: str, route: str = "session", key: str = "red-key") -> "Client":
        return Client(self, sessions.Session(self.nodes[node], route, key))

    def make_id(self) -> str:
        self._requests += 1
        return f"r{self._requests}"

    def find_leader(self) -> str:
        leaders = [
            name
            for name, node in self.nodes.items()
            if node.leadership.leads(clock.read())
        ]
        assert len(leaders) <= 1
        return leaders[0] if leaders else ""


class Client:
    """A caller in front of one node."""

    def __init__(self, world: World, session: sessions.Session) -> None:
        self.world = world
        self.session = session
        self.is_closed = False
        session.node.callers.add(self)

    def is_resting(self) -> bool:
        return not self.session.is_busy and self.session.status == "I"

    def close(self) -> None:
        self.is_closed = True
        self.session.node.callers.discard(self)

    async def send(self, kind: statements.Kind, **parts: object) -> statements.Answer:
        request_id = self.world.make_id()
        statement = statements.Statement(request_id, kind.value, kind, **parts)
        return await self.session.node.serve(self.session, statement)

    async def read(self) -> statements.Answer:
        return await self.send(Kind.READ)

    async def write(self) -> statements.Answer:
        return await self.send(Kind.WRITE)


def play(monkeypatch, story, count: int = 3, **configuration: object) -> None:
    """Start a fleet, run ``story(world)`` in virtual time, and stop."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            world = World(tasks)
            await world.start(count, **configuration)
            await story(world)
            tasks.cancel_scope.cancel()

    run(monkeypatch, main)
