import pytest

import builders_engine as builders
from sardinehold import document
from sardinehold import errors
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold.core import node as nodes
from sardinehold.core import view as views

PRIMARY = "letters-0"
REPLICAS = {"letters-1", "letters-2"}


def make_driver(wait="bounded", replica="sticky", **parts):
    durability = parts.pop("durability", document.Durability.PRIMARY)
    names = tuple(builders.KEYS)
    routes = [
        document.Route("main", "letters", names, durability=durability),
        document.Route("aged", "letters", names, max_age=1.0),
    ]
    content = builders.make_document(routes=routes)
    policies = nodes.Policies(wait=wait, replica=replica)
    return builders.Driver(
        builders.make_view(content=content, **parts), policies=policies
    )


def make_states(term=2, primary="letters-1", start=0, phase=views.Phase.SERVING):
    history = (views.TermStart(1, 0), views.TermStart(2, start))[:term]
    return [views.GroupState("letters", term, primary, phase, history)]


def change(driver, version, **parts):
    content = driver.node.view.document
    driver.send(events.ViewChanged(builders.make_view(version, content, **parts)))


def place(driver, request):
    dispatch = driver.find(actions.Dispatch, request)
    return dispatch and dispatch.endpoint


def write(driver, session, offset, term=1):
    driver.offsets[PRIMARY] = offset
    request = driver.ask(session, "insert into t values (1)")
    driver.answer(request, offset, term=term)
    return request


@pytest.mark.parametrize("replica", ["sticky", "fastest", "round_robin", "random"])
def test_read_goes_to_a_replica(replica):
    driver = make_driver(replica=replica)
    request = driver.ask(driver.open(), "select 1")
    assert place(driver, request) in REPLICAS


def test_read_after_write_waits_for_the_replica_that_has_it():
    driver = make_driver(wait="bounded")
    session = driver.open()
    write(driver, session, 7)
    request = driver.ask(session, "select 1")
    assert place(driver, request) is None
    driver.observe("letters-2", 7)
    assert place(driver, request) == "letters-2"
    assert driver.engine.counters["reads_waited"] == 1


@pytest.mark.parametrize("wait", ["bounded", "sooner", "primary"])
def test_read_goes_to_the_primary_when_waiting_would_take_too_long(wait):
    driver = make_driver(wait=wait)
    session = driver.open()
    for replica in REPLICAS:
        driver.node.endpoints[replica].lag = 5.0
    write(driver, session, 7)
    request = driver.ask(session, "select 1")
    assert place(driver, request) == PRIMARY


def test_read_gives_up_waiting_for_a_replica_that_does_not_catch_up():
    driver = make_driver(wait="bounded")
    session = driver.open()
    write(driver, session, 7)
    request = driver.ask(session, "select 1")
    driver.advance(0.4)
    assert place(driver, request) == PRIMARY
    assert driver.engine.counters["reads_gave_up_waiting"] == 1


@pytest.mark.parametrize("catches_up", [True, False])
def test_read_that_waits_is_not_sent_past_the_serve_deadline(catches_up):
    driver = make_driver()
    session = driver.open()
    write(driver, session, 7)
    request = driver.ask(session, "select 1")
    driver.node.serve_deadline = driver.now + 0.001
    driver.now += 0.002
    if catches_up:
        driver.observe("letters-2", 7)
    else:
        driver.advance(0.4)
    assert place(driver, request) is None
    assert isinstance(driver.error(request), errors.LeaseLapsed)


def test_read_your_writes_holds_on_another_proxy():
    first, second = make_driver(), make_driver()
    request = write(first, first.open(), 7)
    token = first.find(actions.Acknowledge, request).token
    session = second.open(token=token)
    request = second.ask(session, "select 1")
    assert place(second, request) is None
    second.observe("letters-1", 6)
    assert place(second, request) is None
    second.observe("letters-1", 7)
    assert place(second, request) == "letters-1"


def test_monotonic_reads_hold_on_another_proxy():
    first, second = make_driver(), make_driver()
    session = first.open()
    request = first.ask(session, "select 1")
    seen = place(first, request)
    first.answer(request)
    token = first.find(actions.Acknowledge, request).token
    second.auto = False
    session = second.open(token=token)
    for action in list(second.log):
        if not isinstance(action, actions.ProbeEndpoint):
            second.respond(action)
    other = (REPLICAS - {seen}).pop()
    request = second.ask(session, "select 1")
    second.observe(other, 100)
    second.observe(seen, 100, asked=second.now - 0.01)
    second.now += 0.01
    second.observe(other, 100)
    assert place(second, request) == seen


def test_after_a_read_the_other_replica_must_have_what_was_seen():
    driver = make_driver(replica="fastest")
    session = driver.open()
    request = driver.ask(session, "select 1")
    seen = place(driver, request)
    other = (REPLICAS - {seen}).pop()
    driver.now += 0.01
    driver.answer(request)
    driver.node.endpoints[seen].latency = 10.0
    driver.offsets.update({seen: 9, other: 8})
    driver.now += 0.01
    driver.observe(seen)
    driver.observe(other)
    request = driver.ask(session, "select 1")
    assert place(driver, request) == seen
    driver.answer(request)
    driver.now += 0.01
    driver.observe(seen)
    driver.observe(other, 9)
    assert place(driver, driver.ask(session, "select 1")) == other


@pytest.mark.parametrize(("age", "fits"), [(0.9, True), (1.1, False)])
def test_age_counts_from_the_question_that_showed_the_position(age, fits):
    driver = make_driver()
    driver.offsets.update({PRIMARY: 5, "letters-1": 4, "letters-2": 4})
    session = driver.open(route="aged")
    driver.auto = False
    driver.now += 0.5
    driver.observe(PRIMARY, 6)
    driver.observe("letters-1", 5)
    driver.now = age
    driver.send(events.TokensGranted("desk", 10, builders.FAR))
    request = driver.ask(session, "select 1")
    assert (place(driver, request) == "letters-1") is fits


def test_session_states_and_shows_an_age():
    driver = make_driver()
    session = driver.open()
    request = driver.ask(session, "SET sardinehold.max_age = '500ms'")
    assert driver.find(actions.AnswerLocally, request).tag == "SET"
    request = driver.ask(session, "SHOW sardinehold.max_age")
    assert driver.find(actions.AnswerLocally, request).value == "0.5s"
    request = driver.ask(session, "SET sardinehold.max_age = 'soon'")
    assert isinstance(driver.error(request), errors.Unsupported)


def test_lost_position_is_told_once():
    driver = make_driver()
    session = driver.open()
    write(driver, session, 7)
    driver.offsets.clear()
    change(driver, 2, states=make_states(start=6))
    first = driver.ask(session, "select 1")
    second = driver.ask(session, "select 1")
    assert isinstance(driver.error(first), errors.PositionLost)
    assert driver.error(first).outcome is errors.Outcome.NOT_RUN
    assert driver.error(second) is None


def test_position_before_the_promotion_point_survives():
    driver = make_driver()
    session = driver.open()
    write(driver, session, 7)
    change(driver, 2, states=make_states(start=7))
    request = driver.ask(session, "select 1")
    driver.observe("letters-2", 6, role="replica")
    assert place(driver, request) is None
    driver.observe("letters-2", 7)
    assert place(driver, request) == "letters-2"


def test_token_of_a_newer_term_waits_for_the_view():
    new = make_driver(states=make_states(start=0))
    session = new.open()
    request = new.ask(session, "insert into t values (1)")
    new.answer(request, 9, term=2)
    token = new.find(actions.Acknowledge, request).token
    old = make_driver()
    old.offsets.update(dict.fromkeys(REPLICAS, 50))
    request = old.ask(old.open(token=token), "select 1")
    assert place(old, request) is None
    change(old, 2, states=make_states(start=0))
    old.observe("letters-2", 50)
    assert place(old, request) == "letters-2"


def test_status_of_an_old_term_is_not_believed():
    driver = make_driver(states=make_states(start=5))
    session = driver.open()
    driver.auto = False
    driver.node.endpoints["letters-2"].applied = -1
    driver.observe("letters-2", 5, term=1)
    assert driver.node.endpoints["letters-2"].applied == -1
    assert driver.ask(session, "select 1")


def test_leaving_endpoint_gets_no_new_reads():
    driver = make_driver(replica="round_robin")
    session = driver.open()
    change(driver, 2, leaving=["letters-1"])
    for _ in range(6):
        driver.advance(0.1)
        request = driver.ask(session, "select 1")
        assert place(driver, request) == "letters-2"
        driver.answer(request)


def test_leaving_primary_gets_no_new_writes_after_its_grace():
    driver = make_driver()
    session = driver.open()
    change(driver, 2, leaving=[PRIMARY])
    request = driver.ask(session, "insert into t values (1)")
    assert place(driver, request) == PRIMARY
    driver.answer(request, 1)
    driver.advance(2.5)
    request = driver.ask(session, "insert into t values (1)")
    assert place(driver, request) is None
    change(driver, 3, states=make_states(start=1), leaving=[PRIMARY])
    assert place(driver, request) == "letters-1"


@pytest.mark.parametrize("phase", [views.Phase.DRAINING, views.Phase.SEALED])
def test_writes_wait_while_the_group_is_handed_over(phase):
    driver = make_driver()
    session = driver.open()
    change(driver, 2, states=make_states(1, PRIMARY, phase=phase))
    waits = driver.ask(session, "insert into t values (1)")
    reads = driver.ask(driver.open(), "select 1")
    assert place(driver, waits) is None
    assert place(driver, reads) in REPLICAS
    assert driver.engine.is_quiesced("letters")
    change(driver, 3, states=make_states())
    assert place(driver, waits) == "letters-1"


def test_write_without_a_primary_is_refused_at_its_deadline():
    driver = make_driver(states=make_states(1, ""))
    request = driver.ask(driver.open(), "insert into t values (1)")
    driver.advance(10.1, step=0.1)
    assert isinstance(driver.error(request), errors.EndpointUnavailable)
    assert driver.error(request).outcome is errors.Outcome.NOT_RUN
