from __future__ import annotations

import asyncio
import contextlib
import pathlib

import aiohttp
import msgspec

from radishbridge.records import HostStatus
from radishbridge_standin import demo
from radishbridge_standin.processes import Fleet

FRESHNESS_BOUND_S = 5.0
TIMEOUT_S = 60.0


async def response_statuses(fleet: Fleet, session: aiohttp.ClientSession) -> list[int]:
    statuses = []
    for host in fleet.hosts:
        url = f"http://{host.address}/catalogue/devices/1"
        headers = {"Authorization": f"Bearer {demo.SECRET}"}
        async with session.get(url, headers=headers) as response:
            statuses.append(response.status)
    return statuses


async def newest_proof_age_s(fleet: Fleet, session: aiohttp.ClientSession) -> float:
    ages = []
    for host in fleet.hosts:
        async with session.get(f"http://{host.admin_address}/v1/status") as response:
            status = msgspec.json.decode(await response.read(), type=HostStatus)
            ages.append(status.fresh_age_s)
    return min(ages)


class TestOutageOfTheStore:
    async def test_daemons_serve_keyed_requests_beyond_the_bound(
        self, tmp_path: pathlib.Path
    ) -> None:
        """Once the last reads are too old, the hosts rely on each other's reports of the outage."""
        with contextlib.ExitStack() as stack:
            fleet = stack.enter_context(Fleet(tmp_path))
            async with aiohttp.ClientSession() as session:
                await demo.start(fleet, session)
                assert await response_statuses(fleet, session) == [200] * 3
                fleet.processes["store"].kill()
                fleet.processes["store"].wait()
                async with asyncio.timeout(TIMEOUT_S):
                    while await newest_proof_age_s(fleet, session) <= FRESHNESS_BOUND_S + 1:
                        await asyncio.sleep(0.5)
                for _ in range(5):
                    assert await response_statuses(fleet, session) == [200] * 3
                    await asyncio.sleep(0.5)
