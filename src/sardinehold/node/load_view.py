"""What a node knows of an endpoint's load: a dated report and its own statements.

Load addressed: reports reach a node only with replies, so that they are 50 to 500 ms
old and many nodes act on similar ones. An old report is not treated as an idle
endpoint: it fades into the average of earlier ones, and what the node itself has sent
since is added until a report covers it.
"""

import bisect
import math

REPORT_DECAY = 0.15
"""Time constant in seconds in which a report fades into the average; a queue of a few
slots changes within several service times."""

AVERAGE_TIME = 3.0
"""Time constant in seconds of the average of the reports."""

UNKNOWN_SHARE = 0.8
"""Share of its slots that an endpoint without a report is assumed to use. All nodes
learn at once that one has returned; at half, it got more than the others while these
were full. Same as 1 - ``placement_policies.MIN_ROOM``: like a full one."""


class LoadView:
    """Load of one endpoint as known to one node.

    :param ahead: statements that ran or waited there by the newest report, or None.
    :param at: when that report was received.
    :param average: average of the reports in statements, weighted by age.
    :param covered_until: statements that were sent later are not part of the report.
    :param sent: when this node's unanswered statements were sent, in order.
    """

    __slots__ = ("ahead", "at", "average", "covered_until", "sent")

    def __init__(self) -> None:
        """Create a view without a report."""
        self.ahead: float | None = None
        self.at = float("-inf")
        self.average = 0.0
        self.covered_until = float("-inf")
        self.sent: list[float] = []

    def record_sent(self, now: float) -> None:
        """Record a statement of this node that was sent now."""
        self.sent.append(now)

    def record_ended(self, sent_at: float) -> None:
        """Record that the statement sent at ``sent_at`` was answered or rejected."""
        del self.sent[bisect.bisect_left(self.sent, sent_at)]

    def record_report(self, ahead: float, now: float, round_trip: float) -> None:
        """Record a report that was received now.

        :param ahead: statements that ran or waited there when it was made.
        :param round_trip: seconds; what was sent within it is not part of the report.
        """
        if self.ahead is None:
            self.average = ahead
        else:
            weight = 1.0 - math.exp(-max(0.0, now - self.at) / AVERAGE_TIME)
            self.average += weight * (ahead - self.average)
        self.ahead = ahead
        self.at = now
        self.covered_until = now - round_trip

    def forget(self) -> None:
        """Drop the reports of an endpoint that became unreachable."""
        self.ahead = None
        self.covered_until = float("-inf")

    def estimate(self, now: float, slots: int) -> float:
        """Return the expected number of statements that run or wait there."""
        uncovered = len(self.sent) - bisect.bisect(self.sent, self.covered_until)
        if self.ahead is None:
            return max(UNKNOWN_SHARE * slots, float(uncovered))
        fresh = math.exp(-max(0.0, now - self.at) / REPORT_DECAY)
        base = self.average + (self.ahead - self.average) * fresh
        return max(base + uncovered, float(len(self.sent)))
