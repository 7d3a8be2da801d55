"""Rates over the fleet: tokens are moved to nodes, never copied.

The holder of the allocator role keeps one token bucket for each team. What a
bucket holds and what nodes may still spend never exceed the burst together::

    bucket + outstanding <= burst

From this follows the bound for any window of W seconds, whoever spends where:
spent <= outstanding + bucket at its start + rate * W <= burst + rate * W.

A node says with each exchange how many tokens it has left, so that what it
spent stops counting as outstanding at once; what a silent node holds counts
until its grants lapse. Exchanges of a node are numbered and never overlap; a
late copy is dropped, and so is an answer of an earlier epoch.

So that a successor need not start with empty buckets, the allocator keeps a
reserve in each bucket that it has written down: it grants nothing out of it until a
smaller reserve is written. What the store says is there was there to the end.
"""

GRANT_LIFETIME = 1.0
"""Seconds from a node's asking to when it may no longer spend what it got."""

CLOCK_RATE_MARGIN = 0.01
"""By how much the rates of two monotonic clocks may differ, as a fraction."""

GRANT_DIVISOR = 2
"""A grant takes at most this part of a bucket, so that one node with a wish
ahead of its need does not empty it for those whose requests wait."""

RESERVE_FRACTION = 0.75
"""Part of a bucket that is written down as its reserve: the rest, and what the rate
gives meanwhile, covers what is granted until the next writing."""

SHORT_RESERVE_FRACTION = 0.25
"""The same of a team that is short of tokens."""

MIN_RESERVE = 12
"""Tokens below which there is no reserve: what is left beside a smaller one would not
last for a few statements that come at once."""

SHORTAGE_DURATION = 0.5
"""Seconds for which a team counts as short of tokens after a wish was not met; longer
than the time between two reports."""


class Rate:
    """What a team may use over all VMs together.

    :param rate: statements a second.
    :param burst: statements at once after a quiet time.
    """

    __slots__ = ("rate", "burst")

    def __init__(self, rate: float, burst: int) -> None:
        """Keep rate and burst."""
        self.rate = rate
        self.burst = burst


class Grant:
    """Tokens moved to a node.

    :param grant_id: number of the grant, unique for one allocator epoch.
    :param lifetime: seconds from when the node asked to its deadline.
    """

    __slots__ = ("grant_id", "team", "tokens", "lifetime")

    def __init__(self, grant_id: int, team: str, tokens: int, lifetime: float) -> None:
        """Keep the parts of the grant."""
        self.grant_id = grant_id
        self.team = team
        self.tokens = tokens
        self.lifetime = lifetime


class Usage:
    """What a node says of one team in an exchange.

    :param left: tokens that the node could still spend when it asked.
    :param returned: tokens that it took off its balance to give back.
    :param wanted: tokens that it asks for.
    :param received: the last grant of the team that reached the node; a
        later one was lost on the way and goes back into the bucket.
    :param spare: tokens of a part of the rate that is the node's own, which it
        does not need and moves into the bucket.
    """

    __slots__ = ("team", "left", "returned", "wanted", "received", "spare")

    def __init__(
        self,
        team: str,
        left: int,
        returned: int = 0,
        wanted: int = 0,
        received: int = 0,
        spare: int = 0,
    ) -> None:
        """Keep the parts of the usage."""
        self.team = team
        self.left = left
        self.returned = returned
        self.wanted = wanted
        self.received = received
        self.spare = spare


class _Holding:
    """What one node may still spend of one team's tokens."""

    __slots__ = ("tokens", "deadline", "grant_id", "granted")

    def __init__(self, tokens: int, deadline: float) -> None:
        self.tokens = tokens
        self.deadline = deadline
        self.grant_id = 0
        self.granted = 0


class _Bucket:
    """Tokens of one team that no node holds."""

    __slots__ = (
        "rate",
        "burst",
        "tokens",
        "filled_at",
        "holdings",
        "reserve",
        "short_until",
    )

    def __init__(self, rate: Rate, now: float, reserve: int) -> None:
        self.rate = rate.rate
        self.burst = rate.burst
        self.tokens = float(min(rate.burst, reserve))
        self.reserve = reserve
        self.short_until = float("-inf")
        self.filled_at = now
        self.holdings: dict[str, _Holding] = {}

    def count_outstanding(self, now: float) -> int:
        """Return what nodes may still spend, forgetting lapsed holdings."""
        lapsed = [node for node, held in self.holdings.items() if held.deadline <= now]
        for node in lapsed:
            del self.holdings[node]
        return sum(held.tokens for held in self.holdings.values())

    def refill(self, now: float) -> None:
        """Add what the rate gave since the last call, up to what is free."""
        elapsed = max(0.0, now - self.filled_at)
        room = max(0.0, self.burst - self.count_outstanding(now))
        self.tokens = min(room, self.tokens + elapsed * self.rate)
        self.filled_at = max(now, self.filled_at)

    def add(self, now: float, tokens: int) -> None:
        """Add tokens that a node moved here, up to what is free."""
        room = max(0.0, self.burst - self.count_outstanding(now))
        self.tokens = max(self.tokens, min(room, self.tokens + tokens))

    def settle(self, now: float, node: str, usage: Usage) -> None:
        """Take a node's word for what it has left and gives back."""
        held = self.holdings.get(node)
        if held is None or held.deadline <= now:
            return
        if held.granted and usage.received != held.grant_id:
            self.tokens += held.granted
            held.tokens -= held.granted
        held.granted = 0
        kept = usage.left + usage.returned
        held.tokens = min(held.tokens, kept)
        returned = min(usage.returned, held.tokens)
        held.tokens -= returned
        self.tokens += returned

    def move(self, now: float, node: str, grant: Grant) -> None:
        """Move a grant's tokens from the bucket to a node."""
        deadline = now + GRANT_LIFETIME * (1 + CLOCK_RATE_MARGIN)
        held = self.holdings.setdefault(node, _Holding(0, deadline))
        self.tokens -= grant.tokens
        held.tokens += grant.tokens
        held.deadline = deadline
        held.grant_id = grant.grant_id
        held.granted = grant.tokens


class Allocator:
    """Moves tokens of all teams to the nodes that need them.

    A new allocator does not know what its predecessor granted. It grants
    nothing until those grants have lapsed, or until every node that could
    hold one has said what it has left. It must not be created before the
    predecessor is fenced.

    :param epoch: of the role that this allocator holds.
    :param starts_at: when the predecessor's last grant has lapsed for sure.
    :param expected: nodes whose first exchange makes the wait unnecessary.
    :param reserves: tokens by team that the predecessor wrote down and kept.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "epoch",
        "starts_at",
        "_expected",
        "_buckets",
        "_grants",
        "_seen",
        "_reserves",
    )

    def __init__(
        self,
        epoch: int,
        now: float,
        starts_at: float,
        expected: frozenset[str] = frozenset(),
        reserves: dict[str, int] | None = None,
    ) -> None:
        """Start with what the predecessor kept, which is nothing by default."""
        self.epoch = epoch
        self.starts_at = max(now, starts_at)
        self._expected = set(expected)
        self._buckets: dict[str, _Bucket] = {}
        self._grants = 0
        self._seen: dict[str, int] = {}
        self._reserves = dict(reserves or {})

    def has_started(self, now: float) -> bool:
        """Return whether nothing that the predecessor granted can be spent."""
        return now >= self.starts_at

    def configure(self, now: float, rates: dict[str, Rate]) -> None:
        """Put the rates of a document in force.

        A lower burst binds within the lifetime of the grants that are out.
        """
        for team in self._buckets.keys() - rates.keys():
            self._retire(now, team)
        for team, rate in rates.items():
            bucket = self._buckets.get(team)
            if bucket is None:
                start = max(now, self.starts_at)
                reserve = self._reserves.pop(team, 0)
                self._buckets[team] = _Bucket(rate, start, reserve)
                continue
            bucket.refill(now)
            bucket.rate = rate.rate
            bucket.burst = rate.burst
            bucket.refill(now)

    def credit(self, now: float, seconds: float) -> None:
        """Add what the rates gave in a time for which nothing could be granted.

        :param seconds: in which no node ran on a part of the rates that is not its own.
        """
        for bucket in self._buckets.values():
            bucket.refill(now)
            room = max(0.0, bucket.burst - bucket.count_outstanding(now))
            bucket.tokens = max(
                bucket.tokens, min(room, bucket.tokens + seconds * bucket.rate)
            )

    def _retire(self, now: float, team: str) -> None:
        """Drop a team's bucket once nothing of it can be spent any more."""
        bucket = self._buckets[team]
        bucket.rate = 0.0
        bucket.burst = 0
        bucket.refill(now)
        if not bucket.holdings:
            del self._buckets[team]

    def exchange(
        self, now: float, node: str, sequence: int, usages: list[Usage]
    ) -> list[Grant] | None:
        """Settle what a node used and grant what it wants.

        :param node: identity of one start of a VM's process.
        :param sequence: number of the exchange, growing from 1.
        :returns: a grant for each team that wants tokens, possibly of none;
            None for a late copy of an earlier exchange.
        """
        if sequence <= self._seen.get(node, 0):
            return None
        self._seen[node] = sequence
        for usage in usages:
            self._settle(now, node, usage)
        self._finish_report(now, node)
        return [self._grant(now, node, usage) for usage in usages if usage.wanted]

    def _settle(self, now: float, node: str, usage: Usage) -> None:
        bucket = self._buckets.get(usage.team)
        if bucket is None:
            return
        if now < self.starts_at:
            deadline = now + GRANT_LIFETIME * (1 + CLOCK_RATE_MARGIN)
            bucket.holdings[node] = _Holding(usage.left, deadline)
            return
        bucket.refill(now)
        bucket.settle(now, node, usage)
        bucket.add(now, usage.spare)

    def replace_expected(self, now: float, old: str, new: str) -> None:
        """Wait for a node's new process: the old one ended with its tokens."""
        if old in self._expected:
            self._expected.remove(old)
            if new not in self._seen:
                self._expected.add(new)
            self._start_if_complete(now)

    def _finish_report(self, now: float, node: str) -> None:
        if node in self._expected:
            self._expected.remove(node)
            self._start_if_complete(now)

    def _start_if_complete(self, now: float) -> None:
        if self._expected or now >= self.starts_at:
            return
        self.starts_at = now
        for bucket in self._buckets.values():
            bucket.filled_at = now

    def _grant(self, now: float, node: str, usage: Usage) -> Grant:
        self._grants += 1
        bucket = self._buckets.get(usage.team)
        if bucket is None or now < self.starts_at:
            return Grant(self._grants, usage.team, 0, GRANT_LIFETIME)
        bucket.refill(now)
        available = max(0, int(bucket.tokens - bucket.reserve))
        tokens = min(usage.wanted, available, max(1, available // GRANT_DIVISOR))
        if available < usage.wanted:
            bucket.short_until = now + SHORTAGE_DURATION
        grant = Grant(self._grants, usage.team, tokens, GRANT_LIFETIME)
        if tokens:
            bucket.move(now, node, grant)
        return grant

    def list_short_teams(self, now: float) -> list[str]:
        """Return the teams of which some node did not get all that it wanted."""
        return [
            team for team, bucket in self._buckets.items() if now < bucket.short_until
        ]

    def needs_smaller_reserves(self, now: float) -> bool:
        """Return whether a reserve keeps a team short."""
        return any(
            now < bucket.short_until and 0 < bucket.reserve > bucket.tokens - 1
            for bucket in self._buckets.values()
        )

    def plan_reserves(
        self, now: float, part: float = RESERVE_FRACTION
    ) -> dict[str, int]:
        """Return the reserves to write down, without small ones.

        :param part: of each bucket; all of it once nothing is granted any more.
        """
        planned = {}
        for team, bucket in self._buckets.items():
            bucket.refill(now)
            is_needed = now < bucket.short_until and part < 1.0
            reserve = int(
                bucket.tokens * (SHORT_RESERVE_FRACTION if is_needed else part)
            )
            if reserve >= MIN_RESERVE:
                planned[team] = reserve
        return planned

    def raise_reserves(self, reserves: dict[str, int]) -> None:
        """Keep reserves that may be written down by now."""
        for team, bucket in self._buckets.items():
            bucket.reserve = max(bucket.reserve, reserves.get(team, 0))

    def set_reserves(self, reserves: dict[str, int]) -> None:
        """Keep the reserves that are written down, and no others."""
        for team, bucket in self._buckets.items():
            bucket.reserve = reserves.get(team, 0)

    def measure_exposure(self, now: float, team: str) -> float:
        """Return bucket plus outstanding tokens, which the burst bounds."""
        bucket = self._buckets[team]
        bucket.refill(now)
        return bucket.tokens + bucket.count_outstanding(now)
