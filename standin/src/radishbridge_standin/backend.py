"""A stand-in for a backend server."""

from __future__ import annotations

import asyncio

import msgspec
from aiohttp import web


class Echo(msgspec.Struct, kw_only=True):
    """What the backend server saw of a request."""

    backend: str
    method: str
    path: str
    headers: dict[str, str]
    body_bytes: int


class BackendServer:
    """Answers each request with what it saw; sheds requests beyond its slots with 503.

    :param service_time_s: time that one request takes, in seconds.
    """

    __slots__ = ("in_flight", "name", "requests", "service_time_s", "slots")

    def __init__(self, name: str, slots: int = 4, service_time_s: float = 0.0) -> None:
        self.name = name
        self.slots = slots
        self.service_time_s = service_time_s
        self.in_flight = 0
        self.requests = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        if self.in_flight >= self.slots:
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        self.in_flight += 1
        try:
            return await self._run(request)
        finally:
            self.in_flight -= 1

    async def _run(self, request: web.BaseRequest) -> web.Response:
        self.requests += 1
        body = await request.read()
        await asyncio.sleep(self.service_time_s)
        echo = Echo(
            backend=self.name,
            method=request.method,
            path=request.raw_path,
            headers=dict(request.headers),
            body_bytes=len(body),
        )
        return web.Response(body=msgspec.json.encode(echo), content_type="application/json")
