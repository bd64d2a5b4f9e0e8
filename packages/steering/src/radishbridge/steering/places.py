"""Stable places of a service's servers, by which objects are ranked.

Load pattern: a server has a new name, and often a new address, at each start. A ranking by name
moves the objects of the server that ends to all others, and as many objects of all others to the
one that starts. A replacement therefore takes over the place of the server that it replaces.
"""

from __future__ import annotations

import typing as t

from radishbridge.steering.hashing import hash64
from radishbridge.steering.servers import Server

# Time in seconds for which a place stays open after its server has gone. A crashed server is back
# within seconds; servers of a planned release within some tens of seconds.
VACANCY_S = 30.0
# Time in seconds for which a new server waits for a place that a draining or removed server leaves.
# A release registers a replacement shortly before the old server drains, and a new server is in its
# slow start at that time anyway. Only then does it get a place of its own.
SPARE_S = 3.0


class Place:
    """One place, which ranks objects by its id whatever server holds it.

    :param place_id: the address of its first server, and that server's name if another place has
        that id.
    :param seed: hash of the id, for rankings.
    :param server: the server that holds it, or that held it last.
    :param is_vacant: its server has gone.
    :param closes_at: monotonic time in seconds at which a vacant place is dropped; ``None`` until
        the next call of ``PlaceBook.settle``.
    """

    __slots__ = ("closes_at", "is_vacant", "place_id", "seed", "server")

    def __init__(self, place_id: str, server: Server) -> None:
        self.place_id = place_id
        self.seed = hash64(place_id)
        self.server = server
        self.is_vacant = False
        self.closes_at: float | None = None

    @property
    def is_open(self) -> bool:
        """Return whether a new server may take it over."""
        return self.is_vacant or self.server.draining


class Spare:
    """A new server that waits for the place of another.

    :param joins_at: monotonic time in seconds at which it gets a place of its own; ``None`` until
        the next call of ``PlaceBook.settle``.
    """

    __slots__ = ("joins_at", "server")

    def __init__(self, server: Server) -> None:
        self.server = server
        self.joins_at: float | None = None


class PlaceBook:
    """The places of one service's servers.

    Each change of a server's entry is applied in the order of the store's revisions. Only data of
    the entries counts, so that hosts with the same changes have the same places.

    :param places: places by id.
    :param by_name: the places of the servers that have one, by server name.
    :param recorded: place ids by server name that another host has recorded.
    :param spares: servers without a place, by name.
    """

    __slots__ = ("by_name", "places", "recorded", "spares")

    def __init__(
        self, servers: t.Iterable[Server], recorded: t.Mapping[str, str] | None = None
    ) -> None:
        self.recorded = recorded or {}
        self.places: dict[str, Place] = {}
        self.by_name: dict[str, Place] = {}
        self.spares: dict[str, Spare] = {}
        by_age = sorted(servers, key=_age_order)
        for server in by_age:
            if server.name in self.recorded and not server.draining:
                self._put_recorded(server)
        for server in by_age:
            if server.name not in self.by_name:
                self.spares.pop(server.name, None)
                self._add_place(server)

    def put(self, server: Server) -> None:
        """Add or update a server."""
        place = self.by_name.get(server.name)
        if place is not None:
            place.server = server
            if server.draining:
                self._fill(place)
            return
        recorded = self.places.get(self.recorded.get(server.name, ""))
        if recorded is None and server.name in self.recorded and not server.draining:
            self.spares.pop(server.name, None)
            self._put_recorded(server)
            return
        place = None if server.draining else self._find_open(server)
        if place is not None:
            self.spares.pop(server.name, None)
            self._assign(place, server)
            return
        spare = self.spares.setdefault(server.name, Spare(server))
        if spare.server.draining and not server.draining:
            spare.joins_at = None
        spare.server = server

    def remove(self, name: str) -> None:
        """Remove a server; its place stays open for a while."""
        self.spares.pop(name, None)
        place = self.by_name.pop(name, None)
        if place is not None:
            place.is_vacant = True
            place.closes_at = None
            self._fill(place)

    def record(self) -> dict[str, str]:
        """Return the place ids by server name, for hosts that start later."""
        return {name: place.place_id for name, place in self.by_name.items()}

    def differs(self, recorded: t.Mapping[str, str]) -> bool:
        """Return whether a host that starts would find other places by a record and the entries."""
        return any(
            recorded.get(name, place.server.address) != place.place_id
            for name, place in self.by_name.items()
        )

    def adopt(self, recorded: t.Mapping[str, str]) -> bool:
        """Use the recorded places of the servers that a record covers.

        A server that the record does not cover is newer than the record and keeps its place.

        :return: whether a server got another place.
        """
        self.recorded = recorded
        movers = self._find_movers()
        left = [self.by_name.pop(name) for name in movers if name in self.by_name]
        for place in left:
            place.is_vacant = True
        for server in sorted(movers.values(), key=_age_order):
            self.spares.pop(server.name, None)
            self._put_recorded(server)
        for place in left:
            if place.is_vacant:
                self.places.pop(place.place_id, None)
        return bool(movers)

    def _find_movers(self) -> dict[str, Server]:
        """Return the servers whose recorded place is another one and can be had, by name."""
        known = [place.server for place in self.by_name.values()]
        known += [spare.server for spare in self.spares.values()]
        movers = {
            server.name: server
            for server in known
            if not server.draining
            and server.name in self.recorded
            and self.recorded[server.name] != self.place_id(server.name)
        }
        while True:
            held = {name: self.places.get(self.recorded[name]) for name in movers}
            blocked = [
                name
                for name, place in held.items()
                if place is not None and not place.is_open and place.server.name not in movers
            ]
            if not blocked:
                return movers
            for name in blocked:
                del movers[name]

    def _put_recorded(self, server: Server) -> None:
        """Give a server its recorded place, or let it wait if another server has taken that."""
        place_id = self.recorded[server.name]
        place = self.places.get(place_id)
        if place is None:
            place = self.places[place_id] = Place(place_id, server)
            self.by_name[server.name] = place
        elif place.is_open:
            self._assign(place, server)
        else:
            self.spares[server.name] = Spare(server)

    def settle(self, now: float) -> bool:
        """Drop places that were vacant for too long, and give spare servers a place of their own.

        :return: whether a server got a place.
        """
        for place in [place for place in self.places.values() if place.is_vacant]:
            if place.closes_at is None:
                place.closes_at = now + VACANCY_S
            elif place.closes_at <= now:
                del self.places[place.place_id]
        due = []
        for spare in self.spares.values():
            if spare.joins_at is None:
                spare.joins_at = now + SPARE_S
            elif spare.joins_at <= now and not spare.server.draining:
                due.append(spare.server)
        for server in sorted(due, key=_age_order):
            del self.spares[server.name]
            self._add_place(server)
        return bool(due)

    def place_id(self, name: str) -> str | None:
        """Return the id of a server's place; ``None`` if it has none."""
        place = self.by_name.get(name)
        return None if place is None else place.place_id

    def _find_open(self, server: Server) -> Place | None:
        return min(
            (place for place in self.places.values() if _may_replace(server, place)),
            key=lambda place: (
                place.place_id != self.recorded.get(server.name),
                place.server.name != server.name,
                place.server.address != server.address,
                place.server.slots != server.slots,
                _age_order(place.server),
            ),
            default=None,
        )

    def _fill(self, place: Place) -> None:
        spare = min(
            (spare.server for spare in self.spares.values() if _may_replace(spare.server, place)),
            key=lambda server: (
                server.address != place.server.address,
                server.slots != place.server.slots,
                _age_order(server),
            ),
            default=None,
        )
        if spare is not None:
            del self.spares[spare.name]
            self._assign(place, spare)

    def _assign(self, place: Place, server: Server) -> None:
        if not place.is_vacant:
            del self.by_name[place.server.name]
            self.spares[place.server.name] = Spare(place.server)
        place.server = server
        place.is_vacant = False
        place.closes_at = None
        self.by_name[server.name] = place

    def _add_place(self, server: Server) -> None:
        place_id = server.address
        if place_id in self.places:
            place_id = f"{server.address} {server.name}"
        place = self.places[place_id] = Place(place_id, server)
        self.by_name[server.name] = place


def _may_replace(server: Server, place: Place) -> bool:
    """Return whether a server without a place may take over an open one.

    It must be in the same data centre, since home regions and drains depend on that.
    """
    return (
        place.is_open
        and not server.draining
        and place.server.data_center == server.data_center
        and place.server.service == server.service
    )


def _age_order(server: Server) -> tuple[int, str]:
    return server.incarnation, server.name
