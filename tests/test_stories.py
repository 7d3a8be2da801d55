"""Explaining a request from log lines, and the limits of logging."""

import contextlib
import json
import os

import logbook
import pytest

from sardinehold import cli
from sardinehold import errors
from sardinehold import explanations
from sardinehold import metrics
from sardinehold.node import journal


def make_line(at: float, event: str, vm: str = "n1", **fields: object) -> str:
    return json.dumps({"at": at, "vm": vm, "event": event, **fields})


LINES = [
    make_line(1.0, "configuration", version=3),
    make_line(1.1, "group_state", group="g", term=1, primary="e1"),
    make_line(1.1, "group_state", group="other", term=1, primary="x"),
    make_line(2.0, "configuration", version=4),
    make_line(4.0, "failover_seal", vm="n2", group="g", term=1),
    make_line(5.0, "failed", request="r7", group="g", endpoint="e1", seconds=0.5),
    make_line(5.2, "failover_published", vm="n2", group="g", term=2),
    make_line(5.3, "failover_published", vm="n2", group="other", term=2),
]


def write_log(tmp_path, rows):
    path = tmp_path / "a.log"
    path.write_text("noise\n" + "\n".join(f"  1.2 n1 {row}" for row in rows))
    return path


def test_explanation_has_the_known_state_and_the_change_of_primary(tmp_path):
    lines = explanations.read_lines([write_log(tmp_path, LINES)])
    story = explanations.explain_request(lines, "r7")
    assert [(line["event"], line.get("version")) for line in story] == [
        ("group_state", None),
        ("configuration", 4),
        ("failover_seal", None),
        ("failed", None),
        ("failover_published", None),
    ]


def test_explanation_has_late_attempts_and_suspensions_meanwhile(tmp_path):
    rows = [
        make_line(1.0, "suspended", vm="n2", seconds=0.6),
        make_line(4.9, "suspended", vm="n2", seconds=2.0),
        make_line(4.9, "suspended", vm="n3", seconds=2.0),
        make_line(4.95, "order_rejected", vm="n4", request="r7", endpoint="e2"),
        make_line(5.0, "served", request="r7", home="n2", hedges=1, seconds=2.2),
        make_line(5.4, "sent_late", vm="n2", request="r7", attempt="retry"),
    ]
    path = write_log(tmp_path, rows)
    story = explanations.explain_request(explanations.read_lines([path]), "r7")
    assert [(line["event"], line["at"]) for line in story] == [
        ("suspended", 4.9),
        ("order_rejected", 4.95),
        ("served", 5.0),
        ("sent_late", 5.4),
    ]
    assert explanations.find_outcome(story)["event"] == "served"


def test_unknown_request_is_an_error_with_a_remedy(tmp_path):
    with pytest.raises(errors.SettingsError):
        explanations.explain_request(
            explanations.read_lines([write_log(tmp_path, LINES)]), "r8"
        )


def test_command_prints_the_explanation(tmp_path, capsys):
    assert cli.main(["explain", "r7", str(write_log(tmp_path, LINES))]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 5
    assert "request=r7" in printed[3]


def write_log_lines(vm: str, count: int, ordinary: bool):
    registry = metrics.Registry()
    made = journal.Journal(vm, registry)
    with logbook.TestHandler() as handler:
        for _ in range(count):
            if ordinary:
                made.note_ordinary("served", reason="x" * 150)
            else:
                made.note("failed", reason="x" * 150)
    return made, handler.formatted_records


def test_lines_of_a_second_are_bounded_and_drops_are_counted(monkeypatch):
    monkeypatch.setattr(journal.time, "time", lambda: 100.0)
    made, records = write_log_lines("n1", 2000, ordinary=False)
    size = sum(len(record) for record in records)
    assert size <= journal.MAX_BYTES_PER_SECOND * 1.2
    assert made.dropped == made.registry.counters["log_lines_dropped"] > 0


def test_ordinary_successes_are_dropped_first(monkeypatch):
    monkeypatch.setattr(journal.time, "time", lambda: 100.0)
    _, ordinary = write_log_lines("n1", 2000, ordinary=True)
    _, others = write_log_lines("n1", 2000, ordinary=False)
    assert len(ordinary) < 0.6 * len(others)


def test_event_without_a_description_is_an_error():
    with pytest.raises(errors.InvariantViolation):
        journal.Journal("n1", metrics.Registry()).note("something")


def test_stalled_log_reader_does_not_block_the_process():
    read, write = os.pipe()
    handler = journal.Handler(write)
    record = logbook.LogRecord("x", logbook.INFO, "line " + "x" * 1000)
    record.pull_information()
    for _ in range(200):
        handler.emit(record)
    assert handler.dropped > 0
    os.close(read)
    os.close(write)


def test_line_that_is_written_in_part_does_not_garble_the_next_one():
    # A pipe takes a line of more than its atomic size in part when it is almost full.
    def emit(text):
        record = logbook.LogRecord("x", logbook.INFO, text)
        record.pull_information()
        handler.emit(record)

    read, write = os.pipe()
    handler = journal.Handler(write)
    while not handler.dropped:
        emit("x" * 4095)
    os.read(read, 8192)
    emit("y" * 20_000)
    assert handler.dropped == 2
    os.set_blocking(read, False)
    with contextlib.suppress(BlockingIOError):
        while os.read(read, 65536):
            pass
    emit("later")
    emit("last")
    assert os.read(read, 65536).endswith(b"\nlater\nlast\n")
    os.close(read)
    os.close(write)


def test_unread_lines_are_counted_when_the_reader_resumes(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(journal.time, "time", lambda: now[0])
    read, write = os.pipe()
    handler = journal.Handler(write)
    made = journal.Journal("n1", metrics.Registry())
    made.handler = handler
    with handler.applicationbound():
        while not handler.dropped:
            now[0] += 1.0
            for _ in range(50):
                made.note("failed", reason="x" * 200)
        while len(os.read(read, 65536)) == 65536:
            pass
        lost = handler.dropped
        now[0] += 1.0
        made.note("failed", reason="again")
    lines = [json.loads(line) for line in os.read(read, 65536).splitlines()]
    os.close(read)
    os.close(write)
    assert lost > 0
    assert {"lines_dropped": lost} in [{x["event"]: x.get("count")} for x in lines]
