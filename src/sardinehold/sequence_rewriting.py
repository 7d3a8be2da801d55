"""Renames the statements of a sequence for one endpoint connection."""

from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import wire


class SequenceRewriter:
    """Renames the statements of a sequence for one connection.

    One composer serves a sequence that is sent in several pieces.

    :param known: the statements that the connection has parsed.
    """

    __slots__ = ("known", "parsed_names", "messages", "steps")

    def __init__(self, known: prepared.ConnectionStatements) -> None:
        """Start with nothing composed."""
        self.known = known
        self.parsed_names: set[bytes] = set()
        self.messages: list[bytes] = []
        self.steps: list[sequence_messages.ExpectedAnswer] = []

    def compose(
        self, piece: list[sequence_messages.SequenceMessage]
    ) -> sequence_messages.Outgoing:
        """Return what to send of a piece, and what becomes of each answer."""
        self.messages = []
        self.steps = []
        self._close_surplus(piece)
        for part in piece:
            if part.kind == sequence_messages.PARSE and part.name:
                self._parse(part.statement, True)
            elif part.kind == sequence_messages.CLOSE and not part.on_portal:
                step = sequence_messages.ExpectedAnswer(
                    injected=wire.CLOSE_COMPLETE, confirms=True
                )
                self.steps.append(step)
            elif (
                part.statement is None
                or part.on_portal
                or part.kind == sequence_messages.PARSE
            ):
                self._pass(part)
            else:
                self._use(part)
        return sequence_messages.Outgoing(b"".join(self.messages), self.steps)

    def _close_surplus(self, piece: list[sequence_messages.SequenceMessage]) -> None:
        used = {
            part.statement.name
            for part in piece
            if part.statement and part.name and part.kind != sequence_messages.CLOSE
        }
        used -= self.parsed_names
        missing = [name for name in used if not self.known.touch(name)]
        self.parsed_names |= used.difference(missing)
        for name in self.known.find_surplus(len(missing), self.parsed_names):
            self.messages.append(wire.build_frame(b"C", b"S" + name + b"\0"))
            self.steps.append(
                sequence_messages.ExpectedAnswer(suppressed=True, dropped=name)
            )

    def _parse(self, statement: prepared.Statement, visible: bool) -> None:
        """Send a Parse unless the connection has the statement."""
        name = statement.name
        if name in self.parsed_names:
            if visible:
                step = sequence_messages.ExpectedAnswer(
                    injected=wire.PARSE_COMPLETE, confirms=True
                )
                self.steps.append(step)
            return
        self.parsed_names.add(name)
        self.messages.append(statement.build_parse(name))
        step = sequence_messages.ExpectedAnswer(
            suppressed=not visible, added=name, confirms=visible
        )
        self.steps.append(step)

    def _pass(self, part: sequence_messages.SequenceMessage) -> None:
        self.messages.append(part.raw)
        if part.kind == sequence_messages.PARSE:
            self.parsed_names.add(b"")
            self.steps.append(sequence_messages.ExpectedAnswer(confirms=True))
        else:
            self.steps.append(sequence_messages.FORWARD)

    def _use(self, part: sequence_messages.SequenceMessage) -> None:
        """Send a Bind or Describe of a statement under its new name."""
        if part.name:
            self._parse(part.statement, False)
            self.messages.append(part.rename(part.statement.name))
        else:
            self._parse_unnamed(part.statement)
            self.messages.append(part.raw)
        self.steps.append(sequence_messages.FORWARD)

    def _parse_unnamed(self, statement: prepared.Statement) -> None:
        if b"" in self.parsed_names:
            return
        self.parsed_names.add(b"")
        self.messages.append(statement.build_parse(b""))
        self.steps.append(sequence_messages.ExpectedAnswer(suppressed=True))
