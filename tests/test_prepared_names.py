"""Names under which statements are prepared at endpoints."""

import itertools

import pytest

import builders_lines


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
    forms = list(itertools.product(["READ", "WRITE"], shapes))
    database = builders_lines.run_client(scenario)
    assert [form for word, form, _ in database.runs if word == "EXECUTE"] == forms
