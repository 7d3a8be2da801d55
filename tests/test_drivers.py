"""Unmodified drivers through a real proxy process before real databases."""

import asyncio
import pathlib
import re
import threading

import asyncpg
import psycopg
import pytest

import builders_processes as processes


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with processes.run_fleet(tmp_path_factory.mktemp("fleet")) as running:
        processes.wait_until(lambda: accepts(running))
        yield running


def connect(fleet, **options):
    options = {"dbname": "letters", "password": fleet.key.text, **options}
    return psycopg.connect(host=processes.HOST, port=fleet.port, user="me", **options)


def accepts(fleet):
    """Return whether the proxy has a view and runs a write."""
    try:
        with connect(fleet, autocommit=True) as connection:
            return connection.execute("DELETE FROM letters WHERE id < 0")
    except psycopg.OperationalError:
        return None


@pytest.fixture
def session(fleet):
    with connect(fleet, autocommit=True) as connection:
        yield connection


def test_session_reads_its_own_writes(session):
    for number in range(100, 110):
        session.execute(
            "INSERT INTO letters (id, body) VALUES (%s, %s)", (number, "new")
        )
        query = "SELECT body FROM letters WHERE id = %s"
        assert session.execute(query, (number,)).fetchone() == ("new",)


def test_token_carries_the_session_to_another_connection(fleet, session):
    session.execute("INSERT INTO letters (id, body) VALUES (200, 'roams')")
    token = session.info.parameter_status("sardinehold.session")
    options = f"-c sardinehold.session={token}"
    with connect(fleet, autocommit=True, options=options) as other:
        found = other.execute("SELECT body FROM letters WHERE id = 200").fetchone()
    assert found == ("roams",)


def test_transaction_commits_and_rolls_back(fleet):
    with connect(fleet) as connection:
        connection.execute("INSERT INTO letters (id, body) VALUES (300, 'gone')")
        connection.rollback()
        connection.execute("INSERT INTO letters (id, body) VALUES (301, 'kept')")
        connection.commit()
        query = "SELECT id FROM letters WHERE id IN (300, 301)"
        assert connection.execute(query).fetchall() == [(301,)]


def test_error_in_a_transaction_is_passed_on(fleet):
    with connect(fleet) as connection:
        with pytest.raises(psycopg.Error):
            connection.execute("SELECT missing FROM nowhere")
        connection.rollback()
        assert connection.execute("SELECT 1").fetchone() == (1,)


def test_prepared_statements_survive_other_sessions(fleet, session):
    with connect(fleet, autocommit=True) as other:
        for number in range(20):
            query = "SELECT %s::int + 1"
            found = session.execute(query, (number,), prepare=True).fetchone()
            assert found == (number + 1,)
            other.execute("SELECT 1")


def test_pipeline_in_a_transaction_and_without(fleet, session):
    with connect(fleet) as connection, connection.pipeline():
        insert = "INSERT INTO letters (id, body) VALUES (400, 'p') RETURNING id"
        assert connection.execute(insert).fetchone() == (400,)
        connection.commit()
    with session.pipeline():
        cursors = [session.execute("SELECT %s::int", (n,)) for n in range(30)]
    assert [cursor.fetchone() for cursor in cursors] == [(n,) for n in range(30)]


def test_several_result_sets(session):
    cursor = session.execute("SELECT 1; SELECT 2")
    assert cursor.fetchone() == (1,)
    assert cursor.nextset()
    assert cursor.fetchone() == (2,)


def test_large_text_and_binary_values(session):
    text, data = "é" * 500_000, bytes(range(256)) * 8_192
    session.execute("INSERT INTO letters VALUES (500, %s, %s)", (text, data))
    query = "SELECT body, data FROM letters WHERE id = 500"
    assert session.execute(query).fetchone() == (text, data)
    assert session.execute(query, binary=True).fetchone() == (text, data)


def read_memory(fleet):
    status = pathlib.Path(f"/proc/{fleet.proxy.pid}/status").read_text("ascii")
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) * 1024


def test_result_of_50_mb_passes_in_bounded_memory(fleet, session):
    for number in range(25):
        session.execute(
            "INSERT INTO letters (id, body) VALUES (%s, %s)",
            (600 + number, "x" * 2_000_000),
        )
    before = read_memory(fleet)
    query = "SELECT body FROM letters WHERE id BETWEEN 600 AND 624"
    rows = session.execute(query).fetchall()
    assert sum(len(body) for (body,) in rows) == 50_000_000
    assert read_memory(fleet) - before < 10_000_000


def test_copy_is_refused_with_a_remedy(session):
    with pytest.raises(psycopg.errors.FeatureNotSupported) as caught:
        session.execute("COPY letters FROM STDIN")
    assert caught.value.diag.message_detail == "outcome: not run"
    assert caught.value.diag.message_hint
    assert session.execute("SELECT 1").fetchone() == (1,)


def test_settings_of_options_and_of_the_proxy(fleet):
    options = "-c statement_timeout=5000 -c sardinehold.max_age=2s"
    with connect(fleet, autocommit=True, options=options) as connection:
        shown = connection.execute("SHOW statement_timeout").fetchone()
        assert shown == ("5000",)
        assert connection.execute("SHOW sardinehold.max_age").fetchone() == ("2s",)


def test_cancel_stops_a_statement(session):
    threading.Timer(0.2, session.cancel).start()
    with pytest.raises(psycopg.errors.QueryCanceled):
        session.execute("SELECT pg_sleep(20)")
    assert session.execute("SELECT 1").fetchone() == (1,)


def test_wrong_key_is_refused_and_open_route_needs_none(fleet):
    with pytest.raises(psycopg.OperationalError, match="outcome: not run"):
        connect(fleet, password="shk_0_0")
    with connect(fleet, dbname="public", password=None) as connection:
        assert connection.execute("SELECT 1").fetchone() == (1,)


async def use_asyncpg(fleet):
    connection = await asyncpg.connect(
        host=processes.HOST,
        port=fleet.port,
        database="letters",
        user="me",
        password=fleet.key.text,
    )
    insert, query = (
        "INSERT INTO letters (id, body) VALUES ($1, $2)",
        "SELECT body FROM letters",
    )
    for number in range(700, 710):
        await connection.execute(insert, number, "a")
        found = await connection.fetchval(f"{query} WHERE id = $1", number)
        assert found == "a"
    async with connection.transaction():
        await connection.execute(insert, 720, "in")
        rows = [row async for row in connection.cursor(f"{query} WHERE id = 720")]
        assert [row["body"] for row in rows] == ["in"]
    await connection.executemany(insert, [(n, "m") for n in range(730, 830)])
    count = "SELECT count(*) FROM letters WHERE id BETWEEN 730 AND 829"
    assert await connection.fetchval(count) == 100
    with pytest.raises(asyncpg.UndefinedTableError):
        await connection.fetch("SELECT missing FROM nowhere")
    with pytest.raises(asyncpg.FeatureNotSupportedError):
        await connection.execute("COPY letters FROM STDIN")
    statement = await connection.prepare("SELECT $1::int + 1")
    assert [await statement.fetchval(n) for n in range(5)] == [1, 2, 3, 4, 5]
    await connection.close()


def test_asyncpg(fleet):
    asyncio.run(use_asyncpg(fleet))
