import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

import builders_engine as builders
import builders_engine_world as worlds
from sardinehold import errors
from sardinehold.core import answers
from sardinehold.core import balance as balances
from sardinehold.core import closing
from sardinehold.core import dispatch
from sardinehold.core import durability
from sardinehold.core import engine as engines
from sardinehold.core import events
from sardinehold.core import groups
from sardinehold.core import handlers
from sardinehold.core import invariants
from sardinehold.core import leases
from sardinehold.core import losses
from sardinehold.core import opening
from sardinehold.core import pool
from sardinehold.core import request as requests
from sardinehold.core import routing
from sardinehold.core import shutdown
from sardinehold.core import transaction
from sardinehold.core import updates

TOTALS = collections.Counter()
QUICK = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
    phases=[hypothesis.Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Machine(stateful.RuleBasedStateMachine):
    """Callers and faults around two engines, in any order."""

    @stateful.initialize(seed=strategies.integers(0, 1_000_000))
    def start(self, seed):
        self.world = worlds.World(seed=seed)
        self.world.advance(0.1)
        for name in builders.KEYS:
            for proxy in self.world.proxies:
                self.world.open(name, "main", proxy)
        self.world.open("desk", "aged", self.world.proxies[0])
        self.world.advance(0.1)

    def pick(self, number):
        return self.world.clients[number % len(self.world.clients)]

    @stateful.rule(
        plan=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9),
                strategies.sampled_from(
                    ["read", "read", "read", "write", "keyed", "begin", "commit"]
                ),
                strategies.integers(0, 40),
            ),
            min_size=5,
            max_size=20,
        )
    )
    def ask(self, plan):
        for number, kind, delay in plan:
            TOTALS["statements"] += 1
            client = self.pick(number)
            if client.in_transaction and kind in ("begin", "keyed"):
                kind = "commit"
            self.world.ask(client, kind)
            self.world.advance(delay / 1000)

    @stateful.rule(number=strategies.integers(0, 9), place=strategies.integers(0, 1))
    def roam(self, number, place):
        self.world.connect_client(self.pick(number), self.world.proxies[place])
        self.world.advance(0.02)

    @stateful.rule(lag=strategies.sampled_from([0.01, 0.05, 0.3]))
    def change_lag(self, lag):
        self.world.lag = lag

    @stateful.rule(number=strategies.integers(0, 50))
    def silence_connection(self, number):
        found = self.pick_link(number)
        if found:
            found[1].silent = True

    def ask_all(self):
        for client in self.world.clients:
            TOTALS["statements"] += 1
            self.world.ask(client, "read")
        self.world.advance(0.01)

    def pick_link(self, number):
        links = [
            (proxy, link)
            for proxy in self.world.proxies
            for link in proxy.links.values()
            if link.open and not link.lost
        ]
        return links[number % len(links)] if links else None

    @stateful.rule(number=strategies.integers(0, 50))
    def lose_connection(self, number):
        found = self.pick_link(number)
        if found:
            self.world.lose(*found)

    @stateful.rule(first=strategies.integers(0, 9), count=strategies.integers(1, 3))
    def transact(self, first, count):
        for kind in ("begin", "write", "read", "commit"):
            for number in range(first, first + count):
                TOTALS["statements"] += 1
                self.world.ask(self.pick(number), kind)
            self.world.advance(0.02)

    @stateful.rule(number=strategies.integers(0, 9))
    def lose_busy_connection(self, number):
        self.world.ask(self.pick(number), "write")
        for proxy in self.world.proxies:
            for connection in list(proxy.engine.node.connections.values()):
                if connection.request is not None:
                    self.world.lose(proxy, proxy.links[connection.connection_id])

    @stateful.rule(number=strategies.integers(0, 9), leaves=strategies.booleans())
    def interrupt(self, number, leaves):
        client = self.pick(number)
        self.world.ask(client, "write")
        if leaves:
            self.world.hang_up(client)
        else:
            self.world.cancel(client)

    @stateful.rule()
    def hand_over(self):
        self.world.drain()

    @stateful.rule(
        place=strategies.integers(0, 1),
        reachable=strategies.booleans(),
        seconds=strategies.sampled_from([0.0, 2.5, 9.0]),
    )
    def cut_off(self, place, reachable, seconds):
        self.world.proxies[place].reachable = reachable
        if not reachable:
            self.world.advance(seconds)
            self.ask_all()

    @stateful.rule()
    def cut_primary_from_replicas(self):
        self.world.endpoints[self.world.state.primary].cut = True

    @stateful.rule()
    def replace_primary(self):
        self.world.seal()
        self.world.advance(0.05)

    @stateful.rule(number=strategies.integers(0, 2), alive=strategies.booleans())
    def stop_replica(self, number, alive):
        endpoint = self.world.endpoints[worlds.NAMES[number]]
        if endpoint.role == "replica" or alive:
            endpoint.alive = alive

    @stateful.rule()
    def rejoin(self):
        self.world.rejoin()

    @stateful.rule(name=strategies.sampled_from(["", *worlds.NAMES]))
    def leave(self, name):
        self.world.leaving = frozenset([name] if name else [])
        self.world.publish()
        self.world.advance(2.2)
        for number in range(3):
            self.world.ask(self.pick(number), "write")
        self.world.advance(0.05)

    @stateful.precondition(lambda self: not self.world.withdrawn)
    @stateful.rule(rare=strategies.integers(0, 3))
    def withdraw_key(self, rare):
        if not rare:
            self.world.withdrawn.add("print")
            self.world.publish()
            self.world.advance(0.03)
            self.ask_all()

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 2.5]))
    def wait(self, seconds):
        self.world.advance(seconds)

    def teardown(self):
        world = getattr(self, "world", None)
        if world is None or world.is_broken:
            return
        for endpoint in world.endpoints.values():
            endpoint.alive = True
        world.advance(5.0)
        TOTALS.update(world.counts)
        world.check_end()


def run(examples):
    """Run the state machine with new totals and return them."""
    TOTALS.clear()
    settings = hypothesis.settings(QUICK, max_examples=examples)
    stateful.run_state_machine_as_test(Machine, settings=settings)
    return TOTALS


def test_promises_hold_in_random_runs():
    before = invariants.count_checks()
    totals = run(120)
    for kind in ("read", "write", "begin", "commit"):
        assert totals[f"acknowledged_{kind}"] > 30, totals
    faults = ("promotions", "quiesced", "refused_OutcomeUnknown", "refused_LeaseLapsed")
    for name in faults:
        assert totals[name] > 0, totals
    after = invariants.count_checks()
    for name in ("read_not_behind_floor", "write_acknowledged_under_current_term"):
        assert after[name] > before[name]


def take_first_replica(node, request):
    return next(iter(request.group.replicas), None)


def release_always(node, session, connection, status):
    session.status = status
    session.connection = None
    pool.release(node, connection)


def authenticate_anyone(node, route, key):
    return node.find_team("web")


def count_twice(self, tokens, deadline):
    self.tokens += 2 * tokens
    self.granted_total += tokens
    self._grants.append(balances.Grant(deadline, 2 * tokens))


def claim_not_run(node, request, error, fatal=False, refuse=requests.refuse):
    error.outcome = errors.Outcome.NOT_RUN
    request.sends = 0
    refuse(node, request, error, fatal)


def cross_answers(node, event):
    mine = node.requests.get(event.request_id)
    for other in node.requests.values():
        if mine and other.state == "sent" and other is not mine:
            mine.session, other.session = other.session, mine.session
            break
    answers.handle_answer(node, event)


def open_more(node, endpoint):
    if endpoint.opening < 2 and len(endpoint.idle) < 3:
        pool._open(node, endpoint)


def take_any_primary(node, group):
    return group.primary is not None


def ignore(*arguments):
    return None


def accept(*arguments):
    return True


MUTATIONS = {
    "read_not_behind_floor": (routing.CHOICES, "sticky", take_first_replica),
    "write_acknowledged_under_current_term": (durability, "may_acknowledge", accept),
    "write_acknowledged_when_durable": (durability, "is_durable", accept),
    "connection_not_shared_by_transactions": (
        transaction,
        "record_status",
        release_always,
    ),
    "request_team_matches_key": (opening, "_authenticate", authenticate_anyone),
    "key_in_force_when_sent": (closing, "revalidate", ignore),
    "tokens_never_negative": (balances.Balance, "grant", count_twice),
    "tokens_not_spent_past_deadline": (balances.Balance, "drop_expired", ignore),
    "not_run_never_sent": (requests, "refuse", claim_not_run),
    "at_most_once_sent": (losses, "may_retry", accept),
    "leaving_endpoint_gets_no_new_work": (groups, "takes_writes", take_any_primary),
    "view_never_reverts": (updates, "_is_newer", accept),
    "sent_within_deadline": (leases, "may_send", accept),
    "connections_within_share": (pool, "ensure_open", open_more),
    "answer_belongs_to_session": (
        handlers.REGISTRY,
        events.RequestAnswered,
        cross_answers,
    ),
}
"""Faulty replacements (owner, attribute, mutant) by the invariant that detects them."""

NODE_MODULES = {part.__name__ for part in engines.PARTS} | {
    f"sardinehold.core.{name}"
    for name in ("balance", "dispatch", "durability", "request")
}
"""Modules that define the invariants of one node."""

DIRECTED = {"no_key_towards_endpoint", "stop_cuts_nothing_early"}
"""Invariants whose mutations have directed tests below."""


@pytest.mark.parametrize("name", sorted(MUTATIONS))
def test_random_run_finds_a_broken_mechanism(name, monkeypatch):
    owner, attribute, mutant = MUTATIONS[name]
    if isinstance(owner, dict):
        monkeypatch.setitem(owner, attribute, mutant)
    else:
        monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises((errors.InvariantViolation, AssertionError)):
        run(150)
    print(f"{name}: found after {TOTALS['statements']} statements")


def test_every_invariant_of_the_node_has_a_mutation():
    here = {
        name
        for name, entry in invariants.REGISTRY.items()
        if entry.module in NODE_MODULES
    }
    assert here <= set(MUTATIONS) | DIRECTED


def test_key_in_a_setting_is_found_before_it_is_sent(monkeypatch):
    def leak(old, new):
        return (f"SET a TO '{builders.KEYS['desk'].text}'",)

    monkeypatch.setattr(dispatch, "make_setup", leak)
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    driver.answer(driver.ask(session, "set search_path to a"))
    with pytest.raises(errors.InvariantViolation, match="no_key_towards_endpoint"):
        driver.ask(driver.open(), "select 1")


def test_stop_that_cuts_early_is_found():
    driver = builders.Driver(builders.make_view())
    driver.ask(driver.open(), "select 1")
    driver.node.drain_deadline = 10.0
    with pytest.raises(errors.InvariantViolation, match="stop_cuts_nothing_early"):
        shutdown._finish(driver.node, 1)
