"""The registry of what carries out each kind of action."""

import typing

from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath

Handler = typing.Callable[["datapath.DataPath", typing.Any], None]

REGISTRY: dict[type[actions.Action], Handler] = {}
"""Performers by kind of action, filled by :func:`handles`."""


def handles(
    *kinds: type[actions.Action],
) -> typing.Callable[[Handler], Handler]:
    """Register the function that carries out some kinds of actions."""

    def register(function: Handler) -> Handler:
        for kind in kinds:
            REGISTRY[kind] = function
        return function

    return register
