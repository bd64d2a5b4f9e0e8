"""Requests for the objects of a replaced server, until they are back at its place."""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import typing as t

from bench._placement_cases import SERVICE
from radishbridge.steering import (
    Selector,
    Server,
    ServerCriteria,
    ServerState,
    ServiceRule,
    SlowStart,
)

SERVERS = 12
SLOTS = 4
OBJECTS = 180
COLD_RUN_S = 1.0
WARM_RUN_S = 0.3
SLOW_START_S = 5.0
REPLACED_AT_S = 40.0
END_S = 100.0


class Setup(t.NamedTuple):
    """Servers and load.

    :param keeps: objects that a server keeps warm.
    :param load: part of the capacity with warm objects that callers use.
    :param slow_start_per_s: requests per second that a cold server takes.
    """

    keeps: int = 30
    load: float = 0.5
    slow_start_per_s: float = 2.0


class Interval(t.NamedTuple):
    """Requests for the objects of a replaced server in one interval.

    :param by_replacement: part that the replacement ran.
    :param cold: part that ran on cold objects.
    :param switches: changes between the replacement and other servers, per object.
    """

    from_s: float
    requests: int
    by_replacement: float
    cold: float
    switches: float


class Served(t.NamedTuple):
    """A request since the replacement was registered.

    :param at_s: time since the former server went; negative before.
    :param is_affected: the former server was the first one for its object.
    """

    at_s: float
    key: str
    is_affected: bool
    by_replacement: bool
    was_warm: bool


def run_replacement(by_place: bool, seed: int, setup: Setup = Setup()) -> list[Served]:
    """Replace one server, whose replacement is cold, and return the requests since then.

    One host serves all requests. The replacement is registered one second before.
    """
    rng = random.Random(seed)
    selector = Selector(SlowStart("host", 1.5, 5.0))
    selector.rules = {SERVICE: ServiceRule(name=SERVICE, slow_start_per_s=setup.slow_start_per_s)}
    for number in range(SERVERS):
        selector.put(_make_server(str(number), 1), 0.0)
    if by_place:
        selector.record_pace(SERVICE)
    criteria = {str(n): ServerCriteria(SERVICE, str(n), None, None) for n in range(OBJECTS)}
    affected: set[str] = set()
    caches: dict[str, collections.OrderedDict[str, None]] = {}
    free_at: dict[str, list[float]] = {}
    served: list[Served] = []
    ends: list[tuple[float, int, ServerState, str, float]] = []
    numbers = itertools.count()
    rate = setup.load * SERVERS * SLOTS / WARM_RUN_S
    now, tick, replaced = 0.0, 0.0, False
    while now < END_S:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            at, _, state, key, latency_s = heapq.heappop(ends)
            state.finish()
            state.record_response(at)
            state.record_success(latency_s, at)
            state.mark_object_warm(key, at)
        if now >= tick:
            tick += 0.5
            selector.settle_places(now)
            selector.update_median_latencies()
        if now >= REPLACED_AT_S - 1.0 and "new" not in selector.states and not replaced:
            affected = {key for key in criteria if _first(selector, criteria[key]) == "0"}
            selector.put(_make_server("new", 2, cold_for_s=SLOW_START_S), now)
        if now >= REPLACED_AT_S and not replaced:
            replaced = True
            selector.remove("0")
        key = str(rng.randrange(OBJECTS))
        chosen = selector.choose(criteria[key], (), now)
        if chosen is None:
            continue
        name = chosen.server.name
        cache = caches.setdefault(name, collections.OrderedDict())
        was_warm = key in cache
        cache[key] = None
        cache.move_to_end(key)
        if len(cache) > setup.keeps:
            cache.popitem(last=False)
        slots = free_at.setdefault(name, [0.0] * SLOTS)
        start = max(now, heapq.heappop(slots))
        end = start + (WARM_RUN_S if was_warm else COLD_RUN_S)
        heapq.heappush(slots, end)
        chosen.start(now)
        heapq.heappush(ends, (end, next(numbers), chosen, key, end - now))
        if now >= REPLACED_AT_S - 1.0:
            served.append(
                Served(now - REPLACED_AT_S, key, key in affected, name == "new", was_warm)
            )
    return served


def summarize_return(histories: t.Iterable[list[Served]], length_s: float) -> list[Interval]:
    """Return what happened to the replaced server's objects in each interval of a length."""
    intervals: dict[int, list[tuple[Served, bool]]] = {}
    objects = 0
    for history in histories:
        last: dict[str, bool] = {}
        for request in history:
            if request.at_s < 0.0 or not request.is_affected:
                continue
            switched = last.get(request.key, request.by_replacement) is not request.by_replacement
            last[request.key] = request.by_replacement
            intervals.setdefault(int(request.at_s / length_s), []).append((request, switched))
        objects += len(last)
    return [
        Interval(
            from_s=number * length_s,
            requests=len(requests),
            by_replacement=sum(request.by_replacement for request, _ in requests) / len(requests),
            cold=sum(not request.was_warm for request, _ in requests) / len(requests),
            switches=sum(switched for _, switched in requests) / objects,
        )
        for number, requests in sorted(intervals.items())
    ]


def _make_server(name: str, incarnation: int, cold_for_s: float = 0.0) -> Server:
    return Server(
        name=name,
        incarnation=incarnation,
        service=SERVICE,
        address=f"10.0.0.{name}:80",
        region="east",
        data_center="east-a",
        version="v1",
        slots=SLOTS,
        cold_for_s=cold_for_s,
    )


def _first(selector: Selector, criteria: ServerCriteria) -> str:
    return selector._ranking(criteria)[0].server.name
