"""Interfaces of a node to its environment (ports); adapters implement them.

Deadlines are readings of the node's clock, see :mod:`sardinehold.node.clock`.
"""

import typing

from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import statements


class ConnectionLost(Exception):
    """Raised when a connection to an endpoint broke, or timed out.

    :param was_sent: whether bytes of the statement may have been sent.
    :param is_timeout: whether the deadline passed while the connection was intact.
    :param reason: cause of the failure, for the log.
    """

    def __init__(
        self, was_sent: bool, is_timeout: bool = False, reason: str = ""
    ) -> None:
        """Initialize the exception."""
        kind = "no answer in time" if is_timeout else "the connection broke"
        super().__init__(reason or kind)
        self.was_sent = was_sent
        self.is_timeout = is_timeout


class StatementTooLong(Exception):
    """Raised when no message to an endpoint can hold a statement; nothing was sent."""


class OpeningFailed(Exception):
    """Raised when a connection could not be opened.

    :param failure: the endpoint's answer, None if it gave none.
    """

    def __init__(self, failure: statements.Failure | None, detail: str = "") -> None:
        """Initialize the exception with the endpoint's answer."""
        super().__init__(detail or str(failure))
        self.failure = failure
        self.detail = detail


class LogStatus:
    """Status of an endpoint's log, as it reports it.

    :param is_primary: whether it considers itself the primary.
    :param term: the newest term that it has seen.
    :param received: the end of its log, which a promotion would keep.
    :param paused_term: the term of the pause in force, 0 for none.
    :param lag: replication lag in seconds.
    """

    __slots__ = ("is_primary", "term", "received", "paused_term", "lag")

    def __init__(
        self,
        is_primary: bool,
        term: int,
        received: positions.Position,
        paused_term: int = 0,
        lag: float = 0.0,
    ) -> None:
        """Initialize the status."""
        self.is_primary = is_primary
        self.term = term
        self.received = received
        self.paused_term = paused_term
        self.lag = lag


class Connection(typing.Protocol):
    """An open connection to an endpoint; one statement runs at a time.

    Every call may raise :class:`ConnectionLost`; the connection is closed then.
    """

    on_lost: typing.Callable[[], None] | None

    async def run(
        self,
        statement: statements.Statement,
        deadline: float,
        after: positions.Position | None = None,
    ) -> statements.Answer:
        """Run a caller's statement; may raise :class:`StatementTooLong`.

        :param after: position that the endpoint's log must have reached.
        """

    async def roll_back(self, deadline: float) -> statements.Answer:
        """Roll back the open transaction."""

    async def reset(self, deadline: float) -> statements.Answer:
        """Drop all variables and prepared statements."""

    async def set_values(
        self, values: dict[str, str], deadline: float
    ) -> list[statements.Answer]:
        """Set variables."""

    async def prepare(
        self, definitions: list[statements.Definition], deadline: float
    ) -> list[statements.Answer]:
        """Prepare statements under their shared names.

        May raise :class:`StatementTooLong`.
        """

    async def read_status(self, deadline: float) -> LogStatus | None:
        """Query the status of the log; None if the endpoint refused."""

    async def pause(self, term: int, deadline: float) -> LogStatus | None:
        """Pause replication on a replica; None if the endpoint refused."""

    async def resume(self, deadline: float) -> LogStatus | None:
        """End a pause; None if the endpoint refused."""

    async def step_down(self, term: int, deadline: float) -> LogStatus | None:
        """Demote a primary of a lower term to a replica; None if refused."""

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class Connector(typing.Protocol):
    """Opens connections to endpoints."""

    async def open(
        self, record: catalog.EndpointRecord, team: str, deadline: float
    ) -> Connection:
        """Open a connection in a team's name; raises OpeningFailed."""


class Store(typing.Protocol):
    """The platform's store; raises :class:`sardinehold.errors.PlatformError`.

    Versions carry the store's era, see :mod:`sardinehold.objects`. A condition or watch
    is given to the store by its revision alone.
    """

    async def list(self, kind: str) -> objects.Changes:
        """Read all objects of a kind."""

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return the changes after a revision, waiting for one if there is none."""

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object."""

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object of that version."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object of that version."""


class Duty(typing.Protocol):
    """Requests promotions from the platform."""

    async def promote(
        self, group: str, endpoint: str, holder: str, token: int, deadline: float
    ) -> None:
        """Request the promotion of an endpoint to primary.

        :param token: fencing token, higher than those of all earlier holders.
        :param deadline: time after which no byte of the request may be on its way.
        :raises sardinehold.errors.PlatformError: no answer came, or a refusal.
        """
