"""Fault switches of one endpoint."""

from sardinehold_standins import switches


class Faults(switches.Switches):
    """Fault switches of an endpoint; all off by default.

    :param cut_off: block replication to and from other endpoints.
    :param dead: refuse connections and stop responding on open ones.
    :param lag: replication lag, from commit to apply, as a range in seconds
        ``[least, most]``.
    :param receive_lag: seconds by which the receipt of log entries is delayed.
    :param late: seconds by which answers are delayed.
    :param late_share: share of the answers that are delayed, 0 to 1.
    :param lose_answers: number of commits that get no answer.
    :param lose_how: ``close`` or ``silent``: how a connection behaves that loses an
        answer.
    :param latency: one-way latency to clients in seconds.
    """

    __slots__ = (
        "cut_off",
        "dead",
        "lag",
        "receive_lag",
        "late",
        "late_share",
        "lose_answers",
        "lose_how",
        "latency",
    )

    def __init__(
        self, lag: tuple[float, float] = (0.0, 0.0), latency: float = 0.0
    ) -> None:
        """Create switches that are off except for lag and latency."""
        self.cut_off = False
        self.dead = False
        self.lag = list(lag)
        self.receive_lag = 0.0
        self.late = 0.0
        self.late_share = 1.0
        self.lose_answers = 0
        self.lose_how = "close"
        self.latency = latency
