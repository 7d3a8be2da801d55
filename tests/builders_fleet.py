"""Simulated fleet: agents on virtual time with fake network, platform and databases."""

import heapq
import itertools
import random

from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import agent
from sardinehold.core import agent_actions
from sardinehold.core import agent_events
from sardinehold.core import events
from sardinehold.core import snapshot
from sardinehold.core import view
from sardinehold_standins import store as stores

GROUP = "letters"
ENDPOINTS = ("db-1", "db-2", "db-3")
PROBE_INTERVAL = 0.25
CALL_TIMEOUT = 4.0
RECENT = 200
"""Number of last log entries searched for an entry that was just written."""
PROMISE_DRIFT = 0.01


def make_document_value(version=1, withdrawn=False):
    key = {"prefix": "p1", "salt": "00", "digest": "11", "withdrawn": withdrawn}
    endpoints = {
        name: {"host": name, "port": 5432, "zone": f"z{index}"}
        for index, name in enumerate(ENDPOINTS)
    }
    return {
        "version": version,
        "author": "a",
        "reason": "r",
        "teams": {"desk": {"rate": 100.0, "burst": 50, "weight": 1, "keys": [key]}},
        "groups": {GROUP: {"endpoints": endpoints, "slots": 3, "connections": 45}},
        "routes": {"letters": {"group": GROUP, "teams": ["desk"]}},
    }


class FakeEndpoint:
    """A fake database with a log whose entries carry their terms."""

    def __init__(self, name, role):
        self.name, self.role, self.term = name, role, 1
        self.log = []
        self.dead = self.cut = False
        self.held_until = 0.0
        self.promote_refused_until = 0.0

    def describe(self):
        length = str(len(self.log))
        return [(self.name, self.role, str(self.term), length, length)]


class FakeNode:
    """One agent with its own clock and a fake engine."""

    def __init__(self, world, vm, zone, rate=1.0):
        self.world, self.vm, self.zone, self.rate = world, vm, zone, rate
        self.address = f"{vm}:1"
        self.offset = world.random.uniform(0, 1000)
        self.starts = 0
        self.paused_until = 0.0
        self.alive = False
        self.engine = None

    def read_clock(self):
        return self.offset + self.rate * self.world.now

    def start(self):
        self.starts += 1
        self.alive = True
        self.wake_at = None
        self.held = []
        self.engine = FakeEngine(self)
        self.agent = agent.Agent(
            self.vm,
            self.zone,
            self.address,
            f"i{self.starts}",
            tuple(f"{vm}:1" for vm in self.world.nodes if vm != self.vm),
            "ab" * 32,
        )
        self.deliver(agent_events.Tick())
        start = self.starts
        self.world.after(0.05, lambda: self.run_engine(start))

    def run_engine(self, start):
        if not self.alive or start != self.starts:
            return
        self.world.after(self.world.probe_interval, lambda: self.run_engine(start))
        if self.world.now >= self.paused_until:
            self.engine.probe()

    def deliver(self, event, start=None):
        if not self.alive or (start is not None and start != self.starts):
            return
        if self.world.now < self.paused_until:
            self.held.append((event, start))
            if len(self.held) == 1:
                delay = self.paused_until - self.world.now
                self.world.after(delay, self.resume)
            return
        for action in self.agent.handle(self.read_clock(), event):
            self.world.perform(self, action)

    def resume(self):
        if self.world.now < self.paused_until:
            self.world.after(self.paused_until - self.world.now, self.resume)
            return
        held, self.held = self.held, []
        for event, start in held:
            self.deliver(event, start)

    @property
    def can_write(self):
        return self.alive and self.engine.write_deadline > self.read_clock()


class FakeEngine:
    """A fake engine that applies the agent's events as the real engine does."""

    def __init__(self, node):
        self.node = node
        self.view = None
        self.write_deadline = self.serve_deadline = 0.0
        self.tokens = []
        self.shares = {}
        self.faulty_since = {}

    def apply(self, event):
        if isinstance(event, events.ViewChanged):
            self.view = event.view
            for name, state in event.view.groups.items():
                if state.phase is view.Phase.DRAINING:
                    self.report_quiesced(name)
        elif isinstance(event, events.LeaseRenewed):
            self.write_deadline = max(self.write_deadline, event.write_deadline)
            self.serve_deadline = max(self.serve_deadline, event.serve_deadline)
        elif isinstance(event, events.TokensGranted):
            self.tokens.append(event)
        elif isinstance(event, events.ConnectionsGranted):
            self.shares[event.endpoint] = event

    def report_quiesced(self, group):
        asked = agent_events.ActionRequested(actions.GroupQuiesced(group))
        start = self.node.starts
        self.node.world.after(0, lambda: self.node.deliver(asked, start))

    def probe(self):
        if self.view is None or GROUP not in self.view.groups:
            return
        primary = self.view.groups[GROUP].primary
        endpoint = self.node.world.endpoints[primary]
        reachable = self.node.world.reaches(self.node.vm, primary)
        isolated = reachable and endpoint.cut
        if not self.has_detected(primary, not reachable or isolated):
            reachable, isolated = True, False
        report = actions.ReportEndpoint(primary, reachable, isolated)
        self.node.deliver(agent_events.ActionRequested(report))
        for name in ENDPOINTS:
            if name != primary and name in self.node.agent.node.reports:
                healthy = actions.ReportEndpoint(name, True, False)
                self.node.deliver(agent_events.ActionRequested(healthy))

    def has_detected(self, name, faulty):
        """Return whether a fault has lasted for the time it takes to detect it."""
        if not faulty:
            self.faulty_since.pop(name, None)
            return False
        world = self.node.world
        since = self.faulty_since.setdefault(name, world.now)
        return world.now - since >= world.random.uniform(*world.detection)

    def begin_write(self):
        """Send a write to the primary; return its term and entry, None if refused."""
        world, now = self.node.world, self.node.read_clock()
        if self.view is None or now >= self.write_deadline:
            return None
        state = self.view.groups.get(GROUP)
        if state is None or state.phase is not view.Phase.SERVING:
            return None
        primary = world.endpoints[state.primary]
        if not world.reaches(self.node.vm, primary.name) or primary.role != "primary":
            return None
        primary.log.append((state.term, next(world.write_ids)))
        return state.term, primary.log[-1]

    def finish_write(self, term, entry, confirmed):
        """Acknowledge a write if the node may and return whether it did."""
        world = self.node.world
        if not self.node.can_write or world.now < self.node.paused_until:
            return False
        state = self.view.groups[GROUP]
        if state.term != term or state.phase is view.Phase.SEALED:
            return False
        world.acknowledge(self.node.vm, term, entry, confirmed)
        return True


class World:
    """The simulation: clock, network, platform, endpoints and nodes."""

    def __init__(self, zones=(3, 3, 3), seed=0, rates=None, latency=(0.0005, 0.008)):
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue = []
        self.order = itertools.count()
        self.write_ids = itertools.count()
        self.store = stores.Store()
        self.watches = []
        self.platform_down = False
        self.platform_latency = 0.002
        self.lose_answers = 0
        self.lose_by_kind = set()
        self.no_platform = set()
        self.blocked = set()
        self.loss = self.duplication = 0.0
        self.jitter = 0.2
        self.detection = (0.0, 0.0)
        self.probe_interval = PROBE_INTERVAL
        self.latency = latency
        self.records = []
        self.acknowledged = []
        self.highest_term = 0
        self.sent_messages = 0
        self.calls = {}
        self.endpoints = {
            name: FakeEndpoint(name, "primary" if name == ENDPOINTS[0] else "replica")
            for name in ENDPOINTS
        }
        self.nodes = {}
        for index, count in enumerate(zones):
            for number in range(count):
                vm = f"vm-{index}-{number}"
                rate = rates[len(self.nodes) % len(rates)] if rates else 1.0
                self.nodes[vm] = FakeNode(self, vm, f"zone-{index}", rate)
        self.store.create("document", "current", make_document_value())
        for vm in self.nodes:
            self.store.vms.put(0.0, vm, {"state": "live", "purpose": "proxy"})

    def start(self, vms=None):
        for vm in vms or list(self.nodes):
            self.nodes[vm].start()
        return self

    def after(self, delay, callback):
        entry = (self.now + max(0.0, delay), next(self.order), callback)
        heapq.heappush(self.queue, entry)

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    def run_until(self, condition, limit):
        end = self.now + limit
        while not condition():
            if not self.queue or self.queue[0][0] > end:
                return False
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        return True

    def reaches(self, source, target):
        endpoint = self.endpoints.get(target)
        if endpoint is not None and endpoint.dead:
            return False
        return (source, target) not in self.blocked

    def block(self, sources, targets, both=True):
        for source, target in itertools.product(sources, targets):
            if source != target:
                self.blocked.add((source, target))
                if both:
                    self.blocked.add((target, source))

    def heal(self):
        self.blocked.clear()
        self.no_platform.clear()
        self.platform_down = False
        self.platform_latency = 0.002
        self.loss = self.duplication = 0.0

    def measure_latency(self, source, target):
        same = source.zone == getattr(target, "zone", source.zone)
        base = self.latency[0] if same else self.latency[1]
        return base * (1 + self.random.random() * self.jitter)

    def perform(self, node, action):
        if isinstance(action, agent_actions.Deliver):
            node.engine.apply(action.event)
        elif isinstance(action, agent_actions.Send):
            self.send(node, action)
        elif isinstance(action, agent_actions.QueryEndpoint):
            self.query(node, action)
        elif isinstance(action, agent_actions.Call):
            self.call_platform(node, action)
        elif isinstance(action, agent_actions.WakeAt):
            self.set_timer(node, action.time)
        elif isinstance(action, agent_actions.Record):
            self.records.append((self.now, node.vm, action.kind, action.fields))
        elif isinstance(action, agent_actions.Stopped):
            node.alive = False

    def set_timer(self, node, time):
        node.wake_at = time
        start = node.starts
        delay = (time - node.read_clock()) / node.rate + 1e-9

        def wake():
            if node.starts == start and node.wake_at == time:
                node.deliver(agent_events.Tick(), start)

        self.after(delay, wake)

    def send(self, node, action):
        target = self.nodes.get(action.address.split(":")[0])
        self.sent_messages += 1
        if target is None or (node.vm, target.vm) in self.blocked:
            return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() >= self.loss:
                event = agent_events.MessageArrived(action.message)
                delay = self.measure_latency(node, target)
                self.after(delay, lambda event=event: target.deliver(event))

    def query(self, node, action):
        start = node.starts
        endpoint = self.endpoints[action.endpoint]
        delay = self.random.uniform(0.012, 0.03)
        timeout = (action.deadline - node.read_clock()) / node.rate

        def arrive():
            if self.reaches(node.vm, endpoint.name):
                answer = self.run_statement(endpoint, action)
                self.after(delay / 2, lambda: node.deliver(answer, start))
            else:
                failed = agent_events.EndpointFailed(action.call_id)
                self.after(timeout, lambda: node.deliver(failed, start))

        self.after(delay / 2, arrive)

    def run_statement(self, endpoint, action):
        sql = action.sql
        answered = agent_events.EndpointAnswered
        if "cluster_log_status" in sql:
            self.replicate()
            return answered(action.call_id, endpoint.describe())
        term = int(sql.split("(")[1].split(",")[0].rstrip(")"))
        if "cluster_promote" in sql:
            if term < endpoint.term or self.now < endpoint.promote_refused_until:
                return agent_events.EndpointFailed(action.call_id)
            if term > endpoint.term:
                endpoint.role, endpoint.term = "primary", term
                endpoint.promoted_at = len(endpoint.log)
            return answered(action.call_id, [(str(endpoint.promoted_at),)])
        if term < endpoint.term or (
            term == endpoint.term and endpoint.role != "replica"
        ):
            return agent_events.EndpointFailed(action.call_id)
        endpoint.role, endpoint.term = "replica", term
        host = sql.split("'")[1]
        endpoint.log = list(self.endpoints[host].log)
        return answered(action.call_id, [("ok",)])

    def replicate(self):
        """Copy each primary's log to the replicas of its term."""
        for primary in self.endpoints.values():
            if primary.role != "primary" or primary.cut or primary.dead:
                continue
            for other in self.endpoints.values():
                follows = other.role == "replica" and other.term == primary.term
                stopped = other.dead or other.cut or self.now < other.held_until
                if follows and not stopped:
                    other.log.extend(primary.log[len(other.log) :])

    def is_confirmed(self, entry):
        """Return whether a replica holds the entry, as routes require by default."""
        self.replicate()
        return any(
            entry in item.log[-RECENT:]
            for item in self.endpoints.values()
            if item.role == "replica"
        )

    def write(self, vm, duration=0.004, confirmed=True):
        """Simulate a client's write through a node.

        :param confirmed: whether the route requires a replica's acknowledgement.
        """
        node = self.nodes[vm]
        if not node.alive or self.now < node.paused_until:
            return
        begun = node.engine.begin_write()
        if begun is None:
            return
        term, entry = begun
        engine = node.engine

        def finish():
            if node.engine is not engine or not node.alive:
                return
            if not confirmed or self.is_confirmed(entry):
                engine.finish_write(term, entry, confirmed)

        self.after(duration, finish)

    def acknowledge(self, vm, term, entry, confirmed):
        assert term >= self.highest_term, (
            f"{vm} acknowledged term {term} after {self.highest_term} at {self.now}"
        )
        self.highest_term = term
        if confirmed:
            self.acknowledged.append((self.now, vm, entry))

    def list_lost(self):
        """Return acknowledged writes that the primary does not hold."""
        state = self.store.get("group-state", GROUP).value
        held = set(self.endpoints[state["primary"]].log)
        return [entry for _, _, entry in self.acknowledged if entry not in held]

    def call_platform(self, node, action):
        start = node.starts
        kind = type(action).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1

        def answer(event):
            self.after(self.platform_latency / 2, lambda: node.deliver(event, start))

        def fail():
            failure = agent_events.Failure.UNAVAILABLE
            node.deliver(agent_events.PlatformFailed(action.call_id, failure), start)

        def arrive():
            if self.platform_down or node.vm in self.no_platform:
                self.after(CALL_TIMEOUT if node.vm in self.no_platform else 0.05, fail)
                return
            if isinstance(action, agent_actions.WatchObjects):
                self.watch(node, action, answer, fail)
                return
            event = self.serve(action)
            if isinstance(action, agent_actions.WriteObject):
                self.wake_watches()
                if self.lose_answers or action.kind in self.lose_by_kind:
                    self.lose_answers = max(0, self.lose_answers - 1)
                    self.lose_by_kind.discard(action.kind)
                    self.after(CALL_TIMEOUT, fail)
                    return
            answer(event)

        self.after(self.platform_latency / 2, arrive)

    def serve(self, action):
        call_id = action.call_id
        try:
            if isinstance(action, agent_actions.ListObjects):
                listed = self.store.list(snapshot.KINDS)
                return agent_events.ChangesRead(call_id, listed)
            if isinstance(action, agent_actions.ListVms):
                return agent_events.ChangesRead(call_id, self.store.vms.read(self.now))
            if isinstance(action, agent_actions.ListGroups):
                read = self.store.groups.read(self.now)
                return agent_events.ChangesRead(call_id, read)
            if isinstance(action, agent_actions.ReadObject):
                found = self.store.get(action.kind, action.name)
                return agent_events.ObjectWritten(call_id, found.version)
            return agent_events.ObjectWritten(call_id, self.put(action))
        except errors.VersionConflict:
            failure = agent_events.Failure.CONFLICT
        except errors.ObjectMissing:
            failure = agent_events.Failure.MISSING
        return agent_events.PlatformFailed(call_id, failure)

    def put(self, action):
        if action.value is None:
            self.store.delete(action.kind, action.name, action.version)
            return 0
        if not action.version:
            return self.store.create(action.kind, action.name, action.value).version
        return self.store.update(
            action.kind, action.name, action.value, action.version
        ).version

    def watch(self, node, action, answer, fail):
        waiting = [True]

        def finish(force):
            if not waiting[0]:
                return
            if self.platform_down or node.vm in self.no_platform:
                waiting[0] = False
                self.after(CALL_TIMEOUT, fail)
                return
            try:
                changes = self.store.read_changes(snapshot.KINDS, action.since)
            except errors.WatchExpired:
                waiting[0] = False
                failure = agent_events.Failure.EXPIRED
                answer(agent_events.PlatformFailed(action.call_id, failure))
                return
            if changes.objects or force:
                waiting[0] = False
                answer(agent_events.ChangesRead(action.call_id, changes))
            else:
                self.watches.append(finish)

        finish(False)
        self.after(action.wait, lambda: finish(True))

    def wake_watches(self):
        watches, self.watches = self.watches, []
        for finish in watches:
            finish(False)

    def change(self, kind, name, value):
        """Change an object as an operator does."""
        try:
            version = self.store.get(kind, name).version
            self.store.update(kind, name, value, version)
        except errors.ObjectMissing:
            self.store.create(kind, name, value)
        self.wake_watches()

    def read_group(self):
        return self.store.get("group-state", GROUP).value

    def find_holder(self, role):
        """Return the live node that performs a role, None if there is none."""
        holders = [
            node
            for node in self.nodes.values()
            if node.alive
            and self.now >= node.paused_until
            and node.agent.electors[role].is_effective(node.read_clock())
        ]
        if role == "allocator-0":
            assert len(holders) <= 1, [node.vm for node in holders]
        return holders[0] if holders else None

    def is_ready(self):
        """Return whether all nodes are members, accept writes, and roles are held."""
        return (
            all(n.can_write and n.agent.node.is_member for n in self.nodes.values())
            and GROUP in next(iter(self.nodes.values())).agent.node.view.groups
            and self.find_holder("supervisor-0") is not None
            and not self.store.get("members", "current").value["earlier"]
        )


def make_ready_world(**options):
    """Return a world whose fleet is ready."""
    world = World(**options).start()
    assert world.run_until(world.is_ready, 60), "the fleet did not become ready"
    return world
