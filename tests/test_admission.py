import pytest

import builders_engine as builders
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import balance as balances
from sardinehold.core import events


def make_driver():
    driver = builders.Driver(builders.make_view())
    driver.auto = False
    session = driver.open()
    for action in list(driver.log):
        if isinstance(action, actions.OpenConnection):
            driver.send(events.ConnectionOpened(action.connection_id))
    driver.observe("letters-1")
    return driver, session


def sent(driver):
    return len(driver.all(actions.Dispatch))


def test_request_waits_for_a_token_and_asks_for_one():
    driver, session = make_driver()
    request = driver.ask(session, "select 1")
    assert sent(driver) == 0
    assert driver.find(actions.RequestTokens).team == "desk"
    driver.send(events.TokensGranted("desk", 1, 100.0))
    assert driver.find(actions.Dispatch, request)


def test_each_statement_of_a_transaction_costs_a_token():
    driver, session = make_driver()
    driver.send(events.TokensGranted("desk", 2, 100.0))
    driver.answer(driver.ask(session, "begin"), status="T")
    driver.answer(driver.ask(session, "select 1"), status="T")
    waits = driver.ask(session, "select 1")
    assert driver.find(actions.Dispatch, waits) is None


def test_request_over_the_rate_is_refused_with_the_expected_wait():
    driver, session = make_driver()
    request = driver.ask(session, "select 1")
    driver.advance(5.1, step=0.05)
    error = driver.error(request)
    assert isinstance(error, errors.RateExceeded)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert "expected wait is" in error.message


def test_tokens_are_not_spent_past_their_deadline():
    driver, session = make_driver()
    driver.send(events.TokensGranted("desk", 5, 0.2))
    driver.now = 0.21
    request = driver.ask(session, "select 1")
    assert driver.find(actions.Dispatch, request) is None


def test_unused_tokens_are_given_back():
    driver, session = make_driver()
    driver.send(events.TokensGranted("desk", 50, 100.0))
    driver.advance(1.5)
    returned = sum(action.tokens for action in driver.all(actions.ReturnTokens))
    assert returned == 50
    assert driver.node.balances["desk"].tokens == 0


def test_tokens_are_asked_for_ahead_of_need():
    driver = builders.Driver(builders.make_view())
    session = driver.open()
    for _ in range(300):
        driver.advance(0.01)
        request = driver.ask(session, "select 1")
        driver.answer(request)
    asked = [a.tokens for a in driver.all(actions.RequestTokens)]
    assert driver.find(actions.RequestTokens).left <= 50
    granted, spent = sum(asked), 300
    returned = sum(action.tokens for action in driver.all(actions.ReturnTokens))
    assert granted - returned - spent <= 100
    assert driver.node.balances["desk"].tokens >= 5


@pytest.mark.parametrize("order", [(1.0, 2.0), (2.0, 1.0)])
def test_grant_that_lapses_first_is_spent_first(order):
    balance = balances.Balance("desk", 0.0)
    for deadline in order:
        balance.grant(1, deadline)
    assert balance.take(0.5)
    assert balance.take(1.5)
    assert not balance.take(1.5)


def test_withdrawn_tokens_cannot_be_spent():
    balance = balances.Balance("desk", 0.0)
    balance.grant(3, 10.0)
    assert balance.withdraw(5) == 3
    assert not balance.take(0.0)
