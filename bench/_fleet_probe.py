"""Cost of whole hosts at rest, as processes with the stand-in store."""

from __future__ import annotations

import asyncio
import pathlib
import statistics
import tempfile

import aiohttp
import msgspec

from bench._processes import cpu_seconds, resident_bytes
from radishbridge_standin.objects import CallReport
from radishbridge_standin.processes import Fleet, HostLocation, wait_for_status

SETTLE_S = 15.0


class FleetCost(msgspec.Struct, kw_only=True):
    """What hosts cost at rest, on average and at most for one host.

    :param store_calls_per_s: calls of all hosts together, a waiting watch as one a second.
    """

    hosts: int
    data_centers: int
    store_calls_per_s: float
    open_watches: int
    cores_mean: float
    cores_max: float
    resident_bytes_mean: float
    calls: dict[str, int]


async def measure(hosts_each: int, data_centers: int, seconds: float) -> FleetCost:
    """Start a fleet, let it settle, and measure it."""
    with tempfile.TemporaryDirectory() as directory, Fleet(pathlib.Path(directory)) as fleet:
        async with aiohttp.ClientSession() as session:
            fleet.start_store()
            await wait_for_status(session, f"{fleet.store_url}/v1/hosts", 200)
            for number in range(hosts_each * data_centers):
                center = number % data_centers
                fleet.start_host(
                    HostLocation(f"host-{number}", f"region-{center // 2}", f"dc-{center}")
                )
            await fleet.announce_hosts(session)
            await fleet.wait_ready(session)
            await asyncio.sleep(SETTLE_S)
            return await _observe(fleet, session, data_centers, seconds)


async def _observe(
    fleet: Fleet, session: aiohttp.ClientSession, data_centers: int, seconds: float
) -> FleetCost:
    pids = [fleet.processes[host.name].pid for host in fleet.hosts]
    calls_before, cpu_before = await _calls(fleet, session), [cpu_seconds(pid) for pid in pids]
    await asyncio.sleep(seconds)
    calls_after, cpu_after = await _calls(fleet, session), [cpu_seconds(pid) for pid in pids]
    cores = [
        (after - before) / seconds for after, before in zip(cpu_after, cpu_before, strict=True)
    ]
    made = {
        call: count - calls_before.calls.get(call, 0) for call, count in calls_after.calls.items()
    }
    return FleetCost(
        hosts=len(pids),
        data_centers=data_centers,
        store_calls_per_s=sum(made.values()) / seconds + calls_after.open_watches,
        open_watches=calls_after.open_watches,
        cores_mean=statistics.fmean(cores),
        cores_max=max(cores),
        resident_bytes_mean=statistics.fmean(map(resident_bytes, pids)),
        calls=made,
    )


async def _calls(fleet: Fleet, session: aiohttp.ClientSession) -> CallReport:
    async with session.get(f"{fleet.store_url}/control/calls") as answer:
        return msgspec.json.decode(await answer.read(), type=CallReport)
