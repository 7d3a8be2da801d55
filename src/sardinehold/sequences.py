"""Requests as callers send them: simple queries and extended sequences.

An extended sequence is kept message by message until its Sync, so that it can
be sent again, and its statement names be replaced by those of the connection
that it goes to.
"""

import functools

from sardinehold import errors
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import sequence_rewriting
from sardinehold import wire
from sardinehold.core import classifier
from sardinehold.core import statements

CACHE_ENTRIES = 4096
"""Query messages whose traits are kept."""

MAX_CACHED = 1024
"""Bytes of the longest message whose traits are kept."""

_LOCAL = statements.Traits(statements.Kind.EMPTY)
_DISCARD = statements.Kind.DISCARD
_READ = statements.Traits(statements.Kind.READ)
_WRITE = statements.Traits(statements.Kind.WRITE)


class SimpleQuery:
    """A Query message.

    :param raw: the message as it came.
    :param traits: how it may be routed.
    """

    __slots__ = ("raw", "traits", "size")

    in_pipeline = False

    def __init__(self, raw: bytes) -> None:
        """Classify the text.

        :raises sardinehold.errors.ProtocolViolation: the text is malformed.
        """
        self.raw = raw
        self.size = len(raw)
        if self.size > MAX_CACHED:
            self.traits = _read_traits(raw)
        else:
            self.traits = _read_cached_traits(raw)

    def compose(
        self, known: prepared.ConnectionStatements
    ) -> sequence_messages.Outgoing:
        """Return what to send to a connection that has parsed ``known``."""
        if self.traits.kind is _DISCARD:
            known.clear()
        return sequence_messages.Outgoing(self.raw, None)

    def undo(self, confirmed: int) -> None:
        """Take back what the request did to the session; nothing."""

    def answer_locally(self, tag: str, column: str, value: str) -> bytes:
        """Return the answer to a statement that needs no endpoint."""
        rows = b""
        if column:
            rows = wire.build_row_description([column]) + wire.build_row([value])
        return rows + _complete(tag)


def _read_traits(raw: bytes) -> statements.Traits:
    """Return the traits of a Query message."""
    if raw[-1] != 0:
        raise errors.ProtocolViolation(
            "A query is not terminated.", "Use a PostgreSQL driver."
        )
    return classifier.classify(wire.decode(raw[wire.HEADER : -1]))


_read_cached_traits = functools.lru_cache(maxsize=CACHE_ENTRIES)(_read_traits)


def _complete(tag: str) -> bytes:
    return wire.build_complete(tag) if tag else wire.build_frame(b"I")


class Sequence:
    """An extended sequence up to its Sync.

    :param session: the statements of the session; a Parse changes them at
        once, :meth:`undo` takes that back.
    """

    __slots__ = (
        "session",
        "parts",
        "size",
        "binds",
        "undo_entries",
        "needs_rewriting",
        "_has_unnamed",
        "_traits",
    )

    def __init__(self, session: prepared.SessionStatements) -> None:
        """Start with no message."""
        self.session = session
        self.parts: list[sequence_messages.SequenceMessage] = []
        self.size = 0
        self.binds = 0
        self.undo_entries: list[tuple[bytes, prepared.Statement | None]] = []
        self.needs_rewriting = False
        self._has_unnamed = False
        self._traits: list[statements.Traits] = []

    def add(self, kind: int, raw: bytes) -> None:
        """Add a message.

        :raises sardinehold.errors.ProtocolViolation: it is malformed.
        :raises sardinehold.errors.Unsupported: too many statements.
        :raises sardinehold.errors.UnknownStatement: it names none.
        """
        part = sequence_messages.SequenceMessage(kind, raw)
        self.size += len(raw)
        if kind == sequence_messages.PARSE:
            self._add_parse(part)
        elif kind == sequence_messages.BIND:
            self._add_bind(part)
        elif not part.on_portal:
            self._add_name(part)
        elif kind == sequence_messages.EXECUTE and not self.binds:
            self._traits.append(_WRITE)
        self.parts.append(part)

    def _add_parse(self, part: sequence_messages.SequenceMessage) -> None:
        part.statement = prepared.find_statement(part.rest)
        before = self.session.get(part.name)
        self.session.put(part.name, part.statement)
        self.undo_entries.append((part.name, before))
        self.needs_rewriting = self.needs_rewriting or bool(part.name)
        self._has_unnamed = self._has_unnamed or not part.name

    def _add_bind(self, part: sequence_messages.SequenceMessage) -> None:
        self.binds += 1
        self._add_name(part)
        self._traits.append(part.statement.traits)

    def _add_name(self, part: sequence_messages.SequenceMessage) -> None:
        part.statement = self.session.get(part.name)
        if part.kind == sequence_messages.CLOSE:
            self.session.drop(part.name)
            self.undo_entries.append((part.name, part.statement))
            self.needs_rewriting = True
        elif part.statement is None:
            raise errors.UnknownStatement(
                f"The prepared statement {part.name.decode(errors='replace')!r}"
                " does not exist.",
                "Prepare the statement again.",
            )
        elif part.name or not self._has_unnamed:
            self.needs_rewriting = True

    @property
    def traits(self) -> statements.Traits:
        """How the sequence may be routed: the strongest of its parts."""
        if self._traits:
            return statements.merge_traits(self._traits)
        return _READ if self.parts else _LOCAL

    @property
    def last_traits(self) -> statements.Traits:
        """How the last statement that it runs may be routed."""
        return self._traits[-1] if self._traits else _READ

    @property
    def in_pipeline(self) -> bool:
        """Whether it holds more than one statement."""
        return self.binds > 1

    @property
    def is_local(self) -> bool:
        """Whether it holds nothing that an endpoint must see."""
        return all(self._is_local(part) for part in self.parts)

    def _is_local(self, part: sequence_messages.SequenceMessage) -> bool:
        if part.kind == sequence_messages.CLOSE:
            return not part.on_portal
        if self.binds or part.statement is None:
            return False
        return part.statement.traits.setting.startswith("sardinehold.")

    def compose(
        self, known: prepared.ConnectionStatements
    ) -> sequence_messages.Outgoing:
        """Return what to send to a connection that has parsed ``known``."""
        if not self.needs_rewriting:
            raw = b"".join([part.raw for part in self.parts])
            return sequence_messages.Outgoing(raw + wire.SYNC)
        payload, steps = sequence_rewriting.SequenceRewriter(known).compose(self.parts)
        plain = all(step is sequence_messages.FORWARD for step in steps)
        return sequence_messages.Outgoing(payload + wire.SYNC, None if plain else steps)

    def undo(self, confirmed: int) -> None:
        """Take back the changes to the session behind the first ``confirmed``.

        The unnamed statement is dropped, never put back: an older text must
        not run in place of the one that failed.

        :param confirmed: how many of its Parse and Close messages succeeded.
        """
        for name, before in reversed(self.undo_entries[confirmed:]):
            self.session.restore(name, before if name else None)

    def answer_locally(self, tag: str, column: str, value: str) -> bytes:
        """Return the answers of a sequence that needs no endpoint."""
        description = wire.build_row_description([column]) if column else wire.NO_DATA
        answers = []
        for part in self.parts:
            if part.kind == sequence_messages.PARSE:
                answers.append(wire.PARSE_COMPLETE)
            elif part.kind == sequence_messages.BIND:
                answers.append(wire.BIND_COMPLETE)
            elif part.kind == sequence_messages.CLOSE:
                answers.append(wire.CLOSE_COMPLETE)
            elif part.kind == sequence_messages.DESCRIBE:
                if not part.on_portal:
                    answers.append(wire.build_frame(b"t", b"\0\0"))
                answers.append(description)
            elif part.kind == sequence_messages.EXECUTE:
                answers.append(wire.build_row([value]) if column else b"")
                answers.append(_complete(tag))
        return b"".join(answers)

    def describe_locally(self) -> bytes:
        """Return the answers of a sequence that is local and runs nothing."""
        column = ""
        for part in self.parts:
            if part.statement and part.statement.traits.kind is statements.Kind.SHOW:
                column = part.statement.traits.setting
        return self.answer_locally("", column, "")
