"""HTTP server and signal handling of the stand-ins."""

import asyncio
import contextlib
import signal
import socket

import uvicorn

BACKLOG = 2048
"""Listen backlog in connections."""


class Service(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Keep the existing signal handlers."""
        yield


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def bind(address: str) -> socket.socket:
    """Return a socket that listens on ``host:port``."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(parse_address(address))
    listener.listen(BACKLOG)
    listener.setblocking(False)
    return listener


def format_address(listener: socket.socket) -> str:
    """Return ``host:port`` of a listening socket."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def serve_app(app, listener: socket.socket) -> None:
    """Serve an ASGI application until the task is cancelled."""
    config = uvicorn.Config(
        app,
        log_level="critical",
        access_log=False,
        lifespan="off",
        loop="asyncio",
        ws="none",
        http="h11",
        timeout_graceful_shutdown=0,
    )
    await Service(config).serve(sockets=[listener])


async def wait_for_signal() -> None:
    """Wait for SIGINT or SIGTERM."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def run_until_signal(*tasks) -> None:
    """Run coroutines until one ends or a signal arrives; raise its error, if any."""
    running = [asyncio.ensure_future(task) for task in tasks]
    stop = asyncio.ensure_future(wait_for_signal())
    done, _ = await asyncio.wait([*running, stop], return_when=asyncio.FIRST_COMPLETED)
    for task in [*running, stop]:
        task.cancel()
    await asyncio.gather(*running, stop, return_exceptions=True)
    for task in done:
        if not task.cancelled() and task.exception():
            raise task.exception()
