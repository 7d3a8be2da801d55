"""Timers of one node, in a heap and in buckets.

Single timers are kept in a heap. Request deadlines share buckets of 10 ms, since
there are thousands a second and most requests end before them.
"""

import heapq
import typing

STEP = 0.01
"""Seconds that one bucket covers by default."""

NEVER = float("inf")
"""Due time when no timer is set."""

Callback = typing.Callable[[typing.Any, typing.Any], None]


class Timers:
    """All timers of a node.

    :param next_time: due time of the earliest timer.
    """

    __slots__ = (
        "next_time",
        "_heap",
        "_sequence",
        "_buckets",
        "_last_number",
        "_last_callback",
        "_last_bucket",
    )

    def __init__(self) -> None:
        """Start without timers."""
        self.next_time = NEVER
        self._heap: list[tuple[float, int, Callback, typing.Any]] = []
        self._sequence = 0
        self._buckets: dict[tuple[Callback, int], list[typing.Any]] = {}
        self._last_number = -1
        self._last_callback: Callback | None = None
        self._last_bucket: list[typing.Any] = []

    def set(self, time: float, callback: Callback, subject: typing.Any) -> None:
        """Schedule ``callback(node, subject)`` at ``time``; it cannot be cancelled."""
        self._sequence += 1
        heapq.heappush(self._heap, (time, self._sequence, callback, subject))
        if time < self.next_time:
            self.next_time = time

    def set_shared(
        self, time: float, callback: Callback, subject: typing.Any, step: float = STEP
    ) -> None:
        """Schedule ``callback(node, subjects)`` within a step after ``time``.

        :param subject: passed in one list with the others of the same callback
            and step.
        :param step: length of a step in seconds.
        """
        number = int(time / step) + 1
        if number == self._last_number and callback is self._last_callback:
            self._last_bucket.append(subject)
            return
        key = (callback, number)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = []
            self.set(number * step, self._run_bucket, key)
        bucket.append(subject)
        self._last_number = number
        self._last_callback = callback
        self._last_bucket = bucket

    def _run_bucket(self, node: typing.Any, key: tuple[Callback, int]) -> None:
        bucket = self._buckets.pop(key)
        if bucket is self._last_bucket:
            self._last_number = -1
        key[0](node, bucket)

    def run_due(self, node: typing.Any, now: float) -> None:
        """Call the due callbacks, earliest first."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, subject = heapq.heappop(heap)
            callback(node, subject)
        self.next_time = heap[0][0] if heap else NEVER
