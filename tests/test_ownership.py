"""Selection of the nodes that own an endpoint's connections."""

import collections

import pytest

import builders_links
from sardinehold import errors
from sardinehold.node import membership
from sardinehold.node import ownership


def make_zones(count: int, zone: str = "north") -> dict[str, str]:
    return {f"e{index}": zone for index in range(count)}


def test_owners_do_not_depend_on_the_order_of_the_members():
    members = builders_links.make_members(12)
    forwards = ownership.assign(make_zones(4), members, builders_links.compare_zones)
    assert (
        ownership.assign(make_zones(4), members[::-1], builders_links.compare_zones)
        == forwards
    )
    assert all(len(line) == ownership.OWNERS_PER_ENDPOINT for line in forwards.values())


def test_owners_are_in_the_zone_of_the_endpoint():
    members = builders_links.make_members(3) + builders_links.make_members(3, "south")
    owners = ownership.assign({"e0": "south"}, members, builders_links.compare_zones)
    assert all(name.startswith("south") for name in owners["e0"])


def test_second_owner_is_in_another_zone_if_a_zone_has_one_node():
    members = [
        builders_links.make_member("s", "south"),
        *builders_links.make_members(3),
    ]
    line = ownership.assign({"e0": "south"}, members, builders_links.compare_zones)[
        "e0"
    ]
    assert line[0] == "s"
    assert len(set(line)) == ownership.OWNERS_PER_ENDPOINT


def test_no_member_means_no_owner():
    assert ownership.assign(make_zones(2), [], builders_links.compare_zones) == {}


@pytest.mark.parametrize(("nodes", "endpoints"), [(3, 3), (12, 4), (33, 10), (2, 9)])
def test_no_node_is_first_owner_of_much_more_than_its_share(nodes, endpoints):
    # If all endpoints are busy, two primaries owned by one small VM get only half of
    # its processor each.
    owners = ownership.assign(
        make_zones(endpoints),
        builders_links.make_members(nodes),
        builders_links.compare_zones,
    )
    counts = collections.Counter(line[0] for line in owners.values())
    assert max(counts.values()) <= -(-ownership.LOAD_FACTOR * endpoints // nodes)


def test_nodes_of_high_weight_are_owners_more_often():
    members = [
        builders_links.make_member(f"weak-{index}", weight=0.5) for index in range(10)
    ]
    members += [
        builders_links.make_member(f"strong-{index}", weight=2.0) for index in range(10)
    ]
    owners = ownership.assign(make_zones(300), members, builders_links.compare_zones)
    strong = sum(line[0].startswith("strong") for line in owners.values())
    assert 0.7 < strong / 300 < 0.9


def test_member_that_leaves_changes_few_owners_of_other_endpoints():
    members = builders_links.make_members(20)
    zones = make_zones(100)
    before = ownership.assign(zones, members, builders_links.compare_zones)
    after = ownership.assign(zones, members[1:], builders_links.compare_zones)
    gone = members[0].name
    kept = [name for name, line in before.items() if line[0] != gone]
    moved = [name for name in kept if before[name][0] != after[name][0]]
    assert len(moved) <= 0.15 * len(kept)


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        {"zone": "north"},
        {"zone": "north", "host": "h", "port": "many"},
        {"zone": "north", "host": "h", "port": 1, "weight": 0},
        {"zone": "north", "host": "h", "port": 1, "weight": float("inf")},
    ],
)
def test_entry_that_cannot_be_read_names_the_remedy(value):
    with pytest.raises(errors.DocumentError) as caught:
        membership.parse_member("n1", value)
    assert "n1" in caught.value.message
    assert caught.value.remedy


def test_entry_is_read_back_as_it_was_written():
    member = builders_links.make_member("n1", weight=0.7)
    assert membership.parse_member("n1", member.dump()).dump() == member.dump()
