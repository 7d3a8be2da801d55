"""Entry point of the node process on the platform."""

import asyncio
import functools
import json
import os
import pathlib
import signal
import socket
import sys
import typing

import anyio
import anyio.abc
import logbook

from sardinehold import errors
from sardinehold import metrics
from sardinehold.node import caller_limits
from sardinehold.node import explanation
from sardinehold.node import journal
from sardinehold.node import loops
from sardinehold.node import node as nodes
from sardinehold.node import settings
from sardinehold.platform import callers
from sardinehold.platform import endpoints
from sardinehold.platform import failover_client
from sardinehold.platform import pages
from sardinehold.platform import records
from sardinehold.platform import settings_file
from sardinehold.platform import store

ACCEPT_BATCH = 32
"""Maximum connections of a port that are accepted before the first one is handled."""

PAGE_BACKLOG = 100
"""Listen backlog for the pages."""

READINESS_PATH = "/api/readiness"
METRICS_PATH = "/metrics"
EXPLAIN_PATH = "/explain"

BACKLOG = 512
"""Listen backlog for callers: every session of a zone may reconnect at once after a
restart."""

LINK_BACKLOG = 1024
"""Listen backlog for links: after a restart of an owner, all other nodes may
reconnect."""


def main() -> int:
    """Run a node with the settings file that the environment names."""
    path = pathlib.Path(os.environ.get(settings_file.SETTINGS_VARIABLE, ""))
    try:
        loaded = settings_file.load(path)
    except errors.SettingsError as error:
        error.show()
        return error.exit_code
    handler = journal.Handler()
    with logbook.NullHandler().applicationbound(), handler.applicationbound():
        anyio.run(
            serve,
            loaded,
            path,
            handler,
            backend_options={"loop_factory": loops.make_loop},
        )
    return 0


async def serve(
    loaded: settings.Settings, path: pathlib.Path, handler: journal.Handler
) -> None:
    """Serve until SIGTERM, then stop gracefully; SIGHUP reloads the settings."""
    registry = metrics.Registry()
    store_client = store.StoreClient(loaded.store, registry=registry)
    failover_api = failover_client.FailoverClient(loaded.duty)
    async with anyio.create_task_group() as tasks:
        node = nodes.Node(
            loaded,
            store_client,
            endpoints.Connector(),
            failover_api,
            records.Sources(),
            tasks,
            registry,
        )
        node.journal.handler = handler
        node.journal.note(
            "started",
            zone=loaded.zone,
            incarnation=node.incarnation,
            processor_seconds=sum(os.times()[:2]),
        )
        await _listen(node, loaded, registry)
        tasks.start_soon(node.run)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as received:
            async for number in received:
                if number == signal.SIGTERM:
                    break
                _reload(node, path)
            await node.stop()
        tasks.cancel_scope.cancel()
    await store_client.close()


async def _listen(
    node: nodes.Node, loaded: settings.Settings, registry: metrics.Registry
) -> None:
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: node.peers, loaded.peer_listen)
    await _serve_port(node.links.accept, loaded.peer_listen, LINK_BACKLOG)
    await _serve_port(functools.partial(callers.Caller, node), loaded.listen, BACKLOG)

    def show_ready() -> tuple[int, bytes]:
        return (200 if node.is_ready() else 503), b""

    def show_metrics() -> tuple[int, bytes]:
        node.update_gauges()
        return 200, registry.format_page()

    def show_explanation(query: str) -> tuple[int, bytes]:
        status, found = explanation.answer(node, query)
        return status, json.dumps(found).encode()

    host, port = loaded.ready_listen
    for number, shown, queries in (
        (port, {READINESS_PATH: show_ready}, {}),
        (
            loaded.metrics_port,
            {METRICS_PATH: pages.ReusedPage(show_metrics)},
            {EXPLAIN_PATH: show_explanation},
        ),
    ):
        opened = caller_limits.Oldest(node.limits.pages)
        serve_page = functools.partial(pages.PageServer, shown, queries, opened)
        await _serve_port(serve_page, (host, number), PAGE_BACKLOG)


async def _serve_port(
    make: typing.Callable[[], asyncio.Protocol], address: tuple[str, int], backlog: int
) -> None:
    """Listen on an address with a backlog that is accepted in small batches.

    asyncio accepts as many connections at once as the backlog that it is given. All of
    them hold descriptors before the first one can be refused.
    """
    host, port = address
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.create_server(address, family=family)
    listener.setblocking(False)
    await asyncio.get_running_loop().create_server(
        make, sock=listener, backlog=ACCEPT_BATCH
    )
    listener.listen(backlog)


def _reload(node: nodes.Node, path: pathlib.Path) -> None:
    """Reload the settings file; listen addresses apply only at the start."""
    try:
        loaded = settings_file.load(path)
    except errors.SettingsError as error:
        node.journal.note("settings_refused", reason=error.message)
        return
    node.settings.update_limits(loaded)
    node.journal.note("settings_reloaded")


if __name__ == "__main__":
    sys.exit(main())
