"""Tests of the administration API, and of changes whose responses are lost."""

import pytest

import builders_document as builders
from sardinehold import document
from sardinehold import errors
from sardinehold import operators
from sardinehold.console import audit
from sardinehold.console import edits
from sardinehold.console import security
from sardinehold.console import store

RATE = {"fields": {"team": "desk", "rate": 70}, "reason": "busy"}


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(store, "RETRY_SECONDS", 0)
    return builders.ConsoleHarness(builders.build_document())


def change_rate(harness, version='"1"', name="ana", body=RATE, query=""):
    return harness.call(
        "POST",
        f"/edits/team.change{query}",
        name,
        json=body,
        headers={"If-Match": version},
    )


@pytest.mark.parametrize(
    "header", ["", "Bearer ", "Bearer shk_00000000_00", "Basic YTpi", "Bearer \xff"]
)
def test_request_without_an_operator_key_is_refused(harness, header):
    headers = {"Authorization": header.encode("latin-1")}
    response = harness.open_client().get("/api/v1/document", headers=headers)
    assert response.status_code == 401
    assert response.json()["error"]["remedy"]


def test_document_carries_its_version_as_etag(harness):
    response = harness.call("GET", "/document")
    assert response.headers["etag"] == '"1"'
    assert response.json()["teams"]["desk"]["rate"] == 100


def test_edit_returns_the_new_version(harness):
    response = change_rate(harness)
    assert (response.status_code, response.headers["etag"]) == (200, '"2"')
    stored = harness.platform.read_document()
    assert stored["teams"]["desk"]["rate"] == 70
    assert (stored["author"], stored["reason"]) == ("ana", "busy")


@pytest.mark.parametrize(
    ("version", "status"),
    [('"7"', 412), ("", 428), ("*", 428), ("1", 428), ('"1', 428)],
)
def test_change_must_name_the_version_that_it_was_made_on(harness, version, status):
    response = change_rate(harness, version)
    assert response.status_code == status
    assert harness.platform.writes == []


def test_conflict_lists_the_other_change(harness):
    change_rate(harness)
    error = change_rate(harness).json()["error"]
    assert error["code"] == "SH305"
    assert "version 2 by ana" in error["message"]
    assert error["changes"] == [
        {"path": "teams.desk.rate", "before": "100", "after": "70"}
    ]


def test_dry_run_changes_nothing(harness):
    response = change_rate(harness, query="?dry_run=1")
    assert response.json()["changes"][0]["path"] == "teams.desk.rate"
    assert harness.platform.writes == []


@pytest.mark.parametrize(
    "body",
    [
        {"fields": {"team": "desk", "raet": 1}, "reason": "x"},
        {"fields": {"team": ["desk"]}, "reason": "x"},
        {"fields": {"rate": 1}, "reason": "x"},
        {"fields": {"team": "nobody", "rate": 1}, "reason": "x"},
        {"fields": {"team": "desk", "rate": "many"}, "reason": "x"},
        {"fields": {"team": "desk", "rate": 1}},
        {"fields": [], "reason": "x"},
        [],
    ],
)
def test_bad_edit_is_refused_with_a_remedy(harness, body):
    response = change_rate(harness, body=body)
    assert response.status_code == 422
    assert response.json()["error"]["remedy"]
    assert harness.platform.writes == []


def test_whole_document_is_replaced_and_faults_are_listed(harness):
    value = builders.build_value(reason="paste")
    del value["operators"]
    value["teams"]["desk"]["rate"] = 5
    put = {"headers": {"If-Match": '"1"'}}
    value["routes"]["web"]["group"] = "nowhere"
    value["teams"]["desk"]["burst"] = 5
    bad = harness.call("PUT", "/document", json=value, **put)
    assert [f["path"] for f in bad.json()["error"]["faults"]] == ["routes.web.group"]
    value["routes"]["web"]["group"] = "letters-1"
    assert harness.call("PUT", "/document", json=value, **put).status_code == 200
    assert set(harness.platform.read_document()["operators"]) == {"ana", "dee", "vic"}


def test_withdrawn_key_cannot_be_put_back(harness):
    withdraw = {"fields": {"team": "desk", "prefix": "00000001"}, "reason": "leak"}
    first = {"If-Match": '"1"'}
    harness.call("POST", "/edits/key.withdraw", json=withdraw, headers=first)
    value = harness.platform.read_document()
    value["teams"]["desk"]["keys"][0]["withdrawn"] = False
    second = {"If-Match": '"2"'}
    response = harness.call("PUT", "/document", json=value, headers=second)
    assert response.status_code == 422
    problem = response.json()["error"]["faults"][0]["problem"]
    assert "cannot be reinstated" in problem


def test_first_document_needs_the_bootstrap_key():
    harness = builders.ConsoleHarness()
    first = {"If-None-Match": "*"}
    value = builders.build_value(operators={})
    assert harness.call("GET", "/document").status_code == 404
    response = harness.call("PUT", "/document", json=value, headers=first)
    assert (response.status_code, response.headers["etag"]) == (201, '"1"')
    again = harness.call("PUT", "/document", json=value, headers=first)
    assert again.status_code == 412


@pytest.mark.parametrize(
    ("name", "path", "status"),
    [
        ("vic", "/status", 200),
        ("dee", "/status", 403),
        ("dee", "/history/2", 404),
        ("vic", "/history/2", 200),
        ("vic", "/history/1", 200),
        ("dee", "/handovers/letters-1", 403),
    ],
)
def test_operator_sees_permitted_pages_only(harness, name, path, status):
    change_rate(harness, body={"fields": {"team": "print", "rate": 1}, "reason": "x"})
    assert harness.call("GET", path, name).status_code == status


def test_team_operator_gets_own_team_only(harness):
    shown = harness.call("GET", "/document", "dee").json()
    assert set(shown["teams"]) == {"desk"}
    assert shown["routes"]["letters"]["teams"] == ["desk"]
    assert (shown["groups"], shown["operators"]) == ({}, {})
    assert change_rate(harness, name="dee").status_code == 403
    response = harness.call(
        "POST",
        "/edits/key.create",
        "dee",
        json={"fields": {"team": "desk"}, "reason": "new app"},
        headers={"If-Match": '"1"'},
    )
    assert response.json()["key"].startswith("shk_")


def test_history_lists_author_reason_and_changes(harness):
    change_rate(harness)
    newest = harness.call("GET", "/history").json()["versions"][0]
    assert (newest["version"], newest["author"], newest["reason"]) == (2, "ana", "busy")
    assert newest["changes"] == [
        {"path": "teams.desk.rate", "before": "100", "after": "70"}
    ]


def test_restore_creates_a_new_version(harness):
    change_rate(harness)
    body = {"fields": {"version": "1"}, "reason": "back"}
    headers = {"If-Match": '"2"'}
    response = harness.call(
        "POST", "/edits/document.restore", json=body, headers=headers
    )
    assert response.headers["etag"] == '"3"'
    assert response.json()["teams"]["desk"]["rate"] == 100


def test_handover_is_recorded(harness):
    body = {"target": "letters-1b", "reason": "disk"}
    response = harness.call("POST", "/handovers/letters-1", json=body)
    assert response.status_code == 202
    listed = harness.call("GET", "/handovers/letters-1").json()["handovers"]
    assert [(h["target"], h["requested_by"]) for h in listed] == [("letters-1b", "ana")]


@pytest.mark.parametrize(
    "body",
    [{"target": "nobody", "reason": "x"}, {"target": 1, "reason": "x"}, {"target": ""}],
)
def test_bad_handover_is_refused(harness, body):
    response = harness.call("POST", "/handovers/letters-1", json=body)
    assert response.status_code == 422
    assert harness.platform.writes == []


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("switch", ["lose_answers", "lose_requests"])
def test_change_is_applied_once_when_responses_are_lost(harness, switch, lost):
    setattr(harness.platform, switch, lost)
    assert change_rate(harness).status_code == 200
    assert harness.platform.writes.count(("document", "current")) == 1
    assert harness.platform.read_document()["version"] == 2


def test_applied_change_is_recognised_after_a_lost_response_and_a_later_change(
    harness, monkeypatch
):
    other = store.Store(harness.platform)
    principal = operators.Principal("bob", document.Role.OPERATE)
    original = store.Store._confirm_change

    async def commit_another_change(self, proposal):
        monkeypatch.setattr(store.Store, "_confirm_change", original)
        edit = edits.EDITS["team.change"]
        fields = {"team": "print", "rate": 1}

        def apply(value):
            edit.apply(edits.Draft(value), fields)

        await other.accept(await other.propose(principal, 2, "later", apply))
        return await original(self, proposal)

    monkeypatch.setattr(store.Store, "_confirm_change", commit_another_change)
    harness.platform.put(audit.KIND, "1", {"document": builders.build_value()})
    harness.platform.lose_answers = 1
    assert change_rate(harness).status_code == 200
    stored = harness.platform.read_document()
    assert stored["version"] == 3
    assert stored["teams"]["desk"]["rate"] == 70


def test_platform_outage_after_the_write_reports_an_unknown_effect(harness):
    harness.platform.lose_answers = 100
    original = harness.platform.get

    async def fail_after_write(kind, name):
        written = ("document", "current") in harness.platform.writes
        harness.platform.is_down = written
        return await original(kind, name)

    harness.platform.get = fail_after_write
    response = change_rate(harness)
    assert (response.status_code, response.json()["error"]["code"]) == (503, "SH306")


def test_platform_outage_before_the_write_reports_that_nothing_changed(harness):
    harness.platform.lose_requests = 100
    response = change_rate(harness)
    assert response.status_code == 503
    assert "nothing was changed" in response.json()["error"]["message"]
    assert harness.platform.writes == []


def test_handover_is_created_once_when_the_response_is_lost(harness):
    harness.platform.lose_answers = 1
    body = {"reason": "disk"}
    assert harness.call("POST", "/handovers/letters-1", json=body).status_code == 202
    assert harness.platform.writes.count(("handover", "letters-1")) == 1


def test_version_is_archived_before_it_is_replaced(harness):
    change_rate(harness)
    writes = harness.platform.writes
    assert writes.index((audit.KIND, "1")) < writes.index(("document", "current"))


def test_audit_of_a_deleted_document_is_replaced(harness):
    stale = builders.build_value(change_id="of a deleted document", reason="stale")
    harness.platform.put(audit.KIND, "1", {"document": stale})
    assert change_rate(harness).status_code == 200
    assert harness.call("GET", "/history/1").json()["reason"] == "first"


def test_old_versions_are_pruned(harness, monkeypatch):
    monkeypatch.setattr(audit, "MAX_VERSIONS", 2)
    for version in (1, 2, 3):
        body = {"fields": {"team": "desk", "rate": version}, "reason": "x"}
        change_rate(harness, f'"{version}"', body=body)
    kept = {name for kind, name in harness.platform.objects if kind == audit.KIND}
    assert kept == {"3", "4"}


def test_large_body_is_refused(harness):
    body = b" " * (security.MAX_BODY_BYTES + 1)
    headers = {"If-Match": '"1"'}
    response = harness.call("PUT", "/document", content=body, headers=headers)
    assert response.status_code == 413


def test_document_larger_than_the_platform_takes_is_refused(harness, monkeypatch):
    monkeypatch.setattr(store, "MAX_VALUE_BYTES", 1000)
    response = change_rate(harness)
    assert response.status_code == 422
    assert "bytes" in response.json()["error"]["message"]


def test_every_edit_is_described(harness):
    listed = harness.call("GET", "/edits").json()["edits"]
    assert {item["name"] for item in listed} == set(edits.EDITS)
    assert all(item["help"] and item["title"] for item in listed)


@pytest.mark.parametrize("path", ["/nowhere", "/edits/no.such"])
def test_unknown_path_returns_a_json_error(harness, path):
    response = harness.call("POST", path, json={}, headers={"If-Match": '"1"'})
    assert response.status_code in (404, 422)
    assert response.json()["error"]["code"].startswith("SH")


def test_codes_are_unique():
    codes = {}
    pending = [errors.SardineholdError]
    while pending:
        kind = pending.pop()
        pending.extend(kind.__subclasses__())
        if "code" in vars(kind):
            codes.setdefault(kind.code, set()).add(kind.__qualname__)
    assert all(len(names) == 1 for names in codes.values()), codes
