"""Fleet-wide rate limits: tokens are moved to nodes, never copied.

The holder of the allocator role keeps one token bucket for each team. The
tokens in a bucket and those that nodes may still spend (outstanding tokens)
never exceed the burst together::

    bucket + outstanding <= burst

This bounds what all nodes spend in any window of W seconds:
spent <= outstanding + bucket at its start + rate * W <= burst + rate * W.

A node reports its remaining tokens with each exchange, so that spent tokens
stop counting as outstanding at once; the tokens of a node that does not report
count until its grants lapse. Exchanges of a node are numbered and never
overlap; a late duplicate is dropped, and so is an answer of an earlier epoch.

So that a successor need not start with empty buckets, the allocator keeps a
reserve in each bucket and writes its size to the store. It grants nothing out of a
reserve until a smaller one is written, so the stored reserve is always available
to a successor.
"""

import typing

GRANT_LIFETIME = 1.0
"""Seconds from a node's request until the granted tokens lapse."""

UNKNOWN_GRANT = -1
"""Reported as the last grant received by a node that got one from elsewhere since: its
grants count as received."""

CLOCK_RATE_MARGIN = 0.01
"""Maximum difference in rate of two monotonic clocks, as a fraction."""

GRANT_DIVISOR = 2
"""Divisor of a bucket's available tokens that bounds a single grant, so that one
node that prefetches does not empty it while requests wait on others."""

RESERVE_FRACTION = 0.75
"""Fraction of a bucket that is stored as its reserve: the rest, and what the rate
adds meanwhile, covers the grants until the next write."""

SHORT_RESERVE_FRACTION = 0.25
"""Fraction of a bucket stored as the reserve of a team that is short of tokens."""

MIN_RESERVE = 12
"""Tokens below which there is no reserve: the tokens left beside a smaller one would
not suffice for a few simultaneous statements."""

LOW_FRACTION = 0.5
"""Fraction of the burst below which a team's bucket is low: spent tokens that are not
reported yet, and unused ones on other nodes, may soon be missed."""

FAIR_SHARE = 0.1
"""Tokens for other operations by each one for urgent operations, so that the others do
not starve while urgent ones always wait."""

MAX_FAIR_CREDIT = 5.0
"""Maximum tokens that the others may get at once."""

URGENT_DURATION = 0.2
"""Seconds for which tokens are kept for urgent operations of a node that got too few:
it requests again within this time, or its operations were refused."""

SHORTAGE_DURATION = 0.5
"""Seconds for which a team counts as short of tokens after a request was not met in
full; longer than the time between two reports."""


class Rate:
    """Rate limit of a team over all VMs together.

    :param rate: statements a second.
    :param burst: statements at once after an idle period.
    """

    __slots__ = ("rate", "burst")

    def __init__(self, rate: float, burst: int) -> None:
        """Store rate and burst."""
        self.rate = rate
        self.burst = burst


class Grant:
    """Tokens moved to a node.

    :param grant_id: number of the grant, unique for one allocator epoch.
    :param lifetime: seconds from the node's request to the deadline.
    """

    __slots__ = ("grant_id", "team", "tokens", "lifetime")

    def __init__(self, grant_id: int, team: str, tokens: int, lifetime: float) -> None:
        """Store the fields of the grant."""
        self.grant_id = grant_id
        self.team = team
        self.tokens = tokens
        self.lifetime = lifetime


class Usage:
    """A node's report on one team in an exchange.

    :param left: tokens that the node could still spend when it sent the report.
    :param returned: tokens that it removed from its balance to return them.
    :param wanted: tokens that it requests.
    :param received: number of the team's last grant that reached the node; a
        later grant was lost and is put back into the bucket.
    :param spare: tokens of the node's own part of the rate that it does not
        need and moves into the bucket.
    :param urgent: operations of urgent routes that wait for its tokens.
    """

    __slots__ = ("team", "left", "returned", "wanted", "received", "spare", "urgent")

    def __init__(
        self,
        team: str,
        left: int,
        returned: int = 0,
        wanted: int = 0,
        received: int = 0,
        spare: int = 0,
        urgent: int = 0,
    ) -> None:
        """Store the fields of the usage."""
        self.team = team
        self.left = left
        self.returned = returned
        self.wanted = wanted
        self.received = received
        self.spare = spare
        self.urgent = urgent


class _Holding:
    """Outstanding tokens of one team on one node."""

    __slots__ = ("tokens", "deadline", "grant_id", "granted")

    def __init__(self, tokens: int, deadline: float) -> None:
        self.tokens = tokens
        self.deadline = deadline
        self.grant_id = 0
        self.granted = 0


class _Bucket:
    """Token bucket of one team, with the outstanding tokens of its nodes."""

    __slots__ = (
        "rate",
        "burst",
        "tokens",
        "filled_at",
        "holdings",
        "reserve",
        "short_until",
        "low_until",
        "urgent",
        "fair_credit",
    )

    def __init__(self, rate: Rate, now: float, reserve: int) -> None:
        self.rate = rate.rate
        self.burst = rate.burst
        self.tokens = float(min(rate.burst, reserve))
        self.reserve = reserve
        self.short_until = float("-inf")
        self.low_until = float("-inf")
        self.filled_at = now
        self.holdings: dict[str, _Holding] = {}
        self.urgent: dict[str, tuple[int, float]] = {}
        self.fair_credit = 0.0

    def settle_fair_credit(self, tokens: int, urgent: int, is_reserved: bool) -> None:
        """Account a grant for the share that other operations than urgent ones get."""
        others = max(0, tokens - urgent)
        gained = FAIR_SHARE * min(tokens, urgent)
        self.fair_credit = min(MAX_FAIR_CREDIT, self.fair_credit + gained)
        if is_reserved:
            self.fair_credit = max(0.0, self.fair_credit - others)

    def count_urgent(self, now: float, node: str) -> int:
        """Return the urgent operations that wait on other nodes than ``node``."""
        for name in [n for n, (_, until) in self.urgent.items() if until <= now]:
            del self.urgent[name]
        return sum(count for name, (count, _) in self.urgent.items() if name != node)

    def count_outstanding(self, now: float) -> int:
        """Return the outstanding tokens, after removing lapsed holdings."""
        lapsed = [node for node, held in self.holdings.items() if held.deadline <= now]
        for node in lapsed:
            del self.holdings[node]
        return sum(held.tokens for held in self.holdings.values())

    def refill(self, now: float) -> None:
        """Add the tokens of the rate since the last call, up to the free capacity."""
        elapsed = max(0.0, now - self.filled_at)
        room = max(0.0, self.burst - self.count_outstanding(now))
        self.tokens = min(room, self.tokens + elapsed * self.rate)
        self.filled_at = max(now, self.filled_at)

    def add(self, now: float, tokens: int) -> None:
        """Add tokens that a node moved here, up to the free capacity."""
        room = max(0.0, self.burst - self.count_outstanding(now))
        self.tokens = max(self.tokens, min(room, self.tokens + tokens))

    def settle(self, now: float, node: str, usage: Usage) -> None:
        """Update a node's holding from the tokens that it reports and returns."""
        held = self.holdings.get(node)
        if held is None or held.deadline <= now:
            return
        if held.granted and usage.received not in (held.grant_id, UNKNOWN_GRANT):
            self.tokens += held.granted
            held.tokens -= held.granted
        held.granted = 0
        reported = usage.left + usage.returned
        held.tokens = min(held.tokens, reported)
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
    """Allocator that moves tokens of all teams to the nodes that need them.

    A new allocator has no record of its predecessor's grants. It grants
    nothing until those grants have lapsed, or until every node that could
    hold one has reported its remaining tokens. It must not be created before
    the predecessor is fenced.

    :param epoch: epoch of the allocator role.
    :param starts_at: time at which the predecessor's last grant has lapsed.
    :param expected: nodes that must report for the allocator to start earlier.
    :param reserves: stored reserves of the predecessor, in tokens by team.

    .. versionadded:: 0.1
    """

    __slots__ = (
        "epoch",
        "starts_at",
        "_expected",
        "_buckets",
        "_grants",
        "_last_sequences",
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
        """Start with the predecessor's reserves, by default none."""
        self.epoch = epoch
        self.starts_at = max(now, starts_at)
        self._expected = set(expected)
        self._buckets: dict[str, _Bucket] = {}
        self._grants = 0
        self._last_sequences: dict[str, int] = {}
        self._reserves = dict(reserves or {})

    def has_started(self, now: float) -> bool:
        """Return whether no unknown grant of the predecessor can be spent."""
        return now >= self.starts_at

    def configure(self, now: float, rates: dict[str, Rate]) -> None:
        """Apply the rates of a document.

        A lower burst takes full effect when the outstanding grants have lapsed.
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
        """Add the tokens of a period in which nothing could be granted.

        :param seconds: its length; in that period, no node may have spent tokens
            beyond its own part of the rates.
        """
        for bucket in self._buckets.values():
            bucket.refill(now)
            room = max(0.0, bucket.burst - bucket.count_outstanding(now))
            bucket.tokens = max(
                bucket.tokens, min(room, bucket.tokens + seconds * bucket.rate)
            )

    def _retire(self, now: float, team: str) -> None:
        """Remove a team's bucket once it has no outstanding tokens."""
        bucket = self._buckets[team]
        bucket.rate = 0.0
        bucket.burst = 0
        bucket.refill(now)
        if not bucket.holdings:
            del self._buckets[team]

    def exchange(
        self,
        now: float,
        node: str,
        sequence: int,
        usages: list[Usage],
        borrowers: typing.Iterable[str] = (),
    ) -> list[Grant] | None:
        """Apply a node's usage reports and grant the tokens that it requests.

        :param node: identity of one incarnation of a VM's process.
        :param sequence: number of the exchange, increasing from 1.
        :param borrowers: identities of the nodes whose unspent tokens the usages
            contain.
        :returns: a grant, possibly of 0 tokens, for each team of which the node
            requests tokens; None for a late duplicate of an earlier exchange.
        """
        if sequence <= self._last_sequences.get(node, 0):
            return None
        self._last_sequences[node] = sequence
        for usage in usages:
            self._settle(now, node, usage)
        self._finish_report(now, {node, *borrowers})
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
        """Expect a report of a node's new process in place of the old one.

        The tokens of the old process ended with it.
        """
        if old in self._expected:
            self._expected.remove(old)
            if new not in self._last_sequences:
                self._expected.add(new)
            self._start_if_complete(now)

    def _finish_report(self, now: float, nodes: set[str]) -> None:
        if not self._expected.isdisjoint(nodes):
            self._expected -= nodes
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
        # Other operations than urgent ones leave the tokens that urgent ones wait for.
        reserved = bucket.count_urgent(now, node)
        free = max(0, available - reserved, min(available, int(bucket.fair_credit)))
        tokens = min(tokens, max(usage.urgent, free))
        bucket.settle_fair_credit(tokens, usage.urgent, bool(reserved))
        bucket.urgent.pop(node, None)
        if usage.urgent > tokens:
            missing = usage.urgent - tokens
            bucket.urgent[node] = (missing, now + URGENT_DURATION)
        if available < usage.wanted:
            bucket.short_until = now + SHORTAGE_DURATION
        grant = Grant(self._grants, usage.team, tokens, GRANT_LIFETIME)
        if tokens:
            bucket.move(now, node, grant)
        if bucket.tokens < LOW_FRACTION * bucket.burst:
            bucket.low_until = now + SHORTAGE_DURATION
        return grant

    def list_short_teams(self, now: float) -> list[str]:
        """Return the teams whose bucket was low at a recent request."""
        return [
            team for team, bucket in self._buckets.items() if now < bucket.low_until
        ]

    def sum_tokens(self, now: float) -> tuple[int, int]:
        """Return the tokens in all buckets and the outstanding ones of all teams."""
        available = outstanding = 0
        for bucket in self._buckets.values():
            bucket.refill(now)
            available += int(bucket.tokens)
            outstanding += bucket.count_outstanding(now)
        return available, outstanding

    def needs_smaller_reserves(self, now: float) -> bool:
        """Return whether a reserve withholds tokens from a team that is short."""
        return any(
            now < bucket.short_until and 0 < bucket.reserve > bucket.tokens - 1
            for bucket in self._buckets.values()
        )

    def plan_reserves(
        self, now: float, part: float = RESERVE_FRACTION
    ) -> dict[str, int]:
        """Return the reserves to store, in tokens by team, without small ones.

        :param part: fraction of each bucket; 1 when no more grants are made.
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
        """Raise the reserves to those of a write that may have succeeded."""
        for team, bucket in self._buckets.items():
            bucket.reserve = max(bucket.reserve, reserves.get(team, 0))

    def set_reserves(self, reserves: dict[str, int]) -> None:
        """Set the reserves to those of a confirmed write."""
        for team, bucket in self._buckets.items():
            bucket.reserve = reserves.get(team, 0)

    def measure_exposure(self, now: float, team: str) -> float:
        """Return the sum of bucket and outstanding tokens, at most the burst."""
        bucket = self._buckets[team]
        bucket.refill(now)
        return bucket.tokens + bucket.count_outstanding(now)
