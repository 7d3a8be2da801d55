"""Pages of the console that show the state and link to the forms."""

import functools
import json
import typing
import urllib.parse

from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold import document
from sardinehold import errors
from sardinehold import keys
from sardinehold import operators
from sardinehold.console import actions
from sardinehold.console import audit
from sardinehold.console import context
from sardinehold.console import fleet as fleets
from sardinehold.console import restriction
from sardinehold.console import security
from sardinehold.console import sessions
from sardinehold.console import summary

_Handler = typing.Callable[
    [context.RequestContext],
    typing.Coroutine[typing.Any, typing.Any, responses.Response],
]
_ROUTES: list[routing.Route] = []

MAX_VMS = 50
"""VMs on the status page; those with the oldest document version come first."""


def page(path: str, method: str = "GET") -> typing.Callable[[_Handler], _Handler]:
    """Register a page that requires a session."""

    def register(handler: _Handler) -> _Handler:
        @functools.wraps(handler)
        async def handle(request: requests.Request) -> responses.Response:
            return await handler(await _authenticate(request))

        _ROUTES.append(routing.Route(path, handle, methods=[method]))
        return handler

    return register


def list_routes() -> list[routing.Route]:
    """Return the routes of all pages."""
    # Imported here because form_pages imports this module to register its pages.
    from sardinehold.console import form_pages

    return [*_ROUTES, *form_pages.SIGN_IN_ROUTES]


async def _authenticate(request: requests.Request) -> context.RequestContext:
    console = context.get_console(request)
    session = console.sessions.find(request.cookies.get(console.cookie_name, ""))
    if session is None:
        raise sessions.SignInRequired(
            "You are not signed in.", "Sign in with your key."
        )
    current = await console.store.read_current()
    principal = operators.find_principal(
        current.config, console.bootstrap, session.operator, session.prefix
    )
    if principal is None:
        console.sessions.close(request.cookies[console.cookie_name])
        raise sessions.SignInRequired(
            "Your key is no longer in force.", "Sign in with your new key."
        )
    return context.RequestContext(console, request, principal, session, current)


def build_error_response(
    request: requests.Request, error: errors.SardineholdError
) -> responses.Response:
    """Return a page that describes an error."""
    console = context.get_console(request)
    text = console.templates.get_template("error.html").render(
        principal=None, csrf="", version=0, path=request.url.path, error=error
    )
    status = context.find_status_code(error)
    headers = {}
    if isinstance(error, sessions.TooManyTries):
        headers["Retry-After"] = f"{error.retry_after:.0f}"
    return responses.HTMLResponse(text, status, headers)


@page("/")
async def show_status(ctx: context.RequestContext) -> responses.Response:
    """Show the three measures, degraded parts and the next action."""
    if ctx.current.config is None:
        operators.require_platform_operator(ctx.principal)
        return responses.RedirectResponse("/edits/document.replace", 303)
    if not ctx.principal.sees_all:
        return responses.RedirectResponse(f"/teams/{ctx.principal.team}", 303)
    fleet = await fleets.read_fleet(ctx.console.store.client)
    advice_context = summary.AdviceContext(ctx.config, fleet, ctx.principal)
    return ctx.render(
        "status.html",
        config=ctx.config,
        fleet=fleet,
        vms=fleet.list_furthest_behind(MAX_VMS),
        measures=summary.measure_fleet(fleet),
        advice=summary.find_advice(advice_context),
        accepted=_read_accepted(ctx),
    )


def _read_accepted(ctx: context.RequestContext) -> int:
    text = ctx.request.query_params.get("accepted", "")
    return int(text) if text.isdecimal() and len(text) < 16 else 0


@page("/teams")
async def show_teams(ctx: context.RequestContext) -> responses.Response:
    """List the teams that are visible to the operator."""
    fleet = await fleets.read_fleet(ctx.console.store.client)
    visible = restriction.restrict_document(ctx.config, ctx.principal)
    return ctx.render(
        "teams.html",
        teams=list(visible.teams.values()),
        fleet=fleet,
        summary=summary,
        accepted=_read_accepted(ctx),
    )


@page("/teams/{team}")
async def show_team(ctx: context.RequestContext) -> responses.Response:
    """Show a team with its keys and routes."""
    name = ctx.request.path_params["team"]
    ctx.require_visibility(f"teams.{name}")
    team = ctx.config.teams.get(name)
    if team is None:
        raise errors.ObjectMissing(f"There is no team {name}.", "Choose a listed team.")
    fleet = await fleets.read_fleet(ctx.console.store.client)
    listed = restriction.list_routes(ctx.config, ctx.principal)
    return ctx.render(
        "team.html",
        team=team,
        routes=[route for route in listed if name in route.teams],
        fleet=fleet,
        served=fleet.sum_counter(summary.SERVED, team=name),
        refused=fleet.sum_counter(summary.REFUSED, team=name),
        in_rate=fleet.sum_counter(summary.REFUSED_IN_RATE, team=name),
        keys=[_describe_key(ctx, fleet, key) for key in reversed(team.keys)],
        accepted=_read_accepted(ctx),
    )


def _describe_key(
    ctx: context.RequestContext, fleet: fleets.Fleet, key: document.Key
) -> dict[str, typing.Any]:
    since = key.changed_in or ctx.current.version
    return {
        "prefix": key.prefix,
        "withdrawn": key.withdrawn,
        "reach": fleet.format_in_force(since),
        "is_settled": fleet.count_in_force(since) == len(fleet.vms),
    }


@page("/groups")
async def show_groups(ctx: context.RequestContext) -> responses.Response:
    """List the groups, and those of the platform that are not in the document."""
    operators.require_platform_visibility(ctx.principal)
    client = ctx.console.store.client
    fleet = await fleets.read_fleet(client)
    offered = await fleets.list_platform_groups(client)
    return ctx.render(
        "groups.html",
        groups=ctx.config.groups,
        fleet=fleet,
        offered=sorted(name for name in offered if name not in ctx.config.groups),
        accepted=_read_accepted(ctx),
    )


@page("/groups/{group}")
async def show_group(ctx: context.RequestContext) -> responses.Response:
    """Show a group with its primary, terms and handovers."""
    operators.require_platform_visibility(ctx.principal)
    name = ctx.request.path_params["group"]
    group = ctx.config.groups.get(name)
    if group is None:
        raise errors.ObjectMissing(
            f"There is no group {name}.", "Choose a listed group."
        )
    client = ctx.console.store.client
    fleet = await fleets.read_fleet(client)
    return ctx.render(
        "group.html",
        group=group,
        state=fleet.groups.get(name, {}),
        pending=fleet.handovers.get(name),
        handovers=await audit.read_handovers(client, name),
        routes=[r for r in ctx.config.routes.values() if r.group == name],
        accepted=_read_accepted(ctx),
    )


@page("/routes")
async def show_routes(ctx: context.RequestContext) -> responses.Response:
    """List the routes that are visible to the operator."""
    return ctx.render(
        "routes.html",
        routes=restriction.list_routes(ctx.config, ctx.principal),
        accepted=_read_accepted(ctx),
    )


@page("/operators")
async def show_operators(ctx: context.RequestContext) -> responses.Response:
    """List the operators."""
    operators.require_platform_visibility(ctx.principal)
    return ctx.render(
        "operators.html",
        operators=list(ctx.config.operators.values()),
        accepted=_read_accepted(ctx),
    )


@page("/document")
async def show_document(ctx: context.RequestContext) -> responses.Response:
    """Show the document as JSON."""
    visible = restriction.restrict_document(ctx.config, ctx.principal)
    text = json.dumps(document.dump_document(visible), indent=2, ensure_ascii=False)
    return ctx.render("document.html", text=text, accepted=_read_accepted(ctx))


@page("/history")
async def show_history(ctx: context.RequestContext) -> responses.Response:
    """List versions with author, reason and number of changes, newest first."""
    newest = ctx.current.version
    before = ctx.request.query_params.get("before", "")
    if before.isdecimal() and len(before) < 16:
        newest = min(newest, int(before) - 1)
    entries = await audit.read_entries(ctx.console.store.client, newest)
    return ctx.render(
        "history.html",
        entries=restriction.restrict_entries(entries, ctx.principal),
        older=max(0, newest - audit.PAGE_LENGTH + 1),
        accepted=_read_accepted(ctx),
    )


@page("/history/{number:int}")
async def show_version(ctx: context.RequestContext) -> responses.Response:
    """Show the changes of one version."""
    entry = await actions.read_entry(ctx, ctx.request.path_params["number"])
    return ctx.render("version.html", entry=entry)


async def show_sign_in(request: requests.Request) -> responses.Response:
    """Show the sign-in form."""
    return _render_sign_in(request, "", 200)


def _render_sign_in(
    request: requests.Request, problem: str, status: int
) -> responses.Response:
    console = context.get_console(request)
    text = console.templates.get_template("sign_in.html").render(
        principal=None,
        csrf="",
        version=0,
        path="/sign-in",
        problem=problem,
        target=_find_target(request),
    )
    return responses.HTMLResponse(text, status)


def _find_target(request: requests.Request) -> str:
    """Return the path to redirect to after sign-in, never one of another site."""
    target = request.query_params.get("next", "/")
    parts = urllib.parse.urlsplit(target)
    is_local = target.startswith("/") and not target.startswith(("//", "/\\"))
    return target if is_local and not parts.netloc else "/"


async def sign_in(request: requests.Request) -> responses.Response:
    """Start a session for the operator whose key was sent."""
    console = context.get_console(request)
    form = await security.read_form(request)
    text = form.get("key", [""])[0].strip()
    try:
        principal = await console.sign_in(context.find_source_address(request), text)
    except (sessions.SignInRequired, sessions.TooManyTries) as error:
        problem = f"{error.message} {error.remedy}"
        return _render_sign_in(request, problem, context.find_status_code(error))
    console.recorder.record("operator_signed_in", operator=principal.name)
    response = responses.RedirectResponse(_find_target(request), 303)
    response.set_cookie(
        console.cookie_name,
        console.sessions.open(principal.name, keys.parse_prefix(text)),
        max_age=int(sessions.SESSION_TIMEOUT),
        path="/",
        secure=console.is_secure,
        httponly=True,
        samesite="strict",
    )
    return response


@page("/sign-out", "POST")
async def sign_out(ctx: context.RequestContext) -> responses.Response:
    """End the session."""
    form = await security.read_form(ctx.request)
    ctx.session.require_csrf(form.get("csrf", [""])[0])
    name = ctx.console.cookie_name
    ctx.console.sessions.close(ctx.request.cookies[name])
    response = responses.RedirectResponse("/sign-in", 303)
    response.delete_cookie(name, path="/", secure=ctx.console.is_secure, httponly=True)
    return response
