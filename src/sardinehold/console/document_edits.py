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
    """Put a whole document in the place of this one, as one new version."""
    content = fields["content"]
    value = content if isinstance(content, dict) else checking.parse_json(content)
    if not isinstance(value, dict):
        raise edits.EditError(
            "The document is not a JSON object.", "Begin it with a brace."
        )
    operators = draft.value["operators"]
    draft.value.clear()
    draft.value.update(value)
    # Operators are named or kept, so that a paste locks nobody out by omission.
    draft.value.setdefault("operators", operators)


@edits.edit(
    "document.restore",
    "Return to an earlier content",
    "/history",
    edits.make_fixed_field("version", "Version"),
)
def restore_document(draft: edits.Draft, fields: dict) -> None:
    """Make the rates, groups and routes of an earlier version a new version.

    Keys and operators stay as they are now, so that no withdrawn key comes back;
    a team that exists only in the earlier version returns without a key.
    """
    earlier = fields["content"]
    teams = draft.value["teams"]
    for name, part in earlier["teams"].items():
        part["keys"] = teams[name]["keys"] if name in teams else []
    for section in ("teams", "groups", "routes"):
        draft.value[section] = earlier[section]
