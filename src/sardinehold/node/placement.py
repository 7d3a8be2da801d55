"""Where a statement runs.

Answers the load of a few slots shared by all nodes, some endpoints slow, far or
behind: a read goes where its row is expected soonest, counting the way and what is
in front of it.
"""

from sardinehold.core import positions
from sardinehold.node import error_rate

CROSS_REGION_PENALTY = 0.06
"""Seconds that an endpoint in another region must be faster by: its bytes cross
between regions, which costs the users more than a short wait."""

LAG_COOLDOWN = 0.15
"""Seconds for which an endpoint that was behind is not asked for the position
that it lacked; about the time in which a replica applies a commit."""


class Candidate:
    """An endpoint as a placement sees it.

    :param round_trip: seconds to it and back.
    :param service_time: seconds that a statement takes there of late.
    :param in_flight: statements that run there or wait for it.
    :param is_primary: whether it leads the group.
    :param applied: the position that it answered last, None if unknown.
    :param missing_position: a position that it lacked, None if it lacked none of late.
    :param slots: statements that it runs at once.
    :param is_remote_region: whether it is in another region.
    :param failed: share of its statements that failed of late.
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
    ) -> None:
        """Keep the parts of the candidate."""
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


def estimate_latency(candidate: Candidate) -> float:
    """Return the seconds until an answer is expected, with the price of distance."""
    queued = candidate.in_flight / candidate.slots
    expected = candidate.round_trip + candidate.service_time * (1.0 + queued)
    if candidate.is_remote_region:
        expected += CROSS_REGION_PENALTY
    return expected + error_rate.compute_penalty(candidate.failed)


def may_have_position(candidate: Candidate, floor: positions.Position) -> bool:
    """Return whether an endpoint may be asked for a read at a position."""
    if candidate.applied is not None and candidate.applied >= floor:
        return True
    return candidate.missing_position is None or candidate.missing_position > floor


def choose_for_read(
    candidates: list[Candidate],
    floor: positions.Position | None,
    holds_lease: bool,
) -> Candidate | None:
    """Return the endpoint for a read, None if it has to wait.

    :param floor: position that a replica must have, None if none is known.
    :param holds_lease: whether the primary may be read without a position.
    """
    fitting = [
        candidate
        for candidate in candidates
        if (candidate.is_primary and holds_lease)
        or (
            not candidate.is_primary
            and floor is not None
            and may_have_position(candidate, floor)
        )
    ]
    return min(fitting, key=estimate_latency, default=None)
