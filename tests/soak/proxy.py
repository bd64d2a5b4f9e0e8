"""A loopback proxy that delays, resets, silences and cuts connections one way."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct

POLL_S = 0.02
# Makes closing a socket send a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Way(enum.Enum):
    """A direction through the proxy."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"


class Proxy:
    """Passes bytes between a listening address and another one.

    :param blocked: directions in which nothing passes; bytes are held up, not lost.
    :param delay_s: delay of each piece in each direction, in seconds.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.blocked: set[Way] = set()
        self.delay_s = 0.0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()

    @property
    def text(self) -> str:
        """The listening address as ``IP:port``."""
        return f"{self.address[0]}:{self.address[1]}"

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            inner_reader, inner_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self.writers.discard(writer)
            writer.transport.abort()
            return
        self.writers.add(inner_writer)
        pumps = [
            asyncio.create_task(self._pump(reader, inner_writer, Way.TO_SERVER)),
            asyncio.create_task(self._pump(inner_reader, writer, Way.TO_CLIENT)),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            for one in (writer, inner_writer):
                self.writers.discard(one)
                one.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._opened(way)
                writer.write(data)
                await writer.drain()
            await self._opened(way)
            writer.close()
        except OSError:
            writer.transport.abort()

    async def _opened(self, way: Way) -> None:
        while way in self.blocked:
            await asyncio.sleep(POLL_S)
