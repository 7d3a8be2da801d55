"""Log offsets of an endpoint at known times.

A sample means that the endpoint's log, or what was visible to its readers, had
reached at most ``offset`` at ``time``, and had reached it when the answer arrived.
"""

import bisect

MAX_SAMPLES = 128
"""Maximum number of samples kept for an endpoint."""

MIN_SPACING = 0.005
"""Minimum seconds between two samples."""


class Samples:
    """The recent samples of one endpoint in one term, oldest first."""

    __slots__ = ("_times", "_offsets")

    def __init__(self) -> None:
        """Start without samples."""
        self._times: list[float] = []
        self._offsets: list[int] = []

    def clear(self) -> None:
        """Remove all samples, for example because the term changed."""
        self._times.clear()
        self._offsets.clear()

    def add(self, time: float, offset: int) -> None:
        """Add a sample unless it is out of order or too close to the last one.

        :param time: when the probe or statement was sent.
        :param offset: the log offset in its answer.
        """
        times = self._times
        if times:
            if time - times[-1] < MIN_SPACING or offset < self._offsets[-1]:
                return
            if len(times) >= MAX_SAMPLES:
                del times[: MAX_SAMPLES // 2]
                del self._offsets[: MAX_SAMPLES // 2]
        times.append(time)
        self._offsets.append(offset)

    def find_offset_after(self, time: float) -> int | None:
        """Return an offset that covers everything visible up to ``time``.

        :returns: the offset of the first sample at ``time`` or later, or None
            if there is none yet.
        """
        index = bisect.bisect_left(self._times, time)
        if index == len(self._times):
            return None
        return self._offsets[index]

    def find_time_covered(self, offset: int) -> float | None:
        """Return the latest time whose whole log lies within ``offset``."""
        index = bisect.bisect_right(self._offsets, offset)
        if not index:
            return None
        return self._times[index - 1]

    def find_time_reached(self, offset: int) -> float | None:
        """Return the earliest sample time at which ``offset`` was reached."""
        index = bisect.bisect_left(self._offsets, offset)
        if index == len(self._offsets):
            return None
        return self._times[index]
