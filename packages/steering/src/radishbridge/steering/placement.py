"""Ranking of backend servers for an object.

Load pattern: a backend server is several times faster on an object that it has recently served, and
the servers can handle their load only with warm objects. So each object has its own ranking of
servers, the same on every host, and moves only if its first server is lost or full. Regions with
many requests that no other region may run get fewer of the requests that may run anywhere.
"""

from __future__ import annotations

import math
import typing as t

from radishbridge.steering.hashing import hash64, mix, unit_hash
from radishbridge.steering.places import PlaceBook
from radishbridge.steering.servers import Server, ServerState

# Fraction of a region's slots taken up by home-bound requests above which it gets no others.
HOME_BOUND_LIMIT = 0.9
# Steps of a region's weight: few, because each change moves objects to servers where they are cold.
WEIGHT_STEPS = 4
# Interval in seconds between two increases of weights. The movement of objects between regions is
# limited over windows of two seconds; the rest allows for hosts that act at different times.
WEIGHT_INCREASE_INTERVAL_S = 2.5


def rank_servers(
    key: str, states: t.Iterable[ServerState], weight: t.Callable[[Server], float]
) -> list[ServerState]:
    """Return servers ranked by weighted rendezvous hashing, the best one for the key first.

    :param weight: returns the weight per slot of a server; servers of weight 0 come last.
    """
    return sorted(states, key=lambda state: _score(key, state.server, weight), reverse=True)


def _score(key: str, server: Server, weight_of: t.Callable[[Server], float]) -> float:
    weight = weight_of(server) * server.slots
    point = unit_hash(key, server.name)
    if weight <= 0.0:
        return point - 1e9
    return weight / -math.log(max(point, 1e-12))


def rank_places(
    key: str,
    states: t.Iterable[ServerState],
    weight: t.Callable[[Server], float],
    book: PlaceBook,
) -> list[ServerState]:
    """Return servers ranked by weighted rendezvous hashing of their places.

    The key and each place are hashed once; a pair of them is then mixed by arithmetic, which costs
    less than a hash for each of several hundred servers.

    :param weight: returns the weight per slot of a server; servers of weight 0, and servers without
        a place, come last.
    """
    key_hash = hash64(key)
    scored = []
    for state in states:
        server = state.server
        place = book.by_name.get(server.name)
        if place is None:
            score = mix(key_hash ^ hash64(server.name)) - 2e9
        else:
            value = weight(server) * server.slots
            point = mix(key_hash ^ place.seed)
            score = value / -math.log(max(point, 1e-12)) if value > 0.0 else point - 1e9
        scored.append((score, server.name, state))
    scored.sort(key=_by_score, reverse=True)
    return [state for _, _, state in scored]


def _by_score(item: tuple[float, str, ServerState]) -> tuple[float, str]:
    return item[0], item[1]


class RegionWeights:
    """Weights of a service's regions for requests without home regions.

    Load pattern: home-bound requests, which only one region may run, fill that region and then end
    all at once. Weights change by whole steps, and only if the target differs by more than a step,
    so that small changes of the traffic do not move objects. A weight decreases at once, because
    home-bound requests cannot run elsewhere. It increases by one step, and one region at a time, so
    that few objects move at once.

    :param weights: weight per slot by region, 0 to 1; 1 for regions that it lacks.
    :param last_increase_at: monotonic time in seconds of the last increase.
    """

    __slots__ = ("last_increase_at", "weights")

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.last_increase_at = float("-inf")

    def update(
        self, slots: t.Mapping[str, int], home_bound: t.Mapping[str, float], now: float
    ) -> bool:
        """Update the weights for the current slots and home-bound load.

        :param slots: slots of usable servers by region.
        :param home_bound: mean slots taken up by requests that only this region may run, by region.
        :return: whether a weight changed.
        """
        targets = {
            region: _available_fraction(count, home_bound.get(region, 0.0))
            for region, count in slots.items()
        }
        due = {
            region: target
            for region, target in targets.items()
            if abs(target - self._current(region)) * WEIGHT_STEPS > 1.0
        }
        decreased = {
            region: target for region, target in due.items() if target < self._current(region)
        }
        for region, target in decreased.items():
            self.weights[region] = round(target * WEIGHT_STEPS) / WEIGHT_STEPS
        increased = max(
            due.keys() - decreased.keys(), key=lambda name: (due[name], name), default=None
        )
        if increased is None or now - self.last_increase_at < WEIGHT_INCREASE_INTERVAL_S:
            return bool(decreased)
        self.last_increase_at = now
        self.weights[increased] = self._current(increased) + 1.0 / WEIGHT_STEPS
        return True

    def _current(self, region: str) -> float:
        return self.weights.get(region, 1.0)


def _available_fraction(slots: int, home_bound: float) -> float:
    return max(0.0, 1.0 - home_bound / max(1, slots) / HOME_BOUND_LIMIT)
