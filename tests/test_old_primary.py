"""What the old primary may still commit while it is replaced."""

import asyncio

import builders_node
from sardinehold.node import clock
from sardinehold.node import leader
from sardinehold_standins import group_in_memory


def make_busy(monkeypatch, database, seconds):
    """Have a database refuse queries about its log for some time."""
    read_status = group_in_memory.DatabaseConnection.read_status
    until = clock.read() + seconds

    async def read(connection, deadline):
        status = await read_status(connection, deadline)
        is_busy = connection.database is database and clock.read() < until
        return None if is_busy else status

    monkeypatch.setattr(group_in_memory.DatabaseConnection, "read_status", read)


def test_busy_old_primary_commits_nothing_on_a_replica_that_restarts(monkeypatch):
    # It was not told to step down once enough replicas were paused.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary, *replicas = cluster.databases.values()
        clients = [world.open(name, "latest") for name in world.nodes]
        await asyncio.gather(*(client.write() for client in clients))
        primary.statement_seconds = 0.6
        writes = [asyncio.create_task(client.write()) for client in clients]
        make_busy(monkeypatch, primary, 0.3)
        monkeypatch.setattr(
            leader.Leader, "_is_lost", lambda self, state, now: state.term == 1
        )
        while not cluster.promotions:
            await asyncio.sleep(0.01)
        target = cluster.promotions[0][2]
        for replica in replicas:
            if replica.name != target:
                replica.paused_term = 0
        answers = await asyncio.gather(*writes)
        assert all(answer.error is None for answer in answers)
        await asyncio.sleep(4.0)
        assert cluster.promoted
        kept = {request for _, request in cluster.primary.log}
        assert set(cluster.acknowledged) <= kept

    builders_node.run_scenario(monkeypatch, scenario)
