"""Placement policies of the experiment tool: ours, and naive ones as baselines."""

from __future__ import annotations

import random

from bench._served import Policy
from radishbridge.steering import LoadReport, Selector, Server, ServerCriteria, SlowStart

# Pause between two looks at the servers' speeds, in seconds, as in the entry host.
MEDIANS_S = 0.2


class SteeringPolicy:
    """The decisions of an entry host: ``radishbridge.steering.Selector``."""

    __slots__ = ("looked_at", "selector")

    def __init__(self, host: str, region: str, servers: list[Server], rng: random.Random) -> None:
        self.selector = Selector(SlowStart(host, 1.5, 5.0), region)
        self.looked_at = 0.0
        for server in servers:
            self.selector.put(server, 0.0)

    def choose(self, key: str, tried: list[str], now: float) -> str | None:
        """Return the server for an attempt."""
        if now - self.looked_at > MEDIANS_S:
            self.looked_at = now
            self.selector.update_median_latencies()
        state = self.selector.choose(ServerCriteria("service", key, None, None), tried, now)
        return None if state is None else state.server.name

    def sent(self, server: str, now: float) -> None:
        """Note that a request goes to a server."""
        self.selector.states[server].start(now)

    def ended(self, server: str, key: str, latency_s: float | None, now: float) -> None:
        """Note an attempt's end."""
        state = self.selector.states[server]
        state.finish()
        if latency_s is None:
            state.record_failure(now)
            return
        state.record_success(latency_s, now)
        state.mark_object_warm(key, now)

    def reported(self, server: str, load: LoadReport, now: float) -> None:
        """Note a server's report of its load."""
        state = self.selector.states[server]
        state.record_response(now)
        state.record_load(load, now)


class NaivePolicy:
    """Counts what it has in flight, and knows nothing else."""

    __slots__ = ("in_flight", "names", "region", "rng", "servers")

    def __init__(self, host: str, region: str, servers: list[Server], rng: random.Random) -> None:
        self.servers = {server.name: server for server in servers}
        self.names = sorted(self.servers)
        self.region = region
        self.rng = rng
        self.in_flight = dict.fromkeys(self.names, 0)

    def choose(self, key: str, tried: list[str], now: float) -> str | None:
        """Return any server."""
        return self.rng.choice([name for name in self.names if name not in tried])

    def sent(self, server: str, now: float) -> None:
        """Note that a request goes to a server."""
        self.in_flight[server] += 1

    def ended(self, server: str, key: str, latency_s: float | None, now: float) -> None:
        """Note an attempt's end."""
        self.in_flight[server] -= 1

    def reported(self, server: str, load: LoadReport, now: float) -> None:
        """Ignore a report."""


class NearestPolicy(NaivePolicy):
    """Takes the nearest server with the least in flight."""

    __slots__ = ()

    def choose(self, key: str, tried: list[str], now: float) -> str | None:
        """Return a server of the own region that has the fewest requests of this host."""
        left = [name for name in self.names if name not in tried]
        return min(
            left,
            key=lambda name: (
                self.in_flight[name],
                self.servers[name].region != self.region,
                self.rng.random(),
            ),
        )


class UnboundedPolicy(SteeringPolicy):
    """Places objects like ours, and refuses nothing: the first server in order takes all."""

    __slots__ = ()

    def choose(self, key: str, tried: list[str], now: float) -> str | None:
        """Return the first server of the object's order."""
        order = self.selector._ranking(ServerCriteria("service", key, None, None))
        return next((state.server.name for state in order if state.server.name not in tried), None)


POLICIES: dict[str, type[Policy]] = {
    "steering": SteeringPolicy,
    "unbounded": UnboundedPolicy,
    "nearest": NearestPolicy,
    "random": NaivePolicy,
}
