"""Tests that the demo's verdict detects lost, duplicate, untrue and stale results."""

import pathlib
import sys

import pytest

FOLDER = pathlib.Path(__file__).parent.parent / "examples" / "local"
sys.path.insert(0, str(FOLDER))
import previews  # noqa: E402
import traffic  # noqa: E402
import verdict  # noqa: E402

sys.path.pop(0)

TOLD = traffic.Outcome


class FakeFleet:
    """Fleet as used by the verdict, with rows that the test provides."""

    def __init__(self, *ids):
        self.document = {
            "groups": {"letters-1": {}},
            "routes": {"previews": {"max_age": 2.0, "group": "letters-1"}},
        }
        self.rows = [[0, id] for id in ids]

    def read_primary(self, group):
        return f"{group}a"

    def read_dump(self, endpoint):
        assert endpoint == "letters-1a"
        return {"tables": {"letter": {"columns": ["n", "id"], "rows": self.rows}}}


def judge(told, *held):
    record = traffic.Record()
    record.writes = [traffic.Write("x", "letters-1", told, 1.0)]
    return verdict.check_writes(FakeFleet(*held), record)


@pytest.mark.parametrize(
    ("told", "held", "found"),
    [
        (TOLD.ACKNOWLEDGED, ("x",), {}),
        (TOLD.ACKNOWLEDGED, (), {"lost": ["x"]}),
        (TOLD.ACKNOWLEDGED, ("x", "x"), {"doubled": ["x"]}),
        (TOLD.NOT_RUN, (), {}),
        (TOLD.NOT_RUN, ("x",), {"untrue": ["x"]}),
        (TOLD.UNKNOWN, (), {}),
        (TOLD.UNKNOWN, ("x",), {}),
        (TOLD.UNKNOWN, ("x", "x"), {"doubled": ["x"]}),
    ],
)
def test_verdict_on_one_write(told, held, found):
    result = judge(told, *held)
    names = ("lost", "doubled", "untrue", "stale", "old")
    assert {name: getattr(result, name) for name in names if getattr(result, name)} == (
        found
    )
    assert result.is_clean == (not found)


def test_stale_reads_fail_the_verdict():
    record = traffic.Record()
    record.stale.append("session")
    assert not verdict.check_writes(FakeFleet(), record).is_clean


def test_gap_is_the_longest_time_without_an_acknowledged_write():
    record = traffic.Record()
    for told, at in [
        (TOLD.ACKNOWLEDGED, 9.9),
        (TOLD.ACKNOWLEDGED, 10.1),
        (TOLD.UNKNOWN, 11.0),
        (TOLD.ACKNOWLEDGED, 12.6),
        (TOLD.ACKNOWLEDGED, 13.0),
    ]:
        record.writes.append(traffic.Write("x", "letters-1", told, at))
    assert verdict.find_gap(record, "letters-1", 10.0, 13.5) == pytest.approx(2.5)


def test_refusals_of_a_team_within_its_rate_are_wrongful():
    record = traffic.Record()
    record.bursting.add("loud")
    for team in ("loud", "quiet"):
        record.count(team, "53400")
        record.count(team, None)
    assert record.teams["quiet"].refused_in_rate == 1
    assert record.teams["loud"].refused_in_rate == 0
    assert record.teams["loud"].refused == 1


@pytest.mark.parametrize(("found", "too_old"), [(1, True), (2, False), (3, False)])
def test_read_older_than_the_stated_age_is_detected(found, too_old):
    record = traffic.Record()
    fleet = FakeFleet()
    writer = traffic.Caller(fleet, record, "web", "letters", "letters-1", 1.0, "w")
    writer.acknowledged_at = [1.0, 2.0, 9.9]
    writer.acknowledged_numbers = [1, 2, 3]
    reader = previews.Previewer(fleet, record, "web", [writer], 1.0, "r")
    reader._check(writer, found, sent_at=10.0)
    assert bool(record.too_old) == too_old
