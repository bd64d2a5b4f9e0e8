"""Measures the table of client blocks and the look-up at the size to design for.

``python bench/lookup.py [BLOCKS] [BLOCKS_PER_PART]`` makes the records of a table from a fixed
seed, then loads and asks it in a process of its own, so that memory is the table's alone.
"""

from __future__ import annotations

import asyncio
import gc
import itertools
import json
import pathlib
import random
import statistics
import subprocess
import sys
import tempfile
import time
import typing as t

import msgspec

from radishbridge.records import ClientBlocks, Record, Site, decode_record, encode_record
from radishbridge.routing import Block, BlockFeed, BlockTable, HostIndex, pack_blocks, rank_hosts

BLOCKS = 2_800_000
BLOCKS_PER_PART = 10_000
V6_SHARE = 0.3
NESTED_SHARE = 0.15
SITES = 270
REGIONS = 19
DATA_CENTERS = 40
HOSTS = 1_100
LOOKUPS = 100_000
UPDATES = 20
TICK_S = 0.001
SEED = 7


class BenchHost(msgspec.Struct, frozen=True):
    """A host that answers look-ups."""

    name: str
    region: str
    data_center: str
    address: str
    leaving: bool = False


def make_blocks(family: t.Literal[4, 6], count: int, rng: random.Random) -> t.Iterator[Block]:
    """Yield blocks from low addresses to high, some of them nested in the one before."""
    bits, lengths = (32, (22, 23, 24, 24, 24)) if family == 4 else (64, (44, 48, 48, 56))
    address = (1 << 24) if family == 4 else (0x2001 << 48)
    outer = Block(family, address, bits, "")
    for _ in range(count):
        site = f"site-{rng.randrange(SITES)}"
        if outer.site and rng.random() < NESTED_SHARE:
            length = min(outer.prefix_length + rng.randint(1, 4), bits)
            outer = Block(family, outer.address, length, site)
        else:
            length = rng.choice(lengths)
            size = 1 << (bits - length)
            address = -(-address // size) * size
            outer = Block(family, address, length, site)
            address += size
        yield outer


def write_parts(directory: pathlib.Path, blocks: int, per_part: int) -> dict[str, t.Any]:
    """Write the stored values of all parts to files."""
    rng = random.Random(SEED)
    sizes: list[int] = []
    v6 = int(blocks * V6_SHARE)
    families: tuple[tuple[t.Literal[4, 6], int], ...] = ((4, blocks - v6), (6, v6))
    for family, count in families:
        made = make_blocks(family, count, rng)
        for number in itertools.count():
            chunk = list(itertools.islice(made, per_part))
            if not chunk:
                break
            value = encode_record("client-blocks", pack_blocks(family, chunk))
            (directory / f"v{family}-{number:04}").write_bytes(value)
            sizes.append(len(value))
    return {"parts": len(sizes), "records_bytes": sum(sizes), "largest_part_bytes": max(sizes)}


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    status = pathlib.Path("/proc/self/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) * 1024


def percentiles(seconds: list[float], name: str) -> dict[str, float]:
    """Return the median and the 99th percentile in microseconds."""
    cuts = statistics.quantiles(seconds, n=100)
    return {f"{name}_p50_us": round(cuts[49] * 1e6, 2), f"{name}_p99_us": round(cuts[98] * 1e6, 2)}


def timed(function: t.Callable[[str], object], arguments: list[str]) -> list[float]:
    """Call a function with each argument and return the seconds of each call."""
    seconds = []
    for argument in arguments:
        started = time.perf_counter()
        function(argument)
        seconds.append(time.perf_counter() - started)
    return seconds


def load(table: BlockTable, directory: pathlib.Path) -> dict[str, t.Any]:
    """Load all records into the table."""
    gc.collect()
    before, started = resident_bytes(), time.perf_counter()
    for path in sorted(directory.iterdir()):
        if table.load(path.name, read_part(path)) is not None:
            raise ValueError(path.name)
    elapsed = time.perf_counter() - started
    gc.collect()
    return {
        "load_s": round(elapsed, 2),
        "blocks": sum(len(part.addresses) for part in table.block_sets.values()),
        "columns_bytes": table.resident_bytes,
        "resident_growth_bytes": resident_bytes() - before,
    }


def read_part(path: pathlib.Path) -> ClientBlocks:
    """Decode a stored value as a host does."""
    record = decode_record("client-blocks", path.name, 1, path.read_bytes())
    if not isinstance(record, Record) or not isinstance(record.body, ClientBlocks):
        raise TypeError(path.name)
    return record.body


def addresses(table: BlockTable, rng: random.Random) -> list[str]:
    """Return addresses of callers, mostly from blocks of the table."""
    parts = list(table.block_sets.values())
    chosen = []
    for _ in range(LOOKUPS):
        part = rng.choice(parts)
        block = part.block(rng.randrange(len(part.addresses)))
        if block.family == 4:
            number = block.address + rng.randrange(1 << 8)
            chosen.append(".".join(str(byte) for byte in number.to_bytes(4)))
        else:
            text = f"{block.address:016x}"
            chosen.append(":".join(text[at : at + 4] for at in range(0, 16, 4)) + "::1")
    return chosen


def make_hosts(rng: random.Random) -> tuple[dict[str, Site], HostIndex]:
    """Return the sites and hosts of the size to design for."""
    places = [f"dc-{number}" for number in range(DATA_CENTERS)]
    sites = {f"site-{n}": Site(data_centers=rng.sample(places, 3)) for n in range(SITES)}
    hosts = [
        BenchHost(f"host-{n}", f"region-{n % DATA_CENTERS % REGIONS}", places[n % DATA_CENTERS], "")
        for n in range(HOSTS)
    ]
    return sites, HostIndex(hosts)


def orders_bytes(hosts: HostIndex) -> int:
    """Return the bytes of the orders of hosts worked out so far."""
    return sum(sys.getsizeof(order) for order in hosts.rankings.values())


async def longest_stall(work: t.Callable[[], t.Awaitable[None]]) -> float:
    """Return the longest time in seconds for which the event loop did not run during work."""
    task = asyncio.ensure_future(work())
    longest, before = 0.0, time.perf_counter()
    while not task.done():
        await asyncio.sleep(TICK_S)
        now = time.perf_counter()
        longest, before = max(longest, now - before - TICK_S), now
    await task
    return longest


async def measure_update(table: BlockTable, path: pathlib.Path, address: str) -> dict[str, float]:
    """Update one part in the event loop, and in a worker thread."""
    body = read_part(path)

    async def inline() -> None:
        table.load(path.name, body)
        table.find(address)

    inline_s = [await longest_stall(inline) for _ in range(UPDATES)]
    threaded_s = [(await measure_feed(table, [path]))[1] for _ in range(UPDATES)]
    started = time.perf_counter()
    table.replace(path.name, table.block_sets[path.name])
    table.find(address)
    swap_s = time.perf_counter() - started
    return {
        "update_inline_stall_max_ms": round(max(inline_s) * 1e3, 2),
        "update_thread_stall_max_ms": round(max(threaded_s) * 1e3, 2),
        "update_swap_ms": round(swap_s * 1e3, 2),
    }


async def measure_feed(table: BlockTable, paths: list[pathlib.Path]) -> tuple[float, float]:
    """Return the seconds in which a feed takes in parts, and the event loop's longest stall."""
    feed = BlockFeed(table)
    for path in paths:
        feed.update(Record(kind="client-blocks", name=path.name, version=1, body=read_part(path)))

    async def settle() -> None:
        while not feed.is_current:
            await asyncio.sleep(TICK_S)

    task = asyncio.create_task(feed.run())
    started = time.perf_counter()
    stall_s = await longest_stall(settle)
    elapsed = time.perf_counter() - started
    task.cancel()
    return elapsed, stall_s


def measure(directory: pathlib.Path) -> dict[str, t.Any]:
    """Load the parts of a directory and ask them."""
    rng = random.Random(SEED)
    table = BlockTable()
    figures = load(table, directory)
    asked = addresses(table, rng)
    sites, hosts = make_hosts(rng)
    figures |= percentiles(timed(table.find, asked), "find")
    for name in ("rank_first", "rank"):
        ranked = timed(lambda one: rank_hosts(one, table, sites, hosts), asked)
        figures |= percentiles(ranked, name)
    figures |= {"orders_bytes": orders_bytes(hosts)}
    paths = sorted(directory.iterdir())
    figures |= asyncio.run(measure_update(table, paths[0], asked[0]))
    feed_s, stall_s = asyncio.run(measure_feed(BlockTable(), paths))
    return figures | {"feed_load_s": round(feed_s, 2), "feed_stall_max_ms": round(stall_s * 1e3, 2)}


def main(blocks: int = BLOCKS, per_part: int = BLOCKS_PER_PART) -> None:
    """Print all figures."""
    with tempfile.TemporaryDirectory() as directory:
        figures = write_parts(pathlib.Path(directory), blocks, per_part)
        command = [sys.executable, __file__, "--measure", directory]
        measured = subprocess.run(command, check=True, capture_output=True)
        print(json.dumps(figures | json.loads(measured.stdout), indent=2))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--measure"]:
        print(json.dumps(measure(pathlib.Path(sys.argv[2]))))
    else:
        main(*map(int, sys.argv[1:]))
