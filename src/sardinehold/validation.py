"""Validation of configuration documents, and warnings about valid ones."""

import collections
import typing

from sardinehold import changes
from sardinehold import document
from sardinehold import errors
from sardinehold import faults
from sardinehold import schema_validation

STATEMENT_SECONDS = 0.005
"""Assumed seconds that a statement occupies a slot, to estimate a group's capacity."""


class InvalidDocument(errors.DocumentError):
    """A document is not valid.

    :param found: every fault in the document.
    """

    def __init__(self, found: list[faults.Fault]) -> None:
        """Store the faults."""
        super().__init__(
            f"The document is not valid: {faults.format_faults(found)}",
            "Nothing was changed; correct each fault and submit it again.",
        )
        self.faults = found


def require_valid(value: object) -> None:
    """Raise :class:`InvalidDocument` if ``value`` has any fault."""
    found = find_faults(value)
    if found:
        raise InvalidDocument(found)


def find_faults(value: object) -> list[faults.Fault]:
    """Return every fault of a JSON value that is expected to be a document."""
    found = schema_validation.find_faults(value)
    if found:
        return found
    return [
        fault
        for check in _CHECKS
        for fault in check(document.parse_document(value, False))
    ]


_Check = typing.Callable[[document.Document], typing.Iterator[faults.Fault]]
_CHECKS: list[_Check] = []
_WARNINGS: list[_Check] = []


def _register(registry: list[_Check]) -> typing.Callable[[_Check], _Check]:
    def register(function: _Check) -> _Check:
        registry.append(function)
        return function

    return register


@_register(_CHECKS)
def _check_route_groups(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, route in config.routes.items():
        if route.group not in config.groups:
            hint = faults.suggest_name(route.group, list(config.groups))
            yield faults.Fault(
                f"routes.{name}.group",
                "is not the name of a group in the document",
                f"Name a group. {hint}",
                faults.format_value(route.group),
            )


@_register(_CHECKS)
def _check_route_teams(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, route in config.routes.items():
        for team in route.teams:
            if team not in config.teams:
                yield faults.Fault(
                    f"routes.{name}.teams",
                    "is not the name of a team in the document",
                    f"Name a team. {faults.suggest_name(team, list(config.teams))}",
                    faults.format_value(team),
                )


@_register(_CHECKS)
def _check_operator_teams(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, operator in config.operators.items():
        if operator.team and operator.team not in config.teams:
            yield faults.Fault(
                f"operators.{name}.team",
                "is not the name of a team in the document",
                "Name a team, or leave it empty for all teams. "
                + faults.suggest_name(operator.team, list(config.teams)),
                faults.format_value(operator.team),
            )


@_register(_CHECKS)
def _check_endpoint_names(config: document.Document) -> typing.Iterator[faults.Fault]:
    groups = collections.defaultdict(list)
    for name, group in config.groups.items():
        for endpoint in group.endpoints:
            groups[endpoint.name].append(name)
    for endpoint, names in groups.items():
        if len(names) > 1:
            yield faults.Fault(
                f"groups.{names[1]}.endpoints.{endpoint}",
                f"has the same name as an endpoint of group {names[0]}",
                "Give each endpoint a name that is unique across all groups.",
            )


@_register(_CHECKS)
def _check_endpoint_addresses(
    config: document.Document,
) -> typing.Iterator[faults.Fault]:
    owners: dict[tuple[str, int], str] = {}
    for name, group in config.groups.items():
        for endpoint in group.endpoints:
            address = (endpoint.host, endpoint.port)
            owner = owners.setdefault(address, endpoint.name)
            if owner != endpoint.name:
                yield faults.Fault(
                    f"groups.{name}.endpoints.{endpoint.name}",
                    f"has the same host and port as endpoint {owner}",
                    "Correct the host or the port.",
                    f"{endpoint.host}:{endpoint.port}",
                )


@_register(_CHECKS)
def _check_key_prefixes(config: document.Document) -> typing.Iterator[faults.Fault]:
    owners: dict[str, str] = {}
    for path, key in changes.list_keys(config):
        owner = owners.setdefault(key.prefix, path)
        if owner != path:
            yield faults.Fault(
                path,
                f"has the same prefix as {owner}",
                "Create a new key; each key belongs to one owner.",
                key.prefix,
            )


def find_warnings(config: document.Document) -> list[faults.Fault]:
    """Return warnings about probable mistakes in a valid document."""
    return [fault for check in _WARNINGS for fault in check(config)]


@_register(_WARNINGS)
def _warn_of_zero_rates(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, team in config.teams.items():
        if team.rate == 0:
            yield faults.Fault(
                f"teams.{name}.rate",
                "is zero, so every request of the team is refused",
                "Set the statements per second that the team needs.",
            )
        if team.burst < 1:
            yield faults.Fault(
                f"teams.{name}.burst",
                "is zero, so no request ever gets a token",
                "Set a burst of at least 1.",
            )
    for name, route in config.routes.items():
        if route.open and not (route.rate and route.burst):
            yield faults.Fault(
                f"routes.{name}.rate",
                "or the burst of this open route is zero: every request is refused",
                "Set a rate and a burst for the open route.",
            )


@_register(_WARNINGS)
def _warn_of_overload(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, group in config.groups.items():
        demand = _sum_demand(config, name)
        capacity = len(group.endpoints) * group.slots / STATEMENT_SECONDS
        if demand > capacity:
            yield faults.Fault(
                f"groups.{name}",
                f"can run about {capacity:.0f} statements per second"
                f" ({len(group.endpoints)} endpoints of {group.slots} slots at"
                f" {STATEMENT_SECONDS * 1000:.0f} ms), but the rates of its callers"
                f" add up to {demand:.0f}",
                "Lower rates, add endpoints, or move routes to another group.",
            )


def _sum_demand(config: document.Document, group: str) -> float:
    routes = [route for route in config.routes.values() if route.group == group]
    teams = {team for route in routes if not route.open for team in route.teams}
    keyed = sum(config.teams[team].rate for team in teams)
    return keyed + sum(route.rate for route in routes if route.open)


@_register(_WARNINGS)
def _warn_of_keyless_teams(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, team in config.teams.items():
        if not team.keys:
            yield faults.Fault(
                f"teams.{name}.keys",
                "is empty, so the team cannot connect",
                "Create a key for the team.",
            )
        elif all(key.withdrawn for key in team.keys):
            yield faults.Fault(
                f"teams.{name}.keys",
                "has only withdrawn keys, so the team cannot connect",
                "Create a new key for the team.",
            )


@_register(_WARNINGS)
def _warn_of_unusable_routes(
    config: document.Document,
) -> typing.Iterator[faults.Fault]:
    for name, route in config.routes.items():
        if not route.open and not route.teams:
            yield faults.Fault(
                f"routes.{name}.teams",
                "is empty, so no team can use the route",
                "Add a team, or make the route open to all.",
            )
        if route.open and route.teams:
            yield faults.Fault(
                f"routes.{name}.teams",
                "is unused, because the route is open to all",
                "Remove the teams, or close the route.",
            )


@_register(_WARNINGS)
def _warn_of_missing_replicas(
    config: document.Document,
) -> typing.Iterator[faults.Fault]:
    for name, group in config.groups.items():
        if len(group.endpoints) < 2:
            yield faults.Fault(
                f"groups.{name}.endpoints",
                "has only one endpoint, so a failover is impossible",
                "Add a replica in another availability zone.",
            )
        elif len({endpoint.zone for endpoint in group.endpoints}) < 2:
            yield faults.Fault(
                f"groups.{name}.endpoints",
                "are all in one availability zone",
                "Add a replica in another availability zone.",
            )
        routes = [r for r in config.routes.values() if r.group == name]
        has_no_replica = len(group.endpoints) < 2
        if has_no_replica and any(
            r.durability is document.Durability.REPLICA for r in routes
        ):
            yield faults.Fault(
                f"groups.{name}.endpoints",
                "has no replica, but a route waits for one before acknowledging",
                "Add a replica, or set the durability of the routes to primary.",
            )


@_register(_WARNINGS)
def _warn_of_missing_operator(
    config: document.Document,
) -> typing.Iterator[faults.Fault]:
    administrators = [
        operator
        for operator in config.operators.values()
        if operator.role is document.Role.OPERATE
        and not operator.team
        and not operator.key.withdrawn
    ]
    if not administrators:
        yield faults.Fault(
            "operators",
            "has no operator who may change everything",
            "Add an operator with role operate; until then only the bootstrap"
            " key of the console's settings can sign in.",
        )
