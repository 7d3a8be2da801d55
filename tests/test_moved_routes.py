"""Sessions whose route moves to another group and back."""

import asyncio

import pytest

import builders_node
from sardinehold.node import statements

Kind = statements.Kind
WARM_WRITES = 25


async def publish(world, version, **configuration):
    world.publish(version=version, **configuration)
    while any(node.find_version() != version for node in world.nodes.values()):
        await asyncio.sleep(0.01)


async def commit(client, is_transaction):
    if is_transaction:
        assert (await client.send(Kind.BEGIN)).error is None
    answer = await client.write()
    if is_transaction:
        answer = await client.send(Kind.COMMIT)
    assert answer.error is None
    return answer.position


async def read_at(world, client, is_transaction):
    """Return the log that a read saw."""
    if is_transaction:
        assert (await client.send(Kind.BEGIN_READ)).error is None
    answer = await client.read()
    assert answer.error is None
    found = world.clusters["g"].executions[-1]
    if is_transaction:
        await client.send(Kind.COMMIT)
    return found.log


@pytest.mark.parametrize("moves", [1, 2])
@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize("reads_in_transaction", [False, True])
@pytest.mark.parametrize("writes_in_transaction", [False, True])
def test_write_to_another_group_does_not_lower_what_a_session_reads(
    monkeypatch, writes_in_transaction, reads_in_transaction, is_removed, moves
):
    # review/10: reads on lagging replicas lacked the session's own earlier commit.
    async def scenario(world):
        client = world.open("n1", "session")
        for database in world.clusters["g"].databases.values():
            database.lag = 1.5
        for _ in range(WARM_WRITES):
            await client.write()
            await asyncio.sleep(0.1)
        own = await commit(client, writes_in_transaction)
        version = 2
        for _ in range(moves):
            # With the group removed as well, its route's databases leave the document.
            moved = {"moved": {"session": "h"}, "further": ["h"]}
            await publish(world, version, **moved)
            other = await commit(client, writes_in_transaction)
            assert other < own
            await publish(world, version + 1, further=[] if is_removed else ["h"])
            version += 2
        for _ in range(6):
            seen = await read_at(world, client, reads_in_transaction)
            assert seen >= own.offset

    builders_node.run_scenario(monkeypatch, scenario, further=["h"])


def test_groups_that_are_used_in_turn_keep_their_positions(monkeypatch):
    # A position of the other log must neither lower a read's floor nor raise it.
    async def scenario(world):
        client = world.open("n1", "session")
        for _ in range(3):
            await client.write()
        await publish(world, 2, moved={"session": "h"}, further=["h"])
        await client.write()
        assert client.session.last_commits == {"g": (1, 3), "h": (1, 1)}
        before = len(world.clusters["h"].executions)
        assert (await client.read()).error is None
        assert len(world.clusters["h"].executions) == before + 1

    builders_node.run_scenario(monkeypatch, scenario, further=["h"])
