import pytest

import builders_engine as builders
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import dispatch
from sardinehold.core import events
from sardinehold.core import pool
from sardinehold.core import view as views

WRITE = "insert into t values (1)"


def begin(text="begin"):
    """Return a driver and a session inside a transaction."""
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    driver.answer(driver.ask(session, text), status="T")
    return driver, session


def replace_primary(driver):
    history = (views.TermStart(1, 0), views.TermStart(2, 0))
    state = views.GroupState("letters", 2, "letters-1", history=history)
    content = driver.node.view.document
    driver.send(events.ViewChanged(builders.make_view(2, content, states=[state])))


def connection_of(driver, request):
    return driver.find(actions.Dispatch, request).connection_id


def closed(driver):
    return [action.connection_id for action in driver.all(actions.CloseConnection)]


def test_transaction_keeps_one_connection_that_nobody_else_gets():
    driver, session = begin()
    first = driver.ask(session, "select 1")
    number = connection_of(driver, first)
    driver.answer(first, status="T")
    other = driver.ask(driver.open(), WRITE)
    assert connection_of(driver, other) != number
    second = driver.ask(session, WRITE)
    assert connection_of(driver, second) == number
    assert not driver.find(actions.Dispatch, second).want_position
    driver.answer(second, status="T")
    driver.advance(0.05)
    commit = driver.ask(session, "commit")
    assert driver.find(actions.Dispatch, commit).want_position
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    driver.answer(commit, 3)
    assert driver.find(actions.Acknowledge, commit).token
    assert driver.node.sessions[session].connection is None
    assert number not in closed(driver)


def test_commit_whose_answer_is_lost_is_unknown():
    driver, session = begin()
    commit = driver.ask(session, "commit")
    driver.send(events.ConnectionLost(connection_of(driver, commit)))
    assert driver.error(commit).outcome is errors.Outcome.UNKNOWN
    assert driver.find(actions.Refuse, commit).fatal


def test_lost_connection_between_statements_ends_the_session():
    driver, session = begin()
    number = driver.find(actions.Dispatch).connection_id
    driver.send(events.ConnectionLost(number))
    assert driver.find(actions.CloseSession).session_id == session
    assert session not in driver.node.sessions


@pytest.mark.parametrize("text", ["", WRITE, "commit"])
def test_change_of_primary_inside_a_transaction_is_told_truthfully(text):
    driver, session = begin()
    number = driver.find(actions.Dispatch).connection_id
    request = driver.ask(session, text) if text else None
    replace_primary(driver)
    assert number in closed(driver)
    if request is None:
        error = driver.find(actions.CloseSession).error
        assert error.outcome is errors.Outcome.NOT_RUN
    else:
        assert driver.error(request).outcome is errors.Outcome.UNKNOWN
        assert driver.find(actions.Refuse, request).fatal


def test_idle_transaction_is_ended_after_the_limit_of_its_route():
    driver, session = begin()
    driver.advance(9.9, step=0.1)
    assert driver.find(actions.CloseSession) is None
    driver.advance(0.2, step=0.1)
    error = driver.find(actions.CloseSession).error
    assert isinstance(error, errors.TransactionTimeout)
    assert driver.engine.is_quiesced("letters")


def test_busy_transaction_is_not_idle():
    driver, session = begin()
    driver.advance(9.0, step=0.1)
    driver.answer(driver.ask(session, "select 1"), status="T")
    driver.advance(9.0, step=0.1)
    assert driver.find(actions.CloseSession) is None


def test_state_left_behind_pins_until_the_session_ends():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    request = driver.ask(session, "create temp table t (a int)")
    number = connection_of(driver, request)
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    driver.answer(request, 3)
    request = driver.ask(session, "select 1")
    assert connection_of(driver, request) == number
    driver.answer(request)
    assert number not in closed(driver)
    driver.send(events.SessionClosed(session))
    assert number in closed(driver)


def test_transaction_of_a_caller_that_is_gone_is_rolled_back():
    driver, session = begin()
    number = driver.find(actions.Dispatch).connection_id
    driver.send(events.SessionClosed(session))
    assert number in closed(driver)


def test_rolled_back_settings_do_not_stay():
    driver, session = begin()
    driver.answer(driver.ask(session, "set search_path to a"), status="T")
    driver.answer(driver.ask(session, "rollback"))
    assert driver.node.sessions[session].settings == {}


def test_committed_settings_stay():
    driver, session = begin()
    driver.answer(driver.ask(session, "set search_path to a"), status="T")
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    driver.answer(driver.ask(session, "commit"), 3)
    assert driver.node.sessions[session].settings == {"search_path": "a"}


@pytest.mark.parametrize("what", ["plans", "temp", "temporary", "sequences"])
def test_settings_that_stay_after_discard_do_not_reach_other_sessions(what):
    # Every DISCARD was taken for DISCARD ALL.
    driver, session = begin()
    driver.answer(driver.ask(session, "set search_path to a"), status="T")
    driver.answer(driver.ask(session, f"discard {what}"), status="T")
    connection = driver.node.sessions[session].connection
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    driver.answer(driver.ask(session, "commit"), 3)
    assert driver.node.sessions[session].settings == {"search_path": "a"}
    setup = dispatch.make_setup(connection.settings, pool.NO_SETTINGS)
    assert setup == ("RESET search_path",)


@pytest.mark.parametrize(
    "text", ["rollback to a", "ROLLBACK WORK TO SAVEPOINT a", "rollback to a; select 1"]
)
def test_settings_reverted_to_a_savepoint_are_not_assumed(text):
    # A session with the same settings ran without them on this connection.
    driver, session = begin()
    number = driver.node.sessions[session].connection.connection_id
    for statement in ("savepoint a", "set search_path to a", text):
        driver.answer(driver.ask(session, statement), status="T")
    driver.advance(0.05)
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    driver.answer(driver.ask(session, "commit"), 3)
    driver.send(events.SessionClosed(session))
    assert number in closed(driver)


def test_savepoint_without_settings_does_not_pin():
    driver, session = begin()
    for statement in ("savepoint a", "rollback to a"):
        driver.answer(driver.ask(session, statement), status="T")
    driver.advance(0.05)
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    driver.answer(driver.ask(session, "commit"), 3)
    assert driver.node.sessions[session].connection is None


def test_connection_whose_statements_were_deallocated_is_not_shared():
    # Other sessions' statements were unknown on it (SQLSTATE 26000).
    driver, session = begin()
    number = driver.node.sessions[session].connection.connection_id
    driver.answer(driver.ask(session, "deallocate all"), status="T")
    driver.answer(driver.ask(session, "rollback"))
    driver.send(events.SessionClosed(session))
    assert number in closed(driver)


def test_draining_lets_transactions_finish_and_starts_none():
    driver, session = begin()
    state = views.GroupState("letters", 1, "letters-0", views.Phase.DRAINING)
    content = driver.node.view.document
    driver.send(events.ViewChanged(builders.make_view(2, content, states=[state])))
    waits = driver.ask(driver.open(), "begin")
    assert driver.find(actions.Dispatch, waits) is None
    assert not driver.engine.is_quiesced("letters")
    driver.offsets.update({"letters-0": 3, "letters-1": 3})
    commit = driver.ask(session, "commit")
    driver.answer(commit, 3)
    assert driver.find(actions.Acknowledge, commit)
    assert driver.engine.is_quiesced("letters")
    assert [a.group for a in driver.all(actions.GroupQuiesced)] == ["letters"]


def test_group_that_is_not_in_use_is_quiesced_at_once():
    driver = builders.Driver(builders.make_view())
    state = views.GroupState("letters", 1, "letters-0", views.Phase.DRAINING)
    for version in (2, 3):
        driver.send(events.ViewChanged(builders.make_view(version, states=[state])))
    assert len(driver.all(actions.GroupQuiesced)) == 1
