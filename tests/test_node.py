"""Simulations of one node and of a fleet, in virtual time."""

import asyncio
import random

import anyio
import pytest

import builders_node
from sardinehold import errors
from sardinehold import objects
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import failover
from sardinehold.node import leadership
from sardinehold.node import membership
from sardinehold.node import primary_lease
from sardinehold.node import statements
from sardinehold.node import store_mirror
from sardinehold.node import store_watch
from sardinehold_standins import group_in_memory
from sardinehold_standins import objects_in_memory

Kind = statements.Kind
Failure = statements.Failure


@pytest.mark.parametrize("route", ["latest", "bounded", "session"])
def test_write_and_read_are_served_on_each_kind_of_route(monkeypatch, route):
    async def scenario(world):
        client = world.open("n1", route)
        wrote = await client.write()
        assert wrote.error is None
        assert wrote.completion_tag.startswith("signed g-0")
        assert (await client.read()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_session_reads_its_own_write_on_a_replica_that_lags(monkeypatch):
    async def scenario(world):
        for database in world.clusters["g"].databases.values():
            database.lag = 0.3
        client = world.open("n1")
        for _ in range(5):
            wrote = await client.write()
            read = await client.read()
            assert read.error is None
            run = world.clusters["g"].executions[-1]
            assert run.log >= wrote.position.offset

    builders_node.run_scenario(monkeypatch, scenario)


def test_reads_run_on_the_replica_of_the_own_zone(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "bounded")
        await world.open("n1", "latest").write()
        await asyncio.sleep(0.5)
        for _ in range(5):
            await client.read()
        assert {run.database for run in world.clusters["g"].executions[-4:]} == {"g-1"}

    builders_node.run_scenario(monkeypatch, scenario)


def test_transaction_stays_on_one_connection_and_commits_once(monkeypatch):
    async def scenario(world):
        client = world.open("n2", "latest")
        assert (await client.send(Kind.BEGIN)).status == "T"
        assert (await client.write()).status == "T"
        assert (await client.read()).status == "T"
        done = await client.send(Kind.COMMIT)
        assert (done.error, done.status) == (None, "I")
        assert len(world.clusters["g"].acknowledged) == 1

    builders_node.run_scenario(monkeypatch, scenario)


def test_transaction_that_lost_its_connection_is_aborted(monkeypatch):
    async def scenario(world):
        client = world.open("n2", "latest")
        await client.send(Kind.BEGIN)
        await client.write()
        world.clusters["g"].primary.crash()
        failed = await client.read()
        assert (failed.error, failed.status) == (Failure.ABORTED, "E")
        assert (await client.write()).error is Failure.MALFORMED
        ended = await client.send(Kind.COMMIT)
        assert (ended.error, ended.status) == (Failure.ABORTED, "I")

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_without_an_answer_is_in_doubt(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "latest")
        await client.send(Kind.BEGIN)
        await client.write()
        world.clusters["g"].primary.lost_answers.add(f"r{world._requests + 1}")
        ended = await client.send(Kind.COMMIT)
        assert (ended.error, ended.status) == (Failure.IN_DOUBT, "I")

    builders_node.run_scenario(monkeypatch, scenario)


def test_write_without_an_answer_is_in_doubt_and_not_repeated(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "latest")
        lost = f"r{world._requests + 1}"
        world.clusters["g"].primary.lost_answers.add(lost)
        assert (await client.write()).error is Failure.IN_DOUBT
        runs = [run for run in world.clusters["g"].executions if run.request_id == lost]
        assert len(runs) == 1

    builders_node.run_scenario(monkeypatch, scenario)


def test_read_without_an_answer_is_repeated_elsewhere(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "bounded")
        await world.open("n1", "latest").write()
        await asyncio.sleep(0.5)
        world.clusters["g"].databases["g-1"].lost_answers.add(f"r{world._requests + 1}")
        assert (await client.read()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_read_that_an_endpoint_delays_is_hedged(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "bounded")
        await world.open("n1", "latest").write()
        await asyncio.sleep(0.5)
        await client.read()
        world.clusters["g"].databases["g-1"].statement_seconds = 0.9
        began = clock.read()
        assert (await client.read()).error is None
        assert clock.read() - began < 0.5

    builders_node.run_scenario(monkeypatch, scenario)


def test_reads_go_on_while_the_primary_is_replaced(monkeypatch):
    async def scenario(world):
        world.clusters["g"].promote_delay = 2.5
        for name in world.nodes:
            await world.open(name, "latest").write()
        world.clusters["g"].primary.crash()
        client = world.open("n1", "bounded")
        began = clock.read()
        while clock.read() - began < 2.5:
            answer = await client.read()
            assert answer.error is None
            await asyncio.sleep(0.1)

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_ends_a_transaction_that_was_idle_for_too_long(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "latest")
        await client.send(Kind.BEGIN)
        assert (await client.write()).status == "T"
        await asyncio.sleep(3.5)
        answer = await client.send(Kind.COMMIT)
        assert answer.error is Failure.ABORTED
        # Callers close their session if an operation ends in another state.
        assert answer.status == "I"
        assert (await client.write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_transaction_idle_for_too_long_is_rolled_back_and_reported(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "latest")
        await client.send(Kind.BEGIN)
        await client.write()
        await asyncio.sleep(3.5)
        assert (await client.read()).error is Failure.ABORTED
        assert (await client.send(Kind.ROLLBACK)).status == "I"
        assert not world.clusters["g"].acknowledged

    builders_node.run_scenario(monkeypatch, scenario)


def test_prepared_statements_and_variables_follow_the_session(monkeypatch):
    async def scenario(world):
        first, second = world.open("n1", "latest"), world.open("n1", "latest")
        for client, value in ((first, "a"), (second, "b")):
            await client.send(Kind.SET, name="mode", value=value)
            definition = statements.Definition(False, f"shape-{value}")
            await client.send(Kind.PREPARE, name="s1", definition=definition)
        for client, value in ((first, "a"), (second, "b"), (first, "a")):
            answer = await client.send(Kind.EXECUTE, name="s1", arguments="1")
            assert answer.error is None
            held = [
                connection
                for connection in world.clusters["g"].primary.connections
                if connection.values == {"mode": value}
                and (False, f"shape-{value}") in connection.prepared.values()
            ]
            assert held

    builders_node.run_scenario(monkeypatch, scenario)


def test_unknown_prepared_name_is_refused(monkeypatch):
    async def scenario(world):
        client = world.open("n1")
        answer = await client.send(Kind.EXECUTE, name="nothing", arguments="1")
        assert answer.error is Failure.UNKNOWN_STATEMENT

    builders_node.run_scenario(monkeypatch, scenario)


def test_withdrawn_key_stops_an_open_session(monkeypatch):
    async def scenario(world):
        client = world.open("n1")
        assert (await client.read()).error is None
        world.publish(version=2, keys={"blue-key": "blue"})
        await asyncio.sleep(0.5)
        assert (await client.read()).error is Failure.DENIED

    builders_node.run_scenario(monkeypatch, scenario)


def test_older_configuration_is_never_activated(monkeypatch):
    async def scenario(world):
        world.publish(version=5, timeout=0.5)
        await asyncio.sleep(0.5)
        world.publish(version=4, timeout=2.0)
        await asyncio.sleep(0.5)
        for node in world.nodes.values():
            assert node.catalog.version == 5

    builders_node.run_scenario(monkeypatch, scenario)


def test_configuration_arrives_after_the_store_forgot_its_history(monkeypatch):
    async def scenario(world):
        world.store.expire_history()
        world.publish(version=7)
        await asyncio.sleep(3.0)
        assert {node.catalog.version for node in world.nodes.values()} == {7}

    builders_node.run_scenario(monkeypatch, scenario)


def test_change_missed_by_a_closed_watch_is_found(monkeypatch):
    # letters-desk scale-1: a watch whose connection was closed resumed from its old
    # revision, and the store never delivered the change that it had missed.
    async def scenario(world):
        world.publish(version=3)
        world.store.abort_watches()
        await asyncio.sleep(2.0)
        assert {node.catalog.version for node in world.nodes.values()} == {3}

    builders_node.run_scenario(monkeypatch, scenario)


def test_node_without_the_store_gets_the_configuration_from_the_leader(monkeypatch):
    async def scenario(world):
        leader = world.find_leader()
        other = next(name for name in world.nodes if name != leader)
        world.store.cut.add(other)
        await asyncio.sleep(7.0)
        world.publish(version=3, keys={"blue-key": "blue"})
        await asyncio.sleep(3.0)
        assert world.nodes[other].catalog.version == 3
        assert (await world.open(other).read()).error is Failure.DENIED

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("count", [1, 5000])
def test_key_withdrawn_at_a_node_without_the_store_stops_working(monkeypatch, count):
    # A configuration that exceeds a datagram never reached such a node: the withdrawn
    # key went on in open transactions and opened new sessions.
    others = builders_node.make_random_keys(count, "blue")

    async def scenario(world):
        leader = world.find_leader()
        other = next(name for name in world.nodes if name != leader)
        client = world.open(other)
        assert (await client.send(Kind.BEGIN)).error is None
        assert (await client.read()).error is None
        world.store.cut.add(other)
        await asyncio.sleep(2.0)
        assert (await client.read()).error is None
        world.publish(version=3, keys=others)
        await asyncio.sleep(2.5)
        assert (await client.read()).error is Failure.DENIED
        assert (await client.send(Kind.ROLLBACK)).error is None
        assert (await client.read()).error is Failure.DENIED

    builders_node.run_scenario(monkeypatch, scenario)


def test_draining_primary_gets_no_new_work_after_its_drain_time(monkeypatch):
    async def scenario(world):
        for name in ("g-1", "g-2"):
            world.publish_endpoint(name, is_draining=True)
        world.publish_endpoint("g-0", is_draining=True)
        await asyncio.sleep(7.0)
        assert (await world.open("n1", "latest").write()).error is Failure.BUSY

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("dies", ["g-0", "g-1", "g-2"])
def test_writes_continue_after_any_database_crashed(monkeypatch, dies):
    async def scenario(world):
        client = world.open("n1", "latest")
        assert (await client.write()).error is None
        world.clusters["g"].databases[dies].crash()
        began = clock.read()
        while (await client.write()).error is not None:
            await asyncio.sleep(0.05)
            assert clock.read() - began < 5.0
        log = [request for _, request in world.clusters["g"].primary.log]
        assert set(world.clusters["g"].acknowledged) <= set(log)

    builders_node.run_scenario(monkeypatch, scenario)


def test_primary_that_only_some_nodes_reach_never_serves_stale_reads(monkeypatch):
    async def scenario(world):
        cluster = world.clusters["g"]
        old = cluster.primary
        old.unreachable |= {"n0", "n1"}
        clients = {name: world.open(name, "latest") for name in world.nodes}
        latest = 0
        began = clock.read()
        while clock.read() - began < 6.0:
            for client in clients.values():
                answer = await client.write()
                if answer.error is None:
                    latest = answer.position.offset
                    read = await client.read()
                    if read.error is None:
                        assert cluster.executions[-1].log >= latest
                stale = await clients["n2"].read()
                if stale.error is None:
                    assert cluster.executions[-1].log >= latest
                await asyncio.sleep(0.02)
        assert cluster.primary is not old
        assert latest

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_without_a_write_does_not_renew_the_lease(monkeypatch):
    # letters-desk scale-2: a node that reached only the old primary continued to read
    # there, since the COMMITs of its read-only transactions renewed its lease.
    async def scenario(world):
        for name in ("n0", "n1"):
            await world.open(name, "latest").write()
        world.store.cut.add("n2")
        alone = world.open("n2", "latest")

        async def renew():
            await alone.send(Kind.BEGIN)
            await alone.read()
            await alone.send(Kind.COMMIT)

        await read_alone_beside_a_change_of_primary(world, alone, renew)

    builders_node.run_scenario(monkeypatch, scenario)


async def read_alone_beside_a_change_of_primary(world, alone, disturb=None):
    """Partition n2 with the old primary; its reads must not miss n1's commits."""
    cluster = world.clusters["g"]
    world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
    cluster.primary.unreachable |= {"n0", "n1"}
    cluster.primary.is_cut_off = True
    other = world.open("n1", "latest")
    began = clock.read()
    newest = 0
    while clock.read() - began < 7.0:
        if disturb is not None:
            await disturb()
        wrote = await other.write()
        if wrote.error is None:
            newest = wrote.position.offset
        read = await alone.read()
        if read.error is None:
            assert cluster.executions[-1].log >= newest
    assert len(cluster.promotions) == 1


@pytest.mark.parametrize("interval", [store_mirror.LIST_INTERVAL, 60.0])
def test_watch_without_changes_does_not_renew_the_lease(monkeypatch, interval):
    # With the second interval only the watch could renew the lease, which it must not.
    monkeypatch.setattr(store_mirror, "LIST_INTERVAL", interval)

    async def scenario(world):
        for name in ("n0", "n1"):
            await world.open(name, "latest").write()
        world.store.hides_changes = True
        alone = world.open("n2", "latest")
        await read_alone_beside_a_change_of_primary(world, alone)

    builders_node.run_scenario(monkeypatch, scenario)


def test_replica_that_forgets_its_pause_is_paused_again(monkeypatch):
    # Only n2 reaches the old primary, and may write until its lease expires. A paused
    # replica is restarted meanwhile and accepts the commit. The lease is long enough
    # for n2 to be still writing then.
    monkeypatch.setattr(primary_lease, "LEASE", 1.5)

    async def scenario(world):
        cluster = world.clusters["g"]
        for name in ("n0", "n1"):
            await world.open(name, "latest").write()
        cluster.primary.unreachable |= {"n0", "n1"}
        alone, other = world.open("n2", "latest"), world.open("n1", "latest")
        world.tasks.start_soon(other.write)
        while world.nodes["n1"].groups["g"].endpoints["g-0"].failing_since is None:
            await asyncio.sleep(0.01)
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        replica = cluster.databases["g-2"]
        while not replica.paused_term:
            await asyncio.sleep(0.01)
        replica.paused_term = 0
        assert (await alone.write()).error is None
        await asyncio.sleep(5.0)
        assert len(cluster.promotions) == 1
        log = [request for _, request in cluster.primary.log]
        assert set(cluster.acknowledged) <= set(log)

    builders_node.run_scenario(monkeypatch, scenario)


def test_draining_primary_is_replaced_without_loss(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "latest")
        await client.write()
        world.publish_endpoint("g-0", is_draining=True)
        await asyncio.sleep(3.0)
        assert world.clusters["g"].primary.name != "g-0"
        assert (await client.write()).error is None
        log = [request for _, request in world.clusters["g"].primary.log]
        assert set(world.clusters["g"].acknowledged) <= set(log)

    builders_node.run_scenario(monkeypatch, scenario)


def test_leader_that_crashes_is_replaced_and_fencing_tokens_differ(monkeypatch):
    async def scenario(world):
        first = world.find_leader()
        for name in world.nodes:
            await world.open(name, "latest").write()
        world.kill_node(first)
        world.clusters["g"].primary.crash()
        # The killed node may be the one that had connections to the primary.
        for name in world.nodes:
            await world.open(name, "latest").write()
        await asyncio.sleep(8.0 - 2.0)
        second = world.find_leader()
        assert second
        assert second != first
        promotions = world.clusters["g"].promotions
        tokens = [token for _, token, _ in promotions]
        assert tokens == sorted(set(tokens))
        client = world.open(second, "latest")
        assert (await client.write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_leader_partitioned_from_the_store_stops_acting(monkeypatch):
    async def scenario(world):
        first = world.find_leader()
        world.store.cut.add(first)
        for _ in range(100):
            await asyncio.sleep(0.1)
            world.find_leader()
        assert world.find_leader() not in ("", first)
        assert world.nodes[first].catalog is not None
        assert (await world.open(first, "latest").read()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_leader_without_the_store_resigns_soon(monkeypatch):
    async def scenario(world):
        first = world.find_leader()
        world.store.cut.add(first)
        began = clock.read()
        while world.find_leader() in ("", first):
            await asyncio.sleep(0.05)
            assert clock.read() - began < 2.6

    builders_node.run_scenario(monkeypatch, scenario)


def test_tokens_and_leases_continue_while_the_store_is_down_for_all(monkeypatch):
    async def scenario(world):
        world.store.cut |= set(world.nodes)
        clients = [world.open(name, "latest", "blue-key") for name in world.nodes]
        for _ in range(60):
            await asyncio.sleep(0.1)
            for client in clients:
                assert (await client.read()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_leader_without_the_store_stops_when_one_member_reaches_it(monkeypatch):
    async def scenario(world):
        first = world.find_leader()
        others = [name for name in world.nodes if name != first]
        world.store.cut |= {first, others[0]}
        world.cuts.add(frozenset((first, others[1])))
        await asyncio.sleep(6.0)
        assert world.find_leader() == others[1]
        assert world.nodes[first].leader.find_exclusive_until(clock.read()) is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_all_nodes_killed_at_once_serve_again(monkeypatch):
    async def scenario(world):
        names = list(world.nodes)
        for name in names:
            world.kill_node(name)
        await asyncio.sleep(1.0)
        for name in names:
            world.start_node(name, "north")
        await asyncio.sleep(5.0)
        for name in names:
            assert (await world.open(name, "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_restarted_nodes_do_not_report_earlier_acknowledgements(monkeypatch):
    # Fault soak, seed 500: the nodes that had acknowledged the last commits were
    # restarted, and the only replica that lacked these commits was promoted.
    async def scenario(world):
        cluster = world.clusters["g"]
        cluster.databases["g-2"].is_receive_blocked = True
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None
        for name in ("g-0", "g-1"):
            cluster.databases[name].crash()
        for name in list(world.nodes):
            world.kill_node(name)
            world.start_node(name, "north")
        cluster.databases["g-2"].is_receive_blocked = False
        for _ in range(5):
            await asyncio.sleep(2.0)
            for name in world.nodes:
                world.tasks.start_soon(world.open(name, "latest").write)
        assert not cluster.promotions
        cluster.databases["g-1"].is_up = True
        await asyncio.sleep(5.0)
        assert [name for _, _, name in cluster.promotions] == ["g-1"]
        log = [request for _, request in cluster.primary.log]
        assert set(cluster.acknowledged) <= set(log)

    builders_node.run_scenario(monkeypatch, scenario)


def test_team_has_its_rate_again_soon_after_all_nodes_were_restarted(monkeypatch):
    # letters-desk trouble-1: the first new leader waited for processes that had ended
    # with the other nodes, until all their tokens would have expired.
    async def scenario(world):
        names = list(world.nodes)
        for name in names:
            world.kill_node(name)
        world.start_node(names[0], "north")
        while world.find_leader() != names[0]:
            await asyncio.sleep(0.01)
        for name in names[1:]:
            world.start_node(name, "north")
        await asyncio.sleep(1.0)
        leader = world.nodes[names[0]].leader
        assert leader.allocator.starts_at <= clock.read()

    builders_node.run_scenario(monkeypatch, scenario)


class IdleCaller:
    """A caller's connection to a node, as an adapter implements it."""

    def __init__(self, world, node, route):
        self.client = world.open(node, route)
        self.session = self.client.session
        self.node = world.nodes[node]
        self.node.callers.add(self)
        self.closed_at = None

    def is_session_idle(self):
        return self.session.status == "I" and not self.session.is_busy

    def close(self):
        if self.closed_at is None:
            self.closed_at = clock.read()
            self.node.callers.discard(self)


def test_shutdown_lets_transactions_finish_or_rolls_them_back(monkeypatch):
    async def scenario(world):
        node = world.nodes["n1"]
        resting, ending, lasting = (
            IdleCaller(world, "n1", "latest"),
            IdleCaller(world, "n1", "latest"),
            IdleCaller(world, "n1", "latest"),
        )
        for caller in (ending, lasting):
            await caller.client.send(Kind.BEGIN)
            await caller.client.write()
        began = clock.read()
        world.tasks.start_soon(node.stop)
        await asyncio.sleep(2.0)
        assert not node.is_ready()
        assert resting.closed_at is None
        await asyncio.sleep(0.7)
        assert resting.closed_at is not None
        assert (await ending.client.send(Kind.COMMIT)).error is None
        await asyncio.sleep(2.0)
        assert ending.closed_at is not None
        assert lasting.session.transaction.is_expired
        assert clock.read() - began < node.settings.grace

    builders_node.run_scenario(monkeypatch, scenario)


def record_log_events(node):
    log_events = []
    write = node.journal.note

    def note(event, **fields):
        log_events.append((event, fields))
        write(event, **fields)

    node.journal.note = note
    return log_events


def test_lost_endpoint_is_logged_with_the_reason(monkeypatch):
    async def scenario(world):
        log_events = record_log_events(world.nodes["n1"])
        client = world.open("n1", "latest")
        world.clusters["g"].primary.crash()
        await client.write()
        lost = [fields for event, fields in log_events if event == "endpoint_lost"]
        assert [fields["endpoint"] for fields in lost] == ["g-0"]
        assert lost[0]["reason"] == "connection refused"

    builders_node.run_scenario(monkeypatch, scenario)


def test_malformed_endpoint_entry_is_logged_once_per_version(monkeypatch):
    async def scenario(world):
        log_events = record_log_events(world.nodes["n1"])
        for _ in range(2):
            world.store.put(builders_node.ENDPOINT_KIND, "foreign", "not a record")
            await asyncio.sleep(0.5)
            world.store.abort_watches()
            await asyncio.sleep(2.0)
        log_fields = [
            fields for event, fields in log_events if event == "endpoint_refused"
        ]
        assert [fields["endpoint"] for fields in log_fields] == ["foreign", "foreign"]
        assert "not a record" in log_fields[0]["reason"]
        assert (await world.open("n1", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("has_left", [True, False])
def test_group_continues_with_one_log_only_if_its_primary_was_removed(
    monkeypatch, has_left
):
    # One of two replicas cannot be read. Its log may have the only copy of a commit,
    # unless the primary's log is lost permanently as well.
    async def scenario(world):
        cluster = world.clusters["g"]
        cluster.databases["g-2"].is_receive_blocked = True
        assert (await world.open("n1", "latest").write()).error is None
        for name in list(world.nodes):
            world.kill_node(name)
        for name in ("g-0", "g-1"):
            cluster.databases[name].crash()
        if has_left:
            world.store.put(builders_node.ENDPOINT_KIND, "g-0", None)
        for name in ("n0", "n1", "n2"):
            world.start_node(name, "north")
        for _ in range(14):
            await asyncio.sleep(2.0)
            world.tasks.start_soon(world.open("n1", "latest").write)
        promoted = [endpoint for _, _, endpoint in cluster.promotions]
        assert promoted == (["g-2"] if has_left else [])

    builders_node.run_scenario(monkeypatch, scenario)


def test_rates_and_connections_are_divided_by_the_remaining_members(monkeypatch):
    async def scenario(world):
        node = world.nodes["n0"]
        endpoint = node.groups["g"].endpoints["g-2"]
        assert endpoint.owners[0] == "n2"
        assert endpoint.min_idle == 0
        world.kill_node("n2")
        world.store.put(
            store_mirror.FLEET_KIND, f"{store_mirror.MEMBER_PREFIX}n2", None
        )
        await asyncio.sleep(7.0)
        assert set(node.members) == {"n0", "n1"}
        assert node.rate_limiter.members == 2
        views = [
            world.nodes[name].groups["g"].endpoints["g-2"] for name in ("n0", "n1")
        ]
        assert views[0].owners == views[1].owners
        assert "n2" not in views[0].owners
        assert sorted(view.min_idle > 0 for view in views) == [False, True]

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_without_a_write_or_an_answer_is_aborted(monkeypatch):
    async def scenario(world):
        client = world.open("n1", "latest")
        await client.send(Kind.BEGIN)
        await client.read()
        world.clusters["g"].primary.lost_answers.add(f"r{world._requests + 1}")
        ended = await client.send(Kind.COMMIT)
        assert (ended.error, ended.status) == (Failure.ABORTED, "I")

    builders_node.run_scenario(monkeypatch, scenario)


def test_bounded_read_is_not_sent_to_a_primary_that_may_be_replaced(monkeypatch):
    # n2 reaches only the old primary; the other nodes continue with the new one.
    async def scenario(world):
        cluster = world.clusters["g"]
        for name in ("n0", "n1"):
            await world.open(name, "latest").write()
        alone, other = world.open("n2", "bounded"), world.open("n1", "latest")
        await alone.read()
        old = cluster.primary
        for database in cluster.databases.values():
            database.unreachable |= {"n0", "n1"} if database is old else {"n2"}
        old.is_cut_off = True
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        written = []
        began = clock.read()
        while clock.read() - began < 8.0:
            wrote = await other.write()
            if wrote.error is None:
                written.append((clock.read(), wrote.position.offset))
            due = [offset for at, offset in written if at < clock.read() - 1.5]
            read = await alone.read()
            if read.error is None:
                assert cluster.executions[-1].log >= max(due, default=0)
        assert due

    builders_node.run_scenario(monkeypatch, scenario)


def test_statement_without_a_primary_for_long_is_refused_immediately(monkeypatch):
    async def scenario(world):
        for database in world.clusters["g"].databases.values():
            database.crash()
        client = world.open("n1", "latest")
        while True:
            began = clock.read()
            refused = await client.write()
            assert refused.error in (Failure.BUSY, Failure.IN_DOUBT)
            if clock.read() - began < 0.05:
                break
            assert began < 1030.0
        assert "no primary" in refused.detail

    builders_node.run_scenario(monkeypatch, scenario)


def test_leaving_replica_loses_idle_connections_and_a_primary_keeps_them(
    monkeypatch,
):
    async def scenario(world):
        for route in ("latest", "bounded"):
            client = world.open("n1", route)
            await client.write()
            await client.read()
        primary, replica = (world.nodes[name].groups["g"] for name in ("n0", "n1"))
        assert primary.endpoints["g-0"].idle
        assert replica.endpoints["g-1"].idle
        primary._close_if_draining(primary.endpoints["g-0"])
        replica._close_if_draining(replica.endpoints["g-1"])
        assert not replica.endpoints["g-1"].idle
        assert primary.endpoints["g-0"].idle

    builders_node.run_scenario(monkeypatch, scenario)


def test_session_reads_what_its_transaction_committed(monkeypatch):
    async def scenario(world):
        for database in world.clusters["g"].databases.values():
            database.lag = 1.0
        client = world.open("n1", "session")
        await client.send(Kind.BEGIN)
        await client.write()
        committed = await client.send(Kind.COMMIT)
        assert client.session.last_commits == {"g": committed.position}
        assert (await client.read()).error is None
        assert world.clusters["g"].executions[-1].log >= committed.position.offset

    builders_node.run_scenario(monkeypatch, scenario)


def test_replica_that_lacks_a_position_is_remembered(monkeypatch):
    async def scenario(world):
        replicas = [f"g-{index}" for index in (1, 2)]
        client = world.open("n1", "session")
        await client.read()
        for name in replicas:
            world.clusters["g"].databases[name].lag = 5.0
        wrote = await client.write()
        assert (await client.read()).error is None
        group = world.nodes["n1"].groups["g"]
        asked = [group.endpoints[name].lag.wanted for name in replicas]
        assert wrote.position in asked

    builders_node.run_scenario(monkeypatch, scenario)


def test_position_sample_of_one_node_is_shared_with_the_others(monkeypatch):
    # Only one node queries the primary; the others get the position from the leader.
    async def scenario(world):
        leader = world.find_leader()
        reader, other = [name for name in world.nodes if name != leader]
        began = clock.read()
        assert (await world.open(reader, "latest").read()).error is None
        await asyncio.sleep(1.0)
        for name in (leader, other):
            # Each of two conversions between clocks subtracts a round trip of at most
            # 16 ms.
            assert world.nodes[name].groups["g"].lease.latest.sent_at >= began - 0.04

    builders_node.run_scenario(monkeypatch, scenario)


def test_old_primary_is_not_counted_among_departed_replicas(monkeypatch):
    async def scenario(world):
        node = world.nodes[world.find_leader()]
        now = clock.read()
        node.groups["g"].removed_at = {"g-0": now, "g-7": now, "g-8": now - 100.0}
        assert node.leader.count_departed("g", "g-0") == 1
        assert node.leader.count_departed("g", "g-1") == 2

    builders_node.run_scenario(monkeypatch, scenario)


def test_team_gets_its_rate_over_all_nodes_and_no_more(monkeypatch):
    async def scenario(world):
        served = []

        async def send_reads(client):
            while True:
                if (await client.read()).error is None:
                    served.append(clock.read())
                else:
                    await asyncio.sleep(0.05)

        for name in world.nodes:
            for _ in range(4):
                world.tasks.start_soon(send_reads, world.open(name, "bounded"))
        await asyncio.sleep(20.0)
        first = served[0]
        for start in range(int(first) + 1, int(served[-1]) - 5):
            count = sum(start <= at < start + 5 for at in served)
            assert count <= (20 * 5 + 20) * 1.1 + 20
        assert len(served) >= 0.8 * 20 * 20

    builders_node.run_scenario(monkeypatch, scenario, rate=20.0, burst=20.0)


def test_team_gets_no_more_than_its_rate_when_all_nodes_are_restarted(monkeypatch):
    async def scenario(world):
        served = []

        async def send_reads(name):
            node = world.nodes[name]
            client = world.open(name, "bounded")
            while world.nodes.get(name) is node:
                if (await client.read()).error is None:
                    served.append(clock.read())
                else:
                    await asyncio.sleep(0.02)

        def start_all():
            for name in world.nodes:
                for _ in range(4):
                    world.tasks.start_soon(send_reads, name)

        start_all()
        await asyncio.sleep(6.0)
        names = list(world.nodes)
        for name in names:
            world.kill_node(name)
        for name in names:
            world.start_node(name, "north")
        while not all(node.is_ready() for node in world.nodes.values()):
            await asyncio.sleep(0.01)
        start_all()
        await asyncio.sleep(8.0)
        for start in served:
            count = sum(start <= at < start + 5 for at in served)
            assert count <= (20 * 5 + 20) * 1.1 + 20

    builders_node.run_scenario(monkeypatch, scenario, count=9, rate=20.0, burst=20.0)


def test_node_releases_idle_connections_when_others_get_none(monkeypatch):
    async def scenario(world):
        world.connection_limit = 4
        holder = world.open("n0", "latest")
        for _ in range(3):
            await holder.send(Kind.BEGIN)
            await holder.write()
            await holder.send(Kind.COMMIT)
        others = [world.open("n1", "latest"), world.open("n2", "latest")]
        others += [world.open(name, "latest", "blue-key") for name in ("n1", "n2")]
        for client in others:
            await client.send(Kind.BEGIN)
            assert (await client.write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_metrics_page_contains_the_nodes_values(monkeypatch):
    async def scenario(world):
        await world.open("n0", "latest").write()
        node = world.nodes["n0"]
        node.update_gauges()
        page = node.registry.format_page().decode()
        for name in (
            'statements_total{outcome="success",route="latest",team="red"} 1.0',
            "sardinehold_configuration_version 1.0",
            'sardinehold_handshakes{endpoint="g-0"} 1.0',
            'sardinehold_lease_age_seconds{group="g"}',
            'sardinehold_tokens{team="red"}',
        ):
            assert name in page

    builders_node.run_scenario(monkeypatch, scenario)


def test_group_state_of_the_store_is_read_back():
    state = catalog.GroupState("g", 3, "g-1", catalog.Phase.SEALED, 9)
    again = catalog.parse_group_state("g", state.dump(), 9)
    assert (again.term, again.primary, again.phase) == (3, "g-1", catalog.Phase.SEALED)


def collect_refused(world, names, seconds):
    """Send a team's reads at a steady rate; return a list of the refusals."""
    refused = []

    async def ask(name):
        answer = await world.open(name, "bounded").read()
        if answer.error is not None:
            refused.append((clock.read(), answer.detail))

    async def send_reads():
        began = clock.read()
        asked = 0
        while clock.read() < began + seconds:
            await asyncio.sleep(1 / 60)
            world.tasks.start_soon(ask, names[asked % len(names)])
            asked += 1

    world.tasks.start_soon(send_reads)
    return refused


def test_team_within_its_rate_is_served_as_soon_as_all_nodes_are_back(monkeypatch):
    # letters-desk trouble-2: 600 tries within a second exceeded the rate, since the new
    # leader started with empty token buckets and operations did not wait for it.
    async def scenario(world):
        names = list(world.nodes)
        collect_refused(world, names, 5.0)
        await asyncio.sleep(5.0)
        for name in names:
            world.kill_node(name)
        for name in names:
            world.start_node(name, "north")
        while not all(node.is_ready() for node in world.nodes.values()):
            await asyncio.sleep(0.01)
        refused = collect_refused(world, names, 3.0)
        for name in names:
            for _ in range(5):
                world.tasks.start_soon(world.open(name, "bounded").read)
        await asyncio.sleep(4.0)
        assert not refused

    builders_node.run_scenario(monkeypatch, scenario, count=6, rate=100.0, burst=100.0)


def test_late_member_entry_does_not_delay_the_allocator(monkeypatch):
    # letters-desk trouble-1: the writes of three new processes' entries were lost, and
    # the leader waited until the tokens of their predecessors would have expired.
    async def scenario(world):
        names = list(world.nodes)
        for name in names:
            world.kill_node(name)
        world.start_node(names[0], "north")
        while world.find_leader() != names[0]:
            await asyncio.sleep(0.01)

        async def write_nothing():
            await asyncio.sleep(60.0)

        for name in names[1:]:
            world.start_node(name, "north").store_writer.maintain_entry = write_nothing
        began = clock.read()
        leader = world.nodes[names[0]].leader
        while not leader.allocator.has_started(clock.read()):
            await asyncio.sleep(0.01)
        assert clock.read() - began < 0.6

    builders_node.run_scenario(monkeypatch, scenario)


def test_team_whose_callers_all_reach_one_node_gets_its_whole_rate(monkeypatch):
    # letters-desk quiet-1: the shares of a rate held by nodes without callers of the
    # team could not be used by the nodes that had them.
    async def scenario(world):
        served = []

        async def send_reads(client):
            while True:
                if (await client.read()).error is None:
                    served.append(clock.read())
                else:
                    await asyncio.sleep(0.02)

        await asyncio.sleep(2.0)
        for _ in range(8):
            world.tasks.start_soon(send_reads, world.open("n1", "bounded"))
        await asyncio.sleep(12.0)
        late = [at for at in served if at > served[0] + 2.0]
        assert len(late) >= 0.95 * 40 * 9.5
        for start in served:
            assert sum(start <= at < start + 5 for at in served) <= 40 * 6 * 1.1 + 20

    builders_node.run_scenario(monkeypatch, scenario, count=9, rate=40.0, burst=40.0)


def test_isolated_node_refuses_immediately_and_is_not_ready(monkeypatch):
    # letters-desk scale-2: half of the nodes were partitioned from the store and from
    # the others, and each try waited there for 0.8 s instead of being served by other
    # nodes.
    async def scenario(world):
        cut = world.nodes["n2"]
        assert cut.is_ready()
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        waited = asyncio.ensure_future(world.open("n2", "latest").read())
        await asyncio.sleep(3.0)
        assert not cut.is_ready()
        assert waited.done()
        before = cut.rate_limiter.accounts["red"].even.tokens
        for send in (world.open("n2", "latest").write, world.open("n2").read):
            began = clock.read()
            refused = await send()
            assert refused.error is Failure.BUSY
            assert clock.read() - began < 0.05
        # Operations that were never sent do not count against the rate.
        assert cut.rate_limiter.accounts["red"].even.tokens >= min(before, 1.0)
        assert (await world.open("n1", "latest").write()).error is None
        world.store.cut.clear()
        world.cuts.clear()
        await asyncio.sleep(2.5)
        assert cut.is_ready()
        assert (await world.open("n2", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_entry_of_a_lost_node_is_removed_and_delays_nothing(monkeypatch):
    # inc-3a14 and letters-desk trouble-3: each change of primary or leader waited for a
    # VM that had been replaced, and its share of the rates was unused.
    async def scenario(world):
        names = list(world.nodes)
        gone = next(name for name in names if name != world.find_leader())
        world.kill_node(gone)
        await asyncio.sleep(membership.REMOVAL_DELAY + 2.0)
        left = [name for name in names if name != gone]
        for name in left:
            assert sorted(world.nodes[name].members) == sorted(left)
        await asyncio.sleep(membership.LEASE_EXPIRY_DELAY)
        for name in left:
            await world.open(name, "latest").write()
        world.clusters["g"].primary.crash()
        began = clock.read()
        for name in left:
            world.tasks.start_soon(world.open(name, "latest").write)
        while len(world.clusters["g"].promotions) < 1:
            await asyncio.sleep(0.01)
        assert clock.read() - began < 1.0
        await asyncio.sleep(3.0)
        assert (await world.open(left[0], "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_node_without_an_entry_gets_no_lease_until_it_is_registered(monkeypatch):
    # The other nodes get no reports from n2, which reaches the store and the primary.
    async def scenario(world):
        node = world.nodes["n2"]
        if world.find_leader() == "n2":
            await node.store_writer.write_resignation()
            node.leadership.resign()
            await asyncio.sleep(1.0)
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        leases = []
        began = clock.read()
        removed_at = entered_at = None
        while clock.read() < began + 2 * membership.REMOVAL_DELAY:
            await asyncio.sleep(0.005)
            is_entered = (store_mirror.FLEET_KIND, "member.n2") in world.store.objects
            if not is_entered and removed_at is None:
                removed_at = clock.read()
            if removed_at and is_entered and entered_at is None:
                entered_at = clock.read()
            if removed_at and not entered_at:
                leases.append(node.groups["g"].lease.as_of)
        assert removed_at
        assert entered_at
        assert max(leases, default=0.0) <= removed_at
        assert (await world.open("n2", "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_isolated_node_does_not_continue_by_its_commits(monkeypatch):
    async def scenario(world):
        await world.open("n2", "latest").write()
        world.store.cut.add("n2")
        world.cuts |= {frozenset(("n2", "n0")), frozenset(("n2", "n1"))}
        began = clock.read()
        while clock.read() < began + 8.0:
            await asyncio.sleep(0.2)
            last = await world.open("n2", "latest").write()
            if clock.read() - began > primary_lease.LEASE + 1.5:
                assert last.error is Failure.BUSY

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("silent", ["leader", "followers", "all"])
def test_configuration_arrives_although_watches_went_silent(monkeypatch, silent):
    # A silent connection delivers nothing. Nodes other than the leader read from the
    # store seldom, and depend on the changes that the leader announces.
    async def scenario(world):
        await asyncio.sleep(3.0)
        leads = {world.find_leader()}
        chosen = {"leader": leads, "followers": world.nodes.keys() - leads}
        world.store.silent.update(chosen.get(silent, world.nodes.keys()))
        await asyncio.sleep(store_watch.LEADER_WAIT + 0.1)
        world.publish(version=2, keys={"blue-key": "blue"})
        silence = store_watch.LEADER_WAIT + objects_in_memory.WATCH_GRACE_SECONDS
        await asyncio.sleep(silence + 1.2 if silent == "all" else 1.2)
        assert [node.find_version() for node in world.nodes.values()] == [2, 2, 2]

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("after", [0.05, 1.0, 2.0, 3.0, 3.9])
def test_configuration_is_active_when_nodes_are_connected_after_a_silence(
    monkeypatch, after
):
    # All open connections to the store go silent at once, at any moment of the leader's
    # watches. Nodes are connected again 4 s later, when the configuration's bound of 3
    # s is over.
    async def scenario(world):
        await asyncio.sleep(3.0)
        watches = world.store.calls["watch"]
        while world.store.calls["watch"] == watches:
            await asyncio.sleep(0.01)
        await asyncio.sleep(after)
        for name in world.nodes:
            world.store.silence(name)
        await asyncio.sleep(0.1)
        world.publish_changes()
        await asyncio.sleep(3.9)
        assert world.list_outdated() == []

    builders_node.run_scenario(monkeypatch, scenario)


def test_configuration_arrives_although_the_new_leaders_watches_were_silent(
    monkeypatch,
):
    # A member's long watch may have been silent without harm, as the leader announced
    # changes; after that member becomes the leader, no other node does.
    async def scenario(world):
        await asyncio.sleep(3.0)
        first = world.find_leader()
        for name in world.nodes.keys() - {first}:
            world.store.silence(name)
        await asyncio.sleep(4.0)
        world.tasks.start_soon(world.nodes[first].stop)
        await asyncio.sleep(1.0)
        assert world.find_leader() not in ("", first)
        world.publish_changes()
        await asyncio.sleep(3.0)
        assert world.list_outdated() == []

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("after", [0.05, 0.5, 1.0, 1.4])
def test_silent_watches_of_all_nodes_are_noticed_although_other_calls_work(
    monkeypatch, after
):
    # Fault soak, seed 3200: renewals used connections of their own, and only the
    # leader's watches showed that their connections were silent.
    async def scenario(world):
        await asyncio.sleep(3.0)
        leader = world.find_leader()
        await asyncio.sleep(after)
        for name in world.nodes:
            world.store.silence(name)
        world.store.unanswered.clear()
        await asyncio.sleep(0.1)
        world.publish_changes()
        await asyncio.sleep(3.9)
        assert world.find_leader() == leader
        assert world.list_outdated() == []

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("seconds", [0.6, 0.9, 1.2, 2.0])
def test_configuration_arrives_after_an_outage_that_left_watches_silent(
    monkeypatch, seconds
):
    # The leader may continue without a store that answers no node. Nodes are connected
    # 4 s after its return, when the configuration's bound of 3 s is over.
    async def scenario(world):
        await asyncio.sleep(3.0)
        watches = world.store.calls["watch"]
        while world.store.calls["watch"] == watches:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        world.store.cut.update(world.nodes)
        for name in world.nodes:
            world.store.silence(name)
        await asyncio.sleep(seconds)
        world.store.cut.clear()
        world.publish_changes()
        await asyncio.sleep(4.0)
        assert world.list_outdated() == []

    builders_node.run_scenario(monkeypatch, scenario)


def test_idle_fleet_makes_few_store_calls(monkeypatch):
    # letters-desk grown: 76 nodes made 90 calls a second, half of the day's price.
    async def scenario(world):
        await asyncio.sleep(2.0)
        before = dict(world.store.calls)
        await asyncio.sleep(50.0)
        watches = world.store.calls["watch"] - before["watch"]
        assert watches <= 3 * (
            9 * 50 / store_watch.LONG_WAIT + 50 / store_watch.LEADER_WAIT
        )
        assert world.store.calls["list"] == before["list"]
        renewals = world.store.calls["update"] - before["update"]
        assert renewals <= 50 / leadership.RENEW_INTERVAL + 1

    builders_node.run_scenario(monkeypatch, scenario, count=9)


def test_nodes_that_do_not_lead_compute_no_member_contacts(monkeypatch):
    # Ten times a second, each of 76 nodes computed the members' contacts with the
    # store.
    async def scenario(world):
        leader = world.find_leader()
        looked = []
        for name, node in world.nodes.items():
            find = node.leader.member_reports.list_contacts
            monkeypatch.setattr(
                node.leader.member_reports,
                "list_contacts",
                lambda now, find=find, name=name: looked.append(name) or find(now),
            )
        await asyncio.sleep(5.0)
        assert set(looked) <= {leader}

    builders_node.run_scenario(monkeypatch, scenario)


def test_small_team_in_front_of_many_nodes_is_served_within_its_rate(monkeypatch):
    # letters-desk grown: shares of a small rate among 76 nodes were so small that no
    # caller found a token, and a third of the rate was lost.
    async def scenario(world):
        refused, asked = [], []
        draw = random.Random(5)

        async def ask():
            name = draw.choice(list(world.nodes))
            asked.append(name)
            if (await world.open(name, "bounded").read()).error is not None:
                refused.append(name)

        await asyncio.sleep(4.0)
        began = clock.read()
        while clock.read() < began + 30.0:
            await asyncio.sleep(draw.expovariate(5.0))
            world.tasks.start_soon(ask)
        assert len(asked) > 120
        assert len(refused) <= 0.02 * len(asked)

    builders_node.run_scenario(monkeypatch, scenario, count=40, rate=8.0, burst=8.0)


def test_leader_that_shuts_down_is_replaced_immediately(monkeypatch):
    # inc-cf50: nodes looked for a new leader only after they missed the responses of
    # one that had stopped, 0.7 s later; until then no tokens were allocated.
    async def scenario(world):
        first = world.find_leader()
        world.tasks.start_soon(world.nodes[first].stop)
        await asyncio.sleep(0)
        began = clock.read()
        while world.find_leader() in ("", first):
            await asyncio.sleep(0.01)
        assert clock.read() - began < 0.3
        assert not any(
            node.exchange.is_isolated(clock.read()) for node in world.nodes.values()
        )

    builders_node.run_scenario(monkeypatch, scenario)


def test_reserves_of_an_older_object_are_ignored(monkeypatch):
    async def scenario(world):
        follower = next(n for n in world.nodes if n != world.find_leader())
        node = world.nodes[follower]
        node.leadership.reserves = {"red": 500}
        node.leadership.version += 1
        assert node.leader.plan_reserves(clock.read()) == {}

    builders_node.run_scenario(monkeypatch, scenario)


def test_list_without_the_nodes_own_entry_renews_no_lease(monkeypatch):
    async def scenario(world):
        node = world.nodes["n1"]
        lease_before = node.groups["g"].lease.as_of
        asked = clock.read() + 5.0
        others = [
            stored
            for (kind, name), stored in world.store.objects.items()
            if kind == store_mirror.FLEET_KIND and name != "member.n1"
        ]
        node.store_mirror.apply_fleet_list(objects.Changes(others, 1), asked)
        assert node.groups["g"].lease.as_of == lease_before
        own = world.store.objects[store_mirror.FLEET_KIND, "member.n1"]
        node.store_mirror.apply_fleet_list(objects.Changes([*others, own], 1), asked)
        assert node.groups["g"].lease.as_of == asked

    builders_node.run_scenario(monkeypatch, scenario)


def test_draining_endpoint_is_known_to_nodes_whose_watches_went_silent(monkeypatch):
    # Only the leader receives the change; the configuration's version does not cover
    # endpoints.
    async def scenario(world):
        await asyncio.sleep(3.0)
        world.store.silent.update(world.nodes.keys() - {world.find_leader()})
        world.publish_endpoint("g-2", is_draining=True)
        await asyncio.sleep(2.0)
        for node in world.nodes.values():
            assert node.groups["g"].endpoints["g-2"].draining_since is not None

    builders_node.run_scenario(monkeypatch, scenario)


async def await_request(world):
    while not world.requesting:
        await asyncio.sleep(0.01)
    return world.requesting[0]


async def check_requests_have_ended(world, seconds):
    """Check that no node leads while another's promotion request is on its way."""
    until = clock.read() + seconds
    while clock.read() < until:
        leader = world.find_leader()
        assert not leader or set(world.requesting) <= {leader}
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("wait", [0.0, 0.15, 0.3, 0.45])
def test_leader_does_not_resign_while_its_promotion_request_is_on_its_way(
    monkeypatch, wait
):
    # The request arrived after those of the next leader, with a lower fencing token.
    async def scenario(world):
        first = world.find_leader()
        for name in world.nodes:
            await world.open(name, "latest").write()
        await asyncio.sleep(wait)
        world.request_delays = [5.0]
        world.clusters["g"].primary.crash()
        assert await await_request(world) == first
        world.store.cut.add(first)
        await check_requests_have_ended(world, 6.0)
        assert world.find_leader() != first

    builders_node.run_scenario(monkeypatch, scenario)


def test_leader_that_stops_waits_for_its_promotion_request(monkeypatch):
    # The next leader took over at once, before the request had arrived.
    async def scenario(world):
        first = world.find_leader()
        for name in world.nodes:
            await world.open(name, "latest").write()
        world.request_delays = [5.0]
        world.clusters["g"].primary.crash()
        assert await await_request(world) == first
        world.tasks.start_soon(world.nodes[first].stop)
        await check_requests_have_ended(world, 3.0)
        assert world.find_leader() != first

    builders_node.run_scenario(monkeypatch, scenario)


def test_promotion_request_is_not_sent_near_the_end_of_the_lease(monkeypatch):
    # Without the store the lead ends before the request could have timed out.
    async def scenario(world):
        leader = world.nodes[world.find_leader()]
        world.store.cut.add(leader.settings.name)
        leader.leadership.leads_until = clock.read() + 0.3
        with pytest.raises(errors.PlatformError):
            await leader.leader.request_promotion("g", "g-1")
        assert not world.clusters["g"].promotions

    builders_node.run_scenario(monkeypatch, scenario)


async def write_for(world, seconds, interval=0.05):
    """Write through all nodes; return the identifiers of acknowledged writes."""
    until = clock.read() + seconds
    acknowledged = set()

    async def write(name):
        client = world.open(name, "latest")
        while clock.read() < until:
            answer = await client.write()
            if answer.error is None:
                acknowledged.add(answer.completion_tag.split()[-1])
            await asyncio.sleep(interval)

    async with anyio.create_task_group() as tasks:
        for name in list(world.nodes):
            tasks.start_soon(write, name)
    return acknowledged


def check_log(world, acknowledged):
    """Check that the primary's log has all acknowledged writes."""
    assert acknowledged
    log = {request for _, request in world.clusters["g"].primary.log}
    assert acknowledged <= log


@pytest.mark.parametrize("delay", [2.5, 5.5, 7.5])
def test_promotion_executed_late_does_not_undo_the_next_change(monkeypatch, delay):
    # The platform executed a request seconds later, when another primary had replaced
    # the one that it named; that one's commits were lost.
    async def scenario(world):
        world.request_delays = [delay]
        world.publish_endpoint("g-0", is_draining=True)

        async def drain_again():
            group = world.nodes["n2"].groups["g"]
            while group.state.primary == "g-0":
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            world.publish_endpoint(group.state.primary, is_draining=True)

        world.tasks.start_soon(drain_again)
        acknowledged = await write_for(world, 14.0)
        check_log(world, acknowledged)
        check_log(world, await write_for(world, 1.0))
        assert world.clusters["g"].primary.name == "g-2"

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("delay", [3.0, 5.5, 7.5])
def test_unanswered_promotion_request_is_repeated_for_the_same_endpoint(
    monkeypatch, delay
):
    # Another endpoint was promoted, and undone when the first request was executed.
    async def scenario(world):
        await write_for(world, 0.5)
        world.request_delays = [delay, delay, 0.005]
        world.clusters["g"].primary.crash()
        acknowledged = await write_for(world, 12.0)
        targets = {endpoint for _, _, endpoint in world.clusters["g"].promotions}
        assert len(targets) == 1
        check_log(world, acknowledged)

    builders_node.run_scenario(monkeypatch, scenario)


def test_next_leader_repeats_an_unanswered_promotion_request(monkeypatch):
    # It chose another endpoint, as the first one was draining by then.
    async def scenario(world):
        await write_for(world, 0.5)
        world.request_delays = [6.0]
        world.clusters["g"].primary.crash()
        first = await await_request(world)
        target = world.clusters["g"].promotions[0][2]
        world.publish_endpoint(target, is_draining=True)
        world.kill_node(first)
        acknowledged = await write_for(world, 5.0)
        assert acknowledged
        assert {item[2] for item in world.clusters["g"].promotions} == {target}
        acknowledged |= await write_for(world, 10.0)
        check_log(world, acknowledged)

    builders_node.run_scenario(monkeypatch, scenario)


def test_refused_promotion_request_is_followed_by_another_at_once(monkeypatch):
    async def scenario(world):
        await write_for(world, 0.5)
        cluster = world.clusters["g"]
        cluster.primary.crash()
        while not cluster.promotions:
            cluster.databases["g-1"].is_up = cluster.databases["g-1"].paused_term == 0
            await asyncio.sleep(0.001)
        began = clock.read()
        while world.nodes["n2"].groups["g"].state.primary == "g-0":
            await asyncio.sleep(0.01)
            assert clock.read() - began < 3.0
        assert cluster.primary.name == "g-2"

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("lag", [0, 30])
def test_primary_that_nobody_requested_does_not_end_the_writes(monkeypatch, lag):
    # A promotion was executed very late: nodes went on to use the published primary,
    # which followed the new one, and no write was acknowledged any more.
    async def scenario(world):
        cluster = world.clusters["g"]
        acknowledged = await write_for(world, 1.0)
        cluster.databases["g-2"].is_receive_blocked = bool(lag)
        acknowledged |= await write_for(world, 0.5)

        async def promote():
            await cluster.promote("g-2")
            cluster.databases["g-2"].is_receive_blocked = False
            for name in cluster.databases:
                world.publish_endpoint(name)

        world.tasks.start_soon(promote)
        acknowledged |= await write_for(world, 5.0)
        late = await write_for(world, 1.0)
        check_log(world, late)
        check_log(world, acknowledged)

    builders_node.run_scenario(monkeypatch, scenario)


def test_published_primary_of_a_later_term_is_published_again(monkeypatch):
    # A repeated request promoted it twice; its positions were of no use to replicas.
    async def scenario(world):
        cluster = world.clusters["g"]
        await write_for(world, 1.0)
        cluster.primary.term += 1
        await write_for(world, 3.0)
        assert world.nodes["n1"].groups["g"].state.term == cluster.primary.term

    builders_node.run_scenario(monkeypatch, scenario)


def publish_other_group(world):
    """Publish an endpoint of a group "other", as another writer does."""
    world.clusters["other"] = group_in_memory.Cluster("other")
    world.publish_endpoint("other-0")


def test_group_that_no_configuration_names_is_left_alone(monkeypatch):
    # Any writer of the store could have the leader query an address of its choice.
    async def scenario(world):
        publish_other_group(world)
        opened = []
        leader = world.nodes[world.find_leader()]
        open_connection = leader.connector.open

        async def note_and_open(record, team, deadline):
            opened.append(record.group)
            return await open_connection(record, team, deadline)

        leader.connector.open = note_and_open
        world.nodes["n2"].connector.open = note_and_open
        await asyncio.sleep(3.0)
        assert "other" not in opened

    builders_node.run_scenario(monkeypatch, scenario)


def test_error_in_the_work_for_one_group_spares_the_leader_and_other_groups(
    monkeypatch,
):
    # review/2: an entry of another writer ended the process of whichever node led.
    read_catalog = builders_node.Sources.parse_catalog

    def add_group(value):
        found = read_catalog(value)
        found.groups["other"] = catalog.Group("other", 21, 1)
        return found

    monkeypatch.setattr(builders_node.Sources, "parse_catalog", staticmethod(add_group))

    async def scenario(world):
        publish_other_group(world)
        for node in world.nodes.values():
            open_connection = node.connector.open

            async def fail(record, team, deadline, open_connection=open_connection):
                if record.group == "other":
                    raise UnicodeError("label empty or too long")
                return await open_connection(record, team, deadline)

            node.connector.open = fail
        first = world.find_leader()
        await write_for(world, 3.0)
        assert world.find_leader() == first
        world.clusters["g"].primary.crash()
        await asyncio.sleep(3.0)
        check_log(world, await write_for(world, 1.0))

    builders_node.run_scenario(monkeypatch, scenario)


def test_node_without_a_list_of_endpoints_is_not_ready(monkeypatch):
    # review/3: nodes that knew no database reported that they were ready.
    async def scenario(world):
        node = world.nodes["n1"]
        assert node.is_ready()
        node.store_mirror.endpoints.revision = 0
        assert not node.is_ready()

    builders_node.run_scenario(monkeypatch, scenario)


async def begin_transaction(world, route="latest"):
    """Open a transaction that has written through its connection."""
    client = world.open("n1", route)
    assert (await client.send(Kind.BEGIN)).error is None
    assert (await client.write()).error is None
    return client


async def withdraw_key(world):
    world.publish(version=2, keys={"blue-key": "blue"})
    while world.nodes["n1"].find_version() != 2:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.WRITE, Kind.COMMIT, Kind.SET])
def test_withdrawn_key_ends_an_open_transaction(monkeypatch, kind):
    # review/4: it went on to read and to commit while the transaction was open.
    async def scenario(world):
        client = await begin_transaction(world)
        await withdraw_key(world)
        parts = {"name": "a", "value": "b"} if kind is Kind.SET else {}
        answer = await client.send(kind, **parts)
        assert answer.error is Failure.DENIED
        assert answer.status == ("I" if kind is Kind.COMMIT else "E")
        if kind is not Kind.COMMIT:
            assert (await client.send(Kind.COMMIT)).error is Failure.DENIED
        assert (await client.read()).error is Failure.DENIED
        await asyncio.sleep(1.0)
        assert not world.clusters["g"].primary.log

    builders_node.run_scenario(monkeypatch, scenario)


def test_transaction_of_a_withdrawn_key_is_rolled_back_while_it_is_idle(monkeypatch):
    # It held its locks and connection until the caller's next statement.
    async def scenario(world):
        client = await begin_transaction(world)
        holding = [
            item
            for item in world.clusters["g"].primary.connections
            if item.writes is not None
        ]
        assert len(holding) == 1
        await withdraw_key(world)
        await asyncio.sleep(0.2)
        assert holding[0].writes is None
        assert (await client.send(Kind.ROLLBACK)).error is None

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.WRITE])
@pytest.mark.parametrize("is_open", [False, True])
def test_statement_that_waited_is_not_sent_with_a_withdrawn_key(
    monkeypatch, kind, is_open
):
    # Its key was checked when it arrived, and it had waited for a primary since.
    async def scenario(world):
        client = world.open("n1", "latest")
        if is_open:
            await client.send(Kind.BEGIN)
        world.clusters["g"].primary.crash()
        answers = []

        async def send():
            answers.append(await client.send(kind))

        world.tasks.start_soon(send)
        await asyncio.sleep(0.1)
        before = len(world.clusters["g"].executions)
        await withdraw_key(world)
        await asyncio.sleep(8.0)
        assert [answer.error for answer in answers] == [Failure.DENIED]
        assert len(world.clusters["g"].executions) == before

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.COMMIT])
def test_key_that_stays_in_force_keeps_its_transaction(monkeypatch, kind):
    async def scenario(world):
        client = await begin_transaction(world)
        world.publish(version=2, keys={"red-key": "red"})
        await asyncio.sleep(1.0)
        assert world.nodes["n1"].find_version() == 2
        assert (await client.send(kind)).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_key_of_another_team_ends_an_open_transaction(monkeypatch):
    async def scenario(world):
        client = await begin_transaction(world)
        world.publish(version=2, keys={"red-key": "blue"})
        await asyncio.sleep(1.0)
        assert (await client.send(Kind.COMMIT)).error is Failure.DENIED
        assert (await client.write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)


def test_entry_that_raises_an_unexpected_error_costs_only_itself(monkeypatch):
    # The watch of the databases failed on it, and no node followed them any more.
    read_endpoint = builders_node.Sources.parse_endpoint

    def parse(name, value):
        if name == "a-odd":
            raise OverflowError("cannot convert float infinity to integer")
        return read_endpoint(name, value)

    monkeypatch.setattr(builders_node.Sources, "parse_endpoint", staticmethod(parse))

    async def scenario(world):
        world.store.put(builders_node.ENDPOINT_KIND, "a-odd", {"born": 1})
        world.publish_endpoint("g-2", is_draining=True)
        await asyncio.sleep(1.0)
        world.start_node("n3")
        await asyncio.sleep(3.0)
        for node in world.nodes.values():
            assert node.groups["g"].endpoints["g-2"].draining_since is not None
            assert node.is_ready()
        check_log(world, await write_for(world, 1.0))

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("value", [{}, [], "text", {"term": "x"}, {"key": 7}])
@pytest.mark.parametrize("name", ["group.g", "secret", "member.n1", "group.other"])
def test_malformed_object_of_the_fleet_costs_only_itself(monkeypatch, name, value):
    # The watch of the fleet's own objects failed on it, and nobody wrote it again.
    async def scenario(world):
        world.store.put(store_mirror.FLEET_KIND, name, value)
        await asyncio.sleep(3.0)
        world.clusters["g"].primary.crash()
        await write_for(world, 4.0)
        check_log(world, await write_for(world, 1.0))
        assert world.clusters["g"].primary.name != "g-0"
        stored = world.store.objects[store_mirror.FLEET_KIND, name].value
        if name in ("group.g", "member.n1"):
            assert stored != value

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("value", [{}, [], {"node": 7, "incarnation": 8}])
def test_malformed_leader_object_leaves_one_leader(monkeypatch, value):
    async def scenario(world):
        world.store.put(store_mirror.LEADER_KIND, leadership.NAME, value)
        for _ in range(80):
            await asyncio.sleep(0.05)
            world.find_leader()
        assert world.find_leader()
        check_log(world, await write_for(world, 1.0))

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("command", ["pause", "step_down", "resume"])
def test_leader_that_was_suspended_sends_no_command_to_a_log(monkeypatch, command):
    # It went on in the middle of a change of primary that another leader had ended.
    async def scenario(world):
        await write_for(world, 0.5)
        leader = world.nodes[world.find_leader()]
        state = leader.groups["g"].state
        replica = world.find_database("g-1")
        database = replica if command != "step_down" else world.find_database("g-0")
        database.paused_term = 5 if command == "resume" else 0
        read_status = group_in_memory.DatabaseConnection.read_status

        async def read_and_suspend(connection, deadline):
            status = await read_status(connection, deadline)
            leader.leadership.leads_until = float("-inf")
            return status

        monkeypatch.setattr(
            group_in_memory.DatabaseConnection, "read_status", read_and_suspend
        )
        record = leader.groups["g"].endpoints[database.name].record
        connection = await leader.connector.open(record, "", clock.read() + 1.0)
        if command == "resume":
            await failover.reconcile(leader.leader, "g", state)
            assert database.paused_term == 5
        else:
            procedure = failover.Failover(leader.leader, "g", 1, False)
            deadline = clock.read() + 1.0
            frozen = await procedure._freeze_log("", connection, state, deadline)
            assert frozen is None
            assert not database.paused_term
            assert database.is_primary == (command == "step_down")

    builders_node.run_scenario(monkeypatch, scenario)


def test_earlier_primary_is_paused_when_the_present_one_is_replaced(monkeypatch):
    # letters-desk-grown trouble-1: it stepped down only, followed the present primary,
    # and acknowledged commits that the log to be promoted lacked.
    async def scenario(world):
        await write_for(world, 0.5)
        leader = world.nodes[world.find_leader()]
        earlier = world.find_database("g-1")
        earlier.is_primary = True
        state = catalog.GroupState("g", 2, "g-0", catalog.Phase.SEALED)
        record = leader.groups["g"].endpoints["g-1"].record
        connection = await leader.connector.open(record, "", clock.read() + 1.0)
        procedure = failover.Failover(leader.leader, "g", 1, False)
        deadline = clock.read() + 1.0
        frozen = await procedure._freeze_log("g-1", connection, state, deadline)
        assert not frozen.is_primary
        assert earlier.paused_term == frozen.paused_term == 3

    builders_node.run_scenario(monkeypatch, scenario)
