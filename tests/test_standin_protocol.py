"""Tests of psycopg and asyncpg with a stand-in database, without a proxy."""

import asyncio
import datetime

import asyncpg
import psycopg
import pytest

import builders_standins

CREATE = (
    "CREATE TABLE reading (id int PRIMARY KEY, place text, glow bigint, "
    "checked boolean, raw bytea, taken timestamptz, level double precision)"
)


@pytest.fixture
def group():
    with builders_standins.run_group() as running:
        with running.connect() as connection:
            connection.execute(CREATE)
        yield running


def run_asyncpg(group, scenario):
    async def run():
        host, port = group.primary.address
        connection = await asyncpg.connect(
            host=host, port=port, user="desk", database="main"
        )
        try:
            return await scenario(connection)
        finally:
            await connection.close()

    return asyncio.run(run())


@pytest.mark.parametrize("binary", [False, True])
def test_psycopg_round_trips_values(group, binary):
    row = (
        1,
        "Curepipe",
        2**40,
        True,
        b"\x00\xff",
        datetime.datetime(2026, 1, 2, 3, 4, 5, 678, datetime.UTC),
        1.5,
    )
    with group.connect() as connection:
        placeholders = ", ".join(["%b" if binary else "%s"] * len(row))
        connection.execute(f"INSERT INTO reading VALUES ({placeholders})", row)
        query = "SELECT * FROM reading WHERE id = %s"
        assert connection.execute(query, (1,), binary=binary).fetchall() == [row]


def test_asyncpg_round_trips_values(group):
    taken = datetime.datetime(2026, 1, 2, 3, 4, 5, 678, datetime.UTC)
    row = (1, "Curepipe", 2**40, True, b"\x00\xff", taken, 1.5)

    async def scenario(connection):
        await connection.execute(
            "INSERT INTO reading VALUES ($1,$2,$3,$4,$5,$6,$7)", *row
        )
        return await connection.fetchrow("SELECT * FROM reading WHERE id = $1", 1)

    assert tuple(run_asyncpg(group, scenario)) == row


@pytest.mark.parametrize(
    ("query", "arguments", "expected"),
    [
        ("SELECT $1::int + 1", (4,), 5),
        ("SELECT $1::text || 'b'", ("a",), "ab"),
        ("SELECT count(*) FROM reading WHERE place = $1", ("x",), 0),
        ("SELECT sum(i) FROM generate_series(1, $1) AS g(i)", (4,), 10),
        ("SELECT EXISTS (SELECT 1 FROM reading)", (), False),
        ("SELECT '$1;--' || $1::text", ("x",), "$1;--x"),
    ],
)
def test_types_are_inferred(group, query, arguments, expected):
    async def scenario(connection):
        return await connection.fetchval(query, *arguments)

    assert run_asyncpg(group, scenario) == expected


def test_several_result_sets(group):
    with group.connect() as connection:
        cursor = connection.execute("SELECT 1; SELECT 'a;b'; SELECT 3")
        found = [cursor.fetchone()[0]]
        while cursor.nextset():
            found.append(cursor.fetchone()[0])
    assert found == [1, "a;b", 3]


def test_statements_of_one_query_are_one_transaction(group):
    with group.connect() as connection:
        with pytest.raises(psycopg.errors.UniqueViolation):
            connection.execute(
                "INSERT INTO reading(id) VALUES (1); INSERT INTO reading(id) VALUES (1)"
            )
        assert count_rows(connection) == 0


def test_pipeline_is_rolled_back_up_to_its_sync(group):
    with group.connect() as connection:
        with pytest.raises(psycopg.errors.UniqueViolation):
            insert_in_pipeline(connection, 1, 2, 1)
        assert count_rows(connection) == 0


def test_prepared_statement_is_reused(group):
    with group.connect() as connection:
        for number in range(8):
            query = "INSERT INTO reading(id) VALUES (%s) RETURNING id"
            assert connection.execute(query, (number,)).fetchone() == (number,)
        assert count_rows(connection) == 8


def test_rollback_to_a_savepoint_keeps_the_transaction(group):
    with group.connect() as connection:
        with connection.transaction():
            connection.execute("INSERT INTO reading(id) VALUES (1)")
            with pytest.raises(psycopg.errors.UniqueViolation):
                insert_in_transaction(connection, 2, 1)
            connection.execute("INSERT INTO reading(id) VALUES (3)")
        found = connection.execute("SELECT id FROM reading ORDER BY id").fetchall()
    assert found == [(1,), (3,)]


def test_failed_transaction_only_accepts_its_end(group):
    with group.connect() as connection:
        connection.execute("BEGIN")
        with pytest.raises(psycopg.errors.UndefinedTable):
            connection.execute("SELECT * FROM absent")
        with pytest.raises(psycopg.errors.InFailedSqlTransaction):
            connection.execute("SELECT 1")
        assert connection.execute("COMMIT").statusmessage == "ROLLBACK"


def test_readers_see_only_committed_data(group):
    with group.connect() as writer, group.connect() as reader:
        writer.execute("BEGIN")
        writer.execute("INSERT INTO reading(id) VALUES (1)")
        assert count_rows(writer) == 1
        assert count_rows(reader) == 0
        writer.execute("COMMIT")
        assert count_rows(reader) == 1


def test_second_writer_waits_and_can_be_cancelled(group):
    with group.connect() as first, group.connect() as second:
        first.execute("BEGIN")
        first.execute("INSERT INTO reading(id) VALUES (1)")
        second.pgconn.send_query(b"INSERT INTO reading(id) VALUES (2)")
        group.wait_until(lambda: group.primary.writer.count_waiting() == 1)
        second.cancel_safe()
        result = builders_standins.finish(second)
        assert result.error_field(psycopg.pq.DiagnosticField.SQLSTATE) == b"57014"
        first.execute("COMMIT")
        assert count_rows(first) == 1


def test_cancel_with_a_wrong_secret_does_nothing(group):
    with group.connect() as connection:
        process = connection.info.backend_pid
        connection.pgconn.send_query(b"SELECT pg_sleep(0.05)")
        group.wait_until(lambda: group.primary.slots.free == 2)
        group.call(group.primary.cancel, process, 1)
        result = builders_standins.finish(connection)
        assert result.status == psycopg.pq.ExecStatus.TUPLES_OK


def test_rollback_restores_settings(group):
    with group.connect() as connection:
        connection.execute("SET application_name = 'desk'")
        connection.execute("BEGIN")
        connection.execute("SET application_name TO 'other'")
        assert connection.info.parameter_status("application_name") == "other"
        connection.execute("ROLLBACK")
        shown = connection.execute("SHOW application_name").fetchone()
        assert shown == ("desk",)
        connection.execute("DISCARD ALL")
        assert connection.execute("SHOW application_name").fetchone() == ("",)


def test_temporary_table_is_private_to_its_session(group):
    with group.connect() as first, group.connect() as second:
        first.execute("CREATE TEMP TABLE note (id int, text text)")
        first.execute("INSERT INTO note VALUES (%s, 'note')", (1,))
        assert first.execute("SELECT * FROM note").fetchall() == [(1, "note")]
        with pytest.raises(psycopg.errors.UndefinedTable):
            second.execute("SELECT * FROM note")
        first.execute("DISCARD ALL")
        with pytest.raises(psycopg.errors.UndefinedTable):
            first.execute("SELECT * FROM note")
    assert group.call(group.primary.database.dump).keys() == {"reading"}


def test_advisory_lock_is_released_with_its_session(group):
    query = "SELECT pg_try_advisory_lock(7)"
    with group.connect() as first, group.connect() as second:
        assert first.execute(query).fetchone() == (True,)
        assert second.execute(query).fetchone() == (False,)
        first.close()
        group.wait_until(lambda: len(group.primary.sessions) == 1)
        assert second.execute(query).fetchone() == (True,)


def test_latency_preserves_the_order(group):
    group.primary.faults.change({"latency": 0.002})
    with group.connect() as connection:
        with connection.pipeline():
            cursors = [connection.execute("SELECT %s::int", (i,)) for i in range(50)]
        assert [cursor.fetchone()[0] for cursor in cursors] == list(range(50))


def test_large_values_and_results(group):
    text = "é" * 1_000_000
    with group.connect() as connection:
        connection.execute(
            "INSERT INTO reading(id, place, raw) VALUES (1, %s, %s)",
            (text, bytes(range(256)) * 4000),
        )
        found = connection.execute("SELECT place, raw FROM reading").fetchone()
        assert found == (text, bytes(range(256)) * 4000)
        query = "SELECT repeat('x', 1000) FROM generate_series(1, 5000)"
        assert sum(len(row[0]) for row in connection.execute(query)) == 5_000_000


def test_connections_beyond_the_limit_are_refused():
    with builders_standins.run_group(connections=2) as group:
        with group.connect(), group.connect():
            with pytest.raises(psycopg.OperationalError, match="too many clients"):
                group.connect()
            assert group.primary.counters["connections_refused"] == 1
        group.wait_until(lambda: not group.primary.sessions)
        group.connect().close()


def test_statements_beyond_the_slots_wait():
    with (
        builders_standins.run_group(slots=1) as group,
        group.connect() as first,
        group.connect() as second,
    ):
        first.pgconn.send_query(b"SELECT pg_sleep(30)")
        group.wait_until(lambda: group.primary.slots.free == 0)
        second.pgconn.send_query(b"SELECT 1")
        group.wait_until(lambda: group.primary.slots.count_waiting() == 1)
        first.cancel_safe()
        builders_standins.finish(first)
        assert builders_standins.finish(second).get_value(0, 0) == b"1"


def test_wrong_password_is_refused():
    with builders_standins.run_group(password="right") as group:
        with pytest.raises(psycopg.OperationalError, match="authentication failed"):
            group.connect(password="wrong")
        group.connect(password="right").close()


def test_callers_key_is_counted(group):
    with group.connect() as connection:
        connection.execute("SELECT 'shk_00000000_secret'")
    assert group.primary.counters["keys_seen"] == 1


def count_rows(connection):
    return connection.execute("SELECT count(*) FROM reading").fetchone()[0]


def insert_in_pipeline(connection, *numbers):
    with connection.pipeline():
        insert(connection, *numbers)


def insert_in_transaction(connection, *numbers):
    with connection.transaction():
        insert(connection, *numbers)


def insert(connection, *numbers):
    for number in numbers:
        connection.execute("INSERT INTO reading(id) VALUES (%s)", (number,))
