"""The proxy as a process: stop signals, drain and exit codes."""

import signal
import socket

import psycopg
import pytest

import builders_processes as processes


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with processes.run_fleet(tmp_path_factory.mktemp("fleet")) as running:
        yield running


@pytest.fixture
def proxy(fleet):
    """Start a proxy for one test and wait until it serves."""
    processes.stop(fleet.proxy, signal.SIGKILL)
    fleet.start_proxy()
    processes.wait_until(lambda: accepts(fleet))
    yield fleet.proxy
    processes.stop(fleet.proxy, signal.SIGKILL)


def connect(fleet, **options):
    return psycopg.connect(
        host=processes.HOST,
        port=fleet.port,
        user="me",
        dbname="letters",
        password=fleet.key.text,
        **options,
    )


def accepts(fleet):
    try:
        with connect(fleet, autocommit=True) as connection:
            return connection.execute("DELETE FROM letters WHERE id < 0")
    except psycopg.OperationalError:
        return None


def refuses_connections(fleet):
    with socket.socket() as probe:
        return probe.connect_ex((processes.HOST, fleet.port)) != 0


def test_idle_proxy_stops_at_once(fleet, proxy):
    with connect(fleet, autocommit=True) as idle:
        idle.execute("SELECT 1")
        assert processes.stop(proxy)[0] == 0
        with pytest.raises(psycopg.OperationalError, match="outcome: not run"):
            idle.execute("SELECT 1")


def test_open_transaction_finishes_before_the_proxy_stops(fleet, proxy):
    connection = connect(fleet)
    connection.execute("INSERT INTO letters (id, body) VALUES (1, 'kept')")
    proxy.send_signal(signal.SIGTERM)
    processes.wait_until(lambda: refuses_connections(fleet))
    connection.execute("INSERT INTO letters (id, body) VALUES (2, 'kept')")
    connection.commit()
    assert processes.stop(proxy, 0)[0] == 0
    fleet.start_proxy()
    processes.wait_until(lambda: accepts(fleet))
    with connect(fleet) as other:
        found = other.execute("SELECT id FROM letters WHERE id < 10").fetchall()
    assert found == [(1,), (2,)]


def test_second_signal_ends_at_once_and_says_what_is_cut(fleet, proxy):
    connection = connect(fleet)
    connection.execute("INSERT INTO letters (id, body) VALUES (20, 'cut')")
    proxy.send_signal(signal.SIGTERM)
    processes.wait_until(lambda: refuses_connections(fleet))
    code, output = processes.stop(proxy)
    assert code == 1
    assert (
        "received a second signal: interrupting 0 requests and 1 transactions" in output
    )
