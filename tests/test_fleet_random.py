"""Agents under random faults, with the fleet invariants checked at every step."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

import builders_fleet
from sardinehold import errors
from sardinehold import objects
from sardinehold.core import allocation
from sardinehold.core import fence
from sardinehold.core import lease
from sardinehold.core import membership
from sardinehold.core import relay_client
from sardinehold.core import snapshot

GROUP = builders_fleet.GROUP
NODES = 5
STEP = 0.02

indexes = strategies.integers(0, NODES - 1)


class Fleet(stateful.RuleBasedStateMachine):
    """Five nodes in three zones, with clients that write through all of them."""

    def __init__(self):
        super().__init__()
        self.world = None

    @stateful.initialize(seed=strategies.integers(0, 2**16))
    def start_fleet(self, seed):
        rates = [1.0, 1.009, 0.991, 1.004, 0.996]
        self.world = builders_fleet.make_ready_world(
            zones=(2, 2, 1), seed=seed, rates=rates
        )
        self.accepted = {}
        self.world.run(2.5)

    def find_node(self, index):
        return list(self.world.nodes.values())[index]

    def run(self, seconds):
        for step in range(int(seconds / STEP)):
            for vm in self.world.nodes:
                self.world.write(vm, confirmed=step % 2 == 0)
            self.world.run(STEP)
            self.check()

    def check(self):
        self.world.find_holder(allocation.ROLE)
        self.check_withdrawals()

    def check_withdrawals(self):
        """Check that no node serves an outdated document past ``SERVE_BOUND``."""
        current = self.world.store.get("document", "current")
        known = [self.read_version(n) for n in self.world.nodes.values()]
        record = membership.Record(self.world.store.get("members", "current"))
        needed = membership.count_fence_quorum(len(record.members))
        if sum(version >= current.version for version in known) >= needed:
            self.accepted.setdefault(current.version, self.world.now)
        for node in self.world.nodes.values():
            if not node.alive or self.world.now < node.paused_until:
                continue
            if node.engine.serve_deadline <= node.read_clock():
                continue
            for version, since in self.accepted.items():
                late = self.world.now - since > lease.SERVE_BOUND * 1.03
                assert not (late and self.read_version(node) < version), node.vm

    def read_version(self, node):
        if not node.alive or node.agent.node.view is None:
            return 0
        return node.agent.node.snapshot.find("document", "current").version

    @stateful.rule(seconds=strategies.floats(0.1, 2.0))
    def wait(self, seconds):
        self.run(seconds)

    @stateful.rule(index=indexes, seconds=strategies.floats(0.3, 6.0))
    def pause_node(self, index, seconds):
        self.find_node(index).paused_until = self.world.now + seconds
        self.run(0.1)

    @stateful.rule(index=indexes)
    def kill_node(self, index):
        self.find_node(index).alive = False
        self.run(0.1)

    @stateful.rule(index=indexes)
    def start_node(self, index):
        self.find_node(index).start()
        self.run(0.3)

    @stateful.rule(index=indexes, both=strategies.booleans())
    def cut_node_off(self, index, both):
        vm = self.find_node(index).vm
        self.world.block([vm], self.world.nodes, both)
        self.world.no_platform.add(vm)
        self.run(0.1)

    @stateful.rule(zone=strategies.integers(0, 2), both=strategies.booleans())
    def cut_zone_off(self, zone, both):
        inside = [vm for vm in self.world.nodes if vm.startswith(f"vm-{zone}")]
        outside = [vm for vm in self.world.nodes if vm not in inside]
        self.world.block(inside, outside, both)
        self.world.no_platform.update(inside)
        self.run(0.1)

    @stateful.rule(index=indexes)
    def cut_node_off_platform(self, index):
        self.world.no_platform.add(self.find_node(index).vm)

    @stateful.rule()
    def stop_platform(self):
        self.world.platform_down = True
        self.run(0.5)

    @stateful.rule(seconds=strategies.sampled_from([0.002, 0.3, 2.0]))
    def slow_platform(self, seconds):
        self.world.platform_latency = seconds

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_answers(self, count):
        self.world.lose_answers = count

    @stateful.rule(
        loss=strategies.floats(0, 0.4), duplication=strategies.floats(0, 0.4)
    )
    def disturb_network(self, loss, duplication):
        self.world.loss, self.world.duplication = loss, duplication
        self.world.jitter = 20.0

    @stateful.rule()
    def heal(self):
        self.world.heal()
        self.run(1.0)

    @stateful.rule(isolated=strategies.booleans())
    def lose_primary(self, isolated):
        for endpoint in self.world.endpoints.values():
            endpoint.dead = endpoint.cut = False
        self.run(2.0)
        primary = self.world.endpoints[self.world.read_group()["primary"]]
        primary.cut, primary.dead = isolated, not isolated
        self.run(1.0)

    @stateful.rule(index=indexes, cut=strategies.booleans())
    def lose_primary_behind_a_node(self, index, cut):
        """Isolate the primary from its replicas while one node cannot learn of it."""
        node = self.find_node(index)
        if cut:
            self.cut_node_off(index, both=True)
        else:
            node.paused_until = self.world.now + 1.5
        self.lose_primary(isolated=True)

    @stateful.rule()
    def restore_endpoints(self):
        for endpoint in self.world.endpoints.values():
            endpoint.dead = endpoint.cut = False
        self.run(0.5)

    @stateful.rule()
    def withdraw_key(self):
        held = self.world.store.get("document", "current").value
        value = builders_fleet.make_document_value(held["version"] + 1, True)
        self.world.change("document", "current", value)
        self.run(0.2)

    @stateful.rule(index=indexes)
    def withdraw_key_behind_a_node(self, index):
        self.heal()
        self.cut_node_off(index, both=True)
        self.withdraw_key()
        self.run(lease.SERVE_BOUND + 1.0)

    @stateful.rule(zone=strategies.integers(0, 2))
    def replace_primary_in_one_zone(self, zone):
        """Leave the platform to a zone that cannot reach the primary."""
        self.world.heal()
        self.restore_endpoints()
        self.run(2.0)
        inside = [vm for vm in self.world.nodes if vm.startswith(f"vm-{zone}")]
        outside = [vm for vm in self.world.nodes if vm not in inside]
        self.world.block(inside, [*outside, self.world.read_group()["primary"]])
        self.world.no_platform.update(outside)
        self.run(5.0)

    @stateful.rule()
    def hand_over(self):
        request = {"target": "", "requested_by": "op", "change_id": "x"}
        self.world.change("handover", GROUP, request)
        self.run(0.5)

    def teardown(self):
        """Repair all faults, then check that the fleet recovers without lost writes."""
        if self.world is None:
            return
        self.world.heal()
        self.world.lose_answers = 0
        for endpoint in self.world.endpoints.values():
            endpoint.dead = endpoint.cut = False
        for node in self.world.nodes.values():
            if not node.alive:
                node.start()
        self.run(1.0)
        serves = lambda: self.world.read_group()["phase"] == "serving"  # noqa: E731
        assert self.world.run_until(lambda: self.world.is_ready() and serves(), 80), (
            "the fleet did not recover"
        )
        assert self.world.list_lost() == []


def run_fleet(examples, steps):
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(Fleet, settings=settings)


def test_promises_hold_under_random_faults():
    run_fleet(examples=12, steps=14)


def break_fence(patch):
    patch.setattr(fence.Fence, "is_passed", lambda *arguments: True)


def break_lease(patch):
    forever = property(lambda self: (self.as_of or 0.0) + 1000.0)
    patch.setattr(lease.Lease, "write_deadline", forever)


def break_serve_bound(patch):
    forever = property(lambda self: (self.as_of or 0.0) + 1000.0)
    patch.setattr(lease.Lease, "serve_deadline", forever)


def break_quorum(patch):
    patch.setattr(membership, "count_fence_quorum", lambda size: 1)


def break_role_fence(patch):
    patch.setattr(allocation.AllocatorWorker, "fenced", False)
    patch.setattr(lease.Lease, "write_deadline", property(lambda self: 1e9))


def break_snapshot(patch):
    def replace(self, changes):
        self.version = 0
        return original(self, changes)

    def apply(self, message):
        changes = objects.Changes(message.objects, message.version)
        self.node.replace_snapshot(changes)

    original = snapshot.Snapshot.replace
    patch.setattr(snapshot.Snapshot, "replace", replace)
    patch.setattr(snapshot.Snapshot, "collect_changes", lambda self, since: None)
    patch.setattr(relay_client.RelayClient, "_apply", apply)


@pytest.mark.parametrize(
    "mutation",
    [
        break_fence,
        break_lease,
        break_serve_bound,
        break_quorum,
        break_role_fence,
        break_snapshot,
    ],
)
def test_broken_mechanism_is_found(mutation, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises((AssertionError, errors.InvariantViolation)):
        run_fleet(examples=30, steps=14)
