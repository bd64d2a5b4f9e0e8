"""A load generator with fixed connections: ``python -m bench._load`` prints its figures."""

from __future__ import annotations

import asyncio
import sys
import time

import aiohttp
import msgspec

QUANTILE_99 = 0.99


class LoadFigures(msgspec.Struct, kw_only=True):
    """What one round of load has measured.

    :param failed: answers with another status than 200.
    """

    requests: int
    failed: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float


class Load:
    """Callers that send one request after the other, each on its own connection.

    :param duration_s: length of the round in seconds.
    """

    __slots__ = ("duration_s", "failed", "headers", "times_s", "url")

    def __init__(self, url: str, key: str, duration_s: float) -> None:
        self.url = url
        self.headers = {"Authorization": f"Bearer {key}"}
        self.duration_s = duration_s
        self.times_s: list[float] = []
        self.failed = 0

    async def run(self, connections: int) -> LoadFigures:
        """Run one round."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, headers=self.headers) as session:
            started_at = time.perf_counter()
            end = started_at + self.duration_s
            await asyncio.gather(*(self._caller(session, end) for _ in range(connections)))
            elapsed_s = time.perf_counter() - started_at
        times_ms = sorted(one * 1000 for one in self.times_s)
        return LoadFigures(
            requests=len(times_ms),
            failed=self.failed,
            requests_per_s=round(len(times_ms) / elapsed_s, 1),
            p50_ms=round(times_ms[len(times_ms) // 2], 3),
            p99_ms=round(times_ms[int(len(times_ms) * QUANTILE_99)], 3),
        )

    async def _caller(self, session: aiohttp.ClientSession, end: float) -> None:
        now = time.perf_counter()
        while now < end:
            async with session.get(self.url) as answer:
                await answer.read()
                self.failed += answer.status != 200
            before, now = now, time.perf_counter()
            self.times_s.append(now - before)


if __name__ == "__main__":
    url, key, connections, duration_s = sys.argv[1:]
    figures = asyncio.run(Load(url, key, float(duration_s)).run(int(connections)))
    print(msgspec.json.encode(figures).decode())
