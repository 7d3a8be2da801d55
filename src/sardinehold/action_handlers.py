"""The registry of what carries out each kind of action."""

import typing

from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath

Performer = typing.Callable[["datapath.DataPath", typing.Any], None]

REGISTRY: dict[type[actions.Action], Performer] = {}
"""Performers by kind of action, filled by :func:`performs`."""


def performs(
    *kinds: type[actions.Action],
) -> typing.Callable[[Performer], Performer]:
    """Register the function that carries out some kinds of actions."""

    def register(function: Performer) -> Performer:
        for kind in kinds:
            REGISTRY[kind] = function
        return function

    return register
