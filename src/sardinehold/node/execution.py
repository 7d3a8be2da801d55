"""Requests to execute statements on an endpoint, sent to its owner, and the replies."""

import enum

from sardinehold.core import positions
from sardinehold.node import clock
from sardinehold.node import statements


class Attempt(enum.Enum):
    """Why a statement is sent."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"


class Ending(enum.Enum):
    """Why nobody waits for a statement any more."""

    ANSWERED = "answered"
    LEFT = "caller left"
    DEADLINE = "deadline"


class Origin:
    """The arrival of a caller's statement, for which requests are sent.

    :param arrived_at: when it arrived at its entry node.
    :param ending: why nobody waits for it any more; None if somebody does, as far as
        this node knows.
    :param ended_at: since when.
    :param sent: the statement that was sent last for it, its own or a BEGIN.
    """

    __slots__ = ("arrived_at", "ending", "ended_at", "sent")

    def __init__(self, arrived_at: float, ending: Ending | None = None) -> None:
        """Initialize the origin; nothing was sent yet."""
        self.arrived_at = arrived_at
        self.ending = ending
        self.ended_at: float | None = None
        self.sent: statements.Statement | None = None

    def end(self, ending: Ending) -> None:
        """Record that nobody waits any more; the first reason is kept."""
        if self.ending is None:
            self.ending = ending
            self.ended_at = clock.read()

    def find_attempt(self, statement: statements.Statement) -> Attempt:
        """Return whether a statement is sent for the first time."""
        return Attempt.RETRY if self.sent is statement else Attempt.FIRST


class Request:
    """A statement for one endpoint, with what the endpoint's owner needs to run it.

    :param group: name of the endpoint's group.
    :param values: the session's variables.
    :param deadline: when the statement times out.
    :param target: latest time of completion that meets the target latency.
    :param priority: its route's; 0 is served first.
    :param after: position that the endpoint's log must have reached, or None.
    :param is_in_transaction: whether it belongs to the open transaction of its stream;
        it must not run outside of that.
    :param divert_at: statements that run or wait at the endpoint from which on it is
        rejected as diverted, None if it may not be.
    :param origin: the caller's statement that it serves.
    :param sent_at: when it was sent to the endpoint, None if that is unknown.
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
        "is_in_transaction",
        "divert_at",
        "origin",
        "attempt",
        "sent_at",
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
        is_in_transaction: bool = False,
        divert_at: int | None = None,
        origin: Origin | None = None,
        attempt: Attempt = Attempt.FIRST,
    ) -> None:
        """Initialize the request; without an origin it arrives now."""
        self.group = group
        self.endpoint = endpoint
        self.team = team
        self.statement = statement
        self.values = values
        self.deadline = deadline
        self.target = target
        self.priority = priority
        self.after = after
        self.is_in_transaction = is_in_transaction
        self.divert_at = divert_at
        self.origin = origin if origin is not None else Origin(clock.read())
        self.attempt = attempt
        self.sent_at: float | None = None

    def find_ending(self, now: float) -> Ending | None:
        """Return why nobody waits for its answer any more, None if somebody does."""
        if self.origin.ending is not None:
            return self.origin.ending
        return Ending.DEADLINE if now >= self.deadline else None

    def measure_age(self) -> float | None:
        """Return the seconds from its statement's arrival until it was sent."""
        return None if self.sent_at is None else self.sent_at - self.origin.arrived_at

    def measure(self) -> int:
        """Return the characters of its statement and of the session's variables."""
        statement = self.statement
        size = len(statement.text) + len(statement.arguments)
        if statement.definition is not None:
            size += len(statement.definition.shape)
        return size + sum(map(len, self.values.values()))


class Load:
    """Load of an endpoint, as measured by its owner.

    :param ahead: statements that run there or wait for it.
    :param service_time: recent average seconds that one takes.
    :param failed: share of recent ones that failed.
    """

    __slots__ = ("ahead", "service_time", "failed")

    def __init__(self, ahead: int, service_time: float, failed: float = 0.0) -> None:
        """Initialize the load."""
        self.ahead = ahead
        self.service_time = service_time
        self.failed = failed


class Reply:
    """An endpoint's answer, with its load.

    :param age: seconds from the arrival of the caller's statement until it was sent.
    """

    __slots__ = ("answer", "load", "age")

    def __init__(self, answer: statements.Answer, load: Load, age: float = 0.0) -> None:
        """Initialize the reply."""
        self.answer = answer
        self.load = load
        self.age = age


class Rejection(enum.Enum):
    """Why an owner did not run a request."""

    FULL = "full"
    """The request could not be served before its deadline."""

    UNREACHABLE = "unreachable"
    """The owner cannot reach the endpoint."""

    DIVERTED = "diverted"
    """The endpoint has no room for a read that may run on another one."""

    AWAY = "away"
    """The node does not own the endpoint, is stopping, or cannot be reached."""


class Rejected(Exception):
    """Raised when an owner did not run a request; no byte was sent to an endpoint.

    :param retry_after: estimated seconds until there is capacity.
    :param ahead: statements that run there or wait for it, None if it is not told.
    """

    def __init__(
        self,
        rejection: Rejection,
        reason: str,
        retry_after: float = 0.0,
        ahead: int | None = None,
    ) -> None:
        """Initialize the exception."""
        super().__init__(reason)
        self.rejection = rejection
        self.reason = reason
        self.retry_after = retry_after
        self.ahead = ahead

    @property
    def is_final(self) -> bool:
        """Whether the statement is refused now: no other node may send it in time."""
        return self.rejection is Rejection.FULL or self.retry_after > 0.0
