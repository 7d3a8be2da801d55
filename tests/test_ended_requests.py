"""Nothing of a request is started at an endpoint after it has ended."""

import asyncio
import itertools
import os
import signal
import socket
import time
import types

import pytest

import builders_node
from sardinehold.node import clock
from sardinehold.node import loops
from sardinehold.node import node as nodes
from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold_standins import group_in_memory

Kind = statements.Kind


class Start:
    """A statement as it was sent to a database."""

    def __init__(self, connection, statement) -> None:
        self.request_id = statement.request_id
        self.kind = statement.kind
        self.text = statement.text
        self.definition = statement.definition
        self.database = connection.database.name
        self.team = connection.team
        self.values = dict(connection.values)
        self.prepared = set(connection.prepared)
        self.at = clock.read()


@pytest.fixture
def starts(monkeypatch):
    """Return the list of what is sent to databases."""
    found = []
    run = group_in_memory.DatabaseConnection.run

    async def record(self, statement, deadline, after=None):
        found.append(Start(self, statement))
        return await run(self, statement, deadline, after)

    monkeypatch.setattr(group_in_memory.DatabaseConnection, "run", record)
    return found


def fill_slots(world, count=40):
    """Return tasks of callers that occupy the primary's slots, and their queue."""
    names = itertools.cycle(world.nodes)
    others = [world.open(next(names), "latest", "blue-key") for _ in range(count)]
    return [asyncio.create_task(other.read()) for other in others]


def suspend(monkeypatch, seconds):
    """Let the clock advance as while the VMs are suspended; timers stand still."""
    read = clock.read
    monkeypatch.setattr(clock, "read", lambda: read() + seconds)


async def stall_databases(world, seconds):
    for database in world.clusters["g"].databases.values():
        database.statement_seconds = seconds


def test_slower_attempt_of_a_hedged_read_ends_with_its_answer(monkeypatch, starts):
    # It was repeated elsewhere with the values of the session's next statement.
    async def scenario(world):
        client = world.open("n1", "bounded")
        await client.send(Kind.SET, name="a", value="first")
        for _ in range(8):
            await client.read()
        slow = world.clusters["g"].databases[starts[-1].database]
        slow.statement_seconds = 0.9
        read = asyncio.create_task(client.read())
        while not any(start.database == slow.name for start in starts[8:]):
            answer = await read
            assert answer.error is None
            read = asyncio.create_task(client.read())
            await asyncio.sleep(0.001)
        answer = await read
        assert answer.error is None
        ended_at = clock.read()
        request_id = starts[-1].request_id
        await client.send(Kind.SET, name="a", value="second")
        for connection in list(slow.connections):
            connection.abort()
        await asyncio.sleep(2.0)
        late = [start for start in starts if start.request_id == request_id]
        assert len(late) == 2
        assert all(start.at <= ended_at for start in late)
        assert {start.values["a"] for start in late} == {"first"}

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.WRITE])
@pytest.mark.parametrize("node", ["n0", "n1", "n2"])
def test_statement_that_waits_for_a_slot_ends_with_its_caller(
    monkeypatch, starts, kind, node
):
    # It ran up to its timeout after the caller had left.
    async def scenario(world):
        for name in world.nodes:
            await world.open(name, "latest", "blue-key").read()
        await stall_databases(world, 0.1)
        others = fill_slots(world, 12)
        await asyncio.sleep(0.02)
        client = world.open(node, "latest")
        task = asyncio.create_task(client.send(kind))
        await asyncio.sleep(0.05)
        client.session.close()
        await asyncio.sleep(0.05)
        assert task.done()
        await asyncio.gather(*others)
        await asyncio.sleep(1.0)
        assert not [start for start in starts if start.team == "red"]
        assert world.nodes[node].groups["g"].commits.in_flight == 0

    builders_node.run_scenario(monkeypatch, scenario)


def test_commit_that_waits_for_a_slot_ends_with_its_caller(monkeypatch, starts):
    async def scenario(world):
        cluster = world.clusters["g"]
        for name in world.nodes:
            await world.open(name, "latest", "blue-key").read()
        client = world.open("n1", "latest")
        await client.send(Kind.BEGIN)
        assert (await client.write()).error is None
        await stall_databases(world, 0.1)
        others = fill_slots(world, 12)
        await asyncio.sleep(0.02)
        task = asyncio.create_task(client.send(Kind.COMMIT))
        await asyncio.sleep(0.01)
        client.session.close()
        await asyncio.gather(task, *others)
        await asyncio.sleep(1.0)
        assert Kind.COMMIT not in [start.kind for start in starts]
        assert not cluster.acknowledged
        assert client.session.transaction is None
        assert world.nodes["n1"].groups["g"].commits.in_flight == 0
        assert all(node.executor.is_idle() for node in world.nodes.values())

    builders_node.run_scenario(monkeypatch, scenario)


def test_statement_that_waits_for_an_endpoint_ends_with_its_caller(monkeypatch, starts):
    async def scenario(world):
        group = world.nodes["n1"].groups["g"]
        monkeypatch.setattr(group, "_assign", lambda waiter, now: None)
        client = world.open("n1", "latest")
        task = asyncio.create_task(client.write())
        await asyncio.sleep(0.1)
        assert group.waiters
        client.session.close()
        monkeypatch.undo()
        await asyncio.sleep(0.01)
        assert task.done()
        assert not group.waiters

    builders_node.run_scenario(monkeypatch, scenario)


def test_statement_that_waits_for_a_token_ends_with_its_caller(monkeypatch, starts):
    async def scenario(world):
        clients = [world.open("n1", "latest") for _ in range(30)]
        tasks = [asyncio.create_task(client.write()) for client in clients]
        await asyncio.sleep(0.02)
        waiting = world.nodes["n1"].rate_limiter.accounts["red"].balance.waiting
        assert len(waiting)
        for client in clients:
            client.session.close()
        sent = len(starts)
        await asyncio.sleep(0.01)
        assert not len(waiting)
        assert all(task.done() for task in tasks)
        await asyncio.sleep(2.0)
        assert len(starts) == sent

    builders_node.run_scenario(monkeypatch, scenario, rate=5.0, burst=5.0)


def test_read_is_not_repeated_after_its_caller_has_left(monkeypatch, starts):
    async def scenario(world):
        client = world.open("n1", "bounded")
        for _ in range(8):
            await client.read()
        starts.clear()
        await stall_databases(world, 0.05)
        task = asyncio.create_task(client.read())
        while not starts:
            await asyncio.sleep(0.005)
        client.session.close()
        database = world.clusters["g"].databases[starts[0].database]
        for connection in list(database.connections):
            connection.abort()
        await task
        await asyncio.sleep(1.0)
        assert len(starts) == 1

    builders_node.run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.WRITE])
@pytest.mark.parametrize("node", ["n0", "n1", "n2"])
def test_statement_is_not_sent_after_its_deadline_when_a_vm_was_suspended(
    monkeypatch, starts, kind, node
):
    # The timers of what waits for a slot stand still with the VM.
    async def scenario(world):
        for name in world.nodes:
            await world.open(name, "latest", "blue-key").read()
        await stall_databases(world, 0.1)
        others = fill_slots(world, 6)
        await asyncio.sleep(0.02)
        client = world.open(node, "latest")
        task = asyncio.create_task(client.send(kind))
        await asyncio.sleep(0.03)
        suspend(monkeypatch, 3.5)
        answer = await task
        assert answer.error in (statements.Failure.BUSY, statements.Failure.ABORTED)
        await asyncio.gather(*others)
        await asyncio.sleep(1.0)
        assert not [start for start in starts if start.team == "red"]

    builders_node.run_scenario(monkeypatch, scenario)


class Transport(asyncio.Transport):
    """A caller's connection whose caller reads nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""

    def get_extra_info(self, name, default=None):
        return None

    def write(self, data):
        self.written += data

    def close(self):
        pass


async def connect(world, monkeypatch, node):
    """Return the protocol of a caller with a session, and its transport."""
    monkeypatch.setattr(callers.endpoints, "configure_socket", lambda socket: None)
    caller, transport = callers.Caller(world.nodes[node]), Transport()
    caller.connection_made(transport)
    caller.data_received(b"START latest red-key\r\n")
    await asyncio.sleep(0.01)
    assert transport.written == b"READY I -\r\n"
    caller.data_received(b"QUERY r1 WRITE a b\r\n")
    await asyncio.sleep(0.1)
    assert b"COMPLETE" in transport.written
    return caller, transport


@pytest.mark.parametrize("node", ["n0", "n1", "n2"])
def test_caller_that_left_while_the_vm_was_suspended_is_noticed_first(
    monkeypatch, starts, node
):
    async def scenario(world):
        caller, _ = await connect(world, monkeypatch, node)
        # A caller's timeout is shorter than its route's here.
        suspend(monkeypatch, 0.6)
        caller.data_received(b"QUERY r2 WRITE a b\r\n")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        caller.connection_lost(None)
        await asyncio.sleep(2.0)
        assert [start.request_id for start in starts] == ["r1"]

    builders_node.run_scenario(monkeypatch, scenario)


def test_statement_that_may_have_arrived_long_ago_is_refused(monkeypatch, starts):
    async def scenario(world):
        caller, transport = await connect(world, monkeypatch, "n1")
        suspend(monkeypatch, 0.6)
        caller.data_received(b"QUERY r2 WRITE a b\r\n")
        await asyncio.sleep(0.5)
        assert b"ERROR BUSY" in transport.written
        assert [start.request_id for start in starts] == ["r1"]
        await asyncio.sleep(2.0)
        caller.data_received(b"QUERY r3 WRITE a b\r\n")
        await asyncio.sleep(0.5)
        assert [start.request_id for start in starts] == ["r1", "r3"]

    builders_node.run_scenario(monkeypatch, scenario, timeout=0.4)


def test_pipelined_statement_is_dated_by_its_own_arrival(monkeypatch):
    # After a short pause, all lines of one run keep the date of the pause.
    async def scenario(world):
        caller, transport = await connect(world, monkeypatch, "n1")
        for database in world.clusters["g"].databases.values():
            database.statement_seconds = 0.1
        suspend(monkeypatch, 0.3)
        caller.data_received(b"QUERY s0 READ a\r\n")
        for number in range(1, 25):
            caller.data_received(b"QUERY s%d READ a\r\n" % number)
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.5)
        assert b"suspended" not in transport.written
        assert b"ERROR" not in transport.written, transport.written

    builders_node.run_scenario(monkeypatch, scenario, timeout=1.0)


def test_data_of_a_suspension_is_dated_although_the_event_loop_was_busy():
    # Maintenance runs before the kernel is polled while callbacks are ready.
    async def main():
        one, other = socket.socketpair()
        one.setblocking(False)
        stub = types.SimpleNamespace(_awake_at=clock.read())
        ages = []

        async def maintain():
            while True:
                await asyncio.sleep(nodes.MAINTENANCE_INTERVAL)
                stub._awake_at = clock.read()

        def read():
            one.recv(1)
            now = clock.read()
            ages.append(now - nodes.Node.date_input(stub, now))

        asyncio.get_running_loop().add_reader(one, read)
        task = asyncio.create_task(maintain())
        await asyncio.sleep(2.5 * nodes.MAINTENANCE_INTERVAL)
        other.send(b"x")
        time.sleep(0.5)
        for _ in range(3 * loops.MAX_ROUNDS):
            await asyncio.sleep(0)
        task.cancel()
        asyncio.get_running_loop().remove_reader(one)
        one.close()
        other.close()
        assert ages[0] > 0.4

    with asyncio.Runner(loop_factory=loops.make_loop) as runner:
        runner.run(main())


def test_data_of_a_stopped_process_is_dated():
    # A poll that is interrupted by a stop reports nothing, and the timers run first.
    one, other = socket.socketpair()
    child = os.fork()
    if not child:
        status = 1
        try:
            status = asyncio.Runner(loop_factory=loops.make_loop).run(report_age(one))
        finally:
            os._exit(status)
    one.close()
    time.sleep(0.5)
    os.kill(child, signal.SIGSTOP)
    time.sleep(0.3)
    other.send(b"x")
    time.sleep(0.3)
    os.kill(child, signal.SIGCONT)
    _, status = os.waitpid(child, 0)
    other.close()
    assert not status


async def report_age(one):
    """Return 0 if what arrives at a socket is dated as before a pause."""
    one.setblocking(False)
    stub = types.SimpleNamespace(_awake_at=clock.read())
    age = asyncio.get_running_loop().create_future()

    async def maintain():
        while True:
            await asyncio.sleep(nodes.MAINTENANCE_INTERVAL)
            stub._awake_at = clock.read()

    def read():
        if not age.done():
            now = clock.read()
            age.set_result(now - nodes.Node.date_input(stub, now))

    asyncio.get_running_loop().add_reader(one, read)
    task = asyncio.create_task(maintain())
    found = await age
    task.cancel()
    asyncio.get_running_loop().remove_reader(one)
    return int(found < 0.4)
