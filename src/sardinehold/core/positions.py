"""Log positions, and the terms that they belong to."""

import typing


class Position(typing.NamedTuple):
    """A place in the log of a group.

    Positions of different terms compare only through the history of the
    group: see :meth:`sardinehold.core.view.GroupState.translate`.
    """

    term: int
    offset: int


START = Position(0, 0)
"""A position that every endpoint has."""
