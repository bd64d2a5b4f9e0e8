"""HTTP load generator with a fixed number of connections.

``python -m bench._load URL KEY CONNECTIONS SECONDS`` prints its results as JSON.
"""

from __future__ import annotations

import asyncio
import sys
import time

import aiohttp
import msgspec

QUANTILE_99 = 0.99


class LoadFigures(msgspec.Struct, kw_only=True):
    """Results of one round of load.

    :param failed: number of responses with a status other than 200.
    """

    requests: int
    failed: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float


class LoadGenerator:
    """Sends requests over several connections, one after the other on each of them.

    :param key: API key sent as a bearer token.
    :param duration_s: length of the round in seconds.
    """

    __slots__ = ("duration_s", "failed", "headers", "latencies_s", "url")

    def __init__(self, url: str, key: str, duration_s: float) -> None:
        self.url = url
        self.headers = {"Authorization": f"Bearer {key}"}
        self.duration_s = duration_s
        self.latencies_s: list[float] = []
        self.failed = 0

    async def run(self, connections: int) -> LoadFigures:
        """Run one round and return its results."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector, headers=self.headers) as session:
            started_at = time.perf_counter()
            end_at = started_at + self.duration_s
            await asyncio.gather(
                *(self._send_requests(session, end_at) for _ in range(connections))
            )
            elapsed_s = time.perf_counter() - started_at
        latencies_ms = sorted(latency_s * 1000 for latency_s in self.latencies_s)
        return LoadFigures(
            requests=len(latencies_ms),
            failed=self.failed,
            requests_per_s=round(len(latencies_ms) / elapsed_s, 1),
            p50_ms=round(latencies_ms[len(latencies_ms) // 2], 3),
            p99_ms=round(latencies_ms[int(len(latencies_ms) * QUANTILE_99)], 3),
        )

    async def _send_requests(self, session: aiohttp.ClientSession, end_at: float) -> None:
        now = time.perf_counter()
        while now < end_at:
            async with session.get(self.url) as response:
                await response.read()
                self.failed += response.status != 200
            started_at, now = now, time.perf_counter()
            self.latencies_s.append(now - started_at)


if __name__ == "__main__":
    url, key, connections, duration_s = sys.argv[1:]
    figures = asyncio.run(LoadGenerator(url, key, float(duration_s)).run(int(connections)))
    print(msgspec.json.encode(figures).decode())
