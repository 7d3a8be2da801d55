"""Sections of the fleet, whose nodes report to the leader through an aggregator.

With a report of each node, the leader's work would grow with the fleet. Therefore the
members are divided into sections of bounded size within the availability zones. One
node of each section answers the reports of the others and sends the leader a summary.
Every node computes the same sections from the members' records.
"""

import collections
import math
import typing

from sardinehold.node import membership
from sardinehold.node import ownership

MIN_SECTION_SIZE = 36
"""Members that one node can answer beside its other work: their periodic reports take
a weak VM a tenth of its processor. A fleet of this size has no sections."""

SIZE_FACTOR = 1.5
"""Section size as a multiple of the square root of the number of members, so that the
numbers of sections and of members of each grow alike."""

AGGREGATORS = 3
"""Members that may aggregate for a section, in the order of preference."""

SECTIONS_AT_FULL_RATE = 8
"""Sections whose aggregators may all report as often as any node; more of them share
that rate, so that the leader's work stays the same. Their larger sections have a
steadier demand, and hold tokens in advance."""

POOL_SIZE = 2 * MIN_SECTION_SIZE
"""Members up to which a fleet pools its tokens. The pooler gets messages only while the
allocator does not answer, so that it can serve more members than an aggregator. With
195 nodes on weak VMs, service did not return in time with pools of sections."""

POOLERS = 2
"""Members of a pool, and of each zone in it, that are asked for tokens in order."""

KEY = "section"
"""Key under which members are assigned to sections."""

AGGREGATOR_KEY = "aggregator"
"""Key under which members are ranked as aggregators, as owners are for an endpoint."""


def compute_section_size(count: int) -> int:
    """Return the intended number of members of a section in a fleet of ``count``."""
    return max(MIN_SECTION_SIZE, math.ceil(SIZE_FACTOR * math.sqrt(count)))


def list_section(
    name: str, members: typing.Mapping[str, membership.Member]
) -> list[membership.Member]:
    """Return the members of a node's section; none if the fleet has no sections.

    :param name: a member's name.
    """
    size = compute_section_size(len(members))
    own = members.get(name)
    if own is None or len(members) <= size:
        return []
    near = [member for member in members.values() if member.zone == own.zone]
    count = math.ceil(len(near) / size)
    index = _find_index(name, count)
    return [member for member in near if _find_index(member.name, count) == index]


def count_sections(members: typing.Mapping[str, membership.Member]) -> int:
    """Return the number of sections of a fleet."""
    size = compute_section_size(len(members))
    zones = collections.Counter(member.zone for member in members.values())
    return sum(math.ceil(count / size) for count in zones.values())


def find_pace(count: int) -> float:
    """Return by which factor aggregators of ``count`` sections report less often."""
    return max(1.0, count / SECTIONS_AT_FULL_RATE)


def _find_index(name: str, count: int) -> int:
    if count == 1:
        return 0
    return min(count - 1, int(count * ownership.hash_to_unit_interval(KEY, name)))


def list_aggregators(
    name: str, members: typing.Mapping[str, membership.Member], leader: str
) -> list[str]:
    """Return the nodes through which a node reports, in the order of preference.

    Candidates for the lead report to the leader themselves: from an aggregator they
    would learn later that it renewed its lease, and take over later.

    :param leader: name of the leader, which aggregates for no section: its own work
        comes first.
    :returns: none if the node reports to the leader directly.
    """
    if name in ownership.list_leader_candidates(members.values()):
        return []
    section = [
        member for member in list_section(name, members) if member.name != leader
    ]
    ranked = sorted(section, key=lambda member: ownership.score(AGGREGATOR_KEY, member))
    names = [member.name for member in ranked[:AGGREGATORS]]
    return names[: names.index(name)] if name in names else names


def has_pool(members: int) -> bool:
    """Return whether a fleet of so many members pools its tokens."""
    return members <= POOL_SIZE


def list_pool(
    name: str, members: typing.Mapping[str, membership.Member]
) -> list[membership.Member]:
    """Return the members with which a node shares tokens without the allocator."""
    return list(members.values()) if has_pool(len(members)) else []


def list_poolers(
    name: str, members: typing.Mapping[str, membership.Member], leader: str
) -> list[str]:
    """Return the nodes that a node asks for tokens, in the order of preference.

    Those of its own zone follow: they may be the only ones that it reaches.

    :param leader: name of the leader, which comes last since it may be unreachable.
    """
    own = members.get(name)
    if own is None:
        return []
    ranked = sorted(
        list_pool(name, members),
        key=lambda member: (
            member.name == leader,
            ownership.score(AGGREGATOR_KEY, member),
        ),
    )
    near = [member for member in ranked if member.zone == own.zone]
    return list(
        dict.fromkeys(item.name for item in [*ranked[:POOLERS], *near[:POOLERS]])
    )
