"""Edits of groups and routes."""

import typing

from sardinehold import document
from sardinehold.console import edits

DEFAULT_SLOTS = 3
DEFAULT_CONNECTIONS = 20

_GROUP = (
    edits.Field(
        "slots",
        "Slots",
        "Statements that one endpoint runs at once.",
        "whole",
        (),
        DEFAULT_SLOTS,
    ),
    edits.Field(
        "connections",
        "Connections",
        "Connections that one endpoint accepts.",
        "whole",
        (),
        DEFAULT_CONNECTIONS,
    ),
    edits.Field(
        "database", "Database", "Its name on the endpoints.", "text", (), "main"
    ),
    edits.Field(
        "user",
        "User",
        "Role with which the proxy signs in to the endpoints.",
        "text",
        (),
        "sardinehold",
    ),
)
_ENDPOINTS = edits.Field(
    "endpoints",
    "Endpoints",
    "One a line: NAME HOST:PORT ZONE, such as letters-1a 10.0.0.5:5432 dallas.",
    "lines",
)


@edits.edit(
    "group.create",
    "Add a group",
    "/groups/{group}",
    edits.make_name_field("Name", "group"),
    _ENDPOINTS,
    *_GROUP,
)
def create_group(draft: edits.Draft, fields: dict) -> None:
    """Add databases that replicate one log; a route makes them usable."""
    part = edits.select_fields(fields, _GROUP)
    part["endpoints"] = parse_endpoints(fields["endpoints"])
    draft.add("groups", fields["group"], part)


@edits.edit(
    "group.change",
    "Change a group",
    "/groups/{group}",
    edits.make_fixed_field("group", "Group"),
    _ENDPOINTS,
    *_GROUP,
)
def change_group(draft: edits.Draft, fields: dict) -> None:
    """Change the endpoints of a group or what each of them can carry."""
    part = draft.find("groups", fields["group"])
    part.update(edits.select_fields(fields, _GROUP))
    if "endpoints" in fields:
        part["endpoints"] = parse_endpoints(fields["endpoints"])


@edits.edit(
    "group.remove",
    "Remove a group",
    "/groups",
    edits.make_fixed_field("group", "Group"),
)
def remove_group(draft: edits.Draft, fields: dict) -> None:
    """Forget a group; remove the routes that lead to it first."""
    draft.remove("groups", fields["group"])


def parse_endpoints(text: str | dict) -> typing.Any:
    """Return endpoints from lines of a form, or as they are from the API."""
    if isinstance(text, dict):
        return text
    endpoints = {}
    for line in str(text).splitlines():
        words = line.split()
        if not words:
            continue
        host, _, port = words[1].rpartition(":") if len(words) == 3 else ("", "", "")
        if not port.isdecimal():
            raise edits.EditError(
                f"The line {line.strip()!r} is no endpoint.",
                "Write NAME HOST:PORT ZONE, one endpoint a line.",
            )
        if words[0] in endpoints:
            raise edits.EditError(
                f"The endpoint {words[0]} stands twice.", "Keep one of the lines."
            )
        host = host.strip("[]")
        endpoints[words[0]] = {"host": host, "port": int(port), "zone": words[2]}
    return endpoints


def format_endpoints(endpoints: dict[str, dict]) -> str:
    """Return endpoints as lines of a form; undoes :func:`parse_endpoints`."""
    return "\n".join(
        f"{name} {_format_host(part['host'])}:{part['port']} {part['zone']}"
        for name, part in sorted(endpoints.items())
    )


def _format_host(host: str) -> str:
    return f"[{host}]" if ":" in host else host


_ROUTE = (
    edits.Field("group", "Group", "Databases that answer.", "choice", "groups"),
    edits.Field("teams", "Teams", "Who may use it, by key.", "choices", "teams"),
    edits.Field(
        "open",
        "Open to all",
        "Callers need no key. The rate and burst below then hold for all together.",
        "check",
        (),
        False,
    ),
    edits.Field(
        "rate", "Rate of an open route", "Statements a second.", "number", (), 0
    ),
    edits.Field("burst", "Burst of an open route", "Statements.", "whole", (), 0),
    edits.Field(
        "max_age",
        "Age that reads accept",
        "Seconds. Empty: every read sees the session's own writes.",
        "number",
    ),
    edits.Field(
        "durability",
        "A write is acknowledged when",
        "primary: the primary has it; replica: a replica has it too; all: all have.",
        "choice",
        tuple(member.value for member in document.Durability),
        document.Durability.REPLICA.value,
    ),
    edits.Field(
        "statement_timeout",
        "Statement timeout",
        "Seconds from acceptance to the deadline.",
        "number",
        (),
        10,
    ),
    edits.Field(
        "idle_in_transaction",
        "Idle in transaction",
        "Seconds that a transaction may be idle.",
        "number",
        (),
        10,
    ),
)


def _pick_route(fields: dict) -> dict:
    part = edits.select_fields(fields, _ROUTE)
    if part.get("max_age") == "":
        part["max_age"] = None
    return part


@edits.edit(
    "route.create",
    "Add a route",
    "/routes",
    edits.make_name_field("Name", "route"),
    *_ROUTE,
)
def create_route(draft: edits.Draft, fields: dict) -> None:
    """Add a database name that callers connect to."""
    draft.add("routes", fields["route"], _pick_route(fields))


@edits.edit(
    "route.change",
    "Change a route",
    "/routes",
    edits.make_fixed_field("route", "Route"),
    *_ROUTE,
)
def change_route(draft: edits.Draft, fields: dict) -> None:
    """Change who may use the route and how it answers."""
    draft.find("routes", fields["route"]).update(_pick_route(fields))


@edits.edit(
    "route.remove",
    "Remove a route",
    "/routes",
    edits.make_fixed_field("route", "Route"),
)
def remove_route(draft: edits.Draft, fields: dict) -> None:
    """End the route's sessions; its databases stay."""
    draft.remove("routes", fields["route"])
