import pytest

import builders_engine as builders
from sardinehold import document
from sardinehold import errors
from sardinehold import keys
from sardinehold.core import actions
from sardinehold.core import events


def make_driver(**parts):
    return builders.Driver(builders.make_view(**parts))


def withdraw(name="desk", version=2):
    """Return a view in which a team's key is withdrawn."""
    teams = []
    for team, key in builders.KEYS.items():
        record = key.record
        if team == name:
            record = document.Key(record.prefix, record.salt, record.digest, True)
        teams.append(document.Team(team, 100, 100, keys=(record,)))
    return builders.make_view(version, builders.make_document(version, teams=teams))


@pytest.mark.parametrize("has_view", [True, False])
def test_sessions_are_refused_until_view_and_lease_are_there(has_view):
    driver = builders.Driver()
    if has_view:
        driver.send(events.ViewChanged(builders.make_view()))
    else:
        driver.send(events.LeaseRenewed(10.0, 10.0))
    driver.open()
    refusal = driver.find(actions.SessionRefused)
    assert isinstance(refusal.error, errors.LeaseLapsed)


@pytest.mark.parametrize(
    ("key", "route", "kind"),
    [
        ("", "main", errors.AuthenticationError),
        ("shk_00_11", "main", errors.AuthenticationError),
        (keys.generate_key().text, "main", errors.AuthenticationError),
        (builders.KEYS["desk"].text + "0", "main", errors.AuthenticationError),
        (builders.KEYS["desk"].text, "none", errors.UnknownRoute),
    ],
)
def test_wrong_key_or_route_is_refused(key, route, kind):
    driver = make_driver()
    driver.open(key, route)
    assert type(driver.find(actions.SessionRefused).error) is kind
    assert driver.find(actions.SessionAccepted) is None


def test_team_outside_the_route_is_refused():
    routes = [document.Route("main", "letters", ("print",))]
    driver = make_driver(routes=routes)
    driver.open()
    refusal = driver.find(actions.SessionRefused)
    assert isinstance(refusal.error, errors.AuthenticationError)


def test_wrong_keys_are_slowed_by_source():
    driver = make_driver()
    times = []
    for _ in range(4):
        driver.open("wrong", source="10.0.0.1")
        times.append(driver.find(actions.SessionRefused).retry_at)
    driver.open("wrong", source="10.0.0.2")
    assert times == sorted(set(times))
    assert driver.find(actions.SessionRefused).retry_at == times[0]


def test_open_route_needs_no_key_and_has_tokens_of_its_own():
    driver = make_driver()
    session = driver.open("", "public")
    request = driver.ask(session, "select 1")
    assert driver.find(actions.SessionAccepted).team == ""
    assert driver.find(actions.Dispatch, request)
    teams = {action.team for action in driver.all(actions.RequestTokens)}
    assert teams == {"route:public"}


def test_withdrawn_key_ends_sessions_and_queued_requests_at_once():
    driver = make_driver()
    session = driver.open()
    other = driver.open(builders.KEYS["print"].text)
    driver.auto = False
    driver.node.balances["desk"].withdraw(1000)
    queued = driver.ask(session, "select 1")
    driver.send(events.ViewChanged(withdraw()))
    closed = driver.find(actions.CloseSession)
    assert closed.session_id == session
    assert isinstance(closed.error, errors.KeyWithdrawn)
    assert driver.error(queued).outcome is errors.Outcome.NOT_RUN
    assert other in driver.node.sessions
    assert session not in driver.node.sessions


def test_withdrawal_during_a_write_says_that_its_outcome_is_unknown():
    driver = make_driver()
    session = driver.open()
    request = driver.ask(session, "insert into t values (1)")
    driver.send(events.ViewChanged(withdraw()))
    assert driver.error(request).outcome is errors.Outcome.UNKNOWN
    driver.answer(request, offset=1)
    assert driver.find(actions.Acknowledge, request) is None
    assert not driver.node.requests


def test_withdrawn_key_opens_no_session():
    driver = make_driver()
    driver.send(events.ViewChanged(withdraw()))
    driver.open()
    assert isinstance(
        driver.find(actions.SessionRefused).error, errors.AuthenticationError
    )


def test_removed_route_ends_its_sessions():
    driver = make_driver()
    driver.open("", "public")
    content = builders.make_document(
        2, routes=[document.Route("main", "letters", ("desk",))]
    )
    driver.send(events.ViewChanged(builders.make_view(2, content)))
    assert isinstance(driver.find(actions.CloseSession).error, errors.KeyWithdrawn)


def test_older_view_never_comes_back_into_force():
    driver = make_driver()
    driver.send(events.ViewChanged(withdraw(version=5)))
    driver.send(events.ViewChanged(builders.make_view(4)))
    driver.open()
    assert driver.find(actions.SessionRefused)
    assert driver.node.view.version == 5


def test_nothing_runs_past_the_serve_deadline():
    driver = builders.Driver(builders.make_view(), write=1.0, serve=2.0)
    session = driver.open()
    driver.now = 1.5
    write = driver.ask(session, "insert into t values (1)")
    read = driver.ask(session, "select 1")
    driver.answer(read)
    driver.now = 2.5
    late = driver.ask(session, "select 1")
    driver.open()
    assert isinstance(driver.error(write), errors.LeaseLapsed)
    assert driver.error(write).outcome is errors.Outcome.NOT_RUN
    assert driver.error(read) is None
    assert isinstance(driver.error(late), errors.LeaseLapsed)
    assert isinstance(driver.find(actions.SessionRefused).error, errors.LeaseLapsed)


def test_caller_gone_drops_queued_work_and_lets_a_write_finish():
    driver = make_driver()
    first, second = driver.open(), driver.open()
    write = driver.ask(first, "insert into t values (1)")
    driver.auto = False
    driver.node.balances["desk"].withdraw(1000)
    driver.ask(second, "select 1")
    driver.send(events.SessionClosed(first))
    driver.send(events.SessionClosed(second))
    assert list(driver.node.requests) == [write]
    driver.answer(write, offset=1)
    assert not driver.node.requests
    assert driver.engine.counters["writes_finished_without_caller"] == 1
    assert driver.find(actions.Acknowledge) is None


def test_stop_ends_idle_sessions_and_waits_for_the_rest():
    driver = make_driver()
    idle, busy = driver.open(), driver.open()
    request = driver.ask(busy, "select 1")
    driver.send(events.DrainStarted(driver.now + 5))
    assert driver.find(actions.CloseSession).session_id == idle
    assert driver.find(actions.DrainFinished) is None
    driver.answer(request)
    assert driver.find(actions.Acknowledge, request)
    assert driver.find(actions.DrainFinished).cut == 0


def test_stop_counts_what_it_cuts_at_its_deadline():
    driver = make_driver()
    session = driver.open()
    driver.ask(session, "insert into t values (1)")
    driver.send(events.DrainStarted(driver.now + 1))
    driver.advance(1.1)
    assert driver.find(actions.DrainFinished).cut == 1
    assert driver.find(actions.Refuse).error.outcome is errors.Outcome.UNKNOWN
