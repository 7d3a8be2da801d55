"""The functions that handle the engine's events, by type of event."""

import typing

Handler = typing.Callable[[typing.Any, typing.Any], None]

REGISTRY: dict[type, Handler] = {}
"""Handlers by type of event, filled by :func:`handles`."""


def handles(event_type: type) -> typing.Callable[[Handler], Handler]:
    """File the decorated function as the handler of ``event_type``."""

    def register(handler: Handler) -> Handler:
        if event_type in REGISTRY:
            raise ValueError(f"Two handlers take {event_type.__name__}.")
        REGISTRY[event_type] = handler
        return handler

    return register
