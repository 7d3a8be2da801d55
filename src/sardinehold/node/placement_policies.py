"""Policies that choose one of the endpoints that may serve a read.

Load addressed: many nodes choose at the same moment, each from reports that are 50 to
500 ms old. If all take the lowest estimate, they take the same endpoint.

A policy takes the candidates and a random number of [0, 1), and returns one of them.
"""

import typing

from sardinehold.node import placement

Choose = typing.Callable[
    [list[placement.Candidate], float], "placement.Candidate | None"
]
Weigh = typing.Callable[[placement.Candidate], float]

DEFAULT = "even"
"""Name of the policy that is used unless a setting names another one."""

MIN_ROOM = 0.2
"""Minimum share of its slots that an endpoint counts as free: a full one is still
chosen at times, so that new reports of it arrive."""

PRIMARY_RESERVE = 2
"""Slots of a primary that count as used by writes, which run nowhere else."""

PENALTY_MARGIN = 0.01
"""Seconds by which round trip and penalties may exceed the best endpoint's: more than
the round trip within a region, less than that to another one."""


class Policy:
    """A registered policy.

    :param diverts: whether owners may send its reads back, see
        :mod:`sardinehold.node.diversion`.
    """

    __slots__ = ("name", "choose", "diverts")

    def __init__(self, name: str, choose: Choose, diverts: bool) -> None:
        """Store the policy."""
        self.name = name
        self.choose = choose
        self.diverts = diverts


POLICIES: dict[str, Policy] = {}
"""Registered policies by the name that the setting ``placement`` gives."""


def names(name: str, diverts: bool = False) -> typing.Callable[[Choose], Choose]:
    """Register the decorated function as a policy under a name."""

    def register(choose: Choose) -> Choose:
        POLICIES[name] = Policy(name, choose, diverts)
        return choose

    return register


def estimate_latency(candidate: placement.Candidate) -> float:
    """Return the estimated latency in seconds by the dated load, with penalties."""
    waiting = max(0.0, candidate.ahead + 1.0 - candidate.slots) / candidate.slots
    return placement.estimate_idle_latency(candidate) + candidate.service_time * waiting


def list_worthwhile(
    candidates: list[placement.Candidate],
) -> list[placement.Candidate]:
    """Return the candidates whose round trip and penalties a shorter wait outweighs.

    An endpoint in another region, or one that fails statements, is kept only if the
    best one's queue costs as much. A slow one is kept; it has a lower weight.
    """
    bound = min(map(estimate_latency, candidates), default=0.0)
    fastest = min((item.service_time for item in candidates), default=0.0)
    return [
        item
        for item in candidates
        if placement.estimate_idle_latency(item) - item.service_time
        <= bound - fastest + PENALTY_MARGIN
    ]


def weigh_capacity(candidate: placement.Candidate) -> float:
    """Return the statements per second that an endpoint serves."""
    return candidate.slots / (candidate.round_trip + candidate.service_time)


def weigh_room(candidate: placement.Candidate) -> float:
    """Return the statements per second that an endpoint has free."""
    free = max(MIN_ROOM, 1.0 - candidate.ahead / candidate.slots)
    return weigh_capacity(candidate) * free


def weigh_room_beside_writes(candidate: placement.Candidate) -> float:
    """Return the same, less what a primary keeps for writes."""
    if not candidate.is_primary:
        return weigh_room(candidate)
    free = 1.0 - (candidate.ahead + PRIMARY_RESERVE) / candidate.slots
    return weigh_capacity(candidate) * max(MIN_ROOM / 4, free)


def draw_weighted(
    candidates: list[placement.Candidate], weigh: Weigh, draw: float
) -> tuple[placement.Candidate, float]:
    """Return a candidate with probability by weight, and what is left of the number."""
    weights = [weigh(item) for item in candidates]
    mark = draw * sum(weights)
    for item, weight in zip(candidates, weights, strict=True):
        if mark < weight:
            return item, mark / weight
        mark -= weight
    return candidates[-1], 0.0


@names("lowest")
def choose_lowest(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose the lowest estimated latency; a report counts for 0.3 s."""
    return min(candidates, key=placement.estimate_latency, default=None)


@names("dated")
def choose_dated(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose the lowest estimate by dated reports and the node's own statements."""
    return min(candidates, key=estimate_latency, default=None)


@names("two")
def choose_of_two(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose the lower dated estimate of two that were drawn by capacity."""
    kept = list_worthwhile(candidates)
    if not kept:
        return None
    first, rest = draw_weighted(kept, weigh_capacity, draw)
    others = [item for item in kept if item is not first]
    if not others:
        return first
    second, _ = draw_weighted(others, weigh_capacity, rest)
    return min((first, second), key=estimate_latency)


@names("two-diverted", diverts=True)
def choose_of_two_diverted(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose as ``two`` does; owners may send reads back."""
    return choose_of_two(candidates, draw)


@names("room")
def choose_by_room(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose with probability by free capacity."""
    kept = list_worthwhile(candidates)
    return draw_weighted(kept, weigh_room, draw)[0] if kept else None


@names("room-diverted", diverts=True)
def choose_by_room_diverted(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose as ``room`` does; owners may send reads back."""
    return choose_by_room(candidates, draw)


@names("primary-last")
def choose_primary_last(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose a replica as ``room`` does, the primary only if there is no other."""
    replicas = [item for item in candidates if not item.is_primary]
    return choose_by_room(replicas or candidates, draw)


@names("even", diverts=True)
def choose_evenly(
    candidates: list[placement.Candidate], draw: float
) -> placement.Candidate | None:
    """Choose by free capacity beside a primary's writes; reads may be sent back."""
    kept = list_worthwhile(candidates)
    return draw_weighted(kept, weigh_room_beside_writes, draw)[0] if kept else None
