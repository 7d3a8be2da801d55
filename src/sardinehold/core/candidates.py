"""Selection of the endpoint of a sealed group to promote to primary."""

from sardinehold.core import view as core_view


class LogStatus:
    """The log status reported by an endpoint.

    :param received: offset of the last log entry received.
    :param applied: offset of the last log entry applied.
    :param confirmed: offsets that its replicas have received, by endpoint.
    """

    __slots__ = ("endpoint", "role", "term", "received", "applied", "confirmed")

    def __init__(
        self,
        endpoint: str,
        role: str,
        term: int,
        received: int,
        applied: int,
        confirmed: dict[str, int],
    ) -> None:
        """Store the fields of the status."""
        self.endpoint = endpoint
        self.role = role
        self.term = term
        self.received = received
        self.applied = applied
        self.confirmed = confirmed


def parse_status(rows: list[tuple[str, ...]]) -> LogStatus | None:
    """Parse the rows of ``cluster_log_status``; None if there are none."""
    if not rows:
        return None
    endpoint, role, term, received, applied = rows[0][:5]
    confirmed = {row[0]: int(row[3]) for row in rows[1:]}
    return LogStatus(endpoint, role, int(term), int(received), int(applied), confirmed)


def choose_replica(
    state: core_view.GroupState,
    statuses: dict[str, LogStatus],
    avoided: frozenset[str] = frozenset(),
    last_term: int = 0,
) -> str:
    """Return the most advanced replica of the sealed term, ``""`` for none.

    :param avoided: endpoints to choose only if no other log is as long; a shorter
        one may lack acknowledged writes.
    :param last_term: newest term that was ordered since the seal. An endpoint that
        such an order has promoted has a log of the sealed term: nobody has written
        to it since.
    """
    eligible = {
        name: status
        for name, status in statuses.items()
        if state.term <= status.term <= max(state.term, last_term)
        and name != state.primary
    }
    return max(
        sorted(eligible),
        key=lambda name: (eligible[name].received, name not in avoided),
        default="",
    )


def can_resume(state: core_view.GroupState, statuses: dict[str, LogStatus]) -> bool:
    """Return whether the primary of a sealed group can resume in the same term."""
    status = statuses.get(state.primary)
    if status is None or status.role != "primary":
        return False
    return status.term == state.term


def has_caught_up(statuses: dict[str, LogStatus], primary: str, target: str) -> bool:
    """Return whether ``target`` has received the primary's whole log."""
    if primary not in statuses or target not in statuses:
        return False
    if statuses[primary].term != statuses[target].term:
        return False
    return statuses[target].received >= statuses[primary].received
