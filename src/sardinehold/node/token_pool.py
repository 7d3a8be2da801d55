"""Tokens that nodes move to each other while the allocator does not answer.

An even share of a small rate is less than one token at the moment of need, and callers
are not spread evenly over nodes. Load: 35 to 59 nodes without a leader for 3 to 8 s,
teams of 20 to 90 operations a second that use about 60 % of their rates through a few
nodes. A node that needs tokens asks the pooler, which collects surplus from the static
buckets of all members and lends it.

Tokens are moved, never created: a bucket counts what it gave away against its burst
until the deadline of these tokens (:mod:`sardinehold.node.static_bucket`), the pooler
lends them until that deadline only, and counts no message twice. Thus
``bucket + given <= burst`` holds for each node whatever becomes of a message, and the
sum over all nodes stays that of the buckets.
"""

import math
import typing

TOKEN_LIFETIME = 0.5
"""Seconds for which moved tokens may be spent. A bucket regains the room after this
time, so that a longer one would waste more of the rate if a message is lost."""

MIN_LIFETIME = 0.04
"""Seconds for which tokens must still be valid to be lent: they have to arrive."""

WANT_LIFETIME = 0.3
"""Seconds for which a request is served; a node that still needs tokens repeats it."""

CALL_INTERVAL = 0.04
"""Minimum seconds between two collections: the answers to one arrive within a round
trip across regions."""

SPREAD = 1.5
"""Multiple of the even part of the missing tokens that each member is asked for at
first, since some have none to spare."""

MAX_SPREAD = 24.0
"""Maximum of this multiple, which doubles while members answer with too little. What is
collected in excess expires."""

SPREAD_LIFETIME = 0.1
"""Seconds without a collection after which members are asked for little again: one that
took everything for a single operation would waste it."""

MIN_OFFER = 0.01
"""Tokens below which an offer is not worth its place in a message."""


class Want:
    """Tokens that a node requests.

    :param borrower: name and incarnation of the node.
    :param echo: reading of its clock when it sent the request.
    :param teams: tokens wanted and urgent operations that wait, by team.
    :param deadline: until when the request is served.
    """

    __slots__ = ("borrower", "echo", "teams", "deadline")

    def __init__(
        self,
        borrower: tuple[str, str],
        echo: float,
        teams: dict[str, tuple[int, int]],
        deadline: float,
    ) -> None:
        """Store the request."""
        self.borrower = borrower
        self.echo = echo
        self.teams = teams
        self.deadline = deadline


class Loan:
    """Tokens lent to a node.

    :param borrower: name and incarnation of the node.
    :param echo: the ``echo`` of the request.
    :param tokens: tokens and their remaining seconds, by team.
    """

    __slots__ = ("borrower", "echo", "tokens")

    def __init__(self, want: Want) -> None:
        """Create a loan without tokens."""
        self.borrower = want.borrower
        self.echo = want.echo
        self.tokens: dict[str, tuple[int, float]] = {}


class SeenNumbers:
    """Numbers of messages that were counted, until a repeated one has expired."""

    __slots__ = ("_until",)

    def __init__(self) -> None:
        """Start without numbers."""
        self._until: dict[tuple[str, int], float] = {}

    def add(self, now: float, sender: str, number: int) -> bool:
        """Record a message; return whether it is the first with this number."""
        while self._until:
            first = next(iter(self._until))
            if self._until[first] > now:
                break
            del self._until[first]
        if (sender, number) in self._until:
            return False
        # The tokens of a message expire within this time of its arrival.
        self._until[sender, number] = now + TOKEN_LIFETIME
        return True


class _Pot:
    """Collected tokens of one team, by deadline."""

    __slots__ = ("parts", "spread", "has_offers", "called_at")

    def __init__(self) -> None:
        self.parts: list[list[float]] = []
        self.spread = SPREAD
        self.has_offers = False
        self.called_at = -math.inf

    def add(self, deadline: float, tokens: float) -> None:
        self.has_offers = True
        self.parts.append([deadline, tokens])
        self.parts.sort()

    def count(self, now: float) -> float:
        self.parts = [part for part in self.parts if part[0] > now + MIN_LIFETIME]
        return sum(tokens for _, tokens in self.parts)

    def take(self, tokens: int) -> float:
        """Remove tokens, first those that expire first; return the first deadline."""
        deadline = self.parts[0][0]
        rest = float(tokens)
        while rest > 0 and self.parts:
            part = min(rest, self.parts[0][1])
            self.parts[0][1] -= part
            rest -= part
            if self.parts[0][1] <= 0:
                self.parts.pop(0)
        return deadline


class TokenPool:
    """The pooler's side: collected tokens, and the requests for them."""

    __slots__ = ("_pots", "_wants", "_offers_seen", "_wants_seen", "_called_at")

    def __init__(self) -> None:
        """Create an empty pool."""
        self._pots: dict[str, _Pot] = {}
        self._wants: dict[tuple[str, str], Want] = {}
        self._offers_seen = SeenNumbers()
        self._wants_seen: dict[tuple[str, str], float] = {}
        self._called_at = -math.inf

    def is_idle(self) -> bool:
        """Return whether no request waits."""
        return not self._wants

    def add_want(self, now: float, want: Want) -> bool:
        """Store a request in place of the node's last one; return whether it is new.

        A repeated or overtaken request is ignored.
        """
        if want.echo <= self._wants_seen.get(want.borrower, -math.inf):
            return False
        self._wants_seen[want.borrower] = want.echo
        self._wants[want.borrower] = want
        return True

    def add_offer(
        self,
        now: float,
        giver: str,
        number: int,
        deadline: float,
        tokens: typing.Mapping[str, float],
    ) -> bool:
        """Add tokens of a member; return whether the offer counts.

        :param giver: incarnation of the member.
        :param number: number of the offer; a repeated one is ignored.
        """
        if deadline <= now or not self._offers_seen.add(now, giver, number):
            return False
        for team, offered in tokens.items():
            self._pots.setdefault(team, _Pot()).add(deadline, offered)
        return True

    def plan_collection(self, now: float, members: int) -> dict[str, float]:
        """Return how much of each team's tokens each member is asked for.

        :returns: nothing if enough is collected, or the last collection was too recent.
        """
        self._drop_expired(now)
        if now - self._called_at < CALL_INTERVAL:
            return {}
        wanted = self._sum_wanted()
        asked = {}
        for team, tokens in wanted.items():
            pot = self._pots.setdefault(team, _Pot())
            missing = tokens - pot.count(now)
            if missing > 0:
                if now - pot.called_at > SPREAD_LIFETIME:
                    pot.spread = SPREAD
                elif pot.has_offers:
                    pot.spread = min(MAX_SPREAD, 2.0 * pot.spread)
                pot.has_offers = False
                pot.called_at = now
                asked[team] = pot.spread * missing / max(1, members)
        for team in self._pots.keys() - wanted.keys():
            if not self._pots[team].count(now):
                del self._pots[team]
        if asked:
            self._called_at = now
        return asked

    def _sum_wanted(self) -> dict[str, int]:
        wanted: dict[str, int] = {}
        for want in self._wants.values():
            for team, (tokens, _) in want.teams.items():
                wanted[team] = wanted.get(team, 0) + tokens
        return wanted

    def serve(self, now: float) -> list[Loan]:
        """Lend what is available: to urgent operations first, then in turn."""
        self._drop_expired(now)
        loans: dict[tuple[str, str], Loan] = {}
        for team in self._sum_wanted():
            pot = self._pots.get(team)
            available = int(pot.count(now) + 1e-9) if pot is not None else 0
            if available:
                self._serve_team(now, team, pot, available, loans)
        for borrower in [b for b, want in self._wants.items() if not want.teams]:
            del self._wants[borrower]
        return list(loans.values())

    def _serve_team(
        self,
        now: float,
        team: str,
        pot: _Pot,
        available: int,
        loans: dict[tuple[str, str], Loan],
    ) -> None:
        wants = [want for want in self._wants.values() if team in want.teams]
        limits = {
            want.borrower: (want.teams[team][0], min(want.teams[team]))
            for want in wants
        }
        for borrower, tokens in divide(available, limits).items():
            want = self._wants[borrower]
            loan = loans.setdefault(borrower, Loan(want))
            loan.tokens[team] = (tokens, pot.take(tokens) - now)
            wanted, urgent = want.teams.pop(team)
            if wanted > tokens:
                want.teams[team] = (wanted - tokens, max(0, urgent - tokens))

    def _drop_expired(self, now: float) -> None:
        for borrower in [b for b, w in self._wants.items() if w.deadline <= now]:
            del self._wants[borrower]
        horizon = now - 10.0 * WANT_LIFETIME
        for borrower in self._wants_seen.keys() - self._wants.keys():
            if len(self._wants_seen) > 4096 and self._wants_seen[borrower] < horizon:
                del self._wants_seen[borrower]


def divide(
    available: int, limits: typing.Mapping[tuple[str, str], tuple[int, int]]
) -> dict[tuple[str, str], int]:
    """Divide tokens among borrowers: urgent ones first, the others one by one.

    :param limits: tokens wanted and urgent ones among them, by borrower.
    """
    shares = dict.fromkeys(limits, 0)
    for index in (1, 0):
        is_any = True
        while available and is_any:
            is_any = False
            for borrower, limit in limits.items():
                if available and shares[borrower] < limit[index]:
                    shares[borrower] += 1
                    available -= 1
                    is_any = True
    return {borrower: tokens for borrower, tokens in shares.items() if tokens}
