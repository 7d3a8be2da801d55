"""Fleets whose store comes back from an older copy, in virtual time."""

import asyncio

import pytest

import builders_node
from sardinehold.node import clock
from sardinehold.node import leadership
from sardinehold.node import statements
from sardinehold.node import store_mirror
from sardinehold_standins import objects_in_memory

Failure = statements.Failure

APPLY_SECONDS = 3.0
"""Seconds from the store's acknowledgement until a configuration must be in force."""

ELECTION_SECONDS = leadership.TAKEOVER_AFTER + leadership.TAKEOVER_JITTER + 1.0
"""Seconds after the store's return until a node must lead: a takeover, and the time in
which watches and retries notice the return."""


def list_leaders(world):
    now = clock.read()
    return [name for name, node in world.nodes.items() if node.leadership.leads(now)]


async def count_leaders(world, seconds):
    """Return the highest number of nodes that led at the same time."""
    most = 0
    deadline = clock.read() + seconds
    while clock.read() < deadline:
        most = max(most, len(list_leaders(world)))
        await asyncio.sleep(0.02)
    return most


async def replace_primary(world):
    """Crash the primary and wait for the next one; the database returns."""
    database = world.clusters["g"].primary
    database.crash()
    deadline = clock.read() + 6.0
    while clock.read() < deadline:
        for name in world.nodes:
            await world.open(name, "latest").write()
        await asyncio.sleep(0.1)
    database.is_primary = False
    database.term = world.clusters["g"].primary.term
    database.log = list(world.clusters["g"].primary.log)
    database.paused_term = 0
    database.is_up = True
    await asyncio.sleep(1.0)


def find_stored_state(world):
    return world.store.objects["sardinehold", "group.g"].value


@pytest.mark.parametrize("seconds", [0.1, 2.0])
def test_a_node_leads_again_after_the_store_was_restored(monkeypatch, seconds):
    async def scenario(world):
        copy = world.store.save()
        await asyncio.sleep(5.0)
        await world.restore_store(copy, seconds)
        await asyncio.sleep(ELECTION_SECONDS)
        world.store.calls.clear()
        await asyncio.sleep(5.0)
        assert len(list_leaders(world)) == 1
        # One node renews its lease; nobody else writes.
        assert world.store.calls["update"] <= 5.0 / leadership.RENEW_INTERVAL + 1

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("killed", ["leader", "followers"])
def test_one_node_leads_when_revisions_are_given_out_again(monkeypatch, killed):
    async def scenario(world):
        copy = world.store.save()
        await asyncio.sleep(9.0)
        first = world.find_leader()
        names = (
            [first] if killed == "leader" else [n for n in world.nodes if n != first]
        )
        await world.restore_store(copy)
        for name in names:
            zone = world.nodes[name].settings.zone
            world.kill_node(name)
            world.start_node(name, zone)
        assert await count_leaders(world, 20.0) == 1
        assert len(list_leaders(world)) == 1

    builders_node.run_scenario(monkeypatch, scenario)


def test_fencing_tokens_rise_when_the_store_is_restored(monkeypatch):
    async def scenario(world):
        copy = world.store.save()
        await replace_primary(world)
        await world.restore_store(copy)
        await asyncio.sleep(ELECTION_SECONDS)
        await replace_primary(world)
        tokens = [token for _, token, _ in world.clusters["g"].promotions]
        assert len(tokens) >= 2
        assert tokens == sorted(set(tokens))

    builders_node.run_scenario(monkeypatch, scenario)


def test_replaced_primary_stays_replaced_when_the_store_is_restored(monkeypatch):
    async def scenario(world):
        copy = world.store.save()
        await replace_primary(world)
        primary = world.clusters["g"].primary.name
        await world.restore_store(copy)
        deadline = clock.read() + 8.0
        while clock.read() < deadline:
            for node in world.nodes.values():
                assert node.groups["g"].state.primary == primary
            await asyncio.sleep(0.05)
        assert find_stored_state(world)["primary"] == primary
        assert len(world.clusters["g"].promotions) == 1
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("passed", [0, 40])
def test_configuration_written_after_a_restore_is_in_force_in_time(monkeypatch, passed):
    # The store's revision passes the one from which the watches continue.
    async def scenario(world):
        copy = world.store.save()
        world.publish(version=2)
        await asyncio.sleep(4.0)
        await world.restore_store(copy, 0.1)
        for _ in range(passed):
            world.store.put("other", "x", {})
        world.publish(version=2)
        world.publish(version=3, keys={"blue-key": "blue"})
        for _ in range(passed):
            world.store.put("other", "x", {})
        await asyncio.sleep(APPLY_SECONDS)
        assert {node.find_version() for node in world.nodes.values()} == {3}

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("restarted", [["n1"], ["n0"], ["n0", "n1"]])
def test_restarted_node_gets_the_configuration_that_the_store_lost(
    monkeypatch, restarted
):
    async def scenario(world):
        copy = world.store.save()
        world.publish(version=2, keys={"blue-key": "blue"})
        await asyncio.sleep(4.0)
        await world.restore_store(copy)
        for name in restarted:
            zone = world.nodes[name].settings.zone
            world.kill_node(name)
            world.start_node(name, zone)
        await asyncio.sleep(ELECTION_SECONDS + 1.0)
        assert {node.find_version() for node in world.nodes.values()} == {2}

    builders_node.run_scenario(monkeypatch, scenario)


def test_draining_endpoint_gets_no_work_when_the_store_forgot_it(monkeypatch):
    async def scenario(world):
        copy = world.store.save()
        world.publish_endpoint("g-2", is_draining=True)
        await asyncio.sleep(4.0)
        await world.restore_store(copy)
        await asyncio.sleep(4.0)
        for node in world.nodes.values():
            assert node.groups["g"].endpoints["g-2"].draining_since is not None

    builders_node.run_scenario(monkeypatch, scenario)


def test_members_and_secret_that_the_store_lost_are_written_again(monkeypatch):
    async def scenario(world):
        copy = world.store.save()
        fleet = store_mirror.FLEET_KIND
        items = {key: item for key, item in copy.items.items() if key[0] != fleet}
        key = world.nodes["n0"].peers.key
        events = []
        for node in world.nodes.values():
            monkeypatch.setattr(
                node.journal,
                "note",
                lambda event, **f: (
                    events.append(event),
                    print(clock.read(), event, f),
                ),
            )
        await asyncio.sleep(2.0)
        empty = objects_in_memory.Copy(copy.revision, items, [])
        await world.restore_store(empty)
        await asyncio.sleep(ELECTION_SECONDS)
        assert {node.peers.key for node in world.nodes.values()} == {key}
        stored = {name for kind, name in world.store.objects if kind == fleet}
        members = {"member.n0", "member.n1", "member.n2"}
        assert stored == {"group.g", "endpoints.g", "secret", *members}
        assert bytes.fromhex(world.store.objects[fleet, "secret"].value["key"]) == key
        assert "member_gone" not in events

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("wait", [0.0, 0.18, 0.49, 0.52])
def test_restarted_fleet_does_not_return_to_the_primary_that_was_replaced(
    monkeypatch, wait
):
    # Nobody remembers the change of primary that the store has lost; with some waits,
    # a message of the processes before tells one node, which tells the leader.
    async def scenario(world):
        copy = world.store.save()
        await replace_primary(world)
        await asyncio.sleep(wait)
        primary = world.clusters["g"].primary.name
        zones = {name: node.settings.zone for name, node in world.nodes.items()}
        await world.restore_store(copy)
        for name in zones:
            world.kill_node(name)
        for name, zone in zones.items():
            world.start_node(name, zone)
        deadline = clock.read() + ELECTION_SECONDS + 3.0
        while clock.read() < deadline:
            for node in world.nodes.values():
                group = node.groups.get("g")
                if group is not None and group.lease.holds_lease(clock.read()):
                    assert group.state.primary == primary
            await asyncio.sleep(0.02)
        assert find_stored_state(world)["primary"] == primary
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("delay", [0.8, 1.2, 1.6, 2.0, 2.4])
def test_change_of_primary_ends_although_the_store_is_restored_meanwhile(
    monkeypatch, delay
):
    async def scenario(world):
        copy = world.store.save()
        await asyncio.sleep(3.0)
        world.clusters["g"].primary.crash()

        async def call(name):
            while True:
                await world.open(name, "latest").write()
                await asyncio.sleep(0.1)

        for name in world.nodes:
            world.tasks.start_soon(call, name)
        await asyncio.sleep(delay)
        await world.restore_store(copy, 0.3)
        await asyncio.sleep(ELECTION_SECONDS + 6.0)
        cluster = world.clusters["g"]
        assert not world.list_wrong_tokens()
        log = [request for _, request in cluster.primary.log]
        assert set(cluster.acknowledged) <= set(log)
        assert find_stored_state(world)["primary"] == cluster.primary.name
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_node_without_the_store_learns_of_its_restore_from_the_others(monkeypatch):
    async def scenario(world):
        copy = world.store.save()
        await asyncio.sleep(3.0)
        away = next(name for name in world.nodes if name != world.find_leader())
        await world.restore_store(copy)
        world.store.cut.add(away)
        await asyncio.sleep(ELECTION_SECONDS)
        assert world.nodes[away].store.era == world.store.era
        assert (await world.open(away, "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_one_node_leads_over_two_restores_within_seconds(monkeypatch):
    async def scenario(world):
        first = world.store.save()
        await asyncio.sleep(4.0)
        second = world.store.save()
        await asyncio.sleep(1.0)
        counted = asyncio.create_task(count_leaders(world, 12.0))
        await world.restore_store(second, 1.2)
        await asyncio.sleep(1.0)
        await world.restore_store(first, 0.3)
        await asyncio.sleep(ELECTION_SECONDS)
        assert len(list_leaders(world)) == 1
        assert await counted == 1

    builders_node.run_scenario(monkeypatch, scenario)


def test_entry_of_an_earlier_process_that_a_restore_brought_back_is_replaced(
    monkeypatch,
):
    # The earlier process may have had another address.
    async def scenario(world):
        copy = world.store.save()
        world.kill_node("n1")
        node = world.start_node("n1", "middle")
        await asyncio.sleep(3.0)
        await world.restore_store(copy)
        await asyncio.sleep(ELECTION_SECONDS)
        entry = world.store.objects[store_mirror.FLEET_KIND, "member.n1"].value
        assert entry["incarnation"] == node.incarnation
        members = [other.members["n1"] for other in world.nodes.values()]
        assert {member.incarnation for member in members} == {node.incarnation}

    builders_node.run_scenario(monkeypatch, scenario)
