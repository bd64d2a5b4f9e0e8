"""Measures forwarding against a bare pass-through: ``python -m bench.forward``.

Both run as processes before the same backend server, and get the same load in alternating
rounds. ``--image`` measures the memory of a host while large answers and bodies pass,
``--decision`` the time of the decisions alone.
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

SECRET = "secret-of-the-bench"
BACKENDS = 20
SLOTS = 16
RATE = 1e6
DECISIONS = 50_000
MIB = 1_048_576
SAMPLE_S = 0.02
SLOW_PART_S = 0.05
# Direction, transfers at once, and the part of the size that each of them moves.
IMAGE_CASES = (("answer", 1, 1), ("body", 1, 1), ("answer", 4, 4), ("slow answer", 4, 32))


class Side(msgspec.Struct, kw_only=True):
    """Medians over the rounds of one side.

    :param cpu_us: processor time for each request, in microseconds.
    """

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_us: float
    failed: int


class Round(t.NamedTuple):
    """One round of one side; ``cpu_us`` is the processor time for each request."""

    figures: LoadFigures
    cpu_us: float


class Comparison(msgspec.Struct, kw_only=True):
    """The result of the bench; the ratios are medians over pairs of rounds, host over bare."""

    connections: int
    rounds: int
    passthrough: Side
    host: Side
    throughput_ratio: float
    p50_ratio: float
    cpu_ratio: float


class DecisionFigures(msgspec.Struct, kw_only=True):
    """Time of target check, route, key, choice and release together, in microseconds."""

    backends: int
    repeats: int
    p50_us: float
    p99_us: float


class ImageFigures(msgspec.Struct, kw_only=True):
    """Memory of a host while large answers or bodies pass."""

    direction: str
    bytes: int
    at_once: int
    seconds: float
    idle_mib: float
    peak_above_idle_mib: float


class Setup:
    """The processes of the bench."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ports = [free_port() for _ in range(BACKENDS)]

    async def start(self, session: aiohttp.ClientSession) -> None:
        """Start object API, backend server, pass-through and host."""
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
        """Return the id of a process."""
        return self.fleet.processes[name].pid

    async def _write_records(self, store: HttpStore) -> None:
        addresses = [self.backend(index) for index in range(BACKENDS)]
        for record in _records(addresses):
            if record.body is not None:
                value = encode_record(record.kind, record.body)
                stored = await store.put(record.kind, record.name, value, 0)
                if not stored:
                    raise RuntimeError(str(stored))


def _records(addresses: list[str]) -> list[Record]:
    backends = [
        Backend(name=f"b-{n}", address=address, region="a", data_center="a1", slots=SLOTS)
        for n, address in enumerate(addresses)
    ]
    bodies: dict[tuple[str, str], RecordBody] = {
        ("workspace", "w"): Workspace(),
        ("rate", "w"): Rate(requests_per_second=RATE, burst=RATE),
        ("key", "k"): Key(workspace="w", digest=key_digest(SECRET)),
        ("service", "s"): Service(path_prefix="/s", backends=backends, deadline_s=600.0),
    }
    return [
        Record(kind=kind, name=name, version=1, body=body) for (kind, name), body in bodies.items()
    ]


async def compare(setup: Setup, rounds: int, round_s: float, connections: int) -> Comparison:
    """Load both sides in alternating rounds, each pair in the opposite order of the last."""
    sides = {"passthrough": setup.passthrough, "host-1": setup.host.address}
    seen: dict[str, list[Round]] = {name: [] for name in sides}
    for number in range(rounds + 1):
        for name in sorted(sides, reverse=bool(number % 2)):
            before = cpu_seconds(setup.pid(name))
            figures = await _load(sides[name], round_s, connections)
            used_s = cpu_seconds(setup.pid(name)) - before
            # The first round warms up connections and caches and is left out.
            if number:
                seen[name].append(Round(figures, used_s / figures.requests * 1e6))
    pairs = list(zip(seen["host-1"], seen["passthrough"], strict=True))
    return Comparison(
        connections=connections,
        rounds=rounds,
        passthrough=_side(seen["passthrough"]),
        host=_side(seen["host-1"]),
        throughput_ratio=_ratio(pairs, lambda one: one.figures.requests_per_s),
        p50_ratio=_ratio(pairs, lambda one: one.figures.p50_ms),
        cpu_ratio=_ratio(pairs, lambda one: one.cpu_us),
    )


def _ratio(pairs: list[tuple[Round, Round]], value: t.Callable[[Round], float]) -> float:
    return round(statistics.median(value(host) / value(bare) for host, bare in pairs), 3)


async def _load(address: str, round_s: float, connections: int) -> LoadFigures:
    arguments = [f"http://{address}/s/devices/1", SECRET, str(connections), str(round_s)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench._load", *arguments, stdout=subprocess.PIPE
    )
    output, _ = await process.communicate()
    return msgspec.json.decode(output, type=LoadFigures)


def _side(rounds: list[Round]) -> Side:
    def middle(value: t.Callable[[Round], float]) -> float:
        return round(statistics.median(map(value, rounds)), 3)

    return Side(
        requests_per_s=middle(lambda one: one.figures.requests_per_s),
        p50_ms=middle(lambda one: one.figures.p50_ms),
        p99_ms=middle(lambda one: one.figures.p99_ms),
        cpu_us=middle(lambda one: one.cpu_us),
        failed=sum(one.figures.failed for one in rounds),
    )


def measure_decision(backends: int, repeats: int) -> DecisionFigures:
    """Time the decisions on a request, which no other part of the forwarding waits for."""
    router = LocalRouter("a", "a1", random.Random(1))
    keys = KeyRing()
    for record in _records([f"{LOOPBACK}:{1024 + n}" for n in range(backends)]):
        for update in (router.update, keys.update):
            update(record)
    headers = CIMultiDict({"Host": "h", "Accept": "*/*", "Authorization": f"Bearer {SECRET}"})
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


async def measure_image(setup: Setup, direction: str, size: int, at_once: int) -> ImageFigures:
    """Watch the host's memory while large answers or bodies pass."""
    pid = setup.pid("host-1")
    await asyncio.sleep(1.0)
    idle = peak = resident_bytes(pid)
    started_at = time.perf_counter()
    transfers = asyncio.gather(*(_transfer(setup, direction, size) for _ in range(at_once)))
    while not transfers.done():
        peak = max(peak, resident_bytes(pid))
        await asyncio.sleep(SAMPLE_S)
    await transfers
    return ImageFigures(
        direction=direction,
        bytes=size,
        at_once=at_once,
        seconds=round(time.perf_counter() - started_at, 2),
        idle_mib=round(idle / MIB, 1),
        peak_above_idle_mib=round((peak - idle) / MIB, 1),
    )


async def _transfer(setup: Setup, direction: str, size: int) -> None:
    base = f"http://{setup.host.address}/s"
    headers = {"Authorization": f"Bearer {SECRET}"}
    timeout = aiohttp.ClientTimeout(total=600)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        if direction.endswith("answer"):
            received = 0
            async with session.get(f"{base}/image/{size}") as answer:
                async for part in answer.content.iter_any():
                    received += len(part)
                    await asyncio.sleep(SLOW_PART_S if direction == "slow answer" else 0)
            if received != size:
                raise RuntimeError(f"{received} bytes of {size}")
        else:
            async with session.put(f"{base}/upload", data=_body(size)) as answer:
                answer.raise_for_status()


async def _body(size: int) -> t.AsyncIterator[bytes]:
    part = bytes(262_144)
    for start in range(0, size, len(part)):
        yield part[: size - start]


async def main() -> None:
    """Run the bench and print its figures."""
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
            figures = measure_decision(backends, DECISIONS)
            print(msgspec.json.encode(figures).decode())
        return
    with contextlib.ExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        setup = Setup(stack.enter_context(Fleet(pathlib.Path(directory))))
        async with aiohttp.ClientSession() as session:
            await setup.start(session)
        if options.image:
            size = options.size_mib * MIB
            for direction, at_once, part_of in IMAGE_CASES:
                memory = await measure_image(setup, direction, size // part_of, at_once)
                print(msgspec.json.encode(memory).decode())
            return
        comparison = await compare(setup, options.rounds, options.round_s, options.connections)
        print(msgspec.json.format(msgspec.json.encode(comparison)).decode())


if __name__ == "__main__":
    asyncio.run(main())
