"""Bootstrap confidence intervals of repeated runs."""

import random
import statistics

RESAMPLES = 2000
CONFIDENCE = 0.95


class Interval:
    """A mean with its confidence interval."""

    __slots__ = ("mean", "low", "high")

    def __init__(self, mean: float, low: float, high: float) -> None:
        """Create the interval."""
        self.mean = mean
        self.low = low
        self.high = high

    def format(self) -> str:
        """Return ``mean [low, high]`` with four significant digits."""
        return f"{self.mean:.4g} [{self.low:.4g}, {self.high:.4g}]"


def estimate_mean(values: list[float], seed: int = 1) -> Interval:
    """Return the mean with its percentile bootstrap interval.

    Source: Efron, "Bootstrap Methods: Another Look at the Jackknife", 1979.
    """
    mean = statistics.fmean(values)
    generator = random.Random(seed)
    means = sorted(
        statistics.fmean(generator.choices(values, k=len(values)))
        for _ in range(RESAMPLES)
    )
    tail = int(RESAMPLES * (1 - CONFIDENCE) / 2)
    return Interval(mean, means[tail], means[-tail - 1])


def estimate_difference(
    first: list[float], second: list[float], seed: int = 1
) -> Interval:
    """Return the mean of paired differences ``second - first``, with its interval."""
    pairs = zip(first, second, strict=True)
    return estimate_mean([after - before for before, after in pairs], seed)
