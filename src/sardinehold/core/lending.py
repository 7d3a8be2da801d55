"""Passing on granted tokens: a node lends tokens of its balance to other nodes.

The allocator moves tokens to a few nodes, and each of these lends them to the nodes
that report to it. Tokens are moved here as well: those on loan may be spent by the
borrower only, and until the deadline of the grant that they come from. The lender
reports them as its own unspent tokens until the borrower reports them as spent, so that
the bound of :mod:`sardinehold.core.quota` holds for any number of loans.
"""

import typing

from sardinehold.core import balance as balances
from sardinehold.core import quota

MIN_LIFETIME = 0.05
"""Seconds for which a token must still be valid to be lent: it has to reach the
borrower, which dates it by the sending of its request."""


class Loan:
    """Tokens of one team that a borrower may still spend.

    :param tokens: tokens on loan that are not reported as spent.
    :param deadline: when the last of them expires.
    :param earliest: when the first of them expires.
    :param grant_id: number of the last grant, as sent to the borrower.
    :param granted: tokens of that grant until the borrower confirms it.
    :param foreign: tokens of other lenders that the borrower reported.
    :param foreign_until: when those have expired at the latest.
    """

    __slots__ = (
        "tokens",
        "deadline",
        "earliest",
        "grant_id",
        "granted",
        "foreign",
        "foreign_until",
    )

    def __init__(self) -> None:
        """Create a loan without tokens."""
        self.tokens = 0
        self.deadline = float("-inf")
        self.earliest = float("inf")
        self.grant_id = 0
        self.granted = 0
        self.foreign = 0
        self.foreign_until = float("-inf")

    def drop_expired(self, now: float) -> None:
        """Remove the tokens that have expired."""
        if self.deadline <= now:
            self.tokens = self.granted = 0
            self.earliest = float("inf")
        if self.foreign_until <= now:
            self.foreign = 0


class Lender:
    """Loans of one team's tokens out of a balance, by borrower.

    :param balance: the tokens that this node may spend or lend.
    :param requested: tokens that borrowers wait for.
    """

    __slots__ = ("balance", "requested", "_loans")

    def __init__(self, balance: balances.Balance) -> None:
        """Create a lender without loans."""
        self.balance = balance
        self.requested = 0
        self._loans: dict[str, Loan] = {}

    def withdraw_request(self, tokens: int) -> None:
        """Record that borrowers no longer wait for some tokens."""
        self.requested = max(0, self.requested - tokens)

    def settle(self, now: float, borrower: str, usage: quota.Usage) -> bool:
        """Update a loan from the tokens that its borrower reports and returns.

        Tokens of another lender are not taken back: their deadline is unknown here.

        :param borrower: identity of one incarnation of a VM's process.
        :returns: whether fewer tokens are on loan than before.
        """
        loan = self._find_loan(borrower, now)
        before = loan.tokens
        is_lost = usage.received not in (loan.grant_id, quota.UNKNOWN_GRANT)
        if loan.granted and is_lost:
            self._take_back(now, loan, loan.granted)
        loan.granted = 0
        reported = usage.left + usage.returned
        loan.tokens = min(loan.tokens, reported)
        self._take_back(now, loan, min(usage.returned, loan.tokens))
        loan.foreign = max(0, usage.left - loan.tokens)
        loan.foreign_until = now + quota.GRANT_LIFETIME
        if not (loan.tokens or loan.foreign):
            del self._loans[borrower]
        return loan.tokens < before

    def lend(self, now: float, borrower: str, grant_id: int, wanted: int) -> int:
        """Lend up to ``wanted`` tokens and return how many.

        Several loans with one ``grant_id`` are parts of one grant.
        """
        taken, deadline = self.balance.take_newest(wanted, now + MIN_LIFETIME)
        if not taken:
            return 0
        self.balance.record_arrivals(taken)
        loan = self._find_loan(borrower, now)
        if loan.grant_id != grant_id:
            loan.grant_id, loan.granted = grant_id, 0
        loan.granted += taken
        loan.tokens += taken
        loan.deadline = max(loan.deadline, deadline)
        loan.earliest = min(loan.earliest, deadline)
        return taken

    def find_lifetime(self, now: float, borrower: str) -> float:
        """Return the seconds for which all tokens of a borrower are valid."""
        loan = self._loans.get(borrower)
        return max(0.0, loan.earliest - now) if loan is not None else 0.0

    def count_outstanding(self, now: float) -> int:
        """Return the tokens that borrowers may still spend, also those of others."""
        for borrower in list(self._loans):
            self._find_loan(borrower, now)
        expired = [
            borrower
            for borrower, loan in self._loans.items()
            if not (loan.tokens or loan.foreign)
        ]
        for borrower in expired:
            del self._loans[borrower]
        return sum(loan.tokens + loan.foreign for loan in self._loans.values())

    def _find_loan(self, borrower: str, now: float) -> Loan:
        loan = self._loans.setdefault(borrower, Loan())
        loan.drop_expired(now)
        return loan

    def _take_back(self, now: float, loan: Loan, tokens: int) -> None:
        loan.tokens -= tokens
        if tokens and loan.earliest > now:
            self.balance.grant(tokens, loan.earliest)
        if not loan.tokens:
            loan.earliest = float("inf")


class Request:
    """A borrower's request for tokens of several teams, until it is met.

    :param borrower: identity of one incarnation of a VM's process.
    :param grant_id: number of the grants that answer it.
    :param missing: tokens that are still to be lent, by team.
    :param lent: tokens that were lent since the last answer, by team.
    :param deadline: when what is missing is not needed any more.
    """

    __slots__ = ("borrower", "grant_id", "missing", "lent", "deadline")

    def __init__(
        self,
        borrower: str,
        grant_id: int,
        usages: typing.Iterable[quota.Usage],
        deadline: float,
    ) -> None:
        """Create a request for the tokens that the usages want."""
        self.borrower = borrower
        self.grant_id = grant_id
        self.missing = {usage.team: usage.wanted for usage in usages if usage.wanted}
        self.lent: dict[str, int] = {}
        self.deadline = deadline

    def serve(self, now: float, lenders: typing.Mapping[str, Lender]) -> None:
        """Lend what is available."""
        for team, missing in self.missing.items():
            lender = lenders.get(team)
            if missing and lender is not None:
                lent = lender.lend(now, self.borrower, self.grant_id, missing)
                self.missing[team] -= lent
                if lent:
                    self.lent[team] = self.lent.get(team, 0) + lent

    def list_missing(self, lenders: typing.Container[str]) -> list[str]:
        """Return the teams of which tokens are still to be lent."""
        return [
            team
            for team, missing in self.missing.items()
            if missing and team in lenders
        ]

    def make_grants(
        self, now: float, lenders: typing.Mapping[str, Lender]
    ) -> list[quota.Grant]:
        """Return the grants of what was lent since the last answer."""
        lent, self.lent = self.lent, {}
        return [
            quota.Grant(
                self.grant_id,
                team,
                tokens,
                lenders[team].find_lifetime(now, self.borrower),
            )
            for team, tokens in lent.items()
        ]
