"""Cost of idle hosts, run as processes with the stand-in store."""

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

SETTLE_TIME_S = 15.0


class FleetCost(msgspec.Struct, kw_only=True):
    """Cost of idle hosts.

    :param store_calls_per_s: calls of all hosts; an open watch counts as one call per second.
    :param cores_mean: processor cores used by a host, on average.
    :param cores_max: processor cores used by the busiest host.
    :param calls: number of calls by kind.
    """

    hosts: int
    data_centers: int
    store_calls_per_s: float
    open_watches: int
    cores_mean: float
    cores_max: float
    resident_bytes_mean: float
    calls: dict[str, int]


async def measure(hosts_per_data_center: int, data_centers: int, seconds: float) -> FleetCost:
    """Start a fleet, wait until it has settled, and measure it for ``seconds``."""
    with tempfile.TemporaryDirectory() as directory, Fleet(pathlib.Path(directory)) as fleet:
        async with aiohttp.ClientSession() as session:
            fleet.start_store()
            await wait_for_status(session, f"{fleet.store_url}/v1/hosts", 200)
            for index in range(hosts_per_data_center * data_centers):
                data_center = index % data_centers
                fleet.start_host(
                    HostLocation(f"host-{index}", f"region-{data_center // 2}", f"dc-{data_center}")
                )
            await fleet.announce_hosts(session)
            await fleet.wait_ready(session)
            await asyncio.sleep(SETTLE_TIME_S)
            return await _measure_settled(fleet, session, data_centers, seconds)


async def _measure_settled(
    fleet: Fleet, session: aiohttp.ClientSession, data_centers: int, seconds: float
) -> FleetCost:
    pids = [fleet.processes[host.name].pid for host in fleet.hosts]
    calls_before, cpu_before = await _read_calls(fleet, session), [cpu_seconds(pid) for pid in pids]
    await asyncio.sleep(seconds)
    calls_after, cpu_after = await _read_calls(fleet, session), [cpu_seconds(pid) for pid in pids]
    cores = [
        (after - before) / seconds for after, before in zip(cpu_after, cpu_before, strict=True)
    ]
    calls = {
        call: count - calls_before.calls.get(call, 0) for call, count in calls_after.calls.items()
    }
    return FleetCost(
        hosts=len(pids),
        data_centers=data_centers,
        store_calls_per_s=sum(calls.values()) / seconds + calls_after.open_watches,
        open_watches=calls_after.open_watches,
        cores_mean=statistics.fmean(cores),
        cores_max=max(cores),
        resident_bytes_mean=statistics.fmean(map(resident_bytes, pids)),
        calls=calls,
    )


async def _read_calls(fleet: Fleet, session: aiohttp.ClientSession) -> CallReport:
    async with session.get(f"{fleet.store_url}/control/calls") as response:
        return msgspec.json.decode(await response.read(), type=CallReport)
