"""Metrics of what backend servers say of themselves in their responses."""

from __future__ import annotations

import typing as t

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from radishbridge.entry import uptime
from radishbridge.steering import Selector


class NoticeCollector(Collector):
    """Counts servers that said that they leave or asked for a pause, by service."""

    def __init__(self, selector: Selector) -> None:
        self.selector = selector

    def collect(self) -> t.Iterator[Metric]:
        """Return the changes of state since the start, and the servers in each state now."""
        changes = CounterMetricFamily(
            "radishbridge_server_notices", "server notices", labels=["service", "notice"]
        )
        for key, count in self.selector.notices.counts.items():
            changes.add_metric(key, count)
        yield changes
        now = uptime.now()
        servers = GaugeMetricFamily(
            "radishbridge_servers_by_notice", "servers by notice", labels=["service", "notice"]
        )
        for key, count in self.selector.count_by_notice(now).items():
            servers.add_metric(key, count)
        yield servers
