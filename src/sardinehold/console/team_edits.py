"""Edits of teams, keys and operators."""

from sardinehold import document
from sardinehold.console import edits

_LIMITS = (
    edits.Field(
        "rate", "Rate", "Statements a second over all VMs together.", "number", (), 100
    ),
    edits.Field(
        "burst",
        "Burst",
        "Statements that may run at once after a quiet time.",
        "whole",
        (),
        50,
    ),
    edits.Field(
        "weight",
        "Weight",
        "Share of scarce connections relative to other teams.",
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
    """Add a tenant with its share of the platform; its first key is the next step."""
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
    """Change what the team may use, on all VMs within seconds."""
    draft.find("teams", fields["team"]).update(edits.select_fields(fields, _LIMITS))


@edits.edit(
    "team.remove", "Remove a team", "/teams", edits.make_fixed_field("team", "Team")
)
def remove_team(draft: edits.Draft, fields: dict) -> None:
    """End the team's sessions and forget its keys; take it out of routes first."""
    draft.remove("teams", fields["team"])


@edits.edit(
    "key.create", "Make a key", "/teams/{team}", edits.make_fixed_field("team", "Team")
)
def create_key(draft: edits.Draft, fields: dict) -> None:
    """Make a further key for the team and show it once; the others go on working."""
    draft.find("teams", fields["team"])["keys"].append(draft.generate_key())


@edits.edit(
    "key.rotate",
    "Rotate a key",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
    edits.make_fixed_field("prefix", "Key to replace"),
)
def rotate_key(draft: edits.Draft, fields: dict) -> None:
    """Make a successor and show it once.

    The old key works on until you withdraw it, so that callers can change over.
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
    """End the key's sessions on all VMs within seconds; it can never come back."""
    listed = draft.find("teams", fields["team"])["keys"]
    record = _find_key(listed, fields["prefix"])
    record["withdrawn"] = True
    record["changed_in"] = draft.next_version


@edits.edit(
    "key.remove",
    "Forget a withdrawn key",
    "/teams/{team}",
    edits.make_fixed_field("team", "Team"),
    edits.make_fixed_field("prefix", "Key"),
)
def remove_key(draft: edits.Draft, fields: dict) -> None:
    """Take a withdrawn key off the list; the history still shows it."""
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
        "Go back to the team; somebody may have removed the key.",
    )


_OPERATOR = (
    edits.Field(
        "role",
        "Role",
        "view: look only; operate: change what the operator sees.",
        "choice",
        tuple(member.value for member in document.Role),
        document.Role.VIEW.value,
    ),
    edits.Field(
        "team",
        "Team",
        "The one team that they see, whose keys they manage. Empty: all teams.",
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
    """Add a person or program that administers; their key is shown once."""
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
    """Change what the operator may do."""
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
    """Make a new key and show it once; the old one stops at once."""
    draft.find("operators", fields["operator"])["key"] = draft.generate_key()


@edits.edit(
    "operator.remove",
    "Remove an operator",
    "/operators",
    edits.make_fixed_field("operator", "Operator"),
)
def remove_operator(draft: edits.Draft, fields: dict) -> None:
    """End the operator's sessions and forget their key."""
    draft.remove("operators", fields["operator"])
