import pytest

import builders_engine as builders
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events

KEYED = "insert into t values (1) /* sardinehold.idempotency_key='a' */"
PLAIN = "insert into t values (1)"


def start(text="select 1"):
    """Return a driver and a request that has been sent."""
    driver = builders.Driver(builders.make_view())
    return driver, driver.ask(driver.open(), text)


def dispatches(driver, request):
    return [a for a in driver.all(actions.Dispatch) if a.request_id == request]


def lose(driver, request):
    number = dispatches(driver, request)[-1].connection_id
    driver.send(events.ConnectionLost(number))


@pytest.mark.parametrize(
    ("text", "outcome"),
    [("select 1", errors.Outcome.UNKNOWN), (PLAIN, errors.Outcome.UNKNOWN)],
)
def test_sent_request_past_its_deadline_ends_and_its_connection_is_closed(
    text, outcome
):
    driver, request = start(text)
    driver.node.sessions[1].balance.retries = 0.0
    number = dispatches(driver, request)[0].connection_id
    driver.advance(10.1, step=0.1)
    assert driver.error(request).outcome is outcome
    assert number in [a.connection_id for a in driver.all(actions.CloseConnection)]


def test_queued_request_past_its_deadline_did_not_run():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    driver.auto = False
    driver.node.balances["desk"].withdraw(1000)
    request = driver.ask(session, "select 1")
    driver.advance(10.1, step=0.1)
    assert driver.error(request).outcome is errors.Outcome.NOT_RUN
    assert not dispatches(driver, request)


@pytest.mark.parametrize(
    ("text", "retried"), [("select 1", True), (KEYED, True), (PLAIN, False)]
)
def test_what_may_run_twice_is_retried_after_a_lost_connection(text, retried):
    driver, request = start(text)
    lose(driver, request)
    assert len(dispatches(driver, request)) == (2 if retried else 1)
    if not retried:
        assert isinstance(driver.error(request), errors.OutcomeUnknown)


def test_key_that_was_set_marks_the_next_write_only():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    driver.ask(session, "SET sardinehold.idempotency_key = 'a'")
    first = driver.ask(session, PLAIN)
    lose(driver, first)
    driver.offsets.update({"letters-0": 1, "letters-1": 1})
    driver.answer(first, 1)
    second = driver.ask(session, PLAIN)
    lose(driver, second)
    assert len(dispatches(driver, first)) == 2
    assert len(dispatches(driver, second)) == 1


def test_nothing_is_retried_once_the_answer_started():
    driver, request = start()
    driver.send(events.AnswerStarted(request))
    lose(driver, request)
    assert len(dispatches(driver, request)) == 1
    assert driver.error(request).outcome is errors.Outcome.UNKNOWN


def test_retries_stay_within_the_team_budget():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    for _ in range(30):
        driver.advance(0.1)
        request = driver.ask(session, "select 1")
        lose(driver, request)
        driver.advance(0.1)
        if request in driver.node.requests:
            driver.answer(request)
    sent = len(driver.all(actions.Dispatch))
    assert sent <= 30 + 10 + 3
    assert driver.error(request)


def test_request_of_which_no_byte_left_is_sent_again():
    driver, request = start(PLAIN)
    number = dispatches(driver, request)[0].connection_id
    driver.send(events.DispatchFailed(request, number))
    assert len(dispatches(driver, request)) == 2
    assert driver.error(request) is None


def test_request_that_never_leaves_did_not_run():
    driver, request = start(PLAIN)
    for _ in range(5):
        sent = dispatches(driver, request)[-1]
        driver.send(events.DispatchFailed(request, sent.connection_id))
        driver.advance(0.1)
    assert driver.error(request).outcome is errors.Outcome.NOT_RUN
    assert len(dispatches(driver, request)) <= 4


@pytest.mark.parametrize("wrong_connection", [True, False])
def test_late_and_crossed_answers_reach_nobody(wrong_connection):
    driver, request = start()
    number = dispatches(driver, request)[0].connection_id
    if wrong_connection:
        driver.send(events.RequestAnswered(request, number + 1, "I"))
        assert driver.find(actions.Acknowledge) is None
        return
    lose(driver, request)
    driver.send(events.RequestAnswered(request, number, "I"))
    assert driver.find(actions.Acknowledge) is None
    assert driver.engine.counters["answers_late"] == 1


def test_cancelled_statement_taints_its_connection():
    driver, request = start()
    number = dispatches(driver, request)[0].connection_id
    driver.send(events.RequestCancelled(request))
    assert driver.find(actions.CancelStatement).connection_id == number
    driver.answer(request, sqlstate="57014")
    assert driver.find(actions.Acknowledge, request)
    assert number in [a.connection_id for a in driver.all(actions.CloseConnection)]


def test_cancelled_queued_statement_did_not_run():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    driver.auto = False
    driver.node.balances["desk"].withdraw(1000)
    request = driver.ask(session, "select 1")
    driver.send(events.RequestCancelled(request))
    assert driver.error(request).outcome is errors.Outcome.NOT_RUN


def test_unsupported_statement_is_refused_unsent():
    driver, request = start("copy t from stdin")
    assert isinstance(driver.error(request), errors.Unsupported)
    assert not dispatches(driver, request)


def test_settings_follow_the_session_and_leak_to_nobody():
    driver = builders.Driver(builders.make_view())
    first, second = driver.open(), driver.open()
    request = driver.ask(first, "set search_path to a")
    driver.answer(request)
    request = driver.ask(second, "select 1")
    assert dispatches(driver, request)[0].setup == ("RESET search_path",)
    driver.answer(request)
    request = driver.ask(first, "select 1")
    assert dispatches(driver, request)[0].setup == ("SET search_path TO a",)


def test_reset_all_needs_no_endpoint():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    driver.answer(driver.ask(session, "set search_path to a"))
    request = driver.ask(session, "reset all")
    assert driver.find(actions.AnswerLocally, request).tag == "RESET"
    assert driver.node.sessions[session].settings == {}
