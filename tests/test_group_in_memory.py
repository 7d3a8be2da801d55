"""The in-memory group of databases whose replicas receive commits one by one."""

import asyncio

import pytest

from sardinehold.node import clock
from sardinehold_standins import group_in_memory


@pytest.fixture
def cluster():
    """Return a group whose third database receives commits late."""
    cluster = group_in_memory.Cluster("g")
    cluster.find_delivery_delay = lambda replica: 0.1 if replica.name == "g-2" else 0.0
    return cluster


def test_commit_needs_one_replica_and_reaches_the_other_one_later(cluster):
    async def scenario():
        primary, early, late = cluster.databases.values()
        assert await cluster.replicate(primary, "a")
        assert early.log == primary.log
        assert late.log == []
        await asyncio.sleep(0.2)
        assert late.log == primary.log

    asyncio.run(scenario())


def test_promoted_log_lacks_what_it_had_not_received(cluster):
    async def scenario():
        primary, early, late = cluster.databases.values()
        cluster.promote_delay = 0.0
        late.is_receive_blocked = True
        assert await cluster.replicate(primary, "a")
        await cluster.promote(late.name)
        assert cluster.promoted[0].kept == frozenset()
        await asyncio.sleep(0.05)
        assert early.log == []

    asyncio.run(scenario())


def test_database_that_starts_empty_receives_the_log_again(cluster):
    async def scenario():
        primary, early, _ = cluster.databases.values()
        await cluster.replicate(primary, "a")
        early.start_empty()
        assert early.log == []
        cluster.send_log(primary, early)
        await asyncio.sleep(0.05)
        assert early.log == primary.log

    asyncio.run(scenario())


def test_delivery_does_not_shorten_a_log_that_was_resumed_meanwhile(cluster):
    async def scenario():
        primary, early, late = cluster.databases.values()
        await cluster.replicate(primary, "a")
        await cluster.replicate(primary, "b")
        connection = group_in_memory.DatabaseConnection(late, "", "")
        await connection.resume(clock.read() + 1.0)
        assert late.log == primary.log
        await asyncio.sleep(0.11)
        assert late.log == primary.log

    asyncio.run(scenario())
