"""Ownership of endpoints: the nodes that hold an endpoint's queue and connections.

Many nodes and teams share few endpoints, and a connection belongs to one team: with
connections on every node, one that sends few statements would hardly ever reuse a
connection, and independent queues would compete for the same slots. Every node computes
the same owners from the members' records: the first one holds the connections and the
queue, the next one replaces it while it is unavailable.
"""

import hashlib
import math
import typing

from sardinehold.node import membership

OWNERS_PER_ENDPOINT = 2
"""Owners of an endpoint, in order. If none is available, nodes connect themselves."""

LOAD_FACTOR = 1.25
"""Multiple of its fair share of the endpoints that a node may be first owner of, as in
consistent hashing with bounded loads. Some slack keeps most owners in place when a node
or an endpoint joins or leaves."""

WITNESSES = 5
"""Members that probe an endpoint that its owner cannot reach. Each of them opens a
connection, which costs a busy endpoint a slot."""

LEADER_CANDIDATES = 8
"""Members that watch the leader's object and stand for election: enough that some
survive the loss of a zone, and few enough to limit concurrent writes."""

LEADER_KEY = "lead"
"""Key under which leader candidates are ranked, as owners are for an endpoint."""

_HASH_RANGE = 2.0**64

MeasureDistance = typing.Callable[[str, str], int]
"""Returns the distance of two availability zones: 0 for the same zone, 1 for zones of
one region, 2 for others."""


def score(endpoint: str, member: membership.Member) -> float:
    """Return a member's score for an endpoint; the lowest ranks first.

    Weighted rendezvous hashing: members rank first in proportion to their weights, and
    a member that leaves does not change the order of the others.
    """
    return -math.log(hash_to_unit_interval(endpoint, member.name)) / member.weight


def hash_to_unit_interval(endpoint: str, name: str) -> float:
    """Return a number between 0 and 1 that depends only on both names."""
    key = f"{endpoint}\0{name}".encode()
    digest = hashlib.blake2b(key, digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / (_HASH_RANGE + 1)


def list_tiers(
    zone: str, members: typing.Iterable[membership.Member], measure: MeasureDistance
) -> list[list[membership.Member]]:
    """Return the members by distance from a zone, in tiers with enough members."""
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
    """Return the owners of each endpoint, in the order of preference.

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
    """Return the owners of endpoints of one zone, first owners with bounded load."""
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
    """Return the members that stand for election, preferring those of high weight.

    The other members receive the leader's name in its messages.
    """
    ranked = sorted(members, key=lambda member: score(LEADER_KEY, member))
    return [member.name for member in ranked[:LEADER_CANDIDATES]]


def choose_witnesses(endpoint: str, names: typing.Iterable[str]) -> frozenset[str]:
    """Return the members that probe an endpoint that others cannot reach.

    :param names: of the available members.
    """
    ranked = sorted(names, key=lambda name: hash_to_unit_interval(endpoint, name))
    return frozenset(ranked[:WITNESSES])
