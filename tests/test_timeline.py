"""Recording, merging, filtering and drawing events."""

import json

import pytest

from sardinehold import cli
from sardinehold import drawing
from sardinehold import errors
from sardinehold import timeline


class FakeWallClock:
    """A wall clock that tests set."""

    def __init__(self, now=1_000_000):
        self.now = now

    def __call__(self):
        return self.now


def open_recorder(tmp_path, vm="vm-1", wall=None):
    path = str(tmp_path / f"{vm}.events")
    return timeline.Recorder(path, vm, "dallas", wall or FakeWallClock(), lambda: 1.5)


def read(tmp_path, *vms):
    return timeline.read_events([tmp_path / f"{vm}.events" for vm in vms])


def test_event_is_one_json_line(tmp_path):
    recorder = open_recorder(tmp_path)
    recorder.record("failover_sealed", group="letters-1", term=4, view_version=17)
    recorder.close()
    line = json.loads((tmp_path / "vm-1.events").read_text())
    assert line == {
        "kind": "failover_sealed",
        "vm": "vm-1",
        "zone": "dallas",
        "wall": 1_000_000,
        "logical": 0,
        "monotonic": 1.5,
        "group": "letters-1",
        "term": 4,
        "view_version": 17,
    }


@pytest.mark.parametrize("name", sorted(timeline.FORBIDDEN_FIELDS))
def test_data_of_callers_is_never_written(tmp_path, name):
    recorder = open_recorder(tmp_path)
    secret = "shk_0123abcd_" + "5e" * 32
    recorder.record("session_refused", **{name: "SELECT 42"}, detail=f"bad {secret}")
    recorder.close()
    text = (tmp_path / "vm-1.events").read_text()
    assert "SELECT" not in text
    assert "5e5e" not in text
    assert "shk_0123abcd_…" in text


def test_long_text_is_truncated(tmp_path):
    assert len(timeline.redact_fields({"detail": "x" * 9999})["detail"]) == 200


@pytest.mark.parametrize("text", ["a\u2028b", "a\x85b", "a\nb\r\x0bc", "a\ud800b"])
def test_event_with_line_ends_in_a_text_is_one_event(tmp_path, text):
    # Other line ends than "\n" ended the line of the event when it was read.
    recorder = open_recorder(tmp_path)
    recorder.record("document_changed", reason=text)
    recorder.record("process_stopped")
    recorder.close()
    first, second = read(tmp_path, "vm-1")
    assert first.fields["reason"] == text
    assert second.kind == "process_stopped"
    assert len(first.format(0).splitlines()) == 1


def test_recorder_without_a_path_advances_its_clock():
    recorder = timeline.Recorder("", "vm-1", "dallas")
    recorder.record("anything")
    first, second = recorder.next_timestamp(), recorder.next_timestamp()
    assert (first.wall, first.logical) < (second.wall, second.logical)


def test_full_disk_is_counted_and_raises_nothing(tmp_path, monkeypatch):
    recorder = open_recorder(tmp_path)

    def fail(*_arguments):
        raise OSError("no space")

    monkeypatch.setattr(recorder._handler, "write", fail)
    recorder.record("anything")
    assert recorder.lost == 1


def test_missing_directory_is_a_settings_error(tmp_path):
    with pytest.raises(errors.SettingsError):
        timeline.Recorder(str(tmp_path / "none" / "x.events"), "vm-1", "dallas")


@pytest.mark.parametrize("skew", [-5_000_000, 0, 5_000_000])
def test_effect_is_ordered_after_its_cause_despite_clock_skew(tmp_path, skew):
    first = open_recorder(tmp_path, "vm-1", FakeWallClock(9_000_000))
    second = open_recorder(tmp_path, "vm-2", FakeWallClock(9_000_000 + skew))
    for turn in range(5):
        first.record("sent", turn=turn)
        second.merge_timestamp(first.next_timestamp())
        second.record("received", turn=turn)
        first.merge_timestamp(second.next_timestamp())
    order = [(e.fields["turn"], e.kind) for e in read(tmp_path, "vm-1", "vm-2")]
    wanted = [(turn, kind) for turn in range(5) for kind in ("sent", "received")]
    assert order == wanted


def test_clock_is_monotonic(tmp_path):
    wall = FakeWallClock()
    recorder = open_recorder(tmp_path, wall=wall)
    timestamps = []
    for now in (10, 5, 5, 30, 20):
        wall.now = now
        timestamp = recorder.next_timestamp()
        timestamps.append((timestamp.wall, timestamp.logical))
    assert timestamps == sorted(set(timestamps))


def test_timestamp_far_in_the_future_is_ignored():
    recorder = timeline.Recorder("", "vm-1", "dallas", FakeWallClock(1_000_000))
    recorder.merge_timestamp(timeline.Timestamp(10**15, 0))
    assert recorder.next_timestamp().wall == 1_000_000


def test_line_truncated_by_a_crash_is_ignored(tmp_path):
    recorder = open_recorder(tmp_path)
    recorder.record("one")
    recorder.close()
    path = tmp_path / "vm-1.events"
    path.write_text(path.read_text() + '{"kind": "tw')
    assert [event.kind for event in read(tmp_path, "vm-1")] == ["one"]


def test_file_without_events_is_refused(tmp_path):
    path = tmp_path / "x.events"
    path.write_text("hello\nworld\n")
    with pytest.raises(errors.SettingsError):
        timeline.read_events([path])


@pytest.fixture
def failover(tmp_path):
    """Events of a failover seen by two VMs, a second apart."""
    wall = FakeWallClock()
    first, second = (open_recorder(tmp_path, vm, wall) for vm in ("vm-1", "vm-2"))
    steps = [
        (first, "lease_renewed", {}),
        (second, "failover_suspect", {"group": "letters-1", "term": 4}),
        (second, "failover_sealed", {"group": "letters-1", "term": 4}),
        (first, "lease_lapsed", {}),
        (second, "failover_published", {"group": "letters-1", "term": 5}),
        (second, "failover_suspect", {"group": "letters-2", "term": 1}),
    ]
    for recorder, kind, fields in steps:
        wall.now += 1_000_000
        recorder.record(kind, **fields)
    return [tmp_path / "vm-1.events", tmp_path / "vm-2.events"]


@pytest.mark.parametrize(
    ("selection", "count"),
    [
        ({}, 6),
        ({"kinds": ("failover_*",)}, 4),
        ({"kinds": ("lease_lapsed", "lease_renewed")}, 2),
        ({"vms": ("vm-1",)}, 2),
        ({"groups": ("letters-1",)}, 3),
        ({"since": 2, "until": 4}, 3),
        ({"groups": ("letters-9",)}, 0),
    ],
)
def test_filter_selects_matching_events(failover, selection, count):
    events = timeline.read_events(failover)
    kept = timeline.filter_events(events, timeline.EventFilter(**selection))
    assert len(kept) == count


def test_terms_and_leases_are_drawn_as_spans(failover):
    spans = drawing.find_spans(timeline.read_events(failover))
    named = {(span.lane, span.label): (span.start, span.end) for span in spans}
    assert named["vm-1", "lease"] == (2_000_000, 5_000_000)
    assert named["letters-1", "fencing, term 4"] == (4_000_000, 6_000_000)
    assert named["letters-1", "serving, term 5"] == (6_000_000, 7_000_000)


def test_labels_of_one_lane_do_not_overlap():
    spans = [
        drawing.Span("letters-1", "x" * length, start, start + 1)
        for start, length in ((0, 10), (2_000_000, 3), (4_000_000, 1), (9_000_000, 1))
    ]
    lines = drawing.place_labels(spans, 0, 0.5)
    assert [lines[span] for span in spans] == [0, 1, 2, 0]


@pytest.mark.parametrize(("suffix", "magic"), [("svg", b"<?xml"), ("png", b"\x89PNG")])
def test_diagram_is_written(failover, tmp_path, suffix, magic):
    diagram = tmp_path / f"failover.{suffix}"
    files = [str(path) for path in failover]
    assert cli.main(["timeline", *files, "--draw", str(diagram)]) == 0
    data = diagram.read_bytes()
    assert data.startswith(magic)
    if suffix == "svg":
        assert b"serving, term 5" in data


def test_diagram_of_an_unsupported_format_is_refused(failover, tmp_path):
    target = str(tmp_path / "x.bmp")
    assert cli.main(["timeline", *map(str, failover), "--draw", target]) == 2


@pytest.mark.parametrize("option", [[], ["--json"]])
def test_events_are_printed_in_causal_order(failover, capsys, option):
    assert cli.main(["timeline", *map(str, failover), *option]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert len(lines) == 6
    assert "lease_renewed" in lines[0]
    assert "letters-2" in lines[-1]
