"""The timeline: recording, merging and filtering the events of all processes.

Events have timestamps of a hybrid logical clock (S. Kulkarni and others, "Logical
Physical Clocks and Consistent Snapshots in Globally Distributed Databases", 2014).
They are close to wall time, and never smaller than the timestamp of an event that
caused theirs, provided that messages carry the timestamps of their senders.
"""

import json
import pathlib
import re
import time
import typing

import logbook

from sardinehold import errors

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Size in bytes at which an events file is rotated to ``<path>.1``."""

MAX_FIELD_CHARACTERS = 200
"""Length to which the value of a field is truncated."""

MAX_DRIFT_MICROSECONDS = 60_000_000
"""Maximum lead of a received timestamp over the local wall time; timestamps further
ahead are ignored."""

FORBIDDEN_FIELDS = frozenset(
    {"key", "parameters", "password", "secret", "sql", "statement", "token", "value"}
)
"""Fields that are never written, because they may contain data from callers."""

KEY_PATTERN = re.compile(r"shk_([0-9a-f]+)_[0-9a-f]+")

RESERVED_FIELDS = ("kind", "vm", "zone", "wall", "logical", "monotonic")
"""Fields of every event."""


class Timestamp:
    """A timestamp of a hybrid logical clock.

    :param wall: wall time in microseconds.
    :param logical: counter that orders events of the same microsecond.
    """

    __slots__ = ("wall", "logical")

    def __init__(self, wall: int, logical: int) -> None:
        """Store the wall time and the counter."""
        self.wall = wall
        self.logical = logical


class Recorder:
    """Writer of the events of one process as JSON lines.

    Only changes of state are recorded. Keys and values of statements are never
    written: the fields in ``FORBIDDEN_FIELDS`` are omitted, and a key inside a text is
    truncated to its prefix.

    :param path: path of the file, ``""`` to record nothing.
    :param lost: number of events that could not be written.
    :param read_wall: returns the wall time in microseconds.
    :param read_monotonic: returns the monotonic time in seconds.
    """

    __slots__ = (
        "path",
        "vm",
        "zone",
        "lost",
        "_handler",
        "_last",
        "_logger",
        "_read_monotonic",
        "_read_wall",
    )

    def __init__(
        self,
        path: str,
        vm: str,
        zone: str,
        read_wall: typing.Callable[[], int] | None = None,
        read_monotonic: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        """Open the file for appending."""
        self.path = path
        self.vm = vm
        self.zone = zone
        self.lost = 0
        self._last = Timestamp(0, 0)
        self._read_wall = read_wall or _read_wall
        self._read_monotonic = read_monotonic
        self._logger = logbook.Logger(f"timeline:{vm}")
        self._handler = _open_handler(path)
        if self._handler is not None:
            self._logger.handlers.append(self._handler)

    def record(self, kind: str, **fields: str | int | float | bool) -> None:
        """Write an event, such as ``record("failover_sealed", group=…, term=…)``.

        An event that cannot be written is counted in ``lost``; a file system error
        does not stop the process.
        """
        if self._handler is None:
            return
        timestamp = self.next_timestamp()
        event = {
            "kind": kind,
            "vm": self.vm,
            "zone": self.zone,
            "wall": timestamp.wall,
            "logical": timestamp.logical,
            "monotonic": round(self._read_monotonic(), 6),
        }
        event.update(redact_fields(fields))
        try:
            self._logger.info(kind, extra=event)
        except OSError:
            self.lost += 1

    def next_timestamp(self) -> Timestamp:
        """Advance the clock and return a timestamp to send with a message."""
        wall = self._read_wall()
        if wall > self._last.wall:
            self._last = Timestamp(wall, 0)
        else:
            self._last = Timestamp(self._last.wall, self._last.logical + 1)
        return self._last

    def merge_timestamp(self, timestamp: Timestamp) -> None:
        """Advance the clock past the timestamp of a received message.

        A timestamp that is far ahead of this VM's wall time is ignored, so that one
        wrong clock does not advance the clocks of the whole fleet.
        """
        wall = self._read_wall()
        if timestamp.wall > wall + MAX_DRIFT_MICROSECONDS:
            return
        newest = max(wall, timestamp.wall, self._last.wall)
        logical = -1
        if newest == self._last.wall:
            logical = max(logical, self._last.logical)
        if newest == timestamp.wall:
            logical = max(logical, timestamp.logical)
        self._last = Timestamp(newest, logical + 1)

    def close(self) -> None:
        """Close the file."""
        if self._handler is not None:
            self._handler.close()
            self._handler = None
            self._logger.handlers.clear()


class _EventsHandler(logbook.RotatingFileHandler):
    """Handler that raises errors for the recorder to count instead of printing them."""

    def handle_error(self, record: logbook.LogRecord, exc_info: tuple) -> None:
        raise exc_info[1]


def _read_wall() -> int:
    return time.time_ns() // 1000


def _open_handler(path: str) -> logbook.Handler | None:
    if not path:
        return None
    try:
        handler = _EventsHandler(path, max_size=MAX_FILE_BYTES, backup_count=1)
    except OSError as error:
        raise errors.SettingsError(
            f"The timeline file {path} cannot be opened ({error.strerror}).",
            "Correct path in section [timeline] or the permissions of its directory.",
        ) from error
    handler.formatter = _format_record
    return handler


def _format_record(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    text = json.dumps(dict(record.extra), ensure_ascii=False)
    return text.encode(errors="backslashreplace").decode()


def redact_fields(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return ``fields`` without secrets, data of callers and reserved names."""
    return {
        name: _redact_value(value)
        for name, value in fields.items()
        if name not in FORBIDDEN_FIELDS and name not in RESERVED_FIELDS
    }


def _redact_value(value: typing.Any) -> typing.Any:
    if isinstance(value, bool | int | float) or value is None:
        return value
    return KEY_PATTERN.sub(r"shk_\1_…", str(value))[:MAX_FIELD_CHARACTERS]


class Event:
    """One event of a timeline.

    :param kind: kind of event, such as ``failover_sealed``.
    :param vm: name of the VM that recorded it.
    :param zone: availability zone of the VM.
    :param wall: wall time of the hybrid logical clock in microseconds.
    :param logical: counter of the hybrid logical clock.
    :param monotonic: monotonic time of the process in seconds.
    :param fields: all other recorded fields.
    """

    __slots__ = ("kind", "vm", "zone", "wall", "logical", "monotonic", "fields")

    def __init__(
        self,
        kind: str,
        vm: str,
        zone: str,
        wall: int,
        logical: int,
        monotonic: float,
        fields: dict[str, typing.Any],
    ) -> None:
        """Store the fields of the event."""
        self.kind = kind
        self.vm = vm
        self.zone = zone
        self.wall = wall
        self.logical = logical
        self.monotonic = monotonic
        self.fields = fields

    def dump(self) -> str:
        """Return the event as the JSON line that was recorded."""
        event = {name: getattr(self, name) for name in RESERVED_FIELDS}
        event.update(self.fields)
        return json.dumps(event, ensure_ascii=False)

    def format(self, start: int) -> str:
        """Return the event as a line, with the seconds since ``start``.

        :param start: wall time in microseconds.
        """
        fields = " ".join(
            f"{name}={_format_value(value)}" for name, value in self.fields.items()
        )
        seconds = (self.wall - start) / 1e6
        return f"{seconds:12.6f}  {self.vm:<14} {self.kind:<24} {fields}".rstrip()


def _format_value(value: typing.Any) -> str:
    """Return a value as text without line ends and other control characters."""
    text = str(value)
    return text if text.isprintable() else json.dumps(text)


class EventFilter:
    """Conditions that selected events meet; an empty condition is always met.

    :param kinds: kinds of events; a trailing ``*`` matches any suffix.
    :param vms: names of VMs.
    :param groups: names of groups.
    :param since: earliest time, in seconds from the first event.
    :param until: latest time, in seconds from the first event.
    """

    __slots__ = ("kinds", "vms", "groups", "since", "until")

    def __init__(
        self,
        kinds: tuple[str, ...] = (),
        vms: tuple[str, ...] = (),
        groups: tuple[str, ...] = (),
        since: float | None = None,
        until: float | None = None,
    ) -> None:
        """Store the conditions."""
        self.kinds = kinds
        self.vms = vms
        self.groups = groups
        self.since = since
        self.until = until

    def matches(self, event: Event, start: int) -> bool:
        """Return whether ``event`` is selected.

        :param start: wall time of the timeline's first event in microseconds.
        """
        seconds = (event.wall - start) / 1e6
        if self.since is not None and seconds < self.since:
            return False
        if self.until is not None and seconds > self.until:
            return False
        if self.vms and event.vm not in self.vms:
            return False
        if self.groups and event.fields.get("group") not in self.groups:
            return False
        return not self.kinds or any(_match_kind(event.kind, k) for k in self.kinds)


def _match_kind(kind: str, wanted: str) -> bool:
    if wanted.endswith("*"):
        return kind.startswith(wanted[:-1])
    return kind == wanted


def read_events(paths: list[pathlib.Path]) -> list[Event]:
    """Return the events of all files in causal order.

    A line that was truncated by a crash is ignored if it is the last of its file.

    :raises sardinehold.errors.SettingsError: a file is not readable or a line is not
        an event.
    """
    events = [event for path in paths for event in _read_file(path)]
    events.sort(key=lambda event: (event.wall, event.logical, event.vm))
    return events


def _read_file(path: pathlib.Path) -> list[Event]:
    try:
        lines = path.read_text(encoding="utf-8", errors="replace").split("\n")
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be read ({error.strerror}).",
            "Give the events files of [timeline] path in the settings of each process.",
        ) from error
    if not lines[-1]:
        lines.pop()
    events = []
    for number, line in enumerate(lines, 1):
        try:
            events.append(_parse_line(line))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            if number == len(lines):
                break
            raise errors.SettingsError(
                f"{path} line {number} is not an event.",
                "Give events files, which contain one JSON object per line.",
            ) from error
    return events


def _parse_line(line: str) -> Event:
    fields = json.loads(line)
    reserved = [fields.pop(name) for name in RESERVED_FIELDS]
    kind, vm, zone, wall, logical, monotonic = reserved
    return Event(
        str(kind), str(vm), str(zone), int(wall), int(logical), float(monotonic), fields
    )


def filter_events(events: list[Event], event_filter: EventFilter) -> list[Event]:
    """Return the events that ``event_filter`` selects."""
    if not events:
        return []
    start = events[0].wall
    return [event for event in events if event_filter.matches(event, start)]
