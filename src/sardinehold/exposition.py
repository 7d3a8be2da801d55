"""The metrics page in the Prometheus text format."""

import typing

import prometheus_client
from hdrh import histogram
from prometheus_client import core

from sardinehold import metrics


def format_page(registry: metrics.Registry) -> bytes:
    """Return the metrics page of a registry, UTF-8 encoded."""
    page = prometheus_client.CollectorRegistry(auto_describe=False)
    page.register(_Collector(registry))
    return prometheus_client.generate_latest(page)


class _Collector:
    """Adapter from a registry to a collector of prometheus_client."""

    def __init__(self, registry: metrics.Registry) -> None:
        self._registry = registry

    def collect(self) -> typing.Iterator[core.Metric]:
        yield from _collect_values(
            self._registry.counters, core.CounterMetricFamily, "Events since the start."
        )
        yield from _collect_values(
            self._registry.gauges, core.GaugeMetricFamily, "Value at this moment."
        )
        yield from self._collect_histograms()

    def _collect_histograms(self) -> typing.Iterator[core.Metric]:
        families: dict[str, core.Metric] = {}
        for name in self._registry.list_histograms():
            bare, labels = metrics.split_name(name)
            metric = metrics.PREFIX + bare + "_seconds"
            family = families.setdefault(
                metric, core.Metric(metric, "Latency percentiles.", "summary")
            )
            _add_summary(family, labels, self._registry.read_histogram(name))
        yield from families.values()


def _collect_values(
    values: dict[str, float], kind: type, documentation: str
) -> typing.Iterator[core.Metric]:
    families: dict[str, core.Metric] = {}
    for name, value in sorted(values.items()):
        bare, labels = metrics.split_name(name)
        metric = metrics.PREFIX + bare.removesuffix("_total")
        family = families.setdefault(metric, kind(metric, documentation))
        suffix = "_total" if kind is core.CounterMetricFamily else ""
        family.add_sample(metric + suffix, labels, value)
    yield from families.values()


def _add_summary(
    family: core.Metric, labels: dict[str, str], source: histogram.HdrHistogram
) -> None:
    count = source.get_total_count()
    for percentile in metrics.PERCENTILES:
        quantile = {**labels, "quantile": f"{percentile / 100:g}"}
        value = source.get_value_at_percentile(percentile) / 1e6
        family.add_sample(family.name, quantile, value)
    family.add_sample(family.name + "_count", labels, count)
    family.add_sample(
        family.name + "_sum", labels, source.get_mean_value() * count / 1e6
    )
