"""Drivers against a real proxy: memory, errors, settings, cursors.

Complements test_processes.
"""

import asyncio
import base64
import pathlib
import re

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
    """Return a true value once the proxy has a view and runs a write."""
    try:
        with connect(fleet, autocommit=True) as connection:
            return connection.execute("DELETE FROM letters WHERE id < 0")
    except psycopg.OperationalError:
        return None


@pytest.fixture
def session(fleet):
    with connect(fleet, autocommit=True) as connection:
        yield connection


def test_error_in_a_transaction_is_forwarded(fleet):
    with connect(fleet) as connection:
        with pytest.raises(psycopg.Error):
            connection.execute("SELECT missing FROM nowhere")
        connection.rollback()
        assert connection.execute("SELECT 1").fetchone() == (1,)


def test_prepared_statements_work_beside_other_sessions(fleet, session):
    with connect(fleet, autocommit=True) as other:
        for number in range(20):
            query = "SELECT %s::int + 1"
            found = session.execute(query, (number,), prepare=True).fetchone()
            assert found == (number + 1,)
            other.execute("SELECT 1")


def read_memory(fleet):
    status = pathlib.Path(f"/proc/{fleet.proxy.pid}/status").read_text("ascii")
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) * 1024


def test_result_of_50_mb_uses_bounded_memory(fleet, session):
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


async def use_asyncpg(fleet):
    connection = await asyncpg.connect(
        host=processes.HOST,
        port=fleet.port,
        database="letters",
        user="me",
        password=fleet.key.text,
    )
    insert = "INSERT INTO letters (id, body) VALUES ($1, $2)"
    async with connection.transaction():
        await connection.execute(insert, 720, "in")
        query = "SELECT body FROM letters WHERE id = 720"
        rows = [row async for row in connection.cursor(query)]
        assert [row["body"] for row in rows] == ["in"]
    with pytest.raises(asyncpg.UndefinedTableError):
        await connection.fetch("SELECT missing FROM nowhere")
    with pytest.raises(asyncpg.FeatureNotSupportedError):
        await connection.execute("COPY letters FROM STDIN")
    assert await connection.fetchval("SELECT 2") == 2
    await connection.close()


def test_asyncpg_reads_cursors_and_continues_after_errors(fleet):
    asyncio.run(use_asyncpg(fleet))


def test_table_of_a_caller_does_not_stand_for_the_log_status(session):
    # The position of a write is read with the names of its caller's session.
    offset, varint = 1_000_000, b"\xc0\x84\x3d"
    session.execute(
        "CREATE TEMP TABLE cluster_log_status"
        " (endpoint text, role text, term int8, received int8, applied int8)"
    )
    with session.transaction():
        for name, role in (("e0", "primary"), ("e1", "replica"), ("e2", "replica")):
            session.execute(
                "INSERT INTO cluster_log_status VALUES (%s, %s, 1, %s, %s)",
                (name, role, offset, offset),
            )
    token = session.execute("SHOW sardinehold.session").fetchone()[0]
    floors = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    assert varint not in floors
