"""State of a caller's session on a node."""

from sardinehold import document
from sardinehold.core import groups
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import tokens


class Session:
    """One caller's session.

    :param team: the team's name, ``""`` on an open route.
    :param owner: the owner of its tokens: the team, or ``route:NAME``.
    :param weight: the team's weight in fair queueing.
    :param floors: read floors by group.
    :param floor: the read floor of its route's group.
    :param max_age: accepted age of read data in seconds, or None.
    :param settings: its settings from SET, shared with connections; never changed
        in place.
    :param saved_settings: settings before the open transaction, or None.
    :param status: transaction status of the last answer.
    :param connection: the connection that it holds for a transaction or its state.
    :param is_pinned: whether it left state on the connection that it holds.
    """

    __slots__ = (
        "session_id",
        "route",
        "group",
        "team",
        "owner",
        "weight",
        "key_prefix",
        "balance",
        "floors",
        "floor",
        "max_age",
        "idempotency_key",
        "settings",
        "saved_settings",
        "request",
        "status",
        "connection",
        "is_pinned",
        "is_closed",
        "is_idle_check_scheduled",
        "idle_since",
    )

    def __init__(
        self, session_id: int, route: document.Route, group: groups.Group
    ) -> None:
        """Create a session without a transaction."""
        self.session_id = session_id
        self.route = route
        self.group = group
        self.team = ""
        self.owner = f"route:{route.name}"
        self.weight = 1.0
        self.key_prefix = ""
        self.balance = None
        self.floors: dict[str, tokens.Floor] = {}
        self.floor = tokens.Floor()
        self.max_age = route.max_age
        self.idempotency_key = ""
        self.settings = pool.NO_SETTINGS
        self.saved_settings: dict[str, str] | None = None
        self.request: requests.Request | None = None
        self.status = "I"
        self.connection: pool.Connection | None = None
        self.is_pinned = False
        self.is_closed = False
        self.is_idle_check_scheduled = False
        self.idle_since = 0.0
