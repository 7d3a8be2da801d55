"""Cost of counting and observing on the hot path.

    PYTHONPATH=src python bench/metrics_cost.py [--rounds N]

Compares the product's deferred observation with recording into the HdrHistogram
immediately, the baseline, for the same latencies in the same run.
"""

import argparse
import random
import statistics
import time
import typing

from sardinehold import metrics

SAMPLES = 20_000
SEED = 7
MEDIAN = 0.002
"""Median of the recorded log-normal latencies, in seconds."""


def make_latencies() -> list[float]:
    """Return typical latencies of a proxy: log-normal, with a long tail."""
    generator = random.Random(SEED)
    return [MEDIAN * generator.lognormvariate(0, 1) for _ in range(SAMPLES)]


def time_calls(call: typing.Callable[[float], None], values: list[float]) -> float:
    """Return nanoseconds of processor time per call."""
    start = time.process_time_ns()
    for value in values:
        call(value)
    return (time.process_time_ns() - start) / len(values)


def measure_round(latencies: list[float]) -> dict[str, float]:
    """Return the cost of each operation in one round."""
    registry = metrics.Registry()
    direct = metrics.create_histogram()
    name = metrics.label_name("requests_served", team="desk")
    costs = {
        "empty loop": time_calls(lambda _value: None, latencies),
        "count": time_calls(lambda _value: registry.count(name), latencies),
        "observe": time_calls(lambda value: registry.observe("wait", value), latencies),
        "record at once": time_calls(
            lambda value: direct.record_value(int(value * 1e6)), latencies
        ),
    }
    start = time.process_time_ns()
    registry.read_histogram("wait")
    costs["fold, for each observation"] = (time.process_time_ns() - start) / len(
        latencies
    )
    return costs


def measure_encoding(latencies: list[float]) -> tuple[int, float, float]:
    """Return a histogram's size in bytes, and microseconds to encode and merge it."""
    registry = metrics.Registry()
    for value in latencies:
        registry.observe("wait", value)
    registry.read_histogram("wait")
    start = time.process_time_ns()
    encoded = registry.encode_histograms()["wait"]
    middle = time.process_time_ns()
    metrics.merge_histograms([encoded])
    end = time.process_time_ns()
    return len(encoded), (middle - start) / 1000, (end - middle) / 1000


def main() -> None:
    """Print the median of all rounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=7)
    rounds = parser.parse_args().rounds
    latencies = make_latencies()
    measured = [measure_round(latencies) for _ in range(rounds)]
    print(f"{rounds} rounds of {SAMPLES} calls, median and range in ns per call")
    for name in measured[0]:
        values = [costs[name] for costs in measured]
        middle = statistics.median(values)
        print(f"{name:<28} {middle:8.0f}   {min(values):.0f} to {max(values):.0f}")
    size, encode, merge = measure_encoding(latencies)
    print(f"one histogram: {size} bytes, encode {encode:.0f} µs, merge {merge:.0f} µs")


if __name__ == "__main__":
    main()
