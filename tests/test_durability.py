import pytest

import builders_engine as builders
from sardinehold import document
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import view as views

Durability = document.Durability


def start(durability, **parts):
    """Return a driver and a write that has been sent."""
    routes = [document.Route("main", "letters", ("desk",), durability=durability)]
    content = builders.make_document(routes=routes)
    driver = builders.Driver(builders.make_view(content=content), **parts)
    driver.offsets["letters-0"] = 5
    request = driver.ask(driver.open(), "insert into t values (1)")
    return driver, request


def change(driver, term=1, primary="letters-0", phase=views.Phase.SERVING):
    history = (views.TermStart(1, 0), views.TermStart(2, 5))[:term]
    state = views.GroupState("letters", term, primary, phase, history)
    content = driver.node.view.document
    driver.send(
        events.ViewChanged(builders.make_view(2, content=content, states=[state]))
    )


@pytest.mark.parametrize(
    ("durability", "received", "acknowledged"),
    [
        (Durability.PRIMARY, {}, True),
        (Durability.REPLICA, {"letters-1": 4}, False),
        (Durability.REPLICA, {"letters-1": 5}, True),
        (Durability.ALL, {"letters-1": 5}, False),
        (Durability.ALL, {"letters-1": 5, "letters-2": 5}, True),
    ],
)
def test_acknowledged_once_durable(durability, received, acknowledged):
    driver, request = start(durability)
    driver.answer(request, 5)
    driver.offsets.update(received)
    driver.advance(0.1)
    assert (driver.find(actions.Acknowledge, request) is not None) is acknowledged


def test_confirmation_in_the_same_answer_acknowledges_at_once():
    driver, request = start(Durability.REPLICA)
    driver.offsets["letters-1"] = 5
    driver.answer(request, 5)
    assert driver.find(actions.Acknowledge, request).token


def test_write_that_no_replica_confirms_is_unknown_at_its_deadline():
    driver, request = start(Durability.REPLICA)
    driver.answer(request, 5)
    driver.advance(10.1, step=0.05)
    assert isinstance(driver.error(request), errors.OutcomeUnknown)
    reports = driver.all(actions.ReportEndpoint)
    assert any(report.isolated for report in reports)


@pytest.mark.parametrize("is_held", [True, False])
def test_write_is_unknown_once_the_write_lease_lapsed(is_held):
    driver, request = start(Durability.REPLICA, write=1.0)
    if is_held:
        driver.answer(request, 5)
    driver.now = 1.1
    driver.offsets["letters-1"] = 5
    if is_held:
        driver.observe("letters-0")
    else:
        driver.answer(request, 5)
    assert isinstance(driver.error(request), errors.OutcomeUnknown)


@pytest.mark.parametrize("is_held", [True, False])
@pytest.mark.parametrize(
    "parts",
    [
        {"term": 2, "primary": "letters-1"},
        {"term": 2, "primary": "letters-0"},
        {"phase": views.Phase.SEALED},
    ],
)
def test_write_is_unknown_once_its_primary_is_sealed_or_replaced(is_held, parts):
    driver, request = start(Durability.REPLICA)
    if is_held:
        driver.answer(request, 5)
    change(driver, **parts)
    assert isinstance(driver.error(request), errors.OutcomeUnknown)
    if not is_held:
        driver.answer(request, 5)
    driver.offsets["letters-1"] = 5
    driver.advance(0.1)
    assert driver.find(actions.Acknowledge, request) is None


@pytest.mark.parametrize(("received", "isolated"), [(4, True), (5, False)])
def test_primary_that_no_replica_confirms_is_reported(received, isolated):
    driver, request = start(Durability.PRIMARY)
    driver.answer(request, 5)
    driver.offsets["letters-1"] = received
    driver.advance(1.5, step=0.05)
    reports = driver.all(actions.ReportEndpoint)
    assert any(report.isolated for report in reports) is isolated


def test_write_that_finishes_while_draining_is_acknowledged():
    driver, request = start(Durability.PRIMARY)
    change(driver, phase=views.Phase.DRAINING)
    assert not driver.engine.is_quiesced("letters")
    driver.answer(request, 5)
    assert driver.find(actions.Acknowledge, request)
    assert driver.engine.is_quiesced("letters")


def test_answer_of_a_newer_term_is_not_acknowledged():
    driver, request = start(Durability.PRIMARY)
    driver.answer(request, 5, term=2)
    assert isinstance(driver.error(request), errors.OutcomeUnknown)


def test_position_that_the_answer_lacks_is_asked_for():
    driver, request = start(Durability.PRIMARY)
    driver.now += 0.01
    driver.answer(request)
    assert driver.find(actions.Acknowledge, request) is None
    driver.advance(0.05)
    assert driver.find(actions.Acknowledge, request)
    floor = driver.node.sessions[1].floor
    assert floor.position == (1, 5)


def test_error_of_the_endpoint_is_passed_on_without_waiting():
    driver, request = start(Durability.ALL)
    driver.answer(request, 5, sqlstate="23505")
    assert driver.find(actions.Acknowledge, request)


@pytest.mark.parametrize(
    "text",
    ["commit and chain", "commit; begin", f"commit; begin; select '{'a' * 20_000}'"],
    ids=["chain", "batch", "long"],
)
@pytest.mark.parametrize("is_sealed", [True, False], ids=["sealed", "serving"])
def test_commit_that_begins_a_transaction_is_held_like_any_other(text, is_sealed):
    # With a transaction open behind it, a commit was acknowledged without a check.
    driver, request = start(Durability.REPLICA)
    driver.answer(request, 5, status="T")
    request = driver.ask(1, text)
    if is_sealed:
        change(driver, phase=views.Phase.SEALED)
    driver.answer(request, 6, status="T")
    driver.offsets["letters-0"] = 6
    assert driver.find(actions.Acknowledge, request) is None
    if not is_sealed:
        driver.offsets["letters-1"] = 6
        driver.advance(0.1)
        assert driver.find(actions.Acknowledge, request)


@pytest.mark.parametrize(
    "text", ["create temp table cluster_log_status (a int)", "set search_path to a"]
)
def test_position_is_not_read_where_the_caller_may_hide_it(text):
    driver, request = start(Durability.REPLICA)
    driver.answer(request, 5)
    driver.offsets["letters-1"] = 5
    driver.advance(0.1)
    assert not driver.find(actions.Dispatch, request).hides_status
    driver.answer(driver.ask(1, text), 5)
    request = driver.ask(1, "insert into t values (1)")
    dispatch = driver.find(actions.Dispatch, request)
    assert dispatch.hides_status
    assert dispatch.want_position
    driver.answer(request)
    driver.offsets.update({"letters-0": 6, "letters-1": 6})
    driver.advance(0.1)
    assert driver.find(actions.Acknowledge, request)
