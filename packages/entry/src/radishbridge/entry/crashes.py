"""Tells a crashed backend server from one that lost a single connection."""

from __future__ import annotations

import asyncio
import time

from radishbridge.entry.backends import BackendPool
from radishbridge.entry.steering_state import SteeringState
from radishbridge.records import Failure
from radishbridge.steering import Server

# Pause before a server is looked at, in seconds: it stops listening a moment after the reset.
LOOK_AFTER_S = 0.05
# A server is looked at once in this many seconds, however many of its connections break.
LOOK_EVERY_S = 0.5


class CrashDetector:
    """Looks whether a server still accepts connections after one of them broke.

    A connection that breaks while a server runs a request says little: answers get lost. Only a
    server that is gone with its listening socket counts against the request.
    """

    __slots__ = ("looked_at", "pool", "steering_state", "tasks")

    def __init__(self, steering_state: SteeringState, pool: BackendPool) -> None:
        self.steering_state = steering_state
        self.pool = pool
        self.looked_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def check_server(self, fingerprint: bytes, server: Server) -> None:
        """Look at a server whose connection broke while it had a request."""
        now = time.monotonic()
        if now - self.looked_at.get(server.name, float("-inf")) < LOOK_EVERY_S:
            return
        self.looked_at[server.name] = now
        task = asyncio.create_task(self._look(fingerprint, server))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _look(self, fingerprint: bytes, server: Server) -> None:
        await asyncio.sleep(LOOK_AFTER_S)
        connection = await self.pool.open(server.address)
        if isinstance(connection, Failure):
            self.steering_state.record_crash(fingerprint, server.name, time.monotonic())
        else:
            self.pool.release(server.address, connection)
