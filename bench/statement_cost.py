"""Processor time of one statement in the proxy, without sockets.

``python bench/statement_cost.py --statements 20000`` passes the bytes of callers and
endpoints directly to the adapters, and reports the time in the engine and in the
adapters. Without system calls the results vary less than those of
``throughput.py``.
"""

import argparse
import asyncio
import json
import time
import typing

import canned
import static_fleet
from sardinehold import callers
from sardinehold import datapath
from sardinehold import endpoints
from sardinehold import keys
from sardinehold import metrics
from sardinehold.core import actions
from sardinehold.core import engine
from sardinehold.core import events

CALLERS = 64
CONNECTIONS = 128
ROUNDS = 5
"""Number of rounds, of which the fastest is reported."""

WARM_UP = 2_000
"""Statements before the first round."""


class _Transport:
    """Transport that stores the latest bytes written."""

    def __init__(self) -> None:
        self.sent = b""

    def write(self, data: bytes) -> None:
        self.sent = data

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return ("127.0.0.1", 1)


class _TimedEngine:
    """Engine wrapper that accumulates the time spent in the engine."""

    def __init__(self, inner: engine.Engine) -> None:
        self.inner = inner
        self.seconds = 0.0

    def handle(self, now: float, event: events.Event) -> list[actions.Action]:
        start = time.perf_counter()
        engine_seconds = self.inner.handle(now, event)
        self.seconds += time.perf_counter() - start
        return engine_seconds


class _Bench:
    """A data path with fake transports."""

    def __init__(self) -> None:
        self.opening: list[actions.OpenConnection] = []
        now = asyncio.get_running_loop().time()
        self.engine = _TimedEngine(engine.Engine(static_fleet.SEED, now))
        control = static_fleet.StaticControl()
        self.path = datapath.DataPath(
            self.engine, control, self._spawn, metrics.Registry()
        )
        control.path = self.path
        self.callers: list[callers.Caller] = []

    def _spawn(self, function: typing.Callable, *arguments: typing.Any) -> None:
        if isinstance(arguments[-1], actions.OpenConnection):
            self.opening.append(arguments[-1])

    def start(self) -> None:
        key = keys.generate_key().text
        deadline = asyncio.get_running_loop().time() + static_fleet.GRANT_SECONDS
        deliver = self.path.deliver
        deliver(events.ViewChanged(static_fleet.build_view(("127.0.0.1", 1), key)))
        deliver(events.LeaseRenewed(deadline, deadline))
        deliver(events.TokensGranted("desk", int(static_fleet.RATE), deadline))
        deliver(events.ConnectionsGranted("e1", CONNECTIONS, deadline))
        for _ in range(CALLERS):
            caller = callers.Caller(self.path, None)
            caller.connection_made(_Transport())
            self._feed(caller, canned.build_startup("letters"))
            self._feed(caller, canned.build_password(key))
            self.callers.append(caller)

    def _feed(self, protocol: asyncio.BufferedProtocol, data: bytes) -> None:
        self.path.buffer[: len(data)] = data
        protocol.buffer_updated(len(data))

    def _open(self) -> None:
        while self.opening:
            action = self.opening.pop()
            connection = endpoints.EndpointConnection(self.path.buffer, None)
            connection.connection_made(_Transport())
            self.path.add_connection(action.connection_id, connection)

    def run(self, statements: int) -> float:
        """Return the seconds taken by a number of statements."""
        start = time.perf_counter()
        for number in range(statements):
            caller = self.callers[number % CALLERS]
            self._feed(caller, canned.QUERY)
            while caller.request.connection is None:
                self._open()
            self._feed(caller.request.connection, canned.ANSWER)
            if caller.request is not None:
                raise RuntimeError("a statement was not answered")
        return time.perf_counter() - start


async def _measure(statements: int) -> tuple[float, float]:
    """Return seconds per statement, in total and in the engine."""
    bench = _Bench()
    bench.start()
    bench.run(WARM_UP)
    found = []
    for _ in range(ROUNDS):
        bench.engine.seconds = 0.0
        total_seconds = bench.run(statements)
        found.append((total_seconds / statements, bench.engine.seconds / statements))
    return min(found)


def main() -> None:
    """Run the benchmark and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--statements", type=int, default=10_000)
    options = parser.parse_args()
    total_seconds, engine_seconds = asyncio.run(_measure(options.statements))
    figures = {
        "statement_us": round(total_seconds * 1e6, 1),
        "engine_us": round(engine_seconds * 1e6, 1),
        "adapters_us": round((total_seconds - engine_seconds) * 1e6, 1),
    }
    for name, value in figures.items():
        print(f"{name:<14}{value:>8.1f}")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
