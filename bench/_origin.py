"""A backend server that costs as little as possible: ``python -m bench._origin PORT...``."""

from __future__ import annotations

import asyncio
import sys

from aiohttp import web

ANSWER = bytes(1_024)
PART = bytes(262_144)


async def answer_bytes(request: web.BaseRequest) -> web.StreamResponse:
    """Read the body; answer 1 KiB, or the size that a path below ``/image`` names."""
    async for _ in request.content.iter_any():
        pass
    if "/image/" not in request.raw_path:
        return web.Response(body=ANSWER, content_type="application/octet-stream")
    size = int(request.raw_path.rpartition("/")[2])
    response = web.StreamResponse(headers={"Content-Length": str(size)})
    await response.prepare(request)
    for start in range(0, size, len(PART)):
        await response.write(PART[: size - start])
    return response


async def serve(ports: list[int]) -> None:
    """Serve on ports of 127.0.0.1 until cancelled."""
    runner = web.ServerRunner(web.Server(answer_bytes, access_log=None))
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve([int(port) for port in sys.argv[1:]]))
