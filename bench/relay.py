"""Plain byte relay: the reference for the proxy's throughput.

``python bench/relay.py --seconds 4 --connections 64`` compares a relay on anyio
streams with one on asyncio protocols. Relay, canned endpoint and closed-loop
callers each run in a separate process.
"""

import argparse
import asyncio
import json
import multiprocessing
import typing

import anyio

import canned


class _RelaySide(asyncio.Protocol):
    """One side of a relayed connection."""

    def __init__(self, peer: "_RelaySide | None" = None) -> None:
        self.peer = peer
        self.transport: asyncio.Transport | None = None
        self.pending: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        for data in self.pending:
            transport.write(data)
        self.pending.clear()

    def data_received(self, data: bytes) -> None:
        if self.peer.transport is None:
            self.peer.pending.append(data)
            return
        self.peer.transport.write(data)

    def connection_lost(self, error: Exception | None) -> None:
        if self.peer and self.peer.transport:
            self.peer.transport.close()


async def serve_protocols(
    endpoint: tuple[str, int], report: typing.Callable[[int], None]
) -> None:
    """Relay bytes with asyncio protocols, with one connection per caller."""
    loop = asyncio.get_running_loop()
    tasks = set()

    def accept() -> _RelaySide:
        caller, server = _RelaySide(), _RelaySide()
        caller.peer, server.peer = server, caller
        task = loop.create_task(loop.create_connection(lambda: server, *endpoint))
        tasks.add(task)
        return caller

    server = await loop.create_server(accept, "127.0.0.1", 0)
    report(server.sockets[0].getsockname()[1])
    await server.serve_forever()


async def serve_streams(
    endpoint: tuple[str, int], report: typing.Callable[[int], None]
) -> None:
    """Relay bytes with anyio streams, with one connection per caller."""

    async def copy(source: anyio.abc.ByteStream, target: anyio.abc.ByteStream) -> None:
        try:
            while True:
                await target.send(await source.receive())
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            await target.aclose()

    async def handle(caller: anyio.abc.SocketStream) -> None:
        async with (
            await anyio.connect_tcp(*endpoint) as server,
            anyio.create_task_group() as group,
        ):
            group.start_soon(copy, caller, server)
            group.start_soon(copy, server, caller)

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    report(listener.extra(anyio.abc.SocketAttribute.local_port))
    await listener.serve(handle)


async def serve_endpoint(report: typing.Callable[[int], None]) -> None:
    """Serve the canned endpoint."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(canned.CannedEndpoint, "127.0.0.1", 0)
    report(server.sockets[0].getsockname()[1])
    await server.serve_forever()


def _run_child(pipe: typing.Any, serve: typing.Callable, arguments: tuple) -> None:
    anyio.run(serve, *arguments, pipe.send)


class Child:
    """A server process of a benchmark, as a context manager."""

    def __init__(self, serve: typing.Callable, *arguments: typing.Any) -> None:
        """Run ``serve`` in a new process and wait until it reports its port."""
        context = multiprocessing.get_context("spawn")
        parent, child = context.Pipe()
        self.process = context.Process(
            target=_run_child, args=(child, serve, arguments), daemon=True
        )
        self.process.start()
        if not parent.poll(20):
            raise RuntimeError("the child process did not report its port")
        self.address = ("127.0.0.1", parent.recv())

    def __enter__(self) -> "Child":
        """Return the process."""
        return self

    def __exit__(self, *details: object) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.join()


def measure(
    address: tuple[str, int], connections: int, seconds: float, key: str = ""
) -> float:
    """Return statements per second of closed-loop callers at ``address``."""
    rate, counters = anyio.run(
        canned.run_closed_loop, address, connections, seconds, key
    )
    if counters.errors:
        raise RuntimeError(f"{counters.errors} statements were answered by an error")
    return rate


def main() -> None:
    """Measure both relays, and a direct connection."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--connections", type=int, default=64)
    options = parser.parse_args()
    rates = {}
    with Child(serve_endpoint) as endpoint:
        rates["direct"] = measure(
            endpoint.address, options.connections, options.seconds
        )
        for name, serve in (("protocols", serve_protocols), ("streams", serve_streams)):
            with Child(serve, endpoint.address) as relay:
                rates[name] = measure(
                    relay.address, options.connections, options.seconds
                )
    for name, rate in rates.items():
        print(f"{name:<12}{rate:>10.0f} statements/s")
    print(json.dumps({name: round(rate) for name, rate in rates.items()}))


if __name__ == "__main__":
    main()
