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
        "Statements that one endpoint runs concurrently.",
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
        "Database role that the proxy uses on the endpoints.",
        "text",
        (),
        "sardinehold",
    ),
)
_ENDPOINTS = edits.Field(
    "endpoints",
    "Endpoints",
    "One per line: NAME HOST:PORT ZONE, such as letters-1a 10.0.0.5:5432 dallas.",
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
    """Add a group of databases that replicate one log; callers reach it by a route."""
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
    """Change the endpoints of a group or the limits of each endpoint."""
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
    """Remove a group; remove the routes to it first."""
    draft.remove("groups", fields["group"])


def parse_endpoints(text: str | dict) -> typing.Any:
    """Return endpoints from the lines of a form; API values are returned unchanged.

    :raises EditError: a line is invalid, or a name occurs twice.
    """
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
                f"The line {line.strip()!r} is not an endpoint.",
                "Write NAME HOST:PORT ZONE, one endpoint per line.",
            )
        if words[0] in endpoints:
            raise edits.EditError(
                f"The endpoint {words[0]} is listed twice.", "Remove one of the lines."
            )
        host = host.strip("[]")
        endpoints[words[0]] = {"host": host, "port": int(port), "zone": words[2]}
    return endpoints


def format_endpoints(endpoints: dict[str, dict]) -> str:
    """Return endpoints as lines of a form, the inverse of :func:`parse_endpoints`."""
    return "\n".join(
        f"{name} {_format_host(part['host'])}:{part['port']} {part['zone']}"
        for name, part in sorted(endpoints.items())
    )


def _format_host(host: str) -> str:
    return f"[{host}]" if ":" in host else host


_ROUTE = (
    edits.Field("group", "Group", "Group that serves the route.", "choice", "groups"),
    edits.Field("teams", "Teams", "Teams that may use the route.", "choices", "teams"),
    edits.Field(
        "open",
        "Open to all",
        "Callers need no key; all share the rate and burst below.",
        "check",
        (),
        False,
    ),
    edits.Field(
        "rate", "Rate of an open route", "Statements per second.", "number", (), 0
    ),
    edits.Field("burst", "Burst of an open route", "Statements.", "whole", (), 0),
    edits.Field(
        "max_age",
        "Maximum age of reads",
        "Seconds. Empty: reads see the session's own writes.",
        "number",
    ),
    edits.Field(
        "durability",
        "A write is acknowledged when",
        "primary: the primary has it; replica: one replica too; all: every endpoint.",
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
        "Seconds that a transaction may stay idle.",
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
    """Add a route: a database name that callers connect to."""
    draft.add("routes", fields["route"], _pick_route(fields))


@edits.edit(
    "route.change",
    "Change a route",
    "/routes",
    edits.make_fixed_field("route", "Route"),
    *_ROUTE,
)
def change_route(draft: edits.Draft, fields: dict) -> None:
    """Change which teams may use the route and how it serves them."""
    draft.find("routes", fields["route"]).update(_pick_route(fields))


@edits.edit(
    "route.remove",
    "Remove a route",
    "/routes",
    edits.make_fixed_field("route", "Route"),
)
def remove_route(draft: edits.Draft, fields: dict) -> None:
    """Remove the route and end its sessions; its databases stay."""
    draft.remove("routes", fields["route"])
