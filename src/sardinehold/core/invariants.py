"""Named promises that the program checks while it runs.

A decorator files each check in :data:`REGISTRY`, with the promise of the
system that it stands for. A check is a plain function that returns whether
the promise holds; calling the decorated name counts the call and raises
:class:`sardinehold.errors.InvariantViolation` when it does not.
"""

import functools
import typing

from sardinehold import errors


class Invariant:
    """One named check.

    :param promise: the promise of the system, in one sentence.
    :param checked: how often it was checked in this process.
    """

    __slots__ = ("name", "promise", "checked")

    def __init__(self, name: str, promise: str) -> None:
        """Start with nothing checked."""
        self.name = name
        self.promise = promise
        self.checked = 0


REGISTRY: dict[str, Invariant] = {}
"""All invariants of the program by name."""


def invariant(
    promise: str,
) -> typing.Callable[[typing.Callable[..., bool]], typing.Callable[..., None]]:
    """File the decorated check under its own name.

    :param promise: the promise that it stands for.
    """

    def register(check: typing.Callable[..., bool]) -> typing.Callable[..., None]:
        name = check.__name__
        if name in REGISTRY:
            raise ValueError(f"Two invariants are named {name}.")
        entry = Invariant(name, promise)
        REGISTRY[name] = entry

        @functools.wraps(check)
        def verify(*arguments: object) -> None:
            entry.checked += 1
            if not check(*arguments):
                raise errors.InvariantViolation(
                    f"Invariant {name} does not hold: {promise}",
                    "Report this with the time line of the process.",
                )

        return verify

    return register


def count_checks() -> dict[str, int]:
    """Return how often each invariant was checked."""
    return {name: entry.checked for name, entry in REGISTRY.items()}
