"""Checks settings and documents without starting anything."""

import json
import pathlib

from sardinehold import document
from sardinehold import errors
from sardinehold import faults
from sardinehold import settings
from sardinehold import validation


class CheckResult:
    """What was found in one file.

    :param kind: ``settings`` or ``document``.
    :param error: why it would be refused, None if it would be accepted.
    :param warnings: plausible mistakes.
    """

    __slots__ = ("path", "kind", "error", "warnings")

    def __init__(
        self,
        path: pathlib.Path,
        kind: str,
        error: errors.SardineholdError | None,
        warnings: list[faults.Fault],
    ) -> None:
        """Keep the parts of the verdict."""
        self.path = path
        self.kind = kind
        self.error = error
        self.warnings = warnings


def check_file(path: pathlib.Path) -> CheckResult:
    """Return what is wrong with a settings file (``.ini``) or a document."""
    kind = "settings" if path.suffix == ".ini" else "document"
    try:
        if kind == "settings":
            settings.load_any(path)
            return CheckResult(path, kind, None, [])
        config = load_document(path)
    except errors.SardineholdError as error:
        return CheckResult(path, kind, error, [])
    return CheckResult(path, kind, None, validation.find_warnings(config))


def load_document(path: pathlib.Path) -> document.Document:
    """Read a configuration document from a JSON file.

    :raises sardinehold.errors.DocumentError: naming every fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", "it is not UTF-8")
        raise errors.DocumentError(
            f"{path} cannot be read ({reason}).",
            "Name a document that exists and is readable.",
        ) from error
    return document.parse_document(parse_json(text))


def parse_json(text: str) -> dict:
    """Return the JSON object in ``text``; a name that stands twice is refused.

    :raises sardinehold.errors.DocumentError: it is not JSON.
    """
    try:
        return json.loads(text, object_pairs_hook=_collect_pairs)
    except (json.JSONDecodeError, RecursionError) as error:
        raise errors.DocumentError(
            f"The document is not JSON: {error}.",
            "Correct the text at that place.",
        ) from error


def _collect_pairs(pairs: list[tuple[str, object]]) -> dict[str, object]:
    collected: dict[str, object] = {}
    for name, value in pairs:
        if name in collected:
            raise errors.DocumentError(
                f"The document names {faults.format_value(name)} twice.",
                "Keep one of the two.",
            )
        collected[name] = value
    return collected
