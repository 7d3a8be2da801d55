"""Results of one run, by team and as summary measures."""

from hdrh import histogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
DIGITS = 3


class TeamResult:
    """Counts and latencies of one team's statements.

    :param refused_in_rate: refusals while the demand was within the rate.
    :param allowed: statements that rate and burst allowed during the run.
    :param latency: microseconds since the intended start, so that delays caused
        by a stalled caller are included (no coordinated omission).
    """

    __slots__ = (
        "name",
        "sent",
        "answered",
        "refused",
        "unknown",
        "refused_in_rate",
        "allowed",
        "latency",
    )

    def __init__(self, name: str) -> None:
        """Create an empty result."""
        self.name = name
        self.sent = 0
        self.answered = 0
        self.refused = 0
        self.unknown = 0
        self.refused_in_rate = 0
        self.allowed = 0.0
        self.latency = histogram.HdrHistogram(
            LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, DIGITS
        )

    def measure_share(self) -> float:
        """Return the answered share of the allowed demand."""
        entitled = min(self.sent, self.allowed)
        if entitled <= 0:
            return 1.0
        return min(1.0, self.answered / entitled)

    def read_latency(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return self.latency.get_value_at_percentile(percentile) / 1000


class RunResult:
    """Results of one run.

    :param write_times: times of acknowledged writes, in seconds since the start
        of the run, by group.
    :param cut_at: time at which the primary of ``cut_group`` was partitioned from
        its replicas, in seconds since the start; 0 without that fault.
    :param ended_at: end of the run, in seconds since its start.
    :param stale_reads: reads that missed a write of their own session or returned
        older data than an earlier read.
    """

    __slots__ = (
        "teams",
        "reads",
        "replica_reads",
        "write_times",
        "stale_reads",
        "cut_at",
        "cut_group",
        "ended_at",
    )

    def __init__(self, teams: list[str]) -> None:
        """Create an empty result."""
        self.teams = {name: TeamResult(name) for name in teams}
        self.reads = 0
        self.replica_reads = 0
        self.write_times: dict[str, list[float]] = {}
        self.stale_reads = 0
        self.cut_at = 0.0
        self.cut_group = ""
        self.ended_at = 0.0

    def measure_replica_share(self) -> float:
        """Return the share of reads that a replica served."""
        return self.replica_reads / self.reads if self.reads else 0.0

    def measure_failover_gap(self) -> float:
        """Return the longest time in seconds without an acknowledged write.

        The gap starts at the last write before the partition at the earliest.
        Without any write after it, the gap lasts until the end of the run.
        """
        if not self.cut_at:
            return 0.0
        times = sorted(self.write_times.get(self.cut_group, []))
        before = [time for time in times if time <= self.cut_at]
        after = [time for time in times if time > self.cut_at]
        if not after:
            after = [max(self.ended_at, self.cut_at)]
        return _find_longest_gap([*(before[-1:] or [self.cut_at]), *after])

    def find_worst_team(self) -> TeamResult:
        """Return the team with the smallest served share."""
        return min(self.teams.values(), key=lambda team: team.measure_share())

    def count_refused_in_rate(self) -> int:
        """Return the refusals of teams whose demand was within their rate."""
        return sum(team.refused_in_rate for team in self.teams.values())

    def summarize(self) -> dict[str, float]:
        """Return the value of each measure by name."""
        sent = sum(team.sent for team in self.teams.values())
        return {
            "statements": sent,
            "replica_read_share": round(self.measure_replica_share(), 4),
            "failover_gap_ms": round(self.measure_failover_gap() * 1000, 1),
            "worst_team_served_share": round(self.find_worst_team().measure_share(), 4),
            "wrongful_refusals": self.count_refused_in_rate(),
            "stale_reads": self.stale_reads,
        }


def _find_longest_gap(times: list[float]) -> float:
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    return max(gaps, default=0.0)
