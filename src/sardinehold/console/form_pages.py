"""Pages with forms: edits of the document and handovers."""

import string
import typing

from starlette import responses
from starlette import routing

from sardinehold import errors
from sardinehold import operators
from sardinehold import validation
from sardinehold.console import actions
from sardinehold.console import context
from sardinehold.console import edits
from sardinehold.console import fleet as fleets
from sardinehold.console import forms
from sardinehold.console import pages
from sardinehold.console import route_edits
from sardinehold.console import security
from sardinehold.console import store

SIGN_IN_ROUTES = [
    routing.Route("/sign-in", pages.show_sign_in, methods=["GET"]),
    routing.Route("/sign-in", pages.sign_in, methods=["POST"]),
]
"""The only pages that need no session."""


@pages.page("/edits/{name}")
async def show_edit(ctx: context.RequestContext) -> responses.Response:
    """Show the form of an edit, filled with the current values."""
    edit = edits.find_edit(ctx.request.path_params["name"])
    given = dict(ctx.request.query_params)
    actions.require_edit_access(ctx, edit, given.get("team", ""))
    if edit.name == "group.create" and "group" in given:
        offered = await fleets.list_platform_groups(ctx.console.store.client)
        endpoints = offered.get(given["group"], {})
        given["endpoints"] = route_edits.format_endpoints(endpoints)
    values = forms.build_initial_values(edit, ctx.config, given)
    return _render_edit(ctx, edit, values, "")


def _render_edit(
    ctx: context.RequestContext,
    edit: edits.Edit,
    values: dict,
    reason: str,
    status: int = 200,
    **extra: typing.Any,
) -> responses.Response:
    template_values: dict[str, typing.Any] = {
        "error": None,
        "faults": [],
        "conflict": None,
        "proposal": None,
    }
    template_values.update(extra)
    return ctx.render(
        "edit.html",
        status,
        edit=edit,
        inputs=forms.build_inputs(edit, ctx.current.config, values),
        reason=reason,
        back=_format_return_path(edit, values),
        **template_values,
    )


def _format_return_path(edit: edits.Edit, values: dict) -> str:
    names = [name for _, name, _, _ in string.Formatter().parse(edit.page) if name]
    if any(not values.get(name) for name in names):
        return "/" + edit.page.split("/")[1]
    return edit.page.format(**values)


@pages.page("/edits/{name}", "POST")
async def submit_edit(ctx: context.RequestContext) -> responses.Response:
    """Validate an edit, and store it unless it is a dry run."""
    edit = edits.find_edit(ctx.request.path_params["name"])
    form = await security.read_form(ctx.request)
    ctx.session.require_csrf(form.get("csrf", [""])[0])
    values = forms.read_fields(edit, form)
    actions.require_edit_access(ctx, edit, str(values.get("team", "")))
    reason = form.get("reason", [""])[0].strip()
    try:
        result = await _submit(ctx, edit, values, reason, form)
    except store.Conflict as conflict:
        # Show the form again, based on the new version, with the operator's input.
        ctx.current = await ctx.console.store.read_current()
        return _render_edit(ctx, edit, values, reason, 409, conflict=conflict)
    except validation.InvalidDocument as error:
        return _render_edit(ctx, edit, values, reason, 422, faults=error.faults)
    except (errors.DocumentError, operators.Forbidden, store.UnknownEffect) as error:
        status = context.find_status_code(error)
        return _render_edit(ctx, edit, values, reason, status, error=error)
    if form.get("intent") == ["try"]:
        return _render_edit(ctx, edit, values, reason, proposal=result.proposal)
    return _build_accepted_response(ctx, edit, values, result)


async def _submit(
    ctx: context.RequestContext,
    edit: edits.Edit,
    values: dict,
    reason: str,
    form: dict[str, list[str]],
) -> actions.EditResult:
    base_text = form.get("base", [""])[0]
    base_version = (
        int(base_text) if base_text.isdecimal() and len(base_text) < 16 else -1
    )
    result = await actions.propose_edit(ctx, edit, base_version, values, reason)
    if form.get("intent") != ["try"]:
        await actions.accept_edit(ctx, edit, result)
    return result


def _build_accepted_response(
    ctx: context.RequestContext,
    edit: edits.Edit,
    values: dict,
    result: actions.EditResult,
) -> responses.Response:
    target = _format_return_path(edit, values)
    accepted = result.proposal.config.version
    if not result.secret:
        return responses.RedirectResponse(f"{target}?accepted={accepted}", 303)
    return ctx.render(
        "key.html",
        edit=edit,
        secret=result.secret,
        accepted=accepted,
        back=target,
        values=values,
    )


@pages.page("/handovers/{group}")
async def show_handover(ctx: context.RequestContext) -> responses.Response:
    """Show the form of a planned handover."""
    return await _render_handover(ctx, "", "", None, 200)


async def _render_handover(
    ctx: context.RequestContext,
    target: str,
    reason: str,
    error: errors.SardineholdError | None,
    status: int,
) -> responses.Response:
    operators.require_platform_operator(ctx.principal)
    name = ctx.request.path_params["group"]
    group = ctx.config.groups.get(name)
    if group is None:
        raise errors.ObjectMissing(
            f"There is no group {name}.", "Choose a listed group."
        )
    fleet = await fleets.read_fleet(ctx.console.store.client)
    primary = fleet.groups.get(name, {}).get("primary", "")
    return ctx.render(
        "handover.html",
        status,
        group=group,
        primary=primary,
        target=target,
        reason=reason,
        error=error,
    )


@pages.page("/handovers/{group}", "POST")
async def submit_handover(ctx: context.RequestContext) -> responses.Response:
    """Request a planned handover."""
    form = await security.read_form(ctx.request)
    ctx.session.require_csrf(form.get("csrf", [""])[0])
    name = ctx.request.path_params["group"]
    target = form.get("target", [""])[0]
    reason = form.get("reason", [""])[0]
    try:
        await actions.request_handover(ctx, name, target, reason)
    except (errors.DocumentError, store.HandoverPending, store.UnknownEffect) as error:
        status = context.find_status_code(error)
        return await _render_handover(ctx, target, reason, error, status)
    return responses.RedirectResponse(f"/groups/{name}", 303)
