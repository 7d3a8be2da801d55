"""Registry of the handlers of the engine's actions."""

import typing

from sardinehold.core import actions

if typing.TYPE_CHECKING:
    from sardinehold import datapath

Handler = typing.Callable[["datapath.DataPath", typing.Any], None]

REGISTRY: dict[type[actions.Action], Handler] = {}
"""Handlers by type of action, filled by :func:`handles`."""


def handles(
    *kinds: type[actions.Action],
) -> typing.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of some types of actions."""

    def register(function: Handler) -> Handler:
        for kind in kinds:
            REGISTRY[kind] = function
        return function

    return register
