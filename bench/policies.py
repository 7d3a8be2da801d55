"""Comparison of policies on one node, in virtual time.

Run with ``python bench/policies.py``. Each row is one run of the real engine with
three simulated endpoints and a fixed seed; the last line is JSON. The baselines are
the policies listed first: waiting reads go to the primary, a random replica, FIFO
queueing, an even split of connections, no adaptive limit.
"""

import argparse
import collections
import heapq
import json
import random
import statistics

import worlds
from sardinehold import document
from sardinehold.core import actions
from sardinehold.core import classifier
from sardinehold.core import engine as engines
from sardinehold.core import events
from sardinehold.core import node as nodes
from sardinehold.core import positions

SECONDS = 20.0
"""Virtual seconds of a run."""

SEEDS = (11, 12, 13, 14, 15)
"""Seeds of the runs with several teams."""

LAGS = (0.02, 0.2)
"""Range in seconds of a replica's lag, which changes every second."""

NETWORK = 0.001
"""One-way latency in seconds between the node and an endpoint."""

SERVICE = 0.005
"""Mean duration of a statement on an endpoint, in seconds."""

READ = classifier.classify("select * from letters where id = 1")
WRITE = classifier.classify("insert into letters values (1)")


class Endpoint:
    """A simulated endpoint with slots, and a lag behind the primary's log."""

    def __init__(self, name: str, slots: int) -> None:
        """Create an idle endpoint."""
        self.name = name
        self.free = slots
        self.waiting: collections.deque = collections.deque()
        self.lag = 0.1
        self.slowdown = 1.0


class Bench:
    """The real engine of one node with simulated endpoints and allocators."""

    def __init__(self, policies: nodes.Policies, view: object, seed: int) -> None:
        """Create an engine with a view and a lease."""
        self.random = random.Random(seed)
        self.now = 0.0
        self.queue: list = []
        self.sequence = 0
        self.engine = engines.Engine(seed, 0.0, "zone-0", policies)
        group = view.document.groups["group-0"]
        self.endpoints = {
            endpoint.name: Endpoint(endpoint.name, group.slots)
            for endpoint in group.endpoints
        }
        self.primary = group.endpoints[0].name
        self.log_times = [0.0]
        self.arrived: dict[int, tuple[int, str, bool, float]] = {}
        self.busy: set[int] = set()
        self.waits = collections.defaultdict(list)
        self.totals = collections.defaultdict(list)
        self.offered: collections.Counter = collections.Counter()
        self.served: collections.Counter = collections.Counter()
        self.reads_by_role: collections.Counter = collections.Counter()
        self.rates: dict[str, float] = {}
        self.bucket: dict[str, tuple[float, float]] = {}
        self.max_grant = 0
        self.request_id = 0
        self.send(events.ViewChanged(view))
        self.send(events.LeaseRenewed(worlds.DISTANT_DEADLINE, worlds.DISTANT_DEADLINE))
        self.change_lags()

    def schedule(self, delay: float, function: object, *arguments: object) -> None:
        """Schedule a call of a function after a delay in virtual seconds."""
        self.sequence += 1
        entry = (self.now + delay, self.sequence, function, arguments)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Advance virtual time and make the calls that are due."""
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)
        self.now = end

    def change_lags(self) -> None:
        """Assign a random lag to each replica every second."""
        for endpoint in self.endpoints.values():
            endpoint.lag = self.random.uniform(*LAGS)
        self.schedule(1.0, self.change_lags)

    def send(self, event: events.Event) -> None:
        """Pass an event to the engine and execute its actions."""
        for action in self.engine.handle(self.now, event):
            handler = _ACTION_HANDLERS.get(type(action))
            if handler is not None:
                handler(self, action)

    def find_applied(self, endpoint: Endpoint) -> int:
        """Return the log offset that an endpoint has applied."""
        if endpoint.name == self.primary:
            return len(self.log_times) - 1
        limit = self.now - endpoint.lag
        offset = len(self.log_times) - 1
        while offset and self.log_times[offset] > limit:
            offset -= 1
        return offset

    def arrive(self, session_id: int, owner: str, is_read: bool, key: object) -> None:
        """Send a statement unless the session has one in progress."""
        self.offered[key] += 1
        if session_id in self.busy:
            return
        self.request_id += 1
        self.busy.add(session_id)
        self.arrived[self.request_id] = (session_id, key, is_read, self.now)
        traits = READ if is_read else WRITE
        self.send(events.RequestArrived(self.request_id, session_id, traits))

    def dispatch(self, action: actions.Dispatch) -> None:
        """Send a statement to its endpoint."""
        _, key, is_read, arrived = self.arrived[action.request_id]
        self.waits[key].append(self.now - arrived)
        if is_read:
            self.reads_by_role[
                "primary" if action.endpoint == self.primary else "replica"
            ] += 1
        self.schedule(
            NETWORK, self.start_statement, self.endpoints[action.endpoint], action
        )

    def start_statement(self, endpoint: Endpoint, action: actions.Dispatch) -> None:
        """Run a statement, or queue it until the endpoint has a free slot."""
        if not endpoint.free:
            endpoint.waiting.append(action)
            return
        endpoint.free -= 1
        seconds = self.random.expovariate(1 / SERVICE) * endpoint.slowdown
        self.schedule(seconds, self.finish_statement, endpoint, action)

    def finish_statement(self, endpoint: Endpoint, action: actions.Dispatch) -> None:
        """Answer a statement and start the next queued one."""
        endpoint.free += 1
        position = None
        if action.want_position:
            self.log_times.append(self.now)
            position = positions.Position(1, len(self.log_times) - 1)
        event = events.RequestAnswered(
            action.request_id, action.connection_id, "I", "", position
        )
        self.schedule(NETWORK, self.send, event)
        if endpoint.waiting:
            self.start_statement(endpoint, endpoint.waiting.popleft())

    def record_answer(self, action: actions.Acknowledge) -> None:
        """Record the answer to a statement."""
        session_id, key, _, arrived = self.arrived.pop(action.request_id)
        self.busy.discard(session_id)
        self.served[key] += 1
        self.totals[key].append(self.now - arrived)

    def record_refusal(self, action: actions.Refuse) -> None:
        """Release the session of a refused statement."""
        session_id, _, _, _ = self.arrived.pop(action.request_id)
        self.busy.discard(session_id)

    def grant_tokens(self, action: actions.RequestTokens) -> None:
        """Grant tokens from the team's bucket."""
        rate = self.rates.get(action.team, 1e9)
        saved, since = self.bucket.get(action.team, (rate, self.now))
        saved = min(rate, saved + rate * (self.now - since))
        tokens = int(min(saved, action.tokens))
        self.bucket[action.team] = (saved - tokens, self.now)
        if tokens:
            event = events.TokensGranted(action.team, tokens, self.now + 2.0)
            self.schedule(2 * NETWORK, self.send, event)

    def return_tokens(self, action: actions.ReturnTokens) -> None:
        """Add returned tokens to the team's bucket."""
        saved, since = self.bucket.get(action.team, (0.0, self.now))
        self.bucket[action.team] = (saved + action.tokens, since)

    def grant_connections(self, action: actions.RequestConnections) -> None:
        """Grant connections, up to ``max_grant``."""
        if self.max_grant:
            number = min(self.max_grant, action.connections)
            event = events.ConnectionsGranted(
                action.endpoint, number, worlds.DISTANT_DEADLINE
            )
            self.schedule(0.05, self.send, event)

    def probe(self, action: actions.ProbeEndpoint) -> None:
        """Send a status probe to an endpoint."""
        self.schedule(NETWORK, self.read_status, action.endpoint, self.now)

    def read_status(self, name: str, sent_at: float) -> None:
        """Answer a status probe."""
        endpoint = self.endpoints[name]
        here = positions.Position(1, self.find_applied(endpoint))
        role = "primary" if name == self.primary else "replica"
        event = events.StatusObserved(name, role, here, here, (), sent_at)
        self.schedule(NETWORK, self.send, event)


_ACTION_HANDLERS = {
    actions.Dispatch: Bench.dispatch,
    actions.Acknowledge: Bench.record_answer,
    actions.Refuse: Bench.record_refusal,
    actions.RequestTokens: Bench.grant_tokens,
    actions.ReturnTokens: Bench.return_tokens,
    actions.RequestConnections: Bench.grant_connections,
    actions.ProbeEndpoint: Bench.probe,
    actions.OpenConnection: lambda bench, action: bench.schedule(
        0.012, bench.send, events.ConnectionOpened(action.connection_id)
    ),
    actions.WakeAt: lambda bench, action: bench.schedule(
        max(0.0, action.time - bench.now), bench.send, events.Tick()
    ),
}


def percentile(values: list[float], part: float) -> float:
    """Return a percentile in milliseconds."""
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def open_sessions(bench: Bench, team: str, count: int, max_age: float | None) -> list:
    """Open sessions of a team and return their ids."""
    first = 1 + len(bench.engine.node.sessions)
    key = worlds.get_key(team).text
    for number in range(first, first + count):
        bench.send(events.SessionOpened(number, "route-0", key, max_age=max_age))
    return list(range(first, first + count))


def start_team_load(
    bench: Bench, sessions: list, rate: float, team: str, writes: float
) -> None:
    """Send statements of a team as a Poisson process over random sessions."""

    def step() -> None:
        is_read = bench.random.random() >= writes
        free = [number for number in sessions if number not in bench.busy]
        number = bench.random.choice(free or sessions)
        bench.arrive(number, team, is_read, team)
        bench.schedule(bench.random.expovariate(rate), step)

    bench.schedule(bench.random.expovariate(rate), step)


def start_session_load(bench: Bench, session_id: int, pause: float) -> None:
    """Send statements on one session, one write in ten, with random pauses."""

    def step() -> None:
        is_read = bench.random.random() >= 0.1
        bench.arrive(session_id, "team-0", is_read, "read" if is_read else "write")
        bench.schedule(bench.random.expovariate(1 / pause), step)

    bench.schedule(bench.random.expovariate(1 / pause), step)


def run_reads(policies: nodes.Policies, max_age: float | None, pause: float) -> dict:
    """Return the share of reads on replicas and the latency of reads."""
    view = worlds.build_view(1, 1, rate=1e6, connections=45)
    bench = Bench(policies, view, seed=7)
    count = int(100 * min(1.0, pause / 0.2))
    for session_id in open_sessions(bench, "team-0", count, max_age):
        start_session_load(bench, session_id, pause)
    bench.run(2.0)
    bench.reads_by_role.clear()
    bench.totals.clear()
    bench.run(SECONDS)
    reads = bench.reads_by_role
    return {
        "replica": policies.replica,
        "wait": policies.wait,
        "pause_s": pause,
        "max_age_s": max_age,
        "replica_share": reads["replica"] / max(1, sum(reads.values())),
        "read_p50_ms": percentile(bench.totals["read"], 0.5),
        "read_p99_ms": percentile(bench.totals["read"], 0.99),
    }


def run_teams(policies: nodes.Policies, loud: float, rates: bool) -> dict:
    """Return results of seven teams while another one sends ``loud`` times its rate.

    The values are the worst of the seven teams, as medians over several seeds.
    """
    runs = [run_teams_once(policies, loud, rates, seed) for seed in SEEDS]
    return {
        "queue": policies.queue,
        "limit": policies.limit,
        "loud": loud,
        "rates": rates,
        **{name: statistics.median(run[name] for run in runs) for name in runs[0]},
    }


def run_teams_once(
    policies: nodes.Policies, loud: float, rates: bool, seed: int
) -> dict:
    """Return the results of one run."""
    rate = 60.0
    view = worlds.build_view(
        8, 1, rate=rate, connections=108, durability=document.Durability.PRIMARY
    )
    bench = Bench(policies, view, seed=seed)
    if rates:
        bench.rates = {f"team-{i}": rate * 1.05 for i in range(8)}
    for i in range(8):
        team = f"team-{i}"
        sessions = open_sessions(bench, team, 60, None)
        start_team_load(bench, sessions, rate * (loud if i == 0 else 1.0), team, 1.0)
    bench.run(3.0)
    for counts in (bench.offered, bench.served, bench.waits, bench.totals):
        counts.clear()
    bench.run(SECONDS)
    other_teams = [f"team-{i}" for i in range(1, 8)]
    return {
        "worst_served": min(
            bench.served[team] / bench.offered[team] for team in other_teams
        ),
        "worst_p99_ms": max(
            percentile(bench.totals[team], 0.99) for team in other_teams
        ),
        "loud_served": bench.served["team-0"] / bench.offered["team-0"],
    }


def run_shares(policies: nodes.Policies) -> dict:
    """Return results of one busy node of nine with its share of connections."""
    view = worlds.build_view(1, 1, rate=1e6, connections=20)
    view.members = {f"vm-{i}": None for i in range(9)}
    bench = Bench(policies, view, seed=13)
    bench.max_grant = 12
    sessions = open_sessions(bench, "team-0", 100, None)
    start_team_load(bench, sessions, 350.0, "team-0", 1.0)
    bench.run(3.0)
    for counts in (bench.offered, bench.served, bench.waits, bench.totals):
        counts.clear()
    bench.run(SECONDS)
    return {
        "share": policies.share,
        "served": bench.served["team-0"] / bench.offered["team-0"],
        "p99_ms": percentile(bench.totals["team-0"], 0.99),
    }


def print_rows(title: str, rows: list[dict]) -> None:
    """Print rows as a table below a title."""
    print(f"\n{title}")
    names = list(rows[0])
    print("  ".join(f"{name:>13}" for name in names))
    for row in rows:
        cells = [
            f"{row[name]:.3f}" if isinstance(row[name], float) else str(row[name])
            for name in names
        ]
        print("  ".join(f"{cell:>13}" for cell in cells))


def main() -> None:
    """Run all comparisons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    make = nodes.Policies
    waits = ("primary", "sooner", "bounded")
    reads = [
        run_reads(make(wait=wait), None, pause)
        for pause in (0.05, 0.2, 1.0)
        for wait in waits
    ]
    print_rows(
        "Session reads: wait for a replica or use the primary (lag 20 to 200 ms)", reads
    )
    choices = [
        run_reads(make(replica=name), None, 1.0)
        for name in ("random", "round_robin", "fastest", "sticky")
    ]
    print_rows("Session reads: choice of replica", choices)
    aged = [run_reads(make(replica=name), 1.0, 0.2) for name in ("random", "fastest")]
    print_rows("Reads with a maximum staleness of 1 s", aged)
    teams = [
        run_teams(make(queue=queue, limit=limit), loud, rates)
        for queue, limit in (("fifo", "fixed"), ("fair", "fixed"), ("fair", "gradient"))
        for loud, rates in ((1.0, True), (5.0, True), (5.0, False))
    ]
    print_rows("Seven teams next to one that exceeds its rate", teams)
    shares = [run_shares(make(share=name)) for name in ("even", "granted")]
    print_rows("One busy node of nine, 20 connections", shares)
    result = {
        "reads": reads,
        "choices": choices,
        "aged": aged,
        "teams": teams,
        "shares": shares,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
