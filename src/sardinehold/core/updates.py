"""Update of the node to a newer view."""

from sardinehold import document
from sardinehold.core import closing
from sardinehold.core import durability
from sardinehold.core import events
from sardinehold.core import groups
from sardinehold.core import handlers
from sardinehold.core import invariants
from sardinehold.core import losses
from sardinehold.core import node as nodes
from sardinehold.core import quiescence
from sardinehold.core import routing
from sardinehold.core import transaction
from sardinehold.core import view as views


@invariants.invariant("An accepted configuration is in force and never reverts.")
def view_never_reverts(old: views.View | None, new: views.View) -> bool:
    """Return whether neither the view nor the document has a lower version."""
    if old is None:
        return True
    return new.version >= old.version and new.document.version >= old.document.version


@handlers.handles(events.ViewChanged)
def change_view(node: nodes.Node, event: events.ViewChanged) -> None:
    """Apply a newer view at once; ignore an older one."""
    old = node.view
    new = event.view
    if old is not None and not _is_newer(old, new):
        node.count("views_stale")
        return
    view_never_reverts(old, new)
    node.view = new
    quiescence.track_draining(node, old, new)
    if old is None or old.document is not new.document:
        node.keys = _index_keys(new.document)
        for session in list(node.sessions.values()):
            closing.revalidate(node, session)
    for group in list(node.groups.values()):
        _update_group(node, group)


def _is_newer(old: views.View, new: views.View) -> bool:
    """Return whether a view is at least as new in every part."""
    return new.version >= old.version and new.document.version >= old.document.version


def _index_keys(content: document.Document) -> dict[str, nodes.KeyOwner]:
    """Return the owners of all keys by prefix."""
    return {
        key.prefix: nodes.KeyOwner(team.name, key)
        for team in content.teams.values()
        for key in team.keys
    }


def _update_group(node: nodes.Node, group: groups.Group) -> None:
    """Update a group and route its waiting requests again."""
    has_changed = groups.update_group(node, group)
    if has_changed:
        transaction.abort_replaced(node, group)
        _abort_stale_writes(node, group)
        durability.review(node, group)
    routing.reroute(node, group)


def _abort_stale_writes(node: nodes.Node, group: groups.Group) -> None:
    """Retry or end writes that were sent under another term or primary.

    They cannot be acknowledged any more. Idempotent ones are retried.
    """
    for endpoint in group.endpoints.values():
        for connection in list(endpoint.connections.values()):
            request = connection.request
            if request is None or request.is_read or connection.session is not None:
                continue
            if not durability.may_acknowledge(node, request):
                losses.close_connection(node, connection)
