import pytest

import builders_fleet
from sardinehold.core import candidates
from sardinehold.core import failover
from sardinehold.core import view

GROUP = builders_fleet.GROUP


def make_busy_world(**options):
    """Return a ready world with a client that writes through each node."""
    world = builders_fleet.make_ready_world(**{"zones": (2, 2, 2), **options})
    world.run(2.5)

    def write():
        for vm in world.nodes:
            world.write(vm)
        world.after(0.02, write)

    write()
    world.run(0.5)
    return world


def measure_gap(world, since):
    """Return the longest time in seconds without an acknowledged write."""
    times = [since, *(t for t, _, _ in world.acknowledged if t >= since), world.now]
    return max(after - before for before, after in zip(times, times[1:], strict=False))


def has_new_primary(world):
    state = world.read_group()
    return state["phase"] == "serving" and state["term"] >= 2


def has_recovered(world):
    state = world.read_group()
    if not has_new_primary(world):
        return False
    return any(entry[0] == state["term"] for _, _, entry in world.acknowledged[-1:])


def kill_primary(world):
    world.endpoints["db-1"].dead = True


def cut_primary_from_peers_only(world):
    world.endpoints["db-1"].cut = True


def find_node_without_role(world):
    """Return a node that holds no shared role."""
    holders = {world.find_holder(role) for role in ("supervisor-0", "allocator-0")}
    return next(node for node in world.nodes.values() if node not in holders)


def kill_primary_and_node(world):
    kill_primary(world)
    find_node_without_role(world).alive = False


def kill_primary_and_supervisor(world):
    kill_primary(world)
    world.find_holder("supervisor-0").alive = False


def pause_supervisor(world):
    kill_primary(world)
    world.find_holder("supervisor-0").paused_until = world.now + 6.0


def pause_lease_holder(world):
    cut_primary_from_peers_only(world)
    find_node_without_role(world).paused_until = world.now + 3.0


def lose_answers(world):
    kill_primary(world)
    world.lose_by_kind.add("group-state")


def cut_off_supervisor(world):
    kill_primary(world)
    holder = world.find_holder("supervisor-0").vm
    world.block([holder], world.nodes)
    world.no_platform.add(holder)


def cut_off_node(world):
    kill_primary(world)
    vm = find_node_without_role(world).vm
    world.block([vm], world.nodes)
    world.no_platform.add(vm)


@pytest.mark.parametrize(
    ("fault", "bound"),
    [
        (kill_primary, 1.5),
        (cut_primary_from_peers_only, 1.5),
        (lose_answers, 5.0),
        (kill_primary_and_node, 3.0),
        (pause_lease_holder, 3.0),
        (cut_off_node, 3.0),
        (kill_primary_and_supervisor, 5.0),
        (pause_supervisor, 5.0),
        (cut_off_supervisor, 5.0),
    ],
)
@pytest.mark.parametrize("seed", [1, 2])
def test_primary_is_replaced_in_time(fault, bound, seed):
    world = make_busy_world(seed=seed)
    since = world.now
    fault(world)
    assert world.run_until(lambda: has_recovered(world), bound)
    world.run(0.5)
    assert measure_gap(world, since) <= bound
    assert world.list_lost() == []


@pytest.mark.parametrize("step", ["sealing", "fencing", "promoting", "publishing"])
@pytest.mark.parametrize("outage", ["platform", "supervisor"])
def test_interrupted_promotion_is_finished(step, outage):
    world = make_busy_world(seed=3)
    kill_primary(world)
    worker = world.find_holder("supervisor-0").agent.electors["supervisor-0"].worker
    reached = lambda: (  # noqa: E731
        GROUP in worker.procedures and worker.procedures[GROUP].state == step
    )
    assert world.run_until(reached, 3.0)
    if outage == "platform":
        world.platform_down = True
        world.run(4.0)
        world.heal()
    else:
        world.find_holder("supervisor-0").alive = False
    assert world.run_until(lambda: has_recovered(world), 8.0)
    assert world.list_lost() == []
    primaries = [e for e in world.endpoints.values() if e.role == "primary"]
    newest = max(primaries, key=lambda endpoint: endpoint.term)
    assert newest.name == world.read_group()["primary"]


def test_last_replica_is_promoted_when_another_is_dead_too():
    world = make_busy_world(seed=2)
    kill_primary(world)
    world.endpoints["db-3"].dead = True
    assert world.run_until(lambda: has_new_primary(world), 3.0)
    assert world.read_group()["primary"] == "db-2"


def test_two_supervisors_make_one_promotion():
    world = make_busy_world(seed=4)
    pause_supervisor(world)
    assert world.run_until(lambda: has_recovered(world), 5.0)
    term = world.read_group()["term"]
    world.run(8.0)
    assert world.read_group()["term"] == term
    assert world.list_lost() == []


def test_old_primary_follows_when_it_is_back():
    world = make_busy_world(seed=5)
    kill_primary(world)
    assert world.run_until(lambda: has_recovered(world), 3.0)
    world.endpoints["db-1"].dead = False
    back = lambda: world.endpoints["db-1"].role == "replica"  # noqa: E731
    assert world.run_until(back, 3.0)
    assert world.endpoints["db-1"].term == world.read_group()["term"]


def test_reports_of_one_zone_do_not_replace_a_primary():
    world = make_busy_world(seed=6)
    world.block([vm for vm in world.nodes if vm.startswith("vm-0")], ["db-1"])
    world.run(2.0)
    assert world.read_group()["term"] == 1


def test_primary_is_replaced_when_one_node_alone_uses_its_group():
    world = make_busy_world(seed=6)
    user = next(iter(world.nodes.values()))
    for node in world.nodes.values():
        if node is not user:
            node.engine.probe = lambda: None
    kill_primary(world)
    assert world.run_until(lambda: has_new_primary(world), 3.0)


def test_group_without_replica_stays_sealed_until_one_is_back():
    world = make_busy_world(seed=7)
    for endpoint in world.endpoints.values():
        endpoint.dead = True
    world.run(3.0)
    assert world.read_group()["phase"] == "sealed"
    world.endpoints["db-2"].dead = False
    assert world.run_until(lambda: has_new_primary(world), 2.0)
    world.endpoints["db-3"].dead = False
    assert world.run_until(lambda: has_recovered(world), 2.0)


def test_sealed_group_goes_on_with_its_primary_if_no_replica_is_left():
    world = make_busy_world(seed=8)
    for endpoint in world.endpoints.values():
        endpoint.dead = True
    world.run(3.0)
    world.endpoints["db-1"].dead = False
    serving = lambda: world.read_group()["phase"] == "serving"  # noqa: E731
    assert world.run_until(serving, 2.0)
    assert world.read_group()["term"] == 1


def test_flapping_endpoints_are_not_promoted_back_and_forth():
    world = make_busy_world(seed=9)
    for turn in range(40):
        state = world.read_group()
        for name, endpoint in world.endpoints.items():
            endpoint.dead = name == state["primary"] and turn % 2 == 0
        world.run(1.0)
    assert world.read_group()["term"] <= 1 + failover.PROMOTION_LIMIT
    assert world.list_lost() == []


@pytest.mark.parametrize("seed", range(3))
def test_planned_hand_over_leaves_no_long_gap(seed):
    world = make_busy_world(seed=seed)
    since = world.now
    request = {"target": "db-3", "requested_by": "op", "change_id": "x"}
    world.change("handover", GROUP, request)
    assert world.run_until(lambda: has_recovered(world), 2.0)
    world.run(0.5)
    assert world.read_group()["primary"] == "db-3"
    assert measure_gap(world, since) < 0.3
    assert world.list_lost() == []


def test_hand_over_does_not_wait_for_a_dead_replica():
    world = make_busy_world(seed=1)
    world.endpoints["db-2"].dead = True
    world.endpoints["db-3"].held_until = world.now + 0.15
    request = {"target": "db-3", "requested_by": "op", "change_id": "x"}
    world.change("handover", GROUP, request)
    assert world.run_until(lambda: has_new_primary(world), 0.15 + 0.3)
    assert world.read_group()["primary"] == "db-3"
    assert world.list_lost() == []


def test_hand_over_that_cannot_drain_is_abandoned():
    world = make_busy_world(seed=1)
    node = next(iter(world.nodes.values()))
    node.engine.report_quiesced = lambda group: None
    request = {"target": "db-3", "requested_by": "op", "change_id": "x"}
    world.change("handover", GROUP, request)
    world.run(failover.DRAIN_TIMEOUT + 1.0)
    state = world.read_group()
    assert (state["term"], state["phase"], state["primary"]) == (1, "serving", "db-1")


def make_status(name, received, term=3, role="replica"):
    return candidates.LogStatus(name, role, term, received, received, {})


def test_most_advanced_replica_of_the_term_is_chosen():
    state = view.GroupState(GROUP, 3, "a", view.Phase.SEALED)
    statuses = {
        "a": make_status("a", 99, role="primary"),
        "b": make_status("b", 10),
        "c": make_status("c", 12),
        "d": make_status("d", 50, term=2),
    }
    assert candidates.choose_replica(state, statuses) == "c"
    assert candidates.choose_replica(state, statuses, frozenset("c")) == "c"
    statuses["b"] = make_status("b", 12)
    assert candidates.choose_replica(state, statuses, frozenset("b")) == "c"
    assert candidates.choose_replica(state, statuses, frozenset("c")) == "b"
    assert candidates.choose_replica(state, {"d": statuses["d"]}) == ""
