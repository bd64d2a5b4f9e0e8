"""Memory and time of the table of client blocks by number of blocks, from ``bench/lookup.py``."""

from __future__ import annotations

import asyncio
import sys

import msgspec


class LookupCost(msgspec.Struct, kw_only=True):
    """Results of one run of ``bench/lookup.py``."""

    blocks: int
    load_s: float
    resident_growth_bytes: int
    rank_p50_us: float


async def measure(blocks: int) -> LookupCost:
    """Run ``bench/lookup.py`` with a number of blocks."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "bench.lookup", str(blocks), stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    return msgspec.json.decode(output, type=LookupCost)
