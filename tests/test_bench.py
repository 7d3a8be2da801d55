"""Tests of the load generator's scenarios, measures and reports."""

import pytest

from sardinehold import errors
from sardinehold_bench import intervals
from sardinehold_bench import report
from sardinehold_bench import results
from sardinehold_bench import scenario


@pytest.mark.parametrize("name", scenario.list_scenarios())
def test_shipped_scenario_has_the_size_of_its_deployment(name):
    loaded = scenario.load_scenario(scenario.find_scenario(name))
    assert len(loaded.teams) == 8
    assert len(loaded.deployment.zones) == 3
    assert {team.group for team in loaded.teams} == set(loaded.deployment.groups)


@pytest.mark.parametrize("text", ["", "[deployment]\nname = x\n", "nonsense"])
def test_faulty_scenario_is_refused(tmp_path, text):
    path = tmp_path / "scenario.ini"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(errors.SettingsError):
        scenario.load_scenario(path)


@pytest.mark.parametrize(
    ("times", "gap"),
    [([1.0, 9.9, 12.5, 12.6], 2.6), ([9.0, 10.1, 10.2], 1.1), ([9.5], 20.5)],
)
def test_gap_is_the_longest_time_without_a_write_after_the_fault(times, gap):
    result = results.RunResult(["desk"])
    result.cut_at = 10.0
    result.cut_group = "g"
    result.ended_at = 30.0
    result.write_times["g"] = times
    assert result.measure_failover_gap() == pytest.approx(gap)


@pytest.mark.parametrize(
    ("sent", "answered", "allowed", "share"),
    [(100, 100, 200, 1.0), (500, 100, 100, 1.0), (500, 50, 100, 0.5), (0, 0, 9, 1.0)],
)
def test_share_is_relative_to_the_allowed_demand(sent, answered, allowed, share):
    team = results.TeamResult("desk")
    team.sent, team.answered, team.allowed = sent, answered, allowed
    assert team.measure_share() == pytest.approx(share)


def test_interval_contains_the_mean_and_narrows_with_less_variance():
    wide = intervals.estimate_mean([1.0, 5.0, 9.0])
    narrow = intervals.estimate_mean([4.9, 5.0, 5.1])
    assert wide.low <= wide.mean <= wide.high
    assert narrow.high - narrow.low < wide.high - wide.low


def test_difference_of_paired_runs_shows_a_constant_difference():
    interval = intervals.estimate_difference([1.0, 7.0, 3.0], [2.0, 8.0, 4.0])
    assert (interval.low, interval.high) == pytest.approx((1.0, 1.0))


def build_experiment(name, gap):
    summary = results.RunResult(["desk"]).summarize()
    teams = report.describe_teams(results.RunResult(["desk"]))
    return report.Experiment(
        name, "run", [summary | {"failover_gap_ms": gap}] * 2, [teams] * 2
    )


def test_saved_report_is_loaded_and_contains_every_measure(tmp_path):
    path = tmp_path / "new.json"
    report.save_experiment(build_experiment("new", 900.0), path)
    loaded = report.load_experiment(path)
    page = report.write_report([build_experiment("old", 2000.0), loaded], tmp_path)
    text = page.read_text(encoding="utf-8")
    assert all(measure in text for measure in report.MEASURES)
    assert "900" in text
    assert (tmp_path / "teams.svg").stat().st_size > 0
    assert "-1100" in report.format_comparison(build_experiment("old", 2000.0), loaded)
