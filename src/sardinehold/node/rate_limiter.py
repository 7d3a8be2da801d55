"""Operations that a team may run here, of its rate over the whole fleet.

A part of each rate is divided evenly and needs nobody, where each node's part is
large enough; the rest is moved to the nodes by demand, by the allocator on the leader
(:mod:`sardinehold.core.quota`). A node out of touch with the leader takes an even part
of the whole rate, which the leader has stopped to move by then.
"""

import asyncio
import math
import typing

from sardinehold.core import balance as balances
from sardinehold.core import quota
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import settings

STATIC_SHARE = 0.3
"""Part of each rate and burst that is divided evenly. The teams' usual demand is
below two thirds of their rates, which the rest still covers."""

MIN_REVIEW_INTERVAL = 0.3
"""Seconds between two looks at a team's demand at least. Reports that are sent at once
would show one operation in a few milliseconds as a demand of dozens a second."""

MIN_STATIC_RATE = 0.2
"""Operations a second of a node's own part below which there is none: a caller would
find a whole token there every five seconds at most."""

INITIAL_SHARE = 0.5
"""Part of what a rate may be exceeded by that all nodes together start with; the rest
covers what arrives late and unlike clocks."""

MAX_WAIT = 0.1
"""Seconds that an operation waits for the allocator: an exchange across regions, with
one lost. Below a quarter of the shortest target latency, so that a refusal still
leaves time to go elsewhere."""

NEW_LEADER_MAX_WAIT = 0.6
"""Seconds that an operation waits while a leader's tokens are about to come: a new
leader needs as long to hear all nodes. Another node would have no tokens either."""

NEW_LEADER_WAIT_SHARE = 0.4
"""Part of its time that an operation waits so at most; it may be tried again then."""

MAX_WAITING = 64
"""Operations of one team that wait at once."""


class RateLimitExceeded(Exception):
    """A team has used its rate.

    :param retry_after: seconds until there should be room.
    """

    def __init__(self, team: str, retry_after: float) -> None:
        """Keep the team's name."""
        super().__init__(f"team {team} has used its rate")
        self.retry_after = retry_after


class StaticBucket:
    """The node's part of a rate, as a bucket that starts nearly empty.

    A process that starts anew may follow one that has just spent its part: it
    starts with no more than its part of what a rate may be exceeded by.
    """

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.rate = 0.0
        self.burst = 0.0
        self.tokens = 0.0
        self.filled_at = now

    def start(self, tokens: float) -> None:
        """Begin with a few tokens."""
        self.tokens = tokens

    def configure(self, now: float, rate: float, burst: float) -> None:
        """Put another rate in force; tokens beyond a smaller burst lapse."""
        self.refill(now)
        if burst < self.burst:
            self.tokens = min(self.tokens, burst)
        self.rate = rate
        self.burst = burst

    def refill(self, now: float) -> None:
        """Add what the rate gave since the last call."""
        elapsed = max(0.0, now - self.filled_at)
        cap = max(self.burst, self.tokens)
        self.tokens = min(cap, self.tokens + elapsed * self.rate)
        self.filled_at = now

    def take(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def put_back(self, now: float) -> None:
        """Give one token back if there is room below the burst."""
        self.refill(now)
        if self.tokens < self.burst:
            self.tokens = min(self.burst, self.tokens + 1.0)

    def take_surplus(self, now: float, kept: float) -> int:
        """Take out the whole tokens beyond those that are kept."""
        self.refill(now)
        surplus = max(0, int(self.tokens - kept))
        self.tokens -= surplus
        return surplus


class Account:
    """What one team may spend on this node.

    :param received: number of the last grant.
    :param expires_at: when the newest tokens that were moved here lapse.
    :param has_initial_tokens: whether it got the tokens that a process begins with.
    :param shortage_until: until when other nodes need the team's tokens more.
    """

    __slots__ = (
        "balance",
        "even",
        "received",
        "expires_at",
        "has_initial_tokens",
        "shortage_until",
        "_reviewed_at",
    )

    def __init__(self, team: str, now: float) -> None:
        """Start with nothing."""
        self.balance = balances.Balance(team, now)
        self.even = StaticBucket(now)
        self.received = 0
        self.expires_at = now
        self.has_initial_tokens = False
        self.shortage_until = float("-inf")
        self._reviewed_at = now

    def review(self, now: float) -> None:
        """Bring the demand up to date, if there is enough time to count in."""
        if now - self._reviewed_at < MIN_REVIEW_INTERVAL:
            self.balance.drop_expired(now)
            return
        self._reviewed_at = now
        self.balance.review(now)


class RateLimiter:
    """The accounts of all teams on this node.

    :param loaded: settings, for what a rate may be exceeded by.
    :param request_soon: called when the allocator should be asked without delay.
    """

    def __init__(
        self, loaded: settings.Settings, request_soon: typing.Callable[[], None]
    ) -> None:
        """Start without accounts."""
        self._settings = loaded
        self.accounts: dict[str, Account] = {}
        self.members = 0
        self._request_soon = request_soon
        self.is_isolated = False
        self.is_leader_new = True
        self._catalog: catalog.Catalog | None = None

    def set_isolated(self, is_isolated: bool) -> None:
        """Note whether this node has lost touch with the leader."""
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            if self._catalog is not None:
                self.configure(self._catalog, self.members)

    def configure(self, found: catalog.Catalog, members: int) -> None:
        """Put the rates of a configuration in force for a number of nodes.

        :param members: 0 while it is unknown; nothing may be run on the rates then.
        """
        now = clock.read()
        self._catalog = found
        self.members = members
        for name in self.accounts.keys() - found.teams.keys():
            del self.accounts[name]
        for team in found.teams.values():
            account = self.accounts.get(team.name)
            if account is None:
                account = self.accounts[team.name] = Account(team.name, now)
            if not members:
                continue
            if not account.has_initial_tokens:
                account.has_initial_tokens = True
                account.even.start(self._compute_initial_tokens(team))
            whole = 1.0 if self.is_isolated else compute_static_share(team, members)
            part = whole / members
            account.even.configure(now, team.rate * part, max(1.0, team.burst * part))

    def _compute_initial_tokens(self, team: catalog.Team) -> float:
        """Return the tokens that a new process begins with."""
        loaded = self._settings
        allowed = loaded.quota_window * team.rate + team.burst
        excess = loaded.quota_overage * allowed + loaded.quota_slack
        return INITIAL_SHARE * excess / self.members

    async def acquire_token(self, team: str, deadline: float) -> None:
        """Spend one operation of a team; an open route has no rate.

        :raises OverRate: there is none before the deadline.
        """
        account = self.accounts.get(team)
        if account is None:
            return
        now = clock.read()
        balance = account.balance
        balance.record_arrival()
        if not balance.waiting and (balance.take(now) or account.even.take(now)):
            return
        if len(balance.waiting) >= MAX_WAITING:
            raise RateLimitExceeded(team, self._estimate_retry_after(account))
        future = asyncio.get_running_loop().create_future()
        balance.waiting.append(future)
        self._request_soon()
        try:
            limit = compute_wait_deadline(now, deadline, self.is_leader_new)
            async with asyncio.timeout(max(0.0, limit - now)):
                await future
        except TimeoutError:
            if not account.even.take(clock.read()):
                raise RateLimitExceeded(
                    team, self._estimate_retry_after(account)
                ) from None
        finally:
            if future in balance.waiting:
                balance.waiting.remove(future)

    def _estimate_retry_after(self, account: Account) -> float:
        """Return the seconds until the team has room here, at its whole rate."""
        team = self._catalog.teams.get(account.balance.owner)
        if team is None or team.rate <= 0:
            return 1.0
        members = max(1, self.members)
        return min(1.0, (1 + len(account.balance.waiting)) * members / team.rate)

    def refund_token(self, team: str) -> None:
        """Give an operation of a team back, as far as the node's own part has room."""
        account = self.accounts.get(team)
        if account is not None:
            account.even.put_back(clock.read())

    def collect_usages(self, now: float) -> list[quota.Usage]:
        """Return what the allocator is told and asked for."""
        usages = []
        for name, account in self.accounts.items():
            balance = account.balance
            account.review(now)
            wanted = max(0, compute_needed_tokens(balance) - balance.tokens)
            returned = 0
            is_idle = balance.is_return_due(now) and not balance.waiting
            if is_idle or self._should_return(account, now):
                wanted = 0
                returned = balance.withdraw(balance.tokens)
            spare = self._take_spare(account, now)
            if wanted or returned or spare or account.expires_at > now:
                usages.append(
                    quota.Usage(
                        name,
                        balance.tokens,
                        returned,
                        wanted,
                        account.received,
                        spare,
                    )
                )
        return usages

    def _should_return(self, account: Account, now: float) -> bool:
        """Return whether tokens that are kept here are needed elsewhere."""
        return now < account.shortage_until and not compute_needed_tokens(
            account.balance
        )

    def _take_spare(self, account: Account, now: float) -> int:
        """Take out what the node's own part has to spare for nodes that lack it."""
        balance = account.balance
        if now > account.shortage_until or balance.waiting or self.is_isolated:
            return 0
        return account.even.take_surplus(now, balance.demand * balances.DEMAND_HORIZON)

    def note_shortage(self, teams: typing.Iterable[str], until: float) -> None:
        """Note the teams of which other nodes lack tokens."""
        for name in teams:
            if name in self.accounts:
                self.accounts[name].shortage_until = until

    def take_grant(
        self, team: str, grant_id: int, tokens: int, deadline: float
    ) -> None:
        """Add tokens that the allocator moved here."""
        account = self.accounts.get(team)
        if account is None:
            return
        account.received = grant_id
        if tokens and deadline > clock.read():
            account.balance.grant(tokens, deadline)
            account.expires_at = max(account.expires_at, deadline)
        self._serve_waiting(account)

    def serve_waiting(self) -> None:
        """Let operations go on for which the node's own part has tokens by now."""
        for account in self.accounts.values():
            self._serve_waiting(account)

    def has_waiting(self) -> bool:
        """Return whether operations wait for the allocator."""
        return any(account.balance.waiting for account in self.accounts.values())

    def _serve_waiting(self, account: Account) -> None:
        now = clock.read()
        waiting = account.balance.waiting
        while waiting and (account.balance.take(now) or account.even.take(now)):
            future = waiting.popleft()
            if not future.done():
                future.set_result(None)


def compute_wait_deadline(now: float, deadline: float, is_leader_new: bool) -> float:
    """Return until when an operation waits for a token.

    :param is_leader_new: whether a leader's tokens are about to come.
    """
    if not is_leader_new:
        return min(deadline, now + MAX_WAIT)
    return now + min(NEW_LEADER_MAX_WAIT, NEW_LEADER_WAIT_SHARE * (deadline - now))


def compute_needed_tokens(balance: balances.Balance) -> int:
    """Return how many tokens to hold.

    Where no more than one is expected to be used before the next report, none is held
    ahead of need: one on each node would be more than a small team has.
    """
    waiting = len(balance.waiting)
    ahead = balance.find_target() - waiting
    return waiting + (ahead if ahead > 1 else 0)


def compute_allocated_rates(
    found: catalog.Catalog, members: int, connected_share: float
) -> dict[str, quota.Rate]:
    """Return the parts of the teams' rates that the allocator moves.

    :param connected_share: share of the nodes that it moves them to; the others go on
        with an even part of the whole rate.
    """
    rates = {}
    for team in found.teams.values():
        part = (1.0 - compute_static_share(team, members)) * connected_share
        rates[team.name] = quota.Rate(team.rate * part, math.floor(team.burst * part))
    return rates


def compute_static_share(team: catalog.Team, members: int) -> float:
    """Return the part of a team's rate that is divided evenly among the nodes."""
    is_enough = team.rate * STATIC_SHARE >= MIN_STATIC_RATE * members
    return STATIC_SHARE if is_enough else 0.0
