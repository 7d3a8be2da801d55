"""The state of one node's engine, shared by the modules that decide."""

import typing

from sardinehold import document
from sardinehold.core import actions
from sardinehold.core import timers
from sardinehold.core import view as views


class Policies:
    """Names of the policies in force, each out of its registry.

    :param replica: which replica a read goes to, see ``routing``.
    :param wait: whether a read waits or goes to the primary, see ``waiting``.
    :param queue: the order of requests for an endpoint, see ``fairness``.
    :param limit: how many statements an endpoint gets at once, see
        ``concurrency``.
    :param share: connections held before any grant, see ``pool``.
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
        """Keep the names."""
        self.replica = replica
        self.wait = wait
        self.queue = queue
        self.limit = limit
        self.share = share


class KeyOwner:
    """Whose key a prefix belongs to."""

    __slots__ = ("team", "record")

    def __init__(self, team: str, record: document.Key) -> None:
        """Keep the team's name and the key's record."""
        self.team = team
        self.record = record


class Node:
    """Everything that the engine of one node knows.

    :param now: seconds, the time of the event being handled.
    :param actions: what the event being handled has led to.
    :param keys: owners of all keys by prefix.
    :param choose_replica: the policy that chooses the replica of a read.
    :param draining: groups being drained that have not come to rest.
    :param drain_deadline: when a planned stop cuts what still runs, or None.
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
        """Start without a view and without a lease."""
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
        """Add one to the counter ``name``."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def find_team(self, name: str) -> document.Team | None:
        """Return a team of the document in force."""
        return self.view.document.teams.get(name) if self.view else None


def derive_jitter(seed: int, *parts: int) -> float:
    """Return a number from 0 to 1 that depends on the arguments alone.

    Jitter comes from here, so that the same events lead to the same actions
    and nodes with other seeds act at other times.
    """
    value = seed & 0xFFFFFFFFFFFFFFFF
    for part in parts:
        value = (value ^ part) * 0x9E3779B97F4A7C15 & 0xFFFFFFFFFFFFFFFF
        value ^= value >> 29
    value = value * 0xBF58476D1CE4E5B9 & 0xFFFFFFFFFFFFFFFF
    return (value >> 11) / (1 << 53)
