"""Callers that close their sending side while their request is at a server."""

from __future__ import annotations

import asyncio
import time

import pytest
from entry_world import running
from in_process import WITH_KEY, Harness
from raw_server import GOOD, RawConnection, raw_server
from steering_world import make_route, make_server

KEY = "".join(f"{name}: {value}\r\n" for name, value in WITH_KEY.items())
HEAD = (
    "POST {path} HTTP/1.1\r\nHost: one.example\r\nRequest-Id: r9\r\n{key}Content-Length: 2\r\n\r\n"
)


class TestEndOfTheConnection:
    """The host closes the connection in an orderly way, without a byte of a response.

    That looks as if the request had not been read, and callers send such a request again, whatever
    its kind, while a server runs it.
    """

    async def test_entry_host(self):
        async with raw_server(self.run_slowly) as raw:
            route = make_route(timeout_s=3.0, repeatable=False)
            async with running(route=route) as (world, _):
                server = make_server(0, address=raw.address)
                world.steering_state.selector.put(server, time.monotonic())
                host, port = world.url[7:].split(":")
                streams = await asyncio.open_connection(host, int(port))
                await self.half_close(streams, "/devices/7")

    async def test_host_with_records_of_its_own(self):
        async with raw_server(self.run_slowly) as raw, Harness() as host:
            host.add_address("one", raw.address)
            await self.half_close(await host.open_connection(), "/catalogue/once/1", KEY)

    async def run_slowly(self, connection: RawConnection, request_id: str) -> None:
        self.arrived.set()
        await asyncio.sleep(0.5)
        connection.write(GOOD, request_id)

    async def half_close(
        self,
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        path: str,
        key: str = "",
    ) -> None:
        reader, writer = streams
        writer.write(HEAD.format(path=path, key=key).encode() + b"ab")
        async with asyncio.timeout(2.0):
            await self.arrived.wait()
        writer.write_eof()
        async with asyncio.timeout(2.0):
            with pytest.raises(ConnectionResetError):
                await reader.read()

    @pytest.fixture(autouse=True)
    def _events(self):
        self.arrived = asyncio.Event()
