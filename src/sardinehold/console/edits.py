"""What operators can change, one edit for each form and API call.

An edit works on the JSON value of the document. It copies what the operator
gave without judging it: the document as a whole is validated afterwards, and
the faults name the paths.
"""

import typing

from sardinehold import document
from sardinehold import errors
from sardinehold import keys


class EditError(errors.DocumentError):
    """What an edit should change does not exist, or exists already."""

    code = "SH104"


class Draft:
    """A document in the making.

    :param value: the JSON value, changed in place.
    :param secret: key text to show once, ``""`` for none.
    """

    __slots__ = ("value", "secret")

    def __init__(self, value: dict) -> None:
        """Start with the document as it stands."""
        self.value = value
        self.secret = ""

    @property
    def next_version(self) -> int:
        """The version that this draft becomes."""
        return self.value.get("version", 0) + 1

    def find(self, section: str, name: str) -> dict:
        """Return the part ``name`` of a section.

        :raises EditError: there is none.
        """
        part = self.value[section].get(name)
        if part is None:
            raise EditError(
                f"There is no {section[:-1]} {name}.",
                "Go back to the list; somebody may have removed it.",
            )
        return part

    def add(self, section: str, name: str, part: dict) -> None:
        """Add a part to a section.

        :raises EditError: the name is taken.
        """
        if name in self.value[section]:
            raise EditError(
                f"There is a {section[:-1]} {name} already.",
                "Choose another name, or change the one that exists.",
            )
        self.value[section][name] = part

    def remove(self, section: str, name: str) -> None:
        """Remove a part from a section."""
        self.find(section, name)
        del self.value[section][name]

    def generate_key(self) -> dict:
        """Return the record of a new key, whose text is shown once."""
        generated = keys.generate_key()
        self.secret = generated.text
        generated.record.changed_in = self.next_version
        return document.dump_part(generated.record)


class Field:
    """One field of a form.

    :param kind: ``text``, ``number``, ``whole``, ``choice``, ``choices``,
        ``check``, ``lines`` or ``fixed``.
    :param options: section whose names are offered, or a tuple of choices.
    :param initial: value in an empty form.
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
        """Keep the parts of the field."""
        self.name = name
        self.label = label
        self.hint = hint
        self.kind = kind
        self.options = options
        self.initial = initial


_Apply = typing.Callable[[Draft, dict], None]


class Edit:
    """One thing that operators can do to the document.

    :param name: as in the API, such as ``team.create``.
    :param title: heading of the form.
    :param fields: of the form, in order.
    :param page: where to go afterwards; braces are filled from the fields.
    :param apply: changes the draft.
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
        """Keep the parts of the edit."""
        self.name = name
        self.title = title
        self.fields = fields
        self.page = page
        self.apply = apply

    @property
    def help(self) -> str:
        """What it does, for the form."""
        return " ".join((self.apply.__doc__ or "").split())

    @property
    def section(self) -> str:
        """Section of the document that it works on."""
        return self.name.partition(".")[0] + "s"

    @property
    def is_destructive(self) -> bool:
        """Whether it takes something away."""
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
    """Return an edit.

    :raises EditError: there is none of that name.
    """
    if name not in EDITS:
        raise EditError(
            f"There is no edit {name}.", f"Known edits: {', '.join(sorted(EDITS))}."
        )
    return EDITS[name]


def make_fixed_field(name: str, label: str) -> Field:
    """Return a field that says what the edit is about and cannot be changed."""
    return Field(name, label, kind="fixed")


def make_name_field(label: str, name: str) -> Field:
    """Return a field for the name of something new."""
    return Field(name, label, "Small letters, digits, dots, hyphens.", "text")


def select_fields(given: dict, allowed: tuple[Field, ...]) -> dict:
    """Return those of the ``allowed`` fields that were given."""
    return {item.name: given[item.name] for item in allowed if item.name in given}
