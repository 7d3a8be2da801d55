"""The administration API: the same operations as the console, as JSON.

Callers show an operator's key as bearer token. The version of the document is
its ETag; what changes it must name the version that it was made on in If-Match.
"""

import functools
import json
import re
import typing

from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold import document
from sardinehold import errors
from sardinehold import operators
from sardinehold import schema
from sardinehold import validation
from sardinehold.console import audit
from sardinehold.console import context
from sardinehold.console import edits
from sardinehold.console import fleet as fleets
from sardinehold.console import forms
from sardinehold.console import restriction
from sardinehold.console import security
from sardinehold.console import sessions
from sardinehold.console import store
from sardinehold.console import summary
from sardinehold.console import work

PREFIX = "/api/v1"


class VersionRequired(errors.SardineholdError):
    """A change does not name the version that it was made on."""

    code = "SH406"


context.STATUS_CODES[VersionRequired] = 428
context.STATUS_CODES[store.Conflict] = 412
context.STATUS_CODES[security.BodyTooLarge] = 413

_Handler = typing.Callable[
    [context.Visit], typing.Coroutine[typing.Any, typing.Any, responses.Response]
]
_ROUTES: list[routing.Route] = []


def _call(method: str, path: str) -> typing.Callable[[_Handler], _Handler]:
    """Register a call of the API, made by an operator who shows a key."""

    def register(handler: _Handler) -> _Handler:
        @functools.wraps(handler)
        async def answer(request: requests.Request) -> responses.Response:
            return await handler(await _open_visit(request))

        _ROUTES.append(routing.Route(path, answer, methods=[method]))
        return handler

    return register


def list_routes() -> list[routing.Route]:
    """Return the routes of all calls."""
    return list(_ROUTES)


async def _open_visit(request: requests.Request) -> context.Visit:
    console = context.get_console(request)
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise sessions.SignInRequired(
            "The call shows no key.", "Send `Authorization: Bearer KEY`."
        )
    source = context.find_source(request)
    principal = await console.sign_in(source, key.strip())
    current = await console.store.read_current()
    return context.Visit(console, request, principal, None, current)


def answer_error(error: errors.SardineholdError) -> responses.JSONResponse:
    """Return an error as JSON."""
    body: dict[str, typing.Any] = {
        "code": error.code,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, validation.InvalidDocument):
        body["faults"] = [fault.dump() for fault in error.faults]
    if isinstance(error, store.Conflict) and error.made is not None:
        body["changes"] = [change.dump() for change in error.made]
    headers = {}
    if isinstance(error, sessions.TooManyTries):
        headers["Retry-After"] = f"{error.wait:.0f}"
    if isinstance(error, sessions.SignInRequired):
        headers["WWW-Authenticate"] = "Bearer"
    status = context.find_status(error)
    return responses.JSONResponse({"error": body}, status, headers)


def _answer_document(
    visit: context.Visit, config: document.Document, status: int = 200, secret: str = ""
) -> responses.JSONResponse:
    shown = restriction.restrict_document(config, visit.principal)
    body = document.dump_document(shown)
    if secret:
        body = {"document": body, "key": secret}
    return responses.JSONResponse(body, status, {"ETag": f'"{config.version}"'})


def _read_base(request: requests.Request) -> int:
    if request.headers.get("if-none-match") == "*":
        return 0
    found = re.fullmatch(r'"(\d{1,15})"', request.headers.get("if-match", ""))
    if found is None:
        raise VersionRequired(
            "The change does not name the version that it was made on.",
            'Send If-Match with the ETag that you read, such as "7";'
            " If-None-Match: * for the first document.",
        )
    return int(found[1])


async def _read_json(request: requests.Request) -> dict:
    body = await security.read_body(request)
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise errors.DocumentError(
            "The body is not JSON.", "Send a JSON object in UTF-8."
        ) from error
    if not isinstance(value, dict):
        raise errors.DocumentError(
            "The body is not a JSON object.", "Begin it with a brace."
        )
    return value


def _read_reason(value: dict) -> str:
    reason = value.get("reason", "")
    return reason if isinstance(reason, str) else ""


def _is_trial(request: requests.Request) -> bool:
    return request.query_params.get("dry_run", "") not in ("", "0", "false")


@_call("GET", "/schema")
async def _get_schema(_visit: context.Visit) -> responses.Response:
    return responses.JSONResponse(schema.build_schema())


@_call("GET", "/document")
async def _get_document(visit: context.Visit) -> responses.Response:
    if visit.current.config is None:
        raise errors.ObjectMissing(
            "The platform holds no document.",
            "Send the first one by PUT with If-None-Match: *.",
        )
    return _answer_document(visit, visit.config)


@_call("PUT", "/document")
async def _put_document(visit: context.Visit) -> responses.Response:
    value = await _read_json(visit.request)
    return await _submit(
        visit,
        edits.find_edit("document.replace"),
        {"content": value},
        _read_reason(value),
    )


@_call("GET", "/edits")
async def _get_edits(_visit: context.Visit) -> responses.Response:
    listed = [
        {
            "name": edit.name,
            "title": edit.title,
            "help": edit.help,
            "fields": [
                {"name": field.name, "kind": field.kind, "hint": field.hint}
                for field in edit.fields
            ],
        }
        for edit in edits.EDITS.values()
    ]
    return responses.JSONResponse({"edits": listed})


@_call("POST", "/edits/{name}")
async def _post_edit(visit: context.Visit) -> responses.Response:
    value = await _read_json(visit.request)
    edit = edits.find_edit(visit.request.path_params["name"])
    fields = forms.require_fields(edit, value.get("fields", {}))
    return await _submit(visit, edit, fields, _read_reason(value))


async def _submit(
    visit: context.Visit, edit: edits.Edit, fields: dict, reason: str
) -> responses.Response:
    base = _read_base(visit.request)
    result = await work.propose_edit(visit, edit, base, fields, reason)
    if _is_trial(visit.request):
        return responses.JSONResponse(
            {
                "changes": [change.dump() for change in result.proposal.made],
                "warnings": [fault.dump() for fault in result.proposal.warnings],
            }
        )
    await work.accept_edit(visit, edit, result)
    status = 201 if base == 0 else 200
    return _answer_document(visit, result.proposal.config, status, result.secret)


@_call("GET", "/history")
async def _get_history(visit: context.Visit) -> responses.Response:
    newest = visit.current.version
    before = visit.request.query_params.get("before", "")
    if before.isdecimal():
        newest = min(newest, int(before) - 1)
    entries = await audit.read_entries(visit.console.store.client, newest)
    kept = restriction.restrict_entries(entries, visit.principal)
    return responses.JSONResponse({"versions": [_dump_entry(entry) for entry in kept]})


@_call("GET", "/history/{version:int}")
async def _get_version(visit: context.Visit) -> responses.Response:
    version = visit.request.path_params["version"]
    entry = await work.read_entry(visit, version)
    body = _dump_entry(entry)
    shown = restriction.restrict_document(entry.config, visit.principal)
    body["document"] = document.dump_document(shown)
    return responses.JSONResponse(body)


def _dump_entry(entry: audit.Entry) -> dict[str, typing.Any]:
    made = entry.made
    return {
        "version": entry.config.version,
        "author": entry.config.author,
        "reason": entry.config.reason,
        "written_at": entry.config.written_at,
        "changes": None if made is None else [change.dump() for change in made],
    }


@_call("GET", "/status")
async def _get_status(visit: context.Visit) -> responses.Response:
    operators.require_platform_visibility(visit.principal)
    fleet = await fleets.read_fleet(visit.console.store.client)
    scene = summary.Scene(visit.config, fleet, visit.principal)
    return responses.JSONResponse(
        {
            "version": visit.current.version,
            "in_force": fleet.count_in_force(visit.current.version),
            "vms": {
                vm.name: {"zone": vm.zone, "version": vm.version, "state": vm.state}
                for vm in fleet.vms.values()
            },
            "groups": fleet.groups,
            "measures": [measure.dump() for measure in summary.measure_fleet(fleet)],
            "advice": [advice.dump() for advice in summary.find_advice(scene)],
        }
    )


@_call("POST", "/handovers/{group}")
async def _post_handover(visit: context.Visit) -> responses.Response:
    value = await _read_json(visit.request)
    group = visit.request.path_params["group"]
    target = value.get("target", "")
    if not isinstance(target, str):
        raise errors.DocumentError(
            "target is not a text.", "Name an endpoint, or leave it out."
        )
    await work.request_handover(visit, group, target, _read_reason(value))
    return responses.JSONResponse({"group": group, "target": target}, 202)


@_call("GET", "/handovers/{group}")
async def _get_handovers(visit: context.Visit) -> responses.Response:
    operators.require_platform_visibility(visit.principal)
    group = visit.request.path_params["group"]
    listed = await audit.read_handovers(visit.console.store.client, group)
    return responses.JSONResponse({"handovers": listed})
