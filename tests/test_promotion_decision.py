"""Which log is promoted when logs, orders or members change meanwhile (issue 53)."""

import builders_fleet
from sardinehold import document
from sardinehold import errors
from sardinehold import objects
from sardinehold import views
from sardinehold.core import agent
from sardinehold.core import candidates
from sardinehold.core import failover
from sardinehold.core import membership
from sardinehold.core import snapshot as snapshots
from sardinehold.core import view

GROUP = builders_fleet.GROUP


def make_busy_world(**options):
    """Return a ready world with a client that writes through each node."""
    world = builders_fleet.make_ready_world(**{"zones": (2, 2, 2), **options})
    world.run(2.5)

    def write():
        for vm in world.nodes:
            world.write(vm)
        world.after(0.02, write)

    write()
    world.run(0.5)
    return world


def find_idle_node(world):
    """Return a node that holds no shared role."""
    holders = {world.find_holder(role) for role in ("supervisor-0", "allocator-0")}
    return next(node for node in world.nodes.values() if node not in holders)


def serves_term(world, term):
    state = world.read_group()
    return state["phase"] == "serving" and state["term"] >= term


def make_status(name, received, term=3, role="replica"):
    return candidates.LogStatus(name, role, term, received, received, {})


def test_endpoint_replaced_lately_is_promoted_if_it_alone_has_the_newest_log():
    # One that had been primary in the last 60 s was passed over for a shorter log.
    world = make_busy_world(seed=1)
    world.endpoints["db-1"].dead = True
    assert world.run_until(lambda: serves_term(world, 2), 3.0)
    world.endpoints["db-1"].dead = False
    first = world.endpoints[world.read_group()["primary"]]
    (third,) = set(world.endpoints.values()) - {first, world.endpoints["db-1"]}
    back = lambda: world.endpoints["db-1"].role == "replica"  # noqa: E731
    assert world.run_until(back, 5.0)
    world.run(2.0)
    third.held_until = world.now + 60.0
    world.run(1.0)
    first.dead = True
    assert world.run_until(lambda: serves_term(world, 3), 5.0)
    assert world.list_lost() == []


def test_endpoint_whose_promotion_failed_is_not_passed_over_for_a_shorter_log():
    # Two orders without an answer in time made the next, shorter log the primary's.
    world = make_busy_world(seed=2)
    world.endpoints["db-3"].held_until = world.now + 60.0
    world.run(1.0)
    world.endpoints["db-2"].promote_refused_until = world.now + 6.0
    world.endpoints["db-1"].dead = True
    assert world.run_until(lambda: serves_term(world, 2), 12.0)
    assert world.list_lost() == []


def test_endpoint_that_refuses_its_promotion_is_not_ordered_without_a_pause():
    # Fifteen orders and writes to the platform a second, for as long as it refuses.
    world = make_busy_world(seed=2)
    world.endpoints["db-3"].held_until = world.now + 60.0
    world.run(1.0)
    world.endpoints["db-2"].promote_refused_until = world.now + 60.0
    world.endpoints["db-1"].dead = True
    world.run(2.0)
    before = world.read_group()["promoting"]["term"]
    world.run(10.0)
    terms = world.read_group()["promoting"]["term"] - before
    assert 0 < terms <= 10.0 / failover.RETRY_DELAY


def test_late_order_does_not_hide_the_log_that_it_promoted():
    # The first order took effect late; its log then counted as one of another term.
    state = view.GroupState(GROUP, 3, "a", view.Phase.SEALED)
    statuses = {
        "b": make_status("b", 12, term=4, role="primary"),
        "c": make_status("c", 10),
    }
    assert candidates.choose_replica(state, statuses, last_term=4) == "b"
    assert candidates.choose_replica(state, statuses) == "c"


def test_log_that_a_late_order_promoted_is_ordered_again():
    # The shorter log was ordered next, and stayed the only one to be chosen.
    world = make_busy_world(seed=2)
    world.endpoints["db-3"].held_until = world.now + 60.0
    world.run(1.0)
    late = world.endpoints["db-2"]
    late.promote_refused_until = world.now + 60.0
    world.endpoints["db-3"].promote_refused_until = world.now + 60.0
    world.endpoints["db-1"].dead = True
    named = lambda name: (  # noqa: E731
        world.read_group().get("promoting", {}).get("endpoint") == name
    )
    assert world.run_until(lambda: named("db-2"), 3.0)
    late.dead = True
    assert world.run_until(lambda: named("db-3"), 5.0)
    late.dead = False
    late.role, late.term, late.promoted_at = "primary", 2, len(late.log)
    late.promote_refused_until = 0.0
    world.run(3.0)
    world.endpoints["db-3"].promote_refused_until = 0.0
    assert world.run_until(lambda: serves_term(world, 3), 5.0)
    assert world.list_lost() == []


def test_target_replaced_before_the_order_is_not_published():
    # The endpoint that the stored intent names came back empty; it was ordered unread.
    world = make_busy_world(seed=3)
    worker = world.find_holder("supervisor-0").agent.electors["supervisor-0"].worker
    world.endpoints["db-1"].dead = True
    promoting = lambda: (  # noqa: E731
        GROUP in worker.procedures and worker.procedures[GROUP].state == "promoting"
    )
    assert world.run_until(promoting, 3.0)
    target = world.endpoints[world.read_group()["promoting"]["endpoint"]]
    target.log = []
    assert world.run_until(lambda: serves_term(world, 2), 5.0)
    assert world.read_group()["primary"] != target.name
    assert world.list_lost() == []


def refuse_documents_on(monkeypatch, vm):
    """Let one node refuse each later document, as an earlier release may."""
    running = []
    handle, parse = agent.Agent.handle, document.parse_document

    def handle_on(self, now, event):
        running[:] = [self.node.vm]
        return handle(self, now, event)

    def parse_on(value, strict=True):
        if value["version"] > 1 and running == [vm]:
            raise errors.DocumentError("Unknown field.", "Update the proxy.")
        return parse(value, strict=strict)

    monkeypatch.setattr(agent.Agent, "handle", handle_on)
    monkeypatch.setattr(document, "parse_document", parse_on)


def test_node_that_refuses_the_document_follows_a_new_primary(monkeypatch):
    # It counted as having acknowledged the seal, and went on with the old primary.
    world = make_busy_world(seed=4)
    node = find_idle_node(world)
    refuse_documents_on(monkeypatch, node.vm)
    world.change("document", "current", builders_fleet.make_document_value(2))
    world.run(1.0)
    world.block(set(world.nodes) - {node.vm}, ["db-1"])
    assert world.run_until(lambda: serves_term(world, 2), 5.0)
    world.run(3.0)
    assert world.list_lost() == []


def test_hand_over_reads_the_logs_after_the_lease_of_a_removed_node():
    # A node that had been removed kept its lease and wrote behind the decision.
    world = make_busy_world(seed=5)
    node = find_idle_node(world)
    world.block([node.vm], world.nodes)
    world.run(1.0)
    world.no_platform.add(node.vm)
    members = world.store.get("members", "current").value
    removed = membership.remove_member(members, node.vm, False, "op")
    world.change("members", "current", removed)
    request = {"target": "db-3", "requested_by": "op", "change_id": "x"}
    world.change("handover", GROUP, request)
    worker = world.find_holder("supervisor-0").agent.electors["supervisor-0"].worker
    decided = lambda: (  # noqa: E731
        GROUP in worker.procedures and worker.procedures[GROUP].state == "fencing"
    )
    if world.run_until(decided, 1.0):
        world.endpoints["db-3"].held_until = world.now + 20.0
    world.run(8.0)
    state = world.read_group()
    assert (state["phase"], state["primary"]) == ("serving", "db-3")
    assert world.list_lost() == []


def test_replica_with_the_only_copy_leaves_the_document():
    # The logs are read from the endpoints of the newest document only.
    world = make_busy_world(seed=6)
    world.endpoints["db-3"].held_until = world.now + 60.0
    world.run(0.5)
    world.endpoints["db-1"].dead = True
    value = builders_fleet.make_document_value(2)
    del value["groups"][GROUP]["endpoints"]["db-2"]
    world.change("document", "current", value)
    world.run(6.0)
    assert world.list_lost() == []


def test_older_document_does_not_hide_a_seal():
    # The engine ignores a view with an older document, and with it the seal.
    builder = views.ViewBuilder()
    phases = []
    for revision, version, phase in [(1, 5, "serving"), (2, 4, "sealed")]:
        content = builders_fleet.make_document_value(version)
        state = view.GroupState(GROUP, 1, "db-1", view.Phase(phase))
        listed = [
            objects.StoredObject("document", "current", revision, content),
            objects.StoredObject(
                "group-state", GROUP, revision, views.dump_group_state(state)
            ),
        ]
        snapshot = snapshots.Snapshot()
        snapshot.replace(objects.Changes(listed, revision))
        built = builder.build(snapshot)
        phases.append((built.document.version, built.groups[GROUP].phase))
    assert phases == [(5, view.Phase.SERVING), (5, view.Phase.SEALED)]
