"""Token bucket of a node's static share of a rate, whose tokens may be given away."""

import collections
import math

MIN_SURPLUS = 0.1
"""Tokens from which a surplus is moved: a smaller one does not serve an operation with
those of the other nodes."""


class StaticBucket:
    """Token bucket of the node's static share of a rate; it starts nearly empty.

    A restarted process may follow one that has just spent its share, so it starts
    with no more than its share of the permitted excess over the rate. Tokens that were
    given away count against the burst until their deadline: they may still be spent.

    A small share is rounded up to a burst of one token, of which most nodes use none.
    Since they could give it away, another bucket with the burst ``givable`` and the
    same rate limits what is given: given tokens that may still be spent and those that
    may yet be given never exceed ``givable`` together. A third one limits in the same
    way what is moved to the allocator.
    """

    __slots__ = (
        "rate",
        "burst",
        "givable",
        "tokens",
        "filled_at",
        "_allowance",
        "_surplus_allowance",
        "_given",
        "_given_total",
    )

    def __init__(self, now: float) -> None:
        """Create an empty bucket."""
        self.rate = 0.0
        self.burst = 0.0
        self.givable = 0.0
        self.tokens = 0.0
        self._allowance = 0.0
        self._surplus_allowance = 0.0
        self.filled_at = now
        self._given: collections.deque[tuple[float, float]] = collections.deque()
        self._given_total = 0.0

    def start(self, tokens: float) -> None:
        """Set the initial tokens."""
        self.tokens = self._allowance = self._surplus_allowance = tokens

    def configure(
        self, now: float, rate: float, burst: float, givable: float | None = None
    ) -> None:
        """Apply another rate; tokens beyond a smaller burst are dropped.

        :param givable: tokens that may be given away or moved at once, by default the
            burst; infinite if there is no limit.
        """
        self.refill(now)
        givable = burst if givable is None else givable
        if burst < self.burst:
            self.tokens = min(self.tokens, max(0.0, burst - self._given_total))
        if givable < self.givable:
            room = max(0.0, givable - self._given_total)
            self._allowance = min(self._allowance, room)
            self._surplus_allowance = min(self._surplus_allowance, givable)
        if self.rate and not rate:
            # Nothing accrues any more, and the rounded token would never be dropped.
            self.tokens = min(self.tokens, max(0.0, givable - self._given_total))
        if math.isinf(givable):
            self._surplus_allowance = math.inf
        self.givable = givable
        self.rate = rate
        self.burst = burst

    def refill(self, now: float) -> None:
        """Add the tokens that accrued since the last call, up to the free capacity.

        Tokens that expire now make room from their deadline on, not before.
        """
        while self._given and self._given[0][0] <= now:
            deadline, tokens = self._given[0]
            self._accrue(deadline)
            self._given.popleft()
            self._given_total = max(0.0, self._given_total - tokens)
        self._accrue(now)
        if not self._given:
            self._given_total = 0.0

    def _accrue(self, now: float) -> None:
        elapsed = max(0.0, now - self.filled_at)
        cap = max(self.burst - self._given_total, self.tokens)
        self.tokens = min(cap, self.tokens + elapsed * self.rate)
        cap = max(self.givable - self._given_total, self._allowance)
        self._allowance = min(cap, self._allowance + elapsed * self.rate)
        cap = max(self.givable, self._surplus_allowance)
        accrued = self._surplus_allowance + elapsed * self.rate
        self._surplus_allowance = min(cap, accrued)
        self.filled_at = max(now, self.filled_at)

    def take(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        self.refill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def put_back(self, now: float) -> None:
        """Return one token, up to the free capacity."""
        self.refill(now)
        room = self.burst - self._given_total
        if self.tokens < room:
            self.tokens = min(room, self.tokens + 1.0)

    def measure_surplus(self, now: float, kept: float) -> float:
        """Return the tokens beyond ``kept`` that may be moved to the allocator."""
        self.refill(now)
        return max(0.0, min(self.tokens - kept, self._surplus_allowance))

    def take_surplus(self, now: float, kept: float) -> float:
        """Remove and return the tokens in excess of ``kept``, to three decimals.

        A share below one token is moved as a fraction. The rounded token of each of
        hundreds of nodes would exceed the rate.
        """
        surplus = math.floor(self.measure_surplus(now, kept) * 1000) / 1000
        if surplus < MIN_SURPLUS:
            return 0.0
        self.tokens -= surplus
        self._surplus_allowance -= surplus
        return surplus

    def measure_givable(self, now: float, asked: float, kept: float) -> float:
        """Return how many of the tokens asked for :meth:`give` would remove."""
        self.refill(now)
        return max(0.0, min(asked, self.tokens - kept, self._allowance))

    def give(self, now: float, asked: float, kept: float, deadline: float) -> float:
        """Remove tokens that others may spend until ``deadline``; return how many.

        Deadlines must not fall from one call to the next.

        :param asked: maximum number, which need not be whole.
        :param kept: tokens that stay.
        """
        given = self.measure_givable(now, asked, kept)
        if given:
            self.tokens -= given
            self._allowance -= given
            self._given.append((deadline, given))
            self._given_total += given
        return given
