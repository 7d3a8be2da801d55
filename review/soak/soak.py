"""A random soak of node processes over the review's stand-ins.

    python3 soak.py SEED SECONDS [restore]

Clients run statements and transactions with session values and prepared statements,
beside kills, stops, pauses and reloads of nodes, cuts of their links to the platform,
and trouble at the databases. Each run at a database is checked when it happens, and
the logs are checked at the end. Writes record.txt, and exits as the cases do.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import links  # noqa: E402
import world as worlds  # noqa: E402

STALENESS = {"lepu270": 0.0, "xapu221": 1.5, "fiti832": 2.5}
KEYS = {"u6wsjnba": "nypu920", "k2m4x7wq": "dofa41", "zzq1": "rilo7"}
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
CLIENTS = 14
NODES = 4


class World(worlds.World):
    """A world with links to the platform, and what the clients know."""

    def __init__(self, folder) -> None:
        super().__init__(folder)
        self.links = []
        self.random = random.Random(0)
        self.seconds = 60.0
        self.restores = False
        self.acknowledged: dict[str, float] = {}
        self.promised: set[str] = set()
        self.statements: dict[str, "Sent"] = {}
        self.connections: dict[str, worlds.DatabaseConnection] = {}
        self.copies = []
        self.era = 1

    async def place_links(self, count: int) -> None:
        for index in range(count):
            pair = links.Link(self.store.port), links.Link(self.cloud.port)
            for link in pair:
                await link.start()
            self.links.append(pair)
            self.store_ports[index], self.cloud_ports[index] = pair[0].port, pair[1].port


class Sent:
    """A statement as its client sent it."""

    def __init__(self, route, tenant, values, shape, transaction, began, own) -> None:
        self.route = route
        self.tenant = tenant
        self.values = dict(values)
        self.shape = shape
        self.transaction = transaction
        self.began = began
        self.own = list(own)

    def list_required(self, world: World) -> list[str]:
        """Return the commits that a read has to see."""
        before = self.began - STALENESS[self.route]
        required = [item for item, at in world.acknowledged.items() if at <= before]
        return required + (self.own if self.route == "fiti832" else [])


class Connection(worlds.DatabaseConnection):
    """A database's connection that checks each statement that runs."""

    async def _execute(self, request_id, text, word, rest, after):
        database = self.database
        world = database.cluster.world
        sent = world.statements.get(request_id)
        if sent is None:
            world.record.violate(f"UNASKED {request_id} [{text}]")
        count = len(database.log) if database.is_primary else database.applied
        log = list(database.log[:count])
        answer = await super()._execute(request_id, text, word, rest, after)
        if sent is None or not answer or not answer[-1].startswith("COMPLETE"):
            return answer
        report = world.record.violate
        if sent.tenant != self.tenant:
            report(f"UNASKED {request_id} runs for {self.tenant}")
        if sent.values != self.values:
            report(f"PINNED values {request_id}: {self.values}, sent {sent.values}")
        if word == "EXECUTE" and self.prepared[rest.split(" ")[0]] != sent.shape:
            report(f"PINNED shape {request_id}")
        if sent.transaction is None and self.state != "I":
            report(f"PINNED {request_id} runs inside a transaction")
        if sent.transaction is not None:
            if world.connections.setdefault(sent.transaction, self) is not self:
                report(f"PINNED {request_id} runs on another connection")
            if self.state != "T" and word != "COMMIT":
                report(f"PINNED {request_id} runs outside its transaction")
        if word == "READ" or (sent.shape or ("",))[0] == "READ":
            seen = {item for _, ids in log for item in ids}
            missing = [item for item in sent.list_required(world) if item not in seen]
            if missing:
                report(f"STALE {request_id} at {database.name} lacks {missing[:3]}")
        return answer


worlds.DatabaseConnection = Connection


class Client:
    """A caller that uses one session after another."""

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.random = world.random
        self.number = number

    async def run(self, until: float) -> None:
        while time.monotonic() < until:
            node = self.random.choice(self.world.nodes)
            self.key = self.random.choice(list(KEYS))
            self.route = self.random.choice(list(STALENESS))
            self.session = worlds.Session(self.world, node, self.route, self.key)
            self.values, self.prepared, self.own = {}, {}, []
            try:
                if (await self.session.open()).startswith("READY"):
                    for _ in range(self.random.randrange(3, 40)):
                        if time.monotonic() > until or not await self.operate():
                            break
                        await asyncio.sleep(self.random.random() * 0.05)
            except (OSError, EOFError, TimeoutError):
                pass
            finally:
                self.session.close()
            await asyncio.sleep(0.05)

    async def ask(self, text: str, request_id: str = "") -> tuple[str, str]:
        request_id = request_id or worlds.make_id()
        code, detail, _ = await self.session.ask(request_id, text)
        if code in ("LOST", "SILENT"):
            raise OSError
        return code, detail

    async def operate(self) -> bool:
        """Run one operation; return whether the session can go on."""
        dice = self.random.random()
        if dice < 0.1:
            name, value = f"v{self.random.randrange(3)}", f"x{self.random.randrange(5)}"
            if (await self.ask(f"SET {name} {value}"))[0] != "COMPLETE":
                return False
            self.values = {**self.values, name: value}
            return True
        if dice < 0.18:
            name, shape = f"s{self.random.randrange(2)}", f"q{self.random.randrange(4)}"
            kind = self.random.choice(["READ", "WRITE"])
            if (await self.ask(f"PREPARE {name} {kind} {shape}"))[0] != "COMPLETE":
                return False
            self.prepared[name] = (kind, shape)
            return True
        if dice < 0.7:
            wrote: list[str] = []
            await self.run_statement(None, False, time.monotonic(), wrote)
        else:
            await self.run_transaction()
        return self.session.state == "I"

    async def run_transaction(self) -> None:
        began = time.monotonic()
        transaction = worlds.make_id()
        is_read_only = self.random.random() < 0.3
        begin = "BEGIN READ" if is_read_only else "BEGIN"
        if (await self.ask(begin, transaction))[0] != "COMPLETE":
            return
        wrote: list[str] = []
        is_good = True
        for _ in range(self.random.randrange(1, 4)):
            is_good = await self.run_statement(transaction, is_read_only, began, wrote)
            if not is_good:
                break
            if self.random.random() < 0.3:
                await asyncio.sleep(self.random.random() * 0.2)
        if not is_good or self.random.random() < 0.1:
            if self.session.state != "I":
                await self.ask("ROLLBACK")
            self.world.promised.update(wrote)
            return
        request = worlds.make_id()
        self.note(request, None, transaction, began)
        code, _ = await self.ask("COMMIT", request)
        if code == "COMPLETE":
            self.acknowledge(wrote)
        elif code in PROMISES:
            self.world.promised.update(wrote)

    def note(self, request, shape, transaction, began) -> None:
        self.world.statements[request] = Sent(
            self.route, KEYS[self.key], self.values, shape, transaction, began, self.own
        )

    def acknowledge(self, wrote: list[str]) -> None:
        for item in wrote:
            self.world.acknowledged[item] = time.monotonic()
            self.own.append(item)

    async def run_statement(self, transaction, is_read_only, began, wrote) -> bool:
        request = worlds.make_id()
        is_write = self.random.random() < 0.4 and not is_read_only
        word, shape = ("WRITE" if is_write else "READ"), None
        if self.prepared and self.random.random() < 0.4:
            name = self.random.choice(list(self.prepared))
            shape = self.prepared[name]
            is_write = shape[0] == "WRITE"
            if is_write and is_read_only:
                return True
            word = f"EXECUTE {name}"
        text = f"{word} it{self.number}" + (" d" if is_write else "")
        self.note(request, shape, transaction, began)
        code, detail = await self.ask(text, request)
        if code != "COMPLETE":
            if is_write and transaction is None and code in PROMISES:
                self.world.promised.add(request)
            return False
        if not detail.endswith(request):
            self.world.record.violate(f"MIXED {request}: {detail}")
        if is_write:
            wrote.append(request)
            if transaction is None:
                self.acknowledge([request])
        return True


# Disruptions


async def disturb_node(world: World, busy: set) -> None:
    node = world.random.choice(world.nodes)
    kind = world.random.choice(["kill", "term", "stop", "stop", "cut", "cut", "hup"])
    if node in busy or not node.is_running:
        return
    busy.add(node)
    world.record.write(f"disruption: {kind} {node.name}")
    try:
        if kind == "kill":
            node.process.kill()
            await node.process.wait()
            await asyncio.sleep(world.random.random() * 2)
            await node.start()
        elif kind == "term":
            node.process.terminate()
            await node.process.wait()
            await node.start()
        elif kind == "stop":
            node.signal(signal.SIGSTOP)
            await asyncio.sleep(0.3 + 3.2 * world.random.random())
            node.signal(signal.SIGCONT)
        elif kind == "cut":
            for link in world.links[node.index]:
                link.cut()
            await asyncio.sleep(0.5 + 5 * world.random.random())
            for link in world.links[node.index]:
                link.heal()
        else:
            node.signal(signal.SIGHUP)
    finally:
        busy.discard(node)


async def disturb_database(world: World, busy: set) -> None:
    if busy:
        return
    cluster = world.clusters["huvo11a"]
    primary = cluster.find_newest_primary()
    replicas = [item for item in cluster.databases.values() if item is not primary]
    replica = world.random.choice(replicas)
    kind = world.random.choice(
        ["crash", "replica", "deaf", "lag", "release", "release", "cut", "alone"]
    )
    busy.add(kind)
    span = 0.5 + 5 * world.random.random()
    world.record.write(f"disruption: database {kind}, primary {primary.name}")
    try:
        if kind == "crash":
            primary.crash()
            await asyncio.sleep(span)
            primary.restart()
        elif kind == "replica":
            replica.crash()
            await asyncio.sleep(span)
            replica.restart()
        elif kind == "deaf":
            replica.is_deaf = True
            await asyncio.sleep(world.random.random() * 2)
            primary.crash()
            await asyncio.sleep(1 + span)
            primary.restart()
            replica.is_deaf = False
        elif kind == "lag":
            for item in replicas:
                item.lag = 1.0
            await asyncio.sleep(4)
            for item in replicas:
                item.lag = 0.03
        elif kind == "release":
            await cluster.add_replacement(primary)
            await asyncio.sleep(0.5)
            primary.drain()
            await asyncio.sleep(8)
            primary.leave()
        elif kind == "cut":
            replica.cut_off = {primary.name}
            await asyncio.sleep(span)
            replica.cut_off = set()
        else:
            primary.cut_off = {item.name for item in replicas}
            await asyncio.sleep(span)
            primary.cut_off = set()
    finally:
        busy.clear()


async def copy_store(world: World) -> None:
    """Keep copies of the store, to which it can be restored."""
    store = world.store
    store.headers = "Store-Era: 1\r\n"
    while True:
        now = time.monotonic()
        world.copies.append((now, store.revision, dict(store.objects), list(store.events)))
        del world.copies[:-60]
        await asyncio.sleep(0.25)


async def restore_store(world: World) -> None:
    """Let the store come back from a copy; others write their entries again."""
    store = world.store
    age = world.random.choice([1, 3, 6, 9])
    store.latency = 1.0
    await asyncio.sleep(world.random.random() * 1.5)
    store.latency = 0.004
    before = time.monotonic() - age
    chosen = [item for item in world.copies if item[0] <= before] or world.copies[:1]
    configuration = store.objects["config", "main"][1]
    servers = {name for kind, name in store.objects if kind == "servers"}
    _, store.revision, objects, events = chosen[-1]
    store.objects, store.events = dict(objects), list(events)
    world.era += 1
    store.headers = f"Store-Era: {world.era}\r\n"
    world.copies[:] = [(0.0, store.revision, dict(objects), list(events))]
    world.record.write(f"disruption: the store is restored, {age} s back")
    store._notify()
    store.put("config", "main", worlds.Raw(configuration))
    for database in world.clusters["huvo11a"].databases.values():
        if database.is_up:
            database.register()
    for kind, name in list(store.objects):
        if kind == "servers" and name not in servers:
            store.remove(kind, name)


async def disturb(world: World, until: float) -> None:
    if world.restores:
        world.tasks.append(asyncio.create_task(copy_store(world)))
    nodes: set = set()
    databases: set = set()
    running = []
    while time.monotonic() < until - 8:
        await asyncio.sleep(world.random.random() * 2.5)
        dice = world.random.random()
        if world.restores and dice < 0.25:
            running.append(asyncio.create_task(restore_store(world)))
        elif world.random.random() < 0.55:
            running.append(asyncio.create_task(disturb_node(world, nodes)))
        else:
            running.append(asyncio.create_task(disturb_database(world, databases)))
    await asyncio.gather(*running)


async def scenario(world: World, has_trouble: bool) -> None:
    world.random = random.Random(int(sys.argv[1]))
    world.seconds = float(sys.argv[2])
    world.restores = "restore" in sys.argv[3:]
    cluster = world.add_cluster()
    cluster.world = world
    world.tenants = {tenant: [key] for key, tenant in KEYS.items()}
    world.rate = 2000
    await world.start(NODES)
    until = time.monotonic() + world.seconds
    callers = [Client(world, number).run(until) for number in range(CLIENTS)]
    await asyncio.gather(*callers, *([disturb(world, until)] if has_trouble else []))
    await asyncio.sleep(1.0)
    log = [item for _, ids in cluster.find_newest_primary().log for item in ids]
    kept = set(log)
    for item in kept:
        if log.count(item) > 1:
            world.record.violate(f"TWICE {item}")
    lost = [item for item in world.acknowledged if item not in kept]
    if lost:
        world.record.violate(f"LOST {len(lost)} acknowledged writes: {lost[:5]}")
    refused = [item for item in world.promised if item in kept]
    if refused:
        world.record.violate(f"REFUSED {refused[:5]}")
    highest = 0
    for *_, token in world.cloud.calls:
        if token < highest:
            world.record.violate(f"ONE token {token} after {highest}")
        highest = max(highest, token)
    print(
        f"seed {sys.argv[1]}: {len(world.acknowledged)} writes, {len(cluster.runs)} runs,"
        f" {len(cluster.promotions)} promotions"
    )


if __name__ == "__main__":
    os.makedirs(FOLDER / "records", exist_ok=True)
    target = FOLDER / "records" / sys.argv[1]
    target.mkdir(exist_ok=True)
    worlds.run(str(target), scenario, World)
