"""Counters and histograms that a host publishes."""

from __future__ import annotations

import time
import typing as t

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from radishbridge.host.burn import BurnLog
from radishbridge.host.exchange import Exchange

LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)


class Metrics:
    """The metrics of one host, in a registry of their own.

    :param burn: counts for the report on service-level burn.
    """

    __slots__ = ("_counters", "_histograms", "burn", "latency", "registry", "requests")

    def __init__(self) -> None:
        self.burn = BurnLog()
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "radishbridge_requests",
            "Requests by service, workspace and result code.",
            ("service", "workspace", "code"),
            registry=self.registry,
        )
        self.latency = Histogram(
            "radishbridge_request_seconds",
            "Time from a request's arrival to the end of its answer, by service.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._counters: dict[tuple[str, str, str], Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def note(self, exchange: Exchange, now: float) -> None:
        """Count a finished request.

        :param now: monotonic time in seconds.
        """
        service = exchange.service
        self._counter(service, exchange.workspace, exchange.code.name).inc()
        self._histogram(service).observe(now - exchange.arrived_at)
        self.burn.note(exchange, time.time())

    def watch(self, name: str, text: str, value: t.Callable[[], float]) -> None:
        """Publish a value that is read at each collection."""
        gauge = Gauge(f"radishbridge_{name}", text, registry=self.registry)
        gauge.set_function(value)

    # The library finds a labelled child under a lock; keeping the children saves that time.
    def _counter(self, *labels: str) -> Counter:
        at = t.cast(tuple[str, str, str], labels)
        counter = self._counters.get(at)
        if counter is None:
            counter = self._counters[at] = self.requests.labels(*labels)
        return counter

    def _histogram(self, service: str) -> Histogram:
        histogram = self._histograms.get(service)
        if histogram is None:
            histogram = self._histograms[service] = self.latency.labels(service)
        return histogram
