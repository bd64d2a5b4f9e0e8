"""The places of all services whose objects are ranked by places."""

from __future__ import annotations

import typing as t

from radishbridge.steering.places import PlaceBook
from radishbridge.steering.servers import Server


class PlaceRegistry:
    """Keeps one ``PlaceBook`` for each service with pace.

    :param books: places by service.
    :param recorded: place ids by service and server name, as the store has them.
    """

    __slots__ = ("books", "recorded")

    def __init__(self) -> None:
        self.books: dict[str, PlaceBook] = {}
        self.recorded: dict[str, t.Mapping[str, str]] = {}

    def open_book(self, service: str, servers: t.Iterable[Server]) -> None:
        """Begin to rank a service's objects by places.

        :param servers: all servers, also those of other services.
        """
        own = [server for server in servers if server.service == service]
        self.books[service] = PlaceBook(own, self.recorded.get(service))

    def adopt(self, service: str, recorded: t.Mapping[str, str]) -> bool:
        """Use the places that the coordinator has recorded in the store.

        :param recorded: place ids by server name.
        :return: whether a server got another place.
        """
        self.recorded[service] = recorded
        book = self.books.get(service)
        return book is not None and book.adopt(recorded)

    def settle(self, now: float) -> bool:
        """Settle all books; return whether a server got a place."""
        settled = [book.settle(now) for book in self.books.values()]
        return any(settled)

    def update(self, before: Server | None, after: Server | None) -> None:
        """Apply a change of a server's entry.

        :param before: ``None`` if it is new.
        :param after: ``None`` if it was removed.
        """
        if before is not None and (after is None or after.service != before.service):
            book = self.books.get(before.service)
            if book is not None:
                book.remove(before.name)
        if after is not None:
            book = self.books.get(after.service)
            if book is not None:
                book.put(after)
