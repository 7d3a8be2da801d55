"""Metrics of the leader's queries about logs."""

import anyio
import pytest

import builders_node
from sardinehold.node import failover
from sardinehold.node import ports


async def refuse(connection, deadline):
    return None


async def hang(connection, deadline):
    await anyio.sleep(failover.QUERY_TIMEOUT + 1.0)


async def lose(connection, deadline):
    raise ports.ConnectionLost(True)


@pytest.mark.parametrize(
    ("fault", "operation", "reason"),
    [
        ("full", failover.read_log_status, "connection limit"),
        ("down", failover.read_log_status, "not opened"),
        ("", refuse, "refused"),
        ("", hang, failover.NO_ANSWER),
        ("", lose, "connection lost"),
        ("", failover.read_log_status, None),
    ],
)
def test_query_without_an_answer_is_counted(monkeypatch, fault, operation, reason):
    async def scenario(world):
        node = world.nodes[world.find_leader()]
        database = world.find_database("g-1")
        if fault == "full":
            builders_node.fill_connections(world, database)
        elif fault == "down":
            database.crash()
        before = dict(node.registry.counters)
        record = node.groups["g"].endpoints["g-1"].record
        await failover.query(node.leader, record, operation)
        added = {
            name: count - before.get(name, 0)
            for name, count in node.registry.counters.items()
            if name.startswith("control_") and count != before.get(name, 0)
        }
        name = f'control_queries_failed{{endpoint="g-1",reason="{reason}"}}'
        assert added == ({} if reason is None else {name: 1})

    builders_node.run_scenario(monkeypatch, scenario)
