"""Edits of the document, one for each form and API operation.

An edit changes the JSON value of the document. It copies the operator's input
unchecked: the document is validated as a whole afterwards, and the faults give
the paths.
"""

import typing

from sardinehold import document
from sardinehold import errors
from sardinehold import keys


class EditError(errors.DocumentError):
    """An edit cannot be applied.

    Its target is missing or exists already, or a field is invalid.
    """

    code = "SH104"


class Draft:
    """A document that an edit changes.

    :param value: JSON value of the document, changed in place.
    :param secret: text of a generated key, shown once; ``""`` for none.
    """

    __slots__ = ("value", "secret")

    def __init__(self, value: dict) -> None:
        """Initialise the draft with the current document."""
        self.value = value
        self.secret = ""

    @property
    def next_version(self) -> int:
        """Version number that this draft gets when it is stored."""
        return self.value.get("version", 0) + 1

    def find(self, section: str, name: str) -> dict:
        """Return the entry ``name`` of a section.

        :raises EditError: the entry does not exist.
        """
        part = self.value[section].get(name)
        if part is None:
            raise EditError(
                f"There is no {section[:-1]} {name}.",
                "Go back to the list; it may have been removed.",
            )
        return part

    def add(self, section: str, name: str, part: dict) -> None:
        """Add an entry to a section.

        :raises EditError: the name is in use.
        """
        if name in self.value[section]:
            raise EditError(
                f"The {section[:-1]} {name} already exists.",
                "Choose another name, or change the existing one.",
            )
        self.value[section][name] = part

    def remove(self, section: str, name: str) -> None:
        """Remove an entry from a section.

        :raises EditError: the entry does not exist.
        """
        self.find(section, name)
        del self.value[section][name]

    def generate_key(self) -> dict:
        """Return the record of a new key and keep its text in ``secret``."""
        generated = keys.generate_key()
        self.secret = generated.text
        generated.record.changed_in = self.next_version
        return document.dump_part(generated.record)


class Field:
    """One field of a form.

    :param kind: ``text``, ``number``, ``whole``, ``choice``, ``choices``,
        ``check``, ``lines`` or ``fixed``.
    :param options: section whose names are the choices, or a tuple of choices; a
        section with ``?`` at its end also offers an empty choice.
    :param initial: default value in a new form.
    """

    __slots__ = ("name", "label", "hint", "kind", "options", "initial")

    def __init__(
        self,
        name: str,
        label: str,
        hint: str = "",
        kind: str = "text",
        options: str | tuple[str, ...] = (),
        initial: typing.Any = "",
    ) -> None:
        """Initialise the field."""
        self.name = name
        self.label = label
        self.hint = hint
        self.kind = kind
        self.options = options
        self.initial = initial


_Apply = typing.Callable[[Draft, dict], None]


class Edit:
    """An operation that changes the document.

    :param name: name in the API, such as ``team.create``.
    :param title: heading of the form.
    :param fields: fields of the form, in order.
    :param page: path to redirect to afterwards, a format string over the fields.
    :param apply: function that changes the draft.
    """

    __slots__ = ("name", "title", "fields", "page", "apply")

    def __init__(
        self,
        name: str,
        title: str,
        fields: tuple[Field, ...],
        page: str,
        apply: _Apply,
    ) -> None:
        """Initialise the edit."""
        self.name = name
        self.title = title
        self.fields = fields
        self.page = page
        self.apply = apply

    @property
    def help(self) -> str:
        """Description for the form, from the docstring of ``apply``."""
        return " ".join((self.apply.__doc__ or "").split())

    @property
    def section(self) -> str:
        """Section of the document that the edit changes."""
        return self.name.partition(".")[0] + "s"

    @property
    def is_destructive(self) -> bool:
        """Whether the edit removes, withdraws or overwrites something."""
        return self.name.endswith((".remove", ".withdraw", ".restore"))


EDITS: dict[str, Edit] = {}
"""All edits by name, filled by :func:`edit`."""


def edit(
    name: str, title: str, page: str, *fields: Field
) -> typing.Callable[[_Apply], _Apply]:
    """Register the decorated function as the edit ``name``."""

    def register(apply: _Apply) -> _Apply:
        EDITS[name] = Edit(name, title, fields, page, apply)
        return apply

    return register


def find_edit(name: str) -> Edit:
    """Return the edit ``name``.

    :raises EditError: there is no such edit.
    """
    if name not in EDITS:
        raise EditError(
            f"There is no edit {name}.", f"Known edits: {', '.join(sorted(EDITS))}."
        )
    return EDITS[name]


def make_fixed_field(name: str, label: str) -> Field:
    """Return a read-only field that identifies the target of an edit."""
    return Field(name, label, kind="fixed")


def make_name_field(label: str, name: str) -> Field:
    """Return a field for the name of a new entry."""
    return Field(name, label, "Lower-case letters, digits, dots, hyphens.", "text")


def select_fields(given: dict, allowed: tuple[Field, ...]) -> dict:
    """Return the given values that belong to ``allowed`` fields."""
    return {item.name: given[item.name] for item in allowed if item.name in given}
