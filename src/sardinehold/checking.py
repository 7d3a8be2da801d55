"""Validation of settings and document files for the ``check`` command."""

import json
import pathlib

from sardinehold import document
from sardinehold import errors
from sardinehold import faults
from sardinehold import settings
from sardinehold import validation


class CheckResult:
    """The result of validating one file.

    :param kind: ``settings`` or ``document``.
    :param error: the error that loading the file raises, None if it is valid.
    :param warnings: probable mistakes in a valid document.
    """

    __slots__ = ("path", "kind", "error", "warnings")

    def __init__(
        self,
        path: pathlib.Path,
        kind: str,
        error: errors.SardineholdError | None,
        warnings: list[faults.Fault],
    ) -> None:
        """Store the fields of the result."""
        self.path = path
        self.kind = kind
        self.error = error
        self.warnings = warnings


def check_file(path: pathlib.Path) -> CheckResult:
    """Validate a settings file (``.ini``) or a document and return the result."""
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
    """Read a configuration document from a JSON file and validate it.

    :raises sardinehold.errors.DocumentError: the file is not readable or the
        document is not valid; the message lists every fault.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", "it is not UTF-8")
        raise errors.DocumentError(
            f"{path} cannot be read ({reason}).",
            "Give the path of a document that exists and is readable.",
        ) from error
    return document.parse_document(parse_json(text))


def parse_json(text: str) -> dict:
    """Return the JSON object in ``text``.

    :raises sardinehold.errors.DocumentError: it is not JSON, or an object in it has
        a duplicate name.
    """
    try:
        return json.loads(text, object_pairs_hook=_collect_pairs)
    except (json.JSONDecodeError, RecursionError) as error:
        raise errors.DocumentError(
            f"The document is not JSON: {error}.",
            "Correct the text at that position.",
        ) from error


def _collect_pairs(pairs: list[tuple[str, object]]) -> dict[str, object]:
    collected: dict[str, object] = {}
    for name, value in pairs:
        if name in collected:
            raise errors.DocumentError(
                f"An object has the name {faults.format_value(name)} twice.",
                "Remove one of the two.",
            )
        collected[name] = value
    return collected
