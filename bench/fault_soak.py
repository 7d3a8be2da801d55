"""Soak test: node processes on the loopback interface under injected faults.

``python bench/fault_soak.py --seeds 50`` runs fifty seeds of some seconds each;
``--seed N`` sets the first one. Nodes are killed, stopped, paused and restarted by
signals; links to databases and store are delayed, reset and silenced; databases crash,
lag and receive no replication data; the store rejects calls, does not respond, loses
responses and comes back from older copies. Clients keep using open connections until
they break.

Checked from the view of callers and databases: no acknowledged write is lost or applied
twice, no write reported as not run was applied, no read misses a commit that it must
see, no statement runs in another team's name, fencing tokens never fall, a
configuration is in force within its bound, and all nodes serve again after the faults.
The violations are printed, and the exit code is 1 if there are any.
"""

import argparse
import asyncio
import collections
import contextlib
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import typing

from sardinehold.platform import settings_file
from sardinehold_standins import group_in_memory
from sardinehold_standins import loopback
from sardinehold_standins import objects_in_memory

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODES = 3
"""Default number of node processes."""

CLIENTS = 12
FAULT_SECONDS = 14.0
"""Seconds during which faults are injected."""

RECOVERY_SECONDS = 8.0
"""Seconds after the faults within which all nodes must serve again."""

APPLY_SECONDS = 3.0
"""Seconds from the store's acknowledgement until a configuration must be in force: the
strictest bound that a deployment requires."""

SETTLE_SECONDS = 4.0
"""Seconds after the last fault during which the bound does not apply: the strictest
requirement of a deployment."""

FAILED_SEEDS = {
    3: "a leader's watches were silent for longer than the bound of configurations",
    101: "two faults restarted one node at once (the soak's own fault)",
    201: "two faults restarted one node at once (the soak's own fault)",
    500: "restarted nodes confirmed commits that they had no longer stored",
    3200: "renewals went over other connections than the leader's silent watches",
}
"""Seeds that failed in the past, with the cause; ``--failed`` runs them again. A seed
determines the faults, not the machine's timing, so each cause also has a test in
virtual time."""

COPY_INTERVAL = 0.5
"""Seconds between copies of the store."""

COPIES = 16
"""Copies that are kept: the store goes back by at most eight seconds."""

MAX_PRINTED = 5
"""Maximum number of violations printed per seed."""

NOT_RUN_CODES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
TEAMS = {"k-red": "red", "k-blue": "blue"}
STALENESS = {"latest": 0.0, "bounded": 1.5, "session": 2.5}
KINDS = {"latest": "primary", "bounded": "bounded", "session": "read_your_writes"}


def make_version_key(version: int) -> str:
    """Return an API key that only one version of the configuration contains."""
    return f"k-red-{version}"


def make_configuration(version: int = 1) -> dict:
    """Return a configuration with one route of each kind."""
    routes = [
        {
            "Name": f"r-{name}",
            "Host": name,
            "Kind": KINDS[name],
            "TimeoutMs": 1000,
            "TargetLatencyMs": 500,
            "Priority": 1,
            "Service": "g",
            "MaxStalenessMs": round(seconds * 1000),
        }
        for name, seconds in STALENESS.items()
    ]
    tenants = [
        {"Name": team, "ApiKeys": [key], "RatePerS": 500, "Burst": 500}
        for key, team in TEAMS.items()
    ]
    tenants[0]["ApiKeys"].append(make_version_key(version))
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "g", "MaxConnections": 21, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": tenants,
    }


class World:
    """Database and store stand-ins, links and node processes of one seed.

    :cvar program: starts a node.
    """

    program = ROOT / "deploy" / "node.py"

    def __init__(self, seed: int, folder: pathlib.Path, lane: int, nodes: int) -> None:
        """Create the stand-ins; nothing is started."""
        self.nodes = nodes
        self.lane = lane
        self.random = random.Random(seed)
        self.folder = folder
        self.cluster = group_in_memory.Cluster("g")
        self.store = loopback.StoreServer({"g": self.cluster})
        self.links: dict[str, loopback.Link] = {}
        self.store_links: list[loopback.Link] = []
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.locks = [asyncio.Lock() for _ in range(nodes)]
        self.is_finished = False
        self.version = 0
        self.violations: list[str] = []
        self.copies: collections.deque[objects_in_memory.Copy] = collections.deque(
            maxlen=COPIES
        )

    def change_configuration(self) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self) -> None:
        """Write the present version of the configuration to the store."""
        self.store.store.put("config", "main", make_configuration(self.version))

    async def start(self) -> None:
        """Start all servers, links and nodes, and wait until the nodes are ready."""
        await self.store.start()
        for name, database in self.cluster.databases.items():
            server = loopback.DatabaseServer(database)
            await server.start()
            link = self.links[name] = loopback.Link(server.port)
            await link.start()
            self.publish(name)
        self.change_configuration()
        for index in range(self.nodes):
            link = loopback.Link(self.store.port)
            await link.start()
            self.store_links.append(link)
            await self.start_node(index)
        await asyncio.sleep(3.0)

    def publish(self, name: str) -> None:
        """Write a database's entry to the store, as its heartbeat does."""
        database = self.cluster.databases[name]
        entry = {
            "Service": "g",
            "Address": f"127.0.0.1:{self.links[name].port}",
            "Zone": database.zone,
            "Capacity": 3,
            "State": "ready",
            "DatabaseRole": "primary" if database.is_primary else "replica",
            "born": 1,
        }
        held = self.store.store.objects.get(("servers", name))
        if held is None or held.value != entry:
            self.store.store.put("servers", name, entry)

    def find_address(self, index: int) -> str:
        """Return the loopback address of a node."""
        return f"127.0.{self.lane}.{index + 2}"

    def find_duty_port(self, index: int) -> int:
        """Return the port at which a node reaches the failover API."""
        return self.store_links[index].port

    async def start_node(self, index: int) -> None:
        """Start a node's process."""
        host = self.find_address(index)
        store = f"127.0.0.1:{self.store_links[index].port}"
        duty = f"127.0.0.1:{self.find_duty_port(index)}"
        path = self.folder / f"node-{index}.toml"
        databases = list(self.cluster.databases.values())
        zone = databases[index % len(databases)].zone
        path.write_text(
            f'NodeName = "n{index}"\nIp = "{host}"\nZone = "{zone}"\n'
            "InternalPorts = [7560, 7575]\n"
            '[Zones]\nnorth = "n"\nmiddle = "m"\nsouth = "s"\n'
            f'[BindAddresses]\nFrontend = "{host}:6432"\nReadiness = "{host}:8460"\n'
            f'[platform]\nAddress = "{store}"\n[CloudApi]\nAddress = "{duty}"\n'
        )
        with (self.folder / f"node-{index}.log").open("ab") as log:
            self.processes[index] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.program),
                env={**os.environ, settings_file.SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )

    def find_newest_primary(self) -> group_in_memory.Database:
        """Return the primary; of several, by highest term and longest log."""

        def rank(database: group_in_memory.Database) -> tuple[bool, int, int]:
            return database.is_primary, database.term, len(database.log)

        return max(self.cluster.databases.values(), key=rank)

    async def stop(self) -> None:
        """Kill the node processes that this run started."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            await process.wait()


class Client:
    """A caller that uses one session after another and records all responses."""

    def __init__(self, world: World, number: int) -> None:
        """Create an unconnected client."""
        self.world = world
        self.random = random.Random(world.random.random())
        self.number = number
        self.count = 0
        self.acknowledged: dict[str, float] = {}
        self.written: set[str] = set()
        self.reported_not_run: set[str] = set()
        self.served = 0
        self.team = ""

    async def run(self) -> None:
        """Run sessions until the run is finished."""
        while not self.world.is_finished:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                await self._run_session()
            await asyncio.sleep(0.1)

    async def _run_session(self) -> None:
        route = self.random.choice(list(STALENESS))
        key = self.random.choice(list(TEAMS))
        self.team = TEAMS[key]
        host = self.world.find_address(self.random.randrange(self.world.nodes))
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, 6432), 2)
        try:
            writer.write(f"START {route} {key}\r\n".encode())
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)
            if not line.startswith(b"READY"):
                return
            self.written = set()
            for _ in range(self.random.randrange(5, 60)):
                if self.world.is_finished:
                    return
                await self._run_operation(reader, writer, route)
                await asyncio.sleep(self.random.random() * 0.05)
        finally:
            writer.transport.abort()

    async def _run_operation(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, route: str
    ) -> None:
        if self.random.random() < 0.3:
            await self._run_transaction(reader, writer)
            return
        is_write = self.random.random() < 0.4
        request = self._make_id()
        floor = self._find_floor(route)
        text = f"WRITE item {request}" if is_write else "READ item"
        code, _ = await self._send_request(reader, writer, request, text)
        if code == "COMPLETE":
            self.served += 1
            if is_write:
                self._record_acknowledged(request)
            else:
                self._check_read(request, floor)
        elif is_write and code in NOT_RUN_CODES:
            self.reported_not_run.add(request)

    async def _run_transaction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        code, state = await self._send_request(reader, writer, self._make_id(), "BEGIN")
        for _ in range(self.random.randrange(1, 4)):
            if code != "COMPLETE":
                break
            request = self._make_id()
            code, state = await self._send_request(
                reader, writer, request, f"WRITE item {request}"
            )
        if state == "I":
            return
        # The stand-in's log identifies a transaction by the id of its COMMIT.
        request = self._make_id()
        if code != "COMPLETE":
            await self._send_request(reader, writer, request, "ROLLBACK")
            return
        code, state = await self._send_request(reader, writer, request, "COMMIT")
        if code == "COMPLETE":
            self._record_acknowledged(request)
        elif code in NOT_RUN_CODES:
            self.reported_not_run.add(request)

    async def _send_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: str,
        text: str,
    ) -> tuple[str, str]:
        writer.write(f"QUERY {request} {text}\r\n".encode())
        code = ""
        while True:
            line = await asyncio.wait_for(reader.readuntil(b"\r\n"), 6)
            word, *rest = line.decode().split()
            if word == "READY":
                return code, rest[0]
            if word != "ROW":
                code = rest[0] if word == "ERROR" else word

    def _make_id(self) -> str:
        self.count += 1
        return f"c{self.number}x{self.count}"

    def _find_floor(self, route: str) -> int:
        """Return the number of log entries that a read on the route must see now."""
        log = [request for _, request in self.world.find_newest_primary().log]
        before = time.monotonic() - STALENESS[route]
        acknowledged = set(self.written) if route == "session" else set()
        for client in self.world.clients:
            acknowledged |= {
                item for item, at in client.acknowledged.items() if at <= before
            }
        return max(
            (n + 1 for n, item in enumerate(log) if item in acknowledged), default=0
        )

    def _record_acknowledged(self, request: str) -> None:
        self.acknowledged[request] = time.monotonic()
        self.written.add(request)

    def _check_read(self, request: str, floor: int) -> None:
        runs = [
            run for run in self.world.cluster.executions if run.request_id == request
        ]
        if runs and runs[-1].log < floor:
            self.world.violations.append(
                f"stale read {request}: log {runs[-1].log}, acknowledged {floor}"
            )


async def kill_node(world: World) -> None:
    """Kill a node and restart it."""
    index = world.random.randrange(world.nodes)
    async with world.locks[index]:
        process = world.processes[index]
        process.kill()
        await process.wait()
        await asyncio.sleep(world.random.random())
        await world.start_node(index)


async def stop_node(world: World) -> None:
    """Stop a node gracefully, and restart it after it exited."""
    index = world.random.randrange(world.nodes)
    async with world.locks[index]:
        process = world.processes[index]
        if process.returncode is not None:
            world.violations.append(
                f"node {index} exited unexpectedly: {process.returncode}"
            )
            return
        process.terminate()
        await process.wait()
        await world.start_node(index)


async def pause_node(world: World) -> None:
    """Suspend a node's process for up to three seconds."""
    process = world.processes[world.random.randrange(world.nodes)]
    with contextlib.suppress(ProcessLookupError):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.5 + 2.5 * world.random.random())
        process.send_signal(signal.SIGCONT)


async def crash_database(world: World) -> None:
    """Crash a database, which restarts with its log."""
    await crash(world, world.random.choice(list(world.cluster.databases.values())))


async def crash_primary(world: World) -> None:
    """Crash the primary while a replica lacks its latest commits."""
    replicas = [
        item for item in world.cluster.databases.values() if not item.is_primary
    ]
    late = world.random.choice(replicas)
    late.is_receive_blocked = True
    await asyncio.sleep(0.3)
    await crash(world, world.find_newest_primary())
    late.is_receive_blocked = False


async def crash(world: World, database: group_in_memory.Database) -> None:
    """Crash a database for some seconds, unless another one is down."""
    others = [item for item in world.cluster.databases.values() if item is not database]
    if not all(item.is_up for item in others):
        return
    database.crash()
    await asyncio.sleep(1.0 + 4.0 * world.random.random())
    leader = max(others, key=lambda item: (item.is_primary, item.term))
    if leader.is_primary and leader.term > database.term:
        database.is_primary = False
        database.log = list(leader.log)
        database.applied = len(database.log)
        database.term = leader.term
    database.paused_term = 0
    database.is_up = True


async def lag_replica(world: World) -> None:
    """Delay the replay of one database for two seconds."""
    database = world.random.choice(list(world.cluster.databases.values()))
    database.lag = 0.2 + world.random.random()
    await asyncio.sleep(2.0)
    database.lag = 0.0


async def break_link(world: World) -> None:
    """Silence, delay or reset the link to a database or to the store."""
    link = world.random.choice([*world.links.values(), *world.store_links])
    mode = world.random.randrange(3)
    if mode == 0:
        link.reset()
        return
    link.is_silent = mode == 1
    link.delay = 0.15 if mode == 2 else 0.0
    await asyncio.sleep(0.5 + 2.5 * world.random.random())
    link.is_silent = False
    link.delay = 0.0
    if mode == 1:
        link.reset()


async def break_store(world: World) -> None:
    """Make the store reject calls, not respond, or lose responses, for all nodes."""
    world.store.fault = world.random.choice(["busy", "silent", "losing"])
    await asyncio.sleep(0.5 + 2.5 * world.random.random())
    world.store.fault = ""


async def restore_store(world: World) -> None:
    """Restore the store from an older copy, with an outage; the operator writes again.

    The databases' entries are written again by :func:`update_entries`.
    """
    world.store.fault = world.random.choice(["busy", "silent"])
    await asyncio.sleep(0.1 + 2.0 * world.random.random())
    world.store.store.restore(world.random.choice(world.copies))
    world.store.fault = ""
    await asyncio.sleep(world.random.random())
    world.write_configuration()


async def save_copies(world: World) -> None:
    """Save copies of the store periodically."""
    while True:
        world.copies.append(world.store.store.save())
        await asyncio.sleep(COPY_INTERVAL)


async def silence_store(world: World) -> None:
    """Silence all open connections to the store, then change the configuration."""
    for link in world.store_links:
        link.silence()
    await change_configuration(world)


async def change_configuration(world: World) -> None:
    """Change the configuration a few times in quick succession."""
    for _ in range(world.random.randrange(1, 4)):
        world.change_configuration()
        await asyncio.sleep(0.2 * world.random.random())


async def check_configuration(world: World) -> None:
    """Change the configuration after the faults, and check it on each node."""
    for link in world.store_links:
        link.silence()
    settled_at = time.monotonic() + SETTLE_SECONDS
    world.change_configuration()
    await asyncio.sleep(max(APPLY_SECONDS, settled_at - time.monotonic()))
    for index in range(world.nodes):
        for version, expected in ((world.version, "READY"), (world.version - 1, "ERR")):
            answer = await request_session(world, index, make_version_key(version))
            if not answer.startswith(expected):
                world.violations.append(
                    f"configuration: node {index} answers {answer!r} to the key of "
                    f"version {version}; version {world.version} is in force"
                )


async def request_session(
    world: World, index: int, key: str, route: str = "latest"
) -> str:
    """Return a node's response to a session start with the given key."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(world.find_address(index), 6432), 2
    )
    try:
        writer.write(f"START {route} {key}\r\n".encode())
        return (await asyncio.wait_for(reader.readuntil(b"\r\n"), 2)).decode().strip()
    finally:
        writer.transport.abort()


FAULTS = (
    kill_node,
    stop_node,
    pause_node,
    crash_database,
    crash_primary,
    lag_replica,
    break_link,
    break_store,
    restore_store,
    silence_store,
    change_configuration,
)


async def inject_faults(world: World) -> None:
    """Inject overlapping faults for ``FAULT_SECONDS``."""
    ends = time.monotonic() + FAULT_SECONDS
    async with asyncio.TaskGroup() as tasks:
        while time.monotonic() < ends:
            fault = world.random.choice(FAULTS)
            tasks.create_task(fault(world))
            await asyncio.sleep(0.3 + 1.5 * world.random.random())


async def update_entries(world: World) -> None:
    """Update the databases' entries in the store periodically."""
    while True:
        for name, database in world.cluster.databases.items():
            if database.is_up:
                world.publish(name)
        await asyncio.sleep(0.2)


def find_violations(world: World) -> list[str]:
    """Return the violated guarantees."""
    violations = list(world.violations)
    if not any(item.is_primary for item in world.cluster.databases.values()):
        violations.append("the group has no primary after the faults")
    log = [request for _, request in world.find_newest_primary().log]
    for client in world.clients:
        violations += [
            f"lost write {item}" for item in client.acknowledged.keys() - set(log)
        ]
        violations += [
            f"write {item} reported as not run was applied"
            for item in client.reported_not_run & set(log)
        ]
    violations += [
        f"write {item} applied twice" for item in set(log) if log.count(item) > 1
    ]
    violations += group_in_memory.list_wrong_tokens(world.store.promotions)
    for database in world.cluster.databases.values():
        if len(database.connections) > loopback.DatabaseServer(database).limit:
            violations.append(f"{database.name} has too many connections")
    return violations


async def run_seed(
    seed: int, folder: pathlib.Path, lane: int, nodes: int
) -> tuple[list[str], str]:
    """Run one seed; return the violations and a summary."""
    world = World(seed, folder, lane, nodes)
    world.clients = [Client(world, number) for number in range(CLIENTS)]
    await world.start()
    work = [asyncio.create_task(client.run()) for client in world.clients]
    work.append(asyncio.create_task(update_entries(world)))
    work.append(asyncio.create_task(save_copies(world)))
    try:
        await inject_faults(world)
        before = sum(client.served for client in world.clients)
        ends = time.monotonic() + RECOVERY_SECONDS
        await check_configuration(world)
        await asyncio.sleep(max(0.0, ends - time.monotonic()))
        served_after_faults = sum(client.served for client in world.clients) - before
        world.is_finished = True
        await asyncio.wait(work[: len(world.clients)], timeout=8)
    finally:
        for task in work:
            task.cancel()
        await world.stop()
    violations = find_violations(world)
    if served_after_faults < CLIENTS:
        violations.append(
            f"only {served_after_faults} operations served after the faults"
        )
    acknowledged = sum(len(client.acknowledged) for client in world.clients)
    changes = len(world.store.promotions)
    return (
        violations,
        f"{acknowledged} writes, {changes} promotions, "
        f"{served_after_faults} served after the faults",
    )


RunSeed = typing.Callable[
    [int, pathlib.Path, int, int], typing.Awaitable[tuple[list[str], str]]
]
"""Runs a seed, by folder, lane and number of nodes; returns violations and summary."""


def make_parser(description: str) -> argparse.ArgumentParser:
    """Return the parser of the options that all soaks have."""
    parser = argparse.ArgumentParser(description=description.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds to run")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument(
        "--keep", type=pathlib.Path, help="directory for the logs of failed seeds"
    )
    parser.add_argument(
        "--lane",
        type=int,
        default=1 + os.getpid() % 250,
        help="third octet of the loopback addresses 127.0.LANE.*, for concurrent runs",
    )
    parser.add_argument(
        "--nodes", type=int, default=NODES, help="number of node processes, at most 200"
    )
    return parser


def run_seeds(
    arguments: argparse.Namespace, run: RunSeed, seeds: typing.Iterable[int] = ()
) -> int:
    """Run some seeds, then those of the options; return 1 if any had violations."""
    failed = 0
    chosen = [*seeds, *range(arguments.seed, arguments.seed + arguments.seeds)]
    for seed in chosen:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            violations, summary = asyncio.run(
                run(seed, folder, arguments.lane, arguments.nodes)
            )
            shown = "; ".join(violations[:MAX_PRINTED]) or "ok"
            print(
                f"seed {seed}: {shown} ({len(violations)} violations, {summary})",
                flush=True,
            )
            if violations and arguments.keep:
                shutil.copytree(folder, arguments.keep / f"seed-{seed}")
        failed += bool(violations)
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


def main() -> int:
    """Run the seeds; return 1 if any had violations."""
    parser = make_parser(__doc__)
    parser.add_argument(
        "--failed",
        action="store_true",
        help="first run the seeds that failed in the past",
    )
    arguments = parser.parse_args()
    return run_seeds(arguments, run_seed, FAILED_SEEDS if arguments.failed else ())


if __name__ == "__main__":
    sys.exit(main())
