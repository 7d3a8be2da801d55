"""Detection of groups with no work running on their primary."""

from sardinehold.core import actions
from sardinehold.core import node as nodes
from sardinehold.core import view as views


def is_quiesced(node: nodes.Node, name: str) -> bool:
    """Return whether no write is running or held and no transaction is open."""
    group = node.groups.get(name)
    if group is None:
        return True
    if group.held:
        return False
    for endpoint in group.endpoints.values():
        for connection in endpoint.connections.values():
            request = connection.request
            if request is not None and not request.is_read:
                return False
            session = connection.session
            if session is not None and session.status != "I":
                return False
    return True


def track_draining(node: nodes.Node, old: views.View | None, new: views.View) -> None:
    """Record the groups that start or stop draining with the new view."""
    for name, state in new.groups.items():
        if state.phase is not views.Phase.DRAINING:
            node.draining.discard(name)
        elif not _was_draining(old, state):
            node.draining.add(name)


def _was_draining(old: views.View | None, state: views.GroupState) -> bool:
    before = old.groups.get(state.name) if old is not None else None
    if before is None or before.phase is not views.Phase.DRAINING:
        return False
    return (before.term, before.change_id) == (state.term, state.change_id)


def report_quiesced(node: nodes.Node) -> None:
    """Report each draining group once when no work runs on it any more."""
    for name in sorted(node.draining):
        if is_quiesced(node, name):
            node.draining.discard(name)
            node.actions.append(actions.GroupQuiesced(name))
