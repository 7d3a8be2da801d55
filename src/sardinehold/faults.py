"""Faults found by the validation of settings and documents."""

import difflib
import json

SHOWN_LENGTH = 60
"""Maximum number of characters of an invalid value in a message."""


class Fault:
    """A validation error, or a warning about a probable mistake.

    :param path: path of the value, such as ``teams.desk.rate`` or ``[vm] name``.
    :param problem: the error, as a clause without a full stop.
    :param remedy: how to correct it, in one sentence.
    :param value: the invalid value in readable form, ``""`` to omit it.
    """

    __slots__ = ("path", "problem", "remedy", "value")

    def __init__(self, path: str, problem: str, remedy: str, value: str = "") -> None:
        """Store the fields of the fault."""
        self.path = path
        self.problem = problem
        self.remedy = remedy
        self.value = value

    def format(self) -> str:
        """Return the fault as one line for an operator."""
        shown = f" (found {self.value})" if self.value else ""
        return f"{self.path}: {self.problem}{shown}. {self.remedy}"

    def dump(self) -> dict[str, str]:
        """Return the fault as a JSON object."""
        return {
            "path": self.path,
            "problem": self.problem,
            "remedy": self.remedy,
            "value": self.value,
        }


def format_value(value: object) -> str:
    """Return ``value`` as JSON, truncated to :data:`SHOWN_LENGTH` characters."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) > SHOWN_LENGTH:
        return text[: SHOWN_LENGTH - 1] + "…"
    return text


def format_faults(faults: list[Fault]) -> str:
    """Return one fault as a line, several as a count and an indented line each."""
    if len(faults) == 1:
        return faults[0].format()
    lines = [f"{len(faults)} faults."]
    lines.extend(f"  {fault.format()}" for fault in faults)
    return "\n".join(lines)


def suggest_name(name: str, known: list[str]) -> str:
    """Return a sentence that suggests the most similar known name, or lists all."""
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"Did you mean {close[0]}?"
    return f"Known names: {', '.join(sorted(known)) or 'none'}."
