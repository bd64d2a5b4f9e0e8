"""A stand-in for a backend server."""

from __future__ import annotations

import asyncio
import typing as t

import msgspec
from aiohttp import web

NOT_RUN_HEADERS = {"X-Not-Run": "1"}
RESPONSE_CHUNK = bytes(65_536)


class Echo(msgspec.Struct, kw_only=True):
    """A request as the backend server received it."""

    backend: str
    method: str
    path: str
    headers: dict[str, str]
    body_bytes: int


class Behavior(msgspec.Struct, kw_only=True):
    """How the backend server responds to one request, read from the query of its target.

    :param delay_ms: delay before the response, in milliseconds.
    :param answer_bytes: size of a response of zero bytes sent in place of the echo; -1 sends the
        echo.
    :param chunked: the response has no Content-Length.
    :param cut_at: number of response bytes after which the connection is closed; -1 for never.
    :param shed: the request is refused with 503 before it runs.
    :param early: the response is sent without reading the request body.
    """

    delay_ms: int = 0
    status: int = 200
    answer_bytes: int = -1
    chunked: bool = False
    cut_at: int = -1
    shed: bool = False
    early: bool = False


class BackendServer:
    """Echoes each request as JSON; refuses requests beyond its slots with 503.

    :param slots: number of requests that run concurrently.
    :param service_time_s: time that each request takes, in seconds.
    """

    __slots__ = (
        "caller_addresses",
        "cancelled",
        "in_flight",
        "name",
        "requests",
        "service_time_s",
        "slots",
    )

    def __init__(self, name: str, slots: int = 4, service_time_s: float = 0.0) -> None:
        self.name = name
        self.slots = slots
        self.service_time_s = service_time_s
        self.in_flight = 0
        self.requests = 0
        self.cancelled = 0
        self.caller_addresses: list[t.Any] = []

    def server(self) -> web.Server:
        """Build a server that cancels a request's handler when its caller disconnects."""
        return web.Server(
            self.handle, handler_cancellation=True, access_log=None, auto_decompress=False
        )

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        behavior = msgspec.convert(dict(request.query), type=Behavior, strict=False)
        self.caller_addresses.append(
            request.transport and request.transport.get_extra_info("peername")
        )
        if self.in_flight >= self.slots or behavior.shed:
            return web.Response(status=503, headers=NOT_RUN_HEADERS)
        self.in_flight += 1
        self.requests += 1
        try:
            return await self._run(request, behavior)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run(self, request: web.BaseRequest, behavior: Behavior) -> web.StreamResponse:
        body_bytes = 0
        if not behavior.early:
            async for chunk in request.content.iter_any():
                body_bytes += len(chunk)
        await asyncio.sleep(self.service_time_s + behavior.delay_ms / 1000)
        if behavior.answer_bytes >= 0:
            return await _send_zero_bytes(request, behavior)
        return self._echo(request, behavior, body_bytes)

    def _echo(
        self, request: web.BaseRequest, behavior: Behavior, body_bytes: int
    ) -> web.StreamResponse:
        if behavior.cut_at >= 0:
            return _close_connection(request, web.Response())
        echo = Echo(
            backend=self.name,
            method=request.method,
            path=request.raw_path,
            headers=dict(request.headers),
            body_bytes=body_bytes,
        )
        return web.Response(
            status=behavior.status,
            body=msgspec.json.encode(echo),
            content_type="application/json",
        )


async def _send_zero_bytes(request: web.BaseRequest, behavior: Behavior) -> web.StreamResponse:
    response = web.StreamResponse(status=behavior.status)
    response.content_type = "application/octet-stream"
    if not behavior.chunked:
        response.content_length = behavior.answer_bytes
    await response.prepare(request)
    if request.method == "HEAD":
        return response
    end = behavior.answer_bytes if behavior.cut_at < 0 else behavior.cut_at
    for start in range(0, end, len(RESPONSE_CHUNK)):
        await response.write(RESPONSE_CHUNK[: end - start])
    return response if behavior.cut_at < 0 else _close_connection(request, response)


def _close_connection(request: web.BaseRequest, response: web.StreamResponse) -> web.StreamResponse:
    # Closing the transport flushes the buffer first, so the caller gets a truncated response.
    if request.transport is not None:
        request.transport.close()
    return response
