"""Edits of teams, keys and operators."""

from sardinehold import document
from sardinehold.console import edits

_LIMITS = (
    edits.Field(
        "rate", "Rate", "Statements per second, over all VMs.", "number", (), 100
    ),
    edits.Field(
        "burst",
        "Burst",
        "Statements that may start at once after an idle period.",
        "whole",
        (),
        50,
    ),
    edits.Field(
        "weight",
        "Weight",
        "Share of connections relative to other teams when they are scarce.",
        "number",
        (),
        1,
    ),
)


@edits.edit(
    "team.create",
    "Add a team",
    "/teams/{team}",
    edits.make_name_field("Name", "team"),
    *_LIMITS,
)
def create_team(draft: edits.Draft, fields: dict) -> None:
    """Add a team with its limits; then create its first key."""
    part = edits.select_fields(fields, _LIMITS)
    draft.add("teams", fields["team"], {**part, "keys": []})


@edits.edit(
    "team.change",
    "Change a team",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
    *_LIMITS,
)
def change_team(draft: edits.Draft, fields: dict) -> None:
    """Change the limits of the team, on all VMs within seconds."""
    draft.find("teams", fields["team"]).update(edits.select_fields(fields, _LIMITS))


@edits.edit(
    "team.remove", "Remove a team", "/teams", edits.make_fixed_field("team", "Team")
)
def remove_team(draft: edits.Draft, fields: dict) -> None:
    """Remove the team with its keys and sessions; remove it from routes first."""
    draft.remove("teams", fields["team"])


@edits.edit(
    "key.create",
    "Create a key",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
)
def create_key(draft: edits.Draft, fields: dict) -> None:
    """Create another key for the team and show it once; its other keys stay valid."""
    draft.find("teams", fields["team"])["keys"].append(draft.generate_key())


@edits.edit(
    "key.rotate",
    "Rotate a key",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
    edits.make_fixed_field("prefix", "Key to replace"),
)
def rotate_key(draft: edits.Draft, fields: dict) -> None:
    """Create a replacement key and show it once.

    The old key stays valid until you withdraw it, so that callers can switch.
    """
    listed = draft.find("teams", fields["team"])["keys"]
    _find_key(listed, fields["prefix"])
    listed.append(draft.generate_key())


@edits.edit(
    "key.withdraw",
    "Withdraw a key",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
    edits.make_fixed_field("prefix", "Key"),
)
def withdraw_key(draft: edits.Draft, fields: dict) -> None:
    """Withdraw the key permanently; its sessions end on all VMs within seconds."""
    listed = draft.find("teams", fields["team"])["keys"]
    record = _find_key(listed, fields["prefix"])
    record["withdrawn"] = True
    record["changed_in"] = draft.next_version


@edits.edit(
    "key.remove",
    "Remove a withdrawn key",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
    edits.make_fixed_field("prefix", "Key"),
)
def remove_key(draft: edits.Draft, fields: dict) -> None:
    """Remove a withdrawn key from the list; the history still shows it."""
    listed = draft.find("teams", fields["team"])["keys"]
    record = _find_key(listed, fields["prefix"])
    if not record["withdrawn"]:
        raise edits.EditError(
            f"Key {record['prefix']} is in force.", "Withdraw it before removing it."
        )
    listed.remove(record)


def _find_key(listed: list[dict], prefix: str) -> dict:
    for record in listed:
        if record["prefix"] == prefix:
            return record
    raise edits.EditError(
        f"The team has no key with prefix {prefix}.",
        "Go back to the team; the key may have been removed.",
    )


_OPERATOR = (
    edits.Field(
        "role",
        "Role",
        "view: read only; operate: change everything that is visible to the operator.",
        "choice",
        tuple(member.value for member in document.Role),
        document.Role.VIEW.value,
    ),
    edits.Field(
        "team",
        "Team",
        "The only team that they see, whose keys they manage. Empty: all teams.",
        "choice",
        "teams?",
    ),
)


@edits.edit(
    "operator.create",
    "Add an operator",
    "/operators",
    edits.make_name_field("Name", "operator"),
    *_OPERATOR,
)
def create_operator(draft: edits.Draft, fields: dict) -> None:
    """Add a person or program as operator and show the key once."""
    part = {**edits.select_fields(fields, _OPERATOR), "key": draft.generate_key()}
    draft.add("operators", fields["operator"], part)


@edits.edit(
    "operator.change",
    "Change an operator",
    "/operators",
    edits.make_fixed_field("operator", "Operator"),
    *_OPERATOR,
)
def change_operator(draft: edits.Draft, fields: dict) -> None:
    """Change the permissions of the operator."""
    draft.find("operators", fields["operator"]).update(
        edits.select_fields(fields, _OPERATOR)
    )


@edits.edit(
    "operator.rotate",
    "Replace an operator's key",
    "/operators",
    edits.make_fixed_field("operator", "Operator"),
)
def rotate_operator(draft: edits.Draft, fields: dict) -> None:
    """Create a new key and show it once; the old key stops working immediately."""
    draft.find("operators", fields["operator"])["key"] = draft.generate_key()


@edits.edit(
    "operator.remove",
    "Remove an operator",
    "/operators",
    edits.make_fixed_field("operator", "Operator"),
)
def remove_operator(draft: edits.Draft, fields: dict) -> None:
    """Remove the operator, the key and all sessions."""
    draft.remove("operators", fields["operator"])
