"""Generated pages are current, and links lead somewhere."""

import importlib.util
import pathlib
import re

import pytest

from sardinehold.node import occurrences

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def load_generator():
    spec = importlib.util.spec_from_file_location("generate", DOCS / "generate.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


GENERATOR = load_generator()


@pytest.mark.parametrize(
    "name", ["configuration.md", "errors.md", "events.md", "schema.json"]
)
def test_generated_page_is_current(name):
    text = (DOCS / name).read_text(encoding="utf-8")
    assert text == GENERATOR.build_pages()[name], "run docs/generate.py"


def test_lines_that_the_code_writes_and_those_described_are_the_same():
    assert set(GENERATOR.collect_events()) == set(occurrences.EVENTS)


def test_every_code_has_a_cause_and_none_is_left_over():
    codes = {kind.code for kind in GENERATOR.list_errors()}
    assert set(GENERATOR.read_causes()) == codes


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")), ids=lambda p: p.name)
def test_links_lead_to_files(page):
    text = page.read_text(encoding="utf-8")
    for target in re.findall(r"\]\(([^)#\s]+)", text):
        if "://" not in target:
            assert (page.parent / target).exists(), target
