"""A backend server with as little overhead as possible: ``python -m bench._origin PORT...``."""

from __future__ import annotations

import asyncio
import sys

from aiohttp import web

RESPONSE_BODY = bytes(1_024)
CHUNK = bytes(262_144)


async def handle(request: web.BaseRequest) -> web.StreamResponse:
    """Read the body and respond with 1 KiB, or with the number of bytes given in ``/image/N``."""
    async for _ in request.content.iter_any():
        pass
    if "/image/" not in request.raw_path:
        return web.Response(body=RESPONSE_BODY, content_type="application/octet-stream")
    size = int(request.raw_path.rpartition("/")[2])
    response = web.StreamResponse(headers={"Content-Length": str(size)})
    await response.prepare(request)
    for start in range(0, size, len(CHUNK)):
        await response.write(CHUNK[: size - start])
    return response


async def serve(ports: list[int]) -> None:
    """Serve on ports of 127.0.0.1 until cancelled."""
    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve([int(port) for port in sys.argv[1:]]))
