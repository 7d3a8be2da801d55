"""Renaming of a sequence's prepared statements for one endpoint connection."""

from sardinehold import prepared
from sardinehold import sequence_messages
from sardinehold import wire


class SequenceRewriter:
    """Rewrites the messages of one sequence for one connection.

    The same rewriter serves a sequence that is sent in several parts.

    :param known: statements that the connection has parsed.
    """

    __slots__ = ("known", "parsed_names", "messages", "expected_answers")

    def __init__(self, known: prepared.ConnectionStatements) -> None:
        """Create a rewriter for the first part of a sequence."""
        self.known = known
        self.parsed_names: set[bytes] = set()
        self.messages: list[bytes] = []
        self.expected_answers: list[sequence_messages.ExpectedAnswer] = []

    def rewrite(
        self, new_messages: list[sequence_messages.SequenceMessage]
    ) -> sequence_messages.Outgoing:
        """Return the payload for some messages, and the expected answers."""
        self.messages = []
        self.expected_answers = []
        self._append_closes(new_messages)
        for message in new_messages:
            if message.kind == sequence_messages.PARSE and message.name:
                self._append_parse(message.statement, True)
            elif message.kind == sequence_messages.CLOSE and not message.on_portal:
                expected = sequence_messages.ExpectedAnswer(
                    injected=wire.CLOSE_COMPLETE, confirms=True
                )
                self.expected_answers.append(expected)
            elif (
                message.statement is None
                or message.on_portal
                or message.kind == sequence_messages.PARSE
            ):
                self._append_unchanged(message)
            else:
                self._append_renamed(message)
        return sequence_messages.Outgoing(
            b"".join(self.messages), self.expected_answers
        )

    def _append_closes(
        self, new_messages: list[sequence_messages.SequenceMessage]
    ) -> None:
        used = {
            message.statement.name
            for message in new_messages
            if message.statement
            and message.name
            and message.kind != sequence_messages.CLOSE
        }
        used -= self.parsed_names
        missing = [name for name in used if not self.known.touch(name)]
        self.parsed_names |= used.difference(missing)
        for name in self.known.find_evictable(len(missing), self.parsed_names):
            self.messages.append(wire.build_frame(b"C", b"S" + name + b"\0"))
            self.expected_answers.append(
                sequence_messages.ExpectedAnswer(suppressed=True, dropped=name)
            )

    def _append_parse(self, statement: prepared.Statement, visible: bool) -> None:
        """Append a Parse unless the connection has the statement.

        :param visible: whether the caller sent the Parse and expects its answer.
        """
        name = statement.name
        if name in self.parsed_names:
            if visible:
                expected = sequence_messages.ExpectedAnswer(
                    injected=wire.PARSE_COMPLETE, confirms=True
                )
                self.expected_answers.append(expected)
            return
        self.parsed_names.add(name)
        self.messages.append(statement.build_parse(name))
        expected = sequence_messages.ExpectedAnswer(
            suppressed=not visible, added=name, confirms=visible
        )
        self.expected_answers.append(expected)

    def _append_unchanged(self, message: sequence_messages.SequenceMessage) -> None:
        self.messages.append(message.raw)
        if message.kind == sequence_messages.PARSE:
            self.parsed_names.add(b"")
            self.expected_answers.append(
                sequence_messages.ExpectedAnswer(confirms=True)
            )
        else:
            self.expected_answers.append(sequence_messages.FORWARD)

    def _append_renamed(self, message: sequence_messages.SequenceMessage) -> None:
        """Append a Bind or Describe that uses the statement's shared name."""
        if message.name:
            self._append_parse(message.statement, False)
            self.messages.append(message.rename(message.statement.name))
        else:
            self._append_unnamed_parse(message.statement)
            self.messages.append(message.raw)
        self.expected_answers.append(sequence_messages.FORWARD)

    def _append_unnamed_parse(self, statement: prepared.Statement) -> None:
        if b"" in self.parsed_names:
            return
        self.parsed_names.add(b"")
        self.messages.append(statement.build_parse(b""))
        self.expected_answers.append(sequence_messages.ExpectedAnswer(suppressed=True))
