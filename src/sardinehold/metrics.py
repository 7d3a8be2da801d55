"""Counters and latency histograms of one process.

Counting and observing update one dict each. Observations are stored as counts by
rounded microsecond and added to an HdrHistogram (G. Tene's high dynamic range
histogram) when it is read.
"""

import typing

from hdrh import histogram

LOWEST = 1
"""Smallest recorded value in microseconds; shorter observations are recorded as
this."""

HIGHEST = 3_600_000_000
"""Largest recorded value in microseconds; longer observations are recorded as
this."""

DIGITS = 2
"""Significant decimal digits of a histogram."""

PRECISION_BITS = 8
"""Significant bits kept of an observation; more precise than ``DIGITS``."""

PERCENTILES = (50.0, 90.0, 99.0, 99.9)
"""Percentiles on the metrics page."""

PREFIX = "sardinehold_"
"""Prefix of all metric names on the metrics page."""


class Registry:
    """All counters and histograms of a process.

    A name may have labels, such as ``requests_refused{team="desk"}``, as returned by
    :func:`label_name`.

    .. versionadded:: 0.1
    """

    __slots__ = ("counters", "gauges", "_pending", "_histograms")

    def __init__(self) -> None:
        """Create an empty registry."""
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self._pending: dict[str, dict[int, int]] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name`` to ``value``."""
        self.gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Record a latency of ``seconds`` in the histogram ``name``."""
        value = int(seconds * 1e6)
        shift = value.bit_length() - PRECISION_BITS
        if shift > 0:
            value = value >> shift << shift
        try:
            pending = self._pending[name]
        except KeyError:
            pending = self._pending[name] = {}
        pending[value] = pending.get(value, 0) + 1

    def read_histogram(self, name: str) -> histogram.HdrHistogram:
        """Return the histogram ``name`` in microseconds; empty if unknown."""
        target = self._histograms.get(name)
        if target is None:
            target = self._histograms[name] = create_histogram()
        for value, count in self._pending.pop(name, {}).items():
            target.record_value(min(max(value, LOWEST), HIGHEST), count)
        return target

    def read_percentile(self, name: str, percentile: float) -> float:
        """Return a percentile of the histogram ``name`` in seconds."""
        return self.read_histogram(name).get_value_at_percentile(percentile) / 1e6

    def list_histograms(self) -> list[str]:
        """Return the names of all histograms."""
        return sorted(self._histograms.keys() | self._pending.keys())

    def encode_histograms(self) -> dict[str, str]:
        """Return all histograms by name, encoded for :func:`merge_histograms`."""
        return {
            name: self.read_histogram(name).encode().decode("ascii")
            for name in self.list_histograms()
        }

    def format_page(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        # Imported on the first request for the page, so that a restarted process serves
        # callers sooner.
        from sardinehold import exposition

        return exposition.format_page(self)


def create_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram with the range and precision of all processes."""
    return histogram.HdrHistogram(LOWEST, HIGHEST, DIGITS)


def merge_histograms(encoded: typing.Iterable[str]) -> histogram.HdrHistogram:
    """Return one histogram with the observations of all encoded histograms."""
    merged = create_histogram()
    for text in encoded:
        merged.decode_and_add(text.encode("ascii"))
    return merged


def label_name(name: str, **labels: str) -> str:
    """Return ``name`` with labels; callers on the hot path store and reuse it."""
    if not labels:
        return name
    pairs = (f'{label}="{_escape(value)}"' for label, value in sorted(labels.items()))
    return f"{name}{{{','.join(pairs)}}}"


def split_name(name: str) -> tuple[str, dict[str, str]]:
    """Return the bare name and the labels; the inverse of :func:`label_name`."""
    bare, brace, rest = name.partition("{")
    if not brace:
        return bare, {}
    labels = {}
    for pair in _split_pairs(rest[:-1]):
        label, _, value = pair.partition("=")
        labels[label] = value[1:-1].replace('\\"', '"').replace("\\\\", "\\")
    return bare, labels


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", " ")


def _split_pairs(text: str) -> list[str]:
    pairs, start, quoted, escaped = [], 0, False, False
    for index, character in enumerate(text):
        if escaped:
            escaped = False
        elif character == "\\":
            escaped = True
        elif character == '"':
            quoted = not quoted
        elif character == "," and not quoted:
            pairs.append(text[start:index])
            start = index + 1
    pairs.append(text[start:])
    return pairs
