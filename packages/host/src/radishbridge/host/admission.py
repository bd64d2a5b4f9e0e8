"""Which connections stay open when an address has as many as it may have."""

from __future__ import annotations

import resource
import typing as t

# Fractions of a host's descriptors: for callers, for each of the other HTTP addresses, and for
# other hosts. The rest is for connections to servers, up to two for each request in progress, and
# to the store. A host serves some 13 requests a second and has 4,100 descriptors at least, so that
# 1,230 callers may stay connected, and an aggregator hears all hosts of a fleet of 1,100.
CALLERS_FRACTION = 0.3
# Fraction of the descriptors in use from which a new caller replaces another one, and connections
# to servers are not kept idle.
IN_USE_FRACTION = 0.45
ENDPOINT_FRACTION = 0.05
# Fraction for connections to servers of pipelined requests that run before their turn: 128 of
# 4,100.
EARLY_FRACTION = 1 / 32
PEERS_FRACTION = 0.35

Connection = t.TypeVar("Connection")


def connections_max(descriptors: int, fraction: float) -> int:
    """Return how many connections an address may have.

    :param descriptors: descriptors that the process may open; 0 if its settings do not say.
    """
    known = descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return max(1, int(fraction * known))


class Occupancy(t.Generic[Connection]):
    """Connections in the order in which they are closed when there are too many.

    First the oldest that has had no response yet, then the one whose last response is the longest
    ago. Connections with a request in progress are never given up.

    :param unserved: connections without a response, the oldest first.
    :param idle: connections without a request in progress, the one idle for longest first.
    :param busy: connections with a request in progress.
    """

    __slots__ = ("busy", "idle", "unserved")

    def __init__(self) -> None:
        self.unserved: dict[Connection, None] = {}
        self.idle: dict[Connection, None] = {}
        self.busy: set[Connection] = set()

    def __len__(self) -> int:
        return len(self.unserved) + len(self.idle) + len(self.busy)

    def add(self, connection: Connection) -> None:
        """Add a connection that was just accepted."""
        self.unserved[connection] = None

    def begin(self, connection: Connection) -> None:
        """Note that a request has begun; nothing is noted of a connection that was closed."""
        if connection in self.unserved:
            del self.unserved[connection]
        elif connection in self.idle:
            del self.idle[connection]
        else:
            return
        self.busy.add(connection)

    def end(self, connection: Connection, is_served: bool) -> None:
        """Note that a connection has no request in progress any more.

        :param is_served: the request was not refused because of its own bytes.
        """
        if connection in self.busy:
            self.busy.remove(connection)
            (self.idle if is_served else self.unserved)[connection] = None

    def remove(self, connection: Connection) -> None:
        """Forget a connection that was closed."""
        self.unserved.pop(connection, None)
        self.idle.pop(connection, None)
        self.busy.discard(connection)

    def first_to_close(self) -> Connection | None:
        """Return the connection to close first, or ``None`` if all are busy."""
        return next(iter(self.unserved), None) or next(iter(self.idle), None)
