"""Edits of the document as a whole."""

from sardinehold import checking
from sardinehold.console import edits


@edits.edit(
    "document.replace",
    "Replace the document",
    "/document",
    edits.Field(
        "content", "Document", "JSON, as `sardinehold check` accepts it.", "lines"
    ),
)
def replace_document(draft: edits.Draft, fields: dict) -> None:
    """Replace the whole document, as one new version."""
    content = fields["content"]
    value = content if isinstance(content, dict) else checking.parse_json(content)
    if not isinstance(value, dict):
        raise edits.EditError(
            "The document is not a JSON object.", "Send an object in braces."
        )
    operators = draft.value["operators"]
    draft.value.clear()
    draft.value.update(value)
    # Keep the operators if the new document omits them, so that nobody is locked out.
    draft.value.setdefault("operators", operators)


@edits.edit(
    "document.restore",
    "Restore an earlier version",
    "/history",
    edits.make_fixed_field("version", "Version"),
)
def restore_document(draft: edits.Draft, fields: dict) -> None:
    """Create a new version with the teams, groups and routes of an earlier one.

    Keys and operators stay as they are now, so that no withdrawn key is reinstated;
    a team that exists only in the earlier version is restored without keys.
    """
    earlier = fields["content"]
    teams = draft.value["teams"]
    for name, part in earlier["teams"].items():
        part["keys"] = teams[name]["keys"] if name in teams else []
    for section in ("teams", "groups", "routes"):
        draft.value[section] = earlier[section]
