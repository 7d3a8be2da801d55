"""Framing of the line protocol between callers, the node and endpoints.

A line consists of a word and its fields, separated by one space and terminated
by CR LF; the last field extends to the end of the line. Bytes are decoded as
Latin-1, so that forwarded lines are byte-identical to received ones.
"""

MAX_LINE = 1024 * 1024
"""Maximum bytes of a line including its CR LF, as the protocol states."""

ENCODING = "latin-1"
"""Encoding that maps every byte to one character and back."""

_END = b"\r\n"


class LineTooLong(Exception):
    """A line exceeds ``MAX_LINE``."""


class MalformedLine(Exception):
    """A line contains a stray CR or LF, or a field is missing or empty."""


class InvalidField(ValueError):
    """A text would not be read as the field that it is written as."""


class LineReader:
    """Splits a byte stream into lines."""

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        """Create a reader with an empty buffer."""
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[str]:
        """Buffer bytes and return the lines that they complete.

        :raises LineTooLong: a line exceeds ``MAX_LINE``.
        :raises MalformedLine: a line contains a stray CR or LF.
        """
        self._buffer += data
        completed = []
        start = 0
        while True:
            end = self._buffer.find(_END, max(start, self._searched))
            if end < 0:
                break
            if end + len(_END) - start > MAX_LINE:
                raise LineTooLong
            line = bytes(self._buffer[start:end])
            if b"\r" in line or b"\n" in line:
                raise MalformedLine
            completed.append(line.decode(ENCODING))
            start = end + len(_END)
        del self._buffer[:start]
        if len(self._buffer) > MAX_LINE:
            raise LineTooLong
        # The last byte may be the CR of a terminator whose LF is yet to arrive.
        self._searched = max(0, len(self._buffer) - 1)
        return completed


class LineQueue:
    """Holds received bytes and returns their lines one by one.

    Waiting lines stay bytes: a chunk of short lines would need many times its size as
    strings.
    """

    __slots__ = ("_buffer", "_complete", "_tail")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._buffer = bytearray()
        self._complete = 0
        self._tail = 0

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return len(self._buffer)

    def feed(self, data: bytes) -> int:
        """Buffer bytes; return the number of lines that they complete.

        :raises LineTooLong: the unfinished line already exceeds ``MAX_LINE``.
        """
        # The last byte may be the CR of a terminator whose LF is in the data.
        start = max(self._tail, len(self._buffer) - 1)
        self._buffer += data
        found = self._buffer.count(_END, start)
        if found:
            self._complete += found
            self._tail = self._buffer.rfind(_END, start) + len(_END)
        if self.count_unfinished() > MAX_LINE:
            raise LineTooLong
        return found

    def has_lines(self) -> bool:
        """Return whether a complete line waits."""
        return self._complete > 0

    def count_lines(self) -> int:
        """Return the number of complete lines that wait."""
        return self._complete

    def count_unfinished(self) -> int:
        """Return the number of bytes of the unfinished line."""
        return len(self._buffer) - self._tail

    def take(self) -> str:
        """Remove and return the next complete line.

        :raises LineTooLong: it exceeds ``MAX_LINE``.
        :raises MalformedLine: it contains a stray CR or LF.
        """
        end = self._buffer.find(_END)
        length = end + len(_END)
        if length > MAX_LINE:
            raise LineTooLong
        line = self._buffer[:end].decode(ENCODING)
        del self._buffer[:length]
        self._complete -= 1
        self._tail -= length
        if "\r" in line or "\n" in line:
            raise MalformedLine
        return line

    def drop_unfinished(self) -> None:
        """Drop the bytes of the unfinished line."""
        del self._buffer[self._tail :]

    def clear(self) -> None:
        """Drop all bytes."""
        self._buffer = bytearray()
        self._complete = self._tail = 0


def split_fields(line: str, count: int) -> list[str]:
    """Split a line into its word and at most ``count`` fields.

    :raises MalformedLine: the word or a field other than the last is empty.
    """
    parts = line.split(" ", count)
    if any(not part for part in parts[:-1]):
        raise MalformedLine
    return parts


def format_line(*parts: str) -> bytes:
    """Encode a line from its word and fields.

    All but the last end at a blank and cannot have one: whoever reads the line finds
    the same fields.

    :raises InvalidField: one that is not the last is empty or has a blank, or one
        contains the end of a line.
    :raises ValueError: one has letters beyond Latin-1.
    :raises LineTooLong: the line exceeds ``MAX_LINE``.
    """
    text = " ".join(parts)
    last = len(text) - len(parts[-1])
    if text.count(" ", 0, last) != len(parts) - 1 or "" in parts[:-1]:
        raise InvalidField(f"one of the fields {text[:last]!r:.80} has a blank")
    if "\r" in text or "\n" in text:
        raise InvalidField(f"a field of {parts[0]!r:.80} contains the end of a line")
    if len(text) + len(_END) > MAX_LINE:
        raise LineTooLong
    return text.encode(ENCODING) + _END


def format_message(*fields: str, text: str) -> bytes:
    """Encode a line that ends with a text for people, which may quote anything.

    Characters that no line can have are escaped, and what exceeds ``MAX_LINE`` is cut.

    :raises ValueError: a field is empty or has a blank.
    """
    room = MAX_LINE - len(format_line(*fields, ""))
    text = text[:room].replace("\r", "\\r").replace("\n", "\\n")
    escaped = text.encode(ENCODING, "backslashreplace").decode(ENCODING)
    return format_line(*fields, escaped[:room])


def check_field(text: str) -> str:
    """Return a text that can be a field of a line, other than the last.

    :raises ValueError: it is empty, or has blanks or characters that no line can have.
    """
    if not text or not text.isprintable() or " " in text:
        raise ValueError(f"field {text!r}")
    text.encode(ENCODING)
    return text


def is_field(text: str) -> bool:
    """Return whether a text can be a field of a line, other than the last."""
    try:
        check_field(text)
    except ValueError:
        return False
    return True
