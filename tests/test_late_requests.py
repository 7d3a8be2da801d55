"""Promotion requests that are answered and take effect seconds later."""

import asyncio

import pytest

import builders_late
import builders_node
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import failover
from sardinehold.node import groups


@pytest.mark.parametrize("delay", [4.0, 7.0])
def test_answered_request_that_is_not_in_effect_names_the_only_target(
    monkeypatch, delay
):
    # Another endpoint was named after 3 s, and each undid the other's promotion.
    async def scenario(world):
        result = await builders_late.change_primary(world, delay, 14.0)
        assert len(world.clusters["g"].promotions) == 1
        assert [item.term for item in world.clusters["g"].promoted] == [2]
        assert not result.list_lost()

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("held_back", builders_late.HELD_BACK)
def test_second_target_does_not_undo_the_commits_of_the_first(monkeypatch, held_back):
    # The first one was published and acknowledged writes that the second one lacked.
    async def scenario(world):
        result = await builders_late.change_primary(
            world, 4.0, 14.0, held_back=held_back, back_after=1.0
        )
        assert result.told
        assert not result.list_lost()

    builders_node.run_scenario(monkeypatch, scenario)


def test_request_that_took_effect_late_does_not_hold_up_the_next_change(monkeypatch):
    async def scenario(world):
        cluster = world.clusters["g"]
        cluster.promote_delay = 4.0
        world.publish_endpoint("g-0", is_draining=True)
        state = await builders_late.await_publication(world, "g-0")
        cluster.promote_delay = 0.6
        world.publish_endpoint(state.primary, is_draining=True)
        began = clock.read()
        await builders_late.await_publication(world, state.primary)
        assert clock.read() - began < 2.0
        assert [item.term for item in cluster.promoted] == [2, 3]

    builders_node.run_scenario(monkeypatch, scenario)


def test_target_that_stays_away_is_replaced_once_its_request_has_expired(monkeypatch):
    # Until then the platform may promote it: it may start again under its name.
    async def scenario(world):
        cluster = world.clusters["g"]
        monkeypatch.setattr(cluster, "promote", builders_late.ignore)
        target, began = await builders_late.crash_primary(world)
        await asyncio.sleep(0.3)
        cluster.databases[target].crash()
        world.store.put(builders_node.ENDPOINT_KIND, target, None)
        _, changed_at = await builders_late.await_target(world, target)
        waited = changed_at - began
        assert groups.REQUEST_LIFETIME <= waited < groups.REQUEST_LIFETIME + 0.5

    builders_node.run_scenario(monkeypatch, scenario)


def test_target_that_started_again_is_requested_again(monkeypatch):
    # The platform had found it not running, or had forgotten the first request.
    async def scenario(world):
        cluster = world.clusters["g"]
        with monkeypatch.context() as patch:
            patch.setattr(cluster, "promote", builders_late.ignore)
            target, _ = await builders_late.crash_primary(world)
            await asyncio.sleep(1.0)
        builders_node.restart_database(world, cluster.databases[target], keeps_log=True)
        began = clock.read()
        await builders_late.await_publication(world, "g-0")
        assert clock.read() - began < 2.0
        assert [item[2] for item in cluster.promotions] == [target, target]

    builders_node.run_scenario(monkeypatch, scenario)


def test_next_leader_counts_from_when_a_request_can_have_been_sent(monkeypatch):
    # It counted from when it learned of the target, some time before the request.
    async def scenario(world):
        cluster = world.clusters["g"]
        old = cluster.primary
        monkeypatch.setattr(cluster, "promote", builders_late.ignore)
        world.connect_delays = [0.7]
        target, sent_at = await builders_late.crash_primary(world)
        cluster.databases[target].crash()
        old.is_up = True
        world.kill_node(world.find_leader())
        _, changed_at = await builders_late.await_target(world, target)
        assert changed_at - sent_at >= groups.REQUEST_LIFETIME

    builders_node.run_scenario(monkeypatch, scenario)


def test_published_request_is_not_counted_again(monkeypatch):
    # A restored store brought it back, and each new leader waited 8 s more for it.
    async def scenario(world):
        group = world.nodes["n0"].groups["g"]
        state = group.state
        published = catalog.GroupState(
            "g", state.term + 1, "g-1", state.phase, state.version, requested="g-1"
        )
        group.apply_state(published)
        expires_at = group.find_request_expiry()
        await asyncio.sleep(groups.REQUEST_LIFETIME + 0.1)
        group.apply_state(published.forget_request())
        group.apply_state(published)
        group.inherit_request(clock.read())
        assert group.find_request_expiry() == expires_at

    builders_node.run_scenario(monkeypatch, scenario)


def test_wait_for_leases_ends_with_the_lead(monkeypatch):
    # The group serves again in the node's view, so that no expiry is known.
    async def scenario(world):
        leader = world.nodes["n0"].leader
        stage = world.nodes["n0"].groups["g"].state.stage
        procedure = failover.Failover(leader, "g", 1, planned=False)
        monkeypatch.setattr(leader, "is_seal_known", lambda group, stage: False)
        monkeypatch.setattr(leader, "leads", lambda: False)
        async with asyncio.timeout(5.0):
            await procedure._wait_for_leases(stage)

    builders_node.run_scenario(monkeypatch, scenario)
