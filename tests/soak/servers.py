"""Stand-ins for backend servers, with faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing as t

from aiohttp import web

from soak.ledger import End, Ledger, Run
from soak.proxy import Proxy

SLOTS = 4
QUEUE = 12
WORK_S = 0.03
Mode = t.Literal["well", "slow", "hang", "shed", "lose", "extra", "fail"]


class Server:
    """One backend server behind a proxy, which is the address that it registers.

    :param mode: how it behaves.
    """

    def __init__(self, name: str, service: str, data_center: str, ledger: Ledger) -> None:
        self.name = name
        self.service = service
        self.data_center = data_center
        self.ledger = ledger
        self.rng = random.Random(name)
        self.mode: Mode = "well"
        self.born = time.time_ns() // 1_000_000
        self.running = 0
        self.free = asyncio.Semaphore(SLOTS)
        self.runner = web.ServerRunner(
            web.Server(self.handle, handler_cancellation=True), shutdown_timeout=0.1
        )
        self.proxy = Proxy(("127.0.0.1", 0))

    async def start(self) -> None:
        """Listen."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.proxy.target = self.runner.addresses[0][:2]
        await self.proxy.start()

    async def stop(self) -> None:
        """End at once, and refuse connections from then on."""
        await self.proxy.stop()
        await self.runner.cleanup()

    def entry(self, state: str = "ready") -> dict[str, t.Any]:
        """Return what it registers."""
        return {
            "address": self.proxy.text,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.data_center,
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": 1, "warmupLeft": "0ms"},
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        request_id = request.headers.get("Request-Id", "")
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"Not-Executed": "1"})
        if self.mode == "shed" or self.running >= SLOTS + QUEUE:
            return web.Response(status=503, headers={"Not-Executed": "1", "Request-Id": request_id})
        self.running += 1
        try:
            async with self.free:
                return await self._run(request, request_id)
        finally:
            self.running -= 1
            self.ledger.ends.append(End(request_id, self.name, time.monotonic()))

    async def _run(self, request: web.BaseRequest, request_id: str) -> web.StreamResponse:
        tenant = request.headers.get("Tenant", "")
        now = time.monotonic()
        self.ledger.runs.append(Run(request_id, self.name, self.service, tenant, now))
        if "Authorization" in request.headers:
            self.ledger.notes.append(f"VIOLATION the key of {request_id} reached {self.name}")
        sent = await request.read()
        await asyncio.sleep(
            {"slow": 0.6, "hang": 30.0}.get(self.mode, WORK_S * self.rng.uniform(0.5, 1.5))
        )
        return self._answer(request, request_id, sent)

    def _answer(self, request: web.BaseRequest, request_id: str, sent: bytes) -> web.StreamResponse:
        body = f"{self.name} {request_id} {request.raw_path} {len(sent)}".encode() * 40
        signature = f"{self.name}.{request_id}"
        self.ledger.answers[signature] = body
        headers = {
            "Request-Id": request_id,
            "Response-Signature": signature,
            "Server-Load": f"{self.running},0,{SLOTS}",
        }
        transport = request.transport
        if self.mode == "lose" and transport is not None and self.rng.random() < 0.5:
            transport.abort()
        if self.mode == "extra" and transport is not None and self.rng.random() < 0.5:
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: x\r\n\r\nwrong"
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, lambda: _write(transport, extra))
        status = 500 if self.mode == "fail" and self.rng.random() < 0.5 else 200
        return web.Response(status=status, body=body, headers=headers)


def _write(transport: asyncio.Transport, data: bytes) -> None:
    with contextlib.suppress(RuntimeError):
        if not transport.is_closing():
            transport.write(data)
