"""Tests of the web console through HTTP, without JavaScript."""

import re

import pytest

import builders_document as builders
from sardinehold.console import sessions

TEAM = {"team": "web-desk", "rate": "30", "burst": "10", "weight": "1"}


@pytest.fixture
def harness():
    return builders.ConsoleHarness(builders.build_document())


def add_status(harness, versions):
    vms = {
        f"vm-{i}": {"document_version": v, "state": "serving", "counters": {}}
        for i, v in enumerate(versions)
    }
    harness.platform.put("status", "dallas", {"vms": vms})


PAGES = (
    "/",
    "/teams",
    "/teams/desk",
    "/groups",
    "/groups/letters-1",
    "/routes",
    "/operators",
    "/document",
    "/history",
    "/edits/team.create",
    "/edits/team.change?team=desk",
    "/edits/key.withdraw?team=desk&prefix=00000001",
    "/edits/group.create",
    "/edits/group.change?group=letters-1",
    "/edits/route.create",
    "/edits/route.change?route=web",
    "/edits/operator.create",
    "/edits/document.replace",
    "/handovers/letters-1",
)


@pytest.mark.parametrize("path", PAGES)
def test_page_is_shown_with_security_headers(harness, path):
    response = harness.sign_in().get(path)
    assert response.status_code == 200
    assert "default-src 'none'" in response.headers["content-security-policy"]
    assert response.headers["cache-control"] == "no-store"
    assert "<script" not in response.text
    assert " style=" not in response.text


@pytest.mark.parametrize("path", PAGES)
def test_page_redirects_to_sign_in(harness, path):
    response = harness.open_client().get(path)
    assert response.status_code == 303
    assert response.headers["location"].startswith("/sign-in?next=/")


@pytest.mark.parametrize("is_secure", [False, True])
def test_session_cookie_is_http_only_and_same_site(is_secure):
    harness = builders.ConsoleHarness(builders.build_document(), is_secure)
    client = harness.open_client()
    response = client.post("/sign-in", data={"key": harness.keys["ana"]})
    cookie = response.headers["set-cookie"]
    assert "HttpOnly" in cookie
    assert "SameSite=strict" in cookie
    assert ("Secure" in cookie) == is_secure
    assert cookie.startswith("__Host-") == is_secure
    assert ("strict-transport-security" in response.headers) == is_secure


def test_wrong_keys_are_rate_limited_by_source(harness):
    client = harness.open_client()
    codes = [
        client.post("/sign-in", data={"key": "shk_00000000_00"}).status_code
        for _ in range(sessions.SIGN_IN_BURST + 1)
    ]
    assert codes == [401] * sessions.SIGN_IN_BURST + [429]
    right = {"key": harness.keys["ana"]}
    assert client.post("/sign-in", data=right).status_code == 429
    harness.clock.now += 2 * sessions.SIGN_IN_REFILL_SECONDS
    assert client.post("/sign-in", data=right).status_code == 303


@pytest.mark.parametrize("wait", [sessions.IDLE_TIMEOUT, sessions.SESSION_TIMEOUT])
def test_session_ends(harness, wait):
    client = harness.sign_in()
    assert client.get("/teams").status_code == 200
    harness.clock.now += wait
    assert client.get("/teams").status_code == 303


def test_session_of_a_removed_operator_ends_at_once(harness):
    client = harness.sign_in("vic")
    removed = builders.submit_edit(
        harness.sign_in(), "operator.remove", {"operator": "vic"}, "?operator=vic"
    )
    assert removed.status_code == 303
    assert client.get("/teams").status_code == 303


@pytest.mark.parametrize("target", ["//evil.test", "https://evil.test/", "/\\evil"])
def test_sign_in_does_not_redirect_to_another_site(harness, target):
    client = harness.open_client()
    response = client.post(
        "/sign-in", params={"next": target}, data={"key": harness.keys["ana"]}
    )
    assert response.headers["location"] == "/"


def test_forged_forms_are_refused(harness):
    client = harness.sign_in()
    shown = client.get("/edits/team.create")
    form = {
        **TEAM,
        "csrf": builders.read_hidden(shown.text, "csrf"),
        "base": "1",
        "reason": "x",
    }
    without = client.post("/edits/team.create", data={**form, "csrf": "x"})
    foreign = client.post(
        "/edits/team.create", data=form, headers={"Origin": "http://evil.test"}
    )
    cross = client.post(
        "/edits/team.create", data=form, headers={"Sec-Fetch-Site": "cross-site"}
    )
    assert [a.status_code for a in (without, foreign, cross)] == [403] * 3
    assert harness.platform.writes == []


def test_team_is_added_and_shown(harness):
    client = harness.sign_in()
    response = builders.submit_edit(client, "team.create", TEAM)
    assert response.headers["location"] == "/teams/web-desk?accepted=2"
    stored = harness.platform.read_document()
    assert stored["teams"]["web-desk"]["rate"] == 30
    assert (stored["version"], stored["author"]) == (2, "ana")
    assert "Version 2 was accepted" in client.get(response.headers["location"]).text


def test_dry_run_shows_changes_and_warnings_without_saving(harness):
    response = builders.submit_edit(
        harness.sign_in(), "team.create", {**TEAM, "rate": "0"}, intent="try"
    )
    assert "teams.web-desk.rate" in response.text
    assert "every request of the team is refused" in response.text
    assert harness.platform.writes == []


def test_invalid_form_shows_all_faults_and_keeps_the_input(harness):
    bad = {**TEAM, "rate": "many", "burst": "-1", "weight": ""}
    response = builders.submit_edit(harness.sign_in(), "team.create", bad, reason="")
    assert response.status_code == 422
    for path in ("rate", "burst", "weight"):
        assert f"teams.web-desk.{path}" in response.text
    assert ">reason<" in response.text
    assert 'value="many"' in response.text


def test_key_is_shown_once(harness):
    client = harness.sign_in()
    response = builders.submit_edit(
        client, "key.create", {"team": "desk"}, "?team=desk"
    )
    secret = re.search(r"shk_[0-9a-f]{8}_[0-9a-f]{64}", response.text)[0]
    for page in ("/teams/desk", "/document", "/history", "/history/2"):
        assert secret not in client.get(page).text
    assert secret not in str(harness.platform.objects)


@pytest.mark.parametrize(
    ("versions", "shown"),
    [
        ([2, 2, 2], "in force on 3 of 3 VMs"),
        ([2, 1, 3], "in force on 2 of 3 VMs"),
        ([], "no VM has reported yet"),
    ],
)
def test_withdrawal_shows_where_it_is_in_force(harness, versions, shown):
    client = harness.sign_in()
    fields = {"team": "desk", "prefix": "00000001"}
    builders.submit_edit(client, "key.withdraw", fields, "?team=desk&prefix=00000001")
    add_status(harness, versions)
    text = client.get("/teams/desk").text
    assert "withdrawn" in text
    assert shown in text


def test_rotation_keeps_the_old_key_until_it_is_withdrawn(harness):
    client = harness.sign_in()
    fields = {"team": "desk", "prefix": "00000001"}
    response = builders.submit_edit(
        client, "key.rotate", fields, "?team=desk&prefix=00000001"
    )
    assert "/edits/key.withdraw?team=desk&amp;prefix=00000001" in response.text
    listed = harness.platform.read_document()["teams"]["desk"]["keys"]
    assert [key["withdrawn"] for key in listed] == [False, False]


def test_conflict_shows_the_other_change_and_keeps_the_input(harness):
    first, second = harness.sign_in(), harness.sign_in()
    old = first.get("/edits/team.change?team=desk").text
    builders.submit_edit(
        second,
        "team.change",
        {"team": "desk", "rate": "70", "burst": "50", "weight": "1"},
        "?team=desk",
        reason="quiet week",
    )
    form = {
        "csrf": builders.read_hidden(old, "csrf"),
        "base": builders.read_hidden(old, "base"),
        "team": "desk",
        "rate": "90",
        "burst": "50",
        "weight": "1",
        "reason": "busy week",
    }
    response = first.post("/edits/team.change", data=form)
    assert response.status_code == 409
    assert "quiet week" in response.text
    assert 'value="90"' in response.text
    form["base"] = builders.read_hidden(response.text, "base")
    assert first.post("/edits/team.change", data=form).status_code == 303
    assert harness.platform.read_document()["teams"]["desk"]["rate"] == 90


@pytest.mark.parametrize("name", ["vic", "dee"])
@pytest.mark.parametrize(
    ("edit", "fields"),
    [
        ("team.create", TEAM),
        ("team.change", {"team": "desk", "rate": "9", "burst": "9", "weight": "9"}),
        ("key.withdraw", {"team": "print", "prefix": "00000002"}),
        ("operator.create", {"operator": "eve", "role": "operate", "team": ""}),
    ],
)
def test_edit_without_permission_is_refused(harness, name, edit, fields):
    client = harness.sign_in(name)
    token = builders.read_hidden(client.get("/routes").text, "csrf")
    form = {**fields, "csrf": token, "base": "1", "reason": "x"}
    assert client.post(f"/edits/{edit}", data=form).status_code == 403
    assert harness.platform.writes == []


@pytest.mark.parametrize("name", ["vic", "dee"])
@pytest.mark.parametrize(
    "query",
    [
        "team.change?team=print",
        "key.create?team=print",
        "operator.change?operator=ana",
        "group.change?group=letters-1",
        "route.create",
        "document.replace",
    ],
)
def test_form_without_permission_is_not_shown(harness, name, query):
    response = harness.sign_in(name).get(f"/edits/{query}")
    assert response.status_code == 403
    assert "letters-1a" not in response.text


def test_team_operator_manages_and_sees_own_team_only(harness):
    client = harness.sign_in("dee")
    assert client.get("/").headers["location"] == "/teams/desk"
    assert client.get("/teams/print").status_code == 403
    assert client.get("/operators").status_code == 403
    assert "print" not in client.get("/routes").text
    response = builders.submit_edit(
        client, "key.create", {"team": "desk"}, "?team=desk"
    )
    assert response.status_code == 200
    other = {"team": "print", "rate": "9", "burst": "9", "weight": "1"}
    reason = "print is quiet"
    builders.submit_edit(
        harness.sign_in(), "team.change", other, "?team=print", reason=reason
    )
    assert reason in harness.sign_in().get("/history").text
    assert reason not in client.get("/history").text
    assert client.get("/history/3").status_code == 404


def test_empty_platform_redirects_to_the_first_document():
    harness = builders.ConsoleHarness()
    client = harness.sign_in("bootstrap")
    assert client.get("/").headers["location"] == "/edits/document.replace"
    empty = {"content": '{"teams": {}, "groups": {}, "routes": {}}'}
    assert builders.submit_edit(client, "document.replace", empty).status_code == 303
    assert harness.platform.read_document()["author"] == "bootstrap"
    assert "bootstrap key" in client.get("/").text
    response = builders.submit_edit(
        client, "operator.create", {"operator": "ana", "role": "operate", "team": ""}
    )
    harness.keys["ana"] = re.search(r"shk_[0-9a-f]{8}_[0-9a-f]{64}", response.text)[0]
    assert harness.sign_in().get("/operators").status_code == 200


def test_group_of_the_platform_fills_the_form(harness):
    harness.platform.groups["letters-2"] = {
        "letters-2a": {"host": "127.0.0.1", "port": 6504, "zone": "dallas"}
    }
    client = harness.sign_in()
    assert "Add letters-2 from the platform" in client.get("/groups").text
    shown = client.get("/edits/group.create?group=letters-2").text
    assert "letters-2a 127.0.0.1:6504 dallas" in shown


def test_second_handover_request_is_refused(harness):
    client = harness.sign_in()
    token = builders.read_hidden(client.get("/handovers/letters-1").text, "csrf")
    form = {"csrf": token, "target": "letters-1b", "reason": "new disk"}
    assert client.post("/handovers/letters-1", data=form).status_code == 303
    assert harness.platform.objects["handover", "letters-1"].value["target"] == (
        "letters-1b"
    )
    again = client.post("/handovers/letters-1", data=form)
    assert again.status_code == 409
    shown = client.get("/groups/letters-1").text
    assert "under way" in shown
    assert "new disk" in shown


@pytest.mark.parametrize(
    ("kind", "name", "value", "problem"),
    [
        ("group-state", "letters-1", {"primary": ""}, "has no primary"),
        ("group-state", "letters-1", {"primary": "x", "phase": "sealed"}, "changing"),
        ("handover", "letters-1", {"target": ""}, "handover of group"),
        (
            "members",
            "current",
            {"members": {"vm-9": {}}},
            "No status received from vm-9",
        ),
    ],
)
def test_status_page_lists_degraded_parts(harness, kind, name, value, problem):
    harness.platform.put(kind, name, value)
    assert problem in harness.sign_in().get("/").text


def test_status_page_shows_the_measures(harness):
    counters = {
        "reads_on_replica": 80,
        "reads_on_primary": 20,
        'requests_served{team="desk"}': 90,
        'requests_refused{team="desk"}': 10,
        "requests_refused_in_rate": 3,
    }
    report = {"document_version": 1, "state": "serving", "counters": counters}
    harness.platform.put("status", "dallas", {"vms": {"vm-1": report}})
    text = harness.sign_in().get("/").text
    assert "80.0%" in text
    assert "90.0%" in text
    assert "3 requests were refused within" in text


def test_platform_outage_is_explained(harness):
    client = harness.sign_in()
    harness.platform.is_down = True
    response = client.get("/teams")
    assert response.status_code == 503
    assert "Callers are still served" in response.text


def test_restore_does_not_reinstate_a_withdrawn_key(harness):
    client = harness.sign_in()
    change = {"team": "desk", "rate": "7", "burst": "50", "weight": "1"}
    builders.submit_edit(client, "team.change", change, "?team=desk")
    fields = {"team": "desk", "prefix": "00000001"}
    builders.submit_edit(client, "key.withdraw", fields, "?team=desk&prefix=00000001")
    response = builders.submit_edit(
        client, "document.restore", {"version": "1"}, "?version=1"
    )
    assert response.status_code == 303
    stored = harness.platform.read_document()
    assert (stored["version"], stored["teams"]["desk"]["rate"]) == (4, 100)
    assert stored["teams"]["desk"]["keys"][0]["withdrawn"]


def test_sign_out_ends_the_session(harness):
    client = harness.sign_in()
    token = builders.read_hidden(client.get("/teams").text, "csrf")
    assert client.post("/sign-out", data={"csrf": token}).status_code == 303
    assert client.get("/teams").status_code == 303


def test_bootstrap_key_signs_in_during_an_outage(harness):
    harness.platform.is_down = True
    client = harness.open_client()
    assert client.post("/sign-in", data={"key": builders.BOOTSTRAP}).status_code == 303
    assert client.post("/sign-in", data={"key": harness.keys["ana"]}).status_code == 503
