"""Metrics of clients beyond the limits."""

from __future__ import annotations

import typing as t

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from radishbridge.host.client_memory import ClientMemory


class ExcessCollector(Collector):
    """Counts what was refused or closed, by cause, and the bytes held for clients."""

    def __init__(self, memory: ClientMemory) -> None:
        self.memory = memory

    def collect(self) -> t.Iterator[Metric]:
        """Return the counts since the start, and the bytes held now."""
        causes = CounterMetricFamily(
            "radishbridge_clients_beyond_limits", "clients beyond limits", labels=["cause"]
        )
        for cause, count in self.memory.excess_log.counts.items():
            causes.add_metric([cause], count)
        yield causes
        yield GaugeMetricFamily(
            "radishbridge_client_bytes", "bytes held for clients", value=self.memory.held_bytes
        )
