"""The configuration document: teams, keys, rates, groups, routes, operators.

The document is validated as a whole and stored in the platform as the object
``document/current``.
"""

import enum
import typing

from sardinehold import errors

_Part = typing.TypeVar("_Part")


class Durability(enum.Enum):
    """Servers that must have stored a write before it is acknowledged to the caller."""

    PRIMARY = "primary"
    REPLICA = "replica"
    ALL = "all"


class Key:
    """A caller's key, of which only the digest is stored.

    :param prefix: the public part, which identifies the key.
    :param salt: hexadecimal salt of the digest.
    :param digest: hexadecimal digest, see :mod:`sardinehold.keys`.
    :param withdrawn: whether the key is withdrawn and no longer accepted.
    :param changed_in: document version that added or withdrew it, 0 if unknown.
    """

    __slots__ = ("prefix", "salt", "digest", "withdrawn", "changed_in")

    def __init__(
        self,
        prefix: str,
        salt: str,
        digest: str,
        withdrawn: bool = False,
        changed_in: int = 0,
    ) -> None:
        """Store the fields of the key."""
        self.prefix = prefix
        self.salt = salt
        self.digest = digest
        self.withdrawn = withdrawn
        self.changed_in = changed_in


class Team:
    """A tenant with its rate, burst, weight and keys.

    :param name: name of the team.
    :param rate: statements per second, all VMs together.
    :param burst: statements that may run at once after an idle period.
    :param weight: share of connections under contention, relative to other teams.
    :param keys: its keys, oldest first; several may be valid at the same time.
    """

    __slots__ = ("name", "rate", "burst", "weight", "keys")

    def __init__(
        self,
        name: str,
        rate: float,
        burst: int,
        weight: float = 1.0,
        keys: tuple[Key, ...] = (),
    ) -> None:
        """Store the fields of the team."""
        self.name = name
        self.rate = rate
        self.burst = burst
        self.weight = weight
        self.keys = keys


class Endpoint:
    """One database server of a group.

    :param name: unique across all groups.
    :param host: IP address or host name.
    :param port: TCP port.
    :param zone: its availability zone.
    """

    __slots__ = ("name", "host", "port", "zone")

    def __init__(self, name: str, host: str, port: int, zone: str) -> None:
        """Store the fields of the endpoint."""
        self.name = name
        self.host = host
        self.port = port
        self.zone = zone


class Group:
    """A set of database servers that replicate one log.

    :param name: name of the group.
    :param endpoints: its database servers.
    :param slots: statements that one endpoint runs concurrently.
    :param connections: connections that one endpoint accepts.
    :param database: name of the database on the endpoints.
    :param user: role with which the proxy authenticates to the endpoints.
    """

    __slots__ = ("name", "endpoints", "slots", "connections", "database", "user")

    def __init__(
        self,
        name: str,
        endpoints: tuple[Endpoint, ...],
        slots: int,
        connections: int,
        database: str = "main",
        user: str = "sardinehold",
    ) -> None:
        """Store the fields of the group."""
        self.name = name
        self.endpoints = endpoints
        self.slots = slots
        self.connections = connections
        self.database = database
        self.user = user


class Route:
    """A database name that callers connect to.

    :param name: database name that callers give when they connect.
    :param group: name of the group that runs its statements.
    :param teams: names of the teams that may use it; unused when ``open``.
    :param open: whether it serves callers without a key.
    :param rate: statements per second of an open route, all callers together.
    :param burst: burst of an open route.
    :param max_age: maximum age in seconds of the data that its reads may return, or
        None for read-your-writes only.
    :param durability: servers that must have stored a write before it is
        acknowledged.
    :param statement_timeout: seconds from accepting a statement to its deadline.
    :param idle_in_transaction: seconds that a transaction may be idle before it is
        rolled back.
    """

    __slots__ = (
        "name",
        "group",
        "teams",
        "open",
        "rate",
        "burst",
        "max_age",
        "durability",
        "statement_timeout",
        "idle_in_transaction",
    )

    def __init__(
        self,
        name: str,
        group: str,
        teams: tuple[str, ...] = (),
        open: bool = False,
        rate: float = 0.0,
        burst: int = 0,
        max_age: float | None = None,
        durability: Durability = Durability.REPLICA,
        statement_timeout: float = 10.0,
        idle_in_transaction: float = 10.0,
    ) -> None:
        """Store the fields of the route."""
        self.name = name
        self.group = group
        self.teams = teams
        self.open = open
        self.rate = rate
        self.burst = burst
        self.max_age = max_age
        self.durability = durability
        self.statement_timeout = statement_timeout
        self.idle_in_transaction = idle_in_transaction


class Role(enum.Enum):
    """Permissions of an operator in the console and its API."""

    VIEW = "view"
    OPERATE = "operate"


class Operator:
    """A person or program that administers the platform.

    :param name: name in the audit log.
    :param role: whether the operator may make changes.
    :param team: the only team that the operator may see and change, ``""`` for all.
    :param key: record of the key with which the operator signs in.
    """

    __slots__ = ("name", "role", "team", "key")

    def __init__(self, name: str, role: Role, key: Key, team: str = "") -> None:
        """Store the fields of the operator."""
        self.name = name
        self.role = role
        self.key = key
        self.team = team


class Document:
    """One version of the whole configuration.

    :param version: increases by one with each accepted change.
    :param author: the operator who submitted this version.
    :param reason: reason for the change, as given by the author.
    :param teams: teams by name.
    :param groups: database groups by name.
    :param routes: routes by name, the database names that callers connect to.
    :param operators: operators by name.
    :param change_id: identifier of the change that made this version; its writer
        uses it to recognise its own write if the platform's answer was lost.
    :param written_at: time of the change, ISO 8601 in UTC.
    """

    __slots__ = (
        "version",
        "author",
        "reason",
        "teams",
        "groups",
        "routes",
        "operators",
        "change_id",
        "written_at",
    )

    def __init__(
        self,
        version: int,
        author: str,
        reason: str,
        teams: dict[str, Team],
        groups: dict[str, Group],
        routes: dict[str, Route],
        operators: dict[str, Operator] | None = None,
        change_id: str = "",
        written_at: str = "",
    ) -> None:
        """Store the fields of the document."""
        self.version = version
        self.author = author
        self.reason = reason
        self.teams = teams
        self.groups = groups
        self.routes = routes
        self.operators = operators or {}
        self.change_id = change_id
        self.written_at = written_at


def parse_document(value: dict, strict: bool = True) -> Document:
    """Return the document that the JSON object ``value`` describes.

    :param strict: whether to validate it. An accepted document from the platform
        is parsed with False: a later release may have added fields, which are
        ignored.
    :raises sardinehold.errors.DocumentError: the document is not valid; the
        message lists every fault.
    """
    # Imported here because validation imports this module.
    from sardinehold import validation

    if strict:
        validation.require_valid(value)
    try:
        return _parse_parts(value)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.DocumentError(
            f"The document cannot be parsed: {error!r}.",
            "Run `sardinehold check` on it, which lists every fault.",
        ) from error


def _parse_parts(value: dict) -> Document:
    return Document(
        version=value["version"],
        author=value["author"],
        reason=value["reason"],
        teams=_parse_each(_parse_team, value["teams"]),
        groups=_parse_each(_parse_group, value["groups"]),
        routes=_parse_each(_parse_route, value["routes"]),
        operators=_parse_each(_parse_operator, value.get("operators", {})),
        change_id=value.get("change_id", ""),
        written_at=value.get("written_at", ""),
    )


def _parse_each(
    parse: typing.Callable[[str, dict], _Part], value: dict[str, dict]
) -> dict[str, _Part]:
    return {name: parse(name, part) for name, part in sorted(value.items())}


def _pick_fields(kind: type, value: dict) -> dict:
    return {name: value[name] for name in kind.__slots__ if name in value}


def _parse_team(name: str, value: dict) -> Team:
    fields = _pick_fields(Team, value)
    fields["name"] = name
    fields["keys"] = tuple(_parse_key(key) for key in value.get("keys", ()))
    return Team(**fields)


def _parse_key(value: dict) -> Key:
    return Key(**_pick_fields(Key, value))


def _parse_group(name: str, value: dict) -> Group:
    fields = _pick_fields(Group, value)
    fields["name"] = name
    endpoints = _parse_each(_parse_endpoint, value["endpoints"])
    fields["endpoints"] = tuple(endpoints.values())
    return Group(**fields)


def _parse_endpoint(name: str, value: dict) -> Endpoint:
    return Endpoint(**{**_pick_fields(Endpoint, value), "name": name})


def _parse_route(name: str, value: dict) -> Route:
    fields = _pick_fields(Route, value)
    fields["name"] = name
    fields["teams"] = tuple(value.get("teams", ()))
    if "durability" in value:
        fields["durability"] = Durability(value["durability"])
    return Route(**fields)


def _parse_operator(name: str, value: dict) -> Operator:
    fields = _pick_fields(Operator, value)
    fields["name"] = name
    fields["role"] = Role(value["role"])
    fields["key"] = _parse_key(value["key"])
    return Operator(**fields)


def dump_document(document: Document) -> dict:
    """Return ``document`` as a JSON object; the inverse of :func:`parse_document`.

    Names are sorted, so that two dumps can be compared line by line.
    """
    return dump_part(document)


def dump_part(part: Document | Team | Group | Route | Operator | Key) -> dict:
    """Return a team, group, route, operator, key or document as a JSON object."""
    return _dump(part)


def _dump(value: object) -> typing.Any:
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, dict):
        return {name: _dump_named(part) for name, part in sorted(value.items())}
    if isinstance(value, tuple):
        return _dump_tuple(value)
    if hasattr(value, "__slots__"):
        return {name: _dump(getattr(value, name)) for name in value.__slots__}
    return value


def _dump_named(part: object) -> dict:
    """Dump a part that is stored under its name, without repeating the name."""
    return {name: field for name, field in _dump(part).items() if name != "name"}


def _dump_tuple(parts: tuple) -> dict | list:
    if parts and isinstance(parts[0], Endpoint):
        return {part.name: _dump_named(part) for part in sorted(parts, key=_get_name)}
    if parts and isinstance(parts[0], str):
        return sorted(parts)
    return [_dump(part) for part in parts]


def _get_name(part: Endpoint) -> str:
    return part.name
