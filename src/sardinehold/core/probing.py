"""Probing of endpoints for log positions and health, and the resulting reports.

Only groups in use are probed, and all sessions share the answers. The interval
is short while reads or writes wait for an answer and long otherwise.
"""

from sardinehold.core import actions
from sardinehold.core import durability
from sardinehold.core import events
from sardinehold.core import groups
from sardinehold.core import handlers
from sardinehold.core import losses
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import routing

INTERVAL = 0.1
"""Seconds between regular probes of an endpoint whose group is in use."""

URGENT_INTERVAL = 0.02
"""Seconds between probes of the replica that waiting reads need."""

CONFIRM_INTERVAL = 0.002
"""Initial seconds between probes of a primary while writes are held."""

MAX_CONFIRM_INTERVAL = 0.02
"""Maximum seconds between probes of a primary while writes are held."""

PROBES_PER_SECOND = 200
"""Limit on regular probes per node; with more endpoints the interval grows."""

GROUP_IDLE_TIMEOUT = 5.0
"""Seconds after its last request until a group counts as idle."""

PROBE_TIMEOUT = 0.5
"""Seconds that a probe may take."""

UNHEALTHY_INTERVAL = 0.5
"""Seconds between probes of an unhealthy endpoint."""

REPORT_INTERVAL = 1.0
"""Seconds between reports of an unhealthy or isolated endpoint."""

ISOLATED_AFTER = 1.0
"""Seconds without acknowledgement after which a primary counts as isolated."""

WATCH_INTERVAL = 0.1
"""Seconds between checks for unresponsive connections."""

UNRESPONSIVE_AFTER = 0.25
"""Seconds without an answer after which a connection may be suspected."""

ABANDON_AFTER = 1.0
"""Seconds without an answer after which a read abandons its connection."""

UNRESPONSIVE_FACTOR = 8.0
"""Multiple of its mean cost above which a statement may be suspected."""


class Probe:
    """The probe state of one endpoint.

    :param in_flight_until: deadline of the unanswered probe, or 0.
    :param is_scheduled: whether a timer is set for the next regular probe.
    :param is_watched: whether a timer checks for unresponsive connections.
    :param is_fresh: whether the last probe used a new connection.
    :param alive_as_of: sending time of the latest probe that was answered.
    :param next_report: when to repeat the report of a fault, None without one.
    """

    __slots__ = (
        "in_flight_until",
        "is_scheduled",
        "is_watched",
        "next_report",
        "is_fresh",
        "alive_as_of",
    )

    def __init__(self) -> None:
        """Initialize without a probe."""
        self.in_flight_until = 0.0
        self.is_scheduled = False
        self.is_watched = False
        self.next_report: float | None = None
        self.is_fresh = False
        self.alive_as_of = -1.0


def find_probe(endpoint: pool.Endpoint) -> Probe:
    """Return the endpoint's probe state, which is created if needed."""
    if endpoint.probe is None:
        endpoint.probe = Probe()
    return endpoint.probe


def send(node: nodes.Node, endpoint: pool.Endpoint, fresh: bool = False) -> None:
    """Probe an endpoint unless a probe is in flight.

    :param fresh: whether to probe over a new connection; a probe in flight over
        an existing one does not count then.
    """
    probe = find_probe(endpoint)
    if node.now < probe.in_flight_until and (probe.is_fresh or not fresh):
        return
    deadline = node.now + PROBE_TIMEOUT
    probe.in_flight_until = deadline
    probe.is_fresh = fresh
    node.count("probes")
    node.actions.append(actions.ProbeEndpoint(endpoint.name, fresh, deadline))


def activate(node: nodes.Node, group: groups.Group) -> None:
    """Start probing a group that is in use."""
    node.active_groups[group.name] = group
    group.is_active = True
    group.last_used = node.now
    for endpoint in group.endpoints.values():
        send(node, endpoint)
        probe = find_probe(endpoint)
        if not probe.is_scheduled:
            probe.is_scheduled = True
            jitter = 0.5 + nodes.derive_jitter(node.seed, endpoint.hash)
            node.timers.set(node.now + INTERVAL * jitter, _probe_again, endpoint)


def _find_interval(node: nodes.Node, endpoint: pool.Endpoint) -> float:
    """Return the seconds to the next regular probe."""
    if not endpoint.is_healthy:
        return UNHEALTHY_INTERVAL
    endpoints = 3 * len(node.active_groups)
    return max(INTERVAL, endpoints / PROBES_PER_SECOND)


def _probe_again(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Probe an endpoint and schedule the next probe, unless its group is idle."""
    group = endpoint.group
    if node.endpoints.get(endpoint.name) is not endpoint or not _is_in_use(node, group):
        find_probe(endpoint).is_scheduled = False
        group.is_active = False
        pool.report_demand(node, endpoint, 0)
        node.active_groups.pop(group.name, None)
        return
    send(node, endpoint, fresh=not endpoint.is_healthy)
    _repeat_report(node, endpoint)
    pool.review_demand(node, endpoint)
    delay = _find_interval(node, endpoint)
    node.timers.set(node.now + delay, _probe_again, endpoint)


def _is_in_use(node: nodes.Node, group: groups.Group) -> bool:
    if group.waiting_reads or group.waiting_writes or group.held:
        return True
    if any(not endpoint.is_healthy for endpoint in group.endpoints.values()):
        return True
    return node.now - group.last_used < GROUP_IDLE_TIMEOUT


def probe_for_waiting_reads(node: nodes.Node, group: groups.Group) -> None:
    """Start probing the replica with the least lag because a read waits."""
    if group.is_probing_replicas:
        return
    group.is_probing_replicas = True
    node.timers.set(node.now + URGENT_INTERVAL, _probe_for_reads, group)


def _probe_for_reads(node: nodes.Node, group: groups.Group) -> None:
    """Probe the replica with the least lag until no read waits."""
    if not group.waiting_reads:
        group.is_probing_replicas = False
        return
    if group.replicas:
        send(node, min(group.replicas, key=_find_lag))
    node.timers.set(node.now + URGENT_INTERVAL, _probe_for_reads, group)


def _find_lag(endpoint: pool.Endpoint) -> float:
    return endpoint.lag


def probe_for_held_writes(node: nodes.Node, group: groups.Group) -> None:
    """Start probing the primary for its replicas' positions until no write is held."""
    if group.is_probing_primary:
        return
    group.is_probing_primary = True
    delay = CONFIRM_INTERVAL
    node.timers.set(node.now + delay, _probe_for_writes, (group, delay))


def _probe_for_writes(node: nodes.Node, argument: tuple[groups.Group, float]) -> None:
    """Probe the primary of a group with held writes, with exponential backoff."""
    group, delay = argument
    if not group.held:
        group.is_probing_primary = False
        return
    if group.primary is not None:
        send(node, group.primary)
    delay = min(MAX_CONFIRM_INTERVAL, delay * 1.5)
    node.timers.set(node.now + delay, _probe_for_writes, (group, delay))


@handlers.handles(events.StatusObserved)
def observe_status(node: nodes.Node, event: events.StatusObserved) -> None:
    """Record log positions, then resume the reads and writes that waited for them."""
    endpoint = node.endpoints.get(event.endpoint)
    if endpoint is None:
        return
    group = endpoint.group
    probe = find_probe(endpoint)
    probe.in_flight_until = 0.0
    probe.alive_as_of = max(probe.alive_as_of, event.probed_at)
    mark_healthy(node, endpoint)
    if groups.record_status(node, group, event) is None:
        return
    if endpoint is group.primary:
        durability.fill_positions(group, event.applied, event.probed_at)
        _check_isolation(node, group, event)
    if group.held:
        durability.review(node, group)
    if group.waiting_reads:
        routing.retry_reads(node, group)


def _check_isolation(
    node: nodes.Node, group: groups.Group, event: events.StatusObserved
) -> None:
    """Report a primary whose log no replica acknowledges any more.

    An offset must be acknowledged within ``ISOLATED_AFTER``, which is a second.
    """
    primary = group.primary
    if len(group.endpoints) < 2:
        return
    term = group.state.term
    confirmed = [
        position.offset for _, position in event.confirmed if position.term == term
    ]
    best = max(confirmed, default=-1)
    if best >= group.unconfirmed_offset:
        group.unconfirmed_since = None
    if group.unconfirmed_since is None and best < event.applied.offset:
        group.unconfirmed_since = node.now
        group.unconfirmed_offset = event.applied.offset
    since = group.unconfirmed_since
    is_isolated = since is not None and node.now - since > ISOLATED_AFTER
    if is_isolated != primary.is_isolated:
        primary.is_isolated = is_isolated
        report(node, primary)


@handlers.handles(events.ProbeFailed)
def handle_failure(node: nodes.Node, event: events.ProbeFailed) -> None:
    """Mark an endpoint unhealthy if a fresh probe failed, else send a fresh probe."""
    endpoint = node.endpoints.get(event.endpoint)
    if endpoint is None:
        return
    find_probe(endpoint).in_flight_until = 0.0
    if not event.fresh:
        send(node, endpoint, fresh=True)
        return
    if endpoint.is_healthy:
        mark_unhealthy(node, endpoint)


def mark_healthy(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Use an endpoint again after it has answered."""
    if endpoint.is_healthy:
        return
    endpoint.is_healthy = True
    endpoint.failures = 0
    endpoint.retry_at = 0.0
    endpoint.group.update_replicas()
    report(node, endpoint)
    pool.ensure_open(node, endpoint)


def mark_unhealthy(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Stop using an endpoint on which a new connection failed."""
    endpoint.is_healthy = False
    endpoint.group.update_replicas()
    node.count("endpoints_lost")
    report(node, endpoint)
    if not endpoint.group.is_active:
        activate(node, endpoint.group)
    losses.move_reads(node, endpoint)


def report(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Report the health of an endpoint to the supervisor."""
    probe = find_probe(endpoint)
    is_normal = endpoint.is_healthy and not endpoint.is_isolated
    probe.next_report = None if is_normal else node.now + REPORT_INTERVAL
    node.actions.append(
        actions.ReportEndpoint(endpoint.name, endpoint.is_healthy, endpoint.is_isolated)
    )


def _repeat_report(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Repeat the report of an unhealthy or isolated endpoint when due."""
    due = find_probe(endpoint).next_report
    if due is not None and node.now >= due:
        report(node, endpoint)


def is_watched(endpoint: pool.Endpoint) -> bool:
    """Return whether a timer already checks for unresponsive connections."""
    return endpoint.probe is not None and endpoint.probe.is_watched


def watch_connections(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Schedule a check for unresponsive connections."""
    find_probe(endpoint).is_watched = True
    node.timers.set(node.now + WATCH_INTERVAL, _check_unresponsive, endpoint)


def _check_unresponsive(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    """Probe over a new connection if a statement takes long; abandon it later."""
    find_probe(endpoint).is_watched = False
    if not endpoint.in_flight:
        return
    for connection in list(endpoint.connections.values()):
        request = connection.request
        if request is None:
            continue
        elapsed = node.now - request.sent_at
        if elapsed < UNRESPONSIVE_AFTER:
            continue
        flow = endpoint.queue.find_flow(request.owner, request.session.weight)
        if elapsed < UNRESPONSIVE_FACTOR * flow.find_cost(request.is_read).mean:
            continue
        alive_as_of = find_probe(endpoint).alive_as_of
        if alive_as_of < request.sent_at + UNRESPONSIVE_AFTER:
            send(node, endpoint, fresh=True)
        elif endpoint.is_healthy and elapsed >= ABANDON_AFTER:
            losses.retry_unresponsive_read(node, connection)
    if endpoint.in_flight:
        watch_connections(node, endpoint)
