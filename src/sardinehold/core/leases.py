"""Restrictions on a node whose lease on the view has lapsed.

After the serve deadline, keys may have been withdrawn without the node seeing
it, so it serves nothing. After the write deadline, a primary may have been
replaced likewise, so the node neither runs nor acknowledges writes.
"""

from sardinehold import errors
from sardinehold.core import events
from sardinehold.core import handlers
from sardinehold.core import node as nodes
from sardinehold.core import request as requests
from sardinehold.core import statements

_REMEDY = "Reconnect to reach another proxy and repeat the statement there."


def find_refusal(
    node: nodes.Node, request: requests.Request
) -> errors.RequestError | None:
    """Return the error for a request that the lease does not allow, or None."""
    if node.now > node.serve_deadline:
        return errors.LeaseLapsed(
            "This proxy has no valid lease; it serves nothing.", _REMEDY
        )
    if request.is_read or node.now <= node.write_deadline:
        return None
    if request.traits.kind is statements.Kind.ROLLBACK:
        return None
    return errors.LeaseLapsed(
        "This proxy has no valid lease; it runs no writes.", _REMEDY
    )


def may_send(node: nodes.Node, request: requests.Request) -> bool:
    """Return whether a request may be sent; refuse it if the lease lapsed.

    A request past its deadline may not be sent either; its timer refuses it.
    """
    if node.now > request.deadline:
        return False
    if node.now <= node.write_deadline and node.now <= node.serve_deadline:
        return True
    error = find_refusal(node, request)
    if error is None:
        return True
    requests.refuse(node, request, error)
    return False


@handlers.handles(events.LeaseRenewed)
def renew(node: nodes.Node, event: events.LeaseRenewed) -> None:
    """Extend the lease; its deadlines never move back."""
    node.write_deadline = max(node.write_deadline, event.write_deadline)
    node.serve_deadline = max(node.serve_deadline, event.serve_deadline)
