"""From an endpoint's queue onto one of its connections."""

from sardinehold import errors
from sardinehold import keys
from sardinehold.core import actions
from sardinehold.core import balance as balances
from sardinehold.core import groups
from sardinehold.core import invariants
from sardinehold.core import leases
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import probing
from sardinehold.core import request as requests
from sardinehold.core import statements

MAX_QUEUED = 256
"""Requests of one team that wait for one endpoint."""

_ENDING = frozenset([statements.Kind.COMMIT, statements.Kind.WRITE])
_KEY_START = f"{keys.MARKER}_"


@invariants.invariant("A non-idempotent request runs at most once.")
def at_most_once_sent(request: requests.Request) -> bool:
    """Return whether sending does not repeat what must not be repeated."""
    return not request.sends or request.is_retryable


@invariants.invariant("Transactions from different sessions never mix.")
def connection_not_shared_by_transactions(
    connection: pool.Connection, request: requests.Request
) -> bool:
    """Return whether nothing of another session is open on the connection."""
    owner = connection.session
    return connection.request is None and (owner is None or owner is request.session)


@invariants.invariant("A request runs only for the team whose key came with it.")
def request_team_matches_key(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether the request's owner is the one that the key stands for."""
    session = request.session
    if session.route.open:
        return request.owner == f"{balances.ROUTE_PREFIX}{session.route.name}"
    owner = node.keys.get(session.key_prefix)
    return owner is not None and owner.team == request.owner


@invariants.invariant("A withdrawn key stops working within seconds.")
def key_in_force_when_sent(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether the view in force and trusted still has the key."""
    if node.now > node.serve_deadline:
        return False
    session = request.session
    if session.route.open:
        return True
    owner = node.keys.get(session.key_prefix)
    return owner is not None and not owner.record.withdrawn


@invariants.invariant("A session has read-your-writes.")
def read_not_behind_floor(request: requests.Request, endpoint: pool.Endpoint) -> bool:
    """Return whether the endpoint of a read is known to have its floor."""
    if not request.is_read or request.max_age is not None or request.in_transaction:
        return True
    if endpoint is request.group.primary:
        return True
    floor = request.session.floor
    if floor.position.term != request.group.state.term:
        return False
    return endpoint.applied >= floor.position.offset and (
        not floor.endpoint or floor.endpoint == endpoint.name
    )


@invariants.invariant("An endpoint that is leaving gets no new work.")
def leaving_endpoint_gets_no_new_work(
    node: nodes.Node, request: requests.Request, endpoint: pool.Endpoint
) -> bool:
    """Return whether the endpoint stays, or the work is not new."""
    since = endpoint.leaving_since
    return (
        since is None
        or node.now <= since + groups.LEAVING_GRACE
        or request.in_transaction
    )


@invariants.invariant("Every accepted request runs as promised or is refused.")
def sent_within_deadline(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether the request was paid for and is within its deadline."""
    return request.has_token and node.now <= request.deadline


@invariants.invariant("No endpoint ever sees a caller's key.")
def no_key_towards_endpoint(setup: tuple[str, ...]) -> bool:
    """Return whether no statement that the engine makes holds a key."""
    return not any(_KEY_START in statement for statement in setup)


SENDING = invariants.Suite(
    "at_most_once_sent",
    "connection_not_shared_by_transactions",
    "request_team_matches_key",
    "key_in_force_when_sent",
    "read_not_behind_floor",
    "leaving_endpoint_gets_no_new_work",
    "sent_within_deadline",
)
"""What is checked each time that a request is sent."""

_at_most_once_sent = at_most_once_sent.__wrapped__
_connection_not_shared = connection_not_shared_by_transactions.__wrapped__
_request_team_matches_key = request_team_matches_key.__wrapped__
_key_in_force = key_in_force_when_sent.__wrapped__
_read_not_behind_floor = read_not_behind_floor.__wrapped__
_leaving_endpoint = leaving_endpoint_gets_no_new_work.__wrapped__
_sent_within_deadline = sent_within_deadline.__wrapped__


def submit(
    node: nodes.Node, endpoint: pool.Endpoint, request: requests.Request
) -> None:
    """Send a request on a free connection, or queue it for one."""
    request.endpoint = endpoint
    idle = endpoint.idle
    if idle and not endpoint.queue.size and endpoint.in_flight < endpoint.limit.value:
        send(node, request, take(endpoint, request))
        return
    _enqueue(node, endpoint, request)


def _enqueue(
    node: nodes.Node, endpoint: pool.Endpoint, request: requests.Request
) -> None:
    """Queue a request unless its wait would exceed its deadline."""
    queue = endpoint.queue
    weight = request.session.weight
    parallel = max(1.0, min(endpoint.limit.value, float(endpoint.share)))
    wait = queue.expect_wait(request.owner, weight, parallel)
    flow = queue.flows.get(request.owner)
    is_full = flow is not None and len(flow) >= MAX_QUEUED
    if is_full or node.now + wait > request.deadline:
        error = errors.QueueFull(
            f"The team's queue for {endpoint.name} is full;"
            f" the expected wait is {wait:.2f} s.",
            f"Repeat the statement after {max(wait, 0.1):.1f} s.",
        )
        requests.refuse(node, request, error)
        return
    request.advance("queue")
    queue.push(request, weight)
    endpoint.wanted = max(endpoint.wanted, queue.size + len(endpoint.connections))
    pool.ensure_open(node, endpoint)


def take(endpoint: pool.Endpoint, request: requests.Request) -> pool.Connection:
    """Take a free connection out, one with the session's settings if possible."""
    idle = endpoint.idle
    settings = request.session.settings
    if idle[-1].settings is not settings:
        for place in range(len(idle) - 2, -1, -1):
            if idle[place].settings is settings:
                return idle.pop(place)
    return idle.pop()


def pump(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Send queued requests while connections are free."""
    queue = endpoint.queue
    while queue.size and endpoint.idle and endpoint.in_flight < endpoint.limit.value:
        request = queue.pop()
        if request.is_waiting() and leases.may_send(node, request):
            send(node, request, take(endpoint, request))
    if queue.size:
        pool.ensure_open(node, endpoint)


def send(
    node: nodes.Node, request: requests.Request, connection: pool.Connection
) -> None:
    """Send a request on a connection that is free for it."""
    endpoint = connection.endpoint
    session = request.session
    check(node, request, connection)
    request.advance("send")
    request.sends += 1
    request.connection = connection
    request.endpoint = endpoint
    request.sent_at = node.now
    state = request.group.state
    request.term = state.term if state else 0
    connection.request = request
    endpoint.in_flight += 1
    if endpoint.in_flight > endpoint.peak:
        endpoint.peak = endpoint.in_flight
    endpoint.last_used = node.now
    setup = ()
    if connection.settings is not session.settings:
        setup = make_setup(connection.settings, session.settings)
        connection.settings = session.settings
        no_key_towards_endpoint(setup)
    if not probing.is_watched(endpoint):
        probing.watch_connections(node, endpoint)
    node.actions.append(
        actions.Dispatch(
            request.request_id,
            session.session_id,
            connection.connection_id,
            endpoint.name,
            setup,
            needs_position(request),
        )
    )


def check(
    node: nodes.Node, request: requests.Request, connection: pool.Connection
) -> None:
    """Check all that must hold when a request is sent."""
    endpoint = connection.endpoint
    if (
        _at_most_once_sent(request)
        and _connection_not_shared(connection, request)
        and _request_team_matches_key(node, request)
        and _key_in_force(node, request)
        and _read_not_behind_floor(request, endpoint)
        and _leaving_endpoint(node, request, endpoint)
        and _sent_within_deadline(node, request)
    ):
        SENDING.checked += 1
        return
    at_most_once_sent(request)
    connection_not_shared_by_transactions(connection, request)
    request_team_matches_key(node, request)
    key_in_force_when_sent(node, request)
    read_not_behind_floor(request, endpoint)
    leaving_endpoint_gets_no_new_work(node, request, endpoint)
    sent_within_deadline(node, request)


def needs_position(request: requests.Request) -> bool:
    """Return whether the answer is held until its position is durable.

    Inside a transaction only what may end it is.
    """
    if request.is_read:
        return False
    if request.in_transaction:
        return request.traits.ends and request.traits.kind in _ENDING
    return request.traits.kind is statements.Kind.WRITE


def make_setup(old: dict[str, str], new: dict[str, str]) -> tuple[str, ...]:
    """Return the statements that turn one session's settings into another's."""
    resets = [f"RESET {name}" for name in old if name not in new]
    sets = [
        f"SET {name} TO {value}"
        for name, value in new.items()
        if old.get(name) != value
    ]
    return tuple(resets + sets)
