"""Tests of the platform stand-in over HTTP, in one event loop with its client."""

import asyncio
import contextlib

import httpx
import pytest

from sardinehold_standins import admission
from sardinehold_standins import platform
from sardinehold_standins import poller
from sardinehold_standins import service
from sardinehold_standins import store as stores

OBJECT = "/v1/objects/role/allocator-0"
CREATE = {"If-None-Match": "*"}


CONTROL = {"role": "primary", "term": 3, "received": 7}


@contextlib.asynccontextmanager
async def run_platform(**limits):
    store = stores.Store()
    app = platform.Platform(store, admission.AdmissionControl(**limits)).app
    listener = service.bind("127.0.0.1:0")
    task = asyncio.ensure_future(service.serve_app(app, listener))
    url = f"http://{service.format_address(listener)}"
    try:
        async with httpx.AsyncClient(base_url=url, trust_env=False) as client:
            yield client
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def run_scenario(scenario, **limits):
    async def run():
        async with run_platform(**limits) as client:
            await scenario(client)

    asyncio.run(run())


def test_restored_store_is_in_another_era_and_gives_revisions_out_again():
    async def scenario(client):
        created = await client.put(OBJECT, json={"vm": "a"}, headers=CREATE)
        await client.post("/admin/save")
        match = {"If-Match": f'"{created.json()["version"]}"'}
        updated = await client.put(OBJECT, json={"vm": "b"}, headers=match)
        lost = updated.json()["version"]
        restored = await client.post("/admin/restore")
        eras = [answer.headers["Store-Era"] for answer in (updated, restored)]
        assert eras == ["1", "2"]
        assert (await client.get(OBJECT)).json()["value"] == {"vm": "a"}
        query = {"kinds": "role", "revision": lost, "wait": 0}
        assert (await client.get("/v1/watch", params=query)).status_code == 410
        again = await client.put(OBJECT, json={"vm": "c"}, headers=match)
        assert again.json()["version"] == lost

    run_scenario(scenario)


def test_object_is_created_updated_and_deleted_by_version():
    async def scenario(client):
        created = await client.put(OBJECT, json={"vm": "a"}, headers=CREATE)
        assert created.status_code == 201
        again = await client.put(OBJECT, json={"vm": "b"}, headers=CREATE)
        assert again.status_code == 412
        match = {"If-Match": f'"{created.json()["version"]}"'}
        updated = await client.put(OBJECT, json={"vm": "b"}, headers=match)
        assert updated.status_code == 200
        assert (await client.delete(OBJECT, headers=match)).status_code == 412
        match = {"If-Match": f'"{updated.json()["version"]}"'}
        assert (await client.delete(OBJECT, headers=match)).status_code == 200
        assert (await client.get(OBJECT)).status_code == 404

    run_scenario(scenario)


def test_watch_waits_for_a_change():
    async def scenario(client):
        watch = asyncio.ensure_future(
            client.get("/v1/watch", params={"kinds": "role", "revision": 0, "wait": 5})
        )
        await asyncio.sleep(0)
        await client.put(OBJECT, json={"vm": "a"}, headers=CREATE)
        changes = (await watch).json()
        assert [entry["value"] for entry in changes["objects"]] == [{"vm": "a"}]
        assert changes["revision"] == 1

    run_scenario(scenario)


def test_watch_without_a_change_returns_the_current_revision():
    async def scenario(client):
        await client.put("/v1/objects/a/b", json={}, headers=CREATE)
        query = {"kinds": "role", "revision": 0, "wait": 0.01}
        answer = await client.get("/v1/watch", params=query)
        assert answer.json() == {"revision": 1, "objects": []}

    run_scenario(scenario)


def test_watch_of_an_expired_revision_returns_410():
    async def scenario(client):
        await client.post("/admin/expire")
        query = {"kinds": "role", "revision": 0, "wait": 1}
        assert (await client.get("/v1/watch", params=query)).status_code == 410

    run_scenario(scenario)


def test_calls_beyond_the_rate_limit_are_refused_and_counted():
    async def scenario(client):
        caller = {"X-Caller": "entry-1"}
        statuses = [
            (await client.get("/v1/vms", headers=caller)).status_code for _ in range(2)
        ]
        assert statuses == [200, 429]
        counts = (await client.get("/counts")).json()
        assert counts == {"callers": {"entry-1": {"list vms": 2}}, "refused": 1}

    run_scenario(scenario, reads=1)


def test_answer_is_lost_after_the_change_took_effect():
    async def scenario(client):
        await client.put("/faults", json={"lose_answers": 1})
        with pytest.raises(httpx.RemoteProtocolError):
            await client.put(OBJECT, json={"vm": "a"}, headers=CREATE)
        assert (await client.get(OBJECT)).json()["value"] == {"vm": "a"}

    run_scenario(scenario)


def test_unreachable_caller_gets_no_answer():
    async def scenario(client):
        await client.put("/faults", json={"unreachable": ["entry-1"]})
        with pytest.raises(httpx.TimeoutException):
            await client.get("/v1/vms", headers={"X-Caller": "entry-1"}, timeout=0.05)
        other = await client.get("/v1/vms", headers={"X-Caller": "entry-2"})
        assert other.status_code == 200

    run_scenario(scenario)


def test_watch_ends_when_the_platform_goes_down():
    async def scenario(client):
        query = {"kinds": "role", "revision": 0, "wait": 5}
        watch = asyncio.ensure_future(client.get("/v1/watch", params=query))
        await asyncio.sleep(0)
        await client.put("/faults", json={"down": True})
        assert (await watch).status_code == 503

    run_scenario(scenario)


def test_vms_are_added_to_the_list_and_removed():
    async def scenario(client):
        vm = {"zone": "dallas", "state": "live", "purpose": "proxy"}
        await client.put("/admin/vms/entry-1", json=vm)
        listed = (await client.get("/v1/vms")).json()["objects"]
        assert [(entry["name"], entry["value"]) for entry in listed] == [
            ("entry-1", vm)
        ]
        await client.delete("/admin/vms/entry-1")
        assert (await client.get("/v1/vms")).json()["objects"] == []

    run_scenario(scenario)


def test_unavailable_endpoint_keeps_its_last_known_status():
    store = stores.Store()
    answers = iter([httpx.Response(200, json=CONTROL), httpx.Response(503, json={})])

    async def scenario():
        transport = httpx.MockTransport(lambda request: next(answers))
        async with httpx.AsyncClient(transport=transport) as client:
            for _ in range(2):
                for name, value in poller.read_latest(store.groups).items():
                    await poller.refresh_group(client, store, name, value)

    store.groups.put(0.0, "letters", {"endpoints": {"a1": {"control": "127.0.0.1:1"}}})
    asyncio.run(scenario())
    endpoint = poller.read_latest(store.groups)["letters"]["endpoints"]["a1"]
    assert endpoint == {
        "control": "127.0.0.1:1",
        "role": "primary",
        "term": 3,
        "position": 7,
    }
