"""The console in Chromium: ``pytest tests/browser/forms_browser.py``.

Not collected by default, since CI cannot be relied on to install a browser.
Pictures go to out/browser at desktop and phone width.
"""

import json
import pathlib
import re

import browsers
import programs
import pytest

import builders_document as builders

PICTURES = pathlib.Path("out/browser")
WIDTHS = (1280, 390)
TAB = "\ue004"
ENTER = "\ue007"

FIRST = builders.build_value(operators={})
STATE = {
    "name": "letters-1",
    "term": 4,
    "primary": "letters-1a",
    "phase": "serving",
    "history": [{"term": 3, "offset": 120}, {"term": 4, "offset": 5310}],
    "change_id": "",
}


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    started = programs.Programs(tmp_path_factory.mktemp("console"))
    yield started
    assert started.stop() == (0, 0)


@pytest.fixture(scope="module")
def browser(running):
    opened = browsers.Browser()
    yield opened
    opened.close()


def report(running, version, count=9):
    """Write the status of nine VMs, of which ``count`` have the version."""
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
        running.put("status", zone, {"vms": vms})


def save(browser, name):
    PICTURES.mkdir(parents=True, exist_ok=True)
    for width in WIDTHS:
        browser.resize(width)
        browser.save_picture(PICTURES / f"{name}-{width}.png")
        assert browser.find_overflow() <= 0, (name, width)
    browser.resize(WIDTHS[0])


def sign_in(browser, running, key=builders.BOOTSTRAP):
    browser.open(f"{running.url}/sign-in")
    browser.type("#key", key)
    browser.leave_by("main button")


def fill(browser, **fields):
    for name, text in fields.items():
        browser.type(f"[name={name}]", text)


def submit(browser, intent="save"):
    browser.leave_by(f"button[value={intent}]")


def test_first_operator_sets_the_platform_up(running, browser):
    browser.open(running.url)
    save(browser, "sign-in")
    sign_in(browser, running)
    assert "holds no document yet" in browser.read_text()
    save(browser, "empty-platform")
    # The letters desk is pasted as text; typing it key by key is no use.
    text = json.dumps(json.dumps(FIRST, indent=1))
    browser.run(f"document.querySelector('[name=content]').value = {text}")
    fill(browser, reason="first document")
    submit(browser)
    running.put("group-state", "letters-1", STATE)
    report(running, 1)
    browser.open(running.url)
    assert "in force on 9 of 9 VMs" in browser.read_text()
    save(browser, "status")
    browser.follow("Go there")
    fill(browser, operator="ana", reason="first operator")
    browser.click("option[value=operate]")
    submit(browser)
    key = browser.read("#secret")
    assert re.fullmatch(r"shk_[0-9a-f]{8}_[0-9a-f]{64}", key)
    save(browser, "operator-key")
    browser.follow("I have copied it")
    browser.leave_by(".who button")
    sign_in(browser, running, key)
    assert "ana" in browser.read(".who")


def test_team_with_key_and_route_is_made(running, browser):
    browser.open(f"{running.url}/teams")
    save(browser, "teams")
    browser.follow("Add a team")
    save(browser, "team-form")
    fill(browser, team="web-desk", rate="many", burst="20", reason="readers' page")
    submit(browser)
    assert "teams.web-desk.rate" in browser.read_text()
    save(browser, "faults")
    fill(browser, rate="40")
    submit(browser, "try")
    assert "Nothing was changed yet" in browser.read_text()
    save(browser, "trial")
    submit(browser)
    assert browser.read("h1") == "Team web-desk"
    browser.follow("Make a key")
    fill(browser, reason="first key")
    submit(browser)
    save(browser, "key")
    browser.follow("I have copied it")
    browser.open(f"{running.url}/routes")
    save(browser, "routes")
    browser.follow("Add a route")
    save(browser, "route-form")
    fill(browser, route="reader-web", max_age="2", reason="readers' page")
    browser.click("input[name=teams][value=web-desk]")
    submit(browser)
    assert "reader-web" in browser.read_text()
    browser.open(f"{running.url}/teams/web-desk")
    assert "reader-web" in browser.read_text()


def test_withdrawal_shows_its_reach(running, browser):
    browser.open(f"{running.url}/teams/web-desk")
    browser.follow("Withdraw")
    save(browser, "withdraw")
    fill(browser, reason="laptop lost")
    submit(browser)
    version = int(re.search(r"accepted=(\d+)", browser.read_url())[1])
    report(running, version, count=8)
    browser.open(f"{running.url}/teams/web-desk")
    assert "in force on 8 of 9 VMs" in browser.read_text()
    save(browser, "team")
    report(running, version)
    browser.follow("look again")
    assert "in force on 9 of 9 VMs" in browser.read_text()


def test_conflict_shows_the_other_change(running, browser):
    browser.open(f"{running.url}/edits/team.change?team=desk")
    browser.run("document.querySelector('[name=base]').value -= 1")
    fill(browser, rate="90", reason="busy week")
    submit(browser)
    assert "Somebody else changed the document" in browser.read_text()
    assert "laptop lost" in browser.read_text()
    save(browser, "conflict")
    submit(browser)
    assert "90" in browser.read(".figure")


def test_primary_is_handed_over(running, browser):
    browser.open(f"{running.url}/groups/letters-1")
    browser.follow("Hand the primary over")
    save(browser, "handover")
    browser.click("option[value=letters-1b]")
    fill(browser, reason="new disk")
    browser.leave_by("main button")
    assert "under way" in browser.read_text()
    save(browser, "group")


@pytest.mark.parametrize("page", ["groups", "operators", "document", "history"])
def test_page_fits_desktop_and_phone(running, browser, page):
    browser.open(f"{running.url}/{page}")
    save(browser, page)


def test_degraded_status_names_the_next_thing(running, browser):
    running.put("group-state", "letters-1", {**STATE, "primary": ""})
    browser.open(running.url)
    assert "A hand-over of group letters-1" in browser.read(".next")
    save(browser, "degraded")


def test_version_can_be_returned_to(running, browser):
    browser.open(f"{running.url}/history/2")
    save(browser, "version")
    browser.follow("Return to this content")
    fill(browser, reason="back to the start")
    save(browser, "restore")
    submit(browser)
    assert "was accepted" in browser.read_text()


def test_form_works_with_the_keyboard_alone(running, browser):
    browser.open(f"{running.url}/edits/team.create")
    browser.run("document.querySelector('[name=team]').focus()")
    browser.press(["k", "e", "y", "s", TAB, TAB, TAB, TAB, "x", ENTER])
    assert browser.read("h1") == "Team keys"


def test_keyboard_reaches_the_content_first(running, browser):
    browser.open(f"{running.url}/teams")
    browser.press([TAB])
    assert browser.run("return document.activeElement.className") == "skip"
