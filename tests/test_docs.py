"""Generated pages are current, and links in pages refer to existing files."""

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


def test_documented_events_match_those_that_the_code_writes():
    assert set(GENERATOR.collect_events()) == set(occurrences.EVENTS)


def test_documented_causes_match_the_error_codes():
    codes = {kind.code for kind in GENERATOR.list_errors()}
    assert set(GENERATOR.read_causes()) == codes


@pytest.mark.parametrize("page", sorted(DOCS.rglob("*.md")), ids=lambda p: p.name)
def test_links_refer_to_existing_files(page):
    text = page.read_text(encoding="utf-8")
    for target in re.findall(r"\]\(([^)#\s]+)", text):
        if "://" not in target:
            assert (page.parent / target).exists(), target
