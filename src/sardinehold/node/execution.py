"""Statements on their way to the home of an endpoint, and what comes back."""

import enum

from sardinehold.core import positions
from sardinehold.node import statements


class Request:
    """A statement for one endpoint, with what its home needs to run it.

    :param group: name of the endpoint's group.
    :param values: the session's variables.
    :param deadline: when the statement's time ends.
    :param target: until when its operation is in time.
    :param priority: its route's; 0 is served first.
    :param after: position that the endpoint's log must have, or None.
    :param is_inside: whether it belongs to a transaction that its stream holds open;
        outside of that it must not run.
    """

    __slots__ = (
        "group",
        "endpoint",
        "team",
        "statement",
        "values",
        "deadline",
        "target",
        "priority",
        "after",
        "is_inside",
    )

    def __init__(
        self,
        group: str,
        endpoint: str,
        team: str,
        statement: statements.Statement,
        values: dict[str, str],
        deadline: float,
        target: float,
        priority: int,
        after: positions.Position | None = None,
        is_inside: bool = False,
    ) -> None:
        """Keep the parts of the order."""
        self.group = group
        self.endpoint = endpoint
        self.team = team
        self.statement = statement
        self.values = values
        self.deadline = deadline
        self.target = target
        self.priority = priority
        self.after = after
        self.is_inside = is_inside


class Load:
    """How busy an endpoint is, as its home sees it.

    :param ahead: statements that run there or wait for it.
    :param service_time: seconds that one takes of late.
    :param failed: share of them that failed of late.
    """

    __slots__ = ("ahead", "service_time", "failed")

    def __init__(self, ahead: int, service_time: float, failed: float = 0.0) -> None:
        """Keep the parts of the load."""
        self.ahead = ahead
        self.service_time = service_time
        self.failed = failed


class Reply:
    """What an endpoint answered, with its load."""

    __slots__ = ("answer", "load")

    def __init__(self, answer: statements.Answer, load: Load) -> None:
        """Keep the parts of the reply."""
        self.answer = answer
        self.load = load


class Rejection(enum.Enum):
    """Why a home did not run an order."""

    FULL = "full"
    """It could not be served before its deadline."""

    UNREACHABLE = "unreachable"
    """The home does not reach the endpoint."""

    AWAY = "away"
    """The node is no home of the endpoint, stops, or cannot be reached."""


class Rejected(Exception):
    """A home did not run an order: no byte of it has gone to an endpoint.

    :param retry_after: seconds after which there should be room.
    """

    def __init__(
        self, rejection: Rejection, reason: str, retry_after: float = 0.0
    ) -> None:
        """Keep why."""
        super().__init__(reason)
        self.rejection = rejection
        self.reason = reason
        self.retry_after = retry_after
