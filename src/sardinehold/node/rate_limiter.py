"""Distributed rate limiting: this node's share of each team's fleet-wide rate.

A static share of each rate is divided evenly among the nodes and needs no coordination,
provided that the share of one node is large enough. The rest is granted to the nodes
by demand, by the allocator on the leader (:mod:`sardinehold.core.quota`). A node that
is disconnected from the leader uses an even share of the whole rate; by then the leader
has stopped granting that share to others.
"""

import asyncio
import functools
import math
import typing

from sardinehold.core import balance as balances
from sardinehold.core import lending
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import handling
from sardinehold.node import retry_schedule
from sardinehold.node import sections
from sardinehold.node import settings
from sardinehold.node import static_bucket
from sardinehold.node import token_pool
from sardinehold.node import token_queue

STATIC_SHARE = 0.3
"""Share of each rate and burst that is divided evenly. The teams' usual demand is
below two thirds of their rates, which the remaining share still covers."""

MIN_REVIEW_INTERVAL = 0.3
"""Minimum seconds between two reviews of a team's demand. With reports that are sent
immediately, one operation in a few milliseconds would count as dozens a second."""

MIN_STATIC_RATE = 0.2
"""Operations a second below which a node gets no static share: its bucket would gain a
whole token at most every five seconds."""

MIN_POOLED_STATIC_RATE = 0.1
"""The same where nodes pool their tokens: without a static share, nothing could be
moved between them until they use even shares."""

INITIAL_SHARE = 0.5
"""Share of the permitted excess over a rate with which all nodes together start; the
rest covers late messages and clock differences."""

POOLED_EXCESS_SHARE = 0.3
"""Share of the permitted excess that all nodes together may give away beside their
bursts. With the initial tokens, a fifth remains for late messages."""

MAX_WAIT = 0.1
"""Seconds that an operation waits for the allocator: one exchange across regions plus
one retransmission. Below a quarter of the shortest target latency, so that after a
refusal the caller still has time to try another node."""

NEW_LEADER_MAX_WAIT = 0.6
"""Maximum seconds that an operation waits for the first tokens of a new leader, which
needs as long to receive the reports of all nodes. Other nodes lack tokens then too."""

NEW_LEADER_WAIT_SHARE = 0.4
"""Maximum share of an operation's remaining time that is spent on waiting for a new
leader; the caller can still retry in the rest."""

POOL_HORIZON = 0.2
"""Seconds of expected demand for which tokens of other nodes are requested in advance:
a request and the collection take two round trips."""

STOCK_SHARE = 0.5
"""Share of a team's burst that all lenders together may hold in advance: tokens on one
of them are missed by the callers of the others."""

MAX_WAITING = 64
"""Maximum number of operations of one team that wait concurrently."""


class RateLimitExceeded(Exception):
    """Raised when a team has used up its rate.

    :param retry: when the caller should retry.
    :param reason: ``late`` if the operation waited in vain, ``full`` if it had the
        lowest rank of a full queue.
    """

    def __init__(
        self, team: str, retry: retry_schedule.Retry, reason: str = "late"
    ) -> None:
        """Build the message from the team's name."""
        more = "" if retry.is_expected else " for longer than the statement may take"
        super().__init__(f"team {team} has used its rate{more}")
        self.retry_after = retry.delay
        self.reason = reason


class Account:
    """Tokens of one team on this node: granted ones and those of the static share.

    :param balance: granted tokens, and the operations that wait for one.
    :param even: bucket of the node's even (static) share.
    :param received: number of the last grant received.
    :param expires_at: when the newest granted tokens expire.
    :param has_initial_tokens: whether the initial tokens of a process were added.
    :param shortage_until: until when other nodes are short of the team's tokens.
    :param lender: lends granted tokens to the nodes that report to this one.
    :param spare: tokens of those nodes' static shares for the allocator.
    :param retries: turns that were promised to refused callers.
    """

    __slots__ = (
        "balance",
        "even",
        "received",
        "expires_at",
        "has_initial_tokens",
        "shortage_until",
        "lender",
        "spare",
        "retries",
        "_reviewed_at",
    )

    def __init__(self, team: str, now: float) -> None:
        """Create an account without tokens."""
        self.balance = balances.Balance(team, now)
        self.balance.waiting = token_queue.TokenQueue()
        self.even = static_bucket.StaticBucket(now)
        self.received = 0
        self.expires_at = now
        self.has_initial_tokens = False
        self.shortage_until = float("-inf")
        self.lender = lending.Lender(self.balance)
        self.spare = 0.0
        self.retries = retry_schedule.RetrySchedule()
        self._reviewed_at = now

    def review(self, now: float) -> None:
        """Update the demand, unless the last review was too recent."""
        if now - self._reviewed_at < MIN_REVIEW_INTERVAL:
            self.balance.drop_expired(now)
            return
        self._reviewed_at = now
        self.balance.review(now)


class RateLimiter:
    """Rate limiter of all teams on this node.

    :param loaded: settings, for the permitted excess over a rate.
    :param request_soon: called with a team whose tokens are needed without delay.
    """

    def __init__(
        self, loaded: settings.Settings, request_soon: typing.Callable[[str], None]
    ) -> None:
        """Create a limiter without accounts."""
        self._settings = loaded
        self.accounts: dict[str, Account] = {}
        self.lenders: dict[str, lending.Lender] = {}
        self.members = 0
        self._request_soon = request_soon
        self.is_isolated = False
        self.is_leader_new = True
        self.is_pooling = False
        self._catalog: catalog.Catalog | None = None

    def set_isolated(self, is_isolated: bool) -> None:
        """Set whether this node is disconnected from the leader."""
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            if self._catalog is not None:
                self.configure(self._catalog, self.members)

    def configure(self, found: catalog.Catalog, members: int) -> None:
        """Apply the rates of a configuration for a number of nodes.

        :param members: 0 while it is unknown; no tokens are available until then.
        """
        now = clock.read()
        self._catalog = found
        self.members = members
        for name in self.accounts.keys() - found.teams.keys():
            del self.accounts[name], self.lenders[name]
        for team in found.teams.values():
            account = self.accounts.get(team.name)
            if account is None:
                account = self.accounts[team.name] = Account(team.name, now)
                self.lenders[team.name] = account.lender
            if not members:
                continue
            if not account.has_initial_tokens:
                account.has_initial_tokens = True
                account.even.start(self._compute_initial_tokens(team))
            whole = 1.0 if self.is_isolated else compute_static_share(team, members)
            part = whole / members
            burst = team.burst * part
            givable = math.inf
            if sections.has_pool(members):
                excess = POOLED_EXCESS_SHARE * self._compute_excess(team) / members
                givable = burst + excess
            account.even.configure(now, team.rate * part, max(1.0, burst), givable)

    def _compute_initial_tokens(self, team: catalog.Team) -> float:
        """Return the tokens that a new process starts with."""
        return INITIAL_SHARE * self._compute_excess(team) / self.members

    def _compute_excess(self, team: catalog.Team) -> float:
        """Return the operations by which a team may exceed its rate in a window."""
        loaded = self._settings
        allowed = loaded.quota_window * team.rate + team.burst
        return loaded.quota_overage * allowed + loaded.quota_slack

    async def acquire_token(
        self,
        team: str,
        deadline: float,
        priority: int = 0,
        target_at: float | None = None,
        handled: handling.Handling | None = None,
    ) -> None:
        """Take one token of a team, waiting for it; open routes have no rate.

        :param priority: priority of the operation's route; 0 is served first.
        :param target_at: when the operation should be complete, by default its
            deadline.
        :param handled: the statement's handling; the wait ends with it.
        :raises RateLimitExceeded: no token becomes available in time.
        :raises sardinehold.node.outcomes.StatementFailed: the statement has ended.
        """
        account = self.accounts.get(team)
        if account is None:
            return
        now = clock.read()
        balance = account.balance
        balance.record_arrival()
        if not balance.waiting and (balance.take(now) or account.even.take(now)):
            if self.is_short(team, now):
                # Spent tokens count against the burst until they are reported.
                self._request_soon(team)
            return
        future = asyncio.get_running_loop().create_future()
        waiter = token_queue.Waiter(
            future,
            priority,
            now,
            deadline if target_at is None else target_at,
            deadline,
        )
        self._enqueue(account, waiter, now)
        self._request_soon(team)
        withdraw = functools.partial(_withdraw, balance.waiting, waiter)
        if handled is not None:
            handled.add(withdraw)
        try:
            await self._wait(future, now, deadline)
            if future.done():
                future.result()
            elif not account.even.take(clock.read()):
                balance.waiting.remove(waiter)
                raise RateLimitExceeded(team, self._promise_retry(account, deadline))
        finally:
            if handled is not None:
                handled.remove(withdraw)
            if waiter in balance.waiting:
                balance.waiting.remove(waiter)

    def _enqueue(
        self, account: Account, waiter: token_queue.Waiter, now: float
    ) -> None:
        """Add an operation; a full queue refuses the one of the lowest rank."""
        waiting = account.balance.waiting
        if len(waiting) < MAX_WAITING:
            waiting.append(waiter)
            return
        refused = waiting.pop_last(now, waiter)
        retry = self._promise_retry(account, refused.deadline)
        error = RateLimitExceeded(account.balance.owner, retry, "full")
        if refused is waiter:
            raise error
        if not refused.future.done():
            refused.future.set_exception(error)

    async def _wait(
        self, future: asyncio.Future, arrived_at: float, deadline: float
    ) -> None:
        """Wait for a token, longer if the allocator turns out to be late meanwhile."""
        waited_until = float("-inf")
        while not future.done():
            is_late = self.is_leader_new or self.is_pooling
            limit = compute_wait_deadline(arrived_at, deadline, is_late)
            if limit <= waited_until:
                return
            waited_until = limit
            await asyncio.wait([future], timeout=max(0.0, limit - clock.read()))

    def _promise_retry(self, account: Account, deadline: float) -> retry_schedule.Retry:
        """Return when a refused caller can expect a token at this node."""
        now = clock.read()
        balance = account.balance
        team = self._catalog.teams.get(balance.owner)
        rate = 0.0
        if team is not None:
            account.review(now)
            served = account.even.rate + balance.grant_rate
            rate = max(served, team.rate / max(1, self.members))
        return account.retries.promise(now, deadline, rate, len(balance.waiting))

    def refund_token(self, team: str) -> None:
        """Return a token of a team, up to the burst of the static bucket."""
        account = self.accounts.get(team)
        if account is not None:
            account.even.put_back(clock.read())

    def collect_usages(
        self, now: float, lenders: int = 0, gives_spare: bool = True
    ) -> list[quota.Usage]:
        """Return the usage reports and token requests for the allocator.

        :param lenders: number of nodes that lend tokens to others; 0 if this one does
            not.
        :param gives_spare: whether surplus of the static buckets is moved to the
            allocator; it is lost if that has failed.
        """
        usages = []
        for name, account in self.accounts.items():
            balance = account.balance
            account.review(now)
            lender = account.lender
            requested = lender.requested
            limit = self._find_stock_limit(name, lenders)
            needed = compute_needed_tokens(balance, requested, limit)
            wanted = max(0, needed - balance.tokens)
            returned = 0
            is_waiting = bool(balance.waiting or requested)
            is_idle = balance.is_return_due(now) and not is_waiting
            # Without the allocator, returned tokens would be lost.
            if not self.is_pooling and (is_idle or self._should_return(account, now)):
                wanted = 0
                returned = balance.withdraw(balance.tokens)
            spare, account.spare = account.spare, 0.0
            if gives_spare:
                spare += self._take_spare(account, now)
            lent = lender.count_outstanding(now)
            if wanted or returned or spare or lent or account.expires_at > now:
                usages.append(
                    quota.Usage(
                        name,
                        balance.tokens + lent,
                        returned,
                        wanted,
                        account.received,
                        spare,
                        min(wanted, balance.waiting.count_urgent(now)),
                    )
                )
        return usages

    def _find_stock_limit(self, team: str, lenders: int) -> float:
        """Return how many tokens a lender may hold in advance at most."""
        found = self._catalog.teams.get(team) if self._catalog is not None else None
        if not lenders or found is None:
            return math.inf
        return STOCK_SHARE * found.burst / lenders

    def _should_return(self, account: Account, now: float) -> bool:
        """Return whether tokens that are held here are needed by other nodes."""
        return now < account.shortage_until and not compute_needed_tokens(
            account.balance, account.lender.requested
        )

    def _take_spare(self, account: Account, now: float) -> int:
        """Remove the surplus of the static bucket, for nodes that lack tokens."""
        if not self._is_spare_needed(account, now):
            return 0
        kept = account.balance.demand * balances.DEMAND_HORIZON
        return account.even.take_surplus(now, kept)

    def _is_spare_needed(self, account: Account, now: float) -> bool:
        """Return whether other nodes need the surplus more than this one."""
        is_needed_here = account.balance.waiting or self.is_isolated or self.is_pooling
        return now <= account.shortage_until and not is_needed_here

    def has_spare(self, now: float) -> bool:
        """Return whether this node has surplus of a team that others are short of."""
        for account in self.accounts.values():
            if self._is_spare_needed(account, now):
                kept = account.balance.demand * balances.DEMAND_HORIZON
                if account.even.measure_surplus(now, kept) >= 1.0:
                    return True
        return False

    # Tokens moved between nodes without the allocator

    def list_wants(self, now: float) -> dict[str, tuple[int, int]]:
        """Return the tokens wanted of other nodes, and the urgent ones, by team."""
        wants = {}
        for name, account in self.accounts.items():
            account.review(now)
            balance = account.balance
            waiting = len(balance.waiting) + account.lender.requested
            ahead = int(balance.demand * POOL_HORIZON)
            account.even.refill(now)
            wanted = waiting + ahead - balance.tokens - int(account.even.tokens)
            if wanted > 0:
                wants[name] = (wanted, balance.waiting.count_urgent(now))
        return wants

    def give_tokens(
        self, asked: typing.Mapping[str, float], now: float, deadline: float
    ) -> dict[str, float]:
        """Remove surplus tokens of the static buckets, for other nodes.

        A node whose operations wait gives its fraction of a token too: it gets a whole
        one from the others.

        :param deadline: until when the tokens may be spent elsewhere.
        """
        given = {}
        for name, limit in asked.items():
            account = self.accounts.get(name)
            if account is None or not self.members:
                continue
            balance = account.balance
            kept = 0.0
            if not balance.waiting:
                kept = balance.demand * balances.DEMAND_HORIZON
            account.even.refill(now)
            if account.even.measure_givable(now, limit, kept) >= token_pool.MIN_OFFER:
                given[name] = account.even.give(now, limit, kept, deadline)
        return given

    def take_loan(self, team: str, tokens: int, deadline: float) -> None:
        """Add tokens that other nodes gave away."""
        account = self.accounts.get(team)
        if account is not None and tokens and deadline > clock.read():
            account.balance.grant(tokens, deadline)
            account.expires_at = max(account.expires_at, deadline)
            self._serve_waiting(account)

    def add_spare(self, team: str, tokens: int) -> None:
        """Pass on the surplus of another node's static bucket."""
        self.accounts[team].spare += tokens

    def forget_grants(self) -> None:
        """Prepare for an exchange with another node than the last one."""
        for account in self.accounts.values():
            account.received = quota.UNKNOWN_GRANT

    def is_short(self, team: str, now: float) -> bool:
        """Return whether other nodes lack tokens of a team."""
        account = self.accounts.get(team)
        return account is not None and now < account.shortage_until

    def record_shortage(self, teams: typing.Iterable[str], until: float) -> None:
        """Record the teams of which other nodes lack tokens."""
        for name in teams:
            if name in self.accounts:
                self.accounts[name].shortage_until = until

    def take_grant(
        self, team: str, grant_id: int, tokens: int, deadline: float
    ) -> None:
        """Add tokens that the allocator granted to this node."""
        account = self.accounts.get(team)
        if account is None:
            return
        account.received = grant_id
        if tokens and deadline > clock.read():
            account.balance.grant(tokens, deadline)
            account.expires_at = max(account.expires_at, deadline)
        self._serve_waiting(account)

    def serve_waiting(self) -> None:
        """Resume waiting operations for which the static buckets have tokens."""
        for account in self.accounts.values():
            self._serve_waiting(account)

    def list_waiting(self) -> list[str]:
        """Return the teams whose tokens operations or other nodes wait for."""
        return [
            name
            for name, account in self.accounts.items()
            if account.balance.waiting or account.lender.requested
        ]

    def _serve_waiting(self, account: Account) -> None:
        now = clock.read()
        waiting = account.balance.waiting
        spent = account.balance.spent_total
        while waiting and (account.balance.take(now) or account.even.take(now)):
            future = waiting.pop(now).future
            if not future.done():
                future.set_result(None)
        if account.balance.spent_total > spent and now < account.shortage_until:
            self._request_soon(account.balance.owner)


def _withdraw(waiting: token_queue.TokenQueue, waiter: token_queue.Waiter) -> None:
    """End the wait of an operation that has ended, unless it has its token."""
    if not waiter.future.done():
        waiting.remove(waiter)
        waiter.future.set_exception(handling.make_failure())


def compute_wait_deadline(now: float, deadline: float, is_leader_new: bool) -> float:
    """Return until when an operation waits for a token.

    :param is_leader_new: whether the first tokens of a new leader are expected.
    """
    if not is_leader_new:
        return min(deadline, now + MAX_WAIT)
    return now + min(NEW_LEADER_MAX_WAIT, NEW_LEADER_WAIT_SHARE * (deadline - now))


def compute_needed_tokens(
    balance: balances.Balance, requested: int = 0, limit: float = math.inf
) -> int:
    """Return how many tokens this node should hold.

    :param requested: tokens that other nodes request from this one.
    :param limit: maximum number of tokens held in advance.

    Where at most one is expected to be used before the next report, none is held in
    advance: one on each node would exceed the rate of a small team.
    """
    waiting = len(balance.waiting) + requested
    ahead = balance.find_target() - len(balance.waiting)
    if ahead > limit:
        ahead = math.floor(limit)
    return waiting + (ahead if ahead > 1 else 0)


def compute_allocated_rates(
    found: catalog.Catalog, members: int, connected_share: float
) -> dict[str, quota.Rate]:
    """Return the shares of the teams' rates that the allocator grants.

    :param connected_share: share of the nodes that the allocator serves; the others
        use an even share of the whole rate.
    """
    rates = {}
    for team in found.teams.values():
        part = (1.0 - compute_static_share(team, members)) * connected_share
        rates[team.name] = quota.Rate(team.rate * part, math.floor(team.burst * part))
    return rates


def compute_static_share(team: catalog.Team, members: int) -> float:
    """Return the share of a team's rate that is divided evenly among the nodes."""
    is_pooled = sections.has_pool(members)
    least = MIN_POOLED_STATIC_RATE if is_pooled else MIN_STATIC_RATE
    is_enough = team.rate * STATIC_SHARE >= least * members
    return STATIC_SHARE if is_enough else 0.0
