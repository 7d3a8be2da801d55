"""Named prepared statements that survive transaction pooling.

A session knows its statements by the names that its caller gave; an endpoint
connection knows them by a hash of their text and parameter types. Where a
connection lacks a statement it is parsed there first, unseen by the caller.
Renaming by content is the way of several poolers; it lets sessions share what
a connection has parsed already.
"""

import collections
import hashlib
import weakref

from sardinehold import errors
from sardinehold import wire
from sardinehold.core import classifier

MAX_SESSION_STATEMENTS = 1_000
"""Named statements that one session may hold."""

MAX_CONNECTION_STATEMENTS = 200
"""Statements that one endpoint connection keeps parsed."""

_PREFIX = b"sardinehold_"
_NAME_BYTES = 12
_shared_statements: "weakref.WeakValueDictionary[bytes, Statement]" = (
    weakref.WeakValueDictionary()
)


class Statement:
    """A statement's text and parameter types, shared by all sessions.

    :param name: its name on endpoint connections.
    :param body: what follows the name in a Parse message.
    :param traits: how it may be routed.
    """

    __slots__ = ("name", "body", "traits", "__weakref__")

    def __init__(self, body: bytes) -> None:
        """Classify the text and derive the name.

        :raises sardinehold.errors.ProtocolViolation: the text is malformed.
        """
        text, zero, _ = body.partition(b"\0")
        if not zero:
            raise errors.ProtocolViolation(
                "A Parse message is not terminated.", "Use a PostgreSQL driver."
            )
        self.traits = classifier.classify(wire.decode(text))
        self.body = body
        digest = hashlib.blake2b(body, digest_size=_NAME_BYTES).hexdigest()
        self.name = _PREFIX + digest.encode()

    def build_parse(self, name: bytes) -> bytes:
        """Return a Parse message that gives the statement ``name``."""
        return wire.build_frame(b"P", name + b"\0" + self.body)


def find_statement(body: bytes) -> Statement:
    """Return the one statement with this text and these parameter types."""
    statement = _shared_statements.get(body)
    if statement is None:
        statement = _shared_statements[body] = Statement(body)
    return statement


class SessionStatements:
    """The statements that one session has prepared, by the caller's names.

    The unnamed statement is the one with the empty name.
    """

    __slots__ = ("_statements",)

    def __init__(self) -> None:
        """Start with none."""
        self._statements: dict[bytes, Statement] = {}

    def get(self, name: bytes) -> Statement | None:
        """Return the statement of that name, None if there is none."""
        return self._statements.get(name)

    def put(self, name: bytes, statement: Statement) -> None:
        """Keep a statement.

        :raises sardinehold.errors.Unsupported: the session holds too many.
        """
        known = self._statements
        if name not in known and len(known) >= MAX_SESSION_STATEMENTS:
            raise errors.Unsupported(
                f"The session has {MAX_SESSION_STATEMENTS} prepared statements.",
                "Close statements that are no longer used.",
            )
        known[name] = statement

    def restore(self, name: bytes, statement: Statement | None) -> None:
        """Put back what ``name`` meant before a Parse that failed."""
        if statement is None:
            self._statements.pop(name, None)
        else:
            self._statements[name] = statement

    def drop(self, name: bytes) -> bool:
        """Forget a statement; return whether it was known."""
        return self._statements.pop(name, None) is not None

    def clear(self) -> None:
        """Forget all statements."""
        self._statements.clear()


class ConnectionStatements:
    """The statements that one endpoint connection has parsed, least used first."""

    __slots__ = ("_names",)

    def __init__(self) -> None:
        """Start with none."""
        self._names: collections.OrderedDict[bytes, None] = collections.OrderedDict()

    def __contains__(self, name: bytes) -> bool:
        return name in self._names

    def __len__(self) -> int:
        return len(self._names)

    def touch(self, name: bytes) -> bool:
        """Mark a statement as used; return whether the connection has it."""
        if name not in self._names:
            return False
        self._names.move_to_end(name)
        return True

    def add(self, name: bytes) -> None:
        """Note that the endpoint confirmed a Parse."""
        self._names[name] = None

    def discard(self, name: bytes) -> None:
        """Note that the endpoint confirmed a Close."""
        self._names.pop(name, None)

    def clear(self) -> None:
        """Note that the connection's statements are gone."""
        self._names.clear()

    def find_evictable(self, added: int, kept: set[bytes]) -> list[bytes]:
        """Return which statements to close before ``added`` more are parsed.

        :param kept: names that must stay, because the request uses them.
        """
        surplus = len(self._names) + added - MAX_CONNECTION_STATEMENTS
        if surplus <= 0:
            return []
        unused = [name for name in self._names if name not in kept]
        return unused[:surplus]
