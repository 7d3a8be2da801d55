"""Log lines of statements that are sent after their request has ended."""

import asyncio
import json

import logbook
import pytest

import builders_links
import builders_node
from sardinehold import metrics
from sardinehold.node import clock
from sardinehold.node import execution
from sardinehold.node import handling
from sardinehold.node import journal
from sardinehold.node import late_sends

LATE = 'sent_late{attempt="retry",reason="answered"}'


def collect_lines(handler: logbook.TestHandler, event: str) -> list[dict]:
    lines = [json.loads(record.message) for record in handler.records]
    return [line for line in lines if line["event"] == event]


def run(monkeypatch, scenario, count: int = 3) -> None:
    with logbook.TestHandler() as handler:

        async def record(world):
            await scenario(world, lambda event: collect_lines(handler, event))

        monkeypatch.setattr(journal, "MAX_BYTES_PER_SECOND", 1 << 30)
        builders_node.run_scenario(monkeypatch, record, count)


async def read_hedged(world, lines) -> dict:
    """Return the line of a read whose first attempt is still at a slow replica."""
    await asyncio.sleep(0.5)
    client = world.open("n1", "bounded")
    await client.read()
    for name in ("g-1", "g-2"):
        world.clusters["g"].databases[name].statement_seconds = 0.9
    while True:
        assert (await client.read()).error is None
        if "hedges" in lines("served")[-1]:
            return lines("served")[-1]


@pytest.fixture
def broken_handling(monkeypatch):
    """Let statements go on after their end."""
    monkeypatch.setattr(handling.Handling, "end", lambda self: None)


def test_attempt_that_goes_on_after_the_answer_is_logged(monkeypatch, broken_handling):
    async def scenario(world, lines):
        served = await read_hedged(world, lines)
        assert (served["hedges"], served["unfinished"]) == (1, 1)
        assert not lines("sent_late")
        for name in ("g-1", "g-2"):
            for connection in list(world.clusters["g"].databases[name].connections):
                connection.abort()
        await asyncio.sleep(0.5)
        (late,) = lines("sent_late")
        assert late["request"] == served["request"]
        assert (late["attempt"], late["reason"]) == ("retry", "answered")
        assert late["age"] > served["seconds"]
        counts = [node.registry.counters.get(LATE) for node in world.nodes.values()]
        assert sorted(counts, key=bool) == [None, None, 1]

    run(monkeypatch, scenario)


def test_request_whose_caller_leaves_while_it_waits_at_its_owner_is_logged(
    monkeypatch, broken_handling
):
    async def scenario(world, lines):
        owner = world.nodes["n0"].groups["g"].endpoints["g-0"].owners[0]
        entry = next(name for name in world.nodes if name != owner)
        world.clusters["g"].databases["g-0"].statement_seconds = 0.2
        clients = [world.open(entry, "latest") for _ in range(5)]
        reads = [asyncio.ensure_future(client.read()) for client in clients]
        await asyncio.sleep(0.05)
        clients[-1].session.close()
        await asyncio.gather(*reads)
        (late,) = lines("sent_late")
        assert (late["vm"], late["endpoint"]) == (entry, "g-0")
        assert (late["attempt"], late["reason"]) == ("first", "caller left")
        assert 0.1 < late["age"] < 0.3

    run(monkeypatch, scenario)


def test_lost_order_says_at_which_age_it_was_sent(monkeypatch):
    async def scenario(world, lines):
        owner = world.nodes["n0"].groups["g"].endpoints["g-0"].owners[0]
        entry = next(name for name in world.nodes if name != owner)
        world.clusters["g"].databases["g-0"].lost_answers.add(f"r{world._requests + 1}")
        await world.open(entry, "latest").write()
        (lost,) = lines("order_lost")
        assert lost["vm"] == owner
        assert lost["age"] < 0.1
        assert not lines("sent_late")

    run(monkeypatch, scenario)


def test_ordinary_read_has_no_further_fields(monkeypatch):
    async def scenario(world, lines):
        assert (await world.open("n1", "bounded").read()).error is None
        assert not {"hedges", "unfinished"} & lines("served")[-1].keys()
        assert not lines("sent_late")
        assert not lines("suspended")

    run(monkeypatch, scenario)


@pytest.mark.parametrize(
    ("ended_at", "is_late"),
    [(None, False), (100.1, False), (100.3, True), (101, False)],
)
def test_end_while_a_request_waits_at_its_owner_is_logged(
    monkeypatch, ended_at, is_late
):
    lines = []
    log = late_sends.LateSends(
        metrics.Registry(), lambda event, **fields: lines.append((event, fields))
    )
    request = builders_links.make_request(100.0)
    request.sent_at = 100.5
    if ended_at is not None:
        monkeypatch.setattr(clock, "read", lambda: ended_at)
        request.origin.end(execution.Ending.LEFT)
    log.check_forwarded(request, 100.2)
    assert [event for event, _ in lines] == ["sent_late"] * is_late
    if is_late:
        assert lines[0][1]["reason"] == "caller left"
        assert lines[0][1]["age"] == pytest.approx(0.8)


@pytest.mark.parametrize(
    ("sent_at", "team", "expected"),
    [
        (100.5, "red", []),
        (101.5, "red", ["sent_late"]),
        (100.5, "blue", ["sent_for_other_team"]),
    ],
)
def test_late_statement_and_other_team_are_logged(sent_at, team, expected):
    lines = []
    log = late_sends.LateSends(
        metrics.Registry(), lambda event, **fields: lines.append(event)
    )
    request = builders_links.make_request(100.0)
    request.sent_at = sent_at
    log.check(request, team)
    assert lines == expected


def test_suspended_process_says_for_how_long(monkeypatch):
    async def scenario(world, lines):
        asyncio.get_running_loop().selector.now += 3.0
        await asyncio.sleep(0.2)
        suspended = lines("suspended")
        assert {line["vm"] for line in suspended} == set(world.nodes)
        assert all(2.9 < line["seconds"] < 3.1 for line in suspended)

    run(monkeypatch, scenario)
