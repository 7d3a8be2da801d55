"""Policies for reads without an eligible replica: wait, or use the primary.

A policy returns the seconds for which the read may wait; 0 sends it to the
primary at once. The baseline sends every such read to the primary.
"""

import typing

from sardinehold.core import groups
from sardinehold.core import node as nodes
from sardinehold.core import request as requests

Policy = typing.Callable[[nodes.Node, groups.Group, requests.Request], float]

POLICIES: dict[str, Policy] = {}
"""Policies by name, registered with :func:`policy`."""

WAIT_SHARE = 0.1
"""Maximum fraction of the time to its deadline that a read waits."""

MAX_WAIT = 0.25
"""Maximum seconds that a read waits while the primary could serve it."""

WAIT_SLACK_FACTOR = 1.5
"""Multiple of the predicted wait after which a read goes to the primary."""

STATUS_DELAY = 0.01
"""Expected seconds until a probe shows that a replica has caught up."""


def policy(name: str) -> typing.Callable[[Policy], Policy]:
    """Register the decorated function as the policy ``name``."""

    def register(function: Policy) -> Policy:
        POLICIES[name] = function
        return function

    return register


def predict_catch_up(
    node: nodes.Node, group: groups.Group, request: requests.Request
) -> float:
    """Return the expected seconds until a replica is eligible.

    A replica applies an offset about its lag after the primary reached it.
    """
    if not group.replicas or group.primary is None:
        return float("inf")
    lag = min(endpoint.lag for endpoint in group.replicas)
    if request.max_age is not None:
        return max(0.0, lag - request.max_age) + STATUS_DELAY
    reached = group.primary.samples.find_time_reached(request.required_offset)
    if reached is None or request.required_endpoint:
        reached = node.now
    return max(0.0, reached + lag - node.now) + STATUS_DELAY


def predict_primary(group: groups.Group, request: requests.Request) -> float:
    """Return the expected seconds until the primary answers."""
    primary = group.primary
    parallel = max(1.0, min(primary.limit.value, float(primary.share)))
    queued = primary.queue.size + primary.in_flight
    return primary.latency * (1.0 + queued / parallel)


@policy("primary")
def wait_never(
    node: nodes.Node, group: groups.Group, request: requests.Request
) -> float:
    """Return 0: every read goes to the primary."""
    return 0.0


@policy("sooner")
def wait_if_sooner(
    node: nodes.Node, group: groups.Group, request: requests.Request
) -> float:
    """Wait if a replica is expected to be eligible before the primary answers."""
    predicted = predict_catch_up(node, group, request)
    if predicted > predict_primary(group, request):
        return 0.0
    return _bound(node, request, predicted)


@policy("bounded")
def wait_bounded(
    node: nodes.Node, group: groups.Group, request: requests.Request
) -> float:
    """Wait if a replica is expected to be eligible within a fraction of the deadline.

    The read then waits for the whole of that time, since the lag of single
    transactions varies more than the average behind the prediction.
    """
    predicted = predict_catch_up(node, group, request)
    limit = min(MAX_WAIT, WAIT_SHARE * (request.deadline - node.now))
    return limit if predicted <= limit else 0.0


def _bound(node: nodes.Node, request: requests.Request, predicted: float) -> float:
    """Return the predicted wait in seconds with slack, within its bounds."""
    limit = WAIT_SHARE * (request.deadline - node.now)
    return min(limit, MAX_WAIT, predicted * WAIT_SLACK_FACTOR)
