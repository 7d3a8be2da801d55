"""Latency that the proxy adds to a statement at a steady rate.

``python bench/added_latency.py --rate 1000 --seconds 5 --rounds 3`` sends the
same statements at the same rate directly to a canned endpoint, through a plain
byte relay, and through the proxy, in turn. The latency that the proxy adds to the
median and the 99th percentile is compared with the targets of issue 4: 0.3 ms and
2 ms. The latency of a statement includes the time for which all callers were busy.
The exit code is 1 if a target is missed.
"""

import argparse
import collections
import json
import statistics
import sys
import time

import anyio

import canned
import relay
import static_fleet
from sardinehold import keys

TARGET_MEDIAN = 0.3e-3
"""Seconds."""

TARGET_P99 = 2e-3
"""Seconds."""

WARM_UP = 0.2
"""Share of the samples, at the start, that is discarded."""


class _Pacer:
    """Sends statements at fixed times over a pool of callers."""

    def __init__(self) -> None:
        self.idle: collections.deque[_Caller] = collections.deque()
        self.due: collections.deque[float] = collections.deque()

    def start(self, scheduled: float) -> None:
        if self.idle:
            self.idle.popleft().send_at(scheduled)
        else:
            self.due.append(scheduled)

    def release(self, caller: "_Caller") -> None:
        if self.due:
            caller.send_at(self.due.popleft())
        else:
            self.idle.append(caller)


class _Caller(canned.Caller):
    """A caller that sends when the pacer schedules it."""

    pacer: _Pacer

    def send_at(self, scheduled: float) -> None:
        self.sent = scheduled
        self.transport.write(self.query)

    def handle_answer(self) -> None:
        self.pacer.release(self)


async def _run(
    address: tuple[str, int], rate: float, seconds: float, connections: int, key: str
) -> list[float]:
    """Return the latencies of all statements after the warm-up."""
    counters = canned.Counters(keep=True)
    pacer = _Pacer()
    _Caller.pacer = pacer
    callers = await canned.sign_in(address, connections, counters, _Caller, key=key)
    for caller in callers:
        caller.running = True
        pacer.idle.append(caller)
    start = time.perf_counter()
    for number in range(int(rate * seconds)):
        scheduled = start + number / rate
        wait = scheduled - time.perf_counter()
        if wait > 0:
            await anyio.sleep(wait)
        # A late timer is a delay of the load generator, not of the proxy.
        pacer.start(max(scheduled, time.perf_counter()) if wait > 0 else scheduled)
    while counters.statements < int(rate * seconds):
        await anyio.sleep(0.01)
    for caller in callers:
        caller.transport.abort()
    if counters.errors:
        raise RuntimeError(f"{counters.errors} statements were answered by an error")
    return counters.latencies[int(len(counters.latencies) * WARM_UP) :]


def main() -> int:
    """Run the benchmark; return 1 if a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=1000.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    key = keys.generate_key().text
    figures = {"direct": [], "relay": [], "proxy": []}
    with (
        relay.Child(relay.serve_endpoint) as endpoint,
        relay.Child(relay.serve_protocols, endpoint.address) as bare,
        relay.Child(static_fleet.serve_proxy, endpoint.address, key) as proxy,
    ):
        targets = {
            "direct": endpoint.address,
            "relay": bare.address,
            "proxy": proxy.address,
        }
        for _ in range(options.rounds):
            for name, address in targets.items():
                found = anyio.run(
                    _run,
                    address,
                    options.rate,
                    options.seconds,
                    options.connections,
                    key,
                )
                percentiles = statistics.quantiles(found, n=100)
                figures[name].append((statistics.median(found), percentiles[98]))
    return _report(figures)


def _report(figures: dict[str, list[tuple[float, float]]]) -> int:
    medians = {}
    for name, found in figures.items():
        shown = "  ".join(f"{m * 1e3:.3f}/{p * 1e3:.3f}" for m, p in found)
        medians[name] = [
            statistics.median(values) for values in zip(*found, strict=True)
        ]
        print(f"{name:<8} median/p99 ms: {shown}")
    added = [
        via_proxy - direct
        for via_proxy, direct in zip(medians["proxy"], medians["direct"], strict=True)
    ]
    print(f"added    median/p99 ms: {added[0] * 1e3:.3f}/{added[1] * 1e3:.3f}")
    met = added[0] <= TARGET_MEDIAN and added[1] <= TARGET_P99
    print(
        json.dumps(
            {
                "added_median_ms": round(added[0] * 1e3, 4),
                "added_p99_ms": round(added[1] * 1e3, 4),
                "met": met,
            }
        )
    )
    return 0 if met else 1


if __name__ == "__main__":
    sys.exit(main())
