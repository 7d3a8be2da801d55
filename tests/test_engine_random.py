import builders_engine as builders
import builders_engine_world as worlds
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from sardinehold import errors

QUICK = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=60,
    phases=[hypothesis.Phase.generate],
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
            self.world.ask(self.pick(number), kind)
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
        links = [
            link
            for proxy in self.world.proxies
            for link in proxy.links.values()
            if link.open
        ]
        if links:
            links[number % len(links)].silent = True

    @stateful.rule(place=strategies.integers(0, 1), reachable=strategies.booleans())
    def cut_off(self, place, reachable):
        self.world.proxies[place].reachable = reachable

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

    @stateful.precondition(lambda self: not self.world.withdrawn)
    @stateful.rule(rare=strategies.integers(0, 5))
    def withdraw_key(self, rare):
        if not rare:
            self.world.withdrawn.add("print")
            self.world.publish()

    @stateful.rule(seconds=strategies.sampled_from([0.01, 0.1, 0.5, 2.5]))
    def wait(self, seconds):
        self.world.advance(seconds)

    def teardown(self):
        world = getattr(self, "world", None)
        if world is None:
            return
        for endpoint in world.endpoints.values():
            endpoint.alive = True
        world.advance(5.0)
        world.check_end()


def run(settings=QUICK):
    stateful.run_state_machine_as_test(Machine, settings=settings)


def test_promises_hold_in_random_runs():
    run()
