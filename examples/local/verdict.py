"""Checks the stored data against the answers that callers received.

The checks do not rely on the proxies or their counters: they read the tables of the
primary of each group, and the counters of each endpoint.
"""

import collections

import traffic

GAP_START_SECONDS = 0.5
"""Time before a fault at which the measured interval starts."""


class Verdict:
    """Result of the checks.

    :param acknowledged: number of acknowledged writes.
    :param lost: acknowledged writes that the primary does not store.
    :param doubled: writes that are stored more than once.
    :param untrue: writes that are stored although they were reported as not run.
    :param unknown: number of writes with an unknown effect.
    :param stale: reads that miss data which their session wrote or read before.
    :param old: reads that are older than their route allows.
    """

    __slots__ = ("acknowledged", "lost", "doubled", "untrue", "unknown", "stale", "old")

    def __init__(self) -> None:
        """Create an empty result."""
        self.acknowledged = 0
        self.lost: list[str] = []
        self.doubled: list[str] = []
        self.untrue: list[str] = []
        self.unknown = 0
        self.stale: list[str] = []
        self.old: list[str] = []

    @property
    def is_clean(self) -> bool:
        """Whether no check found a violation."""
        return not any((self.lost, self.doubled, self.untrue, self.stale, self.old))


def check_writes(fleet, record: traffic.Record) -> Verdict:
    """Check all writes and reads that callers recorded, and return the result."""
    verdict = Verdict()
    verdict.stale = list(record.stale)
    verdict.old = list(record.too_old)
    held = {group: count_letters(fleet, group) for group in fleet.document["groups"]}
    for write in record.writes:
        count = held[write.group][write.id]
        if count > 1:
            verdict.doubled.append(write.id)
        if write.outcome is traffic.Outcome.ACKNOWLEDGED:
            verdict.acknowledged += 1
            if count == 0:
                verdict.lost.append(write.id)
        elif write.outcome is traffic.Outcome.NOT_RUN:
            if count:
                verdict.untrue.append(write.id)
        else:
            verdict.unknown += 1
    return verdict


def count_letters(fleet, group: str) -> collections.Counter:
    """Return the number of rows by letter id on a group's primary."""
    dump = fleet.read_dump(fleet.read_primary(group))
    table = dump["tables"]["letter"]
    place = table["columns"].index("id")
    return collections.Counter(row[place] for row in table["rows"])


def read_replica_share(fleet) -> float:
    """Return the share of reads on replicas, from the endpoints' counters."""
    on_replicas = on_primaries = 0
    for control in fleet.controls.values():
        counters = fleet.http.get(f"http://{control}/status").json()["counters"]
        on_replicas += counters.get("reads_as_replica", 0)
        on_primaries += counters.get("reads_as_primary", 0)
    return on_replicas / max(1, on_replicas + on_primaries)


def find_gap(record: traffic.Record, group: str, since: float, until: float) -> float:
    """Return the longest time in seconds without an acknowledged write."""
    start = since - GAP_START_SECONDS
    times = sorted(
        write.at
        for write in record.writes
        if write.group == group
        and write.outcome is traffic.Outcome.ACKNOWLEDGED
        and start <= write.at <= until
    )
    ends = [start, *times, until]
    return max(later - earlier for earlier, later in zip(ends, ends[1:], strict=False))


def count_keys_seen(fleet) -> int:
    """Return how many times the endpoints received a caller's key."""
    statuses = (
        fleet.http.get(f"http://{control}/status").json()
        for control in fleet.controls.values()
    )
    return sum(status["counters"].get("keys_seen", 0) for status in statuses)
