"""Tests of the console in Chromium: ``pytest tests/browser/forms_browser.py``.

Not collected by default, since CI may be unable to install a browser.
Screenshots at desktop and phone width are saved in out/browser.
"""

import json
import pathlib
import re

import browsers
import programs
import pytest

import builders_document as builders

SCREENSHOTS = pathlib.Path("out/browser")
WIDTHS = (1280, 390)
TAB = "\ue004"
ENTER = "\ue007"

FIRST_DOCUMENT = builders.build_value(operators={})
GROUP_STATE = {
    "name": "letters-1",
    "term": 4,
    "primary": "letters-1a",
    "phase": "serving",
    "history": [{"term": 3, "offset": 120}, {"term": 4, "offset": 5310}],
    "change_id": "",
}


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    started = programs.ConsoleProcesses(tmp_path_factory.mktemp("console"))
    yield started
    assert started.stop() == (0, 0)


@pytest.fixture(scope="module")
def browser(processes):
    opened = browsers.Browser()
    yield opened
    opened.close()


def write_status(processes, version, count=9):
    """Write the status of nine VMs, ``count`` of them at the version."""
    counters = {
        "reads_on_replica": 8412,
        "reads_on_primary": 1033,
        'requests_served{team="desk"}': 9120,
        'requests_refused{team="desk"}': 14,
        'requests_served{team="print"}': 2210,
        'requests_refused{team="print"}': 3,
    }
    for number, zone in enumerate(("dallas", "houston", "austin")):
        vms = {
            f"entry-{number * 3 + i + 1}": {
                "document_version": version - (number * 3 + i >= count),
                "view_version": 1,
                "state": "serving",
                "counters": counters if number + i == 0 else {},
                "histograms": {},
            }
            for i in range(3)
        }
        processes.put("status", zone, {"vms": vms})


def save_screenshots(browser, name):
    SCREENSHOTS.mkdir(parents=True, exist_ok=True)
    for width in WIDTHS:
        browser.resize(width)
        browser.save_screenshot(SCREENSHOTS / f"{name}-{width}.png")
        assert browser.measure_overflow() <= 0, (name, width)
    browser.resize(WIDTHS[0])


def sign_in(browser, processes, key=builders.BOOTSTRAP):
    browser.open(f"{processes.url}/sign-in")
    browser.type("#key", key)
    browser.click_and_wait("main button")


def fill(browser, **fields):
    for name, text in fields.items():
        browser.type(f"[name={name}]", text)


def submit(browser, intent="save"):
    browser.click_and_wait(f"button[value={intent}]")


def test_bootstrap_creates_document_and_operator(processes, browser):
    browser.open(processes.url)
    save_screenshots(browser, "sign-in")
    sign_in(browser, processes)
    assert "has no document yet" in browser.read_text()
    save_screenshots(browser, "empty-platform")
    # The document is set as text; typing it key by key would only take time.
    text = json.dumps(json.dumps(FIRST_DOCUMENT, indent=1))
    browser.run(f"document.querySelector('[name=content]').value = {text}")
    fill(browser, reason="first document")
    submit(browser)
    processes.put("group-state", "letters-1", GROUP_STATE)
    write_status(processes, 1)
    browser.open(processes.url)
    assert "in force on 9 of 9 VMs" in browser.read_text()
    save_screenshots(browser, "status")
    browser.follow_link("Go there")
    fill(browser, operator="ana", reason="first operator")
    browser.click("option[value=operate]")
    submit(browser)
    key = browser.read("#secret")
    assert re.fullmatch(r"shk_[0-9a-f]{8}_[0-9a-f]{64}", key)
    save_screenshots(browser, "operator-key")
    browser.follow_link("I have copied it")
    browser.click_and_wait(".who button")
    sign_in(browser, processes, key)
    assert "ana" in browser.read(".who")


def test_team_with_key_and_route_is_created(processes, browser):
    browser.open(f"{processes.url}/teams")
    save_screenshots(browser, "teams")
    browser.follow_link("Add a team")
    save_screenshots(browser, "team-form")
    fill(browser, team="web-desk", rate="many", burst="20", reason="readers' page")
    submit(browser)
    assert "teams.web-desk.rate" in browser.read_text()
    save_screenshots(browser, "faults")
    fill(browser, rate="40")
    submit(browser, "try")
    assert "Nothing has been changed yet" in browser.read_text()
    save_screenshots(browser, "trial")
    submit(browser)
    assert browser.read("h1") == "Team web-desk"
    browser.follow_link("Create a key")
    fill(browser, reason="first key")
    submit(browser)
    save_screenshots(browser, "key")
    browser.follow_link("I have copied it")
    browser.open(f"{processes.url}/routes")
    save_screenshots(browser, "routes")
    browser.follow_link("Add a route")
    save_screenshots(browser, "route-form")
    fill(browser, route="reader-web", max_age="2", reason="readers' page")
    browser.click("input[name=teams][value=web-desk]")
    submit(browser)
    assert "reader-web" in browser.read_text()
    browser.open(f"{processes.url}/teams/web-desk")
    assert "reader-web" in browser.read_text()


def test_withdrawal_shows_where_it_is_in_force(processes, browser):
    browser.open(f"{processes.url}/teams/web-desk")
    browser.follow_link("Withdraw")
    save_screenshots(browser, "withdraw")
    fill(browser, reason="laptop lost")
    submit(browser)
    version = int(re.search(r"accepted=(\d+)", browser.read_url())[1])
    write_status(processes, version, count=8)
    browser.open(f"{processes.url}/teams/web-desk")
    assert "in force on 8 of 9 VMs" in browser.read_text()
    save_screenshots(browser, "team")
    write_status(processes, version)
    browser.follow_link("reload")
    assert "in force on 9 of 9 VMs" in browser.read_text()


def test_conflict_shows_the_other_change(processes, browser):
    browser.open(f"{processes.url}/edits/team.change?team=desk")
    browser.run("document.querySelector('[name=base]').value -= 1")
    fill(browser, rate="90", reason="busy week")
    submit(browser)
    assert "Somebody else changed the document" in browser.read_text()
    assert "laptop lost" in browser.read_text()
    save_screenshots(browser, "conflict")
    submit(browser)
    assert "90" in browser.read(".figure")


def test_handover_is_requested(processes, browser):
    browser.open(f"{processes.url}/groups/letters-1")
    browser.follow_link("Hand over the primary")
    save_screenshots(browser, "handover")
    browser.click("option[value=letters-1b]")
    fill(browser, reason="new disk")
    browser.click_and_wait("main button")
    assert "under way" in browser.read_text()
    save_screenshots(browser, "group")


@pytest.mark.parametrize("page", ["groups", "operators", "document", "history"])
def test_page_fits_desktop_and_phone(processes, browser, page):
    browser.open(f"{processes.url}/{page}")
    save_screenshots(browser, page)


def test_degraded_status_shows_the_next_action(processes, browser):
    processes.put("group-state", "letters-1", {**GROUP_STATE, "primary": ""})
    browser.open(processes.url)
    assert "A handover of group letters-1" in browser.read(".next")
    save_screenshots(browser, "degraded")


def test_earlier_version_is_restored(processes, browser):
    browser.open(f"{processes.url}/history/2")
    save_screenshots(browser, "version")
    browser.follow_link("Restore this version")
    fill(browser, reason="back to the start")
    save_screenshots(browser, "restore")
    submit(browser)
    assert "was accepted" in browser.read_text()


def test_form_works_with_the_keyboard_alone(processes, browser):
    browser.open(f"{processes.url}/edits/team.create")
    browser.run("document.querySelector('[name=team]').focus()")
    browser.press(["k", "e", "y", "s", TAB, TAB, TAB, TAB, "x", ENTER])
    assert browser.read("h1") == "Team keys"


def test_keyboard_reaches_the_content_first(processes, browser):
    browser.open(f"{processes.url}/teams")
    browser.press([TAB])
    assert browser.run("return document.activeElement.className") == "skip"
