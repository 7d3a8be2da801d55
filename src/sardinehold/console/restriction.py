"""Filters for data that an operator of one team may not see."""

from sardinehold import changes
from sardinehold import document
from sardinehold import operators
from sardinehold.console import audit


def restrict_document(
    config: document.Document, principal: operators.Principal
) -> document.Document:
    """Return the document with only the operator's own team and its routes."""
    if principal.sees_all:
        return config
    return document.Document(
        version=config.version,
        author="",
        reason="",
        teams={n: t for n, t in config.teams.items() if n == principal.team},
        groups={},
        routes={route.name: route for route in list_routes(config, principal)},
    )


def list_routes(
    config: document.Document, principal: operators.Principal
) -> list[document.Route]:
    """Return the routes visible to an operator, without other teams' names."""
    if principal.sees_all:
        return list(config.routes.values())
    return [
        _copy_route(route, principal.team)
        for route in config.routes.values()
        if principal.team in route.teams
    ]


def _copy_route(route: document.Route, team: str) -> document.Route:
    fields = {name: getattr(route, name) for name in document.Route.__slots__}
    return document.Route(**{**fields, "teams": (team,)})


def restrict_changes(
    differences: list[changes.Change] | None, principal: operators.Principal
) -> list[changes.Change] | None:
    """Return the changes visible to an operator."""
    if differences is None:
        return None
    return [change for change in differences if principal.may_see(change.path)]


def restrict_entries(
    entries: list[audit.Entry], principal: operators.Principal
) -> list[audit.Entry]:
    """Return the versions with a change visible to the operator."""
    if principal.sees_all:
        return entries
    visible = []
    for entry in entries:
        differences = restrict_changes(entry.differences, principal)
        if differences:
            visible.append(audit.Entry(entry.config, differences))
    return visible
