"""Which nodes hold the connections of an endpoint.

Answers the load of many nodes and teams in front of few endpoints: a connection
belongs to one team, so that a node which sends few statements hardly ever uses one
twice, and queues that know nothing of each other form in front of the same slots.
Every node finds the same homes from the members' entries: the one that comes first
holds the connections and the queue, the next one takes over while it is away.
"""

import hashlib
import math
import typing

from sardinehold.node import membership

OWNERS_PER_ENDPOINT = 2
"""Homes in line for an endpoint. Behind them a node uses connections of its own."""

LOAD_FACTOR = 1.25
"""Times its fair part of the endpoints that a node may be first home of. A little
room keeps most homes where they are when a node or an endpoint comes or goes."""

WITNESSES = 5
"""Members that are asked to look at an endpoint that its home does not reach. Each of
them opens a connection, which a busy endpoint pays for with a slot."""

LEADER_CANDIDATES = 8
"""Members that follow the leader's object to take its place: of so many some are left
behind the loss of a zone, and few write at once."""

LEADER_KEY = "lead"
"""What candidates stand in line for, as homes do for an endpoint."""

_HASH_RANGE = 2.0**64

MeasureDistance = typing.Callable[[str, str], int]
"""Returns how far two availability zones are apart: 0 for the same one, 1 for those of
one region, 2 for others."""


def score(endpoint: str, member: membership.Member) -> float:
    """Return a member's place in an endpoint's line; the lowest is first.

    Weighted rendezvous hashing: members come first in proportion to their weights, and
    one that leaves changes the line of nobody else.
    """
    return -math.log(_hash_to_unit_interval(endpoint, member.name)) / member.weight


def _hash_to_unit_interval(endpoint: str, name: str) -> float:
    """Return a number between 0 and 1 that depends on both names alone."""
    key = f"{endpoint}\0{name}".encode()
    digest = hashlib.blake2b(key, digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / (_HASH_RANGE + 1)


def list_tiers(
    zone: str, members: typing.Iterable[membership.Member], measure: MeasureDistance
) -> list[list[membership.Member]]:
    """Return the members by distance from a zone, as many tiers as a line needs."""
    by_distance: dict[int, list[membership.Member]] = {}
    for member in members:
        by_distance.setdefault(measure(zone, member.zone), []).append(member)
    tiers: list[list[membership.Member]] = []
    for distance in sorted(by_distance):
        if sum(map(len, tiers)) >= OWNERS_PER_ENDPOINT:
            break
        tiers.append(by_distance[distance])
    return tiers


def assign(
    zones: dict[str, str],
    members: typing.Collection[membership.Member],
    measure: MeasureDistance,
) -> dict[str, list[str]]:
    """Return the line of homes of each endpoint.

    :param zones: availability zone of each endpoint.
    """
    by_zone: dict[str, list[str]] = {}
    for endpoint in sorted(zones):
        by_zone.setdefault(zones[endpoint], []).append(endpoint)
    owners: dict[str, list[str]] = {}
    for zone, endpoints in by_zone.items():
        tiers = list_tiers(zone, members, measure)
        if tiers:
            owners.update(_assign_zone(endpoints, tiers))
    return owners


def _rank(endpoint: str, members: list[membership.Member]) -> list[membership.Member]:
    return sorted(members, key=lambda member: score(endpoint, member))


def _assign_zone(
    endpoints: list[str], tiers: list[list[membership.Member]]
) -> dict[str, list[str]]:
    """Return the lines of endpoints of one zone; no member is first home of many."""
    nearest = tiers[0]
    total = sum(member.weight for member in nearest)
    limits = {
        member.name: math.ceil(LOAD_FACTOR * len(endpoints) * member.weight / total)
        for member in nearest
    }
    owners = {}
    for endpoint in endpoints:
        ranked = [member for tier in tiers for member in _rank(endpoint, tier)]
        first = next(item for item in ranked if limits[item.name] > 0)
        limits[first.name] -= 1
        rest = [member for member in ranked if member is not first]
        owners[endpoint] = [item.name for item in [first, *rest][:OWNERS_PER_ENDPOINT]]
    return owners


def list_leader_candidates(members: typing.Iterable[membership.Member]) -> list[str]:
    """Return the members that may lead first: strong ones, as far as there are.

    The others wait to be called by the one that does.
    """
    ranked = sorted(members, key=lambda member: score(LEADER_KEY, member))
    return [member.name for member in ranked[:LEADER_CANDIDATES]]


def choose_witnesses(endpoint: str, names: typing.Iterable[str]) -> frozenset[str]:
    """Return the members that look at an endpoint that others do not reach.

    :param names: of the members that can be asked.
    """
    ranked = sorted(names, key=lambda name: _hash_to_unit_interval(endpoint, name))
    return frozenset(ranked[:WITNESSES])
