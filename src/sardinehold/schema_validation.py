"""Validation of a JSON value against the document's schema, with readable errors."""

import functools
import re
import typing

import jsonschema
from jsonschema import validators

from sardinehold import faults
from sardinehold import schema


def find_faults(value: object) -> list[faults.Fault]:
    """Return all violations of the schema in ``value``, sorted by path."""
    found = [
        fault
        for error in _build_validator().iter_errors(value)
        for fault in _explain_error(error)
    ]
    return sorted(found, key=lambda fault: fault.path)


@functools.cache
def _build_validator() -> validators.Draft202012Validator:
    def is_integer(_checker: object, value: object) -> bool:
        # JSON Schema accepts 3.0 as an integer, but the reader of the field does not.
        return isinstance(value, int) and not isinstance(value, bool)

    def is_number(_checker: object, value: object) -> bool:
        # Python's JSON reader accepts NaN and Infinity.
        finite = isinstance(value, int | float) and value - value == 0
        return finite and not isinstance(value, bool)

    base = validators.Draft202012Validator
    checker = base.TYPE_CHECKER.redefine_many(
        {"integer": is_integer, "number": is_number}
    )
    strict = validators.extend(base, {"pattern": _check_pattern}, type_checker=checker)
    return strict(schema.build_schema())


def _check_pattern(
    _validator: object, pattern: str, value: object, _schema: dict
) -> typing.Iterator[jsonschema.ValidationError]:
    # In Python's re, unlike in ECMA 262, $ also matches before a final line feed.
    if isinstance(value, str) and (
        value.endswith("\n") or not re.search(pattern, value)
    ):
        yield jsonschema.ValidationError(f"{value!r} does not match {pattern!r}")


def _explain_error(error: jsonschema.ValidationError) -> list[faults.Fault]:
    path = ".".join(str(part) for part in error.absolute_path) or "document"
    if error.validator == "required":
        return _explain_required(path, error)
    if error.validator == "additionalProperties":
        return _explain_unknown(path, error)
    explain = _EXPLANATIONS.get(error.validator, _explain_other)
    problem, remedy = explain(error)
    shown = "" if _is_secret(path) else faults.format_value(error.instance)
    return [faults.Fault(path, problem, remedy, shown)]


def _is_secret(path: str) -> bool:
    return bool(re.search(r"\bkeys?\b", path))


def _explain_required(
    path: str, error: jsonschema.ValidationError
) -> list[faults.Fault]:
    # jsonschema reports each missing field as a separate error.
    missing = error.message.split("'")[1]
    inside = f"{path}.{missing}" if path != "document" else missing
    doc = error.schema["properties"][missing].get("description", "")
    hint = f"Add it: {doc}." if doc else "Add it."
    return [faults.Fault(inside, "is missing", hint.replace("..", "."))]


def _explain_unknown(
    path: str, error: jsonschema.ValidationError
) -> list[faults.Fault]:
    known = list(error.schema["properties"])
    prefix = "" if path == "document" else f"{path}."
    return [
        faults.Fault(
            f"{prefix}{name}",
            "is not a known field here",
            f"Remove or rename it. {faults.suggest_name(name, known)}",
        )
        for name in error.instance
        if name not in known
    ]


_Explanation = typing.Callable[[jsonschema.ValidationError], tuple[str, str]]
_EXPLANATIONS: dict[str, _Explanation] = {}


def _explains(*keywords: str) -> typing.Callable[[_Explanation], _Explanation]:
    def register(function: _Explanation) -> _Explanation:
        for keyword in keywords:
            _EXPLANATIONS[keyword] = function
        return function

    return register


@_explains("type")
def _explain_type(error: jsonschema.ValidationError) -> tuple[str, str]:
    expected = error.validator_value
    names = expected if isinstance(expected, list) else [expected]
    return "has the wrong type", f"Give {_join_types(names)}."


def _join_types(names: list[str]) -> str:
    words = {
        "string": "a string",
        "integer": "an integer",
        "number": "a number",
        "boolean": "true or false",
        "object": "an object",
        "array": "a list",
        "null": "null",
    }
    return " or ".join(words[name] for name in names)


@_explains("minimum", "exclusiveMinimum", "maximum", "exclusiveMaximum")
def _explain_bound(error: jsonschema.ValidationError) -> tuple[str, str]:
    low = error.schema.get("minimum", error.schema.get("exclusiveMinimum"))
    above = "above" if "exclusiveMinimum" in error.schema else "from"
    high = error.schema.get("maximum")
    up_to = f" up to {high}" if high is not None else " upwards"
    return "is out of range", f"Give a number {above} {low}{up_to}."


@_explains("enum")
def _explain_enum(error: jsonschema.ValidationError) -> tuple[str, str]:
    return "is not one of the choices", f"Choose {' or '.join(error.validator_value)}."


@_explains("pattern", "minLength", "maxLength")
def _explain_text(error: jsonschema.ValidationError) -> tuple[str, str]:
    if error.schema.get("pattern") == schema.NAME_PATTERN:
        return (
            "is not a valid name",
            "Use 1 to 63 lowercase letters, digits, dots, hyphens or underscores,"
            " starting with a letter or digit.",
        )
    wanted = f"Give a string that matches {error.schema.get('pattern', '.*')}"
    longest = error.schema.get("maxLength")
    limit = f" of at most {longest} characters" if longest else ""
    return "is not a valid string", f"{wanted}{limit}."


@_explains("uniqueItems")
def _explain_repeat(_error: jsonschema.ValidationError) -> tuple[str, str]:
    return "contains duplicates", "List each item once."


@_explains("minProperties")
def _explain_empty(_error: jsonschema.ValidationError) -> tuple[str, str]:
    return "is empty", "Add at least one."


def _explain_other(error: jsonschema.ValidationError) -> tuple[str, str]:
    return error.message, "See docs/schema.json for what is accepted here."
