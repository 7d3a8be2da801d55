"""Runtime checks of the system's guarantees.

A decorator registers each check in :data:`REGISTRY` together with the
guarantee that it covers. A check is a plain function that returns whether the
invariant holds; calling the decorated name counts the call and raises
:class:`sardinehold.errors.InvariantViolation` when it does not hold.
"""

import functools
import inspect
import typing

from sardinehold import errors


class Suite:
    """Invariants that are always checked together.

    The caller runs the plain functions, increments ``checked`` once, and
    calls the invariants themselves only when one does not hold.

    :param checked: how often the suite was checked in this process.
    """

    __slots__ = ("checked",)

    def __init__(self, *names: str) -> None:
        """Create a suite of the invariants of these names."""
        self.checked = 0
        for name in names:
            REGISTRY[name].suites.append(self)


class Invariant:
    """One named check.

    :param guarantee: the guarantee that it covers, in one sentence.
    :param module: name of the module that defines the check.
    :param checked_alone: checks outside of suites in this process.
    :param suites: the suites that include it.
    """

    __slots__ = ("name", "guarantee", "module", "checked_alone", "suites")

    def __init__(self, name: str, guarantee: str, module: str = "") -> None:
        """Start without any checks counted."""
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
"""Wrappers by number of parameters, for speed: checks run for each statement."""


def _fail(entry: Invariant) -> None:
    raise errors.InvariantViolation(
        f"Invariant {entry.name} does not hold: {entry.guarantee}",
        "Report this with the timeline of the process.",
    )


def invariant(
    guarantee: str,
) -> typing.Callable[[typing.Callable[..., bool]], typing.Callable[..., None]]:
    """Register the decorated check under its function name.

    :param guarantee: the guarantee that it covers.
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
