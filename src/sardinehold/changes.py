"""Differences between two versions of the configuration document."""

import typing

from sardinehold import document
from sardinehold import faults

VERSION_FIELDS = ("version", "author", "reason", "change_id", "written_at")
"""Fields that differ in every version and are not compared."""

_MISSING = object()


class Change:
    """One value that differs between two versions.

    :param path: path of the value, such as ``teams.desk.rate``; a key is identified
        by its prefix.
    :param before: the old value as short text, ``""`` if it was added.
    :param after: the new value as short text, ``""`` if it was removed.
    """

    __slots__ = ("path", "before", "after")

    def __init__(self, path: str, before: str, after: str) -> None:
        """Store the fields of the change."""
        self.path = path
        self.before = before
        self.after = after

    def format(self) -> str:
        """Return the change as one line for an operator."""
        if not self.before:
            return f"{self.path}: added as {self.after}"
        if not self.after:
            return f"{self.path}: removed, was {self.before}"
        return f"{self.path}: {self.before} → {self.after}"

    def dump(self) -> dict[str, str]:
        """Return the change as a JSON object."""
        return {"path": self.path, "before": self.before, "after": self.after}


def compare_documents(
    before: document.Document | None, after: document.Document
) -> list[Change]:
    """Return all differing values by path; ``before`` is None for the first version."""
    old = _flatten_document(before) if before is not None else {}
    new = _flatten_document(after)
    changes = []
    for path in sorted(old.keys() | new.keys()):
        left = old.get(path, _MISSING)
        right = new.get(path, _MISSING)
        if left != right:
            changes.append(
                Change(path, _format_value(path, left), _format_value(path, right))
            )
    return changes


def _flatten_document(config: document.Document) -> dict[str, typing.Any]:
    value = document.dump_document(config)
    content = {name: part for name, part in value.items() if name not in VERSION_FIELDS}
    flat: dict[str, typing.Any] = {}
    for name, part in content.items():
        _flatten(name, part, flat)
    return flat


def _flatten(path: str, value: typing.Any, flat: dict[str, typing.Any]) -> None:
    if isinstance(value, list) and value and isinstance(value[0], dict):
        value = {key["prefix"]: key for key in value}
    is_empty = value == {} or (value == [] and path.endswith(".keys"))
    if is_empty or path.endswith(".changed_in"):
        # Empty containers and changed_in differ only together with another value, which
        # is reported.
        return
    if not isinstance(value, dict):
        flat[path] = value
        return
    for name, part in value.items():
        _flatten(f"{path}.{name}", part, flat)


def _format_value(path: str, value: typing.Any) -> str:
    if value is _MISSING:
        return ""
    if path.endswith((".digest", ".salt")):
        return "(hidden)"
    return faults.format_value(value)


def find_reinstated_keys(
    before: document.Document, after: document.Document
) -> list[faults.Fault]:
    """Return a fault for each withdrawn key that is valid again in ``after``."""
    withdrawn_prefixes = {key.prefix for _, key in list_keys(before) if key.withdrawn}
    return [
        faults.Fault(
            path,
            f"was withdrawn with prefix {key.prefix} and cannot be reinstated",
            "Create a new key instead.",
        )
        for path, key in list_keys(after)
        if key.prefix in withdrawn_prefixes and not key.withdrawn
    ]


def list_keys(config: document.Document) -> list[tuple[str, document.Key]]:
    """Return all keys of teams and operators with their paths."""
    listed = [
        (f"teams.{name}.keys.{index}", key)
        for name, team in config.teams.items()
        for index, key in enumerate(team.keys)
    ]
    listed.extend(
        (f"operators.{name}.key", operator.key)
        for name, operator in config.operators.items()
    )
    return listed
