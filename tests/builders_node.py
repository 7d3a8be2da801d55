"""A fleet of nodes on one event loop with virtual time, and fakes of its dependencies.

The store, the databases and the datagrams between nodes are in memory. Each can be
disconnected, slowed down or made to lose answers by name.
"""

import asyncio
import json
import random
import selectors

import anyio

from sardinehold import errors
from sardinehold import metrics
from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import evacuations
from sardinehold.node import forwarding
from sardinehold.node import node as nodes
from sardinehold.node import peers
from sardinehold.node import ports
from sardinehold.node import reports
from sardinehold.node import session as sessions
from sardinehold.node import settings
from sardinehold.node import statements
from sardinehold_standins import group_in_memory
from sardinehold_standins import objects_in_memory

CONFIG_KIND = "configuration"
ENDPOINT_KIND = "endpoints"
EVACUATION_KIND = "evacuations"

SEED = 1
"""Seed of the nodes' random numbers, such as jitter."""

MAX_NODES = 30
"""Highest number of nodes in a test; their jitter fractions are spread from 0 to 1."""

LINK_DELAY = 0.002
"""Seconds that data takes from one node to another over a link."""

ZONES = {"north": "n", "middle": "m", "south": "s"}

Kind = statements.Kind


class VirtualSelector(selectors.SelectSelector):
    """Selector that advances virtual time immediately when nothing is ready."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        found = super().select(0)
        if not found and timeout:
            self.now += timeout
        return found


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock."""

    def __init__(self) -> None:
        self.selector = VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def run(monkeypatch, function, *arguments):
    """Run a coroutine function in virtual time."""
    random.seed(SEED)
    monkeypatch.setattr(clock, "read", lambda: asyncio.get_running_loop().time())
    return anyio.run(
        function, *arguments, backend_options={"loop_factory": VirtualLoop}
    )


class Connector:
    """Opens database connections for one node."""

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
        return self.world.connect(database, self.node, team)


class Duty:
    """Executes promotion requests and records who sent them."""

    def __init__(self, world: "World") -> None:
        self.world = world

    async def promote(self, group, endpoint, holder, token, deadline):
        world = self.world
        cluster = world.clusters[group]
        if world.connect_delays:
            await asyncio.sleep(world.connect_delays.pop(0))
            if clock.read() >= deadline:
                raise errors.PlatformError("It was not sent.", "It is repeated.")
        cluster.promotions.append((holder, token, endpoint))
        world.promotions.append(group_in_memory.PromotionRequest(group, holder, token))
        delay = world.request_delays.pop(0) if world.request_delays else 0.005
        world.tasks.start_soon(self._execute, cluster, endpoint, delay)
        world.requesting.append(holder)
        try:
            await asyncio.sleep(min(delay, deadline - clock.read()))
        finally:
            world.requesting.remove(holder)
        if clock.read() >= deadline:
            raise errors.PlatformUnavailable("No answer.", "Check the endpoint.")
        if not cluster.databases[endpoint].is_up:
            raise errors.PlatformError("It is not running.", "Choose another.")

    @staticmethod
    async def _execute(cluster, endpoint, delay):
        """Execute a request, also if its sender no longer waits for the answer."""
        await asyncio.sleep(delay)
        if cluster.databases[endpoint].is_up:
            await cluster.promote(endpoint)


def fits_datagram(message: dict) -> bool:
    """Return whether a message can be sent as one datagram."""
    return len(peers.pack(json.dumps(message).encode())) <= peers.MAX_DATAGRAM


class Datagrams(peers.Peers):
    """Delivers datagrams in memory."""

    def __init__(self, world: "World", node: str, receive: peers.Receive) -> None:
        super().__init__(receive, lambda *_, **__: None)
        self.world = world
        self.node = node

    def send(self, message, address):
        if not self.key or self.world.is_partitioned(self.node, address[0]):
            return
        if message["kind"] == "configuration" and not fits_datagram(message):
            return
        target = self.world.nodes.get(address[0])
        if target is not None:
            asyncio.get_running_loop().call_later(
                0.008, target.peers._receive, message, (self.node, 1)
            )

    def send_to_all(self, message, addresses):
        for address in addresses:
            self.send(message, address)


class PipeTransport(asyncio.Transport):
    """One end of an in-memory connection between two nodes.

    Data that is written while the nodes are partitioned from each other, or while one
    of them is frozen, is delivered afterwards.
    """

    def __init__(self, world: "World", node: str, protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.world = world
        self.node = node
        self.protocol = protocol
        self.other: PipeTransport | None = None
        self.is_open = True
        self._queue: list[bytes] = []

    def connect(self, other: "PipeTransport") -> None:
        self.other = other
        self.protocol.connection_made(self)

    def write(self, data):
        if self.is_open:
            self._queue.append(bytes(data))
            asyncio.get_running_loop().call_later(LINK_DELAY, self._deliver)

    def _deliver(self) -> None:
        if self.world.is_delayed(self.node, self.other.node):
            asyncio.get_running_loop().call_later(0.01, self._deliver)
            return
        while self._queue and self.other.is_open:
            self.other.protocol.data_received(self._queue.pop(0))

    def abort(self):
        self.close()

    def close(self):
        if not self.is_open:
            return
        self.is_open = False
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, None)
        loop.call_later(LINK_DELAY, self.other.fail)

    def fail(self) -> None:
        """Reset the connection from outside."""
        if self.is_open:
            self.is_open = False
            self.protocol.connection_lost(ConnectionResetError())

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


class Sources:
    """Configuration and endpoints as the tests store them: objects, not encoded."""

    configuration_kind = CONFIG_KIND
    configuration_name = "main"
    endpoint_kind = ENDPOINT_KIND
    evacuation_kind = EVACUATION_KIND

    @staticmethod
    def parse_catalog(value):
        return make_catalog(**value)

    @staticmethod
    def parse_endpoint(name, value):
        if not isinstance(value, dict):
            raise errors.DocumentError(f"{name} is {value!r}.", "Write a record.")
        return catalog.EndpointRecord(**value)

    @staticmethod
    def parse_evacuation(name, value):
        return evacuations.Entry(name, "" if value == {} else "not empty")


def make_catalog(
    version: int = 1,
    rate: float = 1000.0,
    burst: float = 1000.0,
    keys: dict[str, str] | None = None,
    timeout: float = 1.0,
    connections: int = 21,
    teams: dict[str, tuple[float, float]] | None = None,
    cold_rate: float = 0.0,
    cold_start: float = 0.0,
    regions: dict[str, list[str]] | None = None,
    further: list[str] | None = None,
    moved: dict[str, str] | None = None,
) -> catalog.Catalog:
    """Return a configuration with one route of each kind to one group.

    :param teams: rate and burst of each further team.
    :param further: further groups, each with a route of its name.
    :param moved: the groups of routes that were moved to another one, by route.
    :param regions: allowed regions by the name of a route or team.
    """
    allowed = {name: frozenset(found) for name, found in (regions or {}).items()}
    kinds = catalog.Consistency
    routes = {
        "latest": catalog.Route("latest", "g", kinds.LATEST, 0.0, timeout),
        "bounded": catalog.Route("bounded", "g", kinds.BOUNDED, 1.5, timeout),
        "session": catalog.Route("session", "g", kinds.SESSION, 2.5, timeout),
    }
    for name in further or ():
        routes[name] = catalog.Route(name, name, kinds.LATEST, 0.0, timeout)
    for name, group in (moved or {}).items():
        routes[name].group = group
    more = teams or {}
    found = catalog.Catalog(
        version,
        routes,
        {
            "red": catalog.Team("red", rate, burst),
            "blue": catalog.Team("blue", 50, 50),
            **{name: catalog.Team(name, *limits) for name, limits in more.items()},
        },
        {"red-key": "red", "blue-key": "blue"} if keys is None else keys,
        {
            name: catalog.Group(name, connections, 1, cold_rate, cold_start)
            for name in ("g", *(further or ()))
        },
        3.0,
    )
    for entry in (*found.routes.values(), *found.teams.values()):
        entry.regions = allowed.get(entry.name, frozenset())
    return found


def make_random_keys(count: int, team: str, seed: int = 1) -> dict[str, str]:
    """Return keys of a team, which do not compress."""
    source = random.Random(seed)
    return {f"{source.getrandbits(128):032x}": team for _ in range(count)}


def make_report(**changes: object) -> reports.Report:
    fields = {
        "node": "n1",
        "incarnation": "a",
        "sent_at": 50.0,
        "states": {"g": (1, True, 1)},
        "samples": {"g": (0.2, positions.Position(1, 7))},
        "acknowledged": {"g": positions.Position(1, 6)},
        "failing": {},
        "sequence": 1,
        "usages": [],
        "catalog_version": 2,
        "echo": 1000.0,
        "echo_of": "leader-1",
        "held": 0.5,
        "contact_age": 0.1,
    }
    return reports.Report(**{**fields, **changes})


class World:
    """Nodes, store and databases of a simulated fleet.

    ``request_delays`` has the seconds after which the platform executes each of the
    next promotion requests, ``requesting`` the senders of those on their way.
    ``connect_delays`` has the seconds that each of the next requests takes to arrive,
    ``promotions`` those that arrived, in this order.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.store = objects_in_memory.Store()
        self.clusters = {"g": group_in_memory.Cluster("g")}
        self.nodes: dict[str, nodes.Node] = {}
        self.scopes: dict[str, anyio.CancelScope] = {}
        self.connection_limit = 21
        self.cuts: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.pipes: list[PipeTransport] = []
        self.request_delays: list[float] = []
        self.requesting: list[str] = []
        self.connect_delays: list[float] = []
        self.promotions: list[group_in_memory.PromotionRequest] = []
        self._requests = 0

    def is_delayed(self, one: str, other: str) -> bool:
        return self.is_partitioned(one, other) or bool(self.frozen & {one, other})

    def make_dial(self, name: str):
        """Return the function with which a node connects to others."""

        async def dial(address, make):
            await asyncio.sleep(LINK_DELAY)
            target = self.nodes.get(address[0])
            if target is None:
                raise ConnectionRefusedError(address[0])
            while self.is_delayed(name, address[0]):
                await asyncio.sleep(0.01)
            near = PipeTransport(self, name, make())
            far = PipeTransport(self, address[0], target.links.accept())
            self.pipes.append(near)
            near.connect(far)
            far.connect(near)

        return dial

    def is_partitioned(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cuts

    def connect(self, database, node, team):
        """Return a node's connection to a database."""
        return group_in_memory.DatabaseConnection(database, node, team)

    def find_database(self, name: str) -> group_in_memory.Database | None:
        for cluster in self.clusters.values():
            if name in cluster.databases:
                return cluster.databases[name]
        return None

    def publish(self, **configuration: object) -> None:
        self.store.put(CONFIG_KIND, "main", {"version": 1, **configuration})

    def publish_endpoint(self, name: str, **changes: object) -> None:
        database = self.find_database(name)
        record = {
            "name": name,
            "group": database.cluster.group,
            "host": name,
            "port": 1,
            "zone": database.zone,
            "slots": 3,
            "claims_primary": database.is_primary,
            **changes,
        }
        self.store.put(ENDPOINT_KIND, name, record)

    def publish_changes(self) -> None:
        """Change the configuration, and drain an endpoint."""
        self.publish(version=2, keys={"blue-key": "blue"})
        self.publish_endpoint("g-2", is_draining=True)

    def list_outdated(self) -> list[str]:
        """Return the nodes that lack one of these changes."""
        return [
            name
            for name, node in self.nodes.items()
            if node.find_version() != 2
            or node.groups["g"].endpoints["g-2"].draining_since is None
        ]

    def make_settings(self, name: str, zone: str) -> settings.Settings:
        return settings.Settings(
            name, zone, ZONES, ("", 1), ("", 1), (name, 1), 0, ("", 1), ("", 1)
        )

    def make_datagrams(self, name: str, receive: peers.Receive) -> Datagrams:
        return Datagrams(self, name, receive)

    def start_node(self, name: str, zone: str = "north") -> nodes.Node:
        loaded = self.make_settings(name, zone)
        node = nodes.Node(
            loaded,
            self.store.connect(name),
            Connector(self, name),
            Duty(self),
            Sources(),
            self.tasks,
            metrics.Registry(),
        )
        node.peers = self.make_datagrams(name, node.exchange.handle_message)
        node.links = forwarding.Links(
            name,
            lambda: node.peers.key,
            node.executor,
            node.members.get,
            node.store_readers.read_changes,
            node.spawn,
            node.journal.note,
            self.make_dial(name),
        )
        # Jitter makes the node with the lowest number the first leader.
        node.leadership.spread = int(name.removeprefix("n")) / MAX_NODES
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
        for pipe in self.pipes:
            for end in (pipe, pipe.other):
                if end.node == name:
                    end.close()
        for cluster in self.clusters.values():
            for database in cluster.databases.values():
                for connection in list(database.connections):
                    if connection.node == name:
                        connection.close()

    async def start(self, count: int = 3, **configuration: object) -> None:
        """Start a fleet and wait until it serves statements."""
        self.publish(**configuration)
        for cluster in self.clusters.values():
            for name in cluster.databases:
                self.publish_endpoint(name)
        zones = list(ZONES)
        for index in range(count):
            self.start_node(f"n{index}", zones[index % len(zones)])
        await asyncio.sleep(4.0)

    async def restore_store(
        self, copy: objects_in_memory.Copy, seconds: float = 2.0
    ) -> None:
        """Take the store away, and bring it back from an older copy."""
        self.store.cut |= set(self.nodes)
        self.store.abort_watches()
        await asyncio.sleep(seconds)
        self.store.restore(copy)
        self.store.cut.clear()

    def open(self, node: str, route: str = "session", key: str = "red-key") -> "Client":
        return Client(self, sessions.Session(self.nodes[node], route, key))

    def make_id(self) -> str:
        self._requests += 1
        return f"r{self._requests}"

    def list_wrong_tokens(self) -> list[str]:
        return group_in_memory.list_wrong_tokens(self.promotions)

    def find_leader(self) -> str:
        leaders = [
            name
            for name, node in self.nodes.items()
            if node.leadership.leads(clock.read())
        ]
        assert len(leaders) <= 1
        return leaders[0] if leaders else ""


def fill_connections(
    world: World, database: group_in_memory.Database
) -> list[group_in_memory.DatabaseConnection]:
    """Occupy the connections of a database that are free, and return them."""
    free = world.connection_limit - len(database.connections)
    return [world.connect(database, "other", "other") for _ in range(free)]


def restart_database(
    world: World,
    database: group_in_memory.Database,
    keeps_log: bool = False,
    is_published: bool = True,
) -> None:
    """Start a replica again under its name; its record says so if ``is_published``."""
    database.crash()
    database.paused_term = 0
    if not keeps_log:
        database.log, database.applied, database.term = [], 0, 1
    database.is_up = True
    if is_published:
        world.publish_endpoint(database.name, born=1)


def join_database(world: World, cluster: group_in_memory.Cluster) -> None:
    """Add a replica with the primary's log, and publish it."""
    database = group_in_memory.Database(
        cluster, f"{cluster.group}-{len(cluster.databases)}", "north"
    )
    cluster.databases[database.name] = database
    world.publish_endpoint(database.name)


def replace_database(world: World, database: group_in_memory.Database) -> None:
    """Replace a replica by an empty one of another name."""
    database.crash()
    world.store.put(ENDPOINT_KIND, database.name, None)
    join_database(world, database.cluster)


def cut_off_primary(
    world: World, database: group_in_memory.Database, reached_by: str
) -> None:
    """Let one node only reach a primary, which goes on."""
    database.unreachable |= world.nodes.keys() - {reached_by}
    for connection in list(database.connections):
        if connection.node != reached_by:
            connection.abort()


def isolate_node(world: World, name: str) -> None:
    """Partition a node from the others and from the store."""
    world.store.cut.add(name)
    world.store.abort_watches()
    world.cuts |= {frozenset((name, other)) for other in world.nodes}


async def await_seal(world: World, group: str) -> None:
    """Wait until the leader has sealed a group."""
    async with asyncio.timeout(5.0):
        node = world.nodes[world.find_leader()]
        while node.groups[group].state.phase is not catalog.Phase.SEALED:
            await asyncio.sleep(0.005)


class Client:
    """A caller connected to one node."""

    def __init__(self, world: World, session: sessions.Session) -> None:
        self.world = world
        self.session = session
        self.is_closed = False
        session.node.callers.add(self)

    def is_session_idle(self) -> bool:
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

    async def write_until_cancelled(self, told: list[str]) -> None:
        """Write again and again, and note the requests that were acknowledged."""
        while True:
            request_id = self.world.make_id()
            statement = statements.Statement(request_id, "write", Kind.WRITE)
            answer = await self.session.node.serve(self.session, statement)
            if answer.error is None:
                told.append(request_id)
            await asyncio.sleep(0.01)


def run_scenario(
    monkeypatch, scenario, count: int = 3, **configuration: object
) -> None:
    """Start a fleet, run ``scenario(world)`` in virtual time, and stop."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            world = World(tasks)
            for name in configuration.get("further", ()):
                world.clusters[name] = group_in_memory.Cluster(name)
            await world.start(count, **configuration)
            await scenario(world)
            tasks.cancel_scope.cancel()

    run(monkeypatch, main)
