"""Renames the statements of a sequence for one endpoint connection."""

from sardinehold import parts
from sardinehold import prepared
from sardinehold import wire


class Composer:
    """Renames the statements of a sequence for one connection.

    One composer serves a sequence that is sent in several pieces.

    :param known: the statements that the connection has parsed.
    """

    __slots__ = ("known", "has", "messages", "steps")

    def __init__(self, known: prepared.ConnectionStatements) -> None:
        """Start with nothing composed."""
        self.known = known
        self.has: set[bytes] = set()
        self.messages: list[bytes] = []
        self.steps: list[parts.Step] = []

    def compose(self, piece: list[parts.Part]) -> parts.Outgoing:
        """Return what to send of a piece, and what becomes of each answer."""
        self.messages = []
        self.steps = []
        self._close_surplus(piece)
        for part in piece:
            if part.kind == parts.PARSE and part.name:
                self._parse(part.statement, True)
            elif part.kind == parts.CLOSE and not part.on_portal:
                step = parts.Step(injected=wire.CLOSE_COMPLETE, confirms=True)
                self.steps.append(step)
            elif part.statement is None or part.on_portal or part.kind == parts.PARSE:
                self._pass(part)
            else:
                self._use(part)
        return parts.Outgoing(b"".join(self.messages), self.steps)

    def _close_surplus(self, piece: list[parts.Part]) -> None:
        used = {
            part.statement.name
            for part in piece
            if part.statement and part.name and part.kind != parts.CLOSE
        }
        used -= self.has
        missing = [name for name in used if not self.known.touch(name)]
        self.has |= used.difference(missing)
        for name in self.known.find_surplus(len(missing), self.has):
            self.messages.append(wire.build_frame(b"C", b"S" + name + b"\0"))
            self.steps.append(parts.Step(swallowed=True, dropped=name))

    def _parse(self, statement: prepared.Statement, visible: bool) -> None:
        """Send a Parse unless the connection has the statement."""
        name = statement.name
        if name in self.has:
            if visible:
                step = parts.Step(injected=wire.PARSE_COMPLETE, confirms=True)
                self.steps.append(step)
            return
        self.has.add(name)
        self.messages.append(statement.build_parse(name))
        step = parts.Step(swallowed=not visible, added=name, confirms=visible)
        self.steps.append(step)

    def _pass(self, part: parts.Part) -> None:
        self.messages.append(part.raw)
        if part.kind == parts.PARSE:
            self.has.add(b"")
            self.steps.append(parts.Step(confirms=True))
        else:
            self.steps.append(parts.FORWARD)

    def _use(self, part: parts.Part) -> None:
        """Send a Bind or Describe of a statement under its new name."""
        if part.name:
            self._parse(part.statement, False)
            self.messages.append(part.rename(part.statement.name))
        else:
            self._parse_unnamed(part.statement)
            self.messages.append(part.raw)
        self.steps.append(parts.FORWARD)

    def _parse_unnamed(self, statement: prepared.Statement) -> None:
        if b"" in self.has:
            return
        self.has.add(b"")
        self.messages.append(statement.build_parse(b""))
        self.steps.append(parts.Step(swallowed=True))
