"""The administration API, and changes whose answers are lost."""

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
def bench(monkeypatch):
    monkeypatch.setattr(store, "ATTEMPT_WAIT", 0)
    return builders.ConsoleHarness(builders.build_document())


def change_rate(bench, version='"1"', name="ana", body=RATE, query=""):
    return bench.call(
        "POST",
        f"/edits/team.change{query}",
        name,
        json=body,
        headers={"If-Match": version},
    )


@pytest.mark.parametrize(
    "header", ["", "Bearer ", "Bearer shk_00000000_00", "Basic YTpi", "Bearer \xff"]
)
def test_call_needs_the_key_of_an_operator(bench, header):
    headers = {"Authorization": header.encode("latin-1")}
    answer = bench.open_client().get("/api/v1/document", headers=headers)
    assert answer.status_code == 401
    assert answer.json()["error"]["remedy"]


def test_document_carries_its_version_as_etag(bench):
    answer = bench.call("GET", "/document")
    assert answer.headers["etag"] == '"1"'
    assert answer.json()["teams"]["desk"]["rate"] == 100


def test_edit_returns_the_new_version(bench):
    answer = change_rate(bench)
    assert (answer.status_code, answer.headers["etag"]) == (200, '"2"')
    stored = bench.platform.read_document()
    assert stored["teams"]["desk"]["rate"] == 70
    assert (stored["author"], stored["reason"]) == ("ana", "busy")


@pytest.mark.parametrize(
    ("version", "status"),
    [('"7"', 412), ("", 428), ("*", 428), ("1", 428), ('"1', 428)],
)
def test_change_must_name_the_version_that_it_was_made_on(bench, version, status):
    answer = change_rate(bench, version)
    assert answer.status_code == status
    assert bench.platform.writes == []


def test_conflict_names_the_other(bench):
    change_rate(bench)
    error = change_rate(bench).json()["error"]
    assert error["code"] == "SH305"
    assert "version 2 by ana" in error["message"]
    assert error["changes"] == [
        {"path": "teams.desk.rate", "before": "100", "after": "70"}
    ]


def test_dry_run_changes_nothing(bench):
    answer = change_rate(bench, query="?dry_run=1")
    assert answer.json()["changes"][0]["path"] == "teams.desk.rate"
    assert bench.platform.writes == []


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
def test_bad_edit_is_refused_with_a_remedy(bench, body):
    answer = change_rate(bench, body=body)
    assert answer.status_code == 422
    assert answer.json()["error"]["remedy"]
    assert bench.platform.writes == []


def test_whole_document_is_replaced_and_faults_are_listed(bench):
    value = builders.build_value(reason="paste")
    del value["operators"]
    value["teams"]["desk"]["rate"] = 5
    put = {"headers": {"If-Match": '"1"'}}
    value["routes"]["web"]["group"] = "nowhere"
    value["teams"]["desk"]["burst"] = 5
    bad = bench.call("PUT", "/document", json=value, **put)
    assert [f["path"] for f in bad.json()["error"]["faults"]] == ["routes.web.group"]
    value["routes"]["web"]["group"] = "letters-1"
    assert bench.call("PUT", "/document", json=value, **put).status_code == 200
    assert set(bench.platform.read_document()["operators"]) == {"ana", "dee", "vic"}


def test_withdrawn_key_cannot_be_put_back(bench):
    withdraw = {"fields": {"team": "desk", "prefix": "00000001"}, "reason": "leak"}
    first = {"If-Match": '"1"'}
    bench.call("POST", "/edits/key.withdraw", json=withdraw, headers=first)
    value = bench.platform.read_document()
    value["teams"]["desk"]["keys"][0]["withdrawn"] = False
    second = {"If-Match": '"2"'}
    answer = bench.call("PUT", "/document", json=value, headers=second)
    assert answer.status_code == 422
    problem = answer.json()["error"]["faults"][0]["problem"]
    assert "cannot be reinstated" in problem


def test_first_document_needs_the_bootstrap_key():
    bench = builders.ConsoleHarness()
    first = {"If-None-Match": "*"}
    value = builders.build_value(operators={})
    assert bench.call("GET", "/document").status_code == 404
    answer = bench.call("PUT", "/document", json=value, headers=first)
    assert (answer.status_code, answer.headers["etag"]) == (201, '"1"')
    again = bench.call("PUT", "/document", json=value, headers=first)
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
def test_operator_sees_own_part_only(bench, name, path, status):
    change_rate(bench, body={"fields": {"team": "print", "rate": 1}, "reason": "x"})
    assert bench.call("GET", path, name).status_code == status


def test_team_operator_gets_own_team_only(bench):
    shown = bench.call("GET", "/document", "dee").json()
    assert set(shown["teams"]) == {"desk"}
    assert shown["routes"]["letters"]["teams"] == ["desk"]
    assert (shown["groups"], shown["operators"]) == ({}, {})
    assert change_rate(bench, name="dee").status_code == 403
    made = bench.call(
        "POST",
        "/edits/key.create",
        "dee",
        json={"fields": {"team": "desk"}, "reason": "new app"},
        headers={"If-Match": '"1"'},
    )
    assert made.json()["key"].startswith("shk_")


def test_history_says_who_changed_what_and_why(bench):
    change_rate(bench)
    newest = bench.call("GET", "/history").json()["versions"][0]
    assert (newest["version"], newest["author"], newest["reason"]) == (2, "ana", "busy")
    assert newest["changes"] == [
        {"path": "teams.desk.rate", "before": "100", "after": "70"}
    ]


def test_earlier_content_becomes_a_new_version(bench):
    change_rate(bench)
    body = {"fields": {"version": "1"}, "reason": "back"}
    headers = {"If-Match": '"2"'}
    answer = bench.call("POST", "/edits/document.restore", json=body, headers=headers)
    assert answer.headers["etag"] == '"3"'
    assert answer.json()["teams"]["desk"]["rate"] == 100


def test_handover_is_recorded(bench):
    body = {"target": "letters-1b", "reason": "disk"}
    answer = bench.call("POST", "/handovers/letters-1", json=body)
    assert answer.status_code == 202
    listed = bench.call("GET", "/handovers/letters-1").json()["handovers"]
    assert [(h["target"], h["requested_by"]) for h in listed] == [("letters-1b", "ana")]


@pytest.mark.parametrize(
    "body",
    [{"target": "nobody", "reason": "x"}, {"target": 1, "reason": "x"}, {"target": ""}],
)
def test_bad_handover_is_refused(bench, body):
    answer = bench.call("POST", "/handovers/letters-1", json=body)
    assert answer.status_code == 422
    assert bench.platform.writes == []


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("switch", ["lose_answers", "lose_requests"])
def test_lost_answers_do_not_repeat_a_change(bench, switch, lost):
    setattr(bench.platform, switch, lost)
    assert change_rate(bench).status_code == 200
    assert bench.platform.writes.count(("document", "current")) == 1
    assert bench.platform.read_document()["version"] == 2


def test_change_overtaken_after_a_lost_answer_is_still_recognised(bench, monkeypatch):
    other = store.Store(bench.platform)
    principal = operators.Principal("bob", document.Role.OPERATE)
    original = store.Store._find_change

    async def overtake(self, proposal):
        monkeypatch.setattr(store.Store, "_find_change", original)
        edit = edits.EDITS["team.change"]
        fields = {"team": "print", "rate": 1}

        def apply(value):
            edit.apply(edits.Draft(value), fields)

        await other.accept(await other.propose(principal, 2, "later", apply))
        return await original(self, proposal)

    monkeypatch.setattr(store.Store, "_find_change", overtake)
    bench.platform.put(audit.KIND, "1", {"document": builders.build_value()})
    bench.platform.lose_answers = 1
    assert change_rate(bench).status_code == 200
    stored = bench.platform.read_document()
    assert stored["version"] == 3
    assert stored["teams"]["desk"]["rate"] == 70


def test_silent_platform_leaves_the_effect_unknown(bench):
    bench.platform.lose_answers = 100
    original = bench.platform.get

    async def fail_later(kind, name):
        written = ("document", "current") in bench.platform.writes
        bench.platform.is_down = written
        return await original(kind, name)

    bench.platform.get = fail_later
    answer = change_rate(bench)
    assert (answer.status_code, answer.json()["error"]["code"]) == (503, "SH306")


def test_silent_platform_before_the_change_says_that_nothing_changed(bench):
    bench.platform.lose_requests = 100
    answer = change_rate(bench)
    assert answer.status_code == 503
    assert "nothing was changed" in answer.json()["error"]["message"]
    assert bench.platform.writes == []


def test_lost_handover_answer_does_not_repeat_it(bench):
    bench.platform.lose_answers = 1
    body = {"reason": "disk"}
    assert bench.call("POST", "/handovers/letters-1", json=body).status_code == 202
    assert bench.platform.writes.count(("handover", "letters-1")) == 1


def test_version_is_archived_before_it_is_replaced(bench):
    change_rate(bench)
    writes = bench.platform.writes
    assert writes.index((audit.KIND, "1")) < writes.index(("document", "current"))


def test_audit_of_a_deleted_document_is_replaced(bench):
    stale = builders.build_value(change_id="of another life", reason="stale")
    bench.platform.put(audit.KIND, "1", {"document": stale})
    assert change_rate(bench).status_code == 200
    assert bench.call("GET", "/history/1").json()["reason"] == "first"


def test_old_versions_are_pruned(bench, monkeypatch):
    monkeypatch.setattr(audit, "KEPT_VERSIONS", 2)
    for version in (1, 2, 3):
        body = {"fields": {"team": "desk", "rate": version}, "reason": "x"}
        change_rate(bench, f'"{version}"', body=body)
    kept = {name for kind, name in bench.platform.objects if kind == audit.KIND}
    assert kept == {"3", "4"}


def test_large_body_is_refused(bench):
    body = b" " * (security.MAX_BODY_BYTES + 1)
    headers = {"If-Match": '"1"'}
    answer = bench.call("PUT", "/document", content=body, headers=headers)
    assert answer.status_code == 413


def test_document_larger_than_the_platform_takes_is_refused(bench, monkeypatch):
    monkeypatch.setattr(store, "MAX_VALUE_BYTES", 1000)
    answer = change_rate(bench)
    assert answer.status_code == 422
    assert "bytes" in answer.json()["error"]["message"]


def test_every_edit_is_described(bench):
    listed = bench.call("GET", "/edits").json()["edits"]
    assert {item["name"] for item in listed} == set(edits.EDITS)
    assert all(item["help"] and item["title"] for item in listed)


@pytest.mark.parametrize("path", ["/nowhere", "/edits/no.such"])
def test_unknown_call_is_answered_as_json(bench, path):
    answer = bench.call("POST", path, json={}, headers={"If-Match": '"1"'})
    assert answer.status_code in (404, 422)
    assert answer.json()["error"]["code"].startswith("SH")


def test_codes_are_unique():
    codes = {}
    pending = [errors.SardineholdError]
    while pending:
        kind = pending.pop()
        pending.extend(kind.__subclasses__())
        if "code" in vars(kind):
            codes.setdefault(kind.code, set()).add(kind.__qualname__)
    assert all(len(names) == 1 for names in codes.values()), codes
