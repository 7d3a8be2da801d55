"""Framing and statement parsing of the line protocol."""

import pytest

from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold.platform import lines

Kind = statements.Kind


def test_lines_are_split_wherever_the_bytes_arrive():
    data = b"START db key\r\nQUERY 1 READ a\r\n"
    for size in range(1, len(data)):
        reader = lines.LineReader()
        found = []
        for start in range(0, len(data), size):
            found += reader.feed(data[start : start + size])
        assert found == ["START db key", "QUERY 1 READ a"]


@pytest.mark.parametrize("data", [b"a\nb\r\n", b"a\rb\r\n", b"\nQUERY 1 READ a\r\n"])
def test_stray_line_ends_are_refused(data):
    with pytest.raises(lines.MalformedLine):
        lines.LineReader().feed(data)


def test_line_of_the_limit_is_taken_and_a_longer_one_refused():
    longest = b"x" * (lines.MAX_LINE - 2) + b"\r\n"
    assert len(lines.LineReader().feed(longest)[0]) == lines.MAX_LINE - 2
    with pytest.raises(lines.LineTooLong):
        lines.LineReader().feed(b"x" * (lines.MAX_LINE + 1))


def test_queue_returns_lines_wherever_the_bytes_arrive():
    data = b"START db key\r\nQUERY 1 READ a\r\nQ"
    for size in range(1, len(data)):
        queue = lines.LineQueue()
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        assert sum(map(queue.feed, pieces)) == 2
        assert [queue.take(), queue.take()] == ["START db key", "QUERY 1 READ a"]
        assert not queue.has_lines()
        assert (len(queue), queue.count_unfinished()) == (1, 1)


def test_queue_refuses_a_line_as_soon_as_it_passes_the_limit():
    queue = lines.LineQueue()
    queue.feed(b"QUERY 1 READ a\r\n" + b"x" * lines.MAX_LINE)
    with pytest.raises(lines.LineTooLong):
        queue.feed(b"x")
    queue = lines.LineQueue()
    queue.feed(b"x" * (lines.MAX_LINE - 1) + b"\r\n" + b"y" * (lines.MAX_LINE - 2))
    with pytest.raises(lines.LineTooLong):
        queue.take()


@pytest.mark.parametrize("data", [b"a\nb\r\n", b"a\rb\r\n", b"\nQUERY 1 READ a\r\n"])
def test_queue_refuses_stray_line_ends(data):
    queue = lines.LineQueue()
    queue.feed(data)
    with pytest.raises(lines.MalformedLine):
        queue.take()


def test_all_bytes_are_forwarded_unchanged():
    data = bytes(value for value in range(256) if value not in b"\r\n")
    (line,) = lines.LineReader().feed(data + b"\r\n")
    assert lines.format_line(line) == data + b"\r\n"


def test_last_field_extends_to_the_end_of_the_line():
    assert lines.split_fields("QUERY 1 WRITE a b  c", 2) == [
        "QUERY",
        "1",
        "WRITE a b  c",
    ]


def test_empty_field_in_front_is_refused():
    with pytest.raises(lines.MalformedLine):
        lines.split_fields("QUERY  READ a", 2)


@pytest.mark.parametrize(
    ("text", "kind", "name"),
    [
        ("BEGIN", Kind.BEGIN, ""),
        ("BEGIN READ", Kind.BEGIN_READ, ""),
        ("COMMIT", Kind.COMMIT, ""),
        ("ROLLBACK", Kind.ROLLBACK, ""),
        ("READ 1a4", Kind.READ, ""),
        ("WRITE 1a4 some data", Kind.WRITE, ""),
        ("SET mode fast", Kind.SET, "mode"),
        ("PREPARE s1 WRITE q2c", Kind.PREPARE, "s1"),
        ("EXECUTE s1 1a4 data", Kind.EXECUTE, "s1"),
        ("DEALLOC s1", Kind.DEALLOCATE, "s1"),
    ],
)
def test_statement_is_recognised_and_kept_as_sent(text, kind, name):
    statement = callers.parse_statement("id", text)
    assert (statement.kind, statement.name, statement.text) == (kind, name, text)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "STATUS",
        "RESET",
        "PAUSE 4",
        "STEPDOWN 4",
        "RESUME",
        "AFTER 1.2 READ a",
        "begin",
        "BEGIN WRITE",
        "COMMIT ",
        "COMMIT now",
        "READ",
        "READ a b",
        "WRITE a",
        "SET mode",
        "PREPARE s1 q2c",
        "PREPARE s1 DROP q2c",
        "EXECUTE s1",
        "DEALLOC",
    ],
)
def test_other_texts_are_never_forwarded(text):
    with pytest.raises(lines.MalformedLine):
        callers.parse_statement("id", text)


def test_failure_is_sent_with_its_code_and_the_state():
    answer = statements.Answer([], error=statements.Failure.ABORTED, status="E")
    assert callers.format_answer(answer) == b"ERROR ABORTED aborted\r\nREADY E -\r\n"


@pytest.mark.parametrize(
    ("detail", "sent"),
    [
        (
            "zone \u0142\u00f3d\u017a is evacuated",
            "zone \\u0142\u00f3d\\u017a is evacuated",
        ),
        ("lost\r\nCOMPLETE 1.a\r\nREADY I -", "lost\\r\\nCOMPLETE 1.a\\r\\nREADY I -"),
        ("\ud800", "\\ud800"),
        (" two  blanks ", " two  blanks "),
    ],
)
def test_detail_that_no_line_can_hold_is_escaped(detail, sent):
    # The caller got no answer, and its session went on without one.
    answer = statements.Answer([], error=statements.Failure.BUSY, detail=detail)
    expected = f"ERROR BUSY {sent}\r\nREADY I -\r\n"
    assert callers.format_answer(answer) == expected.encode("latin-1")


@pytest.mark.parametrize("letter", ["x", "\u0142"])
def test_detail_that_exceeds_the_limit_is_cut(letter):
    # A database's error of the longest line has a longer code for the caller.
    detail = letter * lines.MAX_LINE
    answer = statements.Answer([], error=statements.Failure.FAILED, detail=detail)
    first, _, rest = callers.format_answer(answer).partition(b"\r\n")
    assert len(first) + 2 == 1024 * 1024
    assert rest == b"READY I -\r\n"
