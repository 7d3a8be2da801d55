"""Owners, links and requests for tests."""

import asyncio

from sardinehold.core import positions
from sardinehold.node import execution
from sardinehold.node import frames
from sardinehold.node import membership
from sardinehold.node import statements

Kind = statements.Kind


def make_member(name: str, zone: str = "north", weight: float = 1.0):
    return membership.Member(name, zone, name, 1, "a", weight)


def make_members(count: int, zone: str = "north") -> list[membership.Member]:
    return [make_member(f"{zone}-{index}", zone) for index in range(count)]


def compare_zones(one: str, other: str) -> int:
    return 0 if one == other else 2


def make_request(now: float = 100.0, **changes: object) -> execution.Request:
    fields = {
        "group": "g",
        "endpoint": "g-0",
        "team": "red",
        "statement": statements.Statement("r1", "READ x", Kind.READ),
        "values": {"name": "v\xe4lue"},
        "deadline": now + 1.0,
        "target": now + 0.4,
        "priority": 1,
        "after": positions.Position(2, 7),
        "origin": execution.Origin(now - 0.3),
    }
    return execution.Request(**{**fields, **changes})


def list_fields(request: execution.Request) -> list:
    """Return all fields of a request."""
    statement = request.statement
    definition = statement.definition
    return [
        request.group,
        request.endpoint,
        request.team,
        statement.request_id,
        statement.text,
        statement.kind,
        statement.arguments,
        definition and (definition.writes, definition.shape),
        request.values,
        request.deadline,
        request.target,
        request.priority,
        request.after,
        request.is_in_transaction,
        request.divert_at,
        request.attempt,
        request.origin.ending,
        request.origin.arrived_at,
    ]


class RecordingTransport(asyncio.Transport):
    """Transport that records what one end of a link writes."""

    def __init__(self) -> None:
        super().__init__()
        self.reader = frames.Reader()
        self.frames: list[list] = []
        self.is_aborted = False
        self.is_reading = True

    def write(self, data):
        self.frames.extend(self.reader.feed(data))

    def abort(self):
        self.is_aborted = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True
