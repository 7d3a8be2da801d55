"""Connections to endpoints, probes, and queries over a temporary connection."""

import asyncio
import contextlib

import anyio
import pytest

import builders_wire as builders
from sardinehold import answers
from sardinehold import endpoints
from sardinehold import errors
from sardinehold import wire
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import positions

pytestmark = pytest.mark.anyio

ANSWER_TIMEOUT = 0.05
"""Seconds that a test waits for an endpoint that does not answer."""


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def serve(make):
    """Listen on a free port with a protocol."""
    server = await asyncio.get_running_loop().create_server(make, builders.HOST, 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


class CannedServer(asyncio.Protocol):
    """Server that sends fixed bytes on each connection."""

    def __init__(self, data):
        self.data = data

    def connection_made(self, transport):
        transport.write(self.data)


def run_query(port, sql="SELECT 1", seconds=5.0):
    deadline = asyncio.get_running_loop().time() + seconds
    return endpoints.query(builders.HOST, port, "main", "sardinehold", sql, deadline)


async def test_query_returns_rows_as_texts():
    server = builders.FakeServer()
    async with serve(server.make) as port:
        rows = await run_query(port, answers.STATUS_QUERY)
    assert rows == [
        ("e1", "primary", "2", "9", "9"),
        ("e2", "replica", "2", "8", "7"),
    ]
    assert b"user\0sardinehold\0database\0main\0" in server.startups[0]


@pytest.mark.parametrize(
    ("sql", "outcome"),
    [("FAIL", errors.Outcome.NOT_RUN), ("DIE", errors.Outcome.UNKNOWN)],
)
async def test_failed_query_reports_its_outcome(sql, outcome):
    async with serve(builders.FakeServer().make) as port:
        with pytest.raises(errors.EndpointUnavailable) as caught:
            await run_query(port, sql)
    assert caught.value.outcome is outcome


async def test_query_without_an_answer_in_time_is_unknown():
    async with serve(builders.FakeServer().make) as port:
        with pytest.raises(errors.EndpointUnavailable) as caught:
            await run_query(port, "HANG", ANSWER_TIMEOUT)
    assert caught.value.outcome is errors.Outcome.UNKNOWN


PASSWORD = wire.build_authentication(wire.CLEARTEXT_PASSWORD)


OTHER_STRINGS = (
    wire.build_authentication(0)
    + wire.build_parameter("standard_conforming_strings", "off")
    + wire.build_ready("I")
)


@pytest.mark.parametrize(
    "data", [b"", PASSWORD, OTHER_STRINGS, b"\0" * 64, b"Z\xff\xff\xff\xff"]
)
async def test_endpoint_that_refuses_is_unavailable_and_not_run(data):
    async with serve(lambda: CannedServer(data)) as port:
        with pytest.raises(errors.EndpointUnavailable) as caught:
            await run_query(port, seconds=ANSWER_TIMEOUT)
    assert caught.value.outcome is errors.Outcome.NOT_RUN


async def test_closed_port_is_unavailable():
    async with serve(builders.FakeServer().make) as port:
        pass
    with pytest.raises(errors.EndpointUnavailable):
        await run_query(port)


@pytest.mark.parametrize("host", ["", "." * 70, "x" * 70, "no host"])
async def test_invalid_host_is_unavailable(host):
    address = endpoints.Address(host, 1, "main", "me")
    deadline = asyncio.get_running_loop().time() + 5
    with pytest.raises(errors.EndpointUnavailable):
        await endpoints.connect(address, deadline)


async def test_full_endpoint_is_reported_as_full():
    async with builders.run_path() as fleet:
        fleet.server.full = True
        caller = await fleet.connect()
        frames = await caller.ask("SELECT 1")
        assert builders.read_error(frames)["C"] == "57P03"
        assert fleet.engine.find_events(events.ConnectionFailed)[0].full


async def test_unsolicited_bytes_close_an_idle_connection():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.ask("SELECT 1")
        stray = wire.build_row(["of somebody else"]) + wire.build_ready("I")
        fleet.server.transports[0].write(stray)
        while not fleet.engine.find_events(events.ConnectionLost):
            await anyio.sleep(0.001)
        fleet.engine.idle.clear()
        frames = await caller.ask("SELECT 2")
        assert wire.parse_row(frames[1][1]) == ("SELECT 2",)


async def test_connection_closed_while_it_opens_is_dropped():
    async with builders.run_path() as fleet:
        opened = actions.OpenConnection(99, "e1", fleet.path.loop.time() + 5)
        fleet.engine.on_Tick = lambda now, event: [opened, actions.CloseConnection(99)]
        fleet.path.deliver(events.Tick())
        while not fleet.server.startups:
            await anyio.sleep(0.001)
        await anyio.sleep(0.01)
        assert fleet.path.connections == {}
        assert not fleet.engine.find_events(events.ConnectionOpened)


async def probe(fleet, fresh=False, endpoint="e1", seconds=5.0):
    deadline = fleet.path.loop.time() + seconds
    await fleet.path.prober.probe(actions.ProbeEndpoint(endpoint, fresh, deadline))


async def test_probe_reads_the_log_status():
    async with builders.run_path() as fleet:
        await probe(fleet)
        find_events = fleet.engine.find_events(events.StatusObserved)[0]
        assert (find_events.endpoint, find_events.role) == ("e1", "primary")
        assert find_events.applied == find_events.received == positions.Position(2, 9)
        assert find_events.confirmed == (("e2", positions.Position(2, 8)),)


async def test_probes_share_a_connection_unless_asked_for_a_fresh_one():
    async with builders.run_path() as fleet:
        for fresh in (False, False, True, False):
            await probe(fleet, fresh)
        assert len(fleet.engine.find_events(events.StatusObserved)) == 4
        assert len(fleet.server.startups) == 2


@pytest.mark.parametrize("fresh", [False, True])
async def test_probe_of_an_unresponsive_endpoint_fails_at_its_deadline(fresh):
    async with builders.run_path() as fleet, serve(lambda: CannedServer(b"")) as port:
        fleet.path.deliver(events.ViewChanged(builders.build_view(port)))
        await probe(fleet, fresh, seconds=ANSWER_TIMEOUT)
        failed = fleet.engine.find_events(events.ProbeFailed)
        assert [event.fresh for event in failed] == [fresh]


@pytest.mark.parametrize("fresh", [False, True])
async def test_probe_of_a_full_endpoint_does_not_fail(fresh):
    async with builders.run_path() as fleet:
        fleet.server.full = True
        await probe(fleet, fresh)
        assert fleet.path.registry.counters["probes_without_room"] == 1
        assert not fleet.engine.find_events(events.ProbeFailed)


async def test_probe_of_an_unknown_endpoint_fails():
    async with builders.run_path() as fleet:
        await probe(fleet, endpoint="gone")
        assert len(fleet.engine.find_events(events.ProbeFailed)) == 1


@pytest.mark.parametrize(
    "rows",
    [
        [],
        [("e1", "primary", "x", "9", "9")],
        [("e1", "primary", "2", None, "9")],
        [("e1", "primary")],
        [("e1", "primary", "2", "9", "9"), ("e2", "replica", "2", "", "7")],
    ],
)
def test_malformed_log_status_is_no_status(rows):
    assert answers.parse_status(rows) is None
