"""State of database groups as seen by this node: positions, ages and roles.

Positions are taken from answers and from probes that all sessions share.
"""

import collections

from sardinehold import document
from sardinehold.core import events
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import positions
from sardinehold.core import view as views

LEAVING_GRACE = 2.0
"""Grace period in seconds during which a leaving primary still accepts writes."""

LAG_SMOOTHING = 0.3
"""Weight of the newest status in the moving average of a replica's lag."""


class Group:
    """One database group.

    :param state: term, primary and phase in the view, or None.
    :param primary: the endpoint that the view names as primary, or None.
    :param replicas: healthy endpoints other than the primary that are not leaving.
    :param waiting_reads: requests that wait for a replica to catch up.
    :param waiting_writes: requests that wait for a primary.
    :param last_used: when a request was last routed or a session opened.
    :param round_robin_count: reads routed by the round-robin policy.
    :param is_active: whether its endpoints are probed regularly.
    :param is_probing_replicas: whether a replica is probed for waiting reads.
    :param is_probing_primary: whether the primary is probed for held writes.
    :param unconfirmed_since: when the primary had reached
        ``unconfirmed_offset``, which no replica has confirmed yet, or None.
    :param held: writes whose acknowledgement waits for durability.
    """

    __slots__ = (
        "name",
        "config",
        "state",
        "primary",
        "endpoints",
        "replicas",
        "waiting_reads",
        "waiting_writes",
        "held",
        "last_used",
        "round_robin_count",
        "is_active",
        "is_probing_replicas",
        "is_probing_primary",
        "unconfirmed_since",
        "unconfirmed_offset",
    )

    def __init__(self, config: document.Group) -> None:
        """Start without endpoints and state."""
        self.name = config.name
        self.config = config
        self.state: views.GroupState | None = None
        self.primary: pool.Endpoint | None = None
        self.endpoints: dict[str, pool.Endpoint] = {}
        self.replicas: list[pool.Endpoint] = []
        self.waiting_reads: list = []
        self.waiting_writes: collections.deque = collections.deque()
        self.held: list = []
        self.last_used = -1.0
        self.round_robin_count = 0
        self.is_active = False
        self.is_probing_replicas = False
        self.is_probing_primary = False
        self.unconfirmed_since: float | None = None
        self.unconfirmed_offset = 0

    def update_replicas(self) -> None:
        """Update the list of replicas that may serve reads."""
        self.replicas = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint is not self.primary
            and endpoint.is_healthy
            and endpoint.leaving_since is None
        ]


def find_group(node: nodes.Node, name: str) -> Group:
    """Return the group, created on first use."""
    group = node.groups.get(name)
    if group is None:
        config = node.view.document.groups[name]
        group = node.groups[name] = Group(config)
        update_group(node, group)
    return group


def update_group(node: nodes.Node, group: Group) -> bool:
    """Update a group from the view.

    :returns: whether term, primary or phase changed.
    """
    config = node.view.document.groups.get(group.name)
    if config is not None:
        group.config = config
        _update_endpoints(node, group)
    old = group.state
    state = group.state = node.view.groups.get(group.name)
    group.primary = group.endpoints.get(state.primary) if state else None
    if old is None or state is None or old.term != state.term:
        _clear_positions(group)
    for endpoint in group.endpoints.values():
        _update_leaving(node, endpoint)
        if endpoint is not group.primary:
            endpoint.is_isolated = False
    group.update_replicas()
    return old is None or state is None or _differs(old, state)


def _differs(old: views.GroupState, new: views.GroupState) -> bool:
    return (old.term, old.primary, old.phase) != (new.term, new.primary, new.phase)


def _update_endpoints(node: nodes.Node, group: Group) -> None:
    """Add and remove endpoints according to the document."""
    configs = {config.name: config for config in group.config.endpoints}
    for name in list(group.endpoints):
        if name not in configs:
            endpoint = group.endpoints.pop(name)
            node.endpoints.pop(name, None)
            endpoint.is_healthy = False
            for connection in list(endpoint.idle):
                pool.close(node, connection)
    for name, config in configs.items():
        endpoint = group.endpoints.get(name)
        if endpoint is None:
            endpoint = pool.Endpoint(group, config, node.policies)
            group.endpoints[name] = node.endpoints[name] = endpoint
        endpoint.config = config
        pool.update_share(node, endpoint)


def _clear_positions(group: Group) -> None:
    """Clear the known positions, which belong to another term."""
    for endpoint in group.endpoints.values():
        endpoint.applied = endpoint.received = -1
        endpoint.samples.clear()
    group.unconfirmed_since = None


def _update_leaving(node: nodes.Node, endpoint: pool.Endpoint) -> None:
    if endpoint.name not in node.view.leaving:
        endpoint.leaving_since = None
    elif endpoint.leaving_since is None:
        endpoint.leaving_since = node.now


def takes_writes(node: nodes.Node, group: Group) -> bool:
    """Return whether the group has a primary that accepts new writes."""
    state = group.state
    primary = group.primary
    if primary is None or state.phase is not views.Phase.SERVING:
        return False
    since = primary.leaving_since
    return since is None or node.now < since + LEAVING_GRACE


def serves_primary_reads(group: Group) -> bool:
    """Return whether reads may go to the primary."""
    primary = group.primary
    if primary is None or not primary.is_healthy:
        return False
    return primary.leaving_since is None and group.state.phase is not views.Phase.SEALED


def record_write(
    group: Group,
    endpoint: pool.Endpoint,
    position: positions.Position,
    confirmed: tuple,
    probed_at: float,
) -> None:
    """Update positions from the primary's answer to a write."""
    state = group.state
    if state is None or position.term != state.term or endpoint is not group.primary:
        return
    offset = position.offset
    if offset > endpoint.applied:
        endpoint.applied = endpoint.received = offset
    endpoint.samples.add(probed_at, offset)
    _record_confirmed(group, confirmed)


def _record_confirmed(group: Group, confirmed: tuple) -> None:
    """Update the positions that replicas have received according to the primary."""
    term = group.state.term
    for name, position in confirmed:
        endpoint = group.endpoints.get(name)
        if endpoint is None or position.term != term:
            continue
        if position.offset > endpoint.received:
            endpoint.received = position.offset


def record_status(
    node: nodes.Node, group: Group, event: events.StatusObserved
) -> pool.Endpoint | None:
    """Update positions from a probe; return the endpoint if they were used.

    A status of an older term is ignored, since its endpoint may follow a
    replaced primary. One of a newer term is ignored until the view has it.
    """
    endpoint = group.endpoints.get(event.endpoint)
    state = group.state
    if endpoint is None or state is None or event.applied.term != state.term:
        return None
    is_primary = endpoint is group.primary
    if is_primary != (event.role == "primary"):
        return None
    endpoint.probed_at = max(endpoint.probed_at, event.probed_at)
    endpoint.applied = max(endpoint.applied, event.applied.offset)
    endpoint.received = max(endpoint.received, event.received.offset, endpoint.applied)
    endpoint.samples.add(event.probed_at, event.applied.offset)
    if is_primary:
        _record_confirmed(group, event.confirmed)
    else:
        _record_lag(group, endpoint, event)
    return endpoint


def _record_lag(
    group: Group, endpoint: pool.Endpoint, event: events.StatusObserved
) -> None:
    """Update the moving average of a replica's lag."""
    if group.primary is None:
        return
    covered = group.primary.samples.find_time_covered(event.applied.offset)
    if covered is None:
        return
    lag = max(0.0, event.probed_at - covered)
    endpoint.lag += LAG_SMOOTHING * (lag - endpoint.lag)


def find_age(node: nodes.Node, group: Group, endpoint: pool.Endpoint) -> float:
    """Return the maximum age in seconds of the data that an endpoint serves.

    It is the time since the latest moment at which the endpoint is known to
    have applied the primary's whole log of that moment.
    """
    if group.primary is None:
        return float("inf")
    covered = group.primary.samples.find_time_covered(endpoint.applied)
    if covered is None:
        return float("inf")
    return node.now - covered
