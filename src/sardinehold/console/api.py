"""The administration API: the same operations as the console, as JSON.

Clients authenticate with an operator's key as bearer token. The version of the
document is its ETag; a change must send the version it is based on in If-Match.
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
from sardinehold.console import actions
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

PREFIX = "/api/v1"


class VersionRequired(errors.SardineholdError):
    """A change does not state the version it is based on."""

    code = "SH406"


context.STATUS_CODES[VersionRequired] = 428
context.STATUS_CODES[store.Conflict] = 412
context.STATUS_CODES[security.BodyTooLarge] = 413

_Handler = typing.Callable[
    [context.RequestContext],
    typing.Coroutine[typing.Any, typing.Any, responses.Response],
]
_ROUTES: list[routing.Route] = []


def _operation(method: str, path: str) -> typing.Callable[[_Handler], _Handler]:
    """Register an API operation that requires an operator's key."""

    def register(handler: _Handler) -> _Handler:
        @functools.wraps(handler)
        async def handle(request: requests.Request) -> responses.Response:
            return await handler(await _authenticate(request))

        _ROUTES.append(routing.Route(path, handle, methods=[method]))
        return handler

    return register


def list_routes() -> list[routing.Route]:
    """Return the routes of all API operations."""
    return list(_ROUTES)


async def _authenticate(request: requests.Request) -> context.RequestContext:
    console = context.get_console(request)
    scheme, _, key = request.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise sessions.SignInRequired(
            "The request has no key.", "Send `Authorization: Bearer KEY`."
        )
    source = context.find_source_address(request)
    principal = await console.sign_in(source, key.strip())
    current = await console.store.read_current()
    return context.RequestContext(console, request, principal, None, current)


def build_error_response(error: errors.SardineholdError) -> responses.JSONResponse:
    """Return a JSON response that describes an error."""
    body: dict[str, typing.Any] = {
        "code": error.code,
        "message": error.message,
        "remedy": error.remedy,
    }
    if isinstance(error, validation.InvalidDocument):
        body["faults"] = [fault.dump() for fault in error.faults]
    if isinstance(error, store.Conflict) and error.differences is not None:
        body["changes"] = [change.dump() for change in error.differences]
    headers = {}
    if isinstance(error, sessions.TooManyTries):
        headers["Retry-After"] = f"{error.retry_after:.0f}"
    if isinstance(error, sessions.SignInRequired):
        headers["WWW-Authenticate"] = "Bearer"
    status = context.find_status_code(error)
    return responses.JSONResponse({"error": body}, status, headers)


def _build_document_response(
    ctx: context.RequestContext,
    config: document.Document,
    status: int = 200,
    secret: str = "",
) -> responses.JSONResponse:
    visible = restriction.restrict_document(config, ctx.principal)
    body = document.dump_document(visible)
    if secret:
        body = {"document": body, "key": secret}
    return responses.JSONResponse(body, status, {"ETag": f'"{config.version}"'})


def _read_base_version(request: requests.Request) -> int:
    if request.headers.get("if-none-match") == "*":
        return 0
    found = re.fullmatch(r'"(\d{1,15})"', request.headers.get("if-match", ""))
    if found is None:
        raise VersionRequired(
            "The change does not state the version it is based on.",
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
            "The body is not a JSON object.", "Send an object in braces."
        )
    return value


def _read_reason(value: dict) -> str:
    reason = value.get("reason", "")
    return reason if isinstance(reason, str) else ""


def _is_dry_run(request: requests.Request) -> bool:
    return request.query_params.get("dry_run", "") not in ("", "0", "false")


@_operation("GET", "/schema")
async def _get_schema(_ctx: context.RequestContext) -> responses.Response:
    return responses.JSONResponse(schema.build_schema())


@_operation("GET", "/document")
async def _get_document(ctx: context.RequestContext) -> responses.Response:
    if ctx.current.config is None:
        raise errors.ObjectMissing(
            "The platform has no document.",
            "Send the first one by PUT with If-None-Match: *.",
        )
    return _build_document_response(ctx, ctx.config)


@_operation("PUT", "/document")
async def _put_document(ctx: context.RequestContext) -> responses.Response:
    value = await _read_json(ctx.request)
    return await _submit(
        ctx,
        edits.find_edit("document.replace"),
        {"content": value},
        _read_reason(value),
    )


@_operation("GET", "/edits")
async def _get_edits(_ctx: context.RequestContext) -> responses.Response:
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


@_operation("POST", "/edits/{name}")
async def _post_edit(ctx: context.RequestContext) -> responses.Response:
    value = await _read_json(ctx.request)
    edit = edits.find_edit(ctx.request.path_params["name"])
    fields = forms.validate_fields(edit, value.get("fields", {}))
    return await _submit(ctx, edit, fields, _read_reason(value))


async def _submit(
    ctx: context.RequestContext, edit: edits.Edit, fields: dict, reason: str
) -> responses.Response:
    base_version = _read_base_version(ctx.request)
    result = await actions.propose_edit(ctx, edit, base_version, fields, reason)
    if _is_dry_run(ctx.request):
        return responses.JSONResponse(
            {
                "changes": [change.dump() for change in result.proposal.differences],
                "warnings": [fault.dump() for fault in result.proposal.warnings],
            }
        )
    await actions.accept_edit(ctx, edit, result)
    status = 201 if base_version == 0 else 200
    return _build_document_response(ctx, result.proposal.config, status, result.secret)


@_operation("GET", "/history")
async def _get_history(ctx: context.RequestContext) -> responses.Response:
    newest = ctx.current.version
    before = ctx.request.query_params.get("before", "")
    if before.isdecimal():
        newest = min(newest, int(before) - 1)
    entries = await audit.read_entries(ctx.console.store.client, newest)
    visible = restriction.restrict_entries(entries, ctx.principal)
    return responses.JSONResponse(
        {"versions": [_dump_entry(entry) for entry in visible]}
    )


@_operation("GET", "/history/{version:int}")
async def _get_version(ctx: context.RequestContext) -> responses.Response:
    version = ctx.request.path_params["version"]
    entry = await actions.read_entry(ctx, version)
    body = _dump_entry(entry)
    visible = restriction.restrict_document(entry.config, ctx.principal)
    body["document"] = document.dump_document(visible)
    return responses.JSONResponse(body)


def _dump_entry(entry: audit.Entry) -> dict[str, typing.Any]:
    differences = entry.differences
    return {
        "version": entry.config.version,
        "author": entry.config.author,
        "reason": entry.config.reason,
        "written_at": entry.config.written_at,
        "changes": None
        if differences is None
        else [change.dump() for change in differences],
    }


@_operation("GET", "/status")
async def _get_status(ctx: context.RequestContext) -> responses.Response:
    operators.require_platform_visibility(ctx.principal)
    fleet = await fleets.read_fleet(ctx.console.store.client)
    advice_context = summary.AdviceContext(ctx.config, fleet, ctx.principal)
    return responses.JSONResponse(
        {
            "version": ctx.current.version,
            "in_force": fleet.count_in_force(ctx.current.version),
            "vms": {
                vm.name: {"zone": vm.zone, "version": vm.version, "state": vm.state}
                for vm in fleet.vms.values()
            },
            "groups": fleet.groups,
            "measures": [measure.dump() for measure in summary.measure_fleet(fleet)],
            "advice": [advice.dump() for advice in summary.find_advice(advice_context)],
        }
    )


@_operation("POST", "/handovers/{group}")
async def _post_handover(ctx: context.RequestContext) -> responses.Response:
    value = await _read_json(ctx.request)
    group = ctx.request.path_params["group"]
    target = value.get("target", "")
    if not isinstance(target, str):
        raise errors.DocumentError(
            "target is not a string.", "Name an endpoint, or leave it out."
        )
    await actions.request_handover(ctx, group, target, _read_reason(value))
    return responses.JSONResponse({"group": group, "target": target}, 202)


@_operation("GET", "/handovers/{group}")
async def _get_handovers(ctx: context.RequestContext) -> responses.Response:
    operators.require_platform_visibility(ctx.principal)
    group = ctx.request.path_params["group"]
    listed = await audit.read_handovers(ctx.console.store.client, group)
    return responses.JSONResponse({"handovers": listed})
