"""Counters and latency histograms of one process."""


class Registry:
    """All counters and histograms of a process.

    .. versionadded:: 0.1
    """

    __slots__ = ("counters",)

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counters: dict[str, int] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.counters[name] = self.counters.get(name, 0) + amount

    def observe(self, name: str, seconds: float) -> None:
        """Record a latency in the histogram ``name``."""
        raise NotImplementedError
