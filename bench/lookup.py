"""Measures the table of client blocks and look-ups in it at the design size.

``python bench/lookup.py [BLOCKS] [BLOCKS_PER_PART]`` generates the records of a table from a fixed
seed. A separate process loads the table and looks up addresses, so that its memory is that of the
table alone.
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

BLOCK_COUNT = 2_800_000
BLOCKS_PER_PART = 10_000
V6_SHARE = 0.3
NESTED_SHARE = 0.15
SITE_COUNT = 270
REGION_COUNT = 19
DATA_CENTER_COUNT = 40
HOST_COUNT = 1_100
LOOKUP_COUNT = 100_000
UPDATE_COUNT = 20
TICK_INTERVAL_S = 0.001
SEED = 7


class BenchHost(msgspec.Struct, frozen=True):
    """A host in the results of look-ups."""

    name: str
    region: str
    data_center: str
    address: str
    leaving: bool = False


def make_blocks(family: t.Literal[4, 6], count: int, rng: random.Random) -> t.Iterator[Block]:
    """Yield blocks in order of their addresses, some of them nested in the previous one."""
    bits, lengths = (32, (22, 23, 24, 24, 24)) if family == 4 else (64, (44, 48, 48, 56))
    address = (1 << 24) if family == 4 else (0x2001 << 48)
    previous = Block(family, address, bits, "")
    for _ in range(count):
        site = f"site-{rng.randrange(SITE_COUNT)}"
        if previous.site and rng.random() < NESTED_SHARE:
            length = min(previous.prefix_length + rng.randint(1, 4), bits)
            previous = Block(family, previous.address, length, site)
        else:
            length = rng.choice(lengths)
            size = 1 << (bits - length)
            address = -(-address // size) * size
            previous = Block(family, address, length, site)
            address += size
        yield previous


def write_parts(directory: pathlib.Path, blocks: int, blocks_per_part: int) -> dict[str, t.Any]:
    """Write the stored value of each part to a file."""
    rng = random.Random(SEED)
    sizes: list[int] = []
    v6 = int(blocks * V6_SHARE)
    families: tuple[tuple[t.Literal[4, 6], int], ...] = ((4, blocks - v6), (6, v6))
    for family, count in families:
        unwritten_blocks = make_blocks(family, count, rng)
        for number in itertools.count():
            chunk = list(itertools.islice(unwritten_blocks, blocks_per_part))
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
    """Return the median and the 99th percentile in microseconds, for times in seconds."""
    quantiles = statistics.quantiles(seconds, n=100)
    return {
        f"{name}_p50_us": round(quantiles[49] * 1e6, 2),
        f"{name}_p99_us": round(quantiles[98] * 1e6, 2),
    }


def time_calls(function: t.Callable[[str], object], arguments: list[str]) -> list[float]:
    """Call a function with each argument and return the duration of each call in seconds."""
    seconds = []
    for argument in arguments:
        started_at = time.perf_counter()
        function(argument)
        seconds.append(time.perf_counter() - started_at)
    return seconds


def load(table: BlockTable, directory: pathlib.Path) -> dict[str, t.Any]:
    """Load all records of a directory into the table and measure it."""
    gc.collect()
    before, started_at = resident_bytes(), time.perf_counter()
    for path in sorted(directory.iterdir()):
        if table.load(path.name, read_blocks(path)) is not None:
            raise ValueError(path.name)
    elapsed_s = time.perf_counter() - started_at
    gc.collect()
    return {
        "load_s": round(elapsed_s, 2),
        "blocks": sum(len(block_set.addresses) for block_set in table.block_sets.values()),
        "columns_bytes": table.resident_bytes,
        "resident_growth_bytes": resident_bytes() - before,
    }


def read_blocks(path: pathlib.Path) -> ClientBlocks:
    """Decode a stored value as a host does."""
    record = decode_record("client-blocks", path.name, 1, path.read_bytes())
    if not isinstance(record, Record) or not isinstance(record.body, ClientBlocks):
        raise TypeError(path.name)
    return record.body


def choose_addresses(table: BlockTable, rng: random.Random) -> list[str]:
    """Return random client addresses, mostly from blocks of the table."""
    block_sets = list(table.block_sets.values())
    chosen = []
    for _ in range(LOOKUP_COUNT):
        block_set = rng.choice(block_sets)
        block = block_set.block(rng.randrange(len(block_set.addresses)))
        if block.family == 4:
            number = block.address + rng.randrange(1 << 8)
            chosen.append(".".join(str(byte) for byte in number.to_bytes(4)))
        else:
            text = f"{block.address:016x}"
            chosen.append(":".join(text[at : at + 4] for at in range(0, 16, 4)) + "::1")
    return chosen


def make_hosts(rng: random.Random) -> tuple[dict[str, Site], HostIndex]:
    """Return sites and hosts of the design size."""
    data_centers = [f"dc-{number}" for number in range(DATA_CENTER_COUNT)]
    sites = {f"site-{n}": Site(data_centers=rng.sample(data_centers, 3)) for n in range(SITE_COUNT)}
    hosts = [
        BenchHost(
            f"host-{n}",
            f"region-{n % DATA_CENTER_COUNT % REGION_COUNT}",
            data_centers[n % DATA_CENTER_COUNT],
            "",
        )
        for n in range(HOST_COUNT)
    ]
    return sites, HostIndex(hosts)


def rankings_bytes(hosts: HostIndex) -> int:
    """Return the memory of the host rankings computed so far, in bytes."""
    return sum(sys.getsizeof(order) for order in hosts.rankings.values())


async def longest_stall(coroutine_function: t.Callable[[], t.Awaitable[None]]) -> float:
    """Return the longest time in seconds for which the event loop was blocked."""
    task = asyncio.ensure_future(coroutine_function())
    longest_s, before = 0.0, time.perf_counter()
    while not task.done():
        await asyncio.sleep(TICK_INTERVAL_S)
        now = time.perf_counter()
        longest_s, before = max(longest_s, now - before - TICK_INTERVAL_S), now
    await task
    return longest_s


async def measure_update(table: BlockTable, path: pathlib.Path, address: str) -> dict[str, float]:
    """Measure stalls of the event loop when a part is updated in it, and in a worker thread."""
    body = read_blocks(path)

    async def update_inline() -> None:
        table.load(path.name, body)
        table.find(address)

    inline_s = [await longest_stall(update_inline) for _ in range(UPDATE_COUNT)]
    threaded_s = [(await measure_feed(table, [path]))[1] for _ in range(UPDATE_COUNT)]
    started_at = time.perf_counter()
    table.replace(path.name, table.block_sets[path.name])
    table.find(address)
    swap_s = time.perf_counter() - started_at
    return {
        "update_inline_stall_max_ms": round(max(inline_s) * 1e3, 2),
        "update_thread_stall_max_ms": round(max(threaded_s) * 1e3, 2),
        "update_swap_ms": round(swap_s * 1e3, 2),
    }


async def measure_feed(table: BlockTable, paths: list[pathlib.Path]) -> tuple[float, float]:
    """Return how long a feed takes to load parts, and the longest stall, both in seconds."""
    feed = BlockFeed(table)
    for path in paths:
        feed.update(Record(kind="client-blocks", name=path.name, version=1, body=read_blocks(path)))

    async def wait_until_current() -> None:
        while not feed.is_current:
            await asyncio.sleep(TICK_INTERVAL_S)

    task = asyncio.create_task(feed.run())
    started_at = time.perf_counter()
    stall_s = await longest_stall(wait_until_current)
    elapsed_s = time.perf_counter() - started_at
    task.cancel()
    return elapsed_s, stall_s


def measure(directory: pathlib.Path) -> dict[str, t.Any]:
    """Load the parts of a directory and measure look-ups and updates."""
    rng = random.Random(SEED)
    table = BlockTable()
    figures = load(table, directory)
    client_addresses = choose_addresses(table, rng)
    sites, hosts = make_hosts(rng)
    figures |= percentiles(time_calls(table.find, client_addresses), "find")
    for name in ("rank_first", "rank"):
        ranked = time_calls(
            lambda address: rank_hosts(address, table, sites, hosts), client_addresses
        )
        figures |= percentiles(ranked, name)
    figures |= {"orders_bytes": rankings_bytes(hosts)}
    paths = sorted(directory.iterdir())
    figures |= asyncio.run(measure_update(table, paths[0], client_addresses[0]))
    feed_s, stall_s = asyncio.run(measure_feed(BlockTable(), paths))
    return figures | {"feed_load_s": round(feed_s, 2), "feed_stall_max_ms": round(stall_s * 1e3, 2)}


def main(blocks: int = BLOCK_COUNT, blocks_per_part: int = BLOCKS_PER_PART) -> None:
    """Print all results as JSON."""
    with tempfile.TemporaryDirectory() as directory:
        figures = write_parts(pathlib.Path(directory), blocks, blocks_per_part)
        command = [sys.executable, __file__, "--measure", directory]
        measured = subprocess.run(command, check=True, capture_output=True)
        print(json.dumps(figures | json.loads(measured.stdout), indent=2))


if __name__ == "__main__":
    if sys.argv[1:2] == ["--measure"]:
        print(json.dumps(measure(pathlib.Path(sys.argv[2]))))
    else:
        main(*map(int, sys.argv[1:]))
