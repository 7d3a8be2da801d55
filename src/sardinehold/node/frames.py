"""Encoding of the messages on a link between two nodes.

A frame is a MessagePack array: its kind, then its fields in order. Deadlines are sent
as remaining seconds, arrivals as elapsed ones. The owner dates them by a reading of its
own clock that the sender echoes, so that no network delay makes a deadline later.
"""

import typing

import msgpack

from sardinehold import objects
from sardinehold.core import positions
from sardinehold.node import execution
from sardinehold.node import statements

CHALLENGE = 1
PROOF = 2
WELCOME = 3
REQUEST = 4
ANSWER = 5
LOST = 6
REJECTED = 7
CLOSE = 8
PING = 9
PONG = 10
DRAINING = 11
WATCH = 12
CHANGES = 13
EXPIRED = 14

MAX_FRAME = 4 * 1024 * 1024
"""Maximum bytes of a frame: a row of an answer may have up to a megabyte, like a
message of the callers' protocol. A longer frame ends its link."""

MAX_PROOF = 4096
"""Maximum bytes that a node may send before it has proven the fleet's key."""

MAX_PROOF_ITEMS = 16
"""Maximum items of an array or map before the proof: the decoder allocates them when
it reads their number."""


class FrameError(Exception):
    """A frame violates the protocol of links."""


class Reader:
    """Splits a byte stream into frames."""

    __slots__ = ("_unpacker",)

    def __init__(self, max_bytes: int = MAX_FRAME, max_items: int = MAX_FRAME) -> None:
        """Initialize with an empty buffer.

        :param max_bytes: maximum bytes that are not decoded yet. The objects of an
            unfinished frame are not counted.
        :param max_items: maximum items of one array or map.
        """
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=max_bytes, max_array_len=max_items, max_map_len=max_items
        )

    def feed(self, data: bytes) -> list[list]:
        """Buffer bytes and return the frames that they complete.

        :raises FrameError: the bytes are no valid frames.
        """
        found = []
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                if not isinstance(frame, list) or not frame:
                    raise FrameError(f"a frame is {type(frame).__name__}, not an array")
                found.append(frame)
        except (ValueError, msgpack.exceptions.UnpackException) as error:
            raise FrameError(repr(error)) from error
        return found


def pack(kind: int, *fields: typing.Any) -> bytes:
    """Return the encoded frame."""
    return msgpack.packb([kind, *fields])


def pack_request(
    stream: int, request: execution.Request, now: float, echo: float, held: float
) -> bytes:
    """Return the encoded frame of a request.

    :param echo: the most recent reading received of the owner's clock.
    :param held: seconds since it was received.
    """
    statement = request.statement
    definition = statement.definition
    # An EXECUTE is sent with another name: its text is not needed.
    text = "" if statement.kind is statements.Kind.EXECUTE else statement.text
    ending = request.origin.ending
    return pack(
        REQUEST,
        stream,
        request.group,
        request.endpoint,
        request.team,
        statement.request_id,
        text,
        statement.kind.value,
        statement.arguments,
        None if definition is None else [definition.writes, definition.shape],
        request.values,
        request.deadline - now,
        request.target - now,
        request.priority,
        request.after,
        request.is_in_transaction,
        request.divert_at,
        now - request.origin.arrived_at,
        request.attempt.value,
        None if ending is None else ending.value,
        echo,
        held,
    )


def parse_request(fields: list) -> execution.Request:
    """Parse the fields of a request after its stream number.

    Deadlines are dated by the latest reading of this node's clock that the sender had
    received: a frame that a partition delayed is recognized as old.

    :raises FrameError: a field is missing or has another type.
    """
    try:
        group, endpoint, team, request, text, kind, arguments, definition = fields[:8]
        values, left, in_time, priority, after, is_in_transaction, *rest = fields[8:]
        divert_at, age, attempt, ending, echo, held = rest
        sent = float(echo) + float(held)
        statement = statements.Statement(
            _parse_text(request),
            _parse_text(text),
            statements.Kind(kind),
            definition=None if definition is None else _parse_definition(definition),
            arguments=_parse_text(arguments),
        )
        return execution.Request(
            _parse_text(group),
            _parse_text(endpoint),
            _parse_text(team),
            statement,
            {_parse_text(name): _parse_text(value) for name, value in values.items()},
            sent + float(left),
            sent + float(in_time),
            int(priority),
            _parse_position(after),
            bool(is_in_transaction),
            None if divert_at is None else int(divert_at),
            execution.Origin(
                sent - float(age), None if ending is None else execution.Ending(ending)
            ),
            execution.Attempt(attempt),
        )
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise FrameError(f"malformed request: {error!r}") from error


def pack_reply(stream: int, reply: execution.Reply, now: float) -> bytes:
    """Return the encoded frame of an endpoint's answer.

    :param now: reading of the owner's clock, echoed by the sender.
    """
    answer = reply.answer
    return pack(
        ANSWER,
        stream,
        answer.rows,
        answer.completion_tag,
        None if answer.error is None else answer.error.value,
        answer.detail,
        answer.status,
        answer.position,
        reply.load.ahead,
        reply.load.service_time,
        reply.load.failed,
        reply.age,
        now,
    )


def parse_reply(fields: list) -> execution.Reply:
    """Parse the fields of an answer after its stream number.

    :raises FrameError: a field is missing or has another type.
    """
    try:
        rows, completion_tag, error, detail, status, position, *load, _ = fields
        ahead, service_time, failed, age = load
        answer = statements.Answer(
            [_parse_text(row) for row in rows],
            _parse_text(completion_tag),
            None if error is None else statements.Failure(error),
            _parse_text(detail),
            _parse_text(status),
            _parse_position(position),
        )
        return execution.Reply(
            answer,
            execution.Load(int(ahead), float(service_time), float(failed)),
            float(age),
        )
    except (ValueError, TypeError) as error:
        raise FrameError(f"malformed answer: {error!r}") from error


def parse_rejected(fields: list) -> execution.Rejected:
    """Parse the fields of a rejection after its stream number.

    :raises FrameError: a field is missing or has another type.
    """
    try:
        rejection, reason, retry_after, *rest = fields
        ahead = rest[0] if rest else None
        return execution.Rejected(
            execution.Rejection(rejection),
            _parse_text(reason),
            float(retry_after),
            None if ahead is None else int(ahead),
        )
    except (ValueError, TypeError) as error:
        raise FrameError(f"malformed rejection: {error!r}") from error


def pack_changes(number: int, changes: objects.Changes) -> bytes:
    """Return the encoded frame of changes in the store.

    :raises TypeError: an object contains a value that cannot be encoded.
    """
    found = [[item.name, item.version, item.value] for item in changes.objects]
    return pack(CHANGES, number, changes.revision, found)


def parse_changes(kind: str, fields: list) -> objects.Changes:
    """Parse the fields of store changes after their number.

    :raises FrameError: a field is missing or has another type.
    """
    try:
        revision, found = fields
        return objects.Changes(
            [
                objects.StoredObject(kind, _parse_text(name), int(version), value)
                for name, version, value in found
            ],
            int(revision),
        )
    except (ValueError, TypeError) as error:
        raise FrameError(f"malformed changes: {error!r}") from error


def _parse_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _parse_position(value: list | None) -> positions.Position | None:
    if value is None:
        return None
    term, offset = value
    return positions.Position(int(term), int(offset))


def _parse_definition(value: list) -> statements.Definition:
    writes, shape = value
    return statements.Definition(bool(writes), _parse_text(shape))
