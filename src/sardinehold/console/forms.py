"""Conversion of form and API input into the fields of an edit."""

import typing

from sardinehold import document
from sardinehold.console import edits
from sardinehold.console import route_edits

_TEXT_KINDS = ("text", "choice", "fixed", "lines")


class Input:
    """A form field with its value and choices.

    :param field: definition of the field.
    :param value: value to show.
    :param options: values to choose from.
    """

    __slots__ = ("field", "value", "options")

    def __init__(
        self, field: edits.Field, value: typing.Any, options: list[str]
    ) -> None:
        """Initialise the input."""
        self.field = field
        self.value = value
        self.options = options


def read_fields(edit: edits.Edit, form: dict[str, list[str]]) -> dict:
    """Return the fields of a submitted form.

    An invalid number stays text: validation then reports its path and the remedy.
    """
    return {
        field.name: _CONVERTERS.get(field.kind, _convert_text)(form.get(field.name, []))
        for field in edit.fields
    }


def _convert_text(values: list[str]) -> str:
    return values[0].strip() if values else ""


def _convert_number(values: list[str]) -> int | float | str:
    text = _convert_text(values)
    try:
        number = float(text)
    except ValueError:
        return text
    return int(number) if number.is_integer() and "." not in text else number


def _convert_check(values: list[str]) -> bool:
    return values == ["yes"]


_CONVERTERS: dict[str, typing.Callable[[list[str]], typing.Any]] = {
    "number": _convert_number,
    "whole": _convert_number,
    "check": _convert_check,
    "choices": list,
}


def validate_fields(edit: edits.Edit, given: object) -> dict:
    """Return the fields of an API request.

    :raises EditError: a field is missing, unknown or of the wrong type.
    """
    if not isinstance(given, dict):
        raise edits.EditError("fields is not an object.", _list_fields(edit))
    known = {field.name: field for field in edit.fields}
    for name, value in given.items():
        if name not in known:
            raise edits.EditError(
                f"{edit.name} has no field {name}.", _list_fields(edit)
            )
        _validate_type(known[name], value)
    for field in edit.fields:
        if _is_required(edit, field) and field.name not in given:
            raise edits.EditError(
                f"The field {field.name} is missing.", _list_fields(edit)
            )
    return given


def _is_required(edit: edits.Edit, field: edits.Field) -> bool:
    if field.kind == "fixed" or field.name in (edit.section[:-1], "content"):
        return True
    return edit.name == "group.create" and field.name == "endpoints"


def _validate_type(field: edits.Field, value: object) -> None:
    structured = field.name in ("endpoints", "content") and isinstance(value, dict)
    if field.kind in _TEXT_KINDS and not isinstance(value, str) and not structured:
        raise edits.EditError(
            f"The field {field.name} is not a string.", "Put it in quotation marks."
        )


def _list_fields(edit: edits.Edit) -> str:
    names = ", ".join(field.name for field in edit.fields) or "none"
    return f"Fields of {edit.name}: {names}."


def build_initial_values(
    edit: edits.Edit, config: document.Document, given: dict
) -> dict:
    """Return the values that a form starts with.

    These are the given values, else the current ones, else the fields' defaults.

    :param given: values from the query of the link to the form.
    :raises EditError: the entry to change does not exist.
    """
    part = _find_part(edit, config, given)
    fields = {}
    for field in edit.fields:
        value = given.get(field.name, part.get(field.name, field.initial))
        if field.name == "endpoints" and isinstance(value, dict):
            value = route_edits.format_endpoints(value)
        fields[field.name] = "" if value is None else value
    return fields


def _find_part(edit: edits.Edit, config: document.Document, given: dict) -> dict:
    if edit.name.endswith(".create") or edit.section not in document.Document.__slots__:
        return {}
    name = given.get(edit.section[:-1], "")
    part = getattr(config, edit.section).get(name)
    if part is None:
        raise edits.EditError(
            f"There is no {edit.section[:-1]} {name}.", "Go back to the list."
        )
    return document.dump_document(config)[edit.section][name]


def build_inputs(
    edit: edits.Edit, config: document.Document | None, values: dict
) -> list[Input]:
    """Return the inputs of a form with their values and choices."""
    return [
        Input(field, values.get(field.name, ""), _list_options(field, config))
        for field in edit.fields
    ]


def _list_options(field: edits.Field, config: document.Document | None) -> list[str]:
    if not isinstance(field.options, str):
        return list(field.options)
    section = field.options.removesuffix("?")
    names = sorted(getattr(config, section)) if config is not None else []
    return ["", *names] if field.options.endswith("?") else names
