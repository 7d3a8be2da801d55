"""Whether anything still runs on the primary of a group."""

from sardinehold.core import node as nodes


def is_quiesced(node: nodes.Node, name: str) -> bool:
    """Return whether no write and no transaction is open on the primary."""
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
