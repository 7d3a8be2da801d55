"""State shared by all pages and API operations of a console process."""

import pathlib
import time
import typing

import jinja2
from starlette import requests
from starlette import responses

from sardinehold import document
from sardinehold import errors
from sardinehold import keys
from sardinehold import operators
from sardinehold import timeline
from sardinehold.console import sessions as sessions_
from sardinehold.console import store as store_

TEMPLATES = pathlib.Path(__file__).parent / "templates"

STATUS_CODES: dict[type[errors.SardineholdError], int] = {
    sessions_.SignInRequired: 401,
    sessions_.TooManyTries: 429,
    sessions_.ForgedForm: 403,
    operators.Forbidden: 403,
    store_.UnknownEffect: 503,
    errors.PlatformUnavailable: 503,
    errors.ObjectMissing: 404,
    errors.VersionConflict: 409,
    errors.DocumentError: 422,
    errors.SardineholdError: 500,
}
"""HTTP status codes by error class; the closest class in the MRO applies."""


def find_status_code(error: errors.SardineholdError) -> int:
    """Return the HTTP status code for an error."""
    for kind in type(error).__mro__:
        if kind in STATUS_CODES:
            return STATUS_CODES[kind]
    return 500


class Console:
    """The components of a console process.

    :param store: access to the configuration in the platform.
    :param bootstrap: key text of the first operator, ``""`` for none.
    :param is_secure: whether the console is served over TLS.
    :param recorder: receives the timeline events of sign-ins and changes.
    :param clock: returns monotonic seconds.
    """

    __slots__ = (
        "store",
        "bootstrap",
        "is_secure",
        "recorder",
        "sessions",
        "throttle",
        "templates",
    )

    def __init__(
        self,
        store: store_.Store,
        bootstrap: str = "",
        is_secure: bool = False,
        recorder: timeline.Recorder | None = None,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialise the console without sessions."""
        self.store = store
        self.bootstrap = bootstrap
        self.is_secure = is_secure
        self.recorder = recorder or timeline.Recorder("", "", "")
        self.sessions = sessions_.Sessions(clock)
        self.throttle = sessions_.Throttle(clock)
        self.templates = jinja2.Environment(
            loader=jinja2.FileSystemLoader(TEMPLATES),
            autoescape=True,
            trim_blocks=True,
            lstrip_blocks=True,
            undefined=jinja2.StrictUndefined,
        )

    @property
    def cookie_name(self) -> str:
        """Name of the session cookie; browsers protect the prefix ``__Host-``."""
        return "__Host-sardinehold" if self.is_secure else "sardinehold"

    async def sign_in(self, source: str, text: str) -> operators.Principal:
        """Return the principal that a key authenticates.

        :param source: IP address of the client.
        :raises TooManyTries: ``source`` sent too many invalid keys.
        :raises SignInRequired: the key is invalid.
        """
        self.throttle.require_attempt(source)
        current = await self._read_for_sign_in(text)
        principal = operators.authenticate(current.config, self.bootstrap, text)
        if principal is None:
            self.throttle.record_failure(source)
            self.recorder.record("operator_refused", source=source)
            raise sessions_.SignInRequired(
                "The key does not belong to an operator.",
                "Use the operator key that you were given; a team's key opens"
                " database sessions only.",
            )
        return principal

    async def _read_for_sign_in(self, text: str) -> store_.StoredDocument:
        try:
            return await self.store.read_current()
        except errors.PlatformError:
            # The bootstrap key needs no document; other keys need the platform.
            if self.bootstrap and keys.equals_in_constant_time(self.bootstrap, text):
                return store_.StoredDocument(None, 0)
            raise


class RequestContext:
    """An authenticated request.

    :param principal: the operator who sent it.
    :param session: session of the operator, None for an API request.
    :param current: the current document.
    """

    __slots__ = ("console", "request", "principal", "session", "current")

    def __init__(
        self,
        console: Console,
        request: requests.Request,
        principal: operators.Principal,
        session: sessions_.Session | None,
        current: store_.StoredDocument,
    ) -> None:
        """Initialise the context."""
        self.console = console
        self.request = request
        self.principal = principal
        self.session = session
        self.current = current

    @property
    def config(self) -> document.Document:
        """The current document; an empty one if the platform has none."""
        return self.current.config or document.Document(0, "", "", {}, {}, {})

    def render(
        self, template: str, status: int = 200, **values: typing.Any
    ) -> responses.HTMLResponse:
        """Return a page rendered from a template."""
        text = self.console.templates.get_template(template).render(
            principal=self.principal,
            csrf=self.session.csrf if self.session is not None else "",
            version=self.current.version,
            path=self.request.url.path,
            **values,
        )
        return responses.HTMLResponse(text, status)

    def require_visibility(self, path: str) -> None:
        """Raise :class:`sardinehold.operators.Forbidden` unless ``path`` is visible."""
        if not self.principal.may_see(path):
            raise operators.Forbidden(
                f"{self.principal.name} sees team {self.principal.team} only.",
                "Ask an operator for all teams.",
            )


def get_console(request: requests.Request) -> Console:
    """Return the console that handles a request."""
    return request.app.state.console


def find_source_address(request: requests.Request) -> str:
    """Return the IP address of the client, ``""`` if unknown."""
    return request.client.host if request.client is not None else ""
