"""Builders of views, engines and events for the tests of the engine."""

from sardinehold import document
from sardinehold import keys
from sardinehold.core import actions
from sardinehold.core import classifier
from sardinehold.core import engine as engines
from sardinehold.core import events
from sardinehold.core import positions
from sardinehold.core import view as views

KEYS = {name: keys.generate_key() for name in ("desk", "print", "web")}
TOKEN_KEY = b"k" * 32
FAR = 10_000.0


def make_group(name="letters", endpoints=3, slots=3, connections=20):
    members = tuple(
        document.Endpoint(f"{name}-{i}", "127.0.0.1", 5000 + i, f"zone-{i}")
        for i in range(endpoints)
    )
    return document.Group(name, members, slots, connections)


def make_document(version=1, teams=None, groups=None, routes=None):
    if teams is None:
        teams = [
            document.Team(name, 100.0, 100, keys=(key.record,))
            for name, key in KEYS.items()
        ]
    groups = groups or [make_group()]
    if routes is None:
        names = tuple(team.name for team in teams)
        group = groups[0].name
        routes = [
            document.Route("main", group, names),
            document.Route("public", group, open=True, rate=50, burst=50, max_age=2.0),
        ]
    return document.Document(
        version,
        "ann",
        "test",
        {team.name: team for team in teams},
        {group.name: group for group in groups},
        {route.name: route for route in routes},
    )


def make_view(version=1, content=None, states=None, leaving=(), **document_parts):
    content = content or make_document(**document_parts)
    states = states or [
        views.GroupState(name, 1, f"{name}-0", history=(views.TermStart(1, 0),))
        for name in content.groups
    ]
    return views.View(
        version,
        content,
        {state.name: state for state in states},
        leaving=frozenset(leaving),
        token_keys=(TOKEN_KEY,),
    )


class Driver:
    """Driver of one engine with virtual time that answers its actions."""

    def __init__(
        self, view=None, seed=1, policies=None, write=FAR, serve=FAR, granted=True
    ):
        self.now = 0.0
        self.engine = engines.Engine(seed, 0.0, "zone-1", policies)
        self.node = self.engine.node
        self.log = []
        self.next_id = 0
        self.auto = True
        self.granted = granted
        self.offsets = {}
        if view is not None:
            self.send(events.ViewChanged(view))
            self.send(events.LeaseRenewed(write, serve))

    def send(self, event):
        out = self.engine.handle(self.now, event)
        self.log.extend(out)
        if self.auto:
            for action in out:
                self.respond(action)
        return out

    def respond(self, action):
        """Open connections, grant tokens and answer probes immediately."""
        if isinstance(action, actions.OpenConnection):
            self.send(events.ConnectionOpened(action.connection_id))
        elif isinstance(action, actions.RequestTokens) and action.tokens:
            grant = events.TokensGranted(action.team, action.tokens, self.now + 5)
            self.send(grant)
        elif isinstance(action, actions.RequestConnections) and self.granted:
            count = action.connections
            self.send(events.ConnectionsGranted(action.endpoint, count, FAR))
        elif isinstance(action, actions.ProbeEndpoint):
            self.observe(action.endpoint)

    def observe(self, endpoint, offset=None, asked=None, role=None, term=None):
        group = self.node.endpoints[endpoint].group
        if offset is not None:
            self.offsets[endpoint] = offset
        term = term or group.state.term
        position = positions.Position(term, self.offsets.get(endpoint, 0))
        confirmed = tuple(
            (name, positions.Position(term, self.offsets.get(name, 0)))
            for name in group.endpoints
            if name != endpoint
        )
        default = "primary" if group.state.primary == endpoint else "replica"
        asked = self.now if asked is None else asked
        return self.send(
            events.StatusObserved(
                endpoint, role or default, position, position, confirmed, asked
            )
        )

    def advance(self, seconds, step=0.01):
        """Advance the time in steps, sending a tick after each."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            self.send(events.Tick())

    def open(self, key=None, route="main", token="", session_id=None, **parts):
        self.next_id += 1
        number = session_id or self.next_id
        text = KEYS["desk"].text if key is None else key
        self.send(events.SessionOpened(number, route, text, token, **parts))
        return number

    def ask(self, session_id, text):
        """Send a statement and return the request's identifier."""
        self.next_id += 1
        traits = classifier.classify(text)
        self.send(events.RequestArrived(self.next_id, session_id, traits))
        return self.next_id

    def answer(self, request_id, offset=None, status="I", sqlstate="", term=1):
        dispatch = self.find(actions.Dispatch, request_id)
        position = positions.Position(term, offset) if offset is not None else None
        confirmed = tuple(
            (name, positions.Position(term, value))
            for name, value in self.offsets.items()
        )
        return self.send(
            events.RequestAnswered(
                request_id,
                dispatch.connection_id,
                status,
                sqlstate,
                position,
                confirmed,
            )
        )

    def find(self, kind, request_id=None):
        """Return the last action of a kind, optionally of one request, or None."""
        for action in reversed(self.log):
            if isinstance(action, kind) and (
                request_id is None or action.request_id == request_id
            ):
                return action
        return None

    def all(self, kind):
        return [action for action in self.log if isinstance(action, kind)]

    def error(self, request_id):
        refusal = self.find(actions.Refuse, request_id)
        return refusal.error if refusal else None
