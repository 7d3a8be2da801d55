"""Faults of settings and documents: where, what, and how to mend it."""

import difflib
import json

SHOWN_LENGTH = 60
"""Characters of a faulty value that are shown."""


class Fault:
    """One fault, or one warning about a plausible mistake.

    :param path: where it is, such as ``teams.desk.rate`` or ``[vm] name``.
    :param problem: what is wrong, as a clause without a full stop.
    :param remedy: what to do about it, in one sentence.
    :param value: the faulty value as shown to the reader, ``""`` for none.
    """

    __slots__ = ("path", "problem", "remedy", "value")

    def __init__(self, path: str, problem: str, remedy: str, value: str = "") -> None:
        """Keep the parts of the fault."""
        self.path = path
        self.problem = problem
        self.remedy = remedy
        self.value = value

    def format(self) -> str:
        """Return the line that an operator reads."""
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
    """Return a short JSON text of ``value``."""
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) > SHOWN_LENGTH:
        return text[: SHOWN_LENGTH - 1] + "…"
    return text


def format_faults(faults: list[Fault]) -> str:
    """Return all faults in one text: one line, or one indented line each."""
    if len(faults) == 1:
        return faults[0].format()
    lines = [f"{len(faults)} faults."]
    lines.extend(f"  {fault.format()}" for fault in faults)
    return "\n".join(lines)


def suggest_name(name: str, known: list[str]) -> str:
    """Return a sentence that names the closest known name, or all of them."""
    close = difflib.get_close_matches(name, known, n=1)
    if close:
        return f"Did you mean {close[0]}?"
    return f"Known names: {', '.join(sorted(known)) or 'none'}."
