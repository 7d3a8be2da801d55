"""The newcomer's way through the console, before a real local fleet.

``pytest tests/browser/fleet_browser.py``; out/browser/times.json says how long each
step took to have its effect.
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

TIMES = pathlib.Path("out/browser/times.json")
EMPTY = '{"teams": {}, "groups": {}, "routes": {}}'
EFFECT_BOUND = 8.0
"""Seconds in which a change must be in force everywhere."""


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
def times():
    measured = {}
    yield measured
    TIMES.parent.mkdir(parents=True, exist_ok=True)
    TIMES.write_text(json.dumps(measured, indent=1), encoding="utf-8")


def submit(browser, **fields):
    for name, text in {"reason": "trying it out", **fields}.items():
        browser.type(f"[name={name}]", text)
    start = time.monotonic()
    browser.leave_by("button[value=save]")
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


def wait_until(check, bound=EFFECT_BOUND):
    start = time.monotonic()
    while not check():
        assert time.monotonic() - start < bound, "no effect within the bound"
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


def wait_in_force(fleet, browser, accepted, times, name):
    found = re.search(r"accepted=(\d+)", browser.read_url())
    assert found, browser.read_text()
    version = found[1]
    browser.open(f"{fleet.url}/?accepted={version}")
    browser.wait_for("It is in force on 3 of 3 VMs", EFFECT_BOUND)
    times[name] = round(time.monotonic() - accepted, 2)
    browser.open(f"{fleet.url}/teams/web-desk")


def test_newcomer_goes_all_the_way(fleet, browser, times):
    browser.open(fleet.url)
    browser.type("#key", builders.BOOTSTRAP)
    browser.leave_by("main button")
    browser.run(f"document.querySelector('[name=content]').value = '{EMPTY}'")
    submit(browser)
    browser.open(f"{fleet.url}/groups")
    browser.follow("Add letters-1 of the platform")
    submit(browser)
    browser.open(f"{fleet.url}/teams")
    browser.follow("Add a team")
    submit(browser, team="web-desk", rate="200", burst="100")
    browser.follow("Make a key")
    submit(browser)
    key = browser.read("#secret")
    browser.open(f"{fleet.url}/edits/route.create")
    browser.click("input[name=teams][value=web-desk]")
    accepted = submit(browser, route="reader-web", statement_timeout="1")
    wait_until(lambda: can_connect(fleet, key), 20)
    times["route to first answer"] = round(time.monotonic() - accepted, 2)
    wait_in_force(fleet, browser, accepted, times, "route shown in force on 3 of 3")

    assert count_refusals(fleet, key) == 0
    browser.follow("Change rate, burst, weight")
    accepted = submit(browser, rate="0.2", burst="1")
    wait_in_force(fleet, browser, accepted, times, "rate shown in force on 3 of 3")
    wait_until(lambda: count_refusals(fleet, key, 4) > 0)
    times["rate to first refusal"] = round(time.monotonic() - accepted, 2)
    browser.follow("Change rate, burst, weight")
    accepted = submit(browser, rate="500", burst="500")
    wait_in_force(fleet, browser, accepted, times, "rate raised, in force on 3 of 3")
    wait_until(lambda: count_refusals(fleet, key, 8) == 0)

    times["rate raised to no refusal"] = round(time.monotonic() - accepted, 2)

    opened = [connect(fleet, key, number) for number in range(3)]
    for connection in opened:
        assert connection.execute("SELECT 1").fetchone() == (1,)
    browser.open(f"{fleet.url}/teams/web-desk")
    browser.follow("Withdraw")
    accepted = submit(browser)

    def all_ended():
        for connection in opened:
            with contextlib.suppress(psycopg.Error):
                connection.execute("SELECT 1")
        return all(connection.closed for connection in opened)

    ended = wait_until(all_ended) - accepted
    times["withdrawal to last session ended"] = round(ended, 2)
    wait_in_force(
        fleet, browser, accepted, times, "withdrawal shown in force on 3 of 3"
    )
    assert not can_connect(fleet, key)


def test_newcomer_hands_a_primary_over(fleet, browser, times):
    browser.open(f"{fleet.url}/groups/letters-1")
    assert browser.read(".figure") == "letters-1a"
    browser.follow("Hand the primary over")
    browser.click("option[value=letters-1b]")
    browser.type("[name=reason]", "new disk")
    asked = time.monotonic()
    browser.leave_by("main button")

    def has_moved():
        browser.open(f"{fleet.url}/groups/letters-1")
        return browser.read(".figure") == "letters-1b"

    times["hand-over to new primary shown"] = round(wait_until(has_moved) - asked, 2)
