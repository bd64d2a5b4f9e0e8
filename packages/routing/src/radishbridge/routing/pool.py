"""The backend servers of one version of a service, by distance from this host."""

from __future__ import annotations

import itertools
import random
import typing as t

from radishbridge.records import Backend
from radishbridge.routing.server import ServerState

MAX_EJECTED_SHARE = 0.5


class Place:
    """The region and data centre of this host."""

    __slots__ = ("data_center", "region")

    def __init__(self, region: str, data_center: str) -> None:
        self.region = region
        self.data_center = data_center

    def distance(self, backend: Backend) -> int:
        """Return 0 for the same data centre, 1 for the same region, 2 for another one."""
        if backend.data_center == self.data_center:
            return 0
        return 1 if backend.region == self.region else 2


class Tier:
    """Backend servers at one distance; those with room are kept apart.

    Taking and leaving the set of servers with room costs constant time, so that a choice does
    not grow with the number of backend servers.
    """

    __slots__ = ("with_room",)

    def __init__(self) -> None:
        self.with_room: list[ServerState] = []

    def refresh(self, server: ServerState) -> None:
        """Put a server into the set of those with room, or take it out."""
        if server.has_room:
            if server.position < 0:
                server.position = len(self.with_room)
                self.with_room.append(server)
        elif server.position >= 0:
            last = self.with_room.pop()
            if last is not server:
                self.with_room[server.position] = last
                last.position = server.position
            server.position = -1

    def pick(self, tried: t.Collection[str], rng: random.Random) -> ServerState | None:
        """Return the less loaded of two random servers that were not tried."""
        servers = self.with_room
        if tried:
            servers = [server for server in servers if server.backend.name not in tried]
        if not servers:
            return None
        count = len(servers)
        first = servers[int(rng.random() * count)]
        second = servers[int(rng.random() * count)]
        return first if first.load <= second.load else second


class Pool:
    """All backend servers of a service that take its traffic.

    :param place: where this host is.
    """

    __slots__ = ("ejected", "place", "rng", "servers", "tiers")

    def __init__(self, place: Place, rng: random.Random) -> None:
        self.place = place
        self.rng = rng
        self.servers: dict[str, ServerState] = {}
        self.tiers = (Tier(), Tier(), Tier())
        self.ejected: list[ServerState] = []

    def update(self, backends: t.Iterable[Backend]) -> None:
        """Take over a changed list; servers that stay keep their state."""
        known = self.servers
        self.servers = {}
        for backend in backends:
            server = known.get(backend.name)
            if server is None or server.backend.address != backend.address:
                server = ServerState(backend, cold=bool(known))
            else:
                server.replace(backend)
            server.position = -1
            self.servers[backend.name] = server
        self.ejected = [server for server in self.servers.values() if server.ejected_until]
        self.tiers = (Tier(), Tier(), Tier())
        for server in self.servers.values():
            self.refresh(server)

    def take(self, tried: t.Collection[str], now: float) -> ServerState | None:
        """Take a slot at the nearest server with room."""
        if self.ejected:
            self._readmit(now)
        picks = (tier.pick(tried, self.rng) for tier in self.tiers)
        server = next((one for one in picks if one is not None), None)
        if server is not None:
            server.in_flight += 1
            self.refresh(server)
        return server

    def eject(self, server: ServerState, now: float) -> bool:
        """Eject a server unless too many are out already.

        :return: whether it was ejected.
        """
        if len(self.ejected) + 1 > len(self.servers) * MAX_EJECTED_SHARE:
            return False
        server.eject(now, self.rng.random())
        self.ejected.append(server)
        return True

    def refresh(self, server: ServerState) -> None:
        """Note that a server's room may have changed."""
        if self.servers.get(server.backend.name) is server:
            self.tiers[self.place.distance(server.backend)].refresh(server)

    def _readmit(self, now: float) -> None:
        due = [server for server in self.ejected if server.ejected_until <= now]
        for server in due:
            self.ejected.remove(server)
            server.readmit()
            self.refresh(server)

    def nearest_first(self) -> list[ServerState]:
        """Return all servers in the order in which they would be used."""
        by_distance = sorted(self.servers.values(), key=self._distance)
        groups = itertools.groupby(by_distance, key=self._distance)
        return [server for _, group in groups for server in sorted(group, key=_by_name)]

    def _distance(self, server: ServerState) -> int:
        return self.place.distance(server.backend)


def _by_name(server: ServerState) -> str:
    return server.backend.name
