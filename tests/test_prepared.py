"""Prepared statements over a real socket, with a fake engine and a fake endpoint."""

import pytest

import builders_wire as builders
from sardinehold import prepared
from sardinehold import wire
from sardinehold.core import events

pytestmark = pytest.mark.anyio

EXECUTE = builders.EXECUTE


@pytest.fixture
def anyio_backend():
    return "asyncio"


def list_messages(fleet, kind):
    return [message for message in fleet.server.messages if message[:1] == kind]


async def test_unnamed_statement_passes_byte_for_byte():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        messages = [builders.parse("", "SELECT 1"), builders.bind(""), EXECUTE]
        frames = await caller.send(*messages)
        assert builders.kinds(frames) == "12DCZ"
        assert fleet.server.messages == [*messages, wire.SYNC]


async def test_named_statement_follows_its_session_to_another_connection():
    async with builders.run_path() as fleet:
        caller, other = await fleet.connect(), await fleet.connect()
        frames = await caller.send(builders.parse("s", "SELECT 1"))
        assert builders.kinds(frames) == "1Z"
        await other.ask("BEGIN")
        frames = await caller.send(builders.bind("s"), builders.describe("s"), EXECUTE)
        assert builders.kinds(frames) == "2tTDCZ"
        assert len(fleet.server.startups) == 2
        assert len(list_messages(fleet, b"P")) == 2


async def test_sessions_share_what_a_connection_has_parsed():
    async with builders.run_path() as fleet:
        caller, other = await fleet.connect(), await fleet.connect()
        for session, name in ((caller, "a"), (other, "b")):
            frames = await session.send(
                builders.parse(name, "SELECT 1"), builders.bind(name), EXECUTE
            )
            assert builders.kinds(frames) == "12DCZ"
        assert len(list_messages(fleet, b"P")) == 1


async def test_same_name_means_another_text_in_another_session():
    async with builders.run_path() as fleet:
        caller, other = await fleet.connect(), await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        await other.send(builders.parse("s", "SELECT 2"))
        for session, text in ((caller, "SELECT 1"), (other, "SELECT 2")):
            frames = await session.send(builders.bind("s"), EXECUTE)
            assert wire.parse_row(frames[1][1]) == (text,)


async def test_unnamed_statement_of_an_earlier_sequence_is_parsed_again():
    async with builders.run_path() as fleet:
        caller, other = await fleet.connect(), await fleet.connect()
        await caller.send(builders.parse("", "SELECT 1"))
        await other.send(builders.parse("", "SELECT 2"))
        frames = await caller.send(builders.bind(""), EXECUTE)
        assert builders.kinds(frames) == "2DCZ"
        assert wire.parse_row(frames[1][1]) == ("SELECT 1",)


async def test_prepare_with_flush_is_answered_before_the_sync():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(builders.parse("s", "SELECT 1") + builders.describe("s"))
        caller.write(builders.FLUSH)
        assert builders.kinds(await caller.read_until(b"T")) == "1tT"
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert builders.kinds(frames) == "2DCZ"


async def test_flush_in_a_transaction_runs_the_messages_so_far():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        begin = [builders.parse("", "BEGIN"), builders.bind(""), EXECUTE]
        write = [builders.parse("", "INSERT 1"), builders.bind(""), EXECUTE]
        caller.write(b"".join([*begin, *write, builders.FLUSH]))
        frames = [await caller.read_frame() for _ in range(8)]
        assert builders.kinds(frames) == "12DC12DC"
        commit = [builders.parse("", "COMMIT"), builders.bind(""), EXECUTE]
        frames = await caller.send(*commit)
        assert frames[-1] == (b"Z", b"I")
        assert fleet.server.statements_run == ["BEGIN", "INSERT 1", "COMMIT"]


def run(name, sql):
    return [builders.parse(name, sql), builders.bind(name), EXECUTE]


async def test_flush_after_a_write_keeps_the_sequence_in_one_transaction():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(*run("s", "SELECT 1"))
        caller.write(b"".join([*run("", "INSERT 1"), builders.FLUSH]))
        assert builders.kinds(await caller.read_until(b"C")) == "12DC"
        caller.write(b"".join([builders.parse("s", "SELECT 1"), builders.FLUSH]))
        assert await caller.read_frame() == (b"1", b"")
        caller.write(b"".join([builders.bind("s"), EXECUTE, builders.FLUSH]))
        assert builders.kinds(await caller.read_until(b"C")) == "2DC"
        syncs = list_messages(fleet, b"S")
        frames = await caller.send(*run("", "INSERT 2"))
        assert builders.kinds(frames) == "12DCSZ"
        assert len(list_messages(fleet, b"S")) == len(syncs) + 1
        assert fleet.engine.find_events(events.RequestAnswered)[-1].position


async def test_error_after_a_flushed_write_skips_to_the_sync():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(b"".join([*run("", "INSERT 1"), builders.FLUSH]))
        await caller.read_until(b"C")
        caller.write(b"".join([*run("", "SELECT FAIL"), builders.FLUSH]))
        assert builders.kinds(await caller.read_until(b"E")) == "12E"
        frames = await caller.send(*run("t", "INSERT 2"))
        assert builders.kinds(frames) == "SZ"
        assert fleet.server.statements_run == ["INSERT 1", "SELECT FAIL"]
        frames = await caller.send(builders.bind("t"), EXECUTE)
        assert builders.read_error(frames)["C"] == "26000"


async def test_caller_that_disconnects_after_a_flush_breaks_the_connection():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(b"".join([*run("", "INSERT 1"), builders.FLUSH]))
        await caller.read_until(b"C")
        caller.close()
        while not fleet.engine.find_events(events.ConnectionLost):
            await builders.anyio.sleep(0.001)
        assert fleet.path.connections == {}


@pytest.mark.parametrize("sql", ["BEGIN", "COMMIT", "SET search_path = x"])
async def test_transaction_control_after_a_flushed_write_ends_the_session(sql):
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        caller.write(b"".join([*run("", "INSERT 1"), builders.FLUSH]))
        await caller.read_until(b"C")
        caller.write(b"".join(run("", sql)))
        error = builders.read_error(await caller.read_until(b"E"))
        assert (error["S"], error["C"]) == ("FATAL", "0A000")
        assert error["D"] == "outcome: unknown"


async def test_error_after_a_flush_skips_to_the_sync():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        read = [builders.parse("", "SELECT FAIL"), builders.bind(""), EXECUTE]
        caller.write(b"".join([*read, builders.FLUSH]))
        assert builders.kinds(await caller.read_until(b"E")) == "12E"
        frames = await caller.send(*read)
        assert builders.kinds(frames) == "Z"
        assert fleet.server.statements_run == ["SELECT FAIL"]


async def test_failed_sequence_reverts_its_statements():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        frames = await caller.send(
            builders.parse("", "SELECT FAIL"),
            builders.bind(""),
            EXECUTE,
            builders.parse("s", "SELECT 2"),
        )
        assert builders.kinds(frames) == "12EZ"
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert wire.parse_row(frames[1][1]) == ("SELECT 1",)
        frames = await caller.send(builders.parse("t", "SELECT 2"))
        assert builders.kinds(frames) == "1Z"
        assert builders.kinds(await caller.send(builders.bind("t"), EXECUTE)) == "2DCZ"


@pytest.mark.parametrize("name", ["", "missing"])
async def test_unknown_statement_is_refused_and_never_sent(name):
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.send(builders.bind(name), EXECUTE)
        assert builders.read_error(frames)["C"] == "26000"
        assert fleet.server.messages == []


@pytest.mark.parametrize(
    "forget",
    [
        lambda caller: caller.send(builders.close("s")),
        lambda caller: caller.ask("DEALLOCATE s"),
        lambda caller: caller.ask("DEALLOCATE ALL"),
        lambda caller: caller.ask("DEALLOCATE PREPARE S"),
        lambda caller: caller.ask("DISCARD ALL"),
    ],
)
async def test_closed_statement_is_unknown(forget):
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        await forget(caller)
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert builders.read_error(frames)["C"] == "26000"
        frames = await caller.send(builders.parse("s", "SELECT 1"))
        assert builders.kinds(frames) == "1Z"


@pytest.mark.parametrize("name", ['"S"', '"all"'])
async def test_statement_outlives_deallocate_of_another_name(name):
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        await caller.ask(f"DEALLOCATE {name}")
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert builders.kinds(frames) == "2DCZ"


@pytest.mark.parametrize("what", ["PLANS", "TEMP", "SEQUENCES"])
async def test_statements_stay_prepared_after_other_discards(what):
    # Every DISCARD was taken for DISCARD ALL.
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        await caller.ask(f"DISCARD {what}")
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert builders.kinds(frames) == "2DCZ"


@pytest.mark.parametrize("value", ["'deallocate'", "'Discard All'"])
async def test_value_of_a_setting_is_not_taken_for_a_command(value):
    # The connection's statements were forgotten, so that Parse failed with 42P05.
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        fleet.engine.setup = (f"SET application_name TO {value}",)
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert builders.kinds(frames) == "2DCZ"
        assert len(list_messages(fleet, b"P")) == 1


async def test_connection_closes_its_least_recently_used_statement(monkeypatch):
    monkeypatch.setattr(prepared, "MAX_CONNECTION_STATEMENTS", 3)
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        for number in range(10):
            frames = await caller.send(
                builders.parse(f"s{number}", f"SELECT {number}"),
                builders.bind(f"s{number}"),
                EXECUTE,
            )
            assert builders.kinds(frames) == "12DCZ"
        assert len(fleet.server.connections[1].prepared) <= 3
        frames = await caller.send(builders.bind("s0"), EXECUTE)
        assert wire.parse_row(frames[1][1]) == ("SELECT 0",)


async def test_session_holds_a_bounded_number_of_statements(monkeypatch):
    monkeypatch.setattr(prepared, "MAX_SESSION_STATEMENTS", 2)
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        for name in ("a", "b"):
            await caller.send(builders.parse(name, "SELECT 1"))
        frames = await caller.send(builders.parse("c", "SELECT 1"))
        assert builders.read_error(frames)["C"] == "0A000"


async def test_setting_of_the_proxy_is_answered_locally_step_by_step():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        frames = await caller.send(
            builders.parse("s", "SHOW sardinehold.max_age"), builders.describe("s")
        )
        assert builders.kinds(frames) == "1tTZ"
        frames = await caller.send(builders.bind("s"), EXECUTE)
        assert builders.kinds(frames) == "2DCZ"
        assert fleet.server.messages == []


async def test_pipeline_mixes_named_and_unnamed_statements():
    async with builders.run_path() as fleet:
        caller = await fleet.connect()
        await caller.send(builders.parse("s", "SELECT 1"))
        frames = await caller.send(
            builders.bind("s"),
            EXECUTE,
            builders.parse("", "SELECT 2"),
            builders.bind(""),
            EXECUTE,
            builders.parse("t", "SELECT 3"),
            builders.bind("t"),
            EXECUTE,
            builders.close("s"),
        )
        assert builders.kinds(frames) == "2DC12DC12DC3Z"
        rows = [wire.parse_row(p)[0] for kind, p in frames if kind == b"D"]
        assert rows == ["SELECT 1", "SELECT 2", "SELECT 3"]
