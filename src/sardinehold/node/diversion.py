"""When the owner of a nearly full endpoint sends a read back to look elsewhere.

Load addressed: a node's report of an endpoint is older than the queue that it
describes, so that reads arrive where there is no room. Only the owner knows the present
load. It rejects a read that may run elsewhere before it is queued; the rejection costs
one round trip between nodes, and carries a report.
"""

from sardinehold.node import placement
from sardinehold.node import placement_policies

SPARE_SLOTS = 1
"""Slots that are left for statements that cannot run elsewhere; a primary leaves
``placement_policies.PRIMARY_RESERVE`` more for writes."""

MAX_DIVERSIONS = 2
"""Maximum diversions of one read; with three endpoints it then has seen all."""


def find_limit(
    chosen: placement.Candidate, candidates: list[placement.Candidate], diversions: int
) -> int | None:
    """Return the statements at an endpoint from which on a read is sent back.

    :param candidates: the endpoints that may serve the read instead.
    :param diversions: how often the read was sent back already.
    :returns: None if it has to be queued: it was sent back often enough, the endpoint
        is remote, so that a round trip costs more than a short wait, or no other
        endpoint of this region is expected to have room.
    """
    if diversions >= MAX_DIVERSIONS or chosen.is_remote_region:
        return None
    has_other = any(
        item is not chosen and not item.is_remote_region and item.ahead < item.slots
        for item in candidates
    )
    if not has_other:
        return None
    reserve = placement_policies.PRIMARY_RESERVE if chosen.is_primary else 0
    return max(1, chosen.slots - SPARE_SLOTS - reserve)
