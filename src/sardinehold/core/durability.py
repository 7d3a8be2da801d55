"""Durability of writes and their acknowledgement.

A write is held until its position is as durable as the route requires. When it
is acknowledged, the lease must be in force, term and primary of the group must
be those under which the write was sent, and the group must not be sealed.
"""

from sardinehold import document
from sardinehold import errors
from sardinehold.core import floors
from sardinehold.core import groups
from sardinehold.core import invariants
from sardinehold.core import node as nodes
from sardinehold.core import positions
from sardinehold.core import probing
from sardinehold.core import request as requests
from sardinehold.core import transaction
from sardinehold.core import view as views

_CHECK_REMEDY = "Check whether the write took effect before repeating it."


@invariants.invariant("No write is acknowledged by a primary that was replaced.")
def write_acknowledged_under_current_term(
    node: nodes.Node, request: requests.Request
) -> bool:
    """Return whether lease, term, primary and phase allow an acknowledgement."""
    state = node.view.groups.get(request.group.name)
    return (
        node.now <= node.write_deadline
        and state is not None
        and state.term == request.term == request.position.term
        and state.primary == request.endpoint.name
        and state.phase is not views.Phase.SEALED
    )


@invariants.invariant("An acknowledged write is as durable as its route says.")
def write_acknowledged_when_durable(request: requests.Request) -> bool:
    """Return whether as many replicas as required have received the write."""
    durability = request.session.route.durability
    if durability is document.Durability.PRIMARY:
        return True
    offset = request.position.offset
    confirmed = [
        endpoint.received >= offset
        for endpoint in request.group.endpoints.values()
        if endpoint is not request.endpoint
    ]
    if durability is document.Durability.ALL:
        return all(confirmed)
    return any(confirmed)


def hold(node: nodes.Node, request: requests.Request) -> None:
    """Acknowledge an answered write, or hold it until it is durable.

    :param request: its position is None if the answer did not contain one.
    """
    if request.session.is_closed:
        node.count("writes_finished_without_caller")
        requests.drop(node, request)
        return
    request.advance("hold")
    request.answered_at = node.now
    if not may_acknowledge(node, request):
        fail(node, request)
    elif request.position is not None and is_durable(request):
        acknowledge(node, request)
    else:
        request.group.held.append(request)
        probing.probe_for_held_writes(node, request.group)


def is_durable(request: requests.Request) -> bool:
    """Return whether the write is as durable as its route requires."""
    durability = request.session.route.durability
    if durability is document.Durability.PRIMARY:
        return True
    offset = request.position.offset
    others = 0
    confirmed = 0
    for endpoint in request.group.endpoints.values():
        if endpoint is not request.endpoint:
            others += 1
            confirmed += endpoint.received >= offset
    if durability is document.Durability.ALL:
        return confirmed == others
    return confirmed > 0


def may_acknowledge(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether the primary that ran the write is still in force."""
    state = request.group.state
    if state is None or node.now > node.write_deadline:
        return False
    if state.term != request.term or state.primary != request.endpoint.name:
        return False
    if request.position is not None and request.position.term != state.term:
        return False
    return state.phase is not views.Phase.SEALED


def acknowledge(node: nodes.Node, request: requests.Request) -> None:
    """Acknowledge a write and raise the session's floor to its position."""
    write_acknowledged_under_current_term(node, request)
    write_acknowledged_when_durable(request)
    session = request.session
    floor = session.floor
    floors.record_write(floor, request.position)
    node.count("writes_acknowledged")
    requests.finish(
        node, request, floors.make_token(node, session.floors, session.owner)
    )


def fail(node: nodes.Node, request: requests.Request) -> None:
    """End a write with an unknown outcome; its primary may have been replaced."""
    error = errors.OutcomeUnknown(
        "The write ran on a primary that may have been replaced.", _CHECK_REMEDY
    )
    end_unknown(node, request, error)


def end_unknown(
    node: nodes.Node, request: requests.Request, error: errors.RequestError
) -> None:
    """End a sent request whose effect is unknown, with a transaction behind it."""
    session = request.session
    if session.is_closed:
        node.count("writes_unknown_without_caller")
        requests.drop(node, request)
        return
    has_begun = request.state == "held" and session.status != "I"
    requests.refuse(node, request, error, fatal=has_begun)
    if has_begun:
        transaction.end_session(node, session, error=None)


def review(node: nodes.Node, group: groups.Group) -> None:
    """Check the held writes of a group again, for example after a probe."""
    held, group.held = group.held, []
    for request in held:
        if request.state != "held":
            continue
        if not may_acknowledge(node, request):
            fail(node, request)
        elif request.position is not None and is_durable(request):
            acknowledge(node, request)
        else:
            group.held.append(request)


def fill_positions(
    group: groups.Group, position: positions.Position, probed_at: float
) -> None:
    """Set missing positions of held writes to a later position of the primary.

    :param position: the primary's log position at ``probed_at`` or later.
    """
    for request in group.held:
        if request.position is None and request.answered_at <= probed_at:
            request.position = position


def expire(node: nodes.Node, request: requests.Request) -> None:
    """End a held write that was not durable by its deadline."""
    request.group.held.remove(request)
    error = errors.OutcomeUnknown(
        "The write ran, but too few replicas confirmed it in time.", _CHECK_REMEDY
    )
    end_unknown(node, request, error)
