"""Requests as callers send them: simple queries and extended sequences.

The messages of an extended sequence are stored up to its Sync, so that it can be
retried, and so that its statement names can be replaced by those of the
connection that it is sent on.
"""

import functools

from sardinehold import composition
from sardinehold import errors
from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import wire
from sardinehold.core import classifier
from sardinehold.core import statements

CACHE_ENTRIES = 4096
"""Number of Query messages whose traits are cached."""

MAX_CACHED = 1024
"""Bytes of the longest message whose traits are cached."""

_LOCAL = statements.Traits(statements.Kind.EMPTY)
_READ = statements.Traits(statements.Kind.READ)
_WRITE = statements.Traits(statements.Kind.WRITE)


class SimpleQuery:
    """A Query message.

    :param raw: message as received.
    :param traits: properties that decide its routing.
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
        """Return the bytes to send to a connection that has parsed ``known``."""
        if self.traits.discards_all:
            known.clear()
        return sequence_messages.Outgoing(self.raw, None)

    def undo(self, confirmed: int) -> None:
        """Do nothing: a simple query changes no state of the session here."""

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

    :param session: statements of the session; a Parse changes them immediately,
        and :meth:`undo` reverts the change.
    """

    __slots__ = (
        "session",
        "messages",
        "size",
        "binds",
        "undo_entries",
        "needs_rewriting",
        "_has_unnamed",
        "_traits",
    )

    def __init__(self, session: prepared.SessionStatements) -> None:
        """Create an empty sequence."""
        self.session = session
        self.messages: list[sequence_messages.SequenceMessage] = []
        self.size = 0
        self.binds = 0
        self.undo_entries: list[tuple[bytes, prepared.Statement | None]] = []
        self.needs_rewriting = False
        self._has_unnamed = False
        self._traits: list[statements.Traits] = []

    def add(self, kind: int, raw: bytes) -> None:
        """Append a message.

        :raises sardinehold.errors.ProtocolViolation: the message is malformed.
        :raises sardinehold.errors.Unsupported: the session has too many
            statements.
        :raises sardinehold.errors.UnknownStatement: the session has no statement
            of that name.
        """
        message = sequence_messages.SequenceMessage(kind, raw)
        self.size += len(raw)
        if kind == sequence_messages.PARSE:
            self._add_parse(message)
        elif kind == sequence_messages.BIND:
            self._add_bind(message)
        elif not message.on_portal:
            self._add_name(message)
        elif kind == sequence_messages.EXECUTE and not self.binds:
            self._traits.append(_WRITE)
        self.messages.append(message)

    def _add_parse(self, message: sequence_messages.SequenceMessage) -> None:
        message.statement = prepared.find_statement(message.rest)
        before = self.session.get(message.name)
        self.session.put(message.name, message.statement)
        self.undo_entries.append((message.name, before))
        self.needs_rewriting = self.needs_rewriting or bool(message.name)
        self._has_unnamed = self._has_unnamed or not message.name

    def _add_bind(self, message: sequence_messages.SequenceMessage) -> None:
        self.binds += 1
        self._add_name(message)
        self._traits.append(message.statement.traits)

    def _add_name(self, message: sequence_messages.SequenceMessage) -> None:
        message.statement = self.session.get(message.name)
        if message.kind == sequence_messages.CLOSE:
            self.session.drop(message.name)
            self.undo_entries.append((message.name, message.statement))
            self.needs_rewriting = True
        elif message.statement is None:
            raise errors.UnknownStatement(
                f"The prepared statement {message.name.decode(errors='replace')!r}"
                " does not exist.",
                "Prepare the statement again.",
            )
        elif message.name or not self._has_unnamed:
            self.needs_rewriting = True

    @property
    def traits(self) -> statements.Traits:
        """Merged traits of all statements; the strongest decides the routing."""
        if self._traits:
            return statements.merge_traits(self._traits)
        return _READ if self.messages else _LOCAL

    @property
    def last_traits(self) -> statements.Traits:
        """Traits of the last statement that the sequence runs."""
        return self._traits[-1] if self._traits else _READ

    @property
    def in_pipeline(self) -> bool:
        """Whether the sequence runs more than one statement."""
        return self.binds > 1

    @property
    def is_local(self) -> bool:
        """Whether the proxy can answer the sequence without an endpoint."""
        return all(self._is_local(message) for message in self.messages)

    def _is_local(self, message: sequence_messages.SequenceMessage) -> bool:
        if message.kind == sequence_messages.CLOSE:
            return not message.on_portal
        if self.binds or message.statement is None:
            return False
        return message.statement.traits.setting.startswith("sardinehold.")

    def compose(
        self, known: prepared.ConnectionStatements
    ) -> sequence_messages.Outgoing:
        """Return the bytes to send to a connection that has parsed ``known``."""
        if not self.needs_rewriting:
            raw = b"".join([message.raw for message in self.messages])
            return sequence_messages.Outgoing(raw + wire.SYNC)
        payload, expected_answers = composition.SequenceRewriter(known).rewrite(
            self.messages
        )
        plain = all(
            expected is sequence_messages.FORWARD for expected in expected_answers
        )
        return sequence_messages.Outgoing(
            payload + wire.SYNC, None if plain else expected_answers
        )

    def undo(self, confirmed: int) -> None:
        """Revert the changes to the session after the first ``confirmed`` ones.

        The unnamed statement is dropped, never restored: an older text must not
        run in place of the one that failed.

        :param confirmed: number of its Parse and Close messages that succeeded.
        """
        for name, before in reversed(self.undo_entries[confirmed:]):
            self.session.restore(name, before if name else None)

    def answer_locally(self, tag: str, column: str, value: str) -> bytes:
        """Return the answers to a sequence that needs no endpoint."""
        description = wire.build_row_description([column]) if column else wire.NO_DATA
        answers = []
        for message in self.messages:
            if message.kind == sequence_messages.PARSE:
                answers.append(wire.PARSE_COMPLETE)
            elif message.kind == sequence_messages.BIND:
                answers.append(wire.BIND_COMPLETE)
            elif message.kind == sequence_messages.CLOSE:
                answers.append(wire.CLOSE_COMPLETE)
            elif message.kind == sequence_messages.DESCRIBE:
                if not message.on_portal:
                    answers.append(wire.build_frame(b"t", b"\0\0"))
                answers.append(description)
            elif message.kind == sequence_messages.EXECUTE:
                answers.append(wire.build_row([value]) if column else b"")
                answers.append(_complete(tag))
        return b"".join(answers)

    def describe_locally(self) -> bytes:
        """Return the answers to a local sequence that runs nothing."""
        column = ""
        for message in self.messages:
            if (
                message.statement
                and message.statement.traits.kind is statements.Kind.SHOW
            ):
                column = message.statement.traits.setting
        return self.answer_locally("", column, "")
