"""Writes that wait for a slot at an owner while the primary is replaced."""

import asyncio

import builders_node
from sardinehold.node import clock
from sardinehold.node import commits
from sardinehold.node import leader


def test_waiting_write_is_not_sent_to_a_primary_that_is_being_replaced(monkeypatch):
    # It was sent up to a second after the owner had learned of the seal.
    async def scenario(world):
        cluster = world.clusters["g"]
        primary = cluster.primary
        clients = [world.open(name, "latest") for name in world.nodes]
        await asyncio.gather(*(client.write() for client in clients))
        primary.statement_seconds = 0.25
        readers = [world.open(name, "latest") for name in world.nodes for _ in "123"]
        reads = [asyncio.create_task(client.read()) for client in readers]
        await asyncio.sleep(0.02)
        writes = [asyncio.create_task(client.write()) for client in clients]
        await asyncio.sleep(0.02)
        builders_node.fill_connections(world, primary)
        monkeypatch.setattr(
            leader.Leader, "_is_lost", lambda self, state, now: state.term == 1
        )
        latest = clock.read() + commits.SEAL_GRACE + primary.statement_seconds
        answers = await asyncio.gather(*writes)
        await asyncio.gather(*reads)
        old, new = cluster.databases["g-0"], cluster.primary
        assert new is not old
        kept = {request for _, request in new.log}
        late = {
            item.request_id
            for item in cluster.executions
            if item.database == old.name and item.at > latest
        }
        assert not late & {request for _, request in old.log[len(clients) :]}
        assert all(answer.error is None for answer in answers)
        assert set(cluster.acknowledged) <= kept

    builders_node.run_scenario(monkeypatch, scenario)
