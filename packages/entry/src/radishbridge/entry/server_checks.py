"""Checks the status of backend servers while the store is silent."""

from __future__ import annotations

import asyncio
import logging
import typing as t

from radishbridge.entry import uptime
from radishbridge.entry.backends import BackendPool, request_head
from radishbridge.entry.fleet import Fleet
from radishbridge.entry.protocol import HeaderCodec, ServerCheck
from radishbridge.entry.steering_state import SteeringState
from radishbridge.records import Failure
from radishbridge.steering import Server
from radishbridge.steering.cold_checks import CheckSchedule, StoreSilence

# Pause in seconds between two looks at whether the store is silent.
POLL_INTERVAL_S = 0.1
# Longest wait in seconds for a response. A check waits for a slot at the server, as requests do; a
# later result is of no use, since the next check is due.
CHECK_TIMEOUT_S = 1.5

logger = logging.getLogger(__name__)


class ServerProbe(t.Protocol):
    """Asks a server for its status."""

    async def check(self, server: Server, path: str) -> ServerCheck | None:
        """Return the server's status; ``None`` if it is unknown.

        :param path: path of the status check.
        """


class HttpServerProbe:
    """A ``ServerProbe`` over the connections to backend servers."""

    __slots__ = ("header_codec", "pool")

    def __init__(self, pool: BackendPool, header_codec: HeaderCodec) -> None:
        self.pool = pool
        self.header_codec = header_codec

    async def check(self, server: Server, path: str) -> ServerCheck | None:
        """Return the server's status; ``None`` without a response that states it."""
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                connection = await self.pool.acquire(server.address, at_most_once=True)
                if isinstance(connection, Failure):
                    return None
                head = request_head("GET", path, [(b"Host", server.address.encode())], None)
                response = await connection.exchange(head, b"", is_head_request=False)
        except TimeoutError:
            return None
        if isinstance(response, Failure):
            return None
        self.pool.release(server.address, connection)
        return self.header_codec.read_check(response.headers)


class ServerChecks:
    """Finds servers that turned cold while the store is silent, and limits what they get.

    :param silence: whether the store is silent.
    :param pending: servers whose check has not ended.
    :param sent: number of checks since the start.
    """

    __slots__ = ("fleet", "pending", "probe", "schedule", "sent", "silence", "steering_state")

    def __init__(self, steering_state: SteeringState, fleet: Fleet, probe: ServerProbe) -> None:
        self.steering_state = steering_state
        self.fleet = fleet
        self.probe = probe
        self.silence = StoreSilence()
        self.schedule = CheckSchedule(fleet.own.peer_address)
        self.pending: dict[str, asyncio.Task[None]] = {}
        self.sent = 0

    async def run(self) -> None:
        """Check servers while the store is silent, until cancelled."""
        was_silent = False
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            is_silent = self.step(uptime.now())
            if is_silent is not was_silent:
                was_silent = is_silent
                logger.info(
                    "status checks begin" if is_silent else "status checks end",
                    extra={"sent": self.sent},
                )

    def step(self, now: float) -> bool:
        """Start the checks that are due; return whether the store is silent."""
        live = self.fleet.live_hosts(now)
        failing = [name for name, status in live.items() if not status.reaches_store]
        if not failing:
            # The usual case, which costs no ranking of hosts.
            self.silence.end()
            self.schedule.stop()
            return False
        if not self.silence.update(failing, self.fleet.reaching_followers(), now):
            self.schedule.stop()
            return False
        hosts = [name for name, status in live.items() if not status.is_leaving]
        states = self.steering_state.selector.states
        paths = {name: path for name in states if (path := self._check_path(states[name].server))}
        for name in self.schedule.due(paths, hosts, now):
            if name not in self.pending:
                self.sent += 1
                check = self._check(states[name].server, paths[name])
                self.pending[name] = asyncio.create_task(check)
        return True

    def record_crash(self, server: Server) -> None:
        """Treat a server as cold that has crashed while the store is silent.

        It may start again under its id, and its entry says so only when the store is back.
        """
        rule = self.steering_state.selector.rules.get(server.service)
        if self.silence.is_silent and rule is not None and rule.slow_start_s > 0.0:
            self.steering_state.record_cold(server, rule.slow_start_s)

    def _check_path(self, server: Server) -> str:
        rule = self.steering_state.selector.rules.get(server.service)
        if rule is None or rule.slow_start_per_s <= 0.0 or server.draining:
            return ""
        return rule.check_path

    async def _check(self, server: Server, path: str) -> None:
        try:
            result = await self.probe.check(server, path)
        finally:
            self.pending.pop(server.name, None)
        if result is None or result.server != server.name or result.cold_for_s <= 0.0:
            return
        self.steering_state.record_cold(server, result.cold_for_s)
