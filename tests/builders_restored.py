"""A fleet in virtual time under random faults, among them restores of the store."""

import asyncio
import random

import builders_node
from sardinehold.node import clock

FAULT_SECONDS = 25.0
"""Seconds during which faults begin."""

SETTLE_SECONDS = 14.0
"""Seconds after the last fault until the fleet must be whole: a takeover, a change of
primary, and the longest fault that may still run."""

COPY_INTERVAL = 0.5
CHECK_INTERVAL = 0.02
MAX_COPIES = 16


class Run:
    """Faults, callers and checks of one seed.

    :param violations: what was seen that must not be.
    :param served: number of statements that were served.
    """

    def __init__(self, generator: random.Random) -> None:
        self.random = generator
        self.violations: list[str] = []
        self.served = 0
        self.restores = 0
        self.version = 1
        self.copies: list = []
        self.acknowledged: set[str] = set()
        self._versions: dict[str, int] = {}
        self._busy: set[str] = set()
        self._is_down = False

    async def play(self, world: builders_node.World) -> None:
        for name in list(world.nodes):
            world.tasks.start_soon(self._call, world, name)
        world.tasks.start_soon(self._watch, world)
        faults = [
            self.restore_store,
            self.restore_store,
            self.kill_node,
            self.cut_node,
            self.crash_primary,
            self.configure,
        ]
        ends = clock.read() + FAULT_SECONDS
        while clock.read() < ends:
            world.tasks.start_soon(self.random.choice(faults), world)
            await asyncio.sleep(0.2 + 2.5 * self.random.random())
        await asyncio.sleep(SETTLE_SECONDS)
        await self._check_end(world)

    # Faults

    async def restore_store(self, world: builders_node.World) -> None:
        if self._is_down or not self.copies:
            return
        self._is_down = True
        self.restores += 1
        away = {f"n{index}" for index in range(9)} - world.store.cut
        world.store.cut |= away
        world.store.abort_watches()
        await asyncio.sleep(2.5 * self.random.random())
        world.store.restore(self.random.choice(self.copies))
        self.copies.clear()
        world.store.cut -= away
        self._is_down = False
        await asyncio.sleep(1.5 * self.random.random())
        world.publish(version=self.version)
        self._publish_endpoints(world)

    async def kill_node(self, world: builders_node.World) -> None:
        name = self.random.choice(sorted(world.nodes))
        if name in self._busy:
            return
        self._busy.add(name)
        zone = world.nodes[name].settings.zone
        world.kill_node(name)
        self._versions.pop(name, None)
        await asyncio.sleep(self.random.random())
        world.start_node(name, zone)
        self._busy.discard(name)

    async def cut_node(self, world: builders_node.World) -> None:
        name = self.random.choice(sorted(world.nodes))
        if self._is_down or name in world.store.cut:
            return
        world.store.cut.add(name)
        await asyncio.sleep(0.3 + 3.0 * self.random.random())
        world.store.cut.discard(name)

    async def crash_primary(self, world: builders_node.World) -> None:
        databases = world.clusters["g"].databases.values()
        leaders = [item for item in databases if item.is_primary and item.is_up]
        if not leaders or not all(item.is_up for item in databases):
            return
        database = max(leaders, key=lambda item: item.term)
        database.crash()
        await asyncio.sleep(4.0 + 2.0 * self.random.random())
        others = [item for item in databases if item is not database]
        newest = max(others, key=lambda item: (item.is_primary, item.term))
        if newest.is_primary and newest.term > database.term:
            database.is_primary = False
            database.log = list(newest.log)
            database.applied = len(database.log)
            database.term = newest.term
        database.paused_term = 0
        database.is_up = True

    async def configure(self, world: builders_node.World) -> None:
        self.version += 1
        if not self._is_down:
            world.publish(version=self.version)

    def _publish_endpoints(self, world: builders_node.World) -> None:
        for name in world.clusters["g"].databases:
            world.publish_endpoint(name)

    # Callers and checks

    async def _call(self, world: builders_node.World, name: str) -> None:
        while True:
            await asyncio.sleep(0.05 + 0.1 * self.random.random())
            if name not in world.nodes:
                continue
            client = world.open(name, self.random.choice(["latest", "session"]))
            if self.random.random() < 0.5:
                await self._write(world, client)
            elif client.session.route_name == "latest":
                await self._read(world, client)

    async def _write(self, world, client) -> None:
        answer = await client.write()
        if answer.error is None:
            self.served += 1
            self.acknowledged.add(answer.completion_tag.split()[-1])

    async def _read(self, world, client) -> None:
        log = [request for _, request in self._find_newest(world).log]
        known = [n + 1 for n, item in enumerate(log) if item in self.acknowledged]
        floor = max(known, default=0)
        before = len(world.clusters["g"].executions)
        answer = await client.read()
        if answer.error is not None:
            return
        self.served += 1
        request = answer.completion_tag.split()[-1]
        runs = [
            run
            for run in world.clusters["g"].executions[before:]
            if run.request_id == request
        ]
        if runs and runs[-1].log < floor:
            self._note(f"stale read {request}: {runs[-1].log} of {floor}")

    @staticmethod
    def _find_newest(world):
        databases = world.clusters["g"].databases.values()
        return max(databases, key=lambda item: (item.is_primary, item.term))

    async def _watch(self, world: builders_node.World) -> None:
        saved_at = float("-inf")
        while True:
            now = clock.read()
            if now >= saved_at + COPY_INTERVAL and not self._is_down:
                saved_at = now
                self.copies = [*self.copies, world.store.save()][-MAX_COPIES:]
            leaders = [
                name for name, node in world.nodes.items() if node.leadership.leads(now)
            ]
            if len(leaders) > 1:
                self._note(f"{leaders} lead at {now:.2f}")
            for name, node in world.nodes.items():
                version = node.find_version()
                if version < self._versions.get(name, 0):
                    self._note(f"{name} returned to configuration {version}")
                self._versions[name] = version
            await asyncio.sleep(CHECK_INTERVAL)

    async def _check_end(self, world: builders_node.World) -> None:
        cluster = world.clusters["g"]
        for wrong in world.list_wrong_tokens():
            self._note(wrong)
        if not world.find_leader():
            self._note("nobody leads")
        for name, node in world.nodes.items():
            if node.find_version() != self.version:
                self._note(f"{name} has configuration {node.find_version()}")
        log = [request for _, request in cluster.primary.log]
        if lost := self.acknowledged - set(log):
            self._note(f"lost writes {sorted(lost)[:5]}")
        if len(set(log)) != len(log):
            self._note("a write was applied twice")
        for name in world.nodes:
            answer = await world.open(name, "latest").write()
            if answer.error is not None:
                self._note(f"{name} serves no write: {answer.detail}")

    def _note(self, violation: str) -> None:
        if len(self.violations) < 20:
            self.violations.append(violation)


def run(monkeypatch, played: Run, count: int = 3) -> None:
    """Play a run with ``count`` nodes in virtual time."""
    builders_node.run_scenario(monkeypatch, played.play, count)
