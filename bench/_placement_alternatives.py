"""Alternatives to weighted rendezvous hashing of places: moves, shares and costs.

Each method maps an object to the index of one server; all use the ids of places, so that a
replacement moves nothing. Weights are the slots of servers.
"""

from __future__ import annotations

import bisect
import collections
import math
import time
import typing as t

from radishbridge.steering.hashing import hash64, mix

# Points of a server on the ring for each slot.
POINTS_PER_SLOT = 12
# Largest load of a server on the bounded ring, as a multiple of its share.
RING_BOUND = 1.1
# Entries of the table; a prime about a hundred times as large as the largest number of servers.
TABLE_SIZE = 40_009

Sizes = dict[str, int]
Method = t.Callable[[Sizes, list[int]], list[str]]


def rendezvous(sizes: Sizes, keys: list[int]) -> list[str]:
    """Weighted rendezvous hashing."""
    seeds = [(hash64(name), size, name) for name, size in sizes.items()]
    return [
        max((size / -math.log(mix(key ^ seed) or 1e-12), name) for seed, size, name in seeds)[1]
        for key in keys
    ]


def _ring(sizes: Sizes) -> tuple[list[float], list[str]]:
    points = sorted(
        (mix(hash64(name, str(number))), name)
        for name, size in sizes.items()
        for number in range(size * POINTS_PER_SLOT)
    )
    return [point for point, _ in points], [name for _, name in points]


def ring(sizes: Sizes, keys: list[int]) -> list[str]:
    """Consistent hashing with points in proportion to the slots."""
    points, names = _ring(sizes)
    return [names[bisect.bisect(points, mix(key)) % len(names)] for key in keys]


def bounded_ring(sizes: Sizes, keys: list[int]) -> list[str]:
    """Consistent hashing in which a server passes objects beyond its bound to the next one.

    All objects have to be known, and their order decides; each host knows only its own.
    """
    points, names = _ring(sizes)
    limits = {
        name: RING_BOUND * len(keys) * size / sum(sizes.values()) for name, size in sizes.items()
    }
    loads: collections.Counter[str] = collections.Counter()
    found = []
    for key in keys:
        index = bisect.bisect(points, mix(key))
        while loads[names[index % len(names)]] >= limits[names[index % len(names)]]:
            index += 1
        name = names[index % len(names)]
        loads[name] += 1
        found.append(name)
    return found


def maglev(sizes: Sizes, keys: list[int]) -> list[str]:
    """A table that servers fill in turn by permutations of their own, as often as their slots."""
    table: list[str | None] = [None] * TABLE_SIZE
    steps = {
        name: (hash64(name, "offset") % TABLE_SIZE, hash64(name, "skip") % (TABLE_SIZE - 1) + 1)
        for name in sizes
    }
    tried = dict.fromkeys(sizes, 0)
    filled = 0
    while filled < TABLE_SIZE:
        for name, size in sizes.items():
            offset, skip = steps[name]
            for _ in range(min(size, TABLE_SIZE - filled)):
                index = (offset + tried[name] * skip) % TABLE_SIZE
                while table[index] is not None:
                    tried[name] += 1
                    index = (offset + tried[name] * skip) % TABLE_SIZE
                table[index] = name
                filled += 1
    return [t.cast(str, table[int(mix(key) * TABLE_SIZE)]) for key in keys]


def jump(sizes: Sizes, keys: list[int]) -> list[str]:
    """Jump hashing over the slots, in the order of the servers; an end shifts those after it."""
    slots = [name for name, size in sizes.items() for _ in range(size)]
    return [slots[_jump(key, len(slots))] for key in keys]


def _jump(key: int, buckets: int) -> int:
    current, following = -1, 0
    while following < buckets:
        current = following
        key = (key * 2862933555777941757 + 1) & (2**64 - 1)
        following = int((current + 1) * (2**31 / ((key >> 33) + 1)))
    return current


METHODS: dict[str, Method] = {
    "rendezvous": rendezvous,
    "ring": ring,
    "bounded ring": bounded_ring,
    "table": maglev,
    "jump": jump,
}


class Comparison(t.NamedTuple):
    """Figures of one method; moves as multiples of the least possible.

    :param share_error: largest deviation of a server's objects from its share.
    :param choice_us: one choice without a cache, in µs.
    :param change_ms: what a change costs before the first choice, in ms.
    """

    added: float
    removed: float
    resized: float
    share_error: float
    choice_us: float
    change_ms: float


def compare(method: Method, servers: int, objects: int) -> Comparison:
    """Return the figures of a method for servers of 4 and 9 slots."""
    sizes = {f"10.0.{n // 250}.{n % 250}:80": (4, 9)[n % 2] for n in range(servers)}
    keys = [hash64(str(number)) for number in range(objects)]
    middle = list(sizes)[servers // 2]
    total = sum(sizes.values())

    def moved(after: Sizes) -> float:
        pairs = zip(before, method(after, keys), strict=True)
        return sum(one != other for one, other in pairs) / objects

    start = time.process_time()
    method(sizes, keys[:1])
    prepared = time.process_time()
    before = method(sizes, keys)
    ended = time.process_time()
    counts = collections.Counter(before)
    half = sizes[middle] // 2
    return Comparison(
        added=moved({**sizes, "10.9.9.9:80": 9}) / (9 / (total + 9)),
        removed=moved({name: size for name, size in sizes.items() if name != middle})
        / (sizes[middle] / total),
        resized=moved({**sizes, middle: half})
        / (sizes[middle] / total - half / (total - sizes[middle] + half)),
        share_error=max(
            abs(counts[name] / objects / (size / total) - 1.0) for name, size in sizes.items()
        ),
        choice_us=1e6 * max(0.0, (ended - prepared) - (prepared - start)) / objects,
        change_ms=1e3 * (prepared - start),
    )
