"""Baseline of ``bench/forward.py``: a bare aiohttp pass-through proxy without any decisions."""

from __future__ import annotations

import asyncio
import sys

import aiohttp
from aiohttp import web

CHUNK_BYTES = 65_536


class PassThrough:
    """Forwards every request to the same backend server."""

    __slots__ = ("backend", "session")

    def __init__(self, session: aiohttp.ClientSession, backend: str) -> None:
        self.session = session
        self.backend = backend

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Forward a request and stream its response."""
        async with self.session.request(
            request.method,
            f"http://{self.backend}{request.raw_path}",
            headers=request.headers,
            data=request.content if request.body_exists else None,
            allow_redirects=False,
        ) as upstream_response:
            response = web.StreamResponse(
                status=upstream_response.status, headers=upstream_response.headers
            )
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_chunked(CHUNK_BYTES):
                await response.write(chunk)
            await response.write_eof()
            return response


async def serve(port: int, backend: str) -> None:
    """Serve on 127.0.0.1 until cancelled."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
        runner = web.ServerRunner(web.Server(PassThrough(session, backend).handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
