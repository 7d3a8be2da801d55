"""Structured logging: one JSON object per event, rate-limited and non-blocking.

Lines are written to standard output through logbook. When the limit per second is
reached, lines of ordinary successes are dropped first; dropped lines are counted and
the count is logged.
"""

import json
import os
import sys
import time
import typing

import logbook

from sardinehold import errors
from sardinehold import metrics
from sardinehold.node import occurrences

MAX_BYTES_PER_SECOND = 64 * 1024
"""Maximum bytes of log lines that a process writes per second."""

ORDINARY_SHARE = 0.5
"""Fraction of the bytes that lines of ordinary successes may use."""

MAX_FIELD = 200
"""Maximum characters of a field; longer values are truncated."""

log = logbook.Logger("journal")


class Handler(logbook.Handler):
    """Log handler that writes to a file descriptor without blocking."""

    def __init__(self, descriptor: int | None = None) -> None:
        """Initialize the handler; ``descriptor`` defaults to standard output."""
        super().__init__(level=logbook.INFO)
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        os.set_blocking(self._descriptor, False)
        self._is_cut = False
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record; count it as dropped if the descriptor does not take it.

        A pipe may take the start of a long line: the next one ends it.
        """
        end = b"\n" if self._is_cut else b""
        data = end + record.message.encode() + b"\n"
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            self.dropped += 1
            return
        self._is_cut = written < len(data)
        self.dropped += self._is_cut


class Journal:
    """Writer of a process's structured log lines.

    :param vm: name of this VM, included in each line.
    :param handler: handler that writes the lines; None if no handler drops lines.
    """

    def __init__(self, vm: str, registry: metrics.Registry) -> None:
        """Initialize the journal without a handler."""
        self.vm = vm
        self.registry = registry
        self.handler: Handler | None = None
        self.dropped = 0
        self._second = 0
        self._written = 0
        self._dropped_before = 0

    def note(self, event: str, **fields: typing.Any) -> None:
        """Log an event; the line is dropped only when the byte limit is reached."""
        self._write(event, fields, 1.0)

    def note_ordinary(self, event: str, **fields: typing.Any) -> None:
        """Log an ordinary success; such lines are dropped first above the limit."""
        self._write(event, fields, ORDINARY_SHARE)

    def _write(self, event: str, fields: dict[str, typing.Any], share: float) -> None:
        if event not in occurrences.EVENTS:
            raise errors.InvariantViolation(
                f"The log line {event} is not described.",
                "Describe it in sardinehold.node.occurrences.",
            )
        self.registry.count(metrics.label_name("events", event=event))
        now = time.time()
        if int(now) != self._second:
            self._second = int(now)
            self._written = 0
            self._log_dropped(now)
        line = self._format(event, now, fields)
        if self._written + len(line) > MAX_BYTES_PER_SECOND * share:
            self.dropped += 1
            self.registry.count("log_lines_dropped")
            return
        self._written += len(line)
        log.info("{}", line)

    def _log_dropped(self, now: float) -> None:
        unwritten = self.handler.dropped if self.handler is not None else 0
        lost = self.dropped + unwritten - self._dropped_before
        if lost:
            self._dropped_before += lost
            log.info("{}", self._format("lines_dropped", now, {"count": lost}))

    def _format(self, event: str, now: float, fields: dict[str, typing.Any]) -> str:
        line: dict[str, typing.Any] = {
            "at": round(now, 3),
            "vm": self.vm,
            "event": event,
        }
        for name, value in fields.items():
            if isinstance(value, float):
                value = round(value, 4)
            elif isinstance(value, str):
                value = value[:MAX_FIELD]
            line[name] = value
        return json.dumps(line, separators=(",", ":"), default=str)
