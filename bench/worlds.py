"""Views and an engine driver shared by the benchmarks of the engine."""

import time

from sardinehold import document
from sardinehold import keys
from sardinehold.core import actions
from sardinehold.core import engine as engines
from sardinehold.core import events
from sardinehold.core import node as nodes
from sardinehold.core import positions
from sardinehold.core import view as views

DISTANT_DEADLINE = 1e9
"""Deadline in seconds that no benchmark reaches."""

KEYS: dict[str, keys.GeneratedKey] = {}
"""Generated keys by team."""


def get_key(team: str) -> keys.GeneratedKey:
    """Return the key of a team, generated on first use."""
    if team not in KEYS:
        KEYS[team] = keys.generate_key()
    return KEYS[team]


def build_view(
    teams: int,
    groups: int,
    rate: float,
    connections: int = 20,
    slots: int = 3,
    durability: document.Durability = document.Durability.PRIMARY,
    timeout: float = 10.0,
) -> views.View:
    """Return a view with one route per group, open to all teams."""
    names = tuple(f"team-{i}" for i in range(teams))
    team_records = {
        name: document.Team(name, rate, int(rate), keys=(get_key(name).record,))
        for name in names
    }
    group_records = {}
    routes = {}
    for i in range(groups):
        group = f"group-{i}"
        endpoints = tuple(
            document.Endpoint(f"{group}-{j}", "127.0.0.1", 1, f"zone-{j}")
            for j in range(3)
        )
        group_records[group] = document.Group(group, endpoints, slots, connections)
        routes[f"route-{i}"] = document.Route(
            f"route-{i}",
            group,
            names,
            durability=durability,
            statement_timeout=timeout,
        )
    content = document.Document(
        1, "bench", "bench", team_records, group_records, routes
    )
    states = {
        name: views.GroupState(name, 1, f"{name}-0", history=(views.TermStart(1, 0),))
        for name in group_records
    }
    return views.View(1, content, states, token_keys=(b"b" * 32,))


class World:
    """Driver of one engine; endpoints answer immediately and replicas have no lag.

    :param engine_ns: nanoseconds spent in the engine.
    """

    def __init__(
        self, view: views.View, policies: nodes.Policies | None = None
    ) -> None:
        """Create an engine with a view and a lease."""
        self.engine = engines.Engine(1, 0.0, "zone-1", policies)
        self.now = 0.0
        self.next_session = 0
        self.offset = 1
        self.engine_ns = 0
        self.wake_at = 0.0
        self.dispatched: dict[int, actions.Dispatch] = {}
        self.send(events.ViewChanged(view))
        self.send(events.LeaseRenewed(DISTANT_DEADLINE, DISTANT_DEADLINE))

    def send(self, event: events.Event) -> list[actions.Action]:
        """Pass an event to the engine and execute its actions."""
        start = time.perf_counter_ns()
        out = self.engine.handle(self.now, event)
        self.engine_ns += time.perf_counter_ns() - start
        self.apply_actions(out)
        return out

    def open(self, team: str, route: str) -> int:
        """Open a session of a team and return its id."""
        self.next_session += 1
        key = get_key(team).text
        self.send(events.SessionOpened(self.next_session, route, key))
        return self.next_session

    def advance(self) -> None:
        """Advance virtual time by one second."""
        for _ in range(10):
            self.now += 0.1
            self.send(events.Tick())

    def apply_actions(self, out: list[actions.Action]) -> None:
        """Open connections, grant tokens and answer probes immediately."""
        for action in out:
            if isinstance(action, actions.WakeAt):
                self.wake_at = action.time
            elif isinstance(action, actions.Dispatch):
                self.dispatched[action.request_id] = action
            elif isinstance(action, actions.OpenConnection):
                self.send(events.ConnectionOpened(action.connection_id))
            elif isinstance(action, actions.ProbeEndpoint):
                self._answer_probe(action.endpoint)
            elif isinstance(action, actions.RequestConnections):
                name, count = action.endpoint, action.connections
                self.send(events.ConnectionsGranted(name, count, DISTANT_DEADLINE))
            elif isinstance(action, actions.RequestTokens):
                grant = events.TokensGranted(action.team, action.tokens, self.now + 5)
                self.send(grant)

    def _answer_probe(self, name: str) -> None:
        """Report that the endpoint has applied the whole log."""
        group = self.engine.node.endpoints[name].group
        role = "primary" if group.state.primary == name else "replica"
        here = positions.Position(group.state.term, self.offset)
        self.send(events.StatusObserved(name, role, here, here, (), self.now))

    def build_answer(self, request_id: int) -> events.RequestAnswered:
        """Return the answer to a request, advancing time until it is dispatched."""
        while request_id not in self.dispatched:
            self.now = max(self.now, self.wake_at)
            self.send(events.Tick())
        action = self.dispatched.pop(request_id)
        position = None
        if action.want_position:
            self.offset += 1
            position = positions.Position(1, self.offset)
        return events.RequestAnswered(
            request_id, action.connection_id, "I", "", position
        )
