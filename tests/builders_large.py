"""A fleet of hundreds of nodes on VMs whose processors and links are limited.

Datagrams between nodes wait for the sender's processor and link and for the receiver's
link and processor, in virtual time. Operations only take tokens of their teams.
"""

import asyncio
import collections
import json
import random

import anyio

import builders_node
from sardinehold.node import clock
from sardinehold.node import outcomes
from sardinehold.node import peers
from sardinehold.node import settings

DATAGRAM_COST = 0.0003
"""Seconds of a whole core that sending or handling a datagram takes."""

BYTE_COST = 1e-8
"""Seconds of a whole core that each byte of a datagram takes in addition."""

HEADER_BYTES = 28
"""Bytes of the IPv4 and UDP headers."""

PROPAGATION = {0: 0.0005, 1: 0.0005, 2: 0.008}
"""One-way delay in seconds by the distance of two availability zones."""

ZONES = {
    f"{region}-{index}": region
    for region in ("north", "middle", "south")
    for index in (1, 2)
}

STRONG_CORES = 2.15
STRONG_LINK = 200e6
WEAK_CORES = 0.516
WEAK_LINK = 20e6
STRONG_SHARE = 0.1
"""Share of the VMs that are strong; at least one in each zone."""

OPERATIONS_PER_NODE = 6.0
"""Operations a second that callers send to each node."""

TEAMS = 140
SESSIONS_PER_NODE = 25
DEMAND_SHARE = 0.4
"""Demand of each team as a fraction of its rate."""

OPERATION_TIME = 4.0
RETRY_DELAY = 1.0
RETRIES = 2


class Host:
    """Processor and link of a VM.

    :param cores: speed of its processor relative to a whole core.
    :param bits: bandwidth of its link in bits a second, in each direction.
    """

    __slots__ = ("cores", "bits", "free_at", "sent_at", "received_at", "used", "bytes")

    def __init__(self, cores: float, bits: float) -> None:
        self.cores = cores
        self.bits = bits
        self.free_at = self.sent_at = self.received_at = 0.0
        self.used = 0.0
        self.bytes = 0

    def work(self, now: float, size: int) -> float:
        """Return when the processor has handled a datagram that arrives at ``now``."""
        seconds = (DATAGRAM_COST + BYTE_COST * size) / self.cores
        self.used += seconds
        self.free_at = max(self.free_at, now) + seconds
        return self.free_at

    def send(self, now: float, size: int) -> float:
        """Return when the link has sent a datagram."""
        self.bytes += size
        self.sent_at = max(self.sent_at, now) + 8 * size / self.bits
        return self.sent_at

    def receive(self, now: float, size: int) -> float:
        """Return when the link has received a datagram."""
        self.bytes += size
        self.received_at = max(self.received_at, now) + 8 * size / self.bits
        return self.received_at


class HostDatagrams(builders_node.Datagrams):
    """Delivers datagrams through the processors and links of two VMs."""

    def send(self, message, address):
        world, loop = self.world, asyncio.get_running_loop()
        if not self.key or world.is_partitioned(self.node, address[0]):
            return
        body = peers.pack(json.dumps(message, separators=(",", ":")).encode())
        size = len(body) + peers.DIGEST_BYTES + HEADER_BYTES
        near = world.hosts[self.node]
        sent_at = near.send(near.work(loop.time(), size), size)
        delay = PROPAGATION[world.measure_distance(self.node, address[0])]
        loop.call_at(sent_at + delay, self._arrive, address[0], body, size)

    def _arrive(self, name: str, body: bytes, size: int) -> None:
        target = self.world.nodes.get(name)
        if target is None or self.world.is_partitioned(self.node, name):
            return
        loop = asyncio.get_running_loop()
        host = self.world.hosts[name]
        handled_at = host.work(host.receive(loop.time(), size), size)
        loop.call_at(handled_at, self._handle, target, body)

    def _handle(self, target, body: bytes) -> None:
        if self.world.nodes.get(target.settings.name) is not target:
            return
        if target.settings.name in self.world.frozen:
            return
        target.peers._receive(json.loads(peers.unpack(body)), (self.node, 1))


class LargeWorld(builders_node.World):
    """A fleet on limited VMs in six zones of three regions, with callers of many teams.

    ``outcomes`` counts granted and refused operations by second.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, count: int) -> None:
        super().__init__(tasks)
        self.count = count
        self.random = random.Random(builders_node.SEED)
        self.hosts: dict[str, Host] = {}
        self.zones: dict[str, str] = {}
        self.granted: dict[int, int] = {}
        self.refused: dict[int, int] = {}
        weights = [1.0 / (index + 1) ** 0.8 for index in range(TEAMS)]
        teams = [f"team-{index}" for index in range(TEAMS)]
        self.sessions = {
            f"n{index}": self.random.choices(teams, weights, k=SESSIONS_PER_NODE)
            for index in range(count)
        }
        drawn = collections.Counter(
            team for chosen in self.sessions.values() for team in chosen
        )
        demand = OPERATIONS_PER_NODE / SESSIONS_PER_NODE
        self.teams = {team: self._make_limits(drawn[team] * demand) for team in teams}

    @staticmethod
    def _make_limits(demand: float) -> tuple[float, float]:
        rate = demand / DEMAND_SHARE
        return rate, max(8.0, rate)

    def measure_distance(self, one: str, other: str) -> int:
        zones = self.zones[one], self.zones[other]
        if zones[0] == zones[1]:
            return 0
        return 1 if ZONES[zones[0]] == ZONES[zones[1]] else 2

    def is_strong(self, name: str) -> bool:
        return self.hosts[name].cores == STRONG_CORES

    def make_settings(self, name: str, zone: str) -> settings.Settings:
        return settings.Settings(
            name,
            zone,
            ZONES,
            ("", 1),
            ("", 1),
            (name, 1),
            0,
            ("", 1),
            ("", 1),
            weight=self.hosts[name].cores,
        )

    def make_datagrams(self, name: str, receive: peers.Receive) -> HostDatagrams:
        return HostDatagrams(self, name, receive)

    def start_node(self, name: str, zone: str = "north-1"):
        zone = self.zones.setdefault(name, zone)
        node = super().start_node(name, zone)
        node.leadership.spread = self.random.random()
        return node

    async def start(self, count: int, **configuration: object) -> None:
        """Start all nodes within 0.3 s and wait until they have a leader."""
        self.publish(teams=self.teams, **configuration)
        for name in self.clusters["g"].databases:
            self.publish_endpoint(name)
        zones = list(ZONES)
        strong = max(len(zones), round(STRONG_SHARE * count))
        for index in range(count):
            name = f"n{index}"
            is_strong = index < strong
            self.hosts[name] = Host(
                STRONG_CORES if is_strong else WEAK_CORES,
                STRONG_LINK if is_strong else WEAK_LINK,
            )
            self.start_node(name, zones[index % len(zones)])
            await asyncio.sleep(0.3 / count)
        await asyncio.sleep(6.0)

    def kill_all(self) -> dict[str, str]:
        """Cut the power of all nodes; return their zones."""
        zones = {name: self.zones[name] for name in self.nodes}
        for name in zones:
            self.kill_node(name)
        return zones

    async def send_operations(self) -> None:
        """Send operations of all teams to the nodes that run until cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += self.random.expovariate(OPERATIONS_PER_NODE * self.count)
            await asyncio.sleep(due - loop.time())
            if self.nodes:
                name = self.random.choice(list(self.nodes))
                team = self.random.choice(self.sessions[name])
                self.tasks.start_soon(self._ask, name, team)

    async def _ask(self, name: str, team: str) -> None:
        deadline = clock.read() + OPERATION_TIME
        for _ in range(1 + RETRIES):
            node = self.nodes.get(name)
            second = int(clock.read())
            try:
                if node is not None:
                    await node.acquire_token(team, deadline)
                    self.granted[second] = self.granted.get(second, 0) + 1
                    return
            except outcomes.StatementFailed:
                pass
            self.refused[second] = self.refused.get(second, 0) + 1
            await asyncio.sleep(RETRY_DELAY)

    def measure_served(self, since: float, until: float) -> float:
        """Return the share of operations between two times that got a token."""
        seconds = range(int(since), int(until))
        granted = sum(self.granted.get(second, 0) for second in seconds)
        refused = sum(self.refused.get(second, 0) for second in seconds)
        return granted / max(1, granted + refused)

    def reset_load(self) -> None:
        """Start to measure the processors and links anew."""
        for host in self.hosts.values():
            host.used = 0.0
            host.bytes = 0


def run_scenario(monkeypatch, scenario, count: int) -> None:
    """Start a large fleet with callers, run ``scenario(world)``, and stop."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            world = LargeWorld(tasks, count)
            await world.start(count)
            tasks.start_soon(world.send_operations)
            await scenario(world)
            tasks.cancel_scope.cancel()

    builders_node.run(monkeypatch, main)
