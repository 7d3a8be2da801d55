"""What a node needs of the outside; an adapter implements it.

Deadlines are readings of the node's clock, see :mod:`sardinehold.node.clock`.
"""

import typing

from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import statements


class ConnectionLost(Exception):
    """A connection to an endpoint broke, or gave no answer in time.

    :param was_sent: whether bytes of the statement may have left.
    :param is_timeout: whether the deadline passed, and not the connection broke.
    :param reason: what broke it, for the log.
    """

    def __init__(
        self, was_sent: bool, is_timeout: bool = False, reason: str = ""
    ) -> None:
        """Keep what is known of the statement."""
        kind = "no answer in time" if is_timeout else "the connection broke"
        super().__init__(reason or kind)
        self.was_sent = was_sent
        self.is_timeout = is_timeout


class OpeningFailed(Exception):
    """A connection could not be opened.

    :param failure: what the endpoint answered, None if it gave no answer.
    """

    def __init__(self, failure: statements.Failure | None, detail: str = "") -> None:
        """Keep the endpoint's answer."""
        super().__init__(detail or str(failure))
        self.failure = failure
        self.detail = detail


class LogStatus:
    """What an endpoint says of its log.

    :param is_primary: whether it takes itself for the primary.
    :param term: the newest term that it knows.
    :param received: the end of its log, which a promotion would keep.
    :param paused_term: the term of the pause that holds it, 0 for none.
    :param lag: seconds that it is behind.
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
        """Keep the parts of the status."""
        self.is_primary = is_primary
        self.term = term
        self.received = received
        self.paused_term = paused_term
        self.lag = lag


class Connection(typing.Protocol):
    """An open connection to an endpoint; one statement runs at a time.

    Every call raises :class:`ConnectionLost`; the connection is closed then.
    """

    on_lost: typing.Callable[[], None] | None

    async def run(
        self,
        statement: statements.Statement,
        deadline: float,
        after: positions.Position | None = None,
    ) -> statements.Answer:
        """Pass a caller's statement on.

        :param after: position that the endpoint's log must have.
        """

    async def roll_back(self, deadline: float) -> statements.Answer:
        """End a transaction that nobody asks to be committed."""

    async def reset(self, deadline: float) -> statements.Answer:
        """Drop all variables and prepared statements."""

    async def set_values(
        self, values: dict[str, str], deadline: float
    ) -> list[statements.Answer]:
        """Set variables."""

    async def prepare(
        self, definitions: list[statements.Definition], deadline: float
    ) -> list[statements.Answer]:
        """Prepare statements under their shared names."""

    async def read_status(self, deadline: float) -> LogStatus | None:
        """Ask for the state of the log; None if the endpoint refused."""

    async def pause(self, term: int, deadline: float) -> LogStatus | None:
        """Stop a replica from receiving; None if the endpoint refused."""

    async def resume(self, deadline: float) -> LogStatus | None:
        """End a pause; None if the endpoint refused."""

    async def step_down(self, term: int, deadline: float) -> LogStatus | None:
        """Make a primary of a lower term a replica; None if refused."""

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""


class Connector(typing.Protocol):
    """Opens connections to endpoints."""

    async def open(
        self, record: catalog.EndpointRecord, team: str, deadline: float
    ) -> Connection:
        """Open a connection in a team's name; raises OpeningFailed."""


class Store(typing.Protocol):
    """The platform's store; raises :class:`sardinehold.errors.PlatformError`."""

    async def list(self, kind: str) -> objects.Changes:
        """Read all objects of a kind."""

    async def watch(self, kind: str, revision: int, wait: float) -> objects.Changes:
        """Return what changed after a revision."""

    async def create(self, kind: str, name: str, value: dict) -> objects.StoredObject:
        """Create an object."""

    async def update(
        self, kind: str, name: str, value: dict, version: int
    ) -> objects.StoredObject:
        """Replace an object of that version."""

    async def delete(self, kind: str, name: str, version: int) -> None:
        """Remove an object of that version."""


class Duty(typing.Protocol):
    """Orders changes of primary."""

    async def promote(self, group: str, endpoint: str, holder: str, token: int) -> None:
        """Order an endpoint to become primary.

        :param token: fencing token, used for this order only.
        :raises sardinehold.errors.PlatformError: no answer came, or a refusal.
        """
