"""Real entry hosts whose backend servers say in their responses that they leave or want a pause."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time

import aiohttp
import pytest
from soak.callers import Callers
from soak.checks import DRAIN_BOUND_S, check
from soak.history import process_name
from soak.hosts import Host
from soak.servers import Server
from soak.world import TENANT_RATES, World

HOSTS = 2
PAUSE_S = 4.0


class Fleet:
    """Two hosts with their callers and backend servers.

    :param directory: for settings and logs.
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self.world = World(7, HOSTS, directory)

    @contextlib.asynccontextmanager
    async def serving(self):
        world = self.world
        async with world.running():
            callers = Callers(world.hosts, world.keys, world.history, 7)
            task = asyncio.create_task(callers.run(12))
            await self.wait_until(lambda: len(self.servers_reached()) == len(world.servers))
            # The store may fall silent next: a host that has read nothing would never be ready.
            await self.wait_until(lambda: len(self.hosts_that_serve()) == HOSTS)
            # Hosts that have just started are excused.
            await self.wait_until(self.is_undisturbed)
            yield
            callers.stopping = True
            await task

    def servers_reached(self) -> set[str]:
        return {execution.server for execution in self.world.history.executions}

    def hosts_that_serve(self) -> set[str]:
        return {one.host for one in self.world.history.outcomes if one.status == 200}

    def is_undisturbed(self) -> bool:
        now = time.monotonic()
        names = [process_name(host.name) for host in self.world.hosts]
        return all(self.world.history.is_undisturbed(name, now, now + 0.1) for name in names)

    async def wait_until(self, condition) -> None:
        async with asyncio.timeout(30.0):
            while not condition():
                await asyncio.sleep(0.05)

    def silence_store(self, is_silent: bool) -> None:
        if is_silent:
            self.world.store.fault = "silent"

    def hosts_told(self, server: Server) -> set[str]:
        """Return the hosts that got a notice of a server."""
        hosts = {outcome.tag: outcome.host for outcome in self.world.history.outcomes}
        notices = [one for one in self.world.history.notices if one.server == server.name]
        return {hosts[one.tag] for one in notices if one.tag in hosts}

    async def status_of(self, host: Host) -> list[dict]:
        """Return the servers that a host shows to operators as leaving or paused."""
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{host.lookup_address}/v1/status") as response:
                return list((await response.json())["servers"])

    def violations(self) -> list[str]:
        history = self.world.history
        found = check(history, self.world.keys, TENANT_RATES, [], float("inf"))
        return [text for text in found if not text.startswith("RECOVER")]


@pytest.fixture
def fleet(tmp_path) -> Fleet:
    return Fleet(tmp_path)


@pytest.mark.parametrize("is_silent", [False, True], ids=["store", "store silent"])
class TestNotices:
    """Guards against requests to servers that leave or want a pause, whatever the store says."""

    async def test_a_server_that_leaves_gets_no_requests_although_its_entry_is_ready(
        self, fleet, is_silent
    ):
        async with fleet.serving():
            fleet.silence_store(is_silent)
            server = fleet.world.servers[0]
            server.is_leaving = True
            await fleet.wait_until(lambda: len(fleet.hosts_told(server)) == HOSTS)
            told_at = time.monotonic()
            for host in fleet.world.hosts:
                shown = await fleet.status_of(host)
                assert [one["server"] for one in shown if one["leaving"]] == [server.name]
            await asyncio.sleep(DRAIN_BOUND_S + 2.0)
        assert fleet.violations() == []
        served_since = {
            execution.server
            for execution in fleet.world.history.executions
            if execution.at > told_at
        }
        assert len(served_since - {server.name}) == len(fleet.world.servers) - 1

    async def test_a_server_that_asks_for_a_pause_gets_it(self, fleet, is_silent):
        async with fleet.serving():
            fleet.silence_store(is_silent)
            paused = [one for one in fleet.world.servers if one.service == "orders"]
            for server in paused:
                server.paused_until = time.monotonic() + PAUSE_S
            await asyncio.sleep(PAUSE_S)
            ended_at = time.monotonic()
            # Load returns to all of them.
            await fleet.wait_until(
                lambda: {one.name for one in paused}
                <= {
                    execution.server
                    for execution in fleet.world.history.executions
                    if execution.at > ended_at
                }
            )
        assert fleet.violations() == []
        assert any(fleet.hosts_told(server) for server in paused)
