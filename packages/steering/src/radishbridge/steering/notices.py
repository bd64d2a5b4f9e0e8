"""What backend servers say of themselves in their responses, apart from their entries in the store.

A server that leaves may have an entry that says otherwise, for example while the store is down. A
server that turns requests away may ask for a pause: the load pattern is a server whose queue is
full, and whose callers would come back at once and all together.
"""

from __future__ import annotations

import typing as t

if t.TYPE_CHECKING:
    from radishbridge.steering.servers import Server

# Longest pause that is honoured, in seconds. A server that asks for more is faulty, and its service
# may need it back before it starts again.
PAUSE_MAX_S = 3_600.0
# Hosts return to a server at different times after a pause, up to this fraction of it later and
# at most so many seconds, so that they don't turn up together.
RETURN_SPREAD_FRACTION = 0.25
RETURN_SPREAD_MAX_S = 1.0
# Time in seconds after a pause in which a host's requests in flight at the server rise from one to
# all of its slots.
RETURN_RAMP_S = 1.0
# Maximum number of servers whose notices are kept; the oldest are dropped first.
NOTICES_MAX = 4_096


class Notice:
    """What one incarnation of a server has said in its responses.

    :param incarnation: of the server; 0 if unknown.
    :param is_leaving: it is shutting down.
    :param paused_until: monotonic time in seconds until which it gets no requests of this host; 0
        if it has not asked for a pause.
    """

    __slots__ = ("address", "incarnation", "is_leaving", "paused_until")

    def __init__(self, server: Server) -> None:
        self.incarnation = server.incarnation
        self.address = server.address
        self.is_leaving = False
        self.paused_until = 0.0

    def covers(self, server: Server) -> bool:
        """Return whether the notice holds for the incarnation that an entry describes.

        An entry of an earlier incarnation is out of date, and does not undo the notice.
        """
        if self.incarnation and server.incarnation:
            return server.incarnation <= self.incarnation
        return server.address == self.address

    def is_paused(self, now: float) -> bool:
        """Return whether the server gets no requests for a while."""
        return now < self.paused_until

    def in_flight_limit(self, slots: int, now: float) -> float:
        """Return the requests that this host may have in flight at the server.

        :param slots: requests that the server runs concurrently.
        """
        since_s = now - self.paused_until
        if not self.paused_until or since_s >= RETURN_RAMP_S:
            return float("inf")
        return 0.0 if since_s < 0.0 else max(1.0, slots * since_s / RETURN_RAMP_S)


class ServerNotices:
    """The notices of all servers, which outlast their entries.

    :param by_name: newest notice by server.
    :param counts: number of changes by service and kind of notice.
    """

    __slots__ = ("by_name", "counts")

    def __init__(self) -> None:
        self.by_name: dict[str, Notice] = {}
        self.counts: dict[tuple[str, str], int] = {}

    def find(self, server: Server) -> Notice | None:
        """Return the notice that holds for an entry."""
        notice = self.by_name.get(server.name)
        return notice if notice is not None and notice.covers(server) else None

    def record_leaving(self, server: Server) -> Notice | None:
        """Record that a server is leaving; return its notice if that is new."""
        notice = self._notice(server)
        if notice is None or notice.is_leaving:
            return None
        notice.is_leaving = True
        self._count(server, "leaving")
        return notice

    def record_pause(
        self, server: Server, pause_s: float, position: float, now: float
    ) -> Notice | None:
        """Record that a server has asked for a pause; return its notice if it was not paused.

        Of overlapping pauses the longest holds.

        :param pause_s: in seconds.
        :param position: of this host among those that return to the server, from 0 to 1.
        """
        notice = self._notice(server)
        if notice is None:
            return None
        pause_s = min(pause_s, PAUSE_MAX_S)
        spread_s = min(RETURN_SPREAD_FRACTION * pause_s, RETURN_SPREAD_MAX_S)
        until = now + pause_s + spread_s * position
        was_paused = notice.is_paused(now)
        notice.paused_until = max(notice.paused_until, until)
        if was_paused:
            return None
        self._count(server, "paused")
        return notice

    def _notice(self, server: Server) -> Notice | None:
        # A response of an earlier incarnation may arrive after the entry of the next one.
        known = self.by_name.get(server.name)
        if known is not None and known.covers(server):
            is_earlier = 0 < server.incarnation < known.incarnation
            return None if is_earlier else known
        if len(self.by_name) >= NOTICES_MAX:
            del self.by_name[next(iter(self.by_name))]
        self.by_name.pop(server.name, None)
        notice = self.by_name[server.name] = Notice(server)
        return notice

    def _count(self, server: Server, kind: str) -> None:
        key = (server.service, kind)
        self.counts[key] = self.counts.get(key, 0) + 1
