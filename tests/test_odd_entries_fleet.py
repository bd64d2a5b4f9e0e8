"""Real entry hosts while odd entries come, stay, are replaced and go; requests never pause."""

from __future__ import annotations

import asyncio
import time
import typing as t

import aiohttp
from soak.callers import Callers
from soak.odd_entries import ODD_ENTRIES, make_entry
from soak.world import World

# Time in seconds within which something has to happen, far above the bounds of the platform.
PATIENCE_S = 20.0


async def wait_until(condition: t.Callable[[], t.Awaitable[bool]]) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + PATIENCE_S
    while not await condition():
        assert time.monotonic() < end
        await asyncio.sleep(0.05)


async def unreadable_names(world: World) -> list[set[str]]:
    """Return the names of the objects that each host reports as unreadable."""
    found = []
    async with aiohttp.ClientSession() as session:
        for host in world.hosts:
            async with session.get(f"http://{host.lookup_address}/v1/status") as response:
                found.append({one["name"] for one in (await response.json())["unreadable"]})
    return found


async def are_ready(world: World) -> bool:
    """Return whether all hosts are ready."""
    async with aiohttp.ClientSession() as session:
        for host in world.hosts:
            try:
                async with session.get(f"http://{host.lookup_address}/v1/ready") as response:
                    if response.status != 200:
                        return False
            except aiohttp.ClientError:
                return False
    return True


class TestFleetWithOddEntries:
    async def test_all_hosts_live_and_follow_later_changes(self, tmp_path):
        world = World(1, 3, tmp_path, check_timing=False)
        async with world.running():
            await wait_until(lambda: are_ready(world))
            processes = [host.process.pid for host in world.hosts]
            callers = Callers(world.hosts, world.keys, world.history, 1)
            task = asyncio.create_task(callers.run(6))

            texts = {f"odd-{number}": text for number, text in enumerate(ODD_ENTRIES.values())}
            for name, text in texts.items():
                await world.store.put_text(
                    "servers", name, text.replace('"name":"odd"', f'"name":"{name}"')
                )
            named = {name for name, text in texts.items() if '"name":"odd"' in text}

            async def all_name_odd_entries() -> bool:
                # An entry with a revision that is none is not taken at all.
                return all(len(named - names) <= 3 for names in await unreadable_names(world))

            await wait_until(all_name_odd_entries)
            await self.check_changes_take_effect(world)
            for name in named:
                text = make_entry(slots="0").replace('"name":"odd"', f'"name":"{name}"')
                await world.store.put_text("servers", name, text)
            await self.check_changes_take_effect(world)
            for name in texts:
                await world.store.remove("servers", name)

            async def none_is_left() -> bool:
                return all(not names for names in await unreadable_names(world))

            await wait_until(none_is_left)
            await self.check_changes_take_effect(world)
            callers.stopping = True
            await task
            assert [host.process.pid for host in world.hosts if host.is_running] == processes
            outcomes = [one for one in world.history.outcomes if not one.caller_disconnected]
            assert [one for one in outcomes if one.status not in (200, 429)] == []
            assert all(one.is_intact for one in outcomes)

    async def check_changes_take_effect(self, world: World) -> None:
        """Check that a new server gets requests and a removed one gets no more."""
        await world.add_server("catalogue")
        new, old = world.servers[-1], world.servers[0]

        async def runs_requests() -> bool:
            return any(one.server == new.name for one in world.history.executions)

        await wait_until(runs_requests)
        world.servers.remove(old)
        world.stopped_servers.append(old)
        await world.store.put("servers", old.name, spec=old.registration("draining"))

        async def gets_no_more() -> bool:
            before = len(world.history.executions)
            await asyncio.sleep(1.0)
            later = world.history.executions[before:]
            return bool(later) and all(one.server != old.name for one in later)

        await wait_until(gets_no_more)
        await world.store.remove("servers", old.name)
