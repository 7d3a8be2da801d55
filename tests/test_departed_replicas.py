"""Replicas that leave with the only copy of a commit, and nodes that start later."""

import asyncio

import pytest

import builders_node
from sardinehold.node import clock
from sardinehold.node import endpoint_lists
from sardinehold.node import failover
from sardinehold.node import groups
from sardinehold.node import store_mirror
from sardinehold_standins import group_in_memory

LIST = store_mirror.FLEET_KIND, "endpoints.g"


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


def publish_replica(world, name: str, **changes: object) -> None:
    """Add an empty replica to the group, and publish it."""
    cluster = world.clusters["g"]
    cluster.databases[name] = group_in_memory.Database(cluster, name, "north")
    world.publish_endpoint(name, **changes)


def transfer_log(world, left, name: str) -> None:
    """Publish a replica with the log and the address of one that left."""
    replica = group_in_memory.Database(left.cluster, name, left.zone)
    replica.log, replica.applied = list(left.log), left.applied
    left.cluster.databases[name] = replica
    world.publish_endpoint(name, host=left.name)


def find_list(world) -> list[str]:
    return list(world.store.objects[LIST].value["endpoints"])


def count_writes(world) -> int:
    return sum((item.kind, item.name) == LIST for item in world.store.history)


def test_list_of_endpoints_is_written_only_when_it_changes(monkeypatch):
    async def scenario(world):
        assert (find_list(world), count_writes(world)) == (["g-0", "g-1", "g-2"], 1)
        await write_for(world, 2.0)
        # A replica whose record is away for some time is no change.
        world.store.put(builders_node.ENDPOINT_KIND, "g-1", None)
        await asyncio.sleep(20.0)
        world.publish_endpoint("g-1")
        # Neither is a change of primary, nor a start of the nodes.
        world.clusters["g"].primary.crash()
        await write_for(world, 4.0)
        await restart_nodes(world)
        await asyncio.sleep(endpoint_lists.DEPARTED_RETENTION + 10.0)
        assert world.clusters["g"].promoted
        assert count_writes(world) == 1
        publish_replica(world, "g-3")
        await asyncio.sleep(1.0)
        assert count_writes(world) == 2
        assert find_list(world) == ["g-0", "g-1", "g-2", "g-3"]
        world.store.put(builders_node.ENDPOINT_KIND, "g-3", None)
        await asyncio.sleep(endpoint_lists.DEPARTED_RETENTION)
        assert count_writes(world) == 2
        await asyncio.sleep(5.0)
        assert (find_list(world), count_writes(world)) == (["g-0", "g-1", "g-2"], 3)
        # A start under the same name is written once.
        world.store.put(builders_node.ENDPOINT_KIND, "g-1", None)
        await asyncio.sleep(10.0)
        world.publish_endpoint("g-1", born=1)
        await asyncio.sleep(endpoint_lists.DEPARTED_RETENTION - 1.0)
        assert count_writes(world) == 3
        await asyncio.sleep(100.0)
        assert count_writes(world) == 4

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize(
    "value",
    [
        None,
        {},
        {"endpoints": 3},
        {"endpoints": {"g-1": 3}},
        {"endpoints": {"g-1": ["x", ""]}},
    ],
)
def test_list_of_endpoints_that_is_lost_or_malformed_is_written_again(
    monkeypatch, value
):
    async def scenario(world):
        world.store.put(*LIST, value)
        await asyncio.sleep(3.0)
        assert find_list(world) == ["g-0", "g-1", "g-2"]
        assert count_writes(world) == 3
        await restart_nodes(world)
        await asyncio.sleep(5.0)
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_list_that_a_restore_brought_back_is_written_again(monkeypatch):
    async def scenario(world):
        copy = world.store.save()
        publish_replica(world, "g-3")
        await asyncio.sleep(3.0)
        await world.restore_store(copy)
        world.publish_endpoint("g-3")
        await asyncio.sleep(12.0)
        assert find_list(world) == ["g-0", "g-1", "g-2", "g-3"]

    builders_node.run_scenario(monkeypatch, scenario)


def test_group_whose_primary_is_gone_too_has_a_primary_again(monkeypatch):
    # The logs that could prove completeness are lost: the best one is promoted.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, _, lagging = cluster.databases.values()
        await lose_replica(world, 0.0)
        world.store.put(builders_node.ENDPOINT_KIND, primary.name, None)
        await restart_nodes(world)
        await write_for(world, failover.LOSS_ACCEPTED_AFTER + 10.0)
        assert [item.name for item in cluster.promoted] == [lagging.name]

    builders_node.run_scenario(monkeypatch, scenario)


def test_departed_replica_counts_as_long_as_the_group_has_no_primary(monkeypatch):
    # No log catches up meanwhile; the one that lags was promoted after 60 s.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, _, lagging = cluster.databases.values()
        await lose_replica(world, 0.0)
        acknowledged = set(cluster.acknowledged)
        await restart_nodes(world)
        await write_for(world, endpoint_lists.DEPARTED_RETENTION + 15.0)
        assert [len(acknowledged - item.kept) for item in cluster.promoted] == []
        await restart_nodes(world)
        await write_for(world, 5.0)
        assert [len(acknowledged - item.kept) for item in cluster.promoted] == []
        primary.is_up, lagging.is_receive_blocked = True, False
        await write_for(world, 5.0)
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("fault", ["drain", "crash", "crash at once"])
def test_group_whose_databases_were_all_replaced_has_a_primary_soon(monkeypatch, fault):
    # Replicas left while their logs were transferred, and all nodes started again.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, *replicas = cluster.databases.values()
        for index, replica in enumerate(replicas):
            world.publish_endpoint(replica.name, is_draining=True)
            await write_for(world, 1.0)
            replica.crash()
            world.store.put(builders_node.ENDPOINT_KIND, replica.name, None)
            transfer_log(world, replica, f"g-{3 + index}")
            await write_for(world, 4.0)
        await restart_nodes(world)
        await write_for(world, 0.0 if fault == "crash at once" else 4.0)
        began = clock.read()
        if fault == "drain":
            world.publish_endpoint(primary.name, is_draining=True)
        else:
            primary.crash()
        while not cluster.promoted and clock.read() < began + 70.0:
            await write_for(world, 0.1)
        assert cluster.promoted[0].at - began < groups.NO_PRIMARY_TIMEOUT
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("drains", [True, False])
def test_log_that_was_not_transferred_still_counts(monkeypatch, drains):
    # Its endpoint drained and has no successor yet, or crashed and has an empty one.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        lagging.is_receive_blocked = True
        world.publish_endpoint(replica.name, is_draining=drains)
        await write_for(world, 2.0)
        acknowledged = set(cluster.acknowledged)
        primary.crash()
        replica.crash()
        world.store.put(builders_node.ENDPOINT_KIND, replica.name, None)
        await restart_nodes(world)
        if not drains:
            publish_replica(world, "g-3", host=replica.name)
        await write_for(world, 10.0)
        assert not cluster.promoted
        transfer_log(world, replica, "g-4")
        await write_for(world, 4.0)
        assert bool(cluster.promoted) is drains
        assert [len(acknowledged - item.kept) for item in cluster.promoted] in ([], [0])

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("restarted_at", [-3.0, 0.0])
def test_nodes_that_all_start_after_a_replica_started_empty_know_of_its_earlier_start(
    monkeypatch, restarted_at
):
    # Its earlier start had the only copy; the log that lagged behind was promoted.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        await write_for(world, 1.0)
        lagging.is_receive_blocked = True
        await write_for(world, 1.0)
        replica.is_receive_blocked = True
        acknowledged = set(cluster.acknowledged)
        builders_node.restart_database(world, replica)
        await write_for(world, -restarted_at)
        primary.crash()
        await write_for(world, 0.5)
        await restart_nodes(world)
        await write_for(world, 10.0)
        assert [len(acknowledged - item.kept) for item in cluster.promoted] == []
        primary.is_up = True
        replica.is_receive_blocked = lagging.is_receive_blocked = False
        await write_for(world, 4.0)
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)
