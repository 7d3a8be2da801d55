"""The console process."""

import signal
import socket
import ssl
import types

import anyio
import logbook
import uvicorn

from sardinehold import certificates
from sardinehold import errors
from sardinehold import operators
from sardinehold import options
from sardinehold import settings as settings_
from sardinehold import timeline
from sardinehold.console import app
from sardinehold.console import context
from sardinehold.console import store

STOP_TIMEOUT = 10
"""Seconds that open requests get to finish after SIGTERM."""

MAX_CONNECTIONS = 500
"""Concurrent connections; further ones get status 503."""

_log = logbook.Logger("console")


def run(settings: settings_.ConsoleSettings) -> int:
    """Serve until SIGTERM or SIGINT and return the exit code.

    :raises sardinehold.errors.SettingsError: the port or a file cannot be used.
    """
    bootstrap = operators.read_bootstrap(settings.bootstrap_key)
    recorder = timeline.Recorder(settings.timeline, settings.vm, settings.zone)
    listener = bind_listener(settings.listen, "[console] listen")
    with listener:
        anyio.run(_serve, settings, bootstrap, recorder, listener)
    recorder.close()
    return 0


def bind_listener(address: str, place: str) -> socket.socket:
    """Return a listening socket.

    :param place: section and key of the address in the settings, for the error.
    :raises sardinehold.errors.SettingsError: the address cannot be used.
    """
    host, port = options.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.create_server((host, port), family=family, backlog=128)
    except OSError as error:
        raise errors.SettingsError(
            f"{place} = {address} cannot be listened on ({error.strerror}).",
            "Stop the process that uses the port, or choose another address.",
        ) from error


async def _serve(
    settings: settings_.ConsoleSettings,
    bootstrap: str,
    recorder: timeline.Recorder,
    listener: socket.socket,
) -> None:
    # Imported here so that tests of the pages do not load the HTTP client.
    from sardinehold import platform_client

    client = platform_client.HttpObjectClient(
        settings.platform_url, settings.vm, settings.platform_tls
    )
    tls = certificates.Certificates(settings.console_tls, ssl.Purpose.CLIENT_AUTH)
    is_secure = tls.context is not None
    console = context.Console(store.Store(client), bootstrap, is_secure, recorder)
    config = _build_config(console, tls.context)
    server = uvicorn.Server(config)
    _stop_on_signals(server)
    _print_address(listener, is_secure)
    recorder.record("process_started", role="console")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_certificates, tls)
        await server.serve(sockets=[listener])
        tasks.cancel_scope.cancel()
    recorder.record("process_stopped", role="console")
    await client.close()


def _build_config(
    console: context.Console, tls: ssl.SSLContext | None
) -> uvicorn.Config:
    return uvicorn.Config(
        app.build_app(console),
        loop="asyncio",
        http="h11",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        limit_concurrency=MAX_CONNECTIONS,
        timeout_graceful_shutdown=STOP_TIMEOUT,
        ssl_context_factory=(lambda _config, _default: tls) if tls else None,
    )


def _stop_on_signals(server: uvicorn.Server) -> None:
    # After its graceful shutdown uvicorn raises the signals that it caught again;
    # without a handler here they would terminate the process.
    def stop(_number: int, _frame: types.FrameType | None) -> None:
        server.should_exit = True

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)


async def _watch_certificates(tls: certificates.Certificates) -> None:
    while True:
        await anyio.sleep(certificates.CHECK_SECONDS)
        try:
            if tls.reload():
                _log.notice("certificate replaced")
        except errors.SettingsError as error:
            _log.warning(
                "certificate not reloaded; keeping the old one: {}",
                error.format_message(),
            )


def _print_address(listener: socket.socket, is_secure: bool) -> None:
    host, port = listener.getsockname()[:2]
    scheme = "https" if is_secure else "http"
    host_text = f"[{host}]" if ":" in host else host
    print(f"console: {scheme}://{host_text}:{port}", flush=True)
