"""HTTP server of a process's metrics page."""

import contextlib
import socket
import typing

import anyio
import uvicorn
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from sardinehold import errors
from sardinehold import metrics
from sardinehold import settings

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class _Server(uvicorn.Server):
    """A server that does not install signal handlers; the program handles signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> typing.Iterator[None]:
        yield


async def serve(
    registry: metrics.Registry,
    address: str,
    *,
    task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``/metrics`` at ``address`` until cancelled.

    :param task_status: receives the port once the page is served.
    :raises sardinehold.errors.SettingsError: the address cannot be bound.
    """
    listener = _bind(address)

    async def show(request: requests.Request) -> responses.Response:
        return responses.Response(registry.format_page(), media_type=CONTENT_TYPE)

    page = applications.Starlette(routes=[routing.Route("/metrics", show)])
    config = uvicorn.Config(
        page, log_level="critical", access_log=False, lifespan="off", ws="none"
    )
    task_status.started(listener.getsockname()[1])
    await _Server(config).serve(sockets=[listener])


def _bind(address: str) -> socket.socket:
    try:
        return socket.create_server(settings.split_address(address))
    except OSError as error:
        raise errors.SettingsError(
            f"[proxy] metrics_listen = {address} cannot be bound: {error}.",
            "Free the port, or configure another.",
        ) from error
