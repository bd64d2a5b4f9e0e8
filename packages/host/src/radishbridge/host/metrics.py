"""Counters and histograms that a host publishes."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter


class Metrics:
    """The metrics of one host, in a registry of their own."""

    __slots__ = ("registry", "requests")

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "radishbridge_requests",
            "Requests by service and result code.",
            ("service", "code"),
            registry=self.registry,
        )
