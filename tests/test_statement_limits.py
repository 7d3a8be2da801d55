"""Statements and names at the limits of lines and frames, on the way to an endpoint."""

import anyio

import builders_lines
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.platform import endpoints


def test_caller_without_a_team_is_served_on_a_public_route():
    # The empty team raised ValueError, and each statement was refused with BUSY.
    database = builders_lines.Database()

    async def main():
        server, connection = await database.open()
        async with server:
            connection.close()
            await database.ended.wait()
            port = server.sockets[0].getsockname()[1]
            record = catalog.EndpointRecord("i-1", "db", "127.0.0.1", port, "north")
            database.ended.clear()
            try:
                opened = await endpoints.Connector().open(record, "", clock.read() + 5)
                opened.close()
            finally:
                await database.ended.wait()

    anyio.run(main)
    assert (database.start[0], database.start[-1]) == ("db", "i-1")
    assert database.start != ["db", "desk", "i-1"]
