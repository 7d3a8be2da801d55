"""Security headers, the limit of a request's size, and the origin check."""

import urllib.parse

from starlette import datastructures
from starlette import requests
from starlette import types

from sardinehold import errors
from sardinehold.console import sessions

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest request body; form encoding enlarges a document, which is at most 1 MiB."""

MAX_FIELDS = 2000
"""Largest number of fields in a form."""

HEADERS = {
    "Content-Security-Policy": (
        "default-src 'none'; style-src 'self'; img-src 'self'; form-action 'self';"
        " frame-ancestors 'none'; base-uri 'none'"
    ),
    "X-Content-Type-Options": "nosniff",
    "X-Frame-Options": "DENY",
    "Referrer-Policy": "same-origin",
    "Cross-Origin-Opener-Policy": "same-origin",
    "Cross-Origin-Resource-Policy": "same-origin",
    "Permissions-Policy": "camera=(), geolocation=(), microphone=()",
    "Cache-Control": "no-store",
}
"""Headers of every response. A referrer policy of ``no-referrer`` would make browsers
hide the origin of forms, which :func:`require_same_origin` checks."""

TRANSPORT_SECURITY = "max-age=31536000"


class BodyTooLarge(errors.SardineholdError):
    """A request body exceeds ``MAX_BODY_BYTES``."""

    code = "SH405"


class HeaderMiddleware:
    """ASGI middleware that adds the security headers to every response."""

    def __init__(self, app: types.ASGIApp, is_secure: bool) -> None:
        """Initialise the middleware.

        :param is_secure: whether to require TLS by Strict-Transport-Security.
        """
        self._app = app
        self._is_secure = is_secure

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Handle a request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return

        async def send_with_headers(message: types.Message) -> None:
            if message["type"] == "http.response.start":
                headers = datastructures.MutableHeaders(scope=message)
                for name, value in HEADERS.items():
                    headers.setdefault(name, value)
                if self._is_secure:
                    headers["Strict-Transport-Security"] = TRANSPORT_SECURITY
            await send(message)

        await self._app(scope, receive, send_with_headers)


async def read_body(request: requests.Request) -> bytes:
    """Return the body of a request.

    :raises BodyTooLarge: the body is larger than ``MAX_BODY_BYTES``.
    """
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise BodyTooLarge(
                f"The request is larger than {MAX_BODY_BYTES} bytes.",
                "Send a smaller document; the platform accepts 1 MiB.",
            )
    return bytes(body)


async def read_form(request: requests.Request) -> dict[str, list[str]]:
    """Return the fields of a submitted form.

    :raises ForgedForm: the request came from another site, or is not a form.
    :raises BodyTooLarge: the body is larger than ``MAX_BODY_BYTES``.
    """
    require_same_origin(request)
    body = await read_body(request)
    try:
        return urllib.parse.parse_qs(
            body.decode("utf-8"), keep_blank_values=True, max_num_fields=MAX_FIELDS
        )
    except ValueError as error:
        raise sessions.ForgedForm(
            "The request does not contain a form.", "Open the page again."
        ) from error


def require_same_origin(request: requests.Request) -> None:
    """Raise :class:`ForgedForm` if the browser's headers give another site."""
    site = request.headers.get("sec-fetch-site", "same-origin")
    origin = request.headers.get("origin")
    host = request.headers.get("host", "")
    is_cross_origin = (
        origin is not None and urllib.parse.urlsplit(origin).netloc != host
    )
    if is_cross_origin or site not in ("same-origin", "none"):
        raise sessions.ForgedForm(
            "The form was sent by a page of another site.",
            "Open the console itself and repeat the change there.",
        )
