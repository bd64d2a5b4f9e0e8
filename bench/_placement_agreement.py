"""Runs on cold objects when some hosts rank objects by other places than the rest."""

from __future__ import annotations

import collections
import itertools
import random
import typing as t

from radishbridge.steering.hashing import hash64, mix

# Part of an object's requests that its first server runs; the rest go to its second one.
FIRST_SERVER_PART = 0.7
# Exponent of the distribution of requests over the objects.
SKEW = 0.5
# Part of the requests after which caches are full and runs are counted.
WARM_UP_PART = 0.33


class Disagreement(t.NamedTuple):
    """Servers, objects and the disagreement.

    :param keeps: objects that a server keeps warm; the least recently used is evicted.
    :param hosts: part of the requests that go through hosts with other places.
    :param replaced: part of the servers that have another place on these hosts.
    """

    servers: int
    objects: int
    keeps: int
    hosts: float
    replaced: float


def cold_runs(setup: Disagreement, requests: int, seed: int) -> float:
    """Return the part of the runs on objects that are not warm."""
    rng = random.Random(seed)
    places = [hash64(f"old-{number}") for number in range(setup.servers)]
    other_places = [
        hash64(f"new-{number}") if rng.random() < setup.replaced else place
        for number, place in enumerate(places)
    ]
    usual, other = (
        [_first_two(ids, number) for number in range(setup.objects)]
        for ids in (places, other_places)
    )
    weights = itertools.accumulate((rank + 1) ** -SKEW for rank in range(setup.objects))
    caches = [collections.OrderedDict[int, None]() for _ in range(setup.servers)]
    cold: list[bool] = []
    for number in rng.choices(range(setup.objects), cum_weights=list(weights), k=requests):
        first, second = (other if rng.random() < setup.hosts else usual)[number]
        cache = caches[first if rng.random() < FIRST_SERVER_PART else second]
        cold.append(number not in cache)
        cache[number] = None
        cache.move_to_end(number)
        if len(cache) > setup.keeps:
            cache.popitem(last=False)
    counted = cold[int(WARM_UP_PART * requests) :]
    return sum(counted) / len(counted)


def _first_two(place_ids: list[int], number: int) -> tuple[int, int]:
    key = hash64(str(number))
    ranked = sorted(range(len(place_ids)), key=lambda index: mix(key ^ place_ids[index]))
    return ranked[0], ranked[1]
