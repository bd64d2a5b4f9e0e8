"""Measures the time from a change's write to its being in force on each of many hosts.

Prints JSON for each condition: quiet, a relay killed, the store slow. Times are in seconds from
before the write was sent until a host first shows the version.
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
POLL_S = 0.01
GIVE_UP_S = 30.0
SETTLE_S = 15.0
STORE_TIMEOUT_S = 10.0
SLOW_STORE_S = 0.5


class ChangeReport(msgspec.Struct, kw_only=True):
    """Times of all changes to all hosts under one condition.

    :param missing: pairs of change and live host that never got together.
    """

    condition: str
    hosts: int
    changes: int
    p50_s: float
    p99_s: float
    max_s: float
    missing: int


class ChangeBench:
    """A fleet and the changes written to it."""

    __slots__ = ("changes", "fleet", "session", "store", "written")

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession, changes: int) -> None:
        self.fleet = fleet
        self.session = session
        self.changes = changes
        self.written = 0
        self.store = HttpStore(session, fleet.store_url, STORE_TIMEOUT_S)

    async def run(self, condition: str) -> ChangeReport:
        """Write changes one after the other and time each."""
        times = [time_s for _ in range(self.changes) for time_s in await self._change()]
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
        """Replace the stand-in's faults."""
        url = f"{self.fleet.store_url}/control/faults"
        async with self.session.put(url, data=msgspec.json.encode(faults)) as answer:
            answer.raise_for_status()

    def kill_one_relay(self) -> str:
        """Kill the host that relays first for a data centre, and forget it."""
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

    async def _change(self) -> list[float | None]:
        self.written += 1
        value = encode_record("workspace", Workspace(title=f"change {self.written}"))
        started = time.monotonic()
        stored = await self.store.put("workspace", f"w{self.written}", value, 0)
        if not isinstance(stored, StoredObject):
            raise TypeError(stored.reason)
        waits = (self._wait(host, stored, started) for host in self.fleet.hosts)
        return list(await asyncio.gather(*waits))

    async def _wait(self, host: HostEntry, stored: StoredObject, started: float) -> float | None:
        url = f"http://{host.admin_address}/v1/in-force/{stored.kind}/{stored.name}"
        while time.monotonic() < started + GIVE_UP_S:
            async with self.session.get(url) as answer:
                report = msgspec.json.decode(await answer.read(), type=InForce)
            if report.version >= stored.version:
                return time.monotonic() - started
            await asyncio.sleep(POLL_S)
        return None


async def measure(hosts: int, changes: int) -> list[ChangeReport]:
    """Start a fleet and measure under each condition."""
    with tempfile.TemporaryDirectory() as directory, Fleet(pathlib.Path(directory)) as fleet:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            fleet.start_store()
            await wait_for_status(session, f"{fleet.store_url}/v1/hosts", 200)
            for number in range(hosts):
                center = number % DATA_CENTERS
                fleet.start_host(
                    HostLocation(f"host-{number}", f"region-{center // 2}", f"dc-{center}")
                )
            await fleet.announce_hosts(session)
            await fleet.wait_ready(session)
            await asyncio.sleep(SETTLE_S)
            return await _conditions(ChangeBench(fleet, session, changes))


async def _conditions(bench: ChangeBench) -> list[ChangeReport]:
    reports = [await bench.run("quiet")]
    await bench.set_faults(Faults(delay_s=SLOW_STORE_S))
    reports.append(await bench.run(f"store slow by {SLOW_STORE_S} s"))
    await bench.set_faults(Faults())
    bench.kill_one_relay()
    reports.append(await bench.run("a relay killed just before"))
    return reports


def main(arguments: t.Sequence[str] | None = None) -> None:
    """Print the reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=30)
    parser.add_argument("--changes", type=int, default=20)
    options = parser.parse_args(arguments)
    reports = asyncio.run(measure(options.hosts, options.changes))
    sys.stdout.write(msgspec.json.format(msgspec.json.encode(reports)).decode() + "\n")


if __name__ == "__main__":
    main()
