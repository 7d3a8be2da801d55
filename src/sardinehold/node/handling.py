"""The handling of one statement, from its arrival to its end.

A statement ends with its answer, or when its caller leaves. What an endpoint has
already received may run to its end; nothing else of it is sent afterwards.
"""

import typing

from sardinehold.node import outcomes
from sardinehold.node import statements

Withdraw = typing.Callable[[], None]


class Handling:
    """One statement that a node handles for a caller.

    :param received_at: when it may have reached this node; its deadline counts from
        then.
    :param values: the session's variables when the statement arrived.
    :param trace: how it was executed.
    :param is_ended: whether nothing of it may be sent any more.
    """

    __slots__ = ("received_at", "values", "trace", "is_ended", "_withdrawals")

    def __init__(
        self, received_at: float, values: dict[str, str], trace: outcomes.Trace
    ) -> None:
        """Begin to handle a statement."""
        self.received_at = received_at
        self.values = values
        self.trace = trace
        self.is_ended = False
        self._withdrawals: list[Withdraw] = []

    def check(self) -> None:
        """Check that the statement has not ended.

        :raises sardinehold.node.outcomes.StatementFailed: it has.
        """
        if self.is_ended:
            raise make_failure()

    def add(self, withdraw: Withdraw) -> None:
        """Add a function that ends a wait of the statement, called if it ends."""
        self._withdrawals.append(withdraw)

    def remove(self, withdraw: Withdraw) -> None:
        """Remove a function; its wait is over."""
        self._withdrawals.remove(withdraw)

    def end(self) -> None:
        """End the statement, and withdraw what of it still waits."""
        self.is_ended = True
        for withdraw in list(self._withdrawals):
            withdraw()


def make_failure() -> outcomes.StatementFailed:
    """Return the failure of what was withdrawn; nobody waits for its answer."""
    return outcomes.StatementFailed(
        statements.Failure.ABORTED, "the statement ended before this was sent"
    )
