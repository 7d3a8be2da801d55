"""Replicas that appear after the logs were frozen, beside a primary that goes on."""

import asyncio

import pytest

import builders_node
import builders_unfrozen


def join(world):
    builders_node.join_database(world, world.clusters["g"])


def restart(world):
    replica = world.clusters["g"].databases["g-2"]
    builders_node.restart_database(world, replica, keeps_log=True)


def replace(world):
    builders_node.replace_database(world, world.clusters["g"].databases["g-2"])


@pytest.mark.parametrize(
    ("seconds", "appears_after", "delay"),
    [(0.05, 0.15, 1.0), (0.3, 0.02, 2.5), (0.9, 0.6, 2.5)],
)
@pytest.mark.parametrize("appear", [join, restart, replace])
@pytest.mark.parametrize("is_isolated", [False, True])
def test_commit_on_a_replica_that_appears_after_the_freeze_is_not_lost(
    monkeypatch, is_isolated, appear, seconds, appears_after, delay
):
    # The old primary was cut off from the leader, and acknowledged through this one.
    async def scenario(world):
        cluster = world.clusters["g"]
        world.request_delays.extend([delay] * 20)
        for database in cluster.databases.values():
            database.statement_seconds = seconds
        told = builders_unfrozen.start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, builders_unfrozen.OWNER)
        if is_isolated:
            builders_node.isolate_node(world, builders_unfrozen.OWNER)
        builders_unfrozen.lose_primary(monkeypatch)
        await builders_node.await_seal(world, "g")
        await asyncio.sleep(appears_after)
        appear(world)
        await asyncio.sleep(8.0)
        assert cluster.promoted
        assert told
        assert not builders_unfrozen.find_missing(cluster, told)

    builders_node.run_scenario(monkeypatch, scenario, 4)
