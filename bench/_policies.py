"""Placement policies for the simulation: the entry host's own, and baselines to compare with."""

from __future__ import annotations

import random

from bench._simulation import Policy, TimeLimits
from radishbridge.steering import (
    Choice,
    LoadReport,
    Selector,
    Server,
    ServerCriteria,
    SlowStart,
    retry_delay_s,
)

# Interval between updates of the servers' median latencies; the same as in the entry host.
MEDIAN_UPDATE_INTERVAL_S = 0.2


class SteeringPolicy:
    """The decisions of an entry host: ``radishbridge.steering.Selector``."""

    __slots__ = ("choice", "choices", "medians_updated_at", "remaining_s", "rng", "selector")

    def __init__(self, host: str, region: str, servers: list[Server], rng: random.Random) -> None:
        self.selector = Selector(SlowStart(host, 1.5, 5.0), region)
        self.medians_updated_at = 0.0
        self.rng = rng
        self.choice = Choice(None)
        self.remaining_s = 0.0
        self.choices: dict[tuple[str, str], Choice] = {}
        for server in servers:
            self.selector.put(server, 0.0)

    def choose(self, key: str, tried: list[str], now: float, limits: TimeLimits) -> str | None:
        """Return the server for an attempt."""
        if now - self.medians_updated_at > MEDIAN_UPDATE_INTERVAL_S:
            self.medians_updated_at = now
            self.selector.update_median_latencies()
        criteria = ServerCriteria(
            "service", key, None, None, target_s=limits.target_s, remaining_s=limits.remaining_s
        )
        self.remaining_s = limits.remaining_s
        self.choice = self.selector.decide(criteria, tried, now)
        if self.choice.state is None:
            return None
        name = self.choice.state.server.name
        self.choices[name, key] = self.choice
        return name

    def retry_after_s(self) -> float | None:
        """Return the delay to state with the last refusal."""
        usual_s = self.rng.uniform(0.15, 0.4)
        return retry_delay_s(self.choice, usual_s, self.remaining_s, self.rng.random())

    def record_sent(self, server: str, now: float) -> None:
        """Record that a request is sent to a server."""
        self.selector.states[server].start(now)

    def record_attempt_end(
        self, server: str, key: str, latency_s: float | None, now: float
    ) -> None:
        """Record the end of an attempt."""
        state = self.selector.states[server]
        state.finish()
        if latency_s is None:
            state.record_failure(now)
            return
        state.record_success(latency_s, now)
        state.mark_object_warm(key, now)
        choice = self.choices.get((server, key))
        if choice is not None:
            self.selector.loads.record_run(state, choice, latency_s)

    def record_load(self, server: str, load: LoadReport, now: float) -> None:
        """Record the load that a server reported."""
        state = self.selector.states[server]
        state.record_response(now)
        self.selector.loads.record_load(state, load, now)

    def record_shared(self, loads: dict[str, LoadReport], age_s: float, now: float) -> None:
        """Record the loads that servers reported to other hosts."""
        for server, load in loads.items():
            if load.has_pace:
                state = self.selector.states[server]
                self.selector.loads.record_shared_load(state, load, now - age_s, now)
        self.selector.loads.record_summary({"service": len(loads) / len(self.selector.states)}, now)


class OccupancyPolicy(SteeringPolicy):
    """Selects by occupancy, as for servers that report three figures."""

    __slots__ = ()

    def record_load(self, server: str, load: LoadReport, now: float) -> None:
        """Record the load that a server reported, without its pace."""
        super().record_load(server, LoadReport(load.running, load.waiting, load.slots), now)

    def record_shared(self, loads: dict[str, LoadReport], age_s: float, now: float) -> None:
        """Ignore the loads reported to other hosts."""


class BlindPolicy(SteeringPolicy):
    """Selects by occupancy and knows only its own requests."""

    __slots__ = ()

    def record_load(self, server: str, load: LoadReport, now: float) -> None:
        """Record that the server responded."""
        self.selector.states[server].record_response(now)


class RandomPolicy:
    """Chooses servers at random; tracks only its own in-flight requests."""

    __slots__ = ("in_flight", "names", "region", "rng", "servers")

    def __init__(self, host: str, region: str, servers: list[Server], rng: random.Random) -> None:
        self.servers = {server.name: server for server in servers}
        self.names = sorted(self.servers)
        self.region = region
        self.rng = rng
        self.in_flight = dict.fromkeys(self.names, 0)

    def choose(self, key: str, tried: list[str], now: float, limits: TimeLimits) -> str | None:
        """Return a random server that hasn't been tried."""
        return self.rng.choice([name for name in self.names if name not in tried])

    def record_sent(self, server: str, now: float) -> None:
        """Record that a request is sent to a server."""
        self.in_flight[server] += 1

    def record_attempt_end(
        self, server: str, key: str, latency_s: float | None, now: float
    ) -> None:
        """Record the end of an attempt."""
        self.in_flight[server] -= 1

    def record_load(self, server: str, load: LoadReport, now: float) -> None:
        """Ignore the reported load."""

    def record_shared(self, loads: dict[str, LoadReport], age_s: float, now: float) -> None:
        """Ignore the reported loads."""

    def retry_after_s(self) -> float | None:
        """Return ``None``, for the usual delay."""
        return None


class NearestPolicy(RandomPolicy):
    """Chooses the server with the fewest in-flight requests, local servers first."""

    __slots__ = ()

    def choose(self, key: str, tried: list[str], now: float, limits: TimeLimits) -> str | None:
        """Return the server with the fewest requests of this host, preferring its own region."""
        untried = [name for name in self.names if name not in tried]
        return min(
            untried,
            key=lambda name: (
                self.in_flight[name],
                self.servers[name].region != self.region,
                self.rng.random(),
            ),
        )


class UnboundedPolicy(SteeringPolicy):
    """Ranks servers as ``SteeringPolicy`` does, but ignores load and never refuses a request."""

    __slots__ = ()

    def choose(self, key: str, tried: list[str], now: float, limits: TimeLimits) -> str | None:
        """Return the first untried server in the object's ranking."""
        ranking = self.selector._ranking(ServerCriteria("service", key, None, None))
        return next(
            (state.server.name for state in ranking if state.server.name not in tried), None
        )


POLICIES: dict[str, type[Policy]] = {
    "steering": SteeringPolicy,
    "occupancy": OccupancyPolicy,
    "blind": BlindPolicy,
    "unbounded": UnboundedPolicy,
    "nearest": NearestPolicy,
    "random": RandomPolicy,
}
