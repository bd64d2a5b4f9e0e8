"""Measures requests of the client to many hosts: ``python -m bench.client_hosts [HOSTS]``.

A server in the client's process responds for all hosts, so the results include both sides.
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

DEFAULT_HOST_COUNT = 1100
RESPONSE_DELAY_S = 0.02


class FleetFigures(msgspec.Struct, kw_only=True):
    """Cost of one request to each host.

    :param answers: number of successful responses.
    :param bound: limit on concurrent requests.
    :param peak_requests: largest number of concurrent requests that the server saw.
    :param cpu_s: processor time of client and server together, in seconds.
    """

    hosts: int
    answers: int
    bound: int
    peak_requests: int
    elapsed_s: float
    cpu_s: float


class StatusServer:
    """Responds with the status of a host and counts in-flight requests."""

    __slots__ = ("in_flight", "peak_in_flight")

    def __init__(self) -> None:
        self.in_flight = 0
        self.peak_in_flight = 0

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Respond after a simulated network delay."""
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        await asyncio.sleep(RESPONSE_DELAY_S)
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


async def measure(count: int) -> FleetFigures:
    """Request the status of ``count`` hosts once."""
    server = StatusServer()
    runner = web.ServerRunner(web.Server(server.handle))
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, LOOPBACK, port).start()
    address = f"{LOOPBACK}:{port}"
    hosts = [_make_entry(f"host-{number}", address) for number in range(count)]
    connector = aiohttp.TCPConnector(limit=MAX_CONCURRENT_REQUESTS, force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        fleet = FleetClient(session, HttpStore(session, f"http://{address}", 1.0))
        started_at, cpu_started_s = time.monotonic(), _read_cpu_s()
        responses = await fleet.fetch_all(hosts, "/v1/status", HostStatus)
        elapsed_s, cpu_s = time.monotonic() - started_at, _read_cpu_s() - cpu_started_s
    await runner.cleanup()
    return FleetFigures(
        hosts=count,
        answers=sum(not isinstance(response, Failure) for response in responses),
        bound=MAX_CONCURRENT_REQUESTS,
        peak_requests=server.peak_in_flight,
        elapsed_s=elapsed_s,
        cpu_s=cpu_s,
    )


def _make_entry(name: str, address: str) -> HostEntry:
    return HostEntry(
        name=name,
        region="r",
        data_center="d",
        address=address,
        admin_address=address,
        peer_address=address,
    )


def _read_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


if __name__ == "__main__":
    figures = asyncio.run(measure(int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_HOST_COUNT))
    print(msgspec.json.format(msgspec.json.encode(figures)).decode())
