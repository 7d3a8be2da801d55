"""Replicas that appear after the logs were frozen, beside a primary that goes on."""

import asyncio

import pytest

import builders_node
from sardinehold.node import leader

OWNER = "n3"
"""First owner of the primary's connections in a fleet of four; it does not lead."""


def join(world):
    builders_node.join_database(world, world.clusters["g"])


def restart(world):
    replica = world.clusters["g"].databases["g-2"]
    builders_node.restart_database(world, replica, keeps_log=True)


def replace(world):
    builders_node.replace_database(world, world.clusters["g"].databases["g-2"])


def start_writers(world, count=8):
    """Start callers that write at the owner; return what they are told."""
    told: list[str] = []
    for _ in range(count):
        client = world.open(OWNER, "latest")
        world.tasks.start_soon(client.write_until_cancelled, told)
    return told


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
        told = start_writers(world)
        await asyncio.sleep(2.0)
        builders_node.cut_off_primary(world, cluster.primary, OWNER)
        if is_isolated:
            builders_node.isolate_node(world, OWNER)
        monkeypatch.setattr(
            leader.Leader, "_is_lost", lambda self, state, now: state.term == 1
        )
        await builders_node.await_seal(world, "g")
        await asyncio.sleep(appears_after)
        appear(world)
        await asyncio.sleep(8.0)
        assert cluster.promoted
        assert told
        assert set(told) <= {request for _, request in cluster.primary.log}

    builders_node.run_scenario(monkeypatch, scenario, 4)
