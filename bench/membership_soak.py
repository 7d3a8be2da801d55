"""Soak test of changes of primary while replicas join, leave and start again.

``python bench/membership_soak.py --seeds 50`` runs fifty seeds. Primaries are cut off
from all nodes but one and go on serving that one; in some cases it is cut off as well,
from the other nodes and from the platform. From the moment at which logs are paused,
replicas join, leave, start again with and without their log, and are replaced.
Promotions take effect 0.005 to 6 s after they were answered. Statements take some
milliseconds or most of a second, so that commits are in flight at the freeze. Nodes
are killed, suspended and stopped, alone and all at once. Callers keep their connections
until the process is gone, and prefer the node that reaches a primary which is cut off.

Checked from the view of callers, databases and platform, as in ``request_soak``: LOST,
a promoted log, or that of the final primary, lacks a write whose caller was told
success; ONE, a caller is told success for a commit at the old primary after a promotion
took effect, unless nodes were suspended or cut off then, or fencing tokens fall;
REFUSED, a write was reported as not run and is kept; TWICE; and RECOVER, all groups
accept writes after the faults.

A replica only leaves, or loses its log, while the primary and another replica have all
commits that were acknowledged, and never while its promotion is requested or after it
was the last one to be promoted: primaries drain before they leave. With
``--only-copy``, the primary alone has to have them.
"""

import asyncio
import functools
import pathlib
import random
import sys
import time

import fault_soak
import promotion_soak
import request_soak
from sardinehold.node import clock
from sardinehold.node import membership
from sardinehold.node import ownership
from sardinehold_standins import group_in_memory
from sardinehold_standins import loopback

CALLERS = 8
"""Callers of each group; every second one keeps its connection."""

FAULT_SECONDS = 20.0
"""Seconds during which faults are injected."""

RECOVERY_SECONDS = 16.0
"""Seconds after the faults until all groups must accept writes: a promotion that takes
effect late delays the next one, and a group without its logs waits for them."""

CUT_SECONDS = (2.5, 8.0)
"""Seconds for which a primary is cut off."""

ISOLATED_SHARE = 0.5
"""Share of the cuts at which the node that reaches the primary is isolated."""

FIRST_OWNER_SHARE = 0.8
"""Share of the cuts at which the first owner of the connections reaches the primary."""

RESET_SHARE = 0.5
"""Share of the cuts at which open connections are reset; else their data are held."""

STAY_SHARE = 0.7
"""Share of the sessions that begin at a node that reaches a primary that is cut off."""

SLOW_SHARE = 0.6
"""Share of the cuts before which the primary's statements become slow."""

SLOW_SECONDS = (0.3, 0.9)
"""Seconds that a statement then takes."""

PROMOTE_DELAYS = ((0.005, 0.05), (0.5, 1.5), (1.5, 3.0), (3.0, 6.0))
"""Seconds until an answered promotion takes effect, by kind."""

CHANGE_DELAY = 1.0
"""Maximum seconds from a pause of a log until the group's members change."""

MAX_DATABASES = 6
"""Databases of a group above which none joins."""

MIN_DATABASES = 3
"""Databases of a group below which none leaves; as many as it starts with."""

WATCH_INTERVAL = 0.01
"""Seconds between checks whether a log was paused."""

PROCESS_START = 2.0
"""Seconds after its start in which a node is not cut off."""

CUT_SUFFIX = ".cut"


class Cluster(group_in_memory.Cluster):
    """A group whose promotions take effect late.

    :param named: number of requests on their way, by database.
    """

    def __init__(self, group: str, generator: random.Random) -> None:
        """Create the databases."""
        super().__init__(group)
        self.random = generator
        self.named: dict[str, int] = {}
        self.created = len(self.databases)

    async def promote(self, name: str) -> None:
        """Promote a database after a delay that is chosen for each request."""
        self.promote_delay = self.random.uniform(*self.random.choice(PROMOTE_DELAYS))
        await super().promote(name)

    def may_lose(self, database: group_in_memory.Database, copies: int) -> bool:
        """Return whether other databases have all acknowledged commits.

        :param copies: how many of them have to, the primary among them.
        """
        primary = promotion_soak.find_newest_primary(self)
        # One that has just stepped down is still published as the primary.
        led = self.promoted[-1].name if self.promoted else f"{self.group}-0"
        if database.name in (primary.name, led) or self.named.get(database.name):
            return False
        told = set(self.acknowledged)
        last = next(
            (entry for entry in reversed(primary.log) if entry[1] in told), None
        )
        holding = [
            item
            for item in self.databases.values()
            if item is not database and (last is None or last in item.log)
        ]
        return primary in holding and len(holding) >= copies


class StoreServer(loopback.StoreServer):
    """A platform that notes which promotions are on their way."""

    async def _execute(
        self, cluster: Cluster, name: str, answer: asyncio.Future
    ) -> None:
        cluster.named[name] = cluster.named.get(name, 0) + 1
        try:
            await super()._execute(cluster, name, answer)
        finally:
            cluster.named[name] -= 1


class PeerLink(loopback.Link):
    """A link that holds the data of some nodes only.

    :param blocked: addresses of the nodes that the far end cannot be reached from.
    """

    def __init__(self, target: int) -> None:
        """Create the link."""
        super().__init__(target)
        self.blocked: set[str] = set()
        self._near: dict[asyncio.StreamReader, str] = {}
        self._far: dict[asyncio.StreamWriter, str] = {}

    def reset_blocked(self) -> None:
        """Abort the connections of the nodes that are blocked."""
        for writer, host in list(self._far.items()):
            if host in self.blocked:
                writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info("peername")[0]
        try:
            target = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target[1]}
        self._near |= {reader: host, target[0]: host}
        self._far[writer] = host
        await asyncio.gather(
            self._forward(reader, target[1], True),
            self._forward(target[0], writer, False),
        )
        self._writers -= {writer, target[1]}
        del self._far[writer]
        for item in (reader, target[0]):
            del self._near[item]

    async def _wait_while_held(
        self, reader: asyncio.StreamReader, is_outward: bool
    ) -> None:
        ends_at = clock.read() + self.max_held
        while self._near[reader] in self.blocked:
            if reader.exception() is not None:
                raise reader.exception()
            if is_outward and clock.read() > ends_at:
                raise TimeoutError("held for too long")
            await asyncio.sleep(loopback.HOLD_CHECK_INTERVAL)


class World(request_soak.World):
    """Stand-ins, node processes and records of one seed."""

    program = fault_soak.ROOT / "bench" / "cut_node.py"

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        lane: int,
        nodes: int,
        required_copies: int,
    ) -> None:
        """Create the stand-ins; nothing is started."""
        super().__init__(seed, folder, lane, nodes)
        self.required_copies = required_copies
        self.clusters = {
            name: Cluster(name, self.random) for name in promotion_soak.GROUPS
        }
        self.store = StoreServer(self.clusters)
        self.store.find_delay = lambda: self.late.pop(0) if self.late else 0.0
        self.delivers_separately = self.random.random() < 0.3
        for cluster in self.clusters.values():
            for database in cluster.databases.values():
                self.prepare_database(database)
            if self.delivers_separately:
                cluster.find_delivery_delay = self.find_delivery_delay
        self.counts = dict.fromkeys(
            (
                "cuts",
                "isolated",
                "joined",
                "left",
                "restarted",
                "emptied",
                "replaced",
                "power losses",
                "suspensions",
                "stops",
                "killed",
            ),
            0,
        )
        self.trouble_share = self.random.choice((0.0, 0.15, 0.4))
        kinds = [item for item in FAULTS if self.random.random() < 0.5]
        self.faults = [request_soak.change_configuration, *kinds]
        self.changes = random.Random(seed).choice(CHANGE_SETS)
        self.reaching: dict[str, int] = {}
        self.isolated: dict[int, float] = {}
        self.started_at: dict[int, float] = {}
        self.changing: set[str] = set()
        self.notes: list[str] = []

    def note(self, text: str) -> None:
        """Write a line to the log of the run."""
        with (self.folder / "soak.log").open("a") as log:
            print(f"{clock.read():.3f} {time.time():.3f} {text}", file=log)

    def prepare_database(self, database: group_in_memory.Database) -> None:
        """Give a database slots and a usual delay."""
        database.slots = request_soak.SLOTS
        delay = self.random.choice(request_soak.DELIVERY_DELAYS)
        self.usual_delays[database.name] = delay

    def spawn(self, work) -> None:
        """Run a coroutine in the background; its failure is one of the soak."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violations.append(f"the soak failed: {task.exception()!r}")

    def make_link(self, port: int) -> PeerLink:
        """Return the link to a database's port."""
        return PeerLink(port)

    async def start_node(self, index: int) -> None:
        """Start a node's process."""
        await super().start_node(index)
        self.started_at[index] = clock.read()

    def find_cut_file(self, index: int) -> pathlib.Path:
        """Return the file that cuts a node off while it exists."""
        return self.folder / f"node-{index}.toml{CUT_SUFFIX}"

    def isolate(self, index: int) -> None:
        """Cut a node off from the other nodes and from the platform."""
        self.find_cut_file(index).touch()
        for link in (self.store_links[index], self.duty_links[index]):
            link.hold(True)
            link.hold(False)
        self.isolated.setdefault(index, clock.read())
        self.counts["isolated"] += 1

    def reconnect(self, index: int) -> None:
        """End the isolation of a node."""
        self.find_cut_file(index).unlink(missing_ok=True)
        for link in (self.store_links[index], self.duty_links[index]):
            link.release()
        since = self.isolated.pop(index, None)
        if since is not None:
            self.suspensions.append((since, clock.read()))

    def find_first_owner(self, database: group_in_memory.Database) -> int:
        """Return the node that is first owner of a database's connections."""
        zones = {
            item.name: item.zone
            for cluster in self.clusters.values()
            for item in cluster.databases.values()
        }
        found = list(self.cluster.databases.values())
        members = [
            membership.Member(f"n{index}", found[index % len(found)].zone, "", 0)
            for index in range(self.nodes)
        ]
        owners = ownership.assign(zones, members, _measure_distance)
        return int(owners[database.name][0][1:])

    async def remove_database(self, database: group_in_memory.Database) -> None:
        """Let a database leave for good."""
        database.crash()
        del database.cluster.databases[database.name]
        self.store.store.put("servers", database.name, None)

    async def add_database(self, cluster: Cluster) -> None:
        """Let a replica join with the log of the present primary."""
        name = f"{cluster.group}-{cluster.created}"
        cluster.created += 1
        zone = self.random.choice([item.zone for item in cluster.databases.values()])
        database = group_in_memory.Database(cluster, name, zone)
        self.prepare_database(database)
        await self.serve_database(database)
        follow_newest(database)
        cluster.databases[name] = database
        self.born[name] = 1
        self.publish_database(database)

    async def close(self) -> None:
        """End nodes and background tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.stop()
        for link in (*self.links.values(), *self.store_links, *self.duty_links):
            link.reset()
        await asyncio.sleep(request_soak.CLOSE_SECONDS)


def _measure_distance(one: str, other: str) -> int:
    """Return the distance of two zones, each of which is a region of its own."""
    return 0 if one == other else 2


def follow_newest(database: group_in_memory.Database) -> None:
    """Give an empty database the log of the newest primary that it reaches."""
    cluster = database.cluster
    primary = promotion_soak.find_newest_primary(cluster)
    if primary.is_up and primary.is_primary:
        database.term = primary.term
        database.log = list(primary.log)
        database.applied = len(database.log)


class Caller(request_soak.Caller):
    """A caller that prefers the node that reaches a primary that is cut off."""

    def choose_node(self) -> int:
        """Return the node of the next session."""
        index = self.world.reaching.get(self.group)
        if index is not None and self.random.random() < STAY_SHARE:
            return index
        return super().choose_node()


# Changes of a group's members


async def join(world: World, cluster: Cluster) -> None:
    """Let one or two replicas join."""
    for _ in range(world.random.randrange(1, 3)):
        if len(cluster.databases) < MAX_DATABASES:
            await world.add_database(cluster)
            world.counts["joined"] += 1
            await asyncio.sleep(0.3 * world.random.random())


async def leave(world: World, cluster: Cluster) -> None:
    """Let a replica leave."""
    database = choose_replica(world, cluster)
    if len(cluster.databases) <= MIN_DATABASES or database is None:
        return
    if world.random.random() < 0.5:
        world.draining.add(database.name)
        await asyncio.sleep(0.5 + world.random.random())
    if is_present(database) and cluster.may_lose(database, world.required_copies):
        await world.remove_database(database)
        world.counts["left"] += 1
    world.draining.discard(database.name)


async def restart(world: World, cluster: Cluster) -> None:
    """Start a replica again with its log, and without its pause."""
    database = choose_replica(world, cluster)
    if database is None:
        return
    await promotion_soak.restart_database(database, 0.02 + 0.5 * world.random.random())
    announce_start(world, database)
    world.counts["restarted"] += 1


async def empty(world: World, cluster: Cluster) -> None:
    """Start a replica again without its log, under its name."""
    database = choose_replica(world, cluster)
    if database is None or not cluster.may_lose(database, world.required_copies):
        return
    database.crash()
    await asyncio.sleep(0.02 + 0.3 * world.random.random())
    if database.is_primary or not cluster.may_lose(database, world.required_copies):
        await promotion_soak.restart_database(database, 0.0)
        announce_start(world, database)
        return
    database.start_empty()
    follow_newest(database)
    announce_start(world, database)
    world.reborn_at[database.name] = clock.read()
    world.counts["emptied"] += 1


async def replace(world: World, cluster: Cluster) -> None:
    """Replace a replica by one of another name."""
    database = choose_replica(world, cluster)
    if database is None or not cluster.may_lose(database, world.required_copies):
        return
    await world.remove_database(database)
    await asyncio.sleep(0.1 * world.random.random())
    await world.add_database(cluster)
    world.counts["replaced"] += 1


def choose_replica(world: World, cluster: Cluster) -> group_in_memory.Database | None:
    """Return a replica that is up, None if there is none."""
    primary = promotion_soak.find_newest_primary(cluster)
    found = [
        item
        for item in cluster.databases.values()
        if item is not primary and item.is_up and not item.is_primary
    ]
    return world.random.choice(found) if found else None


def is_present(database: group_in_memory.Database) -> bool:
    """Return whether a database is up and has not left."""
    return database.is_up and database.name in database.cluster.databases


def announce_start(world: World, database: group_in_memory.Database) -> None:
    """Publish that a database started again."""
    if is_present(database):
        world.born[database.name] = world.born.get(database.name, 1) + 1
        world.publish_database(database)


CHANGES = (join, join, leave, restart, empty, replace)
CHANGE_SETS = (
    CHANGES,
    CHANGES,
    (join, replace, leave),
    (restart, empty),
    (restart, replace),
)
"""Kinds of changes of a seed: some hide others."""


async def change_members(world: World, cluster: Cluster) -> None:
    """Change the members of a group once or twice, beside a change of its primary."""
    if cluster.group in world.changing:
        return
    world.changing.add(cluster.group)
    try:
        for _ in range(world.random.randrange(1, 3)):
            await asyncio.sleep(CHANGE_DELAY * world.random.random())
            change = world.random.choice(world.changes)
            names = sorted(cluster.databases)
            await change(world, cluster)
            world.note(
                f"{change.__name__} {cluster.group} {names} {sorted(cluster.databases)}"
            )
    finally:
        world.changing.discard(cluster.group)


async def watch_pauses(world: World) -> None:
    """Change a group's members from the moment on at which a log is paused."""
    paused: dict[str, int] = {}
    while True:
        await asyncio.sleep(WATCH_INTERVAL)
        for cluster in world.clusters.values():
            term = max(item.paused_term for item in cluster.databases.values())
            if world.has_trouble and term > paused.get(cluster.group, 0):
                world.note(f"paused {cluster.group} {term}")
                if world.random.random() < 0.8:
                    world.spawn(change_members(world, cluster))
            paused[cluster.group] = term


# Changes of primary


async def cut_primary(world: World, cluster: Cluster) -> None:
    """Let one node only reach a primary, and isolate that node in some cases."""
    primary = promotion_soak.find_newest_primary(cluster)
    if not primary.is_up:
        return
    index = world.random.randrange(world.nodes)
    if world.random.random() < FIRST_OWNER_SHARE:
        index = world.find_first_owner(primary)
    world.reaching[cluster.group] = index
    if world.random.random() < SLOW_SHARE:
        primary.statement_seconds = world.random.uniform(*SLOW_SECONDS)
    await asyncio.sleep(0.8 * world.random.random())
    is_isolated = (
        world.random.random() < ISOLATED_SHARE
        and not world.isolated
        and clock.read() > world.started_at[index] + PROCESS_START
    )
    link = world.links[primary.name]
    others = {world.find_address(item) for item in range(world.nodes) if item != index}
    link.blocked |= others
    if world.random.random() < RESET_SHARE:
        link.reset_blocked()
    if is_isolated:
        world.isolate(index)
    world.counts["cuts"] += 1
    world.note(
        f"cut {primary.name} term {primary.term} reached by {index} isolated "
        f"{is_isolated} statements {primary.statement_seconds:.3f}"
    )
    try:
        await asyncio.sleep(world.random.uniform(*CUT_SECONDS))
    finally:
        link.blocked -= others
        if is_isolated:
            world.reconnect(index)
        primary.statement_seconds = 0.005
        world.reaching.pop(cluster.group, None)
        world.note(f"healed {primary.name}")


async def drain_primary(world: World, cluster: Cluster) -> None:
    """Drain a primary, and replace it by a database with its log."""
    database = promotion_soak.find_newest_primary(cluster)
    world.draining.add(database.name)
    await asyncio.sleep(request_soak.DRAIN_SECONDS)
    world.draining.discard(database.name)
    if is_present(database):
        await promotion_soak.restart_database(database, 1.0)
        announce_start(world, database)


async def crash_primary(world: World, cluster: Cluster) -> None:
    """Crash a primary, which restarts with its log."""
    database = promotion_soak.find_newest_primary(cluster)
    await promotion_soak.restart_database(database, 0.5 + 1.5 * world.random.random())
    announce_start(world, database)


PRIMARY_CHANGES = (cut_primary, cut_primary, cut_primary, drain_primary, crash_primary)


async def change_primaries(world: World, cluster: Cluster, ends: float) -> None:
    """Change the primary of a group in series, and its members now and then."""
    while time.monotonic() < ends:
        await asyncio.sleep(promotion_soak.CHANGE_INTERVAL * world.random.random())
        if world.random.random() < 0.2:
            world.spawn(change_members(world, cluster))
        change = world.random.choice(PRIMARY_CHANGES)
        await change(world, cluster)


async def block_replica(world: World) -> None:
    """Have a replica receive nothing for some time."""
    cluster = world.random.choice(list(world.clusters.values()))
    database = choose_replica(world, cluster)
    if database is not None:
        database.is_receive_blocked = True
        await asyncio.sleep(0.5 + 2.0 * world.random.random())
        database.is_receive_blocked = False


async def kill_node(world: World) -> None:
    """Kill a node and start it again."""
    world.counts["killed"] += 1
    await promotion_soak.restart_node(world, world.random.randrange(world.nodes))


FAULTS = (
    kill_node,
    request_soak.stop_some_node,
    request_soak.suspend_nodes,
    request_soak.lose_power,
    request_soak.slow_database,
    block_replica,
)


async def inject_faults(world: World) -> None:
    """Inject overlapping faults for ``FAULT_SECONDS``."""
    ends = time.monotonic() + FAULT_SECONDS
    async with asyncio.TaskGroup() as tasks:
        for cluster in world.clusters.values():
            tasks.create_task(change_primaries(world, cluster, ends))
        while time.monotonic() < ends:
            await asyncio.sleep(0.5 + 2.5 * world.random.random())
            fault = world.random.choice(world.faults)
            world.note(f"fault {fault.__name__}")
            tasks.create_task(fault(world))


def describe_losses(world: World, commits: dict[str, request_soak.Run]) -> None:
    """Write each acknowledged write that a promoted log lacks to the run's log."""
    for group, cluster in world.clusters.items():
        for promotion in cluster.promoted:
            world.note(
                f"promoted {promotion.name} term {promotion.term} at "
                f"{promotion.at:.3f} with {len(promotion.kept)}"
            )
        written = set(cluster.acknowledged)
        final = {name for _, name in promotion_soak.find_newest_primary(cluster).log}
        for name, run in commits.items():
            request = world.requests[name]
            if request.group == group and name in written - final:
                world.note(
                    f"missing {name} of node {request.node}, sent "
                    f"{request.sent_at:.3f}, committed at {run.database} term "
                    f"{run.term} {run.at:.3f} to {run.ended_at:.3f}, told "
                    f"{request.ended_at:.3f}"
                )


def count_missing(world: World, commits: dict[str, request_soak.Run]) -> int:
    """Return the number of acknowledged writes that no final log has."""
    kept = {
        name
        for cluster in world.clusters.values()
        for _, name in promotion_soak.find_newest_primary(cluster).log
    }
    written = {
        name for cluster in world.clusters.values() for name in cluster.acknowledged
    }
    return len((commits.keys() & written) - kept)


async def run_seed(
    seed: int,
    folder: pathlib.Path,
    lane: int,
    nodes: int,
    required_copies: int = 2,
) -> tuple[list[str], str]:
    """Run one seed; return the violations and a summary."""
    world = World(seed, folder, lane, nodes, required_copies)
    try:
        await world.start()
        world.spawn(world.update_entries())
        await world.wait_until_ready()
        world.spawn(world.watch_processes())
        world.spawn(world.watch_stalls())
        world.spawn(watch_pauses(world))
        for group in world.clusters:
            for number in range(CALLERS):
                world.spawn(Caller(world, group, number).run())
        await asyncio.sleep(0.5)
        world.has_trouble = True
        await inject_faults(world)
        world.has_trouble = False
        await world.wait_until_ready()
        await asyncio.sleep(RECOVERY_SECONDS)
        world.ended_at = clock.read()
    finally:
        await world.close()
    return find_violations(world)


def find_violations(world: World) -> tuple[list[str], str]:
    """Return the violated guarantees and a summary."""
    commits = request_soak.find_commits(world)
    violations = world.violations + request_soak.find_unasked(world)
    wrong = group_in_memory.list_wrong_tokens(world.store.promotions)
    violations += [f"ONE: {item}" for item in wrong]
    excused = 0
    for group in world.clusters:
        found, count = request_soak.find_group_violations(world, group, commits)
        violations += found
        excused += count
    missing = count_missing(world, commits)
    if violations:
        describe_losses(world, commits)
    for item in violations:
        world.note(f"violation {item}")
    changes = sum(len(cluster.promoted) for cluster in world.clusters.values())
    counts = ", ".join(f"{count} {name}" for name, count in world.counts.items())
    return (
        violations,
        f"{missing} of {len(commits)} acknowledged writes missing, "
        f"{len(world.store.promotions)} requests, {changes} promotions, {counts}, "
        f"{excused} late commits beside suspensions and cuts, "
        f"the soak itself ran late by {world.stall:.1f} s",
    )


def main() -> int:
    """Run the seeds; return 1 if any had violations."""
    parser = fault_soak.make_parser(__doc__)
    parser.add_argument(
        "--only-copy",
        action="store_true",
        help="replicas leave while the primary alone has all commits",
    )
    arguments = parser.parse_args()
    run = functools.partial(
        run_seed,
        required_copies=1 if arguments.only_copy else 2,
    )
    return fault_soak.run_seeds(arguments, run)


if __name__ == "__main__":
    sys.exit(main())
