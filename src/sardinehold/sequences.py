"""Requests as callers send them: simple queries and extended sequences.

An extended sequence is kept message by message until its Sync, so that it can
be sent again, and its statement names be replaced by those of the connection
that it goes to.
"""

import functools
import typing

from sardinehold import errors
from sardinehold import prepared
from sardinehold import wire
from sardinehold.core import classify
from sardinehold.core import statements

PARSE = ord("P")
BIND = ord("B")
DESCRIBE = ord("D")
EXECUTE = ord("E")
CLOSE = ord("C")

CACHE_ENTRIES = 4096
"""Query messages whose traits are kept."""

MAX_CACHED = 1024
"""Bytes of the longest message whose traits are kept."""

_LOCAL = statements.Traits(statements.Kind.EMPTY)
_DISCARD = statements.Kind.DISCARD
_READ = statements.Traits(statements.Kind.READ)
_WRITE = statements.Traits(statements.Kind.WRITE)


class Step:
    """One expected answer of an endpoint, and what becomes of it.

    :param injected: an answer to give in its place, for a message that was
        not sent; the endpoint answers nothing then.
    :param swallowed: whether the caller must not see it.
    :param added: statement that the connection has once this is confirmed.
    :param dropped: statement that the connection then no longer has.
    :param confirms: whether it confirms a change to the session's statements.
    """

    __slots__ = ("injected", "swallowed", "added", "dropped", "confirms")

    def __init__(
        self,
        injected: bytes = b"",
        swallowed: bool = False,
        added: bytes = b"",
        dropped: bytes = b"",
        confirms: bool = False,
    ) -> None:
        """Keep the parts of the step."""
        self.injected = injected
        self.swallowed = swallowed
        self.added = added
        self.dropped = dropped
        self.confirms = confirms


_FORWARD = Step()


class Outgoing(typing.NamedTuple):
    """What is sent to an endpoint.

    :param steps: None when all answers pass through as they are.
    """

    payload: bytes
    steps: list[Step] | None = None


class Part:
    """One message of an extended sequence.

    :param name: the statement that it names, as the caller knows it.
    :param prefix: of a Bind, the portal with its terminator.
    :param rest: of a Bind, what follows the statement's name.
    """

    __slots__ = ("kind", "raw", "name", "statement", "prefix", "rest", "on_portal")

    def __init__(self, kind: int, raw: bytes) -> None:
        """Read the names in a message.

        :raises sardinehold.errors.ProtocolViolation: it is malformed.
        """
        self.kind = kind
        self.raw = raw
        self.name = b""
        self.statement: prepared.Statement | None = None
        self.prefix = b""
        self.rest = b""
        self.on_portal = False
        payload = raw[wire.HEADER :]
        if kind == BIND:
            portal, self.name, self.rest = _split(payload, 2)
            self.prefix = portal + b"\0"
        elif kind == PARSE:
            self.name, self.rest = _split(payload, 1)
        elif kind in (DESCRIBE, CLOSE):
            self.on_portal = payload[:1] != b"S"
            self.name = _split(payload[1:], 1)[0]
        elif kind == EXECUTE:
            self.name = _split(payload, 1)[0]
            self.on_portal = True

    def rename(self, name: bytes) -> bytes:
        """Return the message with another statement name."""
        if self.kind == BIND:
            return wire.build_frame(b"B", self.prefix + name + b"\0" + self.rest)
        return wire.build_frame(bytes((self.kind,)), b"S" + name + b"\0")


def _split(payload: bytes, strings: int) -> list[bytes]:
    parts = payload.split(b"\0", strings)
    if len(parts) <= strings:
        raise errors.ProtocolViolation(
            "A name in a message is not terminated.", "Use a PostgreSQL driver."
        )
    return parts


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

    def compose(self, known: prepared.ConnectionStatements) -> Outgoing:
        """Return what to send to a connection that has parsed ``known``."""
        if self.traits.kind is _DISCARD:
            known.clear()
        return Outgoing(self.raw, None)

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
    return classify.classify(wire.decode(raw[wire.HEADER : -1]))


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
        "replaced",
        "renames",
        "_has_unnamed",
        "_traits",
    )

    def __init__(self, session: prepared.SessionStatements) -> None:
        """Start with no message."""
        self.session = session
        self.parts: list[Part] = []
        self.size = 0
        self.binds = 0
        self.replaced: list[tuple[bytes, prepared.Statement | None]] = []
        self.renames = False
        self._has_unnamed = False
        self._traits: list[statements.Traits] = []

    def add(self, kind: int, raw: bytes) -> None:
        """Add a message.

        :raises sardinehold.errors.ProtocolViolation: it is malformed.
        :raises sardinehold.errors.Unsupported: too many statements.
        :raises sardinehold.errors.UnknownStatement: it names none.
        """
        part = Part(kind, raw)
        self.size += len(raw)
        if kind == PARSE:
            self._add_parse(part)
        elif kind == BIND:
            self._add_bind(part)
        elif not part.on_portal:
            self._add_name(part)
        elif kind == EXECUTE and not self.binds:
            self._traits.append(_WRITE)
        self.parts.append(part)

    def _add_parse(self, part: Part) -> None:
        part.statement = prepared.find_statement(part.rest)
        before = self.session.get(part.name)
        self.session.put(part.name, part.statement)
        self.replaced.append((part.name, before))
        self.renames = self.renames or bool(part.name)
        self._has_unnamed = self._has_unnamed or not part.name

    def _add_bind(self, part: Part) -> None:
        self.binds += 1
        self._add_name(part)
        self._traits.append(part.statement.traits)

    def _add_name(self, part: Part) -> None:
        part.statement = self.session.get(part.name)
        if part.kind == CLOSE:
            self.session.drop(part.name)
            self.replaced.append((part.name, part.statement))
            self.renames = True
        elif part.statement is None:
            raise errors.UnknownStatement(
                f"The prepared statement {part.name.decode(errors='replace')!r}"
                " does not exist.",
                "Prepare the statement again.",
            )
        elif part.name or not self._has_unnamed:
            self.renames = True

    @property
    def traits(self) -> statements.Traits:
        """How the sequence may be routed: the strongest of its parts."""
        if self._traits:
            return merge_traits(self._traits)
        return _READ if self.parts else _LOCAL

    @property
    def in_pipeline(self) -> bool:
        """Whether it holds more than one statement."""
        return self.binds > 1

    @property
    def is_local(self) -> bool:
        """Whether it holds nothing that an endpoint must see."""
        return all(self._is_local(part) for part in self.parts)

    def _is_local(self, part: Part) -> bool:
        if part.kind == CLOSE:
            return not part.on_portal
        if self.binds or part.statement is None:
            return False
        return part.statement.traits.setting.startswith("sardinehold.")

    def compose(self, known: prepared.ConnectionStatements) -> Outgoing:
        """Return what to send to a connection that has parsed ``known``."""
        if not self.renames:
            raw = b"".join([part.raw for part in self.parts])
            return Outgoing(raw + wire.SYNC)
        return _Composer(self, known).compose()

    def undo(self, confirmed: int) -> None:
        """Take back the changes to the session behind the first ``confirmed``.

        The unnamed statement is dropped, never put back: an older text must
        not run in place of the one that failed.

        :param confirmed: how many of its Parse and Close messages succeeded.
        """
        for name, before in reversed(self.replaced[confirmed:]):
            self.session.restore(name, before if name else None)

    def answer_locally(self, tag: str, column: str, value: str) -> bytes:
        """Return the answers of a sequence that needs no endpoint."""
        description = wire.build_row_description([column]) if column else wire.NO_DATA
        answers = []
        for part in self.parts:
            if part.kind == PARSE:
                answers.append(wire.PARSE_COMPLETE)
            elif part.kind == BIND:
                answers.append(wire.BIND_COMPLETE)
            elif part.kind == CLOSE:
                answers.append(wire.CLOSE_COMPLETE)
            elif part.kind == DESCRIBE:
                if not part.on_portal:
                    answers.append(wire.build_frame(b"t", b"\0\0"))
                answers.append(description)
            elif part.kind == EXECUTE:
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


class _Composer:
    """Renames the statements of a sequence for one connection."""

    __slots__ = ("sequence", "known", "has", "messages", "steps")

    def __init__(
        self, sequence: Sequence, known: prepared.ConnectionStatements
    ) -> None:
        self.sequence = sequence
        self.known = known
        self.has: set[bytes] = set()
        self.messages: list[bytes] = []
        self.steps: list[Step] = []

    def compose(self) -> Outgoing:
        self._close_surplus()
        for part in self.sequence.parts:
            if part.kind == PARSE and part.name:
                self._parse(part.statement, True)
            elif part.kind == CLOSE and not part.on_portal:
                step = Step(injected=wire.CLOSE_COMPLETE, confirms=True)
                self.steps.append(step)
            elif part.statement is None or part.on_portal or part.kind == PARSE:
                self._pass(part)
            else:
                self._use(part)
        self.messages.append(wire.SYNC)
        plain = all(step is _FORWARD for step in self.steps)
        return Outgoing(b"".join(self.messages), None if plain else self.steps)

    def _close_surplus(self) -> None:
        used = {
            part.statement.name
            for part in self.sequence.parts
            if part.statement and part.name and part.kind != CLOSE
        }
        missing = [name for name in used if not self.known.touch(name)]
        self.has = used.difference(missing)
        for name in self.known.find_surplus(len(missing), used):
            self.messages.append(wire.build_frame(b"C", b"S" + name + b"\0"))
            self.steps.append(Step(swallowed=True, dropped=name))

    def _parse(self, statement: prepared.Statement, visible: bool) -> None:
        """Send a Parse unless the connection has the statement."""
        name = statement.name
        if name in self.has:
            if visible:
                step = Step(injected=wire.PARSE_COMPLETE, confirms=True)
                self.steps.append(step)
            return
        self.has.add(name)
        self.messages.append(statement.build_parse(name))
        step = Step(swallowed=not visible, added=name, confirms=visible)
        self.steps.append(step)

    def _pass(self, part: Part) -> None:
        self.messages.append(part.raw)
        if part.kind == PARSE:
            self.has.add(b"")
            self.steps.append(Step(confirms=True))
        else:
            self.steps.append(_FORWARD)

    def _use(self, part: Part) -> None:
        """Send a Bind or Describe of a statement under its new name."""
        if part.name:
            self._parse(part.statement, False)
            self.messages.append(part.rename(part.statement.name))
        else:
            self._parse_unnamed(part.statement)
            self.messages.append(part.raw)
        self.steps.append(_FORWARD)

    def _parse_unnamed(self, statement: prepared.Statement) -> None:
        if b"" in self.has:
            return
        self.has.add(b"")
        self.messages.append(statement.build_parse(b""))
        self.steps.append(Step(swallowed=True))


def merge_traits(parts: list[statements.Traits]) -> statements.Traits:
    """Return the traits of several statements sent as one request."""
    if len(parts) == 1:
        return parts[0]
    kind = statements.Kind.READ
    is_open = ends = pins = False
    refusal = ""
    for traits in parts:
        if traits.kind is not statements.Kind.READ:
            kind = statements.Kind.WRITE
        if traits.ends:
            ends = ends or not is_open
            is_open = traits.begins
        is_open = is_open or traits.begins
        pins = pins or traits.pins or _leaves_state(traits)
        refusal = refusal or traits.refusal or _find_misplaced(traits)
    return statements.Traits(
        kind, begins=is_open, ends=ends, pins=pins, refusal=refusal
    )


def _leaves_state(traits: statements.Traits) -> bool:
    kinds = (statements.Kind.SET, statements.Kind.RESET, statements.Kind.DISCARD)
    return traits.kind in kinds and not traits.local


def _find_misplaced(traits: statements.Traits) -> str:
    if traits.setting.startswith("sardinehold."):
        return "Settings of sardinehold must be sent in a statement of their own"
    return ""
