"""Failure detection of primaries, and selection of the endpoint to promote.

Databases crash, become unreachable or lag while commits continue. No commit that was
acknowledged to a caller may be missing from the log that is chosen, and a partition
that affects few nodes costs less than a failover.
"""

import enum

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import ports

MIN_SUSPECTING_NODES = 2
"""Minimum number of nodes that must find a primary unreachable, if that many exist."""

MIN_SUSPECTING_SHARE = 0.25
"""Minimum share of the reporting nodes that must find a primary unreachable: below it,
the partition costs less than a failover costs all nodes."""


class Grounds(enum.Enum):
    """Why a log is known to hold every acknowledged commit."""

    REPLICAS = "replicas"
    """It is the longest of so many frozen replicas that no commit is on others only."""

    REPORTS = "reports"
    """It reaches the newest commit that the members report as acknowledged."""

    OLD_PRIMARY = "old primary"
    """It is as long as that of the primary that stepped down."""

    REINSTATED = "reinstated"
    """It is that of the primary that stepped down, which is promoted again."""

    LOSS_ACCEPTED = "loss accepted"
    """It is not known: the other logs are permanently lost."""


class Plan:
    """Result of a freeze.

    :param leader: an endpoint that is already primary of a later term, or ``""``.
    :param target: the endpoint to promote, ``""`` while too few logs were read.
    :param grounds: why the target may be promoted, None without one.
    """

    __slots__ = ("leader", "target", "grounds")

    def __init__(
        self, leader: str = "", target: str = "", grounds: Grounds | None = None
    ) -> None:
        """Initialize the plan."""
        self.leader = leader
        self.target = target
        self.grounds = grounds if target else None


def count_required_replicas(replicas: int, sync_replicas: int) -> int:
    """Return how many frozen replicas together hold every acknowledged commit.

    A commit is in the logs of at least ``sync_replicas`` replicas: it can be missed
    only while that many have not been read.

    :param replicas: number of endpoints besides the primary that is replaced, whether
        or not that one still exists.
    """
    return max(1, replicas - sync_replicas + 1)


def choose_target(
    statuses: dict[str, ports.LogStatus],
    state: catalog.GroupState,
    replica_count: int,
    sync_replicas: int,
    draining: frozenset[str] = frozenset(),
    failed: frozenset[str] = frozenset(),
    requested: str = "",
    may_reinstate: bool = False,
    acknowledged: positions.Position | None = None,
    may_lose_commits: bool = False,
    preferred: frozenset[str] = frozenset(),
    restarted: frozenset[str] = frozenset(),
    replicated: positions.Position = positions.START,
    stated: positions.Position = positions.START,
    awaits_records: bool = False,
) -> Plan:
    """Return the endpoint to promote, chosen from the frozen logs that were read.

    :param statuses: of endpoints that can no longer acknowledge a commit, or that are
        primary of a later term.
    :param state: of the group, with the primary that is replaced.
    :param replica_count: number of endpoints besides that primary, including those
        that left recently: one of them may hold the only copy of a commit.
    :param draining: endpoints about to leave, or in an evacuated availability zone,
        chosen only if no other qualifies.
    :param failed: endpoints whose promotion failed, likewise.
    :param requested: an endpoint that an earlier request may still promote,
        chosen first among equals: repeating a request changes nothing.
    :param may_reinstate: whether the old primary may be promoted if no other qualifies.
    :param acknowledged: newest commit that was acknowledged to any caller, None unless
        it is known for all nodes.
    :param may_lose_commits: whether to continue although the logs that could prove
        completeness are permanently lost.
    :param preferred: endpoints in a region that all restricting routes allow; chosen
        first if all else is equal.
    :param restarted: endpoints that may have lost commits when they restarted; they
        do not count among those that were read.
    :param replicated: position that as many replicas as a commit needs have received.
        A log that ends before it lacks an acknowledged commit.
    :param stated: newest position at which a member says that it told of a commit. The
        commit may come earlier in the log, but the primary's log reached this position.
    :param awaits_records: whether replicas may have no record yet. A log that ends
        before ``stated`` is then not chosen for the number of replicas that were read.
    """
    leader = find_later_primary(statuses, state)
    if leader:
        return Plan(leader=leader)
    old = statuses.get(state.primary)
    replicas = {name: item for name, item in statuses.items() if item is not old}

    def preference(name: str) -> tuple[positions.Position, bool, bool, bool, bool]:
        return (
            replicas[name].received,
            name == requested,
            name not in draining,
            name not in failed,
            name in preferred,
        )

    best = max(sorted(replicas), key=preference, default="")
    end = replicas[best].received if best else positions.START
    required = count_required_replicas(replica_count, sync_replicas)
    may_lack = end < replicated or (awaits_records and end < stated)
    if best and not may_lack and len(replicas.keys() - restarted) >= required:
        return Plan(target=best, grounds=Grounds.REPLICAS)
    if best and acknowledged is not None and end >= max(acknowledged, replicated):
        return Plan(target=best, grounds=Grounds.REPORTS)
    if old is None or old.received < max(stated, replicated):
        # The old primary's log cannot be read, or is not the one that it had.
        accepted = best if may_lose_commits else ""
        return Plan(target=accepted, grounds=Grounds.LOSS_ACCEPTED)
    if best and end >= old.received:
        return Plan(target=best, grounds=Grounds.OLD_PRIMARY)
    reinstated = state.primary if may_reinstate else ""
    return Plan(target=reinstated, grounds=Grounds.REINSTATED)


def has_longest_outside(
    replicas: dict[str, ports.LogStatus], evacuated: frozenset[str]
) -> bool:
    """Return whether one of the longest logs is of an endpoint that is not evacuated.

    :param evacuated: endpoints in evacuated availability zones.
    """
    end = max((status.received for status in replicas.values()), default=None)
    return any(
        name not in evacuated and status.received == end
        for name, status in replicas.items()
    )


def find_later_primary(
    statuses: dict[str, ports.LogStatus], state: catalog.GroupState
) -> str:
    """Return the newest primary of a later term than a state's, ``""`` if none."""
    later = {
        name: status.term
        for name, status in statuses.items()
        if status.is_primary and status.term > state.term
    }
    return max(later, key=later.__getitem__, default="")


def has_more_commits(
    statuses: dict[str, ports.LogStatus], state: catalog.GroupState, later: str
) -> bool:
    """Return whether the published primary's log goes beyond that of a later one.

    No statement was sent to the later one, so that its log ends where it was promoted.
    """
    published = statuses.get(state.primary)
    return (
        published is not None
        and published.is_primary
        and published.term == state.term
        and published.received.offset > statuses[later].received.offset
    )


def find_primary(statuses: dict[str, ports.LogStatus]) -> str:
    """Return the primary of the newest term that any endpoint has seen, ``""`` if none.

    A primary of an earlier term has been replaced.
    """
    newest = max((status.term for status in statuses.values()), default=0)
    for name, status in statuses.items():
        if status.is_primary and status.term == newest:
            return name
    return ""


def is_suspect(failing: int, reporting: int) -> bool:
    """Return whether enough nodes find a primary unreachable.

    :param failing: number of nodes that do.
    :param reporting: number of nodes that reported recently.
    """
    return failing >= max(
        min(MIN_SUSPECTING_NODES, reporting), MIN_SUSPECTING_SHARE * reporting, 1
    )
