"""Registry of the functions that handle the engine's events."""

import typing

Handler = typing.Callable[[typing.Any, typing.Any], None]

REGISTRY: dict[type, Handler] = {}
"""Handlers by event type, registered with :func:`handles`."""


def handles(event_type: type) -> typing.Callable[[Handler], Handler]:
    """Register the decorated function as the handler of ``event_type``.

    :raises ValueError: there already is a handler for this type.
    """

    def register(handler: Handler) -> Handler:
        if event_type in REGISTRY:
            raise ValueError(f"There are two handlers for {event_type.__name__}.")
        REGISTRY[event_type] = handler
        return handler

    return register
