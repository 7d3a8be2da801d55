"""Failures of statements, and traces of how statements were executed."""

from sardinehold.core import positions
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import statements

EXCEEDS_LIMIT = (
    "not run: with what an endpoint must be told besides, the statement exceeds the"
    " protocol's limit; shorten it"
)
"""Detail of the refusal of a statement that fits into the caller's line only."""


class StatementFailed(Exception):
    """Raised when a statement ends with a failure."""

    def __init__(self, failure: statements.Failure, detail: str) -> None:
        """Initialize the exception with the caller's answer."""
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class Trace:
    """How one statement was executed, for the log.

    :param endpoint: where it ran last.
    :param home: the owner node on whose connection it ran.
    :param after: position that the endpoint was required to have reached.
    :param position: position in the endpoint's answer.
    :param waited: seconds that it waited for an endpoint to qualify.
    :param tries: number of times it was sent.
    :param lease_age: seconds since the group's state was known to be in force.
    :param skipped: for a read on the primary, reasons against the replicas by name.
    :param hedges: attempts that were started besides the first.
    :param unfinished: attempts that still ran when it was answered.
    :param origin: its arrival, shared by all requests that are sent for it.
    """

    __slots__ = (
        "team",
        "group",
        "endpoint",
        "home",
        "after",
        "position",
        "waited",
        "tries",
        "lease_age",
        "skipped",
        "hedges",
        "unfinished",
        "origin",
    )

    def __init__(self) -> None:
        """Create an empty trace of a statement that arrives now."""
        self.team = ""
        self.group = ""
        self.endpoint = ""
        self.home = ""
        self.after: positions.Position | None = None
        self.position: positions.Position | None = None
        self.waited = 0.0
        self.tries = 0
        self.lease_age = 0.0
        self.skipped: dict[str, str] | None = None
        self.hedges = 0
        self.unfinished = 0
        self.origin = execution.Origin(clock.read())

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        fields = {
            "endpoint": self.endpoint,
            "home": self.home,
            "after": None if self.after is None else list(self.after),
            "position": None if self.position is None else list(self.position),
            "waited": self.waited,
            "tries": self.tries,
            "team": self.team,
            "group": self.group,
            "lease_age": self.lease_age,
        }
        if self.skipped is not None:
            fields["skipped"] = self.skipped
        if self.hedges:
            fields["hedges"] = self.hedges
            fields["unfinished"] = self.unfinished
        return fields


_ENDINGS = frozenset({statements.Failure.DENIED, statements.Failure.UNKNOWN_ROUTE})


def ends_session(answer: statements.Answer) -> bool:
    """Return whether a session must be closed after an answer.

    Its key or its route is no longer in force, and no transaction is open.
    """
    return answer.error in _ENDINGS and answer.status == "I"


def add_retry_hint(reason: object, seconds: float) -> str:
    """Return the text of a refusal with the time after which to retry."""
    return f"{reason}; retry after {int(seconds * 1000)} ms"
