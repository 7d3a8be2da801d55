import pytest

import builders_fleet
from sardinehold import objects
from sardinehold.core import membership
from sardinehold.core import reconciler
from sardinehold.core import view


def make_member(vm, incarnation="i1"):
    return view.Member(vm, "z", f"{vm}:1", incarnation)


def make_value(*vms):
    value = None
    for vm in vms:
        value = membership.add_member(value, make_member(vm), f"c-{vm}")
    return value


def parse(value):
    return membership.Record(objects.StoredObject("members", "current", 3, value))


def test_each_change_keeps_the_sets_before_it():
    value = membership.remove_member(make_value("a", "b"), "a", False, "x")
    record = parse(value)
    assert record.list_sets() == [{"b"}, {"a", "b"}, {"a"}, set()]
    assert record.removed == {"a/i1"}
    settled = parse(membership.clear_pending_changes(value, "y"))
    assert settled.list_sets() == [{"b"}]
    assert not settled.removed


def test_clean_leave_needs_no_lapse():
    record = parse(membership.remove_member(make_value("a", "b"), "a", True, "x"))
    assert not record.removed


def test_new_incarnation_replaces_the_old_one():
    value = membership.add_member(make_value("a"), make_member("a", "i2"), "x")
    record = parse(value)
    assert record.is_member("a", "i2")
    assert not record.is_member("a", "i1")
    assert record.removed == {"a/i1"}


def test_joins_wait_when_too_many_changes_are_open():
    names = [f"vm{number}" for number in range(membership.PENDING_LIMIT)]
    value = make_value(*names)
    assert membership.add_member(value, make_member("late"), "x") is None
    settled = membership.clear_pending_changes(value, "y")
    assert membership.add_member(settled, make_member("late"), "x") is not None


def test_order_moves_little_when_a_vm_goes():
    vms = [f"vm{number}" for number in range(20)]
    order = membership.order_vms("zone", vms)
    assert sorted(order) == sorted(vms)
    without = membership.order_vms("zone", [vm for vm in vms if vm != order[0]])
    assert without == order[1:]


def make_world():
    return builders_fleet.make_ready_world(zones=(2, 2, 2))


def test_dead_member_that_is_not_listed_is_removed():
    world = make_world()
    node = world.nodes["vm-1-0"]
    node.alive = False
    world.store.vms.put(world.now, "vm-1-0", None)
    members = lambda: world.store.get("members", "current").value  # noqa: E731
    gone = lambda: "vm-1-0" not in members()["members"]  # noqa: E731
    assert world.run_until(gone, reconciler.REMOVE_AFTER + 4)
    settled = lambda: not members()["removed"] and not members()["earlier"]  # noqa: E731
    assert world.run_until(settled, 4)


def test_live_member_that_is_not_listed_stays():
    world = make_world()
    world.store.vms.put(world.now, "vm-1-0", None)
    world.run(reconciler.REMOVE_AFTER + 3)
    assert "vm-1-0" in world.store.get("members", "current").value["members"]


def test_whole_zone_is_replaced():
    world = make_world()
    zone = [vm for vm in world.nodes if vm.startswith("vm-2")]
    for vm in zone:
        world.nodes[vm].alive = False
    world.run(3)
    for vm in zone:
        world.nodes[vm].start()
    assert world.run_until(world.is_ready, 8)


def test_leaving_endpoint_is_in_the_view_in_time():
    world = make_world()
    entry = {"state": "leaving", "purpose": "endpoint"}
    world.store.vms.put(world.now, "db-3", entry)
    known = lambda: all(  # noqa: E731
        "db-3" in node.engine.view.leaving for node in world.nodes.values()
    )
    assert world.run_until(known, 3.0)


@pytest.mark.parametrize("count", [1, 2])
def test_small_fleets_work(count):
    world = builders_fleet.make_ready_world(zones=(count,))
    world.run(3)
    assert world.is_ready()
