"""Commits that are on their way while the primary is replaced."""

import asyncio

import pytest

import builders_node
from sardinehold.node import clock
from sardinehold.node import commits
from sardinehold.node import leader
from sardinehold.node import statements

Kind = statements.Kind


async def drain_primary(world, monkeypatch):
    """Announce that the primary leaves; it still works."""
    world.publish_endpoint("g-0", is_draining=True)


async def suspect_primary(world, monkeypatch):
    """Have the leader replace a primary that it wrongly counts as unreachable."""
    monkeypatch.setattr(
        leader.Leader, "_is_lost", lambda self, state, now: state.term == 1
    )


@pytest.mark.parametrize("change", [drain_primary, suspect_primary])
def test_promoted_log_has_the_commits_that_were_in_flight(monkeypatch, change):
    # The leader counted on reports from before these commits were acknowledged.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, replica, target = cluster.databases.values()
        clients = [world.open(name, "latest") for name in world.nodes]
        await asyncio.gather(*(client.write() for client in clients))
        # The leader can query neither; the replica still receives from the primary.
        others = []

        async def fill():
            while True:
                for database in (primary, replica):
                    others.extend(builders_node.fill_connections(world, database))
                await asyncio.sleep(0.001)

        filling = asyncio.create_task(fill())
        await asyncio.sleep(0.0)
        primary.statement_seconds = 0.9
        writes = [asyncio.create_task(client.write()) for client in clients]
        await change(world, monkeypatch)
        answers = await asyncio.gather(*writes)
        filling.cancel()
        assert any(answer.error is None for answer in answers)
        for connection in others:
            connection.close()
        await asyncio.sleep(4.0)
        assert cluster.promoted
        kept = {request for _, request in cluster.primary.log}
        assert set(cluster.acknowledged) <= kept

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_of_an_open_transaction_is_not_sent_long_after_the_seal(monkeypatch):
    # Its acknowledgement would be later than the reports on which a leader promotes.
    async def scenario(world):
        cluster = world.clusters["g"]
        databases = list(cluster.databases.values())
        client = world.open("n2", "latest")
        await client.send(Kind.BEGIN)
        assert (await client.write()).error is None
        for database in databases:
            builders_node.fill_connections(world, database)
        await suspect_primary(world, monkeypatch)
        await asyncio.sleep(commits.SEAL_GRACE + 0.2)
        answer = await client.send(Kind.COMMIT)
        assert answer.error is statements.Failure.ABORTED
        await asyncio.sleep(1.0)
        assert not cluster.acknowledged

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_on_an_earlier_start_of_the_primary_is_not_sent_after_the_seal(
    monkeypatch,
):
    # The owner knew the primary by its newest start, the connection an earlier one.
    async def scenario(world):
        owners = world.nodes["n0"].groups["g"].endpoints["g-0"].owners
        sender = next(name for name in world.nodes if name not in owners)
        client = world.open(sender, "latest")
        await client.send(Kind.BEGIN)
        assert (await client.write()).error is None
        world.publish_endpoint("g-0", born=1)
        await asyncio.sleep(0.1)
        for name in owners:
            world.nodes[name].groups["g"].commits.closed_at = clock.read()
        answer = await client.send(Kind.COMMIT)
        assert answer.error is statements.Failure.ABORTED
        assert not world.clusters["g"].acknowledged

    builders_node.run_scenario(monkeypatch, scenario)


def test_idle_connections_do_not_keep_the_leader_from_the_logs(monkeypatch):
    # The databases were at their limits; the nodes' idle connections used up a third.
    async def scenario(world):
        cluster = world.clusters["g"]
        callers = [
            world.open(name, "session", key)
            for name in world.nodes
            for key in ("red-key", "blue-key")
            for _ in range(10)
        ]
        assert (await world.open("n1", "latest").write()).error is None
        await asyncio.gather(*(caller.read() for caller in callers))
        for database in cluster.databases.values():
            builders_node.fill_connections(world, database)
        await suspect_primary(world, monkeypatch)
        await asyncio.sleep(2.0)
        assert cluster.promoted

    builders_node.run_scenario(monkeypatch, scenario)
