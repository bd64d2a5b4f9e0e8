"""Graceful shutdown of a host, with a time limit for each step."""

from __future__ import annotations

import asyncio
import logging
import math
import time
import typing as t

from radishbridge.host.connections import CallerConnection, CallerServer
from radishbridge.host.listener import Listener
from radishbridge.records import LimitSettings

CLOSE_POLL_S = 0.02
# How long to wait for the first request of a connection that was accepted last.
FIRST_REQUEST_WAIT_S = 0.2
# A request is expected to take at most this multiple of its service's typical latency. A request
# for an object that the server has not cached takes up to about twice the typical latency.
MAX_LATENCY_FACTOR = 3.0

logger = logging.getLogger(__name__)


class ShutdownSchedule(t.NamedTuple):
    """When a host that shuts down starts to refuse requests and when it stops.

    :param refuses_at: monotonic time in seconds from which only requests that are expected to end
        before ``ends_at`` are forwarded.
    :param ends_at: monotonic time in seconds at which open connections are closed by force.
    """

    refuses_at: float = math.inf
    ends_at: float = math.inf

    def allows_request(self, now: float, deadline: float, typical_latency_s: float) -> bool:
        """Return whether a request may still be forwarded to a backend server.

        :param now: monotonic time in seconds.
        :param deadline: monotonic time in seconds at which the request ends at the latest.
        :param typical_latency_s: typical latency of the service in seconds; 0 if unknown.
        """
        if now < self.refuses_at:
            return True
        latest_end = (
            now + MAX_LATENCY_FACTOR * typical_latency_s if typical_latency_s > 0.0 else math.inf
        )
        return min(deadline, latest_end) <= self.ends_at


class StoppableForwarder(t.Protocol):
    """Answers requests; while ``leaving`` is set, it closes each connection after its response.

    :param in_flight: number of requests that are being answered.
    """

    in_flight: int
    leaving: bool
    shutdown_schedule: ShutdownSchedule


class Shutdown:
    """Takes a host out of service without interrupting a request.

    :param server: the callers' connections.
    :param listener: the callers' listening socket.
    :param limits: ``shutdown_lookup_s`` and ``shutdown_s`` limit the two waits, in seconds.
    """

    __slots__ = ("forwarder", "limits", "listener", "server")

    def __init__(
        self,
        forwarder: StoppableForwarder,
        server: CallerServer,
        listener: Listener,
        limits: LimitSettings,
    ) -> None:
        self.forwarder = forwarder
        self.server = server
        self.listener = listener
        self.limits = limits

    async def run(self) -> None:
        """Announce the shutdown, serve until cached look-ups expire, then finish open requests."""
        logger.info("leaving: readiness and look-up answers no longer name this host")
        refuses_at = time.monotonic() + self.limits.shutdown_lookup_s
        self.forwarder.shutdown_schedule = ShutdownSchedule(
            refuses_at, refuses_at + self.limits.shutdown_s
        )
        self.forwarder.leaving = True
        await asyncio.sleep(self.limits.shutdown_lookup_s)
        await self.listener.stop()
        logger.info("stopped accepting", extra={"in_flight": self.forwarder.in_flight})
        await asyncio.sleep(min(FIRST_REQUEST_WAIT_S, self.limits.shutdown_s))
        await self._close_idle()
        finished = await self._wait(lambda: not self.server.open_connections)
        logger.info("closed", extra={"cut_requests": 0 if finished else self.forwarder.in_flight})
        for connection in list(self.server.connections):
            if isinstance(connection, CallerConnection):
                connection.cut()

    async def _close_idle(self) -> None:
        # A connection with a request in flight stays open for the rest of the request's body and
        # closes after the response. A request that was read just now is answered first.
        connections = [one for one in self.server.connections if isinstance(one, CallerConnection)]
        for connection in connections:
            if not connection.has_request:
                connection.close()
        await asyncio.sleep(CLOSE_POLL_S)
        for connection in connections:
            connection.close_idle()

    async def _wait(self, done: t.Callable[[], bool]) -> bool:
        try:
            async with asyncio.timeout_at(self.forwarder.shutdown_schedule.ends_at):
                while not done():
                    await asyncio.sleep(CLOSE_POLL_S)
        except TimeoutError:
            return False
        return True
