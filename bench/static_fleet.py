"""Proxy with a fixed view, a long lease and unlimited tokens, for the benchmarks."""

import asyncio
import typing

import anyio

from sardinehold import callers
from sardinehold import datapath
from sardinehold import document
from sardinehold import keys
from sardinehold import metrics
from sardinehold.core import actions
from sardinehold.core import engine
from sardinehold.core import events
from sardinehold.core import view as views

GRANT_SECONDS = 1e6
"""Duration of leases and grants in seconds; no benchmark runs that long."""

RATE = 1e6
"""Rate of the benchmark's team in statements per second."""

SLOTS = 64
"""Statements that the endpoint runs concurrently."""

SEED = 1


def build_view(endpoint: tuple[str, int], key: str) -> views.View:
    """Return a view with one team, one route and one endpoint."""
    primary = document.Endpoint("e1", *endpoint, zone="bench")
    group = document.Group("letters", (primary,), SLOTS, 2 * SLOTS)
    team = document.Team("desk", RATE, int(RATE), keys=(keys.hash_key(key),))
    route = document.Route(
        "letters", "letters", ("desk",), durability=document.Durability.PRIMARY
    )
    content = document.Document(
        1, "bench", "bench", {"desk": team}, {"letters": group}, {"letters": route}
    )
    state = views.GroupState("letters", 1, "e1", history=(views.TermStart(1, 0),))
    return views.View(1, content, {"letters": state}, token_keys=(b"k" * 32,))


class StaticControl:
    """Control that grants every request of the engine."""

    def __init__(self) -> None:
        """Create the control; ``path`` must be set before use."""
        self.path: datapath.DataPath | None = None

    def handle(self, action: actions.Action) -> None:
        """Grant tokens and connections immediately."""
        deadline = self.path.loop.time() + GRANT_SECONDS
        if isinstance(action, actions.RequestTokens) and action.tokens:
            event = events.TokensGranted(action.team, action.tokens, deadline)
            self.path.deliver(event)
        elif isinstance(action, actions.RequestConnections):
            event = events.ConnectionsGranted(action.endpoint, 2 * SLOTS, deadline)
            self.path.deliver(event)


async def serve_proxy(
    endpoint: tuple[str, int], key: str, report: typing.Callable[[int], None]
) -> None:
    """Serve callers until cancelled.

    :param report: called with the port once the server listens.
    """
    loop = asyncio.get_running_loop()
    control = StaticControl()
    async with anyio.create_task_group() as group:
        path = datapath.DataPath(
            engine.Engine(SEED, loop.time()),
            control,
            group.start_soon,
            metrics.Registry(),
        )
        control.path = path
        path.deliver(events.ViewChanged(build_view(endpoint, key)))
        path.deliver(
            events.LeaseRenewed(
                loop.time() + GRANT_SECONDS, loop.time() + GRANT_SECONDS
            )
        )
        granted = loop.time() + GRANT_SECONDS
        path.deliver(events.TokensGranted("desk", int(RATE), granted))
        path.deliver(events.ConnectionsGranted("e1", 2 * SLOTS, granted))
        server = await loop.create_server(
            lambda: callers.Caller(path, None), "127.0.0.1", 0, backlog=1024
        )
        report(server.sockets[0].getsockname()[1])
        await server.serve_forever()
