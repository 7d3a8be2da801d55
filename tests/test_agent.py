import builders_fleet
from sardinehold.core import actions
from sardinehold.core import agent_events
from sardinehold.core import allocation
from sardinehold.core import platform_watch
from sardinehold.core import relay

ALLOCATOR = allocation.ROLE


def make_world(**options):
    return builders_fleet.make_ready_world(**{"zones": (2, 2, 2), **options})


def ask(node, action):
    node.deliver(agent_events.ActionRequested(action))


def count_tokens(node):
    return sum(event.tokens for event in node.engine.tokens)


def test_old_answers_do_not_revert_the_view():
    world = make_world()
    node = world.nodes["vm-0-0"]
    old = world.store.list(builders_fleet.snapshot.KINDS)
    world.change("document", "current", builders_fleet.make_document_value(2))
    world.run(1)
    version = node.agent.node.snapshot.version
    assert not node.agent.node.replace_snapshot(old)
    assert node.agent.node.snapshot.version == version
    assert node.engine.view.document.version == 2


def test_document_is_in_force_everywhere_soon():
    world = make_world(zones=(3, 3, 3))
    world.change("document", "current", builders_fleet.make_document_value(2))
    known = lambda: all(  # noqa: E731
        node.engine.view.document.version == 2 for node in world.nodes.values()
    )
    assert world.run_until(known, 0.2)


def test_two_operators_cannot_both_win():
    world = make_world()
    stored = world.store.get("document", "current")
    first = builders_fleet.make_document_value(2)
    world.store.update("document", "current", first, stored.version)
    second = builders_fleet.make_document_value(3)
    try:
        world.store.update("document", "current", second, stored.version)
    except builders_fleet.errors.VersionConflict:
        world.wake_watches()
    world.run(1)
    versions = {n.engine.view.document.version for n in world.nodes.values()}
    assert versions == {2}


def test_expired_watch_leads_to_a_list():
    world = make_world()
    world.store.expire_history()
    world.change("document", "current", builders_fleet.make_document_value(2))
    world.run(2)
    versions = {n.engine.view.document.version for n in world.nodes.values()}
    assert versions == {2}


def test_dead_relay_is_replaced():
    world = make_world(zones=(4, 1, 1))
    node = world.nodes["vm-0-0"]
    order = node.agent.node.record.list_zone("zone-0")
    for vm in order[: relay.RELAYS_PER_ZONE]:
        world.nodes[vm].alive = False
    world.run(3)
    rest = [world.nodes[vm] for vm in order[relay.RELAYS_PER_ZONE :]]
    assert all(node.can_write for node in rest)
    assert all(node.agent.relay_client.is_relay() for node in rest)


def test_only_relays_watch_the_platform():
    world = make_world(zones=(6, 6, 6))
    world.run(2)
    world.calls.clear()
    world.run(10)
    relays = 3 * relay.RELAYS_PER_ZONE
    assert world.calls["WatchObjects"] <= relays * 10 / platform_watch.WATCH_WAIT * 1.1


def test_tokens_reach_the_node_that_asks():
    world = make_world()
    world.run(3)
    node = world.nodes["vm-2-1"]
    ask(node, actions.RequestTokens("desk", 20, 0))
    world.run(0.2)
    assert count_tokens(node) == 20
    assert all(event.deadline <= node.read_clock() + 1 for event in node.engine.tokens)


def test_burst_is_shared_by_all_nodes():
    world = make_world()
    world.run(3)
    for node in world.nodes.values():
        ask(node, actions.RequestTokens("desk", 50, 0))
    world.run(0.1)
    granted = sum(count_tokens(node) for node in world.nodes.values())
    assert 0 < granted <= 50 + 100 * 0.1


def test_shares_of_connections_stay_within_the_limit():
    world = make_world()
    world.run(5)
    for node in world.nodes.values():
        ask(node, actions.RequestConnections("db-1", 40))
    world.run(1)
    shares = [n.engine.shares["db-1"].connections for n in world.nodes.values()]
    assert sum(shares) <= 45
    assert max(shares) > 1


def test_allocator_that_is_paused_has_one_successor():
    world = make_world()
    world.run(3)
    old = world.find_holder(ALLOCATOR)
    old.paused_until = world.now + 10
    world.run_until(lambda: world.find_holder(ALLOCATOR) is not None, 8)
    new = world.find_holder(ALLOCATOR)
    assert new is not None
    assert new is not old
    world.run(12)
    assert world.find_holder(ALLOCATOR) is new


def test_cut_off_allocator_stops_before_the_next_begins():
    world = make_world()
    world.run(3)
    old = world.find_holder(ALLOCATOR)
    world.block([old.vm], world.nodes)
    world.no_platform.add(old.vm)
    epochs = []
    for _ in range(600):
        world.run(0.01)
        holder = world.find_holder(ALLOCATOR)
        epochs.append(holder.vm if holder else "")
    assert epochs[-1]
    assert epochs[-1] != old.vm
    assert "" in epochs


def test_planned_stop_hands_roles_on_and_leaves():
    world = make_world()
    world.run(3)
    node = world.find_holder(ALLOCATOR)
    node.deliver(agent_events.StopRequested())
    world.run(1.0)
    assert world.find_holder(ALLOCATOR) not in (None, node)
    ask(node, actions.DrainFinished(0))
    world.run(1.0)
    assert not node.alive
    value = world.store.get("members", "current").value
    assert node.vm not in value["members"]
    assert not value["removed"]


def test_planned_stop_of_the_allocator_leaves_no_long_gap():
    world = make_world()
    world.run(3)
    node = world.find_holder(ALLOCATOR)
    node.deliver(agent_events.StopRequested())
    ask(node, actions.DrainFinished(0))
    taken = lambda: world.find_holder(ALLOCATOR) not in (None, node)  # noqa: E731
    assert world.run_until(taken, 0.8)


def test_statuses_of_a_zone_are_in_one_object():
    world = make_world()
    world.run(5)
    value = world.store.get("status", "zone-1").value["vms"]
    assert set(value) == {"vm-1-0", "vm-1-1"}
    assert {entry["state"] for entry in value.values()} == {"serving"}


def test_lost_answer_of_a_join_is_recognised():
    world = builders_fleet.World(zones=(2, 2))
    world.lose_by_kind.add("members")
    world.start()
    assert world.run_until(world.is_ready, 15)
    value = world.store.get("members", "current").value
    assert set(value["members"]) == set(world.nodes)
