"""The state of one node's engine, shared by the engine's modules."""

import typing

from sardinehold import document
from sardinehold.core import actions
from sardinehold.core import timers
from sardinehold.core import view as views


class Policies:
    """Names of the policies in force, each registered in its module.

    :param replica: choice of the replica for a read, see ``routing``.
    :param wait: whether a read waits or goes to the primary, see ``waiting``.
    :param queue: order of the requests for an endpoint, see ``fairness``.
    :param limit: limit on concurrent statements per endpoint, see
        ``concurrency``.
    :param share: connections allowed before any grant, see ``pool``.
    """

    __slots__ = ("replica", "wait", "queue", "limit", "share")

    def __init__(
        self,
        replica: str = "sticky",
        wait: str = "bounded",
        queue: str = "fair",
        limit: str = "gradient",
        share: str = "granted",
    ) -> None:
        """Store the names."""
        self.replica = replica
        self.wait = wait
        self.queue = queue
        self.limit = limit
        self.share = share


class KeyOwner:
    """The team and the record of an API key."""

    __slots__ = ("team", "record")

    def __init__(self, team: str, record: document.Key) -> None:
        """Store the name of the team and the record of the key."""
        self.team = team
        self.record = record


class Node:
    """The state of one node's engine.

    :param now: time in seconds of the event being handled.
    :param actions: actions caused so far by the event being handled.
    :param keys: owners of all API keys by prefix.
    :param choose_replica: policy that chooses the replica for a read.
    :param draining: draining groups of which work still runs.
    :param drain_deadline: when a graceful shutdown aborts the remaining work, or
        None.
    """

    __slots__ = (
        "seed",
        "now",
        "zone",
        "policies",
        "actions",
        "view",
        "keys",
        "write_deadline",
        "serve_deadline",
        "drain_deadline",
        "is_drained",
        "draining",
        "sessions",
        "requests",
        "groups",
        "endpoints",
        "connections",
        "balances",
        "sources",
        "timers",
        "counters",
        "next_connection_id",
        "active_groups",
        "scheduled_wake",
        "choose_replica",
    )

    def __init__(self, seed: int, now: float, zone: str, policies: Policies) -> None:
        """Initialize without a view and without a lease."""
        self.seed = seed
        self.now = now
        self.zone = zone
        self.policies = policies
        self.actions: list[actions.Action] = []
        self.view: views.View | None = None
        self.keys: dict[str, KeyOwner] = {}
        self.write_deadline = -timers.NEVER
        self.serve_deadline = -timers.NEVER
        self.drain_deadline: float | None = None
        self.is_drained = False
        self.draining: set[str] = set()
        self.sessions: dict = {}
        self.requests: dict = {}
        self.groups: dict = {}
        self.endpoints: dict = {}
        self.connections: dict = {}
        self.balances: dict = {}
        self.sources: dict = {}
        self.timers = timers.Timers()
        self.counters: dict[str, int] = {}
        self.next_connection_id = 1
        self.active_groups: dict = {}
        self.scheduled_wake = timers.NEVER
        self.choose_replica: typing.Callable | None = None

    def count(self, name: str) -> None:
        """Increment the counter ``name``."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def find_team(self, name: str) -> document.Team | None:
        """Return a team of the document in force."""
        return self.view.document.teams.get(name) if self.view else None


def derive_jitter(seed: int, *parts: int) -> float:
    """Return a number from 0 to 1 that depends on the arguments only.

    All jitter is derived this way, so that the same events lead to the same
    actions while nodes with other seeds act at other times.
    """
    value = seed & 0xFFFFFFFFFFFFFFFF
    for part in parts:
        value = (value ^ part) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        value ^= value >> 29
    value = value * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return (value >> 11) / (1 << 53)
