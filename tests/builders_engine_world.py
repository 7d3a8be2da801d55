"""Simulation of endpoints, network and control plane around several engines."""

import heapq

import builders_engine as builders
from sardinehold import document
from sardinehold import errors
from sardinehold.core import classifier
from sardinehold.core import engine as engines
from sardinehold.core import events
from sardinehold.core import node as nodes
from sardinehold.core import positions
from sardinehold.core import view as views

LEASE = 2.0
SERVE = 8.0
NAMES = ("letters-0", "letters-1", "letters-2")


class Endpoint:
    """A database: a log of write identifiers, and the prefix visible to readers."""

    def __init__(self, name):
        self.name = name
        self.alive = True
        self.cut = False
        self.role = "replica"
        self.term = 1
        self.log = []
        self.applied = 0


class Link:
    """A connection from a node to an endpoint, with its open transaction."""

    def __init__(self, number, endpoint):
        self.number = number
        self.endpoint = endpoint
        self.open = True
        self.lost = False
        self.silent = False
        self.writes = None
        self.session = None


class Proxy:
    """A node: its engine, its connections and its view of the control plane."""

    def __init__(self, index, policies):
        self.index = index
        self.engine = engines.Engine(index, 0.0, f"zone-{index % 3}", policies)
        self.reachable = True
        self.write_deadline = 0.0
        self.seen_version = 0
        self.links = {}


class Client:
    """A caller's session: its acknowledged writes, its last read and its token."""

    def __init__(self, key, route):
        self.key = key
        self.route = route
        self.proxy = None
        self.session_id = 0
        self.token = ""
        self.request = None
        self.in_transaction = False
        self.pending = []
        self.acknowledged = set()
        self.seen = ()
        self.is_aged = route == "aged"


class World:
    """Virtual time, message delivery, and checks of the callers' histories."""

    def __init__(self, proxies=2, seed=1, durability=None, policies=None):
        self.now = 0.0
        self.seed = seed
        self.sequence = 0
        self.queue = []
        self.lag = 0.03
        self.endpoints = {name: Endpoint(name) for name in NAMES}
        self.endpoints[NAMES[0]].role = "primary"
        self.clients = []
        self.requests = {}
        self.runs = {}
        self.idempotent = set()
        self.not_run = set()
        self.next_id = 0
        self.withdrawn = set()
        self.state = views.GroupState(
            "letters", 1, NAMES[0], history=(views.TermStart(1, 0),)
        )
        self.leaving = frozenset()
        self.version = 1
        self.durability = durability or document.Durability.REPLICA
        self.view = self.build_view()
        self.sealed = False
        self.is_broken = False
        self.proxies = [Proxy(i + 1, policies) for i in range(proxies)]
        self.counts = {}
        self.renew()
        self.replicate()

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def jitter(self):
        self.sequence += 1
        return nodes.derive_jitter(self.seed, self.sequence)

    def at(self, delay, function, *arguments):
        self.sequence += 1
        entry = (self.now + delay, self.sequence, function, arguments)
        heapq.heappush(self.queue, entry)

    def advance(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)
        self.now = end

    # The control plane.

    def build_view(self):
        teams = []
        for name, key in builders.KEYS.items():
            old = key.record
            record = document.Key(
                old.prefix, old.salt, old.digest, name in self.withdrawn
            )
            teams.append(document.Team(name, 1000.0, 1000, keys=(record,)))
        names = tuple(builders.KEYS)
        routes = [
            document.Route(
                "main",
                "letters",
                names,
                durability=self.durability,
                statement_timeout=2.0,
                idle_in_transaction=1.0,
            ),
            document.Route(
                "aged", "letters", names, max_age=0.5, statement_timeout=2.0
            ),
        ]
        content = builders.make_document(
            1 + len(self.withdrawn),
            teams,
            [builders.make_group(connections=6)],
            routes,
        )
        view = builders.make_view(self.version, content, [self.state], self.leaving)
        view.members = {
            f"vm-{i}": views.Member(f"vm-{i}", "zone-1", "", "") for i in range(2)
        }
        return view

    def publish(self):
        self.version += 1
        self.view = self.build_view()
        for proxy in self.proxies:
            if proxy.reachable:
                self.at(0.02 * self.jitter(), self.deliver, proxy, self.view, self.now)

    def renew(self):
        for proxy in self.proxies:
            if proxy.reachable:
                proxy.write_deadline = max(proxy.write_deadline, self.now + LEASE)
                self.at(0.02 * self.jitter(), self.deliver, proxy, self.view, self.now)
        self.at(0.5, self.renew)

    def deliver(self, proxy, view, asked):
        self.send(proxy, events.ViewChanged(view))
        proxy.seen_version = max(proxy.seen_version, view.version)
        if self.version == view.version or asked + LEASE > self.now:
            self.send(proxy, events.LeaseRenewed(asked + LEASE, asked + SERVE))

    def seal(self):
        """Start to replace the primary."""
        if self.sealed:
            return
        self.sealed = True
        self.state = self.replace_state(phase=views.Phase.SEALED)
        self.publish()
        self.at(0.01, self.try_promote, self.version)

    def drain(self):
        """Start a planned switchover."""
        if self.sealed or self.state.phase is not views.Phase.SERVING:
            return
        self.state = self.replace_state(phase=views.Phase.DRAINING)
        self.publish()
        self.at(0.2, self.seal)

    def replace_state(self, **parts):
        old = self.state
        values = {
            "term": old.term,
            "primary": old.primary,
            "phase": old.phase,
            "history": old.history,
        }
        values.update(parts)
        return views.GroupState("letters", **values)

    def try_promote(self, version):
        """Promote once every node has seen the seal or lost its lease."""
        waiting = [
            proxy
            for proxy in self.proxies
            if proxy.seen_version < version and self.now <= proxy.write_deadline
        ]
        candidates = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.name != self.state.primary
            and endpoint.alive
            and endpoint.term == self.state.term
        ]
        if waiting or len(candidates) < 2:
            self.at(0.02, self.try_promote, version)
            return
        self.promote(max(candidates, key=lambda endpoint: len(endpoint.log)))

    def promote(self, target):
        term = self.state.term + 1
        start = len(target.log)
        old = self.endpoints[self.state.primary]
        old.cut = True
        for endpoint in self.endpoints.values():
            if endpoint is not old:
                endpoint.term = term
                endpoint.role = "replica"
                endpoint.cut = False
        target.role = "primary"
        target.applied = start
        self.state = views.GroupState(
            "letters",
            term,
            target.name,
            history=(*self.state.history, views.TermStart(term, start)),
        )
        self.sealed = False
        self.count("promotions")
        self.publish()

    def rejoin(self):
        """Attach replaced primaries to the new primary as replicas."""
        primary = self.endpoints[self.state.primary]
        for endpoint in self.endpoints.values():
            if endpoint is primary or endpoint.term == self.state.term:
                continue
            if endpoint.alive and not self.sealed:
                endpoint.role = "replica"
                endpoint.cut = False
                endpoint.term = self.state.term
                shared = self.state.history[-1].offset
                endpoint.log = endpoint.log[:0] + primary.log[:shared]
                endpoint.applied = min(endpoint.applied, shared)

    def replicate(self):
        """Copy the primary's log; replicas apply what they received before."""
        for endpoint in self.endpoints.values():
            source = next(
                (
                    other
                    for other in self.endpoints.values()
                    if other.role == "primary" and other.term == endpoint.term
                ),
                None,
            )
            if endpoint.role == "primary" or source is None or not endpoint.alive:
                continue
            endpoint.applied = len(endpoint.log)
            if source.alive and not source.cut and not endpoint.cut:
                endpoint.log = source.log[:]
        self.at(self.lag * (0.3 + self.jitter()), self.replicate)

    # Events and actions.

    def send(self, proxy, event):
        if self.is_broken:
            return
        self.is_broken = True
        out = proxy.engine.handle(self.now, event)
        self.is_broken = False
        for action in out:
            handler = getattr(self, f"on_{type(action).__name__}", None)
            if handler is not None:
                handler(proxy, action)

    def on_WakeAt(self, proxy, action):  # noqa: N802
        self.at(max(0.0, action.time - self.now), self.send, proxy, events.Tick())

    def on_OpenConnection(self, proxy, action):  # noqa: N802
        self.at(0.012, self.connect, proxy, action)

    def connect(self, proxy, action):
        endpoint = self.endpoints[action.endpoint]
        number = action.connection_id
        if not endpoint.alive:
            self.send(proxy, events.ConnectionFailed(number))
            return
        proxy.links.setdefault(number, Link(number, endpoint))
        self.send(proxy, events.ConnectionOpened(number))

    def on_CloseConnection(self, proxy, action):  # noqa: N802
        link = proxy.links.get(action.connection_id)
        if link is not None:
            link.open = False
            link.writes = None

    def on_ProbeEndpoint(self, proxy, action):  # noqa: N802
        asked = self.now
        self.at(0.003 * self.jitter(), self.probe, proxy, action, asked)

    def probe(self, proxy, action, asked):
        endpoint = self.endpoints[action.endpoint]
        if not endpoint.alive:
            failed = events.ProbeFailed(action.endpoint, action.fresh)
            self.at(0.1, self.send, proxy, failed)
            return
        position = positions.Position
        event = events.StatusObserved(
            endpoint.name,
            endpoint.role,
            position(endpoint.term, self.find_applied(endpoint)),
            position(endpoint.term, len(endpoint.log)),
            self.find_confirmed(endpoint),
            asked,
        )
        self.at(0.003 * self.jitter(), self.send, proxy, event)

    def find_applied(self, endpoint):
        return len(endpoint.log) if endpoint.role == "primary" else endpoint.applied

    def find_confirmed(self, endpoint):
        if endpoint.role != "primary" or endpoint.cut:
            return ()
        return tuple(
            (other.name, positions.Position(other.term, len(other.log)))
            for other in self.endpoints.values()
            if other is not endpoint and other.term == endpoint.term
        )

    def on_RequestTokens(self, proxy, action):  # noqa: N802
        lifetime = 0.1 * (1 + int(self.now * 1000) % 10)
        deadline = self.now + lifetime
        grant = events.TokensGranted(action.team, action.tokens, deadline)
        self.at(0.004, self.send, proxy, grant)

    def on_Dispatch(self, proxy, action):  # noqa: N802
        link = proxy.links[action.connection_id]
        assert link.open, "a closed connection was used"
        if link.lost:
            failed = events.DispatchFailed(action.request_id, action.connection_id)
            self.at(0.0, self.send, proxy, failed)
            return
        if link.writes is not None:
            assert link.session == action.session_id, "transactions mixed"
        self.at(0.002 * self.jitter(), self.execute, proxy, link, action)

    def execute(self, proxy, link, action):
        """Run a statement unless its connection was closed, lost or silenced."""
        endpoint = link.endpoint
        if not link.open or link.lost or link.silent or not endpoint.alive:
            return
        kind, client, write = self.requests[action.request_id]
        sqlstate = ""
        if kind == "read":
            shown = tuple(endpoint.log[: self.find_applied(endpoint)])
            answer = shown
        else:
            answer = None
            sqlstate = self.change(endpoint, link, action, kind, write)
        position = None
        if action.want_position:
            position = positions.Position(endpoint.term, len(endpoint.log))
        event = events.RequestAnswered(
            action.request_id,
            action.connection_id,
            "I" if link.writes is None else "T",
            sqlstate,
            position,
            self.find_confirmed(endpoint) if action.want_position else (),
        )
        self.at(0.002 * self.jitter(), self.answer, proxy, link, event, answer)

    def change(self, endpoint, link, action, kind, write):
        """Run a statement that is not a read; return its SQLSTATE."""
        if endpoint.role != "primary":
            return "25006"
        if kind == "begin":
            link.writes = []
            link.session = action.session_id
        elif kind == "write" and link.writes is not None:
            link.writes.append(write)
        elif kind == "write":
            self.run(endpoint, [write])
        else:
            self.run(endpoint, link.writes or [])
            link.writes = None
        return ""

    def run(self, endpoint, writes):
        for write in writes:
            assert write not in self.not_run, "a write reported as not run was run"
            self.runs[write] = self.runs.get(write, 0) + 1
            assert self.runs[write] == 1 or write in self.idempotent, "ran twice"
            endpoint.log.append(write)

    def answer(self, proxy, link, event, shown):
        if not link.open or link.lost or link.silent:
            return
        if shown is not None:
            kind, client, write = self.requests[event.request_id]
            self.requests[event.request_id] = (kind, client, shown)
        self.send(proxy, event)

    def lose(self, proxy, link):
        """Break a connection; the node is notified after a delay."""
        link.lost = True
        link.writes = None
        lost = events.ConnectionLost(link.number)
        self.at(0.02 * self.jitter(), self.send, proxy, lost)

    # Answers to callers.

    def on_GroupQuiesced(self, proxy, action):  # noqa: N802
        self.count("quiesced")
        assert proxy.engine.is_quiesced(action.group)

    def on_SessionAccepted(self, proxy, action):  # noqa: N802
        self.count("sessions")

    def find_client(self, proxy, session_id):
        for client in self.clients:
            if client.proxy is proxy and client.session_id == session_id:
                return client
        return None

    def on_SessionRefused(self, proxy, action):  # noqa: N802
        self.end_session(self.find_client(proxy, action.session_id))

    def on_CloseSession(self, proxy, action):  # noqa: N802
        self.end_session(self.find_client(proxy, action.session_id))

    def end_session(self, client):
        if client is not None:
            client.proxy = None
            client.request = None
            client.in_transaction = False
            client.pending = []

    def on_Acknowledge(self, proxy, action):  # noqa: N802
        kind, client, detail = self.requests[action.request_id]
        assert client.request == action.request_id, "answered another request"
        client.request = None
        self.count(f"acknowledged_{kind}")
        if action.token:
            client.token = action.token
        if kind == "read":
            self.check_read(client, detail)
        elif kind == "begin":
            client.in_transaction = True
        elif kind == "write" and client.in_transaction:
            client.pending.append(detail)
        elif kind == "write":
            self.note_durable(client, [detail])
        else:
            self.note_durable(client, client.pending)
            client.in_transaction = False
            client.pending = []

    def note_durable(self, client, writes):
        log = self.endpoints[self.state.primary].log
        for write in writes:
            if write in log:
                client.acknowledged.add(write)

    def check_read(self, client, shown):
        if client.is_aged or client.in_transaction:
            return
        missing = client.acknowledged - set(shown)
        assert not missing, f"read-your-writes: {missing}"
        lost = set(client.seen) - set(shown)
        lost &= set(self.endpoints[self.state.primary].log)
        assert not lost, f"monotonic reads: {lost}"
        client.seen = shown

    def on_Refuse(self, proxy, action):  # noqa: N802
        kind, client, detail = self.requests[action.request_id]
        error = action.error
        self.count(f"refused_{type(error).__name__}")
        if kind == "write" and error.outcome is errors.Outcome.NOT_RUN:
            assert not self.runs.get(detail), "refused as not run, but it ran"
            self.not_run.add(detail)
        if isinstance(error, errors.PositionLost):
            client.acknowledged &= set(self.endpoints[self.state.primary].log)
        if client.request == action.request_id:
            client.request = None
        if action.fatal:
            self.end_session(client)

    # Requests of callers.

    def open(self, key, route, proxy):
        client = Client(key, route)
        self.clients.append(client)
        self.connect_client(client, proxy)
        return client

    def connect_client(self, client, proxy):
        """Open a session on a proxy with the client's token; close the old one."""
        if client.proxy is not None:
            session = events.SessionClosed(client.session_id)
            old = client.proxy
            self.end_session(client)
            self.send(old, session)
        self.next_id += 1
        client.proxy = proxy
        client.session_id = self.next_id
        text = builders.KEYS[client.key].text
        event = events.SessionOpened(self.next_id, client.route, text, client.token)
        self.send(proxy, event)

    def ask(self, client, kind):
        """Send a statement unless one is pending."""
        if client.proxy is None or client.request is not None:
            return
        if kind == "commit" and not client.in_transaction:
            return
        if kind == "begin" and client.in_transaction:
            return
        self.next_id += 1
        number = self.next_id
        text = {
            "read": "select 1",
            "write": "insert into t values (1)",
            "keyed": "insert into t values (1) /* sardinehold.idempotency_key='a' */",
            "begin": "begin",
            "commit": "commit",
        }[kind]
        if kind == "keyed":
            kind = "write"
            if not client.in_transaction:
                self.idempotent.add(number)
        self.requests[number] = (kind, client, number)
        client.request = number
        traits = classifier.classify(text)
        event = events.RequestArrived(number, client.session_id, traits)
        self.send(client.proxy, event)

    def cancel(self, client):
        """Cancel the session's pending request."""
        if client.proxy is not None and client.request is not None:
            self.send(client.proxy, events.RequestCancelled(client.request))

    def hang_up(self, client):
        """Close the session without waiting for an answer."""
        if client.proxy is not None:
            proxy, number = client.proxy, client.session_id
            self.end_session(client)
            self.send(proxy, events.SessionClosed(number))

    def check_end(self):
        """Check that all requests ended and no acknowledged write was lost."""
        log = self.endpoints[self.state.primary].log
        for client in self.clients:
            assert client.request is None, "a request never ended"
            if self.durability is not document.Durability.PRIMARY:
                lost = client.acknowledged - set(log)
                assert not lost, f"lost: {lost}"
