"""Graceful shutdown: no new sessions; running requests finish until a deadline."""

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import admission
from sardinehold.core import closing
from sardinehold.core import events
from sardinehold.core import handlers
from sardinehold.core import invariants
from sardinehold.core import node as nodes

_SHUTTING_DOWN = (
    "This proxy is stopping.",
    "Reconnect to reach another proxy.",
)


@invariants.invariant("A planned stop is a graceful shutdown that cuts no request.")
def stop_cuts_nothing_early(node: nodes.Node, cut: int) -> bool:
    """Return whether nothing is aborted before the deadline of the shutdown."""
    return not cut or node.now >= node.drain_deadline


@handlers.handles(events.DrainStarted)
def start(node: nodes.Node, event: events.DrainStarted) -> None:
    """Stop accepting sessions, and end the idle ones."""
    if node.drain_deadline is not None and event.deadline >= node.drain_deadline:
        return
    node.drain_deadline = event.deadline
    node.timers.set(event.deadline, _abort_remaining, None)
    advance(node)


def advance(node: nodes.Node) -> None:
    """End sessions that have become idle; finish when none is left."""
    if node.is_drained:
        return
    for session in list(node.sessions.values()):
        if session.request is None and session.status == "I":
            closing.end(node, session, errors.ShuttingDown(*_SHUTTING_DOWN))
    if not node.sessions and not node.requests:
        _finish(node, 0)


def _abort_remaining(node: nodes.Node, _: None) -> None:
    """Abort the requests and transactions that are open at the deadline."""
    if node.is_drained or node.now < node.drain_deadline:
        return
    cut = 0
    for session in list(node.sessions.values()):
        cut += session.request is not None or session.status != "I"
        closing.end(node, session, errors.ShuttingDown(*_SHUTTING_DOWN))
    _finish(node, cut)


def _finish(node: nodes.Node, cut: int) -> None:
    """Return all tokens and report that the proxy may stop."""
    stop_cuts_nothing_early(node, cut)
    for balance in node.balances.values():
        admission.return_tokens(node, balance, balance.tokens)
    node.is_drained = True
    node.actions.append(actions.DrainFinished(cut))
