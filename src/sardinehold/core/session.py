"""What a node keeps of one caller's session."""

from sardinehold import document
from sardinehold.core import groups
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import tokens


class Session:
    """One caller's session.

    :param team: the team's name, ``""`` on an open route.
    :param owner: whose tokens it spends: the team, or ``route:NAME``.
    :param weight: the team's share of scarce connections.
    :param floors: what its reads must not fall behind, by group.
    :param floor: the one of its route's group.
    :param status: transaction status of the last answer.
    :param connection: what it holds, during a transaction or for its state.
    :param is_pinned: whether it left state on the connection that it holds.
    :param settings: what it SET, shared with connections; never changed in place.
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
        """Start without a transaction."""
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
