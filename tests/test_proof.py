"""Tests that each guarantee has an invariant, a directed test and a random run."""

import importlib
import pathlib
import pkgutil
import re

import pytest

from sardinehold import core
from sardinehold.core import invariants

ROOT = pathlib.Path(__file__).parent.parent
GUARANTEES = 13
UNLISTED = {"connections_within_share"}


def read_table():
    """Return guarantee, invariants, directed tests and random runs of each row."""
    text = (ROOT / "docs" / "design" / "proof.md").read_text(encoding="utf-8")
    table = text.split("|---|---|---|---|\n")[1].split("\n\n")[0]
    rows = [line.strip("|").split("|") for line in table.splitlines()]
    return [
        (guarantee.strip(), *(re.findall(r"`(\w+)`", cell) for cell in cells))
        for guarantee, *cells in rows
    ]


def find_tests():
    names = set()
    for path in (ROOT / "tests").glob("test_*.py"):
        text = path.read_text(encoding="utf-8")
        names.update(re.findall(r"def (test_\w+)\(", text))
    return names


def load_invariants():
    for module in pkgutil.walk_packages(core.__path__, "sardinehold.core."):
        importlib.import_module(module.name)
    return set(invariants.REGISTRY)


@pytest.mark.parametrize("row", read_table(), ids=lambda row: row[0][:40])
def test_row_names_what_exists(row):
    _, named, directed, runs = row
    assert named
    assert directed
    assert runs
    assert set(named) <= load_invariants()
    assert set(directed) | set(runs) <= find_tests()


def test_every_guarantee_and_invariant_is_in_the_table():
    rows = read_table()
    assert len(rows) == GUARANTEES
    named = {name for row in rows for name in row[1]}
    assert load_invariants() == named | UNLISTED
