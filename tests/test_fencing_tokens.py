"""Fencing tokens while one leader changes the primaries of several groups."""

import asyncio
import random

import pytest

import builders_node
from sardinehold.node import clock

GROUPS = ["g", "h", "k"]


def test_requests_for_several_groups_never_lower_the_token(monkeypatch):
    # The request for one group overtook the one that had been numbered before it.
    async def scenario(world):
        world.connect_delays = [0.3, 0.2, 0.1]
        for cluster in world.clusters.values():
            cluster.primary.crash()
        await send_writes(world, 4.0)
        assert {item.group for item in world.promotions} == set(GROUPS)
        assert not world.list_wrong_tokens()

    builders_node.run_scenario(monkeypatch, scenario, further=GROUPS[1:])


def test_renewal_between_two_requests_does_not_change_the_token(monkeypatch):
    # The later request, for another group, overtakes the earlier one.
    async def scenario(world):
        node = world.nodes[world.find_leader()]
        version = node.leadership.version
        world.connect_delays = [0.7, 0.0]
        first = asyncio.create_task(node.leader.request_promotion("g", "g-0"))
        while node.leadership.version == version:
            await asyncio.sleep(0.01)
        await node.leader.request_promotion("h", "h-0")
        await first
        assert [item.group for item in world.promotions] == ["h", "g"]
        assert not world.list_wrong_tokens()

    builders_node.run_scenario(monkeypatch, scenario, further=GROUPS[1:])


async def send_writes(world, seconds):
    """Write to each group from each node for some time."""
    routes = ["latest", *GROUPS[1:]]

    async def write(name, route):
        while name in world.nodes:
            await world.open(name, route).write()
            await asyncio.sleep(0.05)

    tasks = [
        asyncio.create_task(write(name, route))
        for name in world.nodes
        for route in routes
    ]
    await asyncio.sleep(seconds)
    for task in tasks:
        task.cancel()


def restart(database):
    """Start a crashed database, as a replica if another one was promoted."""
    database.is_up = True
    others = database.cluster.databases.values()
    if any(other.is_primary and other.term > database.term for other in others):
        database.is_primary = False


async def disturb(world, source):
    """Apply one random fault, and undo it after a while."""
    databases = list(world.clusters[source.choice(GROUPS)].databases.values())
    database = max(databases, key=lambda item: (item.is_primary, item.term))
    name = world.find_leader() or source.choice(sorted(world.nodes))
    fault = source.choice(["crash", "drain", "deaf", "cut", "isolate", "restart"])
    if fault == "crash":
        database.crash()
        await asyncio.sleep(source.uniform(0.5, 3.0))
        restart(database)
    elif fault == "drain":
        world.publish_endpoint(database.name, is_draining=True)
        await asyncio.sleep(source.uniform(1.0, 3.0))
        world.publish_endpoint(database.name, born=round(clock.read() * 1000))
    elif fault == "deaf":
        replica = source.choice([item for item in databases if item is not database])
        replica.is_receive_blocked = True
        await asyncio.sleep(source.uniform(1.0, 4.0))
        replica.is_receive_blocked = False
    elif fault == "restart":
        zone = world.nodes[name].settings.zone
        world.kill_node(name)
        await asyncio.sleep(source.uniform(0.1, 2.0))
        world.start_node(name, zone)
    else:
        others = [item for item in world.nodes if item != name]
        cuts = {frozenset((name, other)) for other in others if fault == "isolate"}
        world.store.cut.add(name)
        world.cuts |= cuts
        await asyncio.sleep(source.uniform(0.5, 4.0))
        world.store.cut.discard(name)
        world.cuts -= cuts


@pytest.mark.parametrize("seed", [6, 11, 15])
def test_tokens_and_promoted_logs_under_random_faults(monkeypatch, seed):
    async def scenario(world):
        source = random.Random(seed)
        world.connect_delays = [source.uniform(0.0, 0.6) for _ in range(200)]
        world.request_delays = [source.choice([0.005, 0.005, 2.0]) for _ in range(200)]
        writes = asyncio.create_task(send_writes(world, 30.0))
        for _ in range(8):
            await asyncio.gather(*[disturb(world, source) for _ in range(2)])
            world.find_leader()
        await asyncio.sleep(12.0)
        writes.cancel()
        assert world.promotions
        assert not world.list_wrong_tokens()
        for cluster in world.clusters.values():
            kept = {request for _, request in cluster.primary.log}
            assert set(cluster.acknowledged) <= kept

    builders_node.run_scenario(monkeypatch, scenario, further=GROUPS[1:])
