"""Throughput of grpclib unary calls compared with length-prefixed frames over TCP.

``python bench/framing.py --seconds 3`` sends small requests sequentially over one
connection, with both ends in one process, and prints the rate of each on one core.
"""

import argparse
import asyncio
import json
import struct
import time
import typing

import anyio
from google.protobuf import wrappers_pb2
from grpclib import client
from grpclib import const
from grpclib import server

PAYLOAD = b"x" * 64
METHOD = "/bench.Echo/Call"

_LENGTH = struct.Struct("!I")


class _Echo:
    """A service with one unary method."""

    async def call(self, stream: server.Stream) -> None:
        await stream.send_message(await stream.recv_message())

    def __mapping__(self) -> dict[str, const.Handler]:
        kind = wrappers_pb2.BytesValue
        cardinality = const.Cardinality.UNARY_UNARY
        return {METHOD: const.Handler(self.call, cardinality, kind, kind)}


async def measure_grpclib(seconds: float) -> float:
    """Return unary calls per second."""
    service = server.Server([_Echo()])
    await service.start("127.0.0.1", 0)
    port = service._server.sockets[0].getsockname()[1]
    kind = wrappers_pb2.BytesValue
    async with client.Channel("127.0.0.1", port) as channel:
        method = client.UnaryUnaryMethod(channel, METHOD, kind, kind)
        message = kind(value=PAYLOAD)
        rate = await _repeat(lambda: method(message), seconds)
    service.close()
    await service.wait_closed()
    return rate


async def measure_frames(seconds: float) -> float:
    """Return framed requests per second over asyncio streams."""
    ended = anyio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                writer.write(_frame(await _read(reader)))
        except asyncio.IncompleteReadError:
            writer.close()
            ended.set()

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)

    async def call() -> None:
        writer.write(_frame(PAYLOAD))
        await _read(reader)

    rate = await _repeat(call, seconds)
    writer.close()
    await ended.wait()
    listening.close()
    return rate


def _frame(payload: bytes) -> bytes:
    return _LENGTH.pack(len(payload)) + payload


async def _read(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(4))
    return await reader.readexactly(length)


async def _repeat(call: typing.Callable[[], typing.Awaitable], seconds: float) -> float:
    count = 0
    start = time.perf_counter()
    while time.perf_counter() - start < seconds:
        await call()
        count += 1
    return count / (time.perf_counter() - start)


def main() -> None:
    """Run both and print the rates."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    options = parser.parse_args()
    rates = {
        "grpclib": anyio.run(measure_grpclib, options.seconds),
        "framed_tcp": anyio.run(measure_frames, options.seconds),
    }
    for name, rate in rates.items():
        print(f"{name:<12}{rate:>10.0f} calls/s")
    print(json.dumps({name: round(rate) for name, rate in rates.items()}))


if __name__ == "__main__":
    main()
