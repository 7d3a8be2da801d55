"""Configuration and endpoint records as a node holds them.

A catalog is immutable; a newer version replaces it as a whole.
"""

import enum

from sardinehold import objects


class Consistency(enum.Enum):
    """Consistency level of a route's reads."""

    LATEST = "latest"
    """Reads see every commit that was acknowledged before the read began."""

    BOUNDED = "bounded"
    """Reads see every commit acknowledged longer ago than the route's bound."""

    SESSION = "session"
    """As ``BOUNDED``, and every commit of the same session."""


class Route:
    """A database name that callers connect to.

    :param name: the database name that callers send.
    :param group: name of the group that serves it.
    :param consistency: consistency level of its reads.
    :param max_staleness: maximum staleness of a read in seconds, 0 for none.
    :param statement_timeout: seconds that one statement may take.
    :param target_latency: seconds within which a whole operation should complete.
    :param priority: 0 is served first under overload.
    :param is_open: whether it serves callers without a key.
    :param regions: regions in which its statements may run; empty for all.
    """

    __slots__ = (
        "name",
        "group",
        "consistency",
        "max_staleness",
        "statement_timeout",
        "target_latency",
        "priority",
        "is_open",
        "regions",
    )

    def __init__(
        self,
        name: str,
        group: str,
        consistency: Consistency = Consistency.LATEST,
        max_staleness: float = 0.0,
        statement_timeout: float = 1.0,
        target_latency: float = 0.5,
        priority: int = 0,
        is_open: bool = False,
        regions: frozenset[str] = frozenset(),
    ) -> None:
        """Initialize the route."""
        self.name = name
        self.group = group
        self.consistency = consistency
        self.max_staleness = max_staleness
        self.statement_timeout = statement_timeout
        self.target_latency = target_latency
        self.priority = priority
        self.is_open = is_open
        self.regions = regions


class Team:
    """A team with its fleet-wide rate.

    :param rate: operations a second.
    :param burst: capacity of its token bucket: operations at once after idle time.
    :param regions: regions in which its statements may run; empty for all.
    """

    __slots__ = ("name", "rate", "burst", "priority", "regions")

    def __init__(
        self,
        name: str,
        rate: float,
        burst: float,
        priority: int = 0,
        regions: frozenset[str] = frozenset(),
    ) -> None:
        """Initialize the team."""
        self.regions = regions
        self.name = name
        self.rate = rate
        self.burst = burst
        self.priority = priority


class Group:
    """Configuration of a group of databases.

    :param connections: connections that one endpoint accepts in total.
    :param sync_replicas: replicas that hold a commit before it is acknowledged.
    :param cold_rate: requests per second that a cold endpoint can handle, 0 for any.
    :param cold_start: seconds that a start stays cold if the record does not say it.
    """

    __slots__ = ("name", "connections", "sync_replicas", "cold_rate", "cold_start")

    def __init__(
        self,
        name: str,
        connections: int,
        sync_replicas: int = 0,
        cold_rate: float = 0.0,
        cold_start: float = 0.0,
    ) -> None:
        """Initialize the group."""
        self.cold_rate = cold_rate
        self.cold_start = cold_start
        self.name = name
        self.connections = connections
        self.sync_replicas = sync_replicas


class Catalog:
    """One version of the configuration.

    :param version: increases with each change.
    :param routes: by name.
    :param teams: by name.
    :param teams_by_key: names of the teams by key.
    :param groups: by name.
    :param transaction_idle: idle timeout of a transaction in seconds.
    :param unnameable: names of teams and groups that endpoints cannot be told.
    """

    __slots__ = (
        "version",
        "routes",
        "teams",
        "teams_by_key",
        "groups",
        "transaction_idle",
        "unnameable",
    )

    def __init__(
        self,
        version: int,
        routes: dict[str, Route],
        teams: dict[str, Team],
        teams_by_key: dict[str, str],
        groups: dict[str, Group],
        transaction_idle: float,
        unnameable: frozenset[str] = frozenset(),
    ) -> None:
        """Initialize the catalog."""
        self.unnameable = unnameable
        self.version = version
        self.routes = routes
        self.teams = teams
        self.teams_by_key = teams_by_key
        self.groups = groups
        self.transaction_idle = transaction_idle


def find_changed_rates(
    before: Catalog | None, after: Catalog
) -> dict[str, tuple[float, float]]:
    """Return rate and burst of the teams for which the configuration changes them."""
    old = before.teams if before is not None else {}
    return {
        team.name: (team.rate, team.burst)
        for team in after.teams.values()
        if team.name not in old
        or (old[team.name].rate, old[team.name].burst) != (team.rate, team.burst)
    }


class EndpointRecord:
    """An endpoint's record, as it publishes it itself.

    :param name: unique among all endpoints.
    :param zone: its availability zone.
    :param slots: statements that it runs concurrently.
    :param is_draining: whether it is about to leave.
    :param claims_primary: whether it considers itself the primary.
    :param born: identifies this start of its process; a restart loses all of its
        volatile state.
    :param cold_for: seconds for which it was still cold when it published the record,
        None if the record does not say it; :class:`sardinehold.node.warmup.Warmup`
        holds the deadline.
    """

    __slots__ = (
        "name",
        "group",
        "host",
        "port",
        "zone",
        "slots",
        "is_draining",
        "claims_primary",
        "born",
        "cold_for",
    )

    def __init__(
        self,
        name: str,
        group: str,
        host: str,
        port: int,
        zone: str,
        slots: int = 1,
        is_draining: bool = False,
        claims_primary: bool = False,
        born: int = 0,
        cold_for: float | None = None,
    ) -> None:
        """Initialize the record."""
        self.cold_for = cold_for
        self.name = name
        self.group = group
        self.host = host
        self.port = port
        self.zone = zone
        self.slots = slots
        self.is_draining = is_draining
        self.claims_primary = claims_primary
        self.born = born


class Phase(enum.Enum):
    """Whether a group has a primary that accepts statements."""

    SERVING = "serving"
    SEALED = "sealed"


FIRST_SETTLED = 2
"""First attempt of a seal under which nodes tell no caller of a commit's success any
more. Later ones request a promotion, once all nodes know of it or their leases have
expired."""

Stage = tuple[int, bool, int]
"""Term, whether the group is sealed, and attempt of a state. Every step of every change
of primary increases it, whatever the store has lost."""


class GroupState:
    """A group's primary and term, as agreed on in the store.

    :param term: of the primary; increases with each change.
    :param primary: the endpoint's name, ``""`` while none is known.
    :param phase: ``SEALED`` while the primary is being replaced.
    :param version: version of the group's object in the store, with revision 0 if there
        is none.
    :param attempt: number of steps under this seal: the seal, ``FIRST_SETTLED``, and
        each promotion that is requested.
    :param is_stored: whether the object holds this state and was written in the era of
        its version; otherwise the leader has to write it again.
    :param requested: the endpoint whose promotion was last requested, if the platform
        may still execute a request, answered or not, otherwise ``""``.
    """

    __slots__ = (
        "group",
        "term",
        "primary",
        "phase",
        "version",
        "attempt",
        "is_stored",
        "requested",
    )

    def __init__(
        self,
        group: str,
        term: int,
        primary: str,
        phase: Phase,
        version: int = 0,
        attempt: int = 0,
        is_stored: bool = True,
        requested: str = "",
    ) -> None:
        """Initialize the state."""
        self.requested = requested
        self.attempt = attempt
        self.is_stored = is_stored
        self.group = group
        self.term = term
        self.primary = primary
        self.phase = phase
        self.version = version

    @property
    def stage(self) -> Stage:
        """The state's place in the order of all states of the group."""
        return self.term, self.phase is Phase.SEALED, self.attempt

    def move(self, version: int, is_stored: bool) -> "GroupState":
        """Return the same state for another version of the stored object."""
        return GroupState(
            self.group,
            self.term,
            self.primary,
            self.phase,
            version,
            self.attempt,
            is_stored,
            self.requested,
        )

    def forget_request(self) -> "GroupState":
        """Return the same state without a request that may still be executed."""
        return GroupState(
            self.group,
            self.term,
            self.primary,
            self.phase,
            self.version,
            self.attempt,
            self.is_stored,
        )

    def merge(self, other: "GroupState") -> "GroupState":
        """Return the later one of two states, with the newest version of the object.

        A restored store holds an earlier state under a newer version.
        """
        later = max(self, other, key=lambda state: (state.stage, state.version))
        version = max(self.version, other.version)
        return later if later.version == version else later.move(version, False)

    def dump(self, era: int = 0) -> dict:
        """Return the value that is stored.

        :param era: era of the store in which it is written.
        """
        return {
            "term": self.term,
            "primary": self.primary,
            "phase": self.phase.value,
            "attempt": self.attempt,
            "requested": self.requested,
            "era": era,
        }


def parse_group_state(group: str, value: dict, version: int) -> GroupState:
    """Return the state that a stored value holds.

    :raises KeyError, ValueError, TypeError: the value is malformed.
    """
    return GroupState(
        group,
        int(value["term"]),
        str(value["primary"]),
        Phase(value["phase"]),
        version,
        int(value["attempt"]),
        int(value.get("era", 0)) == objects.find_era(version),
        str(value.get("requested", "")),
    )
