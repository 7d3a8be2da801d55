"""Figures that tell apart why tokens do not reach the nodes."""

import asyncio

import pytest

import builders_node
from sardinehold import metrics
from sardinehold.core import quota
from sardinehold.node import clock
from sardinehold.node import exchange_load

NOW = 100.0


@pytest.fixture
def lines():
    return []


@pytest.fixture
def load(monkeypatch, lines):
    monkeypatch.setattr(clock, "read", lambda: NOW)
    return exchange_load.ExchangeLoad(
        metrics.Registry(), lambda event, **fields: lines.append((event, fields))
    )


def test_load_of_a_second_is_one_line(load, lines):
    load.count_report(NOW, NOW - 0.25)
    load.count_report(NOW, None)
    load.count_grants([quota.Usage("desk", 0, 0, 5)], [quota.Grant(1, "desk", 2, 1.0)])
    load.observe_loop_delay(0.4)
    load.write_line(NOW + 0.5, dict)
    assert not lines
    load.write_line(NOW + exchange_load.LINE_INTERVAL, lambda: {"available": 7})
    load.write_line(NOW + 3 * exchange_load.LINE_INTERVAL, dict)
    assert lines == [
        (
            "exchange_load",
            {
                "reports": 2,
                "exchanges": 1,
                "wanted": 5,
                "granted": 2,
                "round_trip": 0.25,
                "loop_delay": 0.4,
                "available": 7,
            },
        )
    ]


def test_node_that_answers_nobody_writes_no_line(load, lines):
    load.observe_loop_delay(0.4)
    load.write_line(NOW + 10, dict)
    assert not lines


def test_late_grants_are_logged_once_until_they_are_in_time(load, lines):
    for _ in range(3):
        load.count_lost_exchange()
    load.count_exchange(0.02)
    load.count_exchange(0.02)
    load.count_lost_exchange()
    assert [event for event, _ in lines] == [
        "grants_late",
        "grants_in_time",
        "grants_late",
    ]


def test_leader_describes_its_load(monkeypatch):
    async def scenario(world):
        leader = world.nodes[world.find_leader()]
        lines = []
        monkeypatch.setattr(
            leader.exchange_load, "_note", lambda event, **fields: lines.append(fields)
        )
        await world.open("n1").read()
        await asyncio.sleep(2.0)
        assert lines
        assert lines[-1]["reports"] >= 4
        assert lines[-1]["connected_share"] == 1.0
        assert lines[-1]["available"] > 0

    builders_node.run_scenario(monkeypatch, scenario)
