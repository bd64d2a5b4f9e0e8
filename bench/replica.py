"""Measures the replica: store calls, bytes between hosts, memory, and refusals of stale hosts.

``python bench/replica.py calls`` runs ten hosts for about 40 s of real time against the stand-in
object API over HTTP. ``python bench/replica.py fleet HOSTS`` runs a fleet in virtual time.
``python bench/replica.py memory PARTS`` measures a replica of client blocks, in parts of nearly
1 MB. ``python bench/replica.py freshness`` compares two policies for hosts whose replica may be
stale: to refuse requests, or to serve them. Each prints JSON.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import itertools
import json
import random
import sys
import time
import tracemalloc
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from radishbridge.records import ClientBlocks, Key, encode_record
from radishbridge.store import HttpStore, Relay, RelaySettings, Replica, StoredObject
from radishbridge_standin.mesh import FakeNetwork
from radishbridge_standin.objects import ObjectApi
from radishbridge_standin.replicas import STEP_S, Location, ReplicaFleet, ReplicaHost
from radishbridge_standin.table import ObjectTable

BAVARIA_HOSTS = {
    "ob": {"ob-a": 2, "ob-b": 2},
    "sw": {"sw-a": 2, "sw-b": 1},
    "nf": {"nf-a": 2, "nf-b": 1},
}
DATA_CENTER_COUNT = 40
REGION_COUNT = 19
PHASE_DURATION_S = 10.0
STORE_TIMEOUT_S = 2.0
REQUESTS_PER_S = 100
FAULT_DURATION_S = 60
KEY_WITHDRAWN_AFTER_S = 10
HOST_LIST_LAG_S = 30.0
RECORD_COUNT = 500
CLIENT_BLOCKS_BYTES = 780_000
COUNT_NAMES = [
    "requests",
    "refused_when_refusing",
    "withdrawn_served_when_refusing",
    "withdrawn_served_when_serving",
]


def bavaria_locations() -> list[Location]:
    """Return the ten hosts of the current deployment."""
    return [
        Location(name=f"{data_center}-{number}", region=region, data_center=data_center)
        for region, data_centers in BAVARIA_HOSTS.items()
        for data_center, count in data_centers.items()
        for number in range(count)
    ]


def design_locations(hosts: int) -> list[Location]:
    """Return hosts of the design size: spread over 40 data centres in 19 regions."""
    data_centers = [f"dc-{number}" for number in range(DATA_CENTER_COUNT)]
    return [
        Location(
            name=f"host-{number}",
            region=f"region-{number % DATA_CENTER_COUNT % REGION_COUNT}",
            data_center=data_center,
        )
        for number, data_center in zip(range(hosts), itertools.cycle(data_centers), strict=False)
    ]


class PhaseCounter:
    """Counts the store calls in one phase of a run."""

    __slots__ = ("calls_before", "name", "started_at", "table")

    def __init__(self, name: str, table: ObjectTable) -> None:
        self.name = name
        self.table = table
        self.calls_before = collections.Counter(table.calls)
        self.started_at = table.clock()

    def report(self) -> dict[str, t.Any]:
        """Return the calls by kind, and their mean and peak per second."""
        calls = collections.Counter(self.table.calls) - self.calls_before
        seconds = range(int(self.started_at), int(self.table.clock()) + 1)
        return {
            "phase": self.name,
            "calls": dict(calls),
            "per_second": round(calls.total() / (self.table.clock() - self.started_at), 2),
            "peak_per_second": max(self.table.calls_by_second[second] for second in seconds),
            "open_watches": self.table.open_watches,
        }


async def measure_calls() -> dict[str, t.Any]:
    """Run ten hosts through a start, a steady phase, an outage and the recovery."""
    table = ObjectTable()
    runner = web.AppRunner(ObjectApi(table).application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    network = FakeNetwork(random.Random(1))
    async with aiohttp.ClientSession() as session:
        store = HttpStore(session, f"http://{host}:{port}", STORE_TIMEOUT_S)
        relays = [_make_relay(location, store, network) for location in bavaria_locations()]
        tasks = [asyncio.create_task(relay.run()) for relay in relays]
        tasks.append(asyncio.create_task(_deliver_messages(network)))
        reports = []
        for name, down in {
            "start": False,
            "steady": False,
            "outage": True,
            "return": False,
        }.items():
            phase = PhaseCounter(name, table)
            table.faults.down = down
            table.notify()
            await asyncio.sleep(PHASE_DURATION_S)
            reports.append(phase.report())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    await runner.cleanup()
    return {"hosts": len(relays), "phase_s": PHASE_DURATION_S, "phases": reports}


def _make_relay(location: Location, store: HttpStore, network: FakeNetwork) -> Relay:
    settings = RelaySettings(
        host=location.name,
        region=location.region,
        data_center=location.data_center,
        store_region="ob",
    )
    mesh = network.join(location.name, location.region, location.data_center)
    rng = random.Random(location.name)
    return Relay(settings, store, Replica(), mesh, rng)


async def _deliver_messages(network: FakeNetwork) -> None:
    while True:
        network.deliver()
        await asyncio.sleep(0.005)


async def measure_fleet(hosts: int) -> dict[str, t.Any]:
    """Run a fleet through a start, a steady phase, ten changes, an outage and the recovery.

    The store loses its history in the outage, so that no watch can be resumed.
    """
    locations = (
        bavaria_locations() if hosts <= len(bavaria_locations()) else design_locations(hosts)
    )
    fleet = ReplicaFleet(locations, locations[0].region)
    fleet.network.sparse = True
    for number in range(RECORD_COUNT):
        fleet.write("key", f"key-{number}", _make_key())
    reports = []
    for name in ("start", "steady", "changes", "outage", "return"):
        phase = PhaseCounter(name, fleet.table)
        sent_before = collections.Counter(fleet.network.bytes_sent)
        fleet.table.faults.down = name == "outage"
        if name == "return":
            fleet.write("key", "key-0", _make_key())
            fleet.table.compact()
        phase_results = await _run_phase(fleet, name)
        bytes_sent = collections.Counter(fleet.network.bytes_sent)
        bytes_sent.subtract(sent_before)
        reports.append(
            phase.report() | _summarize_traffic(bytes_sent, len(locations)) | phase_results
        )
    await fleet.close()
    return {
        "hosts": len(locations),
        "phase_s": PHASE_DURATION_S,
        "records": RECORD_COUNT,
        "phases": reports,
    }


def _summarize_traffic(bytes_sent: collections.Counter[str], hosts: int) -> dict[str, t.Any]:
    return {
        "mean_bytes_per_host_s": round(bytes_sent.total() / hosts / PHASE_DURATION_S),
        "most_bytes_per_host_s": round(max(bytes_sent.values()) / PHASE_DURATION_S),
    }


async def _run_phase(fleet: ReplicaFleet, phase: str) -> dict[str, t.Any]:
    if phase != "changes":
        await fleet.run(PHASE_DURATION_S)
        return {"fresh_hosts": sum(host.is_fresh() for host in fleet.hosts.values())}
    hosts_without_change = []
    for number in range(round(PHASE_DURATION_S)):
        stored = fleet.write("key", f"key-{number}", _make_key(withdrawn=True))
        await fleet.run(1.0)
        versions = [host.replica.version("key", stored.name) for host in fleet.hosts.values()]
        hosts_without_change.append(sum(version < stored.version for version in versions))
    return {"hosts_without_a_change_after_1_s": max(hosts_without_change)}


def _make_key(withdrawn: bool = False) -> Key:
    return Key(workspace="school-17", digest="0" * 64, withdrawn=withdrawn)


async def measure_freshness() -> dict[str, t.Any]:
    """Count refused requests, and requests served with a withdrawn key, by fault and policy."""
    faults = [
        "outage",
        "outage and a crash",
        "store hangs",
        "region cut off",
        "region cut off, key withdrawn",
    ]
    faults += ["store's region lost"]
    results = [await _measure_fault(fault) for fault in faults]
    return {"requests_per_s": REQUESTS_PER_S, "fault_s": FAULT_DURATION_S, "faults": results}


async def _measure_fault(fault: str) -> dict[str, t.Any]:
    fleet = ReplicaFleet(bavaria_locations(), "ob")
    fleet.announce_hosts()
    fleet.write("key", "a", _make_key())
    await fleet.run(5.0)
    fleet.table.faults.host_lag_s = HOST_LIST_LAG_S
    _inject_fault(fleet, fault)
    counts = dict.fromkeys(COUNT_NAMES, 0.0)
    for step in range(round(FAULT_DURATION_S / STEP_S)):
        if fault.endswith("withdrawn") and step * STEP_S == KEY_WITHDRAWN_AFTER_S:
            fleet.write("key", "a", _make_key(withdrawn=True))
        await fleet.run(STEP_S)
        serving_hosts = _serving_hosts(fleet, fault)
        for host in serving_hosts:
            _count_requests(counts, fleet, host, REQUESTS_PER_S * STEP_S / len(serving_hosts))
    await fleet.close()
    return {"fault": fault} | {name: round(count) for name, count in counts.items()}


def _count_requests(
    counts: dict[str, float], fleet: ReplicaFleet, host: ReplicaHost, requests: float
) -> None:
    is_stale = host.replica.version("key", "a") < fleet.table.objects["key", "a"].version
    is_fresh = host.is_fresh()
    counts["requests"] += requests
    counts["refused_when_refusing"] += 0 if is_fresh else requests
    counts["withdrawn_served_when_refusing"] += requests if is_fresh and is_stale else 0
    counts["withdrawn_served_when_serving"] += requests if is_stale else 0


def _inject_fault(fleet: ReplicaFleet, fault: str) -> None:
    if fault.startswith("outage"):
        fleet.table.faults.down = True
    if fault == "store hangs":
        fleet.table.faults.delay_s = 2.0 * FAULT_DURATION_S
        fleet.table.cut_watches()
    if fault.endswith("crash"):
        fleet.stop("ob-a-0")
    if fault.startswith("region"):
        cut_off = [name for name in fleet.hosts if name.startswith("sw")]
        fleet.network.partition(cut_off)
        for name in cut_off:
            fleet.hosts[name].store.disconnected = True
        fleet.table.cut_watches()
    if fault.endswith("lost"):
        for name in [name for name in fleet.hosts if name.startswith("ob")]:
            fleet.stop(name)
        fleet.table.faults.down = fleet.table.faults.hosts_up = True
        fleet.announce_hosts()


def _serving_hosts(fleet: ReplicaFleet, fault: str) -> list[ReplicaHost]:
    cut_off = fault.startswith("region")
    return [host for name, host in fleet.hosts.items() if not cut_off or name.startswith("sw")]


def measure_memory(parts: int) -> dict[str, t.Any]:
    """Measure the memory of a replica, and the processor time to apply its objects."""
    rng = random.Random(1)
    values = [
        encode_record(
            "client-blocks", ClientBlocks(family=4, sites=["s"], packed=_make_packed_blocks(rng))
        )
        for _ in range(parts)
    ]
    started_at = time.process_time()
    tracemalloc.start()
    replica = Replica()
    for number, value in enumerate(values, start=1):
        replica.apply(
            StoredObject(
                kind="client-blocks",
                name=f"part-{number}",
                version=number,
                value=msgspec.Raw(value),
            )
        )
    retained_bytes, peak_bytes = tracemalloc.get_traced_memory()
    return {
        "parts": parts,
        "value_bytes": sum(map(len, values)),
        "in_force": len(replica.records),
        "kept_bytes": retained_bytes,
        "peak_bytes": peak_bytes,
        "processor_s": round(time.process_time() - started_at, 3),
    }


def _make_packed_blocks(rng: random.Random) -> str:
    return base64.b64encode(rng.randbytes(CLIENT_BLOCKS_BYTES)).decode()


def main(arguments: list[str]) -> None:
    """Run the measurement that the arguments name, and print its results as JSON."""
    started_at = time.monotonic()
    if arguments[:1] == ["calls"]:
        result = asyncio.run(measure_calls())
    elif arguments[:1] == ["fleet"]:
        result = asyncio.run(measure_fleet(int(arguments[1])))
    elif arguments[:1] == ["memory"]:
        result = measure_memory(int(arguments[1]))
    elif arguments[:1] == ["freshness"]:
        result = asyncio.run(measure_freshness())
    else:
        raise SystemExit(__doc__)
    print(json.dumps(result | {"took_s": round(time.monotonic() - started_at, 1)}, indent=1))


if __name__ == "__main__":
    main(sys.argv[1:])
