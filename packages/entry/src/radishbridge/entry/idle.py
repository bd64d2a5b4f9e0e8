"""How long a connection to a backend server may be idle before it is reused no more."""

from __future__ import annotations

import typing as t

# A connection that was idle for longer is not reused. A server may close connections sooner than
# it announces, and a non-repeatable request that was sent on a closed one can't be retried, so
# that the second, shorter bound holds for those.
IDLE_MAX_S = 3.0
IDLE_MAX_NON_REPEATABLE_S = 0.8
# Fraction of the idle timeout announced by a server for which a connection is reused.
ANNOUNCED_IDLE_FRACTION = 0.6
# The same two bounds for repeatable requests to services in ``IdleRules.long_idle_services``. A
# host sends some of these servers one request in 4 to 10 s, and most announce 10 s. The fraction
# leaves a server 2 s of these, more than a paused event loop or a retransmission takes.
LONG_IDLE_MAX_S = 10.0
LONG_IDLE_FRACTION = 0.8
# Connections to one server that may be idle for so long. One is enough for servers that get few
# requests, the second for those that come together; it bounds descriptors to 800 at 400 servers.
LONG_IDLE_PER_SERVER = 2
# A connection that breaks within this time after a request was sent on it, in seconds, was dropped
# while it was idle: a round trip between regions, and a retransmission.
DROP_NOTICED_S = 0.3


class IdleConnection(t.Protocol):
    """A connection that is not used now.

    :param may_idle_long: it belongs to a service in ``IdleRules.long_idle_services``.
    """

    may_idle_long: bool

    def is_reusable(self, now: float, idle_max_s: float, fraction: float = ...) -> bool:
        """Return whether it was idle for less than a time and a fraction of the announced one."""


class IdleRules:
    """Decides how long connections may be idle.

    :param long_idle_services: services whose connections are kept for longer, if their servers
        announce that they keep them; empty by default.
    :param dropping: addresses of servers that dropped a connection which was kept for longer.
    :param drops: number of such connections since the start.
    """

    __slots__ = ("dropping", "drops", "long_idle_services")

    def __init__(self) -> None:
        self.long_idle_services: t.AbstractSet[str] = frozenset()
        self.dropping: set[str] = set()
        self.drops = 0

    def is_reusable(
        self, address: str, connection: IdleConnection, now: float, at_most_once: bool = False
    ) -> bool:
        """Return whether a request may use a connection.

        :param at_most_once: the request may not be retried.
        """
        if at_most_once:
            return connection.is_reusable(now, IDLE_MAX_NON_REPEATABLE_S)
        if connection.may_idle_long and address not in self.dropping:
            return connection.is_reusable(now, LONG_IDLE_MAX_S, LONG_IDLE_FRACTION)
        return connection.is_reusable(now, IDLE_MAX_S)

    def may_stay(self, address: str, connections: t.Sequence[IdleConnection], now: float) -> bool:
        """Return whether the first of a server's idle connections is kept.

        :param connections: the one that has been idle for longest is the first.
        """
        if len(connections) > LONG_IDLE_PER_SERVER:
            return connections[0].is_reusable(now, IDLE_MAX_S)
        return self.is_reusable(address, connections[0], now)

    def record_drop(self, address: str) -> None:
        """Keep connections to a server no longer than usual after it dropped a long idle one."""
        self.drops += 1
        self.dropping.add(address)
