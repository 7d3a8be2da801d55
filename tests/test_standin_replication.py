"""Tests of replication, promotion and faults in a group of stand-in databases."""

import psycopg
import pytest

import builders_standins

CREATE = "CREATE TABLE letter (id int PRIMARY KEY, text text, at timestamptz, r float)"


@pytest.fixture
def group():
    with builders_standins.run_group(3) as running:
        with running.connect() as connection:
            connection.execute(CREATE)
        running.wait_replicated()
        yield running


def insert(connection, *numbers):
    for number in numbers:
        connection.execute(
            "INSERT INTO letter VALUES (%s, 'a', now(), random())", (number,)
        )


def read_all(group, index):
    with group.connect(index) as connection:
        return connection.execute("SELECT * FROM letter ORDER BY id").fetchall()


def read_status(group, index):
    with group.connect(index) as connection:
        return connection.execute(
            "SELECT endpoint, role, term, received, applied FROM cluster_log_status"
        ).fetchall()


def test_replicas_are_identical(group):
    with group.connect() as connection:
        insert(connection, 1, 2, 3)
        with pytest.raises(psycopg.Error):
            insert(connection, 1)
    group.wait_replicated()
    assert read_all(group, 0) == read_all(group, 1) == read_all(group, 2)


def test_replica_refuses_writes(group):
    with (
        group.connect(1) as connection,
        pytest.raises(psycopg.errors.ReadOnlySqlTransaction),
    ):
        insert(connection, 1)


def test_primary_reports_confirmed_offsets_of_replicas(group):
    with group.connect() as connection:
        insert(connection, 1)
    group.wait_until(
        lambda: all(row[3:] == (2, 2) for row in group.primary.read_status())
    )
    assert sorted(read_status(group, 0)) == [
        ("a1", "primary", 1, 2, 2),
        ("a2", "replica", 1, 2, 2),
        ("a3", "replica", 1, 2, 2),
    ]
    assert read_status(group, 1) == [("a2", "replica", 1, 2, 2)]


def test_lagging_replica_has_received_but_not_applied(group):
    replica = group.endpoints[1]
    replica.faults.change({"lag": [60.0, 60.0]})
    with group.connect() as connection:
        insert(connection, 1)
    group.wait_until(lambda: replica.database.received == 2)
    assert read_status(group, 1) == [("a2", "replica", 1, 2, 1)]
    assert read_all(group, 1) == []


def test_promotion_applies_all_received_entries(group):
    replica = group.endpoints[1]
    replica.faults.change({"lag": [60.0, 60.0]})
    with group.connect() as connection:
        insert(connection, 1)
    group.wait_until(lambda: replica.database.received == 2)
    with group.connect(1) as connection:
        promote = "SELECT cluster_promote(2)"
        assert connection.execute(promote).fetchone() == (2,)
        assert connection.execute(promote).fetchone() == (2,)
        with pytest.raises(psycopg.Error):
            connection.execute("SELECT cluster_promote(1)")
        insert(connection, 2)
    assert [row[0] for row in read_all(group, 1)] == [1, 2]


def test_old_primary_is_rewound(group):
    old, new, _ = group.endpoints
    old.faults.change({"cut_off": True})
    with group.connect() as connection:
        insert(connection, 1, 2)
    with group.connect(1) as connection:
        connection.execute("SELECT cluster_promote(2)")
        insert(connection, 3)
    assert [row[0] for row in read_all(group, 0)] == [1, 2]
    old.faults.change({"cut_off": False})
    host, port = new.address
    for index in (0, 2):
        with group.connect(index) as connection:
            connection.execute(f"SELECT cluster_follow(2, '{host}', {port})")
    group.wait_until(
        lambda: (
            all(e.database.applied == 2 for e in group.endpoints)
            and all(e.database.term == 2 for e in group.endpoints)
        )
    )
    assert read_all(group, 0) == read_all(group, 1) == read_all(group, 2)
    assert [row[0] for row in read_all(group, 0)] == [3]


def test_promotion_loses_entries_not_yet_received(group):
    for replica in group.endpoints[1:]:
        replica.faults.change({"receive_lag": 60.0})
    with group.connect() as connection:
        insert(connection, 1)
    with group.connect(1) as connection:
        promote = "SELECT cluster_promote(2)"
        assert connection.execute(promote).fetchone() == (1,)
    assert read_all(group, 1) == []


def test_demotion_ends_sessions_that_write(group):
    host, port = group.endpoints[1].address
    with group.connect() as writer, group.connect(1) as promoted:
        writer.execute("BEGIN")
        insert(writer, 1)
        promoted.execute("SELECT cluster_promote(2)")
        with group.connect() as other:
            other.execute(f"SELECT cluster_follow(2, '{host}', {port})")
        with pytest.raises(psycopg.OperationalError):
            writer.execute("COMMIT")
    assert read_all(group, 1) == []


def test_primary_of_an_older_term_is_not_followed(group):
    host, port = group.primary.address
    with group.connect(1) as connection:
        connection.execute("SELECT cluster_promote(5)")
        with pytest.raises(psycopg.Error, match="term 5"):
            connection.execute(f"SELECT cluster_follow(4, '{host}', {port})")


def test_cut_off_primary_still_serves_clients(group):
    group.primary.faults.change({"cut_off": True})
    with group.connect() as connection:
        insert(connection, 1)
    assert len(read_all(group, 0)) == 1
    group.wait_until(lambda: len(group.primary.read_status()) == 1)
    assert [row[3] for row in read_status(group, 1)] == [1]


def test_replica_far_behind_gets_a_snapshot(group, monkeypatch):
    monkeypatch.setattr("sardinehold_standins.engine.LOG_ENTRIES", 2)
    replica = group.endpoints[1]
    replica.faults.change({"cut_off": True})
    with group.connect() as connection:
        insert(connection, 1, 2, 3, 4, 5)
    replica.faults.change({"cut_off": False})
    group.wait_replicated()
    assert replica.counters["snapshots_loaded"] == 1
    assert read_all(group, 1) == read_all(group, 0)


def test_new_connections_work_beside_an_unresponsive_one(group):
    connection = group.connect()
    connection.execute("BEGIN")
    insert(connection, 1)
    assert group.call(group.primary.silence) >= 1
    connection.pgconn.send_query(b"SELECT 1")
    with group.connect() as other:
        assert other.execute("SELECT 1").fetchone() == (1,)
    assert connection.pgconn.is_busy()
    connection.close()


@pytest.mark.parametrize("how", ["close", "silent"])
def test_answer_is_lost_after_the_commit(group, how):
    group.primary.faults.change({"lose_answers": 1, "lose_how": how})
    connection = group.connect()
    connection.pgconn.send_query(b"INSERT INTO letter(id) VALUES (1)")
    group.wait_until(lambda: group.primary.counters.get("answers_lost") == 1)
    assert len(read_all(group, 0)) == 1
    if how == "close":
        with pytest.raises(psycopg.OperationalError):
            builders_standins.finish(connection)
    else:
        assert connection.pgconn.is_busy()
    connection.close()


def test_endpoint_keeps_its_data_after_an_outage(group):
    with group.connect() as connection:
        insert(connection, 1)
    group.primary.faults.change({"dead": True})
    group.call(group.primary.set_dead, True)
    with pytest.raises(psycopg.OperationalError):
        group.connect()
    group.primary.faults.change({"dead": False})
    group.call(group.primary.set_dead, False)
    assert len(read_all(group, 0)) == 1
