"""Statements run through endpoint owners, in virtual time: queueing and owner loss."""

import asyncio
import contextlib

import pytest

import builders_links
import builders_node
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import executor
from sardinehold.node import forwarding
from sardinehold.node import ports
from sardinehold.node import statements
from sardinehold_standins import group_in_memory

Kind = statements.Kind
Failure = statements.Failure


def find_owner(world, endpoint: str = "g-0") -> str:
    return next(iter(world.nodes.values())).groups["g"].endpoints[endpoint].owners[0]


def find_others(world, endpoint: str = "g-0") -> list[str]:
    owner = find_owner(world, endpoint)
    return [name for name in world.nodes if name != owner]


def count_reads(world) -> int:
    return world.store.calls["list"] + world.store.calls["watch"]


def count_handshakes(world) -> int:
    return sum(
        endpoint.handshakes
        for node in world.nodes.values()
        for endpoint in node.groups["g"].endpoints.values()
    )


def test_many_nodes_and_teams_share_the_connections_of_an_owner(monkeypatch):
    # Reduced form of siewnik-druk-grown scale-1: each node occasionally has a statement
    # of each team. With connections of its own, every node would open one for each team
    # and endpoint that it uses, and hardly ever reuse it.
    async def scenario(world):
        for _ in range(6):
            for name in world.nodes:
                for key in ("red-key", "blue-key"):
                    for route in ("latest", "bounded"):
                        client = world.open(name, route, key)
                        assert (await client.read()).error is None
                await asyncio.sleep(0.4)
        teams, endpoints = 2, 3
        assert count_handshakes(world) <= teams * endpoints
        used = {
            connection.node
            for database in world.clusters["g"].databases.values()
            for connection in database.connections
        }
        assert used <= {find_owner(world, name) for name in ("g-0", "g-1", "g-2")}

    builders_node.run_scenario(monkeypatch, scenario, count=9)


def test_owner_sends_an_endpoint_at_most_one_statement_beyond_its_slots(monkeypatch):
    async def scenario(world):
        database = world.clusters["g"].databases["g-0"]
        database.statement_seconds = 0.05
        owner = world.nodes[find_owner(world)].groups["g"].endpoints["g-0"]
        most = 0

        async def watch():
            nonlocal most
            while True:
                most = max(most, owner.running + owner.opening)
                await asyncio.sleep(0.002)

        world.tasks.start_soon(watch)
        clients = [world.open(name, "latest") for name in world.nodes for _ in range(6)]
        answers = await asyncio.gather(*(client.read() for client in clients))
        assert {answer.error for answer in answers} == {None}
        assert most == 4

    builders_node.run_scenario(monkeypatch, scenario)


def test_statement_that_cannot_be_served_in_time_is_refused_at_once_and_not_run(
    monkeypatch,
):
    # Each statement on the primary takes ten times as long as usual under an unchanged
    # load: ten statements a second can be served, forty arrive.
    async def scenario(world):
        cluster = world.clusters["g"]
        client = world.open("n1", "latest")
        for _ in range(12):
            await client.read()
        cluster.databases["g-0"].statement_seconds = 0.3
        for _ in range(8):
            await client.read()
        clients = [
            world.open(name, "latest") for name in world.nodes for _ in range(14)
        ]
        reads = {run.request_id for run in cluster.executions}
        began = clock.read()
        ended = {}

        async def write(caller):
            answer = await caller.write()
            ended[caller] = (clock.read() - began, answer)

        await asyncio.gather(*(write(caller) for caller in clients))
        refused = [pair for pair in ended.values() if pair[1].error is Failure.BUSY]
        assert len(refused) > 20
        soon = [seconds for seconds, _ in refused if seconds < 0.1]
        assert len(soon) >= 0.8 * len(refused)
        assert all("retry after" in answer.detail for _, answer in refused)
        served = [pair for pair in ended.values() if pair[1].error is None]
        assert len(cluster.acknowledged) == len(served)
        assert not set(cluster.acknowledged) & reads
        ran = [
            run.request_id for run in cluster.executions if run.request_id not in reads
        ]
        assert sorted(ran) == sorted(cluster.acknowledged)

    builders_node.run_scenario(monkeypatch, scenario)


def test_silent_owner_is_bypassed_within_half_a_second(monkeypatch):
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        client = world.open(other, "latest")
        assert (await client.write()).error is None
        world.frozen.add(owner)
        first = await client.write()
        assert first.error in (Failure.IN_DOUBT, None)
        await asyncio.sleep(0.2)
        began = clock.read()
        assert (await client.write()).error is None
        assert clock.read() - began < 0.5
        world.frozen.clear()
        await asyncio.sleep(1.0)
        assert (await client.write()).error is None
        assert client.session.trace.home == owner

    builders_node.run_scenario(monkeypatch, scenario, count=4)


def test_transaction_whose_owner_crashes_is_rolled_back_and_reported(monkeypatch):
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        client = world.open(other, "latest")
        await client.send(Kind.BEGIN)
        assert (await client.write()).error is None
        world.kill_node(owner)
        await asyncio.sleep(0.1)
        assert (await client.write()).error is Failure.ABORTED
        assert (await client.send(Kind.ROLLBACK)).error is None
        assert not world.clusters["g"].acknowledged
        await asyncio.sleep(4.0)
        assert (await client.write()).error is None

    builders_node.run_scenario(monkeypatch, scenario, count=4)


@pytest.mark.parametrize("kind", [Kind.COMMIT, Kind.WRITE])
def test_write_in_flight_at_an_owner_that_crashes_is_in_doubt_and_not_repeated(
    monkeypatch, kind
):
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        client = world.open(other, "latest")
        if kind is Kind.COMMIT:
            await client.send(Kind.BEGIN)
            await client.write()
        else:
            await client.read()
        before = len(world.clusters["g"].executions)
        world.clusters["g"].databases["g-0"].statement_seconds = 0.2
        sending = asyncio.ensure_future(client.send(kind))
        await asyncio.sleep(0.05)
        world.kill_node(owner)
        assert (await sending).error is Failure.IN_DOUBT
        await asyncio.sleep(2.0)
        assert len(world.clusters["g"].executions) - before <= 1

    builders_node.run_scenario(monkeypatch, scenario, count=4)


def test_owner_rolls_back_open_transactions_of_a_crashed_node(monkeypatch):
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        client = world.open(other, "latest")
        await client.send(Kind.BEGIN)
        await client.write()
        endpoint = world.nodes[owner].groups["g"].endpoints["g-0"]
        assert world.nodes[owner].executor.streams
        assert not endpoint.idle
        world.kill_node(other)
        await asyncio.sleep(0.5)
        assert world.nodes[owner].executor.is_idle()
        assert len(endpoint.idle) == 1
        assert not world.clusters["g"].acknowledged

    builders_node.run_scenario(monkeypatch, scenario, count=4)


def test_stopping_owner_finishes_transactions_and_takes_no_new_work(monkeypatch):
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        client = world.open(other, "latest")
        await client.send(Kind.BEGIN)
        assert (await client.write()).error is None
        stopping = asyncio.ensure_future(world.nodes[owner].stop())
        await asyncio.sleep(0.1)
        late = world.open(other, "latest")
        assert (await late.write()).error is None
        assert late.session.trace.home != owner
        await asyncio.sleep(2.6)
        assert not stopping.done()
        assert (await client.write()).error is None
        assert (await client.send(Kind.COMMIT)).error is None
        await asyncio.sleep(0.2)
        assert stopping.done()

    builders_node.run_scenario(monkeypatch, scenario, count=4)


def test_endpoint_unreachable_for_its_owner_is_used_through_the_next_owner(monkeypatch):
    async def scenario(world):
        owner = find_owner(world, "g-0")
        other = find_others(world)[-1]
        client = world.open(other, "latest")
        assert (await client.write()).error is None
        database = world.clusters["g"].databases["g-0"]
        database.unreachable.add(owner)
        await client.read()
        deadline = clock.read() + 2.5
        while (await client.write()).error is not None:
            assert clock.read() < deadline
            await asyncio.sleep(0.05)
        assert client.session.trace.home != owner
        assert not world.clusters["g"].promotions

    builders_node.run_scenario(monkeypatch, scenario, count=6)


def test_reset_of_all_links_loses_no_read_and_reports_correct_outcomes(monkeypatch):
    async def scenario(world):
        cluster = world.clusters["g"]
        clients = [world.open(name, "latest") for name in world.nodes for _ in range(3)]
        for client in clients:
            await client.read()
        reads = [asyncio.ensure_future(client.read()) for client in clients]
        writers = [world.open(name, "latest") for name in world.nodes]
        writes = [asyncio.ensure_future(client.write()) for client in writers]
        await asyncio.sleep(0.004)
        for pipe in world.pipes:
            pipe.close()
        assert {answer.error for answer in await asyncio.gather(*reads)} == {None}
        answers = await asyncio.gather(*writes)
        assert {answer.error for answer in answers} <= {None, Failure.IN_DOUBT}
        await asyncio.sleep(1.0)
        told = [answer for answer in answers if answer.error is None]
        assert len(told) <= len(cluster.acknowledged) <= len(answers)

    builders_node.run_scenario(monkeypatch, scenario, count=6)


def test_links_that_stay_silent_are_replaced(monkeypatch):
    # A stateful network device between the nodes drops all of its connections silently:
    # nothing is reset, no further data arrives, and new connections work.
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        client = world.open(other, "latest")
        await client.write()
        for pipe in world.pipes:
            pipe.is_open = pipe.other.is_open = False
        await client.read()
        await asyncio.sleep(forwarding.MAX_REDIAL_DELAY)
        for _ in range(5):
            assert (await client.write()).error is None
            await asyncio.sleep(0.2)
        assert client.session.trace.home == owner

    builders_node.run_scenario(monkeypatch, scenario, count=4)


def test_connections_to_an_endpoint_stay_within_its_limit_while_owners_change(
    monkeypatch,
):
    async def scenario(world):
        database = world.clusters["g"].databases["g-0"]
        most = 0

        async def watch():
            nonlocal most
            while True:
                most = max(most, len(database.connections))
                await asyncio.sleep(0.01)

        world.tasks.start_soon(watch)
        world.connection_limit = 8
        for index in range(6):
            clients = [world.open(name, "latest") for name in world.nodes]
            await asyncio.gather(*(client.read() for client in clients))
            if index == 2:
                world.kill_node(find_owner(world))
            await asyncio.sleep(0.5)
        assert most <= 8

    builders_node.run_scenario(monkeypatch, scenario, count=6, connections=8)


def test_only_one_node_of_a_zone_reads_the_store_while_there_is_a_leader(monkeypatch):
    # large/ciel-noir-large.toml: if hundreds of nodes each watch every kind, each
    # change costs as many store calls.
    async def scenario(world):
        await asyncio.sleep(30.0)
        calls = count_reads(world)
        world.publish(version=2, rate=77.0)
        await asyncio.sleep(0.3)
        versions = {node.find_version() for node in world.nodes.values()}
        assert versions == {2}
        spent = count_reads(world) - calls
        zones, leaders = 3, 1
        assert spent <= 2 * (zones + leaders)

    builders_node.run_scenario(monkeypatch, scenario, count=12)


def test_change_that_a_silent_reader_withholds_is_read_from_the_store(monkeypatch):
    async def scenario(world):
        await asyncio.sleep(3.0)
        leader = world.find_leader()
        node = next(
            node
            for name, node in world.nodes.items()
            if name != leader and node.store_readers.find_relay() is not None
        )
        reader = node.store_readers.find_relay().name
        world.frozen.add(reader)
        world.publish(version=2)
        await asyncio.sleep(2.0)
        assert node.find_version() == 2

    builders_node.run_scenario(monkeypatch, scenario, count=9)


def test_start_and_loss_of_a_leader_cost_few_store_calls_per_node(monkeypatch):
    # Guards against store load seen on siewnik-druk-grown: 40 calls for each VM start,
    # and 19 a VM for each change of leader, because every VM listed the fleet until it
    # received a message of the new leader.
    async def scenario(world):
        assert sum(world.store.calls.values()) <= 12 * len(world.nodes)
        await asyncio.sleep(5.0)
        before = sum(world.store.calls.values())
        world.kill_node(world.find_leader())
        await asyncio.sleep(6.0)
        assert world.find_leader()
        assert sum(world.store.calls.values()) - before <= 5 * len(world.nodes)

    builders_node.run_scenario(monkeypatch, scenario, count=30)


def test_node_that_is_no_candidate_learns_of_a_new_leader_and_keeps_serving(
    monkeypatch,
):
    async def scenario(world):
        client = world.open("n20", "latest")
        assert (await client.write()).error is None
        world.kill_node(world.find_leader())
        for _ in range(40):
            await asyncio.sleep(0.1)
            assert (await client.read()).error is None
        assert world.nodes["n20"].exchange.is_leader_reachable()

    builders_node.run_scenario(monkeypatch, scenario, count=24)


def test_list_that_confirms_leases_starts_after_the_call(monkeypatch):
    async def scenario(world):
        await asyncio.sleep(3.0)
        watcher = world.nodes["n0"].store_mirror.fleet
        world.nodes["n0"].store_mirror.fleet._is_relayed = False
        first = asyncio.ensure_future(watcher.list_fresh())
        await asyncio.sleep(0.001)
        world.publish_endpoint("g-0", is_draining=True)
        revision = world.store.revision
        second = asyncio.ensure_future(watcher.list_fresh())
        third = asyncio.ensure_future(watcher.list_fresh())
        lists = world.store.calls["list"]
        assert (await second).revision >= revision
        assert (await third).revision >= revision
        await first
        assert world.store.calls["list"] <= lists + 1

    builders_node.run_scenario(monkeypatch, scenario, count=3)


def test_reads_avoid_a_replica_that_fails_every_second_one_until_it_recovers(
    monkeypatch,
):
    async def scenario(world):
        await world.open("n1", "latest").write()
        replica = world.clusters["g"].databases["g-1"]
        clients = [
            world.open(name, "bounded") for name in world.nodes for _ in range(4)
        ]

        async def read_all():
            before = len(world.clusters["g"].executions)
            answers = await asyncio.gather(*(client.read() for client in clients))
            assert {answer.error for answer in answers} == {None}
            ran = world.clusters["g"].executions[before:]
            return sum(run.database == "g-1" for run in ran) / len(ran)

        await read_all()
        assert await read_all() >= 0.3
        replica.failure_interval = 2
        for _ in range(4):
            await read_all()
        assert await read_all() <= 0.1
        replica.failure_interval = 0
        await asyncio.sleep(10.0)
        for _ in range(10):
            await read_all()
        assert await read_all() >= 0.3

    builders_node.run_scenario(monkeypatch, scenario, count=6)


@pytest.mark.parametrize("kind", ["configuration", "endpoints"])
def test_restarted_process_accepts_no_outdated_state_from_a_reader(monkeypatch, kind):
    # The reader's watch became silent before the change, so that its state is older
    # than the node's own before the restart.
    async def scenario(world):
        await asyncio.sleep(3.0)
        leader = world.find_leader()
        name, node = next(
            (name, node)
            for name, node in world.nodes.items()
            if name != leader and node.store_readers.find_relay() is not None
        )
        reader = node.store_readers.find_relay().name
        world.store.silent.add(reader)
        if kind == "configuration":
            world.publish(version=2, keys={})
        else:
            world.publish_endpoint("g-1", is_draining=True)
        world.kill_node(name)
        zone = node.settings.zone
        again = world.start_node(name, zone)
        while not again.is_ready():
            await asyncio.sleep(0.005)
        for _ in range(40):
            if kind == "configuration":
                assert again.find_version() == 2
            else:
                assert not again.groups["g"].endpoints["g-1"].accepts_new_work()
            await asyncio.sleep(0.02)

    builders_node.run_scenario(monkeypatch, scenario, count=9)


def test_reader_that_lists_again_still_reports_removed_and_changed_objects(monkeypatch):
    async def scenario(world):
        await asyncio.sleep(3.0)
        leader = world.find_leader()
        node = next(
            node
            for name, node in world.nodes.items()
            if name != leader and node.store_readers.find_relay() is not None
        )
        reader = world.nodes[node.store_readers.find_relay().name]
        world.store.silent.add(reader.settings.name)
        world.publish_endpoint("g-1", is_draining=True)
        world.store.put(builders_node.ENDPOINT_KIND, "g-2", None)
        world.store.silent.clear()
        lists = world.store.calls["list"]
        reader.store_mirror.endpoints.refresh()
        await asyncio.sleep(0.2)
        endpoints = node.groups["g"].endpoints
        assert not endpoints["g-1"].accepts_new_work()
        assert endpoints["g-2"].missing_since is not None
        assert world.store.calls["list"] == lists + 1

    builders_node.run_scenario(monkeypatch, scenario, count=9)


def test_reads_that_queue_for_a_busy_endpoint_are_not_hedged(monkeypatch):
    # Hedging a read that only waits in a queue would lengthen the queue for all others.
    async def scenario(world):
        cluster = world.clusters["g"]
        for database in cluster.databases.values():
            database.statement_seconds = 0.05
        clients = [world.open(name, "latest") for name in world.nodes for _ in range(8)]
        for _ in range(3):
            await asyncio.gather(*(client.read() for client in clients))
        before = len(cluster.executions)
        await asyncio.gather(*(client.read() for client in clients))
        assert len(cluster.executions) - before == len(clients)

    builders_node.run_scenario(monkeypatch, scenario, count=6, timeout=4.0)


@pytest.mark.parametrize("seconds", [1.5, 6.0])
@pytest.mark.parametrize("begins", [True, False])
def test_request_delayed_by_a_partition_does_not_run_afterwards(
    monkeypatch, seconds, begins
):
    # siewnik-druk-grown trouble-1 (8904ae00): a write of a transaction reached the
    # owner 13 s late, after the transaction had been rolled back, and was executed
    # outside of it; its caller had already been told that the transaction was aborted.
    async def scenario(world):
        owner, other = find_owner(world), find_others(world)[-1]
        cluster = world.clusters["g"]
        client = world.open(other, "latest")
        if begins:
            await client.send(Kind.BEGIN)
        assert (await client.read()).error is None
        ran = len(cluster.executions)
        world.cuts.add(frozenset((owner, other)))
        wrote = await client.write()
        assert wrote.error in (
            (Failure.ABORTED,) if begins else (Failure.IN_DOUBT, None)
        )
        acknowledged = len(cluster.acknowledged)
        await asyncio.sleep(seconds)
        world.cuts.clear()
        await asyncio.sleep(2.0)
        assert len(cluster.acknowledged) == acknowledged
        if begins:
            assert len(cluster.executions) == ran
            assert world.nodes[owner].executor.is_idle()

    builders_node.run_scenario(monkeypatch, scenario, count=4)


def test_request_of_a_transaction_unknown_to_its_owner_is_rejected(
    monkeypatch,
):
    async def scenario(world):
        node = world.nodes[find_owner(world)]
        now = clock.read()
        request = builders_links.make_request(now, is_in_transaction=True, after=None)
        with pytest.raises(execution.Rejected):
            await node.executor.run(executor.Stream(), request)
        late = builders_links.make_request(now - 1.5, after=None)
        with pytest.raises(execution.Rejected):
            await node.executor.run(executor.Stream(), late)
        assert not world.clusters["g"].executions

    builders_node.run_scenario(monkeypatch, scenario)


def test_configuration_that_transfers_slowly_is_read_to_its_end(monkeypatch):
    # siewnik-druk-grown trouble-2 (1329424c, 8904ae00): 1,492 routes more over links of
    # 5 Mbit/s. Each message of the leader said that the node was behind, and restarted
    # the list that was in progress.
    async def scenario(world):
        await asyncio.sleep(2.0)
        for name in world.nodes.keys() - {world.find_leader()}:
            world.store.transfer_seconds[name, builders_node.CONFIG_KIND] = 1.6
        world.publish(version=2)
        await asyncio.sleep(4.0)
        assert {node.find_version() for node in world.nodes.values()} == {2}

    builders_node.run_scenario(monkeypatch, scenario, count=6)


@pytest.mark.parametrize("ending", ["waiting", "placed", "late"])
def test_connection_and_slot_of_an_abandoned_request_are_released(monkeypatch, ending):
    async def scenario(world):
        node = world.nodes[find_owner(world)]
        endpoint = node.groups["g"].endpoints["g-0"]
        world.clusters["g"].databases["g-0"].statement_seconds = 0.2

        async def run(stream, left):
            request = builders_links.make_request(clock.read() - 1.0 + left, after=None)
            with contextlib.suppress(execution.Rejected, ports.ConnectionLost):
                await node.executor.run(stream, request)

        busy = [asyncio.ensure_future(run(executor.Stream(), 1.0)) for _ in range(4)]
        await asyncio.sleep(0.05)
        stream = executor.Stream()
        last = asyncio.ensure_future(run(stream, 0.25 if ending == "late" else 1.0))
        await asyncio.sleep(0.01)
        if ending == "waiting":
            node.executor.abandon(stream)
            await asyncio.sleep(0.001)
            assert last.done()
        elif ending == "placed":
            placed = stream.waiter.future
            placed.add_done_callback(lambda _: node.executor.abandon(stream))
        await asyncio.gather(*busy, last)
        await asyncio.sleep(0.6)
        assert node.executor.is_idle()
        assert endpoint.running == 0
        assert not endpoint.waiters
        assert set(endpoint.idle) == endpoint.connections

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("step", ["set_values", "prepare", "run"])
def test_statement_that_fails_unexpectedly_leaves_no_connection_in_use(
    monkeypatch, step
):
    # The connection counted as used for good, and the other node waited until the
    # statement's timeout.
    async def scenario(world):
        node = world.nodes[find_owner(world)]
        client = world.open(find_others(world)[0], "latest")
        assert (await client.write()).error is None
        endpoint = node.groups["g"].endpoints["g-0"]

        async def fail(*_):
            raise ValueError("no line")

        definition = statements.Definition(True, "q2c")
        await client.send(Kind.SET, name="color", value="red")
        await client.send(Kind.PREPARE, name="s1", definition=definition)
        with monkeypatch.context() as patch:
            patch.setattr(group_in_memory.DatabaseConnection, step, fail)
            began = clock.read()
            answer = await client.send(Kind.EXECUTE, name="s1")
            assert answer.error is Failure.IN_DOUBT
            assert clock.read() < began + 0.5
        assert node.registry.counters["tasks_failed"] > 0
        assert endpoint.running == 0
        assert set(endpoint.idle) == endpoint.connections

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.WRITE])
def test_answer_that_fits_no_frame_is_not_asked_for_again(monkeypatch, kind):
    # A read ran 207 times until its timeout, while its answers were lost.
    succeed = group_in_memory.DatabaseConnection._succeed
    answered = []

    def answer_long(connection, request_id):
        answered.append(request_id)
        answer = succeed(connection, request_id)
        answer.rows = ["x" * 1_000_000] * 5
        return answer

    async def scenario(world):
        client = world.open(find_others(world)[0], "latest")
        assert (await client.write()).error is None
        monkeypatch.setattr(group_in_memory.DatabaseConnection, "_succeed", answer_long)
        answer = await client.send(kind)
        is_read = kind is Kind.READ
        assert answer.error is (Failure.TOO_LARGE if is_read else Failure.IN_DOUBT)
        assert answer.status == "I"
        assert len(answered) == 1

    builders_node.run_scenario(monkeypatch, scenario)


ONE_REGION = {"north": "n", "middle": "n", "south": "n"}


def hold_slots(world, name: str, count: int) -> None:
    """Let statements on an endpoint last so long that they hold its slots."""
    world.clusters["g"].databases[name].statement_seconds = 0.4
    owner = world.nodes[find_owner(world, name)]
    group = owner.groups["g"]
    for number in range(count):
        request = builders_links.make_request(
            clock.read(), endpoint=name, after=None, values={}, team=f"t{number}"
        )
        stream = executor.Stream()
        world.tasks.start_soon(owner.executor.run, stream, request)
    assert group.endpoints[name].is_owned


def test_read_that_reaches_a_full_endpoint_runs_on_another_one(monkeypatch):
    # No node has a report of the load that has just begun: without diversion, reads
    # queue there while other endpoints are idle.
    async def scenario(world):
        clients = [world.open(name, "bounded") for name in world.nodes]
        for _ in range(3):
            await asyncio.gather(*(client.read() for client in clients))
        hold_slots(world, "g-1", 3)
        await asyncio.sleep(0.1)
        seen = len(world.clusters["g"].executions)
        began = clock.read()
        for _ in range(4):
            answers = await asyncio.gather(*(client.read() for client in clients))
            assert {answer.error for answer in answers} == {None}
        assert clock.read() - began < 0.4
        nodes = world.nodes.values()
        diverted = sum(
            node.registry.counters.get("reads_diverted", 0) for node in nodes
        )
        assert diverted
        assert len(world.clusters["g"].executions) == seen + 4 * len(clients)

    monkeypatch.setattr(builders_node, "ZONES", ONE_REGION)
    builders_node.run_scenario(monkeypatch, scenario)


def test_earlier_policy_can_be_selected_and_diverts_nothing(monkeypatch):
    async def scenario(world):
        clients = [world.open(name, "bounded") for name in world.nodes]
        hold_slots(world, "g-1", 3)
        await asyncio.sleep(0.1)
        for _ in range(4):
            await asyncio.gather(*(client.read() for client in clients))
        for node in world.nodes.values():
            assert "reads_diverted" not in node.registry.counters

    monkeypatch.setattr(builders_node, "ZONES", ONE_REGION)
    monkeypatch.setattr(
        builders_node.World,
        "make_settings",
        lambda world, name, zone: make_settings(world, name, zone, "lowest"),
    )
    builders_node.run_scenario(monkeypatch, scenario)


def make_settings(world, name, zone, policy):
    loaded = original_settings(world, name, zone)
    loaded.placement = policy
    return loaded


original_settings = builders_node.World.make_settings


def test_transactions_on_an_endpoint_that_started_again_leave_its_slots_free(
    monkeypatch,
):
    # Slots were taken on the new start and released on the earlier one.
    async def scenario(world):
        callers = [world.open("n0", "latest") for _ in range(6)]
        for caller in callers:
            await caller.send(Kind.BEGIN)
            assert (await caller.write()).error is None
        world.publish_endpoint("g-0", born=1)
        await asyncio.sleep(0.1)
        for caller in callers:
            await caller.send(Kind.COMMIT)
        for node in world.nodes.values():
            assert node.groups["g"].endpoints["g-0"].running == 0
        for name in world.nodes:
            assert (await world.open(name, "latest").write()).error is None

    builders_node.run_scenario(monkeypatch, scenario)
