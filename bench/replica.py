"""Measures the replica: calls to the store, bytes between hosts, refusals against stale keys.

``python bench/replica.py calls`` runs ten hosts for about 40 s of real time against the stand-in
object API over HTTP. ``python bench/replica.py fleet HOSTS`` runs a fleet in virtual time.
``python bench/replica.py memory PARTS`` measures a copy with parts of client blocks of nearly 1 MB.
``python bench/replica.py freshness`` compares refusing with serving. Each prints JSON.
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

BAVARIA = {"ob": {"ob-a": 2, "ob-b": 2}, "sw": {"sw-a": 2, "sw-b": 1}, "nf": {"nf-a": 2, "nf-b": 1}}
DATA_CENTERS = 40
REGIONS = 19
PHASE_S = 10.0
STORE_TIMEOUT_S = 2.0
REQUESTS_PER_S = 100
CUT_S = 60
WITHDRAWN_AFTER_S = 10
HOST_LAG_S = 30.0
RECORDS = 500
PART_BYTES = 780_000
COUNTS = [
    "requests",
    "refused_when_refusing",
    "withdrawn_served_when_refusing",
    "withdrawn_served_when_serving",
]


def bavaria() -> list[Location]:
    """Return the ten hosts of today."""
    return [
        Location(name=f"{center}-{number}", region=region, data_center=center)
        for region, centers in BAVARIA.items()
        for center, count in centers.items()
        for number in range(count)
    ]


def planned(hosts: int) -> list[Location]:
    """Return hosts spread over 40 data centres in 19 regions."""
    centers = [f"dc-{number}" for number in range(DATA_CENTERS)]
    return [
        Location(
            name=f"host-{number}",
            region=f"region-{number % DATA_CENTERS % REGIONS}",
            data_center=center,
        )
        for number, center in zip(range(hosts), itertools.cycle(centers), strict=False)
    ]


class Phase:
    """Counts the calls of one phase of a run."""

    __slots__ = ("before", "name", "started_at", "table")

    def __init__(self, name: str, table: ObjectTable) -> None:
        self.name = name
        self.table = table
        self.before = collections.Counter(table.calls)
        self.started_at = table.clock()

    def report(self) -> dict[str, t.Any]:
        """Return calls by kind, the mean and the peak per second."""
        calls = collections.Counter(self.table.calls) - self.before
        seconds = range(int(self.started_at), int(self.table.clock()) + 1)
        return {
            "phase": self.name,
            "calls": dict(calls),
            "per_second": round(calls.total() / (self.table.clock() - self.started_at), 2),
            "peak_per_second": max(self.table.calls_by_second[second] for second in seconds),
            "open_watches": self.table.open_watches,
        }


async def measure_calls() -> dict[str, t.Any]:
    """Run ten hosts through a start, a steady time, an outage and its end."""
    table = ObjectTable()
    runner = web.AppRunner(ObjectApi(table).application())
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    network = FakeNetwork(random.Random(1))
    async with aiohttp.ClientSession() as session:
        store = HttpStore(session, f"http://{host}:{port}", STORE_TIMEOUT_S)
        relays = [_relay(one, store, network) for one in bavaria()]
        tasks = [asyncio.create_task(relay.run()) for relay in relays]
        tasks.append(asyncio.create_task(_deliver(network)))
        reports = []
        for name, down in {
            "start": False,
            "steady": False,
            "outage": True,
            "return": False,
        }.items():
            phase = Phase(name, table)
            table.faults.down = down
            table.notify()
            await asyncio.sleep(PHASE_S)
            reports.append(phase.report())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    await runner.cleanup()
    return {"hosts": len(relays), "phase_s": PHASE_S, "phases": reports}


def _relay(location: Location, store: HttpStore, network: FakeNetwork) -> Relay:
    settings = RelaySettings(
        host=location.name,
        region=location.region,
        data_center=location.data_center,
        store_region="ob",
    )
    mesh = network.join(location.name, location.region, location.data_center)
    randomness = random.Random(location.name)
    return Relay(settings, store, Replica(), mesh, randomness)


async def _deliver(network: FakeNetwork) -> None:
    while True:
        network.deliver()
        await asyncio.sleep(0.005)


async def measure_fleet(hosts: int) -> dict[str, t.Any]:
    """Run a fleet through a start, a steady time, ten changes, an outage and its end.

    The history of the store is lost in the outage, so that no watch can be resumed.
    """
    locations = bavaria() if hosts <= len(bavaria()) else planned(hosts)
    one = ReplicaFleet(locations, locations[0].region)
    one.network.sparse = True
    for number in range(RECORDS):
        one.write("key", f"key-{number}", _key())
    reports = []
    for name in ("start", "steady", "changes", "outage", "return"):
        phase = Phase(name, one.table)
        sent = collections.Counter(one.network.bytes_sent)
        one.table.faults.down = name == "outage"
        if name == "return":
            one.write("key", "key-0", _key())
            one.table.compact()
        in_force_s = await _play(one, name)
        bytes_sent = collections.Counter(one.network.bytes_sent)
        bytes_sent.subtract(sent)
        reports.append(phase.report() | _traffic(bytes_sent, len(locations)) | in_force_s)
    await one.close()
    return {"hosts": len(locations), "phase_s": PHASE_S, "records": RECORDS, "phases": reports}


def _traffic(sent: collections.Counter[str], hosts: int) -> dict[str, t.Any]:
    return {
        "mean_bytes_per_host_s": round(sent.total() / hosts / PHASE_S),
        "most_bytes_per_host_s": round(max(sent.values()) / PHASE_S),
    }


async def _play(one: ReplicaFleet, phase: str) -> dict[str, t.Any]:
    if phase != "changes":
        await one.run(PHASE_S)
        return {"fresh_hosts": sum(host.is_fresh() for host in one.hosts.values())}
    waits = []
    for number in range(round(PHASE_S)):
        stored = one.write("key", f"key-{number}", _key(withdrawn=True))
        await one.run(1.0)
        held = [host.replica.version("key", stored.name) for host in one.hosts.values()]
        waits.append(sum(version < stored.version for version in held))
    return {"hosts_without_a_change_after_1_s": max(waits)}


def _key(withdrawn: bool = False) -> Key:
    return Key(workspace="school-17", digest="0" * 64, withdrawn=withdrawn)


async def measure_freshness() -> dict[str, t.Any]:
    """Count requests refused, and requests served with a withdrawn key, by fault and policy."""
    faults = [
        "outage",
        "outage and a crash",
        "store hangs",
        "region cut off",
        "region cut off, key withdrawn",
    ]
    faults += ["store's region lost"]
    results = [await _measure_fault(fault) for fault in faults]
    return {"requests_per_s": REQUESTS_PER_S, "fault_s": CUT_S, "faults": results}


async def _measure_fault(fault: str) -> dict[str, t.Any]:
    one = ReplicaFleet(bavaria(), "ob")
    one.announce_hosts()
    one.write("key", "a", _key())
    await one.run(5.0)
    one.table.faults.host_lag_s = HOST_LAG_S
    _cause(one, fault)
    counts = dict.fromkeys(COUNTS, 0.0)
    for step in range(round(CUT_S / STEP_S)):
        if fault.endswith("withdrawn") and step * STEP_S == WITHDRAWN_AFTER_S:
            one.write("key", "a", _key(withdrawn=True))
        await one.run(STEP_S)
        asked = _asked(one, fault)
        for host in asked:
            _count(counts, one, host, REQUESTS_PER_S * STEP_S / len(asked))
    await one.close()
    return {"fault": fault} | {name: round(count) for name, count in counts.items()}


def _count(counts: dict[str, float], one: ReplicaFleet, host: ReplicaHost, requests: float) -> None:
    stale = host.replica.version("key", "a") < one.table.objects["key", "a"].version
    fresh = host.is_fresh()
    counts["requests"] += requests
    counts["refused_when_refusing"] += 0 if fresh else requests
    counts["withdrawn_served_when_refusing"] += requests if fresh and stale else 0
    counts["withdrawn_served_when_serving"] += requests if stale else 0


def _cause(one: ReplicaFleet, fault: str) -> None:
    if fault.startswith("outage"):
        one.table.faults.down = True
    if fault == "store hangs":
        one.table.faults.delay_s = 2.0 * CUT_S
        one.table.cut_watches()
    if fault.endswith("crash"):
        one.stop("ob-a-0")
    if fault.startswith("region"):
        cut_off = [name for name in one.hosts if name.startswith("sw")]
        one.network.partition(cut_off)
        for name in cut_off:
            one.hosts[name].store.disconnected = True
        one.table.cut_watches()
    if fault.endswith("lost"):
        for name in [name for name in one.hosts if name.startswith("ob")]:
            one.stop(name)
        one.table.faults.down = one.table.faults.hosts_up = True
        one.announce_hosts()


def _asked(one: ReplicaFleet, fault: str) -> list[ReplicaHost]:
    cut_off = fault.startswith("region")
    return [host for name, host in one.hosts.items() if not cut_off or name.startswith("sw")]


def measure_memory(parts: int) -> dict[str, t.Any]:
    """Measure the memory that a replica keeps, and the time to take it in."""
    randomness = random.Random(1)
    values = [
        encode_record(
            "client-blocks", ClientBlocks(family=4, sites=["s"], packed=_packed(randomness))
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
    kept, peak = tracemalloc.get_traced_memory()
    return {
        "parts": parts,
        "value_bytes": sum(map(len, values)),
        "in_force": len(replica.records),
        "kept_bytes": kept,
        "peak_bytes": peak,
        "processor_s": round(time.process_time() - started_at, 3),
    }


def _packed(randomness: random.Random) -> str:
    return base64.b64encode(randomness.randbytes(PART_BYTES)).decode()


def main(arguments: list[str]) -> None:
    """Run the measurement that the arguments name, and print it as JSON."""
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
