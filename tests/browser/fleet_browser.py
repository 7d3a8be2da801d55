"""Configuration of a local fleet through the console in a browser.

``pytest tests/browser/fleet_browser.py``; out/browser/times.json gives the time each
change took to take effect.
"""

import contextlib
import json
import pathlib
import re
import time

import browsers
import programs
import psycopg
import pytest

import builders_document as builders

TIMES_PATH = pathlib.Path("out/browser/times.json")
EMPTY_DOCUMENT = '{"teams": {}, "groups": {}, "routes": {}}'
MAX_EFFECT_SECONDS = 8.0
"""Seconds within which a change must be in force on all proxies."""


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    started = programs.Fleet(tmp_path_factory.mktemp("fleet"))
    yield started
    started.stop()


@pytest.fixture(scope="module")
def browser(fleet):
    opened = browsers.Browser()
    yield opened
    opened.close()


@pytest.fixture(scope="module")
def effect_times():
    recorded = {}
    yield recorded
    TIMES_PATH.parent.mkdir(parents=True, exist_ok=True)
    TIMES_PATH.write_text(json.dumps(recorded, indent=1), encoding="utf-8")


def submit(browser, **fields):
    for name, text in {"reason": "trying it out", **fields}.items():
        browser.type(f"[name={name}]", text)
    start = time.monotonic()
    browser.click_and_wait("button[value=save]")
    return start


def connect(fleet, key, number=0):
    return psycopg.connect(
        host="127.0.0.1",
        port=fleet.ports[number],
        dbname="reader-web",
        user="any",
        password=key,
        autocommit=True,
        connect_timeout=5,
    )


def wait_until(check, timeout=MAX_EFFECT_SECONDS):
    start = time.monotonic()
    while not check():
        assert time.monotonic() - start < timeout, "no effect within the timeout"
        time.sleep(0.05)
    return time.monotonic()


def can_connect(fleet, key):
    with contextlib.suppress(psycopg.Error), connect(fleet, key) as connection:
        return connection.execute("SELECT 1").fetchone() == (1,)
    return False


def count_refusals(fleet, key, statements=60):
    refused = 0
    with connect(fleet, key) as connection:
        for _ in range(statements):
            try:
                connection.execute("SELECT 1")
            except psycopg.Error as error:
                refused += "SH205" in str(error) or error.sqlstate == "53400"
    return refused


def wait_in_force(fleet, browser, submitted_at, effect_times, name):
    found = re.search(r"accepted=(\d+)", browser.read_url())
    assert found, browser.read_text()
    version = found[1]
    browser.open(f"{fleet.url}/?accepted={version}")
    browser.wait_for("It is in force on 3 of 3 VMs", MAX_EFFECT_SECONDS)
    effect_times[name] = round(time.monotonic() - submitted_at, 2)
    browser.open(f"{fleet.url}/teams/web-desk")


def test_changes_take_effect_on_all_proxies(fleet, browser, effect_times):
    browser.open(fleet.url)
    browser.type("#key", builders.BOOTSTRAP)
    browser.click_and_wait("main button")
    browser.run(f"document.querySelector('[name=content]').value = '{EMPTY_DOCUMENT}'")
    submit(browser)
    browser.open(f"{fleet.url}/groups")
    browser.follow_link("Add letters-1 from the platform")
    submit(browser)
    browser.open(f"{fleet.url}/teams")
    browser.follow_link("Add a team")
    submit(browser, team="web-desk", rate="200", burst="100")
    browser.follow_link("Create a key")
    submit(browser)
    key = browser.read("#secret")
    browser.open(f"{fleet.url}/edits/route.create")
    browser.click("input[name=teams][value=web-desk]")
    submitted_at = submit(browser, route="reader-web", statement_timeout="1")
    wait_until(lambda: can_connect(fleet, key), 20)
    effect_times["route to first answer"] = round(time.monotonic() - submitted_at, 2)
    wait_in_force(
        fleet, browser, submitted_at, effect_times, "route shown in force on 3 of 3"
    )

    assert count_refusals(fleet, key) == 0
    browser.follow_link("Change rate, burst, weight")
    submitted_at = submit(browser, rate="0.2", burst="1")
    wait_in_force(
        fleet, browser, submitted_at, effect_times, "rate shown in force on 3 of 3"
    )
    wait_until(lambda: count_refusals(fleet, key, 4) > 0)
    effect_times["rate to first refusal"] = round(time.monotonic() - submitted_at, 2)
    browser.follow_link("Change rate, burst, weight")
    submitted_at = submit(browser, rate="500", burst="500")
    wait_in_force(
        fleet, browser, submitted_at, effect_times, "rate raised, in force on 3 of 3"
    )
    wait_until(lambda: count_refusals(fleet, key, 8) == 0)

    effect_times["rate raised to no refusal"] = round(
        time.monotonic() - submitted_at, 2
    )

    connections = [connect(fleet, key, number) for number in range(3)]
    for connection in connections:
        assert connection.execute("SELECT 1").fetchone() == (1,)
    browser.open(f"{fleet.url}/teams/web-desk")
    browser.follow_link("Withdraw")
    submitted_at = submit(browser)

    def are_all_closed():
        for connection in connections:
            with contextlib.suppress(psycopg.Error):
                connection.execute("SELECT 1")
        return all(connection.closed for connection in connections)

    ended = wait_until(are_all_closed) - submitted_at
    effect_times["withdrawal to last session ended"] = round(ended, 2)
    wait_in_force(
        fleet,
        browser,
        submitted_at,
        effect_times,
        "withdrawal shown in force on 3 of 3",
    )
    assert not can_connect(fleet, key)


def test_handover_moves_the_primary(fleet, browser, effect_times):
    browser.open(f"{fleet.url}/groups/letters-1")
    assert browser.read(".figure") == "letters-1a"
    browser.follow_link("Hand over the primary")
    browser.click("option[value=letters-1b]")
    browser.type("[name=reason]", "new disk")
    submitted_at = time.monotonic()
    browser.click_and_wait("main button")

    def has_moved():
        browser.open(f"{fleet.url}/groups/letters-1")
        return browser.read(".figure") == "letters-1b"

    effect_times["hand-over to new primary shown"] = round(
        wait_until(has_moved) - submitted_at, 2
    )
