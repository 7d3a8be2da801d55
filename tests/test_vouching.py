import pytest

import builders_fleet
from sardinehold.core import confirmation
from sardinehold.core import lease
from sardinehold.core import membership

ALL = tuple(f"vm-{zone}-{number}" for zone in range(3) for number in range(2))
ZONE_0, REST = ALL[:2], ALL[2:]
LONE = ALL[0]
OTHERS = ALL[1:]
NONE = ()

RECEIVE_ONLY_MARGIN = 2.0
"""Seconds for which a node that cannot send may still receive confirmations."""

REACHABILITY = {}
"""Functions that set up the partitions of each row, with the expected nodes."""


def row(writing, reading):
    """Register a row with the nodes that must keep accepting writes and reads."""

    def register(set_up):
        REACHABILITY[set_up.__name__] = (set_up, writing, reading)
        return set_up

    return register


@row(ALL, ALL)
def everything_works(world):
    pass


@row(ALL, ALL)
def platform_down_for_all(world):
    world.platform_down = True


@row(ALL, ALL)
def platform_takes_two_seconds(world):
    world.platform_latency = 2.0


@row(ALL, ALL)
def one_node_without_platform(world):
    world.no_platform.add(LONE)


@row(ALL, ALL)
def one_node_without_peers(world):
    world.block([LONE], ALL)


@row(OTHERS, OTHERS)
def one_node_without_anything(world):
    world.block([LONE], ALL)
    world.no_platform.add(LONE)


@row(OTHERS, OTHERS)
def one_node_hears_nobody(world):
    world.block(ALL, [LONE], both=False)
    world.no_platform.add(LONE)


@row(OTHERS, OTHERS)
def one_node_is_heard_by_nobody(world):
    world.block([LONE], ALL, both=False)
    world.no_platform.add(LONE)


@row(ALL, ALL)
def platform_only_for_one_zone(world):
    world.no_platform.update(REST)


@row(REST, REST)
def region_cut_off_from_all(world):
    world.block(ZONE_0, REST)
    world.no_platform.update(ZONE_0)


@row(ALL, ALL)
def region_cut_off_with_the_platform(world):
    world.block(ZONE_0, REST)
    world.no_platform.update(REST)


@row(REST, REST)
def platform_down_and_region_cut_off(world):
    world.platform_down = True
    world.block(ZONE_0, REST)


@row(OTHERS, OTHERS)
def platform_down_and_one_node_cut_off(world):
    world.platform_down = True
    world.block([LONE], ALL)


@row(NONE, NONE)
def platform_down_and_all_regions_apart(world):
    world.platform_down = True
    for zone in range(3):
        inside = [vm for vm in ALL if vm.startswith(f"vm-{zone}")]
        world.block(inside, ALL)
        for vm in inside:
            world.blocked -= {(vm, other) for other in inside}


@row(OTHERS, ALL)
def node_restarted_while_platform_is_down(world):
    world.platform_down = True
    world.run(1)
    world.nodes[LONE].start()


@row(NONE, NONE)
def all_restarted_while_platform_is_down(world):
    world.platform_down = True
    for vm in ALL:
        world.nodes[vm].start()


@pytest.mark.parametrize("name", REACHABILITY)
def test_who_goes_on_when_reach_is_lost(name):
    set_up, writing, reading = REACHABILITY[name]
    world = builders_fleet.make_ready_world(zones=(2, 2, 2))
    world.run(1)
    set_up(world)
    world.run(lease.SERVE_BOUND + RECEIVE_ONLY_MARGIN)
    assert not [
        vm for vm in ALL if not is_as_expected(world, vm, writing, "write_deadline")
    ]
    assert not [
        vm for vm in ALL if not is_as_expected(world, vm, reading, "serve_deadline")
    ]


def is_as_expected(world, vm, expected, name):
    """Return whether a node's deadline is in the future or the past, as expected."""
    node = world.nodes[vm]
    ahead = getattr(node.engine, name) > node.read_clock()
    return ahead == (vm in expected)


def test_cut_off_node_stops_writes_within_the_lease():
    world = builders_fleet.make_ready_world(zones=(2, 2, 2))
    one_node_without_anything(world)
    world.run(lease.LEASE)
    assert not world.nodes[LONE].can_write
    assert world.nodes[LONE].engine.serve_deadline > world.nodes[LONE].read_clock()


def test_all_go_on_after_the_platform_is_back():
    world = builders_fleet.make_ready_world(zones=(2, 2, 2))
    platform_down_and_all_regions_apart(world)
    world.run(12)
    world.heal()
    assert world.run_until(world.is_ready, 6)


def test_withdrawn_key_reaches_a_node_that_only_peers_reach():
    world = builders_fleet.make_ready_world(zones=(2, 2, 2))
    one_node_without_platform(world)
    value = builders_fleet.make_document_value(version=2, withdrawn=True)
    world.change("document", "current", value)
    seen = lambda: all(  # noqa: E731
        node.engine.view.document.version == 2 for node in world.nodes.values()
    )
    assert world.run_until(seen, 1.0)


@pytest.mark.parametrize("size", range(1, 40))
def test_quorums_have_a_member_in_common(size):
    confirm = membership.count_confirm_quorum(size)
    fence = membership.count_fence_quorum(size)
    assert confirm + fence > size
    assert 1 <= fence <= size
    assert confirm <= size


def make_confirmations(zone, *dated, version=5):
    return confirmation.Confirmations(zone, version, dated)


def test_quorum_counts_over_zones():
    confirmations = [
        make_confirmations("a", (9.0, 1), (8.0, 3)),
        make_confirmations("b", (8.5, 2)),
    ]
    assert confirmation.find_confirmed_instant(5, 3, confirmations) == 8.5
    assert confirmation.find_confirmed_instant(5, 5, confirmations) == 8.0
    assert confirmation.find_confirmed_instant(5, 6, confirmations) is None


def test_two_relays_of_a_zone_are_not_added_up():
    confirmations = [
        make_confirmations("a", (9.0, 2)),
        make_confirmations("a", (9.0, 2)),
    ]
    assert confirmation.find_confirmed_instant(5, 3, confirmations) is None


def test_vouches_for_a_newer_view_do_not_count():
    confirmations = [make_confirmations("a", (9.0, 3), version=6)]
    assert confirmation.find_confirmed_instant(5, 3, confirmations) is None
    assert confirmation.find_confirmed_instant(6, 3, confirmations) == 9.0
