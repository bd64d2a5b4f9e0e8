"""Shutdown while the body of a request that was refused already is still arriving."""

from __future__ import annotations

import asyncio
import time

from entry_world import reply, running

from radishbridge.host.shutdown import Shutdown
from radishbridge.records import LimitSettings

HEAD = b"POST /unknown/7 HTTP/1.1\r\nHost: one.example\r\nContent-Length: 1000\r\n\r\n"
SHUTDOWN_S = 4.0


class FakeListener:
    """A listener without a socket."""

    async def stop(self) -> None:
        pass


class TestBodyOfARefusedRequest:
    """A connection that becomes idle once the rest of such a body has come is never closed.

    The host then runs until the end of the time for open requests although it has none.
    """

    async def test_the_shutdown_ends_with_the_last_request(self):
        async with running(reply()) as (world, _):
            host, port = world.url[7:].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(HEAD + bytes(500))
            assert b" 404 " in await reader.readuntil(b"\r\n\r\n")
            limits = LimitSettings(shutdown_lookup_s=0.05, shutdown_s=SHUTDOWN_S)
            shutdown = Shutdown(world.forwarder, world.server, FakeListener(), limits)
            began_at = time.monotonic()
            stopping = asyncio.create_task(shutdown.run())
            await asyncio.sleep(0.5)
            writer.write(bytes(500))
            await stopping
            took_s = time.monotonic() - began_at
            writer.close()
        assert took_s < SHUTDOWN_S / 2.0
