"""What databases are sent, compared with what random callers asked for."""

import asyncio
import random

import pytest

import builders_node
from sardinehold.node import clock
from sardinehold.node import statements
from sardinehold_standins import group_in_memory

Kind = statements.Kind
TEAMS = {"red-key": "red", "blue-key": "blue"}


class Asked:
    """A statement as its caller sent it, and when it ended."""

    def __init__(self, team, text, values, shape) -> None:
        self.team = team
        self.text = text
        self.values = values
        self.shape = shape
        self.ended_at = float("inf")


def find_sent(statement) -> str:
    """Return the caller's text in a statement: of an EXECUTE, its arguments."""
    if statement.kind is Kind.EXECUTE:
        return statement.arguments
    return statement.text


class Caller:
    """A caller that sends random statements and leaves at random."""

    def __init__(self, world, source, asked) -> None:
        self.world = world
        self.source = source
        self.asked = asked

    async def run(self, until) -> None:
        while clock.read() < until:
            key = self.source.choice(list(TEAMS))
            route = self.source.choice(["latest", "bounded", "session"])
            self.team = TEAMS[key]
            self.client = self.world.open(
                self.source.choice(list(self.world.nodes)), route, key
            )
            self.values, self.shapes = {}, {}
            for _ in range(self.source.randrange(1, 25)):
                if not await self.step():
                    break
                await asyncio.sleep(self.source.random() * 0.02)
            self.client.session.close()
            self.client.close()

    async def step(self) -> bool:
        """Send one statement; return whether the caller stays."""
        source, session = self.source, self.client.session
        kinds = [Kind.READ] * 6 + [Kind.WRITE] * 2 + [Kind.SET, Kind.PREPARE]
        kinds += [Kind.EXECUTE] * 3 if self.shapes else []
        kinds += [Kind.BEGIN] if session.transaction is None else [Kind.COMMIT] * 5
        kind = source.choice(kinds)
        request_id = self.world.make_id()
        statement = statements.Statement(request_id, f"{kind.value} {request_id}", kind)
        if kind is Kind.SET:
            statement.name, statement.value = source.choice("ab"), request_id
        elif kind is Kind.PREPARE:
            writes = source.random() < 0.5
            statement.name = source.choice("pq")
            shape = f"q{source.randrange(4)}" + source.choice(["", " READ x", "\t"])
            statement.definition = statements.Definition(writes, shape)
        elif kind is Kind.EXECUTE:
            statement.name = source.choice(list(self.shapes))
            statement.arguments = f"1a4 {request_id}"
        shape = self.shapes.get(statement.name) if kind is Kind.EXECUTE else None
        asked = Asked(self.team, find_sent(statement), dict(self.values), shape)
        self.asked[request_id] = asked
        task = asyncio.create_task(session.node.serve(session, statement))
        leaves = source.random() < 0.05
        await asyncio.wait([task], timeout=source.random() * 0.2 if leaves else None)
        asked.ended_at = clock.read()
        if not task.done():
            session.close()
            return False
        answer = await task
        if answer.error is None and kind is Kind.SET:
            self.values[statement.name] = statement.value
        if answer.error is None and kind is Kind.PREPARE:
            found = statement.definition
            self.shapes[statement.name] = (found.writes, found.shape)
        return answer.status != "E"


async def disturb(world, source) -> None:
    """Slow databases down, and cut their connections."""
    while True:
        await asyncio.sleep(source.random() * 0.3)
        database = source.choice(list(world.clusters["g"].databases.values()))
        database.statement_seconds = source.choice([0.005, 0.02, 0.1, 0.4])
        for connection in list(database.connections):
            if source.random() < 0.2:
                connection.abort()


@pytest.mark.parametrize("seed", range(3))
def test_databases_are_sent_what_open_requests_ask_for(monkeypatch, seed):
    # Team, text, values and prepared statement are the caller's, and it still waits.
    asked: dict[str, Asked] = {}
    wrong, count = [], 0
    send = group_in_memory.DatabaseConnection.run

    async def check(self, statement, deadline, after=None):
        nonlocal count
        count += 1
        found = asked[statement.request_id]
        kind = statement.kind
        definition = statement.definition
        shape = definition and (definition.writes, definition.shape)
        sent = self.team, find_sent(statement), shape
        if (found.team, found.text, found.shape) != sent:
            wrong.append(("identity", statement.request_id))
        # A BEGIN is answered first, and sent with the next statement.
        is_late = clock.read() > found.ended_at + builders_node.LINK_DELAY
        if kind is not Kind.BEGIN and (self.values != found.values or is_late):
            wrong.append(
                (self.values, found.values, is_late, kind, statement.request_id)
            )
        return await send(self, statement, deadline, after)

    async def scenario(world):
        source = random.Random(seed)
        monkeypatch.setattr(group_in_memory.DatabaseConnection, "run", check)
        world.tasks.start_soon(disturb, world, source)
        until = clock.read() + 8.0
        callers = [
            Caller(world, random.Random(f"{seed} {index}"), asked)
            for index in range(16)
        ]
        await asyncio.gather(*(caller.run(until) for caller in callers))
        assert count > 300
        assert not wrong

    builders_node.run_scenario(monkeypatch, scenario)
