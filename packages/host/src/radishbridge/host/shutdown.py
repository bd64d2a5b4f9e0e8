"""The order of a graceful shutdown, each step bounded in time."""

from __future__ import annotations

import asyncio
import logging
import math
import time
import typing as t

from radishbridge.host.connections import CallerConnection, CallerServer
from radishbridge.host.listener import Listener
from radishbridge.records import LimitSettings

POLL_S = 0.02
# Time in seconds in which the first request of a connection accepted last is read.
FIRST_REQUEST_S = 0.2
# How many times its service's usual time a request is given: a run on an object that a server does
# not know takes up to about twice that.
LONGEST_FACTOR = 3.0

logger = logging.getLogger(__name__)


class ShutdownSchedule(t.NamedTuple):
    """When a host that shuts down begins to refuse requests and when it ends, in monotonic seconds.

    :param refuses_at: from here on only requests that surely end in time are passed on.
    :param ends_at: what is still open is cut.
    """

    refuses_at: float = math.inf
    ends_at: float = math.inf

    def allows_request(self, now: float, deadline: float, usual_s: float) -> bool:
        """Whether a request may still be passed on to a backend server.

        :param deadline: monotonic time at which it ends in any case.
        :param usual_s: time in seconds that its service usually takes; 0 if unknown.
        """
        if now < self.refuses_at:
            return True
        longest = now + LONGEST_FACTOR * usual_s if usual_s > 0.0 else math.inf
        return min(deadline, longest) <= self.ends_at


class Serving(t.Protocol):
    """What answers requests; it closes connections after their answers once it is leaving."""

    in_flight: int
    leaving: bool
    shutdown_schedule: ShutdownSchedule


class Shutdown:
    """Takes a host out of use without cutting a request.

    :param listener: the callers' listening socket.
    :param limits: ``shutdown_lookup_s`` and ``shutdown_s`` bound the two waits, in seconds.
    """

    __slots__ = ("forwarder", "limits", "listener", "server")

    def __init__(
        self,
        forwarder: Serving,
        server: CallerServer,
        listener: Listener,
        limits: LimitSettings,
    ) -> None:
        self.forwarder = forwarder
        self.server = server
        self.listener = listener
        self.limits = limits

    async def run(self) -> None:
        """Leave, serve until cached look-up answers ran out, stop accepting, finish."""
        logger.info("leaving: readiness and look-up answers no longer name this host")
        stop_at = time.monotonic() + self.limits.shutdown_lookup_s
        self.forwarder.shutdown_schedule = ShutdownSchedule(
            stop_at, stop_at + self.limits.shutdown_s
        )
        self.forwarder.leaving = True
        await asyncio.sleep(self.limits.shutdown_lookup_s)
        await self.listener.stop()
        logger.info("stopped accepting", extra={"in_flight": self.forwarder.in_flight})
        await asyncio.sleep(min(FIRST_REQUEST_S, self.limits.shutdown_s))
        await self._close_idle()
        finished = await self._wait(lambda: not self.server.open_connections)
        logger.info("closed", extra={"cut_requests": 0 if finished else self.forwarder.in_flight})
        for connection in self.server.connections:
            connection.force_close()

    async def _close_idle(self) -> None:
        # A connection that is being answered stays open for the rest of its request's body, and
        # closes after the answer. One whose request was read just now is answered first.
        connections = [one for one in self.server.connections if isinstance(one, CallerConnection)]
        for connection in connections:
            if not connection.handling:
                connection.close()
        await asyncio.sleep(POLL_S)
        for connection in connections:
            connection.close_idle()

    async def _wait(self, done: t.Callable[[], bool]) -> bool:
        try:
            async with asyncio.timeout_at(self.forwarder.shutdown_schedule.ends_at):
                while not done():
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True
