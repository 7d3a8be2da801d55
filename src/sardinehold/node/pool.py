"""An endpoint as one node sees it, and the node's connections to it.

A connection belongs to one team, because the endpoint is told the team when it
is opened. The endpoint's home keeps them open as long as there is room; another node
gives its own back soon. Where there is no room, the connection that has been idle
longest gives way to another team's.
"""

import typing

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import error_rate
from sardinehold.node import execution
from sardinehold.node import jitter
from sardinehold.node import placement
from sardinehold.node import ports
from sardinehold.node import statements

if typing.TYPE_CHECKING:
    from sardinehold.node import executor

SERVICE_SMOOTHING = 0.15
"""Weight of the newest answer in the moving average of the service time."""

INITIAL_SERVICE_TIME = 0.03
"""Seconds that a statement is taken to need before one was measured."""

MIN_SERVICE_TIME = 0.001
"""Seconds that a statement needs at least; a round trip is only estimated."""

INITIAL_BACKOFF = 0.05
"""Seconds before opening is tried again after the first failure."""

MAX_BACKOFF = 1.0
"""Seconds that the growing wait between attempts ends at; a small part of the time
in which a crashed endpoint is back."""

MAX_DOUBLINGS = 10
"""Doublings of the wait that are counted; ``MAX_BACKOFF`` is reached before."""

PROBE_AFTER = 0.5
"""Seconds without an answer after which an endpoint is asked by a new connection;
longer than a queue in front of its slots."""

ISOLATED_AFTER = 0.7
"""Seconds after which a commit that does not return makes a primary suspect that
answers other questions; longer than a full queue in front of its slots."""

IDLE_TIMEOUT = 4.0
"""Seconds for which a free connection beyond the kept ones stays open: long enough
for the next statement of a busy team, short enough that other nodes get it."""

PRESSURE_IDLE_TIMEOUT = 0.04
"""The same while some node found the endpoint at its limit: the next statement of a
transaction that goes on at once still finds it."""

PRESSURE_DURATION = 1.0
"""Seconds for which an endpoint counts as pressed after a node found it at its limit;
two reports carry it to the others."""

LIMIT_RETRY_DELAY = 0.06
"""Seconds before an endpoint that takes no more connections is asked again; about the
time in which one is given back."""

EXTRA_IN_FLIGHT = 1
"""Statements that are sent to an endpoint beyond its slots, so that none of these is
empty while an answer is on its way and the next statement comes."""

LOAD_REPORT_LIFETIME = 0.3
"""Seconds after which what a home said of an endpoint's load says nothing any more."""

ENDPOINT_COOLDOWN = 0.3
"""Seconds for which nothing is sent to an endpoint that its homes do not reach: about
the time in which a home that lost it finds out whether it is back."""

ROUND_TRIP_ESTIMATES = (0.002, 0.004, 0.02)
"""Seconds to an endpoint in the own zone, region, or elsewhere, until measured."""


class PooledConnection:
    """One open connection and what is set on it.

    :param team: the team in whose name it was opened.
    :param values: variables that are set on it.
    :param prepared: shared names of the statements that it holds.
    :param idle_since: when it was given back.
    """

    __slots__ = (
        "connection",
        "endpoint",
        "team",
        "values",
        "prepared",
        "idle_since",
        "is_lost",
    )

    def __init__(
        self, connection: ports.Connection, endpoint: "Endpoint", team: str
    ) -> None:
        """Start with nothing set."""
        self.connection = connection
        self.endpoint = endpoint
        self.team = team
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.idle_since = 0.0
        self.is_lost = False


class Endpoint:
    """One endpoint as this node sees it.

    :param owners: members that hold its connections, in the order in which they are
        asked.
    :param owner_cooldowns: until when a home is not asked, by its name.
    :param cooldown_until: until when nothing is sent there: no home reaches it.
    :param load: what a home said of it last, at ``load_at``; None before.
    :param error_rate: how its statements end, as this node sees it as its home.
    :param waiters: orders that wait here for a slot or a connection.
    :param running: orders that were sent and not answered.
    :param min_idle: free connections that stay open however long they are idle.
    :param max_connections: connections that this node may hold.
    :param full_until: until when the endpoint is taken to be at its limit.
    :param refused_at: when it last refused a connection of this node for that.
    :param pressure_until: until when all nodes give free connections back soon.
    :param in_flight: statements that run there for this node.
    :param service_time: seconds a statement takes, a moving average.
    :param failures: attempts to connect in a row that failed.
    :param retry_at: before when no connection is opened.
    :param failing_since: when it was first found unreachable, None if it is not.
    :param failure: why the last attempt to reach it failed.
    :param answered_at: when it last answered anything.
    :param leaving_since: when it was first seen draining, or None.
    :param gone_since: when its entry was first missed, or None.
    :param sent: when the statements were sent that it has not answered.
    :param writes: the same of those that commit something.
    :param handshakes: connections that were opened to it.
    :param committed_at: when it last answered to one of these with success.
    """

    __slots__ = (
        "record",
        "owners",
        "owner_cooldowns",
        "cooldown_until",
        "load",
        "load_at",
        "error_rate",
        "waiters",
        "running",
        "min_idle",
        "max_connections",
        "full_until",
        "refused_at",
        "pressure_until",
        "connections",
        "idle",
        "opening",
        "in_flight",
        "service_time",
        "applied",
        "missing_position",
        "missing_until",
        "failures",
        "retry_at",
        "failing_since",
        "failure",
        "answered_at",
        "leaving_since",
        "gone_since",
        "distance",
        "sent",
        "writes",
        "committed_at",
        "probed_at",
        "handshakes",
        "probe_answered_at",
    )

    def __init__(self, record: catalog.EndpointRecord, distance: int) -> None:
        """Start with no connection."""
        self.record = record
        self.distance = distance
        self.owners: list[str] = []
        self.owner_cooldowns: dict[str, float] = {}
        self.cooldown_until = float("-inf")
        self.load: execution.Load | None = None
        self.load_at = float("-inf")
        self.error_rate = error_rate.ErrorRate(clock.read())
        self.waiters: list[executor.Waiter] = []
        self.running = 0
        self.min_idle = 1
        self.max_connections = 1
        self.full_until = 0.0
        self.refused_at = float("-inf")
        self.pressure_until = float("-inf")
        self.connections: set[PooledConnection] = set()
        self.idle: list[PooledConnection] = []
        self.opening = 0
        self.in_flight = 0
        self.service_time = INITIAL_SERVICE_TIME
        self.applied: positions.Position | None = None
        self.missing_position: positions.Position | None = None
        self.missing_until = 0.0
        self.failures = 0
        self.retry_at = 0.0
        self.failing_since: float | None = None
        self.failure = ""
        self.answered_at = float("-inf")
        self.leaving_since: float | None = None
        self.gone_since: float | None = None
        self.sent: dict[PooledConnection, float] = {}
        self.writes: dict[PooledConnection, float] = {}
        self.committed_at = float("-inf")
        self.probed_at = float("-inf")
        self.handshakes = 0
        self.probe_answered_at = float("-inf")

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.record.name

    @property
    def round_trip(self) -> float:
        """Seconds to the endpoint and back."""
        return ROUND_TRIP_ESTIMATES[self.distance]

    def needs_probe(self, now: float, after: float, again: float) -> bool:
        """Return whether it should be asked over a new connection.

        :param after: seconds without an answer to something that was sent.
        :param again: seconds between two questions.
        """
        if now - self.probed_at < again:
            return False
        if self.failing_since is not None:
            return True
        return any(
            now - asked > after and self.probed_at < asked
            for asked in self.sent.values()
        )

    def find_failing_since(self, now: float) -> float | None:
        """Return since when it has been out of reach, or commits nothing.

        A primary that answers questions while its commits do not return has lost
        its replicas.
        """
        if self.failing_since is not None:
            return self.failing_since
        oldest = min(self.writes.values(), default=now)
        if now - oldest < ISOLATED_AFTER or self.committed_at > oldest:
            return None
        if self.probe_answered_at < oldest + ISOLATED_AFTER / 2:
            return None
        return oldest

    def explain_failure(self) -> str:
        """Return why it counts as out of reach."""
        if self.failing_since is None:
            return "it answers questions, but its commits do not return"
        return self.failure

    def takes_new_work(self) -> bool:
        """Return whether it is neither leaving nor gone."""
        return self.leaving_since is None and self.gone_since is None

    def has_slot(self) -> bool:
        """Return whether another statement may be sent, or a connection opened."""
        return self.running + self.opening < self.record.slots + EXTRA_IN_FLIGHT

    def may_open(self, now: float) -> bool:
        """Return whether another connection may be opened in place of an idle one."""
        if now < self.retry_at:
            return False
        return bool(self.idle) or not self.is_full(now)

    def is_full(self, now: float) -> bool:
        """Return whether a connection can only be opened if another gives way."""
        count = len(self.connections) + self.opening
        return count >= self.max_connections or now < self.full_until

    def take_idle(self, team: str, values: dict[str, str]) -> PooledConnection | None:
        """Take a free connection of the team, one with equal variables if possible."""
        found = None
        for pooled in reversed(self.idle):
            if pooled.team != team:
                continue
            if pooled.values == values:
                found = pooled
                break
            found = found or pooled
        if found is not None:
            self.idle.remove(found)
        return found

    def evict_idle(self, now: float) -> PooledConnection | None:
        """Take out the connection that has been idle longest if there is no room."""
        if not self.is_full(now) or not self.idle:
            return None
        oldest = self.idle.pop(0)
        self.connections.discard(oldest)
        return oldest

    def note_full(self, now: float, pause: float) -> None:
        """Note that the endpoint takes no more connections for now."""
        self.refused_at = now
        self.pressure_until = now + PRESSURE_DURATION
        self.full_until = now + pause
        self.retry_at = self.full_until

    def pop_surplus(self, now: float) -> list[PooledConnection]:
        """Take out the free connections that others may need more."""
        is_under_pressure = now < self.pressure_until
        min_idle = 0 if is_under_pressure else self.min_idle
        idle_timeout = PRESSURE_IDLE_TIMEOUT if is_under_pressure else IDLE_TIMEOUT
        surplus = len(self.idle) - min_idle
        found = [
            pooled
            for pooled in self.idle[: max(0, surplus)]
            if now - pooled.idle_since > idle_timeout
        ]
        for pooled in found:
            self.idle.remove(pooled)
            self.connections.discard(pooled)
        return found

    def note_failure(self, now: float, reason: str) -> None:
        """Wait longer after each failed attempt."""
        self.failure = reason
        wait = min(
            MAX_BACKOFF, INITIAL_BACKOFF * 2 ** min(self.failures, MAX_DOUBLINGS)
        )
        self.failures += 1
        self.retry_at = now + jitter.spread(wait)
        if self.failing_since is None:
            self.failing_since = min(self.sent.values(), default=now)

    def note_answer(self, now: float) -> None:
        """Take an answer as proof that the endpoint is reachable."""
        self.answered_at = now
        self.failures = 0
        self.retry_at = 0.0
        self.failing_since = None

    def note_service_time(self, seconds: float) -> None:
        """Take the time of a statement into the average, the way excluded."""
        seconds = max(MIN_SERVICE_TIME, seconds - self.round_trip)
        self.service_time += SERVICE_SMOOTHING * (seconds - self.service_time)

    def note_lag(self, floor: positions.Position, now: float) -> None:
        """Remember a position that the endpoint did not have."""
        self.missing_position = floor
        self.missing_until = now + placement.LAG_COOLDOWN

    def update_load(self, load: execution.Load, now: float) -> None:
        """Take what a home said of the endpoint."""
        self.load = load
        self.load_at = now
        self.service_time = load.service_time

    def estimate_queue_length(self, now: float) -> float:
        """Return how many statements are in front of a new one."""
        if self.load is None:
            return self.in_flight
        age = (now - self.load_at) / LOAD_REPORT_LIFETIME
        return max(self.in_flight, self.load.ahead * max(0.0, 1.0 - age))

    def estimate_latency(self, now: float) -> float:
        """Return the seconds until a new statement is answered."""
        queued = self.estimate_queue_length(now) / max(1, self.record.slots)
        return self.round_trip + self.service_time * (1.0 + queued)

    def compute_error_rate(self, now: float) -> float:
        """Return the share of its statements that failed of late."""
        share = self.error_rate.compute(now)
        if self.load is not None and now - self.load_at < error_rate.DECAY_TIME:
            share = max(share, self.load.failed)
        return share

    def make_candidate(self, now: float, is_primary: bool) -> placement.Candidate:
        """Return the endpoint as a placement sees it."""
        return placement.Candidate(
            self.name,
            self.round_trip,
            self.service_time,
            self.estimate_queue_length(now),
            is_primary,
            self.applied,
            self.missing_position if now < self.missing_until else None,
            self.record.slots,
            self.distance > 1,
            self.compute_error_rate(now),
        )


def find_missing_state(
    pooled: PooledConnection,
    values: dict[str, str],
    definitions: typing.Iterable[statements.Definition],
) -> tuple[bool, dict[str, str], list[statements.Definition]]:
    """Return what a connection lacks for a session.

    :returns: whether it must be reset, the variables to set, and the statements
        to prepare, both counted from after the reset.
    """
    needs_reset = any(name not in values for name in pooled.values)
    held_values = {} if needs_reset else pooled.values
    held_prepared: set[str] = set() if needs_reset else pooled.prepared
    missing = {
        name: value for name, value in values.items() if held_values.get(name) != value
    }
    to_prepare = [
        definition
        for definition in definitions
        if definition.shared_name not in held_prepared
    ]
    return needs_reset, missing, to_prepare
