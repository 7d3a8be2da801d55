"""The pages that hold forms: edits of the document and hand-overs."""

import string
import typing

from starlette import responses
from starlette import routing

from sardinehold import errors
from sardinehold import operators
from sardinehold import validation
from sardinehold.console import context
from sardinehold.console import edits
from sardinehold.console import fleet as fleets
from sardinehold.console import forms
from sardinehold.console import pages
from sardinehold.console import route_edits
from sardinehold.console import security
from sardinehold.console import store
from sardinehold.console import work

SIGN_IN_ROUTES = [
    routing.Route("/sign-in", pages.show_sign_in, methods=["GET"]),
    routing.Route("/sign-in", pages.sign_in, methods=["POST"]),
]
"""The only pages for those who have not signed in."""


@pages.page("/edits/{name}")
async def show_edit(visit: context.Visit) -> responses.Response:
    """Show the form of an edit, filled with what is in force."""
    edit = edits.find_edit(visit.request.path_params["name"])
    given = dict(visit.request.query_params)
    work.require_reach(visit, edit, given.get("team", ""))
    if edit.name == "group.create" and "group" in given:
        offered = await fleets.list_platform_groups(visit.console.store.client)
        endpoints = offered.get(given["group"], {})
        given["endpoints"] = route_edits.format_endpoints(endpoints)
    values = forms.fill_initial(edit, visit.config, given)
    return _render_edit(visit, edit, values, "")


def _render_edit(
    visit: context.Visit,
    edit: edits.Edit,
    values: dict,
    reason: str,
    status: int = 200,
    **extra: typing.Any,
) -> responses.Response:
    shown: dict[str, typing.Any] = {
        "error": None,
        "faults": [],
        "conflict": None,
        "proposal": None,
    }
    shown.update(extra)
    return visit.render(
        "edit.html",
        status,
        edit=edit,
        inputs=forms.build_inputs(edit, visit.current.config, values),
        reason=reason,
        back=_fill_page(edit, values),
        **shown,
    )


def _fill_page(edit: edits.Edit, values: dict) -> str:
    names = [name for _, name, _, _ in string.Formatter().parse(edit.page) if name]
    if any(not values.get(name) for name in names):
        return "/" + edit.page.split("/")[1]
    return edit.page.format(**values)


@pages.page("/edits/{name}", "POST")
async def submit_edit(visit: context.Visit) -> responses.Response:
    """Try or make an edit."""
    edit = edits.find_edit(visit.request.path_params["name"])
    form = await security.read_form(visit.request)
    visit.session.require_csrf(form.get("csrf", [""])[0])
    values = forms.read_fields(edit, form)
    work.require_reach(visit, edit, str(values.get("team", "")))
    reason = form.get("reason", [""])[0].strip()
    try:
        result = await _submit(visit, edit, values, reason, form)
    except store.Conflict as conflict:
        # The form comes back on the new version, with what the operator typed.
        visit.current = await visit.console.store.read_current()
        return _render_edit(visit, edit, values, reason, 409, conflict=conflict)
    except validation.InvalidDocument as error:
        return _render_edit(visit, edit, values, reason, 422, faults=error.faults)
    except (errors.DocumentError, operators.Forbidden, store.UnknownEffect) as error:
        status = context.find_status(error)
        return _render_edit(visit, edit, values, reason, status, error=error)
    if form.get("intent") == ["try"]:
        return _render_edit(visit, edit, values, reason, proposal=result.proposal)
    return _answer_accepted(visit, edit, values, result)


async def _submit(
    visit: context.Visit,
    edit: edits.Edit,
    values: dict,
    reason: str,
    form: dict[str, list[str]],
) -> work.Result:
    base = form.get("base", [""])[0]
    number = int(base) if base.isdecimal() and len(base) < 16 else -1
    result = await work.propose_edit(visit, edit, number, values, reason)
    if form.get("intent") != ["try"]:
        await work.accept_edit(visit, edit, result)
    return result


def _answer_accepted(
    visit: context.Visit, edit: edits.Edit, values: dict, result: work.Result
) -> responses.Response:
    target = _fill_page(edit, values)
    accepted = result.proposal.config.version
    if not result.secret:
        return responses.RedirectResponse(f"{target}?accepted={accepted}", 303)
    return visit.render(
        "key.html",
        edit=edit,
        secret=result.secret,
        accepted=accepted,
        back=target,
        values=values,
    )


@pages.page("/handovers/{group}")
async def show_handover(visit: context.Visit) -> responses.Response:
    """Show the form of a planned hand-over."""
    return await _render_handover(visit, "", "", None, 200)


async def _render_handover(
    visit: context.Visit,
    target: str,
    reason: str,
    error: errors.SardineholdError | None,
    status: int,
) -> responses.Response:
    operators.require_platform_operator(visit.principal)
    name = visit.request.path_params["group"]
    group = visit.config.groups.get(name)
    if group is None:
        raise errors.ObjectMissing(f"There is no group {name}.", "Choose one listed.")
    fleet = await fleets.read_fleet(visit.console.store.client)
    primary = fleet.groups.get(name, {}).get("primary", "")
    return visit.render(
        "handover.html",
        status,
        group=group,
        primary=primary,
        target=target,
        reason=reason,
        error=error,
    )


@pages.page("/handovers/{group}", "POST")
async def submit_handover(visit: context.Visit) -> responses.Response:
    """Ask for a planned hand-over."""
    form = await security.read_form(visit.request)
    visit.session.require_csrf(form.get("csrf", [""])[0])
    name = visit.request.path_params["group"]
    target = form.get("target", [""])[0]
    reason = form.get("reason", [""])[0]
    try:
        await work.request_handover(visit, name, target, reason)
    except (errors.DocumentError, store.HandoverPending, store.UnknownEffect) as error:
        status = context.find_status(error)
        return await _render_handover(visit, target, reason, error, status)
    return responses.RedirectResponse(f"/groups/{name}", 303)
