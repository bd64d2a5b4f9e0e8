"""Metrics of the places of servers, and of the objects that change their server."""

from __future__ import annotations

import collections
import typing as t

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from radishbridge.steering import Selector


class PlacementCollector(Collector):
    """Counts moved objects by cause, and places by state, of services that are ranked by places."""

    def __init__(self, selector: Selector) -> None:
        self.selector = selector

    def collect(self) -> t.Iterator[Metric]:
        """Return the moves since the start, and the places now."""
        moves = CounterMetricFamily(
            "radishbridge_object_moves",
            "objects whose first server changed",
            labels=["service", "cause"],
        )
        for (service, cause), count in self.selector.object_moves.totals.items():
            moves.add_metric((service, cause.value), count)
        yield moves
        places = GaugeMetricFamily(
            "radishbridge_places", "places of servers", labels=["service", "state"]
        )
        for service, book in self.selector.places.books.items():
            states = collections.Counter(
                "vacant" if place.is_vacant else "held" for place in book.places.values()
            )
            counts = {"held": 0, "vacant": 0, **states, "waiting": len(book.spares)}
            for state, count in counts.items():
                places.add_metric((service, state), count)
        yield places
