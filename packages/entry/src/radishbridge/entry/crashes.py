"""Distinguishes a crashed backend server from one that lost a single connection."""

from __future__ import annotations

import asyncio
import typing as t

from radishbridge.entry import uptime
from radishbridge.entry.backends import BackendPool
from radishbridge.entry.crash_reports import CrashReports
from radishbridge.records import Failure
from radishbridge.steering import Server

# Delay before a server is probed, in seconds: it stops listening a moment after the reset.
PROBE_DELAY_S = 0.05
# Shortest interval between probes of a server, in seconds, however many connections break. A
# crashed server takes longer to start again.
PROBE_INTERVAL_S = 0.5


class CrashDetector:
    """Probes whether a server still accepts connections after some of them broke.

    A connection can also break because a response was lost. Requests are suspected only if the
    server's listening socket is gone as well. The connections of a crashed server break in any
    order, so that each request that was at work there is a suspect.

    :param listeners: called with each server that has crashed.
    :param suspects: fingerprints by server of the requests that wait for the result of a probe.
    :param probed_at: time by server of its last probe.
    """

    __slots__ = ("crash_reports", "listeners", "pool", "probed_at", "suspects", "tasks")

    def __init__(self, crash_reports: CrashReports, pool: BackendPool) -> None:
        self.crash_reports = crash_reports
        self.pool = pool
        self.listeners: list[t.Callable[[Server], None]] = []
        self.suspects: dict[str, set[bytes]] = {}
        self.probed_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def check_server(self, fingerprint: bytes, server: Server) -> None:
        """Suspect a request whose connection to a server broke, if the server has crashed.

        :param fingerprint: of the request.
        """
        suspects = self.suspects.get(server.name)
        if suspects is not None:
            suspects.add(fingerprint)
            return
        self.suspects[server.name] = {fingerprint}
        task = asyncio.create_task(self._probe(server))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _probe(self, server: Server) -> None:
        next_probe_at = self.probed_at.get(server.name, float("-inf")) + PROBE_INTERVAL_S
        await asyncio.sleep(max(PROBE_DELAY_S, next_probe_at - uptime.now()))
        connection = await self.pool.open(server.address)
        now = uptime.now()
        self.probed_at = {
            name: at for name, at in self.probed_at.items() if now - at < PROBE_INTERVAL_S
        }
        self.probed_at[server.name] = now
        suspects = self.suspects.pop(server.name)
        if isinstance(connection, Failure):
            self.crash_reports.record_crash(suspects, server, now)
            for listener in self.listeners:
                listener(server)
        else:
            self.pool.release(server.address, connection)
