"""HTTP API of the platform's store, with fault injection."""

import asyncio
import json
import time
import urllib.parse

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold import errors
from sardinehold import objects
from sardinehold_standins import admission
from sardinehold_standins import store as stores

MAX_WAIT_SECONDS = 60.0
"""Maximum wait of a watch."""

HANG_SECONDS = 60.0
"""Time for which a call without an answer stays open."""

LOST_ANSWER_SECONDS = 0.05
"""Delay before the connection of a lost answer is closed."""


class CutResponse(responses.Response):
    """Response that closes the connection before the body is complete.

    :param delay: seconds before the connection is closed.
    """

    def __init__(self, delay: float) -> None:
        """Create the response."""
        super().__init__()
        self.delay = delay

    async def __call__(self, scope, receive, send) -> None:
        """Wait for the delay or a disconnect, then send an incomplete response."""
        while True:
            try:
                message = await asyncio.wait_for(receive(), self.delay)
            except TimeoutError:
                break
            if message["type"] == "http.disconnect":
                return
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 500, "headers": headers})


class EraHeader:
    """ASGI middleware that adds the header ``Store-Era`` to each answer."""

    def __init__(self, app, store: stores.Store) -> None:
        """Wrap an application."""
        self.app = app
        self.store = store

    async def __call__(self, scope, receive, send) -> None:
        """Answer a request."""

        async def send_with_era(message) -> None:
            if message["type"] == "http.response.start":
                era = str(self.store.era).encode()
                headers = [*message.get("headers", []), (b"store-era", era)]
                message = {**message, "headers": headers}
            await send(message)

        await self.app(scope, receive, send_with_era)


class Platform:
    """The platform's object API.

    Every answer of the store has its era in the header ``Store-Era``.

    :param store: stored objects.
    :param controller: admission control.

    .. versionadded:: 0.1
    """

    def __init__(
        self, store: stores.Store, controller: admission.AdmissionControl
    ) -> None:
        """Build the application, found in ``app``."""
        self.store = store
        self.controller = controller
        self._changed = asyncio.Event()
        self._copy = store.save()
        self.app = applications.Starlette(routes=self._build_routes())
        self.app.add_middleware(EraHeader, store=store)

    def _build_routes(self) -> list[routing.Route]:
        """Return the routes of API, administration and faults."""
        return [
            routing.Route(
                "/v1/objects/{kind}/{name}",
                self._handle_object,
                methods=["GET", "PUT", "DELETE"],
            ),
            routing.Route("/v1/objects", self._handle_list),
            routing.Route("/v1/watch", self._handle_watch),
            routing.Route("/v1/vms", self._handle_vms),
            routing.Route("/v1/groups", self._handle_groups),
            routing.Route(
                "/admin/vms/{name}", self._handle_admin_vm, methods=["PUT", "DELETE"]
            ),
            routing.Route(
                "/admin/groups/{name}",
                self._handle_admin_group,
                methods=["PUT", "DELETE"],
            ),
            routing.Route("/admin/save", self._handle_save, methods=["POST"]),
            routing.Route("/admin/restore", self._handle_restore, methods=["POST"]),
            routing.Route("/admin/expire", self._handle_expire, methods=["POST"]),
            routing.Route("/faults", self._handle_faults, methods=["GET", "PUT"]),
            routing.Route("/counts", self._handle_counts, methods=["GET", "DELETE"]),
        ]

    async def _admit(
        self, request: requests.Request, call: str, is_write: bool = False
    ) -> responses.Response | None:
        """Return the response of a call that is not admitted, or None."""
        caller = request.headers.get("x-caller", "")
        try:
            self.controller.admit(time.monotonic(), caller, call, is_write)
        except admission.Unreachable:
            return CutResponse(HANG_SECONDS)
        except admission.Refused as refused:
            return _refuse(refused.status)
        if self.controller.faults.slow:
            await asyncio.sleep(self.controller.faults.slow)
        return None

    async def _handle_object(self, request: requests.Request) -> responses.Response:
        """Read, create, update or delete one object."""
        is_write = request.method != "GET"
        call = _CALLS[request.method]
        if request.method == "PUT" and "if-none-match" in request.headers:
            call = "create"
        kind = request.path_params["kind"]
        body = await request.body() if request.method == "PUT" else b""
        blocked = await self._admit(request, f"{call} {kind}", is_write)
        if blocked:
            return blocked
        try:
            response = self._apply(request, call, body)
        except errors.PlatformError as error:
            return _explain(error)
        if not is_write:
            return response
        self._wake()
        caller = request.headers.get("x-caller", "")
        if self.controller.lose_answer(caller):
            return CutResponse(LOST_ANSWER_SECONDS)
        try:
            self.controller.check_reachable(caller)
        except (admission.Unreachable, admission.Refused):
            return CutResponse(HANG_SECONDS)
        return response

    def _apply(
        self, request: requests.Request, call: str, body: bytes
    ) -> responses.Response:
        """Execute a call on one object."""
        kind = request.path_params["kind"]
        name = request.path_params["name"]
        if call == "get":
            return _answer(_dump_object(self.store.get(kind, name)))
        if call == "create":
            if len(body) > stores.MAX_VALUE_BYTES:
                raise stores.ValueTooLarge(
                    "The value of the object is too large.", "Shorten it."
                )
            stored = self.store.create(kind, name, json.loads(body))
            return _answer(_dump_object(stored), 201)
        version = _parse_version(request.headers.get("if-match", ""))
        if version is None:
            return _answer({"error": "If-Match is missing"}, 428)
        if call == "delete":
            self.store.delete(kind, name, version)
            return _answer({"revision": self.store.revision})
        if len(body) > stores.MAX_VALUE_BYTES:
            raise stores.ValueTooLarge(
                "The value of the object is too large.", "Shorten it."
            )
        stored = self.store.update(kind, name, json.loads(body), version)
        return _answer(_dump_object(stored))

    async def _handle_list(self, request: requests.Request) -> responses.Response:
        """List all objects of some kinds."""
        kinds = _parse_kinds(request)
        blocked = await self._admit(request, f"list {','.join(kinds)}")
        return blocked or _answer(_dump_changes(self.store.list(kinds)))

    async def _handle_watch(self, request: requests.Request) -> responses.Response:
        """Return the changes after a revision, waiting for the first one."""
        kinds = _parse_kinds(request)
        revision = int(request.query_params.get("revision", "0"))
        wait = float(request.query_params.get("wait", "10"))
        deadline = time.monotonic() + min(wait, MAX_WAIT_SECONDS)
        blocked = await self._admit(request, f"watch {','.join(kinds)}")
        if blocked:
            return blocked
        caller = request.headers.get("x-caller", "")
        while True:
            try:
                self.controller.check_reachable(caller)
                changes = self.store.read_changes(kinds, revision)
            except admission.Unreachable:
                return CutResponse(HANG_SECONDS)
            except admission.Refused as refused:
                return _refuse(refused.status)
            except errors.PlatformError as error:
                return _explain(error)
            remaining = deadline - time.monotonic()
            if changes.objects or remaining <= 0:
                return _answer(_dump_changes(changes))
            await self._wait_for_change(remaining)

    async def _handle_vms(self, request: requests.Request) -> responses.Response:
        """List VMs, delayed by the list lag."""
        blocked = await self._admit(request, "list vms")
        changes = self.store.vms.read(time.monotonic())
        return blocked or _answer(_dump_changes(changes))

    async def _handle_groups(self, request: requests.Request) -> responses.Response:
        """List database groups, delayed by the list lag."""
        blocked = await self._admit(request, "list groups")
        changes = self.store.groups.read(time.monotonic())
        return blocked or _answer(_dump_changes(changes))

    async def _handle_admin_vm(self, request: requests.Request) -> responses.Response:
        """Set or remove a VM in the list."""
        return await self._put_entry(request, self.store.vms)

    async def _handle_admin_group(
        self, request: requests.Request
    ) -> responses.Response:
        """Set or remove a group in the list."""
        return await self._put_entry(request, self.store.groups)

    async def _put_entry(
        self, request: requests.Request, entries: stores.LaggingList
    ) -> responses.Response:
        """Set or remove an entry of a lagging list."""
        value = await request.json() if request.method == "PUT" else None
        entries.put(time.monotonic(), request.path_params["name"], value)
        return _answer({"revision": entries.revision})

    async def _handle_expire(self, request: requests.Request) -> responses.Response:
        """Expire the history, so that watches are answered with 410."""
        self.store.expire_history()
        self._wake()
        return _answer({"revision": self.store.revision})

    async def _handle_save(self, request: requests.Request) -> responses.Response:
        """Save the copy of the store to which ``/admin/restore`` returns."""
        self._copy = self.store.save()
        return _answer({"revision": self._copy.revision})

    async def _handle_restore(self, request: requests.Request) -> responses.Response:
        """Restore the store from the saved copy, as after a loss of its newest data."""
        self.store.restore(self._copy)
        self._wake()
        return _answer({"revision": self.store.revision, "era": self.store.era})

    async def _handle_faults(self, request: requests.Request) -> responses.Response:
        """Return or change the fault switches."""
        if request.method == "PUT":
            try:
                self.controller.faults.change(await request.json())
            except KeyError as error:
                return _answer({"error": f"no switch {error}"}, 400)
            if self.controller.faults.list_lag is not None:
                self.store.vms.lag = self.controller.faults.list_lag
                self.store.groups.lag = self.controller.faults.list_lag
            self._wake()
        return _answer(self.controller.faults.dump())

    async def _handle_counts(self, request: requests.Request) -> responses.Response:
        """Return the call counts by caller and kind; DELETE resets them."""
        value = {"callers": self.controller.counts, "refused": self.controller.refused}
        response = _answer(value)
        if request.method == "DELETE":
            self.controller.counts.clear()
            self.controller.refused = 0
        return response

    def _wake(self) -> None:
        """Wake all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_change(self, seconds: float) -> None:
        """Wait for the next change, at most ``seconds``."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return


_CALLS = {"GET": "get", "PUT": "update", "DELETE": "delete"}

_STATUSES = {
    errors.ObjectMissing: 404,
    errors.VersionConflict: 412,
    errors.WatchExpired: 410,
    stores.ValueTooLarge: 413,
}


def _answer(value: dict, status: int = 200) -> responses.Response:
    """Return a JSON response."""
    return responses.JSONResponse(value, status)


def _refuse(status: int) -> responses.Response:
    """Return the response of a refused call."""
    retry_after = {"Retry-After": str(admission.RETRY_AFTER_SECONDS)}
    return responses.JSONResponse({"error": "refused"}, status, headers=retry_after)


def _explain(error: errors.PlatformError) -> responses.Response:
    """Return the response of a failed call."""
    return _answer({"error": error.format_message()}, _STATUSES[type(error)])


def _dump_object(stored: objects.StoredObject) -> dict:
    """Return an object as JSON."""
    return {
        "kind": stored.kind,
        "name": stored.name,
        "version": stored.version,
        "value": stored.value,
    }


def _dump_changes(changes: objects.Changes) -> dict:
    """Return a list of objects as JSON."""
    return {
        "revision": changes.revision,
        "objects": [_dump_object(stored) for stored in changes.objects],
    }


def _parse_kinds(request: requests.Request) -> tuple[str, ...]:
    """Return the object kinds in the query of a call."""
    kinds = urllib.parse.unquote(request.query_params.get("kinds", ""))
    return tuple(kind for kind in kinds.split(",") if kind)


def _parse_version(text: str) -> int | None:
    """Return the version of an If-Match header, or None."""
    text = text.strip('"')
    return int(text) if text.isdigit() else None
