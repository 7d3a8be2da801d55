"""When a primary counts as lost, and which log may take its place.

Answers the load of databases that are lost, cut off or behind while commits go on:
no commit that a caller was told of may be missing from the log that is chosen, and
a cut that few nodes see costs less than a change of primary.
"""

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import ports

MIN_SUSPECTING_NODES = 2
"""Nodes that must find a primary unreachable, where there are as many."""

MIN_SUSPECTING_SHARE = 0.25
"""Share of the nodes heard that must find a primary unreachable: fewer lose less by
the cut than all lose by a change of primary."""


class Plan:
    """What a freeze found.

    :param leader: an endpoint that leads a later term already, or ``""``.
    :param target: the endpoint to promote, ``""`` while too few logs were read.
    """

    __slots__ = ("leader", "target")

    def __init__(self, leader: str = "", target: str = "") -> None:
        """Keep what was found."""
        self.leader = leader
        self.target = target


def count_required_replicas(replicas: int, sync_replicas: int) -> int:
    """Return how many frozen replicas hold every acknowledged commit among them.

    A commit is in the logs of ``sync_replicas`` replicas at least: it can be missed
    only while as many have not been read.

    :param replicas: endpoints beside the primary that is replaced, whether or not
        that is still there.
    """
    return max(1, replicas - sync_replicas + 1)


def choose_target(
    statuses: dict[str, ports.LogStatus],
    state: catalog.GroupState,
    replica_count: int,
    sync_replicas: int,
    leaving: frozenset[str] = frozenset(),
    failed: frozenset[str] = frozenset(),
    may_reinstate: bool = False,
    acknowledged: positions.Position | None = None,
    may_lose_commits: bool = False,
) -> Plan:
    """Return whom to promote, from the frozen logs that were read.

    :param statuses: of endpoints that cannot acknowledge a commit any more, or
        that lead a later term.
    :param state: of the group, with the primary that is replaced.
    :param replica_count: endpoints beside that primary, with those that left of
        late: one of them may have had the only copy of a commit.
    :param leaving: endpoints about to leave, taken only if no other will do.
    :param failed: endpoints that failed to take over, likewise.
    :param may_reinstate: whether the old primary may lead again for want of others.
    :param acknowledged: newest commit that any caller was told of, None if that
        is not known of all.
    :param may_lose_commits: whether to go on although the logs that could prove it are
        lost for good.
    """
    for name, status in statuses.items():
        if status.is_primary and status.term > state.term:
            return Plan(leader=name)
    old = statuses.get(state.primary)
    replicas = {name: item for name, item in statuses.items() if item is not old}

    def rate(name: str) -> tuple[positions.Position, bool, bool]:
        return replicas[name].received, name not in leaving, name not in failed

    best = max(sorted(replicas), key=rate, default="")
    if best and len(replicas) >= count_required_replicas(replica_count, sync_replicas):
        return Plan(target=best)
    if best and acknowledged is not None and replicas[best].received >= acknowledged:
        return Plan(target=best)
    if old is None:
        return Plan(target=best if may_lose_commits else "")
    if best and replicas[best].received >= old.received:
        return Plan(target=best)
    return Plan(target=state.primary if may_reinstate else "")


def is_suspect(failing: int, reporting: int) -> bool:
    """Return whether enough nodes find a primary unreachable.

    :param failing: nodes that do.
    :param reporting: nodes that reported of late.
    """
    return failing >= max(
        min(MIN_SUSPECTING_NODES, reporting), MIN_SUSPECTING_SHARE * reporting, 1
    )
