"""The time line: events of all processes, recorded, merged and filtered.

Events carry a hybrid logical clock (S. Kulkarni and others, "Logical Physical
Clocks and Consistent Snapshots in Globally Distributed Databases", 2014): close
to wall time, and never smaller than that of an event that caused it, as long as
messages carry the stamps of their senders.
"""

import json
import pathlib
import re
import time
import typing

import logbook

from sardinehold import errors

MAX_FILE_BYTES = 64 * 1024 * 1024
"""Size at which an events file is renamed to ``<path>.1`` and begun anew."""

MAX_FIELD_CHARACTERS = 200
"""Characters of a field that are kept."""

MAX_DRIFT_MICROSECONDS = 60_000_000
"""Microseconds that a received stamp may be ahead and still be followed."""

FORBIDDEN_FIELDS = frozenset(
    {"key", "parameters", "password", "secret", "sql", "statement", "token", "value"}
)
"""Fields that are never written, since they may hold what callers sent."""

KEY_PATTERN = re.compile(r"shk_([0-9a-f]+)_[0-9a-f]+")

RESERVED_FIELDS = ("kind", "vm", "zone", "wall", "logical", "monotonic")
"""Fields that every event has."""


class Stamp:
    """A hybrid logical clock reading.

    :param wall: wall time in microseconds.
    :param logical: counter that orders events of the same microsecond.
    """

    __slots__ = ("wall", "logical")

    def __init__(self, wall: int, logical: int) -> None:
        """Keep the reading."""
        self.wall = wall
        self.logical = logical


class Recorder:
    """Writes the events of one process as JSON lines.

    Records changes of state only. Keys and statement values never appear:
    fields of the names in ``FORBIDDEN_FIELDS`` are left out, and a key inside a text
    is cut to its prefix.

    :param path: the file, ``""`` to record nothing.
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
        self._last = Stamp(0, 0)
        self._read_wall = read_wall or _read_wall
        self._read_monotonic = read_monotonic
        self._logger = logbook.Logger(f"timeline:{vm}")
        self._handler = _open_handler(path)
        if self._handler is not None:
            self._logger.handlers.append(self._handler)

    def record(self, kind: str, **fields: str | int | float | bool) -> None:
        """Write an event, such as ``record("failover_sealed", group=…, term=…)``.

        An event that the file system refuses is counted in ``lost``: the time
        line never stops the process.
        """
        if self._handler is None:
            return
        stamp = self.read_stamp()
        event = {
            "kind": kind,
            "vm": self.vm,
            "zone": self.zone,
            "wall": stamp.wall,
            "logical": stamp.logical,
            "monotonic": round(self._read_monotonic(), 6),
        }
        event.update(redact_fields(fields))
        try:
            self._logger.info(kind, extra=event)
        except OSError:
            self.lost += 1

    def read_stamp(self) -> Stamp:
        """Advance the clock and return a stamp to send with a message."""
        wall = self._read_wall()
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.logical + 1)
        return self._last

    def merge_stamp(self, stamp: Stamp) -> None:
        """Advance the clock past the stamp of a received message.

        A stamp that is far ahead of this VM's wall time is not followed, so that
        one wrong clock does not move those of the whole fleet.
        """
        wall = self._read_wall()
        if stamp.wall > wall + MAX_DRIFT_MICROSECONDS:
            return
        newest = max(wall, stamp.wall, self._last.wall)
        logical = -1
        if newest == self._last.wall:
            logical = max(logical, self._last.logical)
        if newest == stamp.wall:
            logical = max(logical, stamp.logical)
        self._last = Stamp(newest, logical + 1)

    def close(self) -> None:
        """Close the file."""
        if self._handler is not None:
            self._handler.close()
            self._handler = None
            self._logger.handlers.clear()


class _EventsHandler(logbook.RotatingFileHandler):
    """Hands errors to the recorder, which counts them, instead of printing them."""

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
            f"The time line file {path} cannot be opened ({error.strerror}).",
            "Correct path in section [timeline] or the permissions of its folder.",
        ) from error
    handler.formatter = _format_record
    return handler


def _format_record(record: logbook.LogRecord, _handler: logbook.Handler) -> str:
    return json.dumps(dict(record.extra), ensure_ascii=False)


def redact_fields(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return ``fields`` without anything that may be secret."""
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
    """One event of a time line.

    :param kind: what happened, such as ``failover_sealed``.
    :param fields: everything else that was recorded.
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
        """Keep the parts of the event."""
        self.kind = kind
        self.vm = vm
        self.zone = zone
        self.wall = wall
        self.logical = logical
        self.monotonic = monotonic
        self.fields = fields

    def dump(self) -> str:
        """Return the event as a JSON line, as it was recorded."""
        event = {name: getattr(self, name) for name in RESERVED_FIELDS}
        event.update(self.fields)
        return json.dumps(event, ensure_ascii=False)

    def format(self, start: int) -> str:
        """Return a line with the time since ``start`` microseconds."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        seconds = (self.wall - start) / 1e6
        return f"{seconds:12.6f}  {self.vm:<14} {self.kind:<24} {fields}".rstrip()


class EventFilter:
    """Which events to keep; empty parts keep all.

    :param kinds: kinds, a trailing ``*`` stands for any ending.
    :param vms: names of VMs.
    :param groups: names of groups.
    :param since: seconds from the first event.
    :param until: seconds from the first event.
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
        """Keep the parts of the selection."""
        self.kinds = kinds
        self.vms = vms
        self.groups = groups
        self.since = since
        self.until = until

    def matches(self, event: Event, start: int) -> bool:
        """Return whether ``event`` of a time line from ``start`` on is kept."""
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

    A line cut short by a crash is left out if it is the last of its file.

    :raises sardinehold.errors.SettingsError: a file cannot be used.
    """
    events = [event for path in paths for event in _read_file(path)]
    events.sort(key=lambda event: (event.wall, event.logical, event.vm))
    return events


def _read_file(path: pathlib.Path) -> list[Event]:
    try:
        lines = path.read_text(encoding="utf-8", errors="replace").splitlines()
    except OSError as error:
        raise errors.SettingsError(
            f"{path} cannot be read ({error.strerror}).",
            "Name events files, as [timeline] path in the settings of each process.",
        ) from error
    events = []
    for number, line in enumerate(lines, 1):
        try:
            events.append(_parse_line(line))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            if number == len(lines):
                break
            raise errors.SettingsError(
                f"{path} line {number} is not an event.",
                "Name events files, which hold one JSON object a line.",
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
    """Return the events that ``event_filter`` keeps."""
    if not events:
        return []
    start = events[0].wall
    return [event for event in events if event_filter.matches(event, start)]
