"""Opening of sessions: authentication by key and route, and session tokens."""

from sardinehold import document
from sardinehold import errors
from sardinehold import keys
from sardinehold.core import actions
from sardinehold.core import admission
from sardinehold.core import events
from sardinehold.core import groups
from sardinehold.core import handlers
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import probing
from sardinehold.core import session as sessions
from sardinehold.core import tokens

WRONG_KEY_DELAY = 0.1
"""Delay in seconds of the answer to a source's first wrong key."""

MAX_WRONG_KEY_DELAY = 5.0
"""Upper bound in seconds of the delay, which doubles with each wrong key."""

WRONG_KEY_RETENTION = 60.0
"""Seconds since the last wrong key after which a source's count is reset."""

MAX_SOURCES = 10_000
"""Maximum number of sources whose wrong keys are counted."""


class Source:
    """Wrong keys received from one address."""

    __slots__ = ("failures", "last_at")

    def __init__(self) -> None:
        """Start without a wrong key."""
        self.failures = 0
        self.last_at = 0.0


@handlers.handles(events.SessionOpened)
def open_session(node: nodes.Node, event: events.SessionOpened) -> None:
    """Accept a session, or refuse it."""
    try:
        session = _admit(node, event)
    except errors.AuthenticationError as error:
        retry_at = _delay_wrong_key(node, event.source)
        node.count("sessions_refused")
        node.actions.append(actions.SessionRefused(event.session_id, error, retry_at))
        return
    except errors.RequestError as error:
        node.count("sessions_refused")
        node.actions.append(actions.SessionRefused(event.session_id, error))
        return
    node.sessions[event.session_id] = session
    node.count("sessions_accepted")
    _prepare(node, session)
    node.actions.append(
        actions.SessionAccepted(event.session_id, session.team, event.token)
    )


def _admit(node: nodes.Node, event: events.SessionOpened) -> sessions.Session:
    """Return the new session.

    :raises sardinehold.errors.RequestError: the session is refused.
    """
    _check_accepting(node)
    route = node.view.document.routes.get(event.route)
    if route is None:
        raise errors.UnknownRoute(
            "There is no route of this name.",
            "As the database name, use a route assigned by the operators.",
        )
    team = None if route.open else _authenticate(node, route, event.key)
    session = sessions.Session(
        event.session_id, route, groups.find_group(node, route.group)
    )
    if team is not None:
        session.team = session.owner = team.name
        session.weight = team.weight
        session.key_prefix = keys.parse_prefix(event.key)
    if event.max_age is not None:
        session.max_age = event.max_age
    if event.token:
        token_keys = node.view.token_keys
        session.floors = tokens.read_token(
            event.token, session.owner, token_keys, node.now
        )
    bind_group(node, session)
    return session


def _check_accepting(node: nodes.Node) -> None:
    """Raise an error while the node may not accept sessions."""
    if node.drain_deadline is not None:
        raise errors.ShuttingDown(
            "This proxy is stopping.", "Reconnect to reach another proxy."
        )
    if node.view is None or node.now > node.serve_deadline:
        raise errors.LeaseLapsed(
            "This proxy has no valid lease and may not serve.",
            "Reconnect to reach another proxy, or try again in a few seconds.",
        )


def _authenticate(node: nodes.Node, route: document.Route, key: str) -> document.Team:
    """Return the team of a key that may use the route.

    :raises sardinehold.errors.AuthenticationError: with the same message
        whatever is wrong with the key.
    """
    owner = node.keys.get(keys.parse_prefix(key))
    if owner is not None and keys.verify_key(owner.record, key):
        team = node.find_team(owner.team)
        if team and not owner.record.withdrawn and team.name in route.teams:
            return team
    raise errors.AuthenticationError(
        "The key is not valid for this route.",
        "Check key and route, or ask the operators for a new key.",
    )


def _delay_wrong_key(node: nodes.Node, source: str) -> float:
    """Return the time at which to answer a source that sent a wrong key."""
    sources = node.sources
    if len(sources) >= MAX_SOURCES and source not in sources:
        sources.pop(next(iter(sources)))
    record = sources.setdefault(source, Source())
    if node.now - record.last_at > WRONG_KEY_RETENTION:
        record.failures = 0
    record.failures = min(record.failures + 1, 16)
    record.last_at = node.now
    delay = WRONG_KEY_DELAY * 2 ** (record.failures - 1)
    return node.now + min(MAX_WRONG_KEY_DELAY, delay)


def bind_group(node: nodes.Node, session: sessions.Session) -> None:
    """Set the session's group, its read floor and its token balance."""
    session.group = groups.find_group(node, session.route.group)
    session.floor = session.floors.setdefault(session.group.name, tokens.Floor())
    session.balance = admission.find_balance(node, session.owner)


def _prepare(node: nodes.Node, session: sessions.Session) -> None:
    """Open connections and start probes before the first request."""
    group = session.group
    group.last_used = node.now
    if not group.is_active:
        probing.activate(node, group)
    if not session.balance.is_reviewed:
        admission.start_review(node, session.balance)
    for endpoint in group.endpoints.values():
        if endpoint.leaving_since is None:
            pool.ensure_open(node, endpoint)
