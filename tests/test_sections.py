"""Sections of the fleet, and the nodes that aggregate their reports."""

import math

import pytest

import builders_links
from sardinehold.node import exchange
from sardinehold.node import ownership
from sardinehold.node import sections

ZONES = ("north", "middle", "south")


def make_fleet(count):
    members = []
    for index, zone in enumerate(ZONES):
        size = count // 3 + (index < count % 3)
        members += builders_links.make_members(size, zone)
    for index, member in enumerate(members):
        member.name = f"n{index}"
    return {member.name: member for member in members}


@pytest.mark.parametrize("count", [1, 9, sections.MIN_SECTION_SIZE])
def test_small_fleet_reports_to_its_leader(count):
    fleet = make_fleet(count)
    for name in fleet:
        assert sections.list_aggregators(name, fleet, "n0") == []


@pytest.mark.parametrize("count", [37, 75, 195, 1000, 2459])
def test_no_node_answers_more_than_a_section_or_the_aggregators(count):
    """The number of nodes that report to any one grows with the square root."""
    fleet = make_fleet(count)
    leader = "n7"
    loads = dict.fromkeys(fleet, 0)
    for name in fleet:
        if name != leader:
            aggregators = sections.list_aggregators(name, fleet, leader)
            loads[aggregators[0] if aggregators else leader] += 1
    size = sections.compute_section_size(count)
    # Members are assigned by hash, so that sections are uneven.
    assert max(loads.values()) <= 1.6 * size
    limit = len(ZONES) * math.ceil(count / len(ZONES) / size)
    assert loads[leader] <= limit + ownership.LEADER_CANDIDATES
    assert limit <= 3 + math.sqrt(count)


@pytest.mark.parametrize("count", [75, 195, 1000, 2459, 10_000])
def test_leader_gets_no_more_reports_than_from_a_few_sections(count):
    """However many statements need tokens, and however large the fleet is."""
    number = sections.count_sections(make_fleet(count))
    rate = number / (exchange.MIN_REPORT_INTERVAL * sections.find_pace(number))
    limit = sections.SECTIONS_AT_FULL_RATE / exchange.MIN_REPORT_INTERVAL
    assert rate <= limit * 1.001


def test_every_node_of_a_section_has_the_same_aggregators_in_its_zone():
    fleet = make_fleet(195)
    candidates = ownership.list_leader_candidates(fleet.values())
    for name in fleet:
        aggregators = sections.list_aggregators(name, fleet, "n7")
        section = [member.name for member in sections.list_section(name, fleet)]
        assert name in section
        assert set(aggregators) <= set(section) - {"n7", name}
        assert {fleet[other].zone for other in aggregators} <= {fleet[name].zone}
        if name in candidates:
            assert aggregators == []


def test_first_aggregator_reports_to_the_leader_and_the_next_ones_to_it():
    fleet = make_fleet(195)
    candidates = ownership.list_leader_candidates(fleet.values())
    name = next(
        name
        for name in fleet
        if len(sections.list_aggregators(name, fleet, "")) == sections.AGGREGATORS
    )
    first, second, third = sections.list_aggregators(name, fleet, "")
    assert sections.list_aggregators(first, fleet, "") == []
    expected = [] if second in candidates else [first]
    assert sections.list_aggregators(second, fleet, "") == expected
    assert sections.list_aggregators(name, fleet, first)[0] == second


def test_member_that_leaves_moves_no_other_node_than_those_that_reported_to_it():
    fleet = make_fleet(195)
    before = {name: sections.list_aggregators(name, fleet, "") for name in fleet}
    gone = next(aggregators[0] for aggregators in before.values() if aggregators)
    remaining = {name: member for name, member in fleet.items() if name != gone}
    moved = [
        name
        for name in remaining
        if sections.list_aggregators(name, remaining, "")[:1] != before[name][:1]
        and before[name][:1] != [gone]
    ]
    assert len(moved) <= 2
