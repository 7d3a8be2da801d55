"""Routing of requests to endpoints."""

import typing

from sardinehold import errors
from sardinehold.core import dispatch
from sardinehold.core import floors
from sardinehold.core import groups
from sardinehold.core import leases
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import probing
from sardinehold.core import request as requests
from sardinehold.core import transaction
from sardinehold.core import waiting

Choice = typing.Callable[[nodes.Node, requests.Request], pool.Endpoint | None]

CHOICES: dict[str, Choice] = {}
"""Policies to choose among eligible replicas, registered with :func:`choice`."""

MAX_WAITING = 512
"""Maximum number of reads, and of writes, of one group that wait for an endpoint."""


def choice(name: str) -> typing.Callable[[Choice], Choice]:
    """Register the decorated function as the policy ``name``."""

    def register(function: Choice) -> Choice:
        CHOICES[name] = function
        return function

    return register


def find_eligible(node: nodes.Node, request: requests.Request) -> list[pool.Endpoint]:
    """Return the replicas that a read may run on."""
    group = request.group
    if request.max_age is not None:
        return [
            endpoint
            for endpoint in group.replicas
            if groups.find_age(node, group, endpoint) <= request.max_age
        ]
    floor = request.session.floor
    if floor.endpoint:
        floors.resolve(floor, group)
    request.required_offset = offset = floor.position.offset
    request.required_endpoint = required_endpoint = floor.endpoint
    return [
        endpoint
        for endpoint in group.replicas
        if endpoint.applied >= offset
        and (not required_endpoint or endpoint.name == required_endpoint)
    ]


@choice("fastest")
def choose_fastest(node: nodes.Node, request: requests.Request) -> pool.Endpoint | None:
    """Choose by latency times outstanding requests, preferring the node's zone."""
    best = None
    best_score = 0.0
    for endpoint in find_eligible(node, request):
        score = _score(node, endpoint)
        if best is None or score < best_score:
            best, best_score = endpoint, score
    return best


@choice("sticky")
def choose_sticky(node: nodes.Node, request: requests.Request) -> pool.Endpoint | None:
    """Choose the session's last replica while it has capacity, else the fastest.

    That replica still has everything that the session has seen on it.
    """
    if request.max_age is None:
        group = request.group
        floor = request.session.floor
        last = group.endpoints.get(floor.endpoint)
        if (
            last is not None
            and last.idle
            and last in group.replicas
            and last.applied >= floor.position.offset
            and last.in_flight < last.limit.value
        ):
            return last
    return choose_fastest(node, request)


def _score(node: nodes.Node, endpoint: pool.Endpoint) -> float:
    outstanding = 1 + endpoint.in_flight + endpoint.queue.size
    zone_penalty = 1.0 if endpoint.config.zone == node.zone else 1.1
    return outstanding * endpoint.latency * zone_penalty


@choice("round_robin")
def choose_round_robin(
    node: nodes.Node, request: requests.Request
) -> pool.Endpoint | None:
    """Choose the replicas in turn."""
    eligible = find_eligible(node, request)
    if not eligible:
        return None
    request.group.round_robin_count += 1
    return eligible[request.group.round_robin_count % len(eligible)]


@choice("random")
def choose_random(node: nodes.Node, request: requests.Request) -> pool.Endpoint | None:
    """Choose pseudo-randomly, without regard to load."""
    eligible = find_eligible(node, request)
    if not eligible:
        return None
    index = int(nodes.derive_jitter(node.seed, request.request_id) * len(eligible))
    return eligible[min(index, len(eligible) - 1)]


def route(node: nodes.Node, request: requests.Request) -> None:
    """Route a request to an endpoint, or refuse it if the lease lapsed."""
    session = request.session
    group = request.group
    if not leases.may_send(node, request):
        return
    group.last_used = node.now
    if not group.is_active:
        probing.activate(node, group)
    if session.connection is not None:
        transaction.submit(node, request)
        return
    state = group.state
    if state is None or session.floor.position.term != state.term:
        _route_across_terms(node, request)
    elif request.is_read:
        route_read(node, request)
    else:
        route_write(node, request)


def _route_across_terms(node: nodes.Node, request: requests.Request) -> None:
    """Translate the session's floor into the current term, then route."""
    try:
        is_known = floors.translate(request.session.floor, request.group)
    except errors.PositionLost as error:
        node.count("positions_lost")
        requests.refuse(node, request, error)
        return
    if not request.is_read:
        route_write(node, request)
    elif is_known:
        route_read(node, request)
    else:
        _queue_read(node, request, request.deadline)


def route_write(node: nodes.Node, request: requests.Request) -> None:
    """Send a write to the primary, or queue it until there is one."""
    group = request.group
    if groups.takes_writes(node, group):
        dispatch.submit(node, group.primary, request)
        return
    if len(group.waiting_writes) >= MAX_WAITING:
        requests.refuse(node, request, _make_no_primary_error(group))
        return
    request.advance("queue")
    group.waiting_writes.append(request)
    node.count("writes_waited")


def route_read(node: nodes.Node, request: requests.Request) -> None:
    """Send a read to an eligible replica, the primary, or the waiting queue."""
    group = request.group
    endpoint = find_replica(node, request)
    if endpoint is not None:
        counters = node.counters
        counters["reads_on_replica"] = counters.get("reads_on_replica", 0) + 1
        dispatch.submit(node, endpoint, request)
        return
    if not groups.serves_primary_reads(group):
        _queue_read(node, request, request.deadline)
        return
    wait = waiting.POLICIES[node.policies.wait](node, group, request)
    if wait > 0:
        node.count("reads_waited")
        _queue_read(node, request, node.now + wait)
    else:
        send_to_primary(node, request)


def find_replica(node: nodes.Node, request: requests.Request) -> pool.Endpoint | None:
    """Return the replica for a read, or None if none is eligible."""
    return node.choose_replica(node, request)


def send_to_primary(node: nodes.Node, request: requests.Request) -> None:
    """Send a read to the primary, which has applied every position of its term."""
    node.count("reads_on_primary")
    dispatch.submit(node, request.group.primary, request)


def _queue_read(node: nodes.Node, request: requests.Request, until: float) -> None:
    """Queue a read until there is an eligible replica, a primary or a newer view."""
    group = request.group
    if len(group.waiting_reads) >= MAX_WAITING:
        error = errors.QueueFull(
            f"Too many reads of group {group.name} wait for a replica.",
            "Retry after a second, or accept older data with sardinehold.max_age.",
        )
        requests.refuse(node, request, error)
        return
    request.advance("queue")
    request.wait_deadline = min(until, request.deadline)
    group.waiting_reads.append(request)
    if until < request.deadline:
        node.timers.set(until, _end_wait, request)
    probing.probe_for_waiting_reads(node, group)


def _end_wait(node: nodes.Node, request: requests.Request) -> None:
    """Send a read whose wait has expired to the primary."""
    waiting_reads = request.group.waiting_reads
    if request.state != "queued" or request not in waiting_reads:
        return
    waiting_reads.remove(request)
    node.count("reads_gave_up_waiting")
    if not leases.may_send(node, request):
        return
    if groups.serves_primary_reads(request.group) and _is_current(request):
        send_to_primary(node, request)
    else:
        _queue_read(node, request, request.deadline)


def _is_current(request: requests.Request) -> bool:
    """Return whether the session's floor belongs to the current term."""
    state = request.group.state
    return state is not None and request.session.floor.position.term == state.term


def retry_reads(node: nodes.Node, group: groups.Group) -> None:
    """Send the waiting reads for which there is an eligible replica now."""
    still_waiting = []
    queued, group.waiting_reads = group.waiting_reads, still_waiting
    for request in queued:
        if not request.is_waiting() or not leases.may_send(node, request):
            continue
        endpoint = find_replica(node, request) if _is_current(request) else None
        if endpoint is None:
            still_waiting.append(request)
        else:
            node.count("reads_on_replica")
            dispatch.submit(node, endpoint, request)


def reroute(node: nodes.Node, group: groups.Group) -> None:
    """Route all waiting requests of a group again, for example for a new view."""
    queued = group.waiting_reads + list(group.waiting_writes)
    group.waiting_reads = []
    group.waiting_writes.clear()
    for endpoint in group.endpoints.values():
        queued.extend(endpoint.queue.drain())
    queued.sort(key=lambda request: request.request_id)
    for request in queued:
        if request.is_waiting():
            route(node, request)


def _make_no_primary_error(group: groups.Group) -> errors.RequestError:
    return errors.EndpointUnavailable(
        f"Group {group.name} has no primary that accepts writes now.",
        "Repeat the statement in a few seconds.",
    )


def explain_expiry(request: requests.Request) -> errors.RequestError:
    """Return the error for a request whose deadline passed before it was sent."""
    if not request.is_read and request.endpoint is None and request.has_token:
        return _make_no_primary_error(request.group)
    return errors.DeadlineExceeded(
        "The statement's deadline passed while it waited.",
        "Repeat it; raise the route's statement_timeout if this happens often.",
    )
