"""The order in which backend servers are considered for an object.

Load pattern: a backend server works several times faster on an object it has served lately, and
all of them together can only bear their load warm. So each object has its own order of servers,
the same on every host, and moves only where its first server is lost or full. Regions that are
the only home of many requests are kept free of requests that may run elsewhere.
"""

from __future__ import annotations

import hashlib
import math
import typing as t

from radishbridge.steering.servers import Server, ServerState

_DIGEST_BYTES = 8
_DIGEST_END = 2.0 ** (8 * _DIGEST_BYTES)
# Load of a region's slots by home-bound requests above which it gives room to no others.
FULL_OF_HOME_BOUND = 0.9
# Steps of a region's weight: few, since each change of weight moves objects to cold servers.
WEIGHT_STEPS = 4
# Pause in seconds between two steps by which regions give room back. The movement between regions
# is bounded over windows of two seconds; the rest is for the spread between hosts.
GIVE_BACK_PAUSE_S = 2.5


def unit_hash(*parts: str) -> float:
    """Return a pseudo-random number from 0 to below 1, the same on every host."""
    digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") / _DIGEST_END


def order(
    key: str, states: t.Iterable[ServerState], weight: t.Callable[[Server], float]
) -> list[ServerState]:
    """Return servers by weighted rendezvous hashing, the best for the key first.

    :param weight: weight of each slot of a server; servers of weight 0 come last.
    """
    return sorted(states, key=lambda state: _score(key, state.server, weight), reverse=True)


def _score(key: str, server: Server, weight_of: t.Callable[[Server], float]) -> float:
    weight = weight_of(server) * server.slots
    point = unit_hash(key, server.name)
    if weight <= 0.0:
        return point - 1e9
    return weight / -math.log(max(point, 1e-12))


class RegionWeights:
    """How much room each region of a service has for requests without home regions.

    Load pattern: home-bound requests that fill a region end at once. Weights change by whole steps
    and only past half a step more, so that they rest while the traffic that decides them swings a
    little. A region takes room away at once, as home-bound requests have no other place. It gives
    room back step by step, one region at a time, so that few objects move at once.
    """

    __slots__ = ("gave_back_at", "weights")

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.gave_back_at = float("-inf")

    def update(
        self, slots: t.Mapping[str, int], home_bound: t.Mapping[str, float], now: float
    ) -> bool:
        """Take over what is there and what is bound to it.

        :param slots: slots of a region's usable servers.
        :param home_bound: mean slots that requests with this region as their only home take up.
        :return: whether a weight changed.
        """
        rooms = {
            region: _room(count, home_bound.get(region, 0.0)) for region, count in slots.items()
        }
        due = {
            region: room
            for region, room in rooms.items()
            if abs(room - self._held(region)) * WEIGHT_STEPS > 1.0
        }
        less = {region: room for region, room in due.items() if room < self._held(region)}
        for region, room in less.items():
            self.weights[region] = round(room * WEIGHT_STEPS) / WEIGHT_STEPS
        more = max(due.keys() - less.keys(), key=lambda one: (due[one], one), default=None)
        if more is None or now - self.gave_back_at < GIVE_BACK_PAUSE_S:
            return bool(less)
        self.gave_back_at = now
        self.weights[more] = self._held(more) + 1.0 / WEIGHT_STEPS
        return True

    def _held(self, region: str) -> float:
        return self.weights.get(region, 1.0)


def _room(slots: int, home_bound: float) -> float:
    return max(0.0, 1.0 - home_bound / max(1, slots) / FULL_OF_HOME_BOUND)
