"""Life cycle of requests: accepted with a fixed deadline, ended exactly once."""

import functools
import typing

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import charts
from sardinehold.core import events
from sardinehold.core import invariants
from sardinehold.core import node as nodes
from sardinehold.core import statements

CHART = charts.load_chart("request")
"""State chart of a request."""

_TRANSITIONS = CHART.transitions
_READ = statements.Kind.READ
_READ_KINDS = (
    statements.Kind.READ,
    statements.Kind.SHOW,
    statements.Kind.SET,
    statements.Kind.RESET,
    statements.Kind.EMPTY,
)


@invariants.invariant("A refusal that says not run is true.")
def not_run_never_sent(request: "Request", error: errors.RequestError) -> bool:
    """Return whether a request refused as not run was never sent."""
    return error.outcome is not errors.Outcome.NOT_RUN or not request.sends


@invariants.invariant("A caller gets the whole answer to its own request.")
def answer_belongs_to_session(session: typing.Any, request: "Request") -> bool:
    """Return whether this is the request that the session waits for."""
    return session.request is request


class Request:
    """One request of a session.

    :param owner: team or open route whose tokens and queue it uses.
    :param deadline: fixed when it is accepted, never moved.
    :param is_read: whether it may run on a replica.
    :param is_retryable: whether it may be sent more than once.
    :param sends: how often it may have reached an endpoint.
    :param failed: how often it could not be sent.
    :param required_offset: offset that the endpoint of a read must have applied.
    :param required_endpoint: name of the only endpoint that may serve a read;
        ``""`` for any.
    :param max_age: maximum age in seconds of the data that a read accepts, or None.
    :param wait_deadline: when it stops waiting for a token or a replica.
    :param term: term of the group when the request was sent.
    :param position: log position after a write.
    :param has_token: whether a token of the rate was spent on it.
    :param has_started: whether part of the answer was sent to the caller.
    """

    __slots__ = (
        "request_id",
        "session",
        "group",
        "owner",
        "traits",
        "state",
        "deadline",
        "accepted_at",
        "is_read",
        "is_retryable",
        "in_transaction",
        "sends",
        "failed",
        "required_offset",
        "required_endpoint",
        "max_age",
        "wait_deadline",
        "endpoint",
        "connection",
        "term",
        "sent_at",
        "position",
        "answered_at",
        "has_token",
        "has_started",
    )

    def __init__(
        self, event: events.RequestArrived, session: typing.Any, now: float
    ) -> None:
        """Create an accepted request."""
        traits = event.traits
        self.request_id = event.request_id
        self.session = session
        self.group = session.group
        self.owner = session.owner
        self.traits = traits
        self.state = "accepted"
        self.accepted_at = now
        self.deadline = now + session.route.statement_timeout
        self.in_transaction = session.status != "I"
        kind = traits.kind
        self.is_read = (kind is _READ or kind in _READ_KINDS) and not traits.pins
        self.is_retryable = self.is_read
        self.sends = 0
        self.failed = 0
        self.required_offset = 0
        self.required_endpoint = ""
        self.max_age = session.max_age
        self.wait_deadline = 0.0
        self.endpoint = None
        self.connection = None
        self.term = 0
        self.sent_at = 0.0
        self.position = None
        self.answered_at = 0.0
        self.has_token = False
        self.has_started = False

    def advance(self, event: str) -> None:
        """Change the state according to the chart.

        :raises sardinehold.errors.InvariantViolation: there is no such transition.
        """
        state = _TRANSITIONS.get((self.state, event))
        if state is None:
            state = CHART.follow(self.state, event)
        self.state = state

    def is_waiting(self) -> bool:
        """Return whether it has been neither sent nor ended."""
        return self.state == "queued" or self.state == "accepted"


@functools.cache
def _label(name: str, owner: str) -> str:
    """Return a counter's name with the owner as its team label."""
    return f'{name}{{team="{owner}"}}'


def remove(node: nodes.Node, request: Request) -> None:
    """Remove a request that has ended from node and session."""
    node.requests.pop(request.request_id, None)
    session = request.session
    if session.request is request:
        session.request = None


def refuse(
    node: nodes.Node,
    request: Request,
    error: errors.RequestError,
    fatal: bool = False,
) -> None:
    """End a request with an error.

    If it was sent, the outcome NOT_RUN is replaced by UNKNOWN.
    """
    if request.sends and error.outcome is errors.Outcome.NOT_RUN:
        error.outcome = errors.Outcome.UNKNOWN
    not_run_never_sent(request, error)
    answer_belongs_to_session(request.session, request)
    request.advance("lose" if request.state in ("sent", "held") else "refuse")
    remove(node, request)
    node.count(f"refused_{error.code}")
    node.count(_label("requests_refused", request.session.owner))
    if request.has_token and error.outcome is errors.Outcome.NOT_RUN:
        node.count("requests_refused_in_rate")
    node.actions.append(
        actions.Refuse(request.request_id, request.session.session_id, error, fatal)
    )


def drop(node: nodes.Node, request: Request) -> None:
    """End a request whose caller has disconnected."""
    request.advance("drop")
    remove(node, request)
    node.count("requests_dropped")


def finish(node: nodes.Node, request: Request, token: str = "") -> None:
    """End a request with its answer."""
    session = request.session
    if session.is_closed:
        drop(node, request)
        return
    answer_belongs_to_session(session, request)
    request.advance("answer")
    node.count(_label("requests_served", session.owner))
    del node.requests[request.request_id]
    session.request = None
    node.actions.append(
        actions.Acknowledge(request.request_id, session.session_id, token)
    )
