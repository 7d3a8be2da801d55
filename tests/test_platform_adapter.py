"""Platform adapter: settings, records, store, failover, endpoints, callers, pages."""

import asyncio
import json
import pathlib
import sys
import tomllib

import anyio
import pytest

import builders_node
import builders_platform
from sardinehold import errors
from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import frames
from sardinehold.node import outcomes
from sardinehold.node import ports
from sardinehold.node import session as sessions
from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold.platform import endpoints
from sardinehold.platform import failover_client
from sardinehold.platform import lines
from sardinehold.platform import pages
from sardinehold.platform import records
from sardinehold.platform import settings_file
from sardinehold.platform import store

ROOT = pathlib.Path(__file__).parent.parent
READY = b"READY I -\r\n"


def test_fields_of_cold_endpoints_and_regions_are_decoded():
    value = builders_platform.make_configuration()
    value["Routes"][0]["AllowedRegions"] = ["a", "b"]
    value["Tenants"][0]["AllowedRegions"] = ["a"]
    value["Services"][0].update(ColdPerS=20, ColdStartS=9)
    found = records.parse_catalog(value)
    assert found.routes[value["Routes"][0]["Host"]].regions == {"a", "b"}
    assert found.teams[value["Tenants"][0]["Name"]].regions == {"a"}
    group = found.groups[value["Services"][0]["Name"]]
    assert (group.cold_rate, group.cold_start) == (20.0, 9.0)
    entry = {**builders_platform.make_entry(), "ColdMs": 1500}
    assert records.parse_endpoint("i-1", entry).cold_for == 1.5
    del entry["ColdMs"]
    assert records.parse_endpoint("i-1", entry).cold_for is None
    table = builders_platform.make_settings()
    table["Bounds"].update(ColdOverage=1.25, ColdSlack=3)
    loaded = settings_file.parse(table, "local.toml")
    assert (loaded.cold_overage, loaded.cold_slack) == (1.25, 3.0)


@pytest.mark.parametrize("regions", ["a", [1], None, {"a": 1}])
def test_malformed_regions_are_refused(regions):
    """Guards against a restriction that is dropped because it cannot be read."""
    value = builders_platform.make_configuration()
    value["Routes"][0]["AllowedRegions"] = regions
    with pytest.raises(errors.DocumentError):
        records.parse_catalog(value)


@pytest.mark.parametrize("left", ["soon", -1, True, None, float("inf")])
def test_malformed_cold_time_is_refused(left):
    entry = {**builders_platform.make_entry(), "ColdMs": left}
    with pytest.raises(errors.DocumentError):
        records.parse_endpoint("i-1", entry)


def test_settings_are_read_with_their_units():
    loaded = settings_file.parse(builders_platform.make_settings(), "local.toml")
    assert loaded.listen == ("10.1.0.26", 8465)
    assert loaded.peer_listen == ("10.1.0.26", 7560)
    assert loaded.endpoint_drain == 7.0


def test_all_faults_of_settings_are_named_at_once():
    table = builders_platform.make_settings()
    table["BindAddresses"]["Frontend"] = "nowhere"
    del table["NodeName"]
    with pytest.raises(errors.SettingsError) as caught:
        settings_file.parse(table, "local.toml")
    assert "BindAddresses.Frontend" in caught.value.message
    assert "NodeName" in caught.value.message


def test_limit_of_evacuations_is_absent_unless_the_settings_have_it():
    table = builders_platform.make_settings()
    assert settings_file.parse(table, "local.toml").evacuation_limit is None
    table["Bounds"]["EvacuationMs"] = 5000
    assert settings_file.parse(table, "local.toml").evacuation_limit == 5.0


@pytest.mark.parametrize("value", [{}, {"Until": 3}, [], None, "yes"])
def test_evacuation_names_its_zone_whatever_its_value(value):
    # A zone would stay in use because somebody wrote a comment into the object.
    entry = records.parse_evacuation("north", value)
    assert entry.zone == "north"
    assert bool(entry.fault) == (value != {})


@pytest.mark.parametrize("is_watch", [False, True])
def test_object_without_content_does_not_count_as_deleted(is_watch):
    found = builders_platform.make_object("north", 3, None)
    body = {"items": [found], "HasMore": False, "StoreRevision": 8}
    if is_watch:
        body = {"events": [{"Object": found, "IsGone": False}], "StoreRevision": 8}
    changes = run_store(
        builders_platform.Recorder((200, body)),
        lambda client: (
            client.watch("evacuations", 2, 1.5)
            if is_watch
            else client.list("evacuations")
        ),
    )
    assert [(item.name, item.value) for item in changes.objects] == [("north", {})]
    assert len(changes.unread) == 1


def test_unreadable_settings_file_is_one_error(tmp_path):
    with pytest.raises(errors.SettingsError):
        settings_file.load(tmp_path / "missing.toml")


def test_deploy_file_names_the_metrics_port():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    assert deploy["roles"]["node"]["metrics"] == f"{settings_file.METRICS_PORT}/metrics"


def test_configuration_is_read_by_database_name():
    found = records.parse_catalog(builders_platform.make_configuration())
    route = found.routes["letters"]
    assert route.consistency is catalog.Consistency.SESSION
    assert (route.max_staleness, route.statement_timeout) == (2.5, 1.0)
    assert found.teams_by_key == {"k1": "desk"}
    assert found.groups["db"].sync_replicas == 1
    assert found.transaction_idle == 2.0


@pytest.mark.parametrize("value", [None, {}, {"Version": 3}, "text", {"Routes": [{}]}])
def test_unreadable_configuration_is_refused(value):
    with pytest.raises(errors.DocumentError):
        records.parse_catalog(value)


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "resting"},
        {"Address": "nowhere"},
        {"Address": 7},
        {"Capacity": "3"},
        {"Capacity": True},
        {"DatabaseRole": "witness"},
        {"Service": None},
        {"born": "today"},
        {"born": 1.5},
        {"born": float("inf")},
        {"born": True},
        {"Address": "10.0.0.9:65536"},
        {"Address": "10.0.0.9:0"},
        {"Address": "10.0.0.9:-1"},
        {"Address": "10.0.0.9:" + "9" * 5000},
        {"Service": "zam\u00f3wienia-\u0142\u00f3d\u017a"},
        {"Service": "two words"},
        {"Service": "line\r\nbreak"},
        {"Service": "\ud800"},
        {"Service": ""},
        {"Address": "db..example:5432"},
        {"Address": "10.0.0.9.1:5432"},
        {"Address": "\u0142:5432"},
    ],
)
def test_malformed_endpoint_record_is_refused(changes):
    # Another writer's entry was used: its text could be neither sent nor looked up.
    entry = builders_platform.make_entry(**changes)
    with pytest.raises(errors.DocumentError, match="i-1"):
        records.parse_endpoint("i-1", entry)


@pytest.mark.parametrize("name", ["i-\u017a", "i 1", "i\n1", "\ud800"])
def test_endpoint_name_that_no_line_can_hold_is_refused(name):
    with pytest.raises(errors.DocumentError):
        records.parse_endpoint(name, builders_platform.make_entry())


@pytest.mark.parametrize(
    ("host", "group", "team"),
    [
        ("db..example", "db", "desk"),
        ("127.0.0.1", "\u0142\u00f3d\u017a", "desk"),
        ("127.0.0.1", "db", "\u0142\u00f3d\u017a"),
    ],
)
def test_connection_that_cannot_be_described_is_not_opened(host, group, team):
    # The error was none that callers of the connector expect, and ended the leader.
    server = builders_platform.LineServer()

    async def main():
        listening = await server.start()
        record = catalog.EndpointRecord("i-1", group, host, server.port, "north")
        try:
            await endpoints.Connector().open(record, team, clock.read() + 5.0)
        finally:
            listening.close()

    with pytest.raises(ports.OpeningFailed):
        anyio.run(main)


def test_connection_for_callers_without_a_key_names_nobody():
    # Every statement on an open route of a caller without a key was refused.
    server = builders_platform.LineServer(READY)

    async def main():
        async with await server.start():
            record = catalog.EndpointRecord(
                "i-1", "db", "127.0.0.1", server.port, "north"
            )
            connection = await endpoints.Connector().open(record, "", clock.read() + 5)
            connection.close()
            await server.ended.wait()

    anyio.run(main)
    assert server.lines[0] == b"START db - i-1\r\n"


@pytest.mark.parametrize(
    "team", ["\u0142\u00f3d\u017a", "two words", "a\r\nb", "x" * lines.MAX_LINE]
)
def test_database_is_not_connected_to_for_a_team_that_it_cannot_be_told(team):
    # Each statement cost databases a connection; the longest name ended its task.
    server = builders_platform.LineServer(READY)

    async def main():
        async with await server.start():
            record = catalog.EndpointRecord(
                "i-1", "db", "127.0.0.1", server.port, "north"
            )
            with pytest.raises(ports.OpeningFailed):
                await endpoints.Connector().open(record, team, clock.read() + 5)
            await asyncio.sleep(0.1)

    anyio.run(main)
    assert not server.lines
    assert not server.ended.is_set()


@pytest.mark.parametrize("name", ["\u0142\u00f3d\u017a", "two words", "a\nb", "a\tb"])
@pytest.mark.parametrize("kind", ["Tenants", "Services"])
def test_name_that_databases_cannot_be_told_leaves_the_others_usable(name, kind):
    value = builders_platform.make_configuration()
    (entry,) = value[kind]
    value[kind].append({**entry, "Name": name, "ApiKeys": ["k2"]})
    found = records.parse_catalog(value)
    assert found.unnameable == {name}
    assert found.teams_by_key["k1"] == "desk"


@pytest.mark.parametrize("entry", [None, "text", 7, [], {}])
def test_endpoint_record_that_is_no_table_is_refused(entry):
    with pytest.raises(errors.DocumentError, match="i-1"):
        records.parse_endpoint("i-1", entry)


def test_endpoint_record_is_read():
    record = records.parse_endpoint(
        "i-1", builders_platform.make_entry(State="draining", DatabaseRole="primary")
    )
    assert (record.host, record.port, record.slots) == ("10.0.0.9", 8080, 3)
    assert record.is_draining
    assert record.claims_primary


def run_store(recorder, call):
    async def main():
        client = store.StoreClient(("127.0.0.1", 1), recorder.transport)
        try:
            return await call(client)
        finally:
            await client.close()

    return anyio.run(main)


def test_list_reads_all_pages_and_keeps_the_first_revision():
    first = builders_platform.make_object("a", 3, {})
    second = builders_platform.make_object("b", 9, {})
    recorder = builders_platform.Recorder(
        (200, {"items": [first], "HasMore": True, "StoreRevision": 8}),
        (200, {"items": [second], "HasMore": False, "StoreRevision": 9}),
    )
    changes = run_store(recorder, lambda client: client.list("servers"))
    assert [item.name for item in changes.objects] == ["a", "b"]
    assert objects.find_revision(changes.revision) == 8
    assert recorder.requests[1].url.params["after"] == "a"


def test_watch_returns_changes_and_deletions():
    changed = builders_platform.make_object("a", 3, {"x": 1})
    deleted = builders_platform.make_object("b", 2, {"x": 2})
    recorder = builders_platform.Recorder(
        (
            200,
            {
                "events": [
                    {"Object": changed, "IsGone": False},
                    {"Object": deleted, "IsGone": True},
                    {"Object": "unreadable"},
                ],
                "StoreRevision": 5,
            },
        )
    )
    changes = run_store(recorder, lambda client: client.watch("servers", 2, 1.5))
    assert [(item.name, item.value) for item in changes.objects] == [
        ("a", {"x": 1}),
        ("b", None),
    ]
    assert len(changes.unread) == 1
    params = recorder.requests[0].url.params
    assert (params["Watch"], params["WaitMs"]) == ("2", "1500")


UNREADABLE = [
    pytest.param(b'{"Zone": "For\xeat"}', id="not UTF-8"),
    pytest.param(b'{"Zone": ' + b"[" * 3000 + b"]" * 3000 + b"}", id="nested"),
    pytest.param(b'{"Zone": ' + b"7" * 5000 + b"}", id="digits"),
    pytest.param(b'{"Zone": "a\\"]}\xff", "b": {"c": []}}', id="brackets in text"),
    pytest.param(b"\xfe\xff", id="no JSON"),
]


def format_object(name, revision, spec=b"{}"):
    meta = json.dumps({"Name": name, "Revision": revision}).encode()
    return b'{"meta": ' + meta + b', "spec": ' + spec + b', "status": null}'


@pytest.mark.parametrize("spec", UNREADABLE)
def test_list_with_an_unreadable_object_has_the_others(spec):
    # review/3: no node could read the list of databases while one entry was unreadable.
    items = [
        format_object("a", 3, b'{"x": ["]}"]}'),
        format_object("odd", 4, spec),
        format_object("b", 5, b'{"x": 2}'),
    ]
    body = b'{"items": [%s], "HasMore": false, "StoreRevision": 9}' % b",".join(items)
    changes = run_store(
        builders_platform.Recorder((200, body)), lambda client: client.list("servers")
    )
    assert [(item.name, item.value) for item in changes.objects] == [
        ("a", {"x": ["]}"]}),
        ("odd", {}),
        ("b", {"x": 2}),
    ]
    assert len(changes.unread) == 1
    assert changes.unread[0].startswith("odd: ")
    assert objects.find_revision(changes.revision) == 9


@pytest.mark.parametrize(
    "value",
    [
        b"1e400",
        b"NaN",
        b"9" * 400,
        b"18446744073709551616",
        b"-9223372036854775809",
        b"[" * 500 + b"]" * 500,
        b'{"a":' * 70 + b"1" + b"}" * 70,
        b'"\\ud800"',
        b'{"\\ud800": 1}',
    ],
)
def test_object_with_a_value_that_nodes_cannot_use_is_empty(value):
    # The watch of the databases failed on it, and started again for ever.
    items = [format_object("odd", 4, b'{"born": %s}' % value), format_object("b", 5)]
    body = b'{"items": [%s], "HasMore": false, "StoreRevision": 9}' % b",".join(items)
    changes = run_store(
        builders_platform.Recorder((200, body)), lambda client: client.list("servers")
    )
    assert [(item.name, item.value) for item in changes.objects] == [
        ("odd", {}),
        ("b", {}),
    ]
    assert len(changes.unread) == 1
    frames.pack_changes(1, changes)


@pytest.mark.parametrize("value", [2**63 - 1, -(2**63) + 1, 1.5, "\u0142", [[[1]]]])
def test_object_with_unusual_values_is_read(value):
    found = builders_platform.make_object("a", 3, {"x": value})
    body = {"items": [found], "HasMore": False, "StoreRevision": 8}
    changes = run_store(
        builders_platform.Recorder((200, body)), lambda client: client.list("servers")
    )
    assert changes.objects[0].value == {"x": value}
    assert not changes.unread


@pytest.mark.parametrize("spec", UNREADABLE)
@pytest.mark.parametrize("gone", [False, True])
def test_watch_with_an_unreadable_object_has_the_other_changes(spec, gone):
    events = [
        b'{"IsGone": %s, "Object": %s}'
        % (json.dumps(gone).encode(), format_object("odd", 4, spec)),
        b'{"IsGone": true, "Object": %s}' % format_object("a", 3),
        b'{"Object": %s, "IsGone": false}' % format_object("b", 5, b'{"x": 2}'),
    ]
    body = b'{"StoreRevision": 9, "events": [%s]}' % b",".join(events)
    changes = run_store(
        builders_platform.Recorder((200, body)),
        lambda client: client.watch("servers", 2, 1.5),
    )
    assert [(item.name, item.value) for item in changes.objects] == [
        ("odd", None if gone else {}),
        ("a", None),
        ("b", {"x": 2}),
    ]
    assert len(changes.unread) == (0 if gone else 1)


def test_list_goes_on_after_a_page_that_ends_with_an_unreadable_object():
    first = b'{"items": [%s, %s], "HasMore": true, "StoreRevision": 8}' % (
        format_object("a", 3),
        format_object("odd", 4, b'"\xff"'),
    )
    recorder = builders_platform.Recorder(
        (200, first),
        (200, {"items": [], "HasMore": False, "StoreRevision": 9}),
    )
    run_store(recorder, lambda client: client.list("servers"))
    assert recorder.requests[1].url.params["after"] == "odd"


@pytest.mark.parametrize(
    "body", [b"\xff", b"[]", b'{"items": [', b"[" * 3000, b'{"items": 7}{', b'{"a"}']
)
def test_body_that_cannot_be_read_at_all_is_an_error(body):
    with pytest.raises(errors.PlatformUnavailable):
        run_store(
            builders_platform.Recorder((200, body)),
            lambda client: client.list("servers"),
        )


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (404, errors.ObjectMissing),
        (409, errors.VersionConflict),
        (410, errors.WatchExpired),
        (429, errors.PlatformUnavailable),
        (503, errors.PlatformUnavailable),
        (400, errors.PlatformError),
    ],
)
def test_status_of_the_store_becomes_a_kind_of_error(status, kind):
    recorder = builders_platform.Recorder((status, {}))
    with pytest.raises(kind):
        run_store(recorder, lambda client: client.list("servers"))


def test_update_is_conditional_on_the_version():
    recorder = builders_platform.Recorder(
        (200, builders_platform.make_object("leader", 9, {"a": 1}))
    )
    version = objects.make_version(1, 8)
    stored = run_store(recorder, lambda c: c.update("own", "leader", {"a": 1}, version))
    assert stored.version == objects.make_version(1, 9)
    assert recorder.read_body(0)["meta"]["Revision"] == 8


@pytest.mark.parametrize(
    ("name", "path"),
    [
        ("group.a/b", b"group.a%2Fb"),
        ("group.a?b=1", b"group.a%3Fb%3D1"),
        ("group.a#b", b"group.a%23b"),
        ("group.a%2Fb", b"group.a%252Fb"),
        ("group.a b", b"group.a%20b"),
        ("group.\u0142", b"group.%C5%82"),
        ("group.db-1_a~b", b"group.db-1_a~b"),
    ],
)
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
def test_name_of_an_object_is_one_segment_of_its_path(name, path, method):
    # The call named another object, or none, and the rest of it was a query.
    recorder = builders_platform.Recorder(
        (200, {"meta": {"Name": name, "Revision": 5}, "spec": {}})
    )
    version = objects.make_version(1, 4)
    if method == "PUT":
        run_store(recorder, lambda c: c.update("sardinehold", name, {}, version))
    else:
        run_store(recorder, lambda c: c.delete("sardinehold", name, version))
    (request,) = recorder.requests
    query = b"" if method == "PUT" else b"?Revision=4"
    assert request.url.raw_path == b"/api/objects/sardinehold/" + path + query


@pytest.mark.parametrize("name", ["\ud800", 7, None, ["i-1"], {}])
@pytest.mark.parametrize("is_watch", [False, True])
def test_object_whose_name_is_no_text_does_not_hide_the_others(name, is_watch):
    # It could not be compared with other names, or not be sent to other nodes.
    bad = builders_platform.make_object(name, 4, {})
    good = builders_platform.make_object("i-2", 5, {})
    body = {
        "items": [bad, good],
        "events": [{"Object": bad, "IsGone": True}, {"Object": good}],
        "StoreRevision": 6,
    }
    recorder = builders_platform.Recorder((200, json.dumps(body).encode()))
    if is_watch:
        found = run_store(recorder, lambda c: c.watch("servers", 3, 0.1))
    else:
        found = run_store(recorder, lambda c: c.list("servers"))
    assert [stored.name for stored in found.objects] == ["i-2"]
    assert frames.pack_changes(1, found)


@pytest.mark.parametrize("body", [{}, {"StoreRevision": "x"}, {"meta": {"Name": "a"}}])
@pytest.mark.parametrize(
    "call",
    [
        lambda c: c.list("servers"),
        lambda c: c.watch("servers", 3, 0.1),
        lambda c: c.create("sardinehold", "a", {}),
        lambda c: c.update("sardinehold", "a", {}, objects.make_version(1, 4)),
    ],
)
def test_answer_that_lacks_a_field_is_an_error(body, call):
    # The error was none that callers of the store expect.
    recorder = builders_platform.Recorder((200, body))
    with pytest.raises(errors.PlatformUnavailable):
        run_store(recorder, call)


def test_versions_carry_the_era_of_the_answer():
    page = {
        "items": [builders_platform.make_object("a", 3, {})],
        "HasMore": True,
        "StoreRevision": 8,
    }
    last = {**page, "HasMore": False}
    events = {"events": [{"Object": page["items"][0]}], "StoreRevision": 9}
    recorder = builders_platform.Recorder(
        (200, page), (200, last), (200, events), eras=(1, 2, 3)
    )

    async def call(client):
        return await client.list("own"), await client.watch(
            "own", objects.make_version(2, 8), 1.0
        )

    listed, watched = run_store(recorder, call)
    assert [item.version for item in listed.objects] == [
        objects.make_version(1, 3),
        objects.make_version(2, 3),
    ]
    assert listed.revision == objects.make_version(1, 8)
    assert watched.revision == objects.make_version(3, 9)
    assert recorder.requests[2].url.params["Watch"] == "8"


def request_promotion(server, deadline=5.0, holder="frontend-1"):
    """Send one request, and return once the server has seen its connection end."""

    async def main():
        listening = await server.start()
        client = failover_client.FailoverClient(server.address)
        try:
            await client.promote("db", "i-2", holder, 41, clock.read() + deadline)
        finally:
            if server.requests:
                await server.ended.wait()
            listening.close()

    anyio.run(main)


def test_promotion_request_has_holder_and_token():
    server = builders_platform.FailoverServer(200)
    request_promotion(server)
    head, _, body = server.requests[0].partition(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    assert lines[0] == "post /failover http/1.1"
    assert "x-duty-holder: frontend-1" in lines
    assert "x-fencing-token: 41" in lines
    assert json.loads(body) == {"Service": "db", "Id": "i-2"}


@pytest.mark.parametrize("status", [409, 429, 503])
def test_refused_promotion_is_an_error(status):
    with pytest.raises(errors.PlatformError) as caught:
        request_promotion(builders_platform.FailoverServer(status))
    assert not isinstance(caught.value, errors.PlatformUnavailable)


def test_failed_promotion_may_have_been_executed():
    with pytest.raises(errors.PlatformUnavailable):
        request_promotion(builders_platform.FailoverServer(500))


def test_unanswered_promotion_request_is_reset_at_its_deadline():
    # A partition that heals later delivered the request after the next leader's ones.
    server = builders_platform.FailoverServer()
    with pytest.raises(errors.PlatformUnavailable):
        request_promotion(server, 0.2)
    assert server.was_reset == [True]


def test_promotion_request_is_not_sent_after_its_deadline(monkeypatch):
    # The process was suspended while it connected, and sent the request afterwards.
    real_connect = asyncio.open_connection

    async def connect(*arguments):
        opened = await real_connect(*arguments)
        now = clock.read()
        monkeypatch.setattr(clock, "read", lambda: now + 10.0)
        return opened

    monkeypatch.setattr(asyncio, "open_connection", connect)
    server = builders_platform.FailoverServer(200)
    with pytest.raises(errors.PlatformError) as caught:
        request_promotion(server)
    assert not isinstance(caught.value, errors.PlatformUnavailable)
    assert server.requests == []


def test_promotion_request_of_a_killed_process_is_discarded():
    # The kernel delivered it after the process had ended and another one led.
    server = builders_platform.FailoverServer()

    async def main():
        listening = await server.start()
        port = str(server.address[1])
        command = [sys.executable, builders_platform.__file__, port]
        sender = await asyncio.create_subprocess_exec(*command)
        while not server.requests:
            await asyncio.sleep(0.01)
        sender.kill()
        await sender.wait()
        await server.ended.wait()
        listening.close()

    anyio.run(main)
    assert server.was_reset == [True]


def test_node_name_that_no_header_can_hold_is_an_error():
    with pytest.raises(errors.PlatformError):
        request_promotion(builders_platform.FailoverServer(200), holder="lod\u017a")


def run_scenario(scenario, *script):
    """Run ``scenario(connection)`` against an endpoint with scripted answers."""
    server = builders_platform.LineServer(READY, *script)

    async def main():
        listening = await server.start()
        async with listening:
            record = catalog.EndpointRecord(
                "i-1", "db", "127.0.0.1", server.port, "north"
            )
            connector = endpoints.Connector()
            connection = await connector.open(record, "desk", clock.read() + 5)
            try:
                return await scenario(connection)
            finally:
                connection.close()

    return anyio.run(main), server


def make_statement(text):
    return callers.parse_statement("id7", text)


def test_statement_is_forwarded_with_id_and_text_unchanged():
    answer, server = run_scenario(
        lambda c: c.run(make_statement("WRITE 1a4 a  b"), clock.read() + 5),
        b"COMPLETE 7.1f3\r\nREADY I 3.1209\r\n",
    )
    assert server.lines[:2] == [
        b"START db desk i-1\r\n",
        b"QUERY id7 WRITE 1a4 a  b\r\n",
    ]
    assert answer.completion_tag == "7.1f3"
    assert answer.position == positions.Position(3, 1209)


def test_position_is_sent_before_a_read():
    answer, server = run_scenario(
        lambda c: c.run(
            make_statement("READ 1a4"), clock.read() + 5, positions.Position(3, 12)
        ),
        b"ERROR LAGGING behind\r\nREADY I 3.11\r\n",
    )
    assert server.lines[1] == b"QUERY id7 AFTER 3.12 READ 1a4\r\n"
    assert answer.error is statements.Failure.LAGGING


def test_prepared_statement_runs_under_its_shared_name():
    async def scenario(connection):
        statement = make_statement("EXECUTE s1 1a4 data")
        statement.definition = statements.Definition(True, "q2c")
        await connection.prepare([statement.definition], clock.read() + 5)
        return await connection.run(statement, clock.read() + 5)

    answer, server = run_scenario(
        scenario,
        b"COMPLETE -\r\nREADY I -\r\n",
        b"ROW a\r\nROW b\r\nCOMPLETE s\r\nREADY I 1.1\r\n",
    )
    name = statements.Definition(True, "q2c").shared_name.encode()
    assert server.lines[1:3] == [
        b"QUERY - PREPARE %s WRITE q2c\r\n" % name,
        b"QUERY id7 EXECUTE %s 1a4 data\r\n" % name,
    ]
    assert answer.rows == ["a", "b"]


def test_status_row_is_decoded():
    status, _ = run_scenario(
        lambda c: c.read_status(clock.read() + 5),
        b"ROW replica 3 3.1209 4 12 2 17\r\nCOMPLETE -\r\nREADY I 3.1204\r\n",
    )
    assert not status.is_primary
    assert (status.term, status.paused_term, status.lag) == (3, 4, 0.012)
    assert status.received == positions.Position(3, 1209)


@pytest.mark.parametrize(
    "ready",
    [
        b"READY X 3.1",
        b"READY  3.1",
        b"READY I",
        b"READY I 3",
        b"READY I -1.5",
        b"READY I 3.+5",
        b"READY I 3. 5",
        b"READY I 3.1_0",
        b"READY I 3.1 5",
        b"READY I 3." + b"9" * 19,
        b"READY I " + b"9" * 400 + b".1",
    ],
)
def test_answer_with_another_state_or_position_is_no_answer(ready):
    # Other nodes and the caller were to be sent it, which failed unexpectedly.
    async def scenario(connection):
        with pytest.raises(ports.ConnectionLost):
            await connection.run(make_statement("READ 1a4"), clock.read() + 5)

    run_scenario(scenario, b"COMPLETE s\r\n" + ready + b"\r\n")


@pytest.mark.parametrize(
    "row",
    [
        "replica 3 3.1209 0 nan 2 17",
        "replica 3 3.1209 0 inf 2 17",
        "replica 3 3.1209 " + "9" * 40 + " 12 2 17",
        "replica 3 -3.1209 0 12 2 17",
        "replica 3 3.1209 -1 12 2 17",
        "replica -3 3.1209 0 12 2 17",
    ],
)
def test_status_with_a_number_that_no_log_has_is_none(row):
    with pytest.raises(ValueError):
        endpoints.parse_status_row(row)


def test_broken_connection_reports_that_the_statement_was_sent():
    async def scenario(connection):
        with pytest.raises(ports.ConnectionLost) as caught:
            await connection.run(make_statement("READ a"), clock.read() + 5)
        return caught.value

    lost, _ = run_scenario(scenario, None)
    assert lost.was_sent
    assert not lost.is_timeout


def test_truncated_answer_is_no_answer():
    async def scenario(connection):
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, connection._transport.abort)
        with pytest.raises(ports.ConnectionLost):
            await connection.run(make_statement("READ a"), clock.read() + 5)

    run_scenario(scenario, b"ROW half\r\nCOMPL")


def test_connection_without_an_answer_in_time_is_reset():
    # The kernel delivered a command that was given up when a partition healed, such as
    # the RESUME of a former leader.
    server = builders_platform.LineServer(READY)

    async def main():
        listening = await server.start()
        record = catalog.EndpointRecord("i-1", "db", "127.0.0.1", server.port, "north")
        connection = await endpoints.Connector().open(record, "d", clock.read() + 5.0)
        with pytest.raises(ports.ConnectionLost):
            await connection.resume(clock.read() + 0.2)
        await server.ended.wait()
        listening.close()

    anyio.run(main)
    assert server.lines[-1].startswith(b"QUERY - RESUME")
    assert server.was_reset == [True]


def test_refused_start_reports_the_failure():
    server = builders_platform.LineServer(b"ERROR WRONGNODE another\r\n")

    async def main():
        async with await server.start():
            record = catalog.EndpointRecord("i-1", "db", "127.0.0.1", server.port, "z")
            with pytest.raises(ports.OpeningFailed) as caught:
                await endpoints.Connector().open(record, "desk", clock.read() + 0.3)
            return caught.value

    assert anyio.run(main).failure is statements.Failure.WRONG_ENDPOINT


def serve_callers(monkeypatch, lines_sent, prepare=lambda world: None, may_pause=False):
    """Send lines to a simulated node; return the answers and whether it closed."""
    found = []

    async def scenario(world):
        prepare(world)
        node = world.nodes["n1"]

        class Transport:
            closed = False

            def write(self, data):
                found.append(data)

            def close(self):
                self.closed = True

            def pause_reading(self):
                assert may_pause, "reading paused below the limit of pending lines"

            def resume_reading(self):
                assert may_pause

            def get_extra_info(self, name):
                return None

        monkeypatch.setattr(endpoints, "configure_socket", lambda _: None)
        transport = Transport()
        caller = callers.Caller(node)
        caller.connection_made(transport)
        for line in lines_sent:
            caller.data_received(line + b"\r\n")
            await asyncio.sleep(0.5)
        found.append(transport.closed)

    builders_node.run_scenario(monkeypatch, scenario)
    return found


class CallerTransport:
    """Records what is written to a caller, and whether it is read."""

    def __init__(self):
        self.data = b""
        self.is_closed = False
        self.is_reading = True

    def write(self, data):
        self.data += data

    def close(self):
        self.is_closed = True

    abort = close

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def get_extra_info(self, name):
        return None


def run_caller(monkeypatch, scenario):
    """Run a scenario with a node, a caller with a session, and its transport."""

    async def run(world):
        monkeypatch.setattr(endpoints, "configure_socket", lambda _: None)
        node, transport = world.nodes["n1"], CallerTransport()
        caller = callers.Caller(node)
        caller.connection_made(transport)
        caller.data_received(b"START session red-key\r\n")
        await asyncio.sleep(0.5)
        await scenario(node, caller, transport)

    builders_node.run_scenario(monkeypatch, run)


def test_unfinished_line_of_a_caller_that_is_not_read_is_not_overdue(monkeypatch):
    # A paused caller cannot send the rest, and was closed after 60 s.
    async def scenario(node, caller, transport):
        node.guard.budget.limits.memory = 2000
        caller.data_received(b"x" * 1200)
        (account,) = node.guard.budget.accounts
        assert account.is_paused
        assert not transport.is_reading
        assert node.guard.budget.find_overdue(clock.read() + 100.0) == []

    run_caller(monkeypatch, scenario)


def test_line_that_is_too_long_is_refused_after_the_answers_before_it(monkeypatch):
    # The error stood between the rows of an answer that was being sent.
    async def scenario(node, caller, transport):
        transport.data = b""
        caller.data_received(b"QUERY 1 READ a\r\n" + b"x" * (lines.MAX_LINE + 1))
        assert not transport.is_reading
        await asyncio.sleep(0.5)
        answer, _, refusal = transport.data.partition(b"READY")
        assert answer.startswith(b"ROW row\r\nCOMPLETE")
        assert refusal.split(b"\r\n")[1].startswith(b"ERROR TOOLARGE")
        assert transport.is_closed

    run_caller(monkeypatch, scenario)


def test_caller_is_accepted_and_served(monkeypatch):
    found = serve_callers(
        monkeypatch,
        [b"START session red-key", b"QUERY 5c WRITE a b", b"QUERY 6 READ a"],
    )
    assert found[0] == b"READY I -\r\n"
    assert found[1].startswith(b"ROW row\r\nCOMPLETE signed g-0 5c\r\nREADY I 1.1\r\n")
    assert found[-1] is False


def test_prepare_that_no_endpoint_can_be_sent_is_refused_on_arrival(monkeypatch):
    # Its line fits the limit, the line to an endpoint with a longer name does not.
    room = lines.MAX_LINE - len(b"QUERY 1 PREPARE s READ \r\n")
    long = b"PREPARE s READ " + b"x" * room
    found = serve_callers(
        monkeypatch,
        [
            b"START session red-key",
            b"QUERY 1 " + long,
            b"QUERY 2 EXECUTE s 1a4",
            b"QUERY 3 BEGIN",
            b"QUERY 4 " + long,
            b"QUERY 5 COMMIT",
            b"QUERY 6 READ a",
        ],
        may_pause=True,
    )
    codes = [answer.split(b"\r\n") for answer in found[1:-1]]
    assert codes[0][0].startswith(b"ERROR TOOLARGE not run")
    assert codes[0][1] == b"READY I -"
    assert codes[1][0].startswith(b"ERROR NOSTMT")
    assert codes[3][0].startswith(b"ERROR TOOLARGE not run")
    assert codes[3][1].startswith(b"READY E")
    assert codes[4][0].startswith(b"ERROR ABORTED")
    assert codes[5][1].startswith(b"COMPLETE signed")
    assert found[-1] is False


@pytest.mark.parametrize(
    ("start", "code"),
    [
        (b"START session wrong", b"ERROR DENIED"),
        (b"START nowhere red-key", b"ERROR NODB"),
        (b"QUERY 1 READ a", b"ERROR MALFORMED"),
        (b"START session", b"ERROR MALFORMED"),
        (b"HELLO", b"ERROR MALFORMED"),
    ],
)
def test_wrong_start_is_refused_and_closed(monkeypatch, start, code):
    found = serve_callers(monkeypatch, [start])
    assert found[0].startswith(code)
    assert found[-1] is True


def test_caller_that_connects_before_the_configuration_is_accepted_with_it(monkeypatch):
    # In letters-desk trouble-2, sessions that started while nodes were restarting were
    # refused some milliseconds before the configuration arrived.
    def restart(world):
        world.kill_node("n1")
        world.start_node("n1", "middle")

    found = serve_callers(
        monkeypatch, [b"START session red-key", b"QUERY 5c READ a"], restart
    )
    assert found[0] == b"READY I -\r\n"
    assert b"COMPLETE signed" in found[1]


def test_caller_is_refused_when_no_configuration_comes(monkeypatch):
    def restart(world):
        world.kill_node("n1")
        world.store.cut.add("n1")
        world.start_node("n1", "middle")

    found = serve_callers(monkeypatch, [b"START session red-key"] * 5, restart)
    assert found[0].startswith(b"ERROR BUSY")
    assert found[-1] is True


def test_internal_request_id_is_refused_from_a_caller(monkeypatch):
    found = serve_callers(monkeypatch, [b"START session red-key", b"QUERY - READ a"])
    assert found[1].startswith(b"ERROR MALFORMED")


def test_unknown_statement_does_not_end_the_session(monkeypatch):
    found = serve_callers(
        monkeypatch, [b"START session red-key", b"QUERY 1 PAUSE 9", b"QUERY 2 READ a"]
    )
    assert found[1].startswith(b"ERROR MALFORMED malformed\r\nREADY I -\r\n")
    assert b"COMPLETE signed" in found[2]


@pytest.mark.parametrize("name", ["red", "g"])
def test_session_that_no_database_can_be_told_of_is_refused_at_once(monkeypatch, name):
    # Each of its statements waited for a connection until its timeout.
    def prepare(world):
        world.nodes["n1"].catalog.unnameable = frozenset({name})

    found = serve_callers(monkeypatch, [b"START session red-key"], prepare)
    assert found[0].startswith(b"ERROR BUSY")
    assert name.encode() in found[0]
    assert found[-1] is True


def test_refused_start_quotes_a_reason_that_no_line_can_hold(monkeypatch):
    def authorize(session):
        raise outcomes.StatementFailed(statements.Failure.BUSY, "zone \u0142")

    monkeypatch.setattr(sessions.Session, "authorize", authorize)
    found = serve_callers(monkeypatch, [b"START session red-key"])
    assert found == [b"ERROR BUSY zone \\u0142\r\n", True]


def test_caller_of_a_statement_that_failed_unexpectedly_is_closed(monkeypatch):
    # The session went on, and its caller waited for the answer.
    async def scenario(node, caller, transport):
        async def serve(session, statement):
            raise KeyError("g-9")

        monkeypatch.setattr(node, "serve", serve)
        caller.data_received(b"QUERY 1 READ a\r\n")
        await asyncio.sleep(0.5)
        assert transport.is_closed
        assert node.registry.counters["tasks_failed"] == 1

    run_caller(monkeypatch, scenario)


def test_pages_are_served_over_a_keepalive_connection():
    async def main():
        loop = asyncio.get_running_loop()
        shown = {"/api/readiness": lambda: (503, b"")}
        server = await loop.create_server(
            lambda: pages.PageServer(shown), "127.0.0.1", 0
        )
        async with server:
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            codes = []
            for path in ("/api/readiness", "/other"):
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                head = await reader.readuntil(b"\r\n\r\n")
                codes.append(head.split()[1])
            writer.close()
            return codes

    assert anyio.run(main) == [b"503", b"404"]


def test_one_page_is_rendered_in_an_iteration_of_the_event_loop():
    # Thousands of requests in one chunk blocked the event loop for 16 s.
    async def main():
        loop = asyncio.get_running_loop()
        iterations = []
        turns = [0]

        def show():
            iterations.append(turns[0])
            return 200, b""

        def count():
            turns[0] += 1
            loop.call_soon(count)

        server = await loop.create_server(
            lambda: pages.PageServer({"/metrics": show}), "127.0.0.1", 0
        )
        async with server:
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            count()
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * 200)
            writer.write_eof()
            answers = await reader.read()
            writer.close()
        return iterations, answers.count(b" 200 ")

    iterations, answered = anyio.run(main)
    assert answered == 200
    assert len(set(iterations)) == 200


def test_page_is_not_rendered_for_each_of_many_requests(monkeypatch):
    # A few clients that fetch pages without a pause left no time for callers.
    now = [100.0]
    monkeypatch.setattr(clock, "read", lambda: now[0])
    bodies = iter([b"first", b"second"])
    page = pages.ReusedPage(lambda: (200, next(bodies)))
    assert {page() for _ in range(1_000)} == {(200, b"first")}
    now[0] += pages.REUSE_SECONDS
    assert {page() for _ in range(1_000)} == {(200, b"second")}


WIRE_NAMES = (
    "X-Duty-Holder",
    "X-Fencing-Token",
    "StoreRevision",
    "DatabaseRole",
    "MaxStalenessMs",
    "ApiKeys",
    "CONNLIMIT",
    "STEPDOWN",
    "WRONGNODE",
    "NODB",
    "/failover",
    "/api/objects",
    "SARDINEHOLD_SETTINGS",
    "BindAddresses",
)


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_names_of_the_platform_stay_in_the_adapter(name):
    outside = [
        path
        for path in (ROOT / "src").rglob("*.py")
        if path.parent.name != "platform"
        and path.name != "loopback.py"
        and name in path.read_text(encoding="utf-8")
    ]
    assert outside == []


def test_adapter_stays_below_a_tenth_of_the_product():
    def count(folder):
        paths = folder.rglob("*.py")
        return sum(len(path.read_text(encoding="utf-8").splitlines()) for path in paths)

    product = ROOT / "src" / "sardinehold"
    assert count(product / "platform") < count(product) / 10


def test_delete_is_conditional_on_the_version():
    recorder = builders_platform.Recorder((200, {}))
    run_store(recorder, lambda client: client.delete("own", "member.a", 8))
    assert recorder.requests[0].method == "DELETE"
    assert recorder.requests[0].url.path == "/api/objects/own/member.a"
    assert recorder.requests[0].url.params["Revision"] == "8"
