import urllib.parse

import anyio
import httpx
import pytest

import builders_fleet
from sardinehold import control
from sardinehold import errors
from sardinehold import metrics
from sardinehold import platform_client
from sardinehold import settings
from sardinehold import timeline
from sardinehold.core import actions
from sardinehold.core import events
from sardinehold_standins import admission
from sardinehold_standins import platform as platforms
from sardinehold_standins import store as stores


class Fleet:
    """Real agents and peer streams with a platform in the same process."""

    def __init__(self):
        self.store = stores.Store()
        self.gate = admission.AdmissionControl()
        self.platform = platforms.Platform(self.store, self.gate)
        value = builders_fleet.make_document_value()
        self.store.create("document", "current", value)
        self.controls = {}
        self.events = {}

    def make_client(self, vm):
        transport = httpx.ASGITransport(self.platform.app)
        return platform_client.HttpObjectClient("http://p", vm, transport=transport)

    def start(self, tasks, vm, tls=None):
        loaded = settings.ProxySettings(
            vm, "z", "127.0.0.1:0", "127.0.0.1:0", "http://p", peer_tls=tls
        )
        recorder = timeline.Recorder("", vm, "z")
        registry = metrics.Registry()
        controller = control.Control(loaded, recorder, registry, self.make_client(vm))
        self.controls[vm] = controller
        self.events[vm] = []
        tasks.start_soon(controller.run, self.events[vm].append)
        return controller

    def is_serving(self, vm):
        now = anyio.current_time()
        return any(
            isinstance(event, events.LeaseRenewed) and event.write_deadline > now
            for event in self.events[vm][-20:]
        )


async def wait_for(condition, limit=10.0):
    with anyio.fail_after(limit):
        while not condition():
            await anyio.sleep(0.01)


def run(function):
    anyio.run(function)


def test_nodes_agree_over_real_streams():
    async def check():
        fleet = Fleet()
        async with anyio.create_task_group() as tasks:
            for vm in ("a", "b", "c"):
                fleet.start(tasks, vm)
            await wait_for(lambda: all(fleet.is_serving(vm) for vm in "abc"))
            view = fleet.controls["a"].view
            await wait_for(lambda: "letters" in fleet.controls["a"].view.groups)
            assert set(view.members) <= {"a", "b", "c"}
            wanted = actions.RequestTokens("desk", 5)
            fleet.controls["b"].handle(wanted)
            await wait_for(
                lambda: any(
                    isinstance(event, events.TokensGranted) and event.tokens == 5
                    for event in fleet.events["b"]
                )
            )
            tasks.cancel_scope.cancel()

    run(check)


def test_document_written_after_the_store_was_restored_is_in_force():
    async def check():
        fleet = Fleet()
        async with anyio.create_task_group() as tasks:
            for vm in ("a", "b"):
                fleet.start(tasks, vm)
            await wait_for(lambda: all(fleet.is_serving(vm) for vm in "ab"))
            copy = fleet.store.save()
            for number in range(200):
                fleet.store.create("other", str(number), {})
            await anyio.sleep(1.0)
            fleet.store.restore(copy)
            stored = fleet.store.get("document", "current")
            value = {**stored.value, "version": stored.value["version"] + 1}
            fleet.store.update("document", "current", value, stored.version)
            await anyio.sleep(4.0)
            for vm in "ab":
                found = fleet.controls[vm].view.document.version
                assert found == value["version"]
            assert all(fleet.is_serving(vm) for vm in "ab")
            tasks.cancel_scope.cancel()

    run(check)


def test_planned_stop_leaves_the_fleet():
    async def check():
        fleet = Fleet()
        async with anyio.create_task_group() as tasks:
            for vm in ("a", "b"):
                fleet.start(tasks, vm)
            await wait_for(lambda: all(fleet.is_serving(vm) for vm in "ab"))
            fleet.controls["a"].begin_stop()
            fleet.controls["a"].handle(actions.DrainFinished(0))
            await wait_for(lambda: set(fleet.controls["b"].view.members) == {"b"})
            with anyio.fail_after(5):
                await fleet.controls["a"].wait_stopped()
            tasks.cancel_scope.cancel()

    run(check)


@pytest.mark.parametrize(
    ("status", "kind"),
    [
        (404, errors.ObjectMissing),
        (410, errors.WatchExpired),
        (412, errors.VersionConflict),
        (413, errors.PlatformError),
        (429, errors.PlatformUnavailable),
        (503, errors.PlatformUnavailable),
    ],
)
def test_statuses_become_typed_errors(status, kind):
    async def check():
        transport = httpx.MockTransport(lambda request: httpx.Response(status))
        client = platform_client.HttpObjectClient("http://p", "a", transport=transport)
        with pytest.raises(kind):
            await client.get("role", "x")

    run(check)


@pytest.mark.parametrize(
    "body",
    [
        b"\xff",
        b"[" * 3000,
        b'{"objects": [], "revision": %s}' % (b"7" * 5000),
        b"[]",
        b"{}",
        b'{"objects": [{}], "revision": 1}',
        b'{"objects": [7], "revision": 1}',
        b'{"objects": 7, "revision": 1}',
        b'{"objects": [], "revision": "x"}',
        b'{"objects": [], "revision": 1e400}',
    ],
)
@pytest.mark.parametrize("call", ["list", "watch", "list_vms"])
def test_answer_that_cannot_be_read_counts_as_none(body, call):
    # It raised an error that ended the process of the proxy or the console.
    async def check():
        transport = httpx.MockTransport(
            lambda request: httpx.Response(200, content=body)
        )
        client = platform_client.HttpObjectClient("http://p", "a", transport=transport)
        arguments = {"list": [("role",)], "watch": [("role",), 1, 1.0], "list_vms": []}
        with pytest.raises(errors.PlatformUnavailable):
            await getattr(client, call)(*arguments[call])

    run(check)


@pytest.mark.parametrize("body", [b"\xff", b"[]", b"{}", b'{"version": 7}'])
def test_object_that_cannot_be_read_counts_as_no_answer(body):
    async def check():
        transport = httpx.MockTransport(
            lambda request: httpx.Response(200, content=body)
        )
        client = platform_client.HttpObjectClient("http://p", "a", transport=transport)
        with pytest.raises(errors.PlatformUnavailable):
            await client.get("role", "x")

    run(check)


def test_unreadable_object_does_not_hide_the_others():
    # One role or status with bytes that are not UTF-8 hides the document from proxies.
    async def check():
        body = (
            b'{"objects": [{"kind": "role", "name": "x", "version": 1,'
            b' "value": {"vm": "\xff"}}, {"kind": "role", "name": "y", "version": 2,'
            b' "value": {}}], "revision": 3}'
        )
        transport = httpx.MockTransport(
            lambda request: httpx.Response(200, content=body)
        )
        client = platform_client.HttpObjectClient("http://p", "a", transport=transport)
        changes = await client.list(("role",))
        assert "y" in [item.name for item in changes.objects]

    run(check)


@pytest.mark.parametrize(
    "name", ["handover-x?y", "x#y", "../document/current", "%2e%2e%2fx", "a b", "é"]
)
def test_object_name_stays_one_part_of_the_path(name):
    # "?" and "#" ended the path, and "%2f" was a separator to the platform.
    paths = []

    def answer(request):
        paths.append(request.url.raw_path.decode())
        return httpx.Response(404)

    async def run():
        transport = httpx.MockTransport(answer)
        client = platform_client.HttpObjectClient("http://p", "a", transport=transport)
        calls = [
            lambda: client.get("audit", name),
            lambda: client.create("audit", name, {}),
            lambda: client.delete("audit", name, 1),
        ]
        for call in calls:
            with pytest.raises(errors.ObjectMissing):
                await call()

    anyio.run(run)
    for path in paths:
        prefix, _, part = path.rpartition("/")
        assert prefix == "/v1/objects/audit"
        assert urllib.parse.unquote(part) == name
        assert not {"?", "#"} & set(part)


def test_calls_carry_the_caller_and_condition():
    async def check():
        seen = []

        def answer(request):
            seen.append(request)
            return httpx.Response(200, json={"version": 9})

        transport = httpx.MockTransport(answer)
        client = platform_client.HttpObjectClient("http://p", "a", transport=transport)
        stored = await client.update("role", "x", {"k": 1}, 7)
        assert stored.version == 9
        assert seen[0].headers["X-Caller"] == "a"
        assert seen[0].headers["If-Match"] == '"7"'

    run(check)


def test_backoff_grows_to_its_limit_and_resets():
    backoff = platform_client.Backoff(first=0.1, limit=1.0)
    waits = [backoff.record_failure() for _ in range(50)]
    assert all(wait <= 0.1 * 2**index for index, wait in enumerate(waits))
    assert max(waits) <= 1.0
    backoff.record_success()
    assert backoff.record_failure() <= 0.1


def test_bucket_delays_calls_beyond_the_burst():
    bucket = platform_client.TokenBucket(rate=10, burst=3, now=0.0)
    assert [bucket.reserve(0.0) for _ in range(3)] == [0, 0, 0]
    assert bucket.reserve(0.0) == pytest.approx(0.1)
    assert bucket.reserve(0.0) == pytest.approx(0.2)
    assert bucket.reserve(5.0) == 0
