"""Named prepared statements that work with transaction pooling.

A session stores its statements under the caller's names; on an endpoint
connection a statement's name is a hash of its text and parameter types. If a
connection lacks a statement, the proxy prepares it there first, without the
caller's knowledge. Naming by content, as in several other poolers, lets
sessions share the statements that a connection has parsed.
"""

import collections
import hashlib
import weakref

from sardinehold import errors
from sardinehold import wire
from sardinehold.core import classifier

MAX_SESSION_STATEMENTS = 1_000
"""Maximum prepared statements of one session."""

MAX_CONNECTION_STATEMENTS = 200
"""Maximum prepared statements of one endpoint connection; above it the least recently
used ones are closed."""

_PREFIX = b"sardinehold_"
_NAME_BYTES = 12
_shared_statements: "weakref.WeakValueDictionary[bytes, Statement]" = (
    weakref.WeakValueDictionary()
)


class Statement:
    """A statement's text and parameter types, shared by all sessions.

    :param name: its name on endpoint connections.
    :param body: bytes after the name in a Parse message.
    :param traits: properties that decide its routing.
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
        """Build a Parse message that prepares the statement as ``name``."""
        return wire.build_frame(b"P", name + b"\0" + self.body)


def find_statement(body: bytes) -> Statement:
    """Return the shared statement with this text and these parameter types."""
    statement = _shared_statements.get(body)
    if statement is None:
        statement = _shared_statements[body] = Statement(body)
    return statement


class SessionStatements:
    """Prepared statements of one session, by the caller's names.

    The unnamed statement has the empty name.
    """

    __slots__ = ("_statements",)

    def __init__(self) -> None:
        """Create an empty registry."""
        self._statements: dict[bytes, Statement] = {}

    def get(self, name: bytes) -> Statement | None:
        """Return the statement with a name, None if there is none."""
        return self._statements.get(name)

    def put(self, name: bytes, statement: Statement) -> None:
        """Store a statement.

        :raises sardinehold.errors.Unsupported: the session has reached
            ``MAX_SESSION_STATEMENTS``.
        """
        known = self._statements
        if name not in known and len(known) >= MAX_SESSION_STATEMENTS:
            raise errors.Unsupported(
                f"The session has {MAX_SESSION_STATEMENTS} prepared statements,"
                " the maximum.",
                "Close statements that are no longer used.",
            )
        known[name] = statement

    def restore(self, name: bytes, statement: Statement | None) -> None:
        """Restore the statement that ``name`` had before a failed Parse."""
        if statement is None:
            self._statements.pop(name, None)
        else:
            self._statements[name] = statement

    def drop(self, name: bytes) -> bool:
        """Remove a statement; return whether it existed."""
        return self._statements.pop(name, None) is not None

    def clear(self) -> None:
        """Remove all statements."""
        self._statements.clear()


class ConnectionStatements:
    """Prepared statements of one endpoint connection, least recently used first."""

    __slots__ = ("_names",)

    def __init__(self) -> None:
        """Create an empty registry."""
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
        """Add a statement after the endpoint confirmed its Parse."""
        self._names[name] = None

    def discard(self, name: bytes) -> None:
        """Remove a statement after the endpoint confirmed its Close."""
        self._names.pop(name, None)

    def clear(self) -> None:
        """Remove all statements, which the endpoint has dropped."""
        self._names.clear()

    def find_evictable(self, added: int, kept: set[bytes]) -> list[bytes]:
        """Return the statements to close before ``added`` more are parsed.

        :param kept: names that the request uses and that must not be closed.
        """
        surplus = len(self._names) + added - MAX_CONNECTION_STATEMENTS
        if surplus <= 0:
            return []
        unused = [name for name in self._names if name not in kept]
        return unused[:surplus]
