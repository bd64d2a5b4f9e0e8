"""Metrics of the load of services whose servers report pace."""

from __future__ import annotations

import statistics
import typing as t

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from radishbridge.steering import Selector, ServiceLoad


class LoadCollector(Collector):
    """Reports expected times, run lengths, load, pace and refusals by service.

    There are no series for services whose servers report no pace.
    """

    def __init__(self, selector: Selector) -> None:
        self.selector = selector

    def collect(self) -> t.Iterator[Metric]:
        """Return the refusals since the start, and the present estimates."""
        refusals = CounterMetricFamily(
            "radishbridge_load_refusals",
            "Selections without a server, by reason.",
            labels=["service", "reason"],
        )
        gauges = {
            name: GaugeMetricFamily(f"radishbridge_load_{name}", text, labels=["service"])
            for name, text in _GAUGES.items()
        }
        for service, load in self.selector.loads.items():
            for refusal, count in load.refusals.items():
                refusals.add_metric((service, refusal.value), count)
            for name, value in self._values(service, load).items():
                gauges[name].add_metric((service,), value)
        yield refusals
        yield from gauges.values()

    def _values(self, service: str, load: ServiceLoad) -> dict[str, float]:
        states = self.selector.usable_servers(service)
        return {
            "expected_seconds": load.mean_expected_s,
            "cold_run_seconds": load.runs.cold_s,
            "warm_fraction": load.runs.warm_fraction,
            "occupancy": _mean(state.mean_occupancy for state in states),
            "pace": _mean(state.pace for state in states),
        }


_GAUGES = {
    "expected_seconds": "Mean expected time until completion of the last selections.",
    "cold_run_seconds": "Estimated length of a run on a cold object at the usual pace.",
    "warm_fraction": "Estimated fraction of runs on warm objects.",
    "occupancy": "Mean of the requests per slot that servers report.",
    "pace": "Mean time that work takes on the servers' machines, relative to the usual time.",
}


def _mean(values: t.Iterable[float]) -> float:
    known = list(values)
    return statistics.fmean(known) if known else 0.0
