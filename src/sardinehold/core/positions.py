"""Log positions, each within a term."""

import typing


class Position(typing.NamedTuple):
    """A position in the log of a group.

    Positions of different terms can be compared only through the history of
    the group: see :meth:`sardinehold.core.view.GroupState.translate`.
    """

    term: int
    offset: int


START = Position(0, 0)
"""The start of the log, which every endpoint has reached."""
