"""Counters and histograms."""

import pytest

from sardinehold import metrics


def test_counters_add_up():
    registry = metrics.Registry()
    registry.count("requests")
    registry.count("requests", 4)
    assert registry.counters == {"requests": 5}


@pytest.mark.parametrize("seconds", [0.000_05, 0.003, 0.25, 7.5, 900.0])
def test_percentile_is_close_to_the_observations(seconds):
    registry = metrics.Registry()
    for _ in range(10):
        registry.observe("wait", seconds)
    found = registry.read_percentile("wait", 99)
    assert found == pytest.approx(seconds, rel=0.01)


@pytest.mark.parametrize("seconds", [0.0, -1.0, 1e-9, 1e9])
def test_observation_out_of_range_is_recorded_at_the_limit(seconds):
    registry = metrics.Registry()
    registry.observe("wait", seconds)
    assert registry.read_histogram("wait").get_total_count() == 1


def test_observations_are_counted_once_over_several_reads():
    registry = metrics.Registry()
    registry.observe("wait", 0.5)
    registry.read_percentile("wait", 50)
    registry.observe("wait", 0.5)
    assert registry.read_histogram("wait").get_total_count() == 2


def test_histograms_of_processes_merge():
    first, second = metrics.Registry(), metrics.Registry()
    for _ in range(90):
        first.observe("wait", 0.001)
    for _ in range(10):
        second.observe("wait", 1.0)
    encoded = [r.encode_histograms()["wait"] for r in (first, second)]
    merged = metrics.merge_histograms(encoded)
    assert merged.get_total_count() == 100
    assert merged.get_value_at_percentile(90) == pytest.approx(1000, rel=0.01)
    assert merged.get_value_at_percentile(95) == pytest.approx(1e6, rel=0.01)


@pytest.mark.parametrize("team", ["desk", 'a"b', "a\\b", "a,b", "a=b", "a}b", ""])
def test_labels_are_parsed_back(team):
    name = metrics.label_name("refused", team=team, reason="rate")
    assert metrics.split_name(name) == ("refused", {"team": team, "reason": "rate"})


def test_page_is_in_the_prometheus_format():
    registry = metrics.Registry()
    registry.count(metrics.label_name("refused", team="desk"), 3)
    registry.count(metrics.label_name("refused", team="print"), 4)
    registry.count("refused_late")
    registry.set_gauge("sessions", 12)
    registry.observe("wait", 0.002)
    lines = registry.format_page().decode().splitlines()
    assert 'sardinehold_refused_total{team="desk"} 3.0' in lines
    assert 'sardinehold_refused_total{team="print"} 4.0' in lines
    assert "sardinehold_sessions 12.0" in lines
    assert "sardinehold_wait_seconds_count 1.0" in lines
    types = [line for line in lines if line.startswith("# TYPE")]
    assert len(types) == len(set(types)) == 4
