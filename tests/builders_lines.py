"""A database that reads lines as the protocol states, with no code of the node."""

import asyncio
import itertools

import anyio

from sardinehold.node import catalog
from sardinehold.node import clock
from sardinehold.node import ports
from sardinehold.node import statements
from sardinehold.platform import callers
from sardinehold.platform import endpoints

MAX_LINE = 1024 * 1024

SHAPES = {
    "word": "q2c",
    "words": "q2a READ rinswolzm",
    "two_words": "q0 x",
    "blanks": "q  2a",
    "last_blank": "q2a ",
    "first_blank": " q2a",
    "tab": "q\t2a",
    "vertical_tab": "q\v2a",
    "zero": "q\0",
    "latin": "\xa0q\x85",
    "prefix": "AFTER 3.1 READ 1a4",
    "long": "q" * 600 * 1024,
}
"""Shapes that callers may prepare: all text to the end of the line."""


class Database:
    """Answers each query, and records what runs.

    :param prepared: kind and shape by name.
    :param runs: the word, the kind and shape of an EXECUTE, and the rest of the line.
    :param sizes: of all lines in bytes, with their ends.
    """

    def __init__(self) -> None:
        self.prepared: dict[str, tuple[str, str]] = {}
        self.runs: list[tuple[str, tuple[str, str] | None, str]] = []
        self.sizes: list[int] = []
        self.start: list[str] = []
        self.ended = asyncio.Event()

    async def open(self, team: str = "desk") -> tuple[asyncio.Server, object]:
        """Listen on a free port; return the server and a node's connection to it."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=4 * MAX_LINE
        )
        port = server.sockets[0].getsockname()[1]
        record = catalog.EndpointRecord("i-1", "db", "127.0.0.1", port, "north")
        return server, await endpoints.Connector().open(record, team, clock.read() + 5)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.readline():
            self.sizes.append(len(data))
            line = data.decode("latin-1").removesuffix("\r\n")
            word, _, rest = line.partition(" ")
            if word == "START":
                self.start = rest.split(" ")
            elif word == "QUERY":
                writer.write(self._answer(rest.partition(" ")[2]).encode("latin-1"))
            if word != "CLOSE":
                writer.write(b"READY I -\r\n")
        writer.close()
        self.ended.set()

    def _answer(self, text: str) -> str:
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            return self._answer(rest.partition(" ")[2])
        definition = None
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
        elif word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return "ERROR NOSTMT i-1\r\n"
            definition = self.prepared[name]
        self.runs.append((word, definition, rest))
        return "COMPLETE 1.sig\r\n"


class Client:
    """A caller's session, by its prepared statements only; sends over a connection."""

    def __init__(self, connection: object) -> None:
        self.connection = connection
        self.numbers = itertools.count()
        self.prepared: dict[str, statements.Definition] = {}

    async def send(self, text: str, after: object = None) -> statements.Answer:
        """Send a line of text as the node does for a caller."""
        statement = callers.parse_statement(f"id{next(self.numbers)}", text)
        deadline = clock.read() + 5
        if statement.kind is statements.Kind.PREPARE:
            self.prepared[statement.name] = statement.definition
            return (await self.connection.prepare([statement.definition], deadline))[0]
        if statement.kind is statements.Kind.EXECUTE:
            statement.definition = self.prepared[statement.name]
        try:
            return await self.connection.run(statement, deadline, after)
        except ports.StatementTooLong:
            return statements.Answer([], error=statements.Failure.TOO_LARGE)


def run_client(scenario) -> Database:
    """Run ``scenario(client)`` against a database, and return the database."""
    database = Database()

    async def main():
        server, connection = await database.open()
        async with server:
            try:
                await scenario(Client(connection))
            finally:
                connection.close()
                await database.ended.wait()

    anyio.run(main)
    return database
