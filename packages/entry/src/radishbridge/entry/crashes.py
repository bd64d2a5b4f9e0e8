"""Distinguishes a crashed backend server from one that lost a single connection."""

from __future__ import annotations

import asyncio

from radishbridge.entry import uptime
from radishbridge.entry.backends import BackendPool
from radishbridge.entry.steering_state import SteeringState
from radishbridge.records import Failure
from radishbridge.steering import Server

# Delay before a server is probed, in seconds: it stops listening a moment after the reset.
PROBE_DELAY_S = 0.05
# Shortest interval between probes of a server, in seconds, however many connections break.
PROBE_INTERVAL_S = 0.5


class CrashDetector:
    """Probes whether a server still accepts connections after one of them broke.

    A connection can also break because a response was lost. The request is blamed for a crash only
    if the server's listening socket is gone as well.
    """

    __slots__ = ("pool", "probed_at", "steering_state", "tasks")

    def __init__(self, steering_state: SteeringState, pool: BackendPool) -> None:
        self.steering_state = steering_state
        self.pool = pool
        self.probed_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def check_server(self, fingerprint: bytes, server: Server) -> None:
        """Start a probe of a server whose connection broke while it ran a request.

        :param fingerprint: of the request.
        """
        now = uptime.now()
        if now - self.probed_at.get(server.name, float("-inf")) < PROBE_INTERVAL_S:
            return
        self.probed_at[server.name] = now
        task = asyncio.create_task(self._probe(fingerprint, server))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, fingerprint: bytes, server: Server) -> None:
        await asyncio.sleep(PROBE_DELAY_S)
        connection = await self.pool.open(server.address)
        if isinstance(connection, Failure):
            self.steering_state.record_crash(fingerprint, server.name, uptime.now())
        else:
            self.pool.release(server.address, connection)
