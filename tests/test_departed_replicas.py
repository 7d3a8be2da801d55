"""Replicas that leave with the only copy of a commit, and nodes that start later."""

import asyncio

import pytest

import builders_node


async def write_for(world, seconds: float) -> None:
    """Send writes through all nodes."""
    for _ in range(round(seconds / 0.1)):
        for name in world.nodes:
            world.tasks.start_soon(world.open(name, "latest").write)
        await asyncio.sleep(0.1)


async def restart_nodes(world) -> None:
    for name in list(world.nodes):
        world.kill_node(name)
    await asyncio.sleep(0.5)
    for name, zone in zip(("n0", "n1", "n2"), builders_node.ZONES, strict=True):
        world.start_node(name, zone)


def assert_nothing_lost(cluster) -> None:
    kept = {request for _, request in cluster.primary.log}
    assert set(cluster.acknowledged) <= kept


async def lose_replica(world, left_at: float) -> None:
    """Have the replica with the only copies leave, and the primary crash at 0."""
    primary, replica, lagging = world.clusters["g"].databases.values()
    await write_for(world, 1.0)
    lagging.is_receive_blocked = True
    await write_for(world, 1.0)
    if left_at > 0:
        primary.crash()
        await write_for(world, left_at)
    world.store.put(builders_node.ENDPOINT_KIND, replica.name, None)
    if left_at <= 0:
        await write_for(world, -left_at)
        primary.crash()
    await write_for(world, 0.5 - max(0.0, left_at))


@pytest.mark.parametrize("left_at", [-3.0, -1.0, 0.0, 0.3])
def test_nodes_that_all_start_after_a_replica_left_do_not_promote_a_log_that_lags(
    monkeypatch, left_at
):
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, _, lagging = cluster.databases.values()
        await lose_replica(world, left_at)
        acknowledged = set(cluster.acknowledged)
        await restart_nodes(world)
        await write_for(world, 10.0)
        assert [len(acknowledged - item.kept) for item in cluster.promoted] == []
        primary.is_up, lagging.is_receive_blocked = True, False
        await write_for(world, 4.0)
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)
