"""The time line: events of all processes, merged and drawn."""


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

    Records changes of state only. Keys and statement values never appear.

    :param path: the file, ``""`` to record nothing.
    """

    __slots__ = ("path", "vm", "zone")

    def __init__(self, path: str, vm: str, zone: str) -> None:
        """Open the file for appending."""
        self.path = path
        self.vm = vm
        self.zone = zone

    def record(self, kind: str, **fields: str | int | float | bool) -> None:
        """Write an event, such as ``record("group_sealed", group=…, term=…)``."""
        raise NotImplementedError

    def read_stamp(self) -> Stamp:
        """Advance the clock and return a stamp to send with a message."""
        raise NotImplementedError

    def merge_stamp(self, stamp: Stamp) -> None:
        """Advance the clock past the stamp of a received message."""
        raise NotImplementedError
