"""Primaries that start again under their names with nothing."""

import asyncio

import pytest

import builders_node
from sardinehold.node import statements

Kind = statements.Kind


async def read_until(world, ends, route, is_transaction, seen):
    """Read at each node; note the logs that successful reads saw."""
    clients = [world.open(name, route) for name in world.nodes]
    while asyncio.get_running_loop().time() < ends:
        for client in clients:
            if is_transaction:
                await client.send(Kind.BEGIN_READ)
            answer = await client.read()
            if answer.error is None:
                _, database, request = answer.completion_tag.split()
                seen.extend(
                    item.log
                    for item in world.clusters["g"].executions
                    if (item.database, item.request_id) == (database, request)
                )
            if is_transaction:
                await client.send(Kind.ROLLBACK)
        await asyncio.sleep(0.02)


@pytest.mark.parametrize("entry_after", [0.0, 0.8, None])
@pytest.mark.parametrize("is_transaction", [False, True])
def test_read_is_not_served_by_a_primary_that_lost_its_log(
    monkeypatch, is_transaction, entry_after
):
    # review/9: it was away too briefly to be found failing, and nobody replaced it.
    async def scenario(world):
        cluster = world.clusters["g"]
        client = world.open("n1", "latest")
        for _ in range(20):
            assert (await client.write()).error is None
            await asyncio.sleep(0.05)
        primary = cluster.primary
        primary.crash()
        primary.start_empty()
        ends = asyncio.get_running_loop().time() + 6.0
        seen: list[int] = []
        reads = asyncio.create_task(
            read_until(world, ends, "latest", is_transaction, seen)
        )
        if entry_after is not None:
            await asyncio.sleep(entry_after)
            world.publish_endpoint("g-0", born=1)
        await reads
        assert seen
        assert min(seen) >= 20
        assert cluster.promoted
        assert (await client.write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)
