"""Messages by which nodes move tokens to each other without the allocator.

Times are readings of the receiver's own clock that it gets back, as in
:mod:`sardinehold.node.reports`, so that no delay makes a token appear valid for longer.
"""


class Want:
    """Request of a node to the pooler.

    :param sent_at: reading of the sender's clock, returned with the loan.
    :param teams: tokens wanted and urgent operations that wait, by team.
    """

    __slots__ = ("node", "incarnation", "sent_at", "teams")

    def __init__(
        self,
        node: str,
        incarnation: str,
        sent_at: float,
        teams: dict[str, tuple[int, int]],
    ) -> None:
        """Store the fields."""
        self.node = node
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.teams = teams

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "token_want",
            "node": self.node,
            "inc": self.incarnation,
            "at": self.sent_at,
            "teams": self.teams,
        }


class Collection:
    """Request of the pooler for surplus tokens of static buckets.

    :param sent_at: reading of the pooler's clock, returned with the offer.
    :param teams: tokens that each member is asked for at most, by team.
    """

    __slots__ = ("node", "incarnation", "sent_at", "teams")

    def __init__(
        self, node: str, incarnation: str, sent_at: float, teams: dict[str, float]
    ) -> None:
        """Store the fields."""
        self.node = node
        self.incarnation = incarnation
        self.sent_at = sent_at
        self.teams = teams

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "token_collection",
            "node": self.node,
            "inc": self.incarnation,
            "at": self.sent_at,
            "teams": {team: round(asked, 4) for team, asked in self.teams.items()},
        }


class Offer:
    """Tokens that a member gives to the pooler.

    :param recipient: incarnation of the pooler that asked.
    :param echo: ``sent_at`` of the collection.
    :param number: number of the offer, unique for each incarnation of the member.
    """

    __slots__ = ("node", "incarnation", "recipient", "echo", "number", "teams")

    def __init__(
        self,
        node: str,
        incarnation: str,
        recipient: str,
        echo: float,
        number: int,
        teams: dict[str, float],
    ) -> None:
        """Store the fields."""
        self.node = node
        self.incarnation = incarnation
        self.recipient = recipient
        self.echo = echo
        self.number = number
        self.teams = teams

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "token_offer",
            "node": self.node,
            "inc": self.incarnation,
            "to": self.recipient,
            "echo": self.echo,
            "number": self.number,
            "teams": self.teams,
        }


class Loan:
    """Response of the pooler to a request, which may be followed by more.

    :param recipient: incarnation of the borrower.
    :param echo: ``sent_at`` of the request.
    :param number: number of the loan, unique for each incarnation of the pooler.
    :param teams: tokens and the seconds for which they are valid, by team.
    """

    __slots__ = ("node", "incarnation", "recipient", "echo", "number", "teams")

    def __init__(
        self,
        node: str,
        incarnation: str,
        recipient: str,
        echo: float,
        number: int,
        teams: dict[str, tuple[int, float]],
    ) -> None:
        """Store the fields."""
        self.node = node
        self.incarnation = incarnation
        self.recipient = recipient
        self.echo = echo
        self.number = number
        self.teams = teams

    def dump(self) -> dict:
        """Return the encoded message."""
        return {
            "kind": "token_loan",
            "node": self.node,
            "inc": self.incarnation,
            "to": self.recipient,
            "echo": self.echo,
            "number": self.number,
            "teams": self.teams,
        }


Message = Want | Collection | Offer | Loan


def _parse_want(message: dict) -> Want:
    return Want(
        str(message["node"]),
        str(message["inc"]),
        float(message["at"]),
        {
            str(team): (max(0, int(wanted)), max(0, int(urgent)))
            for team, (wanted, urgent) in message["teams"].items()
        },
    )


def _parse_collection(message: dict) -> Collection:
    return Collection(
        str(message["node"]),
        str(message["inc"]),
        float(message["at"]),
        {str(team): float(asked) for team, asked in message["teams"].items()},
    )


def _parse_offer(message: dict) -> Offer:
    return Offer(
        str(message["node"]),
        str(message["inc"]),
        str(message["to"]),
        float(message["echo"]),
        int(message["number"]),
        {str(team): max(0.0, float(n)) for team, n in message["teams"].items()},
    )


def _parse_loan(message: dict) -> Loan:
    return Loan(
        str(message["node"]),
        str(message["inc"]),
        str(message["to"]),
        float(message["echo"]),
        int(message["number"]),
        {
            str(team): (max(0, int(tokens)), float(lifetime))
            for team, (tokens, lifetime) in message["teams"].items()
        },
    )


PARSERS = {
    "token_want": _parse_want,
    "token_collection": _parse_collection,
    "token_offer": _parse_offer,
    "token_loan": _parse_loan,
}
