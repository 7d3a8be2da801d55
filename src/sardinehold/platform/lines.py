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

    :raises ValueError: a field has characters that the encoding lacks.
    """
    return " ".join(parts).encode(ENCODING) + _END


def check_field(text: str) -> str:
    """Return a text that can be a field of a line, other than the last.

    :raises ValueError: it is empty, or has blanks or characters that no line can have.
    """
    if not text or not text.isprintable() or " " in text:
        raise ValueError(f"field {text!r}")
    text.encode(ENCODING)
    return text
