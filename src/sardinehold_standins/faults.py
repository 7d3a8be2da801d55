"""Fault switches of one endpoint."""

from sardinehold_standins import switches


class Faults(switches.Switches):
    """What goes wrong at an endpoint; all off by default.

    :param cut_off: no replication to or from other endpoints.
    :param dead: refuse connections and stop answering on open ones.
    :param lag: range in seconds, ``[least, most]``, from commit to applied.
    :param receive_lag: seconds that entries of the log are under way.
    :param late: seconds by which answers are late.
    :param late_share: share of the answers that are late.
    :param lose_answers: how many commits stay without an answer.
    :param lose_how: ``close`` or ``silent``: what such a connection does.
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
        """Start with no fault but lag and latency."""
        self.cut_off = False
        self.dead = False
        self.lag = list(lag)
        self.receive_lag = 0.0
        self.late = 0.0
        self.late_share = 1.0
        self.lose_answers = 0
        self.lose_how = "close"
        self.latency = latency
