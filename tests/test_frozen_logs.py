"""Logs that change after they were frozen, and endpoints that start again."""

import asyncio

import pytest

import builders_node
from sardinehold.node import leader
from sardinehold.node import node
from sardinehold.node import primary_lease


async def write_until(world, seconds: float) -> None:
    """Send writes through all nodes, which notice that the primary is gone."""
    for _ in range(round(seconds / 0.5)):
        for name in world.nodes:
            world.tasks.start_soon(world.open(name, "latest").write)
        await asyncio.sleep(0.5)


def assert_nothing_lost(cluster) -> None:
    kept = {request for _, request in cluster.primary.log}
    assert set(cluster.acknowledged) <= kept


def test_replica_that_starts_again_without_its_log_proves_nothing(monkeypatch):
    # Its earlier start had the only copy; the log that lagged behind was promoted.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        lagging.is_receive_blocked = True
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        replica.is_receive_blocked = True
        builders_node.restart_database(world, replica)
        await asyncio.sleep(0.1)
        primary.crash()
        await write_until(world, 4.0)
        assert not cluster.promoted
        primary.is_up = True
        replica.is_receive_blocked = lagging.is_receive_blocked = False
        await write_until(world, 4.0)
        assert_nothing_lost(cluster)
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_group_has_a_primary_again_soon_after_both_others_restarted(monkeypatch):
    # What the earlier starts had, the members report.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, *replicas = cluster.databases.values()
        for replica in replicas:
            builders_node.restart_database(world, replica)
            for name in world.nodes:
                assert (await world.open(name, "latest").write()).error is None
        primary.crash()
        await write_until(world, 3.0)
        assert cluster.promoted
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


def test_group_without_statements_is_not_kept_without_a_primary(monkeypatch):
    # No answer of the primary shows since when the restarted replica is complete.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, _ = cluster.databases.values()
        builders_node.restart_database(world, replica)
        await asyncio.sleep(3.0)
        primary.crash()
        await write_until(world, 4.0)
        assert cluster.promoted
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_leader_that_started_after_a_replica_left_counts_it(monkeypatch):
    # The replica that left had the only copy; the one that remains lagged behind.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        lagging.is_receive_blocked = True
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        replica.crash()
        world.store.put(builders_node.ENDPOINT_KIND, replica.name, None)
        await asyncio.sleep(node.GONE_GRACE + 1.0)
        for name in list(world.nodes):
            world.kill_node(name)
            world.start_node(name)
        await asyncio.sleep(4.0)
        assert (await world.open("n1", "latest").read()).error is None
        primary.crash()
        await write_until(world, 4.0)
        assert not cluster.promoted
        primary.is_up, lagging.is_receive_blocked = True, False
        await write_until(world, 4.0)
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("has_left", [True, False])
def test_nodes_that_all_start_while_the_primary_is_gone_replace_it(
    monkeypatch, has_left
):
    # They know neither what was acknowledged nor who left; the logs are complete.
    async def scenario(world):
        cluster = world.clusters["g"]
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        await asyncio.sleep(1.0)
        for name in list(world.nodes):
            world.kill_node(name)
        cluster.primary.crash()
        if has_left:
            world.store.put(builders_node.ENDPOINT_KIND, "g-0", None)
        await asyncio.sleep(1.0)
        for name in ("n0", "n1", "n2"):
            world.start_node(name)
        await write_until(world, 5.0)
        assert cluster.promoted
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("is_published", [True, False])
@pytest.mark.parametrize("is_read", [True, False])
def test_replica_that_restarted_after_the_freeze_is_not_frozen(
    monkeypatch, is_published, is_read
):
    # n2, which alone reaches the old primary, has a commit on this replica only.
    monkeypatch.setattr(primary_lease, "LEASE", 1.5)

    async def scenario(world):
        cluster = world.clusters["g"]
        primary, target, restarted = cluster.databases.values()
        for name in ("n0", "n1"):
            await world.open(name, "latest").write()
        primary.unreachable |= {"n0", "n1"}
        alone, other = world.open("n2", "latest"), world.open("n1", "latest")
        world.tasks.start_soon(other.write)
        while world.nodes["n1"].groups["g"].endpoints["g-0"].failing_since is None:
            await asyncio.sleep(0.01)
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        while not restarted.paused_term or not target.paused_term:
            await asyncio.sleep(0.01)
        builders_node.restart_database(
            world, restarted, keeps_log=True, is_published=is_published
        )
        if not is_read:
            restarted.unreachable |= {"n0", "n1"}
        assert (await alone.write()).error is None
        await asyncio.sleep(5.0)
        for promoted in cluster.promoted:
            assert set(cluster.acknowledged) <= promoted.kept
        if (await world.open("n1", "bounded").read()).error is None:
            assert cluster.executions[-1].log >= len(cluster.acknowledged)
        restarted.unreachable.clear()
        primary.unreachable.clear()
        await asyncio.sleep(4.0)
        assert cluster.promoted
        assert set(cluster.acknowledged) <= cluster.promoted[0].kept

    builders_node.run_scenario(monkeypatch, scenario)


def test_node_that_restarts_after_the_freeze_does_not_know_its_commits(monkeypatch):
    # It took the end of the frozen logs for what it had acknowledged.
    monkeypatch.setattr(primary_lease, "LEASE", 1.5)

    async def scenario(world):
        cluster = world.clusters["g"]
        primary, target, restarted = cluster.databases.values()
        for name in ("n0", "n1"):
            await world.open(name, "latest").write()
        primary.unreachable |= {"n0", "n1"}
        alone, other = world.open("n2", "latest"), world.open("n1", "latest")
        world.tasks.start_soon(other.write)
        while world.nodes["n1"].groups["g"].endpoints["g-0"].failing_since is None:
            await asyncio.sleep(0.01)
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        while not restarted.paused_term or not target.paused_term:
            await asyncio.sleep(0.01)
        builders_node.restart_database(world, restarted, True, is_published=False)
        restarted.unreachable |= {"n0", "n1"}
        assert (await alone.write()).error is None
        world.kill_node("n2")
        world.cuts.clear()
        world.store.cut.clear()
        primary.unreachable.add("n2")
        world.start_node("n2", "south")
        await asyncio.sleep(5.0)
        for promoted in cluster.promoted:
            assert set(cluster.acknowledged) <= promoted.kept
        restarted.unreachable.clear()
        primary.unreachable.clear()
        await asyncio.sleep(4.0)
        assert cluster.promoted
        assert set(cluster.acknowledged) <= cluster.promoted[0].kept

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("moment", [0.02, 0.4, 0.8])
@pytest.mark.parametrize("fault", ["drain", "crash", "crash of all"])
@pytest.mark.parametrize("request_delay", [0.005, 0.7])
def test_kill_of_all_nodes_during_a_failover_loses_nothing(
    monkeypatch, moment, fault, request_delay
):
    # What the nodes know of commits, leases and requests on their way is gone.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        world.request_delays = [request_delay]
        await write_until(world, 1.0)
        lagging.is_receive_blocked = True
        await write_until(world, 1.0)
        if fault == "drain":
            world.publish_endpoint(primary.name, is_draining=True)
        else:
            primary.crash()
        for _ in range(round(moment / 0.02)):
            world.tasks.start_soon(world.open("n1", "latest").write)
            await asyncio.sleep(0.02)
        for name in list(world.nodes):
            world.kill_node(name)
        if fault == "crash of all":
            replica.crash()
        await asyncio.sleep(0.5)
        for name in ("n0", "n1", "n2"):
            world.start_node(name)
        await write_until(world, 3.0)
        lagging.is_receive_blocked = False
        for database in cluster.databases.values():
            database.is_up = True
        await write_until(world, 6.0)
        assert (await world.open("n1", "latest").write()).error is None
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


def test_databases_that_are_full_after_the_freeze_do_not_delay_the_promotion(
    monkeypatch,
):
    # Each check opened a connection, which a database at its limit refuses.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, *replicas = cluster.databases.values()
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        # A node that is out of touch may hold a lease, which the leader waits for.
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        primary.crash()
        world.tasks.start_soon(write_until, world, 2.0)
        while not all(replica.paused_term for replica in replicas):
            await asyncio.sleep(0.01)

        async def fill():
            while not cluster.promoted:
                for replica in replicas:
                    builders_node.fill_connections(world, replica)
                await asyncio.sleep(0.001)

        world.tasks.start_soon(fill)
        await asyncio.sleep(3.0)
        assert cluster.promoted
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("restarts", [True, False])
def test_group_without_statements_is_replaced_after_its_leader_left_with_its_primary(
    monkeypatch, restarts
):
    # Only the earlier leader had queried the position since a replica restarted.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, _ = cluster.databases.values()
        if restarts:
            builders_node.restart_database(world, replica, keeps_log=True)
        await asyncio.sleep(5.0)
        world.kill_node(world.find_leader())
        primary.crash()
        await write_until(world, 40.0)
        assert cluster.promoted

    builders_node.run_scenario(monkeypatch, scenario)


def test_replica_that_starts_again_proves_nothing_before_its_record_says_so(
    monkeypatch,
):
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        await asyncio.sleep(1.0)
        lagging.is_receive_blocked = True
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        replica.is_receive_blocked = True
        builders_node.restart_database(world, replica, is_published=False)
        primary.crash()
        await write_until(world, 3.0)
        assert not cluster.promoted
        primary.is_up = True
        replica.is_receive_blocked = lagging.is_receive_blocked = False
        await write_until(world, 4.0)
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("writer", ["n0", "n1", "n2"])
def test_log_that_lacks_a_commit_of_any_node_is_not_promoted(monkeypatch, writer):
    # Its only copy was on an endpoint that restarted empty, unknown to the record.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, lagging = cluster.databases.values()
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        await asyncio.sleep(1.0)
        lagging.is_receive_blocked = True
        assert (await world.open(writer, "latest").write()).error is None
        replica.is_receive_blocked = True
        builders_node.restart_database(world, replica, is_published=False)
        primary.crash()
        await write_until(world, 3.0)
        assert not cluster.promoted
        primary.is_up = True
        replica.is_receive_blocked = lagging.is_receive_blocked = False
        await write_until(world, 4.0)
        assert_nothing_lost(cluster)
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_commits_in_flight_do_not_keep_a_complete_log_from_its_promotion(monkeypatch):
    # Answers show the commits of others that no replica has received.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, *replicas = cluster.databases.values()
        for _ in range(3):
            for name in world.nodes:
                assert (await world.open(name, "latest").write()).error is None
        for replica in replicas:
            replica.is_receive_blocked = True
        for name in world.nodes:
            for _ in range(2):
                world.tasks.start_soon(world.open(name, "latest").write)
        await asyncio.sleep(0.2)
        assert len(primary.log) > len(replicas[0].log)
        for name in world.nodes:
            assert (await world.open(name, "latest").read()).error is None
        primary.crash()
        await write_until(world, 3.0)
        assert cluster.promoted
        assert_nothing_lost(cluster)

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("is_published", [True, False])
def test_old_primary_that_restarted_after_it_stepped_down_is_not_frozen(
    monkeypatch, is_published
):
    # It leads its term again, and n2 commits on the replica that was not read.
    monkeypatch.setattr(primary_lease, "LEASE", 4.0)

    async def scenario(world):
        cluster = world.clusters["g"]
        primary, target, unread = cluster.databases.values()
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        unread.unreachable |= {"n0", "n1"}
        alone = world.open("n2", "latest")
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        while (await alone.write()).error is not None:
            pass
        monkeypatch.setattr(
            leader.Leader, "_is_lost", lambda self, state, now: state.term == 1
        )
        while primary.is_primary or not target.paused_term:
            await asyncio.sleep(0.01)
        primary.crash()
        primary.is_up = primary.is_primary = True
        if is_published:
            world.publish_endpoint(primary.name, born=1)
        answer = await alone.write()
        assert answer.error is None
        await asyncio.sleep(6.0)
        for promoted in cluster.promoted:
            assert set(cluster.acknowledged) <= promoted.kept

    builders_node.run_scenario(monkeypatch, scenario)
