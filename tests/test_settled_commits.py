"""Commits that are answered before a seal is settled, on endpoints that change."""

import asyncio

import pytest

import builders_node
import builders_unfrozen
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import primary_lease


@pytest.mark.parametrize("leaves_after", [0.1, 0.3, 0.7, 1.0])
@pytest.mark.parametrize("is_isolated", [False, True])
@pytest.mark.parametrize("seconds", [0.05, 0.3])
def test_commit_on_a_frozen_replica_that_restarts_and_leaves_is_not_lost(
    monkeypatch, seconds, is_isolated, leaves_after
):
    # It belonged to the complete set, but had only copies when it left.
    async def scenario(world):
        cluster = world.clusters["g"]
        for database in cluster.databases.values():
            database.statement_seconds = seconds
        told = builders_unfrozen.start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, builders_unfrozen.OWNER)
        if is_isolated:
            builders_node.isolate_node(world, builders_unfrozen.OWNER)
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        await asyncio.sleep(0.08)
        replica = cluster.databases["g-2"]
        builders_node.restart_database(world, replica, keeps_log=True)
        await asyncio.sleep(leaves_after)
        replica.crash()
        world.store.put(builders_node.ENDPOINT_KIND, replica.name, None)
        await asyncio.sleep(8.0)
        assert told
        assert builders_unfrozen.find_missing(cluster, told) == []

    builders_node.run_scenario(monkeypatch, scenario, 4)


@pytest.mark.parametrize("after", [0.005, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15])
@pytest.mark.parametrize("seconds", [0.02, 0.05, 0.1, 0.3])
def test_commit_on_a_replica_that_restarts_before_its_record_is_not_lost(
    monkeypatch, seconds, after
):
    # It was read less than RECHECK_AFTER ago, and no record shows the restart yet.
    async def scenario(world):
        cluster = world.clusters["g"]
        for database in cluster.databases.values():
            database.statement_seconds = seconds
        told = builders_unfrozen.start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, builders_unfrozen.OWNER)
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        await asyncio.sleep(after)
        replica = cluster.databases["g-2"]
        builders_node.restart_database(
            world, replica, keeps_log=True, is_published=False
        )
        await asyncio.sleep(8.0)
        assert cluster.promoted
        assert told
        assert builders_unfrozen.find_missing(cluster, told) == []

    builders_node.run_scenario(monkeypatch, scenario, 4)


@pytest.mark.parametrize("after", [0.005, 0.04, 0.1])
@pytest.mark.parametrize("is_isolated", [False, True])
@pytest.mark.parametrize("seconds", [0.05, 0.3])
def test_commit_on_a_replica_that_joins_before_its_record_is_not_lost(
    monkeypatch, seconds, is_isolated, after
):
    async def scenario(world):
        cluster = world.clusters["g"]
        for database in cluster.databases.values():
            database.statement_seconds = seconds
        told = builders_unfrozen.start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, builders_unfrozen.OWNER)
        if is_isolated:
            builders_node.isolate_node(world, builders_unfrozen.OWNER)
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        await asyncio.sleep(after)
        builders_unfrozen.join_without_records(world, 1)
        await asyncio.sleep(2.0)
        world.publish_endpoint("g-3")
        await asyncio.sleep(6.0)
        assert cluster.promoted
        assert told
        assert builders_unfrozen.find_missing(cluster, told) == []

    builders_node.run_scenario(monkeypatch, scenario, 4)


def make_state(term, phase, attempt=0, requested=""):
    return catalog.GroupState(
        "g", term, f"g-{term}", phase, 10 * term + attempt, attempt, True, requested
    )


def test_lease_expiry_counts_from_the_seal_of_the_present_term(monkeypatch):
    # The node missed the primary in between, and leads when it learns of the next seal.
    async def scenario(world):
        node = world.nodes["n0"]
        group = node.groups["g"]
        group.apply_state(make_state(7, catalog.Phase.SEALED, 1))
        world.selector_now = clock.read()
        monkeypatch.setattr(clock, "read", lambda: world.selector_now + 5.0)
        group.apply_state(make_state(8, catalog.Phase.SEALED, 1))
        assert node.leader.find_lease_expiry("g") >= clock.read() + primary_lease.LEASE

    builders_node.run_scenario(monkeypatch, scenario, 3)


@pytest.mark.parametrize("kill_after", [0.2, 0.5, 0.9])
def test_target_that_no_request_names_yet_does_not_hold_up_the_next_leader(
    monkeypatch, kill_after
):
    # The leader dies behind the fence, and its target with it: 8 s without a primary.
    async def scenario(world):
        cluster = world.clusters["g"]
        builders_node.isolate_node(world, builders_unfrozen.OWNER)
        await asyncio.sleep(1.5)
        cluster.databases["g-0"].crash()
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        sealed_at = clock.read()
        await asyncio.sleep(kill_after)
        old = world.find_leader()
        assert not cluster.promotions
        world.kill_node(old)
        cluster.databases["g-1"].crash()
        await asyncio.sleep(1.0)
        cluster.databases["g-0"].is_up = True
        while not cluster.promoted and clock.read() < sealed_at + 20.0:
            await asyncio.sleep(0.05)
        assert cluster.promoted
        assert clock.read() - sealed_at < 6.0

    builders_node.run_scenario(monkeypatch, scenario, 4)


@pytest.mark.parametrize("loses_leader", [False, True])
@pytest.mark.parametrize("joins", [1, 2])
@pytest.mark.parametrize("joins_after", [-0.4, 0.02, 0.06, 0.3])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_commit_on_replicas_that_never_get_a_record_is_not_lost(
    monkeypatch, is_isolated, joins_after, joins, loses_leader
):
    # The old primary sends its log to the others as well, once they are resumed.
    async def scenario(world):
        cluster = world.clusters["g"]
        for database in cluster.databases.values():
            database.statement_seconds = 0.05
        told = builders_unfrozen.start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, builders_unfrozen.OWNER)
        if is_isolated:
            builders_node.isolate_node(world, builders_unfrozen.OWNER)
        if joins_after < 0:
            builders_unfrozen.join_without_records(world, joins)
            await asyncio.sleep(-joins_after)
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        sealed_at = clock.read()
        if joins_after > 0:
            await asyncio.sleep(joins_after)
            builders_unfrozen.join_without_records(world, joins)
        if loses_leader and not cluster.promotions:
            world.kill_node(world.find_leader())
        while not cluster.promoted and clock.read() < sealed_at + 10.0:
            await asyncio.sleep(0.05)
        assert cluster.promoted
        # A leader that is killed without a word is replaced after 2.1 to 2.6 s.
        assert clock.read() - sealed_at < 5.0
        await asyncio.sleep(2.0)
        assert told
        assert builders_unfrozen.find_missing(cluster, told) == []

    builders_node.run_scenario(monkeypatch, scenario, 4)


@pytest.mark.parametrize("record_after", [2.0, 4.0])
def test_only_copy_on_a_replica_whose_record_is_late_is_waited_for(
    monkeypatch, record_after
):
    # The two that were frozen had received nothing for a while.
    async def scenario(world):
        cluster = world.clusters["g"]
        for database in cluster.databases.values():
            database.statement_seconds = 0.05
        told = builders_unfrozen.start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, builders_unfrozen.OWNER)
        for name in ("g-1", "g-2"):
            cluster.databases[name].is_receive_blocked = True
        builders_unfrozen.join_without_records(world, 1)
        await asyncio.sleep(0.4)
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        await asyncio.sleep(record_after)
        world.publish_endpoint("g-3")
        await asyncio.sleep(4.0)
        assert [item.name for item in cluster.promoted] == ["g-3"]
        assert told
        assert builders_unfrozen.find_missing(cluster, told) == []

    builders_node.run_scenario(monkeypatch, scenario, 4)
