"""Load balancing of reads among the endpoints of a group.

All nodes share a few slots, and some endpoints are slow, remote or lagging. This module
describes the endpoints that a policy of :mod:`sardinehold.node.placement_policies`
chooses from, and estimates their latency including the round trip and the queue.
"""

from sardinehold.core import positions
from sardinehold.node import grading

CROSS_REGION_PENALTY = 0.06
"""Seconds by which an endpoint in another region must be faster: traffic between
regions costs the users more than a short wait."""


class Candidate:
    """An endpoint as a candidate for a read.

    :param round_trip: network round trip in seconds.
    :param service_time: recent average seconds that a statement takes there.
    :param in_flight: statements that run there or wait for it.
    :param is_primary: whether it is the group's primary.
    :param applied: position in its last answer, None if unknown.
    :param missing_position: position that it recently had not reached, or None.
    :param slots: statements that it runs concurrently.
    :param is_remote_region: whether it is in another region.
    :param failed: share of its recent statements that failed.
    :param ahead: statements that run there or wait for it, by a dated report and what
        this node sent since; by default ``in_flight``.
    """

    __slots__ = (
        "name",
        "round_trip",
        "service_time",
        "in_flight",
        "is_primary",
        "applied",
        "missing_position",
        "slots",
        "is_remote_region",
        "failed",
        "ahead",
    )

    def __init__(
        self,
        name: str,
        round_trip: float,
        service_time: float,
        in_flight: float = 0.0,
        is_primary: bool = False,
        applied: positions.Position | None = None,
        missing_position: positions.Position | None = None,
        slots: int = 1,
        is_remote_region: bool = False,
        failed: float = 0.0,
        ahead: float | None = None,
    ) -> None:
        """Initialize the candidate."""
        self.name = name
        self.round_trip = round_trip
        self.service_time = service_time
        self.in_flight = in_flight
        self.is_primary = is_primary
        self.applied = applied
        self.missing_position = missing_position
        self.slots = slots
        self.is_remote_region = is_remote_region
        self.failed = failed
        self.ahead = in_flight if ahead is None else ahead


def estimate_idle_latency(candidate: Candidate) -> float:
    """Return the estimated seconds without a queue, with penalties.

    The penalties are those for another region and for errors.
    """
    expected = candidate.round_trip + candidate.service_time
    if candidate.is_remote_region:
        expected += CROSS_REGION_PENALTY
    return expected + grading.compute_penalty(candidate.failed)


def estimate_latency(candidate: Candidate) -> float:
    """Return the estimated latency in seconds, with penalties for region and errors."""
    queued = candidate.in_flight / candidate.slots
    return estimate_idle_latency(candidate) + candidate.service_time * queued


def may_have_position(candidate: Candidate, floor: positions.Position) -> bool:
    """Return whether an endpoint may have reached a position."""
    if candidate.applied is not None and candidate.applied >= floor:
        return True
    return candidate.missing_position is None or candidate.missing_position > floor
