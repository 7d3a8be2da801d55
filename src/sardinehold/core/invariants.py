"""Named promises that the program checks while it runs.

A decorator files each check in :data:`REGISTRY`, with the promise of the
system that it stands for. A check is a plain function that returns whether
the promise holds; calling the decorated name counts the call and raises
:class:`sardinehold.errors.InvariantViolation` when it does not.
"""

import functools
import inspect
import typing

from sardinehold import errors


class Invariant:
    """One named check.

    :param promise: the promise of the system, in one sentence.
    :param module: where the check stands.
    :param checked: how often it was checked in this process.
    """

    __slots__ = ("name", "promise", "module", "checked")

    def __init__(self, name: str, promise: str, module: str = "") -> None:
        """Start with nothing checked."""
        self.name = name
        self.promise = promise
        self.module = module
        self.checked = 0


REGISTRY: dict[str, Invariant] = {}
"""All invariants of the program by name."""


def _wrap_one(entry: Invariant, check: typing.Callable) -> typing.Callable:
    def verify(first: object) -> None:
        entry.checked += 1
        if not check(first):
            _fail(entry)

    return verify


def _wrap_two(entry: Invariant, check: typing.Callable) -> typing.Callable:
    def verify(first: object, second: object) -> None:
        entry.checked += 1
        if not check(first, second):
            _fail(entry)

    return verify


def _wrap_many(entry: Invariant, check: typing.Callable) -> typing.Callable:
    def verify(*arguments: object) -> None:
        entry.checked += 1
        if not check(*arguments):
            _fail(entry)

    return verify


_WRAPPERS = {1: _wrap_one, 2: _wrap_two}
"""Wrappers by number of parameters: checks run for each statement."""


def _fail(entry: Invariant) -> None:
    raise errors.InvariantViolation(
        f"Invariant {entry.name} does not hold: {entry.promise}",
        "Report this with the time line of the process.",
    )


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
        entry = Invariant(name, promise, check.__module__)
        REGISTRY[name] = entry

        parameters = len(inspect.signature(check).parameters)
        verify = _WRAPPERS.get(parameters, _wrap_many)(entry, check)
        return functools.wraps(check)(verify)

    return register


def count_checks() -> dict[str, int]:
    """Return how often each invariant was checked."""
    return {name: entry.checked for name, entry in REGISTRY.items()}
