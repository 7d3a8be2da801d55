import pytest

import builders_engine as builders
from sardinehold import document
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import view as views

WRITE = "insert into t values (1)"


def make_driver(members=1, connections=20, **parts):
    group = builders.make_group(connections=connections)
    view = builders.make_view(groups=[group])
    view.members = {
        f"vm-{i}": views.Member(f"vm-{i}", "zone-1", "", "") for i in range(members)
    }
    return builders.Driver(view, granted=False, **parts)


def opened(driver, endpoint="letters-0"):
    return [a for a in driver.all(actions.OpenConnection) if a.endpoint == endpoint]


@pytest.mark.parametrize(
    ("members", "connections", "share"),
    [(9, 20, 1), (9, 45, 1), (20, 20, 1), (21, 20, 0)],
)
def test_share_before_any_grant_is_the_base_at_most(members, connections, share):
    driver = make_driver(members, connections)
    sessions = [driver.open() for _ in range(8)]
    for session in sessions:
        driver.advance(0.05)
        driver.ask(session, WRITE)
    assert len(opened(driver)) == share


def test_grant_raises_and_lowers_the_share():
    driver = make_driver(20)
    sessions = [driver.open() for _ in range(6)]
    requests = []
    for session in sessions:
        driver.advance(0.05)
        requests.append(driver.ask(session, WRITE))
    driver.send(events.ConnectionsGranted("letters-0", 4, driver.now + 1))
    driver.advance(0.05)
    assert len(opened(driver)) == 4
    driver.send(events.ConnectionsGranted("letters-0", 2, driver.now + 1))
    for request in requests[:4]:
        if driver.find(actions.Dispatch, request):
            driver.answer(request, 1)
    assert len(driver.node.endpoints["letters-0"].connections) == 2


def test_lapsed_grant_leaves_the_base():
    driver = make_driver(10)
    driver.open()
    driver.send(events.ConnectionsGranted("letters-0", 9, driver.now + 1))
    driver.advance(1.1)
    assert driver.node.endpoints["letters-0"].share == 1


def test_connections_are_opened_a_few_at_a_time():
    driver = make_driver()
    driver.auto = False
    driver.open()
    driver.send(events.ConnectionsGranted("letters-0", 20, builders.FAR))
    driver.send(events.TokensGranted("desk", 100, builders.FAR))
    for session in [driver.open() for _ in range(10)]:
        driver.ask(session, WRITE)
    assert len(opened(driver)) == 2


def test_demand_is_reported_to_the_allocator():
    driver = make_driver(9)
    for session in [driver.open() for _ in range(6)]:
        driver.advance(0.05)
        driver.ask(session, WRITE)
    driver.advance(0.5)
    wanted = [
        a.connections
        for a in driver.all(actions.RequestConnections)
        if a.endpoint == "letters-0"
    ]
    assert max(wanted) >= 6


def test_full_endpoint_stays_healthy_and_opening_backs_off():
    driver = make_driver()
    driver.auto = False
    driver.open()
    times = []
    for _ in range(200):
        driver.now += 0.05
        before = len(opened(driver))
        driver.send(events.Tick())
        if len(opened(driver)) > before:
            times.append(driver.now)
        for connection in list(driver.node.connections.values()):
            if not connection.is_open:
                number = connection.connection_id
                driver.send(events.ConnectionFailed(number, full=True))
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert driver.node.endpoints["letters-0"].is_healthy
    assert len(times) < 20
    assert max(gaps) > 1.0


def test_unresponsive_connection_leaves_its_endpoint_healthy():
    driver = make_driver()
    request = driver.ask(driver.open(), "select 1")
    first = driver.find(actions.Dispatch, request)
    driver.advance(1.5, step=0.05)
    second = driver.find(actions.Dispatch, request)
    closed = [a.connection_id for a in driver.all(actions.CloseConnection)]
    assert first.connection_id in closed
    assert second.connection_id != first.connection_id
    assert driver.node.endpoints[first.endpoint].is_healthy
    assert driver.find(actions.ReportEndpoint) is None


def test_dead_endpoint_is_reported_until_it_answers_again():
    driver = make_driver()
    driver.open()
    driver.auto = False
    driver.send(events.ProbeFailed("letters-0", fresh=False))
    assert driver.find(actions.ReportEndpoint) is None
    assert driver.find(actions.ProbeEndpoint).fresh
    for _ in range(30):
        driver.send(events.ProbeFailed("letters-0", fresh=True))
        driver.advance(0.1)
    reports = [a for a in driver.all(actions.ReportEndpoint) if not a.healthy]
    assert 3 <= len(reports) <= 5
    driver.observe("letters-0")
    assert driver.find(actions.ReportEndpoint).healthy


def test_reads_leave_a_dead_replica():
    driver = make_driver()
    request = driver.ask(driver.open(), "select 1")
    first = driver.find(actions.Dispatch, request).endpoint
    driver.send(events.ProbeFailed(first, fresh=True))
    assert driver.find(actions.Dispatch, request).endpoint != first


def test_long_queue_is_refused_with_the_expected_wait():
    teams = [document.Team("desk", 1e6, 10**6, keys=(builders.KEYS["desk"].record,))]
    view = builders.make_view(teams=teams, groups=[builders.make_group(connections=1)])
    driver = builders.Driver(view)
    sessions = [driver.open() for _ in range(300)]
    driver.send(events.TokensGranted("desk", 1000, builders.FAR))
    requests = [driver.ask(session, WRITE) for session in sessions]
    refused = [driver.error(number) for number in requests if driver.error(number)]
    assert refused
    assert all(isinstance(error, errors.QueueFull) for error in refused)
    assert "expected wait is" in refused[0].message


def test_started_read_survives_its_endpoint_becoming_unhealthy():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    request = driver.ask(session, "SELECT 1")
    dispatch = driver.find(actions.Dispatch, request)
    driver.send(events.AnswerStarted(request))
    driver.auto = False
    driver.send(events.ProbeFailed(dispatch.endpoint, fresh=True))
    closed = [action.connection_id for action in driver.all(actions.CloseConnection)]
    assert dispatch.connection_id not in closed
    driver.answer(request)
    assert driver.find(actions.Acknowledge, request) is not None
