"""Statements and names at the limits of lines and frames, on the way to an endpoint."""

import anyio
import pytest

import builders_lines
import builders_links
import builders_node
from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import frames
from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold.platform import endpoints
from sardinehold_standins import group_in_memory


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


def test_statement_that_no_line_can_prepare_does_not_leak_its_connection(monkeypatch):
    # Nodes of earlier versions forward such statements: LineTooLong ended the owner's
    # task, and the connection was neither in use nor in the pool until it broke.
    prepare = group_in_memory.DatabaseConnection.prepare

    async def prepare_as_lines(connection, definitions, deadline):
        for definition in definitions:
            endpoints.format_prepare(definition)
        return await prepare(connection, definitions, deadline)

    async def scenario(world):
        owners = world.nodes["n0"].groups["g"].endpoints["g-0"].owners
        sender = next(name for name in world.nodes if name != owners[0])
        client = world.open(sender, "latest")
        long = statements.Definition(False, "z" * builders_lines.MAX_LINE)
        prepared = statements.Kind.PREPARE, statements.Kind.EXECUTE
        await client.send(prepared[0], name="s", definition=long)
        for _ in range(5):
            await client.send(prepared[1], name="s", arguments="1a4")
        for node in world.nodes.values():
            endpoint = node.groups["g"].endpoints["g-0"]
            assert len(endpoint.idle) == len(endpoint.connections)
            assert not node.registry.counters.get("tasks_failed")

    monkeypatch.setattr(group_in_memory.DatabaseConnection, "prepare", prepare_as_lines)
    builders_node.run_scenario(monkeypatch, scenario, count=3)


def test_statement_that_an_endpoint_can_be_sent_also_fits_a_frame_to_its_owner():
    # Its text was sent twice, each byte above 127 as two: the caller was told to
    # shorten variables that it did not have.
    name = "s" * statements.NAME_LENGTH
    room = builders_lines.MAX_LINE - len(
        f"QUERY 5c0e7a21d94b36f8 EXECUTE {name} 1a4 \r\n"
    )
    text = f"EXECUTE {name} 1a4 " + "\xff" * room
    statement = callers.parse_statement("5c0e7a21d94b36f8", text)
    statement.definition = statements.Definition(True, "q2c" + " x" * 100)
    assert not endpoints.exceeds_limit(statement)
    request = builders_links.make_request(statement=statement, values={})
    frame = frames.pack_request(1, request, 0.0, 0.0, 0.0)
    assert len(frame) <= frames.MAX_FRAME


@pytest.mark.parametrize(
    "detail",
    ["group \u0431\u0430 has no primary", "group a\nREADY has no primary", "x" * 2**20],
    ids=["letters", "line_end", "length"],
)
def test_error_whose_text_fits_no_line_is_answered_all_the_same(detail):
    # The texts have names from the configuration, or are an endpoint's: the caller's
    # task ended, and its session stayed open without an answer.
    answer = statements.Answer([], error=statements.Failure.BUSY, detail=detail)
    sent = callers.format_answer(answer).split(b"\r\n")
    assert sent[0].startswith(b"ERROR BUSY ")
    assert sent[1:] == [b"READY I -", b""]
    assert len(sent[0]) + 2 <= builders_lines.MAX_LINE
    assert b"\r" not in sent[0]
    assert b"\n" not in sent[0]
