"""Builders of stand-in databases that run in a separate thread."""

import asyncio
import contextlib
import select
import threading

import psycopg

from sardinehold_standins import engine
from sardinehold_standins import faults as switches
from sardinehold_standins import replication
from sardinehold_standins import server as servers
from sardinehold_standins import service

WAIT_SECONDS = 10.0


class Group:
    """Endpoints of one group; the first is the primary."""

    def __init__(self, loop, endpoints):
        self.loop = loop
        self.endpoints = endpoints

    @property
    def primary(self):
        return self.endpoints[0]

    def call(self, function, *arguments):
        """Run a function in the event loop of the endpoints and return its result."""

        async def run():
            result = function(*arguments)
            return await result if asyncio.iscoroutine(result) else result

        return asyncio.run_coroutine_threadsafe(run(), self.loop).result(WAIT_SECONDS)

    def dsn(self, index=0):
        host, port = self.endpoints[index].address
        return f"host={host} port={port} user=desk dbname=main connect_timeout=5"

    def connect(self, index=0, **options):
        return psycopg.connect(self.dsn(index), autocommit=True, **options)

    def wait_until(self, condition):
        """Wait until ``condition()`` holds in the event loop of the endpoints."""

        async def wait():
            async with asyncio.timeout(WAIT_SECONDS):
                while not condition():
                    await asyncio.sleep(0.002)

        self.call(wait)

    def wait_replicated(self):
        offset = self.primary.database.received
        self.wait_until(
            lambda: all(e.database.applied == offset for e in self.endpoints)
        )


def finish(connection):
    """Wait for the running statement and return its result.

    libpq's own wait would hold the interpreter lock and block the endpoints.
    """
    pgconn = connection.pgconn
    result = None
    while True:
        while pgconn.is_busy():
            assert select.select([pgconn.socket], [], [], WAIT_SECONDS)[0]
            pgconn.consume_input()
        last = pgconn.get_result()
        if last is None:
            return result
        result = result or last


async def _start(count, options, lag):
    endpoints = []
    for number in range(count):
        database = engine.Database(f"a{number + 1}")
        server = servers.Server(database, options, switches.Faults(lag))
        server.replication = replication.Replication(server)
        if number == 0:
            database.become_primary(1)
        await server.start(service.bind("127.0.0.1:0"))
        if number:
            server.replication.follow(endpoints[0].address)
        endpoints.append(server)
    return endpoints


async def _stop(endpoints):
    for server in endpoints:
        server.replication.stop()
        server.stop()
    remaining = asyncio.all_tasks() - {asyncio.current_task()}
    for task in remaining:
        task.cancel()
    await asyncio.gather(*remaining, return_exceptions=True)


@contextlib.contextmanager
def run_group(count=1, lag=(0.0, 0.0), **options):
    """Run a group of endpoints in a separate thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    group = Group(loop, [])
    try:
        group.endpoints = group.call(_start, count, servers.Options(**options), lag)
        yield group
    finally:
        group.call(_stop, group.endpoints)
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
