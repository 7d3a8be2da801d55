"""Both drivers against real proxy processes in front of stand-in databases."""

import asyncio
import importlib
import pathlib
import socket
import subprocess
import sys

import asyncpg
import psycopg
import pytest

ROOT = pathlib.Path(__file__).parent.parent
LARGE_ROWS = 50_000
LARGE_ROW = 1000
SLOTS = 3
MAX_STATUS_POLLS = 300

PROXY_INI = """\
[vm]
name = entry-1
zone = dallas
[proxy]
listen = 127.0.0.1:{port}
peer_listen = 127.0.0.1:0
[platform]
url = http://127.0.0.1:1
"""


@pytest.fixture(scope="module")
def launcher():
    sys.path.insert(0, str(ROOT / "examples" / "local"))
    try:
        return importlib.import_module("fleet")
    finally:
        sys.path.pop(0)


@pytest.fixture(scope="module")
def fleet(launcher):
    with launcher.Fleet(free_ports=True, lag="0:0", with_console=False) as running:
        yield running


@pytest.fixture
def connection(fleet):
    dsn = fleet.format_dsn("entry-1", "letters", "triage")
    with psycopg.connect(dsn, autocommit=True) as connected:
        yield connected


def run_asyncpg(fleet, scenario, proxy="entry-2"):
    async def run():
        host, port = fleet.proxies[proxy].split(":")
        connected = await asyncpg.connect(
            host=host,
            port=int(port),
            user="triage",
            password=fleet.keys["triage"],
            database="letters",
        )
        try:
            return await scenario(connected)
        finally:
            await connected.close()

    return asyncio.run(run())


def test_psycopg_passes_parameters(connection):
    connection.execute(
        "INSERT INTO letter (id, n, body) VALUES (%s, %s, %s)", ("p1", 2**40, "é'\"")
    )
    query = "SELECT id, n, body FROM letter WHERE id = %s"
    assert connection.execute(query, ("p1",)).fetchone() == ("p1", 2**40, "é'\"")


def test_asyncpg_passes_parameters(fleet):
    async def scenario(connected):
        insert = "INSERT INTO letter (id, n, body) VALUES ($1, $2, $3)"
        await connected.execute(insert, "a1", 2**40, "é")
        query = "SELECT id, n, body FROM letter WHERE id = $1"
        return tuple(await connected.fetchrow(query, "a1"))

    assert run_asyncpg(fleet, scenario) == ("a1", 2**40, "é")


def test_psycopg_prepares_after_five_runs(connection):
    for number in range(12):
        query = "SELECT %s::int + 1"
        assert connection.execute(query, (number,)).fetchone() == (number + 1,)
    prepared = connection.execute("SELECT %s::int * 2", (4,), prepare=True)
    assert prepared.fetchone() == (8,)


def test_asyncpg_reuses_a_prepared_statement(fleet):
    async def scenario(connected):
        statement = await connected.prepare("SELECT $1::int + 1")
        return [await statement.fetchval(number) for number in range(8)]

    assert run_asyncpg(fleet, scenario) == list(range(1, 9))


def test_psycopg_transactions(connection):
    with connection.transaction():
        connection.execute("INSERT INTO letter (id, n) VALUES ('t1', 1)")
        with connection.transaction(force_rollback=True):
            connection.execute("UPDATE letter SET n = 2 WHERE id = 't1'")
    with connection.transaction(force_rollback=True):
        connection.execute("INSERT INTO letter (id, n) VALUES ('t2', 1)")
    query = "SELECT id, n FROM letter WHERE id IN ('t1', 't2')"
    assert connection.execute(query).fetchall() == [("t1", 1)]


def test_asyncpg_transactions(fleet):
    async def scenario(connected):
        async with connected.transaction():
            await connected.execute("INSERT INTO letter (id, n) VALUES ('t3', 1)")
        transaction = connected.transaction()
        await transaction.start()
        await connected.execute("UPDATE letter SET n = $1 WHERE id = $2", 5, "t3")
        await transaction.rollback()
        return await connected.fetchval("SELECT n FROM letter WHERE id = $1", "t3")

    assert run_asyncpg(fleet, scenario) == 1


def test_psycopg_pipelines_writes_and_reads(connection):
    with connection.pipeline():
        for number in range(5):
            query = "INSERT INTO letter (id, n) VALUES ('l0', %s)"
            connection.execute(query, (number,))
        count = connection.execute("SELECT count(*) FROM letter WHERE id = 'l0'")
    assert count.fetchone() == (5,)


def test_psycopg_fetches_inside_a_pipeline(connection):
    with connection.pipeline():
        cursors = [connection.execute("SELECT %s::int", (i,)) for i in range(5)]
        found = [cursor.fetchone()[0] for cursor in cursors]
    assert found == [0, 1, 2, 3, 4]


def test_psycopg_fetches_after_a_write_inside_a_pipeline(connection):
    with connection.pipeline():
        connection.execute("INSERT INTO letter (id, n) VALUES ('l1', 1)")
        cursors = [connection.execute("SELECT %s::int", (i,)) for i in range(5)]
        found = [cursor.fetchone()[0] for cursor in cursors]
    assert found == [0, 1, 2, 3, 4]


def test_asyncpg_executes_many_at_once(fleet):
    async def scenario(connected):
        rows = [(f"m{number}", number) for number in range(20)]
        await connected.executemany("INSERT INTO letter (id, n) VALUES ($1, $2)", rows)
        query = "SELECT count(*) FROM letter WHERE id LIKE $1"
        return await connected.fetchval(query, "m%")

    assert run_asyncpg(fleet, scenario) == 20


def test_several_result_sets(connection):
    cursor = connection.execute("SELECT 1; SELECT 'two'; SELECT 3")
    found = [cursor.fetchone()[0]]
    while cursor.nextset():
        found.append(cursor.fetchone()[0])
    assert found == [1, "two", 3]


def test_psycopg_reads_fifty_megabytes(connection):
    query = "SELECT repeat('x', %s::int) FROM generate_series(1, %s::int)"
    cursor = connection.execute(query, (LARGE_ROW, LARGE_ROWS))
    assert sum(len(row[0]) for row in cursor) == LARGE_ROW * LARGE_ROWS


def test_asyncpg_reads_fifty_megabytes(fleet):
    async def scenario(connected):
        query = "SELECT repeat('x', $1::int) FROM generate_series(1, $2::int)"
        rows = await connected.fetch(query, LARGE_ROW, LARGE_ROWS, timeout=60)
        return sum(len(row[0]) for row in rows)

    assert run_asyncpg(fleet, scenario) == LARGE_ROW * LARGE_ROWS


@pytest.mark.parametrize("binary", [False, True])
def test_psycopg_passes_large_values(connection, binary):
    connection.execute("CREATE TABLE IF NOT EXISTS scan (id int, raw bytea, text text)")
    connection.execute("DELETE FROM scan")
    raw, text = bytes(range(256)) * 8000, "ü" * 1_000_000
    mark = "%b" if binary else "%s"
    connection.execute(f"INSERT INTO scan VALUES (1, {mark}, {mark})", (raw, text))
    query = "SELECT raw, text FROM scan WHERE id = %s"
    assert connection.execute(query, (1,), binary=binary).fetchone() == (raw, text)


def test_asyncpg_passes_large_values(fleet):
    raw, text = bytes(range(256)) * 8000, "ü" * 1_000_000

    async def scenario(connected):
        create = "CREATE TABLE IF NOT EXISTS proof (id int, raw bytea, text text)"
        await connected.execute(create)
        await connected.execute("INSERT INTO proof VALUES ($1, $2, $3)", 1, raw, text)
        return tuple(await connected.fetchrow("SELECT raw, text FROM proof"))

    assert run_asyncpg(fleet, scenario) == (raw, text)


def test_session_sees_its_write_on_another_proxy(fleet, connection):
    connection.execute("INSERT INTO letter (id, n) VALUES ('roams', 1)")
    token = connection.info.parameter_status("sardinehold.session")
    dsn = fleet.format_dsn("entry-3", "letters", "triage")
    options = f"-c sardinehold.session={token}"
    with psycopg.connect(dsn, autocommit=True, options=options) as other:
        query = "SELECT n FROM letter WHERE id = 'roams'"
        assert other.execute(query).fetchall() == [(1,)]


def test_open_route_needs_no_key(fleet):
    dsn = fleet.format_dsn("entry-1", "public")
    with psycopg.connect(dsn, autocommit=True) as reader:
        assert reader.execute("SELECT title FROM page").fetchone()[0]


def test_wrong_key_is_refused(fleet):
    dsn = fleet.format_dsn("entry-1", "letters", "triage")
    with pytest.raises(psycopg.OperationalError, match="SH201|28P01|key"):
        psycopg.connect(dsn, password="shk_00000000_wrong")


def test_cancel_ends_the_statement_it_names(fleet, connection):
    connection.pgconn.send_query(b"SELECT pg_sleep(30)")
    assert any(has_busy_slot(fleet) for _ in range(MAX_STATUS_POLLS))
    connection.cancel_safe()
    result = connection.pgconn.get_result()
    assert result.error_field(psycopg.pq.DiagnosticField.SQLSTATE) == b"57014"
    assert connection.pgconn.get_result() is None
    assert connection.execute("SELECT 1").fetchone() == (1,)


def has_busy_slot(fleet):
    return any(
        fleet.http.get(f"http://{address}/status").json()["free_slots"] < SLOTS
        for address in fleet.controls.values()
    )


def test_no_endpoint_saw_a_key(fleet):
    for address in fleet.controls.values():
        status = fleet.http.get(f"http://{address}/status").json()
        assert "keys_seen" not in status["counters"]


def test_launcher_stops_all_it_started_after_a_failure(launcher, monkeypatch):
    fleet = launcher.Fleet(free_ports=True, with_console=False)
    started = fleet.running
    processes = []

    def fail(name):
        processes.extend(started.values())
        raise RuntimeError(name)

    monkeypatch.setattr(fleet, "start_proxy", fail)
    with pytest.raises(RuntimeError), fleet:
        pass
    assert len(processes) == 10
    assert not any(process.is_running for process in processes)


@pytest.mark.parametrize(
    ("change", "words"),
    [
        (("[platform]\nurl = http://127.0.0.1:1\n", ""), "platform"),
        (("zone = dallas\n", ""), "zone"),
        (("listen = 127.0.0.1:0", "listen = nowhere"), "listen"),
        (("zone = dallas", "zone = dallas\ncolour = red"), "colour"),
        (("[platform]", "[caller_tls]\ncertificate = /absent.pem\n[platform]"), "cert"),
    ],
    ids=["missing section", "missing key", "wrong type", "unknown key", "certificate"],
)
def test_bad_settings_give_one_line(tmp_path, change, words):
    text = PROXY_INI.format(port=0).replace(*change, 1)
    assert text != PROXY_INI.format(port=0)
    assert_refused(tmp_path, text, words)


def test_port_in_use_gives_one_line(tmp_path):
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = taken.getsockname()[1]
        assert_refused(tmp_path, PROXY_INI.format(port=port), str(port))


def assert_refused(folder, text, words):
    path = folder / "proxy.ini"
    path.write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", "sardinehold.cli", "proxy", "--settings", path]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=30)
    lines = ended.stderr.splitlines()
    assert ended.returncode == 2
    assert len(lines) == 1
    assert words in lines[0]
