"""An endpoint as seen by one node, and the node's connection pool for it.

A connection belongs to one team, because the endpoint is given the team when the
connection is opened. The endpoint's owner keeps connections open up to its limit; other
nodes close idle ones soon. At the limit, the connection that has been idle longest is
evicted in favour of another team's.
"""

import typing

from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import grading
from sardinehold.node import jitter
from sardinehold.node import load_view
from sardinehold.node import placement
from sardinehold.node import ports
from sardinehold.node import replica_lag
from sardinehold.node import statements
from sardinehold.node import warmup

if typing.TYPE_CHECKING:
    from sardinehold.node import executor

SERVICE_SMOOTHING = 0.15
"""Weight of the newest answer in the moving average of the service time."""

INITIAL_SERVICE_TIME = 0.03
"""Assumed seconds of a statement until one was measured."""

MIN_SERVICE_TIME = 0.001
"""Minimum seconds of a statement; the round trip that is deducted is an estimate."""

INITIAL_BACKOFF = 0.05
"""Seconds before a connection is opened again after the first failure."""

MAX_BACKOFF = 1.0
"""Maximum seconds between attempts; a small part of the time in which a crashed
endpoint restarts."""

MAX_DOUBLINGS = 10
"""Maximum doublings of the backoff; ``MAX_BACKOFF`` is reached with fewer."""

PROBE_AFTER = 0.5
"""Seconds without an answer after which an endpoint is probed over a new connection;
longer than the wait in a queue for its slots."""

ISOLATED_AFTER = 0.7
"""Seconds after which an unanswered commit makes a primary suspect that answers other
queries; longer than the wait in a full queue for its slots."""

IDLE_TIMEOUT = 4.0
"""Seconds for which an idle connection beyond the minimum stays open: long enough for
the next statement of a busy team, short enough that other nodes get it."""

PRESSURE_IDLE_TIMEOUT = 0.04
"""The same while the endpoint is under connection pressure: long enough for the next
statement of a transaction that continues immediately."""

PRESSURE_DURATION = 1.0
"""Seconds of connection pressure after a node found an endpoint at its limit; two
reports carry the information to the other nodes."""

LIMIT_RETRY_DELAY = 0.06
"""Seconds before a connection is opened again after the endpoint was at its limit;
about the time in which one is released."""

EXTRA_IN_FLIGHT = 1
"""Statements that are sent to an endpoint beyond its slots, so that no slot is idle
while an answer and the next statement are in transit."""

LOAD_REPORT_LIFETIME = 0.3
"""Seconds after which an owner's report of an endpoint's load is no longer used."""

ENDPOINT_COOLDOWN = 0.3
"""Seconds for which nothing is sent to an endpoint that its owners cannot reach: about
the time in which an owner detects that it is reachable again."""

MAX_PREPARED = 1024 * 1024
"""Bytes of prepared statements above which a connection is reset: sessions may prepare
ever new ones."""

ROUND_TRIP_ESTIMATES = (0.002, 0.004, 0.02)
"""Estimated round trip in seconds to the own zone, the own region, or elsewhere."""


class PooledConnection:
    """An open connection and its session state.

    :param team: the team in whose name it was opened.
    :param values: variables that are set on it.
    :param prepared: shared names of the statements that are prepared on it.
    :param prepared_bytes: length of these names and their statements' shapes.
    :param idle_since: when it was returned to the pool.
    """

    __slots__ = (
        "connection",
        "endpoint",
        "team",
        "values",
        "prepared",
        "prepared_bytes",
        "idle_since",
        "is_lost",
    )

    def __init__(
        self, connection: ports.Connection, endpoint: "Endpoint", team: str
    ) -> None:
        """Initialize a connection without session state."""
        self.connection = connection
        self.endpoint = endpoint
        self.team = team
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.prepared_bytes = 0
        self.idle_since = 0.0
        self.is_lost = False


class Endpoint:
    """One endpoint as seen by this node.

    :param owners: members that hold its connections, in the order of preference.
    :param owner_cooldowns: until when an owner is not used, by its name.
    :param cooldown_until: until when nothing is sent: no owner reaches the endpoint.
    :param load: last load report of an owner, received at ``load_at``; None before.
    :param view: what this node knows of its load, by dated reports.
    :param is_owned: whether this node is its first owner.
    :param error_rate: of its statements, if this node is its owner.
    :param waiters: requests that wait here for a slot or a connection.
    :param running: number of requests that were sent and not answered.
    :param min_idle: idle connections that stay open indefinitely.
    :param max_connections: connections that this node may hold.
    :param full_until: until when the endpoint is considered at its limit.
    :param refused_at: when it last refused a connection of this node for that reason.
    :param pressure_until: until when all nodes close idle connections early.
    :param in_flight: number of statements that run there for this node.
    :param service_time: seconds a statement takes, a moving average.
    :param failures: consecutive attempts to connect that failed.
    :param retry_at: before this time no connection is opened.
    :param failing_since: when it was first found unreachable, None if it is not.
    :param failure: why the last attempt to reach it failed.
    :param answered_at: when it last answered anything.
    :param draining_since: when it was first seen draining, or None.
    :param missing_since: when its record was first missing, or None.
    :param sent: when the unanswered statements were sent, by connection.
    :param writes: the same for those that commit a write.
    :param handshakes: number of connections that were opened to it.
    :param committed_at: when it last answered one of ``writes`` with success.
    :param region: of its availability zone, None if unknown.
    :param warmup: its cold period and this node's budget for it.
    :param exhausted_until: until when reads pass over it, because it is cold and has
        no budget for them.
    :param other_log_until: until when it is not used as the primary, because an answer
        showed that it does not have the primary's log.
    :param has_disclaimed: whether its entry stopped to say that it is the primary while
        it was.
    """

    __slots__ = (
        "record",
        "owners",
        "owner_cooldowns",
        "cooldown_until",
        "load",
        "load_at",
        "view",
        "is_owned",
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
        "lag",
        "failures",
        "retry_at",
        "failing_since",
        "failure",
        "answered_at",
        "draining_since",
        "missing_since",
        "distance",
        "sent",
        "writes",
        "committed_at",
        "probed_at",
        "handshakes",
        "probe_answered_at",
        "region",
        "warmup",
        "exhausted_until",
        "other_log_until",
        "has_disclaimed",
    )

    def __init__(self, record: catalog.EndpointRecord, distance: int) -> None:
        """Create an endpoint without connections."""
        self.region: str | None = None
        self.warmup = warmup.Warmup(record.born, clock.read())
        self.exhausted_until = float("-inf")
        self.other_log_until = float("-inf")
        self.has_disclaimed = False
        self.record = record
        self.distance = distance
        self.owners: list[str] = []
        self.owner_cooldowns: dict[str, float] = {}
        self.cooldown_until = float("-inf")
        self.load: execution.Load | None = None
        self.load_at = float("-inf")
        self.view = load_view.LoadView()
        self.is_owned = False
        self.error_rate = grading.ErrorRate(clock.read())
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
        self.lag = replica_lag.ReplicaLag()
        self.failures = 0
        self.retry_at = 0.0
        self.failing_since: float | None = None
        self.failure = ""
        self.answered_at = float("-inf")
        self.draining_since: float | None = None
        self.missing_since: float | None = None
        self.sent: dict[PooledConnection, float] = {}
        self.writes: dict[PooledConnection, float] = {}
        self.committed_at = float("-inf")
        self.probed_at = float("-inf")
        self.handshakes = 0
        self.probe_answered_at = float("-inf")

    def inherit_ownership(self, replaced: "Endpoint") -> None:
        """Keep owners and connection limits of an earlier start of the endpoint."""
        self.owners = replaced.owners
        self.is_owned = replaced.is_owned
        self.max_connections = replaced.max_connections
        self.min_idle = replaced.min_idle

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.record.name

    @property
    def round_trip(self) -> float:
        """Estimated network round trip in seconds."""
        return ROUND_TRIP_ESTIMATES[self.distance]

    def needs_probe(self, now: float, after: float, min_interval: float) -> bool:
        """Return whether it should be probed over a new connection.

        :param after: seconds without an answer to a statement that was sent.
        :param min_interval: minimum seconds between two probes.
        """
        if now - self.probed_at < min_interval:
            return False
        if self.failing_since is not None:
            return True
        return any(
            now - sent_at > after and self.probed_at < sent_at
            for sent_at in self.sent.values()
        )

    def find_failing_since(self, now: float) -> float | None:
        """Return since when it has been unreachable, or unable to commit.

        A primary that answers queries while its commits stay unanswered has lost
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
        """Return why it counts as failing."""
        if self.failing_since is None:
            return "it answers queries, but its commits stay unanswered"
        return self.failure

    def accepts_new_work(self) -> bool:
        """Return whether it is neither draining nor missing in the store."""
        return self.draining_since is None and self.missing_since is None

    def has_slot(self) -> bool:
        """Return whether another statement may be sent, or a connection opened."""
        return self.running + self.opening < self.record.slots + EXTRA_IN_FLIGHT

    def may_open(self, now: float) -> bool:
        """Return whether another connection may be opened, evicting an idle one."""
        if now < self.retry_at:
            return False
        return bool(self.idle) or not self.is_full(now)

    def is_full(self, now: float) -> bool:
        """Return whether a connection can only be opened if another is evicted."""
        count = len(self.connections) + self.opening
        return count >= self.max_connections or now < self.full_until

    def take_idle(self, team: str, values: dict[str, str]) -> PooledConnection | None:
        """Take an idle connection of the team, preferably with equal variables."""
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
        """Remove and return the connection idle longest if the pool is full."""
        if not self.is_full(now) or not self.idle:
            return None
        oldest = self.idle.pop(0)
        self.connections.discard(oldest)
        return oldest

    def record_limit_reached(self, now: float, pause: float) -> None:
        """Record that the endpoint is at its connection limit."""
        self.refused_at = now
        self.pressure_until = now + PRESSURE_DURATION
        self.full_until = now + pause
        self.retry_at = self.full_until

    def pop_surplus(self, now: float) -> list[PooledConnection]:
        """Remove and return the idle connections that other nodes may need."""
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

    def record_failure(self, now: float, reason: str) -> None:
        """Record a failed attempt; the backoff grows exponentially with jitter."""
        self.failure = reason
        wait = min(
            MAX_BACKOFF, INITIAL_BACKOFF * 2 ** min(self.failures, MAX_DOUBLINGS)
        )
        self.failures += 1
        self.retry_at = now + jitter.spread(wait)
        if self.failing_since is None:
            self.failing_since = min(self.sent.values(), default=now)
            self.view.forget()

    def record_answer(self, now: float) -> None:
        """Record an answer, which proves that the endpoint is reachable."""
        self.answered_at = now
        self.failures = 0
        self.retry_at = 0.0
        self.failing_since = None

    def record_service_time(self, seconds: float) -> None:
        """Update the average service time from a statement's total duration."""
        seconds = max(MIN_SERVICE_TIME, seconds - self.round_trip)
        self.service_time += SERVICE_SMOOTHING * (seconds - self.service_time)

    def record_applied(self, position: positions.Position, now: float) -> None:
        """Record the position of the endpoint's log in an answer."""
        self.applied = position
        self.lag.record_position(position, now)

    def update_load(self, load: execution.Load, now: float) -> None:
        """Apply an owner's report of the endpoint's load."""
        self.load = load
        self.load_at = now
        self.service_time = load.service_time
        self.record_ahead(load.ahead, now)

    def record_ahead(self, ahead: int, now: float) -> None:
        """Apply an owner's count of the statements that run or wait there."""
        self.view.record_report(ahead, now, self.round_trip)

    def estimate_ahead(self, now: float) -> float:
        """Return the expected number of statements that run or wait there."""
        if self.is_owned:
            return float(self.running + len(self.waiters))
        return self.view.estimate(now, self.record.slots)

    def estimate_queue_length(self, now: float) -> float:
        """Return the estimated number of statements in front of a new one."""
        if self.load is None:
            return self.in_flight
        age = (now - self.load_at) / LOAD_REPORT_LIFETIME
        return max(self.in_flight, self.load.ahead * max(0.0, 1.0 - age))

    def estimate_latency(self, now: float) -> float:
        """Return the estimated seconds until a new statement is answered."""
        queued = self.estimate_queue_length(now) / max(1, self.record.slots)
        return self.round_trip + self.service_time * (1.0 + queued)

    def compute_error_rate(self, now: float) -> float:
        """Return the share of its recent statements that failed."""
        share = self.error_rate.compute(now)
        if self.load is not None and now - self.load_at < grading.DECAY_TIME:
            share = max(share, self.load.failed)
        return share

    def make_candidate(self, now: float, is_primary: bool) -> placement.Candidate:
        """Return the endpoint as a candidate for a read."""
        return placement.Candidate(
            self.name,
            self.round_trip,
            self.service_time,
            self.estimate_queue_length(now),
            is_primary,
            self.applied,
            self.lag.find_missing(now),
            self.record.slots,
            self.distance > 1,
            self.compute_error_rate(now),
            self.estimate_ahead(now),
        )


def find_missing_state(
    pooled: PooledConnection,
    values: dict[str, str],
    definitions: typing.Iterable[statements.Definition],
    is_in_transaction: bool = False,
) -> tuple[bool, dict[str, str], list[statements.Definition]]:
    """Return the session state that a connection lacks.

    Outside of transactions, a connection with too many prepared statements is reset.

    :returns: whether it must be reset, the variables to set, and the statements
        to prepare; both as needed after that reset.
    """
    is_overfull = pooled.prepared_bytes > MAX_PREPARED and not is_in_transaction
    needs_reset = is_overfull or any(name not in values for name in pooled.values)
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
