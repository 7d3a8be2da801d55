"""The proxy daemon: serves callers in one event loop until a stop signal.

SIGTERM or SIGINT starts a graceful shutdown: new callers are refused, and
requests and transactions may finish within the drain deadline of the settings.
A second signal ends the process immediately and logs what it interrupts.
"""

import asyncio
import functools
import secrets
import signal
import socket
import ssl
import typing

import anyio
import logbook

from sardinehold import callers
from sardinehold import certificates
from sardinehold import control
from sardinehold import datapath
from sardinehold import errors
from sardinehold import metrics
from sardinehold import metrics_page
from sardinehold import settings
from sardinehold import timeline
from sardinehold.core import actions
from sardinehold.core import engine
from sardinehold.core import events

BACKLOG = 1024
"""Listen backlog: connections that the system queues until the proxy accepts them."""

DRAIN_GRACE = 1.0
"""Seconds after the drain deadline at which the proxy stops regardless."""

LINGER_TIMEOUT = 1.0
"""Seconds that closed callers may take to read the shutdown error."""

KEEPALIVE_SECONDS = 60
"""Idle seconds before the first TCP keepalive probe to a caller."""

KEEPALIVE_INTERVAL_SECONDS = 10
"""Seconds between keepalive probes."""

LEAVE_TIMEOUT = 2.0
"""Seconds that leaving the fleet may take after the drain."""

SEED_BITS = 63

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = logbook.Logger("proxy")


def run(loaded: settings.ProxySettings) -> int:
    """Serve until a stop signal and return the exit code.

    :returns: 0 if the stop interrupted no request or transaction, else 1.
    :raises sardinehold.errors.SettingsError: a port is in use, or a
        certificate is invalid.
    """
    try:
        with logbook.StderrHandler(level=logbook.NOTICE).applicationbound():
            code = anyio.run(serve, loaded)
    except ExceptionGroup as group:
        raise _find_cause(group) from group
    # Another signal must not change the exit code of the ending process.
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    return code


def _enable_keepalive(listener: asyncio.trsock.TransportSocket) -> None:
    """Enable TCP keepalive to detect unreachable callers.

    Accepted connections inherit the options of the listening socket.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    listener.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
    )


def _find_cause(group: ExceptionGroup) -> Exception:
    """Return the first sardinehold error in a group, or the group if it has none."""
    ours = group.subgroup(errors.SardineholdError)
    while isinstance(ours, ExceptionGroup):
        ours = ours.exceptions[0]
    return ours or group


async def serve(
    loaded: settings.ProxySettings,
    control_plane: control.Control | None = None,
    decision_engine: datapath.Engine | None = None,
) -> int:
    """Serve like :func:`run`, inside a running event loop of anyio.

    :param control_plane: control plane; created from the settings by default.
    :param decision_engine: engine; created by default.
    """
    daemon = Daemon(loaded, control_plane, decision_engine)
    return await daemon.serve()


class Daemon:
    """One proxy process.

    :param loaded: settings of the process.
    """

    def __init__(
        self,
        loaded: settings.ProxySettings,
        control_plane: control.Control | None = None,
        decision_engine: datapath.Engine | None = None,
    ) -> None:
        """Load the certificates and create the components."""
        self.settings = loaded
        self.registry = metrics.Registry()
        self.recorder = timeline.Recorder(loaded.timeline, loaded.vm, loaded.zone)
        client_auth = ssl.Purpose.CLIENT_AUTH
        self.caller_tls = certificates.Certificates(loaded.caller_tls, client_auth)
        server_auth = ssl.Purpose.SERVER_AUTH
        self.endpoint_tls = certificates.Certificates(loaded.endpoint_tls, server_auth)
        self.control_plane = control_plane or control.Control(
            loaded, self.recorder, self.registry, seeds=loaded.seeds
        )
        self.decision_engine = decision_engine
        self.path: datapath.DataPath | None = None
        self.port = 0
        self.drained = anyio.Event()
        self.left_fleet = anyio.Event()
        self.cut = 0

    async def serve(self) -> int:
        """Serve until a stop signal and return the exit code."""
        loop = asyncio.get_running_loop()
        decision_engine = self.decision_engine or engine.Engine(
            secrets.randbits(SEED_BITS),
            loop.time(),
            self.settings.zone,
            counters=self.registry.counters,
        )
        async with anyio.create_task_group() as group:
            self.path = datapath.DataPath(
                decision_engine,
                self,
                functools.partial(group.start_soon, self._run_task),
                self.registry,
                self.recorder,
                self.endpoint_tls.context,
            )
            listener = await self._listen()
            if self.settings.metrics_listen:
                serve_page = functools.partial(
                    metrics_page.serve, self.registry, self.settings.metrics_listen
                )
                await group.start(serve_page)
            group.start_soon(self._run_control_plane)
            group.start_soon(self._watch_certificates)
            self.recorder.record("proxy_started", port=self.port)
            log.notice("serving callers on port {}", self.port)
            with anyio.open_signal_receiver(*STOP_SIGNALS) as received:
                await self._wait_for_stop(listener, received)
                self.path.close()
                await self.path.pending_callers.wait_for_callers(LINGER_TIMEOUT)
                with anyio.move_on_after(LEAVE_TIMEOUT):
                    await self.left_fleet.wait()
            group.cancel_scope.cancel()
        self.recorder.record("proxy_stopped", cut=self.cut)
        log.notice("stopped; requests and transactions interrupted: {}", self.cut)
        return 1 if self.cut else 0

    def handle(self, action: actions.Action) -> None:
        """Pass an action of the engine to the control plane.

        The node resigns its shared roles only after the drain: transactions
        that finish during a stop still need tokens, and this node may be the
        one that grants them.
        """
        if isinstance(action, actions.DrainFinished):
            self.cut += action.cut
            self.drained.set()
            self.control_plane.begin_stop()
        self.control_plane.handle(action)

    async def _run_task(
        self, function: typing.Callable[..., typing.Awaitable[None]], *arguments: object
    ) -> None:
        """Run a task of one connection; an exception must not end the process."""
        try:
            await function(*arguments)
        except Exception as error:
            self.registry.count("tasks_failed")
            log.error("{} failed: {!r}", function.__name__, error)

    async def _run_control_plane(self) -> None:
        """Run the control plane, which returns once this node has left the fleet."""
        await self.control_plane.run(self.path.deliver)
        self.left_fleet.set()

    async def _listen(self) -> asyncio.Server:
        host, port = settings.split_address(self.settings.listen)
        loop = asyncio.get_running_loop()
        try:
            server = await loop.create_server(self._accept, host, port, backlog=BACKLOG)
        except OSError as error:
            raise errors.SettingsError(
                f"Cannot listen on [proxy] listen = {self.settings.listen}: {error}.",
                "Free the port, or configure another.",
            ) from error
        for listener in server.sockets:
            _enable_keepalive(listener)
        self.port = server.sockets[0].getsockname()[1]
        return server

    def _accept(self) -> callers.Caller:
        return callers.Caller(self.path, self.caller_tls.context)

    async def _watch_certificates(self) -> None:
        while True:
            await anyio.sleep(certificates.CHECK_SECONDS)
            for certificate_set in (self.caller_tls, self.endpoint_tls):
                self._reload(certificate_set)

    def _reload(self, certificate_set: certificates.Certificates) -> None:
        try:
            if certificate_set.reload():
                self.registry.count("certificates_reloaded")
                self.recorder.record(
                    "certificate_reloaded", path=certificate_set.files.certificate
                )
        except errors.SettingsError as error:
            self.registry.count("certificates_failed")
            log.warning("{}", error.format_message())

    async def _wait_for_stop(
        self,
        listener: asyncio.Server,
        received: typing.AsyncIterator[signal.Signals],
    ) -> None:
        """Start the drain at the first signal and wait until it ends."""
        await anext(received)
        listener.close()
        deadline = self.path.loop.time() + self.settings.drain_deadline
        self.recorder.record("drain_started", sessions=len(self.path.callers))
        log.notice("draining; stopping within {} s", self.settings.drain_deadline)
        self.path.deliver(events.DrainStarted(deadline))
        async with anyio.create_task_group() as group:
            group.start_soon(self._wait_for_drain, group, deadline)
            await anext(received)
            if not self.drained.is_set():
                self._record_interrupted("received a second signal")
            group.cancel_scope.cancel()

    async def _wait_for_drain(
        self, group: anyio.abc.TaskGroup, deadline: float
    ) -> None:
        remaining = deadline + DRAIN_GRACE - self.path.loop.time()
        with anyio.move_on_after(max(remaining, 0)):
            await self.drained.wait()
        if not self.drained.is_set():
            self._record_interrupted("the drain deadline passed")
        group.cancel_scope.cancel()

    def _record_interrupted(self, cause: str) -> None:
        running = len(self.path.requests)
        transactions = self.path.count_transactions()
        self.cut += max(running, transactions)
        log.warning(
            "{}: interrupting {} requests and {} transactions",
            cause,
            running,
            transactions,
        )
        self.recorder.record("drain_cut", requests=running, transactions=transactions)
