"""How a statement was decided, and how it ends when it fails."""

from sardinehold.core import positions
from sardinehold.node import statements


class StatementFailed(Exception):
    """A statement ends with a failure."""

    def __init__(self, failure: statements.Failure, detail: str) -> None:
        """Keep what the caller is told."""
        super().__init__(detail)
        self.failure = failure
        self.detail = detail


class Trace:
    """How one statement was decided, for the log.

    :param endpoint: where it ran last.
    :param owner: the node whose connection it ran on.
    :param after: position that the endpoint was asked to have.
    :param position: position that it answered with.
    :param waited: seconds that it waited for an endpoint to be known.
    :param tries: how often it was sent.
    :param lease_age: seconds since the group's state was known to be in force.
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
    )

    def __init__(self) -> None:
        """Start with nothing decided."""
        self.team = ""
        self.group = ""
        self.endpoint = ""
        self.home = ""
        self.after: positions.Position | None = None
        self.position: positions.Position | None = None
        self.waited = 0.0
        self.tries = 0
        self.lease_age = 0.0

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
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


_ENDINGS = frozenset({statements.Failure.DENIED, statements.Failure.UNKNOWN_ROUTE})


def ends_session(answer: statements.Answer) -> bool:
    """Return whether a session is of no use behind an answer.

    Its key or its route is not in force any more, and nothing is open.
    """
    return answer.error in _ENDINGS and answer.status == "I"


def add_retry_hint(reason: object, seconds: float) -> str:
    """Return the text of a refusal that says when to come back."""
    return f"{reason}; come back after {int(seconds * 1000)} ms"
