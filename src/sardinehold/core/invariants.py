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


class Suite:
    """Invariants that are always checked together.

    Whoever checks them calls the plain functions, raises ``checked`` once,
    and calls the invariants themselves only when one does not hold.

    :param checked: how often the suite was checked in this process.
    """

    __slots__ = ("checked",)

    def __init__(self, *names: str) -> None:
        """Join the invariants of these names."""
        self.checked = 0
        for name in names:
            REGISTRY[name].suites.append(self)


class Invariant:
    """One named check.

    :param guarantee: the promise of the system, in one sentence.
    :param module: where the check stands.
    :param checked_alone: how often it was checked alone in this process.
    :param suites: the suites that check it as well.
    """

    __slots__ = ("name", "guarantee", "module", "checked_alone", "suites")

    def __init__(self, name: str, guarantee: str, module: str = "") -> None:
        """Start with nothing checked."""
        self.name = name
        self.guarantee = guarantee
        self.module = module
        self.checked_alone = 0
        self.suites: list[Suite] = []

    @property
    def checked(self) -> int:
        """Return how often it was checked, alone or in a suite."""
        return self.checked_alone + sum(suite.checked for suite in self.suites)


REGISTRY: dict[str, Invariant] = {}
"""All invariants of the program by name."""


def _wrap_one(entry: Invariant, check: typing.Callable) -> typing.Callable:
    def verify(first: object) -> None:
        entry.checked_alone += 1
        if not check(first):
            _fail(entry)

    return verify


def _wrap_two(entry: Invariant, check: typing.Callable) -> typing.Callable:
    def verify(first: object, second: object) -> None:
        entry.checked_alone += 1
        if not check(first, second):
            _fail(entry)

    return verify


def _wrap_many(entry: Invariant, check: typing.Callable) -> typing.Callable:
    def verify(*arguments: object) -> None:
        entry.checked_alone += 1
        if not check(*arguments):
            _fail(entry)

    return verify


_WRAPPERS = {1: _wrap_one, 2: _wrap_two}
"""Wrappers by number of parameters: checks run for each statement."""


def _fail(entry: Invariant) -> None:
    raise errors.InvariantViolation(
        f"Invariant {entry.name} does not hold: {entry.guarantee}",
        "Report this with the time line of the process.",
    )


def invariant(
    guarantee: str,
) -> typing.Callable[[typing.Callable[..., bool]], typing.Callable[..., None]]:
    """File the decorated check under its own name.

    :param guarantee: the promise that it stands for.
    """

    def register(check: typing.Callable[..., bool]) -> typing.Callable[..., None]:
        name = check.__name__
        if name in REGISTRY:
            raise ValueError(f"Two invariants are named {name}.")
        entry = Invariant(name, guarantee, check.__module__)
        REGISTRY[name] = entry

        parameters = len(inspect.signature(check).parameters)
        verify = _WRAPPERS.get(parameters, _wrap_many)(entry, check)
        return functools.wraps(check)(verify)

    return register


def count_checks() -> dict[str, int]:
    """Return how often each invariant was checked."""
    return {name: entry.checked for name, entry in REGISTRY.items()}
