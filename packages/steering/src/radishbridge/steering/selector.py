"""Selection of the backend server for one attempt, or refusal of the request.

Load pattern: at peak load more requests arrive than warm servers can run. A request that waits at a
backend server beyond its target latency takes the place of requests that would still be in time, so
each host sends only as many requests as the servers' load reports show capacity for.
"""

from __future__ import annotations

import collections
import itertools
import statistics
import typing as t

import msgspec

from radishbridge.steering.configuration import ServiceRule
from radishbridge.steering.exclusions import find_unsuitable, find_unusable
from radishbridge.steering.hashing import unit_hash
from radishbridge.steering.load import (
    OTHER_SERVERS_MAX,
    Choice,
    Limits,
    ServiceLoad,
    choose_by_time,
    is_moved,
)
from radishbridge.steering.notices import Notice, ServerNotices
from radishbridge.steering.object_moves import ObjectMoveMeter
from radishbridge.steering.place_registry import PlaceRegistry
from radishbridge.steering.placement import RegionWeights, rank_places, rank_servers
from radishbridge.steering.servers import Server, ServerState
from radishbridge.steering.service_loads import ServiceLoads
from radishbridge.steering.slowstart import SlowStart

# Number of servers that serve an object. Two servers on which it is warm balance its load; each
# further one costs a run on a server where it is cold.
SERVERS_PER_OBJECT = 2
# Occupancy, in requests per slot, by which the first server may exceed the next one before an
# object goes to the next one: where the object is warm on both, and where it is cold on the next
# one. A run on a cold object takes longer by the time of about two runs on a warm one.
WARM_OBJECT_BIAS = 0.3
COLD_OBJECT_BIAS = 1.2
# Requests per slot above which a server gets no more: the last of them would wait for about two
# runs, and its response would be late.
OCCUPANCY_LIMIT = 2.6
# Reduction of that limit for each more urgent priority level of the service's requests, and the
# maximum reduction: under overload the last places stay free for the more urgent levels.
RANK_PENALTY = 0.4
RANK_PENALTY_MAX = 0.8
# Requests per slot up to which a server that does not usually serve the object may run it. Above,
# its slots are worth more for its own objects: a run on a cold object takes several times as long.
FALLBACK_OCCUPANCY_LIMIT = 0.4
# Servers after those of the object that are examined for one that is idle. More would cost each
# refusal of a large fleet too much processor time, and if this many are busy, others are as well.
FALLBACK_SERVERS_MAX = 32
# Weight of a server in this host's own region for a service with large responses: sending them
# between regions costs more than a few more runs on servers where an object is cold.
OWN_REGION_WEIGHT = 24.0
# Occupancy, in requests per slot, by which the servers in the own region may exceed the first
# server elsewhere, for a service with large responses. The object is warm on that server from the
# requests of its own region.
REMOTE_REGION_BIAS = 1.4
# Minimum responses of a service to compute its median latency: the first to arrive are the fastest.
MEDIAN_SAMPLES_MIN = 30
# Maximum number of cached rankings; the oldest are evicted first.
RANKINGS_MAX = 4_096


class ServerCriteria(t.NamedTuple):
    """Criteria for the backend server of an attempt.

    :param key: identifies the object within the service.
    :param home_regions: the only regions that may run the request; ``None`` for all.
    :param versions: the only versions that may run it; ``None`` for all.
    :param has_affinity: servers respond faster for an object that is warm.
    :param names: the only servers that may run it; ``None`` for all.
    :param rank: number of more urgent priority levels of the service's requests.
    :param target_s: target latency in seconds.
    :param remaining_s: time until the request's deadline in seconds.
    """

    service: str
    key: str
    home_regions: frozenset[str] | None
    versions: frozenset[str] | None
    has_affinity: bool = True
    names: frozenset[str] | None = None
    rank: int = 0
    target_s: float = float("inf")
    remaining_s: float = float("inf")


class _PoolKey(t.NamedTuple):
    service: str
    home_regions: frozenset[str] | None
    versions: frozenset[str] | None
    names: frozenset[str] | None


class Selector:
    """Tracks all backend servers and chooses one for each attempt.

    :param slow_start: limits the requests to cold servers.
    :param region: this host's region.
    :param loads: load by service whose servers report pace. Their servers are selected by expected
        time, all others by occupancy.
    :param services_with_pace: services whose servers report pace; their objects are ranked by the
        stable places of servers, all others by the names of servers.
    :param places: the places of these services' servers.
    :param object_moves: counts the objects of these services that change their first server.
    """

    __slots__ = (
        "drained",
        "loads",
        "median_latencies",
        "notices",
        "object_moves",
        "own_region_services",
        "places",
        "pools",
        "rankings",
        "region",
        "rules",
        "services_with_pace",
        "slow_start",
        "states",
        "version_counts",
        "weights",
    )

    def __init__(self, slow_start: SlowStart, region: str = "") -> None:
        self.slow_start = slow_start
        self.region = region
        self.own_region_services: set[str] = set()
        self.states: dict[str, ServerState] = {}
        self.notices = ServerNotices()
        self.drained: frozenset[str] = frozenset()
        self.rules: dict[str, ServiceRule] = {}
        self.weights: dict[str, RegionWeights] = {}
        self.median_latencies: dict[str, float] = {}
        self.pools: dict[_PoolKey, list[ServerState]] = {}
        self.rankings: dict[tuple[_PoolKey, str], list[ServerState]] = {}
        self.version_counts: dict[str, dict[str, int]] = {}
        self.loads = ServiceLoads()
        self.services_with_pace: set[str] = set()
        self.places = PlaceRegistry()
        self.object_moves = ObjectMoveMeter()

    def put(self, server: Server, now: float) -> bool:
        """Add or update a server.

        :return: whether it is new or was restarted.
        """
        state = self.states.get(server.name)
        self.places.update(None if state is None else state.server, server)
        if state is None or _is_restarted(state.server, server):
            state = self.states[server.name] = ServerState(server, now)
            state.notice = self.notices.find(server)
            self.clear_caches()
            return True
        # While servers start, their entries change often, mostly in what is left of the slow start.
        if msgspec.structs.replace(server, cold_for_s=state.server.cold_for_s) != state.server:
            self.clear_caches()
        state.replace(server, now)
        return False

    def remove(self, name: str) -> None:
        """Remove a server whose entry was deleted."""
        state = self.states.pop(name, None)
        if state is not None:
            self.places.update(state.server, None)
            self.clear_caches()

    def record_cold(self, name: str, incarnation: int, cold_for_s: float, now: float) -> bool:
        """Treat a server as cold for longer than its entry says.

        :param incarnation: the server's process that was found cold, as its entry states it.
        :param cold_for_s: rest of the slow start in seconds.
        :return: whether the server was not known to be cold.
        """
        state = self.states.get(name)
        if state is None or state.server.incarnation != incarnation:
            return False
        was_cold = state.is_cold(now)
        state.cold_until = max(state.cold_until, now + cold_for_s)
        return not was_cold

    def record_leaving(self, server: Server) -> bool:
        """Stop sending requests to a server that has said that it is leaving.

        :return: whether that was not known.
        """
        return self._apply_notice(server, self.notices.record_leaving(server))

    def record_pause(self, server: Server, pause_s: float, now: float) -> bool:
        """Stop sending requests to a server for the time that it has asked for.

        :param pause_s: in seconds.
        :return: whether it was not paused already.
        """
        position = unit_hash(f"{self.slow_start.host} {server.name}", "pause")
        return self._apply_notice(server, self.notices.record_pause(server, pause_s, position, now))

    def _apply_notice(self, server: Server, notice: Notice | None) -> bool:
        if notice is None:
            return False
        state = self.states.get(server.name)
        if state is not None and notice.covers(state.server):
            state.notice = notice
            if notice.is_leaving:
                self.clear_caches()
        return True

    def count_by_notice(self, now: float) -> dict[tuple[str, str], int]:
        """Return the number of servers that leave or are paused, by service and state."""
        noted = [state for state in self.states.values() if state.notice is not None]
        return collections.Counter(
            (state.server.service, kind)
            for state in noted
            for kind, holds in (
                ("leaving", state.is_leaving),
                ("paused", state.notice is not None and state.notice.is_paused(now)),
            )
            if holds
        )

    def seconds_until_pause_ends(self, criteria: ServerCriteria, now: float) -> float:
        """Return the seconds until the first of a request's servers takes work again.

        It is 0 if there is none, or if one of them takes work now.
        """
        examined = itertools.islice(
            self._ranking(criteria), SERVERS_PER_OBJECT + FALLBACK_SERVERS_MAX
        )
        first_end = float("inf")
        for state in examined:
            if state.notice is None or not state.notice.is_paused(now):
                return 0.0
            first_end = min(first_end, state.notice.paused_until)
        return 0.0 if first_end == float("inf") else first_end - now

    def set_drained(self, data_centers: t.Iterable[str]) -> None:
        """Set the data centres that get no requests."""
        self.drained = frozenset(data_centers)
        self.clear_caches()

    def prefer_own_region(self, service: str) -> None:
        """Prefer servers in this host's region for a service, because its responses are large."""
        if service not in self.own_region_services:
            self.own_region_services.add(service)
            self._clear_rankings(are_weights=True)

    def record_pace(self, service: str) -> None:
        """Record that a service's servers report pace; its objects are then ranked by places."""
        if service not in self.services_with_pace:
            self.services_with_pace.add(service)
            self.places.open_book(service, (state.server for state in self.states.values()))
            self.rankings.clear()

    def adopt_places(self, service: str, recorded: t.Mapping[str, str]) -> None:
        """Use the places, by server name, that the coordinator has recorded in the store."""
        if self.places.adopt(service, recorded):
            self._clear_rankings()

    def settle_places(self, now: float) -> None:
        """Give places to servers that have waited for one long enough; called periodically."""
        if self.places.settle(now):
            self._clear_rankings()

    def clear_caches(self) -> None:
        """Clear the cached pools, rankings and counts; they are rebuilt on demand."""
        self.pools.clear()
        self._clear_rankings()
        self.version_counts.clear()

    def _clear_rankings(self, are_weights: bool = False) -> None:
        """Clear the cached rankings, and remember the first servers of services with pace.

        :param are_weights: only the weights of regions changed.
        """
        firsts: dict[str, list[tuple[t.Hashable, str]]] = {}
        for (pool_key, key), ranking in self.rankings.items() if self.services_with_pace else ():
            if pool_key.service in self.services_with_pace and pool_key.names is None and ranking:
                first = ((pool_key.home_regions, key), ranking[0].server.name)
                firsts.setdefault(pool_key.service, []).append(first)
        for service, by_object in firsts.items():
            self.object_moves.record_change(service, by_object, are_weights)
        self.rankings.clear()

    def usable_servers(self, service: str) -> list[ServerState]:
        """Return a service's servers that accept requests and are not drained."""
        return self._pool(_PoolKey(service, None, None, None))

    def servers_by_version(self, service: str) -> dict[str, int]:
        """Return the number of a service's servers by version."""
        counts = self.version_counts.get(service)
        if counts is None:
            counts = self.version_counts[service] = {}
            for state in self.states.values():
                if state.server.service == service:
                    counts[state.server.version] = counts.get(state.server.version, 0) + 1
        return counts

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the slots of a service's usable servers by region."""
        slots: dict[str, int] = {}
        for state in self.usable_servers(service):
            region = state.server.region
            slots[region] = slots.get(region, 0) + state.server.slots
        return slots

    def server_names(self, service: str, version: str) -> list[str]:
        """Return the names of the usable servers of one version of a service."""
        return [
            state.server.name
            for state in self.usable_servers(service)
            if state.server.version == version
        ]

    def update_weights(self, service: str, home_bound: t.Mapping[str, float], now: float) -> bool:
        """Update the weights of a service's regions.

        :param home_bound: slots that requests with one home region need, by region.
        :return: whether a region's weight changed.
        """
        slots = self.slots_by_region(service)
        changed = self.weights.setdefault(service, RegionWeights()).update(slots, home_bound, now)
        if changed:
            self._clear_rankings(are_weights=True)
        return changed

    def update_median_latencies(self) -> None:
        """Recompute the median latency of each service's servers."""
        by_service: dict[str, list[ServerState]] = {}
        for state in self.states.values():
            if state.latency_samples:
                by_service.setdefault(state.server.service, []).append(state)
        self.median_latencies = {
            service: statistics.median(state.mean_latency_s for state in states)
            for service, states in by_service.items()
            if sum(state.latency_samples for state in states) >= MEDIAN_SAMPLES_MIN
        }

    def choose(
        self, criteria: ServerCriteria, tried: t.Collection[str], now: float
    ) -> ServerState | None:
        """Return a server with capacity for one more request; ``None`` if there is none.

        :param tried: names of servers that must not be chosen again.
        """
        return self.decide(criteria, tried, now).state

    def decide(self, criteria: ServerCriteria, tried: t.Collection[str], now: float) -> Choice:
        """Return the choice of a server with capacity for one more request, or of none.

        :param tried: names of servers that must not be chosen again.
        """
        choice = self.preview(criteria, tried, now)
        load = self.loads.get(criteria.service)
        if load is not None and load.is_known:
            load.record_choice(choice)
        return choice

    def preview(self, criteria: ServerCriteria, tried: t.Collection[str], now: float) -> Choice:
        """Return what ``decide`` would return, without counting it as a selection."""
        median_s = self.median_latencies.get(criteria.service, 0.0)
        silence_s = self.loads.silence_latency_s(criteria.service, median_s)
        load = self.loads.get(criteria.service)
        candidates = (state for state in self._ranking(criteria) if state.server.name not in tried)
        available = (
            state
            for state in candidates
            if not state.is_ejected(now)
            and not state.is_silent(silence_s, now)
            and not state.is_paused(now)
            and (load is None or not load.avoids(state, self.slow_start.host, now))
        )
        first = list(itertools.islice(available, SERVERS_PER_OBJECT))
        if not first:
            available = (
                state
                for state in self._ranking(criteria)
                if state.server.name not in tried and not state.is_paused(now)
            )
            first = list(itertools.islice(available, SERVERS_PER_OBJECT))
        others = itertools.islice(available, FALLBACK_SERVERS_MAX)
        if load is not None and load.is_known:
            return self._choose_by_time(
                load, first, others, criteria, now, lambda state: self._admits(state, now)
            )
        return Choice(self._pick(first, others, criteria, median_s, now))

    def _choose_by_time(
        self,
        load: ServiceLoad,
        first: list[ServerState],
        others: t.Iterator[ServerState],
        criteria: ServerCriteria,
        now: float,
        admits: t.Callable[[ServerState], bool],
    ) -> Choice:
        key = criteria.key if criteria.has_affinity else ""
        if key and len(first) > 1 and is_moved(first[0], first[1], key):
            # Objects with large responses stay in their region.
            regions = {state.server.region for state in first}
            if len(regions) == 1 or criteria.service not in self.own_region_services:
                first.reverse()
        estimates = [
            load.estimate(state, position, key, now) for position, state in enumerate(first)
        ]
        if criteria.service in self.own_region_services:
            others_read = list(others)
            others = iter(others_read)
            remote = self._first_remote(others_read)
            if remote is not None:
                estimates.append(load.estimate(remote, 1, key, now))
        limits = Limits(criteria.target_s, criteria.remaining_s, criteria.rank)
        by_time = (
            load.estimate(state, SERVERS_PER_OBJECT, key, now)
            for state in itertools.islice(others, OTHER_SERVERS_MAX)
        )
        return choose_by_time(estimates, by_time, limits, admits)

    def has_room(self, criteria: ServerCriteria, now: float) -> bool:
        """Return whether a server would be chosen now, without taking its place."""
        load = self.loads.get(criteria.service)
        if load is not None and load.is_known:
            return self._has_room_in_time(load, criteria, now)
        limits = itertools.chain(
            itertools.repeat(_occupancy_limit(criteria.rank), SERVERS_PER_OBJECT),
            itertools.repeat(FALLBACK_OCCUPANCY_LIMIT, FALLBACK_SERVERS_MAX),
        )
        return any(
            state.occupancy(now) < limit and not state.is_ejected(now) and not state.is_paused(now)
            for state, limit in zip(self._ranking(criteria), limits, strict=False)
        )

    def _has_room_in_time(self, load: ServiceLoad, criteria: ServerCriteria, now: float) -> bool:
        usable = (
            state
            for state in self._ranking(criteria)
            if not state.is_ejected(now) and not state.is_paused(now)
        )
        first = list(itertools.islice(usable, SERVERS_PER_OBJECT))
        others = itertools.islice(usable, FALLBACK_SERVERS_MAX)
        choice = self._choose_by_time(load, first, others, criteria, now, lambda state: True)
        return choice.state is not None

    def _pick(
        self,
        first: list[ServerState],
        others: t.Iterator[ServerState],
        criteria: ServerCriteria,
        median_s: float,
        now: float,
    ) -> ServerState | None:
        """Return one of the object's servers, or an idle one of the others.

        :param others: the servers after them in the ranking; read only as far as needed.
        """
        limit = _occupancy_limit(criteria.rank)
        biases = {
            state: _bias(position, state, criteria, now) for position, state in enumerate(first)
        }
        remote = None
        if criteria.service in self.own_region_services:
            others_read = list(others)
            others = iter(others_read)
            remote = self._first_remote([*first, *others_read])
        if remote is not None:
            biases[remote] = min(REMOTE_REGION_BIAS, biases.get(remote, REMOTE_REGION_BIAS))
        preferred = sorted(
            biases,
            key=lambda state: state.occupancy(now) + state.slowness(median_s, now) + biases[state],
        )
        for state in preferred:
            if state.occupancy(now) < limit and self._admits(state, now):
                return state
        fallbacks = (state for state in others if state.occupancy(now) < FALLBACK_OCCUPANCY_LIMIT)
        return next((state for state in fallbacks if self._admits(state, now)), None)

    def _first_remote(self, available: t.Iterable[ServerState]) -> ServerState | None:
        return next((state for state in available if state.server.region != self.region), None)

    def _admits(self, state: ServerState, now: float) -> bool:
        if not state.is_cold(now):
            return True
        rule = self.rules.get(state.server.service)
        rate_per_s = rule.slow_start_per_s if rule is not None else 0.0
        return self.slow_start.admit(state.server.name, rate_per_s, now)

    def _ranking(self, criteria: ServerCriteria) -> list[ServerState]:
        cache_key = (
            _PoolKey(criteria.service, criteria.home_regions, criteria.versions, criteria.names),
            criteria.key,
        )
        ranking = self.rankings.get(cache_key)
        if ranking is None:
            if len(self.rankings) >= RANKINGS_MAX:
                del self.rankings[next(iter(self.rankings))]
            ranking = self.rankings[cache_key] = self._build_ranking(*cache_key)
        return ranking

    def _build_ranking(self, pool_key: _PoolKey, key: str) -> list[ServerState]:
        weights: dict[str, float] = {}
        if pool_key.home_regions is None and pool_key.service in self.weights:
            weights.update(self.weights[pool_key.service].weights)

        def weight(server: Server) -> float:
            return weights.get(server.region, 1.0) * self._region_weight(server)

        pool = self._pool(pool_key)
        book = self.places.books.get(pool_key.service)
        if book is None:
            return rank_servers(f"{pool_key.service}\0{key}", pool, weight)
        ranking = rank_places(f"{pool_key.service}\0{key}", pool, weight, book)
        if ranking and pool_key.names is None:
            first = ranking[0].server.name
            self.object_moves.record_ranking(
                pool_key.service, (pool_key.home_regions, key), first, self._takes_objects
            )
        return ranking

    def _takes_objects(self, name: str) -> bool:
        state = self.states.get(name)
        return state is not None and self._is_usable(state)

    def _region_weight(self, server: Server) -> float:
        is_preferred = server.service in self.own_region_services and server.region == self.region
        return OWN_REGION_WEIGHT if is_preferred else 1.0

    def _pool(self, pool_key: _PoolKey) -> list[ServerState]:
        pool = self.pools.get(pool_key)
        if pool is None:
            pool = self.pools[pool_key] = [
                state for state in self.states.values() if self._matches(state, pool_key)
            ]
        return pool

    def takes_requests(self, state: ServerState, now: float) -> bool:
        """Return whether a previously chosen server may still get a request."""
        current = self.states.get(state.server.name)
        if current is not state or not self._is_usable(state):
            return False
        return state.notice is None or not state.notice.is_paused(now)

    def _is_usable(self, state: ServerState) -> bool:
        return find_unusable(state, self.drained) is None

    def _matches(self, state: ServerState, pool_key: _PoolKey) -> bool:
        return (
            state.server.service == pool_key.service
            and self._is_usable(state)
            and find_unsuitable(state, pool_key.home_regions, pool_key.versions, pool_key.names)
            is None
        )


def _occupancy_limit(rank: int) -> float:
    return OCCUPANCY_LIMIT - min(RANK_PENALTY_MAX, RANK_PENALTY * rank)


def _bias(position: int, state: ServerState, criteria: ServerCriteria, now: float) -> float:
    if not criteria.has_affinity or state.has_warm_object(criteria.key, now):
        return WARM_OBJECT_BIAS * position
    return COLD_OBJECT_BIAS * (position + 0.5)


def _is_restarted(current: Server, update: Server) -> bool:
    return current.incarnation != update.incarnation or current.address != update.address
