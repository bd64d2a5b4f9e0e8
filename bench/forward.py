"""Compares a host's forwarding with a bare pass-through proxy: ``python -m bench.forward``.

Both run as processes in front of the same backend server, and get the same load in alternating
rounds. ``--image`` measures the memory of a host while it forwards large responses and request
bodies, ``--decision`` the time of the routing decisions alone.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import typing as t

import aiohttp
import msgspec
from multidict import CIMultiDict

from bench._load import LoadFigures
from bench._processes import cpu_seconds, resident_bytes
from radishbridge.host.keys import KeyRing
from radishbridge.host.paths import check_target
from radishbridge.records import (
    Backend,
    Key,
    Rate,
    Record,
    RecordBody,
    Service,
    Workspace,
    encode_record,
    key_digest,
)
from radishbridge.routing import AttemptOutcome, LocalRouter, Permit, ServiceRoute
from radishbridge.store import HttpStore
from radishbridge_standin.processes import LOOPBACK, Fleet, HostLocation, free_port, wait_for_status

API_KEY = "secret-of-the-bench"
BACKEND_COUNT = 20
SLOTS_PER_BACKEND = 16
REQUESTS_PER_S_MAX = 1e6
DECISION_COUNT = 50_000
MIB = 1_048_576
MEMORY_SAMPLE_INTERVAL_S = 0.02
SLOW_CHUNK_DELAY_S = 0.05
# Direction, number of concurrent transfers, and divisor of the size for each of them.
TRANSFER_CASES = (("answer", 1, 1), ("body", 1, 1), ("answer", 4, 4), ("slow answer", 4, 32))


class ProxyFigures(msgspec.Struct, kw_only=True):
    """Medians over the rounds of one proxy.

    :param cpu_us: processor time per request in microseconds.
    :param failed: number of failed requests in all rounds.
    """

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float
    failed: int


class RoundResult(t.NamedTuple):
    """One round of one proxy; ``cpu_us`` is the processor time per request in microseconds."""

    figures: LoadFigures
    cpu_us: float


class Comparison(msgspec.Struct, kw_only=True):
    """Result of the benchmark; ratios (host to pass-through) are medians over pairs of rounds."""

    connections: int
    rounds: int
    passthrough: ProxyFigures
    host: ProxyFigures
    throughput_ratio: float
    p50_ratio: float
    cpu_ratio: float


class DecisionFigures(msgspec.Struct, kw_only=True):
    """Time to check the target, find route and key, and choose and release a server."""

    backends: int
    repeats: int
    p50_us: float
    p99_us: float


class TransferFigures(msgspec.Struct, kw_only=True):
    """Memory of a host while it forwards large responses or request bodies."""

    direction: str
    bytes: int
    at_once: int
    seconds: float
    idle_mib: float
    peak_above_idle_mib: float


class BenchProcesses:
    """The processes of the benchmark."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ports = [free_port() for _ in range(BACKEND_COUNT)]

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start the object API, the backend servers, the pass-through proxy and the host."""
        self.fleet.start_store()
        self.fleet.start("origin", "bench._origin", *map(str, self.ports))
        for port in self.ports:
            await wait_for_status(session, f"http://{LOOPBACK}:{port}/", 200)
        await wait_for_status(session, f"{self.fleet.store_url}/v1/hosts", 200)
        port = free_port()
        self.passthrough = f"{LOOPBACK}:{port}"
        self.fleet.start("passthrough", "bench.passthrough", str(port), self.backend(0))
        await wait_for_status(session, f"http://{self.passthrough}/", 200)
        await self._write_records(HttpStore(session, self.fleet.store_url, 5.0))
        self.host = self.fleet.start_host(HostLocation("host-1", "a", "a1"))
        await self.fleet.announce_hosts(session)
        await self.fleet.wait_ready(session)
        await wait_for_status(session, f"http://{self.host.address}/nothing", 404)

    def backend(self, index: int) -> str:
        """Return the address of a backend server."""
        return f"{LOOPBACK}:{self.ports[index]}"

    def pid(self, name: str) -> int:
        """Return the process id of a named process."""
        return self.fleet.processes[name].pid

    async def _write_records(self, store: HttpStore) -> None:
        addresses = [self.backend(index) for index in range(BACKEND_COUNT)]
        for record in _make_records(addresses):
            if record.body is not None:
                value = encode_record(record.kind, record.body)
                stored = await store.put(record.kind, record.name, value, 0)
                if not stored:
                    raise RuntimeError(str(stored))


def _make_records(addresses: list[str]) -> list[Record]:
    backends = [
        Backend(
            name=f"b-{n}", address=address, region="a", data_center="a1", slots=SLOTS_PER_BACKEND
        )
        for n, address in enumerate(addresses)
    ]
    bodies: dict[tuple[str, str], RecordBody] = {
        ("workspace", "w"): Workspace(),
        ("rate", "w"): Rate(requests_per_second=REQUESTS_PER_S_MAX, burst=REQUESTS_PER_S_MAX),
        ("key", "k"): Key(workspace="w", digest=key_digest(API_KEY)),
        ("service", "s"): Service(path_prefix="/s", backends=backends, deadline_s=600.0),
    }
    return [
        Record(kind=kind, name=name, version=1, body=body) for (kind, name), body in bodies.items()
    ]


async def compare(
    processes: BenchProcesses, rounds: int, round_s: float, connections: int
) -> Comparison:
    """Load both proxies in alternating rounds, each pair in the reverse order of the last."""
    addresses = {"passthrough": processes.passthrough, "host-1": processes.host.address}
    rounds_by_name: dict[str, list[RoundResult]] = {name: [] for name in addresses}
    for number in range(rounds + 1):
        for name in sorted(addresses, reverse=bool(number % 2)):
            cpu_started_s = cpu_seconds(processes.pid(name))
            figures = await _run_load(addresses[name], round_s, connections)
            cpu_s = cpu_seconds(processes.pid(name)) - cpu_started_s
            # The first round only warms up connections and caches.
            if number:
                rounds_by_name[name].append(RoundResult(figures, cpu_s / figures.requests * 1e6))
    pairs = list(zip(rounds_by_name["host-1"], rounds_by_name["passthrough"], strict=True))
    return Comparison(
        connections=connections,
        rounds=rounds,
        passthrough=_summarize(rounds_by_name["passthrough"]),
        host=_summarize(rounds_by_name["host-1"]),
        throughput_ratio=_ratio(pairs, lambda result: result.figures.requests_per_s),
        p50_ratio=_ratio(pairs, lambda result: result.figures.p50_ms),
        cpu_ratio=_ratio(pairs, lambda result: result.cpu_us),
    )


def _ratio(
    pairs: list[tuple[RoundResult, RoundResult]], value: t.Callable[[RoundResult], float]
) -> float:
    return round(statistics.median(value(host) / value(bare) for host, bare in pairs), 3)


async def _run_load(address: str, round_s: float, connections: int) -> LoadFigures:
    arguments = [f"http://{address}/s/devices/1", API_KEY, str(connections), str(round_s)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench._load", *arguments, stdout=subprocess.PIPE
    )
    output, _ = await process.communicate()
    return msgspec.json.decode(output, type=LoadFigures)


def _summarize(rounds: list[RoundResult]) -> ProxyFigures:
    def median_of(value: t.Callable[[RoundResult], float]) -> float:
        return round(statistics.median(map(value, rounds)), 3)

    return ProxyFigures(
        requests_per_s=median_of(lambda result: result.figures.requests_per_s),
        p50_ms=median_of(lambda result: result.figures.p50_ms),
        p99_ms=median_of(lambda result: result.figures.p99_ms),
        cpu_us=median_of(lambda result: result.cpu_us),
        failed=sum(result.figures.failed for result in rounds),
    )


def measure_decision(backends: int, repeats: int) -> DecisionFigures:
    """Time the decisions on a request without the forwarding itself."""
    router = LocalRouter("a", "a1", random.Random(1))
    keys = KeyRing()
    for record in _make_records([f"{LOOPBACK}:{1024 + n}" for n in range(backends)]):
        for update in (router.update, keys.update):
            update(record)
    headers = CIMultiDict({"Host": "h", "Accept": "*/*", "Authorization": f"Bearer {API_KEY}"})
    outcome = AttemptOutcome(0.01)
    times_us = []
    for number in range(repeats):
        started_at = time.perf_counter()
        path = check_target(f"/s/devices/{number}")
        target = router.find(str(path))
        workspace = keys.authenticate(headers)
        permit = router.acquire(t.cast(ServiceRoute, target), (), started_at)
        router.release(t.cast(Permit, permit), outcome, started_at)
        times_us.append((time.perf_counter() - started_at) * 1e6)
        if not workspace:
            raise RuntimeError(str(workspace))
    times_us.sort()
    return DecisionFigures(
        backends=backends,
        repeats=repeats,
        p50_us=round(times_us[repeats // 2], 2),
        p99_us=round(times_us[repeats * 99 // 100], 2),
    )


async def measure_transfers(
    processes: BenchProcesses, direction: str, size: int, at_once: int
) -> TransferFigures:
    """Sample the host's memory while it forwards large responses or request bodies."""
    pid = processes.pid("host-1")
    await asyncio.sleep(1.0)
    idle_bytes = peak_bytes = resident_bytes(pid)
    started_at = time.perf_counter()
    transfers = asyncio.gather(*(_transfer(processes, direction, size) for _ in range(at_once)))
    while not transfers.done():
        peak_bytes = max(peak_bytes, resident_bytes(pid))
        await asyncio.sleep(MEMORY_SAMPLE_INTERVAL_S)
    await transfers
    return TransferFigures(
        direction=direction,
        bytes=size,
        at_once=at_once,
        seconds=round(time.perf_counter() - started_at, 2),
        idle_mib=round(idle_bytes / MIB, 1),
        peak_above_idle_mib=round((peak_bytes - idle_bytes) / MIB, 1),
    )


async def _transfer(processes: BenchProcesses, direction: str, size: int) -> None:
    base = f"http://{processes.host.address}/s"
    headers = {"Authorization": f"Bearer {API_KEY}"}
    timeout = aiohttp.ClientTimeout(total=600)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        if direction.endswith("answer"):
            received = 0
            async with session.get(f"{base}/image/{size}") as response:
                async for chunk in response.content.iter_any():
                    received += len(chunk)
                    await asyncio.sleep(SLOW_CHUNK_DELAY_S if direction == "slow answer" else 0)
            if received != size:
                raise RuntimeError(f"received {received} of {size} bytes")
        else:
            async with session.put(f"{base}/upload", data=_make_body(size)) as response:
                response.raise_for_status()


async def _make_body(size: int) -> t.AsyncIterator[bytes]:
    chunk = bytes(262_144)
    for start in range(0, size, len(chunk)):
        yield chunk[: size - start]


async def main() -> None:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--image", action="store_true")
    parser.add_argument("--size-mib", type=int, default=1024)
    parser.add_argument("--rounds", type=int, default=12)
    parser.add_argument("--round-s", type=float, default=1.5)
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--decision", action="store_true")
    options = parser.parse_args()
    if options.decision:
        for backends in (4, 20, 200, 2_000):
            figures = measure_decision(backends, DECISION_COUNT)
            print(msgspec.json.encode(figures).decode())
        return
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        processes = BenchProcesses(stack.enter_context(Fleet(pathlib.Path(directory))))
        async with aiohttp.ClientSession() as session:
            await processes.start(session)
        if options.image:
            size = options.size_mib * MIB
            for direction, at_once, size_divisor in TRANSFER_CASES:
                transfer_figures = await measure_transfers(
                    processes, direction, size // size_divisor, at_once
                )
                print(msgspec.json.encode(transfer_figures).decode())
            return
        comparison = await compare(processes, options.rounds, options.round_s, options.connections)
        print(msgspec.json.format(msgspec.json.encode(comparison)).decode())


if __name__ == "__main__":
    asyncio.run(main())
