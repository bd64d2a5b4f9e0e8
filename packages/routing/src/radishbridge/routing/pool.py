"""Backend servers of one version of a service, grouped by distance from this host."""

from __future__ import annotations

import itertools
import random
import typing as t

from radishbridge.records import Backend
from radishbridge.routing.server import ServerState

MAX_EJECTED_SHARE = 0.5


class HostLocation:
    """The region and data centre of this host."""

    __slots__ = ("data_center", "region")

    def __init__(self, region: str, data_center: str) -> None:
        self.region = region
        self.data_center = data_center

    def distance(self, backend: Backend) -> int:
        """Return 0 for the same data centre, 1 for the same region, 2 for another region."""
        if backend.data_center == self.data_center:
            return 0
        return 1 if backend.region == self.region else 2


class DistanceTier:
    """Backend servers at one distance that have free capacity.

    Adding and removing a server takes constant time, so the cost of a selection does not grow
    with the number of backend servers.
    """

    __slots__ = ("available",)

    def __init__(self) -> None:
        self.available: list[ServerState] = []

    def refresh(self, server: ServerState) -> None:
        """Add or remove a server according to its free capacity."""
        if server.has_capacity:
            if server.available_index < 0:
                server.available_index = len(self.available)
                self.available.append(server)
        elif server.available_index >= 0:
            last = self.available.pop()
            if last is not server:
                self.available[server.available_index] = last
                last.available_index = server.available_index
            server.available_index = -1

    def pick(self, tried: t.Collection[str], rng: random.Random) -> ServerState | None:
        """Return the less loaded of two random servers that were not tried."""
        servers = self.available
        if tried:
            servers = [server for server in servers if server.backend.name not in tried]
        if not servers:
            return None
        count = len(servers)
        first = servers[int(rng.random() * count)]
        second = servers[int(rng.random() * count)]
        return first if first.load <= second.load else second


class ServerPool:
    """All backend servers of a service that may receive its traffic.

    :param location: location of this host.
    """

    __slots__ = ("ejected", "location", "rng", "servers", "tiers")

    def __init__(self, location: HostLocation, rng: random.Random) -> None:
        self.location = location
        self.rng = rng
        self.servers: dict[str, ServerState] = {}
        self.tiers = (DistanceTier(), DistanceTier(), DistanceTier())
        self.ejected: list[ServerState] = []

    def update(self, backends: t.Iterable[Backend]) -> None:
        """Replace the list of servers; a server that keeps its address keeps its state."""
        known = self.servers
        self.servers = {}
        for backend in backends:
            server = known.get(backend.name)
            if server is None or server.backend.address != backend.address:
                server = ServerState(backend, cold=bool(known))
            else:
                server.update_backend(backend)
            server.available_index = -1
            self.servers[backend.name] = server
        self.ejected = [server for server in self.servers.values() if server.ejected_until]
        self.tiers = (DistanceTier(), DistanceTier(), DistanceTier())
        for server in self.servers.values():
            self.refresh(server)

    def acquire(self, tried: t.Collection[str], now: float) -> ServerState | None:
        """Acquire a slot at the nearest server with free capacity."""
        if self.ejected:
            self._readmit_due(now)
        picks = (tier.pick(tried, self.rng) for tier in self.tiers)
        server = next((picked for picked in picks if picked is not None), None)
        if server is not None:
            server.in_flight += 1
            self.refresh(server)
        return server

    def eject(self, server: ServerState, now: float) -> bool:
        """Eject a server unless ``MAX_EJECTED_SHARE`` of the servers would be exceeded.

        :return: whether the server was ejected.
        """
        if len(self.ejected) + 1 > len(self.servers) * MAX_EJECTED_SHARE:
            return False
        server.eject(now, self.rng.random())
        self.ejected.append(server)
        return True

    def refresh(self, server: ServerState) -> None:
        """Update the server's tier after its free capacity may have changed."""
        if self.servers.get(server.backend.name) is server:
            self.tiers[self.location.distance(server.backend)].refresh(server)

    def _readmit_due(self, now: float) -> None:
        due = [server for server in self.ejected if server.ejected_until <= now]
        for server in due:
            self.ejected.remove(server)
            server.readmit()
            self.refresh(server)

    def nearest_first(self) -> list[ServerState]:
        """Return all servers by distance, then by name."""
        by_distance = sorted(self.servers.values(), key=self._distance)
        groups = itertools.groupby(by_distance, key=self._distance)
        return [server for _, group in groups for server in sorted(group, key=_name)]

    def _distance(self, server: ServerState) -> int:
        return self.location.distance(server.backend)


def _name(server: ServerState) -> str:
    return server.backend.name
