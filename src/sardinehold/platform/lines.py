"""The line protocol that callers and endpoints speak.

A line is a word and its fields, separated by one blank and ended by CR LF; the
last field extends to the end of the line. Bytes are kept as Latin-1 text, so
that what is passed on is what came in.
"""

MAX_LINE = 1024 * 1024
"""Bytes that a line may have, its end included; a limit of the protocol."""

ENCODING = "latin-1"
"""Maps every byte to one character and back."""

_END = b"\r\n"


class LineTooLong(Exception):
    """A line exceeds ``MAX_LINE``."""


class MalformedLine(Exception):
    """A line holds a stray CR or LF, or lacks fields of its word."""


class LineReader:
    """Cuts a stream of bytes into lines."""

    __slots__ = ("_buffer", "_searched")

    def __init__(self) -> None:
        """Start with nothing received."""
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data: bytes) -> list[str]:
        """Take bytes and return the lines that they complete.

        :raises LineTooLong: a line exceeds the limit.
        :raises MalformedLine: a line holds a stray CR or LF.
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
        # The CR of an end may be the last byte so far.
        self._searched = max(0, len(self._buffer) - 1)
        return completed


def split_fields(line: str, count: int) -> list[str]:
    """Return the word and at most ``count`` fields of a line.

    :raises MalformedLine: a field in front of the last one is empty.
    """
    parts = line.split(" ", count)
    if any(not part for part in parts[:-1]):
        raise MalformedLine
    return parts


def format_line(*parts: str) -> bytes:
    """Return the bytes of a line."""
    return " ".join(parts).encode(ENCODING) + _END
