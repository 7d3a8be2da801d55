"""Cost of callers that never complete their start-up.

``python bench/half_open.py --connections 50000`` opens that many connections
without sending anything, a thousand at a time, closes none itself, and signs in one
caller after each thousand. Prints the growth of the proxy's memory and the longest
time for a sign-in with one statement. The exit code is 1 if a caller was not served
or memory grew by more than the limit.
"""

import argparse
import asyncio
import json
import sys
import time

import anyio

import canned
import idle_memory
import relay
import static_fleet
from sardinehold import keys
from sardinehold import pending_callers

MAX_GROWTH = 16 * 1024 * pending_callers.MAX_STARTUPS
"""Bytes: the target for an idle connection, times the limit of pending start-ups."""

CONNECTIONS_PER_STEP = 1_000

SIGN_IN_TIMEOUT = 5.0
"""Seconds within which a caller must sign in and get one statement answered."""


async def _open(address: tuple[str, int]) -> asyncio.BaseTransport:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, *address)
    return transport


async def _serve_one(address: tuple[str, int], key: str) -> float:
    start = time.perf_counter()
    counters = canned.Counters()
    with anyio.fail_after(SIGN_IN_TIMEOUT):
        (caller,) = await canned.sign_in(
            address, 1, counters, canned.PacedCaller, key=key
        )
        caller.running = True
        caller.send()
        while not counters.statements:
            await anyio.sleep(0.001)
    caller.transport.abort()
    return time.perf_counter() - start


async def _measure(child: relay.Child, count: int, key: str) -> tuple[int, float]:
    """Return the memory growth in bytes and the longest caller time in seconds."""
    await _serve_one(child.address, key)
    before = idle_memory.read_resident(child.process.pid)
    longest = 0.0
    opened = []
    for _ in range(count // CONNECTIONS_PER_STEP):
        for _ in range(CONNECTIONS_PER_STEP):
            opened.append(await _open(child.address))
        opened = [transport for transport in opened if not transport.is_closing()]
        longest = max(longest, await _serve_one(child.address, key))
    return idle_memory.read_resident(child.process.pid) - before, longest


def main() -> int:
    """Run the benchmark; return 1 if the limit is exceeded."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=50_000)
    options = parser.parse_args()
    key = keys.generate_key().text
    with (
        relay.Child(relay.serve_endpoint) as endpoint,
        relay.Child(static_fleet.serve_proxy, endpoint.address, key) as proxy,
    ):
        growth, longest = anyio.run(_measure, proxy, options.connections, key)
    print(f"memory grew by {growth / 1024:.0f} KiB (limit {MAX_GROWTH // 1024} KiB)")
    print(f"slowest caller: {longest * 1e3:.1f} ms")
    met = growth <= MAX_GROWTH
    print(json.dumps({"grown_bytes": growth, "slowest_s": longest, "met": met}))
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
