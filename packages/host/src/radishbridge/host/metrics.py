"""Counters and histograms that a host publishes."""

from __future__ import annotations

import bisect
import itertools
import time
import typing as t

from prometheus_client import CollectorRegistry, Gauge
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.registry import Collector

from radishbridge.host.burn import BurnLog
from radishbridge.host.exchange import Exchange
from radishbridge.records import ResultCode

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
_BOUNDS = (*map(str, map(float, LATENCY_BUCKETS_S)), "+Inf")


class _Latencies:
    """Counts of one service's requests by time."""

    __slots__ = ("buckets", "sum_s")

    def __init__(self) -> None:
        self.buckets = [0] * len(_BOUNDS)
        self.sum_s = 0.0


class RequestCounts(Collector):
    """Counts requests in plain dictionaries, and builds the metrics when they are collected.

    The library's own counters take a lock for each change. All changes here come from the one
    event loop, so that no lock is needed.
    """

    __slots__ = ("latencies", "requests")

    def __init__(self) -> None:
        self.requests: dict[tuple[str, str, ResultCode], int] = {}
        self.latencies: dict[str, _Latencies] = {}

    def note(self, service: str, workspace: str, code: ResultCode, time_s: float) -> None:
        """Count a finished request."""
        at = (service, workspace, code)
        self.requests[at] = self.requests.get(at, 0) + 1
        latencies = self.latencies.get(service)
        if latencies is None:
            latencies = self.latencies[service] = _Latencies()
        latencies.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, time_s)] += 1
        latencies.sum_s += time_s

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
        times = HistogramMetricFamily(
            "radishbridge_request_seconds",
            "Time from a request's arrival to the end of its answer, by service.",
            labels=("service",),
        )
        for service, latencies in self.latencies.items():
            totals = itertools.accumulate(latencies.buckets)
            buckets = list(zip(_BOUNDS, map(float, totals), strict=True))
            times.add_metric((service,), buckets, latencies.sum_s)
        yield times


class Metrics:
    """The metrics of one host, in a registry of their own.

    :param burn: counts for the report on service-level burn.
    """

    __slots__ = ("burn", "counts", "registry")

    def __init__(self) -> None:
        self.burn = BurnLog()
        self.registry = CollectorRegistry()
        self.counts = RequestCounts()
        self.registry.register(self.counts)

    def note(self, exchange: Exchange, now: float) -> None:
        """Count a finished request.

        :param now: monotonic time in seconds.
        """
        time_s = now - exchange.arrived_at
        self.counts.note(exchange.target.name, exchange.workspace, exchange.code, time_s)
        self.burn.note(exchange, time.time())

    def watch(self, name: str, text: str, value: t.Callable[[], float]) -> None:
        """Publish a value that is read at each collection."""
        gauge = Gauge(f"radishbridge_{name}", text, registry=self.registry)
        gauge.set_function(value)
