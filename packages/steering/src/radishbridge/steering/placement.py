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

    Weights change by whole steps and only past half a step more, so that they rest while the
    traffic that decides them swings a little.
    """

    __slots__ = ("weights",)

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}

    def update(self, slots: t.Mapping[str, int], home_bound: t.Mapping[str, float]) -> bool:
        """Take over what is there and what is bound to it.

        :param slots: slots of a region's usable servers.
        :param home_bound: mean slots that requests with this region as their only home take up.
        :return: whether a weight changed.
        """
        changed = False
        for region, count in slots.items():
            load = home_bound.get(region, 0.0) / max(1, count)
            room = max(0.0, 1.0 - load / FULL_OF_HOME_BOUND)
            held = self.weights.get(region, 1.0)
            if abs(room - held) * WEIGHT_STEPS > 1.0:
                self.weights[region] = round(room * WEIGHT_STEPS) / WEIGHT_STEPS
                changed = changed or self.weights[region] != held
        return changed
