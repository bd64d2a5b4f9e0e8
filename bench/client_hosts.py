"""Measures how the client asks many hosts: ``python -m bench.client_hosts [HOSTS]``.

One server in the process of the client answers for all hosts, so the figures include both sides.
"""

from __future__ import annotations

import asyncio
import resource
import sys
import time

import aiohttp
import msgspec
from aiohttp import web

from radishbridge.client import MAX_CONCURRENT_REQUESTS, FleetClient
from radishbridge.records import Failure, HostStatus
from radishbridge.store import HostEntry, HttpStore
from radishbridge_standin.processes import LOOPBACK, free_port

HOSTS = 1100
ANSWER_DELAY_S = 0.02


class Figures(msgspec.Struct, kw_only=True):
    """What one round over all hosts costs.

    :param cpu_s: processor time of client and server together, in seconds.
    """

    hosts: int
    answers: int
    bound: int
    peak_requests: int
    elapsed_s: float
    cpu_s: float


class StatusServer:
    """Answers the status of any host and counts requests in flight."""

    __slots__ = ("in_flight", "peak")

    def __init__(self) -> None:
        self.in_flight = 0
        self.peak = 0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request after a network's delay."""
        self.in_flight += 1
        self.peak = max(self.peak, self.in_flight)
        await asyncio.sleep(ANSWER_DELAY_S)
        self.in_flight -= 1
        status = HostStatus(
            host="host",
            region="r",
            data_center="d",
            revision=1,
            ready=True,
            leaving=False,
            fresh_age_s=0.0,
            in_flight=0,
        )
        return web.Response(body=msgspec.json.encode(status))


async def measure(count: int) -> Figures:
    """Ask ``count`` hosts for their status once."""
    server = StatusServer()
    runner = web.ServerRunner(web.Server(server.handle))
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, LOOPBACK, port).start()
    address = f"{LOOPBACK}:{port}"
    hosts = [_entry(f"host-{number}", address) for number in range(count)]
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        fleet = FleetClient(session, HttpStore(session, f"http://{address}", 1.0))
        started_at, cpu_started_s = time.monotonic(), _cpu_s()
        answers = await fleet.fetch_all(hosts, "/v1/status", HostStatus)
        elapsed_s, cpu_s = time.monotonic() - started_at, _cpu_s() - cpu_started_s
    await runner.cleanup()
    return Figures(
        hosts=count,
        answers=sum(not isinstance(answer, Failure) for answer in answers),
        bound=MAX_CONCURRENT_REQUESTS,
        peak_requests=server.peak,
        elapsed_s=elapsed_s,
        cpu_s=cpu_s,
    )


def _entry(name: str, address: str) -> HostEntry:
    return HostEntry(
        name=name,
        region="r",
        data_center="d",
        address=address,
        admin_address=address,
        peer_address=address,
    )


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    figures = asyncio.run(measure(int(sys.argv[1]) if len(sys.argv) > 1 else HOSTS))
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())
