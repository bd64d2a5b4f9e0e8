from __future__ import annotations

import asyncio
import contextlib

import pytest
from aiohttp import web

from radishbridge.host.connections import CallerServer
from radishbridge.host.listener import Listener
from radishbridge.host.shutdown import Shutdown
from radishbridge.records import LimitSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class SlowFront:
    """Answers each request after a while."""

    def __init__(self, takes_s: float) -> None:
        self.takes_s = takes_s
        self.in_flight = 0
        self.leaving = False

    async def handle(self, request: web.BaseRequest) -> web.Response:
        self.in_flight += 1
        await asyncio.sleep(self.takes_s)
        self.in_flight -= 1
        response = web.Response(text="whole")
        if self.leaving:
            response.force_close()
        return response


@contextlib.asynccontextmanager
async def serving(takes_s: float):
    front = SlowFront(takes_s)
    limits = LimitSettings(shutdown_lookup_s=0.1, shutdown_s=5.0)
    server = CallerServer(front.handle, limits)
    runner = web.ServerRunner(server)
    await runner.setup()
    listener = Listener(runner, "127.0.0.1:0")
    await listener.start()
    address = listener.socket.getsockname()
    yield Shutdown(front, server, listener, limits), address
    await runner.cleanup()


class TestShutdown:
    @pytest.mark.parametrize("delay_s", [0.0, 0.09, 0.12, 0.2, 0.28])
    async def test_a_request_that_was_read_is_answered_whenever_it_came(self, delay_s):
        async with serving(takes_s=0.3) as (shutdown, address):
            reader, writer = await asyncio.open_connection(*address)
            stopping = asyncio.create_task(shutdown.run())
            await asyncio.sleep(delay_s)
            writer.write(REQUEST)
            answer = await reader.read()
            assert answer.endswith(b"whole")
            await stopping

    async def test_an_idle_connection_is_closed(self):
        async with serving(takes_s=0.0) as (shutdown, address):
            reader, _ = await asyncio.open_connection(*address)
            await shutdown.run()
            assert await reader.read() == b""
