"""Choice of the backend server for one attempt, or the refusal of the request.

Load pattern: at the worst of the day more requests come than warm servers can run. What waits at
a backend server beyond the time in which its answer is of use takes the place of requests that
would still be in time, so that each host sends only what the servers' own reports show room for.
"""

from __future__ import annotations

import statistics
import typing as t

from radishbridge.steering.configuration import ServiceRule
from radishbridge.steering.placement import RegionWeights, order
from radishbridge.steering.servers import Server, ServerState
from radishbridge.steering.slowstart import SlowStart

# Servers that share an object. Two servers that both know it balance its load; each further one
# costs a run on a server that does not.
SHARING = 2
# How much fuller, in requests for each slot, the first server may be than the next one before
# an object that both know goes to that one, and before one goes there that it does not know: a
# run on an unknown object takes the time of some two known ones more.
KNOWN_BIAS = 0.3
UNKNOWN_BIAS = 1.2
# Requests for each slot above which a server gets no more: the last of them would wait for
# about two services, and its answer be late.
MOST_LIMIT = 2.6
# How much less that is for each kind of requests of the service that is more urgent, and the most
# that it may be less: under overload the more urgent kinds find the last places free.
RANK_STEP = 0.4
RANK_MOST = 0.8
# Requests for each slot up to which a server that does not share the object helps out. Above,
# its slots are worth more for its own objects: a run there takes several times as long.
HELP_LIMIT = 0.4
# How much more a server of this host's own region weighs for a service of large answers: their
# bytes between regions cost more than a few more runs on servers that do not know an object.
NEAR_WEIGHT = 24.0
# How much fuller, in requests for each slot, the near servers of a large answer may be than the
# first one elsewhere, which knows the object by the requests of its own region.
FAR_BIAS = 1.4
# Answers of a service that this host needs to tell its usual time: the first ones to come are
# the fastest.
MEDIAN_SAMPLES = 30
# Orders of objects kept; the least lately built ones go first.
ORDERS_KEPT = 4_096


class ServerCriteria(t.NamedTuple):
    """What an attempt needs of a backend server.

    :param home_regions: the only regions that may run it; ``None`` for all.
    :param versions: the only versions that may run it; ``None`` for all.
    :param key: what tells objects of the service apart.
    :param has_affinity: servers are faster for an object they know.
    :param names: the only servers that may run it; ``None`` for all.
    :param rank: how many kinds of requests of the service are more urgent.
    """

    service: str
    key: str
    home_regions: frozenset[str] | None
    versions: frozenset[str] | None
    has_affinity: bool = True
    names: frozenset[str] | None = None
    rank: int = 0


class _PoolKey(t.NamedTuple):
    service: str
    home_regions: frozenset[str] | None
    versions: frozenset[str] | None
    names: frozenset[str] | None


class Selector:
    """Knows all backend servers and chooses among them.

    :param slow_start: bounds on what cold servers get.
    :param region: this host's region.
    """

    __slots__ = (
        "bulky",
        "counts",
        "drained",
        "median_latencies",
        "orders",
        "pools",
        "region",
        "rules",
        "slow_start",
        "states",
        "weights",
    )

    def __init__(self, slow_start: SlowStart, region: str = "") -> None:
        self.slow_start = slow_start
        self.region = region
        self.bulky: set[str] = set()
        self.states: dict[str, ServerState] = {}
        self.drained: frozenset[str] = frozenset()
        self.rules: dict[str, ServiceRule] = {}
        self.weights: dict[str, RegionWeights] = {}
        self.median_latencies: dict[str, float] = {}
        self.pools: dict[_PoolKey, list[ServerState]] = {}
        self.orders: dict[tuple[_PoolKey, str], list[ServerState]] = {}
        self.counts: dict[str, dict[str, int]] = {}

    def put(self, server: Server, now: float) -> bool:
        """Take over a new or changed server.

        :return: whether it is another start than the one known by this name.
        """
        state = self.states.get(server.name)
        reborn = state is None or _is_reborn(state.server, server)
        if reborn or state is None:
            self.states[server.name] = ServerState(server, now)
        else:
            state.replace(server, now)
        self.forget_orders()
        return reborn

    def remove(self, name: str) -> None:
        """Forget a server whose entry is gone."""
        if self.states.pop(name, None) is not None:
            self.forget_orders()

    def set_drained(self, data_centers: t.Iterable[str]) -> None:
        """Take over which data centres get no requests."""
        self.drained = frozenset(data_centers)
        self.forget_orders()

    def prefer_own_region(self, service: str) -> None:
        """Note that a service's answers are large, so that near servers are preferred."""
        if service not in self.bulky:
            self.bulky.add(service)
            self.orders.clear()

    def forget_orders(self) -> None:
        """Build pools and orders anew when they are next needed."""
        self.pools.clear()
        self.orders.clear()
        self.counts.clear()

    def usable(self, service: str) -> list[ServerState]:
        """Return a service's servers that take requests, drains considered."""
        return self._pool(_PoolKey(service, None, None, None))

    def servers_by_version(self, service: str) -> dict[str, int]:
        """Return the number of a service's servers by version."""
        counts = self.counts.get(service)
        if counts is None:
            counts = self.counts[service] = {}
            for state in self.states.values():
                if state.server.service == service:
                    counts[state.server.version] = counts.get(state.server.version, 0) + 1
        return counts

    def slots_by_region(self, service: str) -> dict[str, int]:
        """Return the slots of a service's servers that take requests, by region."""
        slots: dict[str, int] = {}
        for state in self.usable(service):
            region = state.server.region
            slots[region] = slots.get(region, 0) + state.server.slots
        return slots

    def server_names(self, service: str, version: str) -> list[str]:
        """Return the servers of one version of a service that take requests."""
        return [
            state.server.name for state in self.usable(service) if state.server.version == version
        ]

    def update_weights(self, service: str, home_bound: t.Mapping[str, float], now: float) -> bool:
        """Take over how many slots home-bound requests need in each region.

        :return: whether a region's weight changed.
        """
        slots = self.slots_by_region(service)
        changed = self.weights.setdefault(service, RegionWeights()).update(slots, home_bound, now)
        if changed:
            self.orders.clear()
        return changed

    def update_median_latencies(self) -> None:
        """Take the median speed of each service's servers anew."""
        seen: dict[str, list[ServerState]] = {}
        for state in self.states.values():
            if state.samples:
                seen.setdefault(state.server.service, []).append(state)
        self.median_latencies = {
            service: statistics.median(state.speed_s for state in states)
            for service, states in seen.items()
            if sum(state.samples for state in states) >= MEDIAN_SAMPLES
        }

    def choose(
        self, criteria: ServerCriteria, tried: t.Collection[str], now: float
    ) -> ServerState | None:
        """Return a server with room for one more request; ``None`` where there is none."""
        candidates = [state for state in self._order(criteria) if state.server.name not in tried]
        median_s = self.median_latencies.get(criteria.service, 0.0)
        alive = [
            state
            for state in candidates
            if not state.is_out(now) and not state.is_silent(median_s, now)
        ]
        return self._place(alive or candidates, criteria, median_s, now)

    def _place(
        self, alive: list[ServerState], criteria: ServerCriteria, median_s: float, now: float
    ) -> ServerState | None:
        limit = MOST_LIMIT - min(RANK_MOST, RANK_STEP * criteria.rank)
        biases = {
            state: _bias(position, state, criteria, now)
            for position, state in enumerate(alive[:SHARING])
        }
        far = self._far(alive, criteria)
        if far is not None:
            biases[far] = min(FAR_BIAS, biases.get(far, FAR_BIAS))
        sharing = sorted(
            biases,
            key=lambda state: state.occupancy(now) + state.slowness(median_s, now) + biases[state],
        )
        for state in sharing:
            if state.occupancy(now) < limit and self._admits(state, now):
                return state
        helping = (state for state in alive[SHARING:] if state.occupancy(now) < HELP_LIMIT)
        return next((state for state in helping if self._admits(state, now)), None)

    def _far(self, alive: list[ServerState], criteria: ServerCriteria) -> ServerState | None:
        # The first server of another region, for a service whose objects stay near.
        if criteria.service not in self.bulky:
            return None
        return next((state for state in alive if state.server.region != self.region), None)

    def _admits(self, state: ServerState, now: float) -> bool:
        if not state.is_cold(now):
            return True
        rule = self.rules.get(state.server.service)
        rate_per_s = rule.slow_start_per_s if rule is not None else 0.0
        return self.slow_start.may_send(state.server.name, rate_per_s, now)

    def _order(self, criteria: ServerCriteria) -> list[ServerState]:
        at = (
            _PoolKey(criteria.service, criteria.home_regions, criteria.versions, criteria.names),
            criteria.key,
        )
        held = self.orders.get(at)
        if held is None:
            if len(self.orders) >= ORDERS_KEPT:
                del self.orders[next(iter(self.orders))]
            held = self.orders[at] = self._build_order(*at)
        return held

    def _build_order(self, pool: _PoolKey, key: str) -> list[ServerState]:
        weights: dict[str, float] = {}
        if pool.home_regions is None and pool.service in self.weights:
            weights.update(self.weights[pool.service].weights)

        def weight(server: Server) -> float:
            return weights.get(server.region, 1.0) * self._nearness(server)

        return order(f"{pool.service}\0{key}", self._pool(pool), weight)

    def _nearness(self, server: Server) -> float:
        is_near = server.service in self.bulky and server.region == self.region
        return NEAR_WEIGHT if is_near else 1.0

    def _pool(self, key: _PoolKey) -> list[ServerState]:
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = [
                state for state in self.states.values() if self._belongs(state.server, key)
            ]
        return pool

    def takes_requests(self, state: ServerState) -> bool:
        """Whether a server that was chosen before may still be sent a request."""
        held = self.states.get(state.server.name)
        return held is state and self._is_in_use(state.server)

    def _is_in_use(self, server: Server) -> bool:
        return not server.draining and server.data_center not in self.drained

    def _belongs(self, server: Server, key: _PoolKey) -> bool:
        return (
            server.service == key.service
            and self._is_in_use(server)
            and (key.home_regions is None or server.region in key.home_regions)
            and (key.versions is None or server.version in key.versions)
            and (key.names is None or server.name in key.names)
        )


def _bias(position: int, state: ServerState, criteria: ServerCriteria, now: float) -> float:
    if not criteria.has_affinity or state.knows(criteria.key, now):
        return KNOWN_BIAS * position
    return UNKNOWN_BIAS * (position + 0.5)


def _is_reborn(held: Server, seen: Server) -> bool:
    return held.incarnation != seen.incarnation or held.address != seen.address
