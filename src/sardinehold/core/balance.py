"""Tokens of a team's rate that this node may spend.

Tokens are moved between nodes, never copied: what is granted here is gone
elsewhere until it is spent, given back, or past its deadline.
"""

import collections
import math

from sardinehold.core import invariants

ROUTE_PREFIX = "route:"
"""Before the name of an open route where a team's name stands otherwise."""

HORIZON = 0.4
"""Seconds of demand that a node keeps tokens for."""

IDLE_TIMEOUT = 0.25
"""Seconds without use after which surplus tokens go back."""

REVIEW_INTERVAL = 0.1
"""Seconds between looks at the demand of a busy owner."""

MAX_REVIEW_INTERVAL = 1.0
"""Seconds between looks at the demand of an owner with little of it."""

REVIEW_STEP = 0.05
"""Seconds within which looks at several owners are taken together."""

STATEMENTS_PER_REVIEW = 5.0
"""Statements that an owner sends between two looks, as far as bounds allow."""

REQUEST_INTERVAL = 0.02
"""Seconds between two requests for tokens while statements wait."""

REPORT_INTERVAL = 0.1
"""Seconds after which the allocator is told what was spent."""

FIRST_REQUEST = 4
"""Tokens asked for when the demand is not known yet."""

RETRY_SHARE = 0.1
"""Retries that an owner may make for each of its requests."""

MAX_RETRIES = 10.0
"""Retries that an owner can save up."""

MIN_DEMAND = 0.5
"""Statements a second below which tokens go back soon."""

HOLD_STATEMENTS = 1.0
"""Statements that an owner could have sent before its tokens go back."""

MAX_HOLD = 0.5
"""Seconds after which unused tokens go back in any case."""

DEMAND_SMOOTHING = 0.4
"""Weight of the newest interval in the moving average of the demand."""


@invariants.invariant("No team gets more than its rate and burst across all VMs.")
def tokens_never_negative(balance: "Balance") -> bool:
    """Return whether no more was spent than granted."""
    return balance.tokens >= 0 and balance.spent_total <= balance.granted_total


@invariants.invariant("No team gets more than its rate and burst across all VMs.")
def tokens_not_spent_past_deadline(grant: "Grant", now: float) -> bool:
    """Return whether the grant that pays is in force."""
    return now <= grant.deadline


class Grant:
    """Tokens with the deadline until which they may be spent."""

    __slots__ = ("deadline", "tokens")

    def __init__(self, deadline: float, tokens: int) -> None:
        """Keep the parts of the grant."""
        self.deadline = deadline
        self.tokens = tokens


class Balance:
    """What one owner may spend on this node.

    :param owner: a team's name, or ``route:NAME`` for an open route.
    :param tokens: what is left of all grants.
    :param waiting: requests that wait for a token, oldest first.
    :param demand: statements a second, a moving average.
    :param grant_rate: tokens granted a second, a moving average.
    :param requested_at: when tokens were last asked for.
    :param is_request_scheduled: whether a timer is set to ask again.
    :param low_mark: tokens below which more are asked for.
    :param retries: retries that the owner has saved up.
    :param is_reviewed: whether a timer looks at the demand.
    :param is_report_scheduled: whether a timer will tell what was spent.
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
        "low_mark",
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
        self.low_mark = FIRST_REQUEST // 2
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
        """Keep the grants in the order of their deadlines."""
        grants = self._grants
        later = []
        while grants and grants[-1].deadline > grant.deadline:
            later.append(grants.pop())
        grants.append(grant)
        grants.extend(reversed(later))

    def record_arrival(self) -> None:
        """Count a statement towards the demand and the retries."""
        self._arrived += 1
        if self.retries < MAX_RETRIES:
            self.retries += RETRY_SHARE

    def spend_retry(self) -> bool:
        """Return whether a retry is saved up, and spend it."""
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
        """Forget grants that are past their deadline."""
        grants = self._grants
        while grants and grants[0].deadline < now:
            self.tokens -= grants.popleft().tokens

    def withdraw(self, tokens: int) -> int:
        """Take unspent tokens out to give them back; return how many."""
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
        """Bring the averages up to date."""
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
        self.low_mark = max(FIRST_REQUEST, self.find_target()) // 2

    def find_interval(self) -> float:
        """Return the seconds to the next look at the demand.

        An owner with little demand is looked at less often, so that the cost
        of looking follows the statements and not the number of owners.
        """
        if self.waiting:
            return REVIEW_INTERVAL
        interval = STATEMENTS_PER_REVIEW / max(self.demand, 0.1)
        return min(MAX_REVIEW_INTERVAL, max(REVIEW_INTERVAL, interval))

    def is_return_due(self, now: float) -> bool:
        """Return whether what is left should go back.

        An owner with a little demand keeps its few tokens for a while, so
        that they do not go back and forth for each statement.
        """
        hold = IDLE_TIMEOUT
        if self.demand >= MIN_DEMAND:
            hold = max(IDLE_TIMEOUT, min(MAX_HOLD, HOLD_STATEMENTS / self.demand))
        return now - self.idle_since >= hold

    def find_target(self) -> int:
        """Return how many tokens the demand asks for."""
        expected = max(self.demand * HORIZON, float(self._arrived))
        return math.ceil(expected) + len(self.waiting)

    def is_idle(self) -> bool:
        """Return whether there is nothing to look after."""
        return not (self.tokens or self.waiting or self._arrived)
