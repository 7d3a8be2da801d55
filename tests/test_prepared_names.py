"""Names under which statements are prepared at endpoints."""

import itertools

import pytest

import builders_lines
from sardinehold.core import positions
from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold.platform import endpoints
from sardinehold.platform import lines

TOO_LARGE = statements.Failure.TOO_LARGE
NAME_LENGTH = len(statements.Definition(False, "").shared_name)


@pytest.mark.parametrize("kind", ["READ", "WRITE"])
@pytest.mark.parametrize("form", builders_lines.SHAPES)
def test_shape_does_not_become_part_of_other_fields(form, kind):
    # A name that contained the shape ended at the shape's first blank (issue 50).
    shape = builders_lines.SHAPES[form]

    async def scenario(client):
        await client.send(f"PREPARE s1 {kind} {shape}")
        await client.send("EXECUTE s1 1a4 a  b")

    database = builders_lines.run_client(scenario)
    assert database.runs[-1] == ("EXECUTE", (kind, shape), "1a4 a  b")
    assert max(database.sizes) <= builders_lines.MAX_LINE
    assert database.sizes[-2] < 100


def test_statements_of_different_text_have_different_names():
    # PREPARE of "x READ y" as READ replaced the statement "x" of another session.
    async def scenario(client):
        for number, (kind, shape) in enumerate(forms):
            await client.send(f"PREPARE s{number} {kind} {shape}")
        for number in range(len(forms)):
            await client.send(f"EXECUTE s{number} 1a4")

    shapes = ["x", "x ", "x READ y", "READ x", "r_x", "w_x", "X"]
    shapes += ["x" * 2000 + end for end in ("", "a", "b")]
    forms = list(itertools.product(["READ", "WRITE"], shapes))
    database = builders_lines.run_client(scenario)
    assert [form for word, form, _ in database.runs if word == "EXECUTE"] == forms


def test_name_does_not_depend_on_the_process():
    # Owners and nodes that start again must find what is prepared on a connection.
    found = statements.Definition(True, "q2c").shared_name
    assert found == "p_144f79e09ecfd21b41f106e875201faf"


def test_statement_that_outgrows_the_limit_is_not_sent():
    # The name at the endpoint and AFTER are longer than what the caller sent.
    answers = []

    async def scenario(client):
        await client.send("PREPARE s READ q2c")
        data = "x" * (builders_lines.MAX_LINE - len("QUERY id1 EXECUTE s 1a4 \r\n"))
        answers.append(await client.send(f"EXECUTE s 1a4 {data}"))
        item = "x" * (builders_lines.MAX_LINE - len("QUERY id2 READ \r\n"))
        answers.append(await client.send(f"READ {item}", positions.Position(3, 12)))
        answers.append(await client.send(f"READ {item}"))

    database = builders_lines.run_client(scenario)
    assert [answer.error for answer in answers] == [TOO_LARGE, TOO_LARGE, None]
    assert [word for word, _, _ in database.runs] == ["PREPARE", "READ"]
    assert max(database.sizes) == builders_lines.MAX_LINE


@pytest.mark.parametrize(
    ("text", "excess"),
    [
        ("PREPARE s READ {}", NAME_LENGTH - 1 - len("id1") + 1),
        ("EXECUTE s 1a4 {}", NAME_LENGTH - 1),
    ],
)
def test_statement_that_outgrows_the_limit_is_refused_on_arrival(text, excess):
    # A PREPARE that no endpoint can be sent was answered with success.
    room = builders_lines.MAX_LINE - len(f"QUERY id1 {text.format('')}\r\n") - excess
    for size, is_refused in ((room, False), (room + 1, True)):
        statement = callers.parse_statement("id1", text.format("x" * size))
        assert endpoints.exceeds_limit(statement) is is_refused


def test_line_of_several_fields_is_divided_where_its_writer_divides_it():
    for fields in [("a b", "c"), ("", "c"), ("a", "c\nQUERY - RESET"), ("a\r", "c")]:
        with pytest.raises(ValueError, match="field"):
            lines.format_line("START", *fields)
    assert lines.format_line("SET", "a", " b  c ") == b"SET a  b  c \r\n"
