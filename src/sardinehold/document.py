"""The configuration document: teams, keys, rates, groups and routes.

One validated whole, kept in the platform as the object ``document/current``.
"""

import enum


class Durability(enum.Enum):
    """What must have a write before the caller is told that it succeeded."""

    PRIMARY = "primary"
    REPLICA = "replica"
    ALL = "all"


class Key:
    """A caller's key, of which only the digest is kept.

    :param prefix: the public part, by which a key is recognised.
    :param salt: hexadecimal salt of the digest.
    :param digest: hexadecimal digest, see :mod:`sardinehold.keys`.
    """

    __slots__ = ("prefix", "salt", "digest", "withdrawn")

    def __init__(
        self, prefix: str, salt: str, digest: str, withdrawn: bool = False
    ) -> None:
        """Keep the parts of the key."""
        self.prefix = prefix
        self.salt = salt
        self.digest = digest
        self.withdrawn = withdrawn


class Team:
    """A tenant with its rate, burst, weight and keys.

    :param rate: statements a second over all VMs together.
    :param burst: statements that may run at once after a quiet time.
    :param weight: share of scarce connections relative to other teams.
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
        """Keep the parts of the team."""
        self.name = name
        self.rate = rate
        self.burst = burst
        self.weight = weight
        self.keys = keys


class Endpoint:
    """One database server of a group."""

    __slots__ = ("name", "host", "port", "zone")

    def __init__(self, name: str, host: str, port: int, zone: str) -> None:
        """Keep the parts of the endpoint."""
        self.name = name
        self.host = host
        self.port = port
        self.zone = zone


class Group:
    """Databases that replicate one log.

    :param slots: statements that one endpoint runs at once.
    :param connections: connections that one endpoint accepts.
    :param database: name of the database on the endpoints.
    :param user: role with which the proxy signs in to the endpoints.
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
        """Keep the parts of the group."""
        self.name = name
        self.endpoints = endpoints
        self.slots = slots
        self.connections = connections
        self.database = database
        self.user = user


class Route:
    """A database name that callers connect to.

    :param teams: names of the teams that may use it; unused when ``open``.
    :param open: whether it serves callers without a key.
    :param rate: statements a second of an open route, all callers together.
    :param burst: burst of an open route.
    :param max_age: age in seconds that its reads accept, or None for
        read-your-writes only.
    :param statement_timeout: seconds from acceptance to the deadline.
    :param idle_in_transaction: seconds that a transaction may be idle.
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
        """Keep the parts of the route."""
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


class Document:
    """One version of the whole configuration."""

    __slots__ = ("version", "author", "reason", "teams", "groups", "routes")

    def __init__(
        self,
        version: int,
        author: str,
        reason: str,
        teams: dict[str, Team],
        groups: dict[str, Group],
        routes: dict[str, Route],
    ) -> None:
        """Keep the parts of the document."""
        self.version = version
        self.author = author
        self.reason = reason
        self.teams = teams
        self.groups = groups
        self.routes = routes


def parse_document(value: dict) -> Document:
    """Return the document that the JSON object ``value`` holds.

    :raises sardinehold.errors.DocumentError: naming every fault.
    """
    raise NotImplementedError


def dump_document(document: Document) -> dict:
    """Return ``document`` as a JSON object; the inverse of parsing."""
    raise NotImplementedError
