"""Tokens of a team's rate that this node may spend.

Tokens are moved between nodes, never copied: a token granted to this node is
available nowhere else until it is spent, returned, or past its deadline.
"""

import collections
import math

from sardinehold.core import invariants

ROUTE_PREFIX = "route:"
"""Prefix of an open route's name where a team's name is used otherwise."""

DEMAND_HORIZON = 0.4
"""Seconds of expected demand for which a node keeps tokens."""

IDLE_TIMEOUT = 0.25
"""Minimum seconds without requests after which a balance's tokens are returned."""

REVIEW_INTERVAL = 0.1
"""Seconds between reviews of the demand of a busy owner."""

MAX_REVIEW_INTERVAL = 1.0
"""Seconds between reviews of an owner with little demand."""

REVIEW_STEP = 0.05
"""Seconds within which reviews of several owners are batched."""

STATEMENTS_PER_REVIEW = 5.0
"""Expected statements between two reviews, within the interval's bounds."""

REQUEST_INTERVAL = 0.02
"""Minimum seconds between two requests to the allocator."""

REPORT_INTERVAL = 0.1
"""Seconds after which spent tokens are reported to the allocator."""

FIRST_REQUEST = 4
"""Tokens requested while the demand is not known."""

RETRY_SHARE = 0.1
"""Retries that each request adds to its owner's retry budget."""

MAX_RETRIES = 10.0
"""Upper bound of an owner's retry budget."""

MIN_DEMAND = 0.5
"""Statements a second below which tokens are returned after the idle timeout."""

HOLD_STATEMENTS = 1.0
"""Expected statements during which unused tokens are held."""

MAX_HOLD = 0.5
"""Maximum seconds for which unused tokens are held."""

DEMAND_SMOOTHING = 0.4
"""Weight of the newest interval in the moving average of the demand."""


@invariants.invariant("No team gets more than its rate and burst across all VMs.")
def tokens_never_negative(balance: "Balance") -> bool:
    """Return whether at most the granted tokens were spent."""
    return balance.tokens >= 0 and balance.spent_total <= balance.granted_total


@invariants.invariant("No team gets more than its rate and burst across all VMs.")
def tokens_not_spent_past_deadline(grant: "Grant", now: float) -> bool:
    """Return whether the grant has not reached its deadline."""
    return now <= grant.deadline


class Grant:
    """Tokens with the deadline until which they may be spent."""

    __slots__ = ("deadline", "tokens")

    def __init__(self, deadline: float, tokens: int) -> None:
        """Store the fields of the grant."""
        self.deadline = deadline
        self.tokens = tokens


class Balance:
    """Tokens of one owner on this node.

    :param owner: a team's name, or ``route:NAME`` for an open route.
    :param tokens: remaining tokens of all grants.
    :param waiting: requests that wait for a token, oldest first.
    :param demand: statements a second, a moving average.
    :param grant_rate: tokens granted a second, a moving average.
    :param requested_at: time of the last request for tokens.
    :param is_request_scheduled: whether a timer is set for the next request.
    :param low_watermark: tokens below which more are requested.
    :param retries: remaining retry budget of the owner.
    :param is_reviewed: whether a timer is set to review the demand.
    :param is_report_scheduled: whether a timer is set to report spent tokens.
    """

    __slots__ = (
        "owner",
        "tokens",
        "waiting",
        "demand",
        "grant_rate",
        "retries",
        "is_reviewed",
        "is_report_scheduled",
        "granted_total",
        "spent_total",
        "spent_reported",
        "requested_at",
        "is_request_scheduled",
        "low_watermark",
        "idle_since",
        "_grants",
        "_arrived",
        "_granted",
        "_reviewed_at",
    )

    def __init__(self, owner: str, now: float) -> None:
        """Start without tokens."""
        self.owner = owner
        self.tokens = 0
        self.waiting: collections.deque = collections.deque()
        self.demand = 0.0
        self.grant_rate = 0.0
        self.retries = MAX_RETRIES
        self.is_reviewed = False
        self.is_report_scheduled = False
        self.granted_total = 0
        self.spent_total = 0
        self.spent_reported = 0
        self.requested_at = -math.inf
        self.is_request_scheduled = False
        self.low_watermark = FIRST_REQUEST // 2
        self.idle_since = now
        self._grants: collections.deque[Grant] = collections.deque()
        self._arrived = 0
        self._granted = 0
        self._reviewed_at = now

    def grant(self, tokens: int, deadline: float) -> None:
        """Add tokens that may be spent until ``deadline``."""
        if tokens <= 0:
            return
        self.tokens += tokens
        self.granted_total += tokens
        self._granted += tokens
        last = self._grants[-1] if self._grants else None
        if last is not None and last.deadline == deadline:
            last.tokens += tokens
        else:
            self._insert(Grant(deadline, tokens))

    def _insert(self, grant: Grant) -> None:
        """Insert a grant in the order of deadlines."""
        grants = self._grants
        later = []
        while grants and grants[-1].deadline > grant.deadline:
            later.append(grants.pop())
        grants.append(grant)
        grants.extend(reversed(later))

    def record_arrival(self) -> None:
        """Count a statement towards the demand and the retry budget."""
        self._arrived += 1
        if self.retries < MAX_RETRIES:
            self.retries += RETRY_SHARE

    def record_arrivals(self, count: int) -> None:
        """Count statements of other nodes that use this balance towards the demand."""
        self._arrived += count

    def spend_retry(self) -> bool:
        """Take a retry from the budget; return whether one was left."""
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True

    def take(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        if self.tokens <= 0:
            return False
        grant = self._grants[0]
        if grant.deadline < now:
            self.drop_expired(now)
            if self.tokens <= 0:
                return False
            grant = self._grants[0]
        tokens_not_spent_past_deadline(grant, now)
        grant.tokens -= 1
        self.tokens -= 1
        self.spent_total += 1
        if not grant.tokens:
            self._grants.popleft()
        tokens_never_negative(self)
        return True

    def drop_expired(self, now: float) -> None:
        """Remove grants that are past their deadline."""
        grants = self._grants
        while grants and grants[0].deadline < now:
            self.tokens -= grants.popleft().tokens

    def take_newest(self, tokens: int, valid_at: float) -> tuple[int, float]:
        """Remove up to ``tokens`` tokens of the newest grants.

        :param valid_at: until when they must at least be valid.
        :returns: how many were removed, and when the first of them expires.
        """
        taken, deadline = 0, math.inf
        while taken < tokens and self._grants and self._grants[-1].deadline > valid_at:
            grant = self._grants[-1]
            part = min(grant.tokens, tokens - taken)
            grant.tokens -= part
            taken += part
            if part:
                deadline = grant.deadline
            if not grant.tokens:
                self._grants.pop()
        self.tokens -= taken
        self.granted_total -= taken
        return taken, deadline

    def withdraw(self, tokens: int) -> int:
        """Remove up to ``tokens`` unspent tokens to return them.

        :returns: how many were removed.
        """
        taken = 0
        while taken < tokens and self._grants:
            grant = self._grants[-1]
            part = min(grant.tokens, tokens - taken)
            grant.tokens -= part
            taken += part
            if not grant.tokens:
                self._grants.pop()
        self.tokens -= taken
        self.granted_total -= taken
        return taken

    def review(self, now: float) -> None:
        """Update the moving averages of demand and grant rate."""
        elapsed = now - self._reviewed_at
        if elapsed <= 0:
            return
        self.demand += DEMAND_SMOOTHING * (self._arrived / elapsed - self.demand)
        self.grant_rate += DEMAND_SMOOTHING * (
            self._granted / elapsed - self.grant_rate
        )
        if self._arrived or self.waiting:
            self.idle_since = now
        self._arrived = self._granted = 0
        self._reviewed_at = now
        self.drop_expired(now)
        self.low_watermark = max(FIRST_REQUEST, self.find_target()) // 2

    def find_interval(self) -> float:
        """Return the seconds until the next review of the demand.

        An owner with little demand is reviewed less often, so that the cost
        of reviews grows with the statements and not with the owners.
        """
        if self.waiting:
            return REVIEW_INTERVAL
        interval = STATEMENTS_PER_REVIEW / max(self.demand, 0.1)
        return min(MAX_REVIEW_INTERVAL, max(REVIEW_INTERVAL, interval))

    def is_return_due(self, now: float) -> bool:
        """Return whether the remaining tokens should be returned.

        An owner with little demand keeps its few tokens for a while, so that
        they are not returned and requested again for each statement.
        """
        hold = IDLE_TIMEOUT
        if self.demand >= MIN_DEMAND:
            hold = max(IDLE_TIMEOUT, min(MAX_HOLD, HOLD_STATEMENTS / self.demand))
        return now - self.idle_since >= hold

    def find_target(self) -> int:
        """Return the number of tokens that the demand needs."""
        expected = max(self.demand * DEMAND_HORIZON, float(self._arrived))
        return math.ceil(expected) + len(self.waiting)

    def is_idle(self) -> bool:
        """Return whether there are neither tokens nor requests to review."""
        return not (self.tokens or self.waiting or self._arrived)
