"""Callers' sessions over a real socket, with a fake engine and a fake endpoint."""

import asyncio
import struct

import anyio
import pytest

import builders_wire as builders
from sardinehold import action_handlers
from sardinehold import callers
from sardinehold import pending_callers
from sardinehold import wire
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import positions

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


def list_kinds(kind):
    for other in kind.__subclasses__():
        yield other
        yield from list_kinds(other)


def test_every_action_of_the_engine_has_a_performer():
    named = {k for k in list_kinds(actions.Action) if k.__module__ == actions.__name__}
    assert named == set(action_handlers.REGISTRY)


async def wait_until(condition):
    while not condition():
        await anyio.sleep(0.001)


async def test_simple_query_is_answered_byte_for_byte():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.ask("SELECT 1")
        assert builders.kinds(frames) == "TDCZ"
        assert wire.parse_row(frames[1][1]) == ("SELECT 1",)


async def test_startup_reports_the_parameters_that_drivers_need():
    async with builders.run_path() as fleet:
        options = "-c sardinehold.session=abc -c sardinehold.max_age=250ms"
        caller = await fleet.connect(options=options)
        parameters = {}
        for kind, payload in caller.greeting:
            if kind == b"S":
                name, value, _ = payload.decode().split("\0")
                parameters[name] = value
        assert parameters["client_encoding"] == "UTF8"
        assert parameters["standard_conforming_strings"] == "on"
        assert parameters["integer_datetimes"] == "on"
        assert parameters["sardinehold.session"] == "abc"
        opened = fleet.engine.find_events(events.SessionOpened)[0]
        assert (opened.route, opened.token, opened.max_age) == ("letters", "abc", 0.25)
        assert opened.source == builders.HOST


async def test_caller_key_never_reaches_the_endpoint():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.ask("SELECT 1")
        sent = b"".join(fleet.server.startups + fleet.server.messages)
        assert builders.KEY.encode() not in sent
        assert b"user\0sardinehold\0" in sent


async def test_wrong_key_is_refused_not_before_retry_at():
    async with builders.run_path() as fleet:
        fleet.engine.delay = 0.05
        loop = asyncio.get_running_loop()
        start = loop.time()
        caller = await fleet.connect(key="wrong")
        error = builders.read_error(caller.greeting)
        assert error["C"] == "28P01"
        assert error["D"] == "outcome: not run"
        assert error["H"] == "Ask for a key."
        assert loop.time() - start >= 0.05


async def test_open_route_asks_for_no_password():
    async with builders.run_path() as fleet:
        caller = await fleet.connect(route="public")
        assert builders.kinds(caller.greeting).startswith("RS")
        assert caller.greeting[0][1] == b"\0\0\0\0"


@pytest.mark.parametrize("code", [wire.TLS_CODE, wire.GSS_CODE])
async def test_encryption_that_is_not_offered_is_declined(code):
    async with builders.run_path() as fleet:
        caller = await builders.Caller.open(fleet.port)
        caller.write(wire.build_packet(code))
        assert await caller.reader.readexactly(1) == b"N"


@pytest.mark.parametrize(
    ("options", "sql"),
    [
        ('-c search_path="Letters"', "SET search_path = 'Letters'"),
        (r"-c a.b=x\ y\\z", r"SET a.b = 'x y\z'"),
        (r"-ca.b=it\'s", "SET a.b = 'it''s'"),
        ("--statement-timeout=a-b", "SET statement_timeout = 'a-b'"),
    ],
)
async def test_startup_options_are_read_as_by_postgresql(options, sql):
    # Quotes were removed as in a shell, and "-" in a value became "_".
    async with builders.run_path() as fleet:
        await fleet.connect(options=options)
        assert fleet.server.statements_run == [sql]


@pytest.mark.parametrize(
    ("value", "sql"),
    [
        ("a, B", "'a', 'b'"),
        ('"$user", "A""b"', """'$user', 'A"b'"""),
        ("a,b'; select 1; --", "'a,b''; select 1; --'"),
        ("a,", "'a,'"),
        ("", "''"),
    ],
)
async def test_startup_list_is_not_taken_for_one_name(value, sql):
    # SET search_path = 'a, b' names one schema, "a, b".
    async with builders.run_path() as fleet:
        await fleet.connect(search_path=value)
        assert fleet.server.statements_run == [f"SET search_path = {sql}"]


@pytest.mark.parametrize("name", ["Client_Encoding", "CLIENT_ENCODING"])
async def test_encoding_is_refused_in_any_case_of_its_name(name):
    async with builders.run_path() as fleet:
        caller = await fleet.connect("public", **{name: "latin1"})
        assert caller.greeting[-1][0] == b"E"
        assert fleet.server.statements_run == []


async def test_startup_settings_are_set_before_the_greeting():
    async with builders.run_path() as fleet:
        caller = await fleet.connect(search_path="letters", application_name="psql")
        assert builders.kinds(caller.greeting).endswith("KZ")
        assert fleet.server.statements_run == ["SET search_path = 'letters'"]


async def test_refused_statement_never_leaves_and_states_outcome_and_remedy():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.ask("COPY letters FROM STDIN")
        error = builders.read_error(frames)
        assert error["C"] == "0A000"
        assert error["D"] == "outcome: not run"
        assert error["H"]
        assert fleet.server.messages == []
        assert builders.kinds(await caller.ask("SELECT 1")) == "TDCZ"


async def test_write_shows_the_token_before_ready_and_reports_the_position():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.ask("INSERT INTO letters VALUES (1)")
        assert builders.kinds(frames) == "TDCSZ"
        assert frames[-2][1] == b"sardinehold.session\0t1\0"
        answered = fleet.engine.find_events(events.RequestAnswered)[0]
        assert answered.position == positions.Position(2, 9)
        assert answered.confirmed == (("e2", positions.Position(2, 8)),)


async def test_write_is_held_until_the_engine_acknowledges():
    async with builders.run_path() as fleet:
        fleet.engine.hold = True
        caller = await fleet.connect()
        caller.write(wire.build_query("INSERT INTO letters VALUES (1)"))
        await wait_until(lambda: fleet.engine.held)
        assert not caller.reader._buffer
        action = fleet.engine.held.pop()
        fleet.engine.on_Tick = lambda now, event: [action]
        fleet.path.deliver(events.Tick())
        assert builders.kinds(await caller.read_until(b"Z")) == "TDCSZ"


async def test_refused_acknowledgement_replaces_the_held_answer():
    async with builders.run_path() as fleet:
        fleet.engine.hold = True
        caller = await fleet.connect()
        caller.write(wire.build_query("INSERT INTO letters VALUES (1)"))
        await wait_until(lambda: fleet.engine.held)
        held = fleet.engine.held.pop()
        error = builders.errors.OutcomeUnknown("The lease lapsed.", "Read it back.")
        refusal = actions.Refuse(held.request_id, held.session_id, error)
        fleet.engine.on_Tick = lambda now, event: [refusal]
        fleet.path.deliver(events.Tick())
        frames = await caller.read_until(b"Z")
        assert builders.kinds(frames) == "EZ"
        assert builders.read_error(frames)["D"] == "outcome: unknown"


async def test_large_answer_streams_and_is_complete():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(wire.build_query("SELECT 'ROWS', 100, 100000"))
        frames = await caller.read_until(b"Z")
        assert builders.kinds(frames) == "T" + "D" * 100 + "CZ"
        assert all(len(payload) == 100006 for _, payload in frames[1:-2])
        assert len(fleet.engine.find_events(events.AnswerStarted)) == 1


async def test_slow_caller_stops_the_endpoint_from_sending():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(wire.build_query("SELECT 'ROWS', 400, 100000"))
        await wait_until(lambda: any(c.paused for c in fleet.path.callers.values()))
        await anyio.sleep(0.05)
        session = next(iter(fleet.path.callers.values()))
        limit = 4 * len(fleet.path.buffer)
        assert session.transport.get_write_buffer_size() < limit
        frames = await caller.read_until(b"Z")
        assert len(frames) == 403


async def test_large_returning_streams_rows_but_holds_the_end():
    async with builders.run_path() as fleet:
        fleet.engine.hold = True
        caller = await fleet.connect()
        caller.write(wire.build_query("INSERT 'ROWS', 50, 100000"))
        frames = [await caller.read_frame() for _ in range(41)]
        await wait_until(lambda: fleet.engine.held)
        action = fleet.engine.held.pop()
        held = fleet.path.requests[action.request_id].answer.held
        assert held.endswith(wire.build_complete("SELECT 50") + wire.build_ready("I"))
        fleet.engine.on_Tick = lambda now, event: [action]
        fleet.path.deliver(events.Tick())
        frames += await caller.read_until(b"Z")
        assert builders.kinds(frames) == "T" + "D" * 50 + "CSZ"


async def test_pipelined_queries_are_answered_in_order():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        texts = [f"SELECT {n}" for n in range(50)]
        caller.write(b"".join(wire.build_query(text) for text in texts))
        for text in texts:
            frames = await caller.read_until(b"Z")
            assert wire.parse_row(frames[1][1]) == (text,)


async def test_transaction_stays_on_its_connection():
    async with builders.run_path() as fleet:
        first, second = await fleet.connect(), await fleet.connect()
        begin_frames = await first.ask("BEGIN")
        assert begin_frames[-1][1] == b"T"
        await second.ask("SELECT 2")
        await first.ask("SELECT 1")
        commit_frames = await first.ask("COMMIT")
        assert commit_frames[-1][1] == b"I"
        assert len(fleet.server.startups) == 2
        used = [
            e.connection_id for e in fleet.engine.find_events(events.RequestAnswered)
        ]
        assert used == [1, 2, 1, 1]


async def test_lost_connection_is_outcome_unknown():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.ask("INSERT DIE")
        error = builders.read_error(frames)
        assert (error["C"], error["D"]) == ("08007", "outcome: unknown")
        assert builders.kinds(await caller.ask("SELECT 1")) == "TDCZ"


async def test_failed_statement_is_sent_again_when_the_engine_retries():
    async with builders.run_path() as fleet:
        fleet.engine.retries = 1
        caller = await fleet.connect()
        frames = await caller.ask("SELECT FAIL")
        assert builders.kinds(frames) == "EZ"
        assert fleet.server.statements_run == ["SELECT FAIL", "SELECT FAIL"]


async def test_set_up_statements_run_first_and_their_answers_are_suppressed():
    async with builders.run_path() as fleet:
        fleet.engine.setup = ("SET a = 1", "SET b = 2")
        caller = await fleet.connect()
        frames = await caller.ask("SELECT 1")
        assert wire.parse_row(frames[1][1]) == ("SELECT 1",)
        assert fleet.server.statements_run == ["SET a = 1", "SET b = 2", "SELECT 1"]


async def test_failed_set_up_prevents_sending_the_request():
    async with builders.run_path() as fleet:
        fleet.engine.setup = ("SET FAIL",)
        caller = await fleet.connect()
        caller.write(wire.build_query("INSERT INTO letters VALUES (1)"))
        await wait_until(lambda: fleet.engine.find_events(events.DispatchFailed))
        assert builders.kinds(await caller.read_until(b"Z")) == "TDCSZ"
        assert fleet.server.statements_run == [
            "SET FAIL",
            "INSERT INTO letters VALUES (1)",
        ]
        assert list(fleet.path.connections) == [2]


async def cancel(fleet, process, secret):
    caller = await builders.Caller.open(fleet.port)
    caller.write(wire.build_cancel(process, secret))
    assert await caller.reader.read() == b""


async def test_cancel_request_reaches_only_the_statement_that_it_names():
    async with builders.run_path() as fleet:
        caller, other = await fleet.connect(), await fleet.connect()
        keys = next(p for kind, p in caller.greeting if kind == b"K")
        process, secret = struct.unpack("!ii", keys)
        caller.write(wire.build_query("SELECT HANG"))
        await wait_until(lambda: "SELECT HANG" in fleet.server.statements_run)
        await cancel(fleet, process, secret ^ 1)
        await cancel(fleet, process + 1, secret)
        assert not fleet.engine.find_events(events.RequestCancelled)
        await cancel(fleet, process, secret)
        frames = await caller.read_until(b"Z")
        assert builders.read_error(frames)["C"] == "57014"
        assert fleet.server.cancels == [(1, 7)]
        assert builders.kinds(await other.ask("SELECT 2")) == "TDCZ"
        assert list(fleet.path.connections) == [2]
        assert len(fleet.server.startups) == 2


async def test_cancel_in_a_transaction_leaves_it_to_its_session():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        keys = next(p for kind, p in caller.greeting if kind == b"K")
        await caller.ask("BEGIN")
        await caller.ask("SELECT 1")
        caller.write(wire.build_query("SELECT HANG"))
        await wait_until(lambda: "SELECT HANG" in fleet.server.statements_run)
        fleet.server.status_after_cancel = "T"
        await cancel(fleet, *struct.unpack("!ii", keys))
        assert builders.kinds(await caller.read_until(b"Z")) == "EZ"
        frames = await caller.ask("ROLLBACK")
        assert frames[-1] == (b"Z", b"I")
        await caller.ask("SELECT 2")
        assert list(fleet.path.connections) == [2]


async def test_answer_on_a_closed_connection_is_discarded():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(wire.build_query("SELECT HANG"))
        await wait_until(lambda: "SELECT HANG" in fleet.server.statements_run)
        arrived = fleet.engine.find_events(events.RequestArrived)[0]
        error = builders.errors.DeadlineExceeded("Too late.", "Wait.")
        ids = arrived.request_id, arrived.session_id
        fleet.engine.on_Tick = lambda now, event: [
            actions.CloseConnection(1),
            actions.Refuse(*ids, error),
        ]
        fleet.path.deliver(events.Tick())
        assert builders.kinds(await caller.read_until(b"Z")) == "EZ"
        fleet.server.cancel((1, 7))
        assert wire.parse_row((await caller.ask("SELECT 1"))[1][1]) == ("SELECT 1",)


async def test_caller_that_leaves_is_reported_and_its_write_finishes():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(wire.build_query("INSERT HANG"))
        await wait_until(lambda: "INSERT HANG" in fleet.server.statements_run)
        caller.close()
        await wait_until(lambda: fleet.engine.find_events(events.SessionClosed))
        fleet.server.cancel((1, 7))
        await wait_until(lambda: fleet.engine.find_events(events.RequestAnswered))


@pytest.mark.parametrize(
    "message",
    [
        b"Q\x7f\xff\xff\xff",
        b"Q\0\0\0\1",
        wire.build_frame(b"?"),
        wire.build_frame(b"Q", b"SELECT 1"),
        wire.build_frame(b"Q", b"SELECT '\xff'\0"),
        wire.build_frame(b"P", b"x"),
        wire.build_frame(b"B", b"x\0"),
    ],
)
async def test_broken_message_ends_the_session_with_an_error(message):
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(message)
        frames = await caller.read_until(b"E")
        error = builders.read_error(frames)
        assert (error["S"], error["C"]) == ("FATAL", "08P01")
        assert await caller.reader.read() == b""


async def test_oldest_startup_is_closed_above_the_maximum(monkeypatch):
    monkeypatch.setattr(pending_callers, "MAX_STARTUPS", 20)
    async with builders.run_path() as fleet:
        idle = [await builders.Caller.open(fleet.port) for _ in range(200)]
        assert await idle[0].reader.read() == b""
        assert len(fleet.path.pending_callers) <= 20
        assert len(fleet.path.callers) <= 20
        caller = await fleet.connect()
        assert builders.kinds(await caller.ask("SELECT 1")) == "TDCZ"


async def test_startup_past_its_deadline_is_closed(monkeypatch):
    monkeypatch.setattr(pending_callers, "STARTUP_SECONDS", 0.0)
    monkeypatch.setattr(pending_callers, "SWEEP_SECONDS", 0.01)
    async with builders.run_path() as fleet:
        caller = await builders.Caller.open(fleet.port)
        caller.write(b"\0")
        assert await caller.reader.read() == b""


async def test_reading_stops_while_the_backlog_exceeds_its_limit(monkeypatch):
    monkeypatch.setattr(callers, "MAX_BACKLOG", 1000)
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(wire.build_query("SELECT HANG"))
        await wait_until(lambda: "SELECT HANG" in fleet.server.statements_run)
        session = next(iter(fleet.path.callers.values()))
        caller.write(wire.build_query("SELECT 2") * 100)
        await wait_until(lambda: session.is_reading_paused)
        assert not session.transport.is_reading()
        fleet.server.cancel((1, 7))
        for _ in range(101):
            await caller.read_until(b"Z")
        assert session.transport.is_reading()


async def test_withdrawn_key_ends_an_open_session():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        session_id = next(iter(fleet.path.callers))
        error = builders.errors.KeyWithdrawn("The key is withdrawn.", "Ask for one.")
        action = actions.CloseSession(session_id, error)
        fleet.engine.on_Tick = lambda now, event: [action]
        fleet.path.deliver(events.Tick())
        frames = await caller.read_until(b"E")
        assert builders.read_error(frames)["C"] == "28000"
        assert await caller.reader.read() == b""
