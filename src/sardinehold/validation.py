"""Validation of configuration documents: all faults at once, and warnings."""

import collections
import functools
import re
import typing

import jsonschema
from jsonschema import validators

from sardinehold import changes
from sardinehold import document
from sardinehold import errors
from sardinehold import faults
from sardinehold import schema

STATEMENT_COST = 0.005
"""Seconds of a slot that a statement takes, to judge what a group can carry."""


class InvalidDocument(errors.DocumentError):
    """A document that was refused.

    :param found: every fault of it.
    """

    def __init__(self, found: list[faults.Fault]) -> None:
        """Keep the faults."""
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
    """Return every fault of a JSON value that should be a document."""
    found = [
        fault
        for error in _build_validator().iter_errors(value)
        for fault in _explain_error(error)
    ]
    if found:
        return sorted(found, key=lambda fault: fault.path)
    return [
        fault
        for check in _CHECKS
        for fault in check(document.parse_document(value, False))
    ]


@functools.cache
def _build_validator() -> validators.Draft202012Validator:
    def is_integer(_checker: object, value: object) -> bool:
        # 3.0 is an integer to JSON Schema, but not to what reads the field.
        return isinstance(value, int) and not isinstance(value, bool)

    def is_number(_checker: object, value: object) -> bool:
        # Python's JSON reader accepts NaN and Infinity.
        finite = isinstance(value, int | float) and value - value == 0
        return finite and not isinstance(value, bool)

    base = validators.Draft202012Validator
    checker = base.TYPE_CHECKER.redefine_many(
        {"integer": is_integer, "number": is_number}
    )
    strict = validators.extend(base, type_checker=checker)
    return strict(schema.build_schema())


def _explain_error(error: jsonschema.ValidationError) -> list[faults.Fault]:
    path = ".".join(str(part) for part in error.absolute_path) or "document"
    if error.validator == "required":
        return _explain_required(path, error)
    if error.validator == "additionalProperties":
        return _explain_unknown(path, error)
    explain = _EXPLANATIONS.get(error.validator, _explain_other)
    problem, remedy = explain(error)
    shown = "" if _is_secret(path) else faults.format_value(error.instance)
    return [faults.Fault(path, problem, remedy, shown)]


def _is_secret(path: str) -> bool:
    return bool(re.search(r"\bkeys?\b", path))


def _explain_required(
    path: str, error: jsonschema.ValidationError
) -> list[faults.Fault]:
    # jsonschema reports each missing field by an error of its own.
    missing = error.message.split("'")[1]
    inside = f"{path}.{missing}" if path != "document" else missing
    doc = error.schema["properties"][missing].get("description", "")
    hint = f"Add it: {doc}." if doc else "Add it."
    return [faults.Fault(inside, "is missing", hint.replace("..", "."))]


def _explain_unknown(
    path: str, error: jsonschema.ValidationError
) -> list[faults.Fault]:
    known = list(error.schema["properties"])
    prefix = "" if path == "document" else f"{path}."
    return [
        faults.Fault(
            f"{prefix}{name}",
            "is not a field that is known here",
            f"Remove or rename it. {faults.suggest_name(name, known)}",
        )
        for name in error.instance
        if name not in known
    ]


_Explanation = typing.Callable[[jsonschema.ValidationError], tuple[str, str]]
_EXPLANATIONS: dict[str, _Explanation] = {}


def _explains(*keywords: str) -> typing.Callable[[_Explanation], _Explanation]:
    def register(function: _Explanation) -> _Explanation:
        for keyword in keywords:
            _EXPLANATIONS[keyword] = function
        return function

    return register


@_explains("type")
def _explain_type(error: jsonschema.ValidationError) -> tuple[str, str]:
    expected = error.validator_value
    names = expected if isinstance(expected, list) else [expected]
    return "has the wrong type", f"Give {_join_types(names)}."


def _join_types(names: list[str]) -> str:
    words = {
        "string": "a text",
        "integer": "a whole number",
        "number": "a number",
        "boolean": "true or false",
        "object": "an object",
        "array": "a list",
        "null": "null",
    }
    return " or ".join(words[name] for name in names)


@_explains("minimum", "exclusiveMinimum", "maximum", "exclusiveMaximum")
def _explain_bound(error: jsonschema.ValidationError) -> tuple[str, str]:
    low = error.schema.get("minimum", error.schema.get("exclusiveMinimum"))
    above = "above" if "exclusiveMinimum" in error.schema else "from"
    high = error.schema.get("maximum")
    up_to = f" up to {high}" if high is not None else " on"
    return "is out of range", f"Give a number {above} {low}{up_to}."


@_explains("enum")
def _explain_enum(error: jsonschema.ValidationError) -> tuple[str, str]:
    return "is not one of the choices", f"Choose {' or '.join(error.validator_value)}."


@_explains("pattern", "minLength", "maxLength")
def _explain_text(error: jsonschema.ValidationError) -> tuple[str, str]:
    if error.schema.get("pattern") == schema.NAME_PATTERN:
        return (
            "is not a usable name",
            "Use 1 to 63 small letters, digits, dots, hyphens or underscores,"
            " beginning with a letter or digit.",
        )
    wanted = f"Give a text that matches {error.schema.get('pattern', '.*')}"
    longest = error.schema.get("maxLength")
    limit = f" of at most {longest} characters" if longest else ""
    return "is not a usable text", f"{wanted}{limit}."


@_explains("uniqueItems")
def _explain_repeat(_error: jsonschema.ValidationError) -> tuple[str, str]:
    return "names something twice", "Name each once."


@_explains("minProperties")
def _explain_empty(_error: jsonschema.ValidationError) -> tuple[str, str]:
    return "is empty", "Add at least one."


def _explain_other(error: jsonschema.ValidationError) -> tuple[str, str]:
    return error.message, "See docs/schema.json for what is accepted here."


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
                "names a group that the document does not have",
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
                    "names a team that the document does not have",
                    f"Name a team. {faults.suggest_name(team, list(config.teams))}",
                    faults.format_value(team),
                )


@_register(_CHECKS)
def _check_operator_teams(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, operator in config.operators.items():
        if operator.team and operator.team not in config.teams:
            yield faults.Fault(
                f"operators.{name}.team",
                "names a team that the document does not have",
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
                f"has the name of an endpoint of group {names[0]}",
                "Give each endpoint a name of its own over all groups.",
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
                f"has the prefix of {owner}",
                "Make a new key; each key belongs to one owner.",
                key.prefix,
            )


def find_warnings(config: document.Document) -> list[faults.Fault]:
    """Return the plausible mistakes of a valid document."""
    return [fault for check in _WARNINGS for fault in check(config)]


@_register(_WARNINGS)
def _warn_of_zero_rates(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, team in config.teams.items():
        if team.rate == 0:
            yield faults.Fault(
                f"teams.{name}.rate",
                "is zero, so every request of the team is refused",
                "Give the statements a second that the team needs.",
            )
        if team.burst < 1:
            yield faults.Fault(
                f"teams.{name}.burst",
                "is zero, so no request ever finds a token",
                "Give a burst of at least 1.",
            )
    for name, route in config.routes.items():
        if route.open and not (route.rate and route.burst):
            yield faults.Fault(
                f"routes.{name}.rate",
                "or the burst of this open route is zero: every request is refused",
                "Give the open route a rate and a burst.",
            )


@_register(_WARNINGS)
def _warn_of_overload(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, group in config.groups.items():
        demand = _sum_demand(config, name)
        capacity = len(group.endpoints) * group.slots / STATEMENT_COST
        if demand > capacity:
            yield faults.Fault(
                f"groups.{name}",
                f"can carry about {capacity:.0f} statements a second"
                f" ({len(group.endpoints)} endpoints of {group.slots} slots at"
                f" {STATEMENT_COST * 1000:.0f} ms), the rates that lead to it"
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
                "Make a key for the team.",
            )
        elif all(key.withdrawn for key in team.keys):
            yield faults.Fault(
                f"teams.{name}.keys",
                "has withdrawn keys and no successor, so the team cannot connect",
                "Make a new key for the team.",
            )


@_register(_WARNINGS)
def _warn_of_useless_routes(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, route in config.routes.items():
        if not route.open and not route.teams:
            yield faults.Fault(
                f"routes.{name}.teams",
                "is empty, so nobody can use the route",
                "Add a team, or make the route open to all.",
            )
        if route.open and route.teams:
            yield faults.Fault(
                f"routes.{name}.teams",
                "is unused, because the route is open to all",
                "Remove the teams, or close the route.",
            )


@_register(_WARNINGS)
def _warn_of_lone_endpoints(config: document.Document) -> typing.Iterator[faults.Fault]:
    for name, group in config.groups.items():
        if len(group.endpoints) < 2:
            yield faults.Fault(
                f"groups.{name}.endpoints",
                "holds one endpoint, so a failover is impossible",
                "Add a replica in another availability zone.",
            )
        elif len({endpoint.zone for endpoint in group.endpoints}) < 2:
            yield faults.Fault(
                f"groups.{name}.endpoints",
                "all stand in one availability zone",
                "Place a replica in another availability zone.",
            )
        kept = [r for r in config.routes.values() if r.group == name]
        alone = len(group.endpoints) < 2
        if alone and any(r.durability is document.Durability.REPLICA for r in kept):
            yield faults.Fault(
                f"groups.{name}.endpoints",
                "has no replica, but a route waits for one before acknowledging",
                "Add a replica, or set the durability of the routes to primary.",
            )


@_register(_WARNINGS)
def _warn_of_no_operator(config: document.Document) -> typing.Iterator[faults.Fault]:
    able = [
        operator
        for operator in config.operators.values()
        if operator.role is document.Role.OPERATE
        and not operator.team
        and not operator.key.withdrawn
    ]
    if not able:
        yield faults.Fault(
            "operators",
            "holds nobody who may change everything",
            "Add an operator with role operate; until then only the bootstrap"
            " key of the console's settings signs in.",
        )
