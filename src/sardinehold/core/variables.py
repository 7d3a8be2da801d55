"""Settings of a session: the proxy's own, and those tracked for endpoints."""

import re

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import floors
from sardinehold.core import node as nodes
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import statements

PREFIX = "sardinehold."
"""Prefix of the names of the proxy's own settings."""

_UNITS = {"": 1.0, "s": 1.0, "ms": 0.001, "min": 60.0}
_AGE = re.compile(r"^\s*(\d+(?:\.\d+)?)\s*(ms|s|min|)\s*$")
_OFF = frozenset(["", "off", "none", "default"])


TRACKED = frozenset(
    [statements.Kind.SET, statements.Kind.RESET, statements.Kind.DISCARD]
)
"""Kinds of statements that change settings on a connection."""


def parse_age(text: str) -> float | None:
    """Return an age such as ``2s`` or ``500ms`` in seconds, or None for off.

    :raises sardinehold.errors.Unsupported: the text is not a valid age.
    """
    if text.strip().lower() in _OFF:
        return None
    match = _AGE.match(text.lower())
    if match is None:
        raise errors.Unsupported(
            "sardinehold.max_age is not a duration.", "Set it to a value such as '2s'."
        )
    return float(match.group(1)) * _UNITS[match.group(2)]


def answer_locally(node: nodes.Node, request: requests.Request) -> bool:
    """Answer a statement that needs no endpoint; return whether it was answered.

    :raises sardinehold.errors.Unsupported: the setting or value is not known.
    """
    traits = request.traits
    kind = traits.kind
    if kind is statements.Kind.SHOW and traits.setting.startswith(PREFIX):
        value = _show(node, request.session, traits.setting)
        _answer(node, request, "SHOW", traits.setting, value)
        return True
    if kind in (statements.Kind.SET, statements.Kind.RESET):
        if not traits.setting.startswith(PREFIX):
            return _reset_all(node, request)
        _set(request.session, traits.setting, traits.value)
        _answer(node, request, kind.name)
        return True
    if kind in (statements.Kind.DISCARD, statements.Kind.DEALLOCATE):
        return _discard(node, request)
    return False


def _show(node: nodes.Node, session: object, name: str) -> str:
    """Return the value of one of the proxy's own settings."""
    if name == "sardinehold.session":
        return floors.make_token(node, session.floors, session.owner)
    if name == "sardinehold.max_age":
        return "off" if session.max_age is None else f"{session.max_age:g}s"
    if name == "sardinehold.idempotency_key":
        return session.idempotency_key
    raise _make_unknown_error(name)


def _set(session: object, name: str, value: str) -> None:
    """Change one of the proxy's own settings; an empty value resets it."""
    if name == "sardinehold.max_age":
        session.max_age = parse_age(value) if value else session.route.max_age
    elif name == "sardinehold.idempotency_key":
        session.idempotency_key = value
    else:
        raise _make_unknown_error(name)


def _make_unknown_error(name: str) -> errors.RequestError:
    return errors.Unsupported(
        f"There is no setting {name}.",
        "Use sardinehold.max_age or sardinehold.idempotency_key.",
    )


def _reset_all(node: nodes.Node, request: requests.Request) -> bool:
    """Reset all settings if the session holds no connection."""
    session = request.session
    if request.traits.kind is not statements.Kind.RESET:
        return False
    if request.traits.setting != "all" or session.connection is not None:
        return False
    session.settings = pool.NO_SETTINGS
    _answer(node, request, "RESET")
    return True


def _discard(node: nodes.Node, request: requests.Request) -> bool:
    """Discard settings and prepared statements if the session holds no connection."""
    session = request.session
    if session.connection is not None:
        return False
    kind = request.traits.kind
    name = request.traits.setting
    if request.traits.discards_all:
        session.settings = pool.NO_SETTINGS
    tag = kind.name
    if name == "all" or kind is statements.Kind.DISCARD:
        tag = f"{kind.name} {name.upper()}"
    _answer(node, request, tag)
    return True


def _answer(
    node: nodes.Node,
    request: requests.Request,
    tag: str,
    column: str = "",
    value: str = "",
) -> None:
    """End a request with a local answer."""
    request.advance("answer")
    requests.remove(node, request)
    session_id = request.session.session_id
    node.actions.append(
        actions.AnswerLocally(request.request_id, session_id, tag, column, value)
    )


def track_settings(
    node: nodes.Node,
    request: requests.Request,
    connection: pool.Connection,
    event: events.RequestAnswered,
) -> None:
    """Track settings changed by SET, RESET and DISCARD, and their rollback."""
    session = request.session
    kind = request.traits.kind
    if kind is statements.Kind.SET or kind is statements.Kind.RESET:
        if not event.sqlstate and not request.traits.local:
            _track(session, request.traits, connection)
    elif request.traits.discards_all and not event.sqlstate:
        session.settings = connection.settings = pool.NO_SETTINGS
    before = session.saved_settings
    if request.traits.reverts and before is not None and before is not session.settings:
        # Which settings were reverted is known to the endpoint only.
        session.is_pinned = True
    if event.status == "I":
        _restore_settings(session, connection, request)
    elif session.saved_settings is None:
        session.saved_settings = session.settings


def _track(
    session: object, traits: statements.Traits, connection: pool.Connection
) -> None:
    """Apply a changed setting to those tracked for session and connection."""
    if session.status != "I" and session.saved_settings is None:
        session.saved_settings = session.settings
    settings = dict(session.settings)
    if traits.setting == "all":
        settings = pool.NO_SETTINGS
    elif traits.kind is statements.Kind.RESET or traits.value.lower() == "default":
        settings.pop(traits.setting, None)
    else:
        settings[traits.setting] = traits.value
    session.settings = connection.settings = settings or pool.NO_SETTINGS


def _restore_settings(
    session: object, connection: pool.Connection, request: requests.Request
) -> None:
    """Restore the settings before a transaction that was rolled back."""
    before = session.saved_settings
    session.saved_settings = None
    if before is None:
        return
    kind = request.traits.kind
    if kind is statements.Kind.COMMIT and session.status == "T":
        return
    if before is not session.settings:
        session.settings = before
        connection.is_tainted = True
