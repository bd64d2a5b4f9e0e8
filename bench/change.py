"""Measures the time from the write of a change until it is in force on each host of a fleet.

Prints JSON for each condition: quiet, a relay killed, the store slow. Times are in seconds, from
the moment before the write is sent until a host first reports the version.
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import statistics
import sys
import tempfile
import time
import typing as t

import aiohttp
import msgspec

from radishbridge.peers import Directory, HostAddress
from radishbridge.records import InForce, Workspace, encode_record
from radishbridge.store import HostEntry, HttpStore, StoredObject
from radishbridge_standin.processes import Fleet, HostLocation, wait_for_status
from radishbridge_standin.table import Faults

DATA_CENTERS = 6
POLL_INTERVAL_S = 0.01
WAIT_TIMEOUT_S = 30.0
SETTLE_TIME_S = 15.0
STORE_TIMEOUT_S = 10.0
STORE_DELAY_S = 0.5


class ChangeReport(msgspec.Struct, kw_only=True):
    """Times of all changes on all hosts under one condition.

    :param missing: number of pairs of a change and a running host that timed out.
    """

    condition: str
    hosts: int
    changes: int
    p50_s: float
    p99_s: float
    max_s: float
    missing: int


class ChangeBench:
    """Writes changes to a fleet and times them."""

    __slots__ = ("changes", "changes_written", "fleet", "session", "store")

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, changes: int) -> None:
        self.fleet = fleet
        self.session = session
        self.changes = changes
        self.changes_written = 0
        self.store = HttpStore(session, fleet.store_url, STORE_TIMEOUT_S)

    async def run(self, condition: str) -> ChangeReport:
        """Write the changes one after the other and time each of them."""
        times = [time_s for _ in range(self.changes) for time_s in await self._write_change()]
        reached = [time_s for time_s in times if time_s is not None]
        return ChangeReport(
            condition=condition,
            hosts=len(self.fleet.hosts),
            changes=self.changes,
            p50_s=round(statistics.median(reached), 3),
            p99_s=round(statistics.quantiles(reached, n=100)[98], 3),
            max_s=round(max(reached), 3),
            missing=len(times) - len(reached),
        )

    async def set_faults(self, faults: Faults) -> None:
        """Set the faults of the stand-in store."""
        url = f"{self.fleet.store_url}/control/faults"
        async with self.session.put(url, data=msgspec.json.encode(faults)) as response:
            response.raise_for_status()

    def kill_one_relay(self) -> str:
        """Kill the first relay of a data centre, and remove it from the measured hosts."""
        directory = Directory("")
        directory.update(
            HostAddress(
                name=host.name,
                region=host.region,
                data_center=host.data_center,
                address=host.peer_address,
            )
            for host in self.fleet.hosts
        )
        name = directory.relays("dc-0")[0]
        self.fleet.processes[name].kill()
        self.fleet.hosts = [host for host in self.fleet.hosts if host.name != name]
        return name

    async def _write_change(self) -> list[float | None]:
        self.changes_written += 1
        value = encode_record("workspace", Workspace(title=f"change {self.changes_written}"))
        started_at = time.monotonic()
        stored = await self.store.put("workspace", f"w{self.changes_written}", value, 0)
        if not isinstance(stored, StoredObject):
            raise TypeError(stored.reason)
        waits = (self._wait_until_in_force(host, stored, started_at) for host in self.fleet.hosts)
        return list(await asyncio.gather(*waits))

    async def _wait_until_in_force(
        self, host: HostEntry, stored: StoredObject, started_at: float
    ) -> float | None:
        url = f"http://{host.admin_address}/v1/in-force/{stored.kind}/{stored.name}"
        while time.monotonic() < started_at + WAIT_TIMEOUT_S:
            async with self.session.get(url) as response:
                report = msgspec.json.decode(await response.read(), type=InForce)
            if report.version >= stored.version:
                return time.monotonic() - started_at
            await asyncio.sleep(POLL_INTERVAL_S)
        return None


async def measure(hosts: int, changes: int) -> list[ChangeReport]:
    """Start a fleet, and measure it under each condition."""
    with tempfile.TemporaryDirectory() as directory, Fleet(pathlib.Path(directory)) as fleet:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            fleet.start_store()
            await wait_for_status(session, f"{fleet.store_url}/v1/hosts", 200)
            for number in range(hosts):
                data_center = number % DATA_CENTERS
                fleet.start_host(
                    HostLocation(
                        f"host-{number}", f"region-{data_center // 2}", f"dc-{data_center}"
                    )
                )
            await fleet.announce_hosts(session)
            await fleet.wait_ready(session)
            await asyncio.sleep(SETTLE_TIME_S)
            return await _measure_conditions(ChangeBench(fleet, session, changes))


async def _measure_conditions(bench: ChangeBench) -> list[ChangeReport]:
    reports = [await bench.run("quiet")]
    await bench.set_faults(Faults(delay_s=STORE_DELAY_S))
    reports.append(await bench.run(f"store slow by {STORE_DELAY_S} s"))
    await bench.set_faults(Faults())
    bench.kill_one_relay()
    reports.append(await bench.run("a relay killed just before"))
    return reports


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Print the reports as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=30)
    parser.add_argument("--changes", type=int, default=20)
    options = parser.parse_args(arguments)
    reports = asyncio.run(measure(options.hosts, options.changes))
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(reports)).decode() + "\n")


if __name__ == "__main__":
    main()
