"""State charts loaded from TOML files.

A file names the initial state and, for each state, the events that it accepts
and the target state of each.
"""

import functools
import importlib.resources
import tomllib

from sardinehold import errors


class Chart:
    """One state chart.

    :param name: the file's name without its suffix.
    :param initial: the state of a new object.
    :param final: states without transitions.
    :param transitions: the next state by (state, event).

    .. versionadded:: 0.1
    """

    __slots__ = ("name", "initial", "final", "transitions")

    def __init__(
        self,
        name: str,
        initial: str,
        final: frozenset[str],
        transitions: dict[tuple[str, str], str],
    ) -> None:
        """Store the fields of the chart."""
        self.name = name
        self.initial = initial
        self.final = final
        self.transitions = transitions

    def follow(self, state: str, event: str) -> str:
        """Return the state after ``event``.

        :raises errors.InvariantViolation: the chart has no such transition.
        """
        target = self.transitions.get((state, event))
        if target is None:
            raise errors.InvariantViolation(
                f"Chart {self.name} has no transition from {state} on {event}.",
                "Report this with the timeline of the process.",
            )
        return target

    def allows(self, state: str, event: str) -> bool:
        """Return whether ``state`` has a transition on ``event``."""
        return (state, event) in self.transitions


@functools.cache
def load_chart(name: str) -> Chart:
    """Read the chart ``name`` from the package's ``charts`` folder."""
    folder = importlib.resources.files("sardinehold.core") / "charts"
    data = tomllib.loads((folder / f"{name}.toml").read_text(encoding="utf-8"))
    transitions = {
        (state, event): target
        for state, targets in data["states"].items()
        for event, target in targets.items()
    }
    final = frozenset(state for state, targets in data["states"].items() if not targets)
    return Chart(name, data["initial"], final, transitions)
