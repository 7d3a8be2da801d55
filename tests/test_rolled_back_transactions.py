"""Transactions that are rolled back while they rest, before their next statement."""

import asyncio

import pytest

import builders_node
from sardinehold.node import statements

Kind = statements.Kind
Failure = statements.Failure

WITHOUT_KEY = {"keys": {"blue-key": "blue"}}
OF_OTHER_TEAM = {"keys": {"red-key": "blue", "blue-key": "blue"}}
WITHOUT_ROUTE_AND_KEY = {"keys": {}, "further": []}


async def publish(world, version, **configuration):
    world.publish(version=version, **configuration)
    while any(node.find_version() != version for node in world.nodes.values()):
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)


async def begin(world, kind):
    client = world.open("n1", "latest" if kind is Kind.BEGIN else "session")
    assert (await client.send(kind)).error is None
    run = client.write if kind is Kind.BEGIN else client.read
    assert (await run()).error is None
    return client


async def check_ended(world, client, next_kind):
    """Check that nothing of a transaction runs, and that its caller is told."""
    executions = len(world.clusters["g"].executions)
    answer = await client.send(next_kind)
    assert answer.error is Failure.ABORTED
    if next_kind is not Kind.COMMIT:
        assert answer.status == "E"
        assert (await client.send(Kind.COMMIT)).error is Failure.ABORTED
    assert client.session.status == "I"
    assert len(world.clusters["g"].executions) == executions
    assert not world.clusters["g"].primary.log
    assert (await client.send(Kind.BEGIN)).error is None
    assert (await client.write()).error is None
    assert (await client.send(Kind.COMMIT)).error is None
    assert len(world.clusters["g"].primary.log) == 1


@pytest.mark.parametrize("next_kind", [Kind.READ, Kind.WRITE, Kind.COMMIT])
@pytest.mark.parametrize("begin_kind", [Kind.BEGIN, Kind.BEGIN_READ])
@pytest.mark.parametrize("times", [1, 2])
@pytest.mark.parametrize("changed", [WITHOUT_KEY, OF_OTHER_TEAM, WITHOUT_ROUTE_AND_KEY])
def test_transaction_is_not_begun_again_when_its_key_is_restored(
    monkeypatch, changed, times, begin_kind, next_kind
):
    # review/6: its COMMIT succeeded without the writes that had been answered.
    async def scenario(world):
        client = await begin(world, begin_kind)
        for version in range(2, 2 + 2 * times, 2):
            await publish(world, version, **changed)
            await publish(world, version + 1)
        await check_ended(world, client, next_kind)

    builders_node.run_scenario(monkeypatch, scenario)


def test_transaction_of_which_nothing_ran_goes_on_when_its_key_is_restored(
    monkeypatch,
):
    async def scenario(world):
        client = world.open("n1", "latest")
        assert (await client.send(Kind.BEGIN)).error is None
        await publish(world, 2, **WITHOUT_KEY)
        await publish(world, 3)
        assert (await client.write()).error is None
        assert (await client.send(Kind.COMMIT)).error is None
        assert len(world.clusters["g"].primary.log) == 1

    builders_node.run_scenario(monkeypatch, scenario)


def exceed_idle_limit(world, client):
    client.session.expire_idle(float("inf"))


def stop_node(world, client):
    client.session.node._roll_back_transactions()


def lose_connection(world, client):
    for connection in list(world.clusters["g"].primary.connections):
        connection.abort()


@pytest.mark.parametrize("next_kind", [Kind.READ, Kind.WRITE, Kind.COMMIT])
@pytest.mark.parametrize("end", [exceed_idle_limit, stop_node, lose_connection])
def test_transaction_is_not_begun_again_after_its_rest_ended(
    monkeypatch, end, next_kind
):
    async def scenario(world):
        client = await begin(world, Kind.BEGIN)
        end(world, client)
        await check_ended(world, client, next_kind)

    builders_node.run_scenario(monkeypatch, scenario)
