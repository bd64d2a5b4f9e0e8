"""Stand-ins for backend servers with injectable faults."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing as t
import weakref

from aiohttp import web

from soak.history import (
    NOT_EXECUTED_STATUSES,
    TAG,
    Arrival,
    Execution,
    ExecutionEnd,
    History,
    Notice,
)
from soak.proxy import Proxy

SLOTS = 4
QUEUE_LENGTH_MAX = 12
SERVICE_TIME_S = 0.03
# Far more fields than fit into the heads that hosts accept in tests.
HEADER_FIELDS_MAX = 20_000
# Longest delay of the copy of a refusal, in seconds.
COPY_DELAY_MAX_S = 0.3
Mode = t.Literal["normal", "slow", "hang", "shed", "lose", "extra", "fail"]
Statement = t.Literal["true", "bare", "copied"]


class Server:
    """One backend server behind a proxy, whose address it registers.

    It may say in its responses that it is leaving, whatever its entry says, or turn requests away
    until ``paused_until``. ``mode`` decides how it handles others: ``slow`` and ``hang`` delay the
    response, ``shed`` refuses requests with 503, and ``lose``, ``extra`` and ``fail`` affect half
    of the responses: the connection is aborted, an unrequested second response follows, or the
    status is 500.

    ``statement`` decides what half of its responses say of whether the request was executed:
    ``bare`` is the status of a refusal, signed or not, after the request was executed, and
    ``copied`` a refusal of which a copy follows: at once, later, or when the next request arrives.
    """

    def __init__(self, name: str, service: str, data_center: str, history: History) -> None:
        self.name = name
        self.service = service
        self.data_center = data_center
        self.history = history
        self.rng = random.Random(name)
        self.mode: Mode = "normal"
        self.statement: Statement = "true"
        self.copies: weakref.WeakKeyDictionary[asyncio.Transport, bytes]
        self.copies = weakref.WeakKeyDictionary()
        self.is_leaving = False
        self.paused_until = float("-inf")
        self.started_at_ms = time.time_ns() // 1_000_000
        self.in_flight = 0
        self.free_slots = asyncio.Semaphore(SLOTS)
        self.runner = web.ServerRunner(
            web.Server(self.handle, handler_cancellation=True, max_headers=HEADER_FIELDS_MAX),
            shutdown_timeout=0.1,
        )
        self.proxy = Proxy(("127.0.0.1", 0))

    async def start(self) -> None:
        """Start the server and its proxy."""
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.proxy.target = self.runner.addresses[0][:2]
        await self.proxy.start()

    async def stop(self) -> None:
        """Stop without notice; connections are refused from then on."""
        await self.proxy.stop()
        await self.runner.cleanup()

    def registration(self, state: str = "ready") -> dict[str, t.Any]:
        """Return the object that it registers in the store."""
        return {
            "address": self.proxy.address_text,
            "born": self.started_at_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.data_center,
                "slots": SLOTS,
            },
            "status": {"state": state, "sequence": 1, "warmupLeft": "0ms"},
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        tag = request.headers.get(TAG, "")
        transport = request.transport
        if transport is not None and (copy := self.copies.pop(transport, b"")):
            _write_if_open(transport, copy)
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers={"Not-Executed": "1", **_echoed(request)})
        now = time.monotonic()
        self.history.arrivals.append(Arrival(tag, self.name, self.started_at_ms, now))
        if now < self.paused_until:
            self._record_notice(tag, self.paused_until - now)
            return self._refuse(request, {"Retry-After": f"{self.paused_until - now:.3f}"})
        is_copied = self.statement == "copied" and self.rng.random() < 0.5
        if is_copied or self.mode == "shed" or self.in_flight >= SLOTS + QUEUE_LENGTH_MAX:
            return self._refuse(request, {})
        self.in_flight += 1
        try:
            async with self.free_slots:
                return await self._execute(request, tag)
        finally:
            self.in_flight -= 1
            self.history.execution_ends.append(ExecutionEnd(tag, self.name, time.monotonic()))

    def _refuse(self, request: web.BaseRequest, headers: dict[str, str]) -> web.Response:
        headers = {"Not-Executed": "1", **headers}
        headers |= _echoed(request)
        transport = request.transport
        if self.statement == "copied" and transport is not None:
            copied = dict(headers)
            if self.rng.random() < 0.3:
                copied.pop("Request-Id", None)
            lines = (f"{name}: {value}\r\n" for name, value in copied.items())
            copy = f"HTTP/1.1 503 Busy\r\n{''.join(lines)}Content-Length: 0\r\n\r\n".encode()
            delay_s = self.rng.choice([0.001, self.rng.uniform(0.0, COPY_DELAY_MAX_S), None])
            if delay_s is None:
                self.copies[transport] = copy
            else:
                asyncio.get_running_loop().call_later(delay_s, _write_if_open, transport, copy)
        return web.Response(status=503, headers=headers)

    def _record_notice(self, tag: str, pause_s: float) -> None:
        now = time.monotonic()
        notice = Notice(tag, self.name, self.started_at_ms, now, pause_s)
        self.history.notices.append(notice)

    async def _execute(self, request: web.BaseRequest, tag: str) -> web.StreamResponse:
        tenant = request.headers.get("Tenant", "")
        now = time.monotonic()
        self.history.executions.append(Execution(tag, self.name, self.service, tenant, now))
        if "Authorization" in request.headers:
            self.history.notes.append(f"VIOLATION the key of {tag} reached {self.name}")
        request_body = await request.read()
        await asyncio.sleep(
            {"slow": 0.6, "hang": 30.0}.get(self.mode, SERVICE_TIME_S * self.rng.uniform(0.5, 1.5))
        )
        return self._respond(request, tag, request_body)

    def _respond(
        self, request: web.BaseRequest, tag: str, request_body: bytes
    ) -> web.StreamResponse:
        body = f"{self.name} {tag} {request.raw_path} {len(request_body)}".encode() * 40
        signature = f"{self.name}.{tag}"
        self.history.response_bodies[signature] = body
        headers = {
            "Response-Signature": signature,
            "Server-Load": f"{self.in_flight},0,{SLOTS}",
            **_echoed(request),
        }
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
            self._record_notice(tag, 0.0)
        transport = request.transport
        if self.mode == "lose" and transport is not None and self.rng.random() < 0.5:
            transport.abort()
        if self.mode == "extra" and transport is not None and self.rng.random() < 0.5:
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: x\r\n\r\nwrong"
            loop = asyncio.get_running_loop()
            loop.call_later(0.005, lambda: _write_if_open(transport, extra))
        status = 500 if self.mode == "fail" and self.rng.random() < 0.5 else 200
        if self.statement == "bare" and self.rng.random() < 0.5:
            status = self.rng.choice(NOT_EXECUTED_STATUSES)
            if self.rng.random() < 0.5:
                del headers["Response-Signature"]
        return web.Response(status=status, body=body, headers=headers)


def _echoed(request: web.BaseRequest) -> dict[str, str]:
    request_id = request.headers.get("Request-Id")
    return {} if request_id is None else {"Request-Id": request_id}


def _write_if_open(transport: asyncio.Transport, data: bytes) -> None:
    with contextlib.suppress(RuntimeError):
        if not transport.is_closing():
            transport.write(data)
