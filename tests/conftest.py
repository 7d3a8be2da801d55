"""Marks the tests that KNOWN-RED.txt lists as failing, and prints them."""

import pathlib

import pytest

LIST = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
PREFIX = "red: "
"""Start of the lines that name a test which fails in every run."""


def list_red() -> set[str]:
    """Return the ids of the tests that are known to fail."""
    lines = LIST.read_text().splitlines()
    return {line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)}


def pytest_collection_modifyitems(items):
    red = list_red()
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=True))


def pytest_terminal_summary(terminalreporter):
    for name in sorted(list_red()):
        terminalreporter.write_line(f"known to fail: {name}")
