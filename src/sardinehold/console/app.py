"""Builds the web application of the console."""

import urllib.parse

from starlette import applications
from starlette import exceptions
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold import errors
from sardinehold.console import api
from sardinehold.console import context
from sardinehold.console import pages
from sardinehold.console import security
from sardinehold.console import sessions

_STYLE = context.TEMPLATES / "style.css"


def build_app(console: context.Console) -> applications.Starlette:
    """Return the application that serves ``console``."""
    app = applications.Starlette(
        routes=[
            routing.Route("/style.css", _serve_style),
            routing.Mount(api.PREFIX, routes=api.list_routes()),
            *pages.list_routes(),
        ],
        middleware=[
            middleware.Middleware(
                security.HeaderMiddleware, is_secure=console.is_secure
            )
        ],
        exception_handlers={
            errors.SardineholdError: _handle_error,
            exceptions.HTTPException: _handle_http_error,
            Exception: _handle_unexpected_error,
        },
    )
    app.state.console = console
    return app


async def _serve_style(_request: requests.Request) -> responses.Response:
    headers = {"Cache-Control": "max-age=300"}
    return responses.FileResponse(_STYLE, media_type="text/css", headers=headers)


def _is_api_request(request: requests.Request) -> bool:
    return request.url.path.startswith(api.PREFIX)


async def _handle_error(
    request: requests.Request, error: errors.SardineholdError
) -> responses.Response:
    must_sign_in = isinstance(error, sessions.SignInRequired)
    if must_sign_in and request.method == "GET" and not _is_api_request(request):
        target = urllib.parse.quote(request.url.path)
        return responses.RedirectResponse(f"/sign-in?next={target}", 303)
    return _build_error_response(request, error)


async def _handle_http_error(
    request: requests.Request, error: exceptions.HTTPException
) -> responses.Response:
    wrapped = errors.SardineholdError(
        f"{error.detail}: {request.method} {request.url.path}.",
        "Start again from the status page.",
    )
    response = _build_error_response(request, wrapped)
    response.status_code = error.status_code
    return response


async def _handle_unexpected_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    wrapped = errors.SardineholdError(
        f"The console failed on this request ({type(error).__name__}).",
        "Report this with the path and the time of day; the document was not changed.",
    )
    return _build_error_response(request, wrapped)


def _build_error_response(
    request: requests.Request, error: errors.SardineholdError
) -> responses.Response:
    if _is_api_request(request):
        return api.build_error_response(error)
    return pages.build_error_response(request, error)
