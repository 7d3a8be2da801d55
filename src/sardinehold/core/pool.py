"""Connection pools of endpoints, bounded by this node's share.

Each node holds open at most its share of the connections that an endpoint
accepts. Connections are opened before they are needed, a few at a time. Idle
connections are closed after a timeout, or when they are found unresponsive.
"""

import typing

from sardinehold import document
from sardinehold.core import actions
from sardinehold.core import concurrency
from sardinehold.core import events
from sardinehold.core import fairness
from sardinehold.core import handlers
from sardinehold.core import invariants
from sardinehold.core import node as nodes
from sardinehold.core import samples
from sardinehold.core import shares

MAX_OPENING = 2
"""Maximum number of connections to one endpoint that are opened at once."""

OPEN_TIMEOUT = 1.0
"""Timeout in seconds for opening a connection."""

RETRY_DELAY = 0.05
"""Initial backoff in seconds after a connection could not be opened."""

MAX_RETRY_DELAY = 2.0
"""Upper bound in seconds of the backoff, which doubles with each failure."""

MIN_IDLE = 1
"""Minimum number of idle connections to each endpoint in use."""

DEMAND_INTERVAL = 0.25
"""Minimum seconds between two reviews of the demand for connections."""

SLOT_FACTOR = 2.0
"""Statements per slot of the node, so that no slot idles during a round trip."""

IDLE_TIMEOUT = 30.0
"""Seconds without an answer after which an idle connection is closed."""

NO_SETTINGS: dict[str, str] = {}
"""Shared settings of connections on which nothing was SET."""

SHARES: dict[str, typing.Callable[[nodes.Node, "Endpoint"], int]] = {}
"""Policies for the node's share of connections, registered with :func:`share`."""


def share(name: str) -> typing.Callable:
    """Register the decorated function as the share policy ``name``."""

    def register(function: typing.Callable) -> typing.Callable:
        SHARES[name] = function
        return function

    return register


@invariants.invariant("No endpoint gets more connections than the node's share.")
def connections_within_share(node: nodes.Node, endpoint: "Endpoint") -> bool:
    """Return whether one more connection stays within the share."""
    return len(endpoint.connections) < endpoint.share


class Connection:
    """A connection to an endpoint.

    :param is_open: whether it is ready.
    :param request: the request that was sent on it and is not answered, or None.
    :param session: the session that it is pinned to, or None.
    :param settings: settings in force on it; shared, never changed in place.
    :param is_tainted: whether it must be closed instead of reused.
    :param answered_at: when it was opened or last answered.
    """

    __slots__ = (
        "connection_id",
        "endpoint",
        "is_open",
        "request",
        "session",
        "settings",
        "is_tainted",
        "answered_at",
    )

    def __init__(self, connection_id: int, endpoint: "Endpoint", now: float) -> None:
        """Create a connection that is being opened."""
        self.connection_id = connection_id
        self.endpoint = endpoint
        self.is_open = False
        self.request = None
        self.session = None
        self.settings = NO_SETTINGS
        self.is_tainted = False
        self.answered_at = now


class Endpoint:
    """One endpoint as this node sees it.

    :param group: the group that it belongs to.
    :param config: its configuration in the document.
    :param idle: idle connections, the most recently used last.
    :param in_flight: statements that run on it for this node.
    :param wanted: maximum connections needed at once since the last review.
    :param peak: maximum statements in flight since the last review.
    :param demand: number of connections last requested from the allocator.
    :param is_healthy: False after a new connection failed, until one succeeds.
    :param leaving_since: when the view first listed it as leaving, or None.
    :param applied: offset visible to its readers, in the group's current term;
        -1 when it is not known.
    :param received: offset that would survive its promotion; -1 when it is not
        known.
    :param lag: replication lag in seconds, a moving average.
    :param probed_at: when the last answered probe was sent.
    """

    __slots__ = (
        "name",
        "group",
        "config",
        "queue",
        "limit",
        "connections",
        "idle",
        "opening",
        "in_flight",
        "grant",
        "grant_deadline",
        "share",
        "wanted",
        "peak",
        "demand",
        "demand_reported_at",
        "failures",
        "retry_at",
        "is_healthy",
        "is_isolated",
        "leaving_since",
        "latency",
        "applied",
        "received",
        "samples",
        "lag",
        "probed_at",
        "probe",
        "last_used",
        "is_trim_scheduled",
        "hash",
    )

    def __init__(
        self, group: typing.Any, config: document.Endpoint, policies: nodes.Policies
    ) -> None:
        """Start without connections and with unknown positions."""
        self.name = config.name
        self.group = group
        self.config = config
        self.queue = fairness.QUEUES[policies.queue]()
        self.limit = concurrency.LIMITS[policies.limit](group.config.slots)
        self.connections: dict[int, Connection] = {}
        self.idle: list[Connection] = []
        self.opening = 0
        self.in_flight = 0
        self.grant: int | None = None
        self.grant_deadline = 0.0
        self.share = 0
        self.wanted = 0
        self.peak = 0
        self.demand = 0
        self.demand_reported_at = -DEMAND_INTERVAL
        self.failures = 0
        self.retry_at = 0.0
        self.is_healthy = True
        self.is_isolated = False
        self.leaving_since: float | None = None
        self.latency = fairness.INITIAL_COST
        self.applied = -1
        self.received = -1
        self.samples = samples.Samples()
        self.lag = 0.05
        self.probed_at = -1.0
        self.probe: typing.Any = None
        self.last_used = -1.0
        self.is_trim_scheduled = False
        self.hash = sum(map(ord, config.name)) * 31 + len(config.name)


@share("even")
def find_even_share(node: nodes.Node, endpoint: Endpoint) -> int:
    """Return an equal part of the endpoint's connections for each member."""
    return endpoint.group.config.connections // count_members(node)


def count_members(node: nodes.Node) -> int:
    """Return the number of nodes that share the endpoints, at least 1."""
    return max(1, len(node.view.members) if node.view else 1)


@share("granted")
def find_granted_share(node: nodes.Node, endpoint: Endpoint) -> int:
    """Return the share that the allocator granted, or else the base share.

    Without a valid grant, other nodes may hold all connections above the base
    shares; every member may always hold its base share.
    """
    if endpoint.grant is not None and node.now <= endpoint.grant_deadline:
        return endpoint.grant
    return min(find_even_share(node, endpoint), shares.BASE_CONNECTIONS)


def update_share(node: nodes.Node, endpoint: Endpoint) -> None:
    """Update the share and close idle connections above it."""
    endpoint.share = SHARES[node.policies.share](node, endpoint)
    part = SLOT_FACTOR * endpoint.group.config.slots / count_members(node)
    endpoint.limit.floor = max(concurrency.MIN_LIMIT, part)
    endpoint.limit.value = max(endpoint.limit.value, endpoint.limit.floor)
    while len(endpoint.connections) > endpoint.share and endpoint.idle:
        close(node, endpoint.idle[0])


def ensure_open(node: nodes.Node, endpoint: Endpoint) -> None:
    """Open connections before they are needed, a few at a time."""
    ready = len(endpoint.idle) + endpoint.opening
    needed = endpoint.queue.size + MIN_IDLE - ready
    if needed <= 0 or not endpoint.is_healthy:
        return
    if node.now < endpoint.retry_at:
        return
    spare = endpoint.share - len(endpoint.connections)
    if needed > spare:
        endpoint.wanted = max(endpoint.wanted, len(endpoint.connections) + needed)
        review_demand(node, endpoint)
    room = min(spare, needed)
    for _ in range(min(room, MAX_OPENING - endpoint.opening)):
        _open(node, endpoint)


def _open(node: nodes.Node, endpoint: Endpoint) -> None:
    connections_within_share(node, endpoint)
    connection = Connection(node.next_connection_id, endpoint, node.now)
    node.next_connection_id += 1
    endpoint.connections[connection.connection_id] = connection
    endpoint.opening += 1
    node.connections[connection.connection_id] = connection
    deadline = node.now + OPEN_TIMEOUT
    node.actions.append(
        actions.OpenConnection(connection.connection_id, endpoint.name, deadline)
    )
    node.count("connections_opened")


def close(node: nodes.Node, connection: Connection) -> None:
    """Close a connection and remove it from the pool."""
    remove_connection(node, connection)
    node.actions.append(actions.CloseConnection(connection.connection_id))


def remove_connection(node: nodes.Node, connection: Connection) -> None:
    """Remove a connection from the pool."""
    if node.connections.pop(connection.connection_id, None) is None:
        return
    endpoint = connection.endpoint
    del endpoint.connections[connection.connection_id]
    if not connection.is_open:
        endpoint.opening -= 1
    elif connection in endpoint.idle:
        endpoint.idle.remove(connection)
    if connection.request is not None:
        endpoint.in_flight -= 1
        connection.request = None
    connection.session = None


def release(node: nodes.Node, connection: Connection) -> None:
    """Return a connection to the pool, or close it if tainted or above the share."""
    endpoint = connection.endpoint
    connection.session = None
    if connection.is_tainted or len(endpoint.connections) > endpoint.share:
        close(node, connection)
        return
    endpoint.idle.append(connection)


def close_unresponsive(node: nodes.Node, endpoint: Endpoint, since: float) -> None:
    """Close idle connections that have not answered since ``since``.

    They may be as unresponsive as the connection that was used at that time.
    """
    for connection in list(endpoint.idle):
        if connection.answered_at < since:
            close(node, connection)


def trim(node: nodes.Node, endpoint: Endpoint) -> None:
    """Close connections beyond the idle timeout, and schedule the next check."""
    endpoint.is_trim_scheduled = False
    limit = node.now - IDLE_TIMEOUT
    for connection in list(endpoint.idle):
        if connection.answered_at < limit:
            close(node, connection)
    if endpoint.connections:
        schedule_trim(node, endpoint)


def schedule_trim(node: nodes.Node, endpoint: Endpoint) -> None:
    """Schedule a check of idle connections, with jitter."""
    if endpoint.is_trim_scheduled:
        return
    endpoint.is_trim_scheduled = True
    delay = IDLE_TIMEOUT * (0.5 + 0.5 * nodes.derive_jitter(node.seed, endpoint.hash))
    node.timers.set(node.now + delay, trim, endpoint)


def review_demand(node: nodes.Node, endpoint: Endpoint) -> None:
    """Report the number of needed connections to the allocator if it changed.

    A higher demand is reported at once; a lower one by half of the difference.
    """
    if node.now - endpoint.demand_reported_at < DEMAND_INTERVAL:
        return
    needed = max(endpoint.wanted, endpoint.peak) + MIN_IDLE
    endpoint.wanted = 0
    endpoint.peak = endpoint.in_flight
    if needed < endpoint.demand:
        needed = (needed + endpoint.demand) // 2
    report_demand(node, endpoint, needed)


def report_demand(node: nodes.Node, endpoint: Endpoint, connections: int) -> None:
    """Request connections from the allocator if the number has changed."""
    if connections == endpoint.demand:
        return
    endpoint.demand = connections
    endpoint.demand_reported_at = node.now
    node.actions.append(actions.RequestConnections(endpoint.name, connections))


def delay_opening(node: nodes.Node, endpoint: Endpoint) -> None:
    """Delay opening with exponential backoff and jitter."""
    delay = min(MAX_RETRY_DELAY, RETRY_DELAY * 2**endpoint.failures)
    endpoint.failures = min(endpoint.failures + 1, 10)
    jitter = 0.5 + nodes.derive_jitter(node.seed, endpoint.hash, endpoint.failures)
    endpoint.retry_at = node.now + delay * jitter
    node.timers.set(endpoint.retry_at, ensure_open, endpoint)


@handlers.handles(events.ConnectionsGranted)
def handle_grant(node: nodes.Node, event: events.ConnectionsGranted) -> None:
    """Apply a granted share of connections until its deadline."""
    endpoint = node.endpoints.get(event.endpoint)
    if endpoint is None:
        return
    endpoint.grant = event.connections
    endpoint.grant_deadline = event.deadline
    update_share(node, endpoint)
    ensure_open(node, endpoint)
    node.timers.set(event.deadline, update_share, endpoint)
