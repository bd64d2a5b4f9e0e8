"""Counters and histograms that a host exports."""

from __future__ import annotations

import bisect
import itertools
import time
import typing as t

from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from radishbridge.host.burn import BurnCounts
from radishbridge.host.context import RequestContext
from radishbridge.records import ResultCode

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
_BUCKET_LABELS = (*map(str, map(float, LATENCY_BUCKETS_S)), "+Inf")


class _LatencyHistogram:
    """Latency histogram of one service's requests."""

    __slots__ = ("buckets", "sum_s")

    def __init__(self) -> None:
        self.buckets = [0] * len(_BUCKET_LABELS)
        self.sum_s = 0.0


class RequestCounts(Collector):
    """Counts requests in plain dictionaries, and builds the metrics when they are collected.

    The counters of ``prometheus_client`` take a lock for each change. All changes here come from
    a single event loop, so no lock is needed.
    """

    __slots__ = ("latencies", "requests")

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str, ResultCode], int] = {}
        self.latencies: dict[str, _LatencyHistogram] = {}

    def record(self, service: str, workspace: str, code: ResultCode, latency_s: float) -> None:
        """Count a finished request.

        :param latency_s: seconds from the request's arrival to the end of its response.
        """
        labels = (service, workspace, code)
        self.requests[labels] = self.requests.get(labels, 0) + 1
        latencies = self.latencies.get(service)
        if latencies is None:
            latencies = self.latencies[service] = _LatencyHistogram()
        latencies.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, latency_s)] += 1
        latencies.sum_s += latency_s

    def collect(self) -> t.Iterator[Metric]:
        """Yield the metrics."""
        requests = CounterMetricFamily(
            "radishbridge_requests",
            "Requests by service, workspace and result code.",
            labels=("service", "workspace", "code"),
        )
        for (service, workspace, code), count in self.requests.items():
            requests.add_metric((service, workspace, code.name), count)
        yield requests
        histogram = HistogramMetricFamily(
            "radishbridge_request_seconds",
            "Time from a request's arrival to the end of its answer, by service.",
            labels=("service",),
        )
        for service, latencies in self.latencies.items():
            totals = itertools.accumulate(latencies.buckets)
            buckets = list(zip(_BUCKET_LABELS, map(float, totals), strict=True))
            histogram.add_metric((service,), buckets, latencies.sum_s)
        yield histogram


class Metrics:
    """The metrics of one host, in their own registry.

    :param burn: counts for the report on error budget burn.
    """

    __slots__ = ("burn", "counts", "registry")

    def __init__(self) -> None:
        self.burn = BurnCounts()
        self.registry = CollectorRegistry()
        self.counts = RequestCounts()
        self.registry.register(self.counts)

    def record(self, context: RequestContext, now: float) -> None:
        """Count a finished request.

        :param now: monotonic time in seconds.
        """
        latency_s = now - context.arrived_at
        self.counts.record(context.service_route.name, context.workspace, context.code, latency_s)
        self.burn.record(context, time.time())

    def add_gauge(self, name: str, help_text: str, read_value: t.Callable[[], float]) -> None:
        """Export a gauge whose value is read at each collection.

        :param name: name without the prefix ``radishbridge_``.
        """
        gauge = Gauge(f"radishbridge_{name}", help_text, registry=self.registry)
        gauge.set_function(read_value)
